#include "jobs/log_regression.h"

#include <algorithm>
#include <cmath>

#include "jobs/ratio_histogram.h"

namespace zinniabarrow::jobs {

namespace {

constexpr double MaxWeight = ratio_histogram::MaxWeight;

} // namespace

log_regression::log_regression(const moments &sums)
    : m_sums(sums)
{
    scaleTo(MaxWeight);
}

void log_regression::add(double x, double y, double weight)
{
    if (x > 0 && y > 0 && weight > 0)
        merge(log_regression({std::min(weight, MaxWeight), std::log(x), std::log(y), 0, 0}));
}

void log_regression::merge(const log_regression &other)
{
    const auto &added = other.m_sums;
    scaleTo(MaxWeight - added.weight);
    const double sum = m_sums.weight + added.weight;
    if (sum <= 0)
        return;
    const double apartX = added.meanX - m_sums.meanX;
    const double apartY = added.meanY - m_sums.meanY;
    const double between = m_sums.weight * added.weight / sum;
    const double share = added.weight / sum;
    m_sums = {sum, m_sums.meanX + share * apartX, m_sums.meanY + share * apartY,
              m_sums.xx + added.xx + between * apartX * apartX,
              m_sums.xy + added.xy + between * apartX * apartY};
}

double log_regression::predict(double x) const
{
    // As if one more pair had been seen, of slope 1 and far from the mean by a factor of e.
    constexpr double PriorXx = 1;
    const double slope = std::clamp((m_sums.xy + PriorXx) / (m_sums.xx + PriorXx), 0.0, 1.0);
    return std::exp(m_sums.meanY + slope * (std::log(x) - m_sums.meanX));
}

void log_regression::scaleTo(double weight)
{
    if (m_sums.weight <= 0 || weight >= m_sums.weight)
        return;
    const double factor = std::max(0.0, weight) / m_sums.weight;
    m_sums.weight *= factor;
    m_sums.xx *= factor;
    m_sums.xy *= factor;
}

} // namespace zinniabarrow::jobs
