// Tasks of several shards on real processes: three entries share four shards of eight workers.
#include <algorithm>
#include <map>
#include <set>

#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr unsigned Shards = 4;

// With these names of workers every shard has at least one.
fleet_options shardedFleet()
{
    auto options = smallFleet();
    options.workers = 8;
    options.entrySettings["shards"] = Shards;
    return options;
}

// The entry that owns each shard, by index.
std::map<int, unsigned> shardOwners(fleet &system)
{
    std::map<int, unsigned> found;
    for (unsigned entry = 0; entry < system.options().entries; ++entry) {
        if (!system.entry(entry)->isRunning())
            continue;
        try {
            const auto status = system.rpc(entry, "status", Json::objectValue);
            for (const auto &shard : status["scheduling"]["shards"])
                found[shard["shard"].asInt()] = entry;
        } catch (const std::exception &) {
            continue; // frozen, or just starting
        }
    }
    return found;
}

bool waitForOwnersExcept(fleet &system, unsigned entry)
{
    return waitUntil(
            [&] {
                const auto found = shardOwners(system);
                return found.size() == Shards
                       && std::none_of(found.begin(), found.end(),
                                       [&](const auto &item) { return item.second == entry; });
            },
            WaitLimit);
}

// The entry that owns the first shard; every shard has an owner by then.
unsigned ownerOfFirstShard(fleet &system)
{
    require(waitUntil([&] { return shardOwners(system).size() == Shards; }, WaitLimit));
    return shardOwners(system).begin()->second;
}

// Workers on which tasks of the job started.
std::size_t workersUsed(const fleet &system, const std::string &job)
{
    std::set<std::string> workers;
    for (const auto &line : system.workerTrace()) {
        if (line["event"] == "started" && line["task"].asString().compare(0, job.size(), job) == 0)
            workers.insert(line["worker"].asString());
    }
    return workers.size();
}

// Tasks of the job that ran at the same time, by the workers' traces.
int maxConcurrentTasks(const fleet &system, const std::string &job)
{
    std::vector<std::pair<std::int64_t, int>> changes;
    for (const auto &line : system.workerTrace()) {
        if (line["task"].asString().compare(0, job.size(), job) != 0)
            continue;
        const auto event = line["event"].asString();
        const bool starts = event == "started" || event == "resumed";
        const bool stops = event == "ended" || event == "stopped" || event == "evicted";
        if (starts || stops)
            changes.emplace_back(line["at_us"].asInt64(), starts ? 1 : -1);
    }
    std::sort(changes.begin(), changes.end());
    int running = 0;
    int most = 0;
    for (const auto &[at, change] : changes) {
        running += change;
        most = std::max(most, running);
    }
    return most;
}

} // namespace

// An operator sees a batch finish on all workers although an entry that owned some of the shards
// was killed. Others take its shards; the other shards' owners are not disturbed.
Test(process_shards, owner_killed)
{
    const auto batch = batchOf(96, 1500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    const auto owner = ownerOfFirstShard(system);
    section("an owner is killed, others take its shards", [&] {
        system.entry(owner)->signal(SIGKILL);
        check(waitForOwnersExcept(system, owner));
    });
    section("every task ends once, with one start each, on all workers", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 96);
        check(workersUsed(system, batch.job) == 8);
        checkEachEndedOnce(system, batch);
    });
}

// An owner of some of the shards freezes for longer than its lease, and wakes believing that it
// still owns them: each shard's epoch refuses it by itself; no task is given twice.
Test(process_shards, owner_frozen_longer_than_its_lease)
{
    const auto batch = batchOf(96, 1500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    const auto owner = ownerOfFirstShard(system);
    system.entry(owner)->signal(SIGSTOP);
    section("others take its shards", [&] { check(waitForOwnersExcept(system, owner)); });
    system.entry(owner)->signal(SIGCONT);
    section("every task ends once", [&] {
        check(waitForEnds(system, batch));
        std::this_thread::sleep_for(milliseconds(1000)); // late grants would show now
        checkEachEndedOnce(system, batch);
    });
}

// The platform goes away in the middle of a batch: what runs runs on, each shard's backlog starts
// as tasks end, and once the table is back the rest follows. No owner changes, since none could
// renew.
Test(process_shards, platform_down)
{
    const auto batch = batchOf(96, 3000);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    require(waitUntil([&] { return shardOwners(system).size() == Shards; }, WaitLimit));
    std::this_thread::sleep_for(milliseconds(1500));
    const auto before = shardOwners(system);
    setPlatformDown(system, true);
    std::this_thread::sleep_for(milliseconds(10'000));
    check(shardOwners(system) == before);
    setPlatformDown(system, false);
    section("every task ends once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 96);
        checkEachEndedOnce(system, batch);
    });
}

// An operator lets a batch grow while it runs, and then lets it shrink. Each shard follows by
// itself: a task that changed its shard with the size would run in two, and one that no shard gave
// up would run although it was taken away.
Test(process_shards, job_resized)
{
    auto batch = batchOf(10, 2500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    section("it grows: each task ends once", [&] {
        batch.tasks = 30;
        system.putFolderFile("20-batch.json", makeBatchConfig(batch));
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 30);
        checkEachEndedOnce(system, batch);
    });
    section("another one shrinks to a task: the others are cancelled in every shard", [&] {
        auto watch = batchOf(12, 3'600'000);
        watch.job = "watch";
        system.putFolderFile("30-watch.json", makeBatchConfig(watch));
        require(waitForStarts(system, watch));
        watch.tasks = 1;
        system.putFolderFile("30-watch.json", makeBatchConfig(watch));
        check(waitUntil([&] { return countTraced(system, "stopped", watch.job) == 11; },
                        WaitLimit));
        check(taskStates(system, watch.job)["running"] == 1);
        checkTraceClean(system);
    });
}

// A team's quota has room for 8 tasks beside its service; the workers of all four shards would take
// 48. However the shards share the quota, and although an owner dies on the way, no more than 8 run
// at once, and every shard's tasks get their turn.
Test(process_shards, quota_over_all_shards)
{
    const auto batch = batchOf(40, 1000);
    fleet system(shardedFleet());
    system.startAll();
    auto base = makeBaseConfig(system.options());
    const auto &service = base["services"][system.options().service];
    auto &quota = base["teams"]["rinks"]["quota"];
    quota["millicores"] =
            Json::Int64(service["replicas"].asInt64() * service["size"]["millicores"].asInt64()
                        + 8 * batch.millicores);
    system.putFolderFile("10-base.json", base);
    require(waitUntil([&] { return countTraced(system, "started", system.options().service) == 8; },
                      WaitLimit));
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    require(waitUntil([&] { return countTraced(system, "ended", batch.job) >= 8; }, WaitLimit));
    const auto owner = ownerOfFirstShard(system);
    section("an owner is killed, others take its shards", [&] {
        system.entry(owner)->signal(SIGKILL);
        check(waitForOwnersExcept(system, owner));
    });
    section("every task ends once, at most 8 at the same time", [&] {
        check(waitForEnds(system, batch));
        cr_expect(maxConcurrentTasks(system, batch.job) <= 8, "%d",
                  maxConcurrentTasks(system, batch.job));
        checkEachEndedOnce(system, batch);
    });
}
