// Learned sizes: what the tasks of a job class really use, from late usage samples.
//
//   quantile_sketch  a quantile of many values in bounded memory
//   size_learner     one pair of sketches for each job class, and the reservation that follows
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

// Counts in buckets whose edges grow by 2^(1/8): a quantile is at most 9.1% too large, never too
// small. Old counts fade by halving, so that a class may change.
class quantile_sketch
{
public:
    // Values below 2^smallestPower share the lowest bucket.
    explicit quantile_sketch(int minExponent)
        : m_minExponent(minExponent)
    { }

    void add(std::int64_t value);
    // A task's peak rose: its one count moves along.
    void move(std::int64_t from, std::int64_t to);
    // Upper edge of the bucket that holds the quantile; 0 while empty.
    std::int64_t quantile(double fraction) const;
    double count() const { return m_count; }
    // Raised by every change.
    std::uint64_t revision() const { return m_revision; }

private:
    static constexpr int BucketsPerDoubling = 8;
    static constexpr int BucketCount = 24 * BucketsPerDoubling;
    static constexpr double HalveAtCount = 4096; // counts

    std::size_t bucketOf(std::int64_t value) const;

    int m_minExponent;
    double m_count = 0;
    std::uint64_t m_revision = 0;
    std::array<float, BucketCount> m_buckets{};
};

// What was seen of one job's own tasks: nearer to the truth than its class.
struct job_usage
{
    std::int64_t peakBytes = 0; // largest memory of any of its tasks
    int finishedTasks = 0;      // whose whole life was seen
};

struct size_learner_settings
{
    bool learn = true;               // false: declared sizes only
    double memoryQuantile = 0.7;     // of the tasks' peaks in a class
    double memoryHeadroom = 1.2;     // factor above the peak of the job's own tasks
    double processorQuantile = 0.9;  // of the samples
    double processorHeadroom = 1.25; // above 1, so that a limited task can show that it needs more
    double minProcessorShare = 0.25; // of the declared size: never reclaimed below it
    double raiseThreshold = 0.9;     // usage over reservation that raises the reservation
    double raiseHeadroom = 1.2;      // the raised reservation over the usage
    double minPeaks = 5;             // tasks seen before memory counts as learned
    double minSamples = 20;          // samples seen before processor time counts as learned
    std::size_t maxClasses = 512;    // the one unseen for longest is forgotten beyond it
};

class size_learner
{
public:
    explicit size_learner(const size_learner_settings &settings);

    // `peakBefore`: largest memory seen of this task before, 0 for its first sample.
    void observe(const std::string &jobClass, std::int64_t peakBefore, const resources &used,
                 time_point now);
    // Memory: the larger of declared and learned; of the job's own tasks once one has finished,
    // before that of its class. Processor: a service keeps what it declared or more; of a batch
    // task, which can be throttled, what it does not use is reclaimed.
    resources reservationFor(const task_spec &task, const job_usage &usage = {}) const;

    // The reservation that `used` asks for; equal to `reserved` while there is enough headroom.
    resources raisedReservation(const resources &reserved, const resources &used) const;
    std::size_t classCount() const { return m_classes.size(); }

private:
    // A quantile is read for each decision, and the sketch changes with each sample: it is looked
    // up again only after several changes.
    struct cached_quantile
    {
        std::int64_t value = 0;
        std::uint64_t revision = 0; // of the sketch when it was read
    };
    struct class_sizes
    {
        quantile_sketch memoryPeaks{20};      // bytes, from 1 MiB
        quantile_sketch processorSamples{0};  // millicores
        time_point lastSeenAt;                //
        mutable cached_quantile cachedPeak;   //
        mutable cached_quantile cachedSample; //
    };

    void forgetLeastRecentClass();
    std::int64_t memoryFor(const class_sizes *sizes, const job_usage &usage) const;
    static std::int64_t readQuantile(const quantile_sketch &sketch, double fraction,
                                     cached_quantile &cache);

    size_learner_settings m_settings;
    std::unordered_map<std::string, class_sizes> m_classes;
};

} // namespace zinniabarrow::placement
