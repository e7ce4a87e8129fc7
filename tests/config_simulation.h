// Simulates entries, agents and the in-memory platform in virtual time, with faults injected at
// chosen steps. Each run checks the invariants of generations, listed below.
//
// - In each process the generation in force only rises, from each start to the next.
// - Each generation has one content, and no invalid configuration is ever in force.
// - Accepted generations only rise, and no generation has an older version of a file than the
//   generation before.
// - An entry isn't ready until it has at least the generation that was accepted when it started.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "config/generations.h"
#include "platform/memory_platform.h"
#include "section.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::config;

// A fault that is injected into one request or message.
enum class fault {
    None,
    Unreachable,    // refused; had no effect
    LostQuery,      // never arrives, so it has no effect and no answer
    LostReply,      // takes effect, but the answer is lost
    UnknownOutcome, // takes effect, but the client reports an unknown outcome
    Delayed,        // takes effect and is answered long after the sender's timeout
};

// An entry or an agent.
struct simulated_process
{
    std::string id;
    std::unique_ptr<generation_manager> manager;   // of an entry
    std::unique_ptr<generation_follower> follower; // of an agent
    int incarnation = 0;                           // increased each time the process ends
    bool isAlive = false;
    bool isCutFromPlatform = false;
    bool isCutFromPeers = false;
    bool wasReady = false;                // was ready at some time in this incarnation
    std::uint64_t minReadyGeneration = 0; // generation accepted when this incarnation started
    std::uint64_t lastAdopted = 0;        // generation in force, in this incarnation
    time_point pausedUntil{};             // events are delivered only after this time
    time_point nextAnnounce{};

    const generation_follower &activeFollower() const
    {
        return manager ? manager->follower() : *follower;
    }
};

class config_simulation
{
public:
    // Called for each request that a process sends, and for each receiver of a report that it
    // pushes, with the sender and the action. Any fault loses a pushed report.
    std::function<fault(const simulated_process &, const generation_action &, int step)>
            chooseFault = [](const auto &, const auto &, int) { return fault::None; };
    // Called after a process has handled an event, before its actions are executed.
    std::function<void(const simulated_process &, const generation_event &,
                       const generation_actions &)>
            onHandled = [](const auto &, const auto &, const auto &) {};
    memory_platform platform;
    bool isPlatformDown = false;
    time_point now{seconds(1000)};
    int step = 0;           // requests and messages so far, without announcements
    int platformReads = 0;  // reads that reached the platform
    int platformWrites = 0; // writes that reached the platform
    milliseconds maxConvergenceTime{
            0}; // from the acceptance of a generation until it is in force in all live processes

    // `peers` is the number of other entries in this entry's settings.
    void addEntry(const std::string &id, std::size_t peers = 0)
    {
        auto &entry = m_processes[id];
        entry.id = id;
        m_peerCounts[id] = peers;
        startEntry(entry);
    }

    void addAgent(const std::string &id)
    {
        auto &agent = m_processes[id];
        agent.id = id;
        agent.follower = std::make_unique<generation_follower>(follower_settings{id, "agent"});
        agent.isAlive = true;
    }

    simulated_process &process(const std::string &id) { return m_processes.at(id); }
    generation_manager &entry(const std::string &id) { return *m_processes.at(id).manager; }

    void kill(const std::string &id)
    {
        process(id).isAlive = false;
        ++process(id).incarnation;
    }

    void restart(const std::string &id)
    {
        if (process(id).isAlive)
            kill(id);
        process(id).lastAdopted = 0;
        if (process(id).manager)
            startEntry(process(id));
        else
            addAgent(id);
    }

    // Writes a file of the configuration folder, as an operator does. Returns its version.
    std::uint64_t put(const std::string &name, const std::string &content)
    {
        return platform.putObject(std::string(FolderPrefix) + name, content, std::nullopt).sequence;
    }

    void remove(const std::string &name)
    {
        platform.removeObject(std::string(FolderPrefix) + name, std::nullopt);
    }

    // Makes this entry scan the folder now, as after an operator's command.
    void scanNow(const std::string &id) { deliver(id, process(id).incarnation, scan_now{}); }

    void runAfter(milliseconds delay, std::function<void()> callback)
    {
        m_queue.emplace(now + delay, std::move(callback));
    }

    void runFor(milliseconds length)
    {
        for (const auto end = now + length; now < end; now += Delay) {
            while (!m_queue.empty() && m_queue.begin()->first <= now) {
                const auto callback = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                callback();
            }
            if (now >= m_nextTick)
                tickAll();
            measureConvergence();
        }
    }

    std::uint64_t acceptedGeneration() const
    {
        const auto row = platform.read(std::string(AcceptedRowKey));
        return row ? acceptedRowFromJson(row->value).generation : 0;
    }

    // True if the accepted generation is in force in all live processes.
    bool hasConverged() const
    {
        return acceptedGeneration() > 0 && haveAllReached(acceptedGeneration());
    }

private:
    static constexpr milliseconds Delay{5}; // of a message, one way
    static constexpr milliseconds TickInterval{50};
    static constexpr milliseconds AnnounceInterval{500};
    static constexpr milliseconds LateDelay{4000}; // of a message with fault::Delayed

    void startEntry(simulated_process &entry)
    {
        generation_manager_settings settings;
        settings.process = entry.id;
        settings.peerCount = m_peerCounts[entry.id];
        entry.manager = std::make_unique<generation_manager>(
                settings, random_generator(static_cast<std::uint64_t>(++m_incarnationCount)), now);
        entry.minReadyGeneration = acceptedGeneration();
        entry.wasReady = false;
        entry.isAlive = true;
    }

    bool haveAllReached(std::uint64_t generation) const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &simulated) {
            return !simulated.second.isAlive
                   || simulated.second.activeFollower().generation() >= generation;
        });
    }

    void measureConvergence()
    {
        while (!m_acceptedAt.empty() && haveAllReached(m_acceptedAt.begin()->first)) {
            const auto duration = now - m_acceptedAt.begin()->second;
            maxConvergenceTime = std::max(maxConvergenceTime,
                                          std::chrono::duration_cast<milliseconds>(duration));
            m_acceptedAt.erase(m_acceptedAt.begin());
        }
    }

    void tickAll()
    {
        m_nextTick = now + TickInterval;
        for (auto &[id, simulated] : m_processes) {
            if (!simulated.isAlive || now < simulated.pausedUntil)
                continue;
            deliver(id, simulated.incarnation, tick{});
            if (now < simulated.nextAnnounce)
                continue;
            simulated.nextAnnounce = now + AnnounceInterval;
            for (const auto &[other, target] : m_processes) {
                if (target.manager) // agents receive only pushed reports
                    send(simulated, target, simulated.activeFollower().report());
            }
        }
    }

    void deliver(const std::string &id, int targetIncarnation, const generation_event &event)
    {
        auto &simulated = process(id);
        if (!simulated.isAlive || simulated.incarnation != targetIncarnation)
            return;
        if (now < simulated.pausedUntil) {
            m_queue.emplace(simulated.pausedUntil,
                            [=, this] { deliver(id, targetIncarnation, event); });
            return;
        }
        const auto actions = simulated.manager ? simulated.manager->handle(event, now)
                                               : simulated.follower->handle(event, now);
        onHandled(simulated, event, actions);
        for (const auto &action : actions)
            execute(simulated, action);
        checkReady(simulated);
    }

    // An entry must not be ready before it has the generation that was accepted when it started.
    static void checkReady(simulated_process &simulated)
    {
        if (!simulated.manager || simulated.wasReady || !simulated.manager->isReady())
            return;
        simulated.wasReady = true;
        check(simulated.manager->generation() >= simulated.minReadyGeneration);
    }

    void execute(simulated_process &simulated, const generation_action &action)
    {
        if (const auto *adopted = std::get_if<adopt_generation>(&action)) {
            checkAdoption(simulated, *adopted);
        } else if (const auto *push = std::get_if<push_generation>(&action)) {
            pushReport(simulated, *push);
        } else if (const auto *unneeded = std::get_if<remove_content>(&action)) {
            platform.removeObject(unneeded->name, std::nullopt);
        } else {
            const auto *read = std::get_if<read_content>(&action);
            sendQuery(simulated, action, read && !read->peer.empty());
        }
    }

    void checkAdoption(simulated_process &simulated, const adopt_generation &adopted)
    {
        check(adopted.generation > simulated.lastAdopted);
        simulated.lastAdopted = adopted.generation;
        const auto known = m_digests.emplace(adopted.generation, adopted.digest).first;
        check(known->second == adopted.digest); // each generation has one content
        for (const auto &[name, service] : adopted.mergedConfig->services)
            check(adopted.mergedConfig->teams.contains(service.team)); // the configuration is valid
    }

    void pushReport(const simulated_process &simulated, const push_generation &push)
    {
        for (const auto &[id, target] : m_processes) {
            const auto &receivers = push.processes;
            const bool isTarget =
                    receivers.empty()
                    || std::find(receivers.begin(), receivers.end(), id) != receivers.end();
            if (!isTarget || id == simulated.id)
                continue;
            if (chooseFault(simulated, push, ++step) == fault::None)
                send(simulated, target, push.report);
        }
    }

    void send(const simulated_process &from, const simulated_process &to,
              const generation_report &report)
    {
        if (&from == &to || !to.isAlive || from.isCutFromPeers || to.isCutFromPeers)
            return;
        runAfter(Delay, [=, this, id = to.id, targetIncarnation = to.incarnation] {
            deliver(id, targetIncarnation, report_received{report});
        });
    }

    void sendQuery(const simulated_process &simulated, const generation_action &action,
                   bool isToPeer)
    {
        auto chosenFault = chooseFault(simulated, action, ++step);
        const bool isCut =
                isToPeer ? simulated.isCutFromPeers : simulated.isCutFromPlatform || isPlatformDown;
        if (isCut)
            chosenFault = fault::Unreachable;
        const auto reply = [=, this, id = simulated.id, targetIncarnation = simulated.incarnation](
                                   const generation_event &event) {
            runAfter(Delay, [=, this] { deliver(id, targetIncarnation, event); });
        };
        if (chosenFault == fault::LostQuery)
            return;
        if (chosenFault == fault::Unreachable) {
            reply(*failureEventFor(action, write_outcome::Refused));
            return;
        }
        runAfter(chosenFault == fault::Delayed ? LateDelay : Delay, [=, this] {
            const auto answer = answerTo(action);
            if (chosenFault == fault::UnknownOutcome)
                reply(*failureEventFor(action, write_outcome::Unknown));
            else if (chosenFault != fault::LostReply)
                reply(answer);
        });
    }

    generation_event answerTo(const generation_action &action)
    {
        return std::visit([this](const auto &specificAction) { return answer(specificAction); },
                          action);
    }

    generation_event answer(const read_accepted_row &query)
    {
        ++platformReads;
        const auto row = platform.read(std::string(AcceptedRowKey));
        return accepted_row_read{query.request, true, row.value_or(table_row{})};
    }
    generation_event answer(const list_folder &query)
    {
        ++platformReads;
        return folder_listed{query.request, true, platform.listObjects(std::string(FolderPrefix))};
    }
    generation_event answer(const read_files &query)
    {
        files_read read{query.request, true, {}};
        for (const auto &name : query.names) {
            ++platformReads;
            if (auto object = platform.getObject(name))
                read.objects.push_back(std::move(*object));
        }
        return read;
    }
    generation_event answer(const read_content &query)
    {
        if (!query.peer.empty()) {
            const auto &peer = process(query.peer);
            const bool isReachable = peer.isAlive && !peer.isCutFromPeers;
            const auto text =
                    isReachable ? peer.activeFollower().contentTextFor(query.digest) : std::nullopt;
            return content_read{query.request, text.has_value(), text.value_or("")};
        }
        ++platformReads;
        const auto object = platform.getObject(std::string(ContentPrefix) + query.digest);
        return content_read{query.request, object.has_value(), object ? object->content : ""};
    }
    generation_event answer(const write_content &query)
    {
        ++platformWrites;
        const auto result = platform.putObject(query.name, query.content, std::nullopt);
        return content_written{query.request, result};
    }
    generation_event answer(const commit_generation &query)
    {
        ++platformWrites;
        const auto result = platform.commit(query.transaction);
        if (result.outcome == write_outcome::Applied)
            checkAcceptance();
        return generation_committed{query.request, result};
    }
    generation_event answer(const auto &)
    {
        return tick{};
    } // for actions without an answer; never called

    // Checks that accepted generations only rise, that their content is stored, and that no
    // generation has an older version of a file than the generation before.
    void checkAcceptance()
    {
        const auto row = acceptedRowFromJson(platform.read(std::string(AcceptedRowKey))->value);
        check(row.generation > m_highestAccepted);
        m_highestAccepted = row.generation;
        m_acceptedAt[row.generation] = now;
        const auto object = platform.getObject(std::string(ContentPrefix) + row.digest);
        require(object.has_value());
        const auto files = contentFromText(object->content).files;
        for (const auto &[name, version] : m_acceptedFiles)
            check(!files.contains(name) || files.at(name) >= version);
        m_acceptedFiles = files;
    }

    std::map<std::string, simulated_process> m_processes;
    std::map<std::string, std::size_t> m_peerCounts;          // setting of each entry
    std::multimap<time_point, std::function<void()>> m_queue; // callbacks, by time
    time_point m_nextTick{};
    std::map<std::uint64_t, std::string> m_digests; // of the content, by generation
    std::map<std::uint64_t, time_point>
            m_acceptedAt; // of generations that aren't in force everywhere yet
    std::uint64_t m_highestAccepted = 0;
    file_versions m_acceptedFiles; // of the highest accepted generation
    int m_incarnationCount = 0;
};

} // namespace zinniabarrow::tests
