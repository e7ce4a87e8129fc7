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
constexpr milliseconds PollInterval{10};
// For this long, load balancers see /readyz fail before requests are refused.
constexpr milliseconds UnreadyBeforeDrain{500};
constexpr std::size_t RpcConnections = 128;

class entry_daemon
{
public:
    explicit entry_daemon(const config::entry_settings &settings)
        : m_settings(settings)
        , m_self(identityFor(settings.id))
        , m_log("entry", settings.id, settings.logLevel)
        , m_sender(m_actorRuntime, RpcTimeout, m_metrics)
        , m_claimsPlatform(m_actorRuntime, platformAddress(settings), settings.platform.timeout)
        , m_workPlatform(m_actorRuntime, platformAddress(settings), settings.platform.timeout)
        , m_folderPlatform(m_actorRuntime, platformAddress(settings), settings.platform.timeout)
        , m_scheduling(m_actorRuntime, settings, m_self, m_workPlatform, m_sender, m_metrics, m_log)
        , m_configuration(m_actorRuntime, settings, m_self, m_folderPlatform, m_sender, m_metrics,
                          m_log,
                          [this](adopted_configuration adopted) {
                              m_scheduling.applyConfiguration(std::move(adopted));
                          })
        , m_requests(
                  m_actorRuntime, settings, m_self, m_claimsPlatform, m_sender, m_metrics, m_log,
                  [this](const members_snapshot &members) {
                      m_configuration.updateMembers(members);
                      m_scheduling.updateMembers(members);
                  },
                  [this] { return m_configuration.ownReport(); })
        , m_endpoint(m_metrics, [this] { return m_isServing && m_configuration.isReady(); })
        , m_callerServer(
                  addressOf(settings.listen), callerLimits(settings),
                  [this](const http_request &request) { return serveCaller(request); },
                  [this](connection_event event) { countRefusedConnection(event); })
        , m_rpcServer(addressOf(settings.rpc), {RpcConnections, settings.maxBodyBytes},
                      [this](const http_request &request) { return serveRpc(request); })
    {
        for (const auto event : connectionEvents())
            m_metrics.count("connections_refused_total", nameOf(event), 0);
        bindMethods();
    }

    // If start() throws, the actors are already at work. Destroyed one by one, a part that is gone
    // would still be called by the threads of others, and the process would hang.
    ~entry_daemon() { stopThreads(); }
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    void start()
    {
        m_rpcServer.start();
        m_callerServer.start();
        m_isServing = true;
        Json::Value fields(Json::objectValue);
        fields["callers"] = toText(m_callerServer.address());
        fields["rpc"] = toText(m_rpcServer.address());
        m_log.info("entry_started", fields);
    }

    void drain()
    {
        const auto startedAt = monotonic_clock::now();
        m_log.info("drain_started");
        m_isServing = false;
        m_callerServer.announceClose(true);
        std::this_thread::sleep_for(UnreadyBeforeDrain);
        m_requests.drain();
        m_scheduling.drain();
        const auto drainDeadline = startedAt + m_settings.drainTimeout;
        const auto isDone = [&] {
            return m_requests.isDrained() && m_scheduling.isDrained()
                   && m_callerServer.inFlight() == 0;
        };
        while (!isDone() && monotonic_clock::now() < drainDeadline)
            std::this_thread::sleep_for(PollInterval);
        stopThreads();
        m_log.info("entry_stopped");
    }

private:
    // Those that post to others stop before these. May be called again.
    void stopThreads()
    {
        m_callerServer.stop();
        m_rpcServer.stop();
        m_requests.stop();
        m_scheduling.stop();
        m_configuration.stop();
        m_claimsPlatform.stop();
        m_workPlatform.stop();
        m_folderPlatform.stop();
        m_sender.stop();
    }

    static socket_address platformAddress(const config::entry_settings &settings)
    {
        return {settings.platform.address.address, settings.platform.address.port};
    }

    static http_server_limits callerLimits(const config::entry_settings &settings)
    {
        http_server_limits limits;
        limits.connectionLimit = settings.maxConnections;
        limits.maxRequestBytes = settings.maxBodyBytes;
        limits.connectionLimitPerAddress = settings.maxConnectionsPerAddress;
        limits.readTimeout = settings.requestReadTimeout;
        limits.writeTimeout = settings.answerWriteTimeout;
        return limits;
    }

    void countRefusedConnection(connection_event event)
    {
        m_metrics.count("connections_refused_total", nameOf(event));
        if (event == connection_event::NoFreeThread
            || event == connection_event::AddressLimitReached)
            m_metrics.count("refusals_total", nameOf(error_kind::Overloaded));
    }

    void bindMethods()
    {
        m_endpoint.bind("announce", [this](const auto &parameters) {
            receiveGenerationReport(parameters);
            return m_requests.announce(parameters);
        });
        m_endpoint.bind("digest", [this](const auto &parameters) {
            receiveGenerationReport(parameters);
            return m_requests.digest(parameters);
        });
        m_endpoint.bind("report",
                        [this](const auto &parameters) { return m_scheduling.report(parameters); });
        m_endpoint.bind("usage",
                        [this](const auto &parameters) { return m_scheduling.usage(parameters); });
        m_endpoint.bind("explain", [this](const auto &parameters) {
            return m_scheduling.explain(parameters);
        });
        m_endpoint.bind("generation", [this](const auto &parameters) {
            return m_configuration.handleGenerationPush(parameters);
        });
        m_endpoint.bind("generation_content", [this](const auto &parameters) {
            return m_configuration.readContent(parameters);
        });
        m_endpoint.bind("folder_view",
                        [this](const auto &) { return m_configuration.folderView(); });
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

    // Announcements and digests may carry the sender's generation report.
    void receiveGenerationReport(const Json::Value &parameters)
    {
        if (parameters.isMember("config"))
            m_configuration.receiveReport(config::generationReportFromJson(parameters["config"]));
    }

    Json::Value status()
    {
        auto status = m_requests.status();
        status["scheduling"] = m_scheduling.status();
        status["configuration"] = m_configuration.folderView();
        return status;
    }

    http_response serveCaller(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/healthz" || path == "/readyz" || path == "/metrics")
            return *m_endpoint.serve(request);
        return m_requests.serve(request);
    }

    http_response serveRpc(const http_request &request)
    {
        if (auto answer = m_endpoint.serve(request))
            return *answer;
        return {404, {}, R"({"error":"no such path: use /rpc, /metrics, /healthz or /readyz"})"};
    }

    config::entry_settings m_settings;
    process_identity m_self;
    logger m_log;
    metrics m_metrics;
    actor_runtime m_actorRuntime;
    rpc_sender m_sender;
    platform_executor m_claimsPlatform;
    platform_executor m_workPlatform;
    platform_executor m_folderPlatform;
    scheduling_actor m_scheduling;
    config_actor m_configuration;
    request_actor m_requests;
    std::atomic<bool> m_isServing{false};
    rpc_endpoint m_endpoint;
    http_server m_callerServer;
    http_server m_rpcServer;
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
