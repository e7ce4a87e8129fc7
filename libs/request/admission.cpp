#include "request/admission.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace zinniabarrow::request {

namespace {

constexpr std::size_t MaxServiceEstimates = 64; // further services share the overall estimate
constexpr std::size_t MaxIdleTeams = 256;       // bound on team records that hold no request
constexpr int SmoothingDivisor = 8;             // weight of a sample: 1/8
constexpr int MaxPriority = 9;
constexpr double OverShareFactor = 1.75; // times the fair share of the queue

// A high priority makes a team's time cheaper; it never makes it free, so no team starves.
double weightOf(int priority)
{
    return 1.0 + std::clamp(priority, 0, MaxPriority);
}

double weightedTime(duration time, int priority)
{
    return static_cast<double>(time.count()) / weightOf(priority);
}

duration movingAverage(duration from, duration towards)
{
    return from + (towards - from) / SmoothingDivisor;
}

} // namespace

admission::admission(admission_settings settings)
    : m_settings(settings)
    , m_overallEstimate{settings.initialServiceTime, settings.initialServiceTime / 2}
{ }

std::vector<admission::action> admission::handle(const event &newEvent, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &details) { on(details, now); }, newEvent);
    plan(now);
    return std::exchange(m_actions, {});
}

void admission::on(const arrived &details, time_point now)
{
    // The same message delivered twice must not run the request twice.
    if (isKnown(details.id)) {
        ++m_counters.ignored;
        return;
    }
    ++m_counters.arrived;
    if (details.deadline <= now)
        return refuseRequest(details.id, error_kind::DeadlinePassed, now);
    if (m_isDraining)
        return refuseRequest(details.id, error_kind::Draining, now);
    markTeamActive(details.team);
    m_waiting.push_back(details);
    ++m_teams[details.team].waitingCount;
    if (m_waiting.size() > static_cast<std::size_t>(m_settings.queueLimit))
        plan(now); // a free slot may take one
    if (m_waiting.size() > static_cast<std::size_t>(m_settings.queueLimit))
        shedRequest(details.team, now);
}

void admission::on(const finished &details, time_point)
{
    const auto found = m_running.find(details.id);
    if (found == m_running.end()) {
        ++m_counters.ignored;
        return;
    }
    const running_request ended = found->second;
    m_running.erase(found);
    ++m_counters.finished;
    auto &team = m_teams[ended.team];
    --team.runningCount;
    team.servedTime += weightedTime(details.elapsedTime - ended.chargedTime, ended.priority);
    // A caller that reads slowly says nothing of its service. An answer that was cut shows only
    // that the whole would have taken longer.
    const auto own = details.elapsedTime - details.slowCallerTime;
    if (details.isComplete || own > estimateFor(ended.service).mean)
        updateEstimate(ended.service, own);
    removeIdleTeams();
}

void admission::on(const cancelled &details, time_point)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto &waiting) { return waiting.id == details.id; });
    if (found == m_waiting.end())
        return;
    --m_teams[found->team].waitingCount;
    m_waiting.erase(found);
    ++m_counters.cancelled;
}

void admission::on(const connections_changed &details, time_point)
{
    m_unusableConnections = std::max(0, details.unusableCount);
}

void admission::on(const drain_started &, time_point)
{
    m_isDraining = true;
}

void admission::on(const tick &, time_point) { }

bool admission::isKnown(const std::string &id) const
{
    return m_running.contains(id)
           || std::any_of(m_waiting.begin(), m_waiting.end(),
                          [&](const auto &waiting) { return waiting.id == id; });
}

// A team that was idle starts level with the least served one. Without this it would come back with
// credit for all the time it asked for nothing, and hold every slot until that was used up.
void admission::markTeamActive(const std::string &team)
{
    bool anyActive = false;
    double least = 0;
    for (const auto &[name, state] : m_teams) {
        if (state.waitingCount + state.runningCount == 0)
            continue;
        least = anyActive ? std::min(least, state.servedTime) : state.servedTime;
        anyActive = true;
    }
    if (anyActive)
        m_virtualTime = std::max(m_virtualTime, least);
    auto &state = m_teams[team];
    if (state.waitingCount + state.runningCount == 0)
        state.servedTime = std::max(state.servedTime, m_virtualTime);
}

void admission::removeIdleTeams()
{
    const bool isOverLimit = m_teams.size() > MaxIdleTeams;
    std::erase_if(m_teams, [&](const auto &entry) {
        const auto &state = entry.second;
        const bool idle = state.waitingCount + state.runningCount == 0;
        return idle && (isOverLimit || state.servedTime <= m_virtualTime);
    });
}

// The queue is over its limit by one: the team that holds most of it gives one up. Without this a
// team that floods the queue would have every other team refused at the door.
void admission::shedRequest(const std::string &arrivingTeam, time_point now)
{
    std::string largest = arrivingTeam;
    for (const auto &[name, state] : m_teams) {
        if (state.waitingCount > m_teams[largest].waitingCount)
            largest = name;
    }
    const auto leastUrgent =
            m_waiting.begin() + static_cast<std::ptrdiff_t>(leastUrgentOf(largest));
    const std::string id = leastUrgent->id;
    const auto kind = isOverShare(largest) ? error_kind::FairShareExceeded : error_kind::QueueFull;
    --m_teams[largest].waitingCount;
    m_waiting.erase(leastUrgent);
    refuseRequest(id, kind, now);
}

// Clearly over: among equal teams the queue is simply full, and another upstream may have room.
bool admission::isOverShare(const std::string &team) const
{
    const auto waitingTeams = std::count_if(m_teams.begin(), m_teams.end(), [](const auto &entry) {
        return entry.second.waitingCount > 0;
    });
    const double share = static_cast<double>(m_waiting.size()) / static_cast<double>(waitingTeams);
    return m_teams.at(team).waitingCount > share * OverShareFactor;
}

// The least urgent request of the team: lowest priority, latest deadline, newest.
std::size_t admission::leastUrgentOf(const std::string &team) const
{
    std::size_t leastUrgent = m_waiting.size();
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        const auto &candidate = m_waiting[i];
        if (candidate.team != team)
            continue;
        if (leastUrgent == m_waiting.size()) {
            leastUrgent = i;
            continue;
        }
        const auto &current = m_waiting[leastUrgent];
        if (std::pair(-candidate.priority, candidate.deadline)
            >= std::pair(-current.priority, current.deadline)) {
            leastUrgent = i;
        }
    }
    return leastUrgent;
}

// Indexes into m_waiting in the order in which slots will be given: least served team first; in a
// team by priority, then by deadline, then by arrival.
std::vector<std::size_t> admission::dispatchOrder() const
{
    std::vector<std::size_t> sorted(m_waiting.size());
    for (std::size_t i = 0; i < sorted.size(); ++i)
        sorted[i] = i;
    std::stable_sort(sorted.begin(), sorted.end(), [&](std::size_t left, std::size_t right) {
        const auto &a = m_waiting[left];
        const auto &b = m_waiting[right];
        return std::pair(-a.priority, a.deadline) < std::pair(-b.priority, b.deadline);
    });
    std::map<std::string, std::vector<std::size_t>> byTeam;
    for (auto index = sorted.rbegin(); index != sorted.rend(); ++index)
        byTeam[m_waiting[*index].team].push_back(*index); // the next one at the back

    using turn = std::pair<double, std::string>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    for (const auto &[team, indexes] : byTeam)
        turns.emplace(m_teams.at(team).servedTime, team);
    std::vector<std::size_t> order;
    while (!turns.empty()) {
        const auto [served, team] = turns.top();
        turns.pop();
        auto &indexes = byTeam[team];
        const auto &next = m_waiting[indexes.back()];
        order.push_back(indexes.back());
        indexes.pop_back();
        if (!indexes.empty())
            turns.emplace(served + weightedTime(estimateFor(next.service).mean, next.priority),
                          team);
    }
    return order;
}

// When each slot is expected to be free; `now` for one that is free.
std::vector<time_point> admission::slotFreeTimes(time_point now) const
{
    std::vector<time_point> times;
    for (const auto &[id, request] : m_running) {
        const auto &known = estimateFor(request.service);
        const duration age = now - request.startedAt;
        // A request that is overdue by d is expected to need about d more. With the mean alone a
        // frozen upstream would look ready at every moment, and the queue would wait in vain.
        const duration remaining =
                std::max({known.mean - age, age - known.mean, known.deviation, duration(1)});
        times.push_back(now + remaining);
    }
    const int limit = std::min(m_settings.slots, m_settings.connections - m_unusableConnections);
    while (static_cast<int>(times.size()) < limit)
        times.push_back(now);
    return times;
}

// Gives the expected slot times to the waiting requests in turn: starts those whose slot is free,
// refuses those that could not end before their deadline.
void admission::plan(time_point now)
{
    const auto times = slotFreeTimes(now);
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(times.begin(),
                                                                                   times.end());
    const auto order = dispatchOrder();
    std::vector<decision> decisions(m_waiting.size(), decision::Wait);
    bool anyStarted = false;
    for (const std::size_t index : order) {
        const time_point expectedStart = slots.empty() ? Never : slots.top();
        const bool idle = m_running.empty() && !anyStarted;
        decisions[index] = decide(m_waiting[index], expectedStart, idle, now);
        if (decisions[index] == decision::Refuse || slots.empty())
            continue;
        slots.pop();
        slots.push(expectedStart + estimateFor(m_waiting[index].service).mean);
        anyStarted = anyStarted || decisions[index] == decision::Start;
    }
    applyDecisions(order, decisions, now);
}

// `begins`: when its slot is expected to be free, Never if no slot is usable.
admission::decision admission::decide(const arrived &request, time_point expectedStart, bool idle,
                                      time_point now) const
{
    const auto &known = estimateFor(request.service);
    const auto margin = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(known.deviation)
            * m_settings.deadlineMargin);
    const duration needed = known.mean + margin;
    // Connections in doubt are closed soon: the request waits for that while it still can.
    if (expectedStart == Never)
        return now + needed > request.deadline ? decision::Refuse : decision::Wait;
    // With nothing running, a request goes through whatever was learned. Otherwise one slow
    // spell could teach a service time above every deadline, and since nothing would run, the
    // estimate could never come down again.
    const bool isProbe = idle && expectedStart == now && request.deadline > now;
    if (expectedStart + needed > request.deadline && !isProbe)
        return decision::Refuse;
    return expectedStart == now ? decision::Start : decision::Wait;
}

// Starts come before refusals, so that Retry-After counts them as backlog; both in the order in
// which slots are given, so that whoever was next gets the first place to come back.
void admission::applyDecisions(const std::vector<std::size_t> &order,
                               const std::vector<decision> &decisions, time_point now)
{
    std::vector<std::string> refused;
    for (const std::size_t index : order) {
        const auto &request = m_waiting[index];
        if (decisions[index] == decision::Wait)
            continue;
        --m_teams[request.team].waitingCount;
        if (decisions[index] == decision::Start)
            startRequest(request, now);
        else
            refused.push_back(request.id);
    }
    std::size_t position = 0;
    std::erase_if(m_waiting, [&](const auto &) { return decisions[position++] != decision::Wait; });
    for (const auto &id : refused)
        refuseRequest(id, error_kind::DeadlineTooClose, now);
}

void admission::startRequest(const arrived &request, time_point now)
{
    const duration expected = estimateFor(request.service).mean;
    auto &team = m_teams[request.team];
    ++team.runningCount;
    team.servedTime += weightedTime(expected, request.priority);
    m_running[request.id] = {request.service, request.team, request.priority, now, expected};
    ++m_counters.started;
    m_actions.emplace_back(start{request.id});
}

void admission::refuseRequest(const std::string &id, error_kind kind, time_point now)
{
    ++m_counters.refused[kind];
    m_actions.emplace_back(refuse{id, kind, retryAfterFor(kind, now)});
}

// Each refused request gets a place of its own behind the backlog, one service time per slot apart.
// With the same answer for all, the refused would come back together and be refused together.
milliseconds admission::retryAfterFor(error_kind kind, time_point now)
{
    const auto fixed = answerFor(kind).suggestedRetryDelay;
    if (fixed.count() == 0 || kind == error_kind::Draining)
        return fixed;
    const time_point latest = now + m_settings.maxRetryAfter;
    const time_point behindBacklog = now + backlog(now);
    m_nextRetryAt =
            std::max(m_nextRetryAt, behindBacklog) + m_overallEstimate.mean / m_settings.slots;
    m_nextRetryAt = std::min(m_nextRetryAt, latest);
    const auto after = std::chrono::ceil<milliseconds>(m_nextRetryAt - now);
    return std::max(after, m_settings.minRetryAfter);
}

duration admission::backlog(time_point now) const
{
    const auto times = slotFreeTimes(now);
    if (times.empty())
        return m_settings.maxRetryAfter;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(times.begin(),
                                                                                   times.end());
    for (const auto &waiting : m_waiting) {
        const time_point expectedStart = slots.top();
        slots.pop();
        slots.push(expectedStart + estimateFor(waiting.service).mean);
    }
    return slots.top() - now;
}

void admission::updateEstimate(const std::string &service, duration measured)
{
    const auto update = [measured](estimate &known) {
        const duration difference =
                measured > known.mean ? measured - known.mean : known.mean - measured;
        known.deviation = movingAverage(known.deviation, difference);
        known.mean = movingAverage(known.mean, measured);
    };
    update(m_overallEstimate);
    const auto found = m_estimates.find(service);
    if (found != m_estimates.end())
        return update(found->second);
    if (m_estimates.size() < MaxServiceEstimates)
        m_estimates[service] = {measured, measured / 2};
}

const admission::estimate &admission::estimateFor(const std::string &service) const
{
    const auto found = m_estimates.find(service);
    return found == m_estimates.end() ? m_overallEstimate : found->second;
}

duration admission::serviceTime(const std::string &service) const
{
    return estimateFor(service).mean;
}

} // namespace zinniabarrow::request
