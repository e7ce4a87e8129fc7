// Tests of class scheduler: sequences of events and the actions that must follow.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include <criterion/criterion.h>

#include "placement/scheduler.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::placement;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Gigabyte = 1'000'000'000;
constexpr resources WorkerSize{16'000, 60 * Gigabyte, 0};
constexpr int MaxDecisions = 10'000;

task_spec batchTask(const std::string &job, int index, const resources &declared)
{
    task_spec task;
    task.jobId = job;
    task.taskIndex = index;
    task.jobClass = job;
    task.team = "clubs";
    task.pool = "main";
    task.declared = declared;
    return task;
}

task_spec serviceTask(const std::string &job, int index, const resources &declared)
{
    auto task = batchTask(job, index, declared);
    task.kind = task_kind::Service;
    return task;
}

// Workers w0, w1, … in three availability zones, with three workers per rack.
struct scheduler_fixture
{
    scheduler subject;
    time_point now{std::chrono::hours(1)};
    std::vector<placement_action> actions; // of the last plan

    explicit scheduler_fixture(int workers, const scheduler_settings &settings = {})
        : subject(settings)
    {
        subject.setPool({"main", WorkerSize}, now);
        for (int index = 0; index < workers; ++index)
            subject.addWorker(workerInfo(index), now);
    }

    static worker_info workerInfo(int index)
    {
        const char zone = static_cast<char>('a' + index % 3);
        return {"w" + std::to_string(index), std::string("kartli-") + zone,
                "r" + std::to_string(index / 9), "main", WorkerSize};
    }

    void submit(const task_spec &task, int count = 1)
    {
        auto next = task;
        for (int index = 0; index < count; ++index) {
            next.taskIndex = task.taskIndex + index;
            subject.taskPending(next, now);
        }
    }

    void plan(int maxDecisions = MaxDecisions) { actions = subject.plan(now, maxDecisions); }

    template <typename Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const auto &action : actions) {
            if (const auto *matching = std::get_if<Action>(&action))
                found.push_back(*matching);
        }
        return found;
    }

    // Plans, and reports every placed task as running. Returns the placements.
    std::vector<place_action> planAndRun()
    {
        plan();
        auto placed = actionsOf<place_action>();
        for (const auto &each : placed)
            markRunning(each);
        return placed;
    }

    void markRunning(const place_action &placed)
    {
        subject.placementSettled(placed.task, placed.worker, placement_outcome::Applied, now);
        subject.taskRunning(placed.task, placed.worker, now);
    }

    void reportLatency(const place_action &service, double timesTarget, duration age = seconds(0))
    {
        const microseconds target{10'000};
        const microseconds p99{static_cast<std::int64_t>(timesTarget * 10'000)};
        subject.latencySampled({service.task, service.worker, p99, target, now - age}, now);
    }
};

} // namespace

// The response to the write that stores a placement is lost. The task is shown as ambiguous. It may
// start, so its capacity must not be given to another task, and it must not be placed again, until
// the row has been read.
Test(scheduler, ambiguousPlacementKeepsItsReservation)
{
    scheduler_fixture fixture(1);
    const auto wholeWorkerTask = batchTask("season", 0, WorkerSize);
    fixture.submit(wholeWorkerTask);
    fixture.plan();
    fixture.subject.placementSettled(wholeWorkerTask.ref(), "w0", placement_outcome::Unknown,
                                     fixture.now);
    section("the task is not placed again, and no other task gets its capacity", [&] {
        fixture.submit(batchTask("other", 0, {1'000, 0, 0}));
        fixture.now += std::chrono::hours(2);
        fixture.plan();
        check(fixture.actions.empty());
        check(fixture.subject.explain(wholeWorkerTask.ref(), fixture.now).find("ambiguous")
              != std::string::npos);
    });
    section("when the row shows that nothing was stored, the capacity is free again", [&] {
        fixture.subject.placementSettled(wholeWorkerTask.ref(), "w0", placement_outcome::NotApplied,
                                         fixture.now);
        fixture.plan();
        check(fixture.actionsOf<place_action>().size() == 1);
    });
}

// A task is asked to stop and the confirmation does not arrive. It may still run, so giving its
// capacity to another task would overcommit the worker. Late and duplicated events must change
// nothing.
Test(scheduler, unconfirmedStopKeepsItsReservation)
{
    scheduler_fixture fixture(2);
    const auto task = batchTask("season", 0, WorkerSize);
    fixture.submit(task);
    const auto placed = fixture.planAndRun();
    fixture.subject.removeWorker(placed[0].worker == "w0" ? "w1" : "w0", fixture.now);
    fixture.subject.taskStopping(task.ref(), placed[0].worker, fixture.now);
    fixture.subject.taskRunning(task.ref(), placed[0].worker, fixture.now); // sent before the stop
    fixture.submit(batchTask("other", 0, {1, 1, 0}));
    section("its capacity is given to no other task", [&] {
        fixture.now += std::chrono::hours(2);
        fixture.plan();
        check(fixture.actions.empty());
        check(fixture.subject.ledgerOf(placed[0].worker)->find(task.ref())->state
              == reservation_state::Stopping);
    });
    section("a report from another worker does not free the capacity", [&] {
        fixture.subject.taskReleased(task.ref(), "w9", fixture.now);
        fixture.plan();
        check(fixture.actions.empty());
        check(fixture.subject.stats().staleEvents == 1);
    });
    section("the confirmation of the task's own worker frees it, and counts only once", [&] {
        fixture.subject.taskReleased(task.ref(), placed[0].worker, fixture.now);
        fixture.subject.taskReleased(task.ref(), placed[0].worker, fixture.now);
        check(fixture.subject.pendingTaskCount() == 2);
    });
}

Test(scheduler, servicesSpreadAndBatchIsPacked)
{
    scheduler_fixture fixture(12);
    section("replicas spread over availability zones and racks", [&] {
        fixture.submit(serviceTask("tickets", 0, {2'000, Gigabyte, 0}), 6);
        std::set<std::string> workers;
        std::map<std::string, int> zones;
        for (const auto &placed : fixture.planAndRun()) {
            workers.insert(placed.worker);
            ++zones[scheduler_fixture::workerInfo(std::stoi(placed.worker.substr(1))).zone];
        }
        check(workers.size() == 6);
        check(zones.size() == 3 && zones["kartli-a"] == 2 && zones["kartli-b"] == 2);
    });
    section("batch tasks are packed on few workers", [&] {
        fixture.submit(batchTask("season", 0, {2'000, 7 * Gigabyte, 0}), 14);
        std::set<std::string> workers;
        for (const auto &placed : fixture.planAndRun())
            workers.insert(placed.worker);
        check(workers.size() <= 3);
    });
}

Test(scheduler, refusals)
{
    scheduler_fixture fixture(2);
    fixture.subject.setTeam({"clubs", 1, {8'000, 0, 0}});
    section("a task that can never fit is refused at once, and the limit is named", [&] {
        fixture.submit(batchTask("huge", 0, {1'000, 61 * Gigabyte, 0}), 2);
        fixture.plan();
        const auto refused = fixture.actionsOf<refuse_action>();
        require(refused.size() == 2);
        check(refused[0].kind == error_kind::NeverFits);
        check(refused[0].reason.find("bytes: 61000000000 declared, 60000000000")
              != std::string::npos);
        check(fixture.subject.pendingTaskCount() == 0);
    });
    section("a task that exceeds its team's quota is refused at once", [&] {
        fixture.submit(batchTask("wide", 0, {9'000, 0, 0}));
        fixture.plan();
        require(fixture.actionsOf<refuse_action>().size() == 1);
        check(fixture.actionsOf<refuse_action>()[0].kind == error_kind::QuotaExceeded);
    });
    section("a task of a team at its quota stays pending, and the reason is shown", [&] {
        fixture.submit(batchTask("season", 0, {3'000, 0, 0}), 3);
        check(fixture.planAndRun().size() == 2);
        check(fixture.subject.explain({"season", 2}, fixture.now).find("quota")
              != std::string::npos);
    });
    section("before the pool's size is known nothing is refused", [&] {
        scheduler newScheduler{scheduler_settings{}};
        newScheduler.taskPending(batchTask("huge", 0, {1'000, 61 * Gigabyte, 0}), fixture.now);
        check(newScheduler.plan(fixture.now, MaxDecisions).empty());
        newScheduler.addWorker(scheduler_fixture::workerInfo(0), fixture.now);
        check(newScheduler.plan(fixture.now + seconds(9), MaxDecisions).empty());
        check(newScheduler.plan(fixture.now + seconds(10), MaxDecisions).size() == 1);
    });
}

// Two teams with weights 1 and 3 have more pending tasks than fit. One submits first and would take
// all capacity if the queue were served in order of arrival.
Test(scheduler, teamsShareByWeight)
{
    scheduler_fixture fixture(2);
    fixture.subject.setTeam({"clubs", 1, {}});
    fixture.subject.setTeam({"families", 3, {}});
    fixture.submit(batchTask("season", 0, {1'000, 0, 0}), 100);
    auto other = batchTask("holds", 0, {1'000, 0, 0});
    other.team = "families";
    fixture.submit(other, 100);
    int clubsTaskCount = 0;
    const auto placed = fixture.planAndRun();
    for (const auto &each : placed)
        clubsTaskCount += each.task.jobId == "season" ? 1 : 0;
    section("the teams get a quarter and three quarters of the capacity", [&] {
        check(placed.size() == 32);
        check(clubsTaskCount == 8);
    });
}

// All workers are full of batch tasks when an urgent task arrives, which must start within 2.4 s. A
// victim is stopped at once and its capacity is held for the urgent task. The victim's worker does
// not confirm the stop, and another worker is used instead.
Test(scheduler, urgentPreemptsBatch)
{
    scheduler_fixture fixture(3);
    auto watcher = batchTask("watcher", 0, {16'000, Gigabyte, 0});
    watcher.failover = failover_class::Proof;
    fixture.submit(watcher);
    fixture.submit(batchTask("season", 0, {8'000, Gigabyte, 0}), 4);
    check(fixture.planAndRun().size() == 5);
    auto urgent = batchTask("gate", 0, {8'000, Gigabyte, 0});
    urgent.priority = task_priority::Urgent;
    const auto arrivedAt = fixture.now;
    fixture.submit(urgent);
    fixture.plan();
    const auto first = fixture.actionsOf<preempt_action>();
    section("one victim is asked to stop in time, and it is not the lease watcher", [&] {
        require(first.size() == 1);
        check(first[0].victim.jobId == "season");
        check(first[0].checkpointDeadline <= arrivedAt + milliseconds(1'500));
        fixture.plan();
        check(fixture.actions.empty()); // asked only once
    });
    section("without a confirmation, a task on another worker is preempted", [&] {
        fixture.now = first[0].checkpointDeadline + milliseconds(300);
        fixture.plan();
        const auto second = fixture.actionsOf<preempt_action>();
        require(second.size() == 1);
        check(second[0].worker != first[0].worker);
        fixture.now += milliseconds(200);
        fixture.subject.taskReleased(second[0].victim, second[0].worker, fixture.now);
    });
    section("the urgent task, and not the victim, is placed within 2.4 s", [&] {
        fixture.plan();
        const auto placed = fixture.actionsOf<place_action>();
        require(placed.size() == 1);
        check(placed[0].task == urgent.ref());
        check(fixture.now - arrivedAt <= milliseconds(2'400));
    });
    section("capacity freed for a larger urgent task stays held until the rest is free", [&] {
        auto wide = urgent;
        wide.jobId = "gate-wide";
        wide.declared.millicores = 16'000;
        fixture.submit(wide);
        fixture.plan();
        const auto victims = fixture.actionsOf<preempt_action>();
        require(victims.size() == 1); // the unconfirmed stop provides the other half
        check(victims[0].worker == first[0].worker);
        fixture.subject.taskReleased(first[0].victim, first[0].worker, fixture.now);
        check(fixture.planAndRun().empty());
        fixture.subject.taskReleased(victims[0].victim, victims[0].worker, fixture.now);
        const auto placed = fixture.planAndRun();
        require(placed.size() == 1);
        check(placed[0].task == wide.ref());
        fixture.subject.taskEnded(wide.ref(), placed[0].worker, fixture.now);
        check(fixture.planAndRun().size() == 2);
    });
    section("capacity held for an urgent task is released when the task is cancelled", [&] {
        auto next = urgent;
        next.jobId = "gate-2";
        fixture.submit(next);
        fixture.plan();
        const auto victims = fixture.actionsOf<preempt_action>();
        require(victims.size() == 1);
        const std::vector<task_ref> cancelled{next.ref()};
        check(fixture.subject.cancelTasks(cancelled, fixture.now).empty());
        fixture.subject.taskReleased(victims[0].victim, victims[0].worker, fixture.now);
        check(fixture.planAndRun().size() == 1);
    });
}

// A team's own batch tasks fill its quota when its urgent work arrives, although the workers have
// free capacity. Waiting for them to end could take hours, so as many of the team's own batch tasks
// are stopped as the quota requires, and none of another team.
Test(scheduler, urgentWorkOfATeamAtItsQuota)
{
    scheduler_fixture fixture(2);
    fixture.subject.setTeam({"clubs", 1, {16'000, 0, 0}});
    fixture.submit(batchTask("season", 0, {4'000, Gigabyte, 0}), 6);
    auto other = batchTask("matches", 0, {4'000, Gigabyte, 0});
    other.team = "families";
    fixture.submit(other, 2);
    require(fixture.planAndRun().size() == 6); // four of season, two of matches
    auto urgent = batchTask("gate", 0, {4'000, Gigabyte, 0});
    urgent.priority = task_priority::Urgent;
    const auto arrivedAt = fixture.now;
    fixture.submit(urgent, 2);
    fixture.plan();
    const auto stopped = fixture.actionsOf<preempt_action>();
    section("one of the team's own tasks is stopped in time for each urgent task", [&] {
        require(stopped.size() == 2);
        for (const auto &each : stopped) {
            check(each.victim.jobId == "season");
            check(each.checkpointDeadline <= arrivedAt + milliseconds(1'500));
        }
    });
    section("no further tasks are stopped meanwhile, and nothing starts above the quota", [&] {
        fixture.now += milliseconds(200);
        check(fixture.planAndRun().empty());
        check(fixture.actionsOf<preempt_action>().empty());
    });
    section("the urgent tasks are placed within 2.4 s", [&] {
        for (const auto &each : stopped)
            fixture.subject.taskReleased(each.victim, each.worker, fixture.now);
        const auto placed = fixture.planAndRun();
        require(placed.size() == 2);
        check(placed[0].task.jobId == "gate" && placed[1].task.jobId == "gate");
        check(fixture.now - arrivedAt <= milliseconds(2'400));
    });
    section("a batch task of a team at its quota preempts nothing", [&] {
        fixture.submit(batchTask("second", 0, {4'000, Gigabyte, 0}));
        fixture.plan();
        check(fixture.actions.empty());
    });
}

// Two urgent tasks arrive one after the other and need capacity on the only worker. The first one's
// victim stops in time; the second one's still runs and must not keep the first from starting.
Test(scheduler, urgentTasksDoNotBlockEachOther)
{
    scheduler_fixture fixture(1);
    fixture.submit(batchTask("season", 0, {8'000, Gigabyte, 0}), 2);
    fixture.planAndRun();
    auto urgent = batchTask("gate", 0, {8'000, Gigabyte, 0});
    urgent.priority = task_priority::Urgent;
    fixture.submit(urgent);
    fixture.plan();
    const auto first = fixture.actionsOf<preempt_action>();
    fixture.now += milliseconds(500);
    urgent.jobId = "earlier-name";
    fixture.submit(urgent);
    fixture.plan();
    const auto second = fixture.actionsOf<preempt_action>();
    require(first.size() == 1 && second.size() == 1);
    section("the capacity of the first victim goes to the first task", [&] {
        fixture.subject.taskReleased(first[0].victim, "w0", fixture.now);
        const auto placed = fixture.planAndRun();
        require(placed.size() == 1);
        check(placed[0].task.jobId == "gate");
    });
    section("the capacity of the second victim goes to the second task", [&] {
        fixture.subject.taskReleased(second[0].victim, "w0", fixture.now);
        const auto placed = fixture.planAndRun();
        require(placed.size() == 1);
        check(placed[0].task.jobId == "earlier-name");
    });
}

// Capacity is held for an urgent task. Before the task can start, its team reaches its quota. The
// task is not tried any more, and without an expiry the held capacity would stay unused forever.
Test(scheduler, holdExpires)
{
    scheduler_fixture fixture(1);
    fixture.subject.setTeam({"gates", 1, {8'000, 0, 0}});
    fixture.submit(batchTask("season", 0, {8'000, Gigabyte, 0}), 2);
    fixture.planAndRun();
    auto urgent = batchTask("gate", 0, {8'000, Gigabyte, 0});
    urgent.priority = task_priority::Urgent;
    urgent.team = "gates";
    fixture.submit(urgent);
    fixture.plan();
    const auto victims = fixture.actionsOf<preempt_action>();
    require(victims.size() == 1);
    urgent.jobId = "elsewhere"; // read from the table, on a worker of another scheduler
    fixture.subject.taskPlaced(urgent, "w9", urgent.declared, reservation_state::Running,
                               fixture.now);
    fixture.subject.taskReleased(victims[0].victim, "w0", fixture.now);
    section("at first the capacity stays held", [&] { check(fixture.planAndRun().empty()); });
    section("later another task gets it", [&] {
        fixture.now += seconds(3);
        fixture.plan();
        const auto placed = fixture.planAndRun();
        require(placed.size() == 1);
        check(placed[0].task == victims[0].victim);
    });
    section("the urgent task stays pending, with a reason", [&] {
        check(fixture.subject.explain({"gate", 0}, fixture.now).find("quota") != std::string::npos);
    });
}

// After a takeover the new owner adds the tasks from the table before it has read the
// configuration. A lease watcher then looks like any batch task; evicting it for urgent work would
// restart it.
Test(scheduler, tasksOfUnknownJobsAreNotEvicted)
{
    scheduler_fixture fixture(1);
    auto watcher = batchTask("watcher", 0, WorkerSize);
    auto unconfigured = watcher;
    unconfigured.pool.clear();
    fixture.subject.taskPlaced(unconfigured, "w0", WorkerSize, reservation_state::Running,
                               fixture.now);
    auto urgent = batchTask("gate", 0, {1'000, 0, 0});
    urgent.priority = task_priority::Urgent;
    fixture.submit(urgent);
    section("a task is not evicted while its job is unknown", [&] {
        fixture.plan();
        check(fixture.actions.empty());
    });
    section("the task is evicted once it is known to be an ordinary batch task", [&] {
        fixture.subject.taskPlaced(watcher, "w0", WorkerSize, reservation_state::Running,
                                   fixture.now);
        fixture.now += seconds(1);
        fixture.plan();
        check(fixture.actionsOf<preempt_action>().size() == 1);
    });
}

// A service of low priority must not preempt batch tasks of normal priority.
Test(scheduler, preemptionFollowsPriority)
{
    scheduler_fixture fixture(1);
    fixture.submit(batchTask("season", 0, WorkerSize));
    fixture.planAndRun();
    auto service = serviceTask("reports", 0, {1'000, 0, 0});
    service.priority = task_priority::Low;
    fixture.submit(service);
    fixture.plan();
    section("a service of low priority stays pending", [&] { check(fixture.actions.empty()); });
    section("a service of normal priority preempts", [&] {
        fixture.submit(serviceTask("tickets", 0, {1'000, 0, 0}));
        fixture.plan();
        check(fixture.actionsOf<preempt_action>().size() == 1);
    });
}

// A class of batch tasks is known to slow the service on the only worker. Placing more of them
// there would slow the service further. They have to wait, with a reason, but not forever.
Test(scheduler, batchWaitsWhereItWouldSlowAService)
{
    scheduler_settings settings;
    settings.weights = {0.7, 0.2, 0.1};
    settings.relieveServices = false;
    scheduler_fixture fixture(1, settings);
    fixture.submit(serviceTask("tickets", 0, {4'000, Gigabyte, 0}));
    const auto service = fixture.planAndRun().at(0);
    for (int round = 0; round < 20; ++round) {
        fixture.now += seconds(10);
        fixture.submit(batchTask("noisy", round, {2'000, Gigabyte, 0}));
        const auto noisy = fixture.planAndRun();
        fixture.now += seconds(10);
        fixture.reportLatency(service, noisy.empty() ? 0.9 : 2.0);
        for (const auto &placed : noisy)
            fixture.subject.taskEnded(placed.task, placed.worker, fixture.now);
        fixture.now += seconds(10);
        fixture.reportLatency(service, 0.9);
    }
    const auto first = fixture.now;
    fixture.subject.cancelJob("noisy", fixture.now);
    auto laterTask = batchTask("more", 0, {2'000, Gigabyte, 0});
    laterTask.jobClass = "noisy";
    fixture.submit(laterTask);
    fixture.plan();
    section("a task of the interfering class stays pending, with a reason", [&] {
        check(fixture.actionsOf<place_action>().empty());
        check(fixture.subject.explain(laterTask.ref(), fixture.now).find("slow")
              != std::string::npos);
    });
    section("a task of another class is placed", [&] {
        fixture.submit(batchTask("quiet", 0, {500, Gigabyte, 0}));
        check(fixture.planAndRun().size() == 1);
    });
    section("the task of the interfering class is placed after a longer wait", [&] {
        while (fixture.planAndRun().empty() && fixture.now - first < std::chrono::hours(2))
            fixture.now += seconds(30);
        check(fixture.now - first >= seconds(30) && fixture.now - first < std::chrono::hours(2));
    });
}

// Two replicas serve no requests, so their latency was never measured, and their worker is the only
// one of the shard. Batch must start beside them at once. When they serve requests and miss
// their target, batch has to wait.
Test(scheduler, batchBesideAnIdleService)
{
    scheduler_settings settings;
    settings.weights = {1, 0.5, 0.5};
    settings.relieveServices = false;
    scheduler_fixture fixture(1, settings);
    fixture.submit(serviceTask("tickets", 0, {4'000, Gigabyte, 0}), 2);
    const auto services = fixture.planAndRun();
    require(services.size() == 2);
    section("idle services: the batch task is placed", [&] {
        fixture.submit(batchTask("season", 0, {2'000, Gigabyte, 0}));
        check(fixture.planAndRun().size() == 1);
    });
    section("services above their target: the batch task stays pending", [&] {
        fixture.now += seconds(10);
        for (const auto &service : services)
            fixture.reportLatency(service, 3.0);
        fixture.submit(batchTask("season", 1, {2'000, Gigabyte, 0}));
        fixture.plan();
        check(fixture.actionsOf<place_action>().empty());
    });
}

// An entry takes over a shard and reads from the table what runs there. The agent has not reported
// yet, so the worker's size is unknown. If the size were taken as 0, each task's share would equal
// thousands of workers: batch would wait for minutes beside idle replicas, and a latency sample
// from that time would reduce the estimated effect of the most interfering class to almost nothing.
Test(scheduler, tasksAreAddedBeforeTheirWorker)
{
    scheduler_settings settings;
    settings.weights = {0.7, 0.2, 0.1};
    settings.relieveServices = false;
    const auto noisy = batchTask("noisy", 0, {4'000, Gigabyte, 0});
    const auto addTasksFromTable = [&](scheduler_fixture &fixture, int replicas) {
        for (int index = 0; index < replicas; ++index) {
            const auto service = serviceTask("tickets", index, {4'000, Gigabyte, 0});
            fixture.subject.taskPlaced(service, "w0", service.declared, reservation_state::Running,
                                       fixture.now);
        }
        fixture.subject.taskPlaced(noisy, "w0", noisy.declared, reservation_state::Running,
                                   fixture.now);
        fixture.now += seconds(2);
    };
    const place_action service{{"tickets", 0}, "w0", {}};
    section("batch is placed at once beside idle replicas", [&] {
        scheduler_fixture fixture(0, settings);
        addTasksFromTable(fixture, 2);
        fixture.subject.addWorker(scheduler_fixture::workerInfo(0), fixture.now);
        fixture.submit(batchTask("season", 0, {1'000, Gigabyte, 0}));
        check(fixture.planAndRun().size() == 1);
    });
    section("a sample from before the worker's size is known is dropped", [&] {
        scheduler_fixture fixture(0, settings);
        addTasksFromTable(fixture, 1);
        fixture.reportLatency(service, 2.0);
        check(fixture.subject.stats().droppedSamples == 1);
        fixture.subject.addWorker(scheduler_fixture::workerInfo(0), fixture.now);
        const auto tickets = fixture.subject.classNumber("tickets");
        const auto effect = fixture.subject.interference().effect(
                tickets, fixture.subject.classNumber("noisy"));
        check(effect.mean == settings.interference.priorEffect);
        check(effect.deviation == settings.interference.priorDeviation);
    });
    section("batch stays pending where the next sample shows a service above its target", [&] {
        scheduler_fixture fixture(0, settings);
        addTasksFromTable(fixture, 1);
        fixture.reportLatency(service, 2.0);
        fixture.subject.addWorker(scheduler_fixture::workerInfo(0), fixture.now);
        fixture.now += seconds(2);
        fixture.reportLatency(service, 2.0);
        fixture.submit(batchTask("noisy", 1, {4'000, Gigabyte, 0}));
        fixture.plan();
        check(fixture.actionsOf<place_action>().empty());
    });
}

// Thousands of tasks are cancelled at once while some run, some are being placed and some are
// pending, and events about them arrive late. None may start afterwards.
Test(scheduler, cancelsThousandsOfTasks)
{
    scheduler_fixture fixture(4);
    fixture.submit(batchTask("season", 0, {1'000, Gigabyte, 0}), 5'000);
    const auto placed = fixture.planAndRun();
    const auto toStop = fixture.subject.cancelJob("season", fixture.now);
    section("tasks on a worker have to be stopped, and count until then", [&] {
        check(placed.size() == 64 && toStop.size() == 64);
        fixture.submit(batchTask("other", 0, {1'000, 0, 0}));
        fixture.plan();
        check(fixture.actions.empty());
    });
    section("no late event makes a cancelled task pending again", [&] {
        fixture.subject.taskReleased(placed[0].task, placed[0].worker, fixture.now);
        fixture.subject.taskFailed(placed[1].task, placed[1].worker, "killed", fixture.now);
        fixture.subject.placementSettled(placed[2].task, placed[2].worker,
                                         placement_outcome::NotApplied, fixture.now);
        fixture.submit(batchTask("season", 0, {1'000, Gigabyte, 0}), 5'000);
        const auto next = fixture.planAndRun();
        check(next.size() == 1 && next[0].task.jobId == "other");
        check(fixture.subject.pendingTaskCount() == 0);
    });
    section("a job submitted again under the same name runs", [&] {
        fixture.subject.reopenJob("season");
        fixture.submit(batchTask("season", 9'000, {1'000, Gigabyte, 0}));
        check(fixture.planAndRun().size() == 1);
    });
}

// A task uses more memory than it declared. Its reservation is raised while there is headroom, and
// new tasks no longer get that capacity. When the worker has no capacity left, one batch task
// chosen by policy is evicted; otherwise the kernel would kill an arbitrary task.
Test(scheduler, memoryBeyondTheDeclaredSize)
{
    scheduler_fixture fixture(1);
    auto low = batchTask("low", 0, {1'000, 8 * Gigabyte, 0});
    low.priority = task_priority::Low;
    fixture.submit(low, 3);
    fixture.submit(serviceTask("tickets", 0, {1'000, 25 * Gigabyte, 0}));
    check(fixture.planAndRun().size() == 4);
    const auto reportServiceMemory = [&](std::int64_t gigabytes) {
        fixture.now += seconds(10);
        fixture.subject.usageSampled(
                {{"tickets", 0}, "w0", {500, gigabytes * Gigabyte, 0}, fixture.now}, fixture.now);
        fixture.plan();
    };
    section("the raised reservation is sent to the worker", [&] {
        reportServiceMemory(24);
        require(fixture.actionsOf<raise_action>().size() == 1);
        check(fixture.actionsOf<raise_action>()[0].reserved.bytes == 288 * Gigabyte / 10);
    });
    section("without free capacity one task of low priority is evicted, once", [&] {
        reportServiceMemory(33);
        const auto victims = fixture.actionsOf<preempt_action>();
        require(victims.size() == 1);
        low.taskIndex = victims[0].victim.taskIndex;
        check(victims[0].victim == low.ref());
        check(victims[0].reason == preempt_reason::MemoryPressure);
        fixture.plan();
        check(fixture.actions.empty());
    });
    section("the raise is granted when the evicted task has stopped", [&] {
        fixture.subject.taskReleased(low.ref(), "w0", fixture.now);
        fixture.plan();
        check(fixture.actionsOf<raise_action>().size() == 1);
        check(fixture.subject.ledgerOf("w0")->reserved().bytes == 556 * Gigabyte / 10);
    });
    section("the evicted task is not placed on the same worker for two minutes", [&] {
        fixture.subject.taskEnded({"low", (low.taskIndex + 1) % 3}, "w0", fixture.now);
        fixture.plan();
        check(fixture.actions.empty());
        fixture.now += std::chrono::minutes(2);
        check(fixture.planAndRun().size() == 1);
    });
}

// Batch tasks fill the workers and more are pending. A task in a backlog must start in the capacity
// that an ended task frees, even while the table is unavailable and no new placement can be stored,
// but never beyond the worker's size or the team's quota. A backlog must not keep a task from free
// capacity on another worker.
Test(scheduler, backlog)
{
    scheduler_fixture fixture(1);
    const auto planBacklogs = [&](std::size_t perWorker) {
        auto plan = fixture.subject.planBacklog(fixture.now, perWorker);
        for (const auto &each : plan.assigned)
            fixture.subject.placementSettled(each.task, each.worker, placement_outcome::Applied,
                                             fixture.now);
        return plan;
    };
    const auto countStartsInOutage = [&] {
        fixture.actions = fixture.subject.plan(fixture.now, MaxDecisions, plan_scope::BacklogOnly);
        return fixture.actionsOf<place_action>().size();
    };
    const auto endTask = [&](int index, const std::string &worker) {
        fixture.subject.taskEnded({"season", index}, worker, fixture.now);
    };
    const resources quarter{4'000, 8 * Gigabyte, 0};
    fixture.submit(batchTask("season", 0, quarter), 8);
    check(fixture.planAndRun().size() == 4);
    check(planBacklogs(2).assigned.size() == 2);
    check(planBacklogs(2).assigned.empty());
    section("when one task ends, exactly one task of the backlog starts", [&] {
        check(countStartsInOutage() == 0);
        endTask(0, "w0");
        check(countStartsInOutage() == 1);
        check(countStartsInOutage() == 0);
        check(fixture.subject.ledgerOf("w0")->reserved().millicores == WorkerSize.millicores);
    });
    section("the second task of the backlog waits for the team's quota", [&] {
        fixture.subject.setTeam({"clubs", 1, {12'000, 0, 0}});
        endTask(1, "w0");
        check(countStartsInOutage() == 0);
        fixture.subject.setTeam({"clubs", 1, {}});
        check(countStartsInOutage() == 1);
    });
    section("a new worker gets the tasks from the backlog of the first worker", [&] {
        check(planBacklogs(2).assigned.size() == 2);
        fixture.subject.addWorker(scheduler_fixture::workerInfo(1), fixture.now);
        check(planBacklogs(2).withdrawn.empty());
        fixture.now += seconds(3);
        const auto withdrawals = planBacklogs(2).withdrawn;
        check(withdrawals.size() == 2);
        check(countStartsInOutage() == 0); // their withdrawal is in progress
        for (const auto &each : withdrawals)
            fixture.subject.taskReleased(each.task, each.worker, fixture.now);
        const auto placed = fixture.planAndRun();
        check(placed.size() == 2 && placed.front().worker == "w1");
    });
}

// After a takeover it is unknown which tasks of a backlog the previous owner started. Counted as
// placed, they exceed their worker's size: none may start until the sum fits, and one that turns
// out to be in the backlog releases its reservation.
Test(scheduler, backlogOfAnEarlierOwner)
{
    scheduler_fixture fixture(1);
    const resources third{5'000, 8 * Gigabyte, 0};
    for (int index = 0; index < 4; ++index)
        fixture.subject.taskPlaced(batchTask("season", index, third), "w0", third,
                                   reservation_state::Running, fixture.now);
    check(!fixture.subject.isWithinLimits({"season", 3}));
    fixture.subject.taskInBacklog({"season", 3}, "w0", fixture.now);
    check(fixture.subject.backlogLengthOf("w0") == 1);
    check(fixture.subject.isWithinLimits({"season", 2}));
    check(fixture.planAndRun().empty());
    fixture.subject.taskEnded({"season", 0}, "w0", fixture.now);
    check(fixture.planAndRun().size() == 1);
    check(fixture.subject.backlogLengthOf("w0") == 0);
}

// One task outgrows its size on a worker whose other tasks reserved far more than they use. Batch
// tasks must not be evicted while memory is free, or a wave of growing tasks would cause a wave of
// evictions. The deferred raise keeps new tasks away; one task is evicted only when the memory in
// use comes near the worker's size, before the kernel kills one.
Test(scheduler, evictsForMemoryInUse)
{
    scheduler_fixture fixture(1);
    fixture.submit(batchTask("season", 0, {1'000, 25 * Gigabyte, 0}), 2);
    fixture.submit(batchTask("grows", 0, {1'000, 8 * Gigabyte, 0}));
    check(fixture.planAndRun().size() == 3);
    const auto reportMemory = [&](const task_ref &task, std::int64_t gigabytes) {
        fixture.now += seconds(10);
        fixture.subject.usageSampled({task, "w0", {500, gigabytes * Gigabyte, 0}, fixture.now},
                                     fixture.now);
        fixture.plan();
    };
    reportMemory({"season", 0}, 5);
    reportMemory({"season", 1}, 5);
    reportMemory({"grows", 0}, 12);
    section("the raise is deferred, nothing is evicted, and no new task gets the capacity", [&] {
        check(fixture.subject.ledgerOf("w0")->deferred().bytes > 0);
        check(fixture.subject.stats().preemptedForMemory == 0);
        fixture.submit(batchTask("other", 0, {1'000, 2 * Gigabyte, 0}));
        fixture.plan();
        check(fixture.actionsOf<place_action>().empty());
    });
    section("one task is evicted when the memory in use comes near the worker's size", [&] {
        reportMemory({"season", 0}, 22);
        reportMemory({"season", 1}, 22);
        check(fixture.subject.stats().preemptedForMemory == 1);
        fixture.plan();
        check(fixture.subject.stats().preemptedForMemory == 1);
    });
}

// Samples are duplicated or late, and the learned size of a class exceeds every worker.
Test(scheduler, usageSamples)
{
    scheduler_fixture fixture(1);
    fixture.submit(batchTask("season", 0, {1'000, 30 * Gigabyte, 0}));
    const auto placed = fixture.planAndRun();
    const auto sample = [&](int index, std::int64_t gigabytes) {
        fixture.subject.usageSampled(
                {{"season", index}, "w0", {1, gigabytes * Gigabyte, 0}, fixture.now}, fixture.now);
    };
    section("a duplicated sample counts once", [&] {
        sample(0, 20);
        sample(0, 20);
        check(fixture.subject.stats().droppedSamples == 1);
    });
    section("a sample of an earlier attempt does not count for this one", [&] {
        fixture.subject.taskReleased({"season", 0}, "w0", fixture.now);
        fixture.now += seconds(10);
        require(fixture.planAndRun().size() == 1);
        fixture.subject.usageSampled(
                {{"season", 0}, "w0", {1, 50 * Gigabyte, 0}, fixture.now - seconds(5)},
                fixture.now);
        check(fixture.subject.stats().droppedSamples == 2);
        fixture.plan();
        check(fixture.actionsOf<raise_action>().empty());
    });
    section("learning never prevents a task from running that could run as declared", [&] {
        for (int index = 1; index < 10; ++index) {
            fixture.subject.taskEnded({"season", index - 1}, "w0", fixture.now);
            fixture.submit(batchTask("season", index, {1'000, 30 * Gigabyte, 0}));
            const auto next = fixture.planAndRun();
            require(next.size() == 1);
            check(next[0].reserved.bytes <= WorkerSize.bytes);
            sample(index, 58);
        }
    });
}

// The samples of a worker arrive 40 s late. For a while after the first throttling they still show
// the latency from before. Acting on them would throttle repeatedly for the same interference.
Test(scheduler, delayedSamplesCauseOneAction)
{
    scheduler_settings settings;
    settings.avoidInterference = false;
    scheduler_fixture fixture(1, settings);
    fixture.submit(serviceTask("tickets", 0, {4'000, Gigabyte, 0}));
    const auto service = fixture.planAndRun().at(0);
    fixture.submit(batchTask("noisy", 0, {8'000, Gigabyte, 0}));
    fixture.planAndRun();
    fixture.now += seconds(60);
    int actions = 0;
    int elapsedSeconds = 0;
    time_point throttledAt = Never;
    for (; elapsedSeconds < 60 && actions < 2; ++elapsedSeconds) {
        fixture.now += seconds(1);
        const bool isNoisy = fixture.now - seconds(40) <= throttledAt;
        fixture.reportLatency(service, isNoisy ? 8.0 : 2.5, seconds(40));
        fixture.reportLatency(service, isNoisy ? 8.0 : 2.5, seconds(40)); // a duplicate
        fixture.plan();
        actions += static_cast<int>(fixture.actions.size());
        throttledAt = actions == 1 ? std::min(throttledAt, fixture.now) : throttledAt;
    }
    section("the second action waits for samples from after the first", [&] {
        check(actions == 2);
        check(elapsedSeconds >= 40 + 2 * static_cast<int>(settings.signal.windowSamples));
        check(fixture.subject.stats().droppedSamples == static_cast<std::uint64_t>(elapsedSeconds));
    });
}

// Interfering batch tasks start on every worker at once and every service misses its target. Relief
// must throttle before it evicts, wait for the effect, and never exceed the eviction budget, or the
// wave of interference would cause a wave of evictions with the loss of their work.
Test(scheduler, waveOfInterferingTasks)
{
    scheduler_settings settings;
    settings.weights = {0.7, 0.2, 0.1};
    settings.avoidInterference = false; // the interfering tasks must be placed beside the services
    scheduler_fixture fixture(12, settings);
    fixture.submit(serviceTask("tickets", 0, {4'000, Gigabyte, 0}), 12);
    const auto services = fixture.planAndRun();
    fixture.submit(batchTask("noisy", 0, {4'000, Gigabyte, 0}), 36);
    std::map<task_ref, std::pair<std::string, double>> noisy; // worker and processors
    for (const auto &placed : fixture.planAndRun())
        noisy[placed.task] = {placed.worker, 4.0};
    double slowdownPerProcessor = 0.3; // logarithm
    int throttled = 0;
    int evicted = 0;
    std::map<std::string, time_point> lastActionAt;
    duration minInterval = std::chrono::hours(1);
    const auto step = [&] {
        fixture.now += seconds(2);
        for (const auto &service : services) {
            double noisyProcessors = 0;
            for (const auto &[task, location] : noisy)
                noisyProcessors += location.first == service.worker ? location.second : 0;
            fixture.reportLatency(service, std::exp(slowdownPerProcessor * noisyProcessors - 0.3),
                                  seconds(1));
        }
        fixture.plan();
        for (const auto &action : fixture.actionsOf<throttle_action>()) {
            ++throttled;
            noisy[action.task].second = static_cast<double>(action.millicores) / 1000;
            if (lastActionAt.contains(action.worker))
                minInterval = std::min(minInterval, fixture.now - lastActionAt[action.worker]);
            lastActionAt[action.worker] = fixture.now;
        }
        for (const auto &action : fixture.actionsOf<preempt_action>()) {
            ++evicted;
            noisy.erase(action.victim);
            fixture.subject.taskEnded(action.victim, action.worker, fixture.now);
        }
    };
    const auto minutes = [&](int count) {
        for (int index = 0; index < count * 30; ++index)
            step();
    };
    section("every noisy task is throttled to its lower bound before any is evicted", [&] {
        while (evicted == 0 && throttled < 72)
            step();
        check(throttled == 72 && evicted == 0);
        check(minInterval >= seconds(20));
    });
    section("after that no more tasks are evicted than the budget allows", [&] {
        minutes(20);
        check(evicted >= 3 && evicted <= 4);
        check(fixture.subject.stats().evictionsOverBudget > 0);
    });
    section("without interference the processor limits are raised step by step", [&] {
        slowdownPerProcessor = 0;
        throttled = 0;
        minutes(1);
        check(throttled <= 12);
        minutes(20);
        check(throttled > 24);
    });
}

// One of twelve workers fails every task within a second. It therefore always has free capacity,
// and without a quarantine it would get the next tasks again.
Test(scheduler, workerThatFailsAllTasks)
{
    scheduler_fixture fixture(12);
    for (int job = 0; job < 30; ++job)
        fixture.submit(batchTask("job-" + std::to_string(job), 0, {4'000, 4 * Gigabyte, 0}));
    std::string failingWorker;
    int failures = 0;
    for (int second = 0; second < 600; ++second) {
        fixture.now += seconds(1);
        for (const auto &placed : fixture.planAndRun()) {
            failingWorker = failingWorker.empty() ? placed.worker : failingWorker;
            if (placed.worker != failingWorker)
                continue;
            ++failures;
            fixture.subject.taskFailed(placed.task, placed.worker, "disk error", fixture.now);
        }
    }
    section("the worker causes few failures, and no job is quarantined", [&] {
        check(failures >= 3 && failures <= 8);
        check(fixture.subject.stats().refusedQuarantined == 0);
        check(fixture.subject.pendingTaskCount() == 0);
    });
    section("the worker is used again after a successful probe", [&] {
        fixture.submit(batchTask("fill", 0, {4'000, 4 * Gigabyte, 0}), 100);
        for (int minute = 0; minute < 120; ++minute) {
            fixture.now += std::chrono::minutes(1);
            for (const auto &placed : fixture.planAndRun()) {
                if (placed.worker == failingWorker)
                    fixture.subject.taskEnded(placed.task, placed.worker, fixture.now);
            }
        }
        check(fixture.subject.pendingTaskCount() <= 75);
    });
}

Test(scheduler, jobThatAlwaysFails)
{
    scheduler_fixture fixture(6);
    fixture.submit(batchTask("broken", 0, {1'000, Gigabyte, 0}), 50);
    int failures = 0;
    int reportedRefusals = 0;
    for (int second = 0; second < 100; ++second) {
        fixture.now += seconds(1);
        for (const auto &placed : fixture.planAndRun()) {
            ++failures;
            fixture.subject.taskFailed(placed.task, placed.worker, "no such file", fixture.now);
        }
        reportedRefusals += static_cast<int>(fixture.actionsOf<refuse_action>().size());
    }
    section("the job is quarantined after failures on three workers, and this is reported once",
            [&] {
                check(reportedRefusals == 1);
                check(failures <= 200);
                check(fixture.subject.pendingTaskCount() == 50); // none is lost
                check(fixture.subject.explain({"broken", 0}, fixture.now).find("no such file")
                      != std::string::npos);
            });
}
