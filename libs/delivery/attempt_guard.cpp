#include "delivery/attempt_guard.h"

#include "base/hash.h"

namespace zinniabarrow::delivery {

namespace {

// A valid answer to any duplicate: it does not say whether the first copy was executed.
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
    // Addressed to an earlier process of this agent, which may have started the attempt. Its
    // records are lost, but the upstream may still execute the request.
    if (attempt.incarnation != m_incarnation)
        return OutcomeNotKnown;
    const auto id = stableHash(attempt.requestId);
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        if (auto refusal = checkRepeat(found->second, attempt))
            return refusal;
    } else if (m_records.size() >= m_settings.maxRememberedRequests) {
        // No more requests can be remembered. Removing a record would allow a duplicate of that
        // request to start.
        // The refusal says Unknown because it is not recorded: a duplicate of this attempt may
        // still start later.
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

// Checks an attempt of a request that has a record. Only a newer attempt may be admitted, and only
// after the end of the previous one.
std::optional<guard_refusal> attempt_guard::checkRepeat(request_record &record,
                                                        const incoming_attempt &attempt) const
{
    if (attempt.attempt <= record.attempt) {
        // The attempt was refused and will never start, so its duplicate may get the same answer.
        const bool isSameAttempt = attempt.attempt == record.attempt;
        return isSameAttempt && record.currentState == state::Refused
                               && record.executionState == executed::No
                       ? DeadlineRefusal
                       : OutcomeNotKnown;
    }
    if (record.currentState == state::Waiting || record.currentState == state::Running)
        return OutcomeNotKnown;
    if (record.executionState != executed::No && !attempt.idempotent)
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
    record->executionState = executed::Unknown;
    recordEvent(stableHash(requestId), *record, now);
    return std::nullopt;
}

void attempt_guard::recordEnd(const std::string &requestId, std::uint32_t attempt,
                              executed executionState, time_point now)
{
    auto *record = find(requestId, attempt);
    if (record == nullptr || record->currentState == state::Ended
        || record->currentState == state::Refused)
        return;
    if (record->currentState == state::Running)
        record->executionState = executionState; // as the upstream reported
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
        // The cancel arrived before its attempt. It is recorded so that the attempt does not start.
        // If no more requests can be remembered, the attempt will be refused because of that.
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
    const bool isNewest = found != m_records.end() && found->second.attempt == attempt;
    return isNewest ? &found->second : nullptr;
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
        const auto [eventAt, id] = m_eventsByAge.front();
        m_eventsByAge.pop_front();
        const auto found = m_records.find(id);
        if (found == m_records.end() || found->second.lastEventAt != eventAt)
            continue;
        if (found->second.currentState == state::Running
            || found->second.currentState == state::Waiting)
            recordEvent(id, found->second, now); // kept while it may still run
        else
            m_records.erase(found);
    }
}

} // namespace zinniabarrow::delivery
