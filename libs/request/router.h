// Router: chooses the upstream that an entry sends a request to.
//
//   router_settings   zones, slow start, ejection, backoff
//   routing_policy    two_choices, round_robin or least_known_load
//   router            takes membership changes and the results of attempts, returns choices
//   router_counters   choices by zone, ejections, refusals by error kind
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
    std::string zone;   // of this entry
    std::string region; // of this entry
    // If the upstream chosen in the own zone would have more requests per slot than this, other
    // zones are considered. The requests that run or wait there are estimated; the new one counts
    // as well. A slot is one of the requests that an upstream runs at the same time.
    double spillAboveLoad = 1.0;
    // Until an upstream has reported its service time, which is the half-life of its load reports.
    milliseconds initialServiceTime{20};
    milliseconds slowStartTime{10 * 1000}; // until a new upstream gets its full share
    double slowStartShare = 0.1;           // share of a new upstream at the start, 1.0: full
    int ejectAfterFailures = 5;            // consecutive attempts with the outcome Failed
    // Share of a service's upstreams that may be ejected at the same time. One of two or more may
    // be, however small the share; the only one never is.
    double maxEjectedShare = 0.3;
    milliseconds initialCoolDown{2000};  // first ejection; doubled by each further one
    milliseconds maxCoolDown{60 * 1000}; // upper bound of the doubled cool-down
    // Longest pause after an upstream refused a request because of its load. Its retryAfter, which
    // is meant for callers, is reduced to this.
    milliseconds maxBackoff{20};
};

// Picks two upstreams at random and takes the less loaded one.
struct two_choices
{ };
// Takes the upstreams in turn.
struct round_robin
{ };
// Takes the upstream with the lowest load, as estimated from what the entry knows.
struct least_known_load
{ };
using routing_policy = std::variant<two_choices, round_robin, least_known_load>;
std::string_view nameOf(const routing_policy &policy);

// The agent to which an attempt is sent.
struct route
{
    std::string agentId;
    std::string address;
    std::uint64_t incarnation = 0;
};
// A route, or the error to answer if no upstream can be chosen. Overloaded: at least one upstream
// is paused because it refused a request because of its load. NoUpstream: none is known, or each is
// excluded, ejected or leaving.
using routing_decision = std::variant<route, error_kind>;

// How an attempt ended, as far as it concerns routing. The entry derives it from
// delivery::attempt_outcome.
enum class routing_outcome {
    Answered, // complete answer, whatever its HTTP status
    Refused,  // refused because of load or deadline, not executed
    Leaving,  // refused with Draining or Starting, not executed: gets no requests until the
              // upstream reports its load to an entry again
    Failed,   // unreachable, connection lost, or timed out
};
std::string_view nameOf(routing_outcome outcome);

// Result of an ended attempt, as passed to the router.
struct routing_result
{
    route upstream;
    routing_outcome outcome = routing_outcome::Answered;
    duration latency{};                // of the whole attempt
    std::optional<upstream_load> load; // as reported with the answer
    milliseconds retryAfter{};         // only with Refused; limited by maxBackoff
};

struct router_counters
{
    // Choices of an upstream, one for each attempt, by where it is.
    std::uint64_t ownZone = 0;     // in the entry's zone
    std::uint64_t ownRegion = 0;   // in another zone of the entry's region
    std::uint64_t otherRegion = 0; // in another region
    std::uint64_t ejected = 0;
    std::uint64_t ejectionsCapped = 0;           // not ejected because of maxEjectedShare
    std::uint64_t readmitted = 0;                // ejected upstreams that were admitted again
    std::map<error_kind, std::uint64_t> refused; // choices without a route, by error kind
    std::map<routing_outcome, std::uint64_t> endedAttempts; // by outcome
};

// Keeps the load and health of each upstream that membership reports as routable (Serving, and its
// agent's heartbeats arrive), and chooses one for each attempt. Called by the entry. Not
// thread-safe.
class router
{
public:
    router(router_settings settings, routing_policy policy, random_generator random);

    // Applies a change that membership returned.
    void apply(const membership_change &change, time_point now);

    // Chooses an upstream of `service` whose agent id is not in `excluded`. Nothing is reserved:
    // the choice counts as load only from attemptStarted().
    routing_decision choose(const std::string &service, const std::set<std::string> &excluded,
                            time_point now);

    // Called when an attempt starts and ends. Each started attempt must be ended exactly once, even
    // if its upstream has left meanwhile.
    void attemptStarted(const route &upstream, time_point now);
    void attemptEnded(const routing_result &attempt, time_point now);

    // Moving average of the latency of a service's answered attempts; zero if there were none.
    duration expectedLatency(const std::string &service) const;

    int upstreamCount(const std::string &service) const;
    int ejectedCount(const std::string &service) const;
    const router_counters &counters() const { return m_counters; }

private:
    // Probing: after the cool-down, one attempt at a time shows whether the upstream has recovered.
    enum class health { Admitted, Ejected, Probing };
    enum class locality { OwnZone, OwnRegion, OtherRegion };
    struct upstream
    {
        announcement announced;
        locality proximity = locality::OwnZone;
        int ownAttempts = 0;          // running attempts of this entry
        int reportedOthersLoad = 0;   // reported requests, running or waiting, less ownAttempts
        double averageOthersLoad = 0; // moving average of reportedOthersLoad
        time_point reportedAt{};      // time of the last load report
        duration serviceTime{};       // as reported
        time_point slowStartedAt{};   // when the slow start began
        time_point backOffUntil{};    // gets no requests until then because it refused one
        bool isLeaving = false;       // routing_outcome::Leaving, and no load reported since
        health state = health::Admitted;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0; // since the upstream was last readmitted
        time_point ejectedUntil{};    // end of the cool-down, while Ejected
    };
    using candidates = std::vector<upstream *>;

    void on(const upstream_joined &change, time_point now);
    void on(const upstream_left &change, time_point now);
    void on(const upstream_load_reported &change, time_point now);

    locality localityOf(const announcement &announcedUpstream) const;
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
    // Share of a full load that the upstream gets: from slowStartShare up to 1.0.
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
    std::map<std::string, upstream> m_upstreams;              // by agent id
    std::map<std::string, std::set<std::string>> m_byService; // agent ids by service
    std::map<std::string, duration> m_averageLatency;         // of answered attempts, by service
    std::map<std::string, std::uint64_t> m_nextTurn;          // position of round_robin, by service
};

} // namespace zinniabarrow::request
