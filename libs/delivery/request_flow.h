// Processing of a caller's request in an entry: claim its key, choose an upstream, forward, retry,
// answer. A claim is the right to run a request under its idempotency key; of the requests with one
// key, at whichever entry, only one at a time has it. Requests without a key and those with a safe
// method (GET, HEAD, OPTIONS) need none.
//
//   flow_settings   limits and timeouts
//   request_flow    state machine for all requests of an entry
//
// flow_messages.h has the events and actions; claim_coordinator.h manages the claims.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "delivery/claim_coordinator.h"
#include "delivery/flow_messages.h"

namespace zinniabarrow::delivery {

struct flow_settings
{
    std::size_t maxInFlight = 4096; // requests; further ones are refused as Overloaded
    // Remembered ids of ended requests. A duplicate of one that is no longer remembered counts as
    // new.
    std::size_t maxEndedIds = 16'384;
    std::uint32_t maxAttempts = 3;       // attempts of one request, including the first
    milliseconds minRetryTime{20};       // no retry if less time is left before the deadline
    milliseconds maxRequestTime{60'000}; // later deadlines are reduced to this
    // How long the end of an attempt is waited for after the caller was refused as AnswerLate, or
    // after the deadline of a streamed answer: its outcome is recorded in the claim.
    milliseconds lateOutcomeTimeout{30'000};
    // How long a drain waits for outcomes to be stored after the last request was answered.
    milliseconds drainTimeout{5'000};
    claim_settings claims;
};

// Asks the retry budget whether an attempt that ended with this kind may be followed by another
// one. If so, one retry is taken from the budget.
using retry_allowed_check = std::function<bool(error_kind)>;

// Whether an HTTP method has the same effect when it is executed once or several times: the safe
// methods, PUT and DELETE. Such requests may be retried although they may have been executed, and
// run without a claim if none can be made.
bool isIdempotent(std::string_view method);

// Called by the entry with each event. Returns exactly one answer_caller for each request that
// arrives; duplicates get none. During a drain, new requests are refused as Draining. Not
// thread-safe.
class request_flow
{
public:
    // `entryId` names this incarnation of the entry and must never be used by another one.
    // `isEntryAlive`: see claim_coordinator.h.
    request_flow(std::string entryId, flow_settings settings, retry_allowed_check isRetryAllowed,
                 entry_alive_check isEntryAlive);

    // Processes one event and returns the actions to carry out, in order.
    std::vector<flow_action> handle(const flow_event &event, time_point now);

    // Time at which a flow_tick is due; Never if nothing waits.
    time_point nextWake() const;

    // Number of requests whose callers have no complete answer; a streamed answer is complete when
    // its body has ended.
    std::size_t inFlight() const { return m_inFlight; }
    // Number of claims whose final state is not stored yet.
    std::size_t openClaims() const { return m_claims.openClaimCount(); }
    // Bytes of stored answers that are kept in memory for replays.
    std::size_t cachedAnswerBytes() const { return m_claims.cachedBytes(); }
    bool isDraining() const { return m_isDraining; }

private:
    // Claiming: waits for the verdict on its claim. Choosing: waits for the router. Forwarded:
    // waits for the end of an attempt. Streaming: the caller gets a large answer as it arrives.
    // Answered: the caller has been answered; the outcome of the attempt still decides the claim.
    enum class step { Claiming, Choosing, Forwarded, Streaming, Answered };

    struct active_request
    {
        request_arrived arrived;
        step currentStep = step::Claiming;
        bool holdsClaim = false;           // its claim is granted, and no outcome recorded yet
        bool mayHaveRun = false;           // one of its attempts may have been executed
        std::uint32_t attempt = 0;         // number of the last attempt
        std::string agentId;               // of the last attempt
        std::vector<std::string> excluded; // agents of earlier attempts
        std::optional<refuse_request> lastRefusal; // answered if no other upstream is found
        time_point nextWakeAt = Never;             // deadline, or end of lateOutcomeTimeout
    };

    void on(const request_arrived &event);
    void on(const upstream_chosen &event);
    void on(const no_upstream_available &event);
    void on(const answer_started &event);
    void on(const attempt_ended &event);
    void on(const claims_committed &event);
    void on(const claims_read &event);
    void on(const flow_tick &event);
    void on(const flow_drain_started &event);

    void handleOutcome(active_request &request, const complete_answer &answer);
    void handleOutcome(active_request &request, const attempt_refused &refusal);
    void handleOutcome(active_request &request, const attempt_unreachable &outcome);
    void handleOutcome(active_request &request, const attempt_disconnected &disconnection);
    void handleOutcome(active_request &request, const attempt_timed_out &outcome);
    void handleOutcome(active_request &request, const attempt_too_large &outcome);

    void finishStreamed(active_request &request, const attempt_outcome &outcome);
    void handleLateOutcome(active_request &request, const attempt_outcome &outcome);
    void handleClaimDecision(const claim_decided &decided);
    void takeClaimActions();
    void requestUpstream(active_request &request);
    bool tryRetry(active_request &request, error_kind kind);
    void passAnswer(active_request &request, const complete_answer &answer);
    void refuseActive(active_request &request, error_kind kind, executed executionState,
                      milliseconds retryAfter = milliseconds(0));
    void refuseNew(const request_arrived &event, error_kind kind);
    void recordClaimEnd(active_request &request, executed executionState);
    void handleDeadline(active_request &request);
    void scheduleWake(active_request &request, time_point when);
    void removeRequest(std::string id); // by value: the id may be a member of the removed request
    void rememberEnded(const std::string &id);
    void processDueWakes();
    void reportDrainIfDone();
    void count(flow_counter counter, std::optional<error_kind> kind = std::nullopt,
               std::uint64_t amount = 1);
    active_request *find(const std::string &id, step expected);

    flow_settings m_settings;
    retry_allowed_check m_isRetryAllowed;
    claim_coordinator m_claims;
    std::map<std::string, active_request> m_requests;     // by request id
    std::set<std::pair<time_point, std::string>> m_wakes; // request ids by nextWakeAt
    std::set<std::string> m_endedIds;        // so that a duplicate request_arrived has no effect
    std::deque<std::string> m_endedIdsByAge; // the same ids, oldest first
    std::size_t m_inFlight = 0;              // requests without a complete answer
    bool m_isDraining = false;
    bool m_isDrainReported = false;
    // End of drainTimeout; Never until the last request of a drain has been answered.
    time_point m_drainDeadline = Never;
    time_point m_now{};                 // time of the event that is being processed
    std::vector<flow_action> m_actions; // produced by the event that is being processed
};

} // namespace zinniabarrow::delivery
