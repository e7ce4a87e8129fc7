#include <fmt/core.h>

#include "work_model.h"

#include "section.h"

namespace zinniabarrow::tests {

namespace {

constexpr milliseconds FaultDuration = seconds(100); // longer than any lease of the simulation
const task_id ProofService{"watch", 1};              // class Proof, never evicted

struct fault
{
    std::string name;
    std::function<void(work_model &, const std::string &worker)> inject;
    // True if the worker's instance restarts, which proves that the service on it has ended.
    bool mayRestartProofService = false;
};

model_entry &ownerOf(work_model &model)
{
    model_entry *owner = model.owner();
    return owner != nullptr ? *owner : model.entries.at("entry-a");
}

std::vector<fault> allFaults()
{
    const auto table = [](table_fault kind) {
        return [kind](work_model &model, const std::string &) { model.tableFault = kind; };
    };
    const auto network = [](network_fault kind) {
        return [kind](work_model &model, const std::string &) { model.networkFault = kind; };
    };
    return {
            {"table down", table(table_fault::Down)},
            {"table slow", table(table_fault::Slow)},
            {"answers lost after the effect", table(table_fault::AnswerLost)},
            {"messages duplicated", network(network_fault::Duplicated)},
            {"messages reordered", network(network_fault::Reordered)},
            {"messages dropped", network(network_fault::Dropped)},
            {"worker killed",
             [](work_model &model, const std::string &worker) {
                 model.kill(model.workers.at(worker), seconds(30));
             },
             true},
            {"agent killed",
             [](work_model &model, const std::string &worker) {
                 model.kill(model.agents.at("agent-" + worker), seconds(5));
             }},
            {"entry killed",
             [](work_model &model, const std::string &) {
                 model.kill(ownerOf(model), FaultDuration);
             }},
            {"worker frozen",
             [](work_model &model, const std::string &worker) {
                 model.freeze(model.workers.at(worker), FaultDuration);
             }},
            {"agent frozen",
             [](work_model &model, const std::string &worker) {
                 model.freeze(model.agents.at("agent-" + worker), FaultDuration);
             }},
            {"agent frozen while a second one runs",
             [](work_model &model, const std::string &worker) {
                 model.startSecondAgent(worker, FaultDuration);
             }},
            {"entry frozen",
             [](work_model &model, const std::string &) {
                 model.freeze(ownerOf(model), FaultDuration);
             }},
            {"agent cut off from the owner",
             [](work_model &model, const std::string &worker) {
                 model.agents.at("agent-" + worker).unreachablePeers.insert(ownerOf(model).name);
             }},
            {"owner cut off from the table",
             [](work_model &model, const std::string &) {
                 ownerOf(model).unreachablePeers.insert("");
             }},
            {"entry killed and table down",
             [](work_model &model, const std::string &) {
                 model.kill(ownerOf(model), FaultDuration);
                 model.tableFault = table_fault::Down;
             }},
            {"entry and worker killed",
             [](work_model &model, const std::string &worker) {
                 model.kill(ownerOf(model), FaultDuration);
                 model.kill(model.workers.at(worker), seconds(30));
             },
             true},
    };
}

void clearFaults(work_model &model)
{
    model.tableFault = table_fault::None;
    model.networkFault = network_fault::None;
    for (auto &[name, entry] : model.entries)
        entry.unreachablePeers.clear();
    for (auto &[name, agent] : model.agents)
        agent.unreachablePeers.clear();
}

void submitAll(work_model &model)
{
    model.submit("hold", 2, failover_class::Lease, true, 0);
    model.submit("watch", 2, failover_class::Proof, true, 0);
    model.submit("batch", 4, failover_class::Lease, false, 8);
    model.submit("match", 2, failover_class::Proof, false, 20);
    model.submit("season", 4, failover_class::Lease, false, 900);
    model.submit("census", 2, failover_class::Proof, false, 900);
}

void checkNoViolations(work_model &model)
{
    const auto violations = model.violations();
    for (const auto &violation : violations)
        fmt::print(stderr, "{}: line {}: {} {}\n", sectionName(), violation.line,
                   nameOf(violation.kind), violation.detail);
    check(violations.empty());
}

// One run with all jobs, three evictions and two cancellations. The fault is injected `offset`
// after the first occurrence of `step`, cleared after FaultDuration, and all tasks get time to
// finish.
void runScenario(const std::string &step, const fault &fault, milliseconds offset)
{
    work_model model(7);
    std::string targetWorker;
    time_point injectAt = Never;
    model.onStep = [&](const std::string &name, const std::string &worker) {
        if (name != step || injectAt != Never)
            return;
        injectAt = model.now + offset;
        targetWorker = worker;
        if (offset.count() == 0)
            fault.inject(model, worker);
    };
    submitAll(model);
    const auto advance = [&](milliseconds length) {
        const time_point end = model.now + length;
        while (model.now < end) {
            const bool isDue = offset.count() > 0 && injectAt != Never && model.now >= injectAt;
            if (isDue && model.now - injectAt < milliseconds(100))
                fault.inject(model, targetWorker);
            if (injectAt != Never && model.now >= injectAt + FaultDuration)
                clearFaults(model);
            model.runFor(milliseconds(100));
        }
    };
    advance(seconds(12));
    for (const auto &task : {task_id{"watch", 0}, task_id{"hold", 0}, task_id{"match", 0}})
        model.evict(task);
    advance(seconds(15));
    model.cancel("season");
    model.cancel("census");
    advance(seconds(350));

    require(injectAt != Never);
    checkNoViolations(model);
    if (!fault.mayRestartProofService)
        check(model.startCount(ProofService) == 1);
}

// Injects random faults on random workers, at random times and for random lengths, several at once.
void runRandomFaults(std::uint64_t seed)
{
    random_generator random(seed);
    work_model model(seed);
    submitAll(model);
    const auto faults = allFaults();
    const std::vector<std::string> tasks = {"watch", "hold", "match"};
    for (int round = 0; round < 20; ++round) {
        model.runFor(milliseconds(drawIndex(random, 20'000)));
        const std::string worker = "w" + std::to_string(drawIndex(random, 3));
        const auto &chosen = faults[drawIndex(random, faults.size())];
        chosen.inject(model, worker);
        model.evict({tasks[drawIndex(random, tasks.size())], 0});
        if (round == 10)
            model.cancel("season");
        if (round == 15)
            model.cancel("census");
        if (drawIndex(random, 3) == 0)
            clearFaults(model);
    }
    clearFaults(model);
    model.runFor(seconds(400));
    checkNoViolations(model);
}

// Injects each fault at the step itself, when the decision may not have been sent yet, and at
// several times after it, when writes and messages of the step are in flight.
void injectAtEachOffset(const std::string &step)
{
    for (const auto &fault : allFaults()) {
        for (const int offset : {0, 100, 200, 300, 500, 1'000, 2'000}) {
            section(step + " > " + fault.name + " > " + std::to_string(offset) + " ms",
                    [&] { runScenario(step, fault, milliseconds(offset)); });
        }
    }
}

} // namespace

// Whatever fails, each task must run on one worker at a time, resume from its checkpoint and end
// once. Each test injects every fault in turn at one step of a task's execution. The fault lasts
// longer than any lease, so decisions from before it meet decisions from after it.
Test(work_faults, place)
{
    injectAtEachOffset("place");
}
Test(work_faults, run)
{
    injectAtEachOffset("run");
}
Test(work_faults, evict)
{
    injectAtEachOffset("evict");
}
Test(work_faults, resume)
{
    injectAtEachOffset("resume");
}
Test(work_faults, cancel)
{
    injectAtEachOffset("cancel");
}

// Several faults at once, at random times. Seeds that have revealed a fault of the code are kept:
// with 112, a start request was delivered to the next incarnation of its worker and executed.
Test(work_faults, random_faults)
{
    constexpr std::uint64_t Seeds = 80;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
        section("seed " + std::to_string(seed), [&] { runRandomFaults(seed); });
    section("seed 112", [] { runRandomFaults(112); });
}

} // namespace zinniabarrow::tests
