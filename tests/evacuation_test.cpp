// A zone that operators empty: who knows of it, and what is started there.
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

// Tasks start in a zone that operators have emptied, seconds after they were told that it is.
Test(evacuation, no_task_is_placed_there)
{
    worker_pool pool;
    pool.update(reportOf("a-1", "a"), Now);
    pool.update(reportOf("b-1", "b"), Now);
    section("while it lasts, other zones take all", [&] {
        pool.setEvacuatedZones({"a"});
        for (int task = 0; task < 10; ++task)
            check(pool.chooseWorker("tickets", oneTask(), {}, Now) == "b-1");
        pool.setEvacuatedZones({"a", "b"});
        check(!pool.chooseWorker("tickets", oneTask(), {}, Now));
        check(pool.describeUnfitWorkers("tickets", oneTask(), {}, Now).find("2 evacuated")
              != std::string::npos);
    });
    section("that is the reason told, also once its agents accept nothing", [&] {
        worker_pool other;
        auto report = reportOf("a-1", "a");
        report.isAccepting = false;
        other.update(report, Now);
        other.setEvacuatedZones({"a"});
        check(other.describeUnfitWorkers("tickets", oneTask(), {}, Now).find("1 evacuated")
              != std::string::npos);
    });
    section("taken back, it is a zone like the others", [&] {
        pool.setEvacuatedZones({"b"});
        check(pool.chooseWorker("tickets", oneTask(), {}, Now) == "a-1");
    });
}

Test(evacuation, what_entries_read)
{
    evacuated_zones known;
    known.applyRows({{"a"}, {"b"}, {"a", true}});
    check(known.zones() == std::set<std::string>{"b"});
    section("changes of other rows change nothing", [&] {
        known.applyRows({});
        check(known.contains("b"));
    });
    section("a reading of all tells of what was removed unseen", [&] {
        known.applyRows({{"c"}});
        known.finishFullRead();
        check(known.zones() == std::set<std::string>{"c"});
        known.applyRows({});
        known.finishFullRead();
        check(known.zones().empty());
    });
    section("rows of operators that are about something else are none of them", [] {
        using platform_wire::evacuatedZone;
        check(evacuatedZone({"op", "", "evacuate/ee-north-c"}) == "ee-north-c");
        check(!evacuatedZone({"op", "", "evacuate/"}));
        check(!evacuatedZone({"op", "", "config"}));
        check(!evacuatedZone({"op", "", "wave/evacuate/1"}));
        check(!evacuatedZone({"status", "", "evacuate/a"}));
    });
}

// An order that was on its way for long, or whose owner does not know of the evacuation, starts a
// task there all the same.
Test(evacuation, an_agent_starts_nothing_once_it_was_told)
{
    worker_liveness liveness(Now);
    liveness.notePoll(true, Now);
    worker_status status{true, false, true, true};
    section("what may start else is refused, for its owner to place it elsewhere",
            [&] { check(readinessOf(status, liveness, Now) == start_readiness::Unavailable); });
    section("before all is known of the worker nothing is refused for good", [&] {
        status.hasLease = false;
        check(readinessOf(status, liveness, Now) == start_readiness::RetryLater);
    });
    section("it holds while entries say so", [] {
        evacuation_notice notice;
        check(!notice.isActive(Now));
        notice.refresh(Now);
        check(notice.isActive(Now + evacuation_notice::ValidFor - milliseconds(1)));
        check(!notice.isActive(Now + evacuation_notice::ValidFor));
    });
    section("they say so in their answers, which other releases read", [] {
        report_answer answer;
        check(toText(answer).find("evacuated") == std::string::npos);
        check(!reportAnswerFrom(toText(answer)).zoneEvacuated);
        answer.zoneEvacuated = true;
        check(reportAnswerFrom(toText(answer)).zoneEvacuated);
    });
}
