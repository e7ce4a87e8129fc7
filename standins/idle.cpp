#include "standins/idle.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <fmt/core.h>
#include <unistd.h>

namespace zinniabarrow::standins {

namespace {

// Cost of one process since its start; costDifference gives the cost of an observed period.
struct process_cost
{
    double ticks = 0;                    // clock ticks of processor time
    double wakeups = 0;                  // voluntary context switches of all threads
    std::map<std::string, double> bytes; // by kind and direction
};

double clockTicks(pid_t process)
{
    constexpr int FieldsAfterName = 11; // utime and stime follow these fields
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsAfterName; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return user + system;
}

double wakeupsOf(pid_t process)
{
    const std::string prefix = "voluntary_ctxt_switches:";
    double sum = 0;
    std::error_code ignored;
    const auto tasks = "/proc/" + std::to_string(process) + "/task";
    for (const auto &thread : std::filesystem::directory_iterator(tasks, ignored)) {
        std::ifstream file(thread.path() / "status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with(prefix))
                sum += std::stod(line.substr(prefix.size()));
        }
    }
    return sum;
}

// Parses metrics such as zinniabarrow_control_bytes_total{direction="sent",kind="report"} 697
std::map<std::string, double> controlBytes(http_pools &pools, const std::string &address)
{
    const auto result = pools.poolFor(address).call({"GET", "/metrics", {}, {}},
                                                    monotonic_clock::now() + seconds(5));
    const auto *response = std::get_if<http_response>(&result);
    std::map<std::string, double> bytes;
    if (response == nullptr)
        return bytes;
    std::istringstream lines(response->body);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.starts_with("zinniabarrow_control_bytes_total{"))
            continue;
        const auto open = line.find('{');
        const auto close = line.find('}');
        bytes[line.substr(open, close - open + 1)] = std::stod(line.substr(close + 1));
    }
    return bytes;
}

process_cost costOf(http_pools &pools, pid_t process, const std::string &address)
{
    return {clockTicks(process), wakeupsOf(process), controlBytes(pools, address)};
}

process_cost costDifference(const process_cost &before, const process_cost &after)
{
    process_cost cost{after.ticks - before.ticks, after.wakeups - before.wakeups, after.bytes};
    for (const auto &[kind, bytes] : before.bytes)
        cost.bytes[kind] -= bytes;
    return cost;
}

double totalBytes(const process_cost &cost)
{
    double sum = 0;
    for (const auto &[kind, bytes] : cost.bytes)
        sum += bytes;
    return sum;
}

void printRole(const std::string &role, const std::vector<process_cost> &costs, double observedTime)
{
    process_cost sum;
    double maxTicks = 0;
    double maxBytes = 0;
    for (const auto &cost : costs) {
        sum.ticks += cost.ticks;
        sum.wakeups += cost.wakeups;
        for (const auto &[kind, bytes] : cost.bytes)
            sum.bytes[kind] += bytes;
        maxTicks = std::max(maxTicks, cost.ticks);
        maxBytes = std::max(maxBytes, totalBytes(cost));
    }
    const double processSeconds = observedTime * static_cast<double>(costs.size());
    const auto ticksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
    constexpr double Percent = 100;
    fmt::print("\n{:<48}{:>10}{:>10}\n", role, "mean", "busiest");
    fmt::print("{:<48}{:>10.2f}{:>10.2f}\n", "processor, % of a core",
               Percent * sum.ticks / ticksPerSecond / processSeconds,
               Percent * maxTicks / ticksPerSecond / observedTime);
    fmt::print("{:<48}{:>10.0f}\n", "wake-ups per second", sum.wakeups / processSeconds);
    fmt::print("{:<48}{:>10.0f}{:>10.0f}\n", "control messages, B/s",
               totalBytes(sum) / processSeconds, maxBytes / observedTime);
    for (const auto &[kind, bytes] : sum.bytes)
        fmt::print("  {:<46}{:>10.0f}\n", kind, bytes / processSeconds);
}

} // namespace

void printIdleCost(fleet &system, seconds observedTime)
{
    http_pools pools;
    const auto entries = [&] {
        std::vector<process_cost> costs;
        for (unsigned index = 0; index < system.options().entries; ++index)
            costs.push_back(
                    costOf(pools, system.entry(index)->processId(), system.entryRpcAddress(index)));
        return costs;
    };
    const auto agents = [&] {
        std::vector<process_cost> costs;
        for (unsigned index = 0; index < system.options().workers; ++index)
            costs.push_back(
                    costOf(pools, system.agent(index)->processId(), system.agentAddress(index)));
        return costs;
    };
    const auto startedAt = monotonic_clock::now();
    const auto entriesBefore = entries();
    const auto agentsBefore = agents();
    std::this_thread::sleep_for(observedTime);
    auto entriesAfter = entries();
    auto agentsAfter = agents();
    const std::chrono::duration<double> elapsed = monotonic_clock::now() - startedAt;
    for (std::size_t index = 0; index < entriesAfter.size(); ++index)
        entriesAfter[index] = costDifference(entriesBefore[index], entriesAfter[index]);
    for (std::size_t index = 0; index < agentsAfter.size(); ++index)
        agentsAfter[index] = costDifference(agentsBefore[index], agentsAfter[index]);
    printRole("an entry", entriesAfter, elapsed.count());
    printRole("an agent", agentsAfter, elapsed.count());
}

} // namespace zinniabarrow::standins
