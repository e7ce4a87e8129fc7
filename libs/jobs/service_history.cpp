#include "jobs/service_history.h"

#include <algorithm>
#include <numeric>

namespace zinniabarrow::jobs {

namespace {

constexpr milliseconds RecordInterval{1000}; // workers report as often
constexpr double NewestCountWeight = 0.05;   // of the newest count: about the last 20 matter

} // namespace

double servedFraction(const serving_count &count)
{
    if (count.running == 0)
        return 0;
    constexpr double LateTaskCost = 4; // a late task counts like this many missing ones
    return std::max(0.0, 1 - LateTaskCost * count.late / count.running);
}

void service_history::recordCounts(const serving_counts &counts, time_point now)
{
    m_nextRecordAt = now + RecordInterval;
    std::erase_if(m_servedFractions,
                  [&](const auto &entry) { return !counts.contains(entry.first); });
    for (const auto &[job, count] : counts) {
        auto &served = m_servedFractions.try_emplace(job, m_average).first->second;
        served += NewestCountWeight * (servedFraction(count) - served);
    }
    if (m_servedFractions.empty())
        return;
    const auto sum = std::accumulate(
            m_servedFractions.begin(), m_servedFractions.end(), 0.0,
            [](double partialSum, const auto &entry) { return partialSum + entry.second; });
    m_average = sum / static_cast<double>(m_servedFractions.size());
}

bool service_history::isBelowAverage(const std::string &job) const
{
    const auto found = m_servedFractions.find(job);
    return found != m_servedFractions.end() && found->second < m_average;
}

double service_history::latenessWeightOf(const std::string &job) const
{
    // So that one job neither makes all best-effort tasks wait nor takes all of their interference.
    constexpr double MinWeight = 0.5;
    constexpr double MaxWeight = 2;
    const auto found = m_servedFractions.find(job);
    if (found == m_servedFractions.end())
        return 1;
    if (found->second * MaxWeight <= m_average)
        return m_average > 0 ? MaxWeight : 1;
    return std::max(MinWeight, m_average / found->second);
}

} // namespace zinniabarrow::jobs
