// zinniabarrow_demo: the whole path on loopback at Mtkvari's size, every feature as living
// documentation.
//
//   1. start: platform, 11 workers with upstreams and agents, 3 entries, as separate processes
//   2. configuration: a folder with team, pool, service and a season batch is accepted
//   3. load: callers read, hold and buy over all entries, and repeat some purchases elsewhere
//   4. batch: its tasks run beside the service, under leases, and finish once
//   5. table: what was asked, answered and refused; exit code 0 only if every promise was kept
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/random.h"
#include "standins/batch.h"
#include "standins/fleet.h"

using namespace zinniabarrow;
using namespace zinniabarrow::standins;

namespace {

constexpr milliseconds CallWithin{5000};
constexpr unsigned Callers = 24;
// Bounded: keyed purchases write two rows each, and the platform takes several hundred a second.
constexpr unsigned RequestsPerSecond = 300;
constexpr unsigned BatchTasks = 100;

// What one caller's request came to.
struct load_result
{
    std::mutex mutex;
    unsigned asked = 0;
    unsigned answered = 0;
    unsigned replayed = 0;
    unsigned toldToComeBack = 0;             // repeats that came while the first try was still open
    unsigned wrongAnswers = 0;               // an answer that was another's, or not whole
    std::map<std::string, unsigned> refused; // by reason
    std::set<std::string> notRun;            // operations that were said not to have run
    std::set<std::string> atMostOnce;        // operations that must not run twice
    std::vector<double> milliseconds;        // of answered requests
};

class load_generator
{
public:
    load_generator(fleet &system, load_result &result, unsigned requests)
        : m_fleet(system)
        , m_result(result)
        , m_requests(requests)
    { }

    void run()
    {
        std::vector<std::thread> callers;
        for (unsigned caller = 0; caller < Callers; ++caller)
            callers.emplace_back([this, caller] { runCaller(caller); });
        for (auto &caller : callers)
            caller.join();
    }

    unsigned done() const { return m_done; }

private:
    void runCaller(unsigned caller)
    {
        random_generator random(caller);
        http_pools pools;
        const auto startedAt = monotonic_clock::now();
        for (unsigned turn = 0; m_started++ < m_requests; ++turn) {
            std::this_thread::sleep_until(
                    startedAt + turn * microseconds(1'000'000) * Callers / RequestsPerSecond);
            const auto operation = "op-" + std::to_string(caller) + "-" + std::to_string(m_done++);
            const auto kind = pickIndex(random, 10);
            auto entry = static_cast<unsigned>(pickIndex(random, m_fleet.options().entries));
            if (kind < 6) {
                ask(pools, entry, {"GET", "/tickets/seats", {}, {}}, operation);
                continue;
            }
            http_request purchase{"POST", "/tickets/hold", {}, "seat " + operation};
            if (kind < 9)
                purchase.headers["Idempotency-Key"] = operation;
            ask(pools, entry, purchase, operation);
            if (kind == 8) { // the balancer repeats it at another entry
                entry = (entry + 1) % m_fleet.options().entries;
                repeat(pools, entry, purchase, operation);
            }
        }
    }

    // Comes back as long as it is told that the first try is still open.
    void repeat(http_pools &pools, unsigned entry, const http_request &purchase,
                const std::string &operation)
    {
        constexpr unsigned Tries = 10;
        for (unsigned attempt = 1; attempt <= Tries; ++attempt) {
            if (ask(pools, entry, purchase, operation) != "key_in_progress")
                return;
            std::this_thread::sleep_for(milliseconds(200));
        }
    }

    // The reason of a refusal; empty when the answer came.
    std::string ask(http_pools &pools, unsigned entry, http_request request,
                    const std::string &operation)
    {
        request.headers["Operation"] = operation;
        request.headers["Zb-Deadline-Ms"] = std::to_string(CallWithin.count());
        const auto startedAt = monotonic_clock::now();
        const auto result = pools.to(m_fleet.entryAddress(entry))
                                    .call(request, startedAt + CallWithin + milliseconds(500));
        const std::chrono::duration<double, std::milli> took = monotonic_clock::now() - startedAt;
        const std::lock_guard lock(m_result.mutex);
        ++m_result.asked;
        if (request.method == "POST")
            m_result.atMostOnce.insert(operation);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr) {
            ++m_result.refused["no answer"];
            return "no answer";
        }
        const auto reason = response->header("Zb-Error");
        if (reason == "key_in_progress") {
            ++m_result.toldToComeBack;
            return reason;
        }
        if (!reason.empty()) {
            ++m_result.refused[reason];
            if (response->header("Zb-Executed") == "no")
                m_result.notRun.insert(operation);
            return reason;
        }
        ++m_result.answered;
        m_result.milliseconds.push_back(took.count());
        if (response->header("Zb-Replayed") == "yes")
            ++m_result.replayed;
        if (!isOwnAnswer(*response, request, operation))
            ++m_result.wrongAnswers;
        return {};
    }

    static bool isOwnAnswer(const http_response &response, const http_request &request,
                            const std::string &operation)
    {
        try {
            const auto echo = parseJson(response.body);
            return echo["operation"].asString() == operation
                   && echo["body"].asString() == request.body;
        } catch (const error &) {
            return false;
        }
    }

    fleet &m_fleet;
    load_result &m_result;
    unsigned m_requests;
    std::atomic<unsigned> m_started{0};
    std::atomic<unsigned> m_done{0};
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Operations that ran more often than they may, or ran although the answer said they did not.
unsigned brokenPromises(fleet &system, const load_result &result)
{
    std::map<std::string, unsigned> runs;
    unsigned broken = 0;
    for (unsigned index = 0; index < system.options().workers; ++index) {
        const auto executions = system.getJson(system.upstreamAddress(index), "/executions");
        for (const auto &operation : executions["operations"].getMemberNames())
            runs[operation] += executions["operations"][operation].asUInt();
        broken += executions["overruns"].asUInt();
    }
    for (const auto &operation : result.atMostOnce)
        broken += runs[operation] > 1 ? 1 : 0;
    for (const auto &operation : result.notRun) {
        // A repeat that was refused says nothing of the first try: count only what never ran.
        const bool keyed = result.atMostOnce.count(operation) > 0;
        broken += !keyed && runs[operation] > 0 ? 1 : 0;
    }
    return broken;
}

// What became of the season batch.
struct batch_result
{
    unsigned finished = 0;
    unsigned evictions = 0;
    std::vector<work::trace_violation> violations;
};

void printTable(const load_result &result, unsigned broken, const batch_result &batch)
{
    fmt::print("\n{:<34}{:>10}\n", "requests", result.asked);
    fmt::print("{:<34}{:>10}\n", "answered whole", result.answered);
    fmt::print("{:<34}{:>10}\n", "  of these from a kept answer", result.replayed);
    fmt::print("{:<34}{:>10}\n", "repeats told to come back", result.toldToComeBack);
    for (const auto &[reason, count] : result.refused)
        fmt::print("{:<34}{:>10}\n", "refused: " + reason, count);
    fmt::print("{:<34}{:>10}\n", "answers that were not their own", result.wrongAnswers);
    fmt::print("{:<34}{:>10}\n", "broken promises at the upstreams", broken);
    fmt::print("{:<34}{:>10}\n", "batch tasks finished", batch.finished);
    fmt::print("{:<34}{:>10}\n", "evictions", batch.evictions);
    fmt::print("{:<34}{:>10}\n", "violations in the workers' trace", batch.violations.size());
    for (const auto &violation : batch.violations)
        fmt::print("  {}: {}\n", nameOf(violation.kind), violation.detail);
    fmt::print("{:<34}{:>10.1f}\n", "p50 ms", percentile(result.milliseconds, 0.5));
    fmt::print("{:<34}{:>10.1f}\n", "p99 ms", percentile(result.milliseconds, 0.99));
}

int runDemo(const std::string &binaries, unsigned requests)
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
        throw error(error_kind::NoUpstream, "not every upstream was announced: read the logs");

    batch_options season;
    season.tasks = BatchTasks;
    system.putFolderFile("10-base.json", baseFolder(options));
    system.putFolderFile("20-season.json", batchFolder(season));

    load_result result;
    load_generator load(system, result, requests);
    std::thread runner([&] { load.run(); });
    while (load.done() < requests) {
        const auto states = taskStates(system, season.job);
        const auto done = states.find("done");
        fmt::print("\rrequests {:>6} of {}   batch tasks {:>4} of {}",
                   std::min(load.done(), requests), requests,
                   done == states.end() ? 0 : done->second, season.tasks);
        std::fflush(stdout);
        std::this_thread::sleep_for(milliseconds(200));
    }
    runner.join();
    waitUntil([&] { return taskStates(system, season.job)["done"] == BatchTasks; }, seconds(30));
    const unsigned broken = brokenPromises(system, result);
    batch_result batch;
    batch.finished = countTraced(system, "ended", season.job);
    batch.evictions = countTraced(system, "evicted", season.job);
    batch.violations = checkFleetTrace(system);
    printTable(result, broken, batch);
    const bool whole = batch.finished == BatchTasks && batch.violations.empty()
                       && result.wrongAnswers == 0 && broken == 0
                       && result.answered + result.toldToComeBack == result.asked;
    fmt::print("\n{}\n", whole ? "every promise was kept" : "FAILED: see the table");
    return whole ? 0 : 1;
}

} // namespace

int main(int count, char **words)
{
    try {
        TCLAP::CmdLine command("zinniabarrow's whole path on loopback", ' ', "0.1");
        TCLAP::ValueArg<std::string> binaries("", "binaries", "folder of the programs", true, "",
                                              "DIR", command);
        TCLAP::ValueArg<unsigned> requests("", "requests", "how many to send", false, 4000, "n",
                                           command);
        command.parse(count, words);
        return runDemo(binaries.getValue(), requests.getValue());
    } catch (const std::exception &problem) {
        fmt::print(stderr, "demo: {}\n", problem.what());
        return 1;
    }
}
