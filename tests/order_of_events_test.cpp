// A task that is done never starts again, and never runs twice at once, whatever the order in which
// ends, stops, orders and faults come: orders that were thought of, each planted by hand.
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
constexpr milliseconds Settled{1500};
constexpr milliseconds Watched{15'000}; // longer than anything that is on its way

step_spec smallStep(int count)
{
    step_spec step;
    step.count = count;
    step.size = {500, 100, 0};
    step.estimateMs = 600;
    return step;
}

// A job that is over with its first task.
job_spec oneTask()
{
    job_spec spec;
    spec.payload = "hold seat 7";
    spec.steps = {smallStep(1)};
    return spec;
}

// A job that goes on when its first task is done.
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

void checkRules(const order_model &model)
{
    const auto &broken = model.rules().broken();
    if (!broken.empty()) {
        for (const auto &line : model.trace())
            fmt::print(stderr, "    {}\n", line);
    }
    const auto first = broken.empty() ? std::string() : broken.front();
    cr_expect(broken.empty(), "%s: %s", sectionName().c_str(), first.c_str());
}

// Run 1 is done on a worker that is out of touch; its epoch ends, and run 2 is accepted by another
// agent, whose worker turns starts away. Then the end of run 1 is told.
struct late_end
{
    using fault = std::function<void(late_end &)>;

    explicit late_end(const job_spec &spec, std::size_t workers = 2)
        : model(3, workers, firstShortOthersLong)
        , tasks(spec.steps.front().count)
    {
        model.onOrderTaken = [this](const send_order &given, const order_answer &answer) {
            if (answer.outcome == order_outcome::Accepted)
                accepted(given);
        };
        model.onRowStored = [this](modelled_entry &entry, const std::string &, const job_record &) {
            if (model.rules().isDone(Task) && !std::exchange(isDone, true)) {
                owner = &entry;
                doneStored();
            }
        };
        model.run(Settled);
        model.submit(Job, spec);
    }

    void accepted(const send_order &given)
    {
        if (given.order.kind != order_kind::Start || given.order.task.step > 0)
            return;
        auto &agent = model.agent(model.indexOf(given.worker));
        if (given.order.run == 1)
            firstAt.insert(&agent);
        else if (given.order.task == Task)
            secondAt = &agent;
    }

    modelled_worker &secondWorker() { return model.worker(model.indexOf(secondAt->name)); }

    void doneStored()
    {
        for (std::size_t at = 0; at < workers(); ++at)
            model.turnAway(model.worker(at), recovers);
        if (atDone)
            atDone(*this);
    }

    std::size_t workers() const { return model.workers(); }

    // The story up to the moment when the row says that the task is done, and on.
    void play()
    {
        const bool begun = model.runUntil([this] { return model.rules().starts() == tasks; },
                                          milliseconds(3000));
        require(begun);
        for (auto *agent : firstAt)
            model.cutOffFromAll(*agent, milliseconds(9000));
        for (std::size_t at = 0; at < workers(); ++at) {
            if (!firstAt.contains(&model.agent(at)))
                model.turnAway(model.worker(at), milliseconds(20'000));
        }
        require(model.runUntil([this] { return secondAt != nullptr; }, milliseconds(8500)));
        check(!isDone);
        if (beforeDone)
            beforeDone(*this);
        require(model.runUntil([this] { return isDone; }, milliseconds(10'000)));
        check(model.rules().starts() == tasks);
        model.run(Watched);
        checkRules(model);
    }

    order_model model;
    int tasks = 1;
    milliseconds recovers{3000}; // after the end is stored the workers take starts again
    std::set<modelled_agent *> firstAt;
    modelled_agent *secondAt = nullptr;
    modelled_entry *owner = nullptr;
    bool isDone = false;
    fault beforeDone;
    fault atDone;
};

void playLateEnd(const job_spec &spec, late_end::fault atDone, late_end::fault beforeDone = {})
{
    late_end scene(spec);
    scene.atDone = std::move(atDone);
    scene.beforeDone = std::move(beforeDone);
    scene.play();
}

const milliseconds Away{6000};

} // namespace

// A newer run was accepted and not begun when the older one's `done` came, and whoever was to stop
// the newer run is lost with what it knew. The job goes on:
Test(order_of_events, late_end_and_nothing_is_lost)
{
    section("the owner stops the newer run", [] { playLateEnd(twoSteps(), {}); });
}

Test(order_of_events, late_end_and_the_owner_dies)
{
    section("as the row says done",
            [] { playLateEnd(twoSteps(), [](late_end &on) { on.model.kill(*on.owner); }); });
}

Test(order_of_events, late_end_and_the_owner_is_cut_off)
{
    section("as the row says done", [] {
        playLateEnd(twoSteps(), [](late_end &on) { on.model.cutOff(*on.owner, Away); });
    });
}

Test(order_of_events, late_end_and_the_owner_is_frozen)
{
    section("as the row says done", [] {
        playLateEnd(twoSteps(), [](late_end &on) { on.model.freeze(*on.owner, Away); });
    });
}

Test(order_of_events, late_end_and_the_owner_hands_over)
{
    section("with all others in touch",
            [] { playLateEnd(twoSteps(), [](late_end &on) { on.model.leave(*on.owner); }); });
}

Test(order_of_events, late_end_and_the_owner_hands_over_beside_a_lost_stop)
{
    section("the heir has to give the stop again", [] {
        playLateEnd(twoSteps(), [](late_end &on) {
            on.model.leave(*on.owner);
            on.model.cutOff(*on.secondAt, milliseconds(900));
        });
    });
}

// The same, and the job is over with it: nobody takes it over.
Test(order_of_events, late_end_of_a_job_that_is_over)
{
    section("the owner stops the newer run", [] { playLateEnd(oneTask(), {}); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_dies)
{
    section("as the row says done",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.kill(*on.owner); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_is_cut_off)
{
    section("as the row says done",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.cutOff(*on.owner, Away); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_is_frozen)
{
    section("as the row says done",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.freeze(*on.owner, Away); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_leaves)
{
    section("with all others in touch",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.leave(*on.owner); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_leaves_beside_a_lost_stop)
{
    section("nobody gives the stop again", [] {
        playLateEnd(oneTask(), [](late_end &on) {
            on.model.leave(*on.owner);
            on.model.cutOff(*on.secondAt, milliseconds(900));
        });
    });
}

// The stop can't reach the agent, which repeats its start by itself.
Test(order_of_events, late_end_and_the_agent_is_cut_off_from_all_entries)
{
    section("the job goes on", [] {
        playLateEnd(twoSteps(), [](late_end &on) { on.model.cutOff(*on.secondAt, Away); });
    });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_the_agent_is_cut_off)
{
    section("from all entries", [] {
        playLateEnd(oneTask(), [](late_end &on) { on.model.cutOff(*on.secondAt, Away); });
    });
}

Test(order_of_events, late_end_and_the_agent_is_cut_off_from_the_store_as_well)
{
    section("its worker takes starts again within the lease", [] {
        playLateEnd(twoSteps(), [](late_end &on) { on.model.cutOffFromAll(*on.secondAt, Away); });
    });
}

Test(order_of_events, late_end_and_the_agent_lives_anew)
{
    section("its next life is told nothing of the run", [] {
        playLateEnd(twoSteps(), [](late_end &on) {
            on.model.kill(*on.secondAt);
            on.model.after(milliseconds(500), [&on] { on.model.beginAgentLife(*on.secondAt); });
        });
    });
}

Test(order_of_events, late_end_and_both_agent_and_owner_live_anew)
{
    section("the run was accepted again by the agent's next life", [] {
        playLateEnd(
                twoSteps(), [](late_end &on) { on.model.kill(*on.owner); },
                [](late_end &on) {
                    on.model.kill(*on.secondAt);
                    on.model.after(milliseconds(200),
                                   [&on] { on.model.beginAgentLife(*on.secondAt); });
                });
    });
}

namespace {

// The stop of run 2 is settled in one life of its agent, and a start of it arrives in the next.
void playStartAfterStop(bool acceptedBefore)
{
    late_end scene(twoSteps());
    bool isHeldUp = false;
    scene.model.holdUpOrder = [&](const send_order &given) -> std::optional<milliseconds> {
        if (given.order.kind != order_kind::Start || given.order.task != Task
            || given.order.run != 2)
            return std::nullopt;
        scene.secondAt = &scene.model.agent(scene.model.indexOf(given.worker));
        if (!std::exchange(isHeldUp, true))
            return milliseconds(6000);
        return acceptedBefore ? std::nullopt : std::optional(milliseconds(60'000));
    };
    scene.atDone = [](late_end &on) {
        on.model.after(milliseconds(2000), [&on] { on.model.kill(*on.secondAt); });
        on.model.after(milliseconds(2300), [&on] { on.model.beginAgentLife(*on.secondAt); });
    };
    int arrived = 0;
    scene.model.onOrderTaken = [&](const send_order &given, const order_answer &answer) {
        if (scene.isDone && given.order.kind == order_kind::Start && given.order.task == Task)
            ++arrived;
        if (answer.outcome == order_outcome::Accepted)
            scene.accepted(given);
    };
    scene.play();
    check(arrived == 1);
}

} // namespace

Test(order_of_events, a_start_held_up_past_the_life_that_stopped_it_at_its_worker)
{
    section("the worker remembers the stop", [] { playStartAfterStop(true); });
}

// A run that the agent had not heard of when it was told to stop it: only that life remembers.
Test(order_of_events, a_start_held_up_past_the_life_that_was_told_to_stop_it)
{
    section("the worker was told nothing", [] { playStartAfterStop(false); });
}

namespace {

// Run 1 is ordered, and the order is held up; repeated, it is turned down, and a later run is
// placed. The held-up order arrives `arrivesAfter` it was given.
struct held_up_order
{
    explicit held_up_order(int workers, milliseconds heldUp = milliseconds(4500))
        : model(3, workers, [](const task_id &, int) { return run_plan{milliseconds(8000)}; })
    {
        model.holdUpOrder = [this, heldUp](const send_order &given) -> std::optional<milliseconds> {
            if (given.order.run != 1 || std::exchange(isHeldUp, true))
                return std::nullopt;
            agent = &model.agent(model.indexOf(given.worker));
            return heldUp;
        };
        model.onOrderTaken = [this](const send_order &given, const order_answer &answer) {
            if (given.order.run == 1)
                answers.push_back(answer.outcome);
        };
        model.run(Settled);
        model.submit(Job, oneTask());
        require(model.runUntil([this] { return agent != nullptr; }, milliseconds(500)));
    }

    void loseRoom() const { agent->capacity = {100, 100, 0}; }
    void regainRoom() const { agent->capacity = {16'000, 64'000, 0}; }

    void liveAnew()
    {
        model.kill(*agent);
        model.after(milliseconds(200), [this] { model.beginAgentLife(*agent); });
    }

    void untilStarted()
    {
        require(model.runUntil([this] { return model.rules().starts() == 1; }, milliseconds(3800)));
    }

    order_model model;
    modelled_agent *agent = nullptr; // that was to run 1
    bool isHeldUp = false;
    std::vector<order_outcome> answers; // to orders of run 1
};

} // namespace

// What one life of an agent has refused, the next one doesn't know: the task runs elsewhere by
// then.
Test(order_of_events, an_order_held_up_past_the_life_that_refused_it)
{
    section("for want of room", [] {
        held_up_order scene(2);
        scene.loseRoom();
        scene.untilStarted();
        require(scene.answers == std::vector{order_outcome::NoRoom});
        scene.regainRoom();
        scene.liveAnew();
        scene.model.run(Watched);
        check(scene.answers.size() == 2);
        checkRules(scene.model);
    });
}

Test(order_of_events, an_order_held_up_past_the_life_whose_worker_refused_it)
{
    section("the run was told as never started", [] {
        held_up_order scene(2);
        scene.model.worker(scene.model.indexOf(scene.agent->name)).refuseNext();
        require(scene.model.runUntil([&] { return !scene.answers.empty(); }, milliseconds(3000)));
        require(scene.answers == std::vector{order_outcome::Accepted});
        scene.loseRoom(); // so that run 2 goes elsewhere
        scene.untilStarted();
        check(scene.model.worker(scene.model.indexOf(scene.agent->name)).runsOf(Task).empty());
        scene.regainRoom();
        scene.liveAnew();
        scene.model.run(Watched);
        check(scene.answers.size() == 2);
        checkRules(scene.model);
    });
}

Test(order_of_events, an_order_held_up_within_the_life_that_refused_it)
{
    section("the refusal is remembered", [] {
        held_up_order scene(2);
        scene.loseRoom();
        scene.untilStarted();
        scene.regainRoom();
        scene.model.run(Watched);
        check(scene.answers.back() == order_outcome::Superseded);
        checkRules(scene.model);
    });
}

// A task that is done runs again: its start was held up, and the stop that overtook it was lost.
Test(order_of_events, a_start_held_up_within_one_life_while_its_stop_is_lost)
{
    order_model model(3, 2, firstShortOthersLong);
    modelled_agent *firstAt = nullptr;
    modelled_agent *secondAt = nullptr;
    std::vector<order_outcome> afterDone;
    model.holdUpOrder = [&](const send_order &given) -> std::optional<milliseconds> {
        if (given.order.task != Task || given.order.run != 2)
            return std::nullopt;
        if (given.order.kind == order_kind::Stop)
            return milliseconds(60'000);
        if (secondAt == nullptr) {
            secondAt = &model.agent(model.indexOf(given.worker));
            model.cutOff(*secondAt, milliseconds(20'000));
        }
        return milliseconds(2500);
    };
    model.onOrderTaken = [&](const send_order &given, const order_answer &answer) {
        if (given.order.task == Task && given.order.run == 1)
            firstAt = &model.agent(model.indexOf(given.worker));
        if (given.order.task == Task && given.order.run == 2 && model.rules().isDone(Task))
            afterDone.push_back(answer.outcome);
    };
    bool isDone = false;
    model.onRowStored = [&](modelled_entry &, const std::string &, const job_record &) {
        if (model.rules().isDone(Task) && !std::exchange(isDone, true))
            model.cutOff(*secondAt, milliseconds(1300));
    };
    model.run(Settled);
    model.submit(Job, twoSteps());
    require(model.runUntil([&] { return model.rules().starts() == 1; }, milliseconds(3000)));
    model.cutOffFromAll(*firstAt, milliseconds(9000));
    require(model.runUntil([&] { return secondAt != nullptr; }, milliseconds(8500)));
    check(!model.rules().isDone(Task));
    require(model.runUntil([&] { return isDone; }, milliseconds(10'000)));
    section("it arrives in the life of the agent that it was placed in", [&] {
        model.run(Watched);
        require(!afterDone.empty());
        for (const auto outcome : afterDone)
            check(outcome == order_outcome::DeadlineExceeded);
        checkRules(model);
    });
}

// Two runs of a task on one worker: an agent knows the newer run, from its order or from the list.
Test(order_of_events, an_order_of_an_older_run_where_a_newer_one_is_known)
{
    section("in the life that refused the older one", [] {
        held_up_order scene(1);
        scene.loseRoom();
        scene.model.run(milliseconds(1500));
        scene.regainRoom();
        scene.untilStarted();
        scene.model.run(Watched);
        check(scene.answers.back() == order_outcome::Superseded);
        checkRules(scene.model);
    });
}

Test(order_of_events, an_order_of_an_older_run_where_the_next_life_knows_a_newer_one)
{
    section("the newer one runs on that very worker", [] {
        held_up_order scene(1);
        scene.loseRoom();
        scene.model.run(milliseconds(1500));
        scene.regainRoom();
        scene.untilStarted();
        scene.liveAnew();
        scene.model.run(Watched);
        check(scene.answers.size() == 2);
        checkRules(scene.model);
    });
}

// The other way round: the older run, accepted by a life that doesn't know its refusal, is there
// when the newer one's order comes.
Test(order_of_events, an_order_of_a_newer_run_where_an_older_one_is_known)
{
    section("both are for the same worker", [] {
        held_up_order scene(1);
        const auto passes = scene.model.now() + milliseconds(5000);
        scene.model.holdUpOrder = [&, first = scene.model.holdUpOrder](const send_order &given) {
            const bool isLost = given.order.run == 2 && scene.model.now() < passes;
            return isLost ? std::optional(milliseconds(60'000)) : first(given);
        };
        scene.loseRoom();
        scene.model.run(milliseconds(1500));
        scene.regainRoom();
        scene.model.run(milliseconds(800));
        scene.liveAnew();
        scene.model.run(Watched);
        require(scene.answers.size() == 2);
        checkRules(scene.model);
    });
}

Test(order_of_events, an_order_held_up_past_its_epoch)
{
    section("the epoch that it names tells it, in the next life as well", [] {
        held_up_order scene(2, milliseconds(10'500));
        scene.model.cutOffFromAll(*scene.agent, milliseconds(7500));
        require(scene.model.runUntil([&] { return scene.model.rules().starts() == 1; },
                                     milliseconds(8000)));
        scene.model.run(milliseconds(2500));
        scene.liveAnew();
        scene.model.run(Watched);
        check(scene.answers == std::vector{order_outcome::WrongEpoch});
        checkRules(scene.model);
    });
}

// An owner that was frozen gives, as it thaws, an order that its heir gave before: refused then,
// and its task ran elsewhere.
Test(order_of_events, an_order_of_an_owner_that_thaws)
{
    section("after the life of the agent that refused it", [] {
        order_model model(3, 2, [](const task_id &, int) { return run_plan{milliseconds(600)}; });
        model.run(Settled);
        modelled_entry *owner = nullptr;
        modelled_agent *agent = nullptr;
        model.onRowStored = [&](modelled_entry &entry, const std::string &,
                                const job_record &record) {
            if (std::exchange(owner, &entry) != nullptr)
                return;
            agent = &model.agent(model.indexOf(record.find(Task)->placements.front().worker));
            agent->capacity = {100, 100, 0};
            model.freeze(entry, milliseconds(7000));
            model.onRowStored = {};
        };
        std::vector<order_outcome> answers; // to orders of run 1
        model.onOrderTaken = [&](const send_order &given, const order_answer &answer) {
            if (given.order.run == 1)
                answers.push_back(answer.outcome);
        };
        model.submit(Job, oneTask());
        require(model.runUntil([&] { return model.rules().isDone(Task); }, milliseconds(5000)));
        require(answers == std::vector{order_outcome::NoRoom});
        agent->capacity = {16'000, 64'000, 0};
        model.kill(*agent);
        model.after(milliseconds(200), [&] { model.beginAgentLife(*agent); });
        model.run(Watched);
        check(answers.size() == 2);
        checkRules(model);
    });
}

// An owner that was frozen with an order unanswered, and was overtaken, repeats it as it thaws. Its
// heir's stop reached nobody and was lost with the heir.
Test(order_of_events, a_start_of_an_overtaken_owner_that_thaws)
{
    section("its task is done and its job is over", [] {
        late_end scene(oneTask());
        scene.model.holdUpOrder = [&](const send_order &given) -> std::optional<milliseconds> {
            if (given.order.run == 1 || scene.secondAt != nullptr)
                return std::nullopt;
            scene.secondAt = &scene.model.agent(scene.model.indexOf(given.worker));
            scene.model.kill(*scene.secondAt);
            // Its next try is due as it thaws, before it has read that it was overtaken.
            scene.model.after(milliseconds(900), [&] {
                scene.model.freeze(*scene.model.ownerOf(Job), milliseconds(7000));
            });
            return std::nullopt;
        };
        scene.atDone = [](late_end &on) {
            on.model.leave(*on.owner);
            on.model.after(milliseconds(500), [&on] { on.model.beginAgentLife(*on.secondAt); });
        };
        scene.play();
    });
}

// An end told to an owner that another one has overtaken meanwhile.
Test(order_of_events, an_end_told_late_to_an_owner_that_was_overtaken)
{
    section("it is frozen with the end unread, and thaws after a newer run was placed", [] {
        order_model model(3, 2, firstShortOthersLong);
        model.run(Settled);
        model.submit(Job, twoSteps());
        require(model.runUntil([&] { return model.rules().starts() == 1; }, milliseconds(2000)));
        auto *owner = model.ownerOf(Job);
        require(owner != nullptr);
        model.freeze(*owner, milliseconds(11'000));
        model.run(milliseconds(150));
        std::optional<std::size_t> worker;
        for (std::size_t at = 0; at < model.workers(); ++at) {
            if (!model.worker(at).runsOf(Task).empty())
                worker = at;
        }
        require(worker);
        // The end is sent, and reaches the frozen owner only.
        for (std::size_t at = 0; at < model.entries(); ++at) {
            if (&model.entry(at) != owner)
                model.cutOffLink(model.agent(*worker), model.entry(at), milliseconds(9000));
        }
        model.run(milliseconds(600));
        model.cutOffFromAll(model.agent(*worker), milliseconds(8500));
        require(model.runUntil([&] { return model.rules().starts() == 2; }, milliseconds(9500)));
        model.run(Watched);
        require(model.rules().isDone(Task));
        checkRules(model);
    });
}

// One member's end stands for its whole gang.
Test(order_of_events, late_end_of_a_gang_and_the_owner_dies)
{
    section("its members are to run again elsewhere", [] {
        late_end scene(gangOfTwo(), 4);
        scene.atDone = [](late_end &on) { on.model.kill(*on.owner); };
        scene.play();
    });
}

// A row with two copies of a task, one of which is done first.
Test(order_of_events, a_copy_that_lost_and_the_owner_dies)
{
    section("while the other copy's worker turns starts away", [] {
        order_model model(3, 2, firstShortOthersLong);
        model.run(Settled);
        model.turnAway(model.worker(1), milliseconds(20'000));
        model.onRowStored = [&](modelled_entry &entry, const std::string &, const job_record &) {
            if (!model.rules().isDone(Task))
                return;
            model.onRowStored = {};
            model.turnAway(model.worker(1), milliseconds(3000));
            model.kill(entry);
        };
        queue_policy policy;
        policy.service = "tickets";
        policy.maxAttempts = 3;
        auto record = newRecord(twoSteps(), policy, 1000);
        auto &task = *record.find(Task);
        task.lastRun = 2;
        task.placements = {{"w1", 1, 1}, {"w2", 1, 2}};
        model.plantRow(Job, record);
        require(model.runUntil([&] { return model.rules().isDone(Task); }, milliseconds(8000)));
        check(model.rules().starts() == 1);
        model.run(Watched);
        checkRules(model);
    });
}
