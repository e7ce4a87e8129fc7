// Membership at several sizes in virtual time: bytes per node, and how long changes take to reach
// all entries.
//
//   membership_bench                          the tables
//   membership_bench --benchmark_filter=...   processor time of a heartbeat and of a tick, by size
#include <algorithm>
#include <string>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "base/json.h"
#include "membership_mesh.h"

using namespace zinniabarrow;

namespace {

constexpr milliseconds Step{100};

mesh_settings makeSettings(int agents, int entries)
{
    mesh_settings settings;
    settings.agents = agents;
    settings.entries = entries;
    return settings;
}

// Milliseconds until `condition` holds, or -1 after two minutes.
template <typename Condition>
std::int64_t measureTimeUntil(mesh &nodes, Condition &&condition)
{
    constexpr milliseconds Limit{120 * 1000};
    for (milliseconds passed{0}; passed <= Limit; passed += Step) {
        if (condition())
            return passed.count();
        nodes.runFor(Step);
    }
    return -1;
}

void printMessageSizes()
{
    mesh nodes(makeSettings(790, 15));
    const auto fullAnnouncement = nodes.agent(789).self();
    digest idle{mesh::entryName(14), fullAnnouncement.incarnation, 4711, 1580, 1580, {}};
    digest digestWithRecord = idle;
    digestWithRecord.records.push_back({fullAnnouncement, true});
    const digest_ack ack{mesh::entryName(14), fullAnnouncement.incarnation, 1580};
    const announce_reply reply{4711, std::nullopt, fullAnnouncement.incarnation, false,
                               milliseconds(8506)};
    const auto print = [](const char *name, const Json::Value &json) {
        fmt::print("{:<28}{:>5} bytes\n", name, compactJson(json).size());
    };
    fmt::print("Messages, without packet headers\n");
    print("announcement", toJson(fullAnnouncement));
    print("heartbeat", toJson(heartbeatOf(fullAnnouncement)));
    print("announce reply", toJson(reply));
    print("digest without changes", toJson(idle));
    print("digest with one record", toJson(digestWithRecord));
    print("digest ack", toJson(ack));
}

void printRow(int agents, int entries)
{
    mesh nodes(makeSettings(agents, entries));
    constexpr std::int64_t Seconds = 120;
    const auto allRouted = measureTimeUntil(nodes, [&] {
        for (int i = 0; i < entries; ++i) {
            if (nodes.countRoutableAt(i) != agents)
                return false;
        }
        return true;
    });
    nodes.runFor(seconds(60));
    nodes.resetTraffic();
    nodes.runFor(seconds(Seconds));
    std::uint64_t entryBytes = 0;
    for (int i = 0; i < entries; ++i) {
        const auto &bytes = nodes.trafficOf(mesh::entryName(i));
        entryBytes = std::max(entryBytes, bytes.sent + bytes.received);
    }
    std::uint64_t agentBytes = 0;
    for (int i = 0; i < agents; ++i) {
        const auto &bytes = nodes.trafficOf(mesh::agentName(i));
        agentBytes = std::max(agentBytes, bytes.sent + bytes.received);
    }
    nodes.agent(0).setState(upstream_state::Leaving);
    const auto leavingRemoved =
            measureTimeUntil(nodes, [&] { return nodes.countEntriesRoutingTo(0) == 0; });
    nodes.stopAgent(1);
    const auto silentRemoved =
            measureTimeUntil(nodes, [&] { return nodes.countEntriesRoutingTo(1) == 0; });
    nodes.stopEntry(0);
    nodes.startEntry(0);
    nodes.resetTraffic();
    const auto rejoined =
            measureTimeUntil(nodes, [&] { return nodes.countRoutableAt(0) == agents - 2; });
    const auto rejoinTraffic = nodes.trafficOf(mesh::entryName(0));
    fmt::print("{:>7}{:>8}{:>12}{:>12}{:>9}{:>9}{:>9}{:>10}{:>13}\n", agents, entries,
               entryBytes / Seconds, agentBytes / Seconds, allRouted, leavingRemoved, silentRemoved,
               rejoined, rejoinTraffic.sent + rejoinTraffic.received);
}

void handleHeartbeat(benchmark::State &state)
{
    mesh nodes(makeSettings(static_cast<int>(state.range(0)), 3));
    nodes.runFor(seconds(20));
    auto repeatedHeartbeat = heartbeatOf(nodes.agent(0).self());
    for (auto _ : state) {
        ++repeatedHeartbeat.sequence;
        benchmark::DoNotOptimize(nodes.entry(0).handleMessage(repeatedHeartbeat, nodes.now()));
    }
}
BENCHMARK(handleHeartbeat)->Arg(11)->Arg(790);

void tickEntry(benchmark::State &state)
{
    mesh nodes(makeSettings(static_cast<int>(state.range(0)), 3));
    nodes.runFor(seconds(20));
    for (auto _ : state)
        benchmark::DoNotOptimize(nodes.entry(0).tick(nodes.now()));
}
BENCHMARK(tickEntry)->Arg(11)->Arg(790);

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1) {
        benchmark::Initialize(&argc, argv);
        benchmark::RunSpecifiedBenchmarks();
        return 0;
    }
    printMessageSizes();
    fmt::print("\nBytes a second of the busiest node without changes, sent and received; times in "
               "ms\n");
    fmt::print("{:>7}{:>8}{:>12}{:>12}{:>9}{:>9}{:>9}{:>10}{:>13}\n", "agents", "entries",
               "entry B/s", "agent B/s", "routable", "leaving", "silent", "new entry", "its bytes");
    printRow(11, 3);
    printRow(79, 5);
    printRow(790, 15);
    return 0;
}
