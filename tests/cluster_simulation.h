// Entries, agents, workers and the store of a small site under one order of events: the books and
// the tables are the real ones, the rest is modelled. No network, a virtual clock.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "run_checker.h"
#include "simulated_worker.h"

namespace zinniabarrow::tests {

// What is on its way.
enum class way {
    Order,
    OrderAnswer,
    Report,
    ReportAnswer,
    Start,
    StartAnswer,
    Stop,
    Look,
    Write,
    WriteAnswer,
    Feed,
    Thaw, // what came while a process was frozen is worked through in any order
};

struct passage
{
    milliseconds takes{2};
    bool isLost = false;
};
using passage_source = std::function<passage(way)>;

inline passage promptPassage(way /*what*/)
{
    return {};
}

// A row of a job, as committed.
struct job_row
{
    std::int64_t version = 0; // 0: there is none
    std::string content;
    std::shared_ptr<const jobs::job_record> record;
};

// Of the first kind, entries are told of each epoch and never say whose a job isn't. Fuller, they
// look at the lease of a worker that is silent, and answer for each end, as the daemons do.
enum class model_kind { First, Fuller };

struct modelled_entry
{
    std::string name;
    std::int64_t incarnation = 0;
    bool lives = false;
    bool leaving = false;
    time_point frozenUntil{};
    time_point cutOffUntil{}; // from the store, from agents and from the others
    std::unique_ptr<jobs::worker_pool> pool;
    std::unique_ptr<jobs::job_controller> book;
    std::map<std::int64_t, std::function<void(bool)>> waits;
    std::int64_t nextToken = 1;
    std::map<std::string, job_row> view;
    std::map<std::string, time_point> heard; // other entries
    time_point beganAt{};
    time_point lookAtLeasesAt{};
    bool freezesAsWritten = false; // as the next answer to a write is on its way
    milliseconds freezesFor{};
};

struct modelled_agent
{
    std::string name; // of its worker
    bool lives = false;
    int life = 0;
    time_point frozenUntil{};
    bool leaving = false;   // its worker, which says so
    int workerLife = 1;     // that it knows of
    bool owesEpoch = false; // the end of that life is not in the store yet
    std::int64_t fence = 0;
    std::int64_t leaseEpoch = 0; // that it holds; 0: none
    time_point leaseUntil{};
    bool fenceSeen = false;        // by the worker
    time_point cutOffUntil{};      // from entries
    time_point storeCutOffUntil{}; // from the store
    jobs::task_size capacity{16'000, 64'000, 0};
    jobs::run_table table;
};

// The lease of a worker, as the store has it.
struct modelled_lease
{
    std::int64_t epoch = 1;
    time_point until{};
    bool isOver = false;
};

class order_model
{
public:
    order_model(int entries, int workers, run_planner planner,
                passage_source passages = promptPassage, bool keepsTrace = true,
                model_kind kind = model_kind::First)
        : m_passages(std::move(passages))
        , m_keepsTrace(keepsTrace)
        , m_kind(kind)
    {
        for (int at = 0; at < workers; ++at) {
            const auto name = fmt::format("w{}", at + 1);
            m_workers.push_back(std::make_unique<modelled_worker>(name, planner));
            m_agents.push_back(std::make_unique<modelled_agent>());
            m_agents.back()->name = name;
            m_leases[name] = {};
        }
        for (int at = 0; at < entries; ++at) {
            m_entries.push_back(std::make_unique<modelled_entry>());
            m_entries.back()->name = fmt::format("entry-{}", at + 1);
        }
        for (auto &agent : m_agents)
            beginAgentLife(*agent);
        for (auto &entry : m_entries)
            beginEntryLife(*entry);
        watchLeases();
    }

    // --- what a test plants

    // Asked for each order that is sent: none, it travels as all do.
    std::function<std::optional<milliseconds>(const jobs::send_order &)> holdUpOrder;
    std::function<void(modelled_entry &, const std::string &, const jobs::job_record &)>
            onRowStored;
    std::function<void(const jobs::send_order &, const jobs::order_answer &)> onOrderTaken;

    void submit(const std::string &id, const jobs::job_spec &spec)
    {
        for (auto &entry : m_entries) {
            if (!isInTouch(*entry) || entry->leaving)
                continue;
            jobs::queue_policy policy;
            policy.queue = "holds";
            policy.service = "tickets";
            policy.maxAttempts = 50;
            entry->book->submit(id, spec, policy, clockOf(m_now), m_now, entry->nextToken++);
            return pump(*entry);
        }
    }

    // A row that is there before anything happens.
    void plantRow(const std::string &id, jobs::job_record record)
    {
        record.owner = {"entry-0", 1};
        commitRow(id, toText(record));
    }

    void kill(modelled_entry &entry) { killAs(entry.name, entry); }

    void beginEntryLife(modelled_entry &entry)
    {
        entry.lives = true;
        entry.leaving = false;
        entry.frozenUntil = {};
        entry.pool = std::make_unique<jobs::worker_pool>();
        entry.book = std::make_unique<jobs::job_controller>(
                jobs::owner_id{entry.name, ++entry.incarnation}, *entry.pool);
        entry.waits.clear();
        entry.beganAt = m_now;
        entry.view = m_rows;
        std::erase_if(entry.view, [](const auto &one) { return one.second.version == 0; });
        entry.heard.clear();
        for (const auto &other : m_entries)
            entry.heard[other->name] = m_now;
        say("{} lives, incarnation {}", entry.name, entry.incarnation);
        tick(entry, entry.incarnation);
    }

    void cutOff(modelled_entry &entry, milliseconds span)
    {
        entry.cutOffUntil = m_now + span;
        say("{} is cut off for {} ms", entry.name, span.count());
    }

    void freeze(modelled_entry &entry, milliseconds span) { freezeAs(entry.name, entry, span); }

    // A planned stop: the others take its jobs over, and it ends once it owns none that isn't over.
    void leave(modelled_entry &entry)
    {
        if (!entry.lives || std::exchange(entry.leaving, true))
            return;
        say("{} leaves as planned", entry.name);
        leaveOn(entry, entry.incarnation);
    }

    void kill(modelled_agent &agent) { killAs("agent of " + agent.name, agent); }

    void beginAgentLife(modelled_agent &agent)
    {
        agent.lives = true;
        agent.frozenUntil = {};
        seeWorkerLife(agent);
        ++agent.life;
        ++agent.fence;
        agent.leaseEpoch = 0;
        agent.fenceSeen = false;
        agent.table = jobs::run_table();
        tellLife(agent);
        say("agent of {} lives, life {}", agent.name, agent.fence);
        look(agent, agent.life);
        reportRegularly(agent, agent.life);
    }

    void cutOff(modelled_agent &agent, milliseconds span)
    {
        agent.cutOffUntil = m_now + span;
        say("agent of {} is cut off from entries for {} ms", agent.name, span.count());
    }

    void cutOffLink(const modelled_agent &agent, const modelled_entry &entry, milliseconds span)
    {
        m_links[{agent.name, entry.name}] = m_now + span;
        say("agent of {} and {} are cut off from each other for {} ms", agent.name, entry.name,
            span.count());
    }

    void cutOffFromAll(modelled_agent &agent, milliseconds span)
    {
        cutOff(agent, span);
        agent.storeCutOffUntil = m_now + span;
        say("agent of {} is cut off from the store as well", agent.name);
    }

    void freeze(modelled_agent &agent, milliseconds span)
    {
        freezeAs("agent of " + agent.name, agent, span);
    }

    void freezeAsWritten(modelled_entry &entry, milliseconds span)
    {
        entry.freezesAsWritten = true;
        entry.freezesFor = span;
    }

    void bootAnew(modelled_worker &worker)
    {
        worker.bootAnew();
        agentOf(worker.name()).leaving = false;
        say("{} lives anew", worker.name());
    }

    // It takes no new runs, and is gone after `drains`; another life follows after `away`.
    void leave(modelled_worker &worker, milliseconds drains, milliseconds away)
    {
        agentOf(worker.name()).leaving = true;
        say("{} leaves", worker.name());
        after(drains, [this, &worker, away] {
            if (m_isWell)
                return;
            kill(agentOf(worker.name()));
            worker.bootAnew();
            worker.turnAwayUntil(m_now + away);
            say("{} is gone for {} ms", worker.name(), away.count());
        });
        after(drains + away, [this, &worker] { agentOf(worker.name()).leaving = false; });
    }

    // No more trouble: all live, are reached and well from now on, and nothing is slow or lost.
    // What is frozen thaws in its time.
    void endTrouble()
    {
        m_isWell = true;
        m_passages = promptPassage;
        holdUpOrder = nullptr;
        m_storeDownUntil = {};
        m_links.clear();
        for (auto &worker : m_workers) {
            worker->turnAwayUntil({});
            worker->refuseNoMore();
        }
        for (auto &agent : m_agents)
            endTrouble(*agent);
        for (auto &entry : m_entries)
            endTrouble(*entry);
        say("no more trouble");
    }

    void stopStore(milliseconds span)
    {
        m_storeDownUntil = m_now + span;
        say("the store is down for {} ms", span.count());
    }

    void turnAway(modelled_worker &worker, milliseconds span)
    {
        worker.turnAwayUntil(m_now + span);
        say("{} turns starts away for {} ms", worker.name(), span.count());
    }

    void after(milliseconds span, std::function<void()> happen)
    {
        m_events.push({m_now + span, m_nextEvent++, std::move(happen)});
    }

    // --- time

    void run(milliseconds span)
    {
        const auto until = m_now + span;
        while (!m_events.empty() && m_events.top().at <= until)
            step();
        m_now = until;
    }

    // False: not within `most`.
    bool runUntil(const std::function<bool()> &holds, milliseconds most)
    {
        const auto until = m_now + most;
        while (!holds() && !m_events.empty() && m_events.top().at <= until)
            step();
        return holds();
    }

    // --- what is seen

    time_point now() const { return m_now; }
    const run_rules &rules() const { return m_rules; }
    const std::map<std::string, job_row> &rows() const { return m_rows; }
    modelled_entry &entry(std::size_t at) { return *m_entries.at(at); }
    modelled_agent &agent(std::size_t at) { return *m_agents.at(at); }
    modelled_worker &worker(std::size_t at) { return *m_workers.at(at); }
    std::size_t entries() const { return m_entries.size(); }
    std::size_t workers() const { return m_workers.size(); }
    std::size_t indexOf(const std::string &worker) const
    {
        return static_cast<std::size_t>(std::stoul(worker.substr(1))) - 1;
    }
    modelled_entry *ownerOf(const std::string &job)
    {
        for (auto &entry : m_entries) {
            if (entry->lives && entry->book->owns(job))
                return entry.get();
        }
        return nullptr;
    }
    std::size_t jobsOver() const
    {
        return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [](auto &one) {
            return one.second.record && jobs::isFinal(one.second.record->state());
        }));
    }
    const std::vector<std::string> &trace() const { return m_trace; }
    template <typename... Words>
    void say(fmt::format_string<Words...> text, Words &&...words)
    {
        if (m_keepsTrace)
            m_trace.push_back(fmt::format("{:>7} {}", clockOf(m_now) - clockOf(m_begin),
                                          fmt::format(text, std::forward<Words>(words)...)));
    }

private:
    static constexpr milliseconds Tick{50};
    static constexpr milliseconds LookEvery{40};
    static constexpr milliseconds ReportEvery{1000};
    static constexpr milliseconds ReportTimeout{1000};
    static constexpr milliseconds OrderTimeout{800};
    static constexpr milliseconds CallTimeout{1000};
    static constexpr milliseconds LateFrom{100}; // a start that is carried out then
    static constexpr milliseconds StartWithin{1500};
    static constexpr milliseconds LeaseLength{5000};
    static constexpr milliseconds LeaseMargin{600}; // clocks are 2% slow at most
    static constexpr milliseconds WriteRetry{300};
    static constexpr milliseconds SilentAfter{1600};
    static constexpr milliseconds LeavesWithin{3000};
    static constexpr milliseconds LookAtLeasesEvery{700};
    static constexpr milliseconds SilentWorker{3000};

    struct event
    {
        time_point at{};
        std::uint64_t number = 0;
        std::function<void()> happen;
    };
    struct later
    {
        bool operator()(const event &one, const event &other) const
        {
            return one.at != other.at ? one.at > other.at : one.number > other.number;
        }
    };

    void step()
    {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.happen();
    }

    bool storeUp() const { return m_now >= m_storeDownUntil; }
    bool isFrozen(const modelled_entry &entry) const { return m_now < entry.frozenUntil; }
    bool isInTouch(const modelled_entry &entry) const
    {
        return entry.lives && !isFrozen(entry) && m_now >= entry.cutOffUntil;
    }
    bool reachesStore(const modelled_entry &entry) const
    {
        return storeUp() && m_now >= entry.cutOffUntil;
    }
    bool reachesStore(const modelled_agent &agent) const
    {
        return storeUp() && m_now >= agent.storeCutOffUntil;
    }

    template <typename modelled_process>
    void killAs(const std::string &name, modelled_process &process)
    {
        if (std::exchange(process.lives, false))
            say("{} is killed", name);
    }

    template <typename modelled_process>
    void freezeAs(const std::string &name, modelled_process &process, milliseconds span)
    {
        if (!process.lives)
            return;
        process.frozenUntil = m_now + span;
        say("{} is frozen for {} ms", name, span.count());
    }

    bool isLinked(const modelled_agent &agent, const modelled_entry &entry) const
    {
        const auto link = m_links.find({agent.name, entry.name});
        return m_now >= agent.cutOffUntil && m_now >= entry.cutOffUntil
               && (link == m_links.end() || m_now >= link->second);
    }

    // In that life of the entry, and not before it thaws.
    void atEntry(modelled_entry &entry, std::int64_t incarnation, std::function<void()> happen)
    {
        if (!entry.lives || entry.incarnation != incarnation)
            return;
        if (!isFrozen(entry))
            return happen();
        after(std::chrono::ceil<milliseconds>(entry.frozenUntil - m_now) + thawTakes(),
              [this, &entry, incarnation, happen = std::move(happen)]() mutable {
                  atEntry(entry, incarnation, std::move(happen));
              });
    }

    milliseconds thawTakes()
    {
        return m_kind == model_kind::First ? milliseconds(0) : m_passages(way::Thaw).takes;
    }

    // The same of an agent.
    void atAgent(modelled_agent &agent, int life, std::function<void()> happen)
    {
        if (!agent.lives || agent.life != life)
            return;
        if (m_now >= agent.frozenUntil)
            return happen();
        after(std::chrono::ceil<milliseconds>(agent.frozenUntil - m_now) + thawTakes(),
              [this, &agent, life, happen = std::move(happen)]() mutable {
                  atAgent(agent, life, std::move(happen));
              });
    }

    void endTrouble(modelled_agent &agent)
    {
        agent.cutOffUntil = {};
        agent.storeCutOffUntil = {};
        agent.leaving = false;
        agent.capacity = {16'000, 64'000, 0};
        if (!agent.lives)
            beginAgentLife(agent);
    }

    void endTrouble(modelled_entry &entry)
    {
        entry.cutOffUntil = {};
        entry.freezesAsWritten = false;
        if (entry.leaving)
            kill(entry);
        if (!entry.lives)
            beginEntryLife(entry);
    }

    // --- entries

    void tick(modelled_entry &entry, std::int64_t incarnation)
    {
        after(Tick, [this, &entry, incarnation] {
            atEntry(entry, incarnation, [this, &entry, incarnation] {
                hearOthers(entry);
                takeOver(entry);
                lookAtLeases(entry);
                pump(entry);
                tick(entry, incarnation);
            });
        });
    }

    void hearOthers(modelled_entry &entry)
    {
        if (m_now < entry.cutOffUntil)
            return;
        for (const auto &other : m_entries) {
            if (isInTouch(*other))
                entry.heard[other->name] = m_now;
        }
    }

    bool isHeard(const modelled_entry &entry, const std::string &other) const
    {
        const auto found = entry.heard.find(other);
        return found != entry.heard.end() && m_now - found->second <= SilentAfter;
    }

    modelled_entry *entryNamed(const std::string &name)
    {
        for (auto &entry : m_entries) {
            if (entry->name == name)
                return entry.get();
        }
        return nullptr;
    }

    bool isGone(const modelled_entry &by, const jobs::owner_id &owner)
    {
        const auto *other = entryNamed(owner.entry);
        if (other == nullptr || !isHeard(by, owner.entry))
            return true;
        const bool told = isInTouch(*other) && m_now >= by.cutOffUntil;
        return told && (other->leaving || other->incarnation != owner.incarnation);
    }

    bool isHeir(const modelled_entry &entry)
    {
        for (const auto &other : m_entries) {
            if (other.get() == &entry)
                return true;
            if (isHeard(entry, other->name) && !other->leaving)
                return false;
        }
        return true;
    }

    void takeOver(modelled_entry &entry)
    {
        if (entry.leaving || !isHeir(entry) || !reachesStore(entry))
            return;
        for (const auto &[job, row] : entry.view) {
            if (entry.book->owns(job))
                continue;
            if (row.record->needsOwner() && isGone(entry, row.record->owner))
                entry.book->adopt(job, *row.record, row.version, "payload");
        }
    }

    // Of workers that nobody has heard of for a while.
    void lookAtLeases(modelled_entry &entry)
    {
        if (m_kind == model_kind::First || m_now < entry.lookAtLeasesAt || !reachesStore(entry))
            return;
        entry.lookAtLeasesAt = m_now + LookAtLeasesEvery;
        for (const auto &worker : entry.book->workersWithPlacements()) {
            const auto *view = entry.pool->find(worker);
            const auto heardAt = view == nullptr ? entry.beganAt : view->lastReportAt;
            if (m_now - heardAt >= SilentWorker)
                entry.book->epochSeen(worker, m_leases[worker].epoch);
        }
    }

    void leaveOn(modelled_entry &entry, std::int64_t incarnation, milliseconds spent = {})
    {
        after(Tick, [this, &entry, incarnation, spent] {
            atEntry(entry, incarnation, [this, &entry, incarnation, spent] {
                if (entry.book->unfinishedJobCount() > 0 && spent < LeavesWithin)
                    return leaveOn(entry, incarnation, spent + Tick);
                entry.lives = false;
                say("{} has ended", entry.name);
            });
        });
    }

    void pump(modelled_entry &entry)
    {
        entry.book->plan(m_now, clockOf(m_now));
        for (auto &action : entry.book->takeActions())
            std::visit([&](const auto &one) { carryOut(entry, one); }, action);
    }

    void carryOut(modelled_entry &entry, const jobs::write_row &write)
    {
        tryWrite(entry, entry.incarnation, write);
    }

    void carryOut(modelled_entry &entry, const jobs::send_order &given) { send(entry, given); }

    void carryOut(modelled_entry &entry, const jobs::change_stored &done)
    {
        resolve(entry, done.token, true);
    }

    void carryOut(modelled_entry &entry, const jobs::ownership_lost &lost)
    {
        resolve(entry, lost.token, false);
    }

    void carryOut(modelled_entry &entry, const jobs::log_event &line)
    {
        say("{} notes {} {} {}", entry.name, line.event, line.job, line.detail);
    }

    static void resolve(modelled_entry &entry, std::int64_t token, bool isStored)
    {
        auto found = entry.waits.extract(token);
        if (!found.empty())
            found.mapped()(isStored);
    }

    // --- the store

    // Repeated unchanged until its outcome is known.
    void tryWrite(modelled_entry &entry, std::int64_t incarnation, const jobs::write_row &write)
    {
        const auto there = m_passages(way::Write);
        const bool arrives = !there.isLost && reachesStore(entry);
        if (!arrives)
            return repeatWrite(entry, incarnation, write);
        after(there.takes, [this, &entry, incarnation, write] {
            const bool holds = m_rows[write.job].version == write.expectedVersion;
            if (holds)
                commitBy(entry, write);
            if (std::exchange(entry.freezesAsWritten, false))
                freeze(entry, entry.freezesFor);
            answerWrite(entry, incarnation, write, holds);
        });
    }

    void repeatWrite(modelled_entry &entry, std::int64_t incarnation, const jobs::write_row &write)
    {
        after(WriteRetry, [this, &entry, incarnation, write] {
            atEntry(entry, incarnation,
                    [this, &entry, incarnation, write] { tryWrite(entry, incarnation, write); });
        });
    }

    void commitBy(modelled_entry &entry, const jobs::write_row &write)
    {
        commitRow(write.job, write.content);
        const auto tasks = write.content.find("\"t\":");
        say("row {} by {}: {}", write.job, entry.name,
            tasks == std::string::npos ? "" : write.content.substr(tasks));
        if (onRowStored)
            onRowStored(entry, write.job, *m_rows[write.job].record);
    }

    void commitRow(const std::string &job, const std::string &content)
    {
        auto &row = m_rows[job];
        row.content = content;
        row.record = std::make_shared<const jobs::job_record>(jobs::recordFrom(content));
        row.version = ++m_version;
        m_rules.stored(job, *row.record, m_now);
        for (auto &entry : m_entries)
            feed(*entry, entry->incarnation, job, row);
    }

    void answerWrite(modelled_entry &entry, std::int64_t incarnation, const jobs::write_row &write,
                     bool holds)
    {
        const auto back = m_passages(way::WriteAnswer);
        if (back.isLost || !reachesStore(entry))
            return repeatWrite(entry, incarnation, write);
        const auto row = m_rows[write.job];
        after(back.takes, [this, &entry, incarnation, write, holds, row] {
            atEntry(entry, incarnation, [this, &entry, write, holds, row] {
                if (holds)
                    entry.book->rowWritten(write.job, row.version);
                else if (row.version == 0)
                    entry.book->rowConflict(write.job, 0, std::nullopt);
                else
                    entry.book->rowConflict(write.job, row.version, row.content);
                pump(entry);
            });
        });
    }

    void feed(modelled_entry &entry, std::int64_t incarnation, const std::string &job,
              const job_row &row)
    {
        after(m_passages(way::Feed).takes, [this, &entry, incarnation, job, row] {
            if (!reachesStore(entry)) {
                if (entry.incarnation == incarnation)
                    feed(entry, incarnation, job, row);
                return;
            }
            atEntry(entry, incarnation, [this, &entry, job, row] { rowSeen(entry, job, row); });
        });
    }

    void rowSeen(modelled_entry &entry, const std::string &job, const job_row &row)
    {
        auto &known = entry.view[job];
        if (known.version >= row.version)
            return;
        known = row;
        if (entry.book->owns(job))
            entry.book->rowChanged(job, *row.record, row.version);
        pump(entry);
    }

    // Ends the epoch of a worker whose lease is over for certain, and tells the entries.
    void watchLeases()
    {
        after(milliseconds(200), [this] {
            for (auto &[worker, lease] : m_leases) {
                const bool lapsed = lease.until != time_point{} && !lease.isOver
                                    && m_now > lease.until + LeaseMargin;
                if (lapsed && storeUp())
                    endEpoch(worker, lease);
            }
            watchLeases();
        });
    }

    void endEpoch(const std::string &worker, modelled_lease &lease)
    {
        lease.isOver = true;
        ++lease.epoch;
        say("{} has epoch {}", worker, lease.epoch);
        if (m_kind == model_kind::Fuller)
            return;
        for (auto &entry : m_entries)
            tellEpoch(*entry, entry->incarnation, worker, lease.epoch);
    }

    void tellEpoch(modelled_entry &entry, std::int64_t incarnation, const std::string &worker,
                   std::int64_t epoch)
    {
        after(m_passages(way::Feed).takes, [this, &entry, incarnation, worker, epoch] {
            if (!reachesStore(entry)) {
                if (entry.incarnation == incarnation)
                    tellEpoch(entry, incarnation, worker, epoch);
                return;
            }
            atEntry(entry, incarnation, [this, &entry, worker, epoch] {
                entry.book->workerRestarted(worker, epoch, m_now);
                pump(entry);
            });
        });
    }

    // --- orders

    modelled_agent &agentOf(const std::string &worker) { return *m_agents[indexOf(worker)]; }

    void send(modelled_entry &entry, const jobs::send_order &given)
    {
        if (entry.pool->find(given.worker) == nullptr) // its agent's address is not known
            return entry.book->orderUnanswered(given.worker, given.order.task, given.order.run,
                                               m_now);
        auto there = m_passages(way::Order);
        if (const auto held = holdUpOrder ? holdUpOrder(given) : std::nullopt)
            there.takes = *held;
        const auto heard = std::make_shared<bool>(false);
        if (!there.isLost) {
            after(there.takes, [this, &entry, given, heard, incarnation = entry.incarnation,
                                agentLife = lifeTold(entry, given.worker)] {
                arrive(entry, incarnation, given, agentLife, heard);
            });
        }
        after(OrderTimeout, [this, &entry, given, heard, incarnation = entry.incarnation] {
            atEntry(entry, incarnation, [this, &entry, given, heard] {
                if (std::exchange(*heard, true))
                    return;
                entry.book->orderUnanswered(given.worker, given.order.task, given.order.run, m_now);
                pump(entry);
            });
        });
    }

    // Of the agent, by its reports.
    static std::int64_t lifeTold(const modelled_entry &entry, const std::string &worker)
    {
        const auto *view = entry.pool->find(worker);
        return view == nullptr ? 0 : view->lastReport.agentIncarnation;
    }

    void arrive(modelled_entry &entry, std::int64_t incarnation, const jobs::send_order &given,
                std::int64_t agentLife, const std::shared_ptr<bool> &heard)
    {
        auto &agent = agentOf(given.worker);
        if (!isLinked(agent, entry))
            return;
        atAgent(agent, agent.life, [this, &entry, &agent, incarnation, given, agentLife, heard] {
            takeOrder(entry, agent, incarnation, given, agentLife, heard);
        });
    }

    void takeOrder(modelled_entry &entry, modelled_agent &agent, std::int64_t incarnation,
                   const jobs::send_order &given, std::int64_t agentLife,
                   const std::shared_ptr<bool> &heard)
    {
        agent.table.setWorker(agent.capacity, readinessOf(agent));
        const auto answer =
                agent.table.handleOrder(onModelClock(agent, given.order), entry.name, m_now);
        say("agent of {} takes {} of {} run {} from {}: {}", agent.name,
            given.order.kind == jobs::order_kind::Start ? "start" : "stop",
            toText(given.order.task), given.order.run, entry.name, nameOf(answer.outcome));
        act(agent);
        if (onOrderTaken)
            onOrderTaken(given, answer);
        const auto back = m_passages(way::OrderAnswer);
        if (back.isLost)
            return;
        after(back.takes, [this, &entry, incarnation, given, answer, agentLife, heard] {
            atEntry(entry, incarnation, [this, &entry, given, answer, agentLife, heard] {
                if (std::exchange(*heard, true))
                    return;
                entry.book->orderAnswered(given.worker, answer, m_now, agentLife);
                pump(entry);
            });
        });
    }

    // --- agents

    // Each life of an agent has a clock of its own.
    static std::int64_t clockOffset(const modelled_agent &agent)
    {
        constexpr std::int64_t Apart = 7'000'000;
        return agent.life % 2 == 0 ? Apart * agent.life : -Apart / (agent.life + 2);
    }

    static jobs::run_order onModelClock(const modelled_agent &agent, jobs::run_order order)
    {
        if (order.startDeadlineMs != 0)
            order.startDeadlineMs -= clockOffset(agent);
        return order;
    }

    // What a life of an agent is told of itself before it takes anything.
    static void tellLife(modelled_agent &agent) { agent.table.setAgentIncarnation(agent.fence); }

    jobs::start_readiness readinessOf(const modelled_agent &agent) const
    {
        if (agent.leaving)
            return jobs::start_readiness::Unavailable;
        const bool isOpen = agent.table.epoch() > 0 && m_now < agent.leaseUntil;
        return isOpen ? jobs::start_readiness::Ready : jobs::start_readiness::RetryLater;
    }

    // Renews the lease, or begins the epoch that the store has by now.
    void keepLease(modelled_agent &agent)
    {
        if (!reachesStore(agent))
            return;
        auto &lease = m_leases[agent.name];
        if (agent.owesEpoch && !endedWithLife(agent, lease))
            return;
        if (agent.leaseEpoch != 0 && agent.leaseEpoch != lease.epoch) {
            ++agent.fence;
            tellLife(agent);
            agent.fenceSeen = false;
            agent.leaseEpoch = 0;
            agent.table.setEpoch(0);
            agent.table.stopAll(m_now);
        }
        const bool mayBegin = agent.leaseEpoch != 0 || !lease.isOver
                              || (agent.fenceSeen && agent.table.activeRunCount() == 0);
        if (!mayBegin)
            return;
        agent.leaseEpoch = lease.epoch;
        lease.isOver = false;
        lease.until = m_now + LeaseLength;
        agent.leaseUntil = lease.until;
    }

    // False: what the worker's new life was told to start by orders of before has to end first.
    bool endedWithLife(modelled_agent &agent, modelled_lease &lease)
    {
        if (!agent.fenceSeen)
            return false;
        if (agent.table.activeRunCount() > 0) {
            agent.table.stopAll(m_now);
            return false;
        }
        agent.owesEpoch = false;
        endEpoch(agent.name, lease);
        return true;
    }

    void look(modelled_agent &agent, int life)
    {
        after(LookEvery, [this, &agent, life] {
            atAgent(agent, life, [this, &agent, life] {
                keepLease(agent);
                readList(agent, life);
                look(agent, life);
            });
        });
    }

    // Its worker lives anew: what ran there has ended, and the epoch with it.
    void seeWorkerLife(modelled_agent &agent)
    {
        const auto life = m_workers[indexOf(agent.name)]->life();
        if (std::exchange(agent.workerLife, life) == life)
            return;
        say("agent of {} knows that its worker lives anew", agent.name);
        agent.table.clearRuns();
        ++agent.fence;
        tellLife(agent);
        agent.fenceSeen = false;
        agent.leaseEpoch = 0;
        agent.owesEpoch = true;
    }

    void readList(modelled_agent &agent, int life)
    {
        auto &worker = *m_workers[indexOf(agent.name)];
        std::optional<std::int64_t> deadline;
        if (agent.leaseEpoch != 0 && m_now < agent.leaseUntil)
            deadline = clockOf(agent.leaseUntil);
        const auto listing =
                worker.hold(deadline, agent.table.acknowledgedThrough(), agent.fence, m_now);
        const auto back = m_passages(way::Look);
        if (!listing || back.isLost)
            return;
        after(back.takes, [this, &agent, life, listing = *listing, fence = agent.fence,
                           workerLife = worker.life()] {
            atAgent(agent, life, [this, &agent, listing, fence, workerLife] {
                if (agent.fence == fence)
                    looked(agent, listing, workerLife);
            });
        });
    }

    void looked(modelled_agent &agent, const jobs::run_listing &listing, int workerLife)
    {
        if (workerLife != agent.workerLife)
            return seeWorkerLife(agent);
        const auto before = agent.table.newEndCount();
        agent.fenceSeen = true;
        agent.table.applyListing(listing, m_now);
        const bool settles = agent.leaseEpoch != 0 && agent.table.epoch() != agent.leaseEpoch;
        if (settles)
            agent.table.setEpoch(agent.leaseEpoch);
        act(agent);
        if (settles || agent.table.newEndCount() != before)
            reportAll(agent);
    }

    void act(modelled_agent &agent)
    {
        const bool mayStart = agent.fenceSeen && agent.leaseEpoch != 0 && m_now < agent.leaseUntil;
        for (const auto &action : agent.table.takeDueActions(m_now, mayStart))
            std::visit([&](const auto &one) { carryOut(agent, one); }, action);
    }

    void carryOut(modelled_agent &agent, const jobs::start_run &start)
    {
        const auto deadline = clockOf(std::min<time_point>(agent.leaseUntil, m_now + StartWithin));
        agent.table.startCalled(start.task, start.run, deadline);
        const auto there = m_passages(way::Start);
        const auto heard = std::make_shared<bool>(false);
        const auto life = agent.life;
        if (!there.isLost) {
            const bool late = there.takes >= LateFrom;
            after(there.takes,
                  [this, &agent, life, start, deadline, late, heard, fence = agent.fence,
                   workerLife = m_workers[indexOf(agent.name)]->life()] {
                      // A connection ends with the worker's life.
                      if (m_workers[indexOf(agent.name)]->life() == workerLife)
                          startAt(agent, life, start, deadline, fence, late, heard);
                  });
        }
        after(CallTimeout, [this, &agent, life, start, heard] {
            startHeard(agent, life, start, jobs::start_answer::Unanswered, heard);
        });
    }

    void startAt(modelled_agent &agent, int life, const jobs::start_run &start,
                 std::int64_t deadline, std::int64_t fence, bool late,
                 const std::shared_ptr<bool> &heard)
    {
        auto &worker = *m_workers[indexOf(agent.name)];
        bool begun = false;
        const auto answer = worker.start(start, deadline, fence, m_now, begun);
        if (begun) {
            say("{} STARTS {} run {}{}", agent.name, toText(start.task), start.run,
                late ? ", late" : "");
            m_rules.started(start.task, start.run, m_workers, late, m_now);
        }
        const auto back = m_passages(way::StartAnswer);
        if (back.isLost)
            return;
        after(back.takes, [this, &agent, life, start, answer, heard] {
            startHeard(agent, life, start, answer, heard);
        });
    }

    void startHeard(modelled_agent &agent, int life, const jobs::start_run &start,
                    jobs::start_answer answer, const std::shared_ptr<bool> &heard)
    {
        if (std::exchange(*heard, true))
            return;
        atAgent(agent, life, [this, &agent, start, answer] {
            const auto before = agent.table.newEndCount();
            agent.table.startAnswered(start.task, start.run, answer, m_now);
            if (agent.table.newEndCount() != before)
                reportAll(agent);
        });
    }

    void carryOut(modelled_agent &agent, const jobs::stop_run &stop)
    {
        const auto there = m_passages(way::Stop);
        if (there.isLost)
            return;
        after(there.takes, [this, &agent, stop, fence = agent.fence,
                            workerLife = m_workers[indexOf(agent.name)]->life()] {
            auto &worker = *m_workers[indexOf(agent.name)];
            if (worker.life() == workerLife && worker.stop(stop, fence, m_now))
                say("{} stops {} run {}", agent.name, toText(stop.task), stop.run);
        });
    }

    // --- reports

    void reportRegularly(modelled_agent &agent, int life)
    {
        after(ReportEvery, [this, &agent, life] {
            atAgent(agent, life, [this, &agent, life] {
                reportAll(agent);
                reportRegularly(agent, life);
            });
        });
    }

    void reportAll(modelled_agent &agent)
    {
        for (auto &entry : m_entries)
            report(agent, *entry);
    }

    jobs::worker_report reportOf(const modelled_agent &agent, const std::string &entry) const
    {
        jobs::worker_report told;
        told.worker = agent.name;
        told.agentIncarnation = agent.fence;
        told.epoch = agent.table.epoch();
        told.clockMs = clockOf(m_now) + clockOffset(agent);
        told.service = "tickets";
        told.isAccepting = readinessOf(agent) == jobs::start_readiness::Ready;
        told.capacity = agent.capacity;
        told.used = agent.table.used();
        told.ends = agent.table.endsFor(entry);
        told.started = agent.table.startsFor(entry);
        return told;
    }

    void report(modelled_agent &agent, modelled_entry &entry)
    {
        const auto there = m_passages(way::Report);
        const auto answered = std::make_shared<bool>(false);
        const auto life = agent.life;
        after(ReportTimeout, [&agent, &entry, life, answered] {
            if (!std::exchange(*answered, true) && agent.lives && agent.life == life)
                agent.table.noteOwnerSilent(entry.name);
        });
        if (there.isLost)
            return;
        after(there.takes, [this, &agent, &entry, life, answered,
                            told = reportOf(agent, entry.name), incarnation = entry.incarnation] {
            if (!isLinked(agent, entry))
                return;
            atEntry(entry, incarnation, [this, &agent, &entry, life, answered, told] {
                takeReport(entry, agent, life, told, answered);
            });
        });
    }

    void takeReport(modelled_entry &entry, modelled_agent &agent, int life,
                    const jobs::worker_report &told, const std::shared_ptr<bool> &answered)
    {
        const bool livesAnew = entry.pool->update(told, m_now) && told.epoch > 0;
        for (const auto &run : told.started)
            entry.book->runStarted(run, m_now);
        const bool inTime = !std::exchange(*answered, true);
        for (const auto &end : told.ends)
            takeEnd(entry, agent, life, end, inTime);
        if (livesAnew)
            entry.book->workerRestarted(told.worker, told.epoch, m_now);
        if (entry.pool->find(told.worker)->lastReport.agentIncarnation == told.agentIncarnation)
            entry.book->workerReported(told.worker, m_now);
        if (inTime && agent.lives && agent.life == life)
            agent.table.noteStartsReported(told.started, entry.name);
        pump(entry);
    }

    void takeEnd(modelled_entry &entry, modelled_agent &agent, int life, const jobs::run_end &end,
                 bool inTime)
    {
        const auto token = entry.nextToken++;
        entry.waits[token] = [this, &entry, &agent, life, end, inTime](bool isStored) {
            if (isStored && inTime)
                acknowledge(entry, agent, life, end);
            if (!isStored && inTime && m_kind == model_kind::Fuller)
                sayNotOwned(entry, agent, life, end);
        };
        if (entry.book->runEnded(agent.name, end, m_now, token))
            return;
        const auto known = entry.view.find(end.task.job);
        resolve(entry, token, known != entry.view.end() && isSettled(*known->second.record));
    }

    bool isSettled(const jobs::job_record &record) const
    {
        return m_kind == model_kind::First ? jobs::isFinal(record.state()) : !record.needsOwner();
    }

    void sayNotOwned(modelled_entry &entry, modelled_agent &agent, int life,
                     const jobs::run_end &end)
    {
        answerReport(entry, agent, life, [this, &entry, &agent, end] {
            if (agent.table.noteNotOwned({end.task, end.run, end.endKind}, entry.name))
                reportAll(agent);
        });
    }

    void acknowledge(modelled_entry &entry, modelled_agent &agent, int life,
                     const jobs::run_end &end)
    {
        answerReport(entry, agent, life, [this, &agent, end] {
            agent.table.acknowledgeEnd({end.task, end.run, end.endKind}, m_now);
        });
    }

    // What the agent's life does with one part of an entry's answer to its report.
    void answerReport(const modelled_entry &entry, modelled_agent &agent, int life,
                      std::function<void()> take)
    {
        const auto back = m_passages(way::ReportAnswer);
        if (back.isLost)
            return;
        after(back.takes, [this, &entry, &agent, life, take = std::move(take)] {
            if (isLinked(agent, entry))
                atAgent(agent, life, take);
        });
    }

    passage_source m_passages;
    bool m_keepsTrace = true;
    model_kind m_kind = model_kind::First;
    time_point m_begin{std::chrono::hours(1)};
    time_point m_now{m_begin};
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::uint64_t m_nextEvent = 0;
    std::vector<std::unique_ptr<modelled_entry>> m_entries;
    std::vector<std::unique_ptr<modelled_agent>> m_agents;
    std::vector<std::unique_ptr<modelled_worker>> m_workers;
    std::map<std::string, job_row> m_rows;
    std::map<std::string, modelled_lease> m_leases;
    std::map<std::pair<std::string, std::string>, time_point> m_links; // agent and entry: cut until
    std::int64_t m_version = 0;
    time_point m_storeDownUntil{};
    bool m_isWell = false; // no more trouble
    run_rules m_rules;
    std::vector<std::string> m_trace;
};

} // namespace zinniabarrow::tests
