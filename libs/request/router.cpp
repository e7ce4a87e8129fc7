#include "request/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/names.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<routing_outcome, 4> OutcomeNames{{
        {routing_outcome::Answered, "answered"},
        {routing_outcome::Refused, "refused"},
        {routing_outcome::Leaving, "leaving"},
        {routing_outcome::Failed, "failed"},
}};

constexpr std::array<std::string_view, 3> PolicyNames{"two_choices", "round_robin",
                                                      "least_known_load"};

constexpr int LatencySmoothing = 8; // weight of a new sample: 1/8
constexpr double LoadSmoothing = 8; // weight of a new report: 1/8

} // namespace

std::string_view nameOf(const routing_policy &policy)
{
    return PolicyNames.at(policy.index());
}

std::string_view nameOf(routing_outcome outcome)
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
    const auto &announcedUpstream = change.upstream;
    const bool isFirst = m_byService[announcedUpstream.service].empty();
    auto &joined = m_upstreams[announcedUpstream.agentId];
    joined = upstream{};
    joined.announced = announcedUpstream;
    joined.proximity = localityOf(announcedUpstream);
    joined.serviceTime = m_settings.initialServiceTime;
    joined.averageOthersLoad = announcedUpstream.load.inFlight + announcedUpstream.load.queued;
    // The first upstream of a service gets all requests anyway, so it skips the slow start.
    joined.slowStartedAt = isFirst ? now - m_settings.slowStartTime : now;
    recordLoad(joined, announcedUpstream.load, now);
    m_byService[announcedUpstream.service].insert(announcedUpstream.agentId);
}

void router::on(const upstream_left &change, time_point)
{
    const auto found = m_upstreams.find(change.agentId);
    if (found == m_upstreams.end() || found->second.announced.incarnation != change.incarnation)
        return;
    m_byService[found->second.announced.service].erase(change.agentId);
    m_upstreams.erase(found);
}

void router::on(const upstream_load_reported &change, time_point now)
{
    if (upstream *match = find(change.agentId, change.incarnation)) {
        match->isLeaving = false;
        recordLoad(*match, change.load, now);
    }
}

router::locality router::localityOf(const announcement &announcedUpstream) const
{
    if (announcedUpstream.region != m_settings.region)
        return locality::OtherRegion;
    return announcedUpstream.zone == m_settings.zone ? locality::OwnZone : locality::OwnRegion;
}

router::upstream *router::find(const std::string &agentId, std::uint64_t incarnation)
{
    const auto found = m_upstreams.find(agentId);
    if (found == m_upstreams.end() || found->second.announced.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

routing_decision router::choose(const std::string &service, const std::set<std::string> &excluded,
                                time_point now)
{
    bool anyBackingOff = false;
    const auto all = eligibleUpstreams(service, excluded, now, anyBackingOff);
    if (all.empty())
        return makeRefusal(anyBackingOff ? error_kind::Overloaded : error_kind::NoUpstream);
    upstream *chosen = nullptr;
    for (const auto wantedLocality :
         {locality::OwnZone, locality::OwnRegion, locality::OtherRegion}) {
        candidates sameLocality;
        for (upstream *candidate : all) {
            if (candidate->proximity == wantedLocality)
                sameLocality.push_back(candidate);
        }
        if (sameLocality.empty())
            continue;
        upstream *best = pick(service, sameLocality, now);
        // A more distant zone is chosen only if it is less loaded. Otherwise two full zones would
        // exchange their requests and pay for the longer distance without any gain.
        if (!chosen || estimatedLoad(*best, now) < estimatedLoad(*chosen, now))
            chosen = best;
        if (estimatedLoad(*chosen, now) <= m_settings.spillAboveLoad)
            break;
    }
    countChoice(*chosen);
    return route{chosen->announced.agentId, chosen->announced.address,
                 chosen->announced.incarnation};
}

// The upstreams that may get a request now. Sets `anyBackingOff` if one is left out only because it
// refused a request because of its load.
router::candidates router::eligibleUpstreams(const std::string &service,
                                             const std::set<std::string> &excluded, time_point now,
                                             bool &anyBackingOff)
{
    candidates result;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end())
        return result;
    for (const auto &id : ids->second) {
        auto &candidate = m_upstreams.at(id);
        if (excluded.contains(id) || candidate.isLeaving)
            continue;
        if (candidate.state == health::Ejected && candidate.ejectedUntil <= now)
            candidate.state = health::Probing;
        // After the cool-down, one attempt at a time probes whether the upstream has recovered.
        const bool isProbeRunning = candidate.state == health::Probing && candidate.ownAttempts > 0;
        if (candidate.state == health::Ejected || isProbeRunning)
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
    const std::size_t first = drawIndex(m_random, from.size());
    if (from.size() == 1)
        return from[first];
    std::size_t second = drawIndex(m_random, from.size() - 1);
    second += second >= first ? 1 : 0;
    return estimatedLoad(*from[second], now) < estimatedLoad(*from[first], now) ? from[second]
                                                                                : from[first];
}

router::upstream *router::pickBy(round_robin, const std::string &service, const candidates &from,
                                 time_point now)
{
    auto &turn = m_nextTurn[service];
    for (std::size_t checkedCount = 0; checkedCount < from.size(); ++checkedCount) {
        upstream *next = from[turn++ % from.size()];
        if (drawUniform(m_random) < slowStartFactor(*next, now))
            return next;
    }
    return from[turn++ % from.size()];
}

router::upstream *router::pickBy(least_known_load, const std::string &, const candidates &from,
                                 time_point now)
{
    // A random start position distributes ties evenly.
    const std::size_t offset = drawIndex(m_random, from.size());
    upstream *best = from[offset];
    for (std::size_t i = 1; i < from.size(); ++i) {
        upstream *other = from[(offset + i) % from.size()];
        if (estimatedLoad(*other, now) < estimatedLoad(*best, now))
            best = other;
    }
    return best;
}

// Share of a full load that a new upstream gets. Without it, a new upstream with cold caches would
// look idle and get every request of every entry at once.
double router::slowStartFactor(const upstream &target, time_point now) const
{
    const std::chrono::duration<double> elapsed = now - target.slowStartedAt;
    const std::chrono::duration<double> needed = m_settings.slowStartTime;
    if (elapsed >= needed)
        return 1.0;
    const double progress = elapsed / needed;
    return m_settings.slowStartShare + (1.0 - m_settings.slowStartShare) * progress;
}

// Requests at the upstream that other entries have sent, estimated from its reports. A report is
// mostly outdated after one service time; from then on the average load is the better estimate.
// With a longer half-life, or without the average, all entries would send to the upstream that last
// reported a low load until it refuses, and then to the next one.
double router::estimatedOthersLoad(const upstream &target, time_point now) const
{
    const std::chrono::duration<double> age = now - target.reportedAt;
    const std::chrono::duration<double> halfLife = target.serviceTime;
    return target.averageOthersLoad
           + (target.reportedOthersLoad - target.averageOthersLoad) * std::exp2(-age / halfLife);
}

// Expected requests per slot if one more request is sent to the upstream.
double router::estimatedLoad(const upstream &target, time_point now) const
{
    const double slots = std::max(1, target.announced.slots) * slowStartFactor(target, now);
    return (target.ownAttempts + estimatedOthersLoad(target, now) + 1.0) / slots;
}

void router::attemptStarted(const route &to, time_point)
{
    if (upstream *match = find(to.agentId, to.incarnation))
        ++match->ownAttempts;
}

void router::attemptEnded(const routing_result &attempt, time_point now)
{
    ++m_counters.endedAttempts[attempt.outcome];
    upstream *match = find(attempt.upstream.agentId, attempt.upstream.incarnation);
    if (!match)
        return;
    match->ownAttempts = std::max(0, match->ownAttempts - 1);
    if (attempt.load)
        recordLoad(*match, *attempt.load, now);
    switch (attempt.outcome) {
    case routing_outcome::Answered: {
        auto &latency = m_averageLatency[match->announced.service];
        latency += (attempt.latency - latency) / (latency.count() == 0 ? 1 : LatencySmoothing);
        recordSuccess(*match, now);
        break;
    }
    case routing_outcome::Refused:
        recordSuccess(*match, now);
        match->backOffUntil = now + std::min(attempt.retryAfter, m_settings.maxBackoff);
        break;
    case routing_outcome::Leaving:
        match->isLeaving = true;
        break;
    case routing_outcome::Failed:
        recordFailure(*match, now);
        break;
    }
}

void router::recordLoad(upstream &target, const upstream_load &load, time_point now)
{
    target.reportedOthersLoad = std::max(0, load.inFlight + load.queued - target.ownAttempts);
    target.averageOthersLoad +=
            (target.reportedOthersLoad - target.averageOthersLoad) / LoadSmoothing;
    target.reportedAt = now;
    if (load.latency.count() > 0)
        target.serviceTime = load.latency;
}

void router::recordFailure(upstream &target, time_point now)
{
    ++target.consecutiveFailures;
    if (target.state == health::Probing)
        return eject(target, now);
    if (target.state == health::Ejected
        || target.consecutiveFailures < m_settings.ejectAfterFailures)
        return;
    if (!canEject(target.announced.service)) {
        ++m_counters.ejectionsCapped;
        return;
    }
    eject(target, now);
}

void router::recordSuccess(upstream &target, time_point now)
{
    target.consecutiveFailures = 0;
    if (target.state != health::Probing)
        return;
    target.state = health::Admitted;
    target.consecutiveEjections = 0;
    target.slowStartedAt = now;
    ++m_counters.readmitted;
}

// Without the cap, a fault of the entry's own network would eject all upstreams, and the few that
// are left would be overloaded by the whole traffic.
bool router::canEject(const std::string &service) const
{
    const int all = upstreamCount(service);
    const int share = static_cast<int>(all * m_settings.maxEjectedShare);
    const int limit = all > 1 ? std::max(share, 1) : 0;
    return ejectedCount(service) < limit;
}

void router::eject(upstream &target, time_point now)
{
    constexpr int LargestShift = 10;
    const auto coolDown =
            m_settings.initialCoolDown * (1 << std::min(target.consecutiveEjections, LargestShift));
    target.ejectedUntil = now + std::min<duration>(coolDown, m_settings.maxCoolDown);
    target.state = health::Ejected;
    ++target.consecutiveEjections;
    ++m_counters.ejected;
}

int router::upstreamCount(const std::string &service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? 0 : static_cast<int>(found->second.size());
}

int router::ejectedCount(const std::string &service) const
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
    const auto found = m_averageLatency.find(service);
    return found == m_averageLatency.end() ? duration{} : found->second;
}

void router::countChoice(const upstream &chosen)
{
    switch (chosen.proximity) {
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

routing_decision router::makeRefusal(error_kind kind)
{
    ++m_counters.refused[kind];
    return kind;
}

} // namespace zinniabarrow::request
