// Counts the traffic of a job-entry or job-agent by kind of message, so that an operator sees
// which messages use a process's bandwidth. Order of calls: observe() for each exchange, publish()
// now and then.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "net/exchange.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

enum class traffic_kind {
    Report,      // from agents to entries
    Order,       // from entries to agents
    Ping,        // between entries
    Job,         // a job or a question about one, passed between entries
    StoreRelay,  // calls of the store that another process passes on
    Feed,        // changes of the store's rows
    RowRead,     // reads of the store's rows
    Transaction, // writes to the store
    Caller,      // callers' requests
    Worker,      // between an agent and its worker
    Other,
};
inline constexpr std::size_t TrafficKindCount = 11;
std::string_view nameOf(traffic_kind kind);

// The kind of a call by its target; `otherwise` for targets outside zinniabarrow and the store.
traffic_kind trafficKindOf(std::string_view target, traffic_kind otherwise);

class traffic_meter
{
public:
    // An observer for clients and listeners. The meter must outlive them.
    net::exchange_observer observer(traffic_kind otherwise);
    void observe(traffic_kind kind, const net::exchange &exchange);
    // Adds what was counted since the last call to the metrics control_bytes_total and
    // control_messages_total.
    void publish(metrics &counters);
    // Writes the line `traffic`: what was counted since the start.
    void writeTo(event_log &log) const;
    // The kind with the most bytes since the start, sent and received together.
    traffic_kind largestKind() const;
    // Bytes by kind since the start, sent and received together: "feed 7300, report 410".
    std::string summary() const;
    std::uint64_t sentBytes() const;     // since the start
    std::uint64_t receivedBytes() const; // since the start

private:
    struct kind_totals
    {
        std::uint64_t exchanges = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedBytes = 0;
    };
    using totals_by_kind = std::array<kind_totals, TrafficKindCount>;

    totals_by_kind m_totals{};
    totals_by_kind m_published{};
};

} // namespace zinniabarrow
