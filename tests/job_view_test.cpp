// Tests of job_view: the number of waiting jobs in a queue.
#include <criterion/criterion.h>

#include "app/job_view.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const time_point Start{seconds(1000)};

// A view that contains one job with two tasks.
class single_job_view
{
public:
    single_job_view()
    {
        job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].count = 2;
        m_record = newRecord(spec, {"queue", "service"}, 0);
        m_record.owner = {"entry", 1};
    }

    task_state &taskState(int index)
    {
        return m_record.tasks[0][0][static_cast<std::size_t>(index)];
    }
    void placeTask(int index, int run)
    {
        taskState(index).lastRun = run;
        taskState(index).placements = {{"worker", 1, run}};
    }
    void refuseTask(int index) { taskState(index).placements.clear(); }
    void markBegun() { m_record.hasStarted = true; }
    // Writes the job's row and lets the view read it.
    void applyRow(milliseconds atMs)
    {
        m_view.update("job", summaryFrom(toText(summaryOf(m_record))), ++m_version, Start + atMs);
    }
    std::size_t waitingCount() const { return m_view.countWaiting("queue"); }

private:
    job_view m_view;
    job_record m_record;
    std::int64_t m_version = 0;
};

} // namespace

// Guards against a waiting count that is too low: callers were told that hardly any job waits
// although none of theirs had started. An order that had been in the row for a while counted as a
// start, even if the worker had no capacity, was leaving or executed the order late. Only a
// worker's confirmation counts as a start.
Test(job_view, waiting_jobs)
{
    section("an accepted job is waiting", [] {
        single_job_view job;
        job.applyRow(milliseconds(0));
        check(job.waitingCount() == 1);
    });
    section("a job whose orders are refused and sent again is waiting, however long that lasts",
            [] {
                single_job_view job;
                for (int run = 1; run < 60; ++run) {
                    job.placeTask(0, run);
                    job.applyRow(milliseconds(run * 200));
                    check(job.waitingCount() == 1);
                    job.refuseTask(0);
                    job.applyRow(milliseconds(run * 200 + 100));
                    check(job.waitingCount() == 1);
                }
            });
    section("a job with an order is waiting until a worker has started a task", [] {
        single_job_view job;
        for (int atMs = 0; atMs < 9000; atMs += 1000) {
            job.placeTask(0, 1);
            job.applyRow(milliseconds(atMs));
            check(job.waitingCount() == 1);
        }
        job.markBegun();
        job.applyRow(milliseconds(9000));
        check(job.waitingCount() == 0);
    });
    section("a started job is not waiting, even if further orders are refused", [] {
        single_job_view job;
        job.placeTask(0, 1);
        job.markBegun();
        for (int run = 1; run < 20; ++run) {
            job.placeTask(1, run);
            job.applyRow(milliseconds(run * 200));
            check(job.waitingCount() == 0);
        }
    });
    section("a job with an ended task counts as started from then on", [] {
        single_job_view job;
        job.taskState(0).done = true;
        job.applyRow(milliseconds(0));
        check(job.waitingCount() == 0);
        job.taskState(0).done = false;
        job.applyRow(milliseconds(20));
        check(job.waitingCount() == 0);
    });
}
