// Checks that free capacity is used in a simulated cluster without faults. A long-running task that
// has not run for 6 s must not wait while some worker has had free capacity for two such tasks for
// 3 s. The capacity is that of the worker less what really runs there, whatever its agent reports
// and the owners assume.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>

#include "base/time.h"
#include "cluster_simulation.h"

namespace zinniabarrow::tests {

class held_room_checker
{
public:
    // Must be called often, first when the last fault ends.
    void observe(cluster_simulation &simulation)
    {
        const auto now = simulation.now();
        if (m_startedAt == time_point{})
            m_startedAt = now;
        const auto workers = occupationOf(simulation);
        for (const auto &[job, row] : simulation.rows()) {
            if (row.version == 0 || jobs::isFinal(row.record->state()))
                continue;
            const auto &steps = row.record->steps;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                for (int index = 0; steps[step].isLongRunning && index < steps[step].count; ++index)
                    checkTask({job, 0, static_cast<int>(step), index}, steps[step], workers, now);
            }
        }
    }

    const std::vector<std::string> &violations() const { return m_violations; }

private:
    static constexpr milliseconds MinCalm{7000};        // since the last fault
    static constexpr milliseconds TaskStallLimit{6000}; // longest time that a task doesn't run
    static constexpr milliseconds HeldRoomLimit{3000};  // longest time that its room is not used

    struct worker_occupation
    {
        std::string name;
        jobs::task_size free;
        std::set<jobs::task_id> running;
    };

    static std::vector<worker_occupation> occupationOf(cluster_simulation &simulation)
    {
        std::vector<worker_occupation> workers;
        for (std::size_t index = 0; index < simulation.workerCount(); ++index) {
            auto &worker = simulation.worker(index);
            worker.advance(simulation.now());
            worker_occupation occupation{worker.name(), simulation.agent(index).capacity, {}};
            for (const auto &task : worker.runningTasks()) {
                const auto &record = *simulation.rows().at(task.job).record;
                occupation.free -= record.steps[static_cast<std::size_t>(task.step)].size;
                occupation.running.insert(task);
            }
            workers.push_back(std::move(occupation));
        }
        return workers;
    }

    static bool hasRoom(const worker_occupation &worker, const jobs::task_id &task,
                        const jobs::step_spec &step)
    {
        const auto siblings =
                std::count_if(worker.running.begin(), worker.running.end(), [&](const auto &other) {
                    return other.job == task.job && other.step == task.step;
                });
        if (step.maxPerWorker > 0 && siblings >= step.maxPerWorker)
            return false;
        auto needed = step.size;
        needed += step.size;
        return needed.fitsInto(worker.free);
    }

    void checkTask(const jobs::task_id &task, const jobs::step_spec &step,
                   const std::vector<worker_occupation> &workers, time_point now)
    {
        auto &lastRanAt = m_lastRanAt.try_emplace(task, now).first->second;
        for (const auto &worker : workers) {
            if (worker.running.contains(task))
                lastRanAt = now;
        }
        for (const auto &worker : workers) {
            const std::pair key{task, worker.name};
            if (!hasRoom(worker, task, step)) {
                m_roomSince.erase(key);
                continue;
            }
            const auto roomSince = m_roomSince.try_emplace(key, now).first->second;
            if (now - m_startedAt >= MinCalm && now - lastRanAt > TaskStallLimit
                && now - roomSince > HeldRoomLimit)
                addViolation(task, step, worker, now - roomSince, now - lastRanAt);
        }
    }

    void addViolation(const jobs::task_id &task, const jobs::step_spec &step,
                      const worker_occupation &worker, duration roomTime, duration stallTime)
    {
        if (!m_reportedTasks.insert(task).second)
            return;
        m_violations.push_back(fmt::format(
                "room on {} for {} ms: {} of {} millicores doesn't run for {} ms, {} are free",
                worker.name, millisecondsIn(roomTime), toText(task), step.size.millicores,
                millisecondsIn(stallTime), worker.free.millicores));
    }

    time_point m_startedAt{}; // first observation
    std::map<jobs::task_id, time_point> m_lastRanAt;
    // By task and worker: since when the worker has had free capacity for two of the task.
    std::map<std::pair<jobs::task_id, std::string>, time_point> m_roomSince;
    std::set<jobs::task_id> m_reportedTasks;
    std::vector<std::string> m_violations;
};

} // namespace zinniabarrow::tests
