// Tests of report_targets: which entries an agent may send a report to, and when.
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "app/report_targets.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

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
    check(targets.tryBeginReport("entry-a"));
    section("a change during a report in flight needs another report", [&] {
        check(!targets.needsAnotherReport("entry-a"));
        check(!targets.tryBeginReport("entry-a"));
        check(targets.endReport("entry-a"));
        check(targets.needsAnotherReport("entry-a"));
    });
    section("the next report covers the change", [&] {
        check(targets.tryBeginReport("entry-a"));
        check(!targets.needsAnotherReport("entry-a"));
    });
    section("reports to other entries are independent of it",
            [&] { check(targets.tryBeginReport("entry-b")); });
    section("no report goes to a removed entry", [&] {
        targets.removeEntry("entry-a");
        check(!targets.endReport("entry-a"));
        check(!targets.tryBeginReport("entry-a"));
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
        check(targets.tryBeginReport("entry-a"));
        targets.setAddress("entry-a", "a:3");
        check(!targets.tryBeginReport("entry-a"));
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

// Guards against ends of runs that reach every entry at once: only a worker's home needs to know
// each of them.
Test(report_targets, the_home_of_the_worker)
{
    auto targets = twoEntries();
    check(!targets.isHome("entry-a"));
    targets.setHome("entry-a", true);
    check(targets.isHome("entry-a"));
    check(!targets.isHome("entry-b"));
    section("an entry's next answer may say otherwise", [&] {
        targets.setHome("entry-a", false);
        check(!targets.isHome("entry-a"));
    });
    section("an unknown entry is no home", [&] {
        targets.setHome("entry-x", true);
        check(!targets.isHome("entry-x"));
    });
}

// Guards against a processor that periodic reports use up at entries that place no tasks, and
// against one that becomes a placer and never hears from the workers.
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
