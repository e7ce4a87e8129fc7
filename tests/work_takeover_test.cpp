// How long tasks are stopped when an owner, a worker, both, or the platform fails, in virtual time.
// Prints the times as rows of a table.
#include <fmt/core.h>

#include "work_model.h"

#include "section.h"

namespace zinniabarrow::tests {

namespace {

const task_id LeaseTask{"hold", 0};  // class Lease
const task_id ProofTask{"watch", 0}; // class Proof

// Starts one service of each failover class on an otherwise empty pool.
void startServices(work_model &model)
{
    model.submit("hold", 1, failover_class::Lease, true, 0);
    model.submit("watch", 1, failover_class::Proof, true, 0);
    model.runFor(seconds(30));
    require(model.runs(LeaseTask) && model.runs(ProofTask));
}

std::string formatSeconds(milliseconds duration)
{
    return fmt::format("{:.1f} s", static_cast<double>(duration.count()) / 1'000);
}

struct recovery_times
{
    milliseconds ownerTakeover{0};    // until another entry owns the shard
    milliseconds leaseTaskRestart{0}; // until LeaseTask runs again, if it stopped
    int leaseTaskStarts = 0;
    int proofTaskStarts = 0;
};

// Injects a fault, and measures the recovery during `length`.
recovery_times measureRecovery(work_model &model, const std::function<void()> &inject,
                               milliseconds length)
{
    const int before = model.startCount(LeaseTask);
    const time_point start = model.now;
    inject();
    recovery_times result;
    bool hasOwner = false;
    bool hasStopped = false;
    while (model.now - start < length) {
        model.runFor(milliseconds(100));
        const auto elapsed = std::chrono::duration_cast<milliseconds>(model.now - start);
        if (!hasOwner && model.owner() != nullptr) {
            hasOwner = true;
            result.ownerTakeover = elapsed;
        }
        hasStopped = hasStopped || !model.runs(LeaseTask);
        if (hasStopped && result.leaseTaskRestart.count() == 0
            && model.startCount(LeaseTask) > before && model.runs(LeaseTask))
            result.leaseTaskRestart = elapsed;
    }
    check(hasOwner);
    result.leaseTaskStarts = model.startCount(LeaseTask);
    result.proofTaskStarts = model.startCount(ProofTask);
    const auto violations = model.violations();
    for (const auto &violation : violations)
        fmt::print(stderr, "{} {}\n", nameOf(violation.kind), violation.detail);
    check(violations.empty());
    return result;
}

void print(const std::string &scenario, const recovery_times &result)
{
    fmt::print(stderr, "| {} | {} | {} | {} | {} |\n", scenario,
               formatSeconds(result.ownerTakeover),
               result.leaseTaskStarts == 1 ? std::string("runs on")
                                           : formatSeconds(result.leaseTaskRestart),
               result.leaseTaskStarts, result.proofTaskStarts);
}

} // namespace

// A task of class Lease on a lost instance must soon run elsewhere, as callers wait for it; a task
// of class Proof must keep running whatever happens to the scheduler. Each section starts from the
// same state. The bounds are the sums of the waits that docs/design/OWNERSHIP.md requires.
Test(work_takeover, takeover_times)
{
    section("the owner dies: live agents attach to its successor, and no task stops", [] {
        work_model model(1);
        startServices(model);
        const auto result = measureRecovery(
                model, [&] { model.kill(*model.owner(), seconds(600)); }, seconds(200));
        print("owner dead", result);
        check(result.ownerTakeover <= seconds(12));
        check(result.leaseTaskStarts == 1 && result.proofTaskStarts == 1);
    });
    section("the owner shuts down as planned and hands over within a few seconds", [] {
        work_model model(1);
        startServices(model);
        const auto result = measureRecovery(
                model, [&] { model.release(*model.owner()); }, seconds(200));
        print("owner stops as planned", result);
        check(result.ownerTakeover <= seconds(5));
        check(result.leaseTaskStarts == 1 && result.proofTaskStarts == 1);
    });
    section("a worker and its agent fall silent: class Lease moves, class Proof waits", [] {
        work_model model(1);
        startServices(model);
        const std::string worker = model.workerRunning(LeaseTask);
        require(model.workerRunning(ProofTask) == worker);
        const auto result = measureRecovery(
                model, [&] { model.isolateWorker(worker); }, seconds(200));
        print("worker silent", result);
        check(result.leaseTaskRestart <= seconds(22));
        check(result.leaseTaskStarts == 2 && result.proofTaskStarts == 1);
    });
    section("owner and worker lost: the successor waits for the whole grant period", [] {
        work_model model(1);
        startServices(model);
        const std::string worker = model.workerRunning(LeaseTask);
        const auto result = measureRecovery(
                model,
                [&] {
                    model.isolateWorker(worker);
                    model.kill(*model.owner(), seconds(600));
                },
                seconds(200));
        print("owner dead and worker silent, grant period 60 s", result);
        check(result.leaseTaskRestart > seconds(60) && result.leaseTaskRestart <= seconds(90));
        check(result.leaseTaskStarts == 2 && result.proofTaskStarts == 1);
    });
    section("the owner dies after it declared the worker silent: no second wait", [] {
        work_model model(1);
        startServices(model);
        const std::string worker = model.workerRunning(LeaseTask);
        model.isolateWorker(worker);
        model.runFor(seconds(17));
        const auto result = measureRecovery(
                model, [&] { model.kill(*model.owner(), seconds(600)); }, seconds(200));
        print("worker silent, owner dead 17 s later", result);
        check(result.leaseTaskRestart <= seconds(22));
        check(result.proofTaskStarts == 1);
    });
}

// A worker is lost, but its agent lives and reports. If the owner took these reports as a sign that
// the worker lives, a task of class Lease would stay there until the worker came back, if ever. The
// agent must stop reporting for a worker that has not answered for the length of a task lease: by
// then the task has ended there, as nobody renews its lease. A task of class Proof still waits for
// the worker's next incarnation.
Test(work_takeover, a_worker_is_lost_and_its_agent_lives)
{
    work_model model(1);
    startServices(model);
    const std::string worker = model.workerRunning(LeaseTask);
    require(model.workerRunning(ProofTask) == worker);
    const auto result = measureRecovery(
            model, [&] { model.kill(model.workers.at(worker), seconds(150)); }, seconds(200));
    print("worker gone for 150 s, agent alive", result);
    check(result.leaseTaskRestart > seconds(0) && result.leaseTaskRestart <= seconds(50));
    check(result.leaseTaskStarts == 2 && result.proofTaskStarts == 2);
}

// A worker and its agent are lost, and the entries are replaced one after the other, as in a
// rollout. Each new owner knows only what the rows say. It must not start a new wait for the silent
// worker, or the tasks that ran there are stopped for that much longer: the rows say how long the
// previous owner has already waited.
Test(work_takeover, entries_are_replaced_while_a_worker_is_silent)
{
    const auto replaceOwner = [](work_model &model) {
        auto *owner = model.owner();
        if (owner == nullptr)
            return;
        model.release(*owner);
        model.runFor(seconds(1));
        model.kill(*owner, seconds(1));
    };
    section("the silent worker's task waits little longer than with a single owner", [&] {
        work_model model(1);
        startServices(model);
        const time_point start = model.now;
        model.isolateWorker(model.workerRunning(LeaseTask));
        milliseconds waitTime{0};
        const auto advance = [&](milliseconds length) {
            const auto hasMoved = [&] { return model.startCount(LeaseTask) == 2; };
            if (waitTime.count() > 0)
                return model.runFor(length);
            model.runUntilTrue(length, hasMoved);
            if (hasMoved())
                waitTime = std::chrono::duration_cast<milliseconds>(model.now - start);
        };
        for (int replaced = 0; replaced < 3; ++replaced) {
            advance(seconds(9));
            replaceOwner(model);
        }
        advance(seconds(60));
        fmt::print(stderr, "| worker silent, three owners replaced | {} |\n",
                   formatSeconds(waitTime));
        check(waitTime > seconds(0) && waitTime <= seconds(22));
        check(model.violations().empty());
    });
    section("no task runs twice with workers isolated and owners replaced at random", [&] {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            work_model model(seed);
            startServices(model);
            random_generator random(seed);
            for (int step = 0; step < 12; ++step) {
                const auto worker = fmt::format("w{}", drawIndex(random, 3));
                if (drawIndex(random, 2) == 0)
                    model.isolateWorker(worker);
                model.runFor(milliseconds(drawIndex(random, 20'000)));
                if (drawIndex(random, 2) == 0)
                    replaceOwner(model);
                model.runFor(milliseconds(drawIndex(random, 10'000)));
                for (auto &[name, agent] : model.agents)
                    agent.unreachablePeers.clear();
            }
            model.runFor(seconds(200));
            const auto violations = model.violations();
            for (const auto &violation : violations)
                fmt::print(stderr, "seed {}: {} {}\n", seed, nameOf(violation.kind),
                           violation.detail);
            check(violations.empty());
            check(model.startCount(ProofTask) == 1);
        }
    });
}

// The table is down for twice the grant period. During the grant period no task stops. Then the
// agents' leases lapse and tasks of class Lease end, but no task of class Proof is restarted.
Test(work_takeover, long_outage)
{
    section("within the grant period all tasks keep running", [] {
        work_model model(2);
        startServices(model);
        const auto result = measureRecovery(
                model, [&] { model.tableFault = table_fault::Down; }, seconds(50));
        print("platform down 50 s, grant period 60 s", result);
        check(result.leaseTaskStarts == 1 && result.proofTaskStarts == 1);
    });
    section("an outage of twice the grant period restarts no task of class Proof", [] {
        work_model model(2);
        startServices(model);
        model.tableFault = table_fault::Down;
        model.runFor(model.leaseSettings.grantPeriod * 2);
        model.tableFault = table_fault::None;
        const auto result = measureRecovery(
                model, [] {}, seconds(200));
        print("platform down 120 s, then up", result);
        check(result.proofTaskStarts == 1 && result.leaseTaskStarts == 2);
    });
    section("owner dead and platform down for twice the grant period", [] {
        work_model model(2);
        startServices(model);
        model.tableFault = table_fault::Down;
        model.kill(*model.owner(), seconds(600));
        model.runFor(model.leaseSettings.grantPeriod * 2);
        model.tableFault = table_fault::None;
        const auto result = measureRecovery(
                model, [] {}, seconds(200));
        print("owner dead, platform down 120 s, then up", result);
        check(result.proofTaskStarts == 1);
    });
}

// Batch work continues while the table is down: tasks of the backlog start as others end, and all
// ends are reported in order once the table is up again.
Test(work_takeover, backlog)
{
    work_model model(3, 1);
    model.submit("batch", 10, failover_class::Proof, false, 20);
    model.placeInBacklog = true;
    model.runFor(seconds(15));
    model.tableFault = table_fault::Down;
    model.runFor(seconds(40));
    const auto started = [&] {
        int tasks = 0;
        for (std::uint32_t index = 0; index < 10; ++index)
            tasks += model.startCount({"batch", index});
        return tasks;
    };
    check(started() == 10); // six at once, four from the backlog
    model.tableFault = table_fault::None;
    model.runFor(seconds(60));
    check(started() == 10);
    check(model.violations().empty());
}

} // namespace zinniabarrow::tests
