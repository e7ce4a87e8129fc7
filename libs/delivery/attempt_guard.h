// At most once on the agent's side: each attempt starts once, in time, and not after its cancel.
//
//   guard_settings    bounds
//   incoming_attempt  a forward as it arrived
//   attempt_guard     asked on arrival, again right before the start, and told of the end
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
    std::size_t maxRememberedRequests = 200'000; // requests
    milliseconds retentionTime{90'000}; // after the last event of a request; above any deadline
};

struct incoming_attempt
{
    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t incarnation = 0; // of the agent that the entry meant
    bool idempotent = false;       // may run again after an attempt that ran
    time_point deadline = Never;   // arrival plus the time that remained
};

// Becomes the attempt_refused of the entry.
struct guard_refusal
{
    error_kind kind = error_kind::OutcomeUnknown;
    executed ran = executed::Unknown;
    bool hasEnded = false; // nothing of this attempt is running here
};

// One thread at a time.
class attempt_guard
{
public:
    attempt_guard(std::uint64_t incarnation, guard_settings settings);

    // May this forward be taken in (queued)? Nothing: yes.
    std::optional<guard_refusal> admitAttempt(const incoming_attempt &attempt, time_point now);
    // May it start now? Asked after any wait, right before the first byte goes to the upstream.
    std::optional<guard_refusal> startAttempt(const std::string &requestId, std::uint32_t attempt,
                                              time_point now);
    // It is over: refused before its start (`ran` No) or not running any more.
    void recordEnd(const std::string &requestId, std::uint32_t attempt, executed ran,
                   time_point now);
    // Nobody waits for it any more. True: it has not started and never will.
    bool cancelAttempt(const std::string &requestId, std::uint32_t attempt, time_point now);

    std::size_t rememberedRequests() const { return m_records.size(); }

private:
    enum class state { Waiting, Running, Ended, Refused };

    struct request_record
    {
        std::uint32_t attempt = 0;           // the newest
        state currentState = state::Waiting; // of the newest
        executed ran = executed::No;         // what all attempts so far have done
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
