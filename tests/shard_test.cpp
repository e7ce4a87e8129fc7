// The owner's shard together with agents and workers: what one side decides has to hold on the
// other one too.
#include "shard_simulation.h"

#include "base/errors.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

config::job_spec batchJob(std::int64_t tasks, const resources &size)
{
    config::job_spec job;
    job.team = "rinks";
    job.pool = "shared";
    job.tasks = tasks;
    job.size = size;
    job.isCheckpointable = true;
    job.runTimeEstimate = milliseconds(3'600'000);
    return job;
}

std::string hostOf(const shard_world &world, const work::task_attempt &attempt)
{
    for (const auto &[id, host] : world.hosts) {
        if (host.worker->runs(attempt))
            return id;
    }
    return {};
}

// No worker above its size, in the owner's ledger, in the agent's, and in what the worker was told;
// the agent never counts less than was declared.
void checkNoExcess(const shard_world &world)
{
    for (const auto &[id, host] : world.hosts) {
        check(world.reservedByOwner(id).fitsIn(host.size));
        check(shard_world::countedByAgent(host).fitsIn(host.size));
        resources declared;
        for (const auto &task : host.worker->running())
            declared += work::declaredSize(task.spec);
        check(declared.fitsIn(host.size));
    }
}

} // namespace

// A batch task uses three times what it declared. The owner raises its reservation; were the agent
// to go on counting the declared size, its check before a start would let another task in beside
// it, and the worker would run out of memory.
Test(shard, raised_reservations_reach_the_agent)
{
    shard_world world(1);
    auto &host = world.hosts.at("w0");
    world.folder.jobs["season"] = batchJob(1, {1000, 10 * Gigabyte, 0});
    world.accept();
    world.pass(seconds(5));
    require(world.running("season").size() == 1);
    const auto attempt = world.running("season")[0].attempt;
    world.sampleUsage("w0", attempt.task, 30 * Gigabyte);
    const resources raised{1000, 36 * Gigabyte, 0};
    section("within two reports the agent counts what the owner counts", [&] {
        world.pass(seconds(4));
        check(world.reservedByOwner("w0") == raised);
        check(shard_world::countedByAgent(host) == raised);
    });
    section("a replaced agent is told again", [&] {
        host.startAgent();
        world.pass(seconds(5));
        check(shard_world::countedByAgent(host) == raised);
    });
    section("the next configuration takes no raise back", [&] {
        world.folder.jobs["other"] = batchJob(1, {1000, 10 * Gigabyte, 0});
        world.accept();
        world.pass(seconds(5));
        const resources both{2000, 46 * Gigabyte, 0};
        check(world.reservedByOwner("w0") == both);
        check(shard_world::countedByAgent(host) == world.reservedByOwner("w0"));
    });
    section("a start that does not fit beside it is refused by the agent alone", [&] {
        const resources next{0, 15 * Gigabyte, 0};
        check(!(host.keeper->occupiedByOthers({}) + next).fitsIn(host.size));
        check(host.kills == 0);
    });
}

// Sizes rise at random while grants are lost and agents are replaced. Neither ledger ever exceeds
// its worker; what no longer fits is checkpointed by the owner's policy, never killed by an agent.
Test(shard, random_raises_exceed_no_ledger)
{
    double evictions = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            shard_world world(3);
            world.random.seed(seed);
            world.lossPart = 0.3;
            world.folder.jobs["season"] = batchJob(30, {1000, 5 * Gigabyte, 0});
            world.accept();
            for (int step = 0; step < 60; ++step) {
                world.pass(milliseconds(600));
                checkNoExcess(world);
                const auto tasks = world.running("season");
                if (tasks.empty())
                    continue;
                const auto &task = tasks[pickIndex(world.random, tasks.size())].attempt;
                const auto bytes = static_cast<std::int64_t>(4 + pickIndex(world.random, 16));
                world.sampleUsage(hostOf(world, task), task.task, bytes * Gigabyte);
                if (pickIndex(world.random, 20) == 0)
                    world.hosts.at("w0").startAgent();
            }
            world.lossPart = 0;
            world.pass(seconds(12));
            for (const auto &[id, host] : world.hosts) {
                check(host.kills == 0);
                check(shard_world::countedByAgent(host) == world.reservedByOwner(id));
            }
            evictions += world.counters.value("evictions_total", "memory_pressure");
        });
    }
    check(evictions > 0);
}

// The owner dies. Agents tell the next one what runs before it has read the configuration; the
// tasks must all the same be known with their pool afterwards. Else none of them could ever be
// evicted, and the worker would run out of memory.
Test(shard, tasks_taken_over_can_be_evicted)
{
    shard_world world(1);
    world.folder.jobs["season"] = batchJob(5, {1000, 10 * Gigabyte, 0});
    world.accept();
    world.pass(seconds(5));
    require(world.running("season").size() == 5);
    const auto task = world.running("season")[0].attempt.task;
    world.takeOver();
    world.pass(seconds(5));
    world.accept();
    world.pass(seconds(5));
    check(world.running("season").size() == 5);
    world.sampleUsage("w0", task, 25 * Gigabyte);
    world.pass(seconds(5));
    check(world.counters.value("evictions_total", "memory_pressure") == 1);
    checkNoExcess(world);
    check(world.hosts.at("w0").kills == 0);
}

// A noisy batch task is throttled for the service beside it. The worker does not hear it, its agent
// is replaced, the owner dies. The next grant names every limit, so that the task is neither left
// at full speed nor throttled for the rest of its life by an owner that nobody remembers.
Test(shard, limits_reach_the_worker_and_are_lifted)
{
    shard_world world(1);
    auto &host = world.hosts.at("w0");
    auto &service = world.folder.services["tickets"];
    service.team = "rinks";
    service.pool = "shared";
    service.size = {4000, 8 * Gigabyte, 0};
    world.accept();
    const auto samples = [&](int count, double ofTarget) {
        for (int sample = 0; sample < count; ++sample) {
            world.pass(seconds(2));
            world.sampleLatency("w0", "tickets", ofTarget);
        }
    };
    samples(10, 0.5);
    world.folder.jobs["noisy"] = batchJob(1, {8000, 8 * Gigabyte, 0});
    world.accept();
    world.pass(seconds(2));
    require(world.running("noisy").size() == 1);
    const auto attempt = world.running("noisy")[0].attempt;
    world.lossPart = 0.7;
    host.limitsToLose = 2;
    samples(6, 1.5);
    world.lossPart = 0;
    world.pass(seconds(6));
    section("told again until the worker has heard it", [&] {
        check(world.counters.value("throttles_total", "interference") == 1);
        check(host.limits[attempt] == 4000);
    });
    section("a replaced agent tells it again", [&] {
        host.limits.clear();
        host.startAgent();
        world.pass(seconds(6));
        check(host.limits[attempt] == 4000);
    });
    section("no answers are no measurement: they lift nothing", [&] {
        samples(100, 0);
        check(world.counters.value("throttles_total", "lifted") == 0);
    });
    section("a new owner, which knows of no limit, lifts it", [&] {
        world.takeOver();
        world.pass(seconds(6));
        check(host.limits[attempt] == 0);
        check(host.worker->runs(attempt));
    });
}

// Processes are replaced one by one: an agent of the new version beside an owner of the old one
// reads grants without reservations, and the other way round reports without an acknowledgement.
Test(shard, messages_of_earlier_versions_are_read)
{
    work::worker_grant grant;
    grant.worker = "w";
    grant.session = "s";
    auto json = toJson(grant);
    check(!json.isMember("reservations") && !json.isMember("reservationsThrough"));
    check(work::workerGrantFromJson(json).reservations.empty());
    grant.reservations.push_back({{{"job", 3}, 2}, {1000, 2000, 1}});
    grant.newestReservation = 7;
    const auto read = work::workerGrantFromJson(toJson(grant));
    require(read.reservations.size() == 1);
    check(read.reservations[0].attempt == grant.reservations[0].attempt);
    check(read.reservations[0].reserved == grant.reservations[0].reserved);
    check(read.newestReservation == 7);
    work::agent_report report{"w", 1, "s", 1, 1, {}, 0};
    check(!toJson(report).isMember("reservationsTaken"));
    check(work::agentReportFromJson(toJson(report)).ackedReservation == 0);
    report.ackedReservation = 9;
    check(work::agentReportFromJson(toJson(report)).ackedReservation == 9);
}
