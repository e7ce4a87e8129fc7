// Parts of test fixtures that run entries and agents as real processes beside the stand-in of the
// platform: addresses, settings, the processes with their logs, calls, and the operator's writes.
#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

#include <fmt/core.h>

#include "base/json.h"
#include "runtime/http.h"
#include "standins/fleet.h"

namespace zinniabarrow::tests {

using standins::child_process;
using standins::waitUntil;

inline constexpr milliseconds WaitLimit{45'000}; // upper bound on waits for conditions
inline constexpr int InternalPort = 7720;
inline constexpr int CallersPort = 8161;
inline constexpr int ReadyPort = 8167;
inline constexpr int WorkersPort = 8166;
inline constexpr int StorePort = 9000;
inline constexpr int FirstWorkerPort = 9001;

// Loopback addresses that are unique to this test process, so that fixed ports are free there.
inline std::string hostAddress(int number)
{
    const int pid = getpid();
    return fmt::format("127.{}.{}.{}", 64 + (pid >> 14) % 64, (pid >> 7) % 128,
                       (pid % 128) + 128 * (number % 2));
}

// Process 0 is the test with the platform's stand-in; the others are numbered from 2 on.
inline std::string processAddress(int process, int port)
{
    // Uses two hosts; each process on a host has its own range of ports.
    return fmt::format("{}:{}", hostAddress(process), port + 20 * (process / 2));
}

struct entry_process
{
    std::string id;
    int process = 2; // as for processAddress()
    std::string storeAddress = processAddress(0, StorePort);
    double processorShare = 1; // of one core
    // Where the other processes reach its internal address; empty: there itself.
    std::string advertisedAddress = {};
    std::int64_t requestMemoryBytes = 0; // of all its callers' requests; 0: the default
};

// The member of the settings that tells it, if it differs from the internal address.
inline std::string advertiseMember(const std::string &address)
{
    return address.empty() ? "" : fmt::format(R"("internal_advertise":"{}",)", address);
}

inline std::string requestMemoryMember(std::int64_t bytes)
{
    return bytes == 0 ? "" : fmt::format(R"("request_memory_bytes":{},)", bytes);
}

inline std::string settingsOf(const entry_process &entry)
{
    return fmt::format(
            R"({{"id":"{}","zone":"z","callers":"{}","ready":"{}",)"
            R"("internal":"{}",{}{}"store":"{}","processor_share":{}}})",
            entry.id, processAddress(entry.process, CallersPort),
            processAddress(entry.process, ReadyPort), processAddress(entry.process, InternalPort),
            advertiseMember(entry.advertisedAddress), requestMemoryMember(entry.requestMemoryBytes),
            entry.storeAddress, entry.processorShare);
}

struct agent_process
{
    std::string id;
    int process = 4; // as for processAddress()
    std::string workerAddress;
    std::string storeAddress = processAddress(0, StorePort);
    milliseconds stopTime{100};         // of its worker's runs, at most
    std::string advertisedAddress = {}; // as entry_process
};

inline std::string settingsOf(const agent_process &agent)
{
    return fmt::format(R"({{"id":"{}","zone":"z","workers":"{}","internal":"{}",)"
                       R"({}"worker":"{}","service":"tickets","stop_within_ms":{},)"
                       R"("store":"{}"}})",
                       agent.id, processAddress(agent.process, WorkersPort),
                       processAddress(agent.process, InternalPort),
                       advertiseMember(agent.advertisedAddress), agent.workerAddress,
                       agent.stopTime.count(), agent.storeAddress);
}

// The processes by name, with their settings and logs in a scratch folder. Destroying it kills the
// processes and removes the folder.
class job_processes
{
public:
    explicit job_processes(const std::string &folderName)
        : m_scratch(std::filesystem::temp_directory_path() / folderName)
    {
        std::filesystem::create_directories(m_scratch);
    }
    ~job_processes()
    {
        m_processes.clear();
        std::filesystem::remove_all(m_scratch);
    }
    job_processes(const job_processes &) = delete;
    job_processes &operator=(const job_processes &) = delete;

    child_process &at(const std::string &name) const { return *m_processes.at(name); }
    const std::filesystem::path &scratch() const { return m_scratch; }

    // A process of the same name is killed before.
    void start(const std::string &name, const std::string &role, const std::string &settings)
    {
        m_processes.erase(name);
        const auto file = (m_scratch / (name + ".json")).string();
        std::ofstream(file) << settings;
        m_processes[name] = std::make_unique<child_process>(
                std::vector<std::string>{std::string(ZB_BINARIES) + "/zinniabarrow", role,
                                         "--settings", file},
                (m_scratch / (name + ".out")).string(), (m_scratch / (name + ".err")).string());
    }

    // The log of all incarnations of a process, from a byte offset on.
    std::string logText(const std::string &name, std::size_t from = 0) const
    {
        std::ifstream lines(m_processes.at(name)->outFile());
        lines.seekg(static_cast<std::streamoff>(from));
        return {std::istreambuf_iterator<char>(lines), {}};
    }

    // 0 if it was never started.
    std::uintmax_t logBytes(const std::string &name) const
    {
        const auto found = m_processes.find(name);
        return found == m_processes.end() ? 0
                                          : std::filesystem::file_size(found->second->outFile());
    }

private:
    std::filesystem::path m_scratch;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

// None: no answer within `timeout`.
inline std::optional<http_response> callAddress(const std::string &address,
                                                const http_request &request, milliseconds timeout)
{
    http_pool pool(parseAddress(address));
    const auto result = pool.call(request, monotonic_clock::now() + timeout);
    const auto *answer = std::get_if<http_response>(&result);
    return answer == nullptr ? std::nullopt : std::optional(*answer);
}

// Whether the entry with this number tells the load balancer that it is ready.
inline bool isEntryReady(int process)
{
    http_request request;
    request.target = "/-/ready";
    const auto answer = callAddress(processAddress(process, ReadyPort), request, seconds(1));
    return answer && answer->status == 200;
}

inline std::string base64(const std::string &text)
{
    constexpr const char *Alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t from = 0; from < text.size(); from += 3) {
        unsigned value = 0;
        for (std::size_t index = from; index < from + 3; ++index)
            value = value << 8
                    | (index < text.size() ? static_cast<unsigned char>(text[index]) : 0U);
        for (std::size_t position = 0; position < 4; ++position) {
            const bool isPadding = position > text.size() - from;
            result += isPadding ? '=' : Alphabet[value >> (18 - 6 * position) & 63];
        }
    }
    return result;
}

inline Json::Value operatorRow(const std::string &key)
{
    Json::Value row(Json::objectValue);
    row["table"] = "op";
    row["part"] = "";
    row["key"] = key;
    return row;
}

// `operation`: "set-keys" or "remove".
inline void writeAsOperator(const char *operation, const Json::Value &row)
{
    http_request request;
    request.method = "POST";
    request.target = "/-/rows-tx";
    Json::Value body(Json::objectValue);
    body[operation].append(row);
    request.body = compactJson(body);
    callAddress(processAddress(0, StorePort), request, seconds(5));
}

// One route per host of the entries: http_pool sends the peer's address as the host.
inline void putConfiguration(int version)
{
    std::string routes;
    for (const int process : {2, 3}) {
        routes += fmt::format(R"({}{{"name":"r{}","host":"{}","prefix":"/holds/",)"
                              R"("service":"tickets","max-attempts":2,"stretch":1.5}})",
                              routes.empty() ? "" : ",", process, hostAddress(process));
    }
    const auto text = fmt::format(R"({{"version":{},"routes":[{}]}})", version, routes);
    auto row = operatorRow("config");
    row["value"] = base64(text);
    writeAsOperator("set-keys", row);
}

} // namespace zinniabarrow::tests
