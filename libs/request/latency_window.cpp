#include "request/latency_window.h"

#include <algorithm>
#include <vector>

namespace zinniabarrow::request {

void latency_window::add(duration took, time_point endedAt)
{
    m_answers.push_back({took, endedAt});
}

std::optional<latency_reading> latency_window::read(time_point now) const
{
    std::vector<duration> times;
    duration age{0};
    for (const auto &[took, endedAt] : m_answers) {
        if (endedAt + m_length < now)
            continue;
        times.push_back(took);
        age += now - endedAt + took / 2;
    }
    if (times.empty())
        return std::nullopt;
    const auto tail = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), tail, times.end());
    const auto count = static_cast<duration::rep>(times.size());
    return latency_reading{std::chrono::duration_cast<microseconds>(*tail), now - age / count};
}

} // namespace zinniabarrow::request
