// Who may decide for a shard of workers.
//
// `shard/<n>` holds owner and epoch and changes only with the owner; every write of the owner is
// conditional on its version. `shard/<n>/lease` is written at each renewal, so that renewals never
// conflict with the owner's own task transactions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "platform/records.h"
#include "work/leases.h"

namespace zinniabarrow::work {

struct shard_info
{
    int shard = 0;
    std::string zone; // availability zone of its workers
};

struct entry_info
{
    std::string id;
    std::string zone;
};

// Stable key of the shard's row, and of the row that renewals write.
std::string shardKey(int shard);
std::string shardLeaseKey(int shard);
constexpr const char *ShardPrefix = "shard/";

// The shard of a worker: rendezvous over the shards of its availability zone (over all if none).
int shardOfWorker(const std::string &worker, const std::string &zone,
                  const std::vector<shard_info> &shards);

// Entries by preference for a shard: those outside the shard's availability zone first, so that the
// loss of one zone does not take the workers and their owner together.
std::vector<std::string> ownersByPreference(const shard_info &shard,
                                            const std::vector<entry_info> &entries);

// Events.
struct shard_rows_read // every row under ShardPrefix
{
    std::vector<table_row> rows;
    time_point readStartedAt;
};
struct shard_write_answered
{
    std::string operationId;
    write_result result;
};
struct peers_changed
{
    std::vector<entry_info> entries; // live ones, this one included
};
// Both carry what the shards' tables tell at this very moment, by shard: of a worker that was heard
// since, a shard that is handed over would name too early an end.
struct ownership_tick
{
    std::map<int, unresponsive_workers> unresponsive;
};
struct release_shards // planned stop: hands over everything it holds
{
    std::map<int, unresponsive_workers> unresponsive;
};
using ownership_event = std::variant<shard_rows_read, shard_write_answered, peers_changed,
                                     ownership_tick, release_shards>;

// Actions.
struct commit_shard
{
    table_transaction transaction;
};
struct scan_shards // read every row under ShardPrefix
{ };
struct became_owner
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t shardVersion = 0; // of `shard/<n>`: each write of the owner is conditional on it
    time_point earlierLeasesEndAt;  // a worker that has not attached may hold a lease until then
    unresponsive_workers unresponsive; // but these only until then, as the last owner told
};
struct lost_shard
{
    int shard = 0;
};
using ownership_action = std::variant<commit_shard, scan_shards, became_owner, lost_shard>;

struct ownership_settings
{
    lease_settings leases;
    milliseconds scanInterval{1'000};    // between two readings of the shard rows
    milliseconds takeoverStagger{1'000}; // each place down the preference waits this much longer
    milliseconds handOverDelay{60'000};  // a less preferred owner hands over after this long
};

// The shards of one entry.
class shard_ownership
{
public:
    // `operationPrefix` is unique for each process: no two processes share an operation id.
    shard_ownership(entry_info self, std::string operationPrefix, std::vector<shard_info> shards,
                    ownership_settings settings);

    std::vector<ownership_action> handle(const ownership_event &event, time_point now);

    bool owns(int shard) const;
    // No grant may be sent at or after this time; checked right before each send. A time in the
    // past when the shard is not owned.
    time_point mayGrantUntil(int shard) const;
    // True once everything was handed over after release_shards.
    bool isReleased() const;

private:
    struct pending_write
    {
        enum class purpose { Acquire, Renew, Release } kind = purpose::Acquire;
        table_transaction transaction;
        std::uint64_t rowVersion = 0;      // takes effect on this version alone,
        std::uint64_t leaseVersion = 0;    // and on this one of the lease
        time_point sentAt;                 // decided then: before its first sending
        time_point retryAt = Never;        // sent again then
        time_point earlierLeasesEndAt;     // for Take
        unresponsive_workers unresponsive; // for Take
        std::uint64_t epoch = 0;           // for Take
        bool isInDoubt = false;            // may have taken effect, or may still do so
    };

    struct shard_state
    {
        shard_info info;
        // As last read.
        std::uint64_t rowVersion = 0;
        std::uint64_t leaseVersion = 0;
        std::uint64_t epoch = 0;
        bool isHandedOver = false;         // handed over by its last owner
        milliseconds earlierLeasesLeft{0}; // what its last owner still had to wait, when freed
        std::map<std::string, milliseconds> unresponsive; // and for these workers
        time_point versionsSeenAt;                        // the versions were first seen then
        time_point unchangedSince; // unchanged since then, without a gap in the readings
        std::optional<time_point> lastReadAt;
        // While owned.
        bool isOwned = false;
        time_point grantUntil;
        time_point nextRenewalAt;
        time_point earlierLeasesEndAt;
        time_point lessPreferredSince = Never;
        std::optional<pending_write> pendingWrite;
    };

    void on(const shard_rows_read &event, time_point now);
    void on(const shard_write_answered &event, time_point now);
    void on(const peers_changed &event, time_point now);
    void on(const ownership_tick &event, time_point now);
    void on(const release_shards &event, time_point now);
    void updateFromRows(shard_state &state, const table_row *row, const table_row *lease,
                        time_point now);
    void resolveFromRows(shard_state &state, const table_row *row, const table_row *lease,
                         time_point now);
    void onApplied(shard_state &state, std::uint64_t version, time_point now);
    void tickOwned(shard_state &state, const unresponsive_workers &unresponsive, time_point now);
    void tickUnowned(shard_state &state, time_point now);
    void acquire(shard_state &state, time_point now);
    void renew(shard_state &state, time_point now);
    void release(shard_state &state, const unresponsive_workers &unresponsive, time_point now);
    static void loadHandOver(shard_state &state, const Json::Value &row);
    static unresponsive_workers handedOverWorkers(const shard_state &state);
    void dropOwnership(shard_state &state);
    void sendWrite(shard_state &state, pending_write write, time_point now);
    time_point acquireNotBefore(const shard_state &state) const;
    time_point earlierLeasesEnd(const shard_state &state) const;
    std::size_t preferenceRank(const shard_state &state) const;

    entry_info m_self;
    std::string m_operationPrefix;
    std::uint64_t m_operationCount = 0;
    ownership_settings m_settings;
    std::vector<entry_info> m_peers;
    std::map<int, shard_state> m_shards;
    time_point m_nextScanAt;
    bool m_isReleasing = false;
    std::vector<ownership_action> m_actions;
};

} // namespace zinniabarrow::work
