// Compares how long tasks wait for a place on their data's rack, on the same seeded sequences:
// never, always, for 2.5 s, and as wait_policy decides. One rack of `Slots` places; other racks
// always have free capacity, and runs there take `farFactor` times as long. Prints a table in
// Markdown; times in ms.
//
//   wait_policy_bench [seconds]
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>
#include <vector>

#include <fmt/core.h>

#include "jobs/wait_policy.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;

namespace {

enum class strategy { Never, Always, Fixed, Weighed };

struct model_task
{
    std::int64_t acceptedMs = 0;
    std::int64_t runMs = 0;
    std::int64_t objectiveMs = 0;
};

struct outcome
{
    double completionMs = 0; // mean, from acceptance
    double late = 0;         // share
    double workMs = 0;       // mean run time, of the processors
};

constexpr int Slots = 9;
constexpr std::int64_t StepMs = 50;

outcome play(strategy chosen, double load, double farFactor, std::uint32_t seed, int seconds)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> runTime(1.0 / 2000);
    std::poisson_distribution<int> arrivals(load * Slots * StepMs / 2000);
    wait_policy policy;
    const time_point start{std::chrono::hours(1)};
    std::vector<std::int64_t> busyUntil(Slots, 0);
    std::vector<model_task> queue;
    outcome sum;
    int done = 0;
    const auto finish = [&](const model_task &task, std::int64_t nowMs, double factor) {
        const auto run = factor * static_cast<double>(task.runMs);
        const auto completion = static_cast<double>(nowMs - task.acceptedMs) + run;
        policy.recordRun(factor == 1, factor);
        sum.completionMs += completion;
        sum.workMs += run;
        sum.late += completion > static_cast<double>(task.objectiveMs) ? 1 : 0;
        ++done;
    };
    for (std::int64_t nowMs = 0; nowMs < seconds * std::int64_t{1000}; nowMs += StepMs) {
        const auto now = start + milliseconds(nowMs);
        for (int count = arrivals(random); count > 0; --count) {
            const auto runMs = static_cast<std::int64_t>(200 + 0.9 * runTime(random));
            queue.push_back({nowMs, runMs, 2 * runMs + 1000});
        }
        policy.beginRound(0);
        std::vector<model_task> waiting;
        for (const auto &task : queue) {
            const auto slot = std::find_if(busyUntil.begin(), busyUntil.end(),
                                           [&](auto until) { return until <= nowMs; });
            if (slot != busyUntil.end()) {
                *slot = nowMs + task.runMs;
                if (task.acceptedMs < nowMs)
                    policy.recordFound("r");
                finish(task, nowMs, 1);
                continue;
            }
            const auto waitedMs = nowMs - task.acceptedMs;
            const auto slackMs = task.acceptedMs + task.objectiveMs - task.runMs - nowMs;
            bool waits = chosen == strategy::Always;
            if (chosen == strategy::Fixed)
                waits = waitedMs < 2500;
            if (chosen == strategy::Weighed) {
                const waiting_tasks asked{start + milliseconds(task.acceptedMs), slackMs,
                                          task.runMs, true};
                waits = std::holds_alternative<wait_until>(policy.decideDistance(asked, "r", now));
            }
            if (waits)
                waiting.push_back(task);
            else
                finish(task, nowMs, farFactor);
        }
        queue = waiting;
    }
    const double tasks = std::max(1, done);
    return {sum.completionMs / tasks, sum.late / tasks, sum.workMs / tasks};
}

void printRow(double load, double farFactor, int seconds)
{
    constexpr int Seeds = 10;
    fmt::print("| {:.1f} | {:.1f} |", load, farFactor);
    for (const auto chosen :
         {strategy::Never, strategy::Always, strategy::Fixed, strategy::Weighed}) {
        outcome mean;
        for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
            const auto one = play(chosen, load, farFactor, seed, seconds);
            mean.completionMs += one.completionMs / Seeds;
            mean.late += one.late / Seeds;
            mean.workMs += one.workMs / Seeds;
        }
        fmt::print(" {:.0f}, {:.2f}, {:.0f} |", mean.completionMs, mean.late, mean.workMs);
    }
    fmt::print("\n");
}

} // namespace

int main(int argc, char **argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 300;
    fmt::print("| load of the rack | far factor | never waits | always | 2.5 s | weighed |\n"
               "|---|---|---|---|---|---|\n");
    for (const double load : {0.7, 1.0, 1.5, 3.0}) {
        for (const double farFactor : {1.5, 3.0})
            printRow(load, farFactor, seconds);
    }
}
