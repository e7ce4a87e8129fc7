// Decides which best-effort runs of one worker are slowed so that its serving runs stay below their
// headroom, and by how much. Only runs whose owner sent how long they may be paused, and that
// have some of that time left, are slowed; a run at p percent of full speed spends (100 - p)
// percent of the time. The run that adds most load to all serving runs without headroom and has
// most time left is slowed first, and only by as much as brings the load below the headroom of the
// serving run that lacks least, then of the next. Where all of them together can't do that,
// nothing is slowed: the serving run would be late all the same, and only longer.
//
// Call spend() after each poll of the worker, plan() at each sampling, then percentOf().
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

// A serving run whose headroom its neighbours exceed if they work at full speed.
struct headroom_excess
{
    using run_key = std::pair<task_id, int>;

    double excess = 0;               // load to be taken away; above 0
    std::map<run_key, double> loads; // by best-effort run: the load that it adds at full speed
};

class slack_spender
{
public:
    using run_key = std::pair<task_id, int>;

    struct spending_run
    {
        std::optional<std::int64_t> slackMs; // as its owner sent it; none: unknown
        duration spent{};                    // since its start
        time_point spentUntil{};             // up to when `spent` is counted
        int planned = 100;                   // percent of full speed, by the last plan
        int percent = 100;                   // in force: the lower of the last two plans
    };

    // The run works at `percent` since the last call. Runs that are no longer named are forgotten
    // with keepOnly().
    void spend(const run_key &run, std::optional<std::int64_t> slackMs, int percent,
               time_point now);
    void keepOnly(const std::set<run_key> &runs);
    void plan(std::vector<headroom_excess> excesses);
    int percentOf(const run_key &run) const;
    milliseconds slackLeft(const run_key &run) const; // 0 if unknown

private:
    using planned_percents = std::map<run_key, int>;
    using run_loads = std::map<run_key, double>;

    void slowFor(const headroom_excess &serving, const run_loads &sums,
                 planned_percents &planned) const;
    double scoreOf(const run_key &run, double load) const;

    std::map<run_key, spending_run> m_runs;
};

} // namespace zinniabarrow::jobs
