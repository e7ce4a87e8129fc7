// What an entry knows of all jobs: how many of a queue wait.
#include <criterion/criterion.h>

#include "app/job_view.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const time_point Start{seconds(1000)};

class one_job
{
public:
    one_job()
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
    // Its row is read.
    void applyRow(milliseconds atMs)
    {
        m_view.applyRow("job", toText(m_record), ++m_version, Start + atMs);
    }
    std::size_t waitingCount() const { return m_view.countWaiting("queue"); }

private:
    job_view m_view;
    job_record m_record;
    std::int64_t m_version = 0;
};

} // namespace

// Callers are told that hardly any job waits while none of theirs has begun. Workers had no room,
// were leaving, or carried orders out late: an order that was given counted as a start, once it had
// stood in the row for a while. A worker's own word counts now.
Test(job_view, jobs_that_wait)
{
    section("one that was accepted waits", [] {
        one_job job;
        job.applyRow(milliseconds(0));
        check(job.waitingCount() == 1);
    });
    section("so does one whose orders are refused and given again, for however long", [] {
        one_job job;
        for (int run = 1; run < 60; ++run) {
            job.placeTask(0, run);
            job.applyRow(milliseconds(run * 200));
            check(job.waitingCount() == 1);
            job.refuseTask(0);
            job.applyRow(milliseconds(run * 200 + 100));
            check(job.waitingCount() == 1);
        }
    });
    section("so does one whose order stands, until a worker has begun it", [] {
        one_job job;
        for (int atMs = 0; atMs < 9000; atMs += 1000) {
            job.placeTask(0, 1);
            job.applyRow(milliseconds(atMs));
            check(job.waitingCount() == 1);
        }
        job.markBegun();
        job.applyRow(milliseconds(9000));
        check(job.waitingCount() == 0);
    });
    section("one that has begun waits no more beside orders that are refused", [] {
        one_job job;
        job.placeTask(0, 1);
        job.markBegun();
        for (int run = 1; run < 20; ++run) {
            job.placeTask(1, run);
            job.applyRow(milliseconds(run * 200));
            check(job.waitingCount() == 0);
        }
    });
    section("a task that has ended has started, and it stays so", [] {
        one_job job;
        job.taskState(0).done = true;
        job.applyRow(milliseconds(0));
        check(job.waitingCount() == 0);
        job.taskState(0).done = false;
        job.applyRow(milliseconds(20));
        check(job.waitingCount() == 0);
    });
}
