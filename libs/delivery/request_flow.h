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
    std::size_t maxInFlight = 4096;       // requests; more are refused as Overloaded
    std::size_t maxEnded = 16'384;        // ids of ended requests that are remembered
    std::uint32_t maxAttempts = 3;        // forwards of one request
    milliseconds minRetryTime{20};        // time left below which no retry starts
    milliseconds maxRequestTime{60'000};  // later deadlines are cut to this
    milliseconds lateOutcomeTime{30'000}; // how long a late outcome may still settle a claim
    milliseconds drainRecordTime{5'000};  // how long a drain waits for the table
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
    request_flow(std::string entryId, flow_settings settings, retry_permit permit,
                 entry_alive_check alive);

    std::vector<flow_action> handle(const flow_event &event, time_point now);

    // The time by which a flow_tick is due; Never when nothing waits.
    time_point nextWake() const;

    std::size_t inFlight() const { return m_inFlight; } // requests without their whole answer
    std::size_t openClaims() const { return m_book.openRecords(); } // not settled for good
    std::size_t keptAnswerBytes() const { return m_book.keptBytes(); }
    bool draining() const { return m_draining; }

private:
    enum class step { Claiming, Choosing, Forwarded, Streaming, Answered };

    struct live_request
    {
        request_arrived arrived;
        step at = step::Claiming;
        bool claimed = false;              // the claim is ours: the book wants to know the end
        bool mayHaveRun = false;           // some attempt may have run
        std::uint32_t attempt = 0;         // the newest forward
        std::string agentId;               // of the newest forward
        std::vector<std::string> excluded; // agents that refused
        std::optional<refuse_request> lastRefusal;
        time_point wakeAt = Never; // deadline, or the end of waiting for a late outcome
    };

    void on(const request_arrived &event);
    void on(const upstream_chosen &event);
    void on(const none_available &event);
    void on(const answer_begun &event);
    void on(const attempt_ended &event);
    void on(const claims_committed &event);
    void on(const claims_read &event);
    void on(const flow_tick &event);
    void on(const flow_drain &event);

    void ended(live_request &request, const whole_answer &answer);
    void ended(live_request &request, const attempt_refused &refusal);
    void ended(live_request &request, const attempt_unreachable &outcome);
    void ended(live_request &request, const attempt_cut &cut);
    void ended(live_request &request, const attempt_late &outcome);
    void ended(live_request &request, const attempt_too_large &outcome);

    void settleStreamed(live_request &request, const attempt_outcome &outcome);
    void settleLate(live_request &request, const attempt_outcome &outcome);
    void claimSettled(const claim_settled &settled);
    void takeBookOutput();
    void choose(live_request &request);
    bool retry(live_request &request, error_kind kind);
    void pass(live_request &request, const whole_answer &answer);
    void refuse(live_request &request, error_kind kind, executed ran,
                milliseconds retryAfter = milliseconds(0));
    void refuseNew(const request_arrived &event, error_kind kind);
    void endClaim(live_request &request, executed ran);
    void deadlinePassed(live_request &request);
    void waitUntil(live_request &request, time_point when);
    void forget(std::string id); // by value: the id may belong to the request that goes
    void rememberEnded(const std::string &id);
    void wakeDue();
    void finishDrain();
    void count(flow_counter counter, std::optional<error_kind> kind = std::nullopt,
               std::uint64_t amount = 1);
    live_request *find(const std::string &id, step expected);

    flow_settings m_settings;
    retry_permit m_permit;
    claim_book m_book;
    std::map<std::string, live_request> m_requests;
    std::set<std::pair<time_point, std::string>> m_wakes;
    std::set<std::string> m_ended;        // ids, so that a doubled event starts nothing
    std::deque<std::string> m_endedByAge; // the same, oldest first
    std::size_t m_inFlight = 0;
    bool m_draining = false;
    bool m_drainReported = false;
    time_point m_drainRecordsBy = Never; // set when the last request of a drain is answered
    time_point m_now{};                  // of the event being handled
    std::vector<flow_action> m_actions;  // of the event being handled
};

} // namespace zinniabarrow::delivery
