// The entry's request handling: membership, routing, retry budgets and the lifecycle of callers'
// requests. One thread makes all decisions; the HTTP threads of callers wait for them and forward
// the requests. An entry is a process that takes callers' requests; an upstream is the program that
// answers them on an instance; the agent on that instance forwards them to it.
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

// The actor instructs the HTTP thread of a caller's connection by steps: any number of
// forward_step, then one answer_step.

// Send the request to an upstream and report the result to the actor.
struct forward_step
{
    std::uint32_t attempt = 0; // number of the attempt, counted from 1
    request::route upstream;   // the chosen upstream and its agent's address
    time_point deadline;       // the caller's
};
// Give the caller its final answer.
struct answer_step
{
    delivery::caller_answer answer;
};
using call_step = std::variant<forward_step, answer_step>;

// One caller's request, and a queue of steps that the actor fills and the caller's HTTP thread
// waits for.
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
    std::uint64_t incarnation = 0; // wall clock at its start, ms; higher after each start

    std::string fullId() const { return id + "@" + std::to_string(incarnation); }
};

// The processes that the request handling knows; passed to scheduling and configuration.
struct members_snapshot
{
    std::vector<request::announcement> agents; // all known ones, including silent ones
    std::vector<std::string> liveEntries;      // ids without incarnation, including this entry's
    std::map<std::string, std::string> entryAddresses; // rpc address (ip:port) by id; other entries
};

// Decides on its own thread which processes are alive, where requests go and whether they are
// retried. HTTP threads of the entry call it.
class request_actor
{
public:
    // `claimsPlatform` makes the calls on claims: rows of the platform's store, written before a
    // non-idempotent request with an idempotency key is forwarded, so that it isn't executed twice.
    // `generationReport` gives the generation of the configuration that is in force in this entry.
    request_actor(actor_runtime &system, const config::entry_settings &settings,
                  const process_identity &self, platform_executor &claimsPlatform,
                  rpc_sender &sender, metrics &counters, const logger &log,
                  std::function<void(members_snapshot)> onMembersChanged,
                  std::function<Json::Value()> generationReport);
    ~request_actor();

    // Runs on the caller's HTTP thread and blocks until the final answer is there.
    http_response serve(const http_request &request);

    // JSON-RPC methods: run on an HTTP thread and block until the actor has answered.

    // An agent announces its state: in full in member "whole", or by a heartbeat in "beat".
    Json::Value announce(const Json::Value &parameters);
    // Another entry sends what it knows of the agents, in member "digest".
    Json::Value digest(const Json::Value &parameters);
    // For operators: requests in flight, peers, refusals by reason, upstreams.
    Json::Value status();

    // Begins the drain and returns: new requests are refused. isDrained() becomes true when no
    // request is in flight and the records of claims are stored or given up. The entry calls
    // drain(), waits, and calls stop().
    void drain();
    bool isDrained() const { return m_isDrained; }
    void stop(); // ends the threads

private:
    struct request_arrival
    {
        delivery::request_arrived event;
        std::shared_ptr<waiting_request> waitingRequest;
    };
    struct attempt_result
    {
        delivery::attempt_ended event;   // for the request flow
        request::routing_result routing; // for the router
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
        std::string peer; // ip:port that the digest was sent to
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

    // Another entry, from the settings.
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
    void reportEnd(const std::string &id, std::uint32_t attempt, forwarded_attempt forwarded);
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
    void perform(const delivery::read_claims &action, time_point now); // by keys
    void perform(const delivery::scan_claims &action, time_point now); // by a prefix of keys
    void perform(const delivery::increment_counter &action, time_point now);
    void perform(const delivery::flow_drained &action, time_point now);
    void readClaims(const std::string &readId, std::vector<std::string> keys,
                    std::vector<std::string> prefixes);
    void applyMembershipChanges(const std::vector<request::membership_change> &changes,
                                time_point now);
    void sendDigests(time_point now);
    void publishMembers(time_point now);
    // Takes one retry from the budget of m_retryService; false when that is not allowed.
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
    std::function<Json::Value()> m_generationReport; // sent with every digest
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
    // Receive streamed answers of upstreams. Last member: its threads post to m_actor.
    receiver_threads m_receiverThreads;
};

} // namespace zinniabarrow
