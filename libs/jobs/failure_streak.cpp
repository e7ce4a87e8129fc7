#include "jobs/failure_streak.h"

namespace zinniabarrow::jobs {

namespace {

// Longer than a quarantine, see pool_settings::failureMemory: a faulty worker that fails the first
// run after it is quarantined again.
constexpr milliseconds Memory{12'000};

} // namespace

bool failure_streak::isForgotten(time_point now) const
{
    return now - m_lastAt > Memory;
}

void failure_streak::recordFailure(const std::string &job, time_point now)
{
    if (isForgotten(now))
        recordSuccess();
    if (m_failures++ == 0)
        m_firstJob = job;
    m_hasSeveralJobs = m_hasSeveralJobs || job != m_firstJob;
    m_lastAt = now;
}

void failure_streak::recordSuccess()
{
    m_failures = 0;
    m_hasSeveralJobs = false;
}

int failure_streak::length(time_point now) const
{
    return m_hasSeveralJobs && !isForgotten(now) ? m_failures : 0;
}

} // namespace zinniabarrow::jobs
