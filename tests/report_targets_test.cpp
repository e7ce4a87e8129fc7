// Tests of report_targets: which entries an agent may send a report to, and when.
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "app/report_targets.h"
#include "jobs/report_interval.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Now{seconds(1000)};

report_targets twoEntries()
{
    report_targets targets;
    targets.setAddress("entry-b", "b:1");
    targets.setAddress("entry-a", "a:1");
    return targets;
}

} // namespace

// Guards against reports that pile up at an entry that is slow to answer, and against changes that
// are never reported because they came while a report was in flight.
Test(report_targets, one_report_at_a_time)
{
    auto targets = twoEntries();
    check(targets.tryBeginReport("entry-a", Now));
    section("a change during a report in flight needs another report", [&] {
        check(!targets.needsAnotherReport("entry-a"));
        check(!targets.tryBeginReport("entry-a", Now));
        check(targets.endReport("entry-a"));
        check(targets.needsAnotherReport("entry-a"));
    });
    section("the next report covers the change", [&] {
        check(targets.tryBeginReport("entry-a", Now));
        check(!targets.needsAnotherReport("entry-a"));
    });
    section("reports to other entries are independent of it",
            [&] { check(targets.tryBeginReport("entry-b", Now)); });
    section("no report goes to a removed entry", [&] {
        targets.removeEntry("entry-a");
        check(!targets.endReport("entry-a"));
        check(!targets.tryBeginReport("entry-a", Now));
        check(!targets.needsAnotherReport("entry-a"));
    });
}

Test(report_targets, entry_addresses)
{
    auto targets = twoEntries();
    check((targets.names() == std::vector<std::string>{"entry-a", "entry-b"}));
    check((targets.addresses() == std::vector<std::string>{"a:1", "b:1"}));
    section("a restarted entry gets reports at its new address", [&] {
        targets.setAddress("entry-a", "a:2");
        check(targets.addressOf("entry-a") == "a:2");
    });
    section("a report in flight still counts after the address has changed", [&] {
        check(targets.tryBeginReport("entry-a", Now));
        targets.setAddress("entry-a", "a:3");
        check(!targets.tryBeginReport("entry-a", Now));
    });
}

// Guards against an agent that exits before all entries know of a new epoch: an entry would go on
// waiting for the end of the previous one.
Test(report_targets, unacknowledged_epochs)
{
    section("without entries no epoch is unacknowledged",
            [] { check(!report_targets().isEpochUnacknowledged(1)); });
    auto targets = twoEntries();
    section("each entry has to answer a report with the epoch", [&] {
        targets.acknowledgeEpoch("entry-a", 2);
        check(targets.isEpochUnacknowledged(2));
        targets.acknowledgeEpoch("entry-b", 2);
        check(!targets.isEpochUnacknowledged(2));
        check(targets.isEpochUnacknowledged(3));
    });
    section("a late answer with an earlier epoch does not undo an acknowledgement", [&] {
        targets.acknowledgeEpoch("entry-a", 1);
        check(!targets.isEpochUnacknowledged(2));
    });
    section("a new entry has to acknowledge the epoch, a removed one does not", [&] {
        targets.setAddress("entry-c", "c:1");
        check(targets.isEpochUnacknowledged(2));
        targets.removeEntry("entry-c");
        check(!targets.isEpochUnacknowledged(2));
    });
}

// Guards against a processor that periodic reports use up at entries that place no tasks, and
// against one that becomes a placer and never receives the workers' reports.
Test(report_targets, entries_that_place_no_tasks)
{
    report_targets targets;
    for (int number = 0; number < 55; ++number) {
        const auto name = "entry-" + std::to_string(number);
        targets.setAddress(name, name + ":1");
    }
    section("an entry that has not answered yet gets each report",
            [&] { check(targets.namesForRound(0).size() == 55); });
    for (int number = 15; number < 55; ++number)
        targets.setWantsReports("entry-" + std::to_string(number), false);
    section("in a round the others and about a fifth of these get one", [&] {
        for (std::uint64_t round = 0; round < 10; ++round)
            check(targets.namesForRound(round).size() <= 15 + 16);
    });
    section("within five rounds each gets one", [&] {
        std::set<std::string> reached;
        for (std::uint64_t round = 7; round < 12; ++round) {
            for (const auto &name : targets.namesForRound(round))
                reached.insert(name);
        }
        check(reached.size() == 55);
    });
}

// Guards against an owner of jobs that learns seconds late of free capacity, because agents
// still treat it as an entry that places no tasks.
Test(report_targets, an_entry_asks_for_reports)
{
    report_targets targets;
    targets.setAddress("entry-a", "a:1");
    targets.setWantsReports("entry-a", false);
    section("it gets each periodic report, and learns of free capacity at once", [&] {
        targets.noteReportRequest("entry-a");
        for (std::uint64_t round = 0; round < 5; ++round)
            check(targets.namesForRound(round).size() == 1);
        check(targets.isReportDue("entry-a", Now));
    });
    section("an answer that was on its way and says otherwise is followed by a report", [&] {
        targets.setWantsReports("entry-a", false);
        check(targets.tryBeginReport("entry-a", Now));
        targets.noteReportRequest("entry-a");
        check(targets.endReport("entry-a"));
        targets.setWantsReports("entry-a", false);
        check(targets.needsAnotherReport("entry-a"));
    });
    section("also if it wanted reports when it asked", [&] {
        check(targets.tryBeginReport("entry-a", Now));
        targets.setWantsReports("entry-a", true);
        targets.noteReportRequest("entry-a");
        check(targets.endReport("entry-a"));
        targets.setWantsReports("entry-a", false);
        for (std::uint64_t round = 0; round < 5; ++round)
            check(targets.namesForRound(round).size() == 1);
    });
    section("an answer to a later report counts", [&] {
        check(targets.tryBeginReport("entry-a", Now));
        check(targets.endReport("entry-a"));
        targets.setWantsReports("entry-a", false);
        check(!targets.isReportDue("entry-a", Now));
    });
    section("one that is unknown gets none", [&] {
        targets.noteReportRequest("entry-b");
        check(targets.names().size() == 1);
    });
}

// Guards against an entry that has restarted and knows no worker for seconds, as its earlier
// incarnation wanted no reports and the first one arrived before it was ready.
Test(report_targets, an_entry_that_has_restarted)
{
    report_targets targets;
    targets.setAddress("entry-a", "a:1");
    targets.setWantsReports("entry-a", false);
    targets.setAddress("entry-a", "a:1");
    for (std::uint64_t round = 0; round < 5; ++round)
        check(targets.namesForRound(round).size() == 1);
}

// Guards against a change that an entry learns seconds late, because it came while a report was in
// flight that failed.
Test(report_targets, a_change_during_a_report_that_fails)
{
    report_targets targets;
    targets.setAddress("entry-a", "a:1");
    targets.setWantsReports("entry-a", false);
    check(targets.tryBeginReport("entry-a", Now));
    check(!targets.tryBeginReport("entry-a", Now));
    check(targets.endReport("entry-a"));
    section("goes to the entry in the next round", [&] {
        for (std::uint64_t round = 0; round < 5; ++round)
            check(targets.namesForRound(round).size() == 1);
    });
    section("once", [&] {
        check(targets.tryBeginReport("entry-a", Now));
        check(targets.endReport("entry-a"));
        std::size_t reports = 0;
        for (std::uint64_t round = 0; round < 5; ++round)
            reports += targets.namesForRound(round).size();
        check(reports == 1);
    });
}

// Guards against a weak entry that asks all agents of a large fleet at once, and answers nobody
// meanwhile.
Test(report_targets, requests_for_reports_that_an_entry_can_afford)
{
    check(jobs::affordableReports(milliseconds(100), 60) == 50);
    check(jobs::affordableReports(milliseconds(100), 0) == 833);
    check(jobs::affordableReports(milliseconds(1), 1) == 1);
}

// Guards against two things at once: entries of a small fleet that place by views of a second ago,
// and ends of all runs of a large fleet that reach every entry.
Test(report_targets, free_capacity_told_to_entries_without_ends)
{
    const auto reportsInASecond = [](std::size_t workers, std::int64_t millicores) {
        report_targets targets;
        targets.setAddress("entry-a", "a:1");
        targets.setMinReportInterval("entry-a", jobs::reportInterval(workers, millicores));
        int reports = 0;
        for (auto now = Now; now < Now + seconds(1); now += milliseconds(1)) {
            if (!targets.isReportDue("entry-a", now))
                continue;
            ++reports;
            check(targets.tryBeginReport("entry-a", now));
            check(targets.endReport("entry-a"));
        }
        return reports;
    };
    section("with a dozen workers it is at most 100 ms old",
            [&] { check(reportsInASecond(12, 100) >= 10); });
    section("all workers' reports take a tenth of the processor, beside the first of each", [&] {
        constexpr double ReportCostCores = 60e-6;
        for (const std::size_t workers : {11, 76, 240, 800, 2000}) {
            for (const std::int64_t millicores : {69, 100, 500, 1000}) {
                const auto repeated = reportsInASecond(workers, millicores) - 1;
                check(static_cast<double>(workers) * repeated * ReportCostCores * 1000
                      <= 0.1 * static_cast<double>(millicores));
            }
        }
    });
    section("the home gets each", [] {
        auto targets = twoEntries();
        check(targets.tryBeginReport("entry-a", Now));
        check(targets.isReportDue("entry-a", Now));
    });
}
