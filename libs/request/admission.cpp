#include "request/admission.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace zinniabarrow::request {

namespace {

constexpr std::size_t ServicesLearned = 64; // further services share the overall estimate
constexpr std::size_t IdleTeamsKept = 256;  // bound on team records that hold no request
constexpr int SmoothingShift = 8;           // weight of a sample: 1/8
constexpr int HighestPriority = 9;
constexpr double ClearlyOver = 1.75; // times the fair share of the queue

// A high priority makes a team's time cheaper; it never makes it free, so no team starves.
double weightOf(int priority)
{
    return 1.0 + std::clamp(priority, 0, HighestPriority);
}

double chargeOf(duration time, int priority)
{
    return static_cast<double>(time.count()) / weightOf(priority);
}

duration moved(duration from, duration towards)
{
    return from + (towards - from) / SmoothingShift;
}

} // namespace

admission::admission(admission_settings settings)
    : m_settings(settings)
    , m_overall{settings.firstServiceTime, settings.firstServiceTime / 2}
{ }

std::vector<admission::action> admission::handle(const event &what, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &happened) { on(happened, now); }, what);
    plan(now);
    return std::exchange(m_actions, {});
}

void admission::on(const arrived &happened, time_point now)
{
    // The same message delivered twice must not run the request twice.
    if (knows(happened.id)) {
        ++m_counters.ignored;
        return;
    }
    ++m_counters.arrived;
    if (happened.deadline <= now)
        return refuseRequest(happened.id, error_kind::DeadlinePassed, now);
    if (m_draining)
        return refuseRequest(happened.id, error_kind::Draining, now);
    activate(happened.team);
    m_waiting.push_back(happened);
    ++m_teams[happened.team].waiting;
    if (m_waiting.size() > static_cast<std::size_t>(m_settings.queueLimit))
        plan(now); // a free slot may take one
    if (m_waiting.size() > static_cast<std::size_t>(m_settings.queueLimit))
        shedOne(happened.team, now);
}

void admission::on(const finished &happened, time_point)
{
    const auto found = m_running.find(happened.id);
    if (found == m_running.end()) {
        ++m_counters.ignored;
        return;
    }
    const running_request ended = found->second;
    m_running.erase(found);
    ++m_counters.finished;
    auto &team = m_teams[ended.team];
    --team.running;
    team.served += chargeOf(happened.tookTime - ended.charged, ended.priority);
    // A caller that reads slowly says nothing of its service. An answer that was cut shows only
    // that the whole would have taken longer.
    const auto own = happened.tookTime - happened.callerTime;
    if (happened.whole || own > estimateFor(ended.service).mean)
        learn(ended.service, own);
    forgetIdleTeams();
}

void admission::on(const cancelled &happened, time_point)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto &waiting) { return waiting.id == happened.id; });
    if (found == m_waiting.end())
        return;
    --m_teams[found->team].waiting;
    m_waiting.erase(found);
    ++m_counters.cancelled;
}

void admission::on(const connections_changed &happened, time_point)
{
    m_unusableConnections = std::max(0, happened.unusable);
}

void admission::on(const drain_started &, time_point)
{
    m_draining = true;
}

void admission::on(const tick &, time_point) { }

bool admission::knows(const std::string &id) const
{
    return m_running.contains(id)
           || std::any_of(m_waiting.begin(), m_waiting.end(),
                          [&](const auto &waiting) { return waiting.id == id; });
}

// A team that was idle starts level with the least served one. Without this it would come back with
// credit for all the time it asked for nothing, and hold every slot until that was used up.
void admission::activate(const std::string &team)
{
    bool anyActive = false;
    double least = 0;
    for (const auto &[name, state] : m_teams) {
        if (state.waiting + state.running == 0)
            continue;
        least = anyActive ? std::min(least, state.served) : state.served;
        anyActive = true;
    }
    if (anyActive)
        m_virtualTime = std::max(m_virtualTime, least);
    auto &state = m_teams[team];
    if (state.waiting + state.running == 0)
        state.served = std::max(state.served, m_virtualTime);
}

void admission::forgetIdleTeams()
{
    const bool crowded = m_teams.size() > IdleTeamsKept;
    std::erase_if(m_teams, [&](const auto &entry) {
        const auto &state = entry.second;
        const bool idle = state.waiting + state.running == 0;
        return idle && (crowded || state.served <= m_virtualTime);
    });
}

// The queue is over its limit by one: the team that holds most of it gives one up. Without this a
// team that floods the queue would have every other team refused at the door.
void admission::shedOne(const std::string &newcomer, time_point now)
{
    std::string largest = newcomer;
    for (const auto &[name, state] : m_teams) {
        if (state.waiting > m_teams[largest].waiting)
            largest = name;
    }
    const auto victim = m_waiting.begin() + static_cast<std::ptrdiff_t>(victimOf(largest));
    const std::string id = victim->id;
    const auto kind = isOverShare(largest) ? error_kind::FairShareExceeded : error_kind::QueueFull;
    --m_teams[largest].waiting;
    m_waiting.erase(victim);
    refuseRequest(id, kind, now);
}

// Clearly over: among equal teams the queue is simply full, and another upstream may have room.
bool admission::isOverShare(const std::string &team) const
{
    const auto waitingTeams = std::count_if(m_teams.begin(), m_teams.end(), [](const auto &entry) {
        return entry.second.waiting > 0;
    });
    const double share = static_cast<double>(m_waiting.size()) / static_cast<double>(waitingTeams);
    return m_teams.at(team).waiting > share * ClearlyOver;
}

// The least urgent request of the team: lowest priority, latest deadline, newest.
std::size_t admission::victimOf(const std::string &team) const
{
    std::size_t victim = m_waiting.size();
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        const auto &candidate = m_waiting[i];
        if (candidate.team != team)
            continue;
        if (victim == m_waiting.size()) {
            victim = i;
            continue;
        }
        const auto &current = m_waiting[victim];
        if (std::pair(-candidate.priority, candidate.deadline)
            >= std::pair(-current.priority, current.deadline)) {
            victim = i;
        }
    }
    return victim;
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
        turns.emplace(m_teams.at(team).served, team);
    std::vector<std::size_t> order;
    while (!turns.empty()) {
        const auto [served, team] = turns.top();
        turns.pop();
        auto &indexes = byTeam[team];
        const auto &next = m_waiting[indexes.back()];
        order.push_back(indexes.back());
        indexes.pop_back();
        if (!indexes.empty())
            turns.emplace(served + chargeOf(estimateFor(next.service).mean, next.priority), team);
    }
    return order;
}

// When each slot is expected to be free; `now` for one that is free.
std::vector<time_point> admission::slotTimes(time_point now) const
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
    const auto times = slotTimes(now);
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(times.begin(),
                                                                                   times.end());
    const auto order = dispatchOrder();
    std::vector<verdict> verdicts(m_waiting.size(), verdict::Wait);
    bool anyStarted = false;
    for (const std::size_t index : order) {
        const time_point begins = slots.empty() ? Never : slots.top();
        const bool idle = m_running.empty() && !anyStarted;
        verdicts[index] = judge(m_waiting[index], begins, idle, now);
        if (verdicts[index] == verdict::Refuse || slots.empty())
            continue;
        slots.pop();
        slots.push(begins + estimateFor(m_waiting[index].service).mean);
        anyStarted = anyStarted || verdicts[index] == verdict::Start;
    }
    settle(order, verdicts, now);
}

// `begins`: when its slot is expected to be free, Never if no slot is usable.
admission::verdict admission::judge(const arrived &request, time_point begins, bool idle,
                                    time_point now) const
{
    const auto &known = estimateFor(request.service);
    const auto margin = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(known.deviation)
            * m_settings.deadlineMargin);
    const duration needed = known.mean + margin;
    // Connections in doubt are closed soon: the request waits for that while it still can.
    if (begins == Never)
        return now + needed > request.deadline ? verdict::Refuse : verdict::Wait;
    // With nothing running, a request goes through whatever was learned. Otherwise one slow
    // spell could teach a service time above every deadline, and since nothing would run, the
    // estimate could never come down again.
    const bool probe = idle && begins == now && request.deadline > now;
    if (begins + needed > request.deadline && !probe)
        return verdict::Refuse;
    return begins == now ? verdict::Start : verdict::Wait;
}

// Starts come before refusals, so that Retry-After counts them as backlog; both in the order in
// which slots are given, so that whoever was next gets the first place to come back.
void admission::settle(const std::vector<std::size_t> &order, const std::vector<verdict> &verdicts,
                       time_point now)
{
    std::vector<std::string> refused;
    for (const std::size_t index : order) {
        const auto &request = m_waiting[index];
        if (verdicts[index] == verdict::Wait)
            continue;
        --m_teams[request.team].waiting;
        if (verdicts[index] == verdict::Start)
            startRequest(request, now);
        else
            refused.push_back(request.id);
    }
    std::size_t position = 0;
    std::erase_if(m_waiting, [&](const auto &) { return verdicts[position++] != verdict::Wait; });
    for (const auto &id : refused)
        refuseRequest(id, error_kind::DeadlineTooClose, now);
}

void admission::startRequest(const arrived &request, time_point now)
{
    const duration expected = estimateFor(request.service).mean;
    auto &team = m_teams[request.team];
    ++team.running;
    team.served += chargeOf(expected, request.priority);
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
    const auto fixed = answerFor(kind).comeBackAfter;
    if (fixed.count() == 0 || kind == error_kind::Draining)
        return fixed;
    const time_point latest = now + m_settings.longestRetryAfter;
    const time_point behindBacklog = now + backlog(now);
    m_comeBackAt = std::max(m_comeBackAt, behindBacklog) + m_overall.mean / m_settings.slots;
    m_comeBackAt = std::min(m_comeBackAt, latest);
    const auto after = std::chrono::ceil<milliseconds>(m_comeBackAt - now);
    return std::max(after, m_settings.shortestRetryAfter);
}

duration admission::backlog(time_point now) const
{
    const auto times = slotTimes(now);
    if (times.empty())
        return m_settings.longestRetryAfter;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(times.begin(),
                                                                                   times.end());
    for (const auto &waiting : m_waiting) {
        const time_point begins = slots.top();
        slots.pop();
        slots.push(begins + estimateFor(waiting.service).mean);
    }
    return slots.top() - now;
}

void admission::learn(const std::string &service, duration took)
{
    const auto update = [took](estimate &known) {
        const duration off = took > known.mean ? took - known.mean : known.mean - took;
        known.deviation = moved(known.deviation, off);
        known.mean = moved(known.mean, took);
    };
    update(m_overall);
    const auto found = m_estimates.find(service);
    if (found != m_estimates.end())
        return update(found->second);
    if (m_estimates.size() < ServicesLearned)
        m_estimates[service] = {took, took / 2};
}

const admission::estimate &admission::estimateFor(const std::string &service) const
{
    const auto found = m_estimates.find(service);
    return found == m_estimates.end() ? m_overall : found->second;
}

duration admission::serviceTime(const std::string &service) const
{
    return estimateFor(service).mean;
}

} // namespace zinniabarrow::request
