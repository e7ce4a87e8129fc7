// Random, bounded sequences of events for the scheduler, with fixed seeds. After each step: no
// worker is given more than its size, no cancelled task is placed, and no task is lost or placed
// twice.
#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>

#include "base/random.h"
#include "placement/scheduler.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::placement;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Gigabyte = 1'000'000'000;

struct expected_task
{
    std::string worker; // empty: pending
    resources reservation;
    bool cancelled = false;
    bool stopping = false;
};

// The state that follows from the events and actions, and where an action contradicts it.
struct expected_state
{
    std::map<std::string, resources> sizes;  // sizes of the workers that accept tasks
    std::map<task_ref, expected_task> tasks; // neither ended nor refused
    std::vector<std::string> violations;

    resources reservedOn(const std::string &worker) const
    {
        resources sum;
        for (const auto &[task, state] : tasks)
            sum += state.worker == worker ? state.reservation : resources{};
        return sum;
    }

    void expect(bool condition, const std::string &description)
    {
        if (!condition)
            violations.push_back(description);
    }

    void operator()(const place_action &action)
    {
        expect(tasks.contains(action.task), "placed an unknown task " + toText(action.task));
        auto &task = tasks[action.task];
        expect(task.worker.empty(), "placed twice: " + toText(action.task));
        expect(!task.cancelled, "placed after its cancellation: " + toText(action.task));
        expect(sizes.contains(action.worker), "placed on a removed worker");
        task = {action.worker, action.reserved, false, false};
        expect(reservedOn(action.worker).fitsIn(sizes[action.worker]),
               "overcommitted " + action.worker);
    }

    void operator()(const raise_action &action)
    {
        auto &task = tasks[action.task];
        expect(task.worker == action.worker, "raised on a worker on which it is not placed");
        task.reservation = action.reserved;
        expect(!sizes.contains(action.worker)
                       || reservedOn(action.worker).fitsIn(sizes[action.worker]),
               "raise overcommits " + action.worker);
    }

    void operator()(const preempt_action &action)
    {
        auto &task = tasks[action.victim];
        expect(task.worker == action.worker && !task.stopping,
               "preempted a task that is not running there");
        task.stopping = true;
    }

    void operator()(const throttle_action &action)
    {
        expect(tasks[action.task].worker == action.worker,
               "throttled on a worker on which it is not placed");
        expect(action.millicores <= tasks[action.task].reservation.millicores,
               "limit above the reservation");
    }

    void operator()(const refuse_action &action)
    {
        if (action.kind != error_kind::Quarantined)
            tasks.erase(action.task);
    }
};

struct random_run
{
    random_generator random;
    scheduler subject;
    expected_state expected;
    time_point now{std::chrono::hours(1)};
    int nextJob = 0;

    explicit random_run(std::uint64_t seed)
        : random(seed)
        , subject(scheduler_settings{})
    {
        subject.setPool({"main", {16'000, 60 * Gigabyte, 2}}, now);
        subject.setTeam({"team-0", 2, {40'000, 0, 0}});
    }

    int randomBelow(int bound)
    {
        return static_cast<int>(drawIndex(random, static_cast<std::size_t>(bound)));
    }

    // A random task that is placed or pending, or end().
    std::map<task_ref, expected_task>::iterator pickTask(bool placed)
    {
        std::vector<std::map<task_ref, expected_task>::iterator> candidates;
        for (auto task = expected.tasks.begin(); task != expected.tasks.end(); ++task) {
            if (task->second.worker.empty() != placed)
                candidates.push_back(task);
        }
        return candidates.empty() ? expected.tasks.end()
                                  : candidates[drawIndex(random, candidates.size())];
    }

    void plan()
    {
        for (const auto &action : subject.plan(now, 1 + randomBelow(50)))
            std::visit(expected, action);
    }

    void changeWorker()
    {
        const auto id = "w" + std::to_string(randomBelow(8));
        if (randomBelow(3) == 0) {
            subject.removeWorker(id, now);
            expected.sizes.erase(id);
            return;
        }
        // A size below what is already reserved would overcommit the worker without an error of the
        // scheduler, so such sizes are left out. A raise counts as reserved before the worker is
        // told.
        const resources size{8'000 + 1'000 * randomBelow(8), (30 + randomBelow(30)) * Gigabyte,
                             randomBelow(3)};
        const auto *ledger = subject.ledgerOf(id);
        if (ledger && !ledger->reserved().fitsIn(size))
            return;
        expected.sizes[id] = size;
        subject.addWorker({id, "zone-" + std::to_string(randomBelow(3)), "r1", "main", size}, now);
    }

    void submit()
    {
        task_spec task;
        task.jobId = "job-" + std::to_string(nextJob++);
        task.jobClass = "class-" + std::to_string(randomBelow(6));
        task.team = "team-" + std::to_string(randomBelow(3));
        task.pool = "main";
        task.kind = randomBelow(4) == 0 ? task_kind::Service : task_kind::Batch;
        task.priority = static_cast<task_priority>(randomBelow(3));
        task.failover = randomBelow(5) == 0 ? failover_class::Proof : failover_class::Lease;
        task.declared = {500 + 500 * randomBelow(20), (1 + randomBelow(20)) * Gigabyte,
                         randomBelow(12) == 0 ? 1 : 0};
        const int count = 1 + randomBelow(6);
        for (task.taskIndex = 0; task.taskIndex < count; ++task.taskIndex) {
            expected.tasks.try_emplace(task.ref());
            subject.taskPending(task, now);
        }
    }

    // The task leaves its worker: pending again, or removed if it ended or was cancelled.
    void markReleased(std::map<task_ref, expected_task>::iterator task, bool ended)
    {
        if (ended || task->second.cancelled)
            expected.tasks.erase(task);
        else
            task->second = {};
    }

    void reportTaskEvent()
    {
        const auto task = pickTask(true);
        if (task == expected.tasks.end())
            return;
        const auto [ref, worker] = std::pair(task->first, task->second.worker);
        const int event = randomBelow(8);
        if (event == 0) {
            subject.placementSettled(ref, worker, placement_outcome::Unknown, now);
        } else if (event == 1) {
            subject.taskRunning(ref, worker, now);
        } else if (event == 2) {
            subject.taskStopping(ref, worker, now);
            task->second.stopping = true;
        } else if (event == 3) {
            subject.taskReleased(ref, worker, now);
            markReleased(task, false);
        } else if (event == 4) {
            subject.taskEnded(ref, worker, now);
            markReleased(task, true);
        } else if (event == 5) {
            subject.taskFailed(ref, worker, "exit 1", now);
            markReleased(task, false);
        } else if (event == 6) {
            subject.usageSampled(
                    {ref, worker, {randomBelow(9'000), randomBelow(30) * Gigabyte, 0}, now}, now);
        } else {
            const microseconds p99{1 + randomBelow(30'000)};
            subject.latencySampled(
                    {ref, worker, p99, microseconds(10'000), now - seconds(randomBelow(20))}, now);
        }
        if (randomBelow(3)
            == 0) // late and duplicated events, naming a worker on which the task no longer is
            subject.taskReleased(ref, worker + "-old", now);
    }

    void cancelRandomTasks()
    {
        std::vector<task_ref> tasks;
        for (int index = randomBelow(10); index > 0; --index) {
            const auto task = pickTask(randomBelow(2) == 0);
            if (task != expected.tasks.end())
                tasks.push_back(task->first);
        }
        const auto toStop = subject.cancelTasks(tasks, now);
        for (const auto &ref : tasks) {
            const auto task = expected.tasks.find(ref);
            if (task == expected.tasks.end())
                continue;
            task->second.cancelled = true;
            task->second.stopping = true;
            const bool placed = !task->second.worker.empty();
            expected.expect(placed == (std::count(toStop.begin(), toStop.end(), ref) > 0),
                            "a cancelled task on a worker must be stopped");
            if (!placed)
                expected.tasks.erase(task);
        }
    }

    void step()
    {
        now += milliseconds(randomBelow(3'000));
        const int kind = randomBelow(20);
        if (kind == 0)
            changeWorker();
        else if (kind < 3)
            submit();
        else if (kind == 3)
            cancelRandomTasks();
        else if (kind < 9)
            plan();
        else
            reportTaskEvent();
        const auto pendingCount =
                std::count_if(expected.tasks.begin(), expected.tasks.end(),
                              [](const auto &task) { return task.second.worker.empty(); });
        expected.expect(subject.pendingTaskCount() == static_cast<std::size_t>(pendingCount),
                        "a task is lost");
    }

    // Every running task ends, so every pending task must eventually run.
    void drain()
    {
        const resources size{16'000, 60 * Gigabyte, 2};
        for (int index = 0; index < 8; ++index) {
            const auto id = "w" + std::to_string(index);
            subject.addWorker({id, "zone-0", "r1", "main", size}, now);
            expected.sizes[id] = size;
        }
        for (int round = 0; round < 400 && !expected.tasks.empty(); ++round) {
            now += std::chrono::minutes(2);
            plan();
            for (auto task = pickTask(true); task != expected.tasks.end(); task = pickTask(true)) {
                subject.taskEnded(task->first, task->second.worker, now);
                expected.tasks.erase(task);
            }
        }
        expected.expect(expected.tasks.empty(),
                        "a task is never placed: "
                                + (expected.tasks.empty()
                                           ? ""
                                           : subject.explain(expected.tasks.begin()->first, now)));
    }
};

} // namespace

Test(placement_property, randomEvents)
{
    std::uint64_t placed = 0;
    std::uint64_t preempted = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_run run(seed);
        for (int step = 0; step < 3'000; ++step)
            run.step();
        run.drain();
        section("seed " + std::to_string(seed), [&] {
            for (const auto &violation : run.expected.violations)
                cr_expect(false, "%s: %s", tests::sectionName().c_str(), violation.c_str());
        });
        placed += run.subject.stats().placed;
        preempted +=
                run.subject.stats().preemptedForUrgent + run.subject.stats().preemptedForMemory;
    }
    section("the sequences placed and preempted enough tasks", [&] {
        check(placed > 10'000);
        check(preempted > 200);
    });
}
