// Has the agent's worker run the tasks that the shard's owner grants, and reports on them to the
// owner.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "app/outbound_calls.h"
#include "app/request_actor.h"
#include "base/log.h"
#include "config/settings.h"
#include "placement/resources.h"
#include "request/latency_window.h"
#include "runtime/event_actor.h"
#include "runtime/metrics.h"
#include "work/task_supervisor.h"
#include "work/usage.h"

namespace zinniabarrow {

class supervisor_actor
{
public:
    using latency_source = std::function<std::optional<request::latency_reading>()>;

    supervisor_actor(actor_runtime &system, const config::agent_settings &settings,
                     const process_identity &self, const std::string &ownAddress,
                     rpc_sender &sender, metrics &counters, latency_source tailLatency);
    ~supervisor_actor();

    // JSON-RPC method: passes an owner's grant to the task supervisor.
    Json::Value grant(const Json::Value &parameters);
    // JSON-RPC method, {task, millicores}: sent only by owners of earlier versions; newer owners
    // put CPU limits into their grants.
    Json::Value throttle(const Json::Value &parameters);

    void setServing(bool serving) { m_isServing = serving; }
    void stop();

private:
    struct report_answered
    {
        std::size_t entry; // index in the entries of the settings
        std::optional<Json::Value> answer;
    };
    struct throttle_requested
    {
        work::task_id task;
        std::int64_t millicores;
    };
    struct usage_measured
    {
        Json::Value answer; // usage report of the worker
        time_point requestedAt;
    };
    struct usage_unanswered // the owner did not answer the last usage report
    { };
    using event = std::variant<work::supervisor_event, report_answered, throttle_requested,
                               usage_measured, usage_unanswered>;

    void handle(event &newEvent);
    void tick();
    void feed(const work::supervisor_event &newEvent);
    void perform(const work::worker_list &action);
    void perform(const work::worker_start &action);
    void perform(const work::worker_renew &action);
    void perform(const work::worker_stop &action);
    void perform(const work::worker_checkpoint &action);
    void perform(const work::worker_cpu_limit &action);
    void perform(const work::worker_forget &action);
    void perform(const work::send_report &action);
    void perform(const work::increment_counter &action);
    void handleReportAnswer(const report_answered &newEvent);
    void sendReport(std::size_t entry, const Json::Value &parameters);
    void throttle(const throttle_requested &newEvent);
    void requestUsage(time_point now);
    void sendUsage(const usage_measured &newEvent);
    void callWorker(const std::string &path, const Json::Value &body,
                    std::function<void()> onFailure = {});
    void sendCpuLimit(const work::task_attempt &attempt, std::int64_t millicores);
    void flushRenewals();
    bool hasRoom(const work::task_id &task, const resources &amount) const;

    const config::agent_settings m_settings;
    const std::string m_ownAddress;
    rpc_sender &m_sender;
    metrics &m_metrics;
    latency_source m_tailLatency;
    std::atomic<bool> m_isServing{true};
    http_pool m_worker;

    // Used only on the actor's thread.
    work::task_supervisor m_supervisor;
    std::size_t m_ownerEntry = 0;   // index of the entry that last answered as the shard's owner
    time_point m_ownerKnownUntil{}; // after this, reports go to every entry
    std::vector<work::worker_renew> m_renewals; // collected while one event is handled
    time_point m_nextUsageAt{};
    work::usage_reporter m_usageReporter;
    std::size_t m_usageEntry = 0; // index of the entry that the last usage report was sent to

    std::unique_ptr<event_actor<std::function<void()>>>
            m_workerCalls;                       // makes the blocking HTTP calls to the worker
    std::unique_ptr<event_actor<event>> m_actor; // last: its thread uses all members above
};

} // namespace zinniabarrow
