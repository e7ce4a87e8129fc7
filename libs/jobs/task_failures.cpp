#include "jobs/task_failures.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

// Covers a run that fails soon after its start, the pause after it and the wait for capacity.
constexpr milliseconds Memory{60'000};

// Of tasks that fail at times wherever they run, a few fail twice in a row: there is no pause after
// the first failure of a task's own. Callers count an outage of a long-running job from 3 s on, so
// no pause is nearly as long.
milliseconds pauseAfter(int ownFailures)
{
    constexpr milliseconds FirstPause{250};
    constexpr milliseconds LongestPause{1500};
    constexpr int MaxDoublings = 3; // the longest pause is reached
    if (ownFailures < 2)
        return milliseconds(0);
    return std::min(LongestPause, FirstPause * (1 << std::min(ownFailures - 2, MaxDoublings)));
}

} // namespace

bool task_failures::recordFailure(const task_id &task, const std::string &worker, time_point now)
{
    const failing_task first{worker, 0, now, now};
    auto &failing = m_tasks.try_emplace(task, first).first->second;
    if (now > failing.forgottenAt)
        failing = first;
    failing.forgottenAt = now + Memory;
    if (failing.ownFailures == 0 && failing.firstWorker == worker)
        return false;
    failing.pauseEnd = now + pauseAfter(++failing.ownFailures);
    return true;
}

bool task_failures::isPausing(const task_id &task, time_point now) const
{
    const auto found = m_tasks.find(task);
    return found != m_tasks.end() && now < found->second.pauseEnd;
}

} // namespace zinniabarrow::jobs
