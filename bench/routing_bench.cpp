// Compares the routing policies on the same seeded sequence of requests in virtual time, and prints
// tables.
//
//   routing_bench            all tables
//   routing_bench --benchmark_filter=...   processor time of routing and of admission, by size
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "overload_scenario.h"
#include "routing_scenario.h"

using namespace zinniabarrow;

namespace {

std::vector<routing_policy> policies()
{
    return {two_choices{}, round_robin{}, least_known_load{}};
}

void printHeader()
{
    fmt::print("{:<18}{:>6}{:>9}{:>6}{:>6}{:>7}{:>9}{:>6}{:>6}{:>9}{:>7}  refused\n", "policy",
               "load", "requests", "p50", "p99", "p99.9", "in time", "late", "lost", "retries",
               "other");
}

void printRow(const std::string &name, const routing_scenario &scenario)
{
    const auto result = run(scenario);
    std::string refusals;
    for (const auto &[kind, count] : result.refusedByKind)
        refusals += fmt::format(" {}={}", nameOf(kind), count);
    fmt::print("{:<18}{:>5.0f}%{:>9}{:>6}{:>6}{:>7}{:>8.2f}%{:>6}{:>6}{:>9.4f}{:>6.0f}% {}\n", name,
               scenario.load * 100, result.requests, result.latencyPercentile(0.5).count(),
               result.latencyPercentile(0.99).count(), result.latencyPercentile(0.999).count(),
               result.goodput() * 100, result.late, result.lost,
               double(result.retries) / double(result.requests),
               100.0 * double(result.otherZoneAttempts)
                       / double(std::max<std::uint64_t>(result.attempts, 1)),
               refusals);
}

void comparePolicies()
{
    fmt::print("Policies (seed 1, 20 s; latencies in ms as the caller measures them)\n");
    printHeader();
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
    printHeader();
    for (const auto &policy : policies()) {
        routing_scenario scenario;
        scenario.policy = policy;
        scenario.answersCarryLoad = false;
        printRow(std::string(nameOf(policy)), scenario);
    }
}

void compareManyEntries()
{
    fmt::print("\n15 entries, load known from announcements alone, one a second\n");
    printHeader();
    for (const double load : {0.8, 0.95}) {
        for (const auto &policy : policies()) {
            routing_scenario scenario;
            scenario.policy = policy;
            scenario.load = load;
            scenario.entriesByZone = 5;
            scenario.answersCarryLoad = false;
            printRow(std::string(nameOf(policy)), scenario);
        }
    }
}

void compareQueues()
{
    fmt::print("\nLength of the queue in the agent (two_choices)\n");
    printHeader();
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
    printHeader();
    for (const double load : {0.5, 0.8, 0.95}) {
        for (const double threshold : {0.25, 0.5, 0.75, 1.0, 1.5, 3.0}) {
            routing_scenario scenario;
            scenario.load = load;
            scenario.spillThreshold = threshold;
            printRow(fmt::format("spill at {}", threshold), scenario);
        }
    }
}

void compareFaults()
{
    fmt::print("\nFaults (two_choices)\n");
    printHeader();
    routing_scenario oneUnreachable;
    oneUnreachable.isLastUnreachable = true;
    printRow("one unreachable", oneUnreachable);
    routing_scenario oneHanging;
    oneHanging.isLastHanging = true;
    printRow("one hanging", oneHanging);
    routing_scenario allUnreachable;
    allUnreachable.areAllUnreachable = true;
    printRow("all unreachable", allUnreachable);
    allUnreachable.retryFraction = 1000;
    printRow("  no budget", allUnreachable);
}

void compareBackOff()
{
    fmt::print("\nBack-off after a refusal for load (two_choices)\n");
    printHeader();
    for (const int backOff : {0, 5, 20, 100, 1000}) {
        routing_scenario scenario;
        scenario.load = 1.5;
        scenario.refusalBackoff = milliseconds(backOff);
        printRow(fmt::format("back-off {} ms", backOff), scenario);
    }
}

void compareOverload()
{
    constexpr double RequestsPerSecond = 8 / 0.020;
    constexpr seconds Length{20};
    fmt::print("\nOne admission, two teams, deadlines of 200 ms: requests a second\n");
    fmt::print("{:>6}{:>10}{:>8}{:>10}\n", "load", "in time", "late", "refused");
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0}) {
        const auto result = runOverload(
                {{"a", RequestsPerSecond * load / 2}, {"b", RequestsPerSecond * load / 2}}, Length);
        fmt::print("{:>5.0f}%{:>10}{:>8.1f}{:>10}\n", load * 100, result.onTime / Length.count(),
                   double(result.late) / double(Length.count()), result.refused / Length.count());
    }
}

router makeRouter(int upstreams, const routing_policy &policy)
{
    router_settings settings;
    settings.zone = "zone-0";
    settings.region = "kartli";
    router routes(settings, policy, random_generator(1));
    for (int i = 0; i < upstreams; ++i) {
        announcement announced;
        announced.agentId = "agent-" + std::to_string(i);
        announced.zone = "zone-" + std::to_string(i % 3);
        announced.region = "kartli";
        announced.service = "tickets";
        announced.slots = 8;
        announced.incarnation = 1;
        routes.apply(upstream_joined{announced}, time_point(seconds(1)));
    }
    return routes;
}

// One attempt: choose an upstream, start, end.
void routeAttempt(benchmark::State &state)
{
    auto routes = makeRouter(static_cast<int>(state.range(0)), two_choices{});
    const time_point now(seconds(100));
    for (auto _ : state) {
        const auto target = std::get<route>(routes.choose("tickets", {}, now));
        routes.attemptStarted(target, now);
        routes.attemptEnded({target, routing_outcome::Answered, milliseconds(20), {}, {}}, now);
    }
}
BENCHMARK(routeAttempt)->Arg(11)->Arg(79)->Arg(790);

// One request through an admission controller whose slots are taken and whose queue holds
// `state.range(0)` requests.
void admitRequest(benchmark::State &state)
{
    admission controller({});
    time_point now(seconds(100));
    const auto arrive = [&](std::uint64_t number) {
        controller.handle(admission::arrived{std::to_string(number), "tickets",
                                             "team-" + std::to_string(number % 3), 0,
                                             now + seconds(10)},
                          now);
    };
    std::uint64_t nextNumber = 0;
    std::deque<std::string> running;
    const auto serve = [&](const std::vector<admission::action> &actions) {
        for (const auto &action : actions) {
            if (const auto *started = std::get_if<admission::start>(&action))
                running.push_back(started->id);
        }
    };
    const auto slots = admission_settings{}.slots;
    for (int i = 0; i < slots; ++i) {
        running.push_back(std::to_string(nextNumber));
        arrive(nextNumber++);
    }
    for (int i = 0; i < state.range(0); ++i)
        arrive(nextNumber++);
    for (auto _ : state) {
        now += milliseconds(2);
        arrive(nextNumber++);
        serve(controller.handle(admission::finished{running.front(), milliseconds(20)}, now));
        running.pop_front();
    }
}
BENCHMARK(admitRequest)->Arg(0)->Arg(8)->Arg(15);

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
    compareOverload();
    return 0;
}
