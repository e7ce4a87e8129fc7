#include "jobs/run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniabarrow::jobs {

namespace {

// Weight, in steps, from which a kind's observations stand for its estimates.
constexpr double MinWeight = 4;
// A kind weighs as much as this many tasks of the step itself that are done: within a step, run
// times vary by about half of what estimates are off by.
constexpr double KindWeight = 0.25;

double medianOf(std::vector<std::int64_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return static_cast<double>(std::max<std::int64_t>(1, *middle));
}

double ratioOf(milliseconds duration, std::int64_t estimateMs)
{
    return static_cast<double>(std::max<std::int64_t>(1, duration.count()))
           / static_cast<double>(estimateMs);
}

double weightOf(const step_context &step)
{
    return 1.0 / std::max(1, step.tasks);
}

// Forgets the kinds that were seen least recently.
void limitKinds(run_time_profiles &profiles)
{
    while (profiles.size() > run_times::MaxKinds)
        profiles.erase(std::min_element(profiles.begin(), profiles.end(),
                                        [](const auto &one, const auto &other) {
                                            return one.second.lastUse < other.second.lastUse;
                                        }));
}

void mergeInto(run_time_profiles &profiles, const run_time_profiles &added)
{
    for (const auto &[kind, profile] : added)
        profiles[kind].merge(profile);
    limitKinds(profiles);
}

// Median run time of the step's tasks, ms.
double typicalMs(const run_time_profile *profile, const step_context &step)
{
    const double byKind = static_cast<double>(step.estimateMs)
                          * (profile == nullptr ? 1 : profile->toEstimate.quantile(0.5));
    if (step.siblingsMs.empty())
        return byKind;
    const auto siblings = medianOf(step.siblingsMs);
    if (byKind <= 0)
        return siblings;
    const auto count = static_cast<double>(step.siblingsMs.size());
    const double siblingWeight = count / (count + KindWeight);
    return std::exp(siblingWeight * std::log(siblings) + (1 - siblingWeight) * std::log(byKind));
}

// Run time of one task over the median of its step's.
double withinStep(const run_time_profile *profile, double share)
{
    return profile == nullptr || profile->toStep.weight() < MinWeight
                   ? 1
                   : profile->toStep.quantile(share);
}

} // namespace

void run_time_profile::merge(const run_time_profile &other)
{
    toEstimate.merge(other.toEstimate);
    toStep.merge(other.toStep);
    failures.merge(other.failures);
    countEnds(other.done, other.failed);
    lastUse = std::max(lastUse, other.lastUse);
}

void run_time_profile::countEnds(double doneRuns, double failedRuns)
{
    done += doneRuns;
    failed += failedRuns;
    const double excess = (done + failed) / ratio_histogram::MaxWeight;
    if (excess <= 1)
        return;
    done /= excess;
    failed /= excess;
}

template <typename Observe>
void run_times::record(const run_kind &kind, Observe observe)
{
    for (auto *profiles : {&m_profiles, &m_news}) {
        auto &profile = (*profiles)[kind];
        profile.lastUse = m_nextUse;
        observe(profile);
        limitKinds(*profiles);
    }
    ++m_nextUse;
}

void run_times::recordDone(const step_context &step, milliseconds duration)
{
    if (step.estimateMs <= 0)
        return;
    record(step.kind, [&](auto &profile) {
        profile.toEstimate.add(ratioOf(duration, step.estimateMs), weightOf(step));
        profile.countEnds(weightOf(step), 0);
    });
}

void run_times::recordStepDone(const step_context &step)
{
    if (step.siblingsMs.size() < 2)
        return;
    const auto median = medianOf(step.siblingsMs);
    const double weight = 1.0 / static_cast<double>(step.siblingsMs.size());
    record(step.kind, [&](auto &profile) {
        for (const auto siblingMs : step.siblingsMs)
            profile.toStep.add(static_cast<double>(std::max<std::int64_t>(1, siblingMs)) / median,
                               weight);
    });
}

void run_times::recordFailed(const step_context &step, milliseconds duration)
{
    if (step.estimateMs <= 0)
        return;
    record(step.kind, [&](auto &profile) {
        profile.failures.add(ratioOf(duration, step.estimateMs), weightOf(step));
        profile.countEnds(0, weightOf(step));
    });
}

std::int64_t run_times::quantileMs(const step_context &step, double share) const
{
    const auto *profile = find(step.kind);
    if (!step.siblingsMs.empty())
        return std::llround(typicalMs(profile, step) * withinStep(profile, share));
    if (profile == nullptr)
        return step.estimateMs;
    return std::llround(static_cast<double>(step.estimateMs) * profile->toEstimate.quantile(share));
}

// All tasks of the step share its typical run time; within the step, they vary independently. So
// the quantile is taken of the former, and the latter is that of the longest of them.
std::int64_t run_times::stepMs(const step_context &step, double share) const
{
    const auto *profile = find(step.kind);
    const double longest = withinStep(profile, std::pow(0.5, weightOf(step)));
    const double typical =
            step.siblingsMs.empty() && profile != nullptr
                    ? static_cast<double>(step.estimateMs) * profile->toEstimate.quantile(share)
                    : typicalMs(profile, step);
    return std::llround(typical * std::max(1.0, longest));
}

double run_times::failureShare(const run_kind &kind) const
{
    const auto *profile = find(kind);
    return profile == nullptr ? 0 : profile->failed / (profile->done + profile->failed);
}

std::int64_t run_times::failureDelayMs(const step_context &step) const
{
    const auto *profile = find(step.kind);
    if (profile == nullptr || profile->failures.weight() < 1)
        return 0;
    return std::llround(static_cast<double>(step.estimateMs) * profile->failures.quantile(0.5));
}

const run_time_profile *run_times::find(const run_kind &kind) const
{
    const auto found = m_profiles.find(kind);
    const bool isKnown =
            found != m_profiles.end() && found->second.toEstimate.weight() >= MinWeight;
    return isKnown ? &found->second : nullptr;
}

const run_time_profiles &run_times::newsToStore()
{
    mergeInto(m_newsInFlight, m_news);
    m_news.clear();
    return m_profiles;
}

void run_times::newsNotStored()
{
    mergeInto(m_news, m_newsInFlight);
    m_newsInFlight.clear();
}

void run_times::adopt(run_time_profiles stored)
{
    m_profiles = std::move(stored);
    for (auto &[kind, profile] : m_profiles)
        m_nextUse = std::max(m_nextUse, profile.lastUse + 1);
    mergeInto(m_profiles, m_newsInFlight);
    mergeInto(m_profiles, m_news);
}

} // namespace zinniabarrow::jobs
