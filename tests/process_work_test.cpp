// Tasks on real processes while owners, agents and workers are killed or suspended (SIGSTOP), or
// the table is down.
#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// Index of the entry that owns the shards; the number of entries if there is no owner.
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
            continue; // suspended, or just starting
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

// Number of tasks in the backlogs of all workers, as the owners report them.
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

// Index of a worker on which a task of the batch has started.
unsigned workerWithStartedTask(const fleet &system, const batch_options &batch)
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

// An operator sees the batch finish although the entry that owned its shard was killed. Another
// entry takes the shard over once the shard's row was unchanged for the owner's lease. Agents
// attach to the new epoch, so running tasks continue, and the new owner places the tasks that were
// not placed yet.
Test(process_work, owner_killed)
{
    const auto batch = batchOf(60, 1500);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    const auto owner = findShardOwner(system);
    require(owner < system.options().entries);
    section("the owner is killed", [&] { system.entry(owner)->signal(SIGKILL); });
    section("another entry owns the shard", [&] { check(waitForOtherOwner(system, owner)); });
    section("every task ends once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 60);
        checkEachEndedOnce(system, batch);
    });
}

// The old owner is suspended for longer than its lease and then acts as if it still owned the
// shard. Its writes are rejected because of the old epoch, its grants are refused as stale; no task
// is granted twice.
Test(process_work, owner_suspended_longer_than_its_lease)
{
    const auto batch = batchOf(60, 1500);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    const auto owner = findShardOwner(system);
    require(owner < system.options().entries);
    system.entry(owner)->signal(SIGSTOP);
    section("another entry owns the shard", [&] { check(waitForOtherOwner(system, owner)); });
    system.entry(owner)->signal(SIGCONT);
    section("every task ends once", [&] {
        check(waitForEnds(system, batch));
        std::this_thread::sleep_for(milliseconds(1000)); // late grants would arrive in this time
        checkEachEndedOnce(system, batch);
    });
}

// A replaced agent lists its worker's tasks before it starts any: tasks continue under their own
// leases, and none is started a second time.
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
    section("the tasks continue and end once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 12);
        checkEachEndedOnce(system, batch);
    });
}

// An agent is replaced while it is suspended, so that two agents run for one worker and upstream.
// When the old one resumes, the entries refuse its announcements because of the older incarnation,
// and it shuts down as planned. Its tasks are started once, since a worker runs an attempt once,
// whichever agent asks.
Test(process_work, two_agents_for_one_worker)
{
    const auto batch = batchOf(12, 6000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    system.agent(0)->signal(SIGSTOP);
    const auto newAgent = system.startDuplicateAgent(0);
    std::this_thread::sleep_for(milliseconds(2500)); // the new agent announces and is accepted
    system.agent(0)->signal(SIGCONT);
    section("the old agent stops", [&] {
        check(system.agent(0)->waitForExit(WaitLimit) == 0);
        check(newAgent->isRunning());
    });
    section("the tasks end once, with one start each", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) == 12);
        checkEachEndedOnce(system, batch);
    });
}

// A worker dies with its tasks and comes back with a higher incarnation. This proves that the old
// attempts are gone, so the tasks start again without waiting for any lease.
Test(process_work, worker_killed_and_replaced)
{
    const auto batch = batchOf(12, 4000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    require(waitForStarts(system, batch));
    const auto killedWorker = workerWithStartedTask(system, batch);
    system.worker(killedWorker)->signal(SIGKILL);
    system.worker(killedWorker)->waitForExit(WaitLimit);
    system.startWorker(killedWorker);
    section("its tasks run again, and every task ends once", [&] {
        check(waitForEnds(system, batch));
        check(countTraced(system, "started", batch.job) > 12);
        checkEachEndedOnce(system, batch);
    });
}

// The table is down for longer than the leases of the owner and the agents: long-running tasks and
// running batch tasks continue, and the ends are recorded once the table is back.
Test(process_work, table_down)
{
    auto options = smallFleet();
    options.entrySettings["agent_lease_ms"] = 4000;
    fleet system(options);
    batch_options longRunning;
    longRunning.job = "watch";
    longRunning.tasks = 8;
    longRunning.runMs = 3'600'000;
    longRunning.failover = "proof";
    startWithBatch(system, longRunning);
    require(waitUntil([&] { return countTraced(system, "started", "watch") == 8; }, WaitLimit));
    batch_options batch;
    batch.tasks = 8;
    batch.runMs = 5000;
    system.putFolderFile("30-batch.json", makeBatchConfig(batch));
    require(waitForStarts(system, batch));
    section("the table is down for longer than the leases", [&] {
        setPlatformDown(system, true);
        std::this_thread::sleep_for(milliseconds(14'000));
        check(countTraced(system, "started", "watch") == 8);
        check(countTraced(system, "stopped", "watch") == 0);
        check(waitForEnds(system, batch));
    });
    section("the table comes back: the ends are recorded, nothing ran twice", [&] {
        setPlatformDown(system, false);
        check(waitUntil([&] { return countTasksByState(system, batch.job)["done"] == 8; },
                        WaitLimit));
        check(countTraced(system, "started", "watch") == 8);
        checkEachEndedOnce(system, batch);
    });
}

// Workers are full and more batch tasks wait when the table goes down. Each worker has a backlog
// whose placement is stored already: as tasks end, the owner starts backlog tasks without a write,
// where its ledger shows free capacity. Without a backlog nothing starts until the table is back.
Test(process_work, backlog_while_the_table_is_down)
{
    const auto batch = batchOf(60, 3000);
    const auto startsDuringOutage = [&](unsigned perWorker) {
        auto options = smallFleet();
        options.entrySettings["placement"]["backlog_per_worker"] = perWorker;
        fleet system(options);
        startWithBatch(system, batch);
        require(waitUntil([&] { return countBacklogTasks(system) == perWorker * options.workers; },
                          WaitLimit));
        setPlatformDown(system, true);
        std::this_thread::sleep_for(milliseconds(1000)); // earlier grants have started by now
        const auto before = countTraced(system, "started", batch.job);
        std::this_thread::sleep_for(milliseconds(9000));
        const auto started = countTraced(system, "started", batch.job) - before;
        setPlatformDown(system, false);
        check(waitUntil([&] { return countTasksByState(system, batch.job)["done"] == 60; },
                        WaitLimit));
        checkEachEndedOnce(system, batch);
        return started;
    };
    section("four for each worker: half of them or more start during the outage", [&] {
        const auto started = startsDuringOutage(4);
        cr_expect(started >= 8, "started %u", started);
    });
    section("no backlog: nothing starts during the outage", [&] {
        const auto started = startsDuringOutage(0);
        cr_expect(started == 0, "started %u", started);
    });
}

// Answers of the table and of the workers are lost after the calls took effect, while tasks are
// placed and started. Each write is resolved by reading back, each start by a listing; no task runs
// twice.
Test(process_work, lost_answers)
{
    fleet system(smallFleet());
    batch_options batch;
    batch.tasks = 40;
    batch.runMs = 500;
    system.startAll();
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    Json::Value fault(Json::objectValue);
    fault["lose_answers"] = 10;
    system.setFault(system.platformAddress(), fault);
    for (unsigned index = 0; index < 4; ++index)
        system.setFault(system.workerAddress(index), fault);
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    check(waitForEnds(system, batch));
    checkEachEndedOnce(system, batch);
}

// A job is removed from the folder while its tasks wait and run: running tasks are stopped, waiting
// ones never start.
Test(process_work, cancelled)
{
    const auto batch = batchOf(100, 3000);
    fleet system(smallFleet());
    startWithBatch(system, batch);
    system.removeFolderFile("20-batch.json");
    section("nothing starts once the job's tasks are cancelled", [&] {
        check(waitUntil(
                [&] {
                    const auto states = countTasksByState(system, batch.job);
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
