// At most once, whole: every step of a keyed request against every fault, with an upstream that
// counts its executions.
#include <fmt/core.h>

#include "delivery_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::delivery_world;
using tests::fault;
using tests::section;

namespace {

// One order: the first try, and repeats through both entries, also long after everything is over.
void sendOrder(delivery_world &world, const std::string &method, const std::string &key)
{
    world.settings.claims.sweepGap = milliseconds(1000); // sweeps are steps too
    const std::vector<std::pair<std::string, int>> tries{
            {"e1", 0}, {"e2", 20}, {"e1", 300}, {"e2", 1500}, {"e1", 9000}, {"e2", 50'000}};
    for (std::size_t i = 0; i < tries.size(); ++i)
        world.send(fmt::format("{}/r{}", tries[i].first, i), tries[i].first,
                   milliseconds(100 + tries[i].second), method, key);
}

// What must hold after every run, whatever happened in it.
void checkPromises(delivery_world &world, const std::string &what, bool mayRepeat)
{
    for (const auto &[order, count] : world.runsOf)
        cr_expect(mayRepeat || count <= 1, "%s: %s ran %d times", what.c_str(), order.c_str(),
                  count);
    cr_expect(world.overlapping.empty(), "%s: two attempts at once", what.c_str());
    for (const auto &[id, refusals] : world.refusals) {
        for (const auto &refusal : refusals) {
            const bool truth = refusal.ran != executed::No || world.runs[id] == 0;
            cr_expect(truth, "%s: %s ran, its answer says that it did not", what.c_str(),
                      id.c_str());
        }
    }
    for (const auto &[id, entry] : world.entryOf) {
        const auto count = world.answers[id].size();
        cr_expect(count == 1 || (count == 0 && world.dead.contains(entry)),
                  "%s: %s got %zu answers", what.c_str(), id.c_str(), count);
    }
}

// A fault that proves nothing ran must not leave the order behind: some later repeat runs it.
void checkProgress(delivery_world &world, const std::string &what, fault single)
{
    using enum fault;
    for (const auto *entry : {"e1", "e2"}) {
        const auto open = world.dead.contains(entry) ? 0 : world.flow(entry).openClaims();
        cr_expect(open == 0, "%s: %s keeps %zu claims open", what.c_str(), entry, open);
    }
    const bool uncertain = single == EntryDies || single == AgentDies || single == AnswerLost;
    cr_expect(uncertain || world.runsOf["k"] == 1, "%s: never ran", what.c_str());
}

void runFaults(const std::string &method, const std::string &key,
               const std::map<int, fault> &faults, const std::string &what, bool streaming = false)
{
    delivery_world world;
    world.streaming = streaming;
    world.faults = faults;
    if (key.empty())
        world.send("e1/r0", "e1", milliseconds(100), method, key);
    else
        sendOrder(world, method, key);
    world.runUntil(milliseconds(60'000));
    checkPromises(world, what, isIdempotent(method));
    if (faults.size() == 1 && key == "k" && !isIdempotent(method))
        checkProgress(world, what, faults.begin()->second);
}

int stepsOf(const std::string &method, bool streaming = false)
{
    delivery_world world;
    world.streaming = streaming;
    sendOrder(world, method, "k");
    world.runUntil(milliseconds(2500));
    return world.step;
}

} // namespace

Test(at_most_once, without_faults)
{
    section("one order, repeated six times through two entries", [] {
        delivery_world world;
        sendOrder(world, "POST", "k");
        world.runUntil(milliseconds(60'000));
        section("runs once and is answered whole", [&] {
            check(world.runsOf["k"] == 1);
            check(world.answers["e1/r0"] == std::vector<std::string>{"passed"});
        });
        section("a repeat in between learns that it is in progress",
                [&] { check(world.answers["e2/r1"].front() == "key_in_progress"); });
        section("later repeats get the first answer, at either entry", [&] {
            for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
                check(world.answers[id].front() == "replayed");
        });
    });
}

// Entry e1 dies while the upstream runs the order. Nobody is left to record the end, so repeats at
// e2 must not be told for ever that the order is in progress.
Test(at_most_once, entry_dies_while_it_runs)
{
    for (const bool known : {false, true}) {
        delivery_world world;
        world.send("e1/1", "e1", milliseconds(100), "POST", "k");
        world.runUntil(milliseconds(120));
        check(world.runsOf["k"] == 1);
        if (known)
            world.dead.insert("e1");
        world.send("e2/2", "e2", milliseconds(121), "POST", "k");
        world.runUntil(milliseconds(1000));
        check(world.answers["e2/2"].front() == (known ? "outcome_unknown" : "key_in_progress"));
    }
}

// The caller sees one truthful answer to each try. Any step (arrival, claim, its answer, choice,
// forward, start, answer, record of the end) is hit by any fault: a dying or frozen entry, replaced
// agents, lost, doubled and late messages, a table that is down, hangs, or applies a write late.
// The claim in the table, the read-back and the agents' memory each stop another way to run twice.
Test(at_most_once, every_step_and_fault)
{
    const auto steps = stepsOf("POST");
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

// The same with three faults in one run, drawn from a seeded generator: failures come together.
Test(at_most_once, faults_together)
{
    const auto steps = stepsOf("POST");
    for (std::uint32_t seed = 1; seed <= 1500; ++seed) {
        random_generator random(seed);
        std::map<int, fault> faults;
        for (int i = 0; i < 3; ++i) {
            const auto kind = 1 + pickIndex(random, static_cast<std::size_t>(fault::Last) - 1);
            faults[1 + static_cast<int>(pickIndex(random, steps))] = static_cast<fault>(kind);
        }
        runFaults("POST", "k", faults, fmt::format("seed {}", seed));
    }
}

// The order's answer is large: the caller has its first part before the body has ended, and then
// any message is hit by any fault. No repeat runs the order again; while the body is under way the
// key is in progress, after it the repeat learns that the order ran, or that nobody knows.
Test(at_most_once, streamed_answers)
{
    section("without faults", [] {
        delivery_world world;
        world.streaming = true;
        sendOrder(world, "POST", "k");
        world.runUntil(milliseconds(60'000));
        check(world.runsOf["k"] == 1);
        check(world.answers["e1/r0"] == std::vector<std::string>{"passed"});
        check(world.answers["e2/r1"].front() == "key_in_progress");
        for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
            check(world.answers[id].front() == "already_executed");
    });
    section("cut midway: nobody knows, at either entry", [] {
        delivery_world world;
        world.streaming = true;
        world.refusing.clear();
        world.cutting = {"a1"};
        sendOrder(world, "POST", "k");
        world.runUntil(milliseconds(60'000));
        check(world.runsOf["k"] == 1);
        check(world.answers["e1/r0"] == std::vector<std::string>{"passed"});
        for (const auto *id : {"e1/r2", "e2/r3", "e1/r4", "e2/r5"})
            check(world.answers[id].front() == "outcome_unknown");
    });
    section("every step and fault", [] {
        const auto steps = stepsOf("POST", true);
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
