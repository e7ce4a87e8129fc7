#include "placement/latency_signal.h"

#include <algorithm>

namespace zinniabarrow::placement {

void latency_signal::add(double excess, const latency_signal_settings &settings)
{
    const auto windowSamples = std::clamp<std::size_t>(settings.windowSamples, 1, MaxSamples);
    if (m_count >= windowSamples) {
        std::shift_left(m_window.begin(), m_window.begin() + static_cast<std::ptrdiff_t>(m_count),
                        1);
        m_count = windowSamples - 1;
    }
    m_window.at(m_count) = static_cast<float>(excess);
    ++m_count;
    if (m_count < windowSamples)
        return;
    if (mean() > settings.riseAbove)
        m_raised = true;
    else if (mean() < settings.fallBelow)
        m_raised = false;
}

double latency_signal::mean() const
{
    if (m_count == 0)
        return 0;
    double sum = 0;
    for (std::size_t index = 0; index < m_count; ++index)
        sum += m_window.at(index);
    return sum / static_cast<double>(m_count);
}

} // namespace zinniabarrow::placement
