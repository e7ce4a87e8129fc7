// Evictions on real processes: urgent tasks take the capacity of batch tasks. The batch tasks are
// checkpointed, requeued and resumed later from their checkpoints, exactly once, even if a
// process dies or a message is lost meanwhile.
#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr int BatchTasks = 24; // together with the service they fill the four workers
constexpr int UrgentTasks = 4; // each as large as three batch tasks
constexpr int BatchRunMs = 5000;

batch_options batchJob()
{
    batch_options batch;
    batch.tasks = BatchTasks;
    batch.runMs = BatchRunMs;
    return batch;
}

batch_options urgentJob()
{
    batch_options urgent;
    urgent.job = "gate";
    urgent.tasks = UrgentTasks;
    urgent.runMs = 500;
    urgent.millicores = 6000;
    urgent.bytes = 8'000'000'000;
    urgent.priority = "urgent";
    return urgent;
}

// Starts a fleet and fills its workers with running batch tasks.
void startFullFleet(fleet &system)
{
    startAndWait(system);
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    system.putFolderFile("20-batch.json", makeBatchConfig(batchJob()));
    require(waitUntil([&] { return countTraced(system, "started", batchJob().job) == BatchTasks; },
                      WaitLimit));
}

// The urgent job gets a team of its own, because the batch has used up its team's quota.
void submitUrgentJob(fleet &system)
{
    auto folder = makeBatchConfig(urgentJob());
    auto &quota = folder["teams"]["gates"]["quota"];
    quota["millicores"] = 64'000;
    quota["bytes"] = Json::Int64(240'000'000'000);
    folder["jobs"][urgentJob().job]["team"] = "gates";
    system.putFolderFile("30-gate.json", folder);
}

// Starts a full fleet and an urgent job. Returns when the first batch task has been evicted for the
// urgent tasks and further evictions are in progress.
void startFleetAndWaitForEviction(fleet &system)
{
    startFullFleet(system);
    submitUrgentJob(system);
    require(waitUntil([&] { return countTraced(system, "evicted", batchJob().job) > 0; },
                      WaitLimit));
}

void checkAllTasksCompleted(fleet &system)
{
    const auto batch = batchJob().job;
    section("the urgent tasks ran, each once", [&] {
        check(waitUntil(
                [&] { return countTraced(system, "ended", urgentJob().job) == UrgentTasks; },
                WaitLimit));
        check(countTraced(system, "started", urgentJob().job) == UrgentTasks);
    });
    section("every batch task ended once", [&] {
        check(waitUntil([&] { return countTraced(system, "ended", batch) == BatchTasks; },
                        WaitLimit));
        check(waitUntil([&] { return countTasksByState(system, batch)["done"] == BatchTasks; },
                        WaitLimit));
        check(countTraced(system, "ended", batch) == BatchTasks);
    });
    section("each evicted task was resumed once, from its checkpoint; none restarted", [&] {
        check(countTraced(system, "evicted", batch) > 0);
        check(countTraced(system, "resumed", batch) == countTraced(system, "evicted", batch));
        check(countTraced(system, "started", batch) == BatchTasks);
        for (const auto &violation : checkFleetTrace(system, true))
            cr_expect(false, "%s: %s: %s", sectionName().c_str(),
                      std::string(nameOf(violation.kind)).c_str(), violation.detail.c_str());
    });
}

void setPlatformAndWorkerFault(fleet &system, const Json::Value &fault)
{
    system.setFault(system.platformAddress(), fault);
    for (unsigned index = 0; index < system.options().workers; ++index)
        system.setFault(system.workerAddress(index), fault);
}

} // namespace

// An urgent purchase job arrives while the workers are full. Batch tasks are checkpointed and
// requeued, the urgent tasks start in their place, and the batch resumes from its checkpoints.
Test(process_evict, urgent_tasks_take_the_capacity_of_batch_tasks)
{
    fleet system(smallFleet());
    startFullFleet(system);
    submitUrgentJob(system);
    checkAllTasksCompleted(system);
}

// An urgent job of a team whose batch has used up the team's quota: that batch's tasks are evicted.
Test(process_evict, urgent_tasks_of_a_team_at_its_quota)
{
    fleet system(smallFleet());
    startFullFleet(system);
    system.putFolderFile("30-gate.json", makeBatchConfig(urgentJob()));
    checkAllTasksCompleted(system);
}

// The shard's owner is killed when the first batch task has been evicted. The next owner reads from
// the table which tasks are evicted, being evicted, or pending: none is resumed twice or lost.
Test(process_evict, owner_killed_in_mid_eviction)
{
    fleet system(smallFleet());
    startFleetAndWaitForEviction(system);
    section("the owner is killed", [&] {
        for (unsigned entry = 0; entry < system.options().entries; ++entry) {
            const auto status = system.rpc(entry, "status", Json::objectValue);
            if (!status["scheduling"]["shards"].empty())
                system.entry(entry)->signal(SIGKILL);
        }
    });
    checkAllTasksCompleted(system);
}

// Every agent is killed when the first batch task has been evicted, and replaced. Checkpoints and
// ends that a worker recorded meanwhile are found in the worker's listing.
Test(process_evict, agents_killed_in_mid_eviction)
{
    fleet system(smallFleet());
    startFleetAndWaitForEviction(system);
    section("the agents are killed and replaced", [&] {
        for (unsigned index = 0; index < system.options().workers; ++index)
            system.agent(index)->signal(SIGKILL);
        for (unsigned index = 0; index < system.options().workers; ++index) {
            system.agent(index)->waitForExit(WaitLimit);
            system.startAgent(index);
        }
    });
    checkAllTasksCompleted(system);
}

// The next answers of the table and of every worker are lost after the calls took effect: an
// eviction request that arrived is sent again, a write that took effect is read back.
Test(process_evict, answers_lost_in_mid_eviction)
{
    fleet system(smallFleet());
    startFullFleet(system);
    Json::Value answerLoss(Json::objectValue);
    answerLoss["lose_answers"] = 10;
    setPlatformAndWorkerFault(system, answerLoss);
    submitUrgentJob(system);
    checkAllTasksCompleted(system);
}

// The table goes down when the first batch task has been evicted. Evicted tasks stay evicted and
// are resumed once the table is back.
Test(process_evict, table_down_in_mid_eviction)
{
    fleet system(smallFleet());
    startFleetAndWaitForEviction(system);
    Json::Value fault(Json::objectValue);
    section("the table is down while the eviction is written", [&] {
        fault["down"] = true;
        system.setFault(system.platformAddress(), fault);
        std::this_thread::sleep_for(milliseconds(4000));
        fault["down"] = false;
        system.setFault(system.platformAddress(), fault);
    });
    checkAllTasksCompleted(system);
}
