#include "delivery/attempt_guard.h"

#include "base/hash.h"

namespace zinniabarrow::delivery {

namespace {

// Safe for every repeat: says nothing about whether the first copy ran.
constexpr guard_refusal OutcomeNotKnown{error_kind::OutcomeUnknown, executed::Unknown, false};
constexpr guard_refusal DeadlineRefusal{error_kind::DeadlinePassed, executed::No, true};

} // namespace

attempt_guard::attempt_guard(std::uint64_t incarnation, guard_settings settings)
    : m_incarnation(incarnation)
    , m_settings(settings)
{ }

std::optional<guard_refusal> attempt_guard::admitAttempt(const incoming_attempt &attempt,
                                                         time_point now)
{
    removeExpired(now);
    // Meant for an agent that has been replaced: that one may have started it, and its memory is
    // gone, while the upstream lives on.
    if (attempt.incarnation != m_incarnation)
        return OutcomeNotKnown;
    const auto id = stableHash(attempt.requestId);
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        if (auto refusal = checkRepeat(found->second, attempt))
            return refusal;
    } else if (m_records.size() >= m_settings.maxRememberedRequests) {
        // Full: forgetting one would let its doubled copy start, and a refusal that is not
        // remembered can't promise that a second copy of this one stays out.
        return guard_refusal{error_kind::Overloaded, executed::Unknown, false};
    }
    auto &record = m_records[id];
    record.attempt = attempt.attempt;
    record.idempotent = attempt.idempotent;
    record.deadline = attempt.deadline;
    record.currentState = attempt.deadline <= now ? state::Refused : state::Waiting;
    recordEvent(id, record, now);
    if (record.currentState == state::Refused)
        return DeadlineRefusal;
    return std::nullopt;
}

// A request that is known here: only a newer attempt after the end of the one before may pass.
std::optional<guard_refusal> attempt_guard::checkRepeat(request_record &record,
                                                        const incoming_attempt &attempt) const
{
    if (attempt.attempt <= record.attempt) {
        // Refused here and never to start: a copy may hear the same.
        const bool same = attempt.attempt == record.attempt;
        return same && record.currentState == state::Refused && record.ran == executed::No
                       ? DeadlineRefusal
                       : OutcomeNotKnown;
    }
    if (record.currentState == state::Waiting || record.currentState == state::Running)
        return OutcomeNotKnown;
    if (record.ran != executed::No && !attempt.idempotent)
        return OutcomeNotKnown;
    return std::nullopt;
}

std::optional<guard_refusal> attempt_guard::startAttempt(const std::string &requestId,
                                                         std::uint32_t attempt, time_point now)
{
    auto *record = find(requestId, attempt);
    if (record == nullptr || record->currentState == state::Running
        || record->currentState == state::Ended)
        return OutcomeNotKnown;
    if (record->currentState == state::Waiting && record->deadline <= now)
        record->currentState = state::Refused;
    if (record->currentState == state::Refused)
        return DeadlineRefusal;
    record->currentState = state::Running;
    record->ran = executed::Unknown;
    recordEvent(stableHash(requestId), *record, now);
    return std::nullopt;
}

void attempt_guard::recordEnd(const std::string &requestId, std::uint32_t attempt, executed ran,
                              time_point now)
{
    auto *record = find(requestId, attempt);
    if (record == nullptr || record->currentState == state::Ended
        || record->currentState == state::Refused)
        return;
    if (record->currentState == state::Running)
        record->ran = ran; // the upstream's own word
    record->currentState = record->currentState == state::Running ? state::Ended : state::Refused;
    recordEvent(stableHash(requestId), *record, now);
}

bool attempt_guard::cancelAttempt(const std::string &requestId, std::uint32_t attempt,
                                  time_point now)
{
    removeExpired(now);
    const auto id = stableHash(requestId);
    auto found = m_records.find(id);
    if (found == m_records.end() || found->second.attempt < attempt) {
        // The cancel overtook its forward: remembered, so that the forward does not start. When
        // memory is full the forward is refused for that reason anyway.
        if (found != m_records.end() && found->second.currentState == state::Running)
            return false;
        if (found == m_records.end() && m_records.size() >= m_settings.maxRememberedRequests)
            return false;
        auto &record = m_records[id];
        record.attempt = attempt;
        record.currentState = state::Refused;
        recordEvent(id, record, now);
        return true;
    }
    auto &record = found->second;
    if (record.attempt == attempt && record.currentState == state::Waiting)
        record.currentState = state::Refused;
    return record.attempt == attempt && record.currentState == state::Refused;
}

attempt_guard::request_record *attempt_guard::find(const std::string &requestId,
                                                   std::uint32_t attempt)
{
    const auto found = m_records.find(stableHash(requestId));
    const bool known = found != m_records.end() && found->second.attempt == attempt;
    return known ? &found->second : nullptr;
}

void attempt_guard::recordEvent(std::uint64_t id, request_record &record, time_point now)
{
    record.lastEventAt = now;
    m_eventsByAge.emplace_back(now, id);
}

void attempt_guard::removeExpired(time_point now)
{
    while (!m_eventsByAge.empty()
           && m_eventsByAge.front().first + m_settings.retentionTime <= now) {
        const auto [touchedAt, id] = m_eventsByAge.front();
        m_eventsByAge.pop_front();
        const auto found = m_records.find(id);
        if (found == m_records.end() || found->second.lastEventAt != touchedAt)
            continue;
        if (found->second.currentState == state::Running
            || found->second.currentState == state::Waiting)
            recordEvent(id, found->second, now); // never while it may still run
        else
            m_records.erase(found);
    }
}

} // namespace zinniabarrow::delivery
