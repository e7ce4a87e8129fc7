// The order in which an entry's job_controller gives workers to waiting jobs.
#pragma once

#include <cstdint>

#include "jobs/model.h"

namespace zinniabarrow::jobs {

// Sort key of a waiting job; the smallest is placed first. Ordered by priority; then by whether the
// job can still meet its objective. Jobs that can come first, the one with the least slack
// foremost, because waiting may cost each of them its objective. Jobs that are certainly late come
// last, the oldest foremost, so that they take no workers from jobs that can still be on time.
struct job_urgency
{
    enum class deadline_state { OnTime, Late };

    int priority = 0; // 0 is the most urgent
    deadline_state deadlineState = deadline_state::OnTime;
    std::int64_t sortKeyMs = 0; // OnTime: slack, ms; Late: Unix time of acceptance, ms

    friend auto operator<=>(const job_urgency &, const job_urgency &) = default;
};

// `wallMs` is the present Unix time, ms.
job_urgency urgencyOf(const job_record &record, std::int64_t wallMs);

// How long the job can wait and still meet its objective, by the estimates of its steps, ms.
// Negative: it can't meet it.
std::int64_t slackMs(const job_record &record, std::int64_t wallMs);

// Estimated run time of the longest chain of dependent steps, ms.
std::int64_t estimatedCriticalPathMs(const job_record &record);

} // namespace zinniabarrow::jobs
