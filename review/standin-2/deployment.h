// A small deployment on loopback: the stand-ins of the platform in this process, and the project's
// own programs as separate processes, started with the commands of the deploy file.
#pragma once

#include <atomic>
#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "net.h"
#include "runner.h"
#include "store.h"

namespace review {

struct deployment_options
{
    int entries = 2;
    int machines = 3; // each with an agent and its runner
    call_fault fault = [](const auto &, const auto &) { return std::nullopt; };
};

class process
{
public:
    process(std::string name, std::string role, Json::Value settings, std::filesystem::path folder);
    void start();
    void signal(int number) const;
    void end(); // kills it and waits for its end
    pid_t id() const { return m_id; }
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
    std::string m_role;
    std::filesystem::path m_folder;
    pid_t m_id = 0;
};

// A `side` machine: the agent, its runner, and the links over which the agent is reached and
// reaches the store.
struct machine
{
    std::unique_ptr<link> toStore;
    std::unique_ptr<link> toAgent;
    std::unique_ptr<runner> worker;
    std::unique_ptr<process> agent;
};

// An entry, and the link over which other processes reach it.
struct front
{
    endpoint callers;
    std::unique_ptr<link> toEntry;
    std::unique_ptr<process> entry;
};

class deployment
{
public:
    // It exists until the end of this process, as the stand-ins' threads use it.
    static deployment &make(const deployment_options &options, record &log);
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    void start(); // the processes; returns once all entries are ready
    void end();   // kills the processes and removes their files
    std::vector<machine> &machines() { return m_machines; }
    std::vector<front> &fronts() { return m_fronts; }
    done_ledger &ledger() { return m_ledger; }
    // Submits the job once; the status of the answer, 0: none.
    int trySubmit(const std::string &queue, const std::string &job, const Json::Value &body);

    // Submits the job until it is accepted. `queue`: "/fast/" or "/slow/".
    void submit(const std::string &queue, const std::string &job, const Json::Value &body);
    // The state that a caller sees; empty: no answer with 200.
    std::string stateOf(const std::string &queue, const std::string &job);
    // The index of the machine on which the task runs; waits for it.
    std::size_t machineOf(const std::string &task);

    // The machine is partitioned from all other machines and from the store, silently.
    void cutOff(std::size_t machine);
    void heal(std::size_t machine);
    // The machine is suspended with all that runs on it.
    void suspend(std::size_t machine);
    void resume(std::size_t machine);

private:
    deployment(const deployment_options &options, record &log);
    void addMachine(int number, const call_fault &fault);
    void addFront(int number);
    static Json::Value configuration();

    record &m_log;
    done_ledger m_ledger;
    std::filesystem::path m_folder; // settings and logs of the processes
    store m_store;
    std::vector<machine> m_machines;
    std::vector<front> m_fronts;
    std::atomic<std::size_t> m_nextFront{0};
};

// Ends the deployment, if one was made.
void endDeployment();

// Thrown when the case could not run.
struct cannot_run
{
    std::string reason;
};

void waitSeconds(double seconds);

} // namespace review
