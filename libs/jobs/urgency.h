// In which order waiting jobs get their workers.
#pragma once

#include <cstdint>

#include "jobs/model.h"

namespace zinniabarrow::jobs {

// How urgent a job is: compares less when it goes first. By priority; then jobs that can still meet
// their objective, the one with the least time to spare first, since each of them loses by waiting;
// last those that are late for certain, the oldest first: they take nothing from a job that can be
// in time.
struct job_urgency
{
    enum class deadline_state { OnTime, Late };

    int priority = 0; // 0 first
    deadline_state deadlineState = deadline_state::OnTime;
    std::int64_t sortKeyMs = 0; // ms: time to spare, or Unix time of acceptance

    friend auto operator<=>(const job_urgency &, const job_urgency &) = default;
};

job_urgency urgencyOf(const job_record &record, std::int64_t wallMs);

// How long the job may wait and still meet its objective by the estimates of its steps, ms; below
// zero: it can't.
std::int64_t slackMs(const job_record &record, std::int64_t wallMs);

// How long the job takes by the estimates of its steps, its longest chain, ms.
std::int64_t estimatedCriticalPathMs(const job_record &record);

} // namespace zinniabarrow::jobs
