// Entries, agents and the in-memory platform in virtual time, with faults at chosen steps. Every
// run checks what must always hold of generations.
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

// What happens to one question or message on its way.
enum class fault {
    None,
    Down,      // refused before anything happened
    LostQuery, // never arrived; no answer
    LostReply, // took effect; no answer
    Unsure,    // took effect; the client says that it does not know
    Delayed,   // takes effect and is answered long after the asker has given up
};

struct world_process
{
    std::string id;
    std::unique_ptr<generation_keeper> keeper;     // of an entry
    std::unique_ptr<generation_follower> follower; // of an agent
    int life = 0;                                  // raised by every end
    bool isAlive = false;
    bool isCutFromPlatform = false;
    bool isCutFromPeers = false;
    bool wasReady = false;
    std::uint64_t mustReach = 0;   // accepted when this life began
    std::uint64_t lastAdopted = 0; // in this life
    time_point pausedUntil{};
    time_point nextAnnounce{};

    const generation_follower &known() const { return keeper ? keeper->follower() : *follower; }
};

class config_world
{
public:
    std::function<fault(const world_process &, const generation_action &, int step)> chooseFault =
            [](const auto &, const auto &, int) { return fault::None; };
    std::function<void(const world_process &, const generation_event &, const generation_actions &)>
            tap = [](const auto &, const auto &, const auto &) {};
    memory_platform platform;
    bool isPlatformDown = false;
    time_point now{seconds(1000)};
    int step = 0;            // questions and messages so far, announcements aside
    int platformReads = 0;   // as they reached it
    int platformWrites = 0;  //
    milliseconds slowest{0}; // from a generation's acceptance until all live processes had it

    void addEntry(const std::string &id, std::size_t peers = 0)
    {
        auto &entry = m_processes[id];
        entry.id = id;
        m_peers[id] = peers;
        startEntry(entry);
    }

    void addAgent(const std::string &id)
    {
        auto &agent = m_processes[id];
        agent.id = id;
        agent.follower = std::make_unique<generation_follower>(follower_settings{id, "agent"});
        agent.isAlive = true;
    }

    world_process &process(const std::string &id) { return m_processes.at(id); }
    generation_keeper &entry(const std::string &id) { return *m_processes.at(id).keeper; }

    void kill(const std::string &id)
    {
        process(id).isAlive = false;
        ++process(id).life;
    }

    void restart(const std::string &id)
    {
        if (process(id).isAlive)
            kill(id);
        process(id).lastAdopted = 0;
        if (process(id).keeper)
            startEntry(process(id));
        else
            addAgent(id);
    }

    std::uint64_t put(const std::string &name, const std::string &content)
    {
        return platform.putObject(std::string(FolderPrefix) + name, content, std::nullopt).sequence;
    }

    void remove(const std::string &name)
    {
        platform.removeObject(std::string(FolderPrefix) + name, std::nullopt);
    }

    // An operator's command asks this entry to look.
    void look(const std::string &id) { deliver(id, process(id).life, look_now{}); }

    void after(milliseconds delay, std::function<void()> what)
    {
        m_queue.emplace(now + delay, std::move(what));
    }

    void runFor(milliseconds length)
    {
        for (const auto end = now + length; now < end; now += Delay) {
            while (!m_queue.empty() && m_queue.begin()->first <= now) {
                const auto what = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                what();
            }
            if (now >= m_nextTick)
                tickAll();
            measure();
        }
    }

    std::uint64_t acceptedGeneration() const
    {
        const auto row = platform.read(std::string(AcceptedRowKey));
        return row ? acceptedRowFromJson(row->value).generation : 0;
    }

    // All live processes work by the accepted generation.
    bool hasConverged() const
    {
        return acceptedGeneration() > 0 && doAllHave(acceptedGeneration());
    }

private:
    static constexpr milliseconds Delay{5}; // one way
    static constexpr milliseconds TickEvery{50};
    static constexpr milliseconds AnnounceEvery{500};
    static constexpr milliseconds LateBy{4000};

    void startEntry(world_process &entry)
    {
        keeper_settings settings;
        settings.process = entry.id;
        settings.peers = m_peers[entry.id];
        entry.keeper = std::make_unique<generation_keeper>(
                settings, random_generator(static_cast<std::uint64_t>(++m_lives)), now);
        entry.mustReach = acceptedGeneration();
        entry.wasReady = false;
        entry.isAlive = true;
    }

    bool doAllHave(std::uint64_t generation) const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [&](const auto &each) {
            return !each.second.isAlive || each.second.known().generation() >= generation;
        });
    }

    void measure()
    {
        while (!m_acceptedAt.empty() && doAllHave(m_acceptedAt.begin()->first)) {
            const auto took = now - m_acceptedAt.begin()->second;
            slowest = std::max(slowest, std::chrono::duration_cast<milliseconds>(took));
            m_acceptedAt.erase(m_acceptedAt.begin());
        }
    }

    void tickAll()
    {
        m_nextTick = now + TickEvery;
        for (auto &[id, each] : m_processes) {
            if (!each.isAlive || now < each.pausedUntil)
                continue;
            deliver(id, each.life, tick{});
            if (now < each.nextAnnounce)
                continue;
            each.nextAnnounce = now + AnnounceEvery;
            for (const auto &[other, target] : m_processes) {
                if (target.keeper) // agents hear only what is pushed
                    send(each, target, each.known().report());
            }
        }
    }

    void deliver(const std::string &id, int life, const generation_event &event)
    {
        auto &each = process(id);
        if (!each.isAlive || each.life != life)
            return;
        if (now < each.pausedUntil) {
            m_queue.emplace(each.pausedUntil, [=, this] { deliver(id, life, event); });
            return;
        }
        const auto actions =
                each.keeper ? each.keeper->handle(event, now) : each.follower->handle(event, now);
        tap(each, event, actions);
        for (const auto &action : actions)
            carryOut(each, action);
        checkReady(each);
    }

    // A newcomer must not serve by less than was accepted when it began.
    static void checkReady(world_process &each)
    {
        if (!each.keeper || each.wasReady || !each.keeper->isReady())
            return;
        each.wasReady = true;
        check(each.keeper->generation() >= each.mustReach);
    }

    void carryOut(world_process &each, const generation_action &action)
    {
        if (const auto *adopted = std::get_if<adopt_generation>(&action)) {
            checkAdoption(each, *adopted);
        } else if (const auto *push = std::get_if<push_generation>(&action)) {
            tell(each, *push);
        } else if (const auto *unneeded = std::get_if<remove_content>(&action)) {
            platform.removeObject(unneeded->name, std::nullopt);
        } else {
            const auto *read = std::get_if<read_content>(&action);
            ask(each, action, read && !read->peer.empty());
        }
    }

    void checkAdoption(world_process &each, const adopt_generation &adopted)
    {
        check(adopted.generation > each.lastAdopted);
        each.lastAdopted = adopted.generation;
        const auto known = m_digests.emplace(adopted.generation, adopted.digest).first;
        check(known->second == adopted.digest); // one content for one generation
        for (const auto &[name, service] : adopted.whole->services)
            check(adopted.whole->teams.contains(service.team)); // never an invalid whole
    }

    void tell(const world_process &each, const push_generation &push)
    {
        for (const auto &[id, target] : m_processes) {
            const auto &named = push.processes;
            const bool isMeant =
                    named.empty() || std::find(named.begin(), named.end(), id) != named.end();
            if (!isMeant || id == each.id)
                continue;
            if (chooseFault(each, push, ++step) == fault::None)
                send(each, target, push.report);
        }
    }

    void send(const world_process &from, const world_process &to, const generation_report &report)
    {
        if (&from == &to || !to.isAlive || from.isCutFromPeers || to.isCutFromPeers)
            return;
        after(Delay,
              [=, this, id = to.id, life = to.life] { deliver(id, life, report_heard{report}); });
    }

    void ask(const world_process &each, const generation_action &action, bool isToPeer)
    {
        auto what = chooseFault(each, action, ++step);
        const bool isCut =
                isToPeer ? each.isCutFromPeers : each.isCutFromPlatform || isPlatformDown;
        if (isCut)
            what = fault::Down;
        const auto reply = [=, this, id = each.id,
                            life = each.life](const generation_event &event) {
            after(Delay, [=, this] { deliver(id, life, event); });
        };
        if (what == fault::LostQuery)
            return;
        if (what == fault::Down) {
            reply(*noAnswerTo(action, write_outcome::Refused));
            return;
        }
        after(what == fault::Delayed ? LateBy : Delay, [=, this] {
            const auto answer = answerTo(action);
            if (what == fault::Unsure)
                reply(*noAnswerTo(action, write_outcome::Unknown));
            else if (what != fault::LostReply)
                reply(answer);
        });
    }

    generation_event answerTo(const generation_action &action)
    {
        return std::visit([this](const auto &each) { return answer(each); }, action);
    }

    generation_event answer(const read_accepted &question)
    {
        ++platformReads;
        const auto row = platform.read(std::string(AcceptedRowKey));
        return accepted_read{question.request, true, row.value_or(table_row{})};
    }
    generation_event answer(const list_folder &question)
    {
        ++platformReads;
        return folder_listed{question.request, true,
                             platform.listObjects(std::string(FolderPrefix))};
    }
    generation_event answer(const read_files &question)
    {
        files_read read{question.request, true, {}};
        for (const auto &name : question.names) {
            ++platformReads;
            if (auto object = platform.getObject(name))
                read.objects.push_back(std::move(*object));
        }
        return read;
    }
    generation_event answer(const read_content &question)
    {
        if (!question.peer.empty()) {
            const auto &peer = process(question.peer);
            const bool isThere = peer.isAlive && !peer.isCutFromPeers;
            const auto text = isThere ? peer.known().textFor(question.digest) : std::nullopt;
            return content_read{question.request, text.has_value(), text.value_or("")};
        }
        ++platformReads;
        const auto object = platform.getObject(std::string(MergedPrefix) + question.digest);
        return content_read{question.request, object.has_value(), object ? object->content : ""};
    }
    generation_event answer(const write_content &question)
    {
        ++platformWrites;
        const auto result = platform.putObject(question.name, question.content, std::nullopt);
        return content_written{question.request, result};
    }
    generation_event answer(const commit_generation &question)
    {
        ++platformWrites;
        const auto result = platform.commit(question.transaction);
        if (result.outcome == write_outcome::Applied)
            checkAcceptance();
        return generation_committed{question.request, result};
    }
    generation_event answer(const auto &) { return tick{}; } // not asked

    // Accepted generations only rise, their content is there, and no file of one is older than in
    // the one before.
    void checkAcceptance()
    {
        const auto row = acceptedRowFromJson(platform.read(std::string(AcceptedRowKey))->value);
        check(row.generation > m_highestAccepted);
        m_highestAccepted = row.generation;
        m_acceptedAt[row.generation] = now;
        const auto object = platform.getObject(std::string(MergedPrefix) + row.digest);
        require(object.has_value());
        const auto files = contentFromText(object->content).files;
        for (const auto &[name, version] : m_acceptedFiles)
            check(!files.contains(name) || files.at(name) >= version);
        m_acceptedFiles = files;
    }

    std::map<std::string, world_process> m_processes;
    std::map<std::string, std::size_t> m_peers; // settings of each entry
    std::multimap<time_point, std::function<void()>> m_queue;
    time_point m_nextTick{};
    std::map<std::uint64_t, std::string> m_digests;
    std::map<std::uint64_t, time_point> m_acceptedAt; // not yet everywhere
    std::uint64_t m_highestAccepted = 0;
    file_versions m_acceptedFiles;
    int m_lives = 0;
};

} // namespace zinniabarrow::tests
