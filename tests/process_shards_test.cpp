// Tasks of several shards on real processes: three entries share the four shards of eight workers.
#include <algorithm>
#include <map>
#include <set>

#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr unsigned Shards = 4;

// The names that the fleet gives to eight workers put at least one of them into every shard.
fleet_options shardedFleet()
{
    auto options = smallFleet();
    options.workers = 8;
    options.entrySettings["shards"] = Shards;
    return options;
}

// Index of the entry that owns each shard, by shard.
std::map<int, unsigned> shardOwners(fleet &system)
{
    std::map<int, unsigned> owners;
    for (unsigned entry = 0; entry < system.options().entries; ++entry) {
        if (!system.entry(entry)->isRunning())
            continue;
        try {
            const auto status = system.rpc(entry, "status", Json::objectValue);
            for (const auto &shard : status["scheduling"]["shards"])
                owners[shard["shard"].asInt()] = entry;
        } catch (const std::exception &) {
            continue; // suspended, or just starting
        }
    }
    return owners;
}

bool waitForOwnersExcept(fleet &system, unsigned entry)
{
    return waitUntil(
            [&] {
                const auto owners = shardOwners(system);
                return owners.size() == Shards
                       && std::none_of(owners.begin(), owners.end(),
                                       [&](const auto &item) { return item.second == entry; });
            },
            WaitLimit);
}

// Index of the entry that owns the first shard; waits until every shard has an owner.
unsigned ownerOfFirstShard(fleet &system)
{
    require(waitUntil([&] { return shardOwners(system).size() == Shards; }, WaitLimit));
    return shardOwners(system).begin()->second;
}

// Number of workers on which tasks of the job started.
std::size_t workersUsed(const fleet &system, const std::string &job)
{
    std::set<std::string> workers;
    for (const auto &line : system.workerTrace()) {
        if (line["event"] == "started" && line["task"].asString().compare(0, job.size(), job) == 0)
            workers.insert(line["worker"].asString());
    }
    return workers.size();
}

// Highest number of the job's tasks that ran at the same time, from the workers' traces.
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
    int maxRunning = 0;
    for (const auto &[at, change] : changes) {
        running += change;
        maxRunning = std::max(maxRunning, running);
    }
    return maxRunning;
}

} // namespace

// An operator sees a batch finish on all workers although an entry that owned some of the shards
// was killed. Other entries take over its shards; the owners of the other shards are not affected.
Test(process_shards, owner_killed)
{
    const auto batch = batchOf(96, 1500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    const auto owner = ownerOfFirstShard(system);
    section("an owner is killed, others take over its shards", [&] {
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

// An owner of some shards is suspended for longer than its lease, and then acts as if it still
// owned them. Its writes are rejected because of the old epoch of each shard; no task is granted
// twice.
Test(process_shards, owner_suspended_longer_than_its_lease)
{
    const auto batch = batchOf(96, 1500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    const auto owner = ownerOfFirstShard(system);
    system.entry(owner)->signal(SIGSTOP);
    section("others take over its shards", [&] { check(waitForOwnersExcept(system, owner)); });
    system.entry(owner)->signal(SIGCONT);
    section("every task ends once", [&] {
        check(waitForEnds(system, batch));
        std::this_thread::sleep_for(milliseconds(1000)); // late grants would arrive in this time
        checkEachEndedOnce(system, batch);
    });
}

// The platform goes down in the middle of a batch: running tasks continue, each shard's backlog
// starts as tasks end, and the remaining tasks follow once the table is back. No shard changes its
// owner, because no entry can write the row of a shard.
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

// An operator enlarges a batch while it runs, and then shrinks it. Each shard follows
// independently. A task that moved to another shard because of the new size would run twice, and a
// removed task that no shard stopped would keep running.
Test(process_shards, job_resized)
{
    auto batch = batchOf(10, 2500);
    fleet system(shardedFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    section("the batch grows: each task ends once", [&] {
        batch.tasks = 30;
        system.putFolderFile("20-batch.json", makeBatchConfig(batch));
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 30);
        checkEachEndedOnce(system, batch);
    });
    section("another batch shrinks to one task: the others are cancelled in every shard", [&] {
        auto watch = batchOf(12, 3'600'000);
        watch.job = "watch";
        system.putFolderFile("30-watch.json", makeBatchConfig(watch));
        require(waitForStarts(system, watch));
        watch.tasks = 1;
        system.putFolderFile("30-watch.json", makeBatchConfig(watch));
        check(waitUntil([&] { return countTraced(system, "stopped", watch.job) == 11; },
                        WaitLimit));
        check(countTasksByState(system, watch.job)["running"] == 1);
        checkTraceClean(system);
    });
}

// A team's quota allows 8 tasks beside its service, while the workers of all four shards have
// capacity for 48. However the shards share the quota, and although an owner dies meanwhile, at
// most 8 tasks run at once, and the tasks of every shard get their turn.
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
    section("an owner is killed, others take over its shards", [&] {
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
