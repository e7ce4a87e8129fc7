// Handles requests about jobs: those that callers send to an entry, and those that other entries
// send about the jobs that this entry owns. Called by the entry for its HTTP listeners.
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
#include "net/http_client.h"
#include "net/http_listener.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// A starting entry has read all jobs by then.
constexpr seconds DefaultRetryAfter{1};

std::int64_t wallClockMs(); // ms since 1970

// An error response with its reason. 429 and 503 get a Retry-After header.
http_response makeRefusal(int status, const char *reason, seconds retryAfter = DefaultRetryAfter);

// The parts of an entry that job_requests uses. All of them must outlive it.
struct job_requests_dependencies
{
    net::event_loop &loop;
    net::http_client &client;
    store_client &store;
    configuration_follower &configuration;
    entry_directory &directory;
    job_view &view; // copy of all job rows, also of other entries' jobs
    // Empty until entry_registration has registered this incarnation of the entry.
    std::optional<jobs::job_controller> &jobController;
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
        // Job rows were read from the store.
        std::function<void(const std::vector<jobs::row> &)> handleRows;
        std::function<void()> onActionsReady; // the controller has actions to execute
    };

    job_requests(std::string self, const job_requests_dependencies &dependencies, hooks callbacks);

    // A caller's request: POST submits a job, GET returns its state or a queue's number of waiting
    // jobs, DELETE cancels a job. New jobs are forwarded to another entry while this one shuts
    // down. A request about another entry's unfinished job is passed to its owner, or served from
    // the store if the owner is gone or does not answer.
    void serve(http_request request, net::responder respond);
    // Another entry's request: about a job that this entry owns (GET, DELETE), or to hand a new job
    // over to it (POST): one with long-running tasks, which one entry places for a service, or any
    // job of an entry that is no placer.
    void serveOwnedJob(const http_request &request, const std::string &id, net::responder respond);

    // Like makeRefusal(), and counts the refusal in the metrics.
    http_response countedRefusal(int status, const char *reason,
                                 seconds retryAfter = DefaultRetryAfter);

private:
    bool isLeaving() const;
    bool hasGivenUp() const;
    http_response storeUnreachableRefusal();
    void submit(const std::string &id, const jobs::queue_policy &policy, http_request request,
                net::responder respond);
    void accept(const std::string &id, const jobs::job_spec &spec, const jobs::queue_policy &policy,
                net::responder respond);
    std::vector<std::string> placersOf(const std::string &id, const jobs::job_spec &spec,
                                       const jobs::queue_policy &policy) const;
    // Hands the job to the first of the placers that takes it; accepts it if there is none.
    void handOver(std::vector<std::string> placers, const std::string &id,
                  const jobs::job_spec &spec, const jobs::queue_policy &policy,
                  net::responder respond);
    void acceptHandedOver(const std::string &id, const std::string &body, net::responder respond);
    // Writes the refusal to the log and returns it.
    http_response logRefusal(const std::string &id, http_response answer);
    net::responder withTimeout(milliseconds timeout, net::responder respond);
    void forwardToOtherEntry(http_request request, net::responder respond);
    void tryForward(std::vector<std::string> candidates, http_request request,
                    net::responder respond);
    // Answers from memory, when the shutdown leaves no time to wait.
    void answerImmediately(const http_request &request, const std::string &id,
                           const net::responder &respond);
    void refuseAsLeaving(const http_request &request, const net::responder &respond);
    void answerState(const std::string &id, net::responder respond);
    void answerStoredState(const std::string &id, net::responder respond);
    void readJob(const std::string &id, store_client::read_callback done);
    void cancel(const std::string &id, net::responder respond);
    void cancelOwned(const std::string &id, const net::responder &respond);
    // Whether an earlier try of the same request may have written the cancel, or may still do so:
    // then it can't be refused any more.
    enum class earlier_cancel { None, Unknown };
    void cancelInStore(const std::string &id, const net::responder &respond,
                       earlier_cancel earlier);

    std::string m_self;
    net::event_loop &m_loop;
    net::http_client &m_client;
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
    std::int64_t m_nextCancel = 1; // makes the ids of cancel writes unique
};

} // namespace zinniabarrow
