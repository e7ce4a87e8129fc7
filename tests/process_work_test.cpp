// Tasks on real processes while owners, agents and workers die and freeze and the table goes away.
#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// The shards' owner, by index of its entry; the number of entries when there is none.
unsigned findShardOwner(fleet &system)
{
    for (unsigned entry = 0; entry < system.options().entries; ++entry) {
        if (!system.entry(entry)->isRunning())
            continue;
        try {
            const auto status = system.rpc(entry, "status", Json::objectValue);
            if (!status["scheduling"]["shards"].empty())
                return entry;
        } catch (const std::exception &) {
            continue; // frozen, or just starting
        }
    }
    return system.options().entries;
}

bool waitForOtherOwner(fleet &system, unsigned previousOwner)
{
    return waitUntil(
            [&] {
                const auto next = findShardOwner(system);
                return next != previousOwner && next < system.options().entries;
            },
            WaitLimit);
}

// Tasks placed ahead on all workers, as their owners tell.
unsigned countBacklogTasks(fleet &system)
{
    unsigned tasks = 0;
    for (unsigned entry = 0; entry < system.options().entries; ++entry) {
        const auto status = system.rpc(entry, "status", Json::objectValue);
        for (const auto &shard : status["scheduling"]["shards"]) {
            for (const auto &worker : shard["workers"])
                tasks += worker["backlog"].asUInt();
        }
    }
    return tasks;
}

// A worker on which a task of the batch has started, by index.
unsigned workerThatStarted(const fleet &system, const batch_options &batch)
{
    for (const auto &line : system.workerTrace()) {
        if (line["event"] != "started" || !line["task"].asString().starts_with(batch.job + "@"))
            continue;
        for (unsigned index = 0; index < system.options().workers; ++index) {
            if (line["worker"] == system.workerId(index))
                return index;
        }
    }
    cr_assert_fail("no task has started");
    return 0;
}

} // namespace

// An operator sees the batch finish although the entry that owned its shard was killed.
// Another entry takes the shard once the row was unchanged for the owner's lease; agents attach to
// the new epoch, so running tasks run on, and those not yet placed are placed by the new owner.
Test(process_work, owner_killed)
{
    const auto batch = batchOf(60, 1500);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    const auto owner = findShardOwner(system);
    require(owner < system.options().entries);
    section("the owner is killed", [&] { system.entry(owner)->signal(SIGKILL); });
    section("another owns the shard", [&] { check(waitForOtherOwner(system, owner)); });
    section("every task ends once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 60);
        checkEachEndedOnce(system, batch);
    });
}

// The old owner freezes for longer than its lease and wakes believing that it still owns the shard.
// Its writes fail at the epoch, its grants are refused as stale; no task is given twice.
Test(process_work, owner_frozen_longer_than_its_lease)
{
    const auto batch = batchOf(60, 1500);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    const auto owner = findShardOwner(system);
    require(owner < system.options().entries);
    system.entry(owner)->signal(SIGSTOP);
    section("another owns the shard", [&] { check(waitForOtherOwner(system, owner)); });
    system.entry(owner)->signal(SIGCONT);
    section("every task ends once", [&] {
        check(waitForEnds(system, batch));
        std::this_thread::sleep_for(milliseconds(1000)); // late grants would show now
        checkEachEndedOnce(system, batch);
    });
}

// The replaced agent lists what its worker runs before it gives anything: tasks run on under their
// own leases, none is started a second time.
Test(process_work, agents_killed_and_replaced)
{
    const auto batch = batchOf(12, 6000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    section("every agent is killed and replaced", [&] {
        for (unsigned index = 0; index < 4; ++index) {
            system.agent(index)->signal(SIGKILL);
            system.agent(index)->waitForExit(WaitLimit);
            system.startAgent(index);
        }
    });
    section("the tasks run on and end once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 12);
        checkEachEndedOnce(system, batch);
    });
}

// An agent is replaced while it is paused, so that two run for one worker and upstream. When the
// old one wakes, the entries refuse its announcements as of an older incarnation; it stops as
// planned. Its tasks had one start each, since a worker runs an attempt once, whoever asks.
Test(process_work, agent_doubled)
{
    const auto batch = batchOf(12, 6000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    system.agent(0)->signal(SIGSTOP);
    const auto twin = system.startDuplicateAgent(0);
    std::this_thread::sleep_for(milliseconds(2500)); // the twin announces and is accepted
    system.agent(0)->signal(SIGCONT);
    section("the old one gives way", [&] {
        check(system.agent(0)->waitForExit(WaitLimit) == 0);
        check(twin->isRunning());
    });
    section("the tasks end once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 12);
        checkEachEndedOnce(system, batch);
    });
}

// A worker dies with its tasks and comes back with a newer incarnation: that proves that the old
// attempts are gone, so they start again without waiting for any lease.
Test(process_work, worker_killed_and_replaced)
{
    const auto batch = batchOf(12, 4000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    const auto victim = workerThatStarted(system, batch);
    system.worker(victim)->signal(SIGKILL);
    system.worker(victim)->waitForExit(WaitLimit);
    system.startWorker(victim);
    section("what ran there runs again, everything ends once", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) > 12);
        checkEachEndedOnce(system, batch);
    });
}

// The table is down for longer than the owner's and the agents' leases: lease watchers and running
// batch go on, and the ends are recorded once it is back.
Test(process_work, table_down)
{
    auto options = smallFleet();
    options.entrySettings["agent_lease_ms"] = 4000;
    fleet system(options);
    batch_options watchers;
    watchers.job = "watch";
    watchers.tasks = 8;
    watchers.runMs = 3'600'000;
    watchers.failover = "proof";
    startWithBatch(system, watchers);
    require(waitUntil([&] { return countTraced(system, "started", "watch") == 8; }, WaitLimit));
    batch_options batch;
    batch.tasks = 8;
    batch.runMs = 5000;
    system.putFolderFile("30-batch.json", makeBatchConfig(batch));
    require(waitForStarts(system, batch));
    section("the table is down for twice the longest short lease", [&] {
        setPlatformDown(system, true);
        std::this_thread::sleep_for(milliseconds(14'000));
        check(countTraced(system, "started", "watch") == 8);
        check(countTraced(system, "stopped", "watch") == 0);
        check(waitForEnds(system, batch));
    });
    section("the table comes back: the ends are recorded, nothing ran twice", [&] {
        setPlatformDown(system, false);
        check(waitUntil([&] { return taskStates(system, batch.job)["done"] == 8; }, WaitLimit));
        check(countTraced(system, "started", "watch") == 8);
        checkEachEndedOnce(system, batch);
    });
}

// Workers are full and more batch waits when the table goes down. Each worker holds a backlog that
// the table has on it already: as tasks end, the owner starts these without a write, where its
// ledger has room. Without a backlog nothing starts until the table is back.
Test(process_work, backlog_while_the_table_is_down)
{
    const auto batch = batchOf(60, 3000);
    const auto startedDuring = [&](unsigned perWorker) {
        auto options = smallFleet();
        options.entrySettings["placement"]["backlog_per_worker"] = perWorker;
        fleet system(options);
        startWithBatch(system, batch);
        require(waitUntil([&] { return countBacklogTasks(system) == perWorker * options.workers; },
                          WaitLimit));
        setPlatformDown(system, true);
        std::this_thread::sleep_for(milliseconds(1000)); // what was granted before has started
        const auto before = countTraced(system, "started", batch.job);
        std::this_thread::sleep_for(milliseconds(9000));
        const auto started = countTraced(system, "started", batch.job) - before;
        setPlatformDown(system, false);
        check(waitUntil([&] { return taskStates(system, batch.job)["done"] == 60; }, WaitLimit));
        checkEachEndedOnce(system, batch);
        return started;
    };
    section("four for each worker: all of them start during the outage", [&] {
        const auto started = startedDuring(4);
        cr_expect(started >= 8, "started %u", started);
    });
    section("none: nothing starts during the outage", [&] {
        const auto started = startedDuring(0);
        cr_expect(started == 0, "started %u", started);
    });
}

// Answers of the table and of the workers are lost after their effect while tasks are placed and
// started: each write is settled by reading back, each start by a listing; no task runs twice.
Test(process_work, lost_answers)
{
    fleet system(smallFleet());
    batch_options batch;
    batch.tasks = 40;
    batch.runMs = 500;
    system.startAll();
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    Json::Value lose(Json::objectValue);
    lose["lose_answers"] = 10;
    system.setFault(system.platformAddress(), lose);
    for (unsigned index = 0; index < 4; ++index)
        system.setFault(system.workerAddress(index), lose);
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    check(waitForEnds(system, batch));
    checkEachEndedOnce(system, batch);
}

// A job is removed from the folder while its tasks wait and run: what runs is stopped, what waits
// never starts.
Test(process_work, cancelled)
{
    const auto batch = batchOf(100, 3000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    system.removeFolderFile("20-batch.json");
    section("nothing starts once the job's tasks are cancelled", [&] {
        check(waitUntil(
                [&] {
                    const auto states = taskStates(system, batch.job);
                    return states.count("running") == 0 && states.count("placed") == 0
                           && states.count("pending") == 0 && states.count("cancelling") == 0;
                },
                WaitLimit));
        const auto started = countTraced(system, "started", batch.job);
        std::this_thread::sleep_for(milliseconds(1500));
        check(countTraced(system, "started", batch.job) == started);
        checkTraceClean(system);
    });
}
