#include "work/worker_tasks.h"

#include <algorithm>

namespace zinniabarrow::work {

namespace {

constexpr std::size_t MaxRememberedListings = 256;

} // namespace

std::vector<task_attempt> worker_tasks::endLapsedTasks(time_point now)
{
    std::vector<task_attempt> lapsed;
    for (const auto &[task, leasedTask] : m_running) {
        if (now >= leasedTask.leaseUntil)
            lapsed.push_back(leasedTask.task.attempt);
    }
    for (const auto &attempt : lapsed)
        recordEnd({attempt, task_outcome::Lapsed, {}, {}});
    return lapsed;
}

worker_listing worker_tasks::list(const worker_list &request, time_point now)
{
    m_epoch = std::max(m_epoch, request.epoch);
    m_listingTimes[++m_newestListing] = now;
    if (m_listingTimes.size() > MaxRememberedListings)
        m_listingTimes.erase(m_listingTimes.begin());
    worker_listing listing{m_newestListing, m_incarnation, m_epoch, running(), {}};
    for (const auto &[attempt, finished] : m_finished)
        listing.finished.push_back(finished);
    return listing;
}

time_point worker_tasks::listingTime(std::uint64_t number, std::uint64_t incarnation) const
{
    const auto found = m_listingTimes.find(number);
    // Listing numbers start again with each incarnation, so a request for an earlier incarnation
    // could match a different listing.
    if (found == m_listingTimes.end() || incarnation != m_incarnation)
        return time_point::min();
    return found->second;
}

start_result worker_tasks::start(const worker_start &request, time_point now)
{
    const task_attempt attempt{request.task.task, request.task.attempt};
    if (runs(attempt))
        return start_result::AlreadyRunning;
    // A repeated or delayed start must not run an attempt a second time, nor one that was stopped
    // before it could start.
    if (m_newestAttempts[attempt.task] >= attempt.attempt)
        return start_result::Refused;
    const time_point listedAt = listingTime(request.listing, request.incarnation);
    if (listedAt == time_point::min() || now >= listedAt + request.startWithin)
        return start_result::TooLate;
    m_newestAttempts[attempt.task] = attempt.attempt;
    const running_task task{attempt, {}, request.spec, request.task.failover};
    m_running[attempt.task] = {task, listedAt + request.lease};
    return start_result::Started;
}

void worker_tasks::renew(const worker_renew &request)
{
    const time_point listedAt = listingTime(request.listing, request.incarnation);
    if (listedAt == time_point::min() || !runs(request.attempt))
        return;
    time_point &leaseEnd = m_running[request.attempt.task].leaseUntil;
    leaseEnd = std::max(leaseEnd, listedAt + request.lease);
}

bool worker_tasks::stop(const worker_stop &request)
{
    const task_attempt &attempt = request.attempt;
    const auto leasedTask = m_running.find(attempt.task);
    if (leasedTask != m_running.end()
        && leasedTask->second.task.attempt.attempt <= attempt.attempt) {
        recordEnd({leasedTask->second.task.attempt, task_outcome::Stopped, {}, {}});
        return true;
    }
    std::uint32_t &newest = m_newestAttempts[attempt.task];
    if (newest <= attempt.attempt && !m_finished.contains(attempt)) {
        newest = attempt.attempt;
        m_finished[attempt] = {attempt, task_outcome::Stopped, {}, {}};
    }
    return false;
}

void worker_tasks::recordEnd(const finished_task &finished)
{
    if (!runs(finished.attempt))
        return;
    m_running.erase(finished.attempt.task);
    m_finished[finished.attempt] = finished;
}

bool worker_tasks::runs(const task_attempt &attempt) const
{
    const auto leasedTask = m_running.find(attempt.task);
    return leasedTask != m_running.end() && leasedTask->second.task.attempt == attempt;
}

std::vector<running_task> worker_tasks::running() const
{
    std::vector<running_task> tasks;
    for (const auto &[task, leasedTask] : m_running)
        tasks.push_back(leasedTask.task);
    return tasks;
}

} // namespace zinniabarrow::work
