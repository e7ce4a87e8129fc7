// Admission: which requests the agent lets through to its one upstream, when, and which it refuses.
//
//   admission_settings   hard limits of the upstream, queue length, first estimates
//   admission            events in (arrived, finished, ...), actions out (start, refuse)
//   admission_counters   what happened so far, refusals by reason
//
// A request either starts, waits in a short queue, or is refused at once with the reason. A queued
// request is refused as soon as it is known that it cannot end before its deadline.
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
    int slots = 8;                       // requests the upstream runs at once
    int connections = 64;                // connections the upstream accepts
    int queueLimit = 16;                 // requests that wait here
    milliseconds initialServiceTime{20}; // estimate until the first request has finished
    double deadlineMargin = 1.0;         // mean deviations kept free before a deadline
    milliseconds minRetryAfter{50};      // bounds of the Retry-After that is handed out
    milliseconds maxRetryAfter{10 * 1000};
};

struct admission_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0; // given up by the caller while waiting
    std::uint64_t ignored = 0;   // doubled arrivals, finishes of unknown requests
    std::map<error_kind, std::uint64_t> refused;
};

class admission
{
public:
    // Events.
    struct arrived
    {
        std::string id; // unique among the requests that wait or run
        std::string service;
        std::string team;
        int priority = 0;    // of the service; 0..9, higher goes first
        time_point deadline; // the caller's
    };
    struct finished // the upstream no longer works on the request, however it ended
    {
        std::string id;
        duration elapsedTime{};    // from `start`
        duration slowCallerTime{}; // of it, while the answer waited for a caller that reads slowly
        bool isComplete = true;    // nothing of the answer was left out
    };
    struct cancelled // the caller is gone; a request that runs keeps its slot until `finished`
    {
        std::string id;
    };
    struct connections_changed
    {
        int unusableCount = 0; // open connections that carry no request and cannot take one
    };
    struct drain_started
    { };
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
        milliseconds retryAfter{}; // 0: coming back does not help
    };
    using action = std::variant<start, refuse>;

    explicit admission(admission_settings settings);

    std::vector<action> handle(const event &newEvent, time_point now);

    bool isDrained() const { return m_isDraining && m_running.empty() && m_waiting.empty(); }
    int runningCount() const { return static_cast<int>(m_running.size()); }
    int waitingCount() const { return static_cast<int>(m_waiting.size()); }
    duration serviceTime(const std::string &service) const; // learned mean
    duration backlog(time_point now) const; // until a request that arrives now would start
    const admission_counters &counters() const { return m_counters; }

private:
    enum class decision { Wait, Start, Refuse };
    // Mean and mean deviation of the service time, both moving.
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
        duration chargedTime{}; // service time already counted against the team
    };
    struct team_state
    {
        double servedTime = 0; // weighted service time in microseconds
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
    decision decide(const arrived &request, time_point expectedStart, bool idle,
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
    std::vector<arrived> m_waiting; // in the order of arrival
    std::map<std::string, running_request> m_running;
    std::map<std::string, team_state> m_teams;
    std::map<std::string, estimate> m_estimates;
    estimate m_overallEstimate;
    std::vector<action> m_actions; // of the event being handled
    double m_virtualTime = 0;      // least served time of an active team, never falls
    time_point m_nextRetryAt{};    // place handed out to the last refused request
    int m_unusableConnections = 0;
    bool m_isDraining = false;
};

} // namespace zinniabarrow::request
