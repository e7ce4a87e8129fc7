// Admission control in an agent: decides when each request is sent to the agent's upstream, and
// which requests are refused.
//
//   admission_settings   limits of the upstream, length of the queue, initial estimates
//   admission            takes events (arrived, finished, ...), returns actions (start, refuse)
//   admission_counters   totals since the start, refusals by error kind
//
// A request is started, waits in a short queue, or is refused at once with an error kind. A queued
// request is refused as soon as its expected end is later than its deadline. The team that was
// served least gets the next free slot; within a team, the highest priority starts first, then the
// earliest deadline. A slot is the capacity to run one request; an upstream has a fixed number.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "base/time.h"

namespace zinniabarrow::request {

struct admission_settings
{
    int slots = 8;                       // requests that the upstream runs at the same time
    int connections = 64;                // connections that the upstream accepts
    int queueLimit = 16;                 // requests that may wait in the queue
    milliseconds initialServiceTime{20}; // estimate until any request has finished
    // Safety margin that is added to the expected end, in mean deviations of the service time.
    double deadlineMargin = 1.0;
    // Bounds of a Retry-After that is computed from the backlog. Refusals as Draining have a fixed
    // one, and those that a retry can't avoid have none.
    milliseconds minRetryAfter{50};
    milliseconds maxRetryAfter{10 * 1000};
};

struct admission_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0; // waiting requests whose callers have disconnected
    std::uint64_t ignored = 0;   // duplicate arrivals, and ends of requests that are not running
    std::map<error_kind, std::uint64_t> refused;
};

// Decides for the requests to one upstream which are started, which wait and which are refused. The
// agent calls handle() with each event and carries out the actions. Not thread-safe.
class admission
{
public:
    // Events.
    struct arrived
    {
        std::string id; // unique among the waiting and running requests
        std::string service;
        std::string team;
        int priority = 0;    // of the service, 0..9; higher priorities start first
        time_point deadline; // of the caller
    };
    // The upstream has stopped working on the request, whatever the outcome.
    struct finished
    {
        std::string id;
        duration elapsedTime{};    // since the `start` action
        duration slowCallerTime{}; // of it: time spent waiting for a slowly reading caller
        // False: the answer was cut off; the elapsed time can then only raise the estimate of the
        // service time.
        bool isComplete = true;
    };
    // The caller has disconnected. A running request keeps its slot until `finished`.
    struct cancelled
    {
        std::string id;
    };
    struct connections_changed
    {
        // Open connections that have no request and can't take a new one. They count against
        // `connections`.
        int unusableCount = 0;
    };
    // A planned shutdown has begun: new requests are refused as Draining, waiting ones are still
    // served.
    struct drain_started
    { };
    // Time has passed. Must be sent repeatedly while requests wait, since no other event tells that
    // a deadline can't be met any more.
    struct tick
    { };
    using event =
            std::variant<arrived, finished, cancelled, connections_changed, drain_started, tick>;

    // Actions.
    struct start
    {
        std::string id;
    };
    struct refuse
    {
        std::string id;
        error_kind errorKind = error_kind::Internal;
        milliseconds retryAfter{}; // 0: a retry would be refused as well
    };
    using action = std::variant<start, refuse>;

    explicit admission(admission_settings settings);

    // Processes one event and returns the actions to carry out, in order.
    std::vector<action> handle(const event &newEvent, time_point now);

    bool isDrained() const { return m_isDraining && m_running.empty() && m_waiting.empty(); }
    int runningCount() const { return static_cast<int>(m_running.size()); }
    int waitingCount() const { return static_cast<int>(m_waiting.size()); }
    duration serviceTime(const std::string &service) const; // estimated mean
    // Expected time that a request which arrives now waits for a slot.
    duration backlog(time_point now) const;
    const admission_counters &counters() const { return m_counters; }

private:
    enum class decision { Wait, Start, Refuse };
    // Moving averages of the service time and of its absolute deviation from the mean.
    struct estimate
    {
        duration mean{};
        duration deviation{};
    };
    struct running_request
    {
        std::string service;
        std::string team;
        int priority = 0;
        time_point startedAt;
        duration chargedTime{}; // service time that already counts as used by the team
    };
    struct team_state
    {
        double servedTime = 0; // service time used / (1 + priority), in microseconds
        int waitingCount = 0;
        int runningCount = 0;
    };

    void on(const arrived &details, time_point now);
    void on(const finished &details, time_point now);
    void on(const cancelled &details, time_point now);
    void on(const connections_changed &details, time_point now);
    void on(const drain_started &details, time_point now);
    void on(const tick &details, time_point now);

    bool isKnown(const std::string &id) const;
    void markTeamActive(const std::string &team);
    void removeIdleTeams();
    void shedRequest(const std::string &arrivingTeam, time_point now);
    bool isOverShare(const std::string &team) const;
    std::size_t leastUrgentOf(const std::string &team) const;
    std::vector<std::size_t> dispatchOrder() const;
    std::vector<time_point> slotFreeTimes(time_point now) const;
    void plan(time_point now);
    decision decide(const arrived &request, time_point expectedStart, bool isIdle,
                    time_point now) const;
    void applyDecisions(const std::vector<std::size_t> &order,
                        const std::vector<decision> &decisions, time_point now);
    void startRequest(const arrived &request, time_point now);
    void refuseRequest(const std::string &id, error_kind kind, time_point now);
    milliseconds retryAfterFor(error_kind kind, time_point now);
    void updateEstimate(const std::string &service, duration measured);
    const estimate &estimateFor(const std::string &service) const;

    admission_settings m_settings;
    admission_counters m_counters;
    std::vector<arrived> m_waiting;                   // in order of arrival
    std::map<std::string, running_request> m_running; // by request id
    std::map<std::string, team_state> m_teams;        // by team name
    std::map<std::string, estimate> m_estimates;      // by service
    estimate m_overallEstimate;                       // over all services
    std::vector<action> m_actions; // produced by the event that is being processed
    double m_virtualTime = 0;      // lowest servedTime of an active team; never decreases
    time_point m_nextRetryAt{};    // retry time that was given to the last refused request
    int m_unusableConnections = 0;
    bool m_isDraining = false;
};

} // namespace zinniabarrow::request
