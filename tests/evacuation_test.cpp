// Tests the evacuation of a zone: how entries and agents learn of it, and that nothing starts
// there.
#include <criterion/criterion.h>

#include "jobs/evacuations.h"
#include "jobs/messages.h"
#include "jobs/worker_liveness.h"
#include "jobs/worker_pool.h"
#include "platform/store_wire.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const time_point Now{std::chrono::hours(1)};

worker_report reportOf(const std::string &worker, const std::string &zone)
{
    worker_report report;
    report.worker = worker;
    report.epoch = 1;
    report.service = "tickets";
    report.zone = zone;
    report.isAccepting = true;
    report.capacity = {16'000, 64'000, 0};
    return report;
}

step_spec oneTask()
{
    step_spec step;
    step.size = {1000, 1000, 0};
    return step;
}

} // namespace

// Guards against tasks that start in a zone after operators were told that it is evacuated.
Test(evacuation, no_task_is_placed_there)
{
    worker_pool pool;
    pool.update(reportOf("a-1", "a"), Now);
    pool.update(reportOf("b-1", "b"), Now);
    section("during the evacuation all tasks go to other zones", [&] {
        pool.setEvacuatedZones({"a"});
        for (int task = 0; task < 10; ++task)
            check(pool.chooseWorker("tickets", oneTask(), {}, Now) == "b-1");
        pool.setEvacuatedZones({"a", "b"});
        check(!pool.chooseWorker("tickets", oneTask(), {}, Now));
        check(pool.describeUnfitWorkers("tickets", oneTask(), {}, Now).find("2 evacuated")
              != std::string::npos);
    });
    section("the reason is evacuation even if the zone's agents accept no runs", [&] {
        worker_pool otherPool;
        auto report = reportOf("a-1", "a");
        report.isAccepting = false;
        otherPool.update(report, Now);
        otherPool.setEvacuatedZones({"a"});
        check(otherPool.describeUnfitWorkers("tickets", oneTask(), {}, Now).find("1 evacuated")
              != std::string::npos);
    });
    section("after the evacuation tasks are placed there again", [&] {
        pool.setEvacuatedZones({"b"});
        check(pool.chooseWorker("tickets", oneTask(), {}, Now) == "a-1");
    });
}

Test(evacuation, rows_that_entries_read)
{
    evacuated_zones evacuated;
    evacuated.applyRows({{"a"}, {"b"}, {"a", true}});
    check(evacuated.zones() == std::set<std::string>{"b"});
    section("an update without rows of zones changes nothing", [&] {
        evacuated.applyRows({});
        check(evacuated.contains("b"));
    });
    section("a full read reveals rows that were deleted unnoticed", [&] {
        evacuated.applyRows({{"c"}});
        evacuated.finishFullRead();
        check(evacuated.zones() == std::set<std::string>{"c"});
        evacuated.applyRows({});
        evacuated.finishFullRead();
        check(evacuated.zones().empty());
    });
    section("other rows of operators evacuate no zone", [] {
        using platform_wire::evacuatedZone;
        check(evacuatedZone({"op", "", "evacuate/ee-north-c"}) == "ee-north-c");
        check(!evacuatedZone({"op", "", "evacuate/"}));
        check(!evacuatedZone({"op", "", "config"}));
        check(!evacuatedZone({"op", "", "wave/evacuate/1"}));
        check(!evacuatedZone({"status", "", "evacuate/a"}));
    });
}

// Guards against a task that starts in an evacuated zone by an order that was in transit for long,
// or whose owner doesn't know of the evacuation.
Test(evacuation, an_agent_starts_nothing_once_it_was_notified)
{
    worker_liveness liveness(Now);
    liveness.notePoll(true, Now);
    worker_status status{true, false, true, true};
    section("a start that is otherwise possible is refused, so that its owner places it elsewhere",
            [&] { check(readinessOf(status, liveness, Now) == start_readiness::Unavailable); });
    section("an agent that does not hold the lease asks for a later retry instead", [&] {
        status.hasLease = false;
        check(readinessOf(status, liveness, Now) == start_readiness::RetryLater);
    });
    section("the notice is active while entries repeat it", [] {
        evacuation_notice notice;
        check(!notice.isActive(Now));
        notice.refresh(Now);
        check(notice.isActive(Now + evacuation_notice::ValidFor - milliseconds(1)));
        check(!notice.isActive(Now + evacuation_notice::ValidFor));
    });
    section("the notice is an optional member of answers, for other releases", [] {
        report_answer answer;
        check(toText(answer).find("evacuated") == std::string::npos);
        check(!reportAnswerFrom(toText(answer)).zoneEvacuated);
        answer.zoneEvacuated = true;
        check(reportAnswerFrom(toText(answer)).zoneEvacuated);
    });
}
