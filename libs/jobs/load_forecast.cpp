#include "jobs/load_forecast.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

constexpr std::size_t Ahead = 4; // samples: two seconds, as long as most runs that fill
constexpr double Doubt = 0.5;    // deviation of each coefficient before the first sample
constexpr double Noise = 0.07;   // load: deviation of a forecast from one sample
constexpr double Keep = 0.999;   // a sample's weight fades within about 1,000

} // namespace

load_forecast::load_forecast()
{
    constexpr double Stays = 1; // until it is known better, a load stays as it is
    m_rule.add(0, Doubt);
    m_rule.add(Stays, Doubt);
    m_rule.add(0, Doubt);
}

void load_forecast::note(const std::map<run_key, double> &loads)
{
    std::erase_if(m_histories, [&](const auto &entry) { return !loads.contains(entry.first); });
    for (const auto &[run, load] : loads)
        append(m_histories[run], load);
}

void load_forecast::append(std::deque<double> &history, double load)
{
    history.push_back(load);
    if (history.size() <= 2 * Ahead)
        return;
    m_rule.correct({1, history[Ahead], history.front()}, load, Noise);
    m_rule.fade(Keep);
    history.pop_front();
}

double load_forecast::highestAhead(const run_key &run, double now) const
{
    const auto found = m_histories.find(run);
    if (found == m_histories.end() || found->second.size() <= Ahead)
        return now;
    const auto &history = found->second;
    const double before = history[history.size() - 1 - Ahead];
    const double then = std::clamp(m_rule.expected({1, now, before}), 0.0, 1.0);
    return std::max(now, then);
}

} // namespace zinniabarrow::jobs
