// Sends invalid input to real processes: each input gets an error that tells the reason, and the
// process continues to serve.
#include <fstream>

#include "base/json.h"
#include "fleet_scenario.h"
#include "rpc/rpc.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

command_result zinniabarrowCommand(const fleet &system, std::vector<std::string> words)
{
    words.insert(words.begin(), std::string(ZB_BINARIES) + "/zinniabarrow");
    return runCommand(words, system.scratchFolder());
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

http_response send(const std::string &address, const http_request &request)
{
    http_pool pool(parseAddress(address));
    const auto result = pool.call(request, monotonic_clock::now() + seconds(5));
    const auto *response = std::get_if<http_response>(&result);
    require(response != nullptr);
    return *response;
}

} // namespace

Test(process_input, command_line)
{
    fleet system(smallFleet());
    section("help and version are answered", [&] {
        check(zinniabarrowCommand(system, {"--help"}).exitCode == 0);
        check(contains(zinniabarrowCommand(system, {"--version"}).output, "zinniabarrow "));
        for (const auto *name : {"entry", "agent", "check", "status", "put", "remove", "follow",
                                 "explain", "drain", "check-trace"})
            check(zinniabarrowCommand(system, {name, "--help"}).exitCode == 0);
    });
    section("wrong usage exits with 2", [&] {
        check(zinniabarrowCommand(system, {}).exitCode == 2);
        check(zinniabarrowCommand(system, {"nosuch"}).exitCode == 2);
        check(zinniabarrowCommand(system, {"entry"}).exitCode == 2);
        check(zinniabarrowCommand(system, {"status", "--entry"}).exitCode == 2);
    });
    section("failures exit with 1 and print the reason", [&] {
        const auto absent = zinniabarrowCommand(system, {"entry", "--settings", "/nonexistent"});
        check(absent.exitCode == 1);
        check(contains(absent.errors, "cannot be read"));
        const auto nobody = zinniabarrowCommand(system, {"status", "--entry", "127.0.0.1:1"});
        check(nobody.exitCode == 1);
        check(contains(nobody.errors, "ask another entry"));
    });
    section("wrong settings name file, line, what was found and what is allowed", [&] {
        const auto file = system.scratchFolder() + "/wrong.json";
        std::ofstream(file) << "{\n\"id\": \"entry-1\",\n\"shards\": \"many\"\n}\n";
        const auto result = zinniabarrowCommand(system, {"entry", "--settings", file});
        check(result.exitCode == 1);
        check(contains(result.errors, "wrong.json:3: /shards: found"));
        check(contains(result.errors, "allowed"));
    });
    section("the example folder is acceptable, a broken one is refused", [&] {
        const std::string examples = std::string(ZB_SOURCES) + "/examples/folder";
        check(zinniabarrowCommand(system, {"check", examples}).exitCode == 0);
        const auto folder = system.scratchFolder() + "/folder";
        check(runCommand({"/bin/mkdir", folder}, system.scratchFolder()).exitCode == 0);
        std::ofstream(folder + "/a.json") << "{\n\"jobs\": [\n";
        const auto result = zinniabarrowCommand(system, {"check", folder});
        check(result.exitCode == 1);
        check(contains(result.output, "a.json:"));
    });
    section("an invalid trace is refused", [&] {
        const auto file = system.scratchFolder() + "/trace.jsonl";
        std::ofstream(file) << R"({"event":"ended"})"
                            << "\nnot json\n";
        check(zinniabarrowCommand(system, {"check-trace", file}).exitCode == 1);
    });
}

Test(process_input, requests_and_messages)
{
    auto options = smallFleet();
    options.entrySettings["max_body_bytes"] = 65'536;
    fleet system(options);
    startAndWait(system);
    const auto entry = system.entryAddress(0);
    section("a request over the size limit is refused", [&] {
        const auto answer = send(entry, {"POST", "/tickets/hold", {}, std::string(100'000, 'x')});
        check(answer.status == 413);
        check(answer.header("Zb-Error") == "request_too_large");
        check(answer.header("Zb-Executed") == "no");
    });
    section("a header over the size limit is refused", [&] {
        const auto answer =
                send(entry, {"GET", "/tickets/seats", {{"X-Long", std::string(20'000, 'x')}}, {}});
        check(answer.status >= 400 && answer.status < 500);
        check(answer.header("Zb-Error") == "bad_request");
    });
    section("a deadline that is not a number is refused", [&] {
        const auto answer =
                send(entry, {"GET", "/tickets/seats", {{"Zb-Deadline-Ms", "soon"}}, {}});
        check(answer.status == 400);
        check(answer.header("Zb-Error") == "bad_request");
    });
    section("a request with an expired deadline is refused", [&] {
        const auto answer = send(entry, {"GET", "/tickets/seats", {{"Zb-Deadline-Ms", "0"}}, {}});
        check(answer.header("Zb-Error") == "deadline_passed");
        check(answer.header("Zb-Executed") == "no");
    });
    section("a request to a service without upstreams is refused", [&] {
        const auto answer = send(entry, {"GET", "/nobody/here", {}, {}});
        check(answer.header("Zb-Error") == "no_upstream");
        check(answer.header("Zb-Executed") == "no");
        check(!answer.header("Retry-After").empty());
    });
    section("broken JSON between processes gets an error", [&] {
        for (const auto *text : {"", "{", "[1,2", R"({"jsonrpc":"2.0","method":7,"id":1})",
                                 R"({"jsonrpc":"2.0","method":"nosuch","params":{},"id":1})"}) {
            const auto answer = send(system.entryRpcAddress(0), {"POST", "/rpc", {}, text});
            check(parseJson(answer.body).isMember("error"));
        }
    });
    section("messages with missing members are refused", [&] {
        for (const auto *method : {"announce", "digest", "report", "usage", "explain", "generation",
                                   "generation_content", "file_status", "file_put"}) {
            try {
                system.rpc(0, method, Json::objectValue);
                cr_expect(false, "%s accepted an empty message", method);
            } catch (const rpc_failure &failure) {
                check(failure.kind() == "bad_request");
            }
        }
    });
    section("the process continues to serve", [&] {
        const auto answer = send(entry, {"GET", "/tickets/seats", {{"Operation", "after"}}, {}});
        check(answer.status == 200);
        const auto metrics = send(entry, {"GET", "/metrics", {}, {}});
        check(contains(metrics.body, "zinniabarrow_refusals_total{reason=\"no_upstream\"}"));
        check(send(entry, {"GET", "/healthz", {}, {}}).status == 200);
        check(send(entry, {"GET", "/readyz", {}, {}}).status == 200);
    });
}

// Guards against a daemon that neither serves nor ends when another process has its address: its
// threads still called parts that were gone.
Test(process_input, address_in_use)
{
    fleet system(smallFleet());
    startAndWait(system);
    constexpr int StartCount = 10;
    for (const auto *role : {"entry", "agent"}) {
        section(std::string("a second ") + role + " with the same settings says so and ends", [&] {
            const auto file = system.scratchFolder() + "/" + role + "-0.json";
            for (int start = 0; start < StartCount; ++start) {
                const auto result = zinniabarrowCommand(system, {role, "--settings", file});
                check(result.exitCode == 1);
                check(contains(result.errors, "cannot listen"));
            }
        });
    }
}
