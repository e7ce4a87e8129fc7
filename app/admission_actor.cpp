#include "app/admission_actor.h"

#include <algorithm>
#include <cstdlib>
#include <strings.h>

#include "app/header_names.h"
#include "base/errors.h"
#include "delivery/request_flow.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr seconds TailLatencyWindow{2}; // tail latency is that of the answers in this period
constexpr milliseconds TickInterval{20};

request::admission_settings admissionSettings(const config::agent_settings &settings)
{
    request::admission_settings out;
    out.slots = static_cast<int>(settings.upstream.slots);
    out.connections = static_cast<int>(settings.upstream.connections);
    out.queueLimit = static_cast<int>(settings.queueLength);
    return out;
}

http_pool_limits upstreamLimits(const config::agent_settings &settings)
{
    http_pool_limits limits;
    limits.maxIdleConnections = settings.upstream.slots;
    limits.answerBytesLimit = settings.maxAnswerBytes;
    return limits;
}

http_request requestForUpstream(const http_request &from, const std::string &id)
{
    http_request out;
    out.method = from.method;
    out.target = from.target;
    out.body = from.body;
    for (const auto &[name, value] : from.headers) {
        if (!isReservedHeader(name))
            out.headers[name] = value;
    }
    out.headers[RequestIdHeader] = id;
    return out;
}

std::string keyOf(const std::string &requestId, std::uint32_t attempt)
{
    return requestId + "/" + std::to_string(attempt);
}

error_kind kindOf(call_failure failure)
{
    switch (failure) {
    case call_failure::NotConnected:
    case call_failure::ConnectionRefused:
        return error_kind::UpstreamUnreachable;
    case call_failure::TimedOut:
        return error_kind::AnswerLate;
    case call_failure::TooLarge:
        return error_kind::AnswerTooLarge;
    case call_failure::IncompleteAnswer:
        break;
    }
    return error_kind::AnswerIncomplete;
}

} // namespace

admission_actor::admission_actor(actor_runtime &system, const config::agent_settings &settings,
                                 std::uint64_t incarnation, metrics &counters,
                                 std::function<void()> onUnreachable)
    : m_settings(settings)
    , m_metrics(counters)
    , m_onUnreachable(std::move(onUnreachable))
    , m_upstream({settings.upstream.address.address, settings.upstream.address.port},
                 upstreamLimits(settings))
    , m_answerTimes(TailLatencyWindow)
    , m_admission(admissionSettings(settings))
    , m_guard(incarnation, {})
{
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); },
            tick_schedule{[this] { return nextTick(); }, [this] { tick(); }});
    m_actor->start();
}

admission_actor::~admission_actor() = default;

// --- On HTTP threads ----------------------------------------------------------------------------

http_response admission_actor::serve(const http_request &request)
{
    const auto now = monotonic_clock::now();
    delivery::incoming_attempt attempt;
    attempt.requestId = request.header(RequestIdHeader);
    attempt.attempt = static_cast<std::uint32_t>(std::atoll(request.header(AttemptHeader).c_str()));
    attempt.incarnation =
            static_cast<std::uint64_t>(std::atoll(request.header(IncarnationHeader).c_str()));
    attempt.idempotent = delivery::isIdempotent(request.method);
    attempt.deadline = now + milliseconds(std::atoll(request.header(DeadlineHeader).c_str()));
    ++m_openRequests;
    auto response = admitAndRun(request, attempt);
    response.headers[RequestIdHeader] = attempt.requestId;
    const auto currentLoad = load();
    response.headers[LoadHeader] =
            std::to_string(currentLoad.inFlight) + "," + std::to_string(currentLoad.queued);
    --m_openRequests;
    return response;
}

http_response admission_actor::admitAndRun(const http_request &request,
                                           const delivery::incoming_attempt &attempt)
{
    const auto key = keyOf(attempt.requestId, attempt.attempt);
    auto arrivalVerdict = std::make_shared<std::promise<verdict>>();
    auto decision = arrivalVerdict->get_future();
    arrival newArrival{
            {key, request.header(ServiceHeader), request.header(TeamHeader), 0, attempt.deadline},
            attempt,
            arrivalVerdict};
    if (!m_actor->post(std::move(newArrival)))
        return refuse({key, error_kind::Overloaded,
                       answerFor(error_kind::Overloaded).suggestedRetryDelay});
    const auto admissionVerdict = decision.get();
    if (const auto *refusal = std::get_if<request::admission::refuse>(&admissionVerdict))
        return refuse(*refusal);
    if (const auto *refusal = std::get_if<delivery::guard_refusal>(&admissionVerdict)) {
        m_metrics.count("attempts_refused_total", nameOf(refusal->kind));
        auto response = refusalAnswer(refusal->kind, refusal->executionState, milliseconds(0));
        if (refusal->hasEnded)
            response.headers[EndedHeader] = "yes";
        return response;
    }
    const auto startedAt = monotonic_clock::now();
    // The process may have been paused since the decision: the deadline is checked again right
    // before the request is sent.
    http_response response = startedAt < attempt.deadline
                                     ? runAtUpstream(request, attempt.deadline)
                                     : refusalAnswer(error_kind::DeadlinePassed);
    attempt_end attemptEnd{{key, duration(0), duration(0), true},
                           attempt.requestId,
                           attempt.attempt,
                           executed::Unknown,
                           monotonic_clock::now() - startedAt};
    if (response.stream) {
        // The slot is held until the last byte of the answer has arrived, because the upstream
        // works on the request until then.
        response.stream->observeEnd(
                [this, attemptEnd, startedAt](body_end end, duration callerWaitTime) mutable {
                    if (end)
                        m_metrics.count("streams_cut_total", nameOf(*end));
                    else
                        attemptEnd.executionResult = executed::Yes;
                    attemptEnd.event.slowCallerTime = callerWaitTime;
                    attemptEnd.event.isComplete = !end;
                    reportEnd(attemptEnd, startedAt);
                });
        return response;
    }
    if (response.header(ExecutedHeader) == nameOf(executed::No))
        attemptEnd.executionResult = executed::No;
    else if (response.header(ErrorHeader).empty())
        attemptEnd.executionResult = executed::Yes;
    attemptEnd.isLate = response.header(ErrorHeader) == nameOf(error_kind::AnswerLate);
    reportEnd(attemptEnd, startedAt);
    return response;
}

void admission_actor::reportEnd(attempt_end attemptEnd, time_point startedAt)
{
    attemptEnd.event.elapsedTime = monotonic_clock::now() - startedAt;
    // If this event were lost, its slot would never be freed. The ring is large enough for every
    // connection, so the loop ends.
    while (!m_actor->post(attemptEnd))
        m_metrics.count("ring_full_total", "finished");
}

http_response admission_actor::runAtUpstream(const http_request &request, time_point deadline)
{
    const auto id = request.header(RequestIdHeader);
    const auto result = m_upstream.callStreaming(requestForUpstream(request, id), deadline, {},
                                                 m_receiverThreads);
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        const auto kind = kindOf(*failure);
        m_metrics.count("upstream_failures_total", nameOf(kind));
        if (kind == error_kind::UpstreamUnreachable)
            m_onUnreachable();
        return refusalAnswer(kind);
    }
    http_response response = std::get<http_response>(result);
    std::erase_if(response.headers,
                  [](const auto &field) { return isReservedHeader(field.first); });
    return response;
}

http_response admission_actor::refuse(const request::admission::refuse &refusal)
{
    m_metrics.count("refusals_total", nameOf(refusal.errorKind));
    auto response = refusalAnswer(refusal.errorKind, executed::No, refusal.retryAfter);
    response.headers["Zb-Retry-After-Ms"] = std::to_string(refusal.retryAfter.count());
    return response;
}

void admission_actor::cancel(const std::string &requestId, std::uint32_t attempt)
{
    m_actor->post(cancel_requested{requestId, attempt});
}

void admission_actor::drain()
{
    while (!m_actor->post(request::admission::drain_started{}))
        std::this_thread::sleep_for(TickInterval);
}

request::upstream_load admission_actor::load() const
{
    request::upstream_load load;
    load.inFlight = m_runningCount;
    load.queued = m_waitingCount;
    load.latency = duration(m_latencyMicroseconds);
    return load;
}

std::optional<request::latency_reading> admission_actor::tailLatency() const
{
    const std::lock_guard lock(m_answerTimesMutex);
    return m_answerTimes.read(monotonic_clock::now());
}

void admission_actor::stop()
{
    m_receiverThreads.stop();
    m_actor->stop();
}

// --- On the actor's thread ----------------------------------------------------------------------

void admission_actor::handle(event &newEvent)
{
    const auto now = monotonic_clock::now();
    std::visit([&](auto &each) { on(each, now); }, newEvent);
}

void admission_actor::on(arrival &newEvent, time_point now)
{
    // A duplicated, late or misdirected attempt must not run.
    if (const auto refusal = m_guard.admitAttempt(newEvent.attempt, now)) {
        newEvent.decisionPromise->set_value(*refusal);
        return;
    }
    m_attempts[newEvent.event.id] = {newEvent.attempt, newEvent.decisionPromise};
    feed(newEvent.event);
}

void admission_actor::on(const attempt_end &newEvent, time_point now)
{
    m_guard.recordEnd(newEvent.requestId, newEvent.attempt, newEvent.executionResult, now);
    // An attempt without an answer by its deadline counts with the time until then, so that an
    // upstream that answers nothing in time is seen as slow.
    if (newEvent.executionResult == executed::Yes || newEvent.isLate)
        recordAnswerTime(newEvent.answeredAfter, now);
    feed(newEvent.event);
}

void admission_actor::on(const cancel_requested &newEvent, time_point now)
{
    if (!m_guard.cancelAttempt(newEvent.requestId, newEvent.attempt, now))
        return; // it may have started; then its end is reported as usual
    const auto key = keyOf(newEvent.requestId, newEvent.attempt);
    feed(request::admission::cancelled{key});
    const auto waiting = m_attempts.find(key);
    if (waiting == m_attempts.end())
        return;
    waiting->second.verdictPromise->set_value(
            request::admission::refuse{key, error_kind::DeadlinePassed, milliseconds(0)});
    m_attempts.erase(waiting);
}

void admission_actor::on(const request::admission::drain_started &newEvent, time_point /*now*/)
{
    feed(newEvent);
}

void admission_actor::recordAnswerTime(duration answerTime, time_point now)
{
    const std::lock_guard lock(m_answerTimesMutex);
    m_answerTimes.add(answerTime, now);
}

// Only waiting requests can expire without an event.
time_point admission_actor::nextTick() const
{
    return m_admission.waitingCount() == 0 ? Never : m_lastTickAt + TickInterval;
}

void admission_actor::tick()
{
    m_lastTickAt = monotonic_clock::now();
    feed(request::admission::tick{});
}

void admission_actor::feed(const request::admission::event &newEvent)
{
    const auto now = monotonic_clock::now();
    for (const auto &action : m_admission.handle(newEvent, now))
        applyDecision(action, now);
    m_runningCount = m_admission.runningCount();
    m_waitingCount = m_admission.waitingCount();
    m_latencyMicroseconds = m_admission.serviceTime(m_settings.upstream.service).count();
}

void admission_actor::applyDecision(const request::admission::action &action, time_point now)
{
    const auto &key =
            std::visit([](const auto &each) -> const std::string & { return each.id; }, action);
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end())
        return;
    const auto waiting = found->second;
    m_attempts.erase(found);
    const auto &attempt = waiting.attempt;
    if (const auto *refusal = std::get_if<request::admission::refuse>(&action)) {
        m_guard.recordEnd(attempt.requestId, attempt.attempt, executed::No, now);
        waiting.verdictPromise->set_value(*refusal);
    } else if (const auto guardRefusal =
                       m_guard.startAttempt(attempt.requestId, attempt.attempt, now)) {
        waiting.verdictPromise->set_value(*guardRefusal);
        feed(request::admission::finished{key, duration(0), duration(0), true}); // frees its slot
    } else {
        waiting.verdictPromise->set_value(std::get<request::admission::start>(action));
    }
}

} // namespace zinniabarrow
