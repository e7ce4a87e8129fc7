#include "app/traffic_meter.h"

#include <algorithm>
#include <numeric>

#include <fmt/core.h>

#include "app/store_client.h"
#include "base/names.h"
#include "platform/store_wire.h"

namespace zinniabarrow {

namespace {

constexpr name_table<traffic_kind, TrafficKindCount> KindNames = {{
        {traffic_kind::Report, "report"},
        {traffic_kind::Order, "order"},
        {traffic_kind::Ping, "ping"},
        {traffic_kind::Job, "job"},
        {traffic_kind::StoreRelay, "store_relay"},
        {traffic_kind::Feed, "feed"},
        {traffic_kind::RowRead, "row_read"},
        {traffic_kind::Transaction, "transaction"},
        {traffic_kind::Caller, "caller"},
        {traffic_kind::Worker, "worker"},
        {traffic_kind::Other, "other"},
}};

constexpr name_table<traffic_kind, 4> InternalPaths = {{
        {traffic_kind::Report, "/v1/report"},
        {traffic_kind::Order, "/v1/orders"},
        {traffic_kind::Ping, "/v1/ping"},
        {traffic_kind::Job, "/v1/jobs/"},
}};

traffic_kind kindOf(platform_wire::store_call call)
{
    switch (call) {
    case platform_wire::store_call::Transaction:
        return traffic_kind::Transaction;
    case platform_wire::store_call::Read:
        return traffic_kind::RowRead;
    case platform_wire::store_call::Feed:
        return traffic_kind::Feed;
    }
    return traffic_kind::Other;
}

} // namespace

std::string_view nameOf(traffic_kind kind)
{
    return nameOf(KindNames, kind);
}

traffic_kind trafficKindOf(std::string_view target, traffic_kind otherwise)
{
    for (const auto &[kind, path] : InternalPaths) {
        if (target.starts_with(path))
            return kind;
    }
    if (target.starts_with(StoreRelayPath))
        return traffic_kind::StoreRelay;
    const auto call = platform_wire::storeCallOf(target);
    return call ? kindOf(*call) : otherwise;
}

net::exchange_observer traffic_meter::observer(traffic_kind otherwise)
{
    return [this, otherwise](const net::exchange &exchange) {
        observe(trafficKindOf(exchange.target, otherwise), exchange);
    };
}

void traffic_meter::observe(traffic_kind kind, const net::exchange &exchange)
{
    auto &totals = m_totals.at(static_cast<std::size_t>(kind));
    ++totals.exchanges;
    totals.sentBytes += exchange.sentBytes;
    totals.receivedBytes += exchange.receivedBytes;
}

void traffic_meter::publish(metrics &counters)
{
    for (const auto &[kind, name] : KindNames) {
        const auto &totals = m_totals.at(static_cast<std::size_t>(kind));
        auto &published = m_published.at(static_cast<std::size_t>(kind));
        if (totals.exchanges == published.exchanges)
            continue;
        counters.count("control_messages_total", name,
                       static_cast<double>(totals.exchanges - published.exchanges));
        counters.countControlBytes(name, byte_direction::Sent,
                                   totals.sentBytes - published.sentBytes);
        counters.countControlBytes(name, byte_direction::Received,
                                   totals.receivedBytes - published.receivedBytes);
        published = totals;
    }
}

traffic_kind traffic_meter::largestKind() const
{
    const auto bytesOf = [](const kind_totals &totals) {
        return totals.sentBytes + totals.receivedBytes;
    };
    const auto largest = std::max_element(
            m_totals.begin(), m_totals.end(),
            [&](const auto &left, const auto &right) { return bytesOf(left) < bytesOf(right); });
    return static_cast<traffic_kind>(largest - m_totals.begin());
}

std::string traffic_meter::summary() const
{
    std::string text;
    for (const auto &[kind, name] : KindNames) {
        const auto &totals = m_totals.at(static_cast<std::size_t>(kind));
        if (totals.exchanges > 0)
            text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name,
                                totals.sentBytes + totals.receivedBytes);
    }
    return text;
}

void traffic_meter::writeTo(event_log &log) const
{
    log.writeEvent("traffic", {{"largest", nameOf(largestKind())},
                               {"bytes_by_kind", summary()},
                               {"sent_bytes", sentBytes()},
                               {"received_bytes", receivedBytes()}});
}

std::uint64_t traffic_meter::sentBytes() const
{
    return std::accumulate(
            m_totals.begin(), m_totals.end(), std::uint64_t{0},
            [](std::uint64_t sum, const kind_totals &totals) { return sum + totals.sentBytes; });
}

std::uint64_t traffic_meter::receivedBytes() const
{
    return std::accumulate(m_totals.begin(), m_totals.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const kind_totals &totals) {
                               return sum + totals.receivedBytes;
                           });
}

} // namespace zinniabarrow
