#include "jobs/run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniabarrow::jobs {

namespace {

// Weight, in steps, from which a kind's observations stand for its estimates.
constexpr double MinWeight = 4;
// A kind weighs as much as this many tasks of the step itself that are done: within a step, the
// logarithms of run times vary by half of what they vary by for one estimate.
constexpr double KindWeight = 0.25;
constexpr double Median = 0.5;

bool hasCalibration(const run_time_profile &seen)
{
    return seen.calibration.weight() >= MinWeight;
}

double medianOf(std::vector<std::int64_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return static_cast<double>(std::max<std::int64_t>(1, *middle));
}

double countOf(milliseconds duration)
{
    return static_cast<double>(std::max<std::int64_t>(1, duration.count()));
}

double weightOf(const step_context &step)
{
    return 1.0 / std::max(1, step.tasks);
}

// Forgets the kinds that were seen least recently.
void limitKinds(run_time_profiles &profiles)
{
    while (profiles.size() > run_times::MaxKinds) {
        profiles.erase(std::min_element(profiles.begin(), profiles.end(),
                                        [](const auto &one, const auto &other) {
                                            return one.second.lastUse < other.second.lastUse;
                                        }));
    }
}

void mergeInto(run_time_profiles &profiles, const run_time_profiles &added)
{
    for (const auto &[kind, profile] : added)
        profiles[kind].merge(profile);
    limitKinds(profiles);
}

} // namespace

void run_time_profile::merge(const run_time_profile &other)
{
    calibration.merge(other.calibration);
    toExpected.merge(other.toExpected);
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

template <typename HasEnough>
const run_time_profile *run_times::find(const run_kind &kind, HasEnough hasEnough) const
{
    for (const auto &candidate : {kind, run_kind{kind.queue, ""}}) {
        const auto found = m_profiles.find(candidate);
        if (found != m_profiles.end() && hasEnough(found->second))
            return &found->second;
    }
    return nullptr;
}

template <typename Observe>
void run_times::record(const run_kind &kind, Observe observe)
{
    for (auto *profiles : {&m_profiles, &m_news}) {
        auto &profile = (*profiles)[kind];
        profile.lastUse = m_nextUse;
        observe(profile);
        if (!kind.image.empty()) {
            auto &queue = (*profiles)[{kind.queue, ""}];
            queue.lastUse = m_nextUse;
            observe(queue);
        }
        limitKinds(*profiles);
    }
    ++m_nextUse;
}

void run_times::recordDone(const step_context &step, milliseconds duration)
{
    if (step.estimateMs <= 0)
        return;
    const bool isCalibrated = find(step.kind, hasCalibration) != nullptr;
    const double expectedMs = calibratedMs(step);
    const double weight = weightOf(step);
    record(step.kind, [&](auto &profile) {
        if (isCalibrated)
            profile.toExpected.add(countOf(duration) / expectedMs, weight);
        profile.calibration.add(static_cast<double>(step.estimateMs), countOf(duration), weight);
        profile.countEnds(weight, 0);
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
            profile.toStep.add(countOf(milliseconds(siblingMs)) / median, weight);
    });
}

void run_times::recordFailed(const step_context &step, milliseconds duration)
{
    if (step.estimateMs <= 0)
        return;
    const double expectedMs = typicalMs(step);
    record(step.kind, [&](auto &profile) {
        profile.failures.add(countOf(duration) / expectedMs, weightOf(step));
        profile.countEnds(0, weightOf(step));
    });
}

std::int64_t run_times::quantileMs(const step_context &step, double share) const
{
    if (step.siblingsMs.empty())
        return std::llround(calibratedMs(step) * byKind(step.kind, share));
    return std::llround(typicalMs(step) * withinStep(step.kind, share));
}

// All tasks of the step share its typical run time; within the step, they vary independently. So
// the quantile is taken of the former, and the latter is that of the longest of them.
std::int64_t run_times::stepMs(const step_context &step, double share) const
{
    const double typical = step.siblingsMs.empty() ? calibratedMs(step) * byKind(step.kind, share)
                                                   : typicalMs(step);
    return std::llround(typical * lastOfStep(step));
}

double run_times::failureShare(const run_kind &kind) const
{
    const auto *profile =
            find(kind, [](const auto &seen) { return seen.done + seen.failed >= MinWeight; });
    return profile == nullptr ? 0 : profile->failed / (profile->done + profile->failed);
}

std::int64_t run_times::failureDelayMs(const step_context &step) const
{
    const auto *profile = findFailures(step.kind);
    return profile == nullptr ? 0
                              : std::llround(typicalMs(step) * profile->failures.quantile(Median));
}

const run_time_profile *run_times::findFailures(const run_kind &kind) const
{
    return find(kind, [](const auto &seen) { return seen.failures.weight() >= 1; });
}

double run_times::calibratedMs(const step_context &step) const
{
    const auto estimateMs = static_cast<double>(step.estimateMs);
    const auto *profile = find(step.kind, hasCalibration);
    return profile == nullptr || step.estimateMs <= 0 ? estimateMs
                                                      : profile->calibration.predict(estimateMs);
}

double run_times::typicalMs(const step_context &step) const
{
    const double kindMs = calibratedMs(step) * byKind(step.kind, Median);
    if (step.siblingsMs.empty())
        return kindMs;
    const auto siblingsMs = medianOf(step.siblingsMs);
    if (kindMs <= 0)
        return siblingsMs;
    const auto count = static_cast<double>(step.siblingsMs.size());
    const double weight = count / (count + KindWeight);
    return std::exp(weight * std::log(siblingsMs) + (1 - weight) * std::log(kindMs));
}

double run_times::byKind(const run_kind &kind, double share) const
{
    const auto *profile =
            find(kind, [](const auto &seen) { return seen.toExpected.weight() >= MinWeight; });
    return profile == nullptr ? 1 : profile->toExpected.quantile(share);
}

double run_times::withinStep(const run_kind &kind, double share) const
{
    const auto *profile =
            find(kind, [](const auto &seen) { return seen.toStep.weight() >= MinWeight; });
    return profile == nullptr ? 1 : profile->toStep.quantile(share);
}

double run_times::lastOfStep(const step_context &step) const
{
    const double longest = std::max(1.0, withinStep(step.kind, std::pow(Median, weightOf(step))));
    const auto *failing = findFailures(step.kind);
    const double noneFails = std::pow(1 - failureShare(step.kind), std::max(1, step.tasks));
    if (failing == nullptr || noneFails > Median)
        return longest;
    return std::max(longest, 1 + failing->failures.quantile(Median)); // fails once, and runs again
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
