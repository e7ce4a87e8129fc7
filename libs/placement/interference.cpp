#include "placement/interference.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

void apply(std::vector<class_millicores> &amounts, class_number jobClass, std::int64_t millicores)
{
    const auto found = std::find_if(amounts.begin(), amounts.end(), [jobClass](const auto &amount) {
        return amount.jobClass == jobClass;
    });
    if (found == amounts.end()) {
        amounts.push_back({jobClass, millicores});
        return;
    }
    found->millicores += millicores;
    if (found->millicores == 0)
        amounts.erase(found);
}

template <typename Number>
Number square(Number value)
{
    return value * value;
}

} // namespace

std::vector<class_share> sharesOf(std::span<const class_millicores> amounts,
                                  std::int64_t workerMillicores)
{
    std::vector<class_share> shares;
    if (workerMillicores <= 0)
        return shares;
    const auto workerSize = static_cast<double>(workerMillicores);
    shares.reserve(amounts.size());
    for (const auto &amount : amounts)
        shares.push_back({amount.jobClass, static_cast<double>(amount.millicores) / workerSize});
    return shares;
}

void neighbour_history::addChange(class_number jobClass, std::int64_t millicores, time_point at)
{
    if (millicores == 0)
        return;
    apply(m_current, jobClass, millicores);
    m_changes.push_back({at, {jobClass, millicores}});
    if (m_changes.size() > MaxChanges) {
        m_knownFrom = m_changes.front().at;
        m_changes.pop_front();
    }
}

std::optional<std::vector<class_millicores>> neighbour_history::at(time_point moment) const
{
    if (moment < m_knownFrom)
        return std::nullopt;
    auto amounts = m_current;
    for (auto change = m_changes.rbegin(); change != m_changes.rend(); ++change) {
        if (change->at <= moment)
            break;
        apply(amounts, change->amount.jobClass, -change->amount.millicores);
    }
    return amounts;
}

interference_model::interference_model(const interference_settings &settings)
    : m_settings(settings)
{ }

void interference_model::learn(class_number service, std::span<const class_share> neighbours,
                               double logRatio, time_point measuredAt)
{
    if (!m_settings.learn)
        return;
    auto *estimate = findOrAddEstimate(service, measuredAt);
    if (!estimate)
        return;
    addDrift(*estimate, measuredAt);
    std::vector<regressor> regressors{{0, 1}};
    for (const auto &neighbour : neighbours) {
        const auto index = findOrAddIndex(*estimate, neighbour.jobClass, measuredAt);
        if (index != 0 && neighbour.share > 0)
            regressors.push_back({index, neighbour.share});
    }
    const double residual = logRatio - expectedLogRatio(service, neighbours);
    update(*estimate, regressors, residual);
}

// Update step of a Kalman filter whose state, the means, is constant except for the drift.
void interference_model::update(service_estimate &estimate,
                                const std::vector<regressor> &regressors, double residual)
{
    const auto size = estimate.means.size();
    std::vector<double> crossCovariance(size, 0); // covariance matrix times the regressors
    for (std::size_t row = 0; row < size; ++row) {
        for (const auto &term : regressors)
            crossCovariance[row] += covarianceAt(estimate, row, term.index) * term.coefficient;
    }
    double residualVariance = square(m_settings.sampleDeviation);
    for (const auto &term : regressors)
        residualVariance += crossCovariance[term.index] * term.coefficient;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            covarianceAt(estimate, row, column) -=
                    crossCovariance[row] * crossCovariance[column] / residualVariance;
    }
    estimate.means[0] += crossCovariance[0] / residualVariance * residual;
    for (std::size_t index = 1; index < size; ++index) {
        const double mean =
                estimate.means[index] + crossCovariance[index] / residualVariance * residual;
        setMean(estimate, index, std::max(mean, 0.0)); // a neighbour never makes a service faster
    }
}

void interference_model::setMean(service_estimate &estimate, std::size_t index, double mean)
{
    const double change = mean - estimate.means[index];
    estimate.means[index] = mean;
    estimate.effectSum += change;
    m_neighbourMeans[estimate.neighbours[index - 1]].sum += change;
}

effect_estimate interference_model::effect(class_number service, class_number neighbour) const
{
    // The prior counts as one pair.
    double sum = m_settings.priorEffect;
    int pairs = 1;
    const auto found = m_estimates.find(service);
    if (found != m_estimates.end()) {
        const auto &estimate = found->second;
        if (const auto index = findIndex(estimate, neighbour)) {
            const auto diagonal = index * (m_settings.maxNeighbours + 1) + index;
            return {estimate.means[index], std::sqrt(std::max(estimate.covariance[diagonal], 0.0))};
        }
        sum += estimate.effectSum;
        pairs += static_cast<int>(estimate.neighbours.size());
    }
    const auto others = m_neighbourMeans.find(neighbour);
    if (others != m_neighbourMeans.end()) {
        sum += others->second.sum;
        pairs += others->second.pairs;
    }
    return {sum / pairs, m_settings.priorDeviation};
}

double interference_model::baseline(class_number service) const
{
    const auto found = m_estimates.find(service);
    return found == m_estimates.end() ? m_settings.baselineMean : found->second.means[0];
}

double interference_model::expectedLogRatio(class_number service,
                                            std::span<const class_share> neighbours) const
{
    double sum = baseline(service);
    for (const auto &neighbour : neighbours)
        sum += effect(service, neighbour.jobClass).mean * neighbour.share;
    return sum;
}

interference_model::service_estimate *interference_model::findOrAddEstimate(class_number service,
                                                                            time_point at)
{
    const auto found = m_estimates.find(service);
    if (found != m_estimates.end())
        return &found->second;
    if (m_estimates.size() >= m_settings.maxServices)
        return nullptr;
    auto &estimate = m_estimates[service];
    estimate.means.push_back(m_settings.baselineMean);
    estimate.covariance.assign(square(m_settings.maxNeighbours + 1), 0);
    covarianceAt(estimate, 0, 0) = square(m_settings.baselineDeviation);
    estimate.updatedAt = at;
    return &estimate;
}

// Returns the neighbour's index in service_estimate::means, or 0 when it has none.
std::size_t interference_model::findIndex(const service_estimate &estimate, class_number neighbour)
{
    const auto found = std::find(estimate.neighbours.begin(), estimate.neighbours.end(), neighbour);
    if (found == estimate.neighbours.end())
        return 0;
    return static_cast<std::size_t>(found - estimate.neighbours.begin()) + 1;
}

// A new class takes a free index, or replaces the class that was seen least recently. Returns 0
// when all known classes appear in the current sample.
std::size_t interference_model::findOrAddIndex(service_estimate &estimate, class_number neighbour,
                                               time_point at)
{
    if (const auto knownIndex = findIndex(estimate, neighbour)) {
        estimate.lastSeenAt[knownIndex - 1] = at;
        return knownIndex;
    }
    if (estimate.neighbours.size() < m_settings.maxNeighbours) {
        estimate.neighbours.push_back(neighbour);
        estimate.lastSeenAt.push_back(at);
        estimate.means.push_back(0);
        assignIndex(estimate, estimate.neighbours.size(), neighbour);
        return estimate.neighbours.size();
    }
    const auto oldest = std::min_element(estimate.lastSeenAt.begin(), estimate.lastSeenAt.end());
    if (oldest == estimate.lastSeenAt.end() || *oldest == at)
        return 0;
    *oldest = at;
    const auto index = static_cast<std::size_t>(oldest - estimate.lastSeenAt.begin()) + 1;
    auto &others = m_neighbourMeans[estimate.neighbours[index - 1]];
    others.sum -= estimate.means[index];
    --others.pairs;
    estimate.effectSum -= estimate.means[index];
    estimate.means[index] = 0;
    assignIndex(estimate, index, neighbour);
    return index;
}

// Assigns the index to `neighbour`. The initial mean is the average over the pairs already known
// and the prior; the uncertainty is that of the prior.
void interference_model::assignIndex(service_estimate &estimate, std::size_t index,
                                     class_number neighbour)
{
    const auto others = m_neighbourMeans[neighbour];
    const double initialMean = (m_settings.priorEffect + estimate.effectSum + others.sum)
                               / (static_cast<double>(estimate.neighbours.size()) + others.pairs);
    estimate.neighbours[index - 1] = neighbour;
    ++m_neighbourMeans[neighbour].pairs;
    for (std::size_t other = 0; other < estimate.means.size(); ++other) {
        covarianceAt(estimate, index, other) = 0;
        covarianceAt(estimate, other, index) = 0;
    }
    covarianceAt(estimate, index, index) = square(m_settings.priorDeviation);
    setMean(estimate, index, initialMean);
}

void interference_model::addDrift(service_estimate &estimate, time_point at) const
{
    if (at <= estimate.updatedAt)
        return;
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    const double elapsedHours = hours(at - estimate.updatedAt).count();
    estimate.updatedAt = at;
    for (std::size_t index = 0; index < estimate.means.size(); ++index) {
        auto &variance = covarianceAt(estimate, index, index);
        const double deviationPerHour =
                index == 0 ? m_settings.baselineDriftPerHour : m_settings.effectDriftPerHour;
        const double maxDeviation =
                index == 0 ? m_settings.baselineDeviation : m_settings.priorDeviation;
        variance = std::max(variance, std::min(variance + square(deviationPerHour) * elapsedHours,
                                               square(maxDeviation)));
    }
}

} // namespace zinniabarrow::placement
