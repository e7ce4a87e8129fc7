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
            const auto order = directory.placersFor("/holds/" + std::to_string(number), Now);
            check(order.size() == 4);
            firstTargets.insert(order.front());
        }
        check(firstTargets.size() == 4);
    });
    section("a leaving or silent entry is not among the targets", [&] {
        directory.recordHeartbeat("entry-a", 1, true, Now);
        const auto later = Now + entry_directory::HeartbeatTimeout;
        directory.recordHeartbeat("entry-b", 1, false, later);
        check(directory.placersFor("/holds/1", Now).size() == 3);
        check(directory.placersFor("/holds/1", later) == std::vector<std::string>{"entry-b"});
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

namespace {

constexpr std::int64_t Strong = 500;
constexpr std::int64_t Weak = 69;

// A directory of an entry of the given strength, with two strong and two weak others.
entry_directory directoryOfMixedEntries(std::int64_t ownMillicores)
{
    entry_directory directory("entry-self", Now, ownMillicores);
    for (const std::string name : {"strong-a", "strong-b", "weak-a", "weak-b"}) {
        directory.updateRow(
                name, {1, name + ":1", name + ":2", name.starts_with("strong") ? Strong : Weak});
        directory.recordHeartbeat(name, 1, false, Now);
    }
    return directory;
}

} // namespace

// Guards against entries with little processor time that own jobs and get the reports of all
// workers: they have no time left for callers, and lose the store and their jobs on a quiet day.
Test(entry_directory, entries_that_place_tasks)
{
    section("the strong entries are placers, homes and successors", [] {
        const auto directory = directoryOfMixedEntries(Weak);
        check(!directory.isPlacer(Now));
        for (int number = 0; number < 40; ++number) {
            const auto key = std::to_string(number);
            check(directory.homeOf(key, Now).starts_with("strong"));
            check(directory.placerOf(key, Now).starts_with("strong"));
            check(directory.placersFor(key, Now).size() == 2);
        }
        check(directoryOfMixedEntries(Strong).isPlacer(Now));
    });
    section("pings go to placers only", [] {
        const auto directory = directoryOfMixedEntries(Weak);
        check(directory.shouldPing("strong-a", Now));
        check(!directory.shouldPing("weak-a", Now));
        check(!directoryOfMixedEntries(Strong).shouldPing("weak-a", Now));
    });
    section("entries of one strength, or of the release before, are all placers", [] {
        entry_directory directory("entry-self", Now, Weak);
        directory.updateRow("entry-a", {1, "a:1", "a:2", Weak});
        directory.updateRow("entry-b", {1, "b:1", "b:2"});
        directory.recordHeartbeat("entry-a", 1, false, Now);
        directory.recordHeartbeat("entry-b", 1, false, Now);
        check(directory.isPlacer(Now));
        check(directory.placersFor("key", Now).size() == 2);
    });
    section("a row without this member, or with it, is read as it was written", [] {
        check(entryRowFrom(toText(entry_row{3, "a:1", "a:2", Weak})).millicores == Weak);
        check(entryRowFrom(R"({"incarnation":3,"internal":"a:1","callers":"a:2"})").millicores
              == 0);
    });
}

// Guards against jobs without an owner once all strong entries are gone, and against weak entries
// that all take over the same jobs at once, as they don't know yet which of the others are alive.
Test(entry_directory, all_strong_entries_are_gone)
{
    auto directory = directoryOfMixedEntries(Weak);
    const auto ownerRow = jobs::owner_id{"strong-a", 1};
    const auto self = jobs::owner_id{"entry-self", 1};
    auto now = Now;
    for (; now < Now + seconds(60) && !directory.isPlacer(now); now += milliseconds(400))
        directory.recordRole(now);
    section("a weak entry becomes a placer when their heartbeats are missing", [&] {
        check(now <= Now + entry_directory::HeartbeatTimeout + milliseconds(400));
        check(directory.shouldPing("weak-a", now));
    });
    section("it judges nobody before the other weak ones had time to answer",
            [&] { check(!directory.successorOf("job", ownerRow, self, now)); });
    section("then each job has one successor among the live ones", [&] {
        now += entry_directory::HeartbeatTimeout;
        directory.recordHeartbeat("weak-a", 1, false, now);
        std::set<std::string> successors;
        for (int number = 0; number < 40; ++number)
            successors.insert(*directory.successorOf(std::to_string(number), ownerRow, self, now));
        check((successors == std::set<std::string>{"entry-self", "weak-a"}));
    });
}
