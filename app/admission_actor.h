// The agent's admission duty: which requests reach the upstream, when, and what comes back.
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
    // `unreachable` is called when the upstream refused a connection.
    admission_actor(actor_runtime &system, const config::agent_settings &settings,
                    std::uint64_t incarnation, metrics &counters,
                    std::function<void()> onUnreachable);
    ~admission_actor();

    // Runs on the HTTP thread of an entry's connection until the request's end.
    http_response serve(const http_request &request);
    // The entry's caller is gone: a request that waits must not start.
    void cancel(const std::string &requestId, std::uint32_t attempt);

    void drain();
    bool isDrained() const { return m_running == 0 && m_waiting == 0 && m_openRequests == 0; }
    request::upstream_load load() const;
    // Of the upstream's newest answers; absent while there are none.
    std::optional<request::latency_reading> tailLatency() const;
    void stop();

private:
    using verdict = std::variant<request::admission::start, request::admission::refuse,
                                 delivery::guard_refusal>;
    struct arrival
    {
        request::admission::arrived event; // its id is the key: request id and attempt
        delivery::incoming_attempt attempt;
        std::shared_ptr<std::promise<verdict>> decisionPromise;
    };
    struct attempt_end
    {
        request::admission::finished event;
        std::string requestId;
        std::uint32_t attempt = 0;
        executed ran = executed::Unknown;
        duration answeredAfter{0}; // until the answer, or its first part, was there
        bool isLate = false;       // no answer by the deadline
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
        std::shared_ptr<std::promise<verdict>> decided;
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
    void recordAnswerTime(duration took, time_point now);
    void applyDecision(const request::admission::action &action, time_point now);
    time_point nextTick() const;
    void tick();
    void feed(const request::admission::event &newEvent);

    const config::agent_settings m_settings;
    metrics &m_metrics;
    std::function<void()> m_onUnreachable;
    http_pool m_upstream;
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    std::atomic<int> m_openRequests{0}; // requests between their arrival and their answer
    std::atomic<std::int64_t> m_latencyMicroseconds{0};
    mutable std::mutex m_answerTimesMutex; // of the next
    request::latency_window m_answerTimes;

    // Touched by the duty's thread alone.
    request::admission m_admission;
    time_point m_lastTickAt{};
    delivery::attempt_guard m_guard;
    std::map<std::string, waiting_attempt> m_attempts; // that wait, by key

    std::unique_ptr<event_actor<event>> m_actor; // its thread uses all of the above
    receiver_threads m_receivers;                // last: its threads post to the duty
};

} // namespace zinniabarrow
