// A small model around the cores of libs/work: an in-memory table with faults, workers that keep
// what docs/design/OWNERSHIP.md asks of them, and a message queue on a virtual clock. What the
// workers do is written as a trace; the checker reads it at the end of every run.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/random.h"
#include "platform/memory_platform.h"
#include "work/ownership.h"
#include "work/task_coordinator.h"
#include "work/task_supervisor.h"
#include "work/trace_checker.h"
#include "work/worker_tasks.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::work;

enum class table_fault { None, Down, Slow, AnswerLost };
enum class network_fault { None, Doubled, Reordered, Dropped };

// Every process can be killed (its memory is lost) or frozen (its messages wait, also those that it
// had decided to send and had not sent yet).
struct process
{
    std::string name;
    bool alive = true;
    int life = 1;
    time_point frozenUntil;
    time_point restartAt = Never;
    std::set<std::string> cutFrom; // messages to and from these are lost
};

struct model_worker : process
{
    worker_tasks tasks{1};
    std::map<task_id, time_point> doneAt;
};

struct model_agent : process
{
    std::string worker;
    std::unique_ptr<task_keeper> keeper;
};

struct model_entry : process
{
    std::unique_ptr<shard_owner> owner;
    std::unique_ptr<task_table> table;
    std::map<task_id, std::string> ledger;
};

// What is measured besides the trace.
struct model_counts
{
    std::map<std::string, int> reasons;
    std::size_t commits = 0;
    std::size_t rows = 0;
    std::size_t rowBytes = 0;
    std::size_t reads = 0;
};

class work_model
{
public:
    static constexpr int Slots = 6; // tasks that a worker holds

    explicit work_model(std::uint64_t seed, int size = 3)
        : m_random(seed)
    {
        settings.horizon = seconds(60);
        for (const auto *name : {"entry-a", "entry-b"})
            entries[name].name = name;
        for (int i = 0; i < size; ++i) {
            const std::string name = "w" + std::to_string(i);
            workers[name].name = name;
            agents["agent-" + name].name = "agent-" + name;
            agents["agent-" + name].worker = name;
            traceWorker(name);
        }
        for (auto &[name, entry] : entries)
            boot(entry);
        for (auto &[name, agent] : agents)
            boot(agent);
    }

    // Jobs as an operator gives them.
    void submit(const std::string &job, std::uint32_t tasks, failover_class failover, bool service,
                int runSeconds)
    {
        job_spec spec;
        spec.id = job;
        spec.generation = 1;
        spec.tasks = tasks;
        spec.failover = failover;
        spec.service = service;
        spec.spec["runSeconds"] = runSeconds;
        m_jobs.push_back(spec);
        for (std::uint32_t index = 0; index < tasks; ++index) {
            Json::Value event = traceEvent("accepted", {job, index});
            event["service"] = service;
            event["failover"] = std::string(nameOf(failover));
            write(event);
        }
    }
    void cancel(const std::string &job) { m_cancelled.insert(job); }
    void evict(const task_id &task) { m_evict.insert(task); }

    void kill(process &target, milliseconds restartAfter)
    {
        target.alive = false;
        target.restartAt = now + restartAfter;
        if (auto *worker = findIn(workers, target.name)) {
            worker->tasks = worker_tasks(worker->tasks.incarnation() + 1);
            traceWorker(target.name);
        }
    }
    void freeze(process &target, milliseconds length) { target.frozenUntil = now + length; }

    void release(model_entry &entry) { feedOwner(entry, release_shards{quietWorkers(entry)}); }
    // The instance and its agent reach nobody else any more.
    void cutOff(const std::string &worker)
    {
        for (const auto &[name, entry] : entries)
            agents.at("agent-" + worker).cutFrom.insert(name);
    }
    // A second agent for a worker whose first one is only paused, and goes on later.
    void doubleAgent(const std::string &worker, milliseconds length)
    {
        freeze(agents.at("agent-" + worker), length);
        model_agent &second = agents["second-" + worker];
        second.name = "second-" + worker;
        second.worker = worker;
        ++second.life; // no two processes share a session
        boot(second);
    }

    void runUntil(time_point end)
    {
        while (now < end) {
            deliverUntil(now);
            stepAll();
            now += Tick;
        }
    }
    void runFor(milliseconds length) { runUntil(now + length); }
    // Runs until `done`, at most `length`; returns how long it took.
    milliseconds runUntilTrue(milliseconds length, const std::function<bool()> &done)
    {
        const time_point start = now;
        while (now < start + length && !done())
            runFor(Tick);
        return std::chrono::duration_cast<milliseconds>(now - start);
    }

    model_entry *owner()
    {
        for (auto &[name, entry] : entries) {
            if (entry.alive && entry.owner->owns(0) && entry.table && entry.table->ready()
                && now >= entry.frozenUntil)
                return &entry;
        }
        return nullptr;
    }
    bool runs(const task_id &task) const { return !whereRuns(task).empty(); }
    std::string whereRuns(const task_id &task) const
    {
        for (const auto &[name, worker] : workers) {
            if (worker.alive && worker.tasks.runs(task))
                return name;
        }
        return {};
    }
    int starts(const task_id &task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second;
    }

    std::vector<trace_violation> violations()
    {
        traceCancelled();
        std::istringstream lines(trace);
        return checkTrace(lines, true);
    }

    time_point now{seconds(1)};
    lease_settings settings;
    memory_platform platform;
    bool placeAhead = false; // a full pool gets a backlog
    table_fault tableFault = table_fault::None;
    network_fault networkFault = network_fault::None;
    std::map<std::string, model_entry> entries;
    std::map<std::string, model_agent> agents;
    std::map<std::string, model_worker> workers;
    model_counts counts;
    std::string trace;
    // Called at each step of a task: "place", "run", "evict", "resume", "cancel", with its worker.
    std::function<void(const std::string &step, const std::string &worker)> onStep;

private:
    static constexpr milliseconds Tick{100};
    static constexpr milliseconds Hop{2};

    struct message
    {
        time_point at;
        std::uint64_t order;
        std::string from, to;
        int toLife;
        std::function<void()> deliver;
        bool operator<(const message &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    template <typename Map>
    static typename Map::mapped_type *findIn(Map &map, const std::string &name)
    {
        const auto found = map.find(name);
        return found == map.end() ? nullptr : &found->second;
    }
    process *find(const std::string &name)
    {
        if (auto *entry = findIn(entries, name))
            return entry;
        if (auto *agent = findIn(agents, name))
            return agent;
        return findIn(workers, name);
    }

    // Messages.
    void post(const std::string &from, const std::string &to, milliseconds delay,
              std::function<void()> deliver)
    {
        process *target = find(to);
        m_queue.push(
                {now + delay, ++m_order, from, to, target ? target->life : 0, std::move(deliver)});
    }
    // Between processes: subject to the faults of the network.
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver)
    {
        milliseconds delay = Hop;
        if (networkFault == network_fault::Dropped && pickIndex(m_random, 3) == 0)
            return;
        if (networkFault == network_fault::Reordered)
            delay = milliseconds(pickIndex(m_random, 3'000));
        if (networkFault == network_fault::Doubled)
            post(from, to, delay + milliseconds(pickIndex(m_random, 5'000)), deliver);
        post(from, to, delay, deliver);
    }
    void deliverUntil(time_point end)
    {
        while (!m_queue.empty() && m_queue.top().at <= end) {
            message next = m_queue.top();
            m_queue.pop();
            const process *from = find(next.from);
            const process *to = find(next.to);
            const time_point thaw = std::max(from ? from->frozenUntil : time_point(),
                                             to ? to->frozenUntil : time_point());
            if (thaw > now) {
                next.at = thaw;
                m_queue.push(next);
                continue;
            }
            if (to && (!to->alive || to->life != next.toLife))
                continue;
            if (from && to && (from->cutFrom.contains(next.to) || to->cutFrom.contains(next.from)))
                continue;
            next.deliver();
        }
    }

    void stepAll()
    {
        for (auto &[name, worker] : workers) {
            restartIfDue(worker);
            // A frozen instance runs nothing, and ends lapsed tasks before anything else.
            if (worker.alive)
                stepWorker(worker);
        }
        for (auto &[name, agent] : agents) {
            restartIfDue(agent);
            if (agent.alive && now >= agent.frozenUntil)
                run(agent, agent.keeper->handle(keeper_tick{}, now));
        }
        for (auto &[name, entry] : entries) {
            restartIfDue(entry);
            if (entry.alive && now >= entry.frozenUntil)
                stepEntry(entry);
        }
    }
    template <typename Process>
    void restartIfDue(Process &target)
    {
        if (target.alive || now < target.restartAt)
            return;
        target.alive = true;
        ++target.life;
        target.restartAt = Never;
        boot(target);
    }
    void boot(model_worker &worker) { traceWorker(worker.name); }
    void boot(model_agent &agent)
    {
        keeper_settings keeper;
        keeper.leases = settings;
        keeper.reportEvery = seconds(4); // as the agent's settings have it
        agent.keeper = std::make_unique<task_keeper>(
                agent.worker, agent.name + "#" + std::to_string(agent.life), keeper,
                [&agent](const task_id &, const resources &) {
                    return agent.keeper->occupying().size() < Slots;
                });
    }
    static std::string zoneOf(const std::string &entry)
    {
        return entry == "entry-a" ? "zone-a" : "zone-b";
    }
    void boot(model_entry &entry)
    {
        ownership_settings ownership;
        ownership.leases = settings;
        entry.owner =
                std::make_unique<shard_owner>(entry_info{entry.name, zoneOf(entry.name)},
                                              entry.name + "#" + std::to_string(entry.life),
                                              std::vector<shard_info>{{0, "zone-b"}}, ownership);
        entry.table.reset();
        entry.ledger.clear();
    }

    // The table. Down: refused. Slow: three seconds each way. AnswerLost: it takes effect, and the
    // caller only sees its own time-out.
    void commit(model_entry &entry, const table_transaction &transaction,
                const std::function<void(const write_result &)> &answer)
    {
        const milliseconds delay = tableFault == table_fault::Slow ? seconds(3) : Hop;
        post(entry.name, "", delay, [this, &entry, transaction, answer, delay] {
            write_result result{write_outcome::Refused, 0, {}};
            milliseconds back = delay;
            if (tableFault != table_fault::Down) {
                result = platform.commit(transaction);
                countCommit(transaction, result);
            }
            if (tableFault == table_fault::AnswerLost) {
                result = {write_outcome::Unknown, 0, {}};
                back = seconds(1);
            }
            post("", entry.name, back, [answer, result] { answer(result); });
        });
    }
    void readTable(model_entry &entry, const std::function<std::vector<table_row>()> &read,
                   const std::function<void(const std::vector<table_row> &)> &answer)
    {
        const milliseconds delay = tableFault == table_fault::Slow ? seconds(3) : Hop;
        post(entry.name, "", delay, [this, &entry, read, answer, delay] {
            if (tableFault == table_fault::Down)
                return;
            ++counts.reads;
            const auto rows = read();
            post("", entry.name, delay, [answer, rows] { answer(rows); });
        });
    }
    void countCommit(const table_transaction &transaction, const write_result &result)
    {
        if (result.outcome != write_outcome::Applied)
            return;
        ++counts.commits;
        for (const auto &written : transaction.writes) {
            ++counts.rows;
            counts.rowBytes += written.value ? compactJson(*written.value).size() : 0;
            if (written.value && written.key.starts_with("work/0/task/"))
                traceRow(written.key.substr(12), *written.value);
        }
    }
    // What the table holds is what counts, also if the entry that wrote it never learns of it.
    void traceRow(const std::string &key, const Json::Value &row)
    {
        std::uint32_t index = 0;
        for (const auto &value : row["tasks"]) {
            const task_id task{key.substr(0, key.rfind('/')), index++};
            const task_record record = taskRecordFromJson(value);
            if (record.state == task_state::Done)
                write(traceEvent("done", task));
            if (!occupies(record))
                continue;
            traceAttempt("placed", {task, record.attempt}, record.worker);
        }
    }

    // Entries.
    void stepEntry(model_entry &entry)
    {
        peers_changed peers;
        for (const auto &[name, other] : entries) {
            if (other.alive && now >= other.frozenUntil)
                peers.entries.push_back({name, zoneOf(name)});
        }
        feedOwner(entry, peers);
        feedOwner(entry, ownership_tick{quietWorkers(entry)});
        if (!entry.table)
            return;
        feed(entry, horizon_moved{entry.owner->mayGrantUntil(0)});
        if (entry.table && entry.table->ready())
            decide(entry);
        if (entry.table)
            feed(entry, table_tick{});
    }
    void decide(model_entry &entry)
    {
        for (const auto &spec : m_jobs) {
            if (entry.table->job(spec.id) == nullptr && !m_cancelled.contains(spec.id))
                feed(entry, job_accepted{spec});
        }
        for (const auto &job : m_cancelled) {
            const stored_job *stored = entry.table->job(job);
            if (stored == nullptr || stored->cancelled)
                continue;
            const std::string worker = anyWorkerOf(entry, job);
            feed(entry, cancel_job{job});
            step("cancel", worker);
        }
        for (const auto &task : std::set<task_id>(m_evict)) {
            const task_record record = entry.table->find(task);
            if (record.state != task_state::Running)
                continue;
            feed(entry, evict_decided{task});
            m_evict.erase(task);
            step("evict", record.worker);
        }
        for (const auto &task : std::set<task_id>(entry.table->placeableTasks())) {
            std::string worker = roomFor(entry);
            if (worker.empty() && placeAhead)
                feed(entry, place_decided{task, workers.begin()->first, true});
            if (worker.empty())
                continue;
            entry.ledger[task] = worker;
            const bool resumes = !entry.table->find(task).checkpoint.empty();
            feed(entry, place_decided{task, worker, false});
            step(resumes ? "resume" : "place", worker);
        }
    }
    std::string anyWorkerOf(model_entry &entry, const std::string &job)
    {
        for (const auto &[task, record] : entry.table->occupying()) {
            if (task.job == job)
                return record.worker;
        }
        return "w0";
    }
    std::string roomFor(model_entry &entry)
    {
        for (const auto &item : workers) {
            const std::string &name = item.first;
            const auto used = std::count_if(entry.ledger.begin(), entry.ledger.end(),
                                            [&](const auto &held) { return held.second == name; });
            if (used < Slots && entry.table->mayPlaceOn(name))
                return name;
        }
        return {};
    }
    void step(const std::string &name, const std::string &worker)
    {
        if (onStep)
            onStep(name, worker);
    }
    void feed(model_entry &entry, const table_event &event)
    {
        if (entry.table)
            run(entry, entry.table->handle(event, now));
    }
    std::map<int, quiet_workers> quietWorkers(const model_entry &entry) const
    {
        if (!entry.table)
            return {};
        return {{0, entry.table->quietWorkers(now)}};
    }
    void feedOwner(model_entry &entry, const ownership_event &event)
    {
        run(entry, entry.owner->handle(event, now));
    }

    void run(model_entry &entry, const std::vector<ownership_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &one) { act(entry, one); }, action);
    }
    void act(model_entry &entry, const commit_shard &action)
    {
        const std::string id = action.transaction.operationId;
        commit(entry, action.transaction, [this, &entry, id](const write_result &result) {
            feedOwner(entry, shard_write_settled{id, result});
        });
    }
    void act(model_entry &entry, const scan_shards &)
    {
        const time_point started = now;
        readTable(
                entry, [this] { return platform.scan(ShardPrefix); },
                [this, &entry, started](const auto &rows) {
                    feedOwner(entry, shard_rows_read{rows, started});
                });
    }
    void act(model_entry &entry, const became_owner &action)
    {
        table_settings table;
        table.leases = settings;
        const std::string prefix =
                entry.name + "#" + std::to_string(entry.life) + "/" + std::to_string(action.epoch);
        entry.table = std::make_unique<task_table>(
                table_owner{action.shard, action.epoch, action.shardVersion,
                            action.waitForSilentUntil, action.quiet},
                prefix, table);
        entry.ledger.clear();
    }
    void act(model_entry &entry, const lost_shard &)
    {
        entry.table.reset();
        entry.ledger.clear();
    }

    void run(model_entry &entry, const std::vector<table_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &one) { act(entry, one); }, action);
    }
    void act(model_entry &entry, const commit_rows &action)
    {
        const std::string id = action.transaction.operationId;
        commit(entry, action.transaction, [this, &entry, id](const write_result &result) {
            feed(entry, write_settled{id, result});
        });
    }
    void act(model_entry &entry, const read_rows &action)
    {
        const auto keys = action.keys;
        const auto read = [this, keys] {
            std::vector<table_row> rows;
            for (const auto &key : keys) {
                if (const auto row = platform.read(key))
                    rows.push_back(*row);
            }
            return rows;
        };
        readTable(entry, read, [this, &entry, keys](const auto &rows) {
            feed(entry, rows_read{keys, rows});
        });
    }
    void act(model_entry &entry, const scan_rows &action)
    {
        const std::string prefix = action.prefix;
        readTable(
                entry, [this, prefix] { return platform.scan(prefix); },
                [this, &entry](const auto &rows) {
                    feed(entry, rows_read{{}, rows});
                    if (entry.table)
                        for (const auto &[task, record] : entry.table->occupying())
                            entry.ledger[task] = record.worker;
                });
    }
    void act(model_entry &entry, const send_grant &action)
    {
        // Through its text, as between processes.
        const std::string text = compactJson(toJson(action.grant));
        for (auto &[name, agent] : agents) {
            model_agent *target = &agent;
            if (agent.worker != action.grant.worker)
                continue;
            send(entry.name, name, [this, target, text] {
                const auto grant = workerGrantFromJson(parseJson(text));
                run(*target, target->keeper->handle(grant_received{grant}, now));
            });
        }
    }
    void act(model_entry &entry, const task_settled &action)
    {
        if (action.change == task_change::Started)
            step("run", action.worker);
        if (action.change == task_change::Ended || action.change == task_change::Freed
            || action.change == task_change::Vacated)
            entry.ledger.erase(action.task);
        if (action.change == task_change::Reverted) {
            entry.ledger.erase(action.task);
            if (!action.worker.empty())
                entry.ledger[action.task] = action.worker;
        }
    }
    void act(model_entry &, const fenced &) { ++counts.reasons["fenced"]; }
    void act(model_entry &, const store_count &reason)
    {
        ++counts.reasons[std::string(nameOf(reason))];
    }
    void act(model_entry &, const table_count &reason)
    {
        ++counts.reasons[std::string(nameOf(reason))];
    }

    // Agents.
    void run(model_agent &agent, const std::vector<keeper_action> &actions)
    {
        model_worker &worker = workers.at(agent.worker);
        for (const auto &action : actions)
            std::visit([&](const auto &one) { act(agent, worker, one); }, action);
    }
    void act(model_agent &agent, model_worker &, const send_report &action)
    {
        const std::string text = compactJson(toJson(action.report));
        for (auto &[name, entry] : entries) {
            model_entry *target = &entry;
            send(agent.name, name, [this, target, text] {
                feed(*target, report_received{agentReportFromJson(parseJson(text))});
            });
        }
    }
    void act(model_agent &, model_worker &, const count_keeper &action)
    {
        ++counts.reasons[std::string(nameOf(action.reason))];
    }
    void act(model_agent &, model_worker &, const worker_limit &) { }
    void act(model_agent &agent, model_worker &worker, const worker_list &action)
    {
        send(agent.name, worker.name, [this, &agent, &worker, action] {
            stepWorker(worker);
            const std::string text = compactJson(toJson(worker.tasks.list(action, now)));
            send(worker.name, agent.name, [this, &agent, text] {
                const auto listing = workerListingFromJson(parseJson(text));
                run(agent, agent.keeper->handle(listing_received{listing}, now));
            });
        });
    }
    void act(model_agent &agent, model_worker &worker, const worker_start &action)
    {
        send(agent.name, worker.name, [this, &agent, &worker, action] {
            const task_attempt attempt{action.task.task, action.task.attempt};
            const start_answer answer = worker.tasks.start(action, now);
            if (answer == start_answer::Started)
                begin(worker, action);
            if (answer != start_answer::Refused)
                return;
            const start_refused refused{attempt, worker.tasks.listing()};
            send(worker.name, agent.name,
                 [this, &agent, refused] { run(agent, agent.keeper->handle(refused, now)); });
        });
    }
    void act(model_agent &agent, model_worker &worker, const worker_renew &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            stepWorker(worker); // lapsed tasks end first
            worker.tasks.renew(action);
        });
    }
    void act(model_agent &agent, model_worker &worker, const worker_stop &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            for (const auto &running : worker.tasks.running()) {
                if (running.attempt.task == action.attempt.task && worker.tasks.stop(action))
                    traceAttempt("stopped", running.attempt, worker.name);
            }
            worker.tasks.stop(action);
        });
    }
    void act(model_agent &agent, model_worker &worker, const worker_checkpoint &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            if (!worker.tasks.runs(action.attempt))
                return;
            platform.putObject(action.checkpoint, "", std::nullopt);
            worker.tasks.ended({action.attempt, task_outcome::Evicted, action.checkpoint, {}});
            traceAttempt("evicted", action.attempt, worker.name, action.checkpoint);
        });
    }
    void act(model_agent &agent, model_worker &worker, const worker_forget &action)
    {
        send(agent.name, worker.name, [&worker, action] { worker.tasks.forget(action); });
    }

    // Workers.
    void stepWorker(model_worker &worker)
    {
        for (const auto &attempt : worker.tasks.takeLapsed(now))
            traceAttempt("stopped", attempt, worker.name);
        for (const auto &running : worker.tasks.running()) {
            if (now < worker.doneAt[running.attempt.task] || now < worker.frozenUntil)
                continue;
            worker.tasks.ended({running.attempt, task_outcome::Succeeded, {}, {}});
            traceAttempt("ended", running.attempt, worker.name);
        }
    }
    void begin(model_worker &worker, const worker_start &action)
    {
        const task_attempt attempt{action.task.task, action.task.attempt};
        const int length = action.spec["runSeconds"].asInt();
        worker.doneAt[attempt.task] = length == 0 ? Never : now + seconds(length);
        ++m_starts[attempt.task];
        std::string checkpoint = action.task.checkpoint;
        for (auto name = action.task.newerCheckpoints.rbegin();
             name != action.task.newerCheckpoints.rend(); ++name) {
            if (platform.getObject(*name))
                checkpoint = *name;
        }
        traceAttempt(checkpoint.empty() ? "started" : "resumed", attempt, worker.name, checkpoint);
    }

    // Trace.
    static Json::Value sizeJson(int slots)
    {
        Json::Value size(Json::objectValue);
        size["millicores"] = slots * 1'000;
        size["memoryBytes"] = slots;
        size["accelerators"] = 0;
        return size;
    }
    Json::Value traceEvent(const std::string &kind, const task_id &task) const
    {
        Json::Value event(Json::objectValue);
        event["event"] = kind;
        event["task"] = textOf(task);
        return event;
    }
    void traceAttempt(const std::string &kind, const task_attempt &attempt,
                      const std::string &worker, const std::string &checkpoint = {})
    {
        Json::Value event = traceEvent(kind, attempt.task);
        event["attempt"] = attempt.attempt;
        event["worker"] = worker;
        event["checkpoint"] = checkpoint;
        event["outcome"] = "succeeded";
        event["size"] = sizeJson(1);
        write(event);
    }
    void traceWorker(const std::string &name)
    {
        Json::Value event(Json::objectValue);
        event["event"] = "worker";
        event["worker"] = name;
        event["size"] = sizeJson(Slots);
        write(event);
    }
    // What the system answers about cancelled jobs: over, as their rows say or are gone.
    void traceCancelled()
    {
        model_entry *entry = owner();
        for (const auto &spec : m_jobs) {
            if (!m_cancelled.contains(spec.id) || entry == nullptr)
                continue;
            for (std::uint32_t index = 0; index < spec.tasks; ++index) {
                const task_id task{spec.id, index};
                const auto state = entry->table->find(task).state;
                if (entry->table->job(spec.id) == nullptr || state == task_state::Cancelled)
                    write(traceEvent("cancelled", task));
            }
        }
    }
    void write(Json::Value event)
    {
        event["atMs"] = Json::Int64(
                std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
        trace += compactJson(event) + "\n";
    }

    random_generator m_random;
    std::priority_queue<message> m_queue;
    std::uint64_t m_order = 0;
    std::vector<job_spec> m_jobs;
    std::set<std::string> m_cancelled;
    std::set<task_id> m_evict;
    std::map<task_id, int> m_starts;
};

} // namespace zinniabarrow::tests
