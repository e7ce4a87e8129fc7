#include "soak/system.h"

#include "soak/plan.h"

namespace zinniabarrow::soak {

namespace {

using tests::processAddress;

constexpr int FirstEntry = 2; // as for processAddress()
constexpr int FirstAgent = 8;
constexpr milliseconds StopTime{300}; // of a worker's run

int indexOf(const std::string &name)
{
    return std::stoi(name.substr(name.find('-') + 1));
}

std::string workerName(int index)
{
    return fmt::format("worker-{}", index);
}

// Where `from` reaches `to` without a link.
std::string listenAddress(const std::string &from, const std::string &to)
{
    if (to == "store")
        return processAddress(0, tests::StorePort);
    if (to.starts_with("worker-"))
        return processAddress(0, tests::FirstWorkerPort + indexOf(to));
    if (to.starts_with("entry-"))
        return processAddress(FirstEntry + indexOf(to), tests::InternalPort);
    const bool isFromWorker = from.starts_with("worker-");
    return processAddress(FirstAgent + indexOf(to),
                          isFromWorker ? tests::WorkersPort : tests::InternalPort);
}

std::vector<link_definition> linkDefinitions(const system_options &options)
{
    std::vector<link_definition> definitions;
    if (!options.hasLinks)
        return definitions;
    const auto add = [&](const std::string &from, const std::string &to) {
        definitions.push_back({from, to, {"127.0.0.1", 0}, parseAddress(listenAddress(from, to))});
    };
    for (int index = 0; index < options.entries; ++index) {
        add(entryName(index), "store");
        add(AnyCaller, entryName(index));
    }
    for (int index = 0; index < options.agents; ++index) {
        add(agentName(index), "store");
        add(agentName(index), workerName(index));
        add(workerName(index), agentName(index));
        add(AnyCaller, agentName(index));
    }
    return definitions;
}

} // namespace

soak_system::soak_system(system_options options, timeline &record)
    : m_options(std::move(options))
    , m_links(linkDefinitions(m_options), record)
    , m_platform(platformOptions())
    , m_processes(fmt::format("zb-soak-{}", getpid()))
{
    tests::putConfiguration(7);
}

std::string soak_system::addressFor(const std::string &from, const std::string &to) const
{
    return m_options.hasLinks ? m_links.addressFor(from, to) : listenAddress(from, to);
}

standins::job_platform_options soak_system::platformOptions() const
{
    standins::job_platform_options result;
    result.store = parseAddress(listenAddress("", "store"));
    result.millicores = m_options.workerCapacity;
    result.stopTime = StopTime / 2;
    result.describeTask = m_options.describeTask;
    result.onRun = m_options.onRun;
    result.onLapse = m_options.onLapse;
    for (int index = 0; index < m_options.agents; ++index) {
        const auto worker = workerName(index);
        result.workers.push_back(parseAddress(listenAddress("", worker)));
        result.agentAddresses.push_back(parseAddress(addressFor(worker, agentName(index))));
    }
    return result;
}

std::vector<link_ends> soak_system::linkedPairs() const
{
    std::vector<link_ends> pairs;
    if (!m_options.hasLinks)
        return pairs;
    const auto names = processNames();
    for (const auto &from : names) {
        pairs.push_back({from, "store"});
        for (const auto &to : names) {
            const bool areAgents = from.starts_with("agent-") && to.starts_with("agent-");
            if (from != to && !areAgents)
                pairs.push_back({from, to});
        }
    }
    for (int index = 0; index < m_options.agents; ++index) {
        pairs.push_back({agentName(index), workerName(index)});
        pairs.push_back({workerName(index), agentName(index)});
    }
    return pairs;
}

std::vector<std::string> soak_system::processNames() const
{
    std::vector<std::string> names;
    for (int index = 0; index < m_options.entries; ++index)
        names.push_back(entryName(index));
    for (int index = 0; index < m_options.agents; ++index)
        names.push_back(agentName(index));
    return names;
}

void soak_system::start(const std::string &name)
{
    m_logStart[name] = m_processes.logBytes(name);
    const auto advertised = m_options.hasLinks ? m_links.addressFor(AnyCaller, name) : "";
    if (name.starts_with("entry-")) {
        m_processes.start(name, "job-entry",
                          settingsOf(tests::entry_process{.id = name,
                                                          .process = FirstEntry + indexOf(name),
                                                          .storeAddress = addressFor(name, "store"),
                                                          .advertisedAddress = advertised}));
    } else {
        const auto worker = workerName(indexOf(name));
        m_processes.start(name, "job-agent",
                          settingsOf(tests::agent_process{.id = name,
                                                          .process = FirstAgent + indexOf(name),
                                                          .workerAddress = addressFor(name, worker),
                                                          .storeAddress = addressFor(name, "store"),
                                                          .stopTime = StopTime,
                                                          .advertisedAddress = advertised}));
    }
    m_links.setProcess(name, m_processes.at(name).processId());
}

bool soak_system::hasLogged(const std::string &name) const
{
    return m_processes.logBytes(name) > m_logStart.at(name);
}

std::vector<std::string> soak_system::callersAddresses() const
{
    std::vector<std::string> addresses;
    for (int index = 0; index < m_options.entries; ++index)
        addresses.push_back(processAddress(FirstEntry + index, tests::CallersPort));
    return addresses;
}

bool soak_system::areEntriesReady() const
{
    bool areReady = true;
    for (int index = 0; index < m_options.entries; ++index)
        areReady = areReady && tests::isEntryReady(FirstEntry + index);
    return areReady;
}

} // namespace zinniabarrow::soak
