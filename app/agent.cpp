#include "app/agent.h"

#include <thread>

#include "app/admission_actor.h"
#include "app/announcement_actor.h"
#include "app/config_follower_actor.h"
#include "app/header_names.h"
#include "app/outbound_calls.h"
#include "app/process.h"
#include "app/rpc_endpoint.h"
#include "app/supervisor_actor.h"
#include "app/upstream_probe.h"
#include "base/json_member.h"
#include "base/log.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds RpcTimeout{500};
constexpr milliseconds PollInterval{10};
// Minimum duration of a drain. Entries that this agent cannot reach learn in this time from other
// entries that it is leaving.
constexpr milliseconds MinLeavingTime{1500};
constexpr std::size_t EntryConnections = 192;

class agent_daemon
{
public:
    agent_daemon(const config::agent_settings &settings, stop_signals &signals)
        : m_signals(signals)
        , m_settings(settings)
        , m_self(identityFor(settings.id))
        , m_log("agent", settings.id, settings.logLevel)
        , m_sender(m_actorRuntime, RpcTimeout, m_metrics)
        , m_admission(m_actorRuntime, settings, m_self.incarnation, m_metrics,
                      [this] { m_probe->reportUnreachable(); })
        , m_configFollower(m_actorRuntime, settings, m_sender, m_metrics, m_log)
        , m_endpoint(m_metrics, [this] { return m_isReady.load(); })
        , m_server(addressOf(settings.listen), {EntryConnections, settings.maxBodyBytes},
                   [this](const http_request &request) { return serve(request); })
    {
        bindMethods();
    }

    // As in the entry: start() may throw while actors are at work.
    ~agent_daemon() { stopThreads(); }
    agent_daemon(const agent_daemon &) = delete;
    agent_daemon &operator=(const agent_daemon &) = delete;

    void start()
    {
        m_server.start();
        m_announcements.emplace(
                m_actorRuntime, m_settings, m_self, advertisedAddress(), m_sender,
                [this] { return m_admission.load(); }, [this] { return m_configFollower.report(); },
                [this] { stopSuperseded(); });
        m_supervisor.emplace(m_actorRuntime, m_settings, m_self, advertisedAddress(), m_sender,
                             m_metrics, [this] { return m_admission.tailLatency(); });
        m_probe.emplace(m_actorRuntime, upstreamAddress(),
                        [this](bool isReachable) { handleUpstreamChange(isReachable); });
        m_isStarted = true;
        m_isReady = true;
        Json::Value fields(Json::objectValue);
        fields["address"] = toText(m_server.address());
        m_log.info("agent_started", fields);
    }

    void drain()
    {
        const auto startedAt = monotonic_clock::now();
        m_log.info("drain_started");
        m_isReady = false;
        m_probe->stop();
        m_announcements->setState(request::upstream_state::Leaving);
        m_supervisor->setServing(false);
        m_admission.drain();
        const auto drainDeadline = startedAt + m_settings.drainTimeout;
        const auto isDone = [&](time_point now) {
            return m_admission.isDrained() && m_server.inFlight() == 0
                   && m_announcements->isLeaveComplete() && now - startedAt >= MinLeavingTime;
        };
        while (!isDone(monotonic_clock::now()) && monotonic_clock::now() < drainDeadline)
            std::this_thread::sleep_for(PollInterval);
        stopThreads();
        m_log.info("agent_stopped");
    }

private:
    // Those that post to others stop before these. May be called again.
    void stopThreads()
    {
        if (m_probe)
            m_probe->stop();
        m_server.stop();
        if (m_announcements)
            m_announcements->stop();
        if (m_supervisor)
            m_supervisor->stop();
        m_configFollower.stop();
        m_admission.stop();
        m_sender.stop();
    }

    void stopSuperseded()
    {
        m_log.warn("superseded");
        m_signals.request();
    }

    std::string advertisedAddress() const
    {
        const auto &advertised = m_settings.listen.advertise;
        return advertised ? config::toText(*advertised) : toText(m_server.address());
    }

    socket_address upstreamAddress() const
    {
        return {m_settings.upstream.address.address, m_settings.upstream.address.port};
    }

    void handleUpstreamChange(bool isReachable)
    {
        Json::Value fields(Json::objectValue);
        fields["reachable"] = isReachable;
        m_log.info("upstream_changed", fields);
        m_announcements->setState(isReachable ? request::upstream_state::Serving
                                              : request::upstream_state::Starting);
    }

    void bindMethods()
    {
        m_endpoint.bind("cancel", [this](const Json::Value &parameters) {
            m_admission.cancel(stringMember(parameters, "id"),
                               static_cast<std::uint32_t>(countMember(parameters, "attempt")));
            return Json::Value(Json::objectValue);
        });
        m_endpoint.bind("drain", [this](const Json::Value & /*parameters*/) {
            m_signals.request(); // the same as SIGTERM from the platform
            return Json::Value(Json::objectValue);
        });
        m_endpoint.bind("generation", [this](const Json::Value &parameters) {
            return m_configFollower.handleGenerationPush(parameters);
        });
        m_endpoint.bind("grant",
                        [this](const auto &parameters) { return supervisor().grant(parameters); });
        m_endpoint.bind("throttle", [this](const auto &parameters) {
            return supervisor().throttle(parameters);
        });
    }

    supervisor_actor &supervisor()
    {
        if (!m_isReady)
            throw rpc_refusal(std::string(nameOf(error_kind::Starting)),
                              "the agent is starting or stopping: try again later");
        return *m_supervisor;
    }

    http_response serve(const http_request &request)
    {
        if (request.header(RequestIdHeader).empty()) {
            if (auto answer = m_endpoint.serve(request))
                return *answer;
        }
        if (!m_isStarted) { // sent to an earlier incarnation of this agent
            auto answer = refusalAnswer(error_kind::Starting);
            answer.headers[RequestIdHeader] = request.header(RequestIdHeader);
            return answer;
        }
        return m_admission.serve(request);
    }

    stop_signals &m_signals;
    config::agent_settings m_settings;
    process_identity m_self;
    logger m_log;
    metrics m_metrics;
    actor_runtime m_actorRuntime;
    rpc_sender m_sender;
    admission_actor m_admission;
    config_follower_actor m_configFollower;
    std::atomic<bool> m_isStarted{false}; // all actors are constructed
    std::atomic<bool> m_isReady{false};   // started, and no stop was requested
    rpc_endpoint m_endpoint;
    std::optional<announcement_actor> m_announcements;
    std::optional<supervisor_actor> m_supervisor;
    std::optional<upstream_probe> m_probe;
    http_server m_server;
};

} // namespace

int runAgent(const config::agent_settings &settings)
{
    stop_signals signals;
    agent_daemon daemon(settings, signals);
    daemon.start();
    signals.wait();
    daemon.drain();
    return ExitDone;
}

} // namespace zinniabarrow
