// A complete system (platform, workers, upstreams, entries, agents) as separate processes on
// loopback, for the demo and the process tests. The platform, the workers and the upstreams are
// stand-ins, that is, programs of this project that behave like the real ones.
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

// A child process; it is killed when this object is destroyed.
class child_process
{
public:
    // Standard output and error are appended to the named files. Throws std::runtime_error when the
    // program can't be started.
    child_process(const std::vector<std::string> &command, std::string outFile,
                  std::string errorFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    std::size_t peakMemoryBytes() const; // peak resident size since its start
    pid_t processId() const { return m_pid; }
    bool isRunning(); // also reaps the process when it has exited
    // Returns the exit code, 128 + the number of the signal that ended the process, or -1 on
    // timeout.
    int waitForExit(milliseconds timeout);
    const std::string &outFile() const { return m_outFile; }
    const std::string &errorFile() const { return m_errorFile; }

private:
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_hasExited = false;
    std::string m_outFile;
    std::string m_errorFile;
};

// Exit code and output of a command that runCommand ran to its end.
struct command_result
{
    int exitCode = 0;
    std::string output;
    std::string errors;
};
// Output goes through files in `scratchFolder`. On timeout the command is killed and the exit code
// is -1.
command_result runCommand(const std::vector<std::string> &command, const std::string &scratchFolder,
                          milliseconds timeout = seconds(20));

// The two ends of a link; connections are made in the direction from `from` to `to`.
struct link_ends
{
    std::string from; // "entry-0", "agent-2", or "entries" for all of them
    std::string to;   // "entry-1" (its rpc address), "agent-2", "platform"
    auto operator<=>(const link_ends &) const = default;
};

// Number, places, sizes and settings of the processes of a fleet.
struct fleet_options
{
    std::string binaries; // folder with the built programs
    unsigned entries = 3;
    unsigned workers = 11; // each with an upstream and an agent
    std::string region = "kartli";
    std::vector<std::string> zones = {"kartli-a", "imereti-a", "kartli-b"};
    std::string service = "tickets";     // served by all upstreams
    std::int64_t millicores = 16'000;    // of each worker
    std::int64_t bytes = 60'000'000'000; // of each worker
    int upstreamWorkMs = 5;              // service time of one request at the upstream, ms
    // Whether tasks slow the upstream beside their worker, by the amounts set as the worker's fault
    // "noise" (standin.h).
    bool hasInterference = false;
    Json::Value entrySettings{Json::objectValue}; // merged over the defaults
    Json::Value agentSettings{Json::objectValue}; // merged over the defaults
    // All entries share one link to an agent, {"entries", "agent-2"}, because the agent announces
    // one address to all of them.
    std::vector<link_ends> links; // created before the processes start
};

// Starts the processes and kills them when it is destroyed. The processes of each role are
// addressed by index. Each fleet uses its own loopback address, so that tests that run concurrently
// never share a port.
//
// Settings, logs and traces are written to a scratch folder, which is removed with the fleet unless
// the environment variable ZINNIABARROW_KEEP_SCRATCH is set.
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
    // Starts a second agent on another port, with the id, upstream and worker of agent `index`.
    std::unique_ptr<child_process> startDuplicateAgent(unsigned index) const;
    // Waits until it is ready; on timeout throws with its log and describeEnded().
    void waitForEntry(unsigned index);
    // The daemons that have ended, with their exit codes: "entry-0: 139" (128 + signal 11).
    std::string describeEnded();

    // The processes; empty before the start. A test resets a pointer to kill the process.
    std::unique_ptr<child_process> &platform() { return m_platform; }
    std::unique_ptr<child_process> &worker(unsigned index) { return m_workers.at(index); }
    std::unique_ptr<child_process> &upstream(unsigned index) { return m_upstreams.at(index); }
    std::unique_ptr<child_process> &entry(unsigned index) { return m_entries.at(index); }
    std::unique_ptr<child_process> &agent(unsigned index) { return m_agents.at(index); }

    std::string platformAddress() const;
    std::string workerAddress(unsigned index) const;
    std::string upstreamAddress(unsigned index) const;
    std::string entryAddress(unsigned index) const;    // for callers
    std::string entryRpcAddress(unsigned index) const; // for other processes and operators
    std::string agentAddress(unsigned index) const;

    // One of fleet_options::links. Throws std::out_of_range when there is no such link.
    link &linkBetween(const std::string &from, const std::string &to);

    const fleet_options &options() const { return m_options; }
    const std::string &scratchFolder() const { return m_scratchFolder; }
    std::string workerId(unsigned index) const;

    // Posts to /fault of the stand-in at `address`. Throws std::runtime_error if it does not
    // answer.
    void setFault(const std::string &address, const Json::Value &fault);
    // GET requests to any process of the fleet. They return the body whatever the status, and throw
    // std::runtime_error when no answer comes.
    std::string getText(const std::string &address, const std::string &target);
    Json::Value getJson(const std::string &address, const std::string &target);
    // Writes a file of the configuration folder directly to the platform's object store.
    void putFolderFile(const std::string &name, const Json::Value &content);
    void removeFolderFile(const std::string &name);
    // Calls an entry's RPC interface as an operator does.
    Json::Value rpc(unsigned entryIndex, const std::string &method, const Json::Value &parameters);

    // All lines that the stand-in workers have written to their trace files, one JSON object each.
    std::vector<Json::Value> workerTrace() const;

private:
    std::string address(int port) const;
    std::string addressOf(const std::string &process) const;
    // The link's address if there is a link from `from` to `to`, else the address of `to`.
    std::string linkedAddress(const std::string &from, const std::string &to) const;
    void createLinks();
    Json::Value agentSettings(unsigned index) const;
    std::string writeSettings(const std::string &name, const Json::Value &settings) const;
    std::unique_ptr<child_process> startProcess(const std::string &name,
                                                const std::vector<std::string> &command) const;

    fleet_options m_options;
    std::string m_loopbackAddress;
    std::string m_scratchFolder;
    http_pools m_pools;
    std::map<link_ends, std::unique_ptr<link>> m_links; // destroyed after the processes
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_workers;
    std::vector<std::unique_ptr<child_process>> m_upstreams;
    std::vector<std::unique_ptr<child_process>> m_entries;
    std::vector<std::unique_ptr<child_process>> m_agents;
    std::vector<std::string> m_traceFiles;
};

// Polls `condition` every 10 ms; returns false when it didn't hold within `timeout`.
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
