// To which entries an agent reports, and when.
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

// Guards against reports that pile up before an entry that is slow to answer, and against news
// that is left out because a report was on its way.
Test(entry_links, one_report_at_a_time)
{
    auto targets = twoEntries();
    check(targets.tryBeginReport("entry-a"));
    section("news that comes before its answer is wanted after it", [&] {
        check(!targets.needsAnotherReport("entry-a"));
        check(!targets.tryBeginReport("entry-a"));
        check(targets.endReport("entry-a"));
        check(targets.needsAnotherReport("entry-a"));
    });
    section("and told by the next report", [&] {
        check(targets.tryBeginReport("entry-a"));
        check(!targets.needsAnotherReport("entry-a"));
    });
    section("other entries don't wait for it", [&] { check(targets.tryBeginReport("entry-b")); });
    section("an entry that is gone is told nothing", [&] {
        targets.removeEntry("entry-a");
        check(!targets.endReport("entry-a"));
        check(!targets.tryBeginReport("entry-a"));
        check(!targets.needsAnotherReport("entry-a"));
    });
}

Test(entry_links, where_they_are)
{
    auto targets = twoEntries();
    check((targets.names() == std::vector<std::string>{"entry-a", "entry-b"}));
    check((targets.addresses() == std::vector<std::string>{"a:1", "b:1"}));
    section("an entry that lives anew elsewhere is told there", [&] {
        targets.setAddress("entry-a", "a:2");
        check(targets.addressOf("entry-a") == "a:2");
    });
    section("and its report that is out is still waited for", [&] {
        check(targets.tryBeginReport("entry-a"));
        targets.setAddress("entry-a", "a:3");
        check(!targets.tryBeginReport("entry-a"));
    });
}

// Guards against an agent that goes while an entry waits for the end of an epoch.
Test(entry_links, who_waits_for_an_epoch)
{
    section("nobody, where there is no entry",
            [] { check(!report_targets().isEpochUnacknowledged(1)); });
    auto targets = twoEntries();
    section("each until it has answered a report with it", [&] {
        targets.acknowledgeEpoch("entry-a", 2);
        check(targets.isEpochUnacknowledged(2));
        targets.acknowledgeEpoch("entry-b", 2);
        check(!targets.isEpochUnacknowledged(2));
        check(targets.isEpochUnacknowledged(3));
    });
    section("an answer that is overtaken by another takes nothing back", [&] {
        targets.acknowledgeEpoch("entry-a", 1);
        check(!targets.isEpochUnacknowledged(2));
    });
    section("one that has only begun waits, one that is gone does not", [&] {
        targets.setAddress("entry-c", "c:1");
        check(targets.isEpochUnacknowledged(2));
        targets.removeEntry("entry-c");
        check(!targets.isEpochUnacknowledged(2));
    });
}
