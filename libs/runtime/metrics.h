// Metrics in Prometheus text format: counters by reason, gauges and latency histograms. Each name
// is written with the prefix "zinniabarrow_".
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinniabarrow {

enum class byte_direction {
    Sent,
    Received,
};
std::string_view nameOf(byte_direction direction);

class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // All members are thread-safe. A metric is created at its first use.

    // Adds `by` to the counter with this value of the label "reason"; 0 only creates it.
    void count(std::string_view name, std::string_view reason, double by = 1);
    // Adds to the counter control_bytes_total, by kind of message and direction. Bytes of HTTP
    // heads are to be included, those of TCP/IP headers not.
    void countControlBytes(std::string_view kind, byte_direction direction, std::size_t bytes);
    // Adds to the counters store_calls_total, by purpose and outcome, and store_bytes_total, by
    // purpose and direction.
    void countStoreCalls(std::string_view purpose, std::string_view outcome, std::uint64_t calls);
    void countStoreBytes(std::string_view purpose, byte_direction direction, std::uint64_t bytes);
    void setGauge(std::string_view name, double value);
    void observeMilliseconds(std::string_view name, double value);

    // Current values of counters; 0 when never counted.
    double value(std::string_view name, std::string_view reason) const;
    double controlBytes(std::string_view kind, byte_direction direction) const;
    double storeCalls(std::string_view purpose, std::string_view outcome) const;
    double storeBytes(std::string_view purpose, byte_direction direction) const;
    std::map<std::string, double> countsByReason(std::string_view name) const;

    std::string text() const; // all metrics, for the path /metrics

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow
