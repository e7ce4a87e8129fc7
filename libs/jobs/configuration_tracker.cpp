#include "jobs/configuration_tracker.h"

#include <algorithm>

namespace zinniabarrow::jobs {

void configuration_watch::taken(std::int64_t version)
{
    m_version = std::max(m_version, version);
    m_newer.erase(m_newer.begin(), m_newer.upper_bound(m_version));
}

void configuration_watch::heardOf(std::int64_t version, time_point now)
{
    if (version > m_version)
        m_newer.emplace(version, now);
}

void configuration_watch::answerBegun(std::uint64_t bytes, time_point now)
{
    // Also when an earlier answer broke off: the changes that it carried are still unread.
    if (bytes > EmptyAnswerBytes && !m_readingSince)
        m_readingSince = now;
}

void configuration_watch::answerRead(time_point askedAt)
{
    m_readingSince.reset();
    m_confirmedAt = askedAt;
}

std::optional<time_point> configuration_watch::behindSince() const
{
    if (m_newer.empty())
        return m_readingSince;
    auto earliest = m_newer.begin()->second;
    for (const auto &[version, heardAt] : m_newer)
        earliest = std::min(earliest, heardAt);
    return m_readingSince ? std::min(earliest, *m_readingSince) : earliest;
}

configuration_standing configuration_watch::standing(time_point now) const
{
    const auto behind = behindSince();
    if (behind && now - *behind > UnreadAtMost)
        return configuration_standing::Outdated;
    return behind || !isConfirmed(now) ? configuration_standing::Doubtful
                                       : configuration_standing::Current;
}

bool configuration_watch::isConfirmed(time_point now) const
{
    return m_confirmedAt && now - *m_confirmedAt <= UnconfirmedAtMost;
}

} // namespace zinniabarrow::jobs
