#include "delivery/request_flow.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"
#include "base/names.h"

namespace zinniabarrow::delivery {

namespace {

constexpr std::array<std::string_view, 3> SafeMethods{"GET", "HEAD", "OPTIONS"};
constexpr std::array<std::string_view, 2> OtherIdempotentMethods{"PUT", "DELETE"};

template <typename List>
bool contains(const List &list, std::string_view method)
{
    return std::find(list.begin(), list.end(), method) != list.end();
}

// Idempotency keys protect changes. Repeating a read is harmless, so a claim for it would only cost
// a write.
bool needsClaim(const request_arrived &event)
{
    return !event.idempotencyKey.empty() && !contains(SafeMethods, event.method);
}

std::uint64_t hashOf(const request_arrived &event)
{
    return stableHash(fmt::format("{}\n{}\n{:x}", event.method, event.path, event.bodyHash));
}

// A refusal counts as proof that the request was not executed only if both its kind and its sender
// say so.
executed provenExecution(error_kind kind, executed executionState)
{
    return executionState == executed::No && answerFor(kind).execution != executed::No
                   ? executed::Unknown
                   : executionState;
}

} // namespace

bool isIdempotent(std::string_view method)
{
    return contains(SafeMethods, method) || contains(OtherIdempotentMethods, method);
}

request_flow::request_flow(std::string entryId, flow_settings settings,
                           retry_allowed_check isRetryAllowed, entry_alive_check isEntryAlive)
    : m_settings(settings)
    , m_isRetryAllowed(std::move(isRetryAllowed))
    , m_claims(std::move(entryId), settings.claims, std::move(isEntryAlive))
{
    // Two eras after its claim, a request is assumed to have ended. If it could still run, a repeat
    // would be answered too early that the outcome is unknown.
    if (settings.claims.eraDuration <= settings.maxRequestTime + settings.lateOutcomeTimeout)
        throw error(error_kind::BadSettings,
                    "claims.eraDuration must exceed maxRequestTime + lateOutcomeTimeout");
}

std::vector<flow_action> request_flow::handle(const flow_event &event, time_point now)
{
    m_now = now;
    std::visit([this](const auto &each) { on(each); }, event);
    takeClaimActions();
    processDueWakes();
    takeClaimActions();
    reportDrainIfDone();
    return std::exchange(m_actions, {});
}

time_point request_flow::nextWake() const
{
    auto wake = std::min(m_claims.nextWake(), m_drainDeadline);
    if (!m_wakes.empty())
        wake = std::min(wake, m_wakes.begin()->first);
    return wake;
}

// --- Events -------------------------------------------------------------------------------------

void request_flow::on(const request_arrived &event)
{
    // Otherwise a duplicate could be forwarded to another agent, which has no record of the request
    // and might run it again.
    if (m_requests.contains(event.id) || m_endedIds.contains(event.id))
        return count(flow_counter::DuplicateEvent);
    count(flow_counter::Arrived);
    if (m_isDraining)
        return refuseNew(event, error_kind::Draining);
    if (event.deadline <= m_now)
        return refuseNew(event, error_kind::DeadlinePassed);
    if (m_inFlight >= m_settings.maxInFlight)
        return refuseNew(event, error_kind::Overloaded);
    if (event.idempotencyKey.size() > m_settings.claims.maxKeyBytes)
        return refuseNew(event, error_kind::BadRequest);

    auto &request = m_requests[event.id];
    ++m_inFlight;
    request.arrived = event;
    request.arrived.deadline = std::min(event.deadline, m_now + m_settings.maxRequestTime);
    scheduleWake(request, request.arrived.deadline);
    if (!needsClaim(event))
        return requestUpstream(request);
    m_claims.claim(
            {event.id, claimRowKey(event.service, event.team, event.idempotencyKey), hashOf(event)},
            m_now);
}

void request_flow::on(const upstream_chosen &event)
{
    auto *request = find(event.id, step::Choosing);
    if (request == nullptr)
        return;
    // The process may have been paused since the upstream was requested, so the deadline is checked
    // before the request is forwarded.
    if (request->arrived.deadline <= m_now)
        return handleDeadline(*request);
    request->currentStep = step::Forwarded;
    request->agentId = event.agentId;
    ++request->attempt;
    m_actions.emplace_back(
            forward_request{event.id, request->attempt, event.agentId, request->arrived.deadline});
}

void request_flow::on(const no_upstream_available &event)
{
    auto *request = find(event.id, step::Choosing);
    if (request == nullptr)
        return;
    // If an agent has refused the request, its refusal says more than the lack of an upstream.
    if (request->lastRefusal)
        return refuseActive(*request, request->lastRefusal->kind,
                            request->lastRefusal->executionState, request->lastRefusal->retryAfter);
    const bool isProvenNotRun = answerFor(event.kind).execution == executed::No;
    refuseActive(*request, isProvenNotRun ? event.kind : error_kind::NoUpstream, executed::No);
}

void request_flow::on(const answer_started &event)
{
    auto *request = find(event.id, step::Forwarded);
    if (request == nullptr)
        return;
    if (request->attempt != event.attempt)
        return count(flow_counter::StaleEvent);
    if (request->arrived.deadline <= m_now)
        return handleDeadline(*request);
    // No retry is possible from here on: the caller has the first bytes. The claim stays open until
    // the body has ended, so that a repeat until then is refused as KeyInProgress.
    count(flow_counter::Streamed);
    m_actions.emplace_back(answer_caller{event.id, pass_answer{event.attempt, event.status, true}});
    request->currentStep = step::Streaming;
    scheduleWake(*request, request->arrived.deadline + m_settings.lateOutcomeTimeout);
}

void request_flow::on(const attempt_ended &event)
{
    const auto found = m_requests.find(event.id);
    // Events of an earlier attempt or of an answered request must not decide this answer.
    if (found == m_requests.end() || found->second.attempt != event.attempt
        || found->second.currentStep == step::Choosing)
        return count(flow_counter::StaleEvent);
    auto &request = found->second;
    if (request.currentStep == step::Streaming)
        return finishStreamed(request, event.outcome);
    if (request.currentStep == step::Answered)
        return handleLateOutcome(request, event.outcome);
    std::visit([&](const auto &outcome) { handleOutcome(request, outcome); }, event.outcome);
}

void request_flow::on(const claims_committed &event)
{
    m_claims.handleCommitResult(event, m_now);
}

void request_flow::on(const claims_read &event)
{
    m_claims.handleReadResult(event, m_now);
}

void request_flow::on(const flow_tick &)
{
    m_claims.tick(m_now);
}

void request_flow::on(const flow_drain_started &)
{
    m_isDraining = true;
}

// --- Claims -------------------------------------------------------------------------------------

void request_flow::takeClaimActions()
{
    for (auto output = m_claims.takeActions(); !output.empty(); output = m_claims.takeActions()) {
        for (auto &action : output) {
            if (const auto *decided = std::get_if<claim_decided>(&action))
                handleClaimDecision(*decided);
            else if (auto *commit = std::get_if<commit_claims>(&action))
                m_actions.emplace_back(std::move(*commit));
            else if (auto *read = std::get_if<read_claims>(&action))
                m_actions.emplace_back(std::move(*read));
            else if (auto *scan = std::get_if<scan_claims>(&action))
                m_actions.emplace_back(std::move(*scan));
            else
                m_actions.emplace_back(std::get<increment_counter>(action));
        }
    }
}

void request_flow::handleClaimDecision(const claim_decided &decided)
{
    auto *request = find(decided.requestId, step::Claiming);
    if (request == nullptr)
        return;
    if (std::holds_alternative<claim_granted>(decided.verdict)) {
        request->holdsClaim = true;
        return requestUpstream(*request);
    }
    if (const auto *replay = std::get_if<claim_replayed>(&decided.verdict)) {
        count(flow_counter::Replayed);
        m_actions.emplace_back(answer_caller{decided.requestId, replay_answer{replay->answer}});
        return removeRequest(decided.requestId);
    }
    const auto kind = std::get<claim_refused>(decided.verdict).kind;
    const bool isClaimUnavailable =
            kind == error_kind::PlatformUnavailable || kind == error_kind::Overloaded;
    if (isClaimUnavailable && isIdempotent(request->arrived.method)) {
        // An idempotent method may run again without a claim, so an outage of the table does not
        // affect it.
        count(flow_counter::ProceededUnclaimed);
        return requestUpstream(*request);
    }
    refuseActive(*request, kind, answerFor(kind).execution);
}

void request_flow::recordClaimEnd(active_request &request, executed executionState)
{
    if (!std::exchange(request.holdsClaim, false))
        return;
    if (executionState == executed::No)
        m_claims.recordNotRun(request.arrived.id, m_now);
    else if (executionState == executed::Yes)
        m_claims.recordFinished(request.arrived.id, complete_answer{}, m_now);
    else
        m_claims.recordUnknown(request.arrived.id, m_now);
}

// --- Attempts -----------------------------------------------------------------------------------

void request_flow::requestUpstream(active_request &request)
{
    request.currentStep = step::Choosing;
    if (request.arrived.deadline <= m_now)
        return handleDeadline(request);
    m_actions.emplace_back(
            choose_upstream{request.arrived.id, request.arrived.service, request.excluded});
}

void request_flow::handleOutcome(active_request &request, const complete_answer &answer)
{
    passAnswer(request, answer);
}

void request_flow::handleOutcome(active_request &request, const attempt_refused &refusal)
{
    const auto executionState = provenExecution(refusal.kind, refusal.executionState);
    request.lastRefusal = refuse_request{refusal.kind, executionState, refusal.retryAfter};
    request.mayHaveRun |= executionState != executed::No;
    const bool canRunElsewhere =
            executionState == executed::No && answerFor(refusal.kind).retryElsewhere;
    const bool canRunAgain = executionState == executed::Unknown && refusal.hasEnded
                             && isIdempotent(request.arrived.method);
    if ((canRunElsewhere || canRunAgain) && tryRetry(request, refusal.kind))
        return;
    refuseActive(request, refusal.kind, executionState, refusal.retryAfter);
}

void request_flow::handleOutcome(active_request &request, const attempt_unreachable &)
{
    handleOutcome(request, attempt_refused{error_kind::UpstreamUnreachable, executed::No, true,
                                           milliseconds(0)});
}

void request_flow::handleOutcome(active_request &request, const attempt_disconnected &disconnection)
{
    handleOutcome(request, attempt_refused{error_kind::AnswerIncomplete, executed::Unknown,
                                           disconnection.hasEnded, milliseconds(0)});
}

void request_flow::handleOutcome(active_request &request, const attempt_timed_out &)
{
    handleDeadline(request);
}

void request_flow::handleOutcome(active_request &request, const attempt_too_large &)
{
    refuseActive(request, error_kind::AnswerTooLarge, executed::Yes);
}

// There is no hedging: attempts follow each other, and the next one starts only if the previous one
// was certainly not executed or, for idempotent methods, has certainly ended. Returns true if
// another attempt was requested.
bool request_flow::tryRetry(active_request &request, error_kind kind)
{
    if (request.attempt >= m_settings.maxAttempts)
        return false;
    if (request.arrived.deadline - m_now < m_settings.minRetryTime)
        return false;
    if (!m_isRetryAllowed(kind)) {
        count(flow_counter::RetryDenied, kind);
        return false;
    }
    count(flow_counter::Retried, kind);
    request.excluded.push_back(request.agentId);
    requestUpstream(request);
    return true;
}

// --- Answers ------------------------------------------------------------------------------------

void request_flow::passAnswer(active_request &request, const complete_answer &answer)
{
    count(flow_counter::Passed);
    m_actions.emplace_back(
            answer_caller{request.arrived.id, pass_answer{request.attempt, answer.status, false}});
    if (request.holdsClaim)
        m_claims.recordFinished(request.arrived.id, answer, m_now);
    removeRequest(request.arrived.id);
}

void request_flow::refuseActive(active_request &request, error_kind kind, executed executionState,
                                milliseconds retryAfter)
{
    // An earlier attempt may have been executed, which counts for the whole request.
    if (request.mayHaveRun && executionState == executed::No)
        executionState = executed::Unknown;
    // For non-idempotent requests, every unknown outcome is reported with the same error kind.
    const bool isOutcomeUnknown =
            executionState == executed::Unknown && answerFor(kind).execution != executed::Unknown;
    const bool isInterruptedChange =
            kind == error_kind::AnswerIncomplete && !isIdempotent(request.arrived.method);
    if (isOutcomeUnknown || isInterruptedChange)
        kind = error_kind::OutcomeUnknown;
    count(flow_counter::Refused, kind);
    m_actions.emplace_back(answer_caller{
            request.arrived.id,
            refuse_request{kind, executionState,
                           std::max(retryAfter, answerFor(kind).suggestedRetryDelay)}});
    recordClaimEnd(request, executionState);
    removeRequest(request.arrived.id);
}

void request_flow::refuseNew(const request_arrived &event, error_kind kind)
{
    count(flow_counter::Refused, kind);
    m_actions.emplace_back(answer_caller{
            event.id, refuse_request{kind, executed::No, answerFor(kind).suggestedRetryDelay}});
    rememberEnded(event.id);
}

void request_flow::handleDeadline(active_request &request)
{
    if (request.currentStep == step::Claiming)
        m_claims.abandonClaim(request.arrived.id, m_now);
    if (request.currentStep != step::Forwarded && !request.mayHaveRun)
        return refuseActive(request, error_kind::DeadlinePassed, executed::No);
    if (request.currentStep != step::Forwarded)
        return refuseActive(request, error_kind::AnswerLate, executed::Unknown);
    m_actions.emplace_back(cancel_attempt{request.arrived.id, request.attempt, request.agentId});
    if (!request.holdsClaim)
        return refuseActive(request, error_kind::AnswerLate, executed::Unknown);
    // The attempt may still run, and its late outcome will decide the claim. Until then repeats are
    // refused as KeyInProgress.
    count(flow_counter::Refused, error_kind::AnswerLate);
    m_actions.emplace_back(
            answer_caller{request.arrived.id, refuse_request{error_kind::AnswerLate,
                                                             executed::Unknown, milliseconds(0)}});
    request.currentStep = step::Answered;
    --m_inFlight;
    scheduleWake(request, m_now + m_settings.lateOutcomeTimeout);
}

// Called when the body of a streamed answer has ended. If the body is complete, the claim records
// that the request was executed. If the connection broke, the outcome is unknown: a repeat of the
// key is answered `outcome_unknown` and never runs.
void request_flow::finishStreamed(active_request &request, const attempt_outcome &outcome)
{
    const bool isComplete = std::holds_alternative<complete_answer>(outcome);
    count(isComplete ? flow_counter::Passed : flow_counter::StreamCut);
    recordClaimEnd(request, isComplete ? executed::Yes : executed::Unknown);
    removeRequest(request.arrived.id);
}

// The caller has already been answered, but the outcome of the attempt still decides the claim.
void request_flow::handleLateOutcome(active_request &request, const attempt_outcome &outcome)
{
    count(flow_counter::LateOutcome);
    auto executionState = executed::Unknown;
    if (const auto *answer = std::get_if<complete_answer>(&outcome)) {
        m_claims.recordFinished(request.arrived.id, *answer, m_now);
        request.holdsClaim = false;
    } else if (const auto *refusal = std::get_if<attempt_refused>(&outcome)) {
        executionState = provenExecution(refusal->kind, refusal->executionState);
    } else if (std::holds_alternative<attempt_unreachable>(outcome)) {
        executionState = executed::No;
    } else if (std::holds_alternative<attempt_too_large>(outcome)) {
        executionState = executed::Yes;
    }
    if (request.mayHaveRun && executionState == executed::No)
        executionState = executed::Unknown;
    recordClaimEnd(request, executionState);
    removeRequest(request.arrived.id);
}

// --- Time and drain -----------------------------------------------------------------------------

void request_flow::scheduleWake(active_request &request, time_point when)
{
    m_wakes.erase({request.nextWakeAt, request.arrived.id});
    request.nextWakeAt = when;
    m_wakes.emplace(when, request.arrived.id);
}

void request_flow::processDueWakes()
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= m_now) {
        auto &request = m_requests.at(m_wakes.begin()->second);
        if (request.currentStep != step::Answered && request.currentStep != step::Streaming) {
            handleDeadline(request);
            continue;
        }
        recordClaimEnd(request, executed::Unknown);
        removeRequest(request.arrived.id);
    }
}

void request_flow::removeRequest(std::string id)
{
    const auto found = m_requests.find(id);
    if (found->second.currentStep != step::Answered)
        --m_inFlight;
    m_wakes.erase({found->second.nextWakeAt, found->first});
    m_requests.erase(found);
    rememberEnded(id);
}

void request_flow::rememberEnded(const std::string &id)
{
    m_endedIds.insert(id);
    m_endedIdsByAge.push_back(id);
    if (m_endedIdsByAge.size() <= m_settings.maxEndedIds)
        return;
    m_endedIds.erase(m_endedIdsByAge.front());
    m_endedIdsByAge.pop_front();
}

void request_flow::reportDrainIfDone()
{
    if (!m_isDraining || m_isDrainReported || m_inFlight > 0)
        return;
    if (m_drainDeadline == Never) {
        m_drainDeadline = m_now + m_settings.drainTimeout;
        while (!m_requests.empty()) {
            auto &request = m_requests.begin()->second;
            recordClaimEnd(request, executed::Unknown);
            removeRequest(request.arrived.id);
        }
        takeClaimActions();
    }
    if (m_claims.openClaimCount() > 0 && m_now < m_drainDeadline)
        return;
    m_isDrainReported = true;
    m_drainDeadline = Never;
    m_actions.emplace_back(flow_drained{m_claims.openClaimCount()});
}

void request_flow::count(flow_counter counter, std::optional<error_kind> kind, std::uint64_t amount)
{
    m_actions.emplace_back(increment_counter{counter, kind, amount});
}

request_flow::active_request *request_flow::find(const std::string &id, step expected)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second.currentStep == expected)
        return &found->second;
    count(flow_counter::StaleEvent);
    return nullptr;
}

} // namespace zinniabarrow::delivery
