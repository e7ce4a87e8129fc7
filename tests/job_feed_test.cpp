// Tests what an entry reads of the jobs that others own: how much it is, and how its text is read.
#include <map>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "jobs/job_controller.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr int TaskCount = 120;

worker_report largeWorker()
{
    worker_report report;
    report.worker = "w1";
    report.epoch = 1;
    report.service = "tickets";
    report.isAccepting = true;
    report.capacity = {1'000'000, 1'000'000, 0};
    return report;
}

job_spec wideJob()
{
    job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].count = TaskCount;
    spec.steps[0].size = {500, 100, 0};
    spec.steps[0].estimateMs = 600;
    return spec;
}

struct feed_bytes
{
    std::size_t records = 0;
    std::size_t summaries = 0;
    int summaryWrites = 0;
};

// Bytes that the owner of one wide job writes until the job is done. Its tasks end one by one.
feed_bytes bytesWrittenForWideJob()
{
    worker_pool workers;
    job_controller controller({"entry-a", 1}, workers);
    time_point now{std::chrono::hours(1)};
    workers.update(largeWorker(), now);
    queue_policy policy;
    policy.queue = "holds";
    policy.service = "tickets";
    controller.submit("j", wideJob(), policy, 1000, now, 1);
    feed_bytes bytes;
    std::int64_t version = 100;
    std::vector<run_order> running;
    while (controller.storedState("j") != job_state::Completed) {
        now += milliseconds(10);
        controller.plan(now, 1000);
        for (auto &action : controller.takeActions()) {
            if (const auto *write = std::get_if<write_row>(&action)) {
                bytes.records += write->content.size();
                bytes.summaries += write->summary ? write->summary->size() : 0;
                bytes.summaryWrites += write->summary ? 1 : 0;
                controller.rowWritten("j", ++version);
            } else if (const auto *order = std::get_if<send_order>(&action)) {
                running.push_back(order->order);
                controller.orderAnswered(
                        "w1", {order->order.task, order->order.run, order_outcome::Accepted}, now,
                        0);
            }
        }
        if (running.empty())
            continue;
        controller.runStarted({running.back().task, running.back().run}, now);
        controller.runEnded("w1", {1, running.back().task, running.back().run, end_kind::Done, ""},
                            now, 50);
        running.pop_back();
    }
    return bytes;
}

} // namespace

// Guards against an entry whose link and processor are taken up by other entries' jobs: each change
// of each task reached every entry, with the placements of all tasks of the job.
Test(job_feed, wide_jobs_of_other_entries)
{
    const auto bytes = bytesWrittenForWideJob();
    section("the record is written for every end of a task",
            [&] { cr_assert_geq(bytes.records, std::size_t{TaskCount} * TaskCount); });
    section("other entries read one short row for each state that callers can tell apart", [&] {
        cr_assert_leq(bytes.summaryWrites, 4);
        cr_assert_leq(bytes.summaries, 4U * 128U);
    });
}

Test(job_feed, summaries_as_text)
{
    section("a summary is read as it was written", [] {
        const job_summary summary{{"entry-a", 7}, job_state::Running, "holds", true, true};
        cr_assert(summaryFrom(toText(summary)) == summary);
    });
    section("other texts are refused", [] {
        for (const auto *text :
             {"", "[]", R"({"v":2,"o":"e","i":1,"s":"queued","q":"a"})",
              R"({"v":1,"o":"e","i":1,"s":"asleep","q":"a"})", R"({"v":1,"i":1,"s":"queued"})",
              R"({"v":1,"o":"e","i":"1","s":"queued","q":"a"})"}) {
            cr_assert_throw(summaryFrom(text), error);
        }
    });
}
