// The operators' folder on real processes: adding, editing and removing files, concurrent edits,
// refusals, and an outage during a change.
#include <fstream>

#include "base/json.h"
#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// Runs operators' commands against the fleet, as processes of their own.
class operator_client
{
public:
    explicit operator_client(fleet &system)
        : m_system(system)
    { }

    // Runs the command `words` with the rpc address of this entry.
    command_result run(unsigned entry, std::vector<std::string> words)
    {
        std::vector<std::string> command{m_system.options().binaries + "/zinniabarrow", words[0],
                                         "--entry", m_system.entryRpcAddress(entry)};
        command.insert(command.end(), words.begin() + 1, words.end());
        return runCommand(command, m_system.scratchFolder());
    }

    // Writes a file to put, and returns its path.
    std::string file(const std::string &name, const Json::Value &content)
    {
        const auto path = m_system.scratchFolder() + "/" + name;
        std::ofstream(path) << prettyJson(content);
        return path;
    }

    command_result put(unsigned entry, const std::string &name, const Json::Value &content)
    {
        return run(entry, {"put", "--follow", "--timeout-ms", std::to_string(WaitLimit.count()),
                           file(name, content)});
    }

private:
    fleet &m_system;
};

std::uint64_t generationAt(fleet &system, unsigned entry)
{
    const auto status = system.rpc(entry, "status", Json::objectValue);
    return status["configuration"]["here"]["generation"].asUInt64();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// An operator's edit either comes into force everywhere, or is refused with file, line and reason
// and changes nothing; a corrected edit is accepted. generations_test checks in virtual time that
// this takes less than four seconds, with a fault injected at any step; here the command prints how
// long it took.
Test(process_config, edits)
{
    fleet system(smallFleet());
    startAndWait(system);
    operator_client operatorClient(system);
    section("a whole folder is accepted", [&] {
        check(operatorClient.put(0, "10-base.json", makeBaseConfig(system.options())).exitCode
              == 0);
        check(generationAt(system, 2) == 1);
    });
    section("an edit through another entry is in force everywhere", [&] {
        const auto result = operatorClient.put(1, "20-batch.json", makeBatchConfig({}));
        check(result.exitCode == 0);
        check(contains(result.output, "in force everywhere after "));
        for (unsigned entry = 0; entry < 3; ++entry)
            check(generationAt(system, entry) == 2);
    });
    section("an edit that exceeds the limits is refused, the generation stays", [&] {
        batch_options huge;
        huge.millicores = 99'000'000;
        const auto result = operatorClient.put(2, "20-batch.json", makeBatchConfig(huge));
        check(result.exitCode == 1);
        check(contains(result.output, "refused"));
        check(contains(result.output, "20-batch.json:"));
        check(generationAt(system, 0) == 2);
    });
    section("the corrected edit is accepted", [&] {
        batch_options repaired;
        repaired.tasks = 41;
        check(operatorClient.put(0, "20-batch.json", makeBatchConfig(repaired)).exitCode == 0);
        check(generationAt(system, 1) == 3);
    });
    section("a removal is in force everywhere", [&] {
        check(operatorClient.run(1, {"remove", "--follow", "20-batch.json"}).exitCode == 0);
        check(generationAt(system, 0) == 4);
    });
}

// Two operators write the same file at once. The writes are ordered: one operator sees `in force`,
// the other `superseded` (or `in force`, if it was before the other write), and all entries end
// with the same content.
Test(process_config, concurrent_edits)
{
    fleet system(smallFleet());
    startAndWait(system);
    operator_client operatorClient(system);
    require(operatorClient.put(0, "10-base.json", makeBaseConfig(system.options())).exitCode == 0);
    std::vector<command_result> results(2);
    std::vector<std::thread> operators;
    for (unsigned index = 0; index < 2; ++index) {
        batch_options batch;
        batch.tasks = static_cast<int>(10 + index);
        operators.emplace_back([&, index, batch] {
            const auto name = "20-batch.json";
            operator_client ownClient(system);
            const auto folder = system.scratchFolder() + "/operator-" + std::to_string(index);
            check(runCommand({"/bin/mkdir", "-p", folder}, folder.substr(0, folder.rfind('/')))
                          .exitCode
                  == 0);
            std::ofstream(folder + "/" + name) << prettyJson(makeBatchConfig(batch));
            results[index] = ownClient.run(
                    index, {"put", "--follow", "--timeout-ms", "10000", folder + "/" + name});
        });
    }
    for (auto &each : operators)
        each.join();
    section("each operator gets the result for its file", [&] {
        unsigned inForce = 0;
        for (const auto &result : results) {
            const bool isReported =
                    contains(result.output, "in force") || contains(result.output, "superseded");
            check(isReported);
            inForce += contains(result.output, "in force") ? 1 : 0;
        }
        check(inForce >= 1);
    });
    section("every entry has the same content in force", [&] {
        const auto digestAt = [&](unsigned entry) {
            return system.rpc(entry, "status", Json::objectValue)["configuration"]["here"]["digest"]
                    .asString();
        };
        check(waitUntil([&] { return digestAt(0) == digestAt(1) && digestAt(1) == digestAt(2); },
                        WaitLimit));
    });
}

// The platform goes down during a change and an entry is replaced meanwhile. The accepted
// generation stays in force everywhere and never decreases; the edit is accepted once the platform
// is back.
Test(process_config, outage_during_change)
{
    fleet system(smallFleet());
    startAndWait(system);
    operator_client operatorClient(system);
    require(operatorClient.put(0, "10-base.json", makeBaseConfig(system.options())).exitCode == 0);
    Json::Value fault(Json::objectValue);
    section("the edit is written, then the platform goes down", [&] {
        system.putFolderFile("20-batch.json", makeBatchConfig({}));
        fault["down"] = true;
        system.setFault(system.platformAddress(), fault);
    });
    const auto minGeneration = generationAt(system, 1);
    section("an entry replaced during the outage gets the generation from its peers", [&] {
        system.entry(0)->signal(SIGKILL);
        system.entry(0)->waitForExit(WaitLimit);
        system.startEntry(0);
        system.waitForEntry(0);
        check(generationAt(system, 0) >= minGeneration);
    });
    section("the platform comes back: the edit is in force at every entry", [&] {
        fault["down"] = false;
        system.setFault(system.platformAddress(), fault);
        check(waitUntil(
                [&] {
                    return generationAt(system, 0) == 2 && generationAt(system, 1) == 2
                           && generationAt(system, 2) == 2;
                },
                WaitLimit));
    });
}

// The operators' documentation names these commands; each is run as written there.
Test(process_config, commands)
{
    fleet system(smallFleet());
    startAndWait(system);
    operator_client operatorClient(system);
    batch_options batch;
    batch.runMs = 60'000;
    require(operatorClient.put(0, "10-base.json", makeBaseConfig(system.options())).exitCode == 0);
    section("put prints the version that follow waits for", [&] {
        const auto put = operatorClient.run(
                1, {"put", operatorClient.file("20-batch.json", makeBatchConfig(batch))});
        check(put.exitCode == 0);
        const auto from = put.output.find("version ") + 8;
        const auto version = put.output.substr(from, put.output.find(':') - from);
        const auto followed =
                operatorClient.run(2, {"follow", "--file-version", version, "20-batch.json"});
        check(followed.exitCode == 0);
        check(contains(followed.output, "in force"));
    });
    require(waitUntil([&] { return countTraced(system, "started", batch.job) > 0; }, WaitLimit));
    section("status prints a table or JSON", [&] {
        const auto table = operatorClient.run(0, {"status"});
        check(table.exitCode == 0);
        for (const auto *part : {"20-batch.json", "agent-3", "worker-3", "season@", "entry-2"})
            check(contains(table.output, part));
        const auto json = parseJson(operatorClient.run(0, {"status", "--json"}).output);
        check(json["entries"].size() == 3);
        check(json["unreachable"].empty());
    });
    section("explain tells where a task is, and fails for an unknown task", [&] {
        const auto states = countTasksByState(system, batch.job);
        check(!states.empty());
        std::string taskId;
        for (const auto &line : system.workerTrace()) {
            if (line["event"] == "started" && contains(line["task"].asString(), "season@"))
                taskId = line["task"].asString();
        }
        const auto known = operatorClient.run(1, {"explain", taskId});
        check(known.exitCode == 0);
        check(contains(known.output, "worker-"));
        check(operatorClient.run(1, {"explain", "nothing@1/0"}).exitCode == 1);
    });
    section("drain makes an agent exit, and fails for an unknown agent", [&] {
        check(operatorClient.run(2, {"drain", "agent-3"}).exitCode == 0);
        check(system.agent(3)->waitForExit(WaitLimit) == 0);
        check(operatorClient.run(2, {"drain", "nobody"}).exitCode == 1);
    });
    section("status names an entry that it could not reach", [&] {
        system.entry(2)->signal(SIGKILL);
        system.entry(2)->waitForExit(WaitLimit);
        const auto status = operatorClient.run(0, {"status"});
        check(status.exitCode == 1);
        check(contains(status.output, "could not reach the entry at " + system.entryRpcAddress(2)));
    });
}
