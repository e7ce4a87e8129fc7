// Entries and agents of a soak as real processes on loopback, with the stand-in of the platform in
// this process: its store, and a worker beside each agent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "job_processes.h"
#include "soak/links.h"
#include "soak/plan.h"
#include "soak/timeline.h"
#include "standins/job_platform.h"

namespace zinniabarrow::soak {

struct system_options
{
    int entries = 3;
    int agents = 6;                     // each with a worker
    std::int64_t workerCapacity = 4000; // 1/1000 core
    bool hasLinks = false; // between all processes; otherwise they reach each other directly
    // As job_platform_options.
    std::function<standins::task_shape(const jobs::task_id &)> describeTask;
    std::function<void(const standins::run_notice &)> onRun;
    std::function<void(std::size_t worker)> onLapse;
};

class soak_system
{
public:
    // Starts the platform; the processes are started by start().
    soak_system(system_options options, timeline &record);

    standins::job_platform &platform() { return m_platform; }
    soak_links &links() { return m_links; }
    // All pairs of processes that make connections by a link; empty without links.
    std::vector<link_ends> linkedPairs() const;
    // Names of all entries and agents.
    std::vector<std::string> processNames() const;
    // Starts an entry or an agent. One of that name that still runs is killed before.
    void start(const std::string &name);
    tests::child_process &process(const std::string &name) const { return m_processes.at(name); }
    // Whether the process has written to its log since it was started last.
    bool hasLogged(const std::string &name) const;
    std::vector<std::string> callersAddresses() const; // of the entries
    bool areEntriesReady() const;
    const std::filesystem::path &scratch() const { return m_processes.scratch(); }

private:
    // Where the process `from` reaches `to`.
    std::string addressFor(const std::string &from, const std::string &to) const;
    standins::job_platform_options platformOptions() const;

    system_options m_options;
    soak_links m_links;
    standins::job_platform m_platform;
    tests::job_processes m_processes;
    std::map<std::string, std::uintmax_t> m_logStart; // bytes of earlier incarnations, by name
};

} // namespace zinniabarrow::soak
