// The owner of a shard together with its agents and workers: what the owner decides must reach the
// agents, and both must count the same reservations.
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

std::string hostRunning(const shard_simulation &simulation, const work::task_attempt &attempt)
{
    for (const auto &[id, host] : simulation.hosts) {
        if (host.worker->runs(attempt))
            return id;
    }
    return {};
}

// Neither what the owner's ledger reserves on a worker, nor what the agent counts, nor the declared
// sizes of the running tasks exceed the worker's size.
void checkCapacities(const shard_simulation &simulation)
{
    for (const auto &[id, host] : simulation.hosts) {
        check(simulation.reservedByOwner(id).fitsIn(host.size));
        check(shard_simulation::countedByAgent(host).fitsIn(host.size));
        resources declared;
        for (const auto &task : host.worker->running())
            declared += work::declaredSize(task.spec);
        check(declared.fitsIn(host.size));
    }
}

} // namespace

// A batch task uses three times its declared size, and the owner raises its reservation. If the
// agent kept counting the declared size, its check before a start would admit another task, and the
// worker would run out of memory.
Test(shard, raised_reservations_reach_the_agent)
{
    shard_simulation simulation(1);
    auto &host = simulation.hosts.at("w0");
    simulation.currentConfiguration.jobs["season"] = batchJob(1, {1000, 10 * Gigabyte, 0});
    simulation.acceptConfiguration();
    simulation.advance(seconds(5));
    require(simulation.running("season").size() == 1);
    const auto attempt = simulation.running("season")[0].attempt;
    simulation.sampleUsage("w0", attempt.task, 30 * Gigabyte);
    const resources raised{1000, 36 * Gigabyte, 0};
    section("within two reports the agent counts what the owner counts", [&] {
        simulation.advance(seconds(4));
        check(simulation.reservedByOwner("w0") == raised);
        check(shard_simulation::countedByAgent(host) == raised);
    });
    section("a replaced agent receives the raise again", [&] {
        host.startAgent();
        simulation.advance(seconds(5));
        check(shard_simulation::countedByAgent(host) == raised);
    });
    section("the next configuration does not undo the raise", [&] {
        simulation.currentConfiguration.jobs["other"] = batchJob(1, {1000, 10 * Gigabyte, 0});
        simulation.acceptConfiguration();
        simulation.advance(seconds(5));
        const resources both{2000, 46 * Gigabyte, 0};
        check(simulation.reservedByOwner("w0") == both);
        check(shard_simulation::countedByAgent(host) == simulation.reservedByOwner("w0"));
    });
    section("a task that does not fit beside the raised reservation fails the agent's check", [&] {
        const resources next{0, 15 * Gigabyte, 0};
        check(!(host.supervisor->occupiedByOthers({}) + next).fitsIn(host.size));
        check(host.killedTasks == 0);
    });
}

// Sizes grow at random while grants are lost and agents are replaced. Neither ledger may exceed its
// worker's size; tasks that no longer fit are evicted with a checkpoint by the owner, never killed
// by an agent.
Test(shard, random_raises_never_exceed_a_worker)
{
    double evictions = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            shard_simulation simulation(3);
            simulation.random.seed(seed);
            simulation.grantLossRate = 0.3;
            simulation.currentConfiguration.jobs["season"] = batchJob(30, {1000, 5 * Gigabyte, 0});
            simulation.acceptConfiguration();
            for (int step = 0; step < 60; ++step) {
                simulation.advance(milliseconds(600));
                checkCapacities(simulation);
                const auto tasks = simulation.running("season");
                if (tasks.empty())
                    continue;
                const auto &task = tasks[drawIndex(simulation.random, tasks.size())].attempt;
                const auto gigabytes =
                        static_cast<std::int64_t>(4 + drawIndex(simulation.random, 16));
                simulation.sampleUsage(hostRunning(simulation, task), task.task,
                                       gigabytes * Gigabyte);
                if (drawIndex(simulation.random, 20) == 0)
                    simulation.hosts.at("w0").startAgent();
            }
            simulation.grantLossRate = 0;
            simulation.advance(seconds(12));
            for (const auto &[id, host] : simulation.hosts) {
                check(host.killedTasks == 0);
                check(shard_simulation::countedByAgent(host) == simulation.reservedByOwner(id));
            }
            evictions += simulation.counters.value("evictions_total", "memory_pressure");
        });
    }
    check(evictions > 0);
}

// The owner dies. Agents report running tasks to the next owner before it has read the
// configuration. The scheduler must still learn the pool of these tasks afterwards: otherwise none
// of them could ever be evicted, and the worker would run out of memory.
Test(shard, tasks_taken_over_can_be_evicted)
{
    shard_simulation simulation(1);
    simulation.currentConfiguration.jobs["season"] = batchJob(5, {1000, 10 * Gigabyte, 0});
    simulation.acceptConfiguration();
    simulation.advance(seconds(5));
    require(simulation.running("season").size() == 5);
    const auto task = simulation.running("season")[0].attempt.task;
    simulation.takeOver();
    simulation.advance(seconds(5));
    simulation.acceptConfiguration();
    simulation.advance(seconds(5));
    check(simulation.running("season").size() == 5);
    simulation.sampleUsage("w0", task, 25 * Gigabyte);
    simulation.advance(seconds(5));
    check(simulation.counters.value("evictions_total", "memory_pressure") == 1);
    checkCapacities(simulation);
    check(simulation.hosts.at("w0").killedTasks == 0);
}

// A batch task that interferes with the service beside it is throttled. Meanwhile calls to the
// worker are lost, its agent is replaced, or the owner dies. Each grant contains every limit, so
// the task neither runs on at full speed nor stays throttled forever by a limit that no owner
// knows.
Test(shard, limits_reach_the_worker_and_are_lifted)
{
    shard_simulation simulation(1);
    auto &host = simulation.hosts.at("w0");
    auto &service = simulation.currentConfiguration.services["tickets"];
    service.team = "rinks";
    service.pool = "shared";
    service.size = {4000, 8 * Gigabyte, 0};
    simulation.acceptConfiguration();
    const auto sampleLatencies = [&](int count, double targetRatio) {
        for (int sample = 0; sample < count; ++sample) {
            simulation.advance(seconds(2));
            simulation.sampleLatency("w0", "tickets", targetRatio);
        }
    };
    sampleLatencies(10, 0.5);
    simulation.currentConfiguration.jobs["noisy"] = batchJob(1, {8000, 8 * Gigabyte, 0});
    simulation.acceptConfiguration();
    simulation.advance(seconds(2));
    require(simulation.running("noisy").size() == 1);
    const auto attempt = simulation.running("noisy")[0].attempt;
    simulation.grantLossRate = 0.7;
    host.cpuLimitsToLose = 2;
    sampleLatencies(6, 1.5);
    simulation.grantLossRate = 0;
    simulation.advance(seconds(6));
    section("the limit is repeated until the worker has received it", [&] {
        check(simulation.counters.value("throttles_total", "interference") == 1);
        check(host.cpuLimits[attempt] == 4000);
    });
    section("a replaced agent sends it again", [&] {
        host.cpuLimits.clear();
        host.startAgent();
        simulation.advance(seconds(6));
        check(host.cpuLimits[attempt] == 4000);
    });
    section("a service without answers does not lift the limit", [&] {
        sampleLatencies(100, 0);
        check(simulation.counters.value("throttles_total", "lifted") == 0);
    });
    section("a new owner, which does not know the limit, lifts it", [&] {
        simulation.takeOver();
        simulation.advance(seconds(6));
        check(host.cpuLimits[attempt] == 0);
        check(host.worker->runs(attempt));
    });
}

// Processes are upgraded one by one: an agent of the new version reads grants of an old owner,
// without reservations, and a new owner reads reports of an old agent, without an acknowledgement.
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
