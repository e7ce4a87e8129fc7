// Cost of the scheduler, by number of workers and tasks: processor time of decisions, and memory.
// Prints one table.
//
// Processor time depends on this machine and is meant to be read by people. Memory is the number of
// bytes requested from the allocator.
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <new>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/random.h"
#include "placement/scheduler.h"

namespace {

std::size_t liveBytes = 0;

// Each block is preceded by its size.
constexpr std::size_t HeaderBytes = alignof(std::max_align_t);

void *countedAllocate(std::size_t size)
{
    auto *block = static_cast<char *>(std::malloc(size + HeaderBytes));
    if (!block)
        throw std::bad_alloc();
    *reinterpret_cast<std::size_t *>(block) = size;
    liveBytes += size;
    return block + HeaderBytes;
}

void countedFree(void *pointer) noexcept
{
    if (!pointer)
        return;
    auto *block = static_cast<char *>(pointer) - HeaderBytes;
    liveBytes -= *reinterpret_cast<std::size_t *>(block);
    std::free(block);
}

} // namespace

void *operator new(std::size_t size)
{
    return countedAllocate(size);
}

void operator delete(void *pointer) noexcept
{
    countedFree(pointer);
}

void operator delete(void *pointer, std::size_t) noexcept
{
    countedFree(pointer);
}

namespace {

using namespace zinniabarrow;
using namespace zinniabarrow::placement;

constexpr std::int64_t Gigabyte = 1'000'000'000;
constexpr int TasksPerJob = 25;
constexpr int ClassCount = 40;

// Processor time of this process, which other programs on the machine influence little.
double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct scheduler_run
{
    random_generator random{7};
    scheduler testedScheduler;
    time_point now{std::chrono::hours(1)};
    int nextJob = 0;
    std::vector<place_action> placed;

    explicit scheduler_run(int workers)
        : testedScheduler(scheduler_settings{})
    {
        testedScheduler.setPool({"main", {64'000, 256 * Gigabyte, 4}}, now);
        for (int index = 0; index < workers; ++index) {
            const resources size{64'000, 256 * Gigabyte, index % 2 == 0 ? 4 : 0};
            const auto zone = "zone-" + std::to_string(index % 5);
            testedScheduler.addWorker({"worker-" + std::to_string(index), zone,
                                       std::to_string(index / 40), "main", size},
                                      now);
        }
    }

    // One job in 13 is a service, which matches 1,900 services of 24,900 tasks.
    void submit(int tasks)
    {
        for (int submitted = 0; submitted < tasks; ++nextJob) {
            task_spec task;
            task.jobId = "job-" + std::to_string(nextJob);
            task.jobClass = "class-" + std::to_string(nextJob % ClassCount);
            task.kind = nextJob % 13 == 0 ? task_kind::Service : task_kind::Batch;
            task.team = "team-" + std::to_string(nextJob % 28);
            task.pool = "main";
            const auto size = static_cast<std::int64_t>(drawIndex(random, 10));
            task.declared = {400 + 100 * size, Gigabyte + size * Gigabyte / 2, 0};
            for (task.taskIndex = 0; task.taskIndex < TasksPerJob && submitted < tasks;
                 ++submitted) {
                testedScheduler.taskPending(task, now);
                ++task.taskIndex;
            }
        }
    }

    // Plans once and returns the number of tasks that were placed.
    std::size_t plan()
    {
        std::size_t count = 0;
        for (const auto &action : testedScheduler.plan(now, 100'000)) {
            if (const auto *place = std::get_if<place_action>(&action)) {
                placed.push_back(*place);
                ++count;
            } else if (const auto *preemption = std::get_if<preempt_action>(&action)) {
                testedScheduler.taskReleased(preemption->victim, preemption->worker, now);
                std::erase_if(placed,
                              [&](const auto &each) { return each.task == preemption->victim; });
            }
        }
        return count;
    }

    void startAllPlaced()
    {
        for (const auto &place : placed) {
            testedScheduler.placementSettled(place.task, place.worker, placement_outcome::Applied,
                                             now);
            testedScheduler.taskRunning(place.task, place.worker, now);
        }
    }

    void sampleAllPlaced()
    {
        now += seconds(10);
        for (const auto &place : placed)
            testedScheduler.usageSampled({place.task, place.worker, {300, Gigabyte, 0}, now}, now);
    }

    // Processor time of one second at peak load: 210 tasks end and 210 are submitted, in ten plans.
    double measurePeakSecond()
    {
        const double beginSeconds = processorSeconds();
        for (int part = 0; part < 10; ++part) {
            now += milliseconds(100);
            for (int endIndex = 0; endIndex < 21; ++endIndex) {
                const auto index = drawIndex(random, placed.size());
                testedScheduler.taskEnded(placed[index].task, placed[index].worker, now);
                placed[index] = placed.back();
                placed.pop_back();
            }
            submit(21);
            const auto placedBefore = placed.size();
            plan();
            for (std::size_t index = placedBefore; index < placed.size(); ++index)
                testedScheduler.taskRunning(placed[index].task, placed[index].worker, now);
        }
        return processorSeconds() - beginSeconds;
    }
};

void measure(int workers, int tasks)
{
    const auto bytesBefore = liveBytes;
    scheduler_run run(workers);
    const auto workerBytes = liveBytes - bytesBefore;
    run.submit(tasks);
    run.placed.reserve(static_cast<std::size_t>(tasks) + 64);
    const auto placedBytes = run.placed.capacity() * sizeof(place_action);
    const double beginSeconds = processorSeconds();
    const auto count = run.plan();
    const double planSeconds = processorSeconds() - beginSeconds;
    run.startAllPlaced();
    const double sampleBeginSeconds = processorSeconds();
    run.sampleAllPlaced();
    const double sampleSeconds = processorSeconds() - sampleBeginSeconds;
    const auto bytes = liveBytes - bytesBefore - placedBytes - workerBytes;
    double peak = 0;
    constexpr int PeakSeconds = 5;
    for (int second = 0; second < PeakSeconds; ++second)
        peak += run.measurePeakSecond() / PeakSeconds;
    const auto perTask = 1e6 / static_cast<double>(std::max<std::size_t>(count, 1));
    fmt::print("{:8} {:8} {:8} {:11.1f} {:12.2f} {:13.2f} {:13} {:12} {:10.1f}\n", workers, tasks,
               count, planSeconds * perTask, sampleSeconds * perTask, peak * 100,
               workerBytes / static_cast<std::size_t>(workers),
               bytes / static_cast<std::size_t>(tasks), static_cast<double>(bytes) / 1e6);
}

} // namespace

int main()
{
    fmt::print("{:>8} {:>8} {:>8} {:>11} {:>12} {:>13} {:>13} {:>12} {:>10}\n", "workers", "tasks",
               "placed", "us/decision", "us/sample", "peak % core", "bytes/worker", "bytes/task",
               "tasks MB");
    for (const int workers : {100, 200, 400, 790, 1'000, 2'000})
        measure(workers, workers * 30);
    for (const int tasks : {1'000, 5'000, 10'000, 25'000})
        measure(790, tasks);
    return 0;
}
