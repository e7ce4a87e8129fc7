// Tests the order in which waiting jobs are given workers when not all of them can be on time.
#include <criterion/criterion.h>

#include "jobs/urgency.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t AcceptedMs = 1'000'000; // Unix time, ms

job_spec chainOfSteps(std::vector<std::int64_t> estimates)
{
    job_spec spec;
    for (std::size_t index = 0; index < estimates.size(); ++index) {
        step_spec step;
        step.estimateMs = estimates[index];
        if (index > 0)
            step.after = {static_cast<int>(index) - 1};
        spec.steps.push_back(step);
    }
    return spec;
}

job_record acceptedRecord(const job_spec &spec, std::int64_t atMs = AcceptedMs, int priority = 2)
{
    queue_policy policy;
    policy.priority = priority;
    policy.stretch = 2;
    policy.targetLatencyMs = 1000;
    return newRecord(spec, policy, atMs);
}

void finishStep(job_record &record, int step)
{
    for (auto &task : record.tasks[0][static_cast<std::size_t>(step)])
        task.done = true;
}

} // namespace

Test(urgency, slack)
{
    auto record = acceptedRecord(chainOfSteps({2000, 1000})); // objective: 7 s
    section("the estimates of remaining steps reduce the slack", [&] {
        check(slackMs(record, AcceptedMs) == 4000);
        check(slackMs(record, AcceptedMs + 4001) == -1);
    });
    section("those of steps that are done do not", [&] {
        finishStep(record, 0);
        check(slackMs(record, AcceptedMs + 4001) == 1999);
    });
    section("parallel steps take the time of the longest", [&] {
        auto spec = chainOfSteps({2000, 1000});
        spec.steps[1].after.clear();
        check(slackMs(acceptedRecord(spec), AcceptedMs) == 3000);
    });
    section("an occurrence counts from its due time", [&] {
        auto spec = chainOfSteps({2000});
        spec.occurrences = 2;
        spec.firstOccurrenceMs = AcceptedMs + 10'000;
        spec.intervalMs = 5000;
        check(slackMs(acceptedRecord(spec), AcceptedMs) == 13'000);
    });
}

// Guards against a burst of large jobs that makes all jobs late: if the oldest job went first, jobs
// that have already missed their objective by waiting would delay the later ones until every job is
// a little late.
Test(urgency, burst_of_large_jobs)
{
    const auto now = AcceptedMs + 10'000;
    const auto late = urgencyOf(acceptedRecord(chainOfSteps({2000})), now);
    const auto oldest = urgencyOf(acceptedRecord(chainOfSteps({2000}), AcceptedMs - 5000), now);
    const auto tight = urgencyOf(acceptedRecord(chainOfSteps({1000}), now - 1500), now);
    const auto easy = urgencyOf(acceptedRecord(chainOfSteps({4000}), now - 1600), now);
    section("the job with the least slack goes first", [&] { check(tight < easy); });
    section("jobs that are certainly late wait for those that are not", [&] {
        check(easy < late);
        check(oldest < late);
    });
    section("priority decides first", [&] {
        check(urgencyOf(acceptedRecord(chainOfSteps({2000}), AcceptedMs, 1), now) < tight);
    });
}
