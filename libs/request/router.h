// Router: to which upstream an entry sends a request.
//
//   router_settings   spill, slow start, ejection and ageing
//   routing_policy    two_choices, round_robin or least_known_load
//   router            membership changes and attempts in, choices out
//   router_counters   choices by zone, ejections, refusals by reason
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "base/random.h"
#include "base/time.h"
#include "request/membership.h"

namespace zinniabarrow::request {

struct router_settings
{
    std::string zone;            // of this entry
    std::string region;          // of this entry
    double spillAboveLoad = 1.0; // known load for each slot above which other zones are asked
    milliseconds initialServiceTime{20};   // until an upstream reports one
    milliseconds slowStartTime{10 * 1000}; // until a newcomer gets its whole share
    double slowStartShare = 0.1;           // at the start
    int ejectAfterFailures = 5;            // in a row
    double maxEjectedShare =
            0.3; // at most, of a service's upstreams; one may be out if there are two
    milliseconds initialCoolDown{2000}; // of the first ejection, doubled by each further one
    milliseconds maxCoolDown{60 * 1000};
    milliseconds maxBackoff{20}; // after an upstream refused for its load
};

// Takes the less loaded of two upstreams drawn at random.
struct two_choices
{ };
// Takes the upstreams in turn.
struct round_robin
{ };
// Takes the least loaded of all, as far as is known.
struct least_known_load
{ };
using routing_policy = std::variant<two_choices, round_robin, least_known_load>;
std::string_view nameOf(const routing_policy &policy);

struct route
{
    std::string agentId;
    std::string address;
    std::uint64_t incarnation = 0;
};
// NoUpstream: none is known, or all are excluded. Overloaded: all of them refused just now.
using routing_decision = std::variant<route, error_kind>;

enum class attempt_outcome {
    Answered, // whole answer, whatever its status
    Refused,  // refused for load or deadline, not run
    Leaving,  // refused as Draining or Starting, not run
    Failed,   // unreachable, cut, or timed out
};
std::string_view nameOf(attempt_outcome outcome);

struct attempt_ended
{
    route upstream;
    attempt_outcome outcome = attempt_outcome::Answered;
    duration latency{};                // of the whole attempt
    std::optional<upstream_load> load; // as reported with the answer
    milliseconds retryAfter{};         // of a refusal
};

struct router_counters
{
    std::uint64_t ownZone = 0;
    std::uint64_t ownRegion = 0; // spilled to another zone
    std::uint64_t otherRegion = 0;
    std::uint64_t ejected = 0;
    std::uint64_t ejectionsCapped = 0;
    std::uint64_t readmitted = 0;
    std::map<error_kind, std::uint64_t> refused;
    std::map<attempt_outcome, std::uint64_t> ended;
};

class router
{
public:
    router(router_settings settings, routing_policy policy, random_generator random);

    void apply(const membership_change &change, time_point now);

    routing_decision choose(const std::string &service, const std::set<std::string> &excluded,
                            time_point now);

    // Each started attempt is ended exactly once, also when its upstream has gone meanwhile.
    void attemptStarted(const route &upstream, time_point now);
    void attemptEnded(const attempt_ended &attempt, time_point now);

    // Moving average of the answered attempts of a service; zero while unknown.
    duration expectedLatency(const std::string &service) const;

    int upstreamCount(const std::string &service) const;
    int ejectedCount(const std::string &service) const;
    const router_counters &counters() const { return m_counters; }

private:
    enum class health { Admitted, Ejected, Probing };
    enum class locality { OwnZone, OwnRegion, OtherRegion };
    struct upstream
    {
        announcement announced;
        locality proximity = locality::OwnZone;
        int ownAttempts = 0;          // attempts of this entry
        int reportedOthersLoad = 0;   // reported load that is not this entry's
        double averageOthersLoad = 0; // moving average of `others`
        time_point reportedAt{};
        duration serviceTime{};     // reported
        time_point slowStartedAt{}; // slow start counts from here
        time_point backOffUntil{};  // refused for its load
        bool isLeaving = false;     // said so in an answer
        health state = health::Admitted;
        int consecutiveFailures = 0;  // in a row
        int consecutiveEjections = 0; // without a success in between
        time_point ejectedUntil{};
    };
    using candidates = std::vector<upstream *>;

    void on(const upstream_joined &change, time_point now);
    void on(const upstream_left &change, time_point now);
    void on(const upstream_reported &change, time_point now);

    locality localityOf(const announcement &about) const;
    upstream *find(const std::string &agentId, std::uint64_t incarnation);
    candidates eligibleUpstreams(const std::string &service, const std::set<std::string> &excluded,
                                 time_point now, bool &anyBackingOff);
    upstream *pick(const std::string &service, const candidates &from, time_point now);
    upstream *pickBy(two_choices, const std::string &service, const candidates &from,
                     time_point now);
    upstream *pickBy(round_robin, const std::string &service, const candidates &from,
                     time_point now);
    upstream *pickBy(least_known_load, const std::string &service, const candidates &from,
                     time_point now);
    double slowStartFactor(const upstream &target, time_point now) const;
    double estimatedOthersLoad(const upstream &target, time_point now) const;
    double estimatedLoad(const upstream &target, time_point now) const;
    void recordLoad(upstream &target, const upstream_load &load, time_point now);
    void recordFailure(upstream &target, time_point now);
    void recordSuccess(upstream &target, time_point now);
    bool canEject(const std::string &service) const;
    void eject(upstream &target, time_point now);
    void countChoice(const upstream &chosen);
    routing_decision makeRefusal(error_kind kind);

    router_settings m_settings;
    routing_policy m_policy;
    random_generator m_random;
    router_counters m_counters;
    std::map<std::string, upstream> m_upstreams; // by agent id
    std::map<std::string, std::set<std::string>> m_byService;
    std::map<std::string, duration> m_averageLatency; // by service
    std::map<std::string, std::uint64_t> m_nextTurn;  // of round_robin, by service
};

} // namespace zinniabarrow::request
