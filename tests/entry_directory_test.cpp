// Tests of entry_directory: which entries are alive, and which of them gets forwarded work.
#include <map>
#include <set>

#include <criterion/criterion.h>

#include "app/entry_directory.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Now{seconds(1000)};

entry_directory directoryOfFourOthers()
{
    entry_directory directory("entry-self", Now);
    for (const std::string name : {"entry-a", "entry-b", "entry-c", "entry-d"}) {
        directory.updateRow(name, {1, name + ":1", name + ":2"});
        directory.recordHeartbeat(name, 1, false, Now);
    }
    return directory;
}

} // namespace

// Guards against overload of a single entry: if all entries that are leaving at the same time
// forwarded their callers' requests to the same one, that one would run out of processor time.
Test(entry_directory, targets_of_forwarded_requests)
{
    auto directory = directoryOfFourOthers();
    section("the order depends on the request, and each entry is first for some requests", [&] {
        std::set<std::string> firstTargets;
        for (int number = 0; number < 40; ++number) {
            const auto order = directory.liveEntriesFor("/holds/" + std::to_string(number), Now);
            check(order.size() == 4);
            firstTargets.insert(order.front());
        }
        check(firstTargets.size() == 4);
    });
    section("a leaving or silent entry is not among the targets", [&] {
        directory.recordHeartbeat("entry-a", 1, true, Now);
        const auto later = Now + entry_directory::HeartbeatTimeout;
        directory.recordHeartbeat("entry-b", 1, false, later);
        check(directory.liveEntriesFor("/holds/1", Now).size() == 3);
        check(directory.liveEntriesFor("/holds/1", later) == std::vector<std::string>{"entry-b"});
    });
    section("this entry is not among the targets, but may be the placer of a service", [&] {
        std::set<std::string> placers;
        for (int number = 0; number < 40; ++number)
            placers.insert(directory.placerOf("service-" + std::to_string(number), Now));
        check(placers.contains("entry-self"));
        check(!placers.contains("entry-a"));
    });
}

// Guards against entries that choose the same free capacity at the same moment: each worker has one
// home, and the homes are spread over the entries.
Test(entry_directory, homes_of_workers)
{
    auto directory = directoryOfFourOthers();
    std::map<std::string, int> workersByHome;
    for (int number = 0; number < 100; ++number)
        ++workersByHome[directory.homeOf("worker-" + std::to_string(number), Now)];
    section("each live entry is the home of some workers, this one included", [&] {
        check(workersByHome.size() == 5);
        for (const auto &[entry, workers] : workersByHome)
            check(workers >= 8 && workers <= 35);
    });
    section("only the workers of an entry that is gone change their home", [&] {
        const auto later = Now + entry_directory::HeartbeatTimeout;
        for (const auto *name : {"entry-a", "entry-b", "entry-c"})
            directory.recordHeartbeat(name, 1, false, later);
        for (int number = 0; number < 100; ++number) {
            const auto worker = "worker-" + std::to_string(number);
            const auto before = directory.homeOf(worker, Now);
            check(before == "entry-d" || directory.homeOf(worker, later) == before);
        }
    });
}
