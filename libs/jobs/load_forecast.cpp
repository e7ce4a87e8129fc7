#include "jobs/load_forecast.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

constexpr std::size_t HorizonSamples = 4; // two seconds, the length of most best-effort runs
constexpr double InitialDeviation =
        0.5;                   // deviation of each coefficient earlierLoad the first sample
constexpr double Noise = 0.07; // load: deviation of one sample from its forecast
constexpr double ForgettingFactor = 0.999; // a sample's weight fades within about 1,000 samples

} // namespace

load_forecast::load_forecast()
{
    constexpr double Persistence = 1; // initial forecast: the load stays as it is
    m_predictor.addCoefficient(0, InitialDeviation);
    m_predictor.addCoefficient(Persistence, InitialDeviation);
    m_predictor.addCoefficient(0, InitialDeviation);
}

void load_forecast::recordLoads(const std::map<run_key, double> &loads)
{
    std::erase_if(m_histories, [&](const auto &entry) { return !loads.contains(entry.first); });
    for (const auto &[run, load] : loads)
        appendAndLearn(m_histories[run], load);
}

void load_forecast::appendAndLearn(std::deque<double> &history, double load)
{
    history.push_back(load);
    if (history.size() <= 2 * HorizonSamples)
        return;
    m_predictor.update({1, history[HorizonSamples], history.front()}, load, Noise);
    m_predictor.applyForgetting(ForgettingFactor);
    history.pop_front();
}

double load_forecast::peakLoadAhead(const run_key &run, double currentLoad) const
{
    const auto found = m_histories.find(run);
    if (found == m_histories.end() || found->second.size() <= HorizonSamples)
        return currentLoad;
    const auto &history = found->second;
    const double earlierLoad = history[history.size() - 1 - HorizonSamples];
    const double forecast =
            std::clamp(m_predictor.predict({1, currentLoad, earlierLoad}), 0.0, 1.0);
    return std::max(currentLoad, forecast);
}

} // namespace zinniabarrow::jobs
