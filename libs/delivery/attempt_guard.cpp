#include "delivery/attempt_guard.h"

#include "base/hash.h"

namespace zinniabarrow::delivery {

namespace {

// Safe for every repeat: says nothing about whether the first copy ran.
constexpr guard_refusal NotCertain{error_kind::OutcomeUnknown, executed::Unknown, false};
constexpr guard_refusal TooLate{error_kind::DeadlinePassed, executed::No, true};

} // namespace

attempt_guard::attempt_guard(std::uint64_t incarnation, guard_settings settings)
    : m_incarnation(incarnation)
    , m_settings(settings)
{ }

std::optional<guard_refusal> attempt_guard::arrived(const incoming_attempt &attempt, time_point now)
{
    forgetOld(now);
    // Meant for an agent that has been replaced: that one may have started it, and its memory is
    // gone, while the upstream lives on.
    if (attempt.incarnation != m_incarnation)
        return NotCertain;
    const auto id = stableHash(attempt.requestId);
    const auto found = m_seen.find(id);
    if (found != m_seen.end()) {
        if (auto refusal = repeated(found->second, attempt))
            return refusal;
    } else if (m_seen.size() >= m_settings.maxRemembered) {
        // Full: forgetting one would let its doubled copy start, and a refusal that is not
        // remembered can't promise that a second copy of this one stays out.
        return guard_refusal{error_kind::Overloaded, executed::Unknown, false};
    }
    auto &seen = m_seen[id];
    seen.attempt = attempt.attempt;
    seen.idempotent = attempt.idempotent;
    seen.deadline = attempt.deadline;
    seen.at = attempt.deadline <= now ? state::Refused : state::Waiting;
    touch(id, seen, now);
    if (seen.at == state::Refused)
        return TooLate;
    return std::nullopt;
}

// A request that is known here: only a newer attempt after the end of the one before may pass.
std::optional<guard_refusal> attempt_guard::repeated(seen_request &seen,
                                                     const incoming_attempt &attempt) const
{
    if (attempt.attempt <= seen.attempt) {
        // Refused here and never to start: a copy may hear the same.
        const bool same = attempt.attempt == seen.attempt;
        return same && seen.at == state::Refused && seen.ran == executed::No ? TooLate : NotCertain;
    }
    if (seen.at == state::Waiting || seen.at == state::Running)
        return NotCertain;
    if (seen.ran != executed::No && !attempt.idempotent)
        return NotCertain;
    return std::nullopt;
}

std::optional<guard_refusal> attempt_guard::start(const std::string &requestId,
                                                  std::uint32_t attempt, time_point now)
{
    auto *seen = find(requestId, attempt);
    if (seen == nullptr || seen->at == state::Running || seen->at == state::Ended)
        return NotCertain;
    if (seen->at == state::Waiting && seen->deadline <= now)
        seen->at = state::Refused;
    if (seen->at == state::Refused)
        return TooLate;
    seen->at = state::Running;
    seen->ran = executed::Unknown;
    touch(stableHash(requestId), *seen, now);
    return std::nullopt;
}

void attempt_guard::ended(const std::string &requestId, std::uint32_t attempt, executed ran,
                          time_point now)
{
    auto *seen = find(requestId, attempt);
    if (seen == nullptr || seen->at == state::Ended || seen->at == state::Refused)
        return;
    if (seen->at == state::Running)
        seen->ran = ran; // the upstream's own word
    seen->at = seen->at == state::Running ? state::Ended : state::Refused;
    touch(stableHash(requestId), *seen, now);
}

bool attempt_guard::cancelled(const std::string &requestId, std::uint32_t attempt, time_point now)
{
    forgetOld(now);
    const auto id = stableHash(requestId);
    auto found = m_seen.find(id);
    if (found == m_seen.end() || found->second.attempt < attempt) {
        // The cancel overtook its forward: remembered, so that the forward does not start. When
        // memory is full the forward is refused for that reason anyway.
        if (found != m_seen.end() && found->second.at == state::Running)
            return false;
        if (found == m_seen.end() && m_seen.size() >= m_settings.maxRemembered)
            return false;
        auto &seen = m_seen[id];
        seen.attempt = attempt;
        seen.at = state::Refused;
        touch(id, seen, now);
        return true;
    }
    auto &seen = found->second;
    if (seen.attempt == attempt && seen.at == state::Waiting)
        seen.at = state::Refused;
    return seen.attempt == attempt && seen.at == state::Refused;
}

attempt_guard::seen_request *attempt_guard::find(const std::string &requestId,
                                                 std::uint32_t attempt)
{
    const auto found = m_seen.find(stableHash(requestId));
    const bool known = found != m_seen.end() && found->second.attempt == attempt;
    return known ? &found->second : nullptr;
}

void attempt_guard::touch(std::uint64_t id, seen_request &seen, time_point now)
{
    seen.touchedAt = now;
    m_touches.emplace_back(now, id);
}

void attempt_guard::forgetOld(time_point now)
{
    while (!m_touches.empty() && m_touches.front().first + m_settings.rememberTime <= now) {
        const auto [touchedAt, id] = m_touches.front();
        m_touches.pop_front();
        const auto found = m_seen.find(id);
        if (found == m_seen.end() || found->second.touchedAt != touchedAt)
            continue;
        if (found->second.at == state::Running || found->second.at == state::Waiting)
            touch(id, found->second, now); // never while it may still run
        else
            m_seen.erase(found);
    }
}

} // namespace zinniabarrow::delivery
