// Tests copies of slow tasks: when job_controller runs a task a second time beside a run that takes
// long, and that no failure of a message, a worker or the owner makes it run too often.
#include <algorithm>
#include <functional>
#include <utility>

#include <criterion/criterion.h>

#include "cluster_simulation.h"
#include "jobs/copy_policy.h"
#include "jobs/job_controller.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

const owner_id Self{"entry-a", 1};
constexpr int WorkerCount = 6; // w1 to w3 on rack r1, w4 to w6 on rack r2

controller_settings settingsWithCopies()
{
    controller_settings settings;
    settings.features.copiesSlowTasks = true;
    return settings;
}

// One entry, whose writes are stored at once unless `storesWrites` is false.
struct cluster
{
    worker_pool workers;
    job_controller controller;
    time_point now{std::chrono::hours(1)};
    std::int64_t wallMs = 1'000'000;
    std::int64_t version = 0;
    bool storesWrites = true;
    std::int64_t usedMillicores = 0;     // of each worker, by its reports
    std::set<std::string> silentWorkers; // send no reports
    std::vector<send_order> starts;
    std::vector<send_order> stops;
    std::vector<log_event> logEvents;
    job_record stored;

    explicit cluster(const controller_settings &settings = settingsWithCopies())
        : controller(Self, workers, settings)
    {
        report();
    }

    void report()
    {
        for (int index = 1; index <= WorkerCount; ++index) {
            worker_report report;
            report.worker = "w" + std::to_string(index);
            report.epoch = 1;
            report.service = "tickets";
            report.rack = index <= WorkerCount / 2 ? "r1" : "r2";
            report.isAccepting = true;
            report.capacity = {16'000, 64'000, 0};
            report.used = {usedMillicores, 0, 0};
            if (silentWorkers.contains(report.worker))
                continue;
            workers.update(report, now);
            controller.workerReported(report.worker, now);
        }
    }

    static job_spec oneStep(int tasks)
    {
        job_spec spec;
        step_spec step;
        step.count = tasks;
        step.size = {500, 100, 0};
        step.estimateMs = 600;
        step.isSpeculative = true;
        spec.steps = {step};
        return spec;
    }

    void submit(const job_spec &spec, int maxAttempts = 3)
    {
        queue_policy policy;
        policy.service = "tickets";
        policy.maxAttempts = maxAttempts;
        controller.submit("j", spec, policy, wallMs, now, 1);
        tick();
    }

    void tick()
    {
        controller.plan(now, wallMs);
        for (auto actions = controller.takeActions(); !actions.empty();
             actions = controller.takeActions()) {
            for (auto &action : actions) {
                if (const auto *write = std::get_if<write_row>(&action))
                    store(*write);
                else if (const auto *line = std::get_if<log_event>(&action))
                    logEvents.push_back(*line);
                else if (auto *order = std::get_if<send_order>(&action))
                    (order->order.kind == order_kind::Start ? starts : stops)
                            .push_back(std::move(*order));
            }
            controller.plan(now, wallMs);
        }
    }

    void store(const write_row &write)
    {
        if (!storesWrites)
            return;
        stored = recordFrom(write.content);
        controller.rowWritten(write.job, ++version);
    }

    // Lets time pass; workers report and the entry plans each 100 ms.
    void pass(milliseconds span)
    {
        constexpr milliseconds Step{100};
        for (milliseconds passed{}; passed < span; passed += Step) {
            now += std::min(Step, span - passed);
            wallMs += std::min(Step, span - passed).count();
            report();
            tick();
        }
    }

    void accept(const send_order &order)
    {
        controller.orderAnswered(
                order.worker, {order.order.task, order.order.run, order_outcome::Accepted}, now, 0);
    }
    void acceptAll()
    {
        for (const auto &order : std::vector(starts))
            accept(order);
    }

    void end(const send_order &order, end_kind how)
    {
        controller.runEnded(order.worker, {1, order.order.task, order.order.run, how, ""}, now, 50);
        tick();
    }

    // Accepts the first `count` starts and ends them after `span`; accepts the others.
    void finishSome(std::size_t count, milliseconds span)
    {
        acceptAll();
        pass(span);
        for (std::size_t index = 0; index < count; ++index)
            end(starts.at(index), end_kind::Done);
    }

    std::size_t countLogged(const std::string &event, const std::string &reason = {}) const
    {
        return static_cast<std::size_t>(
                std::count_if(logEvents.begin(), logEvents.end(), [&](const auto &line) {
                    return line.event == event && (reason.empty() || line.reason == reason);
                }));
    }

    std::string rackOf(const std::string &worker) const
    {
        return workers.find(worker)->lastReport.rack;
    }

    bool isStopped(const send_order &order) const
    {
        return std::any_of(stops.begin(), stops.end(), [&](const auto &stop) {
            return stop.worker == order.worker && stop.order.run == order.order.run
                   && stop.order.task == order.order.task;
        });
    }
};

} // namespace

// One worker of several is slow: its task runs on while its siblings are done.
Test(copies, one_slow_worker)
{
    cluster fixture;
    fixture.submit(cluster::oneStep(6));
    require(fixture.starts.size() == 6);
    fixture.finishSome(5, milliseconds(600));
    fixture.pass(milliseconds(80));
    section("while the run takes about as long as its siblings, there is no copy",
            [&] { check(fixture.starts.size() == 6); });
    fixture.pass(milliseconds(100));
    require(fixture.starts.size() == 7);
    const auto first = fixture.starts[5];
    const auto copy = fixture.starts[6];
    section("a second run starts on another rack, with a number of its own", [&] {
        check(copy.order.task == first.order.task);
        check(copy.order.run == first.order.run + 1);
        check(fixture.rackOf(copy.worker) != fixture.rackOf(first.worker));
        check(fixture.countLogged("copy_placed", "last_tasks") == 1);
    });
    section("there is no third", [&] {
        fixture.accept(copy);
        fixture.pass(milliseconds(500));
        check(fixture.starts.size() == 7);
    });
    section("the first to be done completes the job; the other is stopped", [&] {
        fixture.end(copy, end_kind::Done);
        check(fixture.stored.state() == job_state::Completed);
        check(fixture.isStopped(first));
        check(fixture.countLogged("copy_won") == 1);
        fixture.end(first, end_kind::Done);
        check(!fixture.stored.needsOwner());
    });
}

// A slow step: its tasks take three times their estimate wherever they run.
Test(copies, long_tasks_among_long_siblings)
{
    cluster fixture;
    fixture.submit(cluster::oneStep(6));
    fixture.acceptAll();
    section("while no sibling is done, the step may be what is long", [&] {
        fixture.pass(milliseconds(1800));
        check(fixture.starts.size() == 6);
    });
    section("siblings that are done show how long the others may take", [&] {
        for (std::size_t index = 0; index < 4; ++index)
            fixture.end(fixture.starts[index], end_kind::Done);
        fixture.pass(milliseconds(200));
        check(fixture.starts.size() == 6);
    });
}

// A worker goes silent: its agent is gone or cut off, and nobody hears of its run.
Test(copies, silent_worker)
{
    cluster fixture;
    auto spec = cluster::oneStep(1);
    spec.steps[0].estimateMs = 2000;
    fixture.submit(spec);
    fixture.acceptAll();
    const auto first = fixture.starts.at(0);
    fixture.silentWorkers.insert(first.worker);
    fixture.pass(milliseconds(1500));
    check(fixture.starts.size() == 1);
    fixture.pass(milliseconds(300));
    require(fixture.starts.size() == 2);
    check(fixture.countLogged("copy_placed", "silent_worker") == 1);
    section("its end is lost, and that of the copy counts", [&] {
        fixture.end(fixture.starts[1], end_kind::Done);
        check(fixture.stored.state() == job_state::Completed);
    });
    section("the run stays in the row until the worker's next epoch has ended it", [&] {
        check(fixture.stored.needsOwner());
        fixture.controller.epochSeen(first.worker, 2);
        fixture.tick();
        check(!fixture.stored.needsOwner());
    });
}

// An agent does not answer a start order: the order or its answer was lost, or the agent is gone.
Test(copies, unanswered_start)
{
    cluster fixture;
    fixture.submit(cluster::oneStep(1));
    const auto first = fixture.starts.at(0);
    const auto loseOrders = [&] {
        for (const auto &order : std::vector(fixture.starts)) {
            if (order.worker == first.worker)
                fixture.controller.orderUnanswered(first.worker, first.order.task, 1, fixture.now);
        }
    };
    for (int round = 0; round < 5; ++round) {
        loseOrders();
        fixture.pass(milliseconds(100));
    }
    check(fixture.countLogged("copy_placed", "start_unanswered") == 1);
    section("beside the copy, the first run is ordered to start no more, but to stop", [&] {
        fixture.accept(fixture.starts.back());
        const auto before = fixture.starts.size();
        for (int round = 0; round < 20; ++round) {
            loseOrders();
            fixture.pass(milliseconds(100));
        }
        check(fixture.starts.size() - before <= 1);
        check(fixture.isStopped(first));
    });
}

// A burst: all processors are in use, and a copy would take them from other jobs.
Test(copies, no_idle_processors)
{
    cluster fixture;
    fixture.submit(cluster::oneStep(6));
    fixture.usedMillicores = 15'000; // of 16,000
    fixture.finishSome(5, milliseconds(600));
    fixture.pass(milliseconds(2000));
    check(fixture.starts.size() == 6);
}

// A rack fails most of its runs: copies must not use up the attempts of a task.
Test(copies, budget_of_attempts)
{
    section("no copy where both runs could fail beyond the limit", [] {
        cluster fixture;
        fixture.submit(cluster::oneStep(6), 2);
        fixture.acceptAll();
        fixture.end(fixture.starts[5], end_kind::Failed);
        require(fixture.starts.size() == 7);
        fixture.accept(fixture.starts[6]);
        fixture.finishSome(5, milliseconds(600));
        fixture.pass(milliseconds(2000));
        check(fixture.starts.size() == 7);
    });
    cluster fixture;
    fixture.submit(cluster::oneStep(6), 2);
    fixture.finishSome(5, milliseconds(600));
    fixture.pass(milliseconds(200));
    require(fixture.starts.size() == 7);
    fixture.acceptAll();
    section("a run that fails beside its copy fails nothing, and no other run replaces it", [&] {
        fixture.end(fixture.starts[5], end_kind::Failed);
        fixture.pass(milliseconds(1000));
        check(fixture.stored.state() == job_state::Running);
        check(fixture.starts.size() == 7);
    });
    section("the job fails with the last run that could have completed the task", [&] {
        fixture.end(fixture.starts[6], end_kind::Failed);
        check(fixture.stored.state() == job_state::Failed);
        fixture.pass(milliseconds(1000));
        check(fixture.starts.size() == 7);
    });
}

// A worker restarts, its failed run is reported late, and the copy's worker restarts as well: the
// limit was reached by an end that came after the copy was placed.
Test(copies, limit_reached_by_a_late_report)
{
    cluster fixture;
    fixture.submit(cluster::oneStep(1), 2);
    fixture.acceptAll();
    const auto first = fixture.starts.at(0);
    fixture.controller.epochSeen(first.worker, 2);
    fixture.tick();
    require(fixture.starts.size() == 2);
    const auto second = fixture.starts[1];
    fixture.accept(second);
    fixture.end(second, end_kind::Failed);
    require(fixture.starts.size() == 3);
    const auto third = fixture.starts[2];
    fixture.accept(third);
    fixture.end(first, end_kind::Failed); // the second failure
    section("the run at work may still complete the job",
            [&] { check(fixture.stored.state() == job_state::Running); });
    section("but when its worker restarts, the job fails without another run", [&] {
        fixture.controller.epochSeen(third.worker, 2);
        fixture.tick();
        check(fixture.stored.state() == job_state::Failed);
        check(fixture.starts.size() == 3);
    });
}

// A caller cancels a job, or its owner dies, while a task has two runs.
Test(copies, cancel_and_takeover_with_two_runs)
{
    const auto placeTwo = [](cluster &fixture) {
        fixture.submit(cluster::oneStep(6));
        fixture.finishSome(5, milliseconds(600));
        fixture.pass(milliseconds(200));
        require(fixture.starts.size() == 7);
    };
    section("a cancel stops both", [&] {
        cluster fixture;
        placeTwo(fixture);
        fixture.controller.cancel("j", 2);
        fixture.tick();
        check(fixture.isStopped(fixture.starts[5]));
        check(fixture.isStopped(fixture.starts[6]));
        fixture.pass(milliseconds(1000));
        check(fixture.starts.size() == 7);
    });
    section("an order for the copy is sent once its placement is in the row, not before", [&] {
        cluster fixture;
        fixture.submit(cluster::oneStep(6));
        fixture.finishSome(5, milliseconds(600));
        fixture.storesWrites = false;
        fixture.pass(milliseconds(200));
        check(fixture.countLogged("copy_placed") == 1);
        check(fixture.starts.size() == 6);
    });
    cluster former;
    placeTwo(former);
    cluster fixture;
    fixture.controller.adopt("j", former.stored, 9, "payload");
    fixture.tick();
    section("the next owner claims both, and places no third", [&] {
        require(fixture.starts.size() == 2);
        fixture.acceptAll();
        fixture.pass(milliseconds(3000));
        check(fixture.starts.size() == 2);
    });
    section("the first end counts, also if the other end was lost with the former owner", [&] {
        fixture.end(fixture.starts[1], end_kind::Done);
        check(fixture.stored.state() == job_state::Completed);
        check(fixture.isStopped(fixture.starts[0]));
    });
}

// One worker of few is slow: the limit of tasks on one worker counts copies too.
Test(copies, limit_of_tasks_on_one_worker)
{
    cluster fixture;
    auto spec = cluster::oneStep(6);
    spec.steps[0].maxPerWorker = 1;
    fixture.submit(spec);
    fixture.finishSome(4, milliseconds(600));
    const auto freeWorkers = [&](const std::string &worker) {
        return worker != fixture.starts[4].worker && worker != fixture.starts[5].worker;
    };
    fixture.pass(milliseconds(400));
    require(fixture.starts.size() >= 7);
    for (std::size_t index = 6; index < fixture.starts.size(); ++index)
        check(freeWorkers(fixture.starts[index].worker));
}

// Run times vary more than siblings show: copies that are not done first make the next ones wait.
Test(copies, backoff_for_a_kind_of_runs)
{
    const run_kind kind{"previews", ""};
    copy_backoff backoff;
    for (int copy = 0; copy < 40; ++copy)
        backoff.noteOutcome(kind, false);
    check(backoff.factorOf(kind) == 4);
    check(backoff.factorOf({"others", ""}) == 1);
    for (int copy = 0; copy < 10; ++copy)
        backoff.noteOutcome(kind, true);
    check(backoff.factorOf(kind) == 1);
}

// Several workers turn slow at once: the copies in flight stay a small share of the runs.
Test(copies, bounds_in_flight)
{
    const copy_settings settings;
    copy_budget budget;
    budget.ownerRuns = 100;
    budget.jobRuns = 20;
    int copies = 0;
    while (budget.allows(settings)) {
        budget.noteCopy();
        ++copies;
    }
    check(copies == 5); // a quarter of the job's runs
    budget.jobCopies = 0;
    budget.jobRuns = 100;
    budget.ownerCopies = 14;
    check(budget.allows(settings));
    budget.noteCopy();
    check(!budget.allows(settings)); // 15% of the owner's runs
}

Test(copies, off_by_default)
{
    cluster fixture{controller_settings{}};
    fixture.submit(cluster::oneStep(6));
    fixture.finishSome(5, milliseconds(600));
    fixture.pass(milliseconds(3000));
    check(fixture.starts.size() == 6);
}

// An owner is suspended after it has placed a copy, as the first run's start got no answer. Its
// successor, which does not reach the first run's agent either, stores that the copy is done. If
// the former owner then repeated the start, before it learned of its successor, the task would run
// again long after it was done.
Test(copies, suspended_owner)
{
    milliseconds feedDelay{2};
    cluster_simulation simulation(
            2, 3, [](const auto &, int) { return run_plan{milliseconds(300)}; },
            [&](delivery_kind what) {
                return what == delivery_kind::Feed ? delivery{feedDelay} : promptDelivery(what);
            },
            true, model_kind::Complete, settingsWithCopies(), 3);
    simulation.run(milliseconds(1500));
    auto &owner = simulation.entry(0);
    simulation.delayOrder = [](const send_order &sent) -> std::optional<milliseconds> {
        if (sent.order.run != 1)
            return std::nullopt;
        return std::chrono::hours(1);
    };
    std::string firstWorker;
    simulation.onRowStored = [&](simulated_entry &, const std::string &, const job_record &record) {
        if (firstWorker.empty())
            firstWorker = record.tasks[0][0][0].placements.front().worker;
    };
    const auto cut = [&](const std::string &worker, const simulated_entry &entry) {
        simulation.cutOffLink(simulation.agent(simulation.workerIndex(worker)), entry,
                              std::chrono::seconds(30));
    };
    simulation.onOrderHandled = [&](const send_order &sent, const order_answer &) {
        if (sent.order.run != 2 || feedDelay > std::chrono::seconds(1))
            return;
        simulation.freeze(owner, milliseconds(4500));
        feedDelay = std::chrono::seconds(30);
        cut(firstWorker, simulation.entry(1));
        cut(sent.worker, owner);
    };
    simulation.submit("j", cluster::oneStep(1));
    const task_id task{"j", 0, 0, 0};
    require(simulation.runUntil([&] { return simulation.runChecker().isDone(task); },
                                milliseconds(6000)));
    check(simulation.runChecker().copyCount() == 0); // only the copy was started
    check(simulation.now() < owner.frozenUntil);
    simulation.delayOrder = nullptr;
    simulation.stopStore(milliseconds(20'000));
    simulation.run(milliseconds(10'000));
    check(!isFinal(owner.controller->record("j")->state())); // it has not learned of its successor
    check(simulation.runChecker().startCount() == 1);
    check(simulation.runChecker().violations().empty());
}

namespace {

struct completed_jobs
{
    int inTime = 0; // within 1.5 times their critical path and 300 ms
    int starts = 0;
};

// Submits 60 jobs of 6 tasks of 600 ms, one each 300 ms, while one worker of six takes six times as
// long: another one each `slowTime`, in turn.
completed_jobs runBesideSlowWorker(bool withCopies, milliseconds slowTime)
{
    constexpr int JobCount = 60;
    auto settings = settingsWithCopies();
    settings.features.copiesSlowTasks = withCopies;
    std::map<std::string, time_point> submittedAt;
    std::map<std::string, milliseconds> duration;
    cluster_simulation simulation(
            2, 6,
            [](const task_id &task, int) {
                return run_plan{milliseconds(560 + 20 * (task.index % 5))};
            },
            promptDelivery, false, model_kind::Complete, settings, 3);
    simulation.onRowStored = [&](simulated_entry &, const std::string &id,
                                 const job_record &record) {
        if (isFinal(record.state()))
            duration.try_emplace(id, std::chrono::duration_cast<milliseconds>(simulation.now()
                                                                              - submittedAt[id]));
    };
    simulation.run(milliseconds(1500));
    time_point slowUntil{};
    std::size_t slowWorker = 0;
    for (int job = 0; job < JobCount; ++job) {
        if (simulation.now() >= slowUntil) {
            slowUntil = simulation.now() + slowTime;
            simulation.slowDown(simulation.worker(slowWorker++ % 6), slowTime, 6);
        }
        const auto id = std::to_string(job);
        submittedAt[id] = simulation.now();
        simulation.submit(id, cluster::oneStep(6));
        simulation.run(milliseconds(300));
    }
    simulation.run(milliseconds(10'000));
    check(duration.size() == JobCount);
    check(simulation.runChecker().violations().empty());
    completed_jobs result;
    result.starts = simulation.runChecker().startCount();
    result.inTime =
            static_cast<int>(std::count_if(duration.begin(), duration.end(), [](const auto &one) {
                return one.second <= milliseconds(600 * 3 / 2 + 300);
            }));
    return result;
}

} // namespace

// One worker of several is slow: with copies at least as many jobs are in time, and more where it
// is another one every few seconds, for few runs more.
Test(copies, jobs_in_time_beside_slow_workers)
{
    const auto compare = [](milliseconds slowTime) {
        const auto without = runBesideSlowWorker(false, slowTime);
        const auto with = runBesideSlowWorker(true, slowTime);
        std::printf("in time: %d without copies, %d with; starts: %d, %d\n", without.inTime,
                    with.inTime, without.starts, with.starts);
        check(with.starts < without.starts + without.starts / 5);
        return with.inTime - without.inTime;
    };
    section("the same worker is slow", [&] { check(compare(std::chrono::minutes(5)) >= 0); });
    section("another one each 3 s", [&] { check(compare(milliseconds(3000)) > 0); });
}
