#include "jobs/urgency.h"

#include <algorithm>
#include <vector>

namespace zinniabarrow::jobs {

namespace {

// Estimated run time of the longest chain of dependent steps, ms: of all steps, or, when
// `occurrence` is given, of those that are not done in it.
std::int64_t criticalPathMs(const job_record &record, std::optional<int> occurrence)
{
    // By step: when it ends, counted from the start of the chain.
    std::vector<std::int64_t> finishMs(record.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < record.steps.size(); ++index) {
        const auto &step = record.steps[index];
        for (const int earlierStep : step.after)
            finishMs[index] =
                    std::max(finishMs[index], finishMs[static_cast<std::size_t>(earlierStep)]);
        if (!occurrence || !record.isStepDone(*occurrence, static_cast<int>(index)))
            finishMs[index] += step.estimateMs;
        longest = std::max(longest, finishMs[index]);
    }
    return longest;
}

bool isDone(const job_record &record, int occurrence)
{
    for (std::size_t step = 0; step < record.steps.size(); ++step) {
        if (!record.isStepDone(occurrence, static_cast<int>(step)))
            return false;
    }
    return true;
}

int firstUnfinishedOccurrence(const job_record &record)
{
    const auto count = static_cast<int>(record.tasks.size());
    int occurrence = 0;
    while (occurrence + 1 < count && isDone(record, occurrence))
        ++occurrence;
    return occurrence;
}

} // namespace

std::int64_t estimatedCriticalPathMs(const job_record &record)
{
    return criticalPathMs(record, std::nullopt);
}

std::int64_t slackMs(const job_record &record, std::int64_t wallMs)
{
    const int occurrence = firstUnfinishedOccurrence(record);
    const auto startMs = record.occurrences > 0
                                 ? record.firstOccurrenceMs + occurrence * record.intervalMs
                                 : record.acceptedAtMs;
    const auto criticalPath = static_cast<double>(estimatedCriticalPathMs(record));
    const auto objective = static_cast<std::int64_t>(record.policy.stretch * criticalPath)
                           + record.policy.targetLatencyMs;
    return startMs + objective - criticalPathMs(record, occurrence) - wallMs;
}

job_urgency urgencyOf(const job_record &record, std::int64_t wallMs)
{
    using deadline_status = job_urgency::deadline_state;
    const auto slack = slackMs(record, wallMs);
    if (slack < 0)
        return {record.policy.priority, deadline_status::Late, record.acceptedAtMs};
    return {record.policy.priority, deadline_status::OnTime, slack};
}

} // namespace zinniabarrow::jobs
