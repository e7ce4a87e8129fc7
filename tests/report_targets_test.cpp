// To which entries an agent reports, and when.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "app/report_targets.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

entry_links twoEntries()
{
    entry_links links;
    links.seen("entry-b", "b:1");
    links.seen("entry-a", "a:1");
    return links;
}

} // namespace

// Guards against reports that pile up before an entry that is slow to answer, and against news
// that is left out because a report was on its way.
Test(entry_links, one_report_at_a_time)
{
    auto links = twoEntries();
    check(links.begin("entry-a"));
    section("news that comes before its answer is wanted after it", [&] {
        check(!links.wantsAnother("entry-a"));
        check(!links.begin("entry-a"));
        check(links.ended("entry-a"));
        check(links.wantsAnother("entry-a"));
    });
    section("and told by the next report", [&] {
        check(links.begin("entry-a"));
        check(!links.wantsAnother("entry-a"));
    });
    section("other entries don't wait for it", [&] { check(links.begin("entry-b")); });
    section("an entry that is gone is told nothing", [&] {
        links.gone("entry-a");
        check(!links.ended("entry-a"));
        check(!links.begin("entry-a"));
        check(!links.wantsAnother("entry-a"));
    });
}

Test(entry_links, where_they_are)
{
    auto links = twoEntries();
    check((links.names() == std::vector<std::string>{"entry-a", "entry-b"}));
    check((links.addresses() == std::vector<std::string>{"a:1", "b:1"}));
    section("an entry that lives anew elsewhere is told there", [&] {
        links.seen("entry-a", "a:2");
        check(links.addressOf("entry-a") == "a:2");
    });
    section("and its report that is out is still waited for", [&] {
        check(links.begin("entry-a"));
        links.seen("entry-a", "a:3");
        check(!links.begin("entry-a"));
    });
}

// Guards against an agent that goes while an entry waits for the end of an epoch.
Test(entry_links, who_waits_for_an_epoch)
{
    section("nobody, where there is no entry", [] { check(!entry_links().waitFor(1)); });
    auto links = twoEntries();
    section("each until it has answered a report with it", [&] {
        links.told("entry-a", 2);
        check(links.waitFor(2));
        links.told("entry-b", 2);
        check(!links.waitFor(2));
        check(links.waitFor(3));
    });
    section("an answer that is overtaken by another takes nothing back", [&] {
        links.told("entry-a", 1);
        check(!links.waitFor(2));
    });
    section("one that has only begun waits, one that is gone does not", [&] {
        links.seen("entry-c", "c:1");
        check(links.waitFor(2));
        links.gone("entry-c");
        check(!links.waitFor(2));
    });
}
