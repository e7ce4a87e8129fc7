#include "jobs/urgency.h"

#include <algorithm>
#include <vector>

namespace zinniabarrow::jobs {

namespace {

// The longest chain of estimates, of all steps or of those that are not done in `occurrence`, ms.
std::int64_t longestChainMs(const job_record &record, std::optional<int> occurrence)
{
    std::vector<std::int64_t> until(record.steps.size(), 0); // the end of each step
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < record.steps.size(); ++index) {
        const auto &step = record.steps[index];
        for (const int earlier : step.after)
            until[index] = std::max(until[index], until[static_cast<std::size_t>(earlier)]);
        if (!occurrence || !record.stepDone(*occurrence, static_cast<int>(index)))
            until[index] += step.estimateMs;
        longest = std::max(longest, until[index]);
    }
    return longest;
}

bool isDone(const job_record &record, int occurrence)
{
    for (std::size_t step = 0; step < record.steps.size(); ++step) {
        if (!record.stepDone(occurrence, static_cast<int>(step)))
            return false;
    }
    return true;
}

int firstOpenOccurrence(const job_record &record)
{
    const auto count = static_cast<int>(record.tasks.size());
    int occurrence = 0;
    while (occurrence + 1 < count && isDone(record, occurrence))
        ++occurrence;
    return occurrence;
}

} // namespace

std::int64_t estimatedMs(const job_record &record)
{
    return longestChainMs(record, std::nullopt);
}

std::int64_t timeToSpareMs(const job_record &record, std::int64_t wallMs)
{
    const int occurrence = firstOpenOccurrence(record);
    const auto from = record.occurrences > 0 ? record.firstDueMs + occurrence * record.intervalMs
                                             : record.acceptedAtMs;
    const auto chain = static_cast<double>(estimatedMs(record));
    const auto objective = static_cast<std::int64_t>(record.policy.stretch * chain)
                           + record.policy.targetLatencyMs;
    return from + objective - longestChainMs(record, occurrence) - wallMs;
}

job_urgency urgencyOf(const job_record &record, std::int64_t wallMs)
{
    using standing = job_urgency::standing;
    const auto spare = timeToSpareMs(record, wallMs);
    if (spare < 0)
        return {record.policy.priority, standing::Late, record.acceptedAtMs};
    return {record.policy.priority, standing::InTime, spare};
}

} // namespace zinniabarrow::jobs
