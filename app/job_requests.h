// Handles requests about jobs: those that callers send to an entry, and those that other entries
// send about the jobs that this entry owns.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/configuration_follower.h"
#include "app/entry_directory.h"
#include "app/job_view.h"
#include "app/shutdown_plan.h"
#include "app/store_client.h"
#include "app/write_callbacks.h"
#include "base/event_log.h"
#include "jobs/job_controller.h"
#include "net/http_caller.h"
#include "net/http_listener.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

constexpr seconds RetrySoon{1}; // default Retry-After; a starting entry has read all jobs by then

std::int64_t wallClockMs(); // ms since 1970

// An error response with its reason. 429 and 503 get a Retry-After header.
http_response makeRefusal(int status, const char *reason, seconds retryAfter = RetrySoon);

// The parts of an entry that job_requests uses. All of them must outlive it.
struct job_requests_dependencies
{
    net::event_loop &loop;
    net::http_caller &caller;
    store_client &store;
    configuration_follower &configuration;
    entry_directory &directory;
    job_view &view;
    std::optional<jobs::job_controller>
            &jobController; // empty until this incarnation of the entry has begun
    write_callbacks &writeCallbacks;
    const std::optional<shutdown_plan> &shutdownPlan; // empty until the shutdown signal
    metrics &counters;
    event_log &log;
};

class job_requests
{
public:
    struct hooks
    {
        std::function<bool()> areJobsKnown; // all jobs were read from the store
        std::function<void(const std::vector<jobs::row> &)>
                handleRows;                   // job rows read from the store
        std::function<void()> onActionsReady; // the controller has actions to execute
    };

    job_requests(std::string self, const job_requests_dependencies &dependencies, hooks callbacks);

    // A caller's request.
    void serve(http_request request, net::responder respond);
    // Another entry's request: about a job that this entry owns, or to hand a new job over to it.
    void serveOwnedJob(const http_request &request, const std::string &id, net::responder respond);

    // As makeRefusal(), and counts the refusal in the metrics.
    http_response countedRefusal(int status, const char *reason, seconds retryAfter = RetrySoon);

private:
    bool isLeaving() const;
    bool hasGivenUp() const;
    http_response storeUnreachableRefusal();
    void submit(const std::string &id, const jobs::queue_policy &policy, http_request request,
                net::responder respond);
    void accept(const std::string &id, const jobs::job_spec &spec, const jobs::queue_policy &policy,
                net::responder respond);
    void handOver(const std::string &placer, const std::string &id, const jobs::job_spec &spec,
                  const jobs::queue_policy &policy, net::responder respond);
    void acceptHandedOver(const std::string &id, const std::string &body, net::responder respond);
    http_response logRefusal(const std::string &id, http_response answer);
    net::responder withTimeout(milliseconds timeout, net::responder respond);
    void forwardToOtherEntry(http_request request, net::responder respond);
    void tryForward(std::vector<std::string> candidates, http_request request,
                    net::responder respond);
    void answerImmediately(const http_request &request, const std::string &id,
                           const net::responder &respond);
    void refuseAsLeaving(const http_request &request, const net::responder &respond);
    void answerState(const std::string &id, net::responder respond);
    void answerStoredState(const std::string &id, net::responder respond);
    void readJob(const std::string &id, store_client::read_callback done);
    void cancel(const std::string &id, net::responder respond);
    void cancelOwned(const std::string &id, const net::responder &respond);
    void cancelInStore(const std::string &id, const net::responder &respond);

    std::string m_self;
    net::event_loop &m_loop;
    net::http_caller &m_caller;
    store_client &m_store;
    configuration_follower &m_configuration;
    entry_directory &m_directory;
    job_view &m_view;
    std::optional<jobs::job_controller> &m_jobController;
    write_callbacks &m_writeCallbacks;
    const std::optional<shutdown_plan> &m_shutdownPlan;
    metrics &m_metrics;
    event_log &m_log;
    hooks m_hooks;
    std::int64_t m_nextCancel = 1;
};

} // namespace zinniabarrow
