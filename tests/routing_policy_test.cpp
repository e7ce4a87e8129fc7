// Limits for the results of routing_scenario, which routing_bench prints: latencies, goodput and
// retries of the routing policies on one seeded sequence of requests in virtual time.
#include <string>

#include "routing_scenario.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::request;
using tests::section;

namespace {

scenario_result runAt(double load, const routing_policy &policy = two_choices{})
{
    routing_scenario scenario;
    scenario.load = load;
    scenario.policy = policy;
    scenario.runTime = seconds(10);
    return run(scenario);
}

std::uint64_t accountedFor(const scenario_result &result)
{
    return result.onTime + result.late + result.totalRefused();
}

struct scenario_limits
{
    double load;
    int p50, p99, p999; // upper limits, milliseconds
    double minGoodput;
};

void checkLimits(const scenario_result &result, const scenario_limits &limit)
{
    section("at load " + std::to_string(limit.load), [&] {
        check(accountedFor(result) == result.requests);
        check(result.latencyPercentile(0.5).count() <= limit.p50);
        check(result.latencyPercentile(0.99).count() <= limit.p99);
        check(result.latencyPercentile(0.999).count() <= limit.p999);
        check(result.goodput() >= limit.minGoodput);
    });
}

} // namespace

Test(routingPolicy, limits)
{
    for (const scenario_limits &limit :
         {scenario_limits{0.5, 22, 120, 235, 0.999}, scenario_limits{0.8, 23, 122, 240, 0.999},
          scenario_limits{0.95, 28, 140, 260, 0.998}, scenario_limits{1.5, 62, 215, 335, 0.65}})
        checkLimits(runAt(limit.load), limit);
    section("no request is refused below the capacity", [] {
        check(runAt(0.5).totalRefused() == 0);
        check(runAt(0.8).totalRefused() == 0);
    });
    section("goodput beyond capacity stays at the capacity", [] {
        check(runAt(1.5).goodput() * 1.5 > 0.97);
        check(runAt(3.0).goodput() * 3.0 > 0.97);
    });
}

Test(routingPolicy, comparison)
{
    section("with a slow upstream, policies by load are better than round_robin", [] {
        const auto roundRobinResult = runAt(0.95, round_robin{});
        for (const routing_policy &policy :
             {routing_policy(two_choices{}), routing_policy(least_known_load{})}) {
            const auto loadAwareResult = runAt(0.95, policy);
            check(loadAwareResult.requests == roundRobinResult.requests);
            check(loadAwareResult.latencyPercentile(0.99)
                  < roundRobinResult.latencyPercentile(0.99));
            check(loadAwareResult.onTime > roundRobinResult.onTime);
        }
    });
}

// Many entries, each with a small part of the traffic, know the load from one announcement a second
// only. If they relied on it for longer than a service time, all would send to the upstream that
// last reported a low load, and one in five requests would be refused at four fifths of the
// capacity.
Test(routingPolicy, manyEntriesWithStaleLoad)
{
    routing_scenario scenario;
    scenario.entriesByZone = 5;
    scenario.answersCarryLoad = false;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(result.goodput() > 0.998);
    check(result.latencyPercentile(0.99) <= milliseconds(130));
}

// Every upstream refuses connections. All requests are refused; the number of attempts exceeds that
// of the requests by a tenth at most, so that retries do not keep the upstreams from recovering.
Test(routingPolicy, allUpstreamsFail)
{
    routing_scenario scenario;
    scenario.areAllUnreachable = true;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(accountedFor(result) == result.requests);
    check(result.retries > 0);
    check(static_cast<double>(result.retries) < 0.105 * static_cast<double>(result.requests));
    check(result.refusedByKind.at(error_kind::RetryBudgetSpent) == result.totalRefused());
}

// One upstream refuses connections at once, so it always looks idle.
Test(routingPolicy, oneUpstreamFails)
{
    routing_scenario scenario;
    scenario.isLastUnreachable = true;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(result.goodput() > 0.999);
    check(static_cast<double>(result.retries) < 0.002 * static_cast<double>(result.requests));
}

// One upstream accepts requests and never answers. Its requests are lost: they may have been
// executed, so they are not retried. Few further requests are sent to it, and all others are
// answered as before.
Test(routingPolicy, oneUpstreamHangs)
{
    routing_scenario scenario;
    scenario.isLastHanging = true;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(accountedFor(result) + result.lost == result.requests);
    check(result.lost <= 60);
    check(result.onTime + result.lost + 20 >= result.requests);
    check(result.latencyPercentile(0.99) <= milliseconds(130));
}
