#include "app/report_requests.h"

#include <algorithm>
#include <utility>

namespace zinniabarrow {

namespace {

// Longer than the interval of one second at which an agent reports once it has received a request.
constexpr milliseconds RequestRepeatInterval{1500};
// A worker without a report for this long counts as removed: its agent gets no more requests. An
// agent that starts again reports without one.
constexpr milliseconds SilenceLimit{60'000};

} // namespace

void report_requests::recordReport(const std::string &worker, bool wantsReports, time_point now)
{
    if (!wantsReports) {
        m_reporters[worker] = {now, now + SilenceLimit};
        return;
    }
    const auto found = m_reporters.find(worker);
    if (found == m_reporters.end())
        return;
    // A report this soon after the last request or report shows that the agent reports in each
    // round.
    if (now < found->second.askAt)
        m_reporters.erase(found);
    else
        found->second = {now + RequestRepeatInterval, now + SilenceLimit};
}

std::vector<std::string> report_requests::takeDue(std::size_t limit, time_point now)
{
    std::erase_if(m_reporters, [now](const auto &entry) { return now >= entry.second.forgetAt; });
    std::vector<std::pair<time_point, std::string>> due;
    for (const auto &[worker, reporter] : m_reporters) {
        if (reporter.askAt <= now)
            due.emplace_back(reporter.askAt, worker);
    }
    std::ranges::sort(due);
    due.resize(std::min(limit, due.size()));
    std::vector<std::string> workers;
    for (const auto &[askAt, worker] : due) {
        m_reporters.at(worker).askAt = now + RequestRepeatInterval;
        workers.push_back(worker);
    }
    return workers;
}

} // namespace zinniabarrow
