// The order in which waiting jobs are given workers when not all of them can be on time.
#include <criterion/criterion.h>

#include "jobs/urgency.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Accepted = 1'000'000; // Unix time, ms

job_spec chain(std::vector<std::int64_t> estimates)
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

job_record accepted(const job_spec &spec, std::int64_t atMs = Accepted, int priority = 2)
{
    queue_policy policy;
    policy.priority = priority;
    policy.stretch = 2;
    policy.targetLatencyMs = 1000;
    return newRecord(spec, policy, atMs);
}

void finish(job_record &record, int step)
{
    for (auto &task : record.tasks[0][static_cast<std::size_t>(step)])
        task.done = true;
}

} // namespace

Test(urgency, slack)
{
    auto record = accepted(chain({2000, 1000})); // objective: 7 s
    section("remaining steps count", [&] {
        check(slackMs(record, Accepted) == 4000);
        check(slackMs(record, Accepted + 4001) == -1);
    });
    section("steps that are done do not", [&] {
        finish(record, 0);
        check(slackMs(record, Accepted + 4001) == 1999);
    });
    section("parallel steps take the time of the longest", [&] {
        auto spec = chain({2000, 1000});
        spec.steps[1].after.clear();
        check(slackMs(accepted(spec), Accepted) == 3000);
    });
    section("an occurrence counts from its due time", [&] {
        auto spec = chain({2000});
        spec.occurrences = 2;
        spec.firstOccurrenceMs = Accepted + 10'000;
        spec.intervalMs = 5000;
        check(slackMs(accepted(spec), Accepted) == 13'000);
    });
}

// Guards against a burst of large jobs that makes all jobs late: in order of age, jobs that have
// already missed their objective by waiting hold back the later ones, until every job is late by a
// little.
Test(urgency, burst_of_large_jobs)
{
    const auto now = Accepted + 10'000;
    const auto late = urgencyOf(accepted(chain({2000})), now);
    const auto oldest = urgencyOf(accepted(chain({2000}), Accepted - 5000), now);
    const auto tight = urgencyOf(accepted(chain({1000}), now - 1500), now);
    const auto easy = urgencyOf(accepted(chain({4000}), now - 1600), now);
    section("the job with the least slack goes first", [&] { check(tight < easy); });
    section("jobs that are certainly late wait for those that are not", [&] {
        check(easy < late);
        check(oldest < late);
    });
    section("priority decides first",
            [&] { check(urgencyOf(accepted(chain({2000}), Accepted, 1), now) < tight); });
}
