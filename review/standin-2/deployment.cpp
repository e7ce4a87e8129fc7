#include "deployment.h"

#include <csignal>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char *Binary = "target/bin/zinniabarrow"; // as in deploy/system.toml
constexpr milliseconds ClientTimeout{3200};
constexpr std::chrono::seconds StartTimeout{20};

// An address of this play's own, so that plays at the same time don't take each other's ports, nor
// connections the ports of listeners that start later.
std::string loopbackAddress()
{
    constexpr int Range = 250;
    const int number = getpid();
    return "127." + std::to_string(2 + number / Range % Range) + "."
           + std::to_string(number % Range) + ".1";
}

endpoint freeEndpoint()
{
    static std::atomic<int> nextPort{20'000};
    const auto ip = loopbackAddress();
    while (true) {
        const int port = nextPort++;
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
        const bool isFree = bind(probe, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0;
        close(probe);
        if (isFree)
            return {ip, port};
    }
}

std::filesystem::path temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw cannot_run{"no temporary folder"};
    return name;
}

Json::Value makeRoute(const char *name, const char *prefix)
{
    Json::Value route(Json::objectValue);
    route["name"] = name;
    route["host"] = "shop.example";
    route["prefix"] = prefix;
    route["kind"] = "unsafe";
    route["timeout-ms"] = 3000;
    route["target-latency-ms"] = 1000;
    route["priority"] = 0;
    route["service"] = "tickets";
    route["max-attempts"] = 3;
    route["stretch"] = 2.0;
    return route;
}

} // namespace

void waitSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

process::process(std::string name, std::string role, Json::Value settings,
                 std::filesystem::path folder)
    : m_name(std::move(name))
    , m_role(std::move(role))
    , m_folder(std::move(folder))
{
    std::ofstream(m_folder / (m_name + ".json")) << toText(settings);
}

void process::start()
{
    const auto settings = (m_folder / (m_name + ".json")).string();
    const auto log = (m_folder / (m_name + ".log")).string();
    const auto parent = getpid();
    m_id = fork();
    if (m_id != 0)
        return;
    // It ends with this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(Binary, Binary, m_role.c_str(), "--settings", settings.c_str(), nullptr);
    _exit(1);
}

void process::signal(int number) const
{
    if (m_id > 0)
        kill(m_id, number);
}

void process::end()
{
    if (m_id <= 0)
        return;
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = 0;
}

namespace {

deployment *madeDeployment = nullptr;

} // namespace

deployment &deployment::make(const deployment_options &options, record &log)
{
    madeDeployment = new deployment(options, log);
    return *madeDeployment;
}

void endDeployment()
{
    if (madeDeployment != nullptr)
        madeDeployment->end();
}

deployment::deployment(const deployment_options &options, record &log)
    : m_log(log)
    , m_ledger(log)
    , m_folder(temporaryFolder())
    , m_store(freeEndpoint())
{
    m_store.put("op", "config", configuration());
    for (int number = 1; number <= options.machines; ++number)
        addMachine(number, options.fault);
    for (int number = 1; number <= options.entries; ++number)
        addFront(number);
}

void deployment::end()
{
    for (auto &side : m_machines)
        side.agent->end();
    for (auto &entry : m_fronts)
        entry.entry->end();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

Json::Value deployment::configuration()
{
    Json::Value value(Json::objectValue);
    value["version"] = 7;
    value["routes"].append(makeRoute("q-fast", "/fast/"));
    value["routes"].append(makeRoute("q-slow", "/slow/"));
    Json::Value service(Json::objectValue);
    service["name"] = "tickets";
    service["enforces-capacity"] = false;
    value["services"].append(service);
    value["limits"] = Json::Value(Json::objectValue);
    return value;
}

void deployment::addMachine(int number, const call_fault &fault)
{
    const auto name = "side-kartli-a-" + std::to_string(number);
    const auto announcements = freeEndpoint();
    const auto internal = freeEndpoint();
    machine side;
    side.toStore = std::make_unique<link>(freeEndpoint(), m_store.address());
    side.toAgent = std::make_unique<link>(freeEndpoint(), internal);
    const auto runnerAddress = freeEndpoint();
    runner_options options;
    options.name = "i-" + std::to_string(number);
    options.listen = runnerAddress;
    options.agent = announcements;
    options.fault = fault;
    side.worker = std::make_unique<runner>(options, m_log, m_ledger);
    Json::Value settings(Json::objectValue);
    settings["id"] = name;
    settings["zone"] = "kartli-a";
    settings["workers"] = toText(announcements);
    settings["internal"] = toText(internal);
    settings["internal_advertise"] = toText(side.toAgent->address());
    settings["worker"] = toText(runnerAddress);
    settings["service"] = "tickets";
    settings["stop_within_ms"] = 900;
    settings["store"] = toText(side.toStore->address());
    side.agent = std::make_unique<process>(name, "job-agent", settings, m_folder);
    m_machines.push_back(std::move(side));
}

void deployment::addFront(int number)
{
    const auto name = "front-kartli-a-" + std::to_string(number);
    const auto internal = freeEndpoint();
    front entry;
    entry.callers = freeEndpoint();
    entry.toEntry = std::make_unique<link>(freeEndpoint(), internal);
    Json::Value settings(Json::objectValue);
    settings["id"] = name;
    settings["zone"] = "kartli-a";
    settings["callers"] = toText(entry.callers);
    settings["ready"] = toText(freeEndpoint());
    settings["internal"] = toText(internal);
    settings["internal_advertise"] = toText(entry.toEntry->address());
    settings["store"] = toText(m_store.address());
    settings["processor_share"] = 1.0;
    settings["cores"] = 1;
    entry.entry = std::make_unique<process>(name, "job-entry", settings, m_folder);
    m_fronts.push_back(std::move(entry));
}

void deployment::start()
{
    for (auto &side : m_machines)
        side.agent->start();
    for (auto &entry : m_fronts)
        entry.entry->start();
    const auto deadline = steady_clock::now() + StartTimeout;
    http_message request;
    request.method = "GET";
    request.target = "/fast/";
    request.headers["Host"] = "shop.example";
    for (const auto &entry : m_fronts) {
        while (true) {
            const auto answer = call(entry.callers, request, milliseconds(500));
            if (answer && answer->status == 200)
                break;
            if (steady_clock::now() > deadline)
                throw cannot_run{"the entries did not get ready"};
            waitSeconds(0.1);
        }
    }
    waitSeconds(4); // check-ins, leases and reports
    m_log.write("all processes serve");
}

int deployment::trySubmit(const std::string &queue, const std::string &job, const Json::Value &body)
{
    http_message request;
    request.method = "POST";
    request.target = queue + job;
    request.headers["Host"] = "shop.example";
    request.headers["Deadline-Ms"] = "3000";
    request.body = toText(body);
    const auto &entry = m_fronts[m_nextFront++ % m_fronts.size()];
    const auto answer = call(entry.callers, request, ClientTimeout);
    const int status = answer ? answer->status : 0;
    m_log.write("client: POST " + queue + job + " at " + entry.entry->name() + " -> "
                + std::to_string(status) + "; " + request.body);
    return status;
}

void deployment::submit(const std::string &queue, const std::string &job, const Json::Value &body)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        if (trySubmit(queue, job, body) == 200)
            return;
        waitSeconds(0.5);
    }
    throw cannot_run{"the job was not accepted"};
}

std::string deployment::stateOf(const std::string &queue, const std::string &job)
{
    http_message request;
    request.method = "GET";
    request.target = queue + job;
    request.headers["Host"] = "shop.example";
    const auto &entry = m_fronts[m_nextFront++ % m_fronts.size()];
    const auto answer = call(entry.callers, request, ClientTimeout);
    m_log.write("client: GET " + queue + job + " at " + entry.entry->name() + " -> "
                + (answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
    return answer && answer->status == 200 ? fromText(answer->body)["state"].asString() : "";
}

std::size_t deployment::machineOf(const std::string &task)
{
    const auto deadline = steady_clock::now() + std::chrono::seconds(10);
    while (steady_clock::now() < deadline) {
        for (std::size_t index = 0; index < m_machines.size(); ++index) {
            if (m_machines[index].worker->runs(task))
                return index;
        }
        waitSeconds(0.02);
    }
    throw cannot_run{"the task did not start"};
}

void deployment::cutOff(std::size_t machine)
{
    auto &side = m_machines.at(machine);
    side.toStore->cut(0);
    side.toAgent->cut(0);
    for (auto &entry : m_fronts)
        entry.toEntry->cut(side.agent->id());
    m_log.write(side.agent->name() + " is cut off from all other machines and the store");
}

void deployment::heal(std::size_t machine)
{
    auto &side = m_machines.at(machine);
    side.toStore->heal();
    side.toAgent->heal();
    for (auto &entry : m_fronts)
        entry.toEntry->heal();
    m_log.write("the cut of " + side.agent->name() + " heals");
}

void deployment::suspend(std::size_t machine)
{
    auto &side = m_machines.at(machine);
    side.agent->signal(SIGSTOP);
    side.worker->suspend();
    m_log.write(side.agent->name() + " is suspended, its agent and its runner");
}

void deployment::resume(std::size_t machine)
{
    auto &side = m_machines.at(machine);
    side.worker->resume();
    side.agent->signal(SIGCONT);
    m_log.write(side.agent->name() + " goes on");
}

} // namespace review
