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

#include "order_model.h"
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
    spec.steps[0].gang = true;
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
        model.onOrderTaken = [this](const give_order &given, const order_answer &answer) {
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

    void accepted(const give_order &given)
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
// the newer run is lost with what it knew.
Test(order_of_events, late_end_and_nothing_is_lost)
{
    section("the job goes on", [] { playLateEnd(twoSteps(), {}); });
    section("the job is over", [] { playLateEnd(oneTask(), {}); });
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
    section("as the row says done",
            [] { playLateEnd(twoSteps(), [](late_end &on) { on.model.leave(*on.owner); }); });
    section("with the stop lost on its way", [] {
        playLateEnd(twoSteps(), [](late_end &on) {
            on.model.leave(*on.owner);
            on.model.cutOff(*on.secondAt, milliseconds(900));
        });
    });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_dies)
{
    section("nobody owns it",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.kill(*on.owner); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_is_cut_off)
{
    section("nobody else owns it",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.cutOff(*on.owner, Away); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_is_frozen)
{
    section("nobody else owns it",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.freeze(*on.owner, Away); }); });
}

Test(order_of_events, late_end_of_a_job_that_is_over_and_its_owner_leaves)
{
    section("at once",
            [] { playLateEnd(oneTask(), [](late_end &on) { on.model.leave(*on.owner); }); });
    section("with the stop lost on its way", [] {
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

Test(order_of_events, late_end_and_the_agent_of_a_job_that_is_over_is_cut_off)
{
    section("from all entries", [] {
        playLateEnd(oneTask(), [](late_end &on) { on.model.cutOff(*on.secondAt, Away); });
    });
}

Test(order_of_events, late_end_and_the_agent_is_cut_off_from_all)
{
    section("and its worker recovers within its lease", [] {
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

// The stop was carried out by a life of the agent that is over, and the start arrives after it.
Test(order_of_events, a_start_that_is_held_up_past_the_life_that_stopped_it)
{
    section("its task is done", [] {
        late_end scene(twoSteps());
        bool isHeldUp = false;
        scene.model.holdUpOrder = [&](const give_order &given) -> std::optional<milliseconds> {
            if (given.order.kind != order_kind::Start || given.order.task != Task
                || given.order.run != 2 || std::exchange(isHeldUp, true))
                return std::nullopt;
            return milliseconds(6000);
        };
        scene.atDone = [](late_end &on) {
            on.model.after(milliseconds(300), [&on] { on.model.kill(*on.secondAt); });
            on.model.after(milliseconds(600), [&on] { on.model.beginAgentLife(*on.secondAt); });
        };
        scene.play();
        check(isHeldUp);
    });
}

namespace {

// Run 1 is ordered, and the order is held up; repeated, it is turned down, and a later run is
// placed. The held-up order arrives `arrivesAfter` it was given.
struct held_up_order
{
    explicit held_up_order(int workers)
        : model(3, workers, [](const task_id &, int) { return run_plan{milliseconds(8000)}; })
    {
        model.holdUpOrder = [this](const give_order &given) -> std::optional<milliseconds> {
            if (given.order.run != 1 || std::exchange(isHeldUp, true))
                return std::nullopt;
            agent = &model.agent(model.indexOf(given.worker));
            return milliseconds(4500);
        };
        model.onOrderTaken = [this](const give_order &given, const order_answer &answer) {
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
        scene.untilStarted();
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

// The next life knows the newer run, from its order or from the worker's list.
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
    section("in the next life", [] {
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

Test(order_of_events, an_order_held_up_past_its_epoch)
{
    section("its epoch tells it", [] {
        held_up_order scene(2);
        scene.model.cutOffFromAll(*scene.agent, milliseconds(7500));
        scene.model.holdUpOrder = {};
        scene.model.run(Watched);
        checkRules(scene.model);
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
