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

// A key protects a change. Reading again harms nobody, so its claim would be a wasted write.
bool needsClaim(const request_arrived &event)
{
    return !event.idempotencyKey.empty() && !contains(SafeMethods, event.method);
}

std::uint64_t hashOf(const request_arrived &event)
{
    return stableHash(fmt::format("{}\n{}\n{:x}", event.method, event.path, event.bodyHash));
}

// A refusal may say "not run" only when both its kind and the one who refused say so.
executed certainOf(error_kind kind, executed ran)
{
    return ran == executed::No && answerFor(kind).ran != executed::No ? executed::Unknown : ran;
}

} // namespace

bool isIdempotent(std::string_view method)
{
    return contains(SafeMethods, method) || contains(OtherIdempotentMethods, method);
}

request_flow::request_flow(std::string entryId, flow_settings settings, retry_permit permit,
                           entry_alive_check alive)
    : m_settings(settings)
    , m_permit(std::move(permit))
    , m_book(std::move(entryId), settings.claims, std::move(alive))
{
    // Two eras after its claim a request must be over, or a repeat would be told so too early.
    if (settings.claims.eraLength <= settings.maxRequestTime + settings.lateOutcomeTime)
        throw error(error_kind::BadSettings, "claims.eraLength must exceed the time of a request");
}

std::vector<flow_action> request_flow::handle(const flow_event &event, time_point now)
{
    m_now = now;
    std::visit([this](const auto &each) { on(each); }, event);
    takeBookOutput();
    wakeDue();
    takeBookOutput();
    finishDrain();
    return std::exchange(m_actions, {});
}

time_point request_flow::nextWake() const
{
    auto wake = std::min(m_book.nextWake(), m_drainRecordsBy);
    if (!m_wakes.empty())
        wake = std::min(wake, m_wakes.begin()->first);
    return wake;
}

// --- Events -------------------------------------------------------------------------------------

void request_flow::on(const request_arrived &event)
{
    // Handled again, it could be forwarded to another agent, which has not seen it.
    if (m_requests.contains(event.id) || m_ended.contains(event.id))
        return count(flow_counter::DoubledEvent);
    count(flow_counter::Arrived);
    if (m_draining)
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
    waitUntil(request, request.arrived.deadline);
    if (!needsClaim(event))
        return choose(request);
    m_book.claim(
            {event.id, claimKey(event.service, event.team, event.idempotencyKey), hashOf(event)},
            m_now);
}

void request_flow::on(const upstream_chosen &event)
{
    auto *request = find(event.id, step::Choosing);
    if (request == nullptr)
        return;
    // The process may have been paused since: the deadline is looked at before the act.
    if (request->arrived.deadline <= m_now)
        return deadlinePassed(*request);
    request->at = step::Forwarded;
    request->agentId = event.agentId;
    ++request->attempt;
    m_actions.emplace_back(
            forward_request{event.id, request->attempt, event.agentId, request->arrived.deadline});
}

void request_flow::on(const none_available &event)
{
    auto *request = find(event.id, step::Choosing);
    if (request == nullptr)
        return;
    // After a refusal of its own the request learns that reason: it says more.
    if (request->lastRefusal)
        return refuse(*request, request->lastRefusal->kind, request->lastRefusal->ran,
                      request->lastRefusal->retryAfter);
    const bool certain = answerFor(event.kind).ran == executed::No;
    refuse(*request, certain ? event.kind : error_kind::NoUpstream, executed::No);
}

void request_flow::on(const answer_begun &event)
{
    auto *request = find(event.id, step::Forwarded);
    if (request == nullptr)
        return;
    if (request->attempt != event.attempt)
        return count(flow_counter::StaleEvent);
    if (request->arrived.deadline <= m_now)
        return deadlinePassed(*request);
    // From here on there is no retry: the caller has the first bytes. The claim stays open until
    // the body has ended, so that a repeat meanwhile learns that the key is in progress.
    count(flow_counter::Streamed);
    m_actions.emplace_back(answer_caller{event.id, pass_answer{event.attempt, event.status, true}});
    request->at = step::Streaming;
    waitUntil(*request, request->arrived.deadline + m_settings.lateOutcomeTime);
}

void request_flow::on(const attempt_ended &event)
{
    const auto found = m_requests.find(event.id);
    // An event of an earlier attempt, or of an answered request, must not become this answer.
    if (found == m_requests.end() || found->second.attempt != event.attempt
        || found->second.at == step::Choosing)
        return count(flow_counter::StaleEvent);
    auto &request = found->second;
    if (request.at == step::Streaming)
        return settleStreamed(request, event.outcome);
    if (request.at == step::Answered)
        return settleLate(request, event.outcome);
    std::visit([&](const auto &outcome) { ended(request, outcome); }, event.outcome);
}

void request_flow::on(const claims_committed &event)
{
    m_book.committed(event, m_now);
}

void request_flow::on(const claims_read &event)
{
    m_book.read(event, m_now);
}

void request_flow::on(const flow_tick &)
{
    m_book.tick(m_now);
}

void request_flow::on(const flow_drain &)
{
    m_draining = true;
}

// --- Claims -------------------------------------------------------------------------------------

void request_flow::takeBookOutput()
{
    for (auto output = m_book.takeActions(); !output.empty(); output = m_book.takeActions()) {
        for (auto &action : output) {
            if (const auto *settled = std::get_if<claim_settled>(&action))
                claimSettled(*settled);
            else if (auto *commit = std::get_if<commit_claims>(&action))
                m_actions.emplace_back(std::move(*commit));
            else if (auto *read = std::get_if<read_claims>(&action))
                m_actions.emplace_back(std::move(*read));
            else if (auto *scan = std::get_if<scan_claims>(&action))
                m_actions.emplace_back(std::move(*scan));
            else
                m_actions.emplace_back(std::get<count_flow>(action));
        }
    }
}

void request_flow::claimSettled(const claim_settled &settled)
{
    auto *request = find(settled.requestId, step::Claiming);
    if (request == nullptr)
        return;
    if (std::holds_alternative<claim_granted>(settled.verdict)) {
        request->claimed = true;
        return choose(*request);
    }
    if (const auto *replay = std::get_if<claim_replayed>(&settled.verdict)) {
        count(flow_counter::Replayed);
        m_actions.emplace_back(answer_caller{settled.requestId, replay_answer{replay->answer}});
        return forget(settled.requestId);
    }
    const auto kind = std::get<claim_refused>(settled.verdict).kind;
    const bool noClaim = kind == error_kind::PlatformUnavailable || kind == error_kind::Overloaded;
    if (noClaim && isIdempotent(request->arrived.method)) {
        // Running it again has the same effect by the method's definition: an outage need not
        // stop it.
        count(flow_counter::Unclaimed);
        return choose(*request);
    }
    refuse(*request, kind, answerFor(kind).ran);
}

void request_flow::endClaim(live_request &request, executed ran)
{
    if (!std::exchange(request.claimed, false))
        return;
    if (ran == executed::No)
        m_book.notRun(request.arrived.id, m_now);
    else if (ran == executed::Yes)
        m_book.finished(request.arrived.id, whole_answer{}, m_now);
    else
        m_book.unknown(request.arrived.id, m_now);
}

// --- Attempts -----------------------------------------------------------------------------------

void request_flow::choose(live_request &request)
{
    request.at = step::Choosing;
    if (request.arrived.deadline <= m_now)
        return deadlinePassed(request);
    m_actions.emplace_back(
            choose_upstream{request.arrived.id, request.arrived.service, request.excluded});
}

void request_flow::ended(live_request &request, const whole_answer &answer)
{
    pass(request, answer);
}

void request_flow::ended(live_request &request, const attempt_refused &refusal)
{
    const auto ran = certainOf(refusal.kind, refusal.ran);
    request.lastRefusal = refuse_request{refusal.kind, ran, refusal.retryAfter};
    request.mayHaveRun |= ran != executed::No;
    const bool elsewhere = ran == executed::No && answerFor(refusal.kind).retryElsewhere;
    const bool again =
            ran == executed::Unknown && refusal.ended && isIdempotent(request.arrived.method);
    if ((elsewhere || again) && retry(request, refusal.kind))
        return;
    refuse(request, refusal.kind, ran, refusal.retryAfter);
}

void request_flow::ended(live_request &request, const attempt_unreachable &)
{
    ended(request,
          attempt_refused{error_kind::UpstreamUnreachable, executed::No, true, milliseconds(0)});
}

void request_flow::ended(live_request &request, const attempt_cut &cut)
{
    ended(request,
          attempt_refused{error_kind::AnswerCut, executed::Unknown, cut.ended, milliseconds(0)});
}

void request_flow::ended(live_request &request, const attempt_late &)
{
    deadlinePassed(request);
}

void request_flow::ended(live_request &request, const attempt_too_large &)
{
    refuse(request, error_kind::AnswerTooLarge, executed::Yes);
}

// No hedging: one attempt at a time, and the next only when the one before is known not to have run
// or, for idempotent methods, known to have ended. True when another attempt begins.
bool request_flow::retry(live_request &request, error_kind kind)
{
    if (request.attempt >= m_settings.maxAttempts)
        return false;
    if (request.arrived.deadline - m_now < m_settings.minRetryTime)
        return false;
    if (!m_permit(kind)) {
        count(flow_counter::RetryDenied, kind);
        return false;
    }
    count(flow_counter::Retried, kind);
    request.excluded.push_back(request.agentId);
    choose(request);
    return true;
}

// --- Answers ------------------------------------------------------------------------------------

void request_flow::pass(live_request &request, const whole_answer &answer)
{
    count(flow_counter::Passed);
    m_actions.emplace_back(
            answer_caller{request.arrived.id, pass_answer{request.attempt, answer.status, false}});
    if (request.claimed)
        m_book.finished(request.arrived.id, answer, m_now);
    forget(request.arrived.id);
}

void request_flow::refuse(live_request &request, error_kind kind, executed ran,
                          milliseconds retryAfter)
{
    // What an earlier attempt may have done counts for the whole request.
    if (request.mayHaveRun && ran == executed::No)
        ran = executed::Unknown;
    // Callers of non-idempotent requests know one word for every unknown outcome.
    const bool unknown = ran == executed::Unknown && answerFor(kind).ran != executed::Unknown;
    const bool cutChange = kind == error_kind::AnswerCut && !isIdempotent(request.arrived.method);
    if (unknown || cutChange)
        kind = error_kind::OutcomeUnknown;
    count(flow_counter::Refused, kind);
    m_actions.emplace_back(answer_caller{
            request.arrived.id,
            refuse_request{kind, ran, std::max(retryAfter, answerFor(kind).comeBackAfter)}});
    endClaim(request, ran);
    forget(request.arrived.id);
}

void request_flow::refuseNew(const request_arrived &event, error_kind kind)
{
    count(flow_counter::Refused, kind);
    m_actions.emplace_back(answer_caller{
            event.id, refuse_request{kind, executed::No, answerFor(kind).comeBackAfter}});
    rememberEnded(event.id);
}

void request_flow::deadlinePassed(live_request &request)
{
    if (request.at == step::Claiming)
        m_book.abandon(request.arrived.id, m_now);
    if (request.at != step::Forwarded && !request.mayHaveRun)
        return refuse(request, error_kind::DeadlinePassed, executed::No);
    if (request.at != step::Forwarded)
        return refuse(request, error_kind::AnswerLate, executed::Unknown);
    m_actions.emplace_back(cancel_attempt{request.arrived.id, request.attempt, request.agentId});
    if (!request.claimed)
        return refuse(request, error_kind::AnswerLate, executed::Unknown);
    // The attempt may still run. Its late outcome settles the claim; until then repeats learn that
    // the key is in progress, which is true.
    count(flow_counter::Refused, error_kind::AnswerLate);
    m_actions.emplace_back(
            answer_caller{request.arrived.id, refuse_request{error_kind::AnswerLate,
                                                             executed::Unknown, milliseconds(0)}});
    request.at = step::Answered;
    --m_inFlight;
    waitUntil(request, m_now + m_settings.lateOutcomeTime);
}

// The body has ended: whole, and the claim records that it ran, or cut. A cut says nothing about
// the request, so that a repeat of the key learns `outcome_unknown` and never runs.
void request_flow::settleStreamed(live_request &request, const attempt_outcome &outcome)
{
    const bool whole = std::holds_alternative<whole_answer>(outcome);
    count(whole ? flow_counter::Passed : flow_counter::StreamCut);
    endClaim(request, whole ? executed::Yes : executed::Unknown);
    forget(request.arrived.id);
}

// The caller has its answer; what became of the attempt still settles the claim.
void request_flow::settleLate(live_request &request, const attempt_outcome &outcome)
{
    count(flow_counter::LateOutcome);
    auto ran = executed::Unknown;
    if (const auto *answer = std::get_if<whole_answer>(&outcome)) {
        m_book.finished(request.arrived.id, *answer, m_now);
        request.claimed = false;
    } else if (const auto *refusal = std::get_if<attempt_refused>(&outcome)) {
        ran = certainOf(refusal->kind, refusal->ran);
    } else if (std::holds_alternative<attempt_unreachable>(outcome)) {
        ran = executed::No;
    } else if (std::holds_alternative<attempt_too_large>(outcome)) {
        ran = executed::Yes;
    }
    if (request.mayHaveRun && ran == executed::No)
        ran = executed::Unknown;
    endClaim(request, ran);
    forget(request.arrived.id);
}

// --- Time and drain -----------------------------------------------------------------------------

void request_flow::waitUntil(live_request &request, time_point when)
{
    m_wakes.erase({request.wakeAt, request.arrived.id});
    request.wakeAt = when;
    m_wakes.emplace(when, request.arrived.id);
}

void request_flow::wakeDue()
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= m_now) {
        auto &request = m_requests.at(m_wakes.begin()->second);
        if (request.at != step::Answered && request.at != step::Streaming) {
            deadlinePassed(request);
            continue;
        }
        endClaim(request, executed::Unknown);
        forget(request.arrived.id);
    }
}

void request_flow::forget(std::string id)
{
    const auto found = m_requests.find(id);
    if (found->second.at != step::Answered)
        --m_inFlight;
    m_wakes.erase({found->second.wakeAt, found->first});
    m_requests.erase(found);
    rememberEnded(id);
}

void request_flow::rememberEnded(const std::string &id)
{
    m_ended.insert(id);
    m_endedByAge.push_back(id);
    if (m_endedByAge.size() <= m_settings.maxEnded)
        return;
    m_ended.erase(m_endedByAge.front());
    m_endedByAge.pop_front();
}

void request_flow::finishDrain()
{
    if (!m_draining || m_drainReported || m_inFlight > 0)
        return;
    if (m_drainRecordsBy == Never) {
        m_drainRecordsBy = m_now + m_settings.drainRecordTime;
        while (!m_requests.empty()) {
            auto &request = m_requests.begin()->second;
            endClaim(request, executed::Unknown);
            forget(request.arrived.id);
        }
        takeBookOutput();
    }
    if (m_book.openRecords() > 0 && m_now < m_drainRecordsBy)
        return;
    m_drainReported = true;
    m_drainRecordsBy = Never;
    m_actions.emplace_back(flow_drained{m_book.openRecords()});
}

void request_flow::count(flow_counter counter, std::optional<error_kind> kind, std::uint64_t amount)
{
    m_actions.emplace_back(count_flow{counter, kind, amount});
}

request_flow::live_request *request_flow::find(const std::string &id, step expected)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second.at == expected)
        return &found->second;
    count(flow_counter::StaleEvent);
    return nullptr;
}

} // namespace zinniabarrow::delivery
