// Metrics in Prometheus text format: counters by reason, gauges and latency histograms.
#pragma once

#include <cstddef>
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

    // All members are thread-safe. `reason` is the value of the label "reason".
    void count(std::string_view name, std::string_view reason, double by = 1);
    // Adds to control_bytes_total, by kind of message and direction; HTTP heads included, TCP/IP
    // headers not.
    void countControlBytes(std::string_view kind, byte_direction direction, std::size_t bytes);
    void setGauge(std::string_view name, double value);
    void observeMilliseconds(std::string_view name, double value);

    double value(std::string_view name, std::string_view reason) const; // 0 when never counted
    double controlBytes(std::string_view kind, byte_direction direction) const;
    std::map<std::string, double> countsByReason(std::string_view name) const;
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow
