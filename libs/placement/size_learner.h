// Learned sizes: how much the tasks of a job class really use, according to usage samples.
//
//   quantile_sketch  estimates quantiles of many values in bounded memory
//   size_learner     one sketch of memory and one of processor time per job class, and the
//                    resulting reservation
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

// Histogram whose bucket boundaries grow by a factor of 2^(1/8): a quantile is at most 9.1% too
// large and never too small. Old counts are halved regularly, so that the distribution may change
// over time.
class quantile_sketch
{
public:
    // Values below 2^minExponent share the lowest bucket.
    explicit quantile_sketch(int minExponent)
        : m_minExponent(minExponent)
    { }

    void add(std::int64_t value);
    // The peak of a task rose: moves its count to the bucket of the new value.
    void move(std::int64_t from, std::int64_t to);
    // Upper boundary of the bucket that contains the quantile; 0 while empty.
    std::int64_t quantile(double fraction) const;
    double count() const { return m_count; }
    // Incremented by every change.
    std::uint64_t revision() const { return m_revision; }

private:
    static constexpr int BucketsPerDoubling = 8;
    static constexpr int BucketCount = 24 * BucketsPerDoubling;
    static constexpr double HalveAtCount = 4096; // all counts are halved at this total

    std::size_t bucketOf(std::int64_t value) const;

    int m_minExponent;
    double m_count = 0;
    std::uint64_t m_revision = 0;
    std::array<float, BucketCount> m_buckets{};
};

// Usage of one job's own tasks, which is more accurate than that of its class.
struct job_usage
{
    std::int64_t peakBytes = 0; // largest memory use of any of its tasks
    int finishedTasks = 0;      // tasks measured until they finished
};

struct size_learner_settings
{
    bool learn = true;               // false: use declared sizes only
    double memoryQuantile = 0.7;     // of the tasks' peaks in a class
    double memoryHeadroom = 1.2;     // factor on the peak of the job's own tasks
    double processorQuantile = 0.9;  // of the samples in a class
    double processorHeadroom = 1.25; // above 1, so that a limited task can show that it needs more
    double minProcessorShare = 0.25; // lower bound for batch, as a fraction of the declared size
    double raiseThreshold = 0.9;     // memory used over reserved that causes a raise
    double raiseHeadroom = 1.2;      // factor from the memory used to the raised reservation
    double minPeaks = 5;             // tasks measured before learned memory is used
    double minSamples = 20;          // samples before learned processor time is used
    std::size_t maxClasses = 512;    // beyond it, the class without a sample for longest is removed
};

class size_learner
{
public:
    explicit size_learner(const size_learner_settings &settings);

    // Adds a sample. `peakBefore`: largest memory use of this task so far, 0 for its first sample.
    void observe(const std::string &jobClass, std::int64_t peakBefore, const resources &used,
                 time_point now);
    // Memory: the larger of declared and learned. Learned memory comes from the class until a task
    // of the job has finished, and from the job's own tasks after that. Processor time: a service
    // gets at least what it declared; the reservation of a batch task, which can be throttled,
    // follows the measured use, between minProcessorShare of the declared size and the declared
    // size.
    resources reservationFor(const task_spec &task, const job_usage &usage = {}) const;

    // The reservation that the usage requires; equal to `reserved` while there is enough headroom.
    resources raisedReservation(const resources &reserved, const resources &used) const;
    std::size_t classCount() const { return m_classes.size(); }

private:
    // Quantiles are read for each decision, while the sketch changes with each sample. So a
    // quantile is recomputed only after several changes.
    struct cached_quantile
    {
        std::int64_t value = 0;
        std::uint64_t revision = 0; // quantile_sketch::revision() when the value was computed
    };
    struct class_sizes
    {
        quantile_sketch memoryPeaks{20};      // bytes; the lowest bucket ends at 1 MiB
        quantile_sketch processorSamples{0};  // millicores
        time_point lastSeenAt;                // time of the last sample
        mutable cached_quantile cachedPeak;   // quantile of memoryPeaks
        mutable cached_quantile cachedSample; // quantile of processorSamples
    };

    void forgetLeastRecentClass();
    std::int64_t memoryFor(const class_sizes *sizes, const job_usage &usage) const;
    static std::int64_t readQuantile(const quantile_sketch &sketch, double fraction,
                                     cached_quantile &cache);

    size_learner_settings m_settings;
    std::unordered_map<std::string, class_sizes> m_classes;
};

} // namespace zinniabarrow::placement
