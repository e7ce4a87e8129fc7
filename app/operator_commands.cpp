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

constexpr milliseconds CallWithin{3000};
constexpr milliseconds PollEvery{50};
constexpr int DefaultFollowMs = 10'000;
struct command_entry
{
    const char *name;
    int (*run)(int count, char **words);
};

// What the commands that talk to an entry share.
class command_line
{
public:
    explicit command_line(const std::string &name)
        : m_command("zinniabarrow " + name, ' ', Version)
        , m_entry("e", "entry", "rpc address of any entry", true, "", "ip:port", m_command)
        , m_json("", "json", "print JSON for programs", m_command)
    {
        m_command.setExceptionHandling(false);
    }

    TCLAP::CmdLine &parser() { return m_command; }
    void parse(int count, char **words) { m_command.parse(count, words); }
    const std::string &entry() { return m_entry.getValue(); }
    bool json() { return m_json.getValue(); }

private:
    TCLAP::CmdLine m_command;
    TCLAP::ValueArg<std::string> m_entry;
    TCLAP::SwitchArg m_json;
};

// Throws error with the refusal's own kind, or NoUpstream when `address` did not answer.
Json::Value callProcess(const std::string &address, const std::string &method,
                        const Json::Value &parameters)
{
    http_pool pool(parseAddress(address));
    const auto transport = [&](const std::string &text) {
        const auto result =
                pool.call({"POST", "/rpc", {}, text}, monotonic_clock::now() + CallWithin);
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

int check(int count, char **words)
{
    TCLAP::CmdLine command("zinniabarrow check", ' ', Version);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg json("", "json", "print JSON for programs", command);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "folder to check", true, "", "DIR",
                                                 command);
    command.parse(count, words);
    const auto result = config::checkFolder(readFolder(folder.getValue()));
    if (json.getValue()) {
        fmt::print("{}\n", prettyJson(config::problemList(result.problems)));
    } else if (result.isAcceptable()) {
        fmt::print("acceptable: {} services, {} jobs, {} pools, {} teams\n",
                   result.whole.services.size(), result.whole.jobs.size(),
                   result.whole.pools.size(), result.whole.teams.size());
    } else {
        fmt::print("{}\n", config::problemTable(result.problems));
    }
    return result.isAcceptable() ? ExitDone : ExitFailed;
}

// --- status --------------------------------------------------------------------------------------

// The answers of the named entry and of every entry it knows.
struct system_status
{
    std::vector<Json::Value> entries;
    std::vector<std::string> unreachable; // addresses
};

system_status askAll(const std::string &address)
{
    system_status all;
    all.entries.push_back(callProcess(address, "status", Json::Value(Json::objectValue)));
    const Json::Value peers = all.entries.front()["peers"];
    for (const auto &peer : peers) {
        try {
            all.entries.push_back(
                    callProcess(peer.asString(), "status", Json::Value(Json::objectValue)));
        } catch (const error &) {
            all.unreachable.push_back(peer.asString());
        }
    }
    return all;
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

void printStatus(const system_status &all)
{
    fmt::print("{}\n",
               config::toTable(config::folderViewFromJson(all.entries.front()["configuration"])));
    printUpstreams(all.entries.front());
    for (const auto &entry : all.entries) {
        for (const auto &shard : entry["scheduling"]["shards"])
            printShard(shard, entry["entry"].asString());
    }
    fmt::print("\n{:<14}{:>10}  {}\n", "ENTRY", "IN FLIGHT", "REFUSED, BY REASON");
    for (const auto &entry : all.entries) {
        fmt::print("{:<14}{:>10}  {}{}\n", entry["entry"].asString(), entry["in_flight"].asUInt(),
                   compactJson(entry["refusals"]), entry["draining"].asBool() ? "  DRAINING" : "");
    }
    for (const auto &address : all.unreachable)
        fmt::print("could not reach the entry at {}\n", address);
}

int status(int count, char **words)
{
    command_line line("status");
    line.parse(count, words);
    const auto all = askAll(line.entry());
    if (line.json()) {
        Json::Value json(Json::objectValue);
        json["entries"] = Json::Value(Json::arrayValue);
        for (const auto &entry : all.entries)
            json["entries"].append(entry);
        json["unreachable"] = Json::Value(Json::arrayValue);
        for (const auto &address : all.unreachable)
            json["unreachable"].append(address);
        fmt::print("{}\n", prettyJson(json));
    } else {
        printStatus(all);
    }
    return all.unreachable.empty() ? ExitDone : ExitFailed;
}

// --- put, remove, follow -------------------------------------------------------------------------

struct follow_request
{
    std::string entry;
    std::string name;
    std::uint64_t version = 0;
    time_point giveUpAt;
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

int followUntilSettled(const follow_request &what)
{
    Json::Value parameters(Json::objectValue);
    parameters["name"] = what.name;
    parameters["version"] = Json::UInt64(what.version);
    const auto startedAt = monotonic_clock::now();
    Json::Value answer;
    while (true) {
        answer = callProcess(what.entry, "file_status", parameters);
        const auto state = answer["follow"].asString();
        if (state != nameOf(config::follow_state::Waiting)) {
            const bool isEverywhere = state == nameOf(config::follow_state::Everywhere);
            const auto waited = millisecondsUntil(monotonic_clock::now(), startedAt);
            answer["waited_ms"] = Json::Int64(waited);
            printFileStatus(answer, what.json);
            if (isEverywhere && !what.json)
                fmt::print("in force everywhere after {} ms\n", waited);
            return isEverywhere ? ExitDone : ExitFailed;
        }
        if (monotonic_clock::now() > what.giveUpAt)
            break;
        std::this_thread::sleep_for(PollEvery);
    }
    printFileStatus(answer, what.json);
    fmt::print(stderr, "not in force everywhere yet: run follow again, or status\n");
    return ExitFailed;
}

int write(const std::string &name, const std::string &method, int count, char **words)
{
    command_line line(name);
    TCLAP::SwitchArg follow("f", "follow", "wait until it is in force everywhere", line.parser());
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "give up following after", false,
                                 DefaultFollowMs, "ms", line.parser());
    TCLAP::ValueArg<std::uint64_t> expected("", "if-version", "write only over this version", false,
                                            0, "version", line.parser());
    TCLAP::UnlabeledValueArg<std::string> file("file", "file of the folder", true, "", "FILE",
                                               line.parser());
    line.parse(count, words);
    Json::Value parameters(Json::objectValue);
    parameters["name"] = std::filesystem::path(file.getValue()).filename().string();
    if (method == "file_put")
        parameters["content"] = readTextFile(file.getValue());
    if (expected.isSet())
        parameters["version"] = Json::UInt64(expected.getValue());
    const auto result = callProcess(line.entry(), method, parameters);
    // A removal's own version is 0: what is followed is the file's absence.
    const auto version = method == "file_put" ? countMember(result, "sequence") : 0;
    if (!follow.getValue()) {
        fmt::print("{} version {}: {}\n", parameters["name"].asString(), version,
                   result["outcome"].asString());
        return result["outcome"] == "applied" ? ExitDone : ExitFailed;
    }
    return followUntilSettled({line.entry(), parameters["name"].asString(), version,
                               monotonic_clock::now() + milliseconds(timeout.getValue()),
                               line.json()});
}

int put(int count, char **words)
{
    return write("put", "file_put", count, words);
}

int removeFile(int count, char **words)
{
    return write("remove", "file_remove", count, words);
}

int follow(int count, char **words)
{
    command_line line("follow");
    TCLAP::ValueArg<std::uint64_t> version("", "file-version", "of the file; 0: its absence", true,
                                           0, "version", line.parser());
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "give up after", false, DefaultFollowMs, "ms",
                                 line.parser());
    TCLAP::UnlabeledValueArg<std::string> name("name", "file of the folder", true, "", "NAME",
                                               line.parser());
    line.parse(count, words);
    return followUntilSettled({line.entry(), name.getValue(), version.getValue(),
                               monotonic_clock::now() + milliseconds(timeout.getValue()),
                               line.json()});
}

// --- explain, drain, check-trace -----------------------------------------------------------------

int explain(int count, char **words)
{
    command_line line("explain");
    TCLAP::UnlabeledValueArg<std::string> task("task", "task", true, "", "JOB/INDEX",
                                               line.parser());
    line.parse(count, words);
    Json::Value parameters(Json::objectValue);
    parameters["task"] = task.getValue();
    auto addresses = std::vector<std::string>{line.entry()};
    const auto here = callProcess(line.entry(), "status", Json::Value(Json::objectValue));
    for (const auto &peer : here["peers"])
        addresses.push_back(peer.asString());
    for (const auto &address : addresses) {
        try {
            const auto answer = callProcess(address, "explain", parameters);
            if (!answer.isMember("reason"))
                continue;
            fmt::print("{}\n", line.json() ? prettyJson(answer) : answer["reason"].asString());
            return ExitDone;
        } catch (const error &problem) {
            if (problem.kind() == error_kind::BadRequest)
                throw;
            fmt::print(stderr, "{}\n", problem.what());
        }
    }
    fmt::print(stderr, "no entry that answered schedules {}\n", task.getValue());
    return ExitFailed;
}

int drain(int count, char **words)
{
    command_line line("drain");
    TCLAP::UnlabeledValueArg<std::string> agent("agent", "agent beside the upstream", true, "",
                                                "AGENT", line.parser());
    line.parse(count, words);
    const auto here = callProcess(line.entry(), "status", Json::Value(Json::objectValue));
    for (const auto &upstream : here["upstreams"]) {
        if (upstream["agentId"].asString() != agent.getValue())
            continue;
        callProcess(upstream["address"].asString(), "drain", Json::Value(Json::objectValue));
        fmt::print("{} is draining: it takes no new requests and tasks\n", agent.getValue());
        return ExitDone;
    }
    fmt::print(stderr, "no upstream in service has the agent {}: see status\n", agent.getValue());
    return ExitFailed;
}

int checkTrace(int count, char **words)
{
    TCLAP::CmdLine command("zinniabarrow check-trace", ' ', Version);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg complete("", "complete", "the system was given time to finish", command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "JSON lines", true, "", "FILE", command);
    command.parse(count, words);
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
        command_entry{"check", check},   command_entry{"status", status},
        command_entry{"put", put},       command_entry{"remove", removeFile},
        command_entry{"follow", follow}, command_entry{"explain", explain},
        command_entry{"drain", drain},   command_entry{"check-trace", checkTrace},
};

const command_entry *commandNamed(const std::string &name)
{
    const auto found = std::find_if(Commands.begin(), Commands.end(),
                                    [&](const auto &command) { return name == command.name; });
    return found == Commands.end() ? nullptr : &*found;
}

} // namespace

bool isOperatorCommand(const std::string &name)
{
    return commandNamed(name) != nullptr;
}

int runOperatorCommand(const std::string &name, int count, char **words)
{
    return commandNamed(name)->run(count, words);
}

} // namespace zinniabarrow
