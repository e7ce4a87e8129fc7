// Histogram of ratios in buckets of equal width on a logarithmic scale. Forgets: once its weight
// has reached MaxWeight, each new observation takes the place of as much of the earlier ones.
#pragma once

#include <array>
#include <cstddef>

namespace zinniabarrow::jobs {

class ratio_histogram
{
public:
    static constexpr int BucketsPerOctave = 4; // a bucket is 19% wide
    static constexpr int MinOctave = -5;       // ratios from 1/32 ...
    static constexpr int MaxOctave = 6;        // ... to 64; others count in the outermost buckets
    static constexpr std::size_t BucketCount = BucketsPerOctave * (MaxOctave - MinOctave);
    // About as many steps as a busy entry sees end within some minutes.
    static constexpr double MaxWeight = 150;

    void add(double ratio, double weight); // ignored unless both are above 0 and finite
    void merge(const ratio_histogram &other);
    // Sets a bucket as it was stored. False and unchanged: out of range.
    bool setBucket(std::size_t bucket, double weight);
    double bucket(std::size_t number) const { return m_buckets[number]; }

    double weight() const { return m_weight; }
    // The ratio that the given share of the observations, 0 to 1, doesn't exceed; 1 while empty.
    double quantile(double share) const;

    friend bool operator==(const ratio_histogram &, const ratio_histogram &) = default;

private:
    void scaleTo(double weight);

    std::array<double, BucketCount> m_buckets{};
    double m_weight = 0; // sum of the buckets
};

} // namespace zinniabarrow::jobs
