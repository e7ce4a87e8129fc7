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
constexpr milliseconds PollEvery{10};
constexpr milliseconds LeaveAtLeast{1500}; // entries that were not reached hear it from the others
constexpr std::size_t EntryConnections = 192;

class agent_daemon
{
public:
    agent_daemon(const config::agent_settings &settings, stop_signals &signals)
        : m_signals(signals)
        , m_settings(settings)
        , m_self(identityFor(settings.id))
        , m_log("agent", settings.id, settings.logLevel)
        , m_sender(m_duties, RpcTimeout, m_metrics)
        , m_admission(m_duties, settings, m_self.incarnation, m_metrics,
                      [this] { m_probe->noteUnreachable(); })
        , m_follow(m_duties, settings, m_sender, m_metrics, m_log)
        , m_endpoint(m_metrics, [this] { return m_ready.load(); })
        , m_server(addressOf(settings.listen), {EntryConnections, settings.maxBodyBytes},
                   [this](const http_request &request) { return serve(request); })
    {
        bindMethods();
    }

    void start()
    {
        m_server.start();
        m_announce.emplace(
                m_duties, m_settings, m_self, advertised(), m_sender,
                [this] { return m_admission.load(); }, [this] { return m_follow.report(); },
                [this] { giveWay(); });
        m_keeper.emplace(m_duties, m_settings, m_self, advertised(), m_sender, m_metrics,
                         [this] { return m_admission.tailLatency(); });
        m_probe.emplace(m_duties, upstreamAddress(), [this](bool up) { upstreamChanged(up); });
        m_started = true;
        m_ready = true;
        Json::Value fields(Json::objectValue);
        fields["address"] = toText(m_server.address());
        m_log.info("agent_started", fields);
    }

    void drain()
    {
        const auto startedAt = monotonic_clock::now();
        m_log.info("drain_started");
        m_ready = false;
        m_probe->stop();
        m_announce->setState(request::upstream_state::Leaving);
        m_keeper->setServing(false);
        m_admission.drain();
        const auto giveUpAt = startedAt + m_settings.drain;
        const auto done = [&](time_point now) {
            return m_admission.drained() && m_server.inFlight() == 0 && m_announce->leftEverywhere()
                   && now - startedAt >= LeaveAtLeast;
        };
        while (!done(monotonic_clock::now()) && monotonic_clock::now() < giveUpAt)
            std::this_thread::sleep_for(PollEvery);
        m_server.stop();
        m_announce->stop();
        m_keeper->stop();
        m_follow.stop();
        m_admission.stop();
        m_sender.stop();
        m_log.info("agent_stopped");
    }

private:
    void giveWay()
    {
        m_log.warn("superseded");
        m_signals.request();
    }

    std::string advertised() const
    {
        const auto &other = m_settings.listen.advertise;
        return other ? config::toText(*other) : toText(m_server.address());
    }

    socket_address upstreamAddress() const
    {
        return {m_settings.upstream.address.address, m_settings.upstream.address.port};
    }

    void upstreamChanged(bool up)
    {
        Json::Value fields(Json::objectValue);
        fields["reachable"] = up;
        m_log.info("upstream_changed", fields);
        m_announce->setState(up ? request::upstream_state::Serving
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
            m_signals.request(); // as if the platform had asked it to stop
            return Json::Value(Json::objectValue);
        });
        m_endpoint.bind("generation", [this](const Json::Value &parameters) {
            return m_follow.generationPushed(parameters);
        });
        m_endpoint.bind("grant",
                        [this](const auto &parameters) { return keeper().grant(parameters); });
        m_endpoint.bind("throttle",
                        [this](const auto &parameters) { return keeper().throttle(parameters); });
    }

    keeper_duty &keeper()
    {
        if (!m_ready)
            throw rpc_refusal(std::string(nameOf(error_kind::Starting)), "try again later");
        return *m_keeper;
    }

    http_response serve(const http_request &request)
    {
        if (request.header(RequestIdHeader).empty()) {
            if (auto answer = m_endpoint.serve(request))
                return *answer;
        }
        if (!m_started) { // an entry that still knows an earlier life of this agent
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
    duty_system m_duties;
    rpc_sender m_sender;
    admission_duty m_admission;
    follow_duty m_follow;
    std::atomic<bool> m_started{false}; // every duty stands
    std::atomic<bool> m_ready{false};   // and no stop was asked for
    rpc_endpoint m_endpoint;
    std::optional<announce_duty> m_announce;
    std::optional<keeper_duty> m_keeper;
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
