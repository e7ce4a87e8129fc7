// A worker of a job_platform: runs tasks under a lease, and lists the runs that go on and their
// ends. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "jobs/model.h"
#include "runtime/http.h"
#include "standins/run_history.h"

namespace zinniabarrow::standins {

// A run that has started or ended on a worker.
struct run_notice
{
    std::size_t worker = 0; // index
    jobs::task_id task;
    int run = 0;
    std::string how; // the worker's word for the end, "crashed" when it is gone; empty: started
};

// The runs of gangs on all workers: which members are present, and when their work is done.
class gang_board
{
public:
    enum class gang_state { Waiting, Working, Done, Broken };

    void join(const jobs::task_id &member, int run, const task_shape &shape,
              std::int64_t workEndsAfterMs, std::int64_t nowMs);
    // A member ended otherwise than with its gang. Breaks a gang that has begun to work.
    void leave(const jobs::task_id &member, int run);
    gang_state stateOf(const jobs::task_id &member, int run, std::int64_t nowMs);

private:
    struct gang
    {
        std::set<int> present; // indexes of the members
        std::int64_t workEndsAtMs = 0;
        gang_state state = gang_state::Waiting;
    };
    using gang_key = std::pair<std::string, int>; // the members' task id without the index, run

    static gang_key keyOf(const jobs::task_id &member, int run);

    std::map<gang_key, gang> m_gangs;
};

struct job_worker_options
{
    std::size_t index = 0;
    std::int64_t millicores = 4000;
    milliseconds taskTime{300}; // of tasks whose shape has none
    milliseconds stopTime{0};   // from a call that stops a run to its end
    milliseconds gangTimeout{}; // how long a member waits for the others
    std::function<task_shape(const jobs::task_id &task)> describeTask;
    std::function<void(const run_notice &)> onRun;
    std::function<void()> onLapse; // the lease has run out
};

class job_worker
{
public:
    job_worker(job_worker_options options, run_history &history, gang_board &gangs);

    http_response serve(const http_request &request);
    // Ends the runs whose work is done, and all runs when the lease has expired.
    void endDueRuns();
    // Drops all runs without recording ends, as when the process is killed.
    void terminate();
    // Keeps the id only: fence, lease, ends, the numbers of ends and the clock start anew.
    void restart();
    void setTaskTime(milliseconds taskTime) { m_options.taskTime = taskTime; }

    bool isUnresponsive = false;
    bool isHung = false;
    bool isTerminated = false;
    bool isDraining = false;
    bool announcesStart = true; // includes its start time in heartbeats
    const std::string &id() const { return m_id; }
    std::int64_t startTimeMs() const { return m_startTimeMs; }
    std::int64_t millicores() const { return m_options.millicores; }

private:
    struct active_run
    {
        int number = 0;
        jobs::task_id task;
        task_shape shape;
        std::int64_t startedAtMs = 0;
        std::int64_t workEndsAtMs = 0;
        std::int64_t stopsAtMs = 0; // 0: no stop was ordered
    };

    http_response start(const Json::Value &body);
    http_response stop(const Json::Value &body);
    http_response makeListing(std::int64_t lastSeen);
    std::int64_t clockMs() const;
    std::int64_t fromOwnClock(std::int64_t ownMs) const;
    Json::Value makeClockAnswer() const;
    http_response refuse(const char *reason) const;
    void extendLease(const Json::Value &body);
    void begin(const std::string &name, const jobs::task_id &task, int number);
    const char *endOf(const active_run &run, std::int64_t nowMs);
    void end(const std::string &name, const char *how);
    void recordLapse();
    void forgetUnacknowledgedEnds();
    void notify(const active_run &run, const char *how) const;
    std::int64_t load() const;

    job_worker_options m_options;
    std::string m_id;
    run_history &m_history;
    gang_board &m_gangs;
    std::int64_t m_startTimeMs;
    std::int64_t m_clockZeroMs; // when the worker's own clock showed 0
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEndMs = 0;
    bool m_hasLapsed = false; // the lease has run out since it was extended last
    std::map<std::string, active_run> m_runsByTask;
    std::map<std::string, int> m_highestRunByTask;
    std::vector<Json::Value> m_unacknowledgedEnds;
    int m_lastEndId = 0;
};

// The clock of the store, ms. All times that a worker keeps are on it; calls to a worker and its
// answers have times on the worker's own clock, which starts anew with each incarnation.
std::int64_t standinClockMs();

} // namespace zinniabarrow::standins
