// The entry's request handling: membership, routing, retry budgets and the lifecycle of callers'
// requests. One thread makes all decisions; the HTTP threads of callers wait for them and forward
// the requests.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "app/await_reply.h"
#include "app/forwarding.h"
#include "app/outbound_calls.h"
#include "base/log.h"
#include "config/settings.h"
#include "delivery/request_flow.h"
#include "request/membership.h"
#include "request/retry_budget.h"
#include "request/router.h"
#include "runtime/event_actor.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// Instructions of the actor to the HTTP thread that holds a caller's connection.
struct forward_step
{
    std::uint32_t attempt = 0;
    request::route upstream;
    time_point deadline;
};
struct answer_step
{
    delivery::caller_answer answer;
};
using call_step = std::variant<forward_step, answer_step>;

// One caller's request and the instructions for the HTTP thread that waits for them.
class waiting_request
{
public:
    explicit waiting_request(const http_request &request)
        : m_request(request)
    { }

    const http_request &request() const { return m_request; }
    void push(call_step step);
    call_step waitForStep(); // blocks until there is a step

private:
    const http_request &m_request;
    std::mutex m_mutex;
    std::condition_variable m_stepAdded;
    std::deque<call_step> m_steps;
};

// Identity of a process among its peers.
struct process_identity
{
    std::string id;                // from the process's settings
    std::uint64_t incarnation = 0; // higher after each start

    std::string fullId() const { return id + "@" + std::to_string(incarnation); }
};

// Other processes, as the request handling knows them; passed to scheduling and configuration.
struct members_snapshot
{
    std::vector<request::announcement> agents;         // all known ones, including silent ones
    std::vector<std::string> liveEntries;              // ids, including this entry's
    std::map<std::string, std::string> entryAddresses; // rpc address by id, of known peers
};

class request_actor
{
public:
    request_actor(actor_runtime &system, const config::entry_settings &settings,
                  const process_identity &self, platform_executor &claimsPlatform,
                  rpc_sender &sender, metrics &counters, const logger &log,
                  std::function<void(members_snapshot)> onMembersChanged,
                  std::function<Json::Value()> generationReport);
    ~request_actor();

    // Runs on the caller's HTTP thread and blocks until the final answer is there.
    http_response serve(const http_request &request);

    // JSON-RPC methods: run on an HTTP thread and block until the actor has answered.
    Json::Value announce(const Json::Value &parameters);
    Json::Value digest(const Json::Value &parameters);
    Json::Value status();

    void drain();
    bool isDrained() const { return m_isDrained; }
    void stop();

private:
    struct request_arrival
    {
        delivery::request_arrived event;
        std::shared_ptr<waiting_request> waitingRequest;
    };
    struct attempt_result
    {
        delivery::attempt_ended event;
        request::attempt_ended routing;
    };
    struct announce_received
    {
        Json::Value parameters;
        reply_promise reply;
    };
    struct digest_received
    {
        request::digest message;
        reply_promise reply;
    };
    struct digest_answered
    {
        std::string peer;
        std::optional<Json::Value> ack;
    };
    struct status_requested
    {
        reply_promise reply;
    };
    using event = std::variant<request_arrival, delivery::answer_started, attempt_result,
                               delivery::claims_committed, delivery::claims_read, announce_received,
                               digest_received, digest_answered, status_requested,
                               delivery::flow_drain_started>;

    struct peer_entry
    {
        std::string address;           // ip:port
        std::string id;                // empty until it has answered a digest
        std::uint64_t incarnation = 0; // 0 until then
        time_point lastHeardAt{};
    };

    // Run on HTTP threads.
    http_response forwardAndReport(const waiting_request &waitingRequest, const std::string &id,
                                   const forward_step &step);
    void reportStreamedAnswer(const std::string &id, std::uint32_t attempt,
                              forwarded_attempt startedAttempt);
    void reportEnd(const std::string &id, std::uint32_t attempt, forwarded_attempt sent);
    http_response finalAnswer(const answer_step &step, const http_response &lastAnswer) const;
    // Run on the actor's thread.
    void handle(event &newEvent);
    void on(request_arrival &newEvent, time_point now);
    void on(delivery::answer_started &newEvent, time_point now);
    void on(attempt_result &newEvent, time_point now);
    void on(delivery::claims_committed &newEvent, time_point now);
    void on(delivery::claims_read &newEvent, time_point now);
    void on(announce_received &newEvent, time_point now);
    void on(digest_received &newEvent, time_point now);
    void on(digest_answered &newEvent, time_point now);
    void on(status_requested &newEvent, time_point now);
    void on(delivery::flow_drain_started &newEvent, time_point now);
    time_point nextTick() const;
    void tick();
    void runMaintenance(time_point now);
    void feed(const delivery::flow_event &newEvent, time_point now);
    void perform(const delivery::choose_upstream &action, time_point now);
    void perform(const delivery::forward_request &action, time_point now);
    void perform(const delivery::cancel_attempt &action, time_point now);
    void perform(const delivery::answer_caller &action, time_point now);
    void perform(const delivery::commit_claims &action, time_point now);
    void perform(const delivery::read_claims &action, time_point now);
    void perform(const delivery::scan_claims &action, time_point now);
    void perform(const delivery::increment_counter &action, time_point now);
    void perform(const delivery::flow_drained &action, time_point now);
    void readClaims(const std::string &readId, std::vector<std::string> keys,
                    std::vector<std::string> prefixes);
    void applyMembershipChanges(const std::vector<request::membership_change> &changes,
                                time_point now);
    void sendDigests(time_point now);
    void publishMembers(time_point now);
    bool consumeRetryBudget(error_kind kind);
    bool isEntryAlive(const std::string &entryFullId) const;

    const config::entry_settings m_settings;
    const process_identity m_self;
    platform_executor &m_claimsPlatform;
    rpc_sender &m_sender;
    metrics &m_metrics;
    const logger &m_log;
    forwarder m_forwarder; // used on HTTP threads
    std::function<void(members_snapshot)> m_onMembersChanged;
    std::function<Json::Value()> m_generationReport; // this entry's report, sent with every digest
    std::atomic<std::uint64_t> m_nextRequest{0};
    std::atomic<bool> m_isDrained{false};

    // Used only on the actor's thread.
    request::membership m_membership;
    request::router m_router;
    delivery::request_flow m_flow;
    std::map<std::string, request::retry_budget> m_retryBudgets;               // by service
    std::map<std::string, std::shared_ptr<waiting_request>> m_waitingRequests; // by request id
    std::map<std::string, std::string> m_serviceByRequest;                     // by request id
    std::map<std::string, request::route> m_routeByRequest; // chosen upstream, by request id
    std::vector<peer_entry> m_peers;
    std::string m_retryService; // service of the attempt whose result is being handled
    time_point m_now{};         // time at which the current event or tick is handled
    time_point m_nextPublishAt{};
    time_point m_nextMaintenanceAt{};

    std::unique_ptr<event_actor<event>> m_actor; // after the members above, which its thread uses
    receiver_threads m_receiverThreads;          // last: its threads post to m_actor
};

} // namespace zinniabarrow
