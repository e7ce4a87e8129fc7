// How long tasks stand still when an owner, a worker, both, or the platform fails. Virtual time.
#include <fmt/core.h>

#include "work_model.h"

#include "section.h"

namespace zinniabarrow::tests {

namespace {

const task_id LeaseTask{"hold", 0};  // class Lease
const task_id ProofTask{"watch", 0}; // class Proof

// One service of each class, running, on an otherwise empty pool.
void startServices(work_model &model)
{
    model.submit("hold", 1, failover_class::Lease, true, 0);
    model.submit("watch", 1, failover_class::Proof, true, 0);
    model.runFor(seconds(30));
    require(model.runs(LeaseTask) && model.runs(ProofTask));
}

std::string formatSeconds(milliseconds time)
{
    return fmt::format("{:.1f} s", static_cast<double>(time.count()) / 1'000);
}

struct recovery_times
{
    milliseconds ownerTakeover{0};    // until another entry decides
    milliseconds leaseTaskRestart{0}; // until the Lease task runs again, if it stopped
    int leaseTaskStarts = 0;
    int proofTaskStarts = 0;
};

// Strikes, and measures until both have recovered, at most `length`.
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
        const auto passed = std::chrono::duration_cast<milliseconds>(model.now - start);
        if (!hasOwner && model.owner() != nullptr) {
            hasOwner = true;
            result.ownerTakeover = passed;
        }
        hasStopped = hasStopped || !model.runs(LeaseTask);
        if (hasStopped && result.leaseTaskRestart.count() == 0
            && model.startCount(LeaseTask) > before && model.runs(LeaseTask))
            result.leaseTaskRestart = passed;
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

// A parent whose seat hold runs on a lost instance waits until it runs elsewhere; a lease watcher
// must run on whatever happens to the scheduler. Each case starts from the same state; bounds are
// the waits that the rule of docs/design/OWNERSHIP.md adds up to.
Test(work_takeover, table_of_times)
{
    section("the owner dies: live agents re-attach, and nothing stops", [] {
        work_model model(1);
        startServices(model);
        const auto result = measureRecovery(
                model, [&] { model.kill(*model.owner(), seconds(600)); }, seconds(200));
        print("owner dead", result);
        check(result.ownerTakeover <= seconds(12));
        check(result.leaseTaskStarts == 1 && result.proofTaskStarts == 1);
    });
    section("a planned stop of the owner hands over within a few seconds", [] {
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
    section("both: the successor waits out the horizon for the silent worker", [] {
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
        print("owner dead and worker silent, horizon 60 s", result);
        check(result.leaseTaskRestart > seconds(60) && result.leaseTaskRestart <= seconds(90));
        check(result.leaseTaskStarts == 2 && result.proofTaskStarts == 1);
    });
    section("both, but the owner had written the silence down: no second wait", [] {
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

// A seat hold ran on a worker that is gone; the agent of that worker lives and reports. The owner
// took each report for a sign of the worker, and left the hold there until the worker came back, if
// ever. The agent must fall silent for a worker that it has not heard for as long as a task's
// lease: by then the hold has ended there, as nobody renews it. The watcher waits for the next life
// all the same.
Test(work_takeover, a_worker_is_gone_and_its_agent_lives)
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

// A worker and its agent are gone, and the entries are replaced one after the other, as at a
// release: each new owner knows no more than the rows tell it. A parent whose seat hold ran on that
// worker must not wait anew with each of them: what the one before had waited for already is known
// to it.
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
    section("its task waits little longer than with one owner", [&] {
        work_model model(1);
        startServices(model);
        const time_point start = model.now;
        model.isolateWorker(model.workerRunning(LeaseTask));
        milliseconds waited{0};
        const auto advance = [&](milliseconds length) {
            const auto hasMoved = [&] { return model.startCount(LeaseTask) == 2; };
            if (waited.count() > 0)
                return model.runFor(length);
            model.runUntilTrue(length, hasMoved);
            if (hasMoved())
                waited = std::chrono::duration_cast<milliseconds>(model.now - start);
        };
        for (int replaced = 0; replaced < 3; ++replaced) {
            advance(seconds(9));
            replaceOwner(model);
        }
        advance(seconds(60));
        fmt::print(stderr, "| worker silent, three owners replaced | {} |\n",
                   formatSeconds(waited));
        check(waited > seconds(0) && waited <= seconds(22));
        check(model.violations().empty());
    });
    section("nothing runs twice, whoever was heard last by whom", [&] {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            work_model model(seed);
            startServices(model);
            random_generator random(seed);
            for (int step = 0; step < 12; ++step) {
                const auto worker = fmt::format("w{}", pickIndex(random, 3));
                if (pickIndex(random, 2) == 0)
                    model.isolateWorker(worker);
                model.runFor(milliseconds(pickIndex(random, 20'000)));
                if (pickIndex(random, 2) == 0)
                    replaceOwner(model);
                model.runFor(milliseconds(pickIndex(random, 10'000)));
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

// The table is down for twice the longest lease. While the horizon lasts nothing stops at all; then
// the agents' leases lapse and tasks of class Lease end, but no task of class Proof is restarted.
Test(work_takeover, long_outage)
{
    section("within the horizon everything runs on", [] {
        work_model model(2);
        startServices(model);
        const auto result = measureRecovery(
                model, [&] { model.tableFault = table_fault::Down; }, seconds(50));
        print("platform down 50 s, horizon 60 s", result);
        check(result.leaseTaskStarts == 1 && result.proofTaskStarts == 1);
    });
    section("twice the horizon restarts no task of class Proof", [] {
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
    section("owner dead and platform down throughout", [] {
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

// Batch work goes on while the table is down: tasks placed ahead start as others end, and what has
// ended is reported in order once the table is back.
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
    check(started() == 10); // six at once, four of the backlog
    model.tableFault = table_fault::None;
    model.runFor(seconds(60));
    check(started() == 10);
    check(model.violations().empty());
}

} // namespace zinniabarrow::tests
