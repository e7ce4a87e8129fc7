#include "placement/relief.h"

#include <algorithm>
#include <chrono>

namespace zinniabarrow::placement {

namespace {

// What the service gains when the task loses `processors`: no more than its excess.
double benefitOf(const relief_candidate &candidate, double processors, double excess,
                 const policy_weights &weights)
{
    return weights.tailLatency * std::min(excess, candidate.effect * processors);
}

double throughputCost(double processors, double workerProcessors, const policy_weights &weights)
{
    return weights.throughput * processors / std::max(workerProcessors, 1.0);
}

struct scored_step
{
    double profit = 0; // only a profit above zero is worth an action
    std::optional<relief_step> step;
};

void consider(scored_step &best, double profit, relief_step step)
{
    if (profit > best.profit)
        best = {profit, step};
}

} // namespace

void eviction_budget::refill(const relief_settings &settings, std::size_t workers, time_point now)
{
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    const double passed = m_refilledAt ? hours(now - *m_refilledAt).count() : 0;
    constexpr double MinutesPerHour = 60;
    const double rate = std::min(settings.evictionsPerWorkerHour * static_cast<double>(workers),
                                 settings.evictionsPerMinute * MinutesPerHour);
    const double most = std::min(settings.evictionBurst, settings.evictionsPerMinute);
    m_tokens = std::min(most, m_tokens + passed * rate);
    m_refilledAt = now;
}

std::optional<relief_step> chooseRelief(double excess, double workerProcessors,
                                        std::span<const relief_candidate> candidates,
                                        const policy_weights &weights,
                                        const relief_settings &settings)
{
    scored_step best;
    for (const auto &candidate : candidates) {
        const double floor = candidate.reservation * settings.throttleFloor;
        const double limit = std::max(floor, candidate.limit * settings.throttleStep);
        const double lost = candidate.limit - limit;
        if (lost <= 0)
            continue;
        const double profit = benefitOf(candidate, lost, excess, weights)
                              - throughputCost(lost, workerProcessors, weights);
        consider(best, profit, throttle_relief{candidate.index, limit});
    }
    // Throttling loses no work, so an eviction is weighed only when no throttling is worth it.
    if (best.step)
        return best.step;
    for (const auto &candidate : candidates) {
        if (!candidate.mayEvict)
            continue;
        const double profit = benefitOf(candidate, candidate.limit, excess, weights)
                              - throughputCost(candidate.limit, workerProcessors, weights)
                              - weights.evictions * settings.evictionCost;
        consider(best, profit, evict_relief{candidate.index});
    }
    return best.step;
}

std::optional<throttle_relief> chooseRecovery(double room,
                                              std::span<const relief_candidate> candidates,
                                              const relief_settings &settings)
{
    std::optional<throttle_relief> best;
    double smallestEffect = 0;
    for (const auto &candidate : candidates) {
        if (candidate.limit >= candidate.reservation)
            continue;
        const double limit =
                std::min(candidate.reservation, candidate.limit / settings.throttleStep);
        const double effect = candidate.effect * (limit - candidate.limit);
        if (effect > room || (best && effect >= smallestEffect))
            continue;
        best = throttle_relief{candidate.index, limit};
        smallestEffect = effect;
    }
    return best;
}

} // namespace zinniabarrow::placement
