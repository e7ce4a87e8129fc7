#include "jobs/ratio_histogram.h"

#include <algorithm>
#include <cmath>

namespace zinniabarrow::jobs {

namespace {

// Bucket borders lie beside 1, not at it: ratios near 1 are the most frequent.
constexpr double Offset = 0.5; // bucket widths

std::size_t bucketOf(double ratio)
{
    const auto position = std::floor(ratio_histogram::BucketsPerOctave
                                             * (std::log2(ratio) - ratio_histogram::MinOctave)
                                     + Offset);
    constexpr auto Last = static_cast<double>(ratio_histogram::BucketCount - 1);
    return static_cast<std::size_t>(std::clamp(position, 0.0, Last));
}

} // namespace

void ratio_histogram::add(double ratio, double weight)
{
    if (!(ratio > 0) || !(weight > 0) || !std::isfinite(ratio) || !std::isfinite(weight))
        return;
    weight = std::min(weight, MaxWeight);
    scaleTo(std::min(m_weight, MaxWeight - weight));
    m_buckets[bucketOf(ratio)] += weight;
    m_weight += weight;
}

void ratio_histogram::merge(const ratio_histogram &other)
{
    scaleTo(std::min(m_weight, MaxWeight - other.m_weight));
    for (std::size_t number = 0; number < BucketCount; ++number)
        m_buckets[number] += other.m_buckets[number];
    m_weight += other.m_weight;
}

bool ratio_histogram::setBucket(std::size_t bucket, double weight)
{
    constexpr double RoundingSlack = 1; // stored weights are rounded
    if (bucket >= BucketCount || !(weight >= 0))
        return false;
    const double sum = m_weight - m_buckets[bucket] + weight;
    if (sum > MaxWeight + RoundingSlack)
        return false;
    m_buckets[bucket] = weight;
    m_weight = sum;
    return true;
}

double ratio_histogram::quantile(double share) const
{
    if (m_weight <= 0)
        return 1;
    const double wanted = std::clamp(share, 0.0, 1.0) * m_weight;
    double below = 0;
    std::size_t last = 0;
    for (std::size_t number = 0; number < BucketCount; ++number) {
        if (m_buckets[number] <= 0)
            continue;
        last = number;
        if (below + m_buckets[number] >= wanted)
            break;
        below += m_buckets[number];
    }
    const double within = std::clamp((wanted - below) / m_buckets[last], 0.0, 1.0);
    return std::exp2(MinOctave + (static_cast<double>(last) + within - Offset) / BucketsPerOctave);
}

void ratio_histogram::scaleTo(double weight)
{
    if (m_weight <= 0 || weight >= m_weight)
        return;
    for (auto &value : m_buckets)
        value *= weight / m_weight;
    m_weight = weight;
}

} // namespace zinniabarrow::jobs
