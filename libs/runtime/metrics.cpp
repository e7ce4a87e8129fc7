#include "runtime/metrics.h"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/names.h"

namespace zinniabarrow {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.5, 1,   2,   5,    10,   20,  50,
                                                             100, 200, 500, 1000, 2000, 5000};

constexpr std::string_view ControlBytes = "control_bytes_total";
constexpr std::string_view StoreCalls = "store_calls_total";
constexpr std::string_view StoreBytes = "store_bytes_total";

constexpr name_table<byte_direction, 2> DirectionNames = {{
        {byte_direction::Sent, "sent"},
        {byte_direction::Received, "received"},
}};

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
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> countersByReason;
    std::map<std::pair<std::string, byte_direction>, prometheus::Counter *>
            controlBytesCounters; // by kind and direction
    std::map<std::pair<std::string, std::string>, prometheus::Counter *>
            storeCallsCounters; // by purpose and outcome
    std::map<std::pair<std::string, byte_direction>, prometheus::Counter *>
            storeBytesCounters; // by purpose and direction

    prometheus::Family<prometheus::Counter> &family(std::string_view name)
    {
        auto &found = counters[std::string(name)];
        if (!found)
            found = &prometheus::BuildCounter().Name(prefixed(name)).Register(registry);
        return *found;
    }
};

std::string_view nameOf(byte_direction direction)
{
    return nameOf(DirectionNames, direction);
}

metrics::metrics()
    : m_impl(std::make_unique<impl>())
{ }

metrics::~metrics() = default;

void metrics::count(std::string_view name, std::string_view reason, double by)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &counter = m_impl->countersByReason[{std::string(name), std::string(reason)}];
    if (!counter)
        counter = &m_impl->family(name).Add({{"reason", std::string(reason)}});
    counter->Increment(by);
}

void metrics::countControlBytes(std::string_view kind, byte_direction direction, std::size_t bytes)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &counter = m_impl->controlBytesCounters[{std::string(kind), direction}];
    if (!counter) {
        counter = &m_impl->family(ControlBytes)
                           .Add({{"kind", std::string(kind)},
                                 {"direction", std::string(nameOf(direction))}});
    }
    counter->Increment(static_cast<double>(bytes));
}

void metrics::countStoreCalls(std::string_view purpose, std::string_view outcome,
                              std::uint64_t calls)
{
    const std::lock_guard lock(m_impl->mutex);
    auto &counter = m_impl->storeCallsCounters[{std::string(purpose), std::string(outcome)}];
    if (!counter) {
        counter = &m_impl->family(StoreCalls)
                           .Add({{"purpose", std::string(purpose)},
                                 {"outcome", std::string(outcome)}});
    }
    counter->Increment(static_cast<double>(calls));
}

void metrics::countStoreBytes(std::string_view purpose, byte_direction direction,
                              std::uint64_t bytes)
{
    if (bytes == 0)
        return;
    const std::lock_guard lock(m_impl->mutex);
    auto &counter = m_impl->storeBytesCounters[{std::string(purpose), direction}];
    if (!counter) {
        counter = &m_impl->family(StoreBytes)
                           .Add({{"purpose", std::string(purpose)},
                                 {"direction", std::string(nameOf(direction))}});
    }
    counter->Increment(static_cast<double>(bytes));
}

void metrics::setGauge(std::string_view name, double value)
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
    const auto found = m_impl->countersByReason.find({std::string(name), std::string(reason)});
    return found == m_impl->countersByReason.end() ? 0 : found->second->Value();
}

double metrics::controlBytes(std::string_view kind, byte_direction direction) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->controlBytesCounters.find({std::string(kind), direction});
    return found == m_impl->controlBytesCounters.end() ? 0 : found->second->Value();
}

double metrics::storeCalls(std::string_view purpose, std::string_view outcome) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found =
            m_impl->storeCallsCounters.find({std::string(purpose), std::string(outcome)});
    return found == m_impl->storeCallsCounters.end() ? 0 : found->second->Value();
}

double metrics::storeBytes(std::string_view purpose, byte_direction direction) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->storeBytesCounters.find({std::string(purpose), direction});
    return found == m_impl->storeBytesCounters.end() ? 0 : found->second->Value();
}

std::map<std::string, double> metrics::countsByReason(std::string_view name) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<std::string, double> values;
    for (const auto &[key, counter] : m_impl->countersByReason) {
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
