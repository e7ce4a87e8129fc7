// zinniabarrow_demo: runs a complete system on loopback, as large as the deployment of the operator
// Mtkvari, and demonstrates its features.
//
//   1. start: platform, 11 workers with upstreams and agents, 3 entries, as separate processes
//   2. configuration: submits a folder with a team, a pool, a service and a batch job
//   3. load: callers read and purchase through all entries, and repeat some purchases at another
//   4. batch: the tasks of the job run beside the service under leases; each finishes exactly once
//   5. results: prints a table of the outcomes; exit code 0 only if no guarantee was violated
#include <algorithm>
#include <cstdio>
#include <thread>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "base/errors.h"
#include "standins/batch.h"
#include "standins/fleet.h"
#include "standins/idle.h"
#include "standins/load.h"

using namespace zinniabarrow;
using namespace zinniabarrow::standins;

namespace {

// A purchase with an idempotency key writes two rows, and the platform stand-in accepts 500 rows a
// second.
constexpr unsigned RequestsPerSecond = 300;
constexpr unsigned BatchTasks = 100;

// Outcome of the batch job.
struct batch_result
{
    unsigned finishedTasks = 0;
    unsigned evictions = 0;
    std::vector<work::trace_violation> violations;
};

void printTable(const load_result &result, const std::vector<std::string> &guaranteeViolations,
                const batch_result &batch)
{
    const auto line = [](const std::string &what, std::size_t count) {
        fmt::print("{:<34}{:>10}\n", what, count);
    };
    fmt::print("\n");
    line("requests", result.sentRequests);
    line("complete answers", result.answeredRequests);
    line("  of these replayed", result.replayedAnswers);
    line("repeats refused as in progress", result.inProgressAnswers);
    for (const auto &[reason, count] : result.refusedByReason)
        line("refused: " + reason, count);
    line("wrong or incomplete answers", result.wrongAnswers);
    line("guarantee violations", guaranteeViolations.size());
    for (const auto &guaranteeViolation : guaranteeViolations)
        fmt::print("  {}\n", guaranteeViolation);
    line("batch tasks finished", batch.finishedTasks);
    line("evictions", batch.evictions);
    line("violations in the workers' trace", batch.violations.size());
    for (const auto &violation : batch.violations)
        fmt::print("  {}: {}\n", nameOf(violation.kind), violation.detail);
    fmt::print("{:<34}{:>10.1f}\n", "p50 ms", percentile(result.latenciesMs, 0.5));
    fmt::print("{:<34}{:>10.1f}\n", "p99 ms", percentile(result.latenciesMs, 0.99));
}

// Sends reads one after the other to `address` and returns their latencies in ms.
std::vector<double> timeReads(const std::string &address, const std::string &target)
{
    constexpr unsigned Reads = 300;
    http_pools pools;
    std::vector<double> times;
    for (unsigned round = 0; round < Reads; ++round) {
        const auto startedAt = monotonic_clock::now();
        const auto result =
                pools.poolFor(address).call({"GET", target, {}, {}}, startedAt + seconds(5));
        const std::chrono::duration<double, std::milli> latency =
                monotonic_clock::now() - startedAt;
        if (std::holds_alternative<http_response>(result))
            times.push_back(latency.count());
    }
    return times;
}

// Compares reads sent directly to an upstream with reads through entry and agent.
void printAddedLatency(fleet &system)
{
    const auto direct = timeReads(system.upstreamAddress(0), "/seats");
    const auto forwarded = timeReads(system.entryAddress(0), "/tickets/seats");
    const auto row = [](const char *what, const std::vector<double> &times) {
        fmt::print("{:<34}{:>10.2f}{:>10.2f}\n", what, percentile(times, 0.5),
                   percentile(times, 0.99));
    };
    fmt::print("\n{:<34}{:>10}{:>10}\n", "one read at a time", "p50 ms", "p99 ms");
    row("directly to an upstream", direct);
    row("through entry and agent", forwarded);
}

// Starts the fleet, with `tasks` long-running batch tasks, and prints its cost while idle.
int runIdle(const std::string &binaries, seconds observedTime, unsigned tasks)
{
    fleet_options options;
    options.binaries = binaries;
    fleet system(options);
    system.startAll();
    system.putFolderFile("10-base.json", makeBaseConfig(options));
    batch_options longRunning;
    longRunning.tasks = tasks;
    longRunning.runMs = 600'000;
    longRunning.millicores = 400;
    longRunning.bytes = 1'000'000'000;
    if (tasks > 0)
        system.putFolderFile("20-lasting.json", makeBatchConfig(longRunning));
    const auto areAllRunning = [&] {
        return tasks == 0 || countTasksByState(system, longRunning.job)["running"] == tasks;
    };
    if (!waitUntil(areAllRunning, seconds(30)))
        throw error(error_kind::Internal, "not all tasks are running; see the logs");
    std::this_thread::sleep_for(seconds(5)); // until the initial announcements are sent
    fmt::print("{} workers, {} entries, {} tasks, {} s\n", options.workers, options.entries, tasks,
               observedTime.count());
    printIdleCost(system, observedTime);
    return 0;
}

int runDemo(const std::string &binaries, unsigned requests, unsigned perSecond)
{
    fleet_options options;
    options.binaries = binaries;
    fleet system(options);
    fmt::print("starting 1 platform, {} workers with upstream and agent, {} entries\n",
               options.workers, options.entries);
    system.startAll();
    if (!waitUntil(
                [&] {
                    return system.rpc(0, "status", Json::objectValue)["upstreams"].size()
                           == options.workers;
                },
                seconds(20)))
        throw error(error_kind::NoUpstream, "not all upstreams were announced; see the logs");

    batch_options season;
    season.tasks = BatchTasks;
    system.putFolderFile("10-base.json", makeBaseConfig(options));
    system.putFolderFile("20-season.json", makeBatchConfig(season));

    load_result result;
    load_options callers;
    callers.requests = requests;
    callers.perSecond = perSecond;
    load_generator load(system, callers, result);
    std::thread runner([&] { load.run(); });
    while (load.completedRequests() < requests) {
        const auto states = countTasksByState(system, season.job);
        const auto done = states.find("done");
        fmt::print("\rrequests {:>6} of {}   batch tasks {:>4} of {}",
                   std::min(load.completedRequests(), requests), requests,
                   done == states.end() ? 0 : done->second, season.tasks);
        std::fflush(stdout);
        std::this_thread::sleep_for(milliseconds(200));
    }
    runner.join();
    waitUntil([&] { return countTasksByState(system, season.job)["done"] == BatchTasks; },
              seconds(30));
    const auto guaranteeViolations = findGuaranteeViolations(system, result);
    batch_result batch;
    batch.finishedTasks = countTraced(system, "ended", season.job);
    batch.evictions = countTraced(system, "evicted", season.job);
    batch.violations = checkFleetTrace(system);
    printTable(result, guaranteeViolations, batch);
    printAddedLatency(system);
    const bool hasSucceeded =
            batch.finishedTasks == BatchTasks && batch.violations.empty()
            && result.wrongAnswers == 0 && guaranteeViolations.empty()
            && result.answeredRequests + result.inProgressAnswers == result.sentRequests;
    fmt::print("\n{}\n", hasSucceeded ? "all guarantees were kept" : "FAILED: see the table");
    return hasSucceeded ? 0 : 1;
}

} // namespace

int main(int count, char **arguments)
{
    try {
        TCLAP::CmdLine command("zinniabarrow demo: a complete system on loopback", ' ', "0.1");
        TCLAP::ValueArg<std::string> binaries("", "binaries", "folder with the programs", true, "",
                                              "DIR", command);
        TCLAP::ValueArg<unsigned> requests("", "requests", "number of requests", false, 4000, "n",
                                           command);
        TCLAP::ValueArg<unsigned> perSecond("", "per-second", "requests sent per second", false,
                                            RequestsPerSecond, "n", command);
        TCLAP::ValueArg<unsigned> idle("", "idle", "only measure an idle fleet, for s seconds",
                                       false, 0, "s", command);
        TCLAP::ValueArg<unsigned> tasks("", "tasks", "batch tasks that run in the idle fleet",
                                        false, 0, "n", command);
        command.parse(count, arguments);
        if (idle.getValue() > 0)
            return runIdle(binaries.getValue(), seconds(idle.getValue()), tasks.getValue());
        return runDemo(binaries.getValue(), requests.getValue(), perSecond.getValue());
    } catch (const std::exception &failure) {
        fmt::print(stderr, "demo: {}\n", failure.what());
        return 1;
    }
}
