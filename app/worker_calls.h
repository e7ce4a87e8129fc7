// The calls of an agent that change what its worker runs: starts, stops and paces.
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
#include "net/http_caller.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// What an agent consists of, as far as these calls need it; all of it outlives them.
struct worker_calls_dependencies
{
    const std::string &address; // of the worker, "ip:port"
    net::http_caller &caller;
    const lease_keeper &leaseKeeper;
    const worker_presence &worker;
    const worker_clock &clock;
    jobs::worker_liveness &silence;
    jobs::run_table &runTable;
    jobs::throttle_controller &pacer;
    metrics &counters;
    event_log &log;
};

class worker_calls
{
public:
    struct hooks
    {
        std::function<void()> tableChanged; // the table may have actions that are due
        std::function<void(std::vector<jobs::interference_sample>)> samplesTaken;
    };

    worker_calls(const worker_calls_dependencies &dependencies, hooks callbacks);

    void execute(const jobs::start_run &start);
    void execute(const jobs::stop_run &stop);
    void adjustSpeeds(time_point now); // after each look at the worker

private:
    void handleStartResult(const jobs::task_id &task, int run, const call_result &result);

    const jobs::worker_lease &lease() const { return m_leaseKeeper.lease(); }

    const std::string &m_address;
    net::http_caller &m_caller;
    const lease_keeper &m_leaseKeeper;
    const worker_presence &m_worker;
    const worker_clock &m_clock;
    jobs::worker_liveness &m_silence;
    jobs::run_table &m_runTable;
    jobs::throttle_controller &m_pacer;
    metrics &m_metrics;
    event_log &m_log;
    hooks m_hooks;
    time_point m_nextSampleAt{};
};

} // namespace zinniabarrow
