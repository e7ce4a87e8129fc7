#include "app/operator_commands.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "app/process.h"
#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "config/operator_view.h"
#include "config/validate.h"
#include "rpc/rpc.h"
#include "runtime/http.h"
#include "work/trace_checker.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds CallTimeout{3000};
constexpr milliseconds PollInterval{50}; // between two queries while following a file
constexpr int DefaultFollowMs = 10'000;

struct operator_command
{
    const char *name;
    int (*run)(int count, char **argv);
};

// Arguments shared by all commands that talk to an entry.
class command_line
{
public:
    explicit command_line(const std::string &name)
        : m_command("zinniabarrow " + name, ' ', Version)
        , m_entry("e", "entry", "rpc address of any entry", true, "", "ip:port", m_command)
        , m_json("", "json", "print JSON instead of text", m_command)
    {
        m_command.setExceptionHandling(false);
    }

    TCLAP::CmdLine &parser() { return m_command; }
    void parse(int count, char **arguments) { m_command.parse(count, arguments); }
    const std::string &entry() { return m_entry.getValue(); }
    bool json() { return m_json.getValue(); }

private:
    TCLAP::CmdLine m_command;
    TCLAP::ValueArg<std::string> m_entry;
    TCLAP::SwitchArg m_json;
};

// Calls a JSON-RPC method of the process at `address`. Throws `error` with the kind that the
// process returned, or NoUpstream if there was no answer.
Json::Value callProcess(const std::string &address, const std::string &method,
                        const Json::Value &parameters)
{
    http_pool pool(parseAddress(address));
    const auto transport = [&](const std::string &text) {
        const auto result =
                pool.call({"POST", "/rpc", {}, text}, monotonic_clock::now() + CallTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200)
            throw std::runtime_error("no answer from " + address + ": ask another entry");
        return response->body;
    };
    try {
        return rpcCall(transport, method, parameters);
    } catch (const rpc_failure &failure) {
        const auto kind = errorKindNamed(failure.kind()).value_or(error_kind::NoUpstream);
        throw error(kind, failure.what());
    }
}

// --- check ---------------------------------------------------------------------------------------

std::vector<config::folder_file> readFolder(const std::string &path)
{
    std::vector<config::folder_file> files;
    std::error_code problem;
    for (const auto &entry : std::filesystem::directory_iterator(path, problem)) {
        const auto name = entry.path().filename().string();
        if (config::isFolderFile(name))
            files.push_back({name, readTextFile(entry.path().string())});
    }
    if (problem)
        throw error(error_kind::BadConfiguration, path + ": " + problem.message());
    return files;
}

int check(int count, char **arguments)
{
    TCLAP::CmdLine command("zinniabarrow check", ' ', Version);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg json("", "json", "print JSON instead of text", command);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "folder to check", true, "", "DIR",
                                                 command);
    command.parse(count, arguments);
    const auto result = config::checkFolder(readFolder(folder.getValue()));
    if (json.getValue()) {
        fmt::print("{}\n", prettyJson(config::problemsToJson(result.problems)));
    } else if (result.isAcceptable()) {
        fmt::print("acceptable: {} services, {} jobs, {} pools, {} teams\n",
                   result.mergedConfig.services.size(), result.mergedConfig.jobs.size(),
                   result.mergedConfig.pools.size(), result.mergedConfig.teams.size());
    } else {
        fmt::print("{}\n", config::problemTable(result.problems));
    }
    return result.isAcceptable() ? ExitDone : ExitFailed;
}

// --- status --------------------------------------------------------------------------------------

// Status of the given entry and of all its peers.
struct system_status
{
    std::vector<Json::Value> entries;
    std::vector<std::string> unreachable; // rpc addresses of peers that did not answer
};

system_status collectStatus(const std::string &address)
{
    system_status collected;
    collected.entries.push_back(callProcess(address, "status", Json::Value(Json::objectValue)));
    const Json::Value peers = collected.entries.front()["peers"];
    for (const auto &peer : peers) {
        try {
            collected.entries.push_back(
                    callProcess(peer.asString(), "status", Json::Value(Json::objectValue)));
        } catch (const error &) {
            collected.unreachable.push_back(peer.asString());
        }
    }
    return collected;
}

void printUpstreams(const Json::Value &entry)
{
    fmt::print("\n{:<14}{:<14}{:<22}{:>6}{:>10}{:>8}\n", "UPSTREAM", "SERVICE", "ADDRESS", "SLOTS",
               "RUNNING", "WAITING");
    for (const auto &upstream : entry["upstreams"]) {
        fmt::print("{:<14}{:<14}{:<22}{:>6}{:>10}{:>8}\n", upstream["agentId"].asString(),
                   upstream["service"].asString(), upstream["address"].asString(),
                   upstream["slots"].asInt(), upstream["inFlight"].asInt(),
                   upstream["queued"].asInt());
    }
}

void printShard(const Json::Value &shard, const std::string &owner)
{
    fmt::print("\nshard {} of {}, epoch {}{}\n", shard["shard"].asInt(), owner,
               shard["epoch"].asUInt64(), shard["table_down"].asBool() ? ", TABLE DOWN" : "");
    fmt::print("{:<14}{:>7}{:>22}{:>34}\n", "WORKER", "TASKS", "MILLICORES", "BYTES");
    for (const auto &worker : shard["workers"]) {
        const auto used = [&](const char *name) {
            return fmt::format("{} of {}", worker["reserved"][name].asInt64(),
                               worker["size"][name].asInt64());
        };
        fmt::print("{:<14}{:>7}{:>22}{:>34}\n", worker["id"].asString(), worker["tasks"].asUInt(),
                   used("millicores"), used("bytes"));
    }
    fmt::print("{:<24}{}\n", "JOB", "TASKS BY STATE");
    for (const auto &job : shard["jobs"].getMemberNames())
        fmt::print("{:<24}{}\n", job, compactJson(shard["jobs"][job]));
    for (const auto &task : shard["refused"].getMemberNames())
        fmt::print("refused {}: {}\n", task, shard["refused"][task].asString());
}

void printStatus(const system_status &collected)
{
    fmt::print("{}\n", config::toTable(config::folderViewFromJson(
                               collected.entries.front()["configuration"])));
    printUpstreams(collected.entries.front());
    for (const auto &entry : collected.entries) {
        for (const auto &shard : entry["scheduling"]["shards"])
            printShard(shard, entry["entry"].asString());
    }
    fmt::print("\n{:<14}{:>10}  {}\n", "ENTRY", "IN FLIGHT", "REFUSED, BY REASON");
    for (const auto &entry : collected.entries) {
        fmt::print("{:<14}{:>10}  {}{}\n", entry["entry"].asString(), entry["in_flight"].asUInt(),
                   compactJson(entry["refusals"]), entry["draining"].asBool() ? "  DRAINING" : "");
    }
    for (const auto &address : collected.unreachable)
        fmt::print("could not reach the entry at {}\n", address);
}

int status(int count, char **arguments)
{
    command_line commandLine("status");
    commandLine.parse(count, arguments);
    const auto collected = collectStatus(commandLine.entry());
    if (commandLine.json()) {
        Json::Value json(Json::objectValue);
        json["entries"] = Json::Value(Json::arrayValue);
        for (const auto &entry : collected.entries)
            json["entries"].append(entry);
        json["unreachable"] = Json::Value(Json::arrayValue);
        for (const auto &address : collected.unreachable)
            json["unreachable"].append(address);
        fmt::print("{}\n", prettyJson(json));
    } else {
        printStatus(collected);
    }
    return collected.unreachable.empty() ? ExitDone : ExitFailed;
}

// --- put, remove, follow -------------------------------------------------------------------------

// What `put --follow`, `remove --follow` and `follow` wait for.
struct follow_request
{
    std::string entry;
    std::string name;
    std::uint64_t version = 0; // 0: the removal of the file
    time_point deadline;
    bool json = false;
};

void printFileStatus(const Json::Value &answer, bool json)
{
    if (json) {
        fmt::print("{}\n", prettyJson(answer));
        return;
    }
    const auto file = config::fileStatusFromJson(answer["status"]);
    fmt::print("{}: {} (generation {}){}{}\n", file.name, nameOf(file.state), file.generation,
               file.reason.empty() ? "" : ": ", file.reason);
    if (!file.problems.empty())
        fmt::print("{}\n", config::problemTable(file.problems));
}

int followUntilFinished(const follow_request &followRequest)
{
    Json::Value parameters(Json::objectValue);
    parameters["name"] = followRequest.name;
    parameters["version"] = Json::UInt64(followRequest.version);
    const auto startedAt = monotonic_clock::now();
    Json::Value answer;
    while (true) {
        answer = callProcess(followRequest.entry, "file_status", parameters);
        const auto state = answer["follow"].asString();
        if (state != nameOf(config::rollout_state::Waiting)) {
            const bool isEverywhere = state == nameOf(config::rollout_state::InForceEverywhere);
            const auto waited = millisecondsUntil(monotonic_clock::now(), startedAt);
            answer["waited_ms"] = Json::Int64(waited);
            printFileStatus(answer, followRequest.json);
            if (isEverywhere && !followRequest.json)
                fmt::print("in force everywhere after {} ms\n", waited);
            return isEverywhere ? ExitDone : ExitFailed;
        }
        if (monotonic_clock::now() > followRequest.deadline)
            break;
        std::this_thread::sleep_for(PollInterval);
    }
    printFileStatus(answer, followRequest.json);
    fmt::print(stderr, "not in force everywhere yet: run follow again, or check status\n");
    return ExitFailed;
}

int writeFolderFile(const std::string &name, const std::string &method, int count, char **arguments)
{
    command_line commandLine(name);
    TCLAP::SwitchArg follow("f", "follow", "wait until it is in force everywhere",
                            commandLine.parser());
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "give up following after", false,
                                 DefaultFollowMs, "ms", commandLine.parser());
    TCLAP::ValueArg<std::uint64_t> expected("", "if-version",
                                            "write only if the file has this version", false, 0,
                                            "version", commandLine.parser());
    TCLAP::UnlabeledValueArg<std::string> file("file", "file of the folder", true, "", "FILE",
                                               commandLine.parser());
    commandLine.parse(count, arguments);
    Json::Value parameters(Json::objectValue);
    parameters["name"] = std::filesystem::path(file.getValue()).filename().string();
    if (method == "file_put")
        parameters["content"] = readTextFile(file.getValue());
    if (expected.isSet())
        parameters["version"] = Json::UInt64(expected.getValue());
    const auto result = callProcess(commandLine.entry(), method, parameters);
    // A removal has version 0: the command then waits for the file's absence.
    const auto version = method == "file_put" ? countMember(result, "sequence") : 0;
    if (!follow.getValue()) {
        fmt::print("{} version {}: {}\n", parameters["name"].asString(), version,
                   result["outcome"].asString());
        return result["outcome"] == "applied" ? ExitDone : ExitFailed;
    }
    return followUntilFinished({commandLine.entry(), parameters["name"].asString(), version,
                                monotonic_clock::now() + milliseconds(timeout.getValue()),
                                commandLine.json()});
}

int put(int count, char **arguments)
{
    return writeFolderFile("put", "file_put", count, arguments);
}

int removeFile(int count, char **arguments)
{
    return writeFolderFile("remove", "file_remove", count, arguments);
}

int follow(int count, char **arguments)
{
    command_line commandLine("follow");
    TCLAP::ValueArg<std::uint64_t> version("", "file-version",
                                           "version of the file; 0: its absence", true, 0,
                                           "version", commandLine.parser());
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "give up after", false, DefaultFollowMs, "ms",
                                 commandLine.parser());
    TCLAP::UnlabeledValueArg<std::string> name("name", "file of the folder", true, "", "NAME",
                                               commandLine.parser());
    commandLine.parse(count, arguments);
    return followUntilFinished({commandLine.entry(), name.getValue(), version.getValue(),
                                monotonic_clock::now() + milliseconds(timeout.getValue()),
                                commandLine.json()});
}

// --- explain, drain, check-trace -----------------------------------------------------------------

int explain(int count, char **arguments)
{
    command_line commandLine("explain");
    TCLAP::UnlabeledValueArg<std::string> task("task", "task", true, "", "JOB/INDEX",
                                               commandLine.parser());
    commandLine.parse(count, arguments);
    Json::Value parameters(Json::objectValue);
    parameters["task"] = task.getValue();
    auto addresses = std::vector<std::string>{commandLine.entry()};
    const auto localStatus =
            callProcess(commandLine.entry(), "status", Json::Value(Json::objectValue));
    for (const auto &peer : localStatus["peers"])
        addresses.push_back(peer.asString());
    for (const auto &address : addresses) {
        try {
            const auto answer = callProcess(address, "explain", parameters);
            if (!answer.isMember("reason"))
                continue;
            fmt::print("{}\n",
                       commandLine.json() ? prettyJson(answer) : answer["reason"].asString());
            return ExitDone;
        } catch (const error &problem) {
            if (problem.kind() == error_kind::BadRequest)
                throw;
            fmt::print(stderr, "{}\n", problem.what());
        }
    }
    fmt::print(stderr, "none of the entries that answered schedules {}\n", task.getValue());
    return ExitFailed;
}

int drain(int count, char **arguments)
{
    command_line commandLine("drain");
    TCLAP::UnlabeledValueArg<std::string> agent("agent", "agent beside the upstream", true, "",
                                                "AGENT", commandLine.parser());
    commandLine.parse(count, arguments);
    const auto localStatus =
            callProcess(commandLine.entry(), "status", Json::Value(Json::objectValue));
    for (const auto &upstream : localStatus["upstreams"]) {
        if (upstream["agentId"].asString() != agent.getValue())
            continue;
        callProcess(upstream["address"].asString(), "drain", Json::Value(Json::objectValue));
        fmt::print("{} is draining: it takes no new requests and tasks\n", agent.getValue());
        return ExitDone;
    }
    fmt::print(stderr, "agent {} has no known upstream: see status\n", agent.getValue());
    return ExitFailed;
}

int checkTrace(int count, char **arguments)
{
    TCLAP::CmdLine command("zinniabarrow check-trace", ' ', Version);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg complete("", "complete", "the trace ends after the system had time to finish",
                              command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "JSON lines", true, "", "FILE", command);
    command.parse(count, arguments);
    std::ifstream lines(file.getValue());
    if (!lines)
        throw error(error_kind::BadRequest, file.getValue() + ": cannot be read");
    const auto violations = work::checkTrace(lines, complete.getValue());
    for (const auto &violation : violations)
        fmt::print("line {}: {}: {}\n", violation.line, nameOf(violation.kind), violation.detail);
    fmt::print("{} violations\n", violations.size());
    return violations.empty() ? ExitDone : ExitFailed;
}

constexpr std::array Commands{
        operator_command{"check", check},   operator_command{"status", status},
        operator_command{"put", put},       operator_command{"remove", removeFile},
        operator_command{"follow", follow}, operator_command{"explain", explain},
        operator_command{"drain", drain},   operator_command{"check-trace", checkTrace},
};

const operator_command *findCommand(const std::string &name)
{
    const auto found = std::find_if(Commands.begin(), Commands.end(),
                                    [&](const auto &command) { return name == command.name; });
    return found == Commands.end() ? nullptr : &*found;
}

} // namespace

bool isOperatorCommand(const std::string &name)
{
    return findCommand(name) != nullptr;
}

int runOperatorCommand(const std::string &name, int count, char **arguments)
{
    return findCommand(name)->run(count, arguments);
}

} // namespace zinniabarrow
