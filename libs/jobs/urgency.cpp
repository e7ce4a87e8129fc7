#include "jobs/urgency.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace zinniabarrow::jobs {

namespace {

// Run time of the longest chain of dependent steps, ms: of all steps, or, when `occurrence` is
// given, of those that are not done in it. `stepMs` gives that of a step by its index.
template <typename StepMs>
std::int64_t longestChainMs(const job_record &record, std::optional<int> occurrence, StepMs stepMs)
{
    // By step: when it ends, counted from the start of the chain.
    std::vector<std::int64_t> finishMs(record.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < record.steps.size(); ++index) {
        for (const int earlierStep : record.steps[index].after)
            finishMs[index] =
                    std::max(finishMs[index], finishMs[static_cast<std::size_t>(earlierStep)]);
        if (!occurrence || !record.isStepDone(*occurrence, static_cast<int>(index)))
            finishMs[index] += stepMs(static_cast<int>(index));
        longest = std::max(longest, finishMs[index]);
    }
    return longest;
}

std::int64_t estimateOf(const job_record &record, int step)
{
    return record.steps[static_cast<std::size_t>(step)].estimateMs;
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

std::int64_t startMsOf(const job_record &record, int occurrence)
{
    return record.occurrences > 0 ? record.firstOccurrenceMs + occurrence * record.intervalMs
                                  : record.acceptedAtMs;
}

// Time from the start until which the job meets its objective, ms.
std::int64_t objectiveMs(const job_record &record, std::int64_t criticalPathMs)
{
    return static_cast<std::int64_t>(record.policy.stretch * static_cast<double>(criticalPathMs))
           + record.policy.targetLatencyMs;
}

// The work of a step as the objective counts it, ms. Best-effort runs take longer than their work
// where they share processors; the shortest of a step comes nearest to it. While none is done, the
// estimate is the limit, so that a shared worker doesn't look like a later objective.
std::int64_t workMs(const step_spec &step, const step_context &context, const run_times &times,
                    double share)
{
    if (!step.isBestEffort)
        return times.stepMs(context, share);
    if (context.siblingsMs.empty())
        return std::min(step.estimateMs, times.quantileMs(context, share));
    return *std::min_element(context.siblingsMs.begin(), context.siblingsMs.end());
}

int unfinishedTasks(const job_record &record, int occurrence, int step)
{
    const auto &tasks =
            record.tasks[static_cast<std::size_t>(occurrence)][static_cast<std::size_t>(step)];
    return static_cast<int>(
            std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return !task.done; }));
}

std::int64_t remainingPathMs(const job_record &record, int occurrence, const run_times &times,
                             double share)
{
    return longestChainMs(record, occurrence, [&](int step) {
        auto context = stepContextOf(record, occurrence, step);
        context.tasks = unfinishedTasks(record, occurrence, step);
        return times.stepMs(context, share);
    });
}

// Slack if all steps take as long as the given share of their kinds does not exceed.
std::int64_t slackMs(const job_record &record, std::int64_t wallMs, const run_times &times,
                     double share)
{
    const int occurrence = firstUnfinishedOccurrence(record);
    const auto work = longestChainMs(record, std::nullopt, [&](int step) {
        return workMs(record.steps[static_cast<std::size_t>(step)],
                      stepContextOf(record, occurrence, step), times, share);
    });
    return startMsOf(record, occurrence) + objectiveMs(record, work)
           - remainingPathMs(record, occurrence, times, share) - wallMs;
}

job_urgency urgencyBy(const job_record &record, std::int64_t slack, bool isLate)
{
    using deadline_status = job_urgency::deadline_state;
    if (isLate)
        return {record.policy.priority, deadline_status::Late, record.acceptedAtMs};
    return {record.policy.priority, deadline_status::OnTime, slack};
}

constexpr double Median = 0.5;
// Shares of the runs of a kind between which a step's run time is expected to be.
constexpr double QuickestShare = 0.1;
constexpr double SlowestShare = 0.9;

} // namespace

std::int64_t estimatedCriticalPathMs(const job_record &record)
{
    return longestChainMs(record, std::nullopt, [&](int step) { return estimateOf(record, step); });
}

std::int64_t remainingPathMs(const job_record &record, const run_times &times)
{
    return remainingPathMs(record, firstUnfinishedOccurrence(record), times, Median);
}

std::int64_t slackMs(const job_record &record, std::int64_t wallMs)
{
    const int occurrence = firstUnfinishedOccurrence(record);
    const auto remaining =
            longestChainMs(record, occurrence, [&](int step) { return estimateOf(record, step); });
    return startMsOf(record, occurrence) + objectiveMs(record, estimatedCriticalPathMs(record))
           - remaining - wallMs;
}

std::int64_t slackMs(const job_record &record, std::int64_t wallMs, const run_times &times)
{
    return slackMs(record, wallMs, times, Median);
}

job_urgency urgencyOf(const job_record &record, std::int64_t wallMs)
{
    const auto slack = slackMs(record, wallMs);
    return urgencyBy(record, slack, slack < 0);
}

job_urgency urgencyOf(const job_record &record, std::int64_t wallMs, const run_times &times)
{
    const auto slack = slackMs(record, wallMs, times, Median);
    const bool isLate = slack < 0 && slackMs(record, wallMs, times, QuickestShare) < 0
                        && slackMs(record, wallMs, times, SlowestShare) < 0;
    return urgencyBy(record, slack, isLate);
}

step_context stepContextOf(const job_record &record, int occurrence, int step)
{
    constexpr std::size_t MaxSiblings = 32; // more change the median little
    const auto &spec = record.steps[static_cast<std::size_t>(step)];
    step_context context{{record.policy.queue, spec.image}, spec.estimateMs, {}, spec.count};
    for (const auto &task :
         record.tasks[static_cast<std::size_t>(occurrence)][static_cast<std::size_t>(step)]) {
        if (task.runTimeMs > 0 && context.siblingsMs.size() < MaxSiblings)
            context.siblingsMs.push_back(task.runTimeMs);
    }
    return context;
}

} // namespace zinniabarrow::jobs
