#include "overload_scenario.h"

#include <cmath>
#include <queue>
#include <vector>

#include "base/random.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds Timeout{200};
constexpr double ServiceSeconds = 0.020;
constexpr std::uint64_t Seed = 7;

class overload_simulation
{
public:
    overload_simulation(const std::map<std::string, double> &perSecondByTeam,
                        const admission_settings &settings)
        : m_requestsPerSecondByTeam(perSecondByTeam)
        , m_admission(settings)
    {
        for (const auto &[team, rate] : m_requestsPerSecondByTeam)
            m_events.push({m_now + drawExponential(1 / rate), "", team});
    }

    overload_result run(time_point end)
    {
        while (m_events.top().dueAt < end) {
            const pending_event next = m_events.top();
            m_events.pop();
            m_now = next.dueAt;
            if (next.id.empty())
                arrive(next.team);
            else
                finish(next.id, next.team);
        }
        return m_result;
    }

private:
    struct pending_event
    {
        time_point dueAt;
        std::string id; // of the request that completes; empty: the team's next request arrives
        std::string team;
        bool operator<(const pending_event &other) const { return dueAt > other.dueAt; }
    };
    struct sent_request
    {
        std::string team;
        time_point deadline;
        duration serviceTime{};
    };

    duration drawExponential(double mean)
    {
        const std::chrono::duration<double> drawnTime(-std::log(1 - drawUniform(m_random)) * mean);
        return duration(1) + std::chrono::duration_cast<duration>(drawnTime);
    }

    void arrive(const std::string &team)
    {
        const std::string id = team + std::to_string(m_nextNumber++);
        m_requests[id] = {team, m_now + Timeout, {}};
        m_events.push({m_now + drawExponential(1 / m_requestsPerSecondByTeam.at(team)), "", team});
        applyActions(m_admission.handle(admission::arrived{id, "tickets", team, 0, m_now + Timeout},
                                        m_now));
    }

    void finish(const std::string &id, const std::string &team)
    {
        const auto endedRequest = m_requests.extract(id).mapped();
        const bool isOnTime = m_now <= endedRequest.deadline;
        ++(isOnTime ? m_result.onTime : m_result.late);
        m_result.onTimeByTeam[team] += isOnTime ? 1 : 0;
        applyActions(m_admission.handle(admission::finished{id, endedRequest.serviceTime}, m_now));
    }

    void applyActions(const std::vector<admission::action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *started = std::get_if<admission::start>(&action)) {
                auto &request = m_requests.at(started->id);
                request.serviceTime = drawExponential(ServiceSeconds);
                m_events.push({m_now + request.serviceTime, started->id, request.team});
            } else {
                ++m_result.refused;
                m_requests.erase(std::get<admission::refuse>(action).id);
            }
        }
    }

    std::map<std::string, double> m_requestsPerSecondByTeam;
    admission m_admission;
    random_generator m_random{Seed};
    time_point m_now{};
    std::priority_queue<pending_event> m_events;
    std::map<std::string, sent_request> m_requests;
    overload_result m_result;
    int m_nextNumber = 0;
};

} // namespace

overload_result runOverload(const std::map<std::string, double> &perSecondByTeam, seconds length,
                            const admission_settings &settings)
{
    return overload_simulation(perSecondByTeam, settings).run(time_point(length));
}

} // namespace zinniabarrow
