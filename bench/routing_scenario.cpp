#include "routing_scenario.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>

#include "request/retry_budget.h"

namespace zinniabarrow {

using namespace request;

namespace {

const std::string Service = "tickets";
constexpr milliseconds TickPeriod{20};
constexpr int Teams = 3;

// Event queue in virtual time. Events that are due at the same time run in the order in which they
// were scheduled.
class virtual_time
{
public:
    time_point now() const { return m_now; }

    void schedule(duration delay, std::function<void()> callback)
    {
        m_events.push({m_now + delay, m_order++, std::move(callback)});
    }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().dueAt <= end) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.dueAt;
            next.callback();
        }
    }

private:
    struct event
    {
        time_point dueAt;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const event &other) const
        {
            return std::pair(dueAt, order) > std::pair(other.dueAt, other.order);
        }
    };
    std::priority_queue<event> m_events;
    time_point m_now{seconds(100)};
    std::uint64_t m_order = 0;
};

struct upstream_node
{
    announcement announced;
    admission controller;
    double speed = 1.0;
    bool isUnreachable = false;
    std::map<std::string, std::function<void(const admission::action &)>> actionCallbacks;

    upstream_load load() const
    {
        return {controller.runningCount(), controller.waitingCount(),
                controller.serviceTime(Service)};
    }
};

struct entry_node
{
    std::string zone;
    router requestRouter;
    retry_budget budget;
};

struct request
{
    std::string id;
    std::string team;
    entry_node *entry = nullptr;
    time_point sentAt;
    time_point deadline;
    duration work{}; // service time at an upstream of speed 1
    int attempts = 0;
    std::set<std::string> triedAgents;
};

class simulation
{
public:
    explicit simulation(const routing_scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        addUpstreams();
        addEntries();
    }

    scenario_result run()
    {
        const time_point end = m_clock.now() + m_scenario.runTime;
        for (auto &node : m_upstreams) {
            tick(*node);
            publishLoad(*node);
        }
        scheduleArrival(end);
        m_clock.runUntil(end + seconds(5));
        std::sort(m_result.latencies.begin(), m_result.latencies.end());
        return std::move(m_result);
    }

private:
    void addUpstreams()
    {
        for (std::size_t zone = 0; zone < m_scenario.upstreamsByZone.size(); ++zone) {
            for (int i = 0; i < m_scenario.upstreamsByZone[zone]; ++i)
                addUpstream("zone-" + std::to_string(zone));
        }
        m_upstreams.front()->speed = 1.0 / m_scenario.slowFactor;
        m_upstreams.back()->isUnreachable = m_scenario.isLastUnreachable;
        for (const auto &node : m_upstreams) {
            const std::chrono::duration<double> mean = m_scenario.serviceTime;
            m_capacity += node->speed * m_scenario.slots / mean.count();
        }
    }

    void addUpstream(const std::string &zone)
    {
        announcement upstreamAnnouncement;
        upstreamAnnouncement.agentId = "agent-" + std::to_string(m_upstreams.size());
        upstreamAnnouncement.address = "10.0.0." + std::to_string(m_upstreams.size() + 1) + ":7000";
        upstreamAnnouncement.zone = zone;
        upstreamAnnouncement.region = "kartli";
        upstreamAnnouncement.service = Service;
        upstreamAnnouncement.slots = m_scenario.slots;
        upstreamAnnouncement.incarnation = 1;
        upstreamAnnouncement.state = upstream_state::Serving;
        admission_settings settings;
        settings.slots = m_scenario.slots;
        settings.queueLimit = m_scenario.queueLimit;
        m_upstreams.push_back(std::make_unique<upstream_node>(
                upstream_node{upstreamAnnouncement, admission(settings), 1.0, false, {}}));
    }

    void addEntries()
    {
        for (int i = 0; i < m_scenario.entriesByZone; ++i) {
            for (std::size_t zone = 0; zone < m_scenario.upstreamsByZone.size(); ++zone)
                addEntry("zone-" + std::to_string(zone));
        }
    }

    void addEntry(const std::string &zone)
    {
        router_settings settings;
        settings.zone = zone;
        settings.region = "kartli";
        settings.spillAboveLoad = m_scenario.spillThreshold;
        settings.maxBackoff = m_scenario.refusalBackoff;
        retry_budget_settings budget;
        budget.retriesPerRequest = m_scenario.retryFraction;
        const random_generator random(m_scenario.seed + 1000 + m_entries.size());
        m_entries.push_back(std::make_unique<entry_node>(
                entry_node{zone, router(settings, m_scenario.policy, random),
                           retry_budget(budget, m_clock.now())}));
        // The upstreams joined long enough ago that their slow start is over.
        for (const auto &node : m_upstreams) {
            m_entries.back()->requestRouter.apply(upstream_joined{node->announced},
                                                  m_clock.now() - settings.slowStartTime);
        }
    }

    void tick(upstream_node &node)
    {
        applyActions(node, node.controller.handle(admission::tick{}, m_clock.now()));
        m_clock.schedule(TickPeriod, [this, &node] { tick(node); });
    }

    void publishLoad(upstream_node &node)
    {
        for (auto &entry : m_entries) {
            entry->requestRouter.apply(
                    upstream_load_reported{node.announced.agentId, 1, node.load()}, m_clock.now());
        }
        m_clock.schedule(m_scenario.reportPeriod, [this, &node] { publishLoad(node); });
    }

    duration drawExponential(std::chrono::duration<double> mean)
    {
        const auto drawnTime = -std::log(1.0 - drawUniform(m_random)) * mean;
        return std::max(duration(1), std::chrono::duration_cast<duration>(drawnTime));
    }

    void scheduleArrival(time_point end)
    {
        const duration gap = drawExponential(
                std::chrono::duration<double>(1.0 / (m_capacity * m_scenario.load)));
        if (m_clock.now() + gap > end)
            return;
        m_clock.schedule(gap, [this, end] {
            startRequest();
            scheduleArrival(end);
        });
    }

    void startRequest()
    {
        const auto number = m_result.requests++;
        auto pending = std::make_shared<request>();
        pending->id = std::to_string(number);
        pending->team = "team-" + std::to_string(number % Teams);
        pending->entry = m_entries[number % m_entries.size()].get();
        pending->sentAt = m_clock.now();
        pending->deadline = m_clock.now() + m_scenario.timeout;
        pending->work = drawExponential(m_scenario.serviceTime);
        m_clock.schedule(m_scenario.callerDelay, [this, pending] {
            pending->entry->budget.requestStarted(m_clock.now());
            startAttempt(pending);
        });
    }

    void startAttempt(const std::shared_ptr<request> &pending)
    {
        auto &routes = pending->entry->requestRouter;
        const auto decision = routes.choose(Service, pending->triedAgents, m_clock.now());
        if (const auto *kind = std::get_if<error_kind>(&decision))
            return recordRefusal(*kind);
        const auto target = std::get<route>(decision);
        ++pending->attempts;
        ++m_result.attempts;
        pending->triedAgents.insert(target.agentId);
        routes.attemptStarted(target, m_clock.now());
        auto &node = upstreamOf(target);
        const bool isLocal = node.announced.zone == pending->entry->zone;
        m_result.otherZoneAttempts += isLocal ? 0 : 1;
        const duration delay = isLocal ? m_scenario.localDelay : m_scenario.zoneDelay;
        const time_point sentAt = m_clock.now();
        m_clock.schedule(
                delay, [=, this, &node] { deliverAttempt(node, pending, target, delay, sentAt); });
    }

    void deliverAttempt(upstream_node &node, const std::shared_ptr<request> &pending,
                        const route &target, duration delay, time_point sentAt)
    {
        if (m_scenario.areAllUnreachable || node.isUnreachable) {
            m_clock.schedule(delay, [=, this] {
                routing_result ended{
                        target, routing_outcome::Failed, m_clock.now() - sentAt, {}, {}};
                pending->entry->requestRouter.attemptEnded(ended, m_clock.now());
                retry(pending, error_kind::UpstreamUnreachable);
            });
            return;
        }
        if (m_scenario.isLastHanging && &node == m_upstreams.back().get())
            return m_clock.schedule(pending->deadline - m_clock.now(),
                                    [=, this] { recordLost(pending, target, sentAt); });
        node.actionCallbacks[pending->id] = [=, this, &node](const admission::action &action) {
            if (const auto *refusal = std::get_if<admission::refuse>(&action)) {
                sendRefusal(node, pending, target, delay, sentAt, *refusal);
                return;
            }
            const duration serviceDuration =
                    std::chrono::duration_cast<duration>(pending->work / node.speed);
            m_clock.schedule(serviceDuration, [=, this, &node] {
                applyActions(node, node.controller.handle(
                                           admission::finished{pending->id, serviceDuration},
                                           m_clock.now()));
                sendAnswer(node, pending, target, delay, sentAt);
            });
        };
        applyActions(node,
                     node.controller.handle(admission::arrived{pending->id, Service, pending->team,
                                                               0, pending->deadline},
                                            m_clock.now()));
    }

    // The entry gives up at the caller's deadline and doesn't retry: the request may have been
    // executed.
    void recordLost(const std::shared_ptr<request> &pending, const route &target, time_point sentAt)
    {
        ++m_result.lost;
        routing_result ended{target, routing_outcome::Failed, m_clock.now() - sentAt, {}, {}};
        pending->entry->requestRouter.attemptEnded(ended, m_clock.now());
    }

    std::optional<upstream_load> loadForAnswer(const upstream_node &node) const
    {
        if (!m_scenario.answersCarryLoad)
            return std::nullopt;
        return node.load();
    }

    void sendAnswer(upstream_node &node, const std::shared_ptr<request> &pending,
                    const route &target, duration delay, time_point sentAt)
    {
        m_clock.schedule(delay, [=, this, load = loadForAnswer(node)] {
            routing_result ended{
                    target, routing_outcome::Answered, m_clock.now() - sentAt, load, {}};
            pending->entry->requestRouter.attemptEnded(ended, m_clock.now());
            m_clock.schedule(m_scenario.callerDelay, [=, this] { recordAnswer(*pending); });
        });
    }

    void sendRefusal(upstream_node &node, const std::shared_ptr<request> &pending,
                     const route &target, duration delay, time_point sentAt,
                     const admission::refuse &refusal)
    {
        m_clock.schedule(delay, [=, this, load = loadForAnswer(node)] {
            routing_result ended{target, routing_outcome::Refused, m_clock.now() - sentAt, load,
                                 refusal.retryAfter};
            pending->entry->requestRouter.attemptEnded(ended, m_clock.now());
            retry(pending, refusal.errorKind);
        });
    }

    void retry(const std::shared_ptr<request> &pending, error_kind kind)
    {
        const failed_attempt failed{kind, pending->attempts, pending->deadline,
                                    pending->entry->requestRouter.expectedLatency(Service)};
        const auto verdict = pending->entry->budget.requestRetry(failed, m_clock.now());
        if (const auto *finalRefusal = std::get_if<give_up>(&verdict))
            return recordRefusal(finalRefusal->kind);
        ++m_result.retries;
        startAttempt(pending);
    }

    void recordAnswer(const request &pending)
    {
        if (m_clock.now() > pending.deadline) {
            ++m_result.late;
            return;
        }
        ++m_result.onTime;
        m_result.latencies.push_back((m_clock.now() - pending.sentAt).count());
    }

    void recordRefusal(error_kind kind) { ++m_result.refusedByKind[kind]; }

    void applyActions(upstream_node &node, const std::vector<admission::action> &actions)
    {
        for (const auto &action : actions) {
            const auto id = std::visit([](const auto &each) { return each.id; }, action);
            const auto actionCallback = node.actionCallbacks.extract(id);
            actionCallback.mapped()(action);
        }
    }

    upstream_node &upstreamOf(const route &target)
    {
        for (auto &node : m_upstreams) {
            if (node->announced.agentId == target.agentId)
                return *node;
        }
        std::abort();
    }

    routing_scenario m_scenario;
    random_generator m_random;
    virtual_time m_clock;
    std::vector<std::unique_ptr<upstream_node>> m_upstreams;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    double m_capacity = 0; // of all upstreams, requests per second
    scenario_result m_result;
};

} // namespace

std::uint64_t scenario_result::totalRefused() const
{
    std::uint64_t sum = 0;
    for (const auto &[kind, count] : refusedByKind)
        sum += count;
    return sum;
}

milliseconds scenario_result::latencyPercentile(double fraction) const
{
    if (latencies.empty())
        return milliseconds(0);
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * double(latencies.size())));
    const auto value = latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
    return std::chrono::ceil<milliseconds>(microseconds(value));
}

scenario_result run(const routing_scenario &scenario)
{
    return simulation(scenario).run();
}

} // namespace zinniabarrow
