// The agent's admission control: decides which requests are sent to the upstream and when, sends
// them, and returns its answers to the entries. An attempt is one forwarding of a caller's request
// by an entry; a request may have several.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "config/settings.h"
#include "delivery/attempt_guard.h"
#include "request/admission.h"
#include "request/announcement.h"
#include "request/latency_window.h"
#include "runtime/event_actor.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class admission_actor
{
public:
    // `onUnreachable` is called, on an HTTP thread, when the upstream refused a connection.
    admission_actor(actor_runtime &system, const config::agent_settings &settings,
                    std::uint64_t incarnation, metrics &counters,
                    std::function<void()> onUnreachable);
    ~admission_actor();

    // Runs on the HTTP thread of an entry's connection. Returns the complete answer, or the head of
    // a streamed one.
    http_response serve(const http_request &request);
    // Called when an entry no longer waits for the attempt: it is not started if it is still
    // queued. An attempt that has started is not stopped.
    void cancel(const std::string &requestId, std::uint32_t attempt);

    // New requests are refused from now on. Those that are queued or running are still served;
    // isDrained() becomes true when all of them are answered.
    void drain();
    bool isDrained() const
    {
        return m_runningCount == 0 && m_waitingCount == 0 && m_openRequests == 0;
    }
    request::upstream_load load() const;
    // 99th percentile of the upstream's answer times in the last 2 s; nullopt without answers.
    std::optional<request::latency_reading> tailLatency() const;
    void stop();

private:
    using verdict = std::variant<request::admission::start, request::admission::refuse,
                                 delivery::guard_refusal>;
    struct arrival
    {
        request::admission::arrived event; // id: keyOf(request id, attempt)
        delivery::incoming_attempt attempt;
        std::shared_ptr<std::promise<verdict>> decisionPromise;
    };
    struct attempt_end
    {
        request::admission::finished event;
        std::string requestId;
        std::uint32_t attempt = 0;
        executed executionResult = executed::Unknown;
        duration answeredAfter{0}; // until the answer, or its first part, arrived
        bool isLate = false;       // the upstream did not answer by the deadline
    };
    struct cancel_requested
    {
        std::string requestId;
        std::uint32_t attempt = 0;
    };
    using event =
            std::variant<arrival, attempt_end, cancel_requested, request::admission::drain_started>;
    struct waiting_attempt
    {
        delivery::incoming_attempt attempt;
        std::shared_ptr<std::promise<verdict>> verdictPromise;
    };

    http_response admitAndRun(const http_request &request,
                              const delivery::incoming_attempt &attempt);
    http_response runAtUpstream(const http_request &request, time_point deadline);
    void reportEnd(attempt_end attemptEnd, time_point startedAt);
    http_response refuse(const request::admission::refuse &refusal);
    void handle(event &newEvent);
    void on(arrival &newEvent, time_point now);
    void on(const attempt_end &newEvent, time_point now);
    void on(const cancel_requested &newEvent, time_point now);
    void on(const request::admission::drain_started &newEvent, time_point now);
    void recordAnswerTime(duration answerTime, time_point now);
    void applyDecision(const request::admission::action &action, time_point now);
    time_point nextTick() const;
    void tick();
    void feed(const request::admission::event &newEvent);

    const config::agent_settings m_settings;
    metrics &m_metrics;
    std::function<void()> m_onUnreachable;
    http_pool m_upstream;
    std::atomic<int> m_runningCount{0};
    std::atomic<int> m_waitingCount{0};
    std::atomic<int> m_openRequests{0}; // requests that arrived and are not answered yet
    std::atomic<std::int64_t> m_latencyMicroseconds{0};
    mutable std::mutex m_answerTimesMutex; // guards m_answerTimes
    request::latency_window m_answerTimes;

    // Used only on the actor's thread.
    request::admission m_admission;
    time_point m_lastTickAt{};
    delivery::attempt_guard m_guard;
    std::map<std::string, waiting_attempt> m_attempts; // waiting ones, by keyOf()

    std::unique_ptr<event_actor<event>> m_actor; // after the members above, which its thread uses
    receiver_threads m_receiverThreads;          // last: its threads post to m_actor
};

} // namespace zinniabarrow
