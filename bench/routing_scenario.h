// Simulates a seeded sequence of requests in virtual time, through the real routers, retry budgets
// and admission controllers.
//
//   routing_scenario   zones, upstreams, load, faults and the policy under test
//   scenario_result    outcomes as the callers see them
//   run                deterministic: the same scenario always gives the same result
//
// Arrivals and service times are drawn from another random generator than the routing choices, so
// that every policy gets the same sequence. Callers send to the entries of all zones in turn. An
// entry chooses an upstream from what it knows: its own attempts, loads reported with answers, and
// periodic load announcements.
//
// An entry takes requests of callers and forwards them to upstreams, which execute them.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "request/admission.h"
#include "request/router.h"

namespace zinniabarrow {

using namespace request;

struct routing_scenario
{
    routing_policy policy = two_choices{};
    double load = 0.8; // as a fraction of the capacity of all upstreams
    std::uint64_t seed = 1;
    seconds runTime{20};
    std::vector<int> upstreamsByZone{5, 4, 2};
    int entriesByZone = 1;           // number of entries in each zone
    int slots = 8;                   // requests that each upstream executes at the same time
    milliseconds serviceTime{20};    // mean of the exponential distribution
    double slowFactor = 3.0;         // the first zone's first upstream takes this times longer
    milliseconds timeout{400};       // of the callers, from the sending of the request on
    microseconds callerDelay{3000};  // one way between caller and entry
    microseconds zoneDelay{500};     // one way between zones
    microseconds localDelay{100};    // one way within a zone
    milliseconds reportPeriod{1000}; // between announcements of load
    bool answersCarryLoad = true;    // agents report their load with each answer and refusal
    // Requests per slot above which an entry considers upstreams in other zones.
    double spillThreshold = router_settings{}.spillAboveLoad;
    // Requests that may wait in the queue of each upstream.
    int queueLimit = admission_settings{}.queueLimit;
    // Longest pause of an entry after an upstream refused a request because of its load.
    milliseconds refusalBackoff = router_settings{}.maxBackoff;
    bool areAllUnreachable = false; // every upstream refuses the connection
    bool isLastUnreachable = false; // the last upstream refuses the connection
    bool isLastHanging = false;     // the last upstream accepts requests and never answers
    double retryFraction = 0.1;     // retries that each request adds to its entry's retry budget
};

struct scenario_result
{
    std::uint64_t requests = 0;
    std::uint64_t onTime = 0; // answered by the caller's deadline; refusals are not answers
    // Sent to the hanging upstream; never answered and not sent to another one. Not in `late`.
    std::uint64_t lost = 0;
    std::uint64_t late = 0;     // answered after the deadline
    std::uint64_t attempts = 0; // sent to upstreams
    std::uint64_t retries = 0;
    std::uint64_t otherZoneAttempts = 0; // attempts at an upstream in another zone than the entry
    std::map<error_kind, std::uint64_t> refusedByKind;
    std::vector<std::int64_t> latencies; // microseconds, of onTime answers, sorted

    std::uint64_t totalRefused() const;
    // Of onTime answers, rounded up; `fraction` is 0.99 for the p99.
    milliseconds latencyPercentile(double fraction) const;
    double goodput() const { return double(onTime) / double(requests); }
};

scenario_result run(const routing_scenario &scenario);

} // namespace zinniabarrow
