#include "request/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/names.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<attempt_outcome, 4> OutcomeNames{{
        {attempt_outcome::Answered, "answered"},
        {attempt_outcome::Refused, "refused"},
        {attempt_outcome::Leaving, "leaving"},
        {attempt_outcome::Failed, "failed"},
}};

constexpr std::array<std::string_view, 3> PolicyNames{"two_choices", "round_robin",
                                                      "least_known_load"};

constexpr int LatencySmoothing = 8; // weight of a sample: 1/8
constexpr double LoadSmoothing = 8; // weight of a report: 1/8

} // namespace

std::string_view nameOf(const routing_policy &policy)
{
    return PolicyNames.at(policy.index());
}

std::string_view nameOf(attempt_outcome outcome)
{
    return nameOf(OutcomeNames, outcome);
}

router::router(router_settings settings, routing_policy policy, random_generator random)
    : m_settings(std::move(settings))
    , m_policy(policy)
    , m_random(random)
{ }

void router::apply(const membership_change &change, time_point now)
{
    std::visit([&](const auto &event) { on(event, now); }, change);
}

void router::on(const upstream_joined &change, time_point now)
{
    const auto &about = change.upstream;
    const bool first = m_byService[about.service].empty();
    auto &joined = m_upstreams[about.agentId];
    joined = upstream{};
    joined.about = about;
    joined.where = localityOf(about);
    joined.serviceTime = m_settings.firstServiceTime;
    joined.usualOthers = about.load.inFlight + about.load.queued;
    // With nobody there to compare with, there is no share to start slowly from.
    joined.warmSince = first ? now - m_settings.slowStart : now;
    noteLoad(joined, about.load, now);
    m_byService[about.service].insert(about.agentId);
}

void router::on(const upstream_left &change, time_point)
{
    const auto found = m_upstreams.find(change.agentId);
    if (found == m_upstreams.end() || found->second.about.incarnation != change.incarnation)
        return;
    m_byService[found->second.about.service].erase(change.agentId);
    m_upstreams.erase(found);
}

void router::on(const upstream_reported &change, time_point now)
{
    if (upstream *known = find(change.agentId, change.incarnation)) {
        known->leaving = false;
        noteLoad(*known, change.load, now);
    }
}

router::locality router::localityOf(const announcement &about) const
{
    if (about.region != m_settings.region)
        return locality::OtherRegion;
    return about.zone == m_settings.zone ? locality::OwnZone : locality::OwnRegion;
}

router::upstream *router::find(const std::string &agentId, std::uint64_t incarnation)
{
    const auto found = m_upstreams.find(agentId);
    if (found == m_upstreams.end() || found->second.about.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

routing_decision router::choose(const std::string &service, const std::set<std::string> &excluded,
                                time_point now)
{
    bool anyBackingOff = false;
    const auto all = eligible(service, excluded, now, anyBackingOff);
    if (all.empty())
        return refusal(anyBackingOff ? error_kind::Overloaded : error_kind::NoUpstream);
    upstream *chosen = nullptr;
    for (const auto where : {locality::OwnZone, locality::OwnRegion, locality::OtherRegion}) {
        candidates near;
        for (upstream *candidate : all) {
            if (candidate->where == where)
                near.push_back(candidate);
        }
        if (near.empty())
            continue;
        upstream *best = pick(service, near, now);
        // A zone further away is taken only when it is less loaded: else two full zones would
        // send each other their requests, and each would pay the way for nothing.
        if (!chosen || knownLoad(*best, now) < knownLoad(*chosen, now))
            chosen = best;
        if (knownLoad(*chosen, now) <= m_settings.spillAt)
            break;
    }
    countChoice(*chosen);
    return route{chosen->about.agentId, chosen->about.address, chosen->about.incarnation};
}

// The upstreams that may be taken now.
router::candidates router::eligible(const std::string &service,
                                    const std::set<std::string> &excluded, time_point now,
                                    bool &anyBackingOff)
{
    candidates result;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end())
        return result;
    for (const auto &id : ids->second) {
        auto &candidate = m_upstreams.at(id);
        if (excluded.contains(id) || candidate.leaving)
            continue;
        if (candidate.state == health::Ejected && candidate.ejectedUntil <= now)
            candidate.state = health::Probing;
        // After the cool-down one attempt at a time shows whether the upstream has recovered.
        const bool probed = candidate.state == health::Probing && candidate.own > 0;
        if (candidate.state == health::Ejected || probed)
            continue;
        if (candidate.backOffUntil > now) {
            anyBackingOff = true;
            continue;
        }
        result.push_back(&candidate);
    }
    return result;
}

router::upstream *router::pick(const std::string &service, const candidates &from, time_point now)
{
    return std::visit([&](const auto &policy) { return pickBy(policy, service, from, now); },
                      m_policy);
}

router::upstream *router::pickBy(two_choices, const std::string &, const candidates &from,
                                 time_point now)
{
    const std::size_t first = pickIndex(m_random, from.size());
    if (from.size() == 1)
        return from[first];
    std::size_t second = pickIndex(m_random, from.size() - 1);
    second += second >= first ? 1 : 0;
    return knownLoad(*from[second], now) < knownLoad(*from[first], now) ? from[second]
                                                                        : from[first];
}

router::upstream *router::pickBy(round_robin, const std::string &service, const candidates &from,
                                 time_point now)
{
    auto &turn = m_turns[service];
    for (std::size_t tries = 0; tries < from.size(); ++tries) {
        upstream *next = from[turn++ % from.size()];
        if (pickUnit(m_random) < share(*next, now))
            return next;
    }
    return from[turn++ % from.size()];
}

router::upstream *router::pickBy(least_known_load, const std::string &, const candidates &from,
                                 time_point now)
{
    // Starting at a random place breaks ties evenly.
    const std::size_t offset = pickIndex(m_random, from.size());
    upstream *best = from[offset];
    for (std::size_t i = 1; i < from.size(); ++i) {
        upstream *other = from[(offset + i) % from.size()];
        if (knownLoad(*other, now) < knownLoad(*best, now))
            best = other;
    }
    return best;
}

// The part of a full share that a newcomer gets. A cold upstream that looked idle would draw every
// request of every entry at once.
double router::share(const upstream &of, time_point now) const
{
    const std::chrono::duration<double> warm = now - of.warmSince;
    const std::chrono::duration<double> needed = m_settings.slowStart;
    if (warm >= needed)
        return 1.0;
    const double progress = warm / needed;
    return m_settings.slowStartShare + (1.0 - m_settings.slowStartShare) * progress;
}

// What others have sent, known from reports alone. Within a service time most of a report is out of
// date, and then the upstream's usual load says more. With a longer life, or with nothing in place
// of an old report, all entries run after the upstream that last reported little, together, until
// it refuses and the next one is overrun.
double router::othersLoad(const upstream &of, time_point now) const
{
    const std::chrono::duration<double> age = now - of.reportedAt;
    const std::chrono::duration<double> halfLife = of.serviceTime;
    return of.usualOthers + (of.others - of.usualOthers) * std::exp2(-age / halfLife);
}

// Requests for each slot with one more there, as far as this entry knows.
double router::knownLoad(const upstream &of, time_point now) const
{
    const double slots = std::max(1, of.about.slots) * share(of, now);
    return (of.own + othersLoad(of, now) + 1.0) / slots;
}

void router::attemptStarted(const route &to, time_point)
{
    if (upstream *known = find(to.agentId, to.incarnation))
        ++known->own;
}

void router::attemptEnded(const attempt_ended &attempt, time_point now)
{
    ++m_counters.ended[attempt.outcome];
    upstream *known = find(attempt.upstream.agentId, attempt.upstream.incarnation);
    if (!known)
        return;
    known->own = std::max(0, known->own - 1);
    if (attempt.load)
        noteLoad(*known, *attempt.load, now);
    switch (attempt.outcome) {
    case attempt_outcome::Answered: {
        auto &latency = m_latency[known->about.service];
        latency += (attempt.latency - latency) / (latency.count() == 0 ? 1 : LatencySmoothing);
        noteSuccess(*known, now);
        break;
    }
    case attempt_outcome::Refused:
        noteSuccess(*known, now);
        known->backOffUntil = now + std::min(attempt.retryAfter, m_settings.longestBackOff);
        break;
    case attempt_outcome::Leaving:
        known->leaving = true;
        break;
    case attempt_outcome::Failed:
        noteFailure(*known, now);
        break;
    }
}

void router::noteLoad(upstream &of, const upstream_load &load, time_point now)
{
    of.others = std::max(0, load.inFlight + load.queued - of.own);
    of.usualOthers += (of.others - of.usualOthers) / LoadSmoothing;
    of.reportedAt = now;
    if (load.latency.count() > 0)
        of.serviceTime = load.latency;
}

void router::noteFailure(upstream &of, time_point now)
{
    ++of.failures;
    if (of.state == health::Probing)
        return eject(of, now);
    if (of.state == health::Ejected || of.failures < m_settings.failuresToEject)
        return;
    if (!mayEject(of.about.service)) {
        ++m_counters.ejectionsCapped;
        return;
    }
    eject(of, now);
}

void router::noteSuccess(upstream &of, time_point now)
{
    of.failures = 0;
    if (of.state != health::Probing)
        return;
    of.state = health::Admitted;
    of.ejections = 0;
    of.warmSince = now;
    ++m_counters.readmitted;
}

// Without the cap, a fault of the entry's own network would eject everyone, and the few that were
// left would be overrun by the traffic of all.
bool router::mayEject(const std::string &service) const
{
    const int all = upstreams(service);
    const int share = static_cast<int>(all * m_settings.ejectedShare);
    const int limit = all > 1 ? std::max(share, 1) : 0;
    return ejected(service) < limit;
}

void router::eject(upstream &of, time_point now)
{
    constexpr int LargestShift = 10;
    const auto coolDown = m_settings.coolDown * (1 << std::min(of.ejections, LargestShift));
    of.ejectedUntil = now + std::min<duration>(coolDown, m_settings.longestCoolDown);
    of.state = health::Ejected;
    ++of.ejections;
    ++m_counters.ejected;
}

int router::upstreams(const std::string &service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? 0 : static_cast<int>(found->second.size());
}

int router::ejected(const std::string &service) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return 0;
    return static_cast<int>(
            std::count_if(found->second.begin(), found->second.end(), [&](const auto &id) {
                return m_upstreams.at(id).state != health::Admitted;
            }));
}

duration router::expectedLatency(const std::string &service) const
{
    const auto found = m_latency.find(service);
    return found == m_latency.end() ? duration{} : found->second;
}

void router::countChoice(const upstream &chosen)
{
    switch (chosen.where) {
    case locality::OwnZone:
        ++m_counters.ownZone;
        break;
    case locality::OwnRegion:
        ++m_counters.ownRegion;
        break;
    case locality::OtherRegion:
        ++m_counters.otherRegion;
        break;
    }
}

routing_decision router::refusal(error_kind kind)
{
    ++m_counters.refused[kind];
    return kind;
}

} // namespace zinniabarrow::request
