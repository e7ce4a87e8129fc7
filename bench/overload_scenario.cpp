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

class overload
{
public:
    overload(const std::map<std::string, double> &perSecondByTeam,
             const admission_settings &settings)
        : m_perSecond(perSecondByTeam)
        , m_gate(settings)
    {
        for (const auto &[team, rate] : m_perSecond)
            m_steps.push({m_now + exponential(1 / rate), "", team});
    }

    overload_result run(time_point end)
    {
        while (m_steps.top().at < end) {
            const step next = m_steps.top();
            m_steps.pop();
            m_now = next.at;
            if (next.id.empty())
                arrive(next.team);
            else
                finish(next.id, next.team);
        }
        return m_result;
    }

private:
    struct step
    {
        time_point at;
        std::string id; // of a finished request; empty: the team's next arrival
        std::string team;
        bool operator<(const step &other) const { return at > other.at; }
    };
    struct sent_request
    {
        std::string team;
        time_point deadline;
        duration took{};
    };

    duration exponential(double mean)
    {
        const std::chrono::duration<double> drawn(-std::log(1 - drawUniform(m_random)) * mean);
        return duration(1) + std::chrono::duration_cast<duration>(drawn);
    }

    void arrive(const std::string &team)
    {
        const std::string id = team + std::to_string(m_number++);
        m_sent[id] = {team, m_now + Timeout, {}};
        m_steps.push({m_now + exponential(1 / m_perSecond.at(team)), "", team});
        follow(m_gate.handle(admission::arrived{id, "tickets", team, 0, m_now + Timeout}, m_now));
    }

    void finish(const std::string &id, const std::string &team)
    {
        const auto ended = m_sent.extract(id).mapped();
        const bool inTime = m_now <= ended.deadline;
        ++(inTime ? m_result.inTime : m_result.late);
        m_result.inTimeByTeam[team] += inTime ? 1 : 0;
        follow(m_gate.handle(admission::finished{id, ended.took}, m_now));
    }

    void follow(const std::vector<admission::action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *begun = std::get_if<admission::start>(&action)) {
                auto &request = m_sent.at(begun->id);
                request.took = exponential(ServiceSeconds);
                m_steps.push({m_now + request.took, begun->id, request.team});
            } else {
                ++m_result.refused;
                m_sent.erase(std::get<admission::refuse>(action).id);
            }
        }
    }

    std::map<std::string, double> m_perSecond;
    admission m_gate;
    random_generator m_random{Seed};
    time_point m_now{};
    std::priority_queue<step> m_steps;
    std::map<std::string, sent_request> m_sent;
    overload_result m_result;
    int m_number = 0;
};

} // namespace

overload_result runOverload(const std::map<std::string, double> &perSecondByTeam, seconds length,
                            const admission_settings &settings)
{
    return overload(perSecondByTeam, settings).run(time_point(length));
}

} // namespace zinniabarrow
