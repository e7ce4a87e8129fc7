#include "jobs/wait_policy.h"

#include <algorithm>
#include <cmath>

#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<wait_reason, 8> WaitReasonNames{{
        {wait_reason::AvoidsInterference, "avoids_interference"},
        {wait_reason::PlaceExpected, "place_expected"},
        {wait_reason::OnlyNearInTime, "only_near_in_time"},
        {wait_reason::FirstRun, "first_run"},
        {wait_reason::SlackSpent, "slack_spent"},
        {wait_reason::Late, "late"},
        {wait_reason::NotWorthIt, "not_worth_it"},
        {wait_reason::WaitOver, "wait_over"},
}};

milliseconds wholeMilliseconds(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

// The part of a run time that is kept in reserve, since estimates are rough.
constexpr double RunTimeReserve = 0.25;

} // namespace

std::string_view nameOf(wait_reason reason)
{
    return zinniabarrow::nameOf(WaitReasonNames, reason);
}

wait_policy::wait_policy(const wait_settings &settings)
    : m_settings(settings)
{ }

void wait_policy::beginRound(double lateShare)
{
    m_lateShare = lateShare;
    for (auto &[rack, turnover] : m_racks)
        turnover.queue = 0;
}

wait_decision wait_policy::decideInterference(const waiting_tasks &tasks, time_point now) const
{
    const auto longest = tasks.since + m_settings.maxInterferenceWait;
    if (now >= longest)
        return go_now{wait_reason::WaitOver};
    if (tasks.isServiceMostlyUsed)
        return wait_until{longest, wait_reason::AvoidsInterference};
    const auto firstRunDue = tasks.since + m_settings.maxInterferenceWaitWhenIdle;
    if (now < firstRunDue)
        return wait_until{firstRunDue, wait_reason::AvoidsInterference};
    if (!tasks.hasRun || tasks.isLongRunning)
        return go_now{wait_reason::FirstRun};
    if (tasks.slackMs < 0)
        return go_now{wait_reason::Late};
    const auto spareMs =
            static_cast<double>(tasks.slackMs) - RunTimeReserve * static_cast<double>(tasks.runMs);
    if (spareMs <= 0)
        return go_now{wait_reason::SlackSpent};
    return wait_until{std::min<time_point>(longest, now + wholeMilliseconds(spareMs)),
                      wait_reason::AvoidsInterference};
}

// The load of serving runs rises and falls while a task runs beside them, and their headroom is
// forecast for two seconds only.
double wait_policy::expectedLoadRise(std::int64_t runMs)
{
    constexpr double LoadPerSecond = 0.05;
    constexpr double MaxRise = 0.2; // load
    return std::min(MaxRise, LoadPerSecond * static_cast<double>(runMs) / 1000);
}

// A job with time to wait is asked for the whole margin, one that would be late by waiting for
// none. One that is late in any case is asked for all of it: its callers gain less than those of
// the serving runs lose. But the more of the waiting jobs are late, the less is asked: their work
// must be done in any case, and processors that are left idle are missing until the queue is empty.
double wait_policy::loadMargin(const waiting_tasks &tasks) const
{
    if (tasks.runMs <= 0 || tasks.isLongRunning)
        return 0;
    const double margin = expectedLoadRise(tasks.runMs) * (1 - m_lateShare);
    if (tasks.slackMs < 0)
        return margin;
    return margin
           * std::min(1.0, static_cast<double>(tasks.slackMs) / static_cast<double>(tasks.runMs));
}

// Places come free at random, so that the expected wait does not depend on the time waited. Since
// the rate may be estimated too high, a task waits no longer than the near place would save: then
// it loses at most twice what it would have lost by going at once. It joins the queue only if it
// expects to gain more than it waits: if each task joined that expects any gain, the queue would
// grow until none gains.
wait_decision wait_policy::decideDistance(const waiting_tasks &tasks, const std::string &rack,
                                          time_point now)
{
    auto &turnover = m_racks[rack];
    observe(turnover, now);
    const int position = ++turnover.queue;
    const auto firstRunDue = tasks.since + m_settings.maxInterferenceWaitWhenIdle;
    if (!tasks.hasRun && now >= firstRunDue)
        return go_now{wait_reason::FirstRun};
    const double savedMs = static_cast<double>(tasks.runMs) * (farFactor() - 1);
    constexpr double MaxWaitShare = 0.5; // of what the near place saves
    const double waitMs = position * expectedWaitMs(turnover) / MaxWaitShare;
    const auto slackMs = static_cast<double>(tasks.slackMs);
    // With nothing running, the decision is due again when the job would count as lost.
    const auto latest = tasks.hasRun ? Never : firstRunDue;
    if (slackMs >= waitMs && slackMs < savedMs)
        return wait_until{std::min<time_point>(latest, now + milliseconds(tasks.slackMs)),
                          wait_reason::OnlyNearInTime};
    if (waitMs > savedMs)
        return go_now{wait_reason::NotWorthIt};
    const auto paysUntil = tasks.since + wholeMilliseconds(savedMs);
    if (now >= paysUntil)
        return go_now{wait_reason::WaitOver};
    // From then on, a distant run would miss the objective.
    const auto spare = wholeMilliseconds(std::max(0.0, slackMs - savedMs));
    const auto deadline =
            spare.count() > 0 ? std::min<time_point>(paysUntil, now + spare) : paysUntil;
    return wait_until{std::min(latest, deadline), wait_reason::PlaceExpected};
}

// Counts the time since the last look, if tasks have waited for the rack all the while.
void wait_policy::observe(rack_turnover &turnover, time_point now)
{
    constexpr milliseconds MaxPause{1500}; // longer than the interval of reports
    constexpr double MemoryMs = 20'000;    // older waits count less
    const auto pause = now - turnover.waitingAt;
    turnover.waitingAt = now;
    if (pause > MaxPause || pause <= duration::zero())
        return;
    const auto pauseMs = static_cast<double>(millisecondsIn(pause));
    const double kept = std::exp(-pauseMs / MemoryMs);
    turnover.waitedMs = turnover.waitedMs * kept + pauseMs;
    turnover.found *= kept;
}

double wait_policy::expectedWaitMs(const rack_turnover &turnover)
{
    constexpr double PriorWaitMs = 300; // one place in this time, before any was seen
    return (turnover.waitedMs + PriorWaitMs) / (turnover.found + 1);
}

void wait_policy::recordFound(const std::string &rack)
{
    m_racks[rack].found += 1;
}

void wait_policy::recordRun(bool isNear, double stretch)
{
    if (stretch > 0)
        (isNear ? m_near : m_far).add(stretch);
}

void wait_policy::stretch_average::add(double stretch)
{
    constexpr double MaxWeight = 50; // runs
    weight = std::min(MaxWeight, weight + 1);
    logMean += (std::log(stretch) - logMean) / weight;
}

double wait_policy::farFactor() const
{
    constexpr double Prior = 1.5;
    constexpr double PriorWeight = 3; // runs
    constexpr double MaxFactor = 4;
    const double weight = std::min(m_near.weight, m_far.weight);
    const double observed = m_far.logMean - m_near.logMean;
    const double logFactor =
            (weight * observed + PriorWeight * std::log(Prior)) / (weight + PriorWeight);
    return std::clamp(std::exp(logFactor), 1.0, MaxFactor);
}

} // namespace zinniabarrow::jobs
