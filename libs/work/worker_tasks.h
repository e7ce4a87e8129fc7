// What a worker must remember for its agents, as docs/design/OWNERSHIP.md requires: each attempt
// runs at most once, leases are counted from listings, and the newest epoch is kept. The platform's
// workers have to behave like this; the stand-ins and the tests use this class directly.
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
    AlreadyRunning, // a repeated request
    TooLate,        // meant for an earlier incarnation, or its time has passed; changes nothing
    Refused,        // this attempt or a newer one has already run or was stopped
};

class worker_tasks
{
public:
    // `incarnation` must increase with every restart or replacement of the instance.
    explicit worker_tasks(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    { }

    // Removes and returns the tasks whose lease has lapsed. Call it before anything else after each
    // wait, and end the processes of the returned tasks before the next call of this class.
    std::vector<task_attempt> endLapsedTasks(time_point now);

    worker_listing list(const worker_list &request, time_point now);
    start_result start(const worker_start &request, time_point now);
    void renew(const worker_renew &request);
    // Returns true if the attempt, or an older one of the task, was running: its process must then
    // be ended. An attempt that has not run yet will never start.
    bool stop(const worker_stop &request);
    // Call when a running attempt has ended.
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

    // When listing `number` was made; time_point::min() if this incarnation didn't make it or no
    // longer remembers it.
    time_point listingTime(std::uint64_t number, std::uint64_t incarnation) const;

    std::uint64_t m_incarnation;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_newestListing = 0;
    std::map<std::uint64_t, time_point> m_listingTimes; // by number, of the newest listings
    std::map<task_id, std::uint32_t> m_newestAttempts;  // newest attempt that ran or was stopped
    std::map<task_id, leased_task> m_running;
    std::map<task_attempt, finished_task> m_finished;
};

} // namespace zinniabarrow::work
