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

// Events in the order of their times; those of one time in the order of their making.
class virtual_time
{
public:
    time_point now() const { return m_now; }

    void after(duration delay, std::function<void()> what)
    {
        m_events.push({m_now + delay, m_order++, std::move(what)});
    }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.what();
        }
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::priority_queue<event> m_events;
    time_point m_now{seconds(100)};
    std::uint64_t m_order = 0;
};

struct upstream_node
{
    announcement about;
    admission gate;
    double speed = 1.0;
    bool unreachable = false;
    std::map<std::string, std::function<void(const admission::action &)>> callers;

    upstream_load load() const
    {
        return {gate.runningCount(), gate.waitingCount(), gate.serviceTime(Service)};
    }
};

struct entry_node
{
    std::string zone;
    router routes;
    retry_budget budget;
};

struct request
{
    std::string id;
    std::string team;
    entry_node *entry = nullptr;
    time_point sentAt;
    time_point deadline;
    duration work{}; // service time at an upstream of ordinary speed
    int attempts = 0;
    std::set<std::string> tried;
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
        const time_point end = m_time.now() + m_scenario.length;
        for (auto &node : m_upstreams) {
            tick(*node);
            report(*node);
        }
        nextArrival(end);
        m_time.runUntil(end + seconds(5));
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
        m_upstreams.back()->unreachable = m_scenario.fastFailing;
        for (const auto &node : m_upstreams) {
            const std::chrono::duration<double> mean = m_scenario.serviceTime;
            m_capacity += node->speed * m_scenario.slots / mean.count();
        }
    }

    void addUpstream(const std::string &zone)
    {
        announcement about;
        about.agentId = "agent-" + std::to_string(m_upstreams.size());
        about.address = "10.0.0." + std::to_string(m_upstreams.size() + 1) + ":7000";
        about.zone = zone;
        about.region = "kartli";
        about.service = Service;
        about.slots = m_scenario.slots;
        about.incarnation = 1;
        about.state = upstream_state::Serving;
        admission_settings settings;
        settings.slots = m_scenario.slots;
        settings.queueLimit = m_scenario.queueLimit;
        m_upstreams.push_back(std::make_unique<upstream_node>(
                upstream_node{about, admission(settings), 1.0, false, {}}));
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
        settings.spillAboveLoad = m_scenario.spillAt;
        settings.maxBackoff = m_scenario.longestBackOff;
        retry_budget_settings budget;
        budget.retriesPerRequest = m_scenario.retryShare;
        const random_generator random(m_scenario.seed + 1000 + m_entries.size());
        m_entries.push_back(std::make_unique<entry_node>(
                entry_node{zone, router(settings, m_scenario.policy, random),
                           retry_budget(budget, m_time.now())}));
        // The upstreams have been there for a while.
        for (const auto &node : m_upstreams) {
            m_entries.back()->routes.apply(upstream_joined{node->about},
                                           m_time.now() - settings.slowStartTime);
        }
    }

    void tick(upstream_node &node)
    {
        deliver(node, node.gate.handle(admission::tick{}, m_time.now()));
        m_time.after(TickPeriod, [this, &node] { tick(node); });
    }

    void report(upstream_node &node)
    {
        for (auto &entry : m_entries) {
            entry->routes.apply(upstream_reported{node.about.agentId, 1, node.load()},
                                m_time.now());
        }
        m_time.after(m_scenario.reportPeriod, [this, &node] { report(node); });
    }

    duration exponential(std::chrono::duration<double> mean)
    {
        const auto drawn = -std::log(1.0 - drawUniform(m_random)) * mean;
        return std::max(duration(1), std::chrono::duration_cast<duration>(drawn));
    }

    void nextArrival(time_point end)
    {
        const duration gap =
                exponential(std::chrono::duration<double>(1.0 / (m_capacity * m_scenario.load)));
        if (m_time.now() + gap > end)
            return;
        m_time.after(gap, [this, end] {
            arrive();
            nextArrival(end);
        });
    }

    void arrive()
    {
        const auto number = m_result.requests++;
        auto made = std::make_shared<request>();
        made->id = std::to_string(number);
        made->team = "team-" + std::to_string(number % Teams);
        made->entry = m_entries[number % m_entries.size()].get();
        made->sentAt = m_time.now();
        made->deadline = m_time.now() + m_scenario.timeout;
        made->work = exponential(m_scenario.serviceTime);
        m_time.after(m_scenario.clientDelay, [this, made] {
            made->entry->budget.requestStarted(m_time.now());
            attempt(made);
        });
    }

    void attempt(const std::shared_ptr<request> &made)
    {
        auto &routes = made->entry->routes;
        const auto decision = routes.choose(Service, made->tried, m_time.now());
        if (const auto *kind = std::get_if<error_kind>(&decision))
            return refused(*kind);
        const auto to = std::get<route>(decision);
        ++made->attempts;
        ++m_result.attempts;
        made->tried.insert(to.agentId);
        routes.attemptStarted(to, m_time.now());
        auto &node = nodeOf(to);
        const bool local = node.about.zone == made->entry->zone;
        m_result.otherZone += local ? 0 : 1;
        const duration delay = local ? m_scenario.localDelay : m_scenario.zoneDelay;
        const time_point sentAt = m_time.now();
        m_time.after(delay, [=, this, &node] { arriveAt(node, made, to, delay, sentAt); });
    }

    void arriveAt(upstream_node &node, const std::shared_ptr<request> &made, const route &to,
                  duration delay, time_point sentAt)
    {
        if (m_scenario.allFail || node.unreachable) {
            m_time.after(delay, [=, this] {
                attempt_ended ended{to, attempt_outcome::Failed, m_time.now() - sentAt, {}, {}};
                made->entry->routes.attemptEnded(ended, m_time.now());
                retry(made, error_kind::UpstreamUnreachable);
            });
            return;
        }
        if (m_scenario.hanging && &node == m_upstreams.back().get())
            return m_time.after(made->deadline - m_time.now(),
                                [=, this] { lose(made, to, sentAt); });
        node.callers[made->id] = [=, this, &node](const admission::action &action) {
            if (const auto *refusal = std::get_if<admission::refuse>(&action)) {
                sendRefusal(node, made, to, delay, sentAt, *refusal);
                return;
            }
            const duration took = std::chrono::duration_cast<duration>(made->work / node.speed);
            m_time.after(took, [=, this, &node] {
                deliver(node, node.gate.handle(admission::finished{made->id, took}, m_time.now()));
                sendAnswer(node, made, to, delay, sentAt);
            });
        };
        deliver(node, node.gate.handle(
                              admission::arrived{made->id, Service, made->team, 0, made->deadline},
                              m_time.now()));
    }

    // The entry gives up at the caller's deadline: the request may have run.
    void lose(const std::shared_ptr<request> &made, const route &to, time_point sentAt)
    {
        ++m_result.lost;
        attempt_ended ended{to, attempt_outcome::Failed, m_time.now() - sentAt, {}, {}};
        made->entry->routes.attemptEnded(ended, m_time.now());
    }

    std::optional<upstream_load> loadOf(const upstream_node &node) const
    {
        if (!m_scenario.loadWithAnswers)
            return std::nullopt;
        return node.load();
    }

    void sendAnswer(upstream_node &node, const std::shared_ptr<request> &made, const route &to,
                    duration delay, time_point sentAt)
    {
        m_time.after(delay, [=, this, load = loadOf(node)] {
            attempt_ended ended{to, attempt_outcome::Answered, m_time.now() - sentAt, load, {}};
            made->entry->routes.attemptEnded(ended, m_time.now());
            m_time.after(m_scenario.clientDelay, [=, this] { answered(*made); });
        });
    }

    void sendRefusal(upstream_node &node, const std::shared_ptr<request> &made, const route &to,
                     duration delay, time_point sentAt, const admission::refuse &refusal)
    {
        m_time.after(delay, [=, this, load = loadOf(node)] {
            attempt_ended ended{to, attempt_outcome::Refused, m_time.now() - sentAt, load,
                                refusal.retryAfter};
            made->entry->routes.attemptEnded(ended, m_time.now());
            retry(made, refusal.errorKind);
        });
    }

    void retry(const std::shared_ptr<request> &made, error_kind kind)
    {
        const failed_attempt failed{kind, made->attempts, made->deadline,
                                    made->entry->routes.expectedLatency(Service)};
        const auto verdict = made->entry->budget.requestRetry(failed, m_time.now());
        if (const auto *over = std::get_if<give_up>(&verdict))
            return refused(over->kind);
        ++m_result.retries;
        attempt(made);
    }

    void answered(const request &made)
    {
        if (m_time.now() > made.deadline) {
            ++m_result.late;
            return;
        }
        ++m_result.inTime;
        m_result.latencies.push_back((m_time.now() - made.sentAt).count());
    }

    void refused(error_kind kind) { ++m_result.refused[kind]; }

    void deliver(upstream_node &node, const std::vector<admission::action> &actions)
    {
        for (const auto &action : actions) {
            const auto id = std::visit([](const auto &done) { return done.id; }, action);
            const auto caller = node.callers.extract(id);
            caller.mapped()(action);
        }
    }

    upstream_node &nodeOf(const route &to)
    {
        for (auto &node : m_upstreams) {
            if (node->about.agentId == to.agentId)
                return *node;
        }
        std::abort();
    }

    routing_scenario m_scenario;
    random_generator m_random;
    virtual_time m_time;
    std::vector<std::unique_ptr<upstream_node>> m_upstreams;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    double m_capacity = 0; // requests a second
    scenario_result m_result;
};

} // namespace

std::uint64_t scenario_result::allRefused() const
{
    std::uint64_t sum = 0;
    for (const auto &[kind, count] : refused)
        sum += count;
    return sum;
}

milliseconds scenario_result::percentile(double share) const
{
    if (latencies.empty())
        return milliseconds(0);
    const auto rank = static_cast<std::size_t>(std::ceil(share * double(latencies.size())));
    const auto value = latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
    return std::chrono::ceil<milliseconds>(microseconds(value));
}

scenario_result run(const routing_scenario &scenario)
{
    return simulation(scenario).run();
}

} // namespace zinniabarrow
