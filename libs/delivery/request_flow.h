// The life of one caller's request in an entry: claim its key, choose, forward, retry or answer.
//
//   flow_settings   bounds
//   request_flow    the state machine for all requests of an entry
//
// The events and actions are in flow_messages.h; the claims are kept by claim_book.h.
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
    std::size_t maxInFlight = 4096;          // requests; more are refused as Overloaded
    std::size_t maxEndedIds = 16'384;        // ids of ended requests that are remembered
    std::uint32_t maxAttempts = 3;           // forwards of one request
    milliseconds minRetryTime{20};           // time left below which no retry starts
    milliseconds maxRequestTime{60'000};     // later deadlines are cut to this
    milliseconds lateOutcomeTimeout{30'000}; // how long a late outcome may still settle a claim
    milliseconds drainTimeout{5'000};        // how long a drain waits for the table
    claim_settings claims;
};

// May a try that ended with this kind be followed by another one? (the budget for retries)
using retry_permit = std::function<bool(error_kind)>;

// Is a method defined to have the same effect when run once or more often?
bool isIdempotent(std::string_view method);

// One thread at a time. Every request that is taken in gets exactly one answer_caller.
class request_flow
{
public:
    // `entryId` names this incarnation of the entry; no other one may ever use it again.
    request_flow(std::string entryId, flow_settings settings, retry_permit isRetryPermitted,
                 entry_alive_check isEntryAlive);

    std::vector<flow_action> handle(const flow_event &event, time_point now);

    // The time by which a flow_tick is due; Never when nothing waits.
    time_point nextWake() const;

    std::size_t inFlight() const { return m_inFlight; } // requests without their whole answer
    std::size_t openClaims() const { return m_claims.openClaimCount(); } // not settled for good
    std::size_t cachedAnswerBytes() const { return m_claims.cachedBytes(); }
    bool isDraining() const { return m_isDraining; }

private:
    enum class step { Claiming, Choosing, Forwarded, Streaming, Answered };

    struct active_request
    {
        request_arrived arrived;
        step currentStep = step::Claiming;
        bool holdsClaim = false;           // the claim is ours: the book wants to know the end
        bool mayHaveRun = false;           // some attempt may have run
        std::uint32_t attempt = 0;         // the newest forward
        std::string agentId;               // of the newest forward
        std::vector<std::string> excluded; // agents that refused
        std::optional<refuse_request> lastRefusal;
        time_point nextWakeAt = Never; // deadline, or the end of waiting for a late outcome
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
    void handleOutcome(active_request &request, const attempt_cut &cut);
    void handleOutcome(active_request &request, const attempt_timed_out &outcome);
    void handleOutcome(active_request &request, const attempt_too_large &outcome);

    void finishStreamed(active_request &request, const attempt_outcome &outcome);
    void handleLateOutcome(active_request &request, const attempt_outcome &outcome);
    void handleClaimDecision(const claim_decided &settled);
    void takeClaimActions();
    void requestUpstream(active_request &request);
    bool tryRetry(active_request &request, error_kind kind);
    void passAnswer(active_request &request, const complete_answer &answer);
    void refuseActive(active_request &request, error_kind kind, executed ran,
                      milliseconds retryAfter = milliseconds(0));
    void refuseNew(const request_arrived &event, error_kind kind);
    void recordClaimEnd(active_request &request, executed ran);
    void handleDeadline(active_request &request);
    void scheduleWake(active_request &request, time_point when);
    void removeRequest(std::string id); // by value: the id may belong to the request that goes
    void rememberEnded(const std::string &id);
    void processDueWakes();
    void reportDrainIfDone();
    void count(flow_counter counter, std::optional<error_kind> kind = std::nullopt,
               std::uint64_t amount = 1);
    active_request *find(const std::string &id, step expected);

    flow_settings m_settings;
    retry_permit m_isRetryPermitted;
    claim_coordinator m_claims;
    std::map<std::string, active_request> m_requests;
    std::set<std::pair<time_point, std::string>> m_wakes;
    std::set<std::string> m_endedIds;        // ids, so that a doubled event starts nothing
    std::deque<std::string> m_endedIdsByAge; // the same, oldest first
    std::size_t m_inFlight = 0;
    bool m_isDraining = false;
    bool m_isDrainReported = false;
    time_point m_drainDeadline = Never; // set when the last request of a drain is answered
    time_point m_now{};                 // of the event being handled
    std::vector<flow_action> m_actions; // of the event being handled
};

} // namespace zinniabarrow::delivery
