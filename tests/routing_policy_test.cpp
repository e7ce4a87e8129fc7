// Regression bounds on the comparison of routing_bench: one seeded sequence, virtual time.
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

struct bound
{
    double load;
    int p50, p99, p999; // milliseconds
    double inTime;
};

void checkBounds(const scenario_result &result, const bound &limit)
{
    section("at load " + std::to_string(limit.load), [&] {
        check(accountedFor(result) == result.requests);
        check(result.latencyPercentile(0.5).count() <= limit.p50);
        check(result.latencyPercentile(0.99).count() <= limit.p99);
        check(result.latencyPercentile(0.999).count() <= limit.p999);
        check(result.goodput() >= limit.inTime);
    });
}

} // namespace

Test(routingPolicy, bounds)
{
    for (const bound &limit : {bound{0.5, 22, 120, 235, 0.999}, bound{0.8, 23, 122, 240, 0.999},
                               bound{0.95, 28, 140, 260, 0.998}, bound{1.5, 62, 215, 335, 0.65}})
        checkBounds(runAt(limit.load), limit);
    section("nothing is refused below capacity", [] {
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
    section("known load beats taking turns where one upstream is slow", [] {
        const auto turns = runAt(0.95, round_robin{});
        for (const routing_policy &policy :
             {routing_policy(two_choices{}), routing_policy(least_known_load{})}) {
            const auto known = runAt(0.95, policy);
            check(known.requests == turns.requests);
            check(known.latencyPercentile(0.99) < turns.latencyPercentile(0.99));
            check(known.onTime > turns.onTime);
        }
    });
}

// Many entries, each with a small part of the traffic, know the load from one announcement a
// second. If they trusted it for longer than a service time, all would run after the upstream that
// last reported little, and one in five callers would be refused at four fifths of the capacity.
Test(routingPolicy, manyEntriesWithStaleLoad)
{
    routing_scenario scenario;
    scenario.entriesByZone = 5;
    scenario.doAnswersCarryLoad = false;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(result.goodput() > 0.998);
    check(result.latencyPercentile(0.99) <= milliseconds(130));
}

// Every upstream refuses connections. Callers get their refusal; the upstreams see at most a tenth
// more attempts than there are requests, so that they are not kept down by retries.
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

// One upstream refuses connections at once and so always looks idle.
Test(routingPolicy, oneUpstreamFails)
{
    routing_scenario scenario;
    scenario.isLastUnreachable = true;
    scenario.runTime = seconds(10);
    const auto result = run(scenario);
    check(result.goodput() > 0.999);
    check(static_cast<double>(result.retries) < 0.002 * static_cast<double>(result.requests));
}

// One upstream takes requests and never answers. Those that are there are lost: they may have run,
// so nobody repeats them. Few may follow, and everybody else is served as before.
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
