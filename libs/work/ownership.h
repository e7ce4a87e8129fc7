// Ownership of shards: which entry may decide for a shard of workers.
//
// Row `shard/<n>` holds the owner and the epoch. It changes only when the owner changes, and every
// write of the owner is conditional on its version (fencing). Row `shard/<n>/lease` is written at
// each renewal, so that renewals never conflict with the owner's own task transactions.
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

// Keys of the shard's row and of its lease row. Rows are stored under them, so the form of the keys
// must never change.
std::string shardKey(int shard);
std::string shardLeaseKey(int shard);
constexpr const char *ShardPrefix = "shard/";

// The shard of a worker, by rendezvous hashing over the shards of its availability zone (over all
// shards if the zone has none; 0 if there are no shards).
int shardOfWorker(const std::string &worker, const std::string &zone,
                  const std::vector<shard_info> &shards);

// Entry ids in the order in which they should own the shard: those outside the shard's availability
// zone come first, so that losing one zone doesn't lose both the workers and their owner.
std::vector<std::string> ownersByPreference(const shard_info &shard,
                                            const std::vector<entry_info> &entries);

// Events.
struct shard_rows_read // all rows under ShardPrefix
{
    std::vector<table_row> rows;
    time_point readStartedAt;
};
struct shard_write_answered // the platform's answer to a commit_shard
{
    std::string operationId;
    write_result result;
};
struct peers_changed
{
    std::vector<entry_info> entries; // all live entries, including this one
};
// ownership_tick and release_shards carry, by shard number, the unresponsive workers of each owned
// shard and until when each may hold a lease (leases.h). At a handover these times are written to
// the shard's row. Read them right before the event: a worker that reports in between gets a new
// lease, which would end later than the row says.
struct ownership_tick // time has passed
{
    std::map<int, unresponsive_workers> unresponsive;
};
struct release_shards // planned shutdown: hand over all owned shards
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
struct scan_shards // read all rows under ShardPrefix; answered by shard_rows_read
{ };
struct became_owner
{
    int shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t shardVersion = 0; // of `shard/<n>`: each write of the owner is conditional on it
    // Until when a worker may hold a lease of an earlier owner, unless it has recorded this epoch.
    time_point earlierLeasesEndAt;
    // Workers that were unresponsive at the handover: for each, the time here applies instead of
    // earlierLeasesEndAt.
    unresponsive_workers unresponsive;
};
struct lost_shard // the shard is handed over, or another entry owns it: stop deciding for it
{
    int shard = 0;
};
using ownership_action = std::variant<commit_shard, scan_shards, became_owner, lost_shard>;

struct ownership_settings
{
    lease_settings leases;
    milliseconds scanInterval{1'000}; // between two scans of the shard rows
    // Extra wait before a takeover, times this entry's position (from 0) in ownersByPreference().
    milliseconds takeoverStagger{1'000};
    // An owner hands its shard over when another live entry has been preferred for this long.
    milliseconds handOverDelay{60'000};
};

// Acquires, renews and hands over shards for one entry. Performs no I/O: the entry calls handle()
// with each event and carries out the actions that it returns. Not thread-safe.
class shard_ownership
{
public:
    // `operationPrefix` must be unique for each process, so that operation ids are too.
    shard_ownership(entry_info self, std::string operationPrefix, std::vector<shard_info> shards,
                    ownership_settings settings);

    std::vector<ownership_action> handle(const ownership_event &event, time_point now);

    bool owns(int shard) const;
    // No lease may be granted at or after this time: the shard's task_coordinator gets it as
    // grant_deadline_changed. A time in the past when the shard is not owned.
    time_point grantDeadline(int shard) const;
    // True once all shards are handed over after release_shards.
    bool isReleased() const;

private:
    struct pending_write
    {
        enum class purpose { Acquire, Renew, Release } kind = purpose::Acquire;
        table_transaction transaction;
        std::uint64_t rowVersion = 0;   // condition: version of the shard's row
        std::uint64_t leaseVersion = 0; // condition: version of its lease row
        time_point sentAt;              // before its first sending
        time_point retryAt = Never;     // when it is sent again
        // For Acquire: the values of became_owner.
        time_point earlierLeasesEndAt;
        unresponsive_workers unresponsive;
        std::uint64_t epoch = 0;
        bool isInDoubt = false; // may have taken effect, or may still do so
    };

    struct shard_state
    {
        shard_info info;
        // As last read.
        std::uint64_t rowVersion = 0;
        std::uint64_t leaseVersion = 0;
        std::uint64_t epoch = 0;
        bool isHandedOver = false;          // the last owner handed the shard over
        milliseconds remainingLeaseWait{0}; // what the last owner still had to wait at the handover
        std::map<std::string, milliseconds> unresponsive; // the same for single workers
        time_point versionsSeenAt;                        // when these versions were first seen
        // Since when all scans found these versions. Restarts after a long gap between two scans.
        time_point unchangedSince;
        std::optional<time_point> lastReadAt;
        // While owned.
        bool isOwned = false;
        time_point grantUntil; // see grantDeadline()
        time_point nextRenewalAt;
        time_point earlierLeasesEndAt;         // see became_owner
        time_point lessPreferredSince = Never; // since when another live entry is preferred
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
