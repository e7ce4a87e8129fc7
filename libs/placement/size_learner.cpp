#include "placement/size_learner.h"

#include <algorithm>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

// A sketch of n samples is read again after n/16 changes, or after one while it is small.
constexpr double ChangesPart = 16;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

} // namespace

std::size_t quantile_sketch::bucketOf(std::int64_t value) const
{
    if (value < 1)
        return 0;
    const double power = std::log2(static_cast<double>(value)) - m_smallestPower;
    const auto bucket = static_cast<int>(std::ceil(power * BucketsPerDoubling));
    return static_cast<std::size_t>(std::clamp(bucket, 0, Buckets - 1));
}

void quantile_sketch::add(std::int64_t value)
{
    m_buckets.at(bucketOf(value)) += 1;
    m_count += 1;
    ++m_changes;
    if (m_count < HalveAt)
        return;
    for (auto &bucket : m_buckets)
        bucket /= 2;
    m_count /= 2;
}

void quantile_sketch::move(std::int64_t from, std::int64_t to)
{
    ++m_changes;
    auto &source = m_buckets.at(bucketOf(from));
    const float moved = std::min(source, 1.0F); // a faded count may be below one
    source -= moved;
    m_buckets.at(bucketOf(to)) += moved;
}

std::int64_t quantile_sketch::quantile(double portion) const
{
    if (m_count <= 0)
        return 0;
    double below = 0;
    int bucket = 0;
    for (; bucket < Buckets - 1; ++bucket) {
        below += m_buckets.at(static_cast<std::size_t>(bucket));
        if (below >= portion * m_count)
            break;
    }
    const double power = m_smallestPower + static_cast<double>(bucket) / BucketsPerDoubling;
    return static_cast<std::int64_t>(std::ceil(std::exp2(power)));
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
    sizes.seenAt = now;
    sizes.samples.add(used.millicores);
    if (peakBefore == 0)
        sizes.peaks.add(used.bytes);
    else if (used.bytes > peakBefore)
        sizes.peaks.move(peakBefore, used.bytes);
    if (m_classes.size() > m_settings.maxClasses)
        forgetOldest();
}

void size_learner::forgetOldest()
{
    const auto oldest = std::min_element(m_classes.begin(), m_classes.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.seenAt < right.second.seenAt;
                                         });
    m_classes.erase(oldest);
}

std::int64_t size_learner::read(const quantile_sketch &sketch, double portion,
                                cached_quantile &cache)
{
    const auto passed = static_cast<double>(sketch.changes() - cache.changes);
    if (cache.changes == 0 || passed > sketch.count() / ChangesPart)
        cache = {sketch.quantile(portion), sketch.changes()};
    return cache.value;
}

// An evicted task that comes back must not get less than it was seen to use: it would be evicted
// for it again and again.
std::int64_t size_learner::bytesFor(const class_sizes *sizes, const job_usage &usage) const
{
    const auto own = scaled(usage.peakBytes, m_settings.memoryHeadroom);
    if (usage.finishedTasks > 0 || !sizes || sizes->peaks.count() < m_settings.minPeaks)
        return own;
    return std::max(own, read(sizes->peaks, m_settings.memoryQuantile, sizes->peak));
}

resources size_learner::reservationFor(const task_spec &task, const job_usage &usage) const
{
    resources amount = task.declared;
    if (!m_settings.learn)
        return amount;
    const auto found = m_classes.find(task.jobClass);
    const auto *known = found == m_classes.end() ? nullptr : &found->second;
    amount.bytes = std::max(amount.bytes, bytesFor(known, usage));
    if (!known)
        return amount;
    const auto &sizes = *known;
    if (sizes.samples.count() < m_settings.minSamples)
        return amount;
    const auto learned = scaled(read(sizes.samples, m_settings.processorQuantile, sizes.sample),
                                m_settings.processorHeadroom);
    if (task.kind == task_kind::Service) {
        amount.millicores = std::max(amount.millicores, learned);
        return amount;
    }
    const auto floor = scaled(task.declared.millicores, m_settings.processorFloor);
    amount.millicores = std::clamp(learned, floor, std::max(floor, task.declared.millicores));
    return amount;
}

resources size_learner::raisedFor(const resources &reserved, const resources &used) const
{
    resources raised = reserved;
    if (static_cast<double>(used.bytes) > static_cast<double>(reserved.bytes) * m_settings.raiseAt)
        raised.bytes = std::max(reserved.bytes, scaled(used.bytes, m_settings.raiseHeadroom));
    return raised;
}

} // namespace zinniabarrow::placement
