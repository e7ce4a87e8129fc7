// The load signal of one service instance: a moving average with hysteresis.
//
// It turns a sequence of late latency samples into one bit: is the service disturbed? One bad
// sample does not raise it, and it falls only well below the level at which it rises.
// docs/design/PLACEMENT.md has the signal that was measured against it.
#pragma once

#include <array>
#include <cstddef>

namespace zinniabarrow::placement {

struct load_signal_settings
{
    std::size_t windowSamples = 3; // samples averaged, at most load_signal::MostSlices
    double riseAbove = 0;          // mean excess (log of p99 over target) that raises the signal
    double fallBelow = -0.2;       // mean that lowers it
};

class load_signal
{
public:
    static constexpr std::size_t MaxSamples = 16;

    void add(double excess, const load_signal_settings &settings);
    // Samples from before an action say nothing about its effect.
    void clearSamples() { m_count = 0; }

    double mean() const;
    bool isFull(const load_signal_settings &settings) const
    {
        return m_count >= settings.windowSamples;
    }
    bool isRaised() const { return m_raised; }

private:
    std::array<float, MaxSamples> m_window{}; // newest last
    std::size_t m_count = 0;
    bool m_raised = false;
};

} // namespace zinniabarrow::placement
