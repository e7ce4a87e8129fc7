// A small deployment on loopback addresses: the project's own processes, started with the commands
// of the deploy file, with stand-ins of the store, the runners and the clients.
#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>

#include "runner.h"

namespace review {

class process
{
public:
    process(std::string role, std::string settings, std::string log)
        : m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    { }
    ~process() { kill(); }
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    // The command of the deploy file, with a settings file in the temporary folder.
    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execl("target/bin/zinniabarrow", "zinniabarrow", m_role.c_str(), "--settings",
                m_settings.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    // SIGTERM, then SIGKILL after grace-s.
    void stop(std::int64_t graceMs = 6000)
    {
        signal(SIGTERM);
        const auto until = steadyMs() + graceMs;
        while (steadyMs() < until) {
            if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_pid = 0;
                return;
            }
            sleepMs(10);
        }
        kill();
    }
    bool hasEnded()
    {
        int status = 0;
        return m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) == m_pid;
    }

private:
    std::string m_role;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

struct deployment_options
{
    int entries = 3;
    int agents = 11;
    double entryShare = 0.1; // of a core, as in the settings of a small deployment
    int cpu = 16000;
    int memMb = 64000;
    std::int64_t stopMs = 900;
    std::int64_t holdMaxMs = 10'000;
    std::int64_t gangMs = 3000;
    double slowestClock = 1; // rate of the clocks of every third runner
    std::string recordFile;
};

class deployment
{
public:
    static constexpr const char *Host = "nony24.example";
    static constexpr const char *Prefix = "/lohu930/";
    static constexpr const char *Service = "huvo11a";

    explicit deployment(const deployment_options &options)
        : m_options(options)
    {
        m_folder = std::filesystem::temp_directory_path()
                   / ("zb-review-" + std::to_string(::getpid()));
        std::filesystem::create_directories(m_folder);
        all.record.open(options.recordFile);
        chooseAddresses();
        m_storeServer = std::make_unique<server>(
                address{ip(0), 8169}, [this](const request &call) { return data.serve(call); });
        putConfig(7);
        const std::vector<std::string> zones{"kartli-a", "imereti-a", "kartli-b"};
        for (int index = 0; index < options.entries; ++index)
            addEntry(index, zones[static_cast<std::size_t>(index) % zones.size()]);
        for (int index = 0; index < options.agents; ++index)
            addAgent(index, zones[static_cast<std::size_t>(index) % zones.size()]);
    }

    // Ends all processes that it started, removes its folder and ends this process. The stand-ins'
    // threads may still be at work, so nothing is destroyed.
    [[noreturn]] void leave(int code)
    {
        for (auto *group : {&entries, &agents}) {
            for (auto &each : *group)
                each->kill();
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }
        {
            const std::lock_guard lock(all.mutex);
            all.record.flush();
        }
        std::fflush(stdout);
        std::_Exit(code);
    }

    // Waits until all entries are ready and all runners are registered; false: not in time.
    bool waitUntilReady(std::int64_t limitMs = 20'000)
    {
        const auto until = steadyMs() + limitMs;
        while (steadyMs() < until) {
            int ready = 0;
            for (std::size_t index = 0; index < entries.size(); ++index) {
                const auto answer = call({ip(10 + static_cast<int>(index)), 8167}, "GET",
                                         "/-/ready", Host, "", 1000);
                ready += answer && answer->status == 200;
            }
            int beating = 0;
            for (const auto &each : runners)
                beating += each->beatsAcked > 0;
            if (ready == static_cast<int>(entries.size())
                && beating == static_cast<int>(runners.size())) {
                sleepMs(2500); // the agents have their leases and have reported
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    void putConfig(int version, bool hasRoute = true)
    {
        Json::Value config(Json::objectValue);
        config["version"] = version;
        config["routes"] = Json::Value(Json::arrayValue);
        if (hasRoute) {
            Json::Value route(Json::objectValue);
            route["name"] = "r-3hwrr6x";
            route["host"] = Host;
            route["prefix"] = Prefix;
            route["kind"] = "unsafe";
            route["timeout-ms"] = 3000;
            route["target-latency-ms"] = 250;
            route["priority"] = 0;
            route["service"] = Service;
            route["max-attempts"] = maxAttempts;
            route["stretch"] = 1.5;
            config["routes"].append(route);
        }
        Json::Value service(Json::objectValue);
        service["name"] = Service;
        service["health-path"] = "/health";
        service["max-conns"] = 64;
        service["enforces-capacity"] = false;
        config["services"].append(service);
        data.put("op", "config", jsonText(config));
    }

    std::optional<response> callEntry(int entry, const std::string &method, const std::string &id,
                                      const std::string &body = "", std::int64_t timeoutMs = 3000)
    {
        return call({ip(10 + entry), 8161}, method, Prefix + id, Host, body, timeoutMs);
    }

    // Hands the job in as a client does: up to `tries` calls, each at the next entry.
    bool submit(const job &asked, int firstEntry, int tries = 5)
    {
        {
            const std::lock_guard lock(all.mutex);
            all.jobs.emplace(asked.id, asked);
        }
        const auto body = asked.body();
        for (int number = 0; number < tries; ++number) {
            const int entry = (firstEntry + number) % static_cast<int>(entries.size());
            const auto answer = callEntry(entry, "POST", asked.id, body);
            const int status = answer ? answer->status : 0;
            {
                const std::lock_guard lock(all.mutex);
                auto &seen = all.jobs.at(asked.id);
                seen.submitAnswers.push_back(status);
                all.note("POST " + asked.id + " at entry " + std::to_string(entry) + ": "
                         + std::to_string(status));
                if (status >= 200 && status < 300) {
                    seen.accepted = true;
                    seen.acceptedAt = steadyMs();
                    return true;
                }
            }
            if (status == 404 || status == 400)
                return false;
            sleepMs(status == 503 || status == 429 ? 1000 : 200);
        }
        return false;
    }

    // The job's state at an entry; empty: no answer. `410` and other refusals as numbers.
    std::string stateOf(const std::string &id, int entry)
    {
        const auto answer = callEntry(entry, "GET", id);
        if (!answer)
            return {};
        if (answer->status != 200)
            return std::to_string(answer->status);
        return parseJson(answer->body)["state"].asString();
    }

    bool cancel(const std::string &id, int firstEntry, int tries = 4)
    {
        {
            const std::lock_guard lock(all.mutex);
            all.jobs.at(id).cancelSentAt = steadyMs();
        }
        for (int number = 0; number < tries; ++number) {
            const int entry = (firstEntry + number) % static_cast<int>(entries.size());
            const auto answer = callEntry(entry, "DELETE", id);
            const int status = answer ? answer->status : 0;
            const std::lock_guard lock(all.mutex);
            all.note("DELETE " + id + " at entry " + std::to_string(entry) + ": "
                     + std::to_string(status));
            if (status == 200 || status == 410) {
                all.jobs.at(id).cancelAckedAt = steadyMs();
                return true;
            }
        }
        return false;
    }

    void note(const std::string &line)
    {
        const std::lock_guard lock(all.mutex);
        all.note(line);
    }
    std::string ip(int host) const { return m_network + std::to_string(host); }
    const std::filesystem::path &folder() const { return m_folder; }

    world all;
    store data;
    int maxAttempts = 3;
    std::vector<std::unique_ptr<process>> entries;
    std::vector<std::unique_ptr<process>> agents;
    std::vector<std::unique_ptr<runner>> runners;

private:
    static bool isFree(const address &at)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto native = at.native();
        const bool isBound =
                ::bind(socket, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0;
        ::close(socket);
        return isBound;
    }

    // Loopback addresses on which all ports are free.
    void chooseAddresses()
    {
        std::random_device seed;
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_network = "127." + std::to_string(20 + seed() % 200) + "."
                        + std::to_string(1 + seed() % 250) + ".";
            bool areFree = isFree({ip(0), 8169});
            for (int host = 10; host < 100; ++host) {
                for (const int port : {7720, 8161, 8165, 8166, 8167})
                    areFree = areFree && isFree({ip(host), port});
            }
            if (areFree)
                return;
        }
        throw std::runtime_error("no free loopback addresses");
    }

    void addEntry(int index, const std::string &zone)
    {
        const auto name = "front-" + zone + "-" + std::to_string(index + 1);
        const auto host = ip(10 + index);
        Json::Value settings(Json::objectValue); // as platform/entry.json.in is filled in
        settings["id"] = name;
        settings["zone"] = zone;
        settings["callers"] = host + ":8161";
        settings["ready"] = host + ":8167";
        settings["internal"] = host + ":7720";
        settings["store"] = ip(0) + ":8169";
        settings["processor_share"] = m_options.entryShare;
        settings["cores"] = 1;
        entries.push_back(startProcess(name, "job-entry", settings));
    }

    void addAgent(int index, const std::string &zone)
    {
        const auto name = "side-" + zone + "-" + std::to_string(index + 1);
        const auto host = ip(40 + index);
        runner_options options;
        options.id = "i-7f3a" + std::to_string(1000 + index);
        options.service = Service;
        options.zone = zone;
        options.kind = index % 2 == 0 ? "a" : "b";
        options.rack = "r1-" + std::to_string(index / 3);
        options.cpu = m_options.cpu;
        options.memMb = m_options.memMb;
        options.app = {host, 8165};
        options.control = {host, 8166};
        options.stopMs = m_options.stopMs;
        options.holdMaxMs = m_options.holdMaxMs;
        options.gangMs = m_options.gangMs;
        options.clockRate = index % 3 == 2 ? m_options.slowestClock : 1;
        runners.push_back(std::make_unique<runner>(all, options));
        Json::Value settings(Json::objectValue); // as platform/agent.json.in is filled in
        settings["id"] = name;
        settings["zone"] = zone;
        settings["workers"] = host + ":8166";
        settings["internal"] = host + ":7720";
        settings["worker"] = host + ":8165";
        settings["service"] = Service;
        settings["stop_within_ms"] = Json::Int64(m_options.stopMs);
        settings["store"] = ip(0) + ":8169";
        agents.push_back(startProcess(name, "job-agent", settings));
    }

    std::unique_ptr<process> startProcess(const std::string &name, const std::string &role,
                                          const Json::Value &settings)
    {
        const auto file = m_folder / (name + ".json");
        std::ofstream(file) << jsonText(settings);
        auto started = std::make_unique<process>(role, file.string(),
                                                 (m_folder / (name + ".log")).string());
        started->start();
        return started;
    }

    deployment_options m_options;
    std::string m_network;
    std::filesystem::path m_folder;
    std::unique_ptr<server> m_storeServer;
};

// Checks that need the whole history: a start after an end `done` that was taken note of.
inline void checkHistory(world &all)
{
    const std::lock_guard lock(all.mutex);
    for (const auto &[task, indexes] : all.runsOfTask) {
        const auto name = parseTask(task);
        const auto &part = all.jobs.at(name->job).steps[static_cast<std::size_t>(name->step)];
        for (const auto done : indexes) {
            const auto &first = all.runs[done];
            if (first.how != "done" || first.notedAt == 0)
                continue;
            for (const auto index : indexes) {
                const auto &later = all.runs[index];
                const auto grace = part.speculative ? first.notedAt + 1000 : first.endedAt;
                if (later.startedAt > grace && index != done)
                    all.violate("TWICE " + task + " run " + std::to_string(later.run) + " on "
                                + later.runner + " began after run " + std::to_string(first.run)
                                + " was done");
            }
        }
    }
}

} // namespace review
