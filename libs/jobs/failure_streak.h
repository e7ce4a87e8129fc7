// Counts the runs that failed in a row on one worker, whichever entries own them. An agent has one;
// its reports have the count, so that each entry need not lose runs of its own to a faulty worker.
// Order of calls: recordFailure() and recordSuccess() as runs end, length() for a report.
#pragma once

#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

class failure_streak
{
public:
    // A run of the job failed soon after its start.
    void recordFailure(const std::string &job, time_point now);
    // A run was done, or was at work for a while.
    void recordSuccess();
    // Failures in a row up to now; 0 unless they are of two jobs or more: one job alone may have
    // tasks that fail on every worker.
    int length(time_point now) const;

private:
    bool isForgotten(time_point now) const;

    int m_failures = 0;
    std::string m_firstJob;        // of the first failure in the row
    bool m_hasSeveralJobs = false; // another job has failed in the row, too
    time_point m_lastAt{};
};

} // namespace zinniabarrow::jobs
