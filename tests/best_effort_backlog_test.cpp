// Tests which waiting jobs get a run while best-effort runs use all processors of a service.
#include <algorithm>

#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

// One worker whose processors best-effort runs of others use up, and one job that waits for it.
class backlog_behind_best_effort_runs
{
public:
    explicit backlog_behind_best_effort_runs(std::int64_t reservedMillicores)
    {
        m_report.worker = "w1";
        m_report.epoch = 1;
        m_report.service = "tickets";
        m_report.isAccepting = true;
        m_report.capacity = {16'000, 64'000, 0};
        m_report.used.millicores = reservedMillicores;
        m_report.bestEffortMillicores = 16'000;
        m_workers.update(m_report, m_now);
        job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].count = 30;
        spec.steps[0].size = {2000, 1000, 0};
        spec.steps[0].estimateMs = 2000;
        spec.steps[0].isBestEffort = true;
        queue_policy policy;
        policy.queue = "batch";
        policy.service = "tickets";
        m_controller.submit("j", spec, policy, 1000, m_now, 1);
    }

    // Lets time pass in steps of the plan interval and returns the number of tasks placed by then.
    int placedAfter(milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += milliseconds(100);
            m_workers.update(m_report, m_now);
            m_controller.plan(m_now, 1000);
            m_controller.takeActions();
        }
        const auto &tasks = m_controller.record("j")->tasks[0][0];
        return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const auto &task) {
            return !task.placements.empty();
        }));
    }

private:
    worker_report m_report;
    worker_pool m_workers;
    job_controller m_controller{{"entry-a", 1}, m_workers};
    time_point m_now{std::chrono::hours(1)};
};

} // namespace

// Guards against jobs that callers report as lost: a late job waited for 34 s without a run while
// most of the service's processors were unreserved.
Test(best_effort_backlog, a_job_without_runs_while_best_effort_runs_use_all_processors)
{
    section("on a service that is mostly free, it gets one run before callers report it as lost",
            [] {
                backlog_behind_best_effort_runs backlog(0);
                cr_assert_eq(backlog.placedAfter(milliseconds(2000)), 0);
                cr_assert_eq(backlog.placedAfter(milliseconds(900)), 1);
                cr_assert_eq(backlog.placedAfter(milliseconds(5000)), 1);
            });
    section("on a service that is mostly used, it waits", [] {
        backlog_behind_best_effort_runs backlog(12'000);
        cr_assert_eq(backlog.placedAfter(milliseconds(10'000)), 0);
    });
}
