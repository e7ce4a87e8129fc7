#include "standins/fleet.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/json.h"
#include "rpc/rpc.h"

namespace zinniabarrow::standins {

namespace {

constexpr int PlatformPort = 20000;
constexpr int EntryPort = 20100;
constexpr int EntryRpcPort = 20200;
constexpr int WorkerPort = 21000;
constexpr int UpstreamPort = 22000;
constexpr int AgentPort = 23000;
constexpr int DuplicateAgentPort = 24000;
constexpr int LinkPort = 25000;
constexpr unsigned WorkersPerRack = 3;
constexpr milliseconds StartTimeout{30'000};
constexpr milliseconds CallTimeout{5'000};

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// 127.x.y.z, derived from the process id and the number of fleets in this process, so that fleets
// on this machine don't share an address.
std::string uniqueLoopbackAddress()
{
    static unsigned fleets = 0;
    const auto pid = static_cast<unsigned>(getpid());
    const unsigned second = 1 + (pid >> 16U) % 100 + 100 * (fleets++ % 2);
    return "127." + std::to_string(second) + "." + std::to_string((pid >> 8U) & 255U) + "."
           + std::to_string(1 + (pid & 255U) % 254);
}

Json::Value listenSettings(const std::string &address)
{
    const auto parsed = parseAddress(address);
    Json::Value listen(Json::objectValue);
    listen["address"] = parsed.address;
    listen["port"] = parsed.port;
    return listen;
}

void merge(Json::Value &merged, const Json::Value &overrides)
{
    for (const auto &name : overrides.getMemberNames()) {
        if (overrides[name].isObject() && merged[name].isObject())
            merge(merged[name], overrides[name]);
        else
            merged[name] = overrides[name];
    }
}

} // namespace

namespace {

struct exec_parameters
{
    pid_t parent = 0;
    int errorPipeEnd = -1; // receives errno when the program can't be started
    const char *outFile = nullptr;
    const char *errorFile = nullptr;
};

void redirectDescriptor(int target, const char *file, int flags)
{
    const int opened = open(file, flags, 0644);
    if (opened >= 0)
        dup2(opened, target);
}

constexpr unsigned FirstClosedDescriptor = 3; // after standard input, output and error

// Runs between fork and exec, so it only makes calls that are safe after the fork of a threaded
// process.
//
// PR_SET_PDEATHSIG: the kernel kills the child when the test ends. A test that crashes runs no
// destructors; its processes would stay, and after a few such tests the machine would have no
// threads left for another fleet.
[[noreturn]] void executeProgram(const exec_parameters &execParameters, char *const *arguments)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != execParameters.parent) // the parent ended before prctl
        _exit(127);
    redirectDescriptor(0, "/dev/null", O_RDONLY);
    redirectDescriptor(1, execParameters.outFile, O_WRONLY | O_CREAT | O_APPEND);
    redirectDescriptor(2, execParameters.errorFile, O_WRONLY | O_CREAT | O_APPEND);
    sigset_t noSignals;
    sigemptyset(&noSignals);
    sigprocmask(SIG_SETMASK, &noSignals, nullptr);
    // A listening socket of the parent would stay open in the child after the parent closed it.
    close_range(FirstClosedDescriptor, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(arguments[0], arguments);
    const int errorNumber = errno;
    const auto written = write(execParameters.errorPipeEnd, &errorNumber, sizeof errorNumber);
    _exit(written > 0 ? 127 : 126);
}

} // namespace

child_process::child_process(const std::vector<std::string> &command, std::string outFile,
                             std::string errorFile)
    : m_outFile(std::move(outFile))
    , m_errorFile(std::move(errorFile))
{
    std::vector<char *> arguments;
    for (const auto &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    // The child's end is closed by exec; when exec fails, the child writes errno to it first.
    int errorPipe[2];
    if (pipe2(errorPipe, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(errno));
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0)
        executeProgram({parent, errorPipe[1], m_outFile.c_str(), m_errorFile.c_str()},
                       arguments.data());
    int errorNumber = m_pid < 0 ? errno : 0;
    close(errorPipe[1]);
    if (errorNumber == 0 && read(errorPipe[0], &errorNumber, sizeof errorNumber) > 0)
        waitpid(m_pid, &m_status, 0);
    close(errorPipe[0]);
    if (errorNumber == 0)
        return;
    throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(errorNumber));
}

child_process::~child_process()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitForExit(StartTimeout);
}

void child_process::signal(int number) const
{
    if (!m_hasExited)
        kill(m_pid, number);
}

std::size_t child_process::peakMemoryBytes() const
{
    constexpr std::size_t Kibibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kibibytes = 0;
            status >> kibibytes;
            return kibibytes * Kibibyte;
        }
    }
    throw std::runtime_error("the process has exited; see " + m_errorFile);
}

bool child_process::isRunning()
{
    if (!m_hasExited && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        m_hasExited = true;
    return !m_hasExited;
}

int child_process::waitForExit(milliseconds timeout)
{
    if (!waitUntil([this] { return !isRunning(); }, timeout))
        return -1;
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : 128 + WTERMSIG(m_status);
}

command_result runCommand(const std::vector<std::string> &command, const std::string &scratchFolder,
                          milliseconds timeout)
{
    static unsigned number = 0;
    const std::string name = scratchFolder + "/command-" + std::to_string(number++);
    child_process process(command, name + ".out", name + ".err");
    command_result result;
    result.exitCode = process.waitForExit(timeout);
    result.output = readFile(name + ".out");
    result.errors = readFile(name + ".err");
    return result;
}

fleet::fleet(fleet_options options)
    : m_options(std::move(options))
    , m_loopbackAddress(uniqueLoopbackAddress())
    , m_workers(m_options.workers)
    , m_upstreams(m_options.workers)
    , m_entries(m_options.entries)
    , m_agents(m_options.workers)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "zinniabarrow-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a scratch folder in the temporary directory");
    m_scratchFolder = pattern;
    createLinks();
}

fleet::~fleet()
{
    m_agents.clear();
    m_entries.clear();
    m_upstreams.clear();
    m_workers.clear();
    m_platform.reset();
    std::error_code ignored;
    if (std::getenv("ZINNIABARROW_KEEP_SCRATCH") == nullptr)
        std::filesystem::remove_all(m_scratchFolder, ignored);
}

std::string fleet::address(int port) const
{
    return m_loopbackAddress + ":" + std::to_string(port);
}

std::string fleet::platformAddress() const
{
    return address(PlatformPort);
}

std::string fleet::workerAddress(unsigned index) const
{
    return address(WorkerPort + static_cast<int>(index));
}

std::string fleet::upstreamAddress(unsigned index) const
{
    return address(UpstreamPort + static_cast<int>(index));
}

std::string fleet::entryAddress(unsigned index) const
{
    return address(EntryPort + static_cast<int>(index));
}

std::string fleet::entryRpcAddress(unsigned index) const
{
    return address(EntryRpcPort + static_cast<int>(index));
}

std::string fleet::agentAddress(unsigned index) const
{
    return address(AgentPort + static_cast<int>(index));
}

std::string fleet::addressOf(const std::string &process) const
{
    if (process == "platform")
        return platformAddress();
    const auto dash = process.find('-');
    const auto index = static_cast<unsigned>(std::stoul(process.substr(dash + 1)));
    return process.substr(0, dash) == "entry" ? entryRpcAddress(index) : agentAddress(index);
}

std::string fleet::linkedAddress(const std::string &from, const std::string &to) const
{
    const auto found = m_links.find({from, to});
    return found == m_links.end() ? addressOf(to) : found->second->address();
}

void fleet::createLinks()
{
    int port = LinkPort;
    for (const auto &ends : m_options.links)
        m_links[ends] = std::make_unique<link>(parseAddress(address(port++)),
                                               parseAddress(addressOf(ends.to)));
}

link &fleet::linkBetween(const std::string &from, const std::string &to)
{
    return *m_links.at({from, to});
}

std::string fleet::workerId(unsigned index) const
{
    return "worker-" + std::to_string(index);
}

std::string fleet::writeSettings(const std::string &name, const Json::Value &settings) const
{
    const std::string path = m_scratchFolder + "/" + name + ".json";
    std::ofstream(path) << prettyJson(settings);
    return path;
}

std::unique_ptr<child_process> fleet::startProcess(const std::string &name,
                                                   const std::vector<std::string> &command) const
{
    return std::make_unique<child_process>(command, m_scratchFolder + "/" + name + ".out",
                                           m_scratchFolder + "/" + name + ".err");
}

void fleet::startPlatform()
{
    m_platform = startProcess("platform", {m_options.binaries + "/zinniabarrow_standin", "platform",
                                           "--listen", platformAddress()});
}

void fleet::startWorker(unsigned index)
{
    const auto id = workerId(index);
    const auto traceFile = m_scratchFolder + "/" + id + ".out";
    if (std::find(m_traceFiles.begin(), m_traceFiles.end(), traceFile) == m_traceFiles.end())
        m_traceFiles.push_back(traceFile); // a restarted worker appends to the same file
    m_workers.at(index) = startProcess(id, {m_options.binaries + "/zinniabarrow_standin", "worker",
                                            "--listen", workerAddress(index), "--id", id,
                                            "--millicores", std::to_string(m_options.millicores),
                                            "--bytes", std::to_string(m_options.bytes)});
}

void fleet::startUpstream(unsigned index)
{
    const auto id = "upstream-" + std::to_string(index);
    std::vector<std::string> command = {m_options.binaries + "/zinniabarrow_standin",
                                        "upstream",
                                        "--listen",
                                        upstreamAddress(index),
                                        "--id",
                                        id,
                                        "--work-ms",
                                        std::to_string(m_options.upstreamWorkMs)};
    if (m_options.hasInterference)
        command.insert(command.end(), {"--worker", workerAddress(index)});
    m_upstreams.at(index) = startProcess(id, command);
}

void fleet::startEntry(unsigned index)
{
    Json::Value settings(Json::objectValue);
    const auto name = "entry-" + std::to_string(index);
    settings["id"] = name;
    settings["region"] = m_options.region;
    settings["zone"] = m_options.zones[index % m_options.zones.size()];
    settings["listen"] = listenSettings(entryAddress(index));
    settings["rpc"] = listenSettings(entryRpcAddress(index));
    settings["peers"] = Json::Value(Json::arrayValue);
    for (unsigned peer = 0; peer < m_options.entries; ++peer) {
        if (peer != index)
            settings["peers"].append(linkedAddress(name, "entry-" + std::to_string(peer)));
    }
    settings["platform"]["address"] = linkedAddress(name, "platform");
    settings["max_connections"] = 96; // one thread each; many fleets share the machine
    merge(settings, m_options.entrySettings);
    const auto file = writeSettings(name, settings);
    m_entries.at(index) =
            startProcess(name, {m_options.binaries + "/zinniabarrow", "entry", "--settings", file});
}

Json::Value fleet::agentSettings(unsigned index) const
{
    const auto name = "agent-" + std::to_string(index);
    Json::Value settings(Json::objectValue);
    settings["id"] = name;
    settings["region"] = m_options.region;
    settings["zone"] = m_options.zones[index % m_options.zones.size()];
    settings["rack"] = "rack-" + std::to_string(index / WorkersPerRack);
    settings["listen"] = listenSettings(agentAddress(index));
    if (m_links.count({"entries", name}) > 0)
        settings["listen"]["advertise"] = linkedAddress("entries", name);
    settings["entries"] = Json::Value(Json::arrayValue);
    for (unsigned entry = 0; entry < m_options.entries; ++entry)
        settings["entries"].append(linkedAddress(name, "entry-" + std::to_string(entry)));
    auto &upstream = settings["upstream"];
    upstream["address"] = upstreamAddress(index);
    upstream["service"] = m_options.service;
    auto &worker = settings["worker"];
    worker["address"] = workerAddress(index);
    worker["id"] = workerId(index);
    worker["pool"] = "shared";
    worker["size"]["millicores"] = Json::Int64(m_options.millicores);
    worker["size"]["bytes"] = Json::Int64(m_options.bytes);
    merge(settings, m_options.agentSettings);
    return settings;
}

void fleet::startAgent(unsigned index)
{
    const auto name = "agent-" + std::to_string(index);
    const auto file = writeSettings(name, agentSettings(index));
    m_agents.at(index) =
            startProcess(name, {m_options.binaries + "/zinniabarrow", "agent", "--settings", file});
}

std::unique_ptr<child_process> fleet::startDuplicateAgent(unsigned index) const
{
    const auto name = "agent-" + std::to_string(index) + "-twin";
    auto settings = agentSettings(index);
    settings["listen"] = listenSettings(address(DuplicateAgentPort + static_cast<int>(index)));
    const auto file = writeSettings(name, settings);
    return startProcess(name, {m_options.binaries + "/zinniabarrow", "agent", "--settings", file});
}

void fleet::startAll()
{
    startPlatform();
    for (unsigned index = 0; index < m_options.workers; ++index) {
        startWorker(index);
        startUpstream(index);
    }
    for (unsigned index = 0; index < m_options.entries; ++index)
        startEntry(index);
    for (unsigned index = 0; index < m_options.workers; ++index)
        startAgent(index);
    for (unsigned index = 0; index < m_options.entries; ++index)
        waitForEntry(index);
}

void fleet::waitForEntry(unsigned index)
{
    const auto ready = [&] {
        const auto result =
                m_pools.poolFor(entryAddress(index))
                        .call({"GET", "/readyz", {}, {}}, monotonic_clock::now() + CallTimeout);
        const auto *response = std::get_if<http_response>(&result);
        return response != nullptr && response->status == 200;
    };
    if (waitUntil(ready, StartTimeout))
        return;
    throw std::runtime_error("entry " + std::to_string(index)
                             + " did not become ready; ended: " + describeEnded() + "; its log:\n"
                             + readFile(m_entries.at(index)->errorFile()));
}

std::string fleet::describeEnded()
{
    std::string text;
    const auto addEnded = [&](const std::string &role, auto &processes) {
        for (std::size_t index = 0; index < processes.size(); ++index) {
            if (processes[index] == nullptr || processes[index]->isRunning())
                continue;
            text += text.empty() ? "" : ", ";
            text += role + "-" + std::to_string(index) + ": "
                    + std::to_string(processes[index]->waitForExit(milliseconds(0)));
        }
    };
    addEnded("entry", m_entries);
    addEnded("agent", m_agents);
    return text.empty() ? "none" : text;
}

void fleet::setFault(const std::string &address, const Json::Value &fault)
{
    const auto result = m_pools.poolFor(address).call({"POST", "/fault", {}, compactJson(fault)},
                                                      monotonic_clock::now() + CallTimeout);
    if (!std::holds_alternative<http_response>(result))
        throw std::runtime_error("no answer from the stand-in at " + address);
}

std::string fleet::getText(const std::string &address, const std::string &target)
{
    const auto result = m_pools.poolFor(address).call({"GET", target, {}, {}},
                                                      monotonic_clock::now() + CallTimeout);
    const auto *response = std::get_if<http_response>(&result);
    if (response == nullptr)
        throw std::runtime_error("no answer from " + address + target);
    return response->body;
}

Json::Value fleet::getJson(const std::string &address, const std::string &target)
{
    return parseJson(getText(address, target));
}

void fleet::putFolderFile(const std::string &name, const Json::Value &content)
{
    const auto result = m_pools.poolFor(platformAddress())
                                .call({"PUT", "/objects/folder/" + name, {}, prettyJson(content)},
                                      monotonic_clock::now() + CallTimeout);
    if (!std::holds_alternative<http_response>(result))
        throw std::runtime_error("no answer from the platform when storing a file");
}

void fleet::removeFolderFile(const std::string &name)
{
    const auto result = m_pools.poolFor(platformAddress())
                                .call({"DELETE", "/objects/folder/" + name, {}, {}},
                                      monotonic_clock::now() + CallTimeout);
    if (!std::holds_alternative<http_response>(result))
        throw std::runtime_error("no answer from the platform when removing a file");
}

Json::Value fleet::rpc(unsigned entryIndex, const std::string &method,
                       const Json::Value &parameters)
{
    auto &pool = m_pools.poolFor(entryRpcAddress(entryIndex));
    const auto transport = [&](const std::string &text) {
        const auto result =
                pool.call({"POST", "/rpc", {}, text}, monotonic_clock::now() + CallTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr)
            throw std::runtime_error("no answer from entry " + std::to_string(entryIndex));
        return response->body;
    };
    return rpcCall(transport, method, parameters);
}

std::vector<Json::Value> fleet::workerTrace() const
{
    std::vector<Json::Value> lines;
    for (const auto &name : m_traceFiles) {
        std::ifstream file(name);
        std::string line;
        while (std::getline(file, line) && !file.eof()) { // at eof the line is still being written
            auto value = parseJson(line);
            if (value.isMember("at_us"))
                lines.push_back(std::move(value));
        }
    }
    return lines;
}

} // namespace zinniabarrow::standins
