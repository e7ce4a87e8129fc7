#include "request/admission.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace zinniabarrow::request {

namespace {

constexpr std::size_t MaxServiceEstimates = 64; // further services use the overall estimate
constexpr std::size_t MaxIdleTeams = 256;       // teams without requests that are kept
constexpr int SmoothingDivisor = 8;             // weight of a new sample: 1/8
constexpr int MaxPriority = 9;
constexpr double OverShareFactor = 1.75; // times the fair share of the queue

// A higher priority makes a team's service time count less, but never zero, so that no team
// starves.
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
    // A message that is delivered twice must not run the request twice.
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
        plan(now); // if a slot is free, a request starts and leaves the queue
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
    // The time spent waiting for a slow caller is not service time. An incomplete answer only shows
    // that the complete one would have taken longer, so it can only raise the estimate.
    const auto ownTime = details.elapsedTime - details.slowCallerTime;
    if (details.isComplete || ownTime > estimateFor(ended.service).mean)
        updateEstimate(ended.service, ownTime);
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

// An idle team that becomes active starts with the servedTime of the least served active team.
// Otherwise the time during which it sent no requests would count as credit, and it would get every
// slot until the credit is used up.
void admission::markTeamActive(const std::string &team)
{
    bool anyActive = false;
    double lowestServedTime = 0;
    for (const auto &[name, state] : m_teams) {
        if (state.waitingCount + state.runningCount == 0)
            continue;
        lowestServedTime =
                anyActive ? std::min(lowestServedTime, state.servedTime) : state.servedTime;
        anyActive = true;
    }
    if (anyActive)
        m_virtualTime = std::max(m_virtualTime, lowestServedTime);
    auto &state = m_teams[team];
    if (state.waitingCount + state.runningCount == 0)
        state.servedTime = std::max(state.servedTime, m_virtualTime);
}

void admission::removeIdleTeams()
{
    const bool isOverLimit = m_teams.size() > MaxIdleTeams;
    std::erase_if(m_teams, [&](const auto &entry) {
        const auto &state = entry.second;
        const bool isIdle = state.waitingCount + state.runningCount == 0;
        return isIdle && (isOverLimit || state.servedTime <= m_virtualTime);
    });
}

// Called when the queue exceeds its limit by one request: removes one of the team with the most
// waiting requests. Otherwise a team that floods the queue would cause all other teams to be
// refused.
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

// Only a team clearly above its fair share is refused with FairShareExceeded. If teams have about
// equal shares, the queue is simply full, and another upstream may have capacity.
bool admission::isOverShare(const std::string &team) const
{
    const auto waitingTeams = std::count_if(m_teams.begin(), m_teams.end(), [](const auto &entry) {
        return entry.second.waitingCount > 0;
    });
    const double share = static_cast<double>(m_waiting.size()) / static_cast<double>(waitingTeams);
    return m_teams.at(team).waitingCount > share * OverShareFactor;
}

// Index of the team's least urgent request: lowest priority, then latest deadline, then newest.
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

// Indexes into m_waiting in the order in which they will get slots: the least served team first;
// within a team by priority, then deadline, then arrival.
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
    // Each list is in reverse order, so that the next request is at its back.
    for (auto index = sorted.rbegin(); index != sorted.rend(); ++index)
        byTeam[m_waiting[*index].team].push_back(*index);

    using team_turn = std::pair<double, std::string>;
    std::priority_queue<team_turn, std::vector<team_turn>, std::greater<>> teamsByServedTime;
    for (const auto &[team, indexes] : byTeam)
        teamsByServedTime.emplace(m_teams.at(team).servedTime, team);
    std::vector<std::size_t> order;
    while (!teamsByServedTime.empty()) {
        const auto [served, team] = teamsByServedTime.top();
        teamsByServedTime.pop();
        auto &indexes = byTeam[team];
        const auto &next = m_waiting[indexes.back()];
        order.push_back(indexes.back());
        indexes.pop_back();
        if (!indexes.empty())
            teamsByServedTime.emplace(
                    served + weightedTime(estimateFor(next.service).mean, next.priority), team);
    }
    return order;
}

// Expected times at which the slots become free; `now` for free slots.
std::vector<time_point> admission::slotFreeTimes(time_point now) const
{
    std::vector<time_point> freeTimes;
    for (const auto &[id, request] : m_running) {
        const auto &currentEstimate = estimateFor(request.service);
        const duration age = now - request.startedAt;
        // A request that is overdue by d is expected to need about d more. With the mean alone, a
        // frozen upstream would seem about to finish at any moment, and queued requests would wait
        // for it in vain.
        const duration remaining = std::max({currentEstimate.mean - age, age - currentEstimate.mean,
                                             currentEstimate.deviation, duration(1)});
        freeTimes.push_back(now + remaining);
    }
    const int limit = std::min(m_settings.slots, m_settings.connections - m_unusableConnections);
    while (static_cast<int>(freeTimes.size()) < limit)
        freeTimes.push_back(now);
    return freeTimes;
}

// Assigns the expected free times of the slots to the waiting requests in dispatch order. Starts
// the requests whose slot is free and refuses those that can't end before their deadline.
void admission::plan(time_point now)
{
    const auto freeTimes = slotFreeTimes(now);
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(
            freeTimes.begin(), freeTimes.end());
    const auto order = dispatchOrder();
    std::vector<decision> decisions(m_waiting.size(), decision::Wait);
    bool anyStarted = false;
    for (const std::size_t index : order) {
        const time_point expectedStart = slots.empty() ? Never : slots.top();
        const bool isIdle = m_running.empty() && !anyStarted;
        decisions[index] = decide(m_waiting[index], expectedStart, isIdle, now);
        if (decisions[index] == decision::Refuse || slots.empty())
            continue;
        slots.pop();
        slots.push(expectedStart + estimateFor(m_waiting[index].service).mean);
        anyStarted = anyStarted || decisions[index] == decision::Start;
    }
    applyDecisions(order, decisions, now);
}

// `expectedStart`: when the request's slot is expected to be free; Never if no slot is usable.
admission::decision admission::decide(const arrived &request, time_point expectedStart, bool isIdle,
                                      time_point now) const
{
    const auto &currentEstimate = estimateFor(request.service);
    const auto margin = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(currentEstimate.deviation)
            * m_settings.deadlineMargin);
    const duration needed = currentEstimate.mean + margin;
    // Unusable connections are closed soon, so the request waits for one to be closed as long as
    // its deadline allows.
    if (expectedStart == Never)
        return now + needed > request.deadline ? decision::Refuse : decision::Wait;
    // If nothing is running, a request is started whatever the estimate is. Otherwise a slow period
    // could raise the estimate above every deadline, and since nothing would run, it could never
    // fall again.
    const bool isProbe = isIdle && expectedStart == now && request.deadline > now;
    if (expectedStart + needed > request.deadline && !isProbe)
        return decision::Refuse;
    return expectedStart == now ? decision::Start : decision::Wait;
}

// Starts are processed before refusals, so that Retry-After counts the started requests as backlog.
// Both are in dispatch order, so that the request that was next gets the earliest retry time.
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

// Each refused request gets its own retry time after the end of the backlog. Successive retry times
// differ by the mean service time divided by the number of slots. With the same time for all, the
// refused requests would be retried together and be refused together.
milliseconds admission::retryAfterFor(error_kind kind, time_point now)
{
    const auto fixed = answerFor(kind).suggestedRetryDelay;
    if (fixed.count() == 0 || kind == error_kind::Draining)
        return fixed;
    const time_point latest = now + m_settings.maxRetryAfter;
    const time_point backlogEnd = now + backlog(now);
    m_nextRetryAt = std::max(m_nextRetryAt, backlogEnd) + m_overallEstimate.mean / m_settings.slots;
    m_nextRetryAt = std::min(m_nextRetryAt, latest);
    const auto delay = std::chrono::ceil<milliseconds>(m_nextRetryAt - now);
    return std::max(delay, m_settings.minRetryAfter);
}

duration admission::backlog(time_point now) const
{
    const auto freeTimes = slotFreeTimes(now);
    if (freeTimes.empty())
        return m_settings.maxRetryAfter;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(
            freeTimes.begin(), freeTimes.end());
    for (const auto &waiting : m_waiting) {
        const time_point expectedStart = slots.top();
        slots.pop();
        slots.push(expectedStart + estimateFor(waiting.service).mean);
    }
    return slots.top() - now;
}

void admission::updateEstimate(const std::string &service, duration measured)
{
    const auto update = [measured](estimate &currentEstimate) {
        const duration difference = measured > currentEstimate.mean
                                            ? measured - currentEstimate.mean
                                            : currentEstimate.mean - measured;
        currentEstimate.deviation = movingAverage(currentEstimate.deviation, difference);
        currentEstimate.mean = movingAverage(currentEstimate.mean, measured);
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
