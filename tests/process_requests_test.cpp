// Requests on real processes while agents and entries are killed, suspended (SIGSTOP) and stopped
// as planned, the platform is down, or upstreams fail.
#include "fleet_scenario.h"
#include "keep_alive_caller.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

// A caller gets either its own complete answer or a truthful refusal. An agent is killed under
// load: its requests in flight end as unknown, or are retried if they never reached it. Another
// agent is suspended until entries no longer route to it, and resumes with requests whose callers
// were answered long ago. The guarantee holds because only attempts that are known not to have run
// are retried.
Test(process_requests, agents_killed_and_suspended)
{
    fleet system(smallFleet());
    startAndWait(system);
    load_result result;
    load_options options;
    options.requests = 900;
    options.deadline = milliseconds(2000);
    runUnderLoad(system, options, result, [&] {
        section("an agent is killed", [&] { system.agent(0)->signal(SIGKILL); });
        section("another agent is suspended for longer than the silence timeout", [&] {
            system.agent(1)->signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(3500));
            system.agent(1)->signal(SIGCONT);
        });
        section("the killed agent is replaced", [&] { system.startAgent(0); });
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
    section("most requests were answered nevertheless",
            [&] { check(result.countRefusals() * 10 < result.sentRequests); });
    section("entries route to all four upstreams again",
            [&] { check(waitForUpstreams(system, 4)); });
}

// A caller of a killed entry sees its connection end. When the caller repeats the request with the
// same key at another entry, it is answered, asked to retry later, or told that the outcome is
// unknown; the request never runs twice. If the entry dies between the claim and the record of the
// outcome, the claim remains in the table.
Test(process_requests, entries_killed_and_suspended)
{
    fleet system(smallFleet());
    startAndWait(system);
    load_result result;
    load_options options;
    options.requests = 900;
    options.deadline = milliseconds(2000);
    runUnderLoad(system, options, result, [&] {
        section("an entry is killed", [&] { system.entry(0)->signal(SIGKILL); });
        section("another entry is suspended and resumed", [&] {
            system.entry(1)->signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(2500));
            system.entry(1)->signal(SIGCONT);
        });
        section("the killed entry is replaced and serves again", [&] {
            system.startEntry(0);
            system.waitForEntry(0);
        });
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// A caller never gets an incomplete answer when an entry or an agent is stopped as planned. SIGTERM
// arrives under load: the process refuses new requests as not executed, finishes those in flight,
// and exits with 0. A second SIGTERM does not shorten this.
Test(process_requests, planned_stops)
{
    auto options = smallFleet();
    options.upstreamWorkMs = 100; // so that requests are in flight when the signal arrives
    fleet system(options);
    startAndWait(system);
    load_result result;
    load_options callers;
    callers.requests = 600;
    callers.perSecond = 100;
    runUnderLoad(system, callers, result, [&] {
        section("an entry is stopped, twice", [&] {
            system.entry(0)->signal(SIGTERM);
            system.entry(0)->signal(SIGTERM);
            check(system.entry(0)->waitForExit(WaitLimit) == 0);
        });
        section("an agent is stopped", [&] {
            system.agent(0)->signal(SIGTERM);
            check(system.agent(0)->waitForExit(WaitLimit) == 0);
        });
        section("its upstream gets no new work", [&] {
            const auto count = [&] {
                return system.getJson(system.upstreamAddress(0), "/executions")["operations"]
                        .size();
            };
            const auto before = count();
            std::this_thread::sleep_for(milliseconds(500));
            check(count() == before);
        });
    });
    section("no request in flight was cut off", [&] {
        check(result.countRefusalsFor("cut") == 0);
        check(result.countRefusalsFor("answer_cut") == 0);
        check(result.countRefusalsFor("outcome_unknown") == 0);
        check(result.countRefusalsFor("no answer in time") == 0);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// Guards against a request of a caller, or of an entry, whose connection is closed without an
// answer, so that nobody knows whether it ran. A process that is told to stop and is then suspended
// finds further requests in its sockets, or on connections that wait to be accepted.
Test(process_requests, requests_to_a_stopping_process_that_is_suspended)
{
    fleet system(smallFleet());
    startAndWait(system);
    const auto stopAndSuspend = [](child_process &process, const std::string &address,
                                   const std::string &path) {
        std::vector<std::unique_ptr<keep_alive_caller>> callers;
        const auto connectMore = [&] {
            for (int number = 0; number < 8; ++number) {
                callers.push_back(std::make_unique<keep_alive_caller>(address));
                require(callers.back()->isOpen());
            }
        };
        connectMore();
        for (const auto &caller : callers) {
            require(caller->send("GET", path));
            require(caller->readAnswer().has_value());
        }
        process.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(300));
        process.signal(SIGSTOP);
        connectMore(); // these wait to be accepted while the process is suspended
        for (const auto &caller : callers)
            require(caller->send("GET", path));
        std::this_thread::sleep_for(milliseconds(1000));
        process.signal(SIGCONT);
        int cutOffCount = 0;
        for (const auto &caller : callers)
            cutOffCount += caller->requestOutcome() != request_outcome::Answered ? 1 : 0;
        check(cutOffCount == 0);
        check(process.waitForExit(WaitLimit) == 0);
    };
    section("an entry",
            [&] { stopAndSuspend(*system.entry(0), system.entryAddress(0), "/tickets/seats"); });
    section("an agent",
            [&] { stopAndSuspend(*system.agent(0), system.agentAddress(0), "/tickets/seats"); });
}

// While the table is down, a caller's keyed purchase is refused immediately as not executed, with a
// time to retry after. Reads and purchases without a key continue, because they need no claim in
// the table.
Test(process_requests, platform_down)
{
    fleet system(smallFleet());
    startAndWait(system);
    load_result result;
    load_generator callers(system, {}, result);
    http_request keyed{"POST", "/tickets/hold", {{"Idempotency-Key", "k1"}}, "seat"};
    Json::Value fault(Json::objectValue);
    section("the table goes down", [&] {
        fault["down"] = true;
        system.setFault(system.platformAddress(), fault);
        check(callers.sendRequest(0, {"GET", "/tickets/seats", {}, {}}, "read").empty());
        check(callers.sendRequest(1, {"POST", "/tickets/hold", {}, "seat"}, "unkeyed").empty());
        check(callers.sendRequest(2, keyed, "keyed") == "platform_unavailable");
        check(countExecutions(system).count("keyed") == 0);
    });
    section("the table comes back, and the same key runs", [&] {
        fault["down"] = false;
        system.setFault(system.platformAddress(), fault);
        check(waitUntil([&] { return callers.sendRequest(2, keyed, "keyed").empty(); }, WaitLimit));
        check(countExecutions(system)["keyed"] == 1);
    });
    section("a lost answer to the write of a claim is resolved by reading the row", [&] {
        Json::Value lossFault(Json::objectValue);
        lossFault["lose_answers"] = 1;
        system.setFault(system.platformAddress(), lossFault);
        keyed.headers["Idempotency-Key"] = "k2";
        const auto outcome = callers.sendRequest(0, keyed, "lost");
        check(outcome.empty() || outcome == "platform_unavailable");
        check(countExecutions(system)["lost"] <= 1);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// A caller's answer that ends early is an error, never a short success. An upstream that refuses
// connections costs a retry at another one; one that hangs costs only its own requests.
Test(process_requests, upstreams_cut_refuse_and_hang)
{
    fleet system(smallFleet());
    startAndWait(system);
    load_result result;
    load_options options;
    options.deadline = milliseconds(1000);
    load_generator callers(system, options, result);
    section("every upstream cuts its next answer", [&] {
        Json::Value cutFault(Json::objectValue);
        cutFault["cut"] = 1;
        for (unsigned index = 0; index < 4; ++index)
            system.setFault(system.upstreamAddress(index), cutFault);
        for (unsigned turn = 0; turn < 8; ++turn) {
            const auto outcome = callers.sendRequest(
                    turn % 3, {"POST", "/tickets/hold", {}, "seat"}, "cut-" + std::to_string(turn));
            check(outcome.empty() || outcome == "answer_cut" || outcome == "outcome_unknown");
        }
        std::int64_t cuts = 0;
        cutFault["cut"] = 0;
        for (unsigned index = 0; index < 4; ++index) {
            cuts += system.getJson(system.upstreamAddress(index), "/executions")["cuts"].asInt64();
            system.setFault(system.upstreamAddress(index), cutFault);
        }
        check(cuts > 0);
        check(result.countRefusals() == cuts); // every cut answer was refused, none passed on
    });
    section("one upstream refuses connections: others answer", [&] {
        system.upstream(0)->signal(SIGKILL);
        system.upstream(0)->waitForExit(WaitLimit);
        const auto before = result.countRefusals();
        for (unsigned turn = 0; turn < 30; ++turn)
            callers.sendRequest(turn % 3, {"GET", "/tickets/seats", {}, {}},
                                "refuse-" + std::to_string(turn));
        cr_expect(result.countRefusals() == before, "refused: %s",
                  describeRefusals(result).c_str());
    });
    section("one upstream hangs: its requests end at their deadline, as unknown", [&] {
        system.upstream(1)->signal(SIGSTOP);
        const auto before = result.countRefusals();
        for (unsigned turn = 0; turn < 30; ++turn)
            callers.sendRequest(turn % 3, {"POST", "/tickets/hold", {}, "seat"},
                                "hang-" + std::to_string(turn));
        system.upstream(1)->signal(SIGCONT);
        check(result.countRefusals() - before <= 20);
        check(result.countRefusalsFor("no answer in time") == 0);
    });
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// An operator stops an entry that cannot finish its start because the platform is down. The entry
// exits with 0 and does not wait for the platform.
Test(process_requests, stop_during_start_and_outage)
{
    fleet system(smallFleet());
    system.startPlatform();
    Json::Value fault(Json::objectValue);
    fault["down"] = true;
    require(waitUntil(
            [&] {
                try {
                    system.setFault(system.platformAddress(), fault);
                    return true;
                } catch (const std::runtime_error &) {
                    return false;
                }
            },
            WaitLimit));
    system.startEntry(0);
    std::this_thread::sleep_for(milliseconds(300));
    system.entry(0)->signal(SIGTERM);
    check(system.entry(0)->waitForExit(WaitLimit) == 0);
}
