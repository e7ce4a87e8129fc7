#include "jobs/slack_spender.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniabarrow::jobs {

namespace {

using run_key = slack_spender::run_key;

// A run is slowed until the next plan at least, half a second later.
constexpr milliseconds MinSlackLeft{500};
// A run with at least this much left is no better to slow than others with as much.
constexpr milliseconds AmpleSlack{3000};
constexpr int PercentStep = 10;
// A run that adds less is not slowed: that would be lost in the noise of the samples.
constexpr double MinLoad = 0.02;

// Percent of full speed at which the run adds `removed` less of its `load`, rounded down.
int percentWithout(double removed, double load)
{
    if (removed >= load)
        return 0;
    return static_cast<int>(std::floor((1 - removed / load) * 100 / PercentStep)) * PercentStep;
}

double loadAt(double load, int percent)
{
    return load * percent / 100;
}

} // namespace

void slack_spender::spend(const run_key &run, std::optional<std::int64_t> slackMs, int percent,
                          time_point now)
{
    auto &known = m_runs.try_emplace(run, spending_run{slackMs, {}, now}).first->second;
    known.slackMs = slackMs;
    known.spent += (now - known.spentUntil) * (100 - percent) / 100;
    known.spentUntil = now;
    if (slackLeft(run) <= milliseconds(0))
        known.percent = known.planned = 100;
}

void slack_spender::keepOnly(const std::set<run_key> &runs)
{
    std::erase_if(m_runs, [&](const auto &entry) { return !runs.contains(entry.first); });
}

milliseconds slack_spender::slackLeft(const run_key &run) const
{
    const auto known = m_runs.find(run);
    if (known == m_runs.end() || !known->second.slackMs)
        return milliseconds(0);
    const auto left = milliseconds(*known->second.slackMs) - known->second.spent;
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(left));
}

int slack_spender::percentOf(const run_key &run) const
{
    const auto known = m_runs.find(run);
    return known == m_runs.end() ? 100 : known->second.percent;
}

// One sample may be wrong, so a run is sped up only as far as two plans in a row allow it.
void slack_spender::plan(std::vector<headroom_excess> excesses)
{
    std::sort(excesses.begin(), excesses.end(),
              [](const auto &left, const auto &right) { return left.excess < right.excess; });
    run_loads sums; // load that a run adds to all serving runs without headroom
    for (const auto &serving : excesses) {
        for (const auto &[run, load] : serving.loads)
            sums[run] += load;
    }
    planned_percents planned; // of the runs that may be slowed
    for (const auto &[run, known] : m_runs) {
        if (slackLeft(run) >= MinSlackLeft)
            planned[run] = 100;
    }
    for (const auto &serving : excesses)
        slowFor(serving, sums, planned);
    for (auto &[run, known] : m_runs) {
        const auto found = planned.find(run);
        const int percent = found == planned.end() ? 100 : found->second;
        known.percent = found == planned.end() ? 100 : std::min(percent, known.planned);
        known.planned = percent;
    }
}

// The load that slowing the run takes away counts the less, the sooner its slack is used up.
double slack_spender::scoreOf(const run_key &run, double load) const
{
    const auto left = std::min(slackLeft(run), AmpleSlack);
    return load * static_cast<double>(left.count()) / static_cast<double>(AmpleSlack.count());
}

void slack_spender::slowFor(const headroom_excess &serving, const run_loads &sums,
                            planned_percents &planned) const
{
    std::vector<std::pair<double, run_key>> byScore;
    double excess = serving.excess;
    double removable = 0;
    for (const auto &[run, load] : serving.loads) {
        const auto found = planned.find(run);
        if (found == planned.end() || load < MinLoad)
            continue;
        excess -= load - loadAt(load, found->second); // slowed for another serving run
        removable += loadAt(load, found->second);
        byScore.emplace_back(scoreOf(run, sums.at(run)), run);
    }
    if (excess <= 0 || removable < excess)
        return;
    std::sort(byScore.rbegin(), byScore.rend());
    for (const auto &[score, run] : byScore) {
        if (excess <= 0)
            return;
        const double load = serving.loads.at(run);
        const int before = std::exchange(
                planned[run], percentWithout(load - loadAt(load, planned[run]) + excess, load));
        excess -= loadAt(load, before) - loadAt(load, planned[run]);
    }
}

} // namespace zinniabarrow::jobs
