// Test fixture: two entries and two agents as real processes, with the stand-in of the platform,
// which contains the store and the agents' workers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "app/job_tables.h"
#include "base/json.h"
#include "job_processes.h"
#include "platform/store_wire.h"
#include "section.h"
#include "standins/job_platform.h"

namespace zinniabarrow::tests {

using standins::job_platform;

// Starts all processes, and waits until the entries are ready. Processes 2 and 3 (processAddress())
// are the entries, 4 and 5 the agents.
class system_under_test
{
public:
    system_under_test()
        : m_platform({parseAddress(processAddress(0, StorePort)),
                      {parseAddress(workerAddress(0)), parseAddress(workerAddress(1))},
                      {parseAddress(processAddress(4, WorkersPort)),
                       parseAddress(processAddress(5, WorkersPort))}})
    {
        putConfiguration(7);
        for (int index = 0; index < 2; ++index) {
            startEntry(index);
            startAgent(index);
        }
        for (int index = 0; index < 2; ++index)
            require(waitUntil([&] { return isReady(index); }, WaitLimit));
    }

    job_platform &platform() { return m_platform; }
    child_process &entry(int index) { return m_processes.at(fmt::format("entry-{}", index)); }
    child_process &agent(int index) { return m_processes.at(fmt::format("agent-{}", index)); }

    // `processorShare`: of one core.
    void startEntry(int index, double processorShare = 1)
    {
        const auto id = fmt::format("entry-{}", index);
        m_processes.start(id, "job-entry",
                          settingsOf(entry_process{.id = id,
                                                   .process = 2 + index,
                                                   .processorShare = processorShare}));
    }

    void startAgent(int index)
    {
        const auto id = fmt::format("agent-{}", index);
        m_processes.start(id, "job-agent",
                          settingsOf(agent_process{.id = id,
                                                   .process = 4 + index,
                                                   .workerAddress = workerAddress(index)}));
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
        return callAddress(processAddress(2 + entry, CallersPort), request, seconds(4));
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
        return m_processes.logText(fmt::format("{}-{}", role, index), from);
    }

    const std::filesystem::path &scratch() const { return m_processes.scratch(); }

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

    bool isReady(int entry) { return isEntryReady(2 + entry); }

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
        callAddress(processAddress(2, InternalPort), request, seconds(5));
    }

    // Replaces a part of the job's record in the store, as another writer could.
    void changeRecord(const std::string &job, const std::string &part, const std::string &by)
    {
        http_pool pool(parseAddress(processAddress(0, StorePort)));
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
    static std::string workerAddress(int index)
    {
        return processAddress(0, FirstWorkerPort + index);
    }

    static bool metricsContain(const std::string &address, const std::string &fragment)
    {
        http_request request;
        request.target = "/metrics";
        const auto answer = callAddress(address, request, seconds(1));
        return answer && answer->body.find(fragment) != std::string::npos;
    }

    job_platform m_platform;
    job_processes m_processes{fmt::format("zb-jobs-{}", getpid())};
};

inline void checkNoViolations(const system_under_test &, const job_platform &platform)
{
    for (const auto &violation : platform.violations())
        cr_expect_fail("%s", violation.c_str());
}

} // namespace zinniabarrow::tests
