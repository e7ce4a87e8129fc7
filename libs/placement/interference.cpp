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

std::vector<class_part> partsOf(std::span<const class_millicores> amounts,
                                std::int64_t workerMillicores)
{
    std::vector<class_part> parts;
    if (workerMillicores <= 0)
        return parts;
    const auto whole = static_cast<double>(workerMillicores);
    parts.reserve(amounts.size());
    for (const auto &amount : amounts)
        parts.push_back({amount.jobClass, static_cast<double>(amount.millicores) / whole});
    return parts;
}

void neighbour_history::change(class_number jobClass, std::int64_t millicores, time_point at)
{
    if (millicores == 0)
        return;
    apply(m_current, jobClass, millicores);
    m_changes.push_back({at, {jobClass, millicores}});
    if (m_changes.size() > MostChanges) {
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

void interference_model::learn(class_number service, std::span<const class_part> neighbours,
                               double logRatio, time_point measuredAt)
{
    if (!m_settings.learn)
        return;
    auto *belief = beliefOf(service, measuredAt);
    if (!belief)
        return;
    drift(*belief, measuredAt);
    std::vector<indexed_amount> amounts{{0, 1}};
    for (const auto &neighbour : neighbours) {
        const auto index = indexFor(*belief, neighbour.jobClass, measuredAt);
        if (index != 0 && neighbour.part > 0)
            amounts.push_back({index, neighbour.part});
    }
    const double residual = logRatio - expected(service, neighbours);
    correct(*belief, amounts, residual);
}

// One step of a Kalman filter whose state stands still but for the drift.
void interference_model::correct(service_belief &belief, const std::vector<indexed_amount> &amounts,
                                 double residual)
{
    const auto size = belief.means.size();
    std::vector<double> joint(size, 0); // covariance times amounts
    for (std::size_t row = 0; row < size; ++row) {
        for (const auto &amount : amounts)
            joint[row] += covarianceAt(belief, row, amount.index) * amount.amount;
    }
    double total = square(m_settings.noise);
    for (const auto &amount : amounts)
        total += joint[amount.index] * amount.amount;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            covarianceAt(belief, row, column) -= joint[row] * joint[column] / total;
    }
    belief.means[0] += joint[0] / total * residual;
    for (std::size_t index = 1; index < size; ++index) {
        const double mean = belief.means[index] + joint[index] / total * residual;
        setMean(belief, index, std::max(mean, 0.0)); // a neighbour speeds nothing up
    }
}

void interference_model::setMean(service_belief &belief, std::size_t index, double mean)
{
    const double change = mean - belief.means[index];
    belief.means[index] = mean;
    belief.effectSum += change;
    m_byNeighbour[belief.neighbours[index - 1]].sum += change;
}

effect_estimate interference_model::effect(class_number service, class_number neighbour) const
{
    // The prior counts as one pair.
    double sum = m_settings.priorEffect;
    int pairs = 1;
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        const auto &belief = found->second;
        if (const auto index = findIndex(belief, neighbour)) {
            const auto diagonal = index * (m_settings.maxNeighbours + 1) + index;
            return {belief.means[index], std::sqrt(std::max(belief.covariance[diagonal], 0.0))};
        }
        sum += belief.effectSum;
        pairs += static_cast<int>(belief.neighbours.size());
    }
    const auto others = m_byNeighbour.find(neighbour);
    if (others != m_byNeighbour.end()) {
        sum += others->second.sum;
        pairs += others->second.pairs;
    }
    return {sum / pairs, m_settings.priorDeviation};
}

double interference_model::baseline(class_number service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? m_settings.baselineMean : found->second.means[0];
}

double interference_model::expected(class_number service,
                                    std::span<const class_part> neighbours) const
{
    double sum = baseline(service);
    for (const auto &neighbour : neighbours)
        sum += effect(service, neighbour.jobClass).mean * neighbour.part;
    return sum;
}

interference_model::service_belief *interference_model::beliefOf(class_number service,
                                                                 time_point at)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return &found->second;
    if (m_services.size() >= m_settings.maxServices)
        return nullptr;
    auto &belief = m_services[service];
    belief.means.push_back(m_settings.baselineMean);
    belief.covariance.assign(square(m_settings.maxNeighbours + 1), 0);
    covarianceAt(belief, 0, 0) = square(m_settings.baselineDeviation);
    belief.updatedAt = at;
    return &belief;
}

// 0 when the class is not among the neighbours.
std::size_t interference_model::findIndex(const service_belief &belief, class_number neighbour)
{
    const auto found = std::find(belief.neighbours.begin(), belief.neighbours.end(), neighbour);
    if (found == belief.neighbours.end())
        return 0;
    return static_cast<std::size_t>(found - belief.neighbours.begin()) + 1;
}

// A class seen for the first time takes a free place, or that of the one unseen for longest. 0 when
// all are beside the service in this very sample.
std::size_t interference_model::indexFor(service_belief &belief, class_number neighbour,
                                         time_point at)
{
    if (const auto known = findIndex(belief, neighbour)) {
        belief.seenAt[known - 1] = at;
        return known;
    }
    if (belief.neighbours.size() < m_settings.maxNeighbours) {
        belief.neighbours.push_back(neighbour);
        belief.seenAt.push_back(at);
        belief.means.push_back(0);
        forget(belief, belief.neighbours.size(), neighbour);
        return belief.neighbours.size();
    }
    const auto oldest = std::min_element(belief.seenAt.begin(), belief.seenAt.end());
    if (oldest == belief.seenAt.end() || *oldest == at)
        return 0;
    *oldest = at;
    const auto index = static_cast<std::size_t>(oldest - belief.seenAt.begin()) + 1;
    auto &others = m_byNeighbour[belief.neighbours[index - 1]];
    others.sum -= belief.means[index];
    --others.pairs;
    belief.effectSum -= belief.means[index];
    belief.means[index] = 0;
    forget(belief, index, neighbour);
    return index;
}

// Gives the place to `neighbour`, with what can be borrowed and the prior's uncertainty.
void interference_model::forget(service_belief &belief, std::size_t index, class_number neighbour)
{
    const auto others = m_byNeighbour[neighbour];
    const double borrowed = (m_settings.priorEffect + belief.effectSum + others.sum)
                            / (static_cast<double>(belief.neighbours.size()) + others.pairs);
    belief.neighbours[index - 1] = neighbour;
    ++m_byNeighbour[neighbour].pairs;
    for (std::size_t other = 0; other < belief.means.size(); ++other) {
        covarianceAt(belief, index, other) = 0;
        covarianceAt(belief, other, index) = 0;
    }
    covarianceAt(belief, index, index) = square(m_settings.priorDeviation);
    setMean(belief, index, borrowed);
}

void interference_model::drift(service_belief &belief, time_point at) const
{
    if (at <= belief.updatedAt)
        return;
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    const double passed = hours(at - belief.updatedAt).count();
    belief.updatedAt = at;
    for (std::size_t index = 0; index < belief.means.size(); ++index) {
        auto &variance = covarianceAt(belief, index, index);
        const double gained = index == 0 ? m_settings.baselineDrift : m_settings.effectDrift;
        const double most = index == 0 ? m_settings.baselineDeviation : m_settings.priorDeviation;
        variance = std::max(variance, std::min(variance + square(gained) * passed, square(most)));
    }
}

} // namespace zinniabarrow::placement
