// Test fixture: two entries and two agents as real processes, with the stand-in of the platform,
// which contains the store and the agents' workers.
#pragma once

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

#include <fmt/core.h>

#include "app/job_tables.h"
#include "base/json.h"
#include "platform/store_wire.h"
#include "section.h"
#include "standins/fleet.h"
#include "standins/job_platform.h"

namespace zinniabarrow::tests {

using standins::child_process;
using standins::job_platform;
using standins::waitUntil;

inline constexpr milliseconds WaitLimit{45'000}; // upper bound on waits for conditions
inline constexpr int InternalPort = 7720;
inline constexpr int CallersPort = 8161;
inline constexpr int ReadyPort = 8167;
inline constexpr int WorkersPort = 8166;

// Loopback addresses that are unique to this test process, so that fixed ports are free there.
inline std::string hostAddress(int number)
{
    const int pid = getpid();
    return fmt::format("127.{}.{}.{}", 64 + (pid >> 14) % 64, (pid >> 7) % 128,
                       (pid % 128) + 128 * (number % 2));
}

// Process 0 is the test with the platform's stand-in, 2 and 3 are the entries, 4 and 5 the agents.
inline std::string processAddress(int process, int port)
{
    // Uses two hosts; each process on a host has its own range of ports.
    return fmt::format("{}:{}", hostAddress(process), port + 20 * (process / 2));
}

// Starts all processes, and waits until the entries are ready.
class system_under_test
{
public:
    system_under_test()
        : m_scratch(std::filesystem::temp_directory_path() / fmt::format("zb-jobs-{}", getpid()))
        , m_platform(
                  {parseAddress(processAddress(0, 9000)),
                   {parseAddress(processAddress(0, 9001)), parseAddress(processAddress(0, 9002))},
                   {parseAddress(processAddress(4, WorkersPort)),
                    parseAddress(processAddress(5, WorkersPort))}})
    {
        std::filesystem::create_directories(m_scratch);
        putConfiguration(7);
        for (int index = 0; index < 2; ++index) {
            startEntry(index);
            startAgent(index);
        }
        for (int index = 0; index < 2; ++index)
            require(waitUntil([&] { return isReady(index); }, WaitLimit));
    }

    ~system_under_test()
    {
        m_processes.clear();
        std::filesystem::remove_all(m_scratch);
    }

    job_platform &platform() { return m_platform; }
    child_process &entry(int index) { return *m_processes.at(fmt::format("entry-{}", index)); }
    child_process &agent(int index) { return *m_processes.at(fmt::format("agent-{}", index)); }

    // `processorShare`: of one core.
    void startEntry(int index, double processorShare = 1)
    {
        const int process = 2 + index;
        start(fmt::format("entry-{}", index), "job-entry",
              fmt::format(R"({{"id":"entry-{}","zone":"z","callers":"{}","ready":"{}",)"
                          R"("internal":"{}","store":"{}","processor_share":{}}})",
                          index, processAddress(process, CallersPort),
                          processAddress(process, ReadyPort), processAddress(process, InternalPort),
                          processAddress(0, 9000), processorShare));
    }

    void startAgent(int index)
    {
        const int process = 4 + index;
        start(fmt::format("agent-{}", index), "job-agent",
              fmt::format(R"({{"id":"agent-{}","zone":"z","workers":"{}","internal":"{}",)"
                          R"("worker":"{}","service":"tickets","stop_within_ms":100,)"
                          R"("store":"{}"}})",
                          index, processAddress(process, WorkersPort),
                          processAddress(process, InternalPort), processAddress(0, 9001 + index),
                          processAddress(0, 9000)));
    }

    std::string callersAddress(int entry) const { return processAddress(2 + entry, CallersPort); }
    std::string entryInternalAddress(int entry) const
    {
        return processAddress(2 + entry, InternalPort);
    }
    std::string agentInternalAddress(int agent) const
    {
        return processAddress(4 + agent, InternalPort);
    }
    std::string agentWorkersAddress(int agent) const
    {
        return processAddress(4 + agent, WorkersPort);
    }

    // Sends a request for the job to the entry, as a caller; none: no answer within 4 s.
    std::optional<http_response> call(int entry, const std::string &method, const std::string &job,
                                      const std::string &body = "")
    {
        http_request request;
        request.method = method;
        request.target = "/holds/" + job;
        request.body = body;
        http_pool pool(parseAddress(processAddress(2 + entry, CallersPort)));
        const auto result = pool.call(request, monotonic_clock::now() + seconds(4));
        const auto *answer = std::get_if<http_response>(&result);
        return answer == nullptr ? std::nullopt : std::optional(*answer);
    }

    // Submits a job of 4 tasks and 2 that follow them; repeats the request until it is accepted.
    bool submit(int entry, const std::string &job)
    {
        const std::string body =
                R"({"spec":"seat","steps":[{"count":4,"cpu":1000,"mem-mb":100,"estimate-ms":300},)"
                R"({"count":2,"cpu":1000,"mem-mb":100,"estimate-ms":300,"after":[0]}]})";
        return waitUntil(
                [&] {
                    const auto answer = call(entry, "POST", job, body);
                    return answer && answer->status == 200;
                },
                WaitLimit);
    }

    // Submits a service: tasks that run until their job is cancelled, and are restarted however
    // they end.
    bool submitService(int entry, const std::string &job)
    {
        const auto answer = call(entry, "POST", job,
                                 R"({"spec":"","steps":[{"count":2,"cpu":1000,"mem-mb":100,)"
                                 R"("long-running":true,"image":"site","target-ms":150}]})");
        return answer && answer->status == 200;
    }

    // The worker that runs both tasks of a service, or at least one of them.
    struct service_placement
    {
        int worker = 0;
        int runCount = 0;       // number of the service's tasks that run there
        std::int64_t epoch = 0; // of the worker's lease
        std::string lease;      // key of its row
    };
    service_placement startService(const std::string &job)
    {
        platform().setTaskTime(milliseconds(600'000));
        require(submitService(0, job));
        require(waitUntil([&] { return platform().startCount() == 2; }, WaitLimit));
        const auto worker = platform().busiestWorker();
        const auto lease = fmt::format("agent-{}", worker);
        return {static_cast<int>(worker), platform().countRunsOn(worker),
                platform().leaseEpoch(lease), lease};
    }

    // Starts a service, and lets its worker depart at the moment at which the worker's lease is
    // renewed.
    service_placement departDuringRenewal(const std::string &job)
    {
        const auto placement = startService(job);
        platform().terminateAtLeaseWrite(static_cast<std::size_t>(placement.worker),
                                         placement.lease);
        return placement;
    }

    bool hasAgentLogged(int index, const std::string &event)
    {
        return hasLogged("agent", index, event);
    }

    bool hasLogged(const std::string &role, int index, const std::string &event)
    {
        return logContains(role, index, fmt::format(R"("event":"{}")", event));
    }

    // Whether the agent found its worker gone while a write of the lease was in progress. Tests of
    // departures need this order of events.
    bool hasAgentLoggedDepartureDuringWrite(int index)
    {
        return logContains("agent", index, R"("lease_write_out":"yes","lease":)");
    }

    bool logContains(const std::string &role, int index, const std::string &fragment)
    {
        return logText(role, index).find(fragment) != std::string::npos;
    }

    // The log of all incarnations of a process, from a byte offset on.
    std::string logText(const std::string &role, int index, std::size_t from = 0)
    {
        std::ifstream lines(m_processes.at(fmt::format("{}-{}", role, index))->outFile());
        lines.seekg(static_cast<std::streamoff>(from));
        return {std::istreambuf_iterator<char>(lines), {}};
    }

    const std::filesystem::path &scratch() const { return m_scratch; }

    // Whether the agent has relayed a call to the store.
    bool hasAgentRelayed(int agent)
    {
        return metricsContain(agentInternalAddress(agent), R"("carried")");
    }

    // Whether the entry has asked agents for reports.
    bool hasRequestedReports(int entry)
    {
        return metricsContain(entryInternalAddress(entry), "reports_requested_total");
    }

    bool reachesState(int entry, const std::string &job, const std::string &state)
    {
        return waitUntil(
                [&] {
                    const auto answer = call(entry, "GET", job);
                    return answer && answer->body.find(state) != std::string::npos;
                },
                WaitLimit);
    }

    bool isReady(int entry)
    {
        http_request request;
        request.target = "/-/ready";
        http_pool pool(parseAddress(processAddress(2 + entry, ReadyPort)));
        const auto result = pool.call(request, monotonic_clock::now() + seconds(1));
        const auto *answer = std::get_if<http_response>(&result);
        return answer != nullptr && answer->status == 200;
    }

    // Sends entry 0 a ping in the name of entry 1, which says that entry 1 uses this version.
    void announceConfiguration(int version)
    {
        Json::Value ping(Json::objectValue);
        ping["entry"] = "entry-1";
        ping["row"] = fmt::format(R"({{"incarnation":1,"internal":"{}","callers":"{}"}})",
                                  processAddress(3, InternalPort), processAddress(3, CallersPort));
        ping["leaving"] = false;
        ping["configuration"] = version;
        http_request request;
        request.method = "POST";
        request.target = "/v1/ping";
        request.body = compactJson(ping);
        http_pool pool(parseAddress(processAddress(2, InternalPort)));
        pool.call(request, monotonic_clock::now() + seconds(5));
    }

    void putConfiguration(int version)
    {
        // One route per entry, for its host name: http_pool sends the peer's address as the host.
        std::string routes;
        for (const int process : {2, 3}) {
            routes += fmt::format(R"({}{{"name":"r{}","host":"{}","prefix":"/holds/",)"
                                  R"("service":"tickets","max-attempts":2,"stretch":1.5}})",
                                  routes.empty() ? "" : ",", process, hostAddress(process));
        }
        const auto text = fmt::format(R"({{"version":{},"routes":[{}]}})", version, routes);
        auto row = operatorRow("config");
        row["value"] = base64(text);
        writeAsOperator("set-keys", row);
    }

    // Replaces a part of the job's record in the store, as another writer could.
    void changeRecord(const std::string &job, const std::string &part, const std::string &by)
    {
        http_pool pool(parseAddress(processAddress(0, 9000)));
        const auto request =
                platform_wire::makeRowsRequest(JobsTable, partitionOfJob(job), job, "");
        const auto page = platform_wire::parseRowsResult(
                pool.call(request, monotonic_clock::now() + seconds(5)));
        require(page && !page->rows.empty() && page->rows.front().name.key == job);
        auto record = page->rows.front().value;
        const auto at = record.find(part);
        require(at != std::string::npos);
        Json::Value row(Json::objectValue);
        row["table"] = JobsTable;
        row["part"] = partitionOfJob(job);
        row["key"] = job;
        row["value"] = base64(record.replace(at, part.size(), by));
        writeAsOperator("set-keys", row);
    }

    void evacuateZone(const std::string &zone)
    {
        auto row = operatorRow("evacuate/" + zone);
        row["value"] = base64("{}");
        writeAsOperator("set-keys", row);
    }
    void restoreZone(const std::string &zone)
    {
        writeAsOperator("remove", operatorRow("evacuate/" + zone));
    }

private:
    static bool metricsContain(const std::string &address, const std::string &fragment)
    {
        http_request request;
        request.target = "/metrics";
        http_pool pool(parseAddress(address));
        const auto result = pool.call(request, monotonic_clock::now() + seconds(1));
        const auto *answer = std::get_if<http_response>(&result);
        return answer != nullptr && answer->body.find(fragment) != std::string::npos;
    }

    static Json::Value operatorRow(const std::string &key)
    {
        Json::Value row(Json::objectValue);
        row["table"] = "op";
        row["part"] = "";
        row["key"] = key;
        return row;
    }

    static void writeAsOperator(const char *operation, const Json::Value &row)
    {
        http_request request;
        request.method = "POST";
        request.target = "/-/rows-tx";
        Json::Value body(Json::objectValue);
        body[operation].append(row);
        request.body = compactJson(body);
        http_pool pool(parseAddress(processAddress(0, 9000)));
        pool.call(request, monotonic_clock::now() + seconds(5));
    }

    static std::string base64(const std::string &text)
    {
        constexpr const char *Alphabet =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t from = 0; from < text.size(); from += 3) {
            unsigned value = 0;
            for (std::size_t index = from; index < from + 3; ++index)
                value = value << 8
                        | (index < text.size() ? static_cast<unsigned char>(text[index]) : 0U);
            for (std::size_t position = 0; position < 4; ++position) {
                const bool isPadding = position > text.size() - from;
                result += isPadding ? '=' : Alphabet[value >> (18 - 6 * position) & 63];
            }
        }
        return result;
    }

    void start(const std::string &name, const std::string &role, const std::string &settings)
    {
        m_processes.erase(name);
        const auto file = (m_scratch / (name + ".json")).string();
        std::ofstream(file) << settings;
        m_processes[name] = std::make_unique<child_process>(
                std::vector<std::string>{std::string(ZB_BINARIES) + "/zinniabarrow", role,
                                         "--settings", file},
                (m_scratch / (name + ".out")).string(), (m_scratch / (name + ".err")).string());
    }

    std::filesystem::path m_scratch;
    job_platform m_platform;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

inline void checkNoViolations(const system_under_test &, const job_platform &platform)
{
    for (const auto &violation : platform.violations())
        cr_expect_fail("%s", violation.c_str());
}

} // namespace zinniabarrow::tests
