// Requests, tasks and configuration on real processes while links between them are cut (connections
// are reset and new ones refused), silent (connections stay open but carry no data) or lose
// answers.
#include <set>

#include <fmt/core.h>

#include "base/json.h"
#include "fleet_scenario.h"
#include "stalled_callers.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// Prints the workers' task events, to diagnose a failure that occurs rarely.
void printTrace(const fleet &system)
{
    for (const auto &event : system.workerTrace())
        fmt::print(stderr, "{}\n", compactJson(event));
}

// All network links of an agent: the relay to it and the relays from it.
std::vector<link_ends> linksOf(const std::string &agent, unsigned entries)
{
    std::vector<link_ends> links{{"entries", agent}};
    for (unsigned entry = 0; entry < entries; ++entry)
        links.push_back({agent, "entry-" + std::to_string(entry)});
    return links;
}

void setAllLinks(fleet &system, link_state state)
{
    for (const auto &ends : system.options().links)
        system.linkBetween(ends.from, ends.to).setState(state);
}

void setAgentLinks(fleet &system, const std::set<unsigned> &agents, link_state state)
{
    for (const auto agent : agents) {
        for (const auto &ends : linksOf("agent-" + std::to_string(agent), system.options().entries))
            system.linkBetween(ends.from, ends.to).setState(state);
    }
}

// The worker on which most tasks of the job started.
unsigned busiestWorker(const fleet &system, const std::string &job)
{
    auto started = countTracedByWorker(system, "started", job);
    unsigned busiest = 0;
    for (unsigned worker = 1; worker < system.options().workers; ++worker) {
        if (started[system.workerId(worker)] > started[system.workerId(busiest)])
            busiest = worker;
    }
    require(started[system.workerId(busiest)] > 0);
    return busiest;
}

std::uint64_t generationAt(fleet &system, unsigned entry)
{
    const auto status = system.rpc(entry, "status", Json::objectValue);
    return status["configuration"]["here"]["generation"].asUInt64();
}

std::size_t operationsAt(fleet &system, unsigned upstream)
{
    return system.getJson(system.upstreamAddress(upstream), "/executions")["operations"].size();
}

std::size_t operationsAt(fleet &system, const std::set<unsigned> &upstreams)
{
    std::size_t sum = 0;
    for (const auto upstream : upstreams)
        sum += operationsAt(system, upstream);
    return sum;
}

// Sends `count` reads to one entry; returns how many were answered.
unsigned answeredReads(load_generator &callers, unsigned entry, unsigned count,
                       const std::string &prefix)
{
    unsigned answered = 0;
    for (unsigned turn = 0; turn < count; ++turn) {
        const auto operation = prefix + "-" + std::to_string(turn);
        if (callers.sendRequest(entry, {"GET", "/tickets/seats", {}, {}}, operation).empty())
            ++answered;
    }
    return answered;
}

// Metrics of an entry, read from its rpc port, where callers cannot delay it.
std::string metricsOf(fleet &system, unsigned entry)
{
    http_pool pool(parseAddress(system.entryRpcAddress(entry)));
    const auto result = pool.call({"GET", "/metrics", {}, {}}, monotonic_clock::now() + seconds(5));
    const auto *response = std::get_if<http_response>(&result);
    return response == nullptr ? std::string() : response->body;
}

unsigned connectionsRefused(fleet &system, const std::string &reason)
{
    const std::string name = "zinniabarrow_connections_refused_total{reason=\"" + reason + "\"} ";
    const auto text = metricsOf(system, 0);
    const auto at = text.find(name);
    return at == std::string::npos
                   ? 0
                   : static_cast<unsigned>(std::stod(text.substr(at + name.size())));
}

constexpr std::size_t StalledCallers = 300;

// Keeps 300 callers stalled at entry 0, each from its own address or all from one: connected
// without sending, half of a head sent, or half of a body sent.
void keepStalled(stalled_callers &callers, bool ownAddresses)
{
    static const char *const parts[] = {
            "", "POST /tickets/hold HTTP/1.1\r\nX-Ha",
            "POST /tickets/hold HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    static unsigned next = 0;
    for (auto count = callers.countStillOpen(); count < StalledCallers; ++count) {
        ++next;
        const auto from = ownAddresses ? "127.0." + std::to_string(1 + next / 250 % 100) + "."
                                                 + std::to_string(2 + next % 250)
                                       : std::string("127.0.0.2");
        callers.open(from, parts[next % 3]);
    }
}

} // namespace

// A caller of an entry that the leaving agent cannot reach is served by other upstreams, not
// refused. The link from one agent to entry 0 is cut, that from another is silent, and both agents
// are told to stop. Their announcement that they leave (state Leaving) reaches the other entries,
// whose digests bring it to entry 0: every entry passes on every Leaving that it knows.
Test(process_links, leaving_past_broken_links)
{
    auto options = smallFleet();
    options.links = {{"agent-0", "entry-0"}, {"agent-1", "entry-0"}};
    options.agentSettings["drain_ms"] = 120'000; // they wait this long for entry 0's answer
    options.entrySettings["announce_silence_ms"] = 60'000; // this alone would come too late
    fleet system(options);
    startAndWait(system);
    load_result result;
    load_generator callers(system, {}, result);
    section("two links break, and their agents are told to stop", [&] {
        system.linkBetween("agent-0", "entry-0").setState(link_state::Cut);
        system.linkBetween("agent-1", "entry-0").setState(link_state::Blackholed);
        system.agent(0)->signal(SIGTERM);
        system.agent(1)->signal(SIGTERM);
    });
    section("every entry routes to the other two while the leaving ones still run", [&] {
        check(waitForUpstreams(system, 2));
        check(system.agent(0)->isRunning());
        check(system.agent(1)->isRunning());
    });
    section("no entry sends new requests to the leaving agents", [&] {
        const auto before = operationsAt(system, 0) + operationsAt(system, 1);
        for (unsigned entry = 0; entry < 3; ++entry)
            check(answeredReads(callers, entry, 40, "after-" + std::to_string(entry)) == 40);
        check(operationsAt(system, 0) + operationsAt(system, 1) == before);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// Callers of an entry that is cut off from its peers and from the platform's table get truthful
// refusals, and a purchase that they repeat at another entry runs once. Entry 0 is cut off. A
// configuration is accepted without it, and batch tasks continue. Then all links pass again and
// deliver what they held back. Late writes of entry 0 are rejected by the epoch and the row
// versions, and a generation is only ever replaced by a higher one.
Test(process_links, entry_partitioned_and_healed)
{
    auto options = smallFleet();
    options.links = {{"entry-0", "entry-1"},
                     {"entry-0", "entry-2"},
                     {"entry-1", "entry-0"},
                     {"entry-2", "entry-0"},
                     {"entry-0", "platform"}};
    options.entrySettings["lease_ms"] = 6000;
    options.entrySettings["agent_lease_ms"] = 3000;
    fleet system(options);
    startAndWait(system);
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    batch_options batch;
    batch.runMs = 1500;
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    require(waitUntil([&] { return countTraced(system, "started", batch.job) > 0; }, WaitLimit));
    load_result result;
    load_options load;
    load.requests = 1200;
    load.perSecond = 120;
    load.deadline = milliseconds(2000);
    std::uint64_t highest = generationAt(system, 0);
    runUnderLoad(system, load, result, [&] {
        section("the entry is partitioned; the others accept a configuration", [&] {
            setAllLinks(system, link_state::Blackholed);
            batch_options more;
            more.job = "late";
            more.tasks = 20;
            const auto before = generationAt(system, 1);
            system.putFolderFile("30-late.json", makeBatchConfig(more));
            check(waitUntil(
                    [&] {
                        const auto here = generationAt(system, 0);
                        check(here >= highest);
                        highest = std::max(highest, here);
                        return generationAt(system, 1) > before && generationAt(system, 2) > before
                               && countTraced(system, "started", "late") > 0;
                    },
                    WaitLimit));
        });
        section("the links pass again: the entry catches up", [&] {
            setAllLinks(system, link_state::Passing);
            check(waitUntil(
                    [&] {
                        const auto here = generationAt(system, 0);
                        check(here >= highest);
                        highest = std::max(highest, here);
                        return here == generationAt(system, 1) && here == generationAt(system, 2);
                    },
                    WaitLimit));
        });
    });
    section("the healed entry serves keyed purchases again", [&] {
        load_generator callers(system, {}, result);
        const http_request keyed{"POST", "/tickets/hold", {{"Idempotency-Key", "healed"}}, "seat"};
        check(waitUntil([&] { return callers.sendRequest(0, keyed, "healed").empty(); },
                        WaitLimit));
    });
    section("the entry is partitioned again: purchases repeated elsewhere run once", [&] {
        setAllLinks(system, link_state::Blackholed);
        load_generator callers(system, {}, result);
        for (unsigned turn = 0; turn < 4; ++turn) {
            const auto operation = "again-" + std::to_string(turn);
            const http_request keyed{
                    "POST", "/tickets/hold", {{"Idempotency-Key", operation}}, "seat"};
            check(!callers.sendRequest(0, keyed, operation).empty());
            callers.sendRequest(1, keyed, operation);
        }
        setAllLinks(system, link_state::Passing);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
    section("every task ended once", [&] {
        check(waitUntil(
                [&] {
                    return countTraced(system, "ended", batch.job) == 40
                           && countTraced(system, "ended", "late") == 20;
                },
                WaitLimit));
        checkTraceClean(system);
    });
}

// When agents become silent, their batch tasks (failover class lease) start elsewhere, their
// watchers (failover class proof) do not, and no task ever runs in two places. Placement decides
// which workers get batch tasks and which get watchers, so the test silences the agent with most of
// the batch tasks and the one with most of the watchers. All links of these agents are silent for
// longer than the short lease while their workers live. The agents stop the batch tasks before the
// lease that they were given expires; the owner counts that lease from the last report, which was
// sent earlier. The agents recover without intervention.
Test(process_links, agent_silent_past_its_lease)
{
    auto options = smallFleet();
    for (unsigned agent = 0; agent < options.workers; ++agent) {
        const auto links = linksOf("agent-" + std::to_string(agent), options.entries);
        options.links.insert(options.links.end(), links.begin(), links.end());
    }
    options.entrySettings["agent_lease_ms"] = 4000;
    fleet system(options);
    startAndWait(system);
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    batch_options watchers;
    watchers.job = "watch";
    watchers.tasks = 8;
    watchers.runMs = 3'600'000;
    watchers.failover = "proof";
    system.putFolderFile("20-watch.json", makeBatchConfig(watchers));
    batch_options batch;
    batch.tasks = 12;
    batch.runMs = 12'000;
    system.putFolderFile("30-batch.json", makeBatchConfig(batch));
    require(waitUntil(
            [&] {
                return countTraced(system, "started", batch.job) == 12
                       && countTraced(system, "started", "watch") == 8;
            },
            WaitLimit));
    const std::set<unsigned> silent{busiestWorker(system, batch.job),
                                    busiestWorker(system, "watch")};
    const auto others = options.workers - static_cast<unsigned>(silent.size());
    load_result result;
    load_generator callers(system, {}, result);
    section("batch tasks of the silent agents start elsewhere, their watchers do not", [&] {
        setAgentLinks(system, silent, link_state::Blackholed);
        check(waitUntil([&] { return countTraced(system, "started", batch.job) > 12; }, WaitLimit));
        check(countTraced(system, "started", "watch") == 8);
    });
    section("requests go to the other upstreams", [&] {
        check(waitForUpstreams(system, others));
        const auto before = operationsAt(system, silent);
        for (unsigned entry = 0; entry < 3; ++entry)
            check(answeredReads(callers, entry, 20, "others-" + std::to_string(entry)) == 20);
        check(operationsAt(system, silent) == before);
    });
    section("when the links pass again, entries route to the agents again", [&] {
        setAgentLinks(system, silent, link_state::Passing);
        check(waitForUpstreams(system, 4));
        for (const auto agent : silent)
            check(system.agent(agent)->isRunning());
    });
    section("every batch task ends once, no watcher was started twice", [&] {
        check(waitUntil([&] { return countTraced(system, "ended", batch.job) == 12; }, WaitLimit));
        std::this_thread::sleep_for(milliseconds(1000)); // time for late grants to arrive
        check(countTraced(system, "started", "watch") == 8);
        checkTraceClean(system);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// Running tasks continue although the entries that own no shard do not answer any agent. Agents
// call these entries repeatedly, and each call fails after half a second. If calls to the shard's
// owner waited behind them, a report would arrive after the agent's short lease has expired: its
// tasks would stop and start elsewhere.
Test(process_links, silent_entries_cost_no_lease)
{
    auto options = smallFleet();
    for (unsigned agent = 0; agent < 4; ++agent) {
        for (unsigned entry = 0; entry < 3; ++entry)
            options.links.push_back(
                    {"agent-" + std::to_string(agent), "entry-" + std::to_string(entry)});
    }
    options.entrySettings["agent_lease_ms"] = 4000;
    fleet system(options);
    startAndWait(system);
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    batch_options batch;
    batch.tasks = 16;
    batch.runMs = 15'000;
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    require(waitUntil([&] { return countTraced(system, "started", batch.job) == 16; }, WaitLimit));
    section("the entries that own no shard stop answering the agents", [&] {
        for (unsigned entry = 0; entry < 3; ++entry) {
            const auto status = system.rpc(entry, "status", Json::objectValue);
            if (!status["scheduling"]["shards"].empty())
                continue;
            for (unsigned agent = 0; agent < 4; ++agent) {
                const auto from = "agent-" + std::to_string(agent);
                system.linkBetween(from, "entry-" + std::to_string(entry))
                        .setState(link_state::Blackholed);
            }
        }
    });
    section("every task ends once, with one start each", [&] {
        check(waitUntil([&] { return countTraced(system, "ended", batch.job) == 16; }, WaitLimit));
        const auto starts = countTraced(system, "started", batch.job);
        check(starts == 16);
        if (starts != 16)
            printTrace(system);
        checkTraceClean(system);
    });
    section("every entry still routes to every upstream",
            [&] { check(waitForUpstreams(system, 4)); });
}

// A caller whose purchase ran while its answer was lost is told that the purchase may have run, and
// it ran once; a purchase that is reported as not run did not run. The links from the entries to
// all agents lose answers, then become silent, then are cut. Only a refused connection proves that
// nothing was sent; every other outcome is unknown and is not retried.
Test(process_links, answers_lost_on_the_way)
{
    auto options = smallFleet();
    for (unsigned agent = 0; agent < 4; ++agent)
        options.links.push_back({"entries", "agent-" + std::to_string(agent)});
    fleet system(options);
    startAndWait(system);
    load_result result;
    load_options load;
    load.deadline = milliseconds(1000);
    load_generator callers(system, load, result);
    const auto buy = [&](unsigned entry, const std::string &operation) {
        return callers.sendRequest(entry, {"POST", "/tickets/hold", {}, "seat"}, operation);
    };
    const auto isUnknown = [&](const std::string &reason, const std::string &operation) {
        return (reason == "answer_late" || reason == "outcome_unknown")
               && result.mayHaveExecuted.count(operation) > 0
               && result.reportedNotExecuted.count(operation) == 0;
    };
    http_request keyed{"POST", "/tickets/hold", {{"Idempotency-Key", "lost"}}, "seat"};
    section("answers are lost: purchases are reported as unknown and ran once", [&] {
        setAllLinks(system, link_state::AnswersDropped);
        for (unsigned turn = 0; turn < 6; ++turn) {
            const auto operation = "lost-" + std::to_string(turn);
            check(isUnknown(buy(turn % 3, operation), operation));
        }
        check(isUnknown(callers.sendRequest(0, keyed, "lost-keyed"), "lost-keyed"));
        for (unsigned turn = 0; turn < 6; ++turn)
            check(countExecutions(system)["lost-" + std::to_string(turn)] == 1);
        check(countExecutions(system)["lost-keyed"] == 1);
    });
    section("a keyed purchase does not run again when it is repeated at another entry", [&] {
        setAllLinks(system, link_state::Passing);
        const auto repeated = callers.sendRequest(1, keyed, "lost-keyed");
        cr_expect(!repeated.empty(), "the repeat was answered");
        check(countExecutions(system)["lost-keyed"] == 1);
    });
    section("links are silent: purchases are reported as unknown and run at most once", [&] {
        setAllLinks(system, link_state::Blackholed);
        for (unsigned turn = 0; turn < 3; ++turn) {
            const auto operation = "silent-" + std::to_string(turn);
            check(isUnknown(buy(turn, operation), operation));
        }
        setAllLinks(system, link_state::Passing);
        check(waitUntil([&] { return buy(0, "after-silence").empty(); }, WaitLimit));
    });
    section("links are cut: purchases are refused as not executed", [&] {
        setAllLinks(system, link_state::Cut);
        for (unsigned turn = 0; turn < 6; ++turn)
            buy(turn % 3, "cut-" + std::to_string(turn));
        check(result.countRefusalsFor("upstream_unreachable")
                      + result.countRefusalsFor("no_upstream")
                      + result.countRefusalsFor("retry_budget_spent")
              > 0);
        setAllLinks(system, link_state::Passing);
        check(waitUntil([&] { return buy(1, "after-cut").empty(); }, WaitLimit));
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// A caller is answered while 300 others stall before their head, in the middle of it, or in the
// middle of the body. They share an address, as the connections of one broken client do, and get
// only that address's share of the connections; further ones are refused by threads that serve
// nobody.
Test(process_links, stalled_callers_of_one_address)
{
    auto options = smallFleet();
    options.entrySettings["max_connections_per_address"] = 32;
    fleet system(options);
    startAndWait(system);
    load_result result;
    load_generator load(system, {}, result);
    stalled_callers stalled(system.entryAddress(0));
    for (unsigned round = 0; round < 10; ++round) {
        keepStalled(stalled, false);
        check(answeredReads(load, 0, 20, "stalled-" + std::to_string(round)) == 20);
    }
    cr_expect(result.countRefusals() == 0, "refused: %s", describeRefusals(result).c_str());
    check(connectionsRefused(system, "address_share") > 0);
    check(connectionsRefused(system, "all_in_use") == 0);
    section("a planned shutdown does not wait for stalled callers forever", [&] {
        system.entry(0)->signal(SIGTERM);
        check(system.entry(0)->waitForExit(WaitLimit) == 0);
    });
}

// A caller is answered while 300 others stall, each from its own address, so that the limit per
// address does not apply. The connections that have stalled longest are closed, long before their
// deadlines, and a caller that arrives then is answered at its first attempt.
Test(process_links, stalled_callers_of_many_addresses)
{
    auto options = smallFleet();
    options.entrySettings["request_read_ms"] = 600'000; // this alone would come too late
    fleet system(options);
    startAndWait(system);
    load_result result;
    stalled_callers stalled(system.entryAddress(0));
    for (unsigned round = 0; round < 2; ++round) {
        keepStalled(stalled, true);
        std::this_thread::sleep_for(milliseconds(1500)); // lets them stall
        for (unsigned caller = 0; caller < 15; ++caller) {
            load_generator load(system, {}, result); // uses a connection of its own
            load.sendRequest(0, {"GET", "/tickets/seats", {}, {}},
                             "stalled-" + std::to_string(round) + "-" + std::to_string(caller));
        }
    }
    cr_expect(result.countRefusals() == 0, "refused: %s", describeRefusals(result).c_str());
    check(result.answeredRequests == 30);
    check(connectionsRefused(system, "made_room") > 0);
    checkGuaranteesKept(system, result);
}
