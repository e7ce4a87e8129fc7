// At-most-once execution on the agent's side: ensures that each attempt starts at most once, before
// its deadline, and never after it was cancelled. A further attempt of the same request is admitted
// only after the end of the previous one, and, unless the request is idempotent, only if that one
// was certainly not executed.
//
//   guard_settings    how many requests are remembered, and how long
//   incoming_attempt  an attempt as an entry forwarded it
//   attempt_guard     called when an attempt arrives, is about to start, ends or is cancelled
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/errors.h"
#include "base/time.h"

namespace zinniabarrow::delivery {

struct guard_settings
{
    std::size_t maxRememberedRequests = 200'000; // further ones are refused as Overloaded
    // How long a request is remembered after its last event; longer than any deadline.
    milliseconds retentionTime{90'000};
};

struct incoming_attempt
{
    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t incarnation = 0; // of the agent that the entry addressed
    bool idempotent = false;       // may run again after an attempt that ran
    time_point deadline = Never;   // time of arrival + time left, as the entry sent it
};

// Sent to the entry, which handles it as an attempt_refused.
struct guard_refusal
{
    error_kind kind = error_kind::OutcomeUnknown;
    executed executionState = executed::Unknown;
    bool hasEnded = false; // the attempt certainly does not run and won't start in this agent
};

// Remembers the newest attempt of each request. Called by the agent. Not thread-safe.
class attempt_guard
{
public:
    attempt_guard(std::uint64_t incarnation, guard_settings settings);

    // Called when an attempt arrives. If no refusal is returned, it may be queued. An attempt for
    // another incarnation is refused as OutcomeUnknown. So is a repeated attempt, unless the first
    // copy was refused and never starts.
    std::optional<guard_refusal> admitAttempt(const incoming_attempt &attempt, time_point now);
    // Called after any wait, right before the first byte is sent to the upstream. If no refusal is
    // returned, the attempt may start.
    std::optional<guard_refusal> startAttempt(const std::string &requestId, std::uint32_t attempt,
                                              time_point now);
    // Called when an attempt was refused before its start (`executionState` is then No) or has
    // stopped running.
    void recordEnd(const std::string &requestId, std::uint32_t attempt, executed executionState,
                   time_point now);
    // Called when the entry no longer waits for the attempt. Returns true if the attempt has not
    // started and never will; false if that is not certain, because it runs or has ended, a newer
    // attempt is known, or maxRememberedRequests is reached.
    bool cancelAttempt(const std::string &requestId, std::uint32_t attempt, time_point now);

    std::size_t rememberedRequests() const { return m_records.size(); }

private:
    // Waiting: admitted, but not started. Refused: not started, and never will be.
    enum class state { Waiting, Running, Ended, Refused };

    struct request_record
    {
        std::uint32_t attempt = 0;              // newest attempt
        state currentState = state::Waiting;    // of the newest attempt
        executed executionState = executed::No; // of the newest attempt that started; No: none
        bool idempotent = false;
        time_point deadline = Never;
        time_point lastEventAt{};
    };

    std::optional<guard_refusal> checkRepeat(request_record &record,
                                             const incoming_attempt &attempt) const;
    request_record *find(const std::string &requestId, std::uint32_t attempt);
    void recordEvent(std::uint64_t id, request_record &record, time_point now);
    void removeExpired(time_point now);

    std::uint64_t m_incarnation;
    guard_settings m_settings;
    std::unordered_map<std::uint64_t, request_record> m_records; // by stableHash of the request id
    std::deque<std::pair<time_point, std::uint64_t>> m_eventsByAge; // oldest first
};

} // namespace zinniabarrow::delivery
