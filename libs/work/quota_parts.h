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
    std::size_t shards = 1;          // all there are; with one, no row is needed
    milliseconds readEvery{2'000};   // between two looks at the rows
    milliseconds retryAfter{500};    // after a write that failed or was in doubt
    milliseconds returnAfter{5'000}; // an unused part is kept so long, unless another shard waits
};

// What this shard knows of a team; 0 in a dimension of `limit`: none there.
struct team_demand
{
    resources limit;  // of the whole team
    resources held;   // by the shard's tasks
    resources wanted; // held, and asked for by those that wait
    resources unit;   // the largest of those that wait; 0: none waits
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
    std::vector<quota_action> handle(const write_settled &event, time_point now);
    void handle(const rows_read &event);

    // What the shard may hold in the dimensions that have a limit; the rest means nothing.
    resources usable(const std::string &team) const;

private:
    struct team_state
    {
        team_demand demand;
        bool known = false;        // the row was read
        bool stale = false;        // and has to be read again before the next write
        std::uint64_t version = 0; // of the row; 0: there is none
        std::map<int, resources> parts;
        std::set<int> waiting;            // shards that ask for more than they got
        std::string operation;            // of the write on its way; empty: none
        resources sent;                   // part in it
        time_point answerBy;              // in doubt from then on
        std::optional<resources> doubted; // lowest part in writes that may still take effect
        time_point writeAt;               // not before
        time_point keepUntil;             // an unused part
        time_point raiseAt;               // not before: others come first after it yielded
        time_point yieldAt;               // not before: what was raised is used first
        bool yields = false;              // to another shard, as tasks end
    };

    static std::string keyOf(const std::string &team);
    void load(team_state &team, const table_row &row);
    void decide(const std::string &name, team_state &team, time_point now);
    resources targetOf(team_state &team, time_point now) const;
    resources partOf(const team_state &team) const;
    resources freeFor(const team_state &team) const;
    resources equalShare(const team_state &team) const;
    resources keptFromOthers(const team_state &team) const;
    bool othersWait(const team_state &team) const;
    void write(const std::string &name, team_state &team, const resources &part, bool waits,
               time_point now);
    void doubt(const std::string &name, team_state &team, time_point writeAt);

    int m_shard;
    std::uint64_t m_shardVersion;
    std::string m_operationPrefix;
    quota_settings m_settings;
    std::uint64_t m_operations = 0;
    std::map<std::string, team_state> m_teams;
    time_point m_readAt;
    std::vector<quota_action> m_actions;
};

} // namespace zinniabarrow::work
