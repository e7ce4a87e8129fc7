#include "request/latency_window.h"

#include <algorithm>
#include <vector>

namespace zinniabarrow::request {

void latency_window::add(duration latency, time_point endedAt)
{
    m_answers.push_back({latency, endedAt});
}

std::optional<latency_reading> latency_window::read(time_point now) const
{
    std::vector<duration> latencies;
    duration totalAge{0};
    for (const auto &[latency, endedAt] : m_answers) {
        if (endedAt + m_windowLength < now)
            continue;
        latencies.push_back(latency);
        totalAge += now - endedAt + latency / 2;
    }
    if (latencies.empty())
        return std::nullopt;
    const auto p99Position =
            latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
    std::nth_element(latencies.begin(), p99Position, latencies.end());
    const auto count = static_cast<duration::rep>(latencies.size());
    return latency_reading{std::chrono::duration_cast<microseconds>(*p99Position),
                           now - totalAge / count};
}

} // namespace zinniabarrow::request
