// Metrics: counters by reason, gauges and latency histograms, as Prometheus text.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace zinniabarrow {

class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // Safe from several threads. `reason` becomes a label of that name.
    void count(std::string_view name, std::string_view reason, double by = 1);
    void set(std::string_view name, double value);
    void observeMilliseconds(std::string_view name, double value);

    double value(std::string_view name, std::string_view reason) const; // 0 when never counted
    std::map<std::string, double> byReason(std::string_view name) const;
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow
