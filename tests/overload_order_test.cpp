// Tests the order in which jobs are given workers when they ask for slightly more than the workers
// can do, in a simulation of a minute and a half.
#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "jobs/urgency.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;

namespace {

constexpr int SlotCount = 40;                 // tasks that run at a time
constexpr std::int64_t LastSubmitMs = 90'000; // when the last job is submitted
constexpr std::int64_t TickMs = 50;
// Run time of the tasks submitted per ms: 1.15 times what the slots can do.
constexpr std::int64_t RequestedPerMs = 46;

struct running_task
{
    std::size_t jobIndex = 0;
    int step = 0;
    int index = 0;
    std::int64_t endsAtMs = 0;
};

struct simulated_job
{
    job_record record;
    std::vector<std::vector<std::int64_t>> actualMs; // actual run times, by step and task
    bool isCompleted = false;
};

// Sum of the actual run times of the remaining steps. Each step takes as long as its longest task,
// which counts in full even when it has started.
std::int64_t remainingActualMs(const simulated_job &job)
{
    std::int64_t remainingMs = 0;
    for (std::size_t step = 0; step < job.actualMs.size(); ++step) {
        if (!job.record.isStepDone(0, static_cast<int>(step)))
            remainingMs += *std::max_element(job.actualMs[step].begin(), job.actualMs[step].end());
    }
    return remainingMs;
}

class overload_simulation
{
public:
    explicit overload_simulation(unsigned seed)
        : m_random(seed)
    { }

    // Share of jobs on time when actual run times are known in advance: jobs that cannot be on time
    // come last, the others are ordered by slack.
    double onTimeShareWithHindsight()
    {
        return simulate([](const simulated_job &job, std::int64_t now) {
            const auto end = job.record.acceptedAtMs + objectiveMs(job);
            const bool cannotFinishOnTime = now + remainingActualMs(job) > end;
            return std::pair(cannotFinishOnTime, slackMs(job.record, now));
        });
    }
    double onTimeShare()
    {
        return simulate([](const simulated_job &job, std::int64_t now) {
            return std::pair(false, urgencyOf(job.record, now));
        });
    }

private:
    static std::int64_t objectiveMs(const simulated_job &job)
    {
        return static_cast<std::int64_t>(job.record.policy.stretch
                                         * static_cast<double>(estimatedCriticalPathMs(job.record)))
               + job.record.policy.targetLatencyMs;
    }
    std::int64_t randomBetween(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
    }

    // Steps take 1.3 to 1.5 times their estimates; their tasks take different times.
    void submitJob(std::int64_t now)
    {
        job_spec spec;
        simulated_job job;
        const auto steps = randomBetween(1, 3);
        for (int index = 0; index < steps; ++index) {
            step_spec step;
            step.count = static_cast<int>(randomBetween(2, 16));
            step.size = {1000, 100, 0};
            step.estimateMs = randomBetween(600, 2400);
            if (index > 0)
                step.after = {index - 1};
            spec.steps.push_back(step);
            const auto slowest = step.estimateMs * randomBetween(130, 150) / 100;
            auto &taskTimesMs = job.actualMs.emplace_back();
            for (int task = 0; task < step.count; ++task) {
                taskTimesMs.push_back(slowest * randomBetween(70, 100) / 100);
                m_requestedMs += taskTimesMs.back();
            }
        }
        queue_policy policy;
        policy.stretch = 2;
        policy.targetLatencyMs = 1000;
        job.record = newRecord(spec, policy, now);
        m_jobs.push_back(std::move(job));
    }

    void endTasks(std::int64_t now)
    {
        std::erase_if(m_runningTasks, [&](const running_task &run) {
            if (run.endsAtMs > now)
                return false;
            auto &job = m_jobs[run.jobIndex];
            auto &task = *job.record.find({"", 0, run.step, run.index});
            task.placements.clear();
            task.done = true;
            if (job.record.state() == job_state::Completed) {
                job.isCompleted = true;
                m_completedOnTime +=
                        run.endsAtMs <= job.record.acceptedAtMs + objectiveMs(job) ? 1 : 0;
            }
            return true;
        });
    }

    template <typename Order>
    void startTasks(std::int64_t now, Order order)
    {
        std::vector<std::pair<decltype(order(m_jobs[0], now)), std::size_t>> waiting;
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            if (!m_jobs[index].isCompleted)
                waiting.emplace_back(order(m_jobs[index], now), index);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto &[urgency, index] : waiting)
            startTasksOf(index, now);
    }

    void startTasksOf(std::size_t jobNumber, std::int64_t now)
    {
        auto &job = m_jobs[jobNumber];
        for (int step = 0; step < static_cast<int>(job.actualMs.size()); ++step) {
            if (!job.record.isStepReady(0, step))
                continue;
            const auto &taskTimesMs = job.actualMs[static_cast<std::size_t>(step)];
            for (int index = 0; index < static_cast<int>(taskTimesMs.size()); ++index) {
                auto &task = *job.record.find({"", 0, step, index});
                if (!task.isWaiting() || m_runningTasks.size() >= SlotCount)
                    continue;
                task.placements.push_back({"w", 1, 1, 0});
                m_runningTasks.push_back({jobNumber, step, index,
                                          now + taskTimesMs[static_cast<std::size_t>(index)]});
            }
        }
    }

    template <typename Order>
    double simulate(Order order)
    {
        for (std::int64_t now = 0; now < LastSubmitMs + 60'000; now += TickMs) {
            while (now < LastSubmitMs && m_requestedMs < RequestedPerMs * now)
                submitJob(now);
            endTasks(now);
            startTasks(now, order);
        }
        return static_cast<double>(m_completedOnTime) / static_cast<double>(m_jobs.size());
    }

    std::mt19937 m_random;
    std::vector<simulated_job> m_jobs;
    std::vector<running_task> m_runningTasks;
    std::int64_t m_requestedMs = 0;
    int m_completedOnTime = 0;
};

} // namespace

// Guards against workers that are spread over parts of many jobs at a time, so that none of these
// jobs is on time.
Test(overload_order, as_many_in_time_as_when_lost_jobs_come_last)
{
    constexpr unsigned Seeds = 20;
    double share = 0;
    double hindsightShare = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        share += overload_simulation(seed).onTimeShare() / Seeds;
        hindsightShare += overload_simulation(seed).onTimeShareWithHindsight() / Seeds;
    }
    cr_expect(share >= hindsightShare,
              "%.3f on time, %.3f when jobs that cannot be on time come last", share,
              hindsightShare);
}
