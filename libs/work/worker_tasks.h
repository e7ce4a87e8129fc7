// What a worker must keep for its agents, as the rule in docs/design/OWNERSHIP.md needs it: each
// attempt runs at most once, a lease counts from a listing, and the newest epoch is remembered. The
// platform's workers are held to this; stand-ins and tests use it as it is.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "work/task_supervisor.h"

namespace zinniabarrow::work {

enum class start_result {
    Started,
    AlreadyRunning, // a repeat
    TooLate,        // changed nothing: decided for an earlier life, or its time has passed
    Refused,        // this attempt or a newer one ran or was stopped before
};

class worker_tasks
{
public:
    // `incarnation` rises with every life of the instance.
    explicit worker_tasks(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    { }

    // Call first after any wait: removes the tasks whose lease has lapsed. The caller ends them
    // before it does anything else.
    std::vector<task_attempt> endLapsedTasks(time_point now);

    worker_listing list(const worker_list &request, time_point now);
    start_result start(const worker_start &request, time_point now);
    void renew(const worker_renew &request);
    // True if it ran: the caller ends it. An attempt that never ran will never start.
    bool stop(const worker_stop &request);
    // The caller says that a running attempt has ended.
    void recordEnd(const finished_task &finished);
    void forget(const worker_forget &request) { m_finished.erase(request.attempt); }

    bool runs(const task_id &task) const { return m_running.contains(task); }
    bool runs(const task_attempt &attempt) const;
    std::vector<running_task> running() const;
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t newestListing() const { return m_newestListing; }

private:
    struct leased_task
    {
        running_task task;
        time_point leaseUntil;
    };

    // When listing `number` was made; a time in the past if it was not, or is long ago.
    time_point listingTime(std::uint64_t number, std::uint64_t incarnation) const;

    std::uint64_t m_incarnation;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_newestListing = 0;
    std::map<std::uint64_t, time_point> m_listingTimes;
    std::map<task_id, std::uint32_t> m_newestAttempts; // attempt that ran or was stopped
    std::map<task_id, leased_task> m_running;
    std::map<task_attempt, finished_task> m_finished;
};

} // namespace zinniabarrow::work
