#include "placement/interference.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

constexpr double Negligible = 1e-9; // processors left of a class by rounding

void apply(std::vector<class_amount> &amounts, class_number jobClass, double processors)
{
    const auto found = std::find_if(amounts.begin(), amounts.end(), [jobClass](const auto &amount) {
        return amount.jobClass == jobClass;
    });
    if (found == amounts.end()) {
        amounts.push_back({jobClass, processors});
        return;
    }
    found->processors += processors;
    if (std::abs(found->processors) < Negligible)
        amounts.erase(found);
}

double square(double value)
{
    return value * value;
}

} // namespace

void neighbour_history::change(class_number jobClass, double processors, time_point at)
{
    if (processors == 0)
        return;
    apply(m_current, jobClass, processors);
    m_changes.push_back({at, {jobClass, processors}});
    if (m_changes.size() > MostChanges) {
        m_knownFrom = m_changes.front().at;
        m_changes.pop_front();
    }
}

std::optional<std::vector<class_amount>> neighbour_history::at(time_point moment) const
{
    if (moment < m_knownFrom)
        return std::nullopt;
    auto amounts = m_current;
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        if (change->at <= moment)
            break;
        apply(amounts, change->amount.jobClass, -change->amount.processors);
    }
    return amounts;
}

interference_model::interference_model(const interference_settings &settings)
    : m_settings(settings)
{ }

std::uint32_t interference_model::keyOf(class_number service, class_number neighbour)
{
    return (std::uint32_t{service} << 16U) | neighbour;
}

// One step of a Kalman filter that keeps variances only: the residual is shared out by how
// uncertain each part is and how much of it was there.
void interference_model::learn(class_number service, std::span<const class_amount> neighbours,
                               double logRatio, time_point measuredAt)
{
    if (!m_settings.learn)
        return;
    double residual = logRatio - expected(service, neighbours);
    auto &base = baselineBelief(service, measuredAt);
    double total = square(m_settings.noise) + base.variance;
    for (const auto &neighbour : neighbours) {
        const auto known = m_pairs.contains(keyOf(service, neighbour.jobClass));
        if (!known && m_pairs.size() >= m_settings.maxPairs)
            continue;
        const auto &pair = pairBelief(service, neighbour.jobClass, measuredAt);
        total += square(neighbour.processors) * pair.variance;
    }
    correct(base, 1, 1 / total, residual);
    for (const auto &neighbour : neighbours) {
        const auto found = m_pairs.find(keyOf(service, neighbour.jobClass));
        if (found == m_pairs.end())
            continue;
        const double before = found->second.mean;
        correct(found->second, neighbour.processors, 1 / total, residual);
        found->second.mean = std::max(found->second.mean, 0.0); // a neighbour speeds nothing up
        m_byService[service].sum += found->second.mean - before;
        m_byNeighbour[neighbour.jobClass].sum += found->second.mean - before;
    }
}

effect_estimate interference_model::effect(class_number service, class_number neighbour) const
{
    const auto found = m_pairs.find(keyOf(service, neighbour));
    if (found != m_pairs.end())
        return {found->second.mean, std::sqrt(found->second.variance)};
    // The prior counts as one pair of each class.
    double sum = m_settings.priorEffect;
    int pairs = 1;
    const auto add = [&](const auto &means, class_number jobClass) {
        const auto mean = means.find(jobClass);
        if (mean == means.end())
            return;
        sum += mean->second.sum;
        pairs += mean->second.pairs;
    };
    add(m_byService, service);
    add(m_byNeighbour, neighbour);
    return {sum / pairs, m_settings.priorDeviation};
}

double interference_model::baseline(class_number service) const
{
    const auto found = m_baselines.find(service);
    return found == m_baselines.end() ? m_settings.baselineMean : found->second.mean;
}

double interference_model::expected(class_number service,
                                    std::span<const class_amount> neighbours) const
{
    double sum = baseline(service);
    for (const auto &neighbour : neighbours)
        sum += effect(service, neighbour.jobClass).mean * neighbour.processors;
    return sum;
}

interference_model::belief &interference_model::pairBelief(class_number service,
                                                           class_number neighbour, time_point at)
{
    const auto key = keyOf(service, neighbour);
    const auto found = m_pairs.find(key);
    if (found != m_pairs.end()) {
        drift(found->second, at);
        return found->second;
    }
    const double borrowed = effect(service, neighbour).mean;
    for (auto *mean : {&m_byService[service], &m_byNeighbour[neighbour]}) {
        mean->sum += borrowed;
        ++mean->pairs;
    }
    return m_pairs[key] = {borrowed, square(m_settings.priorDeviation), at};
}

interference_model::belief &interference_model::baselineBelief(class_number service, time_point at)
{
    const belief fresh{m_settings.baselineMean, square(m_settings.baselineDeviation), at};
    auto &base = m_baselines.try_emplace(service, fresh).first->second;
    drift(base, at);
    return base;
}

void interference_model::drift(belief &entry, time_point at) const
{
    if (at <= entry.updatedAt)
        return;
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    const double passed = hours(at - entry.updatedAt).count();
    entry.variance += square(m_settings.driftPerHour) * passed;
    entry.updatedAt = at;
}

void interference_model::correct(belief &entry, double weight, double gain, double residual) const
{
    const double share = entry.variance * weight * gain;
    entry.mean += share * residual;
    entry.variance *= 1 - share * weight;
}

} // namespace zinniabarrow::placement
