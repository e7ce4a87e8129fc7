// The whole path as separate processes on loopback, for the demo and the process tests.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include <json/json.h>

#include "base/time.h"
#include "runtime/http.h"
#include "standins/link.h"

namespace zinniabarrow::standins {

// One process that this program started; killed when destroyed.
class child_process
{
public:
    // Standard output and error go to the named files.
    child_process(const std::vector<std::string> &command, std::string outFile,
                  std::string errorFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    std::size_t peakMemoryBytes() const; // resident, since its start
    pid_t processId() const { return m_pid; }
    bool isRunning();                      // reaps it when it has ended
    int waitForExit(milliseconds timeout); // exit code; -1 when still running then
    const std::string &outFile() const { return m_outFile; }
    const std::string &errorFile() const { return m_errorFile; }

private:
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_hasExited = false;
    std::string m_outFile;
    std::string m_errorFile;
};

// Runs a command to its end; returns exit code and standard output.
struct command_result
{
    int exitCode = 0;
    std::string output;
    std::string errors;
};
command_result runCommand(const std::vector<std::string> &command, const std::string &scratchFolder,
                          milliseconds timeout = seconds(20));

// What a link is laid between, in the direction in which connections are made.
struct link_ends
{
    std::string from; // "entry-0", "agent-2", or "entries" for all of them
    std::string to;   // "entry-1" (its rpc address), "agent-2", "platform"
    auto operator<=>(const link_ends &) const = default;
};

struct fleet_options
{
    std::string binaries; // folder of the programs
    unsigned entries = 3;
    unsigned workers = 11; // each with an upstream and an agent
    std::string region = "kartli";
    std::vector<std::string> zones = {"kartli-a", "imereti-a", "kartli-b"};
    std::string service = "tickets";
    std::int64_t millicores = 16'000;    // of each worker
    std::int64_t bytes = 60'000'000'000; // of each worker
    int upstreamWorkMs = 5;              // time of one request at the upstream
    bool hasInterference = false; // an instance's tasks slow its upstream (worker's fault "noise")
    Json::Value entrySettings{Json::objectValue}; // merged over the defaults
    Json::Value agentSettings{Json::objectValue}; // merged over the defaults
    // An agent announces one address, so that the link to it is shared: {"entries", "agent-2"}.
    std::vector<link_ends> links; // laid before the processes start
};

// Each role's processes by index. A fleet has a loopback address of its own, so that fleets of
// tests that run side by side never share a port.
class fleet
{
public:
    explicit fleet(fleet_options options);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    void startAll(); // stand-ins, entries, agents; returns when every entry is ready

    void startPlatform();
    void startWorker(unsigned index);
    void startUpstream(unsigned index);
    void startEntry(unsigned index);
    void startAgent(unsigned index);
    // A second agent of the same id for the same upstream and worker, at another port.
    std::unique_ptr<child_process> startDuplicateAgent(unsigned index) const;
    void waitForEntry(unsigned index); // until it is ready to serve; throws with its log

    std::unique_ptr<child_process> &platform() { return m_platform; }
    std::unique_ptr<child_process> &worker(unsigned index) { return m_workers.at(index); }
    std::unique_ptr<child_process> &upstream(unsigned index) { return m_upstreams.at(index); }
    std::unique_ptr<child_process> &entry(unsigned index) { return m_entries.at(index); }
    std::unique_ptr<child_process> &agent(unsigned index) { return m_agents.at(index); }

    std::string platformAddress() const;
    std::string workerAddress(unsigned index) const;
    std::string upstreamAddress(unsigned index) const;
    std::string entryAddress(unsigned index) const;    // for callers
    std::string entryRpcAddress(unsigned index) const; // for processes and operators
    std::string agentAddress(unsigned index) const;

    link &linkBetween(const std::string &from, const std::string &to);

    const fleet_options &options() const { return m_options; }
    const std::string &scratchFolder() const { return m_scratchFolder; }
    std::string workerId(unsigned index) const;

    // Calls a stand-in's fault route. Throws when it does not answer.
    void setFault(const std::string &address, const Json::Value &fault);
    std::string getText(const std::string &address, const std::string &target);
    Json::Value getJson(const std::string &address, const std::string &target);
    // Puts a file into the configuration folder, straight in the platform's store.
    void putFolderFile(const std::string &name, const Json::Value &content);
    void removeFolderFile(const std::string &name);
    // An operator's call to an entry.
    Json::Value rpc(unsigned entryIndex, const std::string &method, const Json::Value &parameters);

    // Every line that the workers' stand-ins traced.
    std::vector<Json::Value> workerTrace() const;

private:
    std::string address(int port) const;
    std::string addressOf(const std::string &process) const;
    // The link's address where one is laid, else the process's own.
    std::string linkedAddress(const std::string &from, const std::string &to) const;
    void createLinks();
    Json::Value agentSettings(unsigned index) const;
    std::string writeSettings(const std::string &name, const Json::Value &settings) const;
    std::unique_ptr<child_process> start(const std::string &name,
                                         const std::vector<std::string> &command) const;

    fleet_options m_options;
    std::string m_loopbackAddress;
    std::string m_scratchFolder;
    http_pools m_pools;
    std::map<link_ends, std::unique_ptr<link>> m_links; // outlive the processes
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_workers;
    std::vector<std::unique_ptr<child_process>> m_upstreams;
    std::vector<std::unique_ptr<child_process>> m_entries;
    std::vector<std::unique_ptr<child_process>> m_agents;
    std::vector<std::string> m_traceFiles;
};

// Polls `holds` every 10 ms; false when it did not hold within `atMost`.
template <typename Condition>
bool waitUntil(Condition condition, milliseconds timeout);

} // namespace zinniabarrow::standins

#include <thread>

template <typename Condition>
bool zinniabarrow::standins::waitUntil(Condition condition, milliseconds timeout)
{
    const auto giveUpAt = monotonic_clock::now() + timeout;
    while (!condition()) {
        if (monotonic_clock::now() > giveUpAt)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}
