// One shard's parts of the teams' quotas, when several shards share each quota.
//
// Row quota/<team> holds the part of each shard. Only the shard's owner changes a part, in a write
// that is conditional on the shard's row and on the quota's row. The owner lets a team use no more
// than the part that is certainly committed, so the sum over all shards never exceeds the quota,
// whichever process dies or pauses.
//
// Parts follow demand: unused parts are returned. If another shard waits and has less than an equal
// share, a shard with more than an equal share gives quota up as its own tasks end. A remainder
// that is too small for another task is returned too.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "work/task_store.h"

namespace zinniabarrow::work {

struct quota_settings
{
    std::size_t shardCount = 1;       // of the whole system; with one shard no row is needed
    milliseconds readInterval{2'000}; // between two reads of the quota rows
    milliseconds retryDelay{500};     // from a refused write to the next one
    // An unused part is kept this long, unless another shard waits for quota.
    milliseconds unusedReturnDelay{5'000};
};

// A team's demand in this shard.
struct team_demand
{
    resources limit;          // quota of the whole team; 0 in a dimension: no limit there
    resources inUse;          // by the shard's tasks
    resources demanded;       // sum of `inUse` and all waiting tasks
    resources largestWaiting; // size of the largest waiting task; 0: none waits
};

// Writes and reads of rows, which the code that calls quota_parts (owned_shard, in app/) carries
// out.
using quota_action = std::variant<commit_rows, read_rows>;

// Keeps this shard's part of each team's quota, and decides when the part grows or shrinks. The
// entry that owns the shard has one, in its owned_shard. Performs no I/O. Not thread-safe.
class quota_parts
{
public:
    // `shardVersion` is the version of the shard's row, a condition of each write.
    // `operationPrefix` starts the id of each write and must be unique for each tenure of a shard.
    // Unlike task_coordinator, quota_parts appends neither shard nor epoch, so it must contain
    // them.
    quota_parts(int shard, std::uint64_t shardVersion, std::string operationPrefix,
                quota_settings settings);

    // Takes the demand of every team that has a limit. Call before each
    // placement::scheduler::plan(). With one shard it does nothing.
    std::vector<quota_action> update(const std::map<std::string, team_demand> &demands,
                                     time_point now);
    // Answers to writes and reads that other classes requested are ignored.
    std::vector<quota_action> handle(const write_answered &event, time_point now);
    void handle(const rows_read &event);

    // How much the team's tasks in this shard may use together. Only the dimensions with a limit
    // are meaningful. Zero for a team that was not in the last update(), and until the team's row
    // was read. Don't call it with one shard: no row is read then.
    resources usableQuota(const std::string &team) const;

private:
    struct team_state
    {
        team_demand demand;
        bool isLoaded = false;          // the row was read at least once
        bool isStale = false;           // must be read again before the next write
        std::uint64_t version = 0;      // of the row; 0: there is no row
        std::map<int, resources> parts; // by shard
        std::set<int> waitingShards;    // shards that need more than their part
        std::string inFlightOperation;  // operation id of the write in flight; empty: none
        resources inFlightPart;         // this shard's part in that write
        time_point answerDeadline;      // the write in flight is in doubt from then on
        // Set while writes are in doubt: the smallest part that any of them would give this shard.
        std::optional<resources> inDoubtPart;
        time_point nextWriteAt;     // earliest time of the next write
        time_point keepUnusedUntil; // an unused part is kept until then
        // Earliest time to raise the part: after this shard gave quota up, others may take it
        // first.
        time_point nextRaiseAt;
        // Earliest time to give quota up: a part that was just raised may be used first.
        time_point nextYieldAt;
        bool isYielding = false; // gives up quota to another shard as tasks end
    };

    static std::string keyOf(const std::string &team);
    void load(team_state &team, const table_row &row);
    void decideWrite(const std::string &name, team_state &team, time_point now);
    resources targetPart(team_state &team, time_point now) const;
    resources currentPart(const team_state &team) const;
    resources unallocatedQuota(const team_state &team) const;
    resources equalShare(const team_state &team) const;
    resources partToKeep(const team_state &team) const;
    bool isOtherShardBelowEqualShare(const team_state &team) const;
    void writePart(const std::string &name, team_state &team, const resources &part, bool isWaiting,
                   time_point now);
    void markInDoubt(const std::string &name, team_state &team, time_point writeAt);

    int m_shard;
    std::uint64_t m_shardVersion;
    std::string m_operationPrefix;
    quota_settings m_settings;
    std::uint64_t m_operationCount = 0;
    std::map<std::string, team_state> m_teams;
    time_point m_nextReadAt;
    std::vector<quota_action> m_actions;
};

} // namespace zinniabarrow::work
