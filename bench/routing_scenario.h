// One seeded sequence of requests in virtual time, through real routers, budgets and admissions.
//
//   routing_scenario   zones, upstreams, load, faults and the policy under test
//   scenario_result    what the callers saw
//   run                the same scenario gives the same result, always
//
// Arrivals and the work of each request are drawn apart from the choices, so that every policy gets
// the same sequence. Callers send to the entries of all zones in turn; an entry chooses an upstream
// by what it knows: its own attempts, loads that came with answers, and periodic announcements.
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
    double load = 0.8; // of the capacity of all upstreams
    std::uint64_t seed = 1;
    seconds runTime{20};
    std::vector<int> upstreamsByZone{5, 4, 2}; //
    int entriesByZone = 1;
    int slots = 8;                   // of each upstream
    milliseconds serviceTime{20};    // mean, exponential
    double slowFactor = 3.0;         // of the one slow upstream, in the first zone
    milliseconds timeout{400};       // of the callers
    microseconds callerDelay{3000};  // one way
    microseconds zoneDelay{500};     // one way between zones
    microseconds localDelay{100};    // one way within a zone
    milliseconds reportPeriod{1000}; // announcements of load
    bool doAnswersCarryLoad = true;
    double spillThreshold = router_settings{}.spillAboveLoad;
    int queueLimit = admission_settings{}.queueLimit;
    milliseconds refusalBackoff = router_settings{}.maxBackoff;
    bool areAllUnreachable = false; // every upstream refuses the connection
    bool isLastUnreachable = false; // the last upstream does
    bool isLastHanging = false;     // the last upstream takes requests and never answers
    double retryFraction = 0.1;
};

struct scenario_result
{
    std::uint64_t requests = 0;
    std::uint64_t onTime = 0;   // answered before the caller's deadline
    std::uint64_t lost = 0;     // no answer before the deadline
    std::uint64_t late = 0;     // answered after it
    std::uint64_t attempts = 0; // sent to upstreams
    std::uint64_t retries = 0;
    std::uint64_t otherZoneAttempts = 0; // attempts that left the entry's zone
    std::map<error_kind, std::uint64_t> refusedByKind;
    std::vector<std::int64_t> latencies; // microseconds, of those in time, sorted

    std::uint64_t totalRefused() const;
    milliseconds latencyPercentile(double fraction) const; // of the answers in time, rounded up
    double goodput() const { return double(onTime) / double(requests); }
};

scenario_result run(const routing_scenario &scenario);

} // namespace zinniabarrow
