// Compares the routing policies on one seeded sequence in virtual time, and prints tables.
//
//   routing_bench            all tables
//   routing_bench --benchmark_filter=...   the processor time of the decisions, by size
#include <algorithm>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "routing_scenario.h"

using namespace zinniabarrow;

namespace {

std::vector<routing_policy> policies()
{
    return {two_choices{}, round_robin{}, least_known_load{}};
}

void printHead()
{
    fmt::print("{:<18}{:>6}{:>9}{:>6}{:>6}{:>7}{:>9}{:>6}{:>9}{:>7}  refused\n", "policy", "load",
               "requests", "p50", "p99", "p99.9", "in time", "late", "retries", "other");
}

void printRow(const std::string &name, const routing_scenario &scenario)
{
    const auto result = run(scenario);
    std::string refusals;
    for (const auto &[kind, count] : result.refused)
        refusals += fmt::format(" {}={}", nameOf(kind), count);
    fmt::print(
            "{:<18}{:>5.0f}%{:>9}{:>6}{:>6}{:>7}{:>8.2f}%{:>6}{:>9.4f}{:>6.0f}% {}\n", name,
            scenario.load * 100, result.requests, result.percentile(0.5).count(),
            result.percentile(0.99).count(), result.percentile(0.999).count(),
            result.goodput() * 100, result.late, double(result.retries) / double(result.requests),
            100.0 * double(result.otherZone) / double(std::max<std::uint64_t>(result.attempts, 1)),
            refusals);
}

void comparePolicies()
{
    fmt::print("Policies (seed 1, 20 s; latencies in ms as the caller sees them)\n");
    printHead();
    for (const double load : {0.5, 0.8, 0.95, 1.5}) {
        for (const auto &policy : policies()) {
            routing_scenario scenario;
            scenario.policy = policy;
            scenario.load = load;
            printRow(std::string(nameOf(policy)), scenario);
        }
    }
}

void compareStaleLoad()
{
    fmt::print("\nLoad known from announcements alone, one a second\n");
    printHead();
    for (const auto &policy : policies()) {
        routing_scenario scenario;
        scenario.policy = policy;
        scenario.loadWithAnswers = false;
        printRow(std::string(nameOf(policy)), scenario);
    }
}

void compareManyEntries()
{
    fmt::print("\n15 entries, load known from announcements alone, one a second\n");
    printHead();
    for (const double load : {0.8, 0.95}) {
        for (const auto &policy : policies()) {
            routing_scenario scenario;
            scenario.policy = policy;
            scenario.load = load;
            scenario.entriesByZone = 5;
            scenario.loadWithAnswers = false;
            printRow(std::string(nameOf(policy)), scenario);
        }
    }
}

void compareQueues()
{
    fmt::print("\nLength of the queue in the agent (two_choices)\n");
    printHead();
    for (const double load : {0.95, 1.5}) {
        for (const int limit : {0, 4, 8, 16, 24, 48}) {
            routing_scenario scenario;
            scenario.load = load;
            scenario.queueLimit = limit;
            printRow(fmt::format("queue of {}", limit), scenario);
        }
    }
}

void compareSpill()
{
    fmt::print("\nSpill threshold (two_choices)\n");
    printHead();
    for (const double load : {0.5, 0.8, 0.95}) {
        for (const double spillAt : {0.25, 0.5, 0.75, 1.0, 1.5, 3.0}) {
            routing_scenario scenario;
            scenario.load = load;
            scenario.spillAt = spillAt;
            printRow(fmt::format("spill at {}", spillAt), scenario);
        }
    }
}

void compareFaults()
{
    fmt::print("\nFaults (two_choices)\n");
    printHead();
    routing_scenario one;
    one.fastFailing = true;
    printRow("one unreachable", one);
    routing_scenario all;
    all.allFail = true;
    printRow("all unreachable", all);
    all.retryShare = 1000;
    printRow("  no budget", all);
}

void compareBackOff()
{
    fmt::print("\nBack-off after a refusal for load (two_choices)\n");
    printHead();
    for (const int backOff : {0, 5, 20, 100, 1000}) {
        routing_scenario scenario;
        scenario.load = 1.5;
        scenario.longestBackOff = milliseconds(backOff);
        printRow(fmt::format("back-off {} ms", backOff), scenario);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1) {
        benchmark::Initialize(&argc, argv);
        benchmark::RunSpecifiedBenchmarks();
        return 0;
    }
    comparePolicies();
    compareStaleLoad();
    compareManyEntries();
    compareQueues();
    compareSpill();
    compareFaults();
    compareBackOff();
    return 0;
}
