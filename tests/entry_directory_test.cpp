// Which entries there are, and to whom work goes.
#include <set>

#include <criterion/criterion.h>

#include "app/entry_directory.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Now{seconds(1000)};

entry_directory fourOthers()
{
    entry_directory directory("entry-self", Now);
    for (const std::string name : {"entry-a", "entry-b", "entry-c", "entry-d"}) {
        directory.updateRow(name, {1, name + ":1", name + ":2"});
        directory.recordHeartbeat(name, 1, false, Now);
    }
    return directory;
}

} // namespace

// All entries that leave at a time pass their callers' requests to the same one, and that one has
// the least processor time of all.
Test(entry_directory, whom_requests_are_passed_to)
{
    auto directory = fourOthers();
    section("each request has its own order, and each entry is first for some", [&] {
        std::set<std::string> first;
        for (int number = 0; number < 40; ++number) {
            const auto order = directory.liveEntriesFor("/holds/" + std::to_string(number), Now);
            check(order.size() == 4);
            first.insert(order.front());
        }
        check(first.size() == 4);
    });
    section("one that leaves, or is silent, is none of them", [&] {
        directory.recordHeartbeat("entry-a", 1, true, Now);
        const auto later = Now + entry_directory::HeartbeatTimeout;
        directory.recordHeartbeat("entry-b", 1, false, later);
        check(directory.liveEntriesFor("/holds/1", Now).size() == 3);
        check(directory.liveEntriesFor("/holds/1", later) == std::vector<std::string>{"entry-b"});
    });
    section("this entry is none of them, but may place what one entry places", [&] {
        std::set<std::string> placers;
        for (int number = 0; number < 40; ++number)
            placers.insert(directory.placerOf("service-" + std::to_string(number), Now));
        check(placers.contains("entry-self"));
        check(!placers.contains("entry-a"));
    });
}
