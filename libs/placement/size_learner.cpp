#include "placement/size_learner.h"

#include <algorithm>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

// The quantile of a sketch with n samples is recomputed after n/16 changes, and after every change
// while n is small.
constexpr double CountPerRead = 16;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

} // namespace

std::size_t quantile_sketch::bucketOf(std::int64_t value) const
{
    if (value < 1)
        return 0;
    const double exponent = std::log2(static_cast<double>(value)) - m_minExponent;
    const auto bucket = static_cast<int>(std::ceil(exponent * BucketsPerDoubling));
    return static_cast<std::size_t>(std::clamp(bucket, 0, BucketCount - 1));
}

void quantile_sketch::add(std::int64_t value)
{
    m_buckets.at(bucketOf(value)) += 1;
    m_count += 1;
    ++m_revision;
    if (m_count < HalveAtCount)
        return;
    for (auto &bucket : m_buckets)
        bucket /= 2;
    m_count /= 2;
}

void quantile_sketch::move(std::int64_t from, std::int64_t to)
{
    ++m_revision;
    auto &source = m_buckets.at(bucketOf(from));
    const float moved = std::min(source, 1.0F); // the count may be below 1 after halving
    source -= moved;
    m_buckets.at(bucketOf(to)) += moved;
}

std::int64_t quantile_sketch::quantile(double fraction) const
{
    if (m_count <= 0)
        return 0;
    double below = 0;
    int bucket = 0;
    for (; bucket < BucketCount - 1; ++bucket) {
        below += m_buckets.at(static_cast<std::size_t>(bucket));
        if (below >= fraction * m_count)
            break;
    }
    const double exponent = m_minExponent + static_cast<double>(bucket) / BucketsPerDoubling;
    return static_cast<std::int64_t>(std::ceil(std::exp2(exponent)));
}

size_learner::size_learner(const size_learner_settings &settings)
    : m_settings(settings)
{ }

void size_learner::observe(const std::string &jobClass, std::int64_t peakBefore,
                           const resources &used, time_point now)
{
    if (!m_settings.learn)
        return;
    auto &sizes = m_classes[jobClass];
    sizes.lastSeenAt = now;
    sizes.processorSamples.add(used.millicores);
    if (peakBefore == 0)
        sizes.memoryPeaks.add(used.bytes);
    else if (used.bytes > peakBefore)
        sizes.memoryPeaks.move(peakBefore, used.bytes);
    if (m_classes.size() > m_settings.maxClasses)
        forgetLeastRecentClass();
}

void size_learner::forgetLeastRecentClass()
{
    const auto oldest = std::min_element(
            m_classes.begin(), m_classes.end(), [](const auto &left, const auto &right) {
                return left.second.lastSeenAt < right.second.lastSeenAt;
            });
    m_classes.erase(oldest);
}

std::int64_t size_learner::readQuantile(const quantile_sketch &sketch, double fraction,
                                        cached_quantile &cache)
{
    const auto changesSinceRead = static_cast<double>(sketch.revision() - cache.revision);
    if (cache.revision == 0 || changesSinceRead > sketch.count() / CountPerRead)
        cache = {sketch.quantile(fraction), sketch.revision()};
    return cache.value;
}

// A task that is placed again after an eviction must get at least what it was seen to use, or it
// would be evicted repeatedly.
std::int64_t size_learner::memoryFor(const class_sizes *sizes, const job_usage &usage) const
{
    const auto ownBytes = scaled(usage.peakBytes, m_settings.memoryHeadroom);
    if (usage.finishedTasks > 0 || !sizes || sizes->memoryPeaks.count() < m_settings.minPeaks)
        return ownBytes;
    return std::max(ownBytes,
                    readQuantile(sizes->memoryPeaks, m_settings.memoryQuantile, sizes->cachedPeak));
}

resources size_learner::reservationFor(const task_spec &task, const job_usage &usage) const
{
    resources amount = task.declared;
    if (!m_settings.learn)
        return amount;
    const auto found = m_classes.find(task.jobClass);
    const auto *knownSizes = found == m_classes.end() ? nullptr : &found->second;
    amount.bytes = std::max(amount.bytes, memoryFor(knownSizes, usage));
    if (!knownSizes)
        return amount;
    const auto &sizes = *knownSizes;
    if (sizes.processorSamples.count() < m_settings.minSamples)
        return amount;
    const auto learned = scaled(
            readQuantile(sizes.processorSamples, m_settings.processorQuantile, sizes.cachedSample),
            m_settings.processorHeadroom);
    if (task.kind == task_kind::Service) {
        amount.millicores = std::max(amount.millicores, learned);
        return amount;
    }
    const auto minMillicores = scaled(task.declared.millicores, m_settings.minProcessorShare);
    amount.millicores =
            std::clamp(learned, minMillicores, std::max(minMillicores, task.declared.millicores));
    return amount;
}

resources size_learner::raisedReservation(const resources &reserved, const resources &used) const
{
    resources raised = reserved;
    if (static_cast<double>(used.bytes)
        > static_cast<double>(reserved.bytes) * m_settings.raiseThreshold)
        raised.bytes = std::max(reserved.bytes, scaled(used.bytes, m_settings.raiseHeadroom));
    return raised;
}

} // namespace zinniabarrow::placement
