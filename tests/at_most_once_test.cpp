// At-most-once execution: every step of a request with an idempotency key is combined with every
// fault, and the simulated upstream counts its executions.
#include <fmt/core.h>

#include "delivery_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::delivery_simulation;
using tests::fault;
using tests::section;

namespace {

// Sends an order: its first request, and repeats through both entries, some long after its end.
void sendOrder(delivery_simulation &simulation, const std::string &method, const std::string &key)
{
    simulation.settings.claims.sweepInterval = milliseconds(1000); // sweeps are steps too
    const std::vector<std::pair<std::string, int>> requests{
            {"e1", 0}, {"e2", 20}, {"e1", 300}, {"e2", 1500}, {"e1", 9000}, {"e2", 50'000}};
    for (std::size_t i = 0; i < requests.size(); ++i)
        simulation.send(fmt::format("{}/r{}", requests[i].first, i), requests[i].first,
                        milliseconds(100 + requests[i].second), method, key);
}

// Checks what must hold after every simulation, whatever faults it had.
void checkGuarantees(delivery_simulation &simulation, const std::string &description,
                     bool mayRunTwice)
{
    for (const auto &[order, count] : simulation.runsByOrder)
        cr_expect(mayRunTwice || count <= 1, "%s: %s ran %d times", description.c_str(),
                  order.c_str(), count);
    cr_expect(simulation.overlappingRequests.empty(), "%s: two attempts at once",
              description.c_str());
    for (const auto &[id, refusals] : simulation.refusals) {
        for (const auto &refusal : refusals) {
            const bool isTruthful =
                    refusal.executionState != executed::No || simulation.runs[id] == 0;
            cr_expect(isTruthful, "%s: %s ran, but its answer says that it did not",
                      description.c_str(), id.c_str());
        }
    }
    for (const auto &[id, entry] : simulation.entryOf) {
        const auto count = simulation.answers[id].size();
        cr_expect(count == 1 || (count == 0 && simulation.deadEntries.contains(entry)),
                  "%s: %s got %zu answers", description.c_str(), id.c_str(), count);
    }
}

// After a fault that proves that nothing ran, a later repeat must run the order.
void checkProgress(delivery_simulation &simulation, const std::string &description, fault onlyFault)
{
    using enum fault;
    for (const auto *entry : {"e1", "e2"}) {
        const auto open =
                simulation.deadEntries.contains(entry) ? 0 : simulation.flow(entry).openClaims();
        cr_expect(open == 0, "%s: %s keeps %zu claims open", description.c_str(), entry, open);
    }
    const bool isOutcomeUncertain =
            onlyFault == EntryDies || onlyFault == AgentsDie || onlyFault == AnswerLost;
    cr_expect(isOutcomeUncertain || simulation.runsByOrder["k"] == 1, "%s: the order never ran",
              description.c_str());
}

void runFaults(const std::string &method, const std::string &key,
               const std::map<int, fault> &faults, const std::string &description,
               bool streaming = false)
{
    delivery_simulation simulation;
    simulation.hasLargeAnswers = streaming;
    simulation.faults = faults;
    if (key.empty())
        simulation.send("e1/r0", "e1", milliseconds(100), method, key);
    else
        sendOrder(simulation, method, key);
    simulation.runUntil(milliseconds(60'000));
    checkGuarantees(simulation, description, isIdempotent(method));
    if (faults.size() == 1 && key == "k" && !isIdempotent(method))
        checkProgress(simulation, description, faults.begin()->second);
}

int countSteps(const std::string &method, bool streaming = false)
{
    delivery_simulation simulation;
    simulation.hasLargeAnswers = streaming;
    sendOrder(simulation, method, "k");
    simulation.runUntil(milliseconds(2500));
    return simulation.step;
}

} // namespace

Test(at_most_once, without_faults)
{
    section("one order, repeated six times through two entries", [] {
        delivery_simulation simulation;
        sendOrder(simulation, "POST", "k");
        simulation.runUntil(milliseconds(60'000));
        section("the order runs once and its answer is passed on", [&] {
            check(simulation.runsByOrder["k"] == 1);
            check(simulation.answers["e1/r0"] == std::vector<std::string>{"passed"});
        });
        section("a repeat during the execution is refused as in progress",
                [&] { check(simulation.answers["e2/r1"].front() == "key_in_progress"); });
        section("later repeats get the first answer through either entry", [&] {
            for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
                check(simulation.answers[id].front() == "replayed");
        });
    });
}

// Entry e1 dies while the upstream executes the order, so the end is never recorded. Repeats
// through e2 must not be refused as in progress for ever.
Test(at_most_once, entry_dies_during_execution)
{
    for (const bool isKnownDead : {false, true}) {
        delivery_simulation simulation;
        simulation.send("e1/1", "e1", milliseconds(100), "POST", "k");
        simulation.runUntil(milliseconds(120));
        check(simulation.runsByOrder["k"] == 1);
        if (isKnownDead)
            simulation.deadEntries.insert("e1");
        simulation.send("e2/2", "e2", milliseconds(121), "POST", "k");
        simulation.runUntil(milliseconds(1000));
        check(simulation.answers["e2/2"].front()
              == (isKnownDead ? "outcome_unknown" : "key_in_progress"));
    }
}

// Each request gets exactly one answer, which must be true, or none if its entry dies. Every step
// (arrival, claim, its result, choice, forward, start, answer, record of the end) is combined with
// every fault: a dying or frozen entry, replaced agents, lost, duplicate and late messages, a table
// that is unavailable, does not respond, or applies a write late. The claim in the table, the read
// after a commit without a result and the agents' records of attempts each prevent another way of
// running twice.
Test(at_most_once, every_step_and_fault)
{
    const auto steps = countSteps("POST");
    check(steps > 40);
    for (const std::string method : {"POST", "PUT"}) {
        for (const std::string key : {"k", ""}) {
            for (int step = 1; step <= steps; ++step) {
                for (int kind = 1; kind < static_cast<int>(fault::Last); ++kind) {
                    runFaults(method, key, {{step, static_cast<fault>(kind)}},
                              fmt::format("{} key '{}' step {} fault {}", method, key, step, kind));
                }
            }
        }
    }
}

// The same with three simultaneous faults in each run, drawn from a seeded generator.
Test(at_most_once, simultaneous_faults)
{
    const auto steps = countSteps("POST");
    for (std::uint32_t seed = 1; seed <= 1500; ++seed) {
        random_generator random(seed);
        std::map<int, fault> faults;
        for (int i = 0; i < 3; ++i) {
            const auto kind = 1 + drawIndex(random, static_cast<std::size_t>(fault::Last) - 1);
            faults[1 + static_cast<int>(drawIndex(random, steps))] = static_cast<fault>(kind);
        }
        runFaults("POST", "k", faults, fmt::format("seed {}", seed));
    }
}

// The answer is large: the caller gets its first part before the body has ended, and every message
// is combined with every fault. No repeat executes the order again. While the body is being sent a
// repeat is refused as in progress, afterwards as already executed or with an unknown outcome.
Test(at_most_once, streamed_answers)
{
    section("without faults", [] {
        delivery_simulation simulation;
        simulation.hasLargeAnswers = true;
        sendOrder(simulation, "POST", "k");
        simulation.runUntil(milliseconds(60'000));
        check(simulation.runsByOrder["k"] == 1);
        check(simulation.answers["e1/r0"] == std::vector<std::string>{"passed"});
        check(simulation.answers["e2/r1"].front() == "key_in_progress");
        for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
            check(simulation.answers[id].front() == "already_executed");
    });
    section("if the connection breaks, the outcome is unknown through either entry", [] {
        delivery_simulation simulation;
        simulation.hasLargeAnswers = true;
        simulation.refusingAgents.clear();
        simulation.disconnectingAgents = {"a1"};
        sendOrder(simulation, "POST", "k");
        simulation.runUntil(milliseconds(60'000));
        check(simulation.runsByOrder["k"] == 1);
        check(simulation.answers["e1/r0"] == std::vector<std::string>{"passed"});
        for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
            check(simulation.answers[id].front() == "outcome_unknown");
    });
    section("every step and fault", [] {
        const auto steps = countSteps("POST", true);
        check(steps > 40);
        for (const std::string method : {"POST", "PUT"}) {
            for (int step = 1; step <= steps; ++step) {
                for (int kind = 1; kind < static_cast<int>(fault::Last); ++kind) {
                    runFaults(method, "k", {{step, static_cast<fault>(kind)}},
                              fmt::format("{} step {} fault {}", method, step, kind), true);
                }
            }
        }
    });
}
