// One shard's parts of the teams' quotas, when several shards share them.
//
// Row quota/<team> holds each shard's part; a part is changed only by the shard's owner, in a write
// that is conditional on the shard's row and on the quota's. The owner gives a team no more than
// the part that is certain, so the sum over all shards never exceeds the quota, whoever dies or
// pauses. Parts follow demand: unused ones are given back, and a shard above an equal share yields
// to one below it that waits, as its tasks end. A part that fits no further task is not kept from
// others.
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
    std::size_t shardCount = 1;       // all there are; with one, no row is needed
    milliseconds readInterval{2'000}; // between two looks at the rows
    milliseconds retryDelay{500};     // after a write that failed or was in doubt
    milliseconds unusedReturnDelay{
            5'000}; // an unused part is kept so long, unless another shard waits
};

// What this shard knows of a team; 0 in a dimension of `limit`: none there.
struct team_demand
{
    resources limit;          // of the whole team
    resources inUse;          // by the shard's tasks
    resources demanded;       // held, and asked for by those that wait
    resources largestWaiting; // the largest of those that wait; 0: none waits
};

using quota_action = std::variant<commit_rows, read_rows>;

class quota_parts
{
public:
    // `shardVersion` of the shard's row. `operationPrefix` is unique for each tenure of a shard.
    quota_parts(int shard, std::uint64_t shardVersion, std::string operationPrefix,
                quota_settings settings);

    // Of every team that has a limit; to be called before each planning.
    std::vector<quota_action> update(const std::map<std::string, team_demand> &demands,
                                     time_point now);
    std::vector<quota_action> handle(const write_answered &event, time_point now);
    void handle(const rows_read &event);

    // What the shard may hold in the dimensions that have a limit; the rest means nothing.
    resources usableQuota(const std::string &team) const;

private:
    struct team_state
    {
        team_demand demand;
        bool isLoaded = false;     // the row was read
        bool isStale = false;      // and has to be read again before the next write
        std::uint64_t version = 0; // of the row; 0: there is none
        std::map<int, resources> parts;
        std::set<int> waitingShards;          // shards that ask for more than they got
        std::string inFlightOperation;        // of the write on its way; empty: none
        resources inFlightPart;               // part in it
        time_point answerDeadline;            // in doubt from then on
        std::optional<resources> inDoubtPart; // lowest part in writes that may still take effect
        time_point nextWriteAt;               // not before
        time_point keepUnusedUntil;           // an unused part
        time_point nextRaiseAt;               // not before: others come first after it yielded
        time_point nextYieldAt;               // not before: what was raised is used first
        bool isYielding = false;              // to another shard, as tasks end
    };

    static std::string keyOf(const std::string &team);
    void load(team_state &team, const table_row &row);
    void decideWrite(const std::string &name, team_state &team, time_point now);
    resources targetPart(team_state &team, time_point now) const;
    resources currentPart(const team_state &team) const;
    resources unallocatedQuota(const team_state &team) const;
    resources equalShare(const team_state &team) const;
    resources partToKeep(const team_state &team) const;
    bool hasWaitingOthers(const team_state &team) const;
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
