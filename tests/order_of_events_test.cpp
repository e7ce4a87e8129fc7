// Guards against a task that starts again after it is done, or runs twice at once. Each test
// replays a hand-written sequence of ends, stops, orders and faults that could cause it.
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "cluster_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

const std::string Job = "j";
const task_id Task{Job, 0, 0, 0};
constexpr milliseconds StartupTime{1500};
constexpr milliseconds ObservationTime{15'000}; // longer than any message is delayed

step_spec smallStep(int count)
{
    step_spec step;
    step.count = count;
    step.size = {500, 100, 0};
    step.estimateMs = 600;
    return step;
}

// A job that ends with its first task.
job_spec oneTask()
{
    job_spec spec;
    spec.payload = "hold seat 7";
    spec.steps = {smallStep(1)};
    return spec;
}

// A job that continues after its first task is done.
job_spec twoSteps()
{
    auto spec = oneTask();
    auto second = smallStep(1);
    second.after = {0};
    spec.steps.push_back(second);
    return spec;
}

job_spec gangOfTwo()
{
    auto spec = oneTask();
    spec.steps[0].count = 2;
    spec.steps[0].isGang = true;
    return spec;
}

run_plan firstShortOthersLong(const task_id &task, int run)
{
    if (task.step > 0)
        return {milliseconds(30'000)};
    return {milliseconds(run == 1 ? 300 : 6000)};
}

void checkNoViolations(const cluster_simulation &simulation)
{
    const auto &violations = simulation.runChecker().violations();
    if (!violations.empty()) {
        for (const auto &line : simulation.trace())
            fmt::print(stderr, "    {}\n", line);
    }
    const auto first = violations.empty() ? std::string() : violations.front();
    cr_expect(violations.empty(), "%s: %s", sectionName().c_str(), first.c_str());
}

// Run 1 is done on a worker that is unreachable. Its epoch ends, and run 2 is accepted by another
// agent, whose worker rejects starts. Then the end of run 1 is reported.
struct late_end_scenario
{
    using fault = std::function<void(late_end_scenario &)>;

    explicit late_end_scenario(const job_spec &spec, std::size_t workers = 2)
        : simulation(3, workers, firstShortOthersLong)
        , taskCount(spec.steps.front().count)
    {
        simulation.onOrderHandled = [this](const send_order &sentOrder,
                                           const order_answer &answer) {
            if (answer.outcome == order_outcome::Accepted)
                noteAccepted(sentOrder);
        };
        simulation.onRowStored = [this](simulated_entry &entry, const std::string &,
                                        const job_record &) {
            if (simulation.runChecker().isDone(Task) && !std::exchange(isDone, true)) {
                owner = &entry;
                handleDoneStored();
            }
        };
        simulation.run(StartupTime);
        simulation.submit(Job, spec);
    }

    void noteAccepted(const send_order &sentOrder)
    {
        if (sentOrder.order.kind != order_kind::Start || sentOrder.order.task.step > 0)
            return;
        auto &agent = simulation.agent(simulation.workerIndex(sentOrder.worker));
        if (sentOrder.order.run == 1)
            firstAgents.insert(&agent);
        else if (sentOrder.order.task == Task)
            secondAgent = &agent;
    }

    simulated_worker &secondWorker()
    {
        return simulation.worker(simulation.workerIndex(secondAgent->name));
    }

    void handleDoneStored()
    {
        for (std::size_t index = 0; index < workerCount(); ++index)
            simulation.rejectStarts(simulation.worker(index), rejectionTime);
        if (onDone)
            onDone(*this);
    }

    std::size_t workerCount() const { return simulation.workerCount(); }

    // Runs until the row has the task as done, then for ObservationTime more, and checks the rules.
    void simulate()
    {
        const bool haveStarted = simulation.runUntil(
                [this] { return simulation.runChecker().startCount() == taskCount; },
                milliseconds(3000));
        require(haveStarted);
        for (auto *agent : firstAgents)
            simulation.cutOffFromEntriesAndStore(*agent, milliseconds(9000));
        for (std::size_t index = 0; index < workerCount(); ++index) {
            if (!firstAgents.contains(&simulation.agent(index)))
                simulation.rejectStarts(simulation.worker(index), milliseconds(20'000));
        }
        require(simulation.runUntil([this] { return secondAgent != nullptr; }, milliseconds(8500)));
        check(!isDone);
        if (beforeDone)
            beforeDone(*this);
        require(simulation.runUntil([this] { return isDone; }, milliseconds(10'000)));
        check(simulation.runChecker().startCount() == taskCount);
        simulation.run(ObservationTime);
        checkNoViolations(simulation);
    }

    cluster_simulation simulation;
    int taskCount = 1;
    milliseconds rejectionTime{3000}; // workers reject starts this long after the end is stored
    std::set<simulated_agent *> firstAgents;
    simulated_agent *secondAgent = nullptr;
    simulated_entry *owner = nullptr;
    bool isDone = false;
    fault beforeDone;
    fault onDone;
};

void runLateEnd(const job_spec &spec, late_end_scenario::fault onDone,
                late_end_scenario::fault beforeDone = {})
{
    late_end_scenario scenario(spec);
    scenario.onDone = std::move(onDone);
    scenario.beforeDone = std::move(beforeDone);
    scenario.simulate();
}

const milliseconds OutageTime{6000};

} // namespace

// A newer run was accepted but not started when the end of the older run arrived, which is done.
// The process that is to stop the newer run may then fail and lose its state. In these tests the
// job continues.
Test(order_of_events, late_end_and_no_process_fails)
{
    section("the owner stops the newer run", [] { runLateEnd(twoSteps(), {}); });
}

Test(order_of_events, late_end_and_the_owner_is_killed)
{
    section("when the row is stored as done", [] {
        runLateEnd(twoSteps(),
                   [](late_end_scenario &current) { current.simulation.kill(*current.owner); });
    });
}

Test(order_of_events, late_end_and_the_owner_is_cut_off)
{
    section("when the row is stored as done", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.cutOff(*current.owner, OutageTime);
        });
    });
}

Test(order_of_events, late_end_and_the_owner_is_frozen)
{
    section("when the row is stored as done", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.freeze(*current.owner, OutageTime);
        });
    });
}

Test(order_of_events, late_end_and_the_owner_shuts_down)
{
    section("with all others reachable", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.beginShutdown(*current.owner);
        });
    });
}

Test(order_of_events, late_end_and_the_owner_shuts_down_with_a_lost_stop)
{
    section("the successor must send the stop again", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.beginShutdown(*current.owner);
            current.simulation.cutOff(*current.secondAgent, milliseconds(900));
        });
    });
}

// In these tests the job ends with the task: no entry adopts it.
Test(order_of_events, late_end_of_a_finished_job)
{
    section("the owner stops the newer run", [] { runLateEnd(oneTask(), {}); });
}

Test(order_of_events, late_end_of_a_finished_job_and_its_owner_is_killed)
{
    section("when the row is stored as done", [] {
        runLateEnd(oneTask(),
                   [](late_end_scenario &current) { current.simulation.kill(*current.owner); });
    });
}

Test(order_of_events, late_end_of_a_finished_job_and_its_owner_is_cut_off)
{
    section("when the row is stored as done", [] {
        runLateEnd(oneTask(), [](late_end_scenario &current) {
            current.simulation.cutOff(*current.owner, OutageTime);
        });
    });
}

Test(order_of_events, late_end_of_a_finished_job_and_its_owner_is_frozen)
{
    section("when the row is stored as done", [] {
        runLateEnd(oneTask(), [](late_end_scenario &current) {
            current.simulation.freeze(*current.owner, OutageTime);
        });
    });
}

Test(order_of_events, late_end_of_a_finished_job_and_its_owner_shuts_down)
{
    section("with all others reachable", [] {
        runLateEnd(oneTask(), [](late_end_scenario &current) {
            current.simulation.beginShutdown(*current.owner);
        });
    });
}

Test(order_of_events, late_end_of_a_finished_job_and_its_owner_shuts_down_with_a_lost_stop)
{
    section("no entry sends the stop again", [] {
        runLateEnd(oneTask(), [](late_end_scenario &current) {
            current.simulation.beginShutdown(*current.owner);
            current.simulation.cutOff(*current.secondAgent, milliseconds(900));
        });
    });
}

// The stop can't reach the agent, which repeats the start call by itself.
Test(order_of_events, late_end_and_the_agent_is_cut_off_from_all_entries)
{
    section("the job continues", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.cutOff(*current.secondAgent, OutageTime);
        });
    });
}

Test(order_of_events, late_end_of_a_finished_job_and_the_agent_is_cut_off)
{
    section("from all entries", [] {
        runLateEnd(oneTask(), [](late_end_scenario &current) {
            current.simulation.cutOff(*current.secondAgent, OutageTime);
        });
    });
}

Test(order_of_events, late_end_and_the_agent_is_cut_off_from_the_store_as_well)
{
    section("its worker accepts starts again within the lease", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.cutOffFromEntriesAndStore(*current.secondAgent, OutageTime);
        });
    });
}

Test(order_of_events, late_end_and_the_agent_restarts)
{
    section("its next incarnation is told nothing of the run", [] {
        runLateEnd(twoSteps(), [](late_end_scenario &current) {
            current.simulation.kill(*current.secondAgent);
            current.simulation.schedule(milliseconds(500), [&current] {
                current.simulation.startAgent(*current.secondAgent);
            });
        });
    });
}

Test(order_of_events, late_end_and_the_agent_restarts_and_the_owner_is_killed)
{
    section("the run was accepted again by the agent's next incarnation", [] {
        runLateEnd(
                twoSteps(),
                [](late_end_scenario &current) { current.simulation.kill(*current.owner); },
                [](late_end_scenario &current) {
                    current.simulation.kill(*current.secondAgent);
                    current.simulation.schedule(milliseconds(200), [&current] {
                        current.simulation.startAgent(*current.secondAgent);
                    });
                });
    });
}

namespace {

// The stop of run 2 is handled by one incarnation of its agent, and a delayed start of run 2
// arrives at the next.
void runStartAfterStop(bool isAcceptedBefore)
{
    late_end_scenario scenario(twoSteps());
    bool isDelayed = false;
    scenario.simulation.delayOrder =
            [&](const send_order &sentOrder) -> std::optional<milliseconds> {
        if (sentOrder.order.kind != order_kind::Start || sentOrder.order.task != Task
            || sentOrder.order.run != 2)
            return std::nullopt;
        scenario.secondAgent =
                &scenario.simulation.agent(scenario.simulation.workerIndex(sentOrder.worker));
        if (!std::exchange(isDelayed, true))
            return milliseconds(6000);
        return isAcceptedBefore ? std::nullopt : std::optional(milliseconds(60'000));
    };
    scenario.onDone = [](late_end_scenario &current) {
        current.simulation.schedule(milliseconds(2000),
                                    [&current] { current.simulation.kill(*current.secondAgent); });
        current.simulation.schedule(milliseconds(2300), [&current] {
            current.simulation.startAgent(*current.secondAgent);
        });
    };
    int arrivedStarts = 0;
    scenario.simulation.onOrderHandled = [&](const send_order &sentOrder,
                                             const order_answer &answer) {
        if (scenario.isDone && sentOrder.order.kind == order_kind::Start
            && sentOrder.order.task == Task)
            ++arrivedStarts;
        if (answer.outcome == order_outcome::Accepted)
            scenario.noteAccepted(sentOrder);
    };
    scenario.simulate();
    check(arrivedStarts == 1);
}

} // namespace

Test(order_of_events, a_start_delayed_past_the_incarnation_that_stopped_it_at_its_worker)
{
    section("the worker remembers the stop", [] { runStartAfterStop(true); });
}

// The stop arrived before the agent knew the run: only that incarnation of the agent remembers it.
Test(order_of_events, a_start_delayed_past_the_incarnation_that_was_told_to_stop_it)
{
    section("the worker was told nothing", [] { runStartAfterStop(false); });
}

namespace {

// The first order of run 1 is delayed. The order is repeated and refused, and a later run is
// placed. The delayed order arrives `delay` after it was sent.
struct delayed_order_scenario
{
    explicit delayed_order_scenario(int workers, milliseconds delay = milliseconds(4500))
        : simulation(3, workers, [](const task_id &, int) { return run_plan{milliseconds(8000)}; })
    {
        simulation.delayOrder =
                [this, delay](const send_order &sentOrder) -> std::optional<milliseconds> {
            if (sentOrder.order.run != 1 || std::exchange(isDelayed, true))
                return std::nullopt;
            agent = &simulation.agent(simulation.workerIndex(sentOrder.worker));
            return delay;
        };
        simulation.onOrderHandled = [this](const send_order &sentOrder,
                                           const order_answer &answer) {
            if (sentOrder.order.run == 1)
                answers.push_back(answer.outcome);
        };
        simulation.run(StartupTime);
        simulation.submit(Job, oneTask());
        require(simulation.runUntil([this] { return agent != nullptr; }, milliseconds(500)));
    }

    void reduceCapacity() const { agent->capacity = {100, 100, 0}; }
    void restoreCapacity() const { agent->capacity = {16'000, 64'000, 0}; }

    void restartAgent()
    {
        simulation.kill(*agent);
        simulation.schedule(milliseconds(200), [this] { simulation.startAgent(*agent); });
    }

    void runUntilStarted()
    {
        require(simulation.runUntil([this] { return simulation.runChecker().startCount() == 1; },
                                    milliseconds(3800)));
    }

    cluster_simulation simulation;
    simulated_agent *agent = nullptr; // that run 1 was placed on
    bool isDelayed = false;
    std::vector<order_outcome> answers; // to orders of run 1
};

} // namespace

// The next incarnation of an agent doesn't know what the previous one refused, and the task runs
// elsewhere by then.
Test(order_of_events, an_order_delayed_past_the_incarnation_that_refused_it)
{
    section("for lack of capacity", [] {
        delayed_order_scenario scenario(2);
        scenario.reduceCapacity();
        scenario.runUntilStarted();
        require(scenario.answers == std::vector{order_outcome::NoRoom});
        scenario.restoreCapacity();
        scenario.restartAgent();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers.size() == 2);
        checkNoViolations(scenario.simulation);
    });
}

Test(order_of_events, an_order_delayed_past_the_incarnation_whose_worker_refused_it)
{
    section("the run was reported as never started", [] {
        delayed_order_scenario scenario(2);
        scenario.simulation.worker(scenario.simulation.workerIndex(scenario.agent->name))
                .refuseNextStart();
        require(scenario.simulation.runUntil([&] { return !scenario.answers.empty(); },
                                             milliseconds(3000)));
        require(scenario.answers == std::vector{order_outcome::Accepted});
        scenario.reduceCapacity(); // so that run 2 is placed elsewhere
        scenario.runUntilStarted();
        check(scenario.simulation.worker(scenario.simulation.workerIndex(scenario.agent->name))
                      .runsOf(Task)
                      .empty());
        scenario.restoreCapacity();
        scenario.restartAgent();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers.size() == 2);
        checkNoViolations(scenario.simulation);
    });
}

Test(order_of_events, an_order_delayed_within_the_incarnation_that_refused_it)
{
    section("the refusal is remembered", [] {
        delayed_order_scenario scenario(2);
        scenario.reduceCapacity();
        scenario.runUntilStarted();
        scenario.restoreCapacity();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers.back() == order_outcome::Superseded);
        checkNoViolations(scenario.simulation);
    });
}

// A task that is done could run again: the start of a newer run was delayed, and the stop that was
// to overtake it was lost.
Test(order_of_events, a_start_delayed_within_one_incarnation_while_its_stop_is_lost)
{
    cluster_simulation simulation(3, 2, firstShortOthersLong);
    simulated_agent *firstAgent = nullptr;
    simulated_agent *secondAgent = nullptr;
    std::vector<order_outcome> afterDone;
    simulation.delayOrder = [&](const send_order &sentOrder) -> std::optional<milliseconds> {
        if (sentOrder.order.task != Task || sentOrder.order.run != 2)
            return std::nullopt;
        if (sentOrder.order.kind == order_kind::Stop)
            return milliseconds(60'000);
        if (secondAgent == nullptr) {
            secondAgent = &simulation.agent(simulation.workerIndex(sentOrder.worker));
            simulation.cutOff(*secondAgent, milliseconds(20'000));
        }
        return milliseconds(2500);
    };
    simulation.onOrderHandled = [&](const send_order &sentOrder, const order_answer &answer) {
        if (sentOrder.order.task == Task && sentOrder.order.run == 1)
            firstAgent = &simulation.agent(simulation.workerIndex(sentOrder.worker));
        if (sentOrder.order.task == Task && sentOrder.order.run == 2
            && simulation.runChecker().isDone(Task))
            afterDone.push_back(answer.outcome);
    };
    bool isDone = false;
    simulation.onRowStored = [&](simulated_entry &, const std::string &, const job_record &) {
        if (simulation.runChecker().isDone(Task) && !std::exchange(isDone, true))
            simulation.cutOff(*secondAgent, milliseconds(1300));
    };
    simulation.run(StartupTime);
    simulation.submit(Job, twoSteps());
    require(simulation.runUntil([&] { return simulation.runChecker().startCount() == 1; },
                                milliseconds(3000)));
    simulation.cutOffFromEntriesAndStore(*firstAgent, milliseconds(9000));
    require(simulation.runUntil([&] { return secondAgent != nullptr; }, milliseconds(8500)));
    check(!simulation.runChecker().isDone(Task));
    require(simulation.runUntil([&] { return isDone; }, milliseconds(10'000)));
    section("it arrives at the incarnation of the agent that it was placed on", [&] {
        simulation.run(ObservationTime);
        require(!afterDone.empty());
        for (const auto outcome : afterDone)
            check(outcome == order_outcome::DeadlineExceeded);
        checkNoViolations(simulation);
    });
}

// Two runs of a task on one worker: when the order of the older run arrives, the agent knows the
// newer one from its order or from a listing.
Test(order_of_events, an_order_of_an_older_run_where_a_newer_one_is_known)
{
    section("in the incarnation that refused the older run", [] {
        delayed_order_scenario scenario(1);
        scenario.reduceCapacity();
        scenario.simulation.run(milliseconds(1500));
        scenario.restoreCapacity();
        scenario.runUntilStarted();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers.back() == order_outcome::Superseded);
        checkNoViolations(scenario.simulation);
    });
}

Test(order_of_events, an_order_of_an_older_run_where_the_next_incarnation_knows_a_newer_one)
{
    section("the newer run is on that same worker", [] {
        delayed_order_scenario scenario(1);
        scenario.reduceCapacity();
        scenario.simulation.run(milliseconds(1500));
        scenario.restoreCapacity();
        scenario.runUntilStarted();
        scenario.restartAgent();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers.size() == 2);
        checkNoViolations(scenario.simulation);
    });
}

// The reverse: the older run, accepted by an incarnation that doesn't know of its refusal, is
// present when the newer run's order arrives.
Test(order_of_events, an_order_of_a_newer_run_where_an_older_one_is_known)
{
    section("both are for the same worker", [] {
        delayed_order_scenario scenario(1);
        const auto lostUntil = scenario.simulation.now() + milliseconds(5000);
        scenario.simulation.delayOrder = [&, first = scenario.simulation.delayOrder](
                                                 const send_order &sentOrder) {
            const bool isLost = sentOrder.order.run == 2 && scenario.simulation.now() < lostUntil;
            return isLost ? std::optional(milliseconds(60'000)) : first(sentOrder);
        };
        scenario.reduceCapacity();
        scenario.simulation.run(milliseconds(1500));
        scenario.restoreCapacity();
        scenario.simulation.run(milliseconds(800));
        scenario.restartAgent();
        scenario.simulation.run(ObservationTime);
        require(scenario.answers.size() == 2);
        checkNoViolations(scenario.simulation);
    });
}

Test(order_of_events, an_order_delayed_past_its_epoch)
{
    section("it is recognized by its epoch, in the next incarnation as well", [] {
        delayed_order_scenario scenario(2, milliseconds(10'500));
        scenario.simulation.cutOffFromEntriesAndStore(*scenario.agent, milliseconds(7500));
        require(scenario.simulation.runUntil(
                [&] { return scenario.simulation.runChecker().startCount() == 1; },
                milliseconds(8000)));
        scenario.simulation.run(milliseconds(2500));
        scenario.restartAgent();
        scenario.simulation.run(ObservationTime);
        check(scenario.answers == std::vector{order_outcome::WrongEpoch});
        checkNoViolations(scenario.simulation);
    });
}

// An owner that was frozen sends, after it thaws, an order that its successor had sent before. The
// successor's order was refused, and the task ran elsewhere.
Test(order_of_events, an_order_of_an_owner_that_thaws)
{
    section("after the incarnation of the agent that refused it", [] {
        cluster_simulation simulation(
                3, 2, [](const task_id &, int) { return run_plan{milliseconds(600)}; });
        simulation.run(StartupTime);
        simulated_entry *owner = nullptr;
        simulated_agent *agent = nullptr;
        simulation.onRowStored = [&](simulated_entry &entry, const std::string &,
                                     const job_record &record) {
            if (std::exchange(owner, &entry) != nullptr)
                return;
            agent = &simulation.agent(
                    simulation.workerIndex(record.find(Task)->placements.front().worker));
            agent->capacity = {100, 100, 0};
            simulation.freeze(entry, milliseconds(7000));
            simulation.onRowStored = {};
        };
        std::vector<order_outcome> answers; // to orders of run 1
        simulation.onOrderHandled = [&](const send_order &sentOrder, const order_answer &answer) {
            if (sentOrder.order.run == 1)
                answers.push_back(answer.outcome);
        };
        simulation.submit(Job, oneTask());
        require(simulation.runUntil([&] { return simulation.runChecker().isDone(Task); },
                                    milliseconds(5000)));
        require(answers == std::vector{order_outcome::NoRoom});
        agent->capacity = {16'000, 64'000, 0};
        simulation.kill(*agent);
        simulation.schedule(milliseconds(200), [&] { simulation.startAgent(*agent); });
        simulation.run(ObservationTime);
        check(answers.size() == 2);
        checkNoViolations(simulation);
    });
}

// An owner is frozen with an unanswered order, loses its jobs to a successor, and repeats the order
// after it thaws. The successor's stop order reached no agent, and the successor has shut down.
Test(order_of_events, a_start_of_a_replaced_owner_that_thaws)
{
    section("its task is done and its job is over", [] {
        late_end_scenario scenario(oneTask());
        scenario.simulation.delayOrder =
                [&](const send_order &sentOrder) -> std::optional<milliseconds> {
            if (sentOrder.order.run == 1 || scenario.secondAgent != nullptr)
                return std::nullopt;
            scenario.secondAgent =
                    &scenario.simulation.agent(scenario.simulation.workerIndex(sentOrder.worker));
            scenario.simulation.kill(*scenario.secondAgent);
            // Its retry is due as it thaws, before it has read that it lost the job.
            scenario.simulation.schedule(milliseconds(900), [&] {
                scenario.simulation.freeze(*scenario.simulation.ownerOf(Job), milliseconds(7000));
            });
            return std::nullopt;
        };
        scenario.onDone = [](late_end_scenario &current) {
            current.simulation.beginShutdown(*current.owner);
            current.simulation.schedule(milliseconds(500), [&current] {
                current.simulation.startAgent(*current.secondAgent);
            });
        };
        scenario.simulate();
    });
}

// An end is reported to an owner that has lost the job to another entry meanwhile.
Test(order_of_events, an_end_reported_late_to_a_replaced_owner)
{
    section("it is frozen with the end unread, and thaws after a newer run was placed", [] {
        cluster_simulation simulation(3, 2, firstShortOthersLong);
        simulation.run(StartupTime);
        simulation.submit(Job, twoSteps());
        require(simulation.runUntil([&] { return simulation.runChecker().startCount() == 1; },
                                    milliseconds(2000)));
        auto *owner = simulation.ownerOf(Job);
        require(owner != nullptr);
        simulation.freeze(*owner, milliseconds(11'000));
        simulation.run(milliseconds(150));
        std::optional<std::size_t> worker;
        for (std::size_t index = 0; index < simulation.workerCount(); ++index) {
            if (!simulation.worker(index).runsOf(Task).empty())
                worker = index;
        }
        require(worker);
        // The report of the end reaches only the frozen owner.
        for (std::size_t index = 0; index < simulation.entryCount(); ++index) {
            if (&simulation.entry(index) != owner)
                simulation.cutOffLink(simulation.agent(*worker), simulation.entry(index),
                                      milliseconds(9000));
        }
        simulation.run(milliseconds(600));
        simulation.cutOffFromEntriesAndStore(simulation.agent(*worker), milliseconds(8500));
        require(simulation.runUntil([&] { return simulation.runChecker().startCount() == 2; },
                                    milliseconds(9500)));
        simulation.run(ObservationTime);
        require(simulation.runChecker().isDone(Task));
        checkNoViolations(simulation);
    });
}

// The end of one member counts for its whole gang.
Test(order_of_events, late_end_of_a_gang_and_the_owner_is_killed)
{
    section("when its members were placed elsewhere again", [] {
        late_end_scenario scenario(gangOfTwo(), 4);
        scenario.onDone = [](late_end_scenario &current) {
            current.simulation.kill(*current.owner);
        };
        scenario.simulate();
    });
}

// The row has two placements of a task: run 1, which is done first, and the redundant run 2, which
// its worker has rejected so far.
Test(order_of_events, a_redundant_run_and_the_owner_is_killed)
{
    section("while the worker of the redundant run rejects starts", [] {
        cluster_simulation simulation(3, 2, firstShortOthersLong);
        simulation.run(StartupTime);
        simulation.rejectStarts(simulation.worker(1), milliseconds(20'000));
        simulation.onRowStored = [&](simulated_entry &entry, const std::string &,
                                     const job_record &) {
            if (!simulation.runChecker().isDone(Task))
                return;
            simulation.onRowStored = {};
            simulation.rejectStarts(simulation.worker(1), milliseconds(3000));
            simulation.kill(entry);
        };
        queue_policy policy;
        policy.service = "tickets";
        policy.maxAttempts = 3;
        auto record = newRecord(twoSteps(), policy, 1000);
        auto &task = *record.find(Task);
        task.lastRun = 2;
        task.placements = {{"w1", 1, 1}, {"w2", 1, 2}};
        simulation.insertRow(Job, record);
        require(simulation.runUntil([&] { return simulation.runChecker().isDone(Task); },
                                    milliseconds(8000)));
        check(simulation.runChecker().startCount() == 1);
        simulation.run(ObservationTime);
        checkNoViolations(simulation);
    });
}
