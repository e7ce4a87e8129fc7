// The order in which an entry's job_controller gives workers to waiting jobs.
#pragma once

#include <cstdint>

#include "jobs/model.h"
#include "jobs/run_times.h"

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
// By learned run times. Late: it misses its objective whether its steps take as long as the
// quickest or as the slowest tenth of their kinds.
job_urgency urgencyOf(const job_record &record, std::int64_t wallMs, const run_times &times);

// How long the job can wait and still meet its objective, by the estimates of its steps, ms.
// Negative: it can't meet it.
std::int64_t slackMs(const job_record &record, std::int64_t wallMs);
// By the median of learned run times, in the objective as well, which counts the real work.
std::int64_t slackMs(const job_record &record, std::int64_t wallMs, const run_times &times);

// Estimated run time of the longest chain of dependent steps, ms.
std::int64_t estimatedCriticalPathMs(const job_record &record);
// How long the steps that are not done are expected to take, by the median of learned run times, in
// the first occurrence that isn't done, ms.
std::int64_t remainingPathMs(const job_record &record, const run_times &times);

// What the record has of a step: its estimate, and the run times of some tasks that are done.
step_context stepContextOf(const job_record &record, int occurrence, int step);

} // namespace zinniabarrow::jobs
