// The calls by which an agent changes what its worker runs: starts and stops of runs, and changes
// of their speed.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/lease_keeper.h"
#include "app/worker_clock.h"
#include "app/worker_presence.h"
#include "base/event_log.h"
#include "jobs/interference_estimator.h"
#include "jobs/run_table.h"
#include "jobs/throttle_controller.h"
#include "jobs/worker_liveness.h"
#include "net/http_client.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The parts of an agent that worker_calls uses. All of them must outlive it.
struct worker_calls_dependencies
{
    const std::string &address; // the worker's, "ip:port"
    net::http_client &client;
    const lease_keeper &leaseKeeper;
    const worker_presence &workerPresence;
    worker_clock &workerClock;
    jobs::worker_liveness &workerLiveness;
    jobs::run_table &runTable;
    jobs::throttle_controller &throttleController;
    metrics &counters;
    event_log &log;
};

class worker_calls
{
public:
    struct hooks
    {
        std::function<void()> tableChanged; // the run table may have actions that are due
        std::function<void(std::vector<jobs::interference_sample>)> samplesTaken;
        // Until when a call that is sent now may let runs continue.
        std::function<time_point(time_point now)> holdLimit;
    };

    worker_calls(const worker_calls_dependencies &dependencies, hooks callbacks);

    void execute(const jobs::start_run &start);
    void execute(const jobs::stop_run &stop);
    // Called after each successful poll of the worker. Slows down or resumes best-effort runs.
    void adjustSpeeds(time_point now);

private:
    void handleStartResult(const jobs::task_id &task, int run, const call_result &result);

    void countLostTimes();
    void logSlowedRuns(const std::vector<jobs::headroom_excess> &excesses,
                       const std::vector<jobs::best_effort_run> &bestEffort, time_point now);

    const jobs::worker_lease &lease() const { return m_leaseKeeper.lease(); }

    const std::string &m_address;
    net::http_client &m_client;
    const lease_keeper &m_leaseKeeper;
    const worker_presence &m_workerPresence;
    worker_clock &m_workerClock;
    jobs::worker_liveness &m_workerLiveness;
    jobs::run_table &m_runTable;
    jobs::throttle_controller &m_throttleController;
    metrics &m_metrics;
    event_log &m_log;
    hooks m_hooks;
    time_point m_nextSampleAt{};
    time_point m_nextSlowedLogAt{};
};

} // namespace zinniabarrow
