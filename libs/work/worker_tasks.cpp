#include "work/worker_tasks.h"

#include <algorithm>

namespace zinniabarrow::work {

namespace {

constexpr std::size_t RememberedListings = 256;

} // namespace

std::vector<task_attempt> worker_tasks::takeLapsed(time_point now)
{
    std::vector<task_attempt> lapsed;
    for (const auto &[task, held] : m_running) {
        if (now >= held.leaseUntil)
            lapsed.push_back(held.task.attempt);
    }
    for (const auto &attempt : lapsed)
        ended({attempt, task_outcome::Lapsed, {}, {}});
    return lapsed;
}

worker_listing worker_tasks::list(const worker_list &request, time_point now)
{
    m_epoch = std::max(m_epoch, request.epoch);
    m_madeAt[++m_listing] = now;
    if (m_madeAt.size() > RememberedListings)
        m_madeAt.erase(m_madeAt.begin());
    worker_listing listing{m_listing, m_incarnation, m_epoch, running(), {}};
    for (const auto &[attempt, finished] : m_finished)
        listing.finished.push_back(finished);
    return listing;
}

time_point worker_tasks::madeAt(std::uint64_t number, std::uint64_t incarnation) const
{
    const auto found = m_madeAt.find(number);
    // Numbers start again with each life: a request from before would match another listing.
    if (found == m_madeAt.end() || incarnation != m_incarnation)
        return time_point::min();
    return found->second;
}

start_answer worker_tasks::start(const worker_start &request, time_point now)
{
    const task_attempt attempt{request.task.task, request.task.attempt};
    if (runs(attempt))
        return start_answer::AlreadyRuns;
    // A repeated or delayed start must not run an attempt again, nor one that was stopped before it
    // could start.
    if (m_newest[attempt.task] >= attempt.attempt)
        return start_answer::Refused;
    const time_point from = madeAt(request.listing, request.incarnation);
    if (from == time_point::min() || now >= from + request.startWithin)
        return start_answer::TooLate;
    m_newest[attempt.task] = attempt.attempt;
    const running_task task{attempt, {}, request.spec, request.task.failover};
    m_running[attempt.task] = {task, from + request.lease};
    return start_answer::Started;
}

void worker_tasks::renew(const worker_renew &request)
{
    const time_point from = madeAt(request.listing, request.incarnation);
    if (from == time_point::min() || !runs(request.attempt))
        return;
    time_point &until = m_running[request.attempt.task].leaseUntil;
    until = std::max(until, from + request.lease);
}

bool worker_tasks::stop(const worker_stop &request)
{
    const task_attempt &attempt = request.attempt;
    const auto held = m_running.find(attempt.task);
    if (held != m_running.end() && held->second.task.attempt.attempt <= attempt.attempt) {
        ended({held->second.task.attempt, task_outcome::Stopped, {}, {}});
        return true;
    }
    std::uint32_t &newest = m_newest[attempt.task];
    if (newest <= attempt.attempt && !m_finished.contains(attempt)) {
        newest = attempt.attempt;
        m_finished[attempt] = {attempt, task_outcome::Stopped, {}, {}};
    }
    return false;
}

void worker_tasks::ended(const finished_task &finished)
{
    if (!runs(finished.attempt))
        return;
    m_running.erase(finished.attempt.task);
    m_finished[finished.attempt] = finished;
}

bool worker_tasks::runs(const task_attempt &attempt) const
{
    const auto held = m_running.find(attempt.task);
    return held != m_running.end() && held->second.task.attempt == attempt;
}

std::vector<running_task> worker_tasks::running() const
{
    std::vector<running_task> tasks;
    for (const auto &[task, held] : m_running)
        tasks.push_back(held.task);
    return tasks;
}

} // namespace zinniabarrow::work
