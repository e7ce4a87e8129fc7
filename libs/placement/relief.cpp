#include "placement/relief.h"

#include <algorithm>
#include <chrono>

namespace zinniabarrow::placement {

namespace {

// Benefit for the service when the task loses `processors`: what the service exceeds its target by
// is the most that can be gained.
double latencyBenefit(const relief_candidate &candidate, double processors, double excess,
                      const policy_weights &weights)
{
    return weights.tailLatency * std::min(excess, candidate.effectPerProcessor * processors);
}

double throughputCost(double processors, double workerProcessors, const policy_weights &weights)
{
    return weights.throughput * processors / std::max(workerProcessors, 1.0);
}

struct scored_step
{
    double netBenefit = 0; // an action requires a benefit above zero
    std::optional<relief_step> step;
};

void keepIfBetter(scored_step &best, double netBenefit, relief_step step)
{
    if (netBenefit > best.netBenefit)
        best = {netBenefit, step};
}

} // namespace

void eviction_budget::refill(const relief_settings &settings, std::size_t workers, time_point now)
{
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    const double elapsedHours = m_refilledAt ? hours(now - *m_refilledAt).count() : 0;
    constexpr double MinutesPerHour = 60;
    const double tokensPerHour =
            std::min(settings.evictionsPerWorkerHour * static_cast<double>(workers),
                     settings.evictionsPerMinute * MinutesPerHour);
    const double maxTokens = std::min(settings.evictionBurst, settings.evictionsPerMinute);
    m_tokens = std::min(maxTokens, m_tokens + elapsedHours * tokensPerHour);
    m_refilledAt = now;
}

std::optional<relief_step> chooseRelief(double excess, double workerProcessors,
                                        std::span<const relief_candidate> candidates,
                                        const policy_weights &weights,
                                        const relief_settings &settings)
{
    scored_step best;
    for (const auto &candidate : candidates) {
        const double minLimit = candidate.reservedProcessors * settings.minThrottleShare;
        const double newLimit =
                std::max(minLimit, candidate.limitProcessors * settings.throttleFactor);
        const double lostProcessors = candidate.limitProcessors - newLimit;
        if (lostProcessors <= 0)
            continue;
        const double netBenefit = latencyBenefit(candidate, lostProcessors, excess, weights)
                                  - throughputCost(lostProcessors, workerProcessors, weights);
        keepIfBetter(best, netBenefit, throttle_relief{candidate.index, newLimit});
    }
    // Throttling loses no work, so evictions are considered only when throttling brings no net
    // benefit.
    if (best.step)
        return best.step;
    for (const auto &candidate : candidates) {
        if (!candidate.canEvict)
            continue;
        const double netBenefit =
                latencyBenefit(candidate, candidate.limitProcessors, excess, weights)
                - throughputCost(candidate.limitProcessors, workerProcessors, weights)
                - weights.evictions * settings.evictionCost;
        keepIfBetter(best, netBenefit, evict_relief{candidate.index});
    }
    return best.step;
}

std::optional<throttle_relief> chooseThrottleLift(double headroom,
                                                  std::span<const relief_candidate> candidates,
                                                  const relief_settings &settings)
{
    std::optional<throttle_relief> best;
    double smallestSlowdown = 0;
    for (const auto &candidate : candidates) {
        if (candidate.limitProcessors >= candidate.reservedProcessors)
            continue;
        const double newLimit = std::min(candidate.reservedProcessors,
                                         candidate.limitProcessors / settings.throttleFactor);
        const double addedSlowdown =
                candidate.effectPerProcessor * (newLimit - candidate.limitProcessors);
        if (addedSlowdown > headroom || (best && addedSlowdown >= smallestSlowdown))
            continue;
        best = throttle_relief{candidate.index, newLimit};
        smallestSlowdown = addedSlowdown;
    }
    return best;
}

} // namespace zinniabarrow::placement
