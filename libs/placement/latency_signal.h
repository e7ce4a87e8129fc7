// Tells whether one instance of a service is disturbed, that is, misses its latency target for some
// time: a moving average with hysteresis. The scheduler keeps one signal per instance.
//
// A single slow sample does not raise the signal. A raised signal is lowered only when the average
// has fallen well below the level that raised it. docs/design/PLACEMENT.md compares the moving
// average with another kind of signal.
#pragma once

#include <array>
#include <cstddef>

namespace zinniabarrow::placement {

struct latency_signal_settings
{
    std::size_t windowSamples = 3; // samples averaged, at most latency_signal::MaxSamples
    double riseAbove = 0;          // mean log(p99 / target) above which the signal is raised
    double fallBelow = -0.2;       // mean log(p99 / target) below which the signal is lowered
};

class latency_signal
{
public:
    static constexpr std::size_t MaxSamples = 16;

    // Adds a sample. `excess`: log(p99 / target). `settings`: the scheduler's, the same for all
    // signals.
    void add(double excess, const latency_signal_settings &settings);
    // Drops the samples but keeps the state: samples from before an action do not show its effect.
    void clearSamples() { m_count = 0; }

    double mean() const; // of the samples in the window; 0 without samples
    // False until enough samples were added since the last clearSamples().
    bool isFull(const latency_signal_settings &settings) const
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
