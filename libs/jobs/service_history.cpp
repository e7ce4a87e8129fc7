#include "jobs/service_history.h"

#include <algorithm>
#include <numeric>

namespace zinniabarrow::jobs {

namespace {

constexpr milliseconds NoteEvery{1000}; // reports come as often
constexpr double Weight = 0.05;         // of the newest: about the last 20 looks count

} // namespace

double servedShare(const serving_count &count)
{
    if (count.atWork == 0)
        return 0;
    constexpr double CostOfLate = 4; // tasks
    return std::max(0.0, 1 - CostOfLate * count.late / count.atWork);
}

void service_history::note(const serving_counts &counts, time_point now)
{
    m_nextAt = now + NoteEvery;
    std::erase_if(m_served, [&](const auto &entry) { return !counts.contains(entry.first); });
    for (const auto &[job, count] : counts) {
        auto &served = m_served.try_emplace(job, m_average).first->second;
        served += Weight * (servedShare(count) - served);
    }
    if (m_served.empty())
        return;
    const auto sum =
            std::accumulate(m_served.begin(), m_served.end(), 0.0,
                            [](double before, const auto &entry) { return before + entry.second; });
    m_average = sum / static_cast<double>(m_served.size());
}

bool service_history::isBehind(const std::string &job) const
{
    const auto found = m_served.find(job);
    return found != m_served.end() && found->second < m_average;
}

} // namespace zinniabarrow::jobs
