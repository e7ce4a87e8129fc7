#include "app/entry.h"

#include <thread>

#include "app/config_actor.h"
#include "app/outbound_calls.h"
#include "app/process.h"
#include "app/request_actor.h"
#include "app/rpc_endpoint.h"
#include "app/scheduling_actor.h"
#include "base/errors.h"
#include "base/log.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds RpcTimeout{500};
constexpr milliseconds PollEvery{10};
constexpr milliseconds UnreadyFirst{500}; // the balancer sees /readyz fail before anything closes
constexpr std::size_t RpcConnections = 128;

class entry_daemon
{
public:
    explicit entry_daemon(const config::entry_settings &settings)
        : m_settings(settings)
        , m_self(identityFor(settings.id))
        , m_log("entry", settings.id, settings.logLevel)
        , m_sender(m_duties, RpcTimeout, m_metrics)
        , m_claims(m_duties, platformAddress(settings), settings.platform.timeout)
        , m_work(m_duties, platformAddress(settings), settings.platform.timeout)
        , m_folder(m_duties, platformAddress(settings), settings.platform.timeout)
        , m_schedule(m_duties, settings, m_self, m_work, m_sender, m_metrics, m_log)
        , m_configuration(m_duties, settings, m_self, m_folder, m_sender, m_metrics, m_log,
                          [this](adopted_configuration adopted) {
                              m_schedule.configurationAdopted(std::move(adopted));
                          })
        , m_requests(
                  m_duties, settings, m_self, m_claims, m_sender, m_metrics, m_log,
                  [this](const members_snapshot &members) {
                      m_configuration.membersChanged(members);
                      m_schedule.membersChanged(members);
                  },
                  [this] { return m_configuration.report(); })
        , m_endpoint(m_metrics, [this] { return m_serving && m_configuration.isReady(); })
        , m_callers(
                  addressOf(settings.listen), callerLimits(settings),
                  [this](const http_request &request) { return serveCaller(request); },
                  [this](connection_event event) { note(event); })
        , m_processes(addressOf(settings.rpc), {RpcConnections, settings.maxBodyBytes},
                      [this](const http_request &request) { return serveProcess(request); })
    {
        for (const auto event : connectionEvents())
            m_metrics.count("connections_refused_total", nameOf(event), 0);
        bindMethods();
    }

    void start()
    {
        m_processes.start();
        m_callers.start();
        m_serving = true;
        Json::Value fields(Json::objectValue);
        fields["callers"] = toText(m_callers.address());
        fields["rpc"] = toText(m_processes.address());
        m_log.info("entry_started", fields);
    }

    void drain()
    {
        const auto startedAt = monotonic_clock::now();
        m_log.info("drain_started");
        m_serving = false;
        m_callers.announceClose(true);
        std::this_thread::sleep_for(UnreadyFirst);
        m_requests.drain();
        m_schedule.drain();
        const auto giveUpAt = startedAt + m_settings.drain;
        const auto done = [&] {
            return m_requests.drained() && m_schedule.drained() && m_callers.inFlight() == 0;
        };
        while (!done() && monotonic_clock::now() < giveUpAt)
            std::this_thread::sleep_for(PollEvery);
        m_callers.stop();
        m_processes.stop();
        m_requests.stop();
        m_schedule.stop();
        m_configuration.stop();
        m_claims.stop();
        m_work.stop();
        m_folder.stop();
        m_sender.stop();
        m_log.info("entry_stopped");
    }

private:
    static socket_address platformAddress(const config::entry_settings &settings)
    {
        return {settings.platform.address.address, settings.platform.address.port};
    }

    static http_server_limits callerLimits(const config::entry_settings &settings)
    {
        http_server_limits limits;
        limits.connections = settings.maxConnections;
        limits.bodyBytes = settings.maxBodyBytes;
        limits.perAddress = settings.maxConnectionsPerAddress;
        limits.readWithin = settings.requestRead;
        limits.writeWithin = settings.answerWrite;
        return limits;
    }

    void note(connection_event event)
    {
        m_metrics.count("connections_refused_total", nameOf(event));
        if (event == connection_event::AllInUse || event == connection_event::AddressShare)
            m_metrics.count("refusals_total", nameOf(error_kind::Overloaded));
    }

    void bindMethods()
    {
        m_endpoint.bind("announce", [this](const auto &parameters) {
            hearGeneration(parameters);
            return m_requests.announce(parameters);
        });
        m_endpoint.bind("digest", [this](const auto &parameters) {
            hearGeneration(parameters);
            return m_requests.digest(parameters);
        });
        m_endpoint.bind("report",
                        [this](const auto &parameters) { return m_schedule.report(parameters); });
        m_endpoint.bind("usage",
                        [this](const auto &parameters) { return m_schedule.usage(parameters); });
        m_endpoint.bind("explain",
                        [this](const auto &parameters) { return m_schedule.explain(parameters); });
        m_endpoint.bind("generation", [this](const auto &parameters) {
            return m_configuration.generationPushed(parameters);
        });
        m_endpoint.bind("generation_content", [this](const auto &parameters) {
            return m_configuration.content(parameters);
        });
        m_endpoint.bind("folder_view", [this](const auto &) { return m_configuration.view(); });
        m_endpoint.bind("file_status", [this](const auto &parameters) {
            return m_configuration.fileStatus(parameters);
        });
        m_endpoint.bind("file_put", [this](const auto &parameters) {
            return m_configuration.putFile(parameters);
        });
        m_endpoint.bind("file_remove", [this](const auto &parameters) {
            return m_configuration.removeFile(parameters);
        });
        m_endpoint.bind("status", [this](const auto &) { return status(); });
    }

    // Announcements and digests carry the sender's generation.
    void hearGeneration(const Json::Value &parameters)
    {
        if (parameters.isMember("config"))
            m_configuration.hear(config::generationReportFromJson(parameters["config"]));
    }

    Json::Value status()
    {
        auto status = m_requests.status();
        status["scheduling"] = m_schedule.status();
        status["configuration"] = m_configuration.view();
        return status;
    }

    http_response serveCaller(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/healthz" || path == "/readyz" || path == "/metrics")
            return *m_endpoint.serve(request);
        return m_requests.serve(request);
    }

    http_response serveProcess(const http_request &request)
    {
        if (auto answer = m_endpoint.serve(request))
            return *answer;
        return {404, {}, R"({"error":"no such path: use /rpc, /metrics, /healthz or /readyz"})"};
    }

    config::entry_settings m_settings;
    process_identity m_self;
    logger m_log;
    metrics m_metrics;
    duty_system m_duties;
    rpc_sender m_sender;
    platform_lane m_claims;
    platform_lane m_work;
    platform_lane m_folder;
    schedule_duty m_schedule;
    config_duty m_configuration;
    request_duty m_requests;
    std::atomic<bool> m_serving{false};
    rpc_endpoint m_endpoint;
    http_server m_callers;
    http_server m_processes;
};

} // namespace

int runEntry(const config::entry_settings &settings)
{
    stop_signals signals;
    entry_daemon daemon(settings);
    daemon.start();
    signals.wait();
    daemon.drain();
    return ExitDone;
}

} // namespace zinniabarrow
