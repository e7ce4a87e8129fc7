#include "jobs/configuration_tracker.h"

#include <algorithm>

namespace zinniabarrow::jobs {

void configuration_tracker::recordAppliedVersion(std::int64_t version)
{
    m_appliedVersion = std::max(m_appliedVersion, version);
    m_newerVersions.erase(m_newerVersions.begin(), m_newerVersions.upper_bound(m_appliedVersion));
}

void configuration_tracker::recordOtherEntryVersion(std::int64_t version, time_point now)
{
    if (version > m_appliedVersion)
        m_newerVersions.emplace(version, now);
}

void configuration_tracker::recordAnswerStart(std::uint64_t bytes, time_point now)
{
    // If an earlier answer broke off, its changes are still unread: its start time stays.
    if (bytes > MaxEmptyAnswerBytes && !m_readingSince)
        m_readingSince = now;
}

void configuration_tracker::recordAnswerRead(time_point requestedAt)
{
    m_readingSince.reset();
    m_confirmedAt = requestedAt;
}

std::optional<time_point> configuration_tracker::outdatedSince() const
{
    if (m_newerVersions.empty())
        return m_readingSince;
    auto earliest = m_newerVersions.begin()->second;
    for (const auto &[version, learnedAt] : m_newerVersions)
        earliest = std::min(earliest, learnedAt);
    return m_readingSince ? std::min(earliest, *m_readingSince) : earliest;
}

configuration_freshness configuration_tracker::freshness(time_point now) const
{
    const auto outdatedFrom = outdatedSince();
    if (outdatedFrom && now - *outdatedFrom > MaxUnreadTime)
        return configuration_freshness::Outdated;
    return outdatedFrom || !isConfirmed(now) ? configuration_freshness::PossiblyOutdated
                                             : configuration_freshness::Current;
}

bool configuration_tracker::isConfirmed(time_point now) const
{
    return m_confirmedAt && now - *m_confirmedAt <= MaxUnconfirmedTime;
}

} // namespace zinniabarrow::jobs
