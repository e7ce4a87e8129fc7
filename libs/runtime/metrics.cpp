#include "runtime/metrics.h"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace zinniabarrow {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.5, 1,   2,   5,    10,   20,  50,
                                                             100, 200, 500, 1000, 2000, 5000};

std::string prefixed(std::string_view name)
{
    return "zinniabarrow_" + std::string(name);
}

} // namespace

struct metrics::impl
{
    prometheus::Registry registry;
    mutable std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Gauge *> gauges;
    std::map<std::string, prometheus::Histogram *> histograms;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> byReason;
};

metrics::metrics()
    : m_impl(std::make_unique<impl>())
{ }

metrics::~metrics() = default;

void metrics::count(std::string_view name, std::string_view reason, double by)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &family = m_impl->counters[std::string(name)];
    if (!family)
        family = &prometheus::BuildCounter().Name(prefixed(name)).Register(m_impl->registry);
    auto &counter = m_impl->byReason[{std::string(name), std::string(reason)}];
    if (!counter)
        counter = &family->Add({{"reason", std::string(reason)}});
    counter->Increment(by);
}

void metrics::set(std::string_view name, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &gauge = m_impl->gauges[std::string(name)];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name(prefixed(name)).Register(m_impl->registry).Add({});
    gauge->Set(value);
}

void metrics::observeMilliseconds(std::string_view name, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &histogram = m_impl->histograms[std::string(name)];
    if (!histogram) {
        histogram = &prometheus::BuildHistogram()
                             .Name(prefixed(name))
                             .Register(m_impl->registry)
                             .Add({}, LatencyBuckets);
    }
    histogram->Observe(value);
}

double metrics::value(std::string_view name, std::string_view reason) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->byReason.find({std::string(name), std::string(reason)});
    return found == m_impl->byReason.end() ? 0 : found->second->Value();
}

std::map<std::string, double> metrics::byReason(std::string_view name) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<std::string, double> values;
    for (const auto &[key, counter] : m_impl->byReason) {
        if (key.first == name)
            values[key.second] = counter->Value();
    }
    return values;
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace zinniabarrow
