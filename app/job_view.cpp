#include "app/job_view.h"

#include <algorithm>

namespace zinniabarrow {

const known_job *job_view::seen(const std::string &job, const std::string &content,
                                std::int64_t version, time_point now)
{
    auto &known = m_jobs[job];
    if (version <= known.version)
        return &known;
    const auto record = jobs::recordFrom(content);
    known.version = version;
    known.owner = record.owner;
    known.queue = record.policy.queue;
    known.state = record.state();
    known.needsOwner = record.needsOwner();
    known.content = known.needsOwner ? content : std::string();
    noteOrders(known, record, now);
    if (!known.needsOwner && known.finalAt == time_point{})
        known.finalAt = now;
    return &known;
}

void job_view::removed(const std::string &job)
{
    m_jobs.erase(job);
}

const known_job *job_view::find(const std::string &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

// A placed task has started only if its agent took the order. Rows don't tell that, but a refused
// order is placed anew under another run number.
void job_view::noteOrders(known_job &known, const jobs::job_record &record, time_point now)
{
    if (known.begun)
        return;
    auto orders = record.givenOrders();
    std::erase_if(known.ordered, [&](const auto &order) {
        return !std::binary_search(orders.begin(), orders.end(), order);
    });
    if (known.ordered.empty()) {
        known.ordered = std::move(orders);
        known.orderedSince = now;
    }
    const bool stands = !known.ordered.empty() && now - known.orderedSince >= WaitingAge;
    known.begun = stands || record.hasEndedRuns();
    if (known.begun)
        known.ordered = {};
}

std::size_t job_view::waitingIn(const std::string &queue, time_point now) const
{
    const auto waits = [&](const known_job &job) {
        if (job.queue != queue || jobs::isFinal(job.state) || job.begun)
            return false;
        return job.ordered.empty() || now - job.orderedSince < WaitingAge;
    };
    return static_cast<std::size_t>(std::count_if(
            m_jobs.begin(), m_jobs.end(), [&](const auto &entry) { return waits(entry.second); }));
}

} // namespace zinniabarrow
