// Simulates two entries, agents, workers and the table around the decision code of libs/work, with
// faults of the table, the network and the processes, on a virtual clock. What the workers do is
// written as a trace, which the trace checker reads at the end of each run.
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
enum class network_fault { None, Duplicated, Reordered, Dropped };

// Every process can be killed (its memory is lost) or frozen: messages to and from it wait until it
// continues, including those that it had decided to send but had not sent yet.
struct process
{
    std::string name;
    bool isAlive = true;
    int startNumber = 1; // counts the starts; part of the session names of entries and agents
    time_point frozenUntil;
    time_point restartAt = Never;           // of a killed process
    std::set<std::string> unreachablePeers; // names; messages to and from them are lost
};

struct model_worker : process
{
    worker_tasks tasks{1};
    std::map<task_id, time_point> finishAt;
};

struct model_agent : process
{
    std::string worker;
    std::unique_ptr<task_supervisor> supervisor;
};

struct model_entry : process
{
    std::unique_ptr<shard_ownership> shardOwnership;
    std::unique_ptr<task_coordinator> coordinator;
    std::map<task_id, std::string> workerByTask; // tasks that take a slot, as this entry knows
};

// Counts over the whole run: counters by name, and applied writes and reads of the table.
struct model_counts
{
    std::map<std::string, int> byName;
    std::size_t commits = 0;
    std::size_t rows = 0;
    std::size_t rowBytes = 0;
    std::size_t reads = 0;
};

class work_model
{
public:
    static constexpr int SlotsPerWorker = 6; // tasks that fit on a worker

    explicit work_model(std::uint64_t seed, int workerCount = 3)
        : m_random(seed)
    {
        leaseSettings.grantPeriod = seconds(60);
        for (const auto *name : {"entry-a", "entry-b"})
            entries[name].name = name;
        for (int i = 0; i < workerCount; ++i) {
            const std::string name = "w" + std::to_string(i);
            workers[name].name = name;
            agents["agent-" + name].name = "agent-" + name;
            agents["agent-" + name].worker = name;
            traceWorker(name);
        }
        for (auto &[name, entry] : entries)
            startProcess(entry);
        for (auto &[name, agent] : agents)
            startProcess(agent);
    }

    // Submits a job, as an operator does. `runSeconds` 0: its tasks never end by themselves.
    void submit(const std::string &job, std::uint32_t tasks, failover_class failover, bool service,
                int runSeconds)
    {
        job_spec spec;
        spec.id = job;
        spec.generation = 1;
        spec.taskCount = tasks;
        spec.failover = failover;
        spec.isService = service;
        spec.taskSpec["runSeconds"] = runSeconds;
        m_jobs.push_back(spec);
        for (std::uint32_t index = 0; index < tasks; ++index) {
            Json::Value event = traceEvent("accepted", {job, index});
            event["service"] = service;
            event["failover"] = std::string(nameOf(failover));
            appendToTrace(event);
        }
    }
    void cancel(const std::string &job) { m_jobsToCancel.insert(job); }
    void evict(const task_id &task) { m_tasksToEvict.insert(task); }

    // A killed worker loses its tasks at once and gets its next incarnation.
    void kill(process &target, milliseconds restartAfter)
    {
        target.isAlive = false;
        target.restartAt = now + restartAfter;
        if (auto *worker = findOrNull(workers, target.name)) {
            worker->tasks = worker_tasks(worker->tasks.incarnation() + 1);
            traceWorker(target.name);
        }
    }
    void freeze(process &target, milliseconds length) { target.frozenUntil = now + length; }

    // Starts the entry's planned shutdown: it hands over its shard.
    void release(model_entry &entry)
    {
        feedOwnership(entry, release_shards{unresponsiveWorkers(entry)});
    }
    // Cuts off the worker's agent from all entries; the agent and its worker still reach each
    // other.
    void isolateWorker(const std::string &worker)
    {
        for (const auto &[name, entry] : entries)
            agents.at("agent-" + worker).unreachablePeers.insert(name);
    }
    // Freezes the worker's agent for `length`, and starts a second agent beside it.
    void startSecondAgent(const std::string &worker, milliseconds length)
    {
        freeze(agents.at("agent-" + worker), length);
        model_agent &second = agents["second-" + worker];
        second.name = "second-" + worker;
        second.worker = worker;
        ++second.startNumber; // each agent process has its own session
        startProcess(second);
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
    // Runs until `done` returns true, at most for `length`. Returns how long it took.
    milliseconds runUntilTrue(milliseconds length, const std::function<bool()> &done)
    {
        const time_point start = now;
        while (now < start + length && !done())
            runFor(Tick);
        return std::chrono::duration_cast<milliseconds>(now - start);
    }

    // The running entry that owns the only shard and has read its rows; null if there is none.
    model_entry *owner()
    {
        for (auto &[name, entry] : entries) {
            if (entry.isAlive && entry.shardOwnership->owns(0) && entry.coordinator
                && entry.coordinator->isReady() && now >= entry.frozenUntil)
                return &entry;
        }
        return nullptr;
    }
    bool runs(const task_id &task) const { return !workerRunning(task).empty(); }
    std::string workerRunning(const task_id &task) const
    {
        for (const auto &[name, worker] : workers) {
            if (worker.isAlive && worker.tasks.runs(task))
                return name;
        }
        return {};
    }
    // How often workers have started the task, resuming included.
    int startCount(const task_id &task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second;
    }

    // Checks the trace at the end of a run, in which all tasks had time to end. To be called once,
    // because it first adds the cancelled tasks to the trace.
    std::vector<trace_violation> violations()
    {
        traceCancelled();
        std::istringstream lines(trace);
        return checkTrace(lines, true);
    }

    time_point now{seconds(1)};
    lease_settings leaseSettings;
    memory_platform platform;
    bool placeInBacklog = false; // tasks without room go to the first worker's backlog
    table_fault tableFault = table_fault::None;
    network_fault networkFault = network_fault::None;
    std::map<std::string, model_entry> entries;
    std::map<std::string, model_agent> agents;
    std::map<std::string, model_worker> workers;
    model_counts counts;
    std::string trace;
    // Called at each step of a task's execution with the step ("place", "run", "evict", "resume" or
    // "cancel") and the task's worker.
    std::function<void(const std::string &step, const std::string &worker)> onStep;

private:
    static constexpr milliseconds Tick{100};
    static constexpr milliseconds NetworkDelay{2};

    struct message
    {
        time_point deliverAt;
        std::uint64_t order;
        std::string from, to;
        int toStartNumber;
        std::function<void()> deliver;
        bool operator<(const message &other) const
        {
            return std::tie(other.deliverAt, other.order) < std::tie(deliverAt, order);
        }
    };

    template <typename Map>
    static typename Map::mapped_type *findOrNull(Map &map, const std::string &name)
    {
        const auto found = map.find(name);
        return found == map.end() ? nullptr : &found->second;
    }
    process *find(const std::string &name)
    {
        if (auto *entry = findOrNull(entries, name))
            return entry;
        if (auto *agent = findOrNull(agents, name))
            return agent;
        return findOrNull(workers, name);
    }

    // Messages. `from` and `to` are names of processes; empty: the table.
    void enqueue(const std::string &from, const std::string &to, milliseconds delay,
                 std::function<void()> deliver)
    {
        process *target = find(to);
        m_queue.push({now + delay, ++m_order, from, to, target ? target->startNumber : 0,
                      std::move(deliver)});
    }
    // Sends a message between processes, subject to network faults.
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver)
    {
        milliseconds delay = NetworkDelay;
        if (networkFault == network_fault::Dropped && drawIndex(m_random, 3) == 0)
            return;
        if (networkFault == network_fault::Reordered)
            delay = milliseconds(drawIndex(m_random, 3'000));
        if (networkFault == network_fault::Duplicated)
            enqueue(from, to, delay + milliseconds(drawIndex(m_random, 5'000)), deliver);
        enqueue(from, to, delay, deliver);
    }
    void deliverUntil(time_point end)
    {
        while (!m_queue.empty() && m_queue.top().deliverAt <= end) {
            message next = m_queue.top();
            m_queue.pop();
            const process *from = find(next.from);
            const process *to = find(next.to);
            const time_point continuesAt = std::max(from ? from->frozenUntil : time_point(),
                                                    to ? to->frozenUntil : time_point());
            if (continuesAt > now) {
                next.deliverAt = continuesAt;
                m_queue.push(next);
                continue;
            }
            if (to && (!to->isAlive || to->startNumber != next.toStartNumber))
                continue;
            if (from && to
                && (from->unreachablePeers.contains(next.to)
                    || to->unreachablePeers.contains(next.from)))
                continue;
            next.deliver();
        }
    }

    void stepAll()
    {
        for (auto &[name, worker] : workers) {
            restartIfDue(worker);
            // Also for a frozen instance: its tasks finish nothing, but their leases lapse.
            if (worker.isAlive)
                stepWorker(worker);
        }
        for (auto &[name, agent] : agents) {
            restartIfDue(agent);
            if (agent.isAlive && now >= agent.frozenUntil)
                run(agent, agent.supervisor->handle(supervisor_tick{}, now));
        }
        for (auto &[name, entry] : entries) {
            restartIfDue(entry);
            if (entry.isAlive && now >= entry.frozenUntil)
                stepEntry(entry);
        }
    }
    template <typename Process>
    void restartIfDue(Process &target)
    {
        if (target.isAlive || now < target.restartAt)
            return;
        target.isAlive = true;
        ++target.startNumber;
        target.restartAt = Never;
        startProcess(target);
    }
    void startProcess(model_worker &worker) { traceWorker(worker.name); }
    void startProcess(model_agent &agent)
    {
        supervisor_settings supervisorSettings;
        supervisorSettings.leases = leaseSettings;
        supervisorSettings.reportInterval = seconds(4); // as in the settings of the agent
        agent.supervisor = std::make_unique<task_supervisor>(
                agent.worker, agent.name + "#" + std::to_string(agent.startNumber),
                supervisorSettings, [&agent](const task_id &, const resources &) {
                    return agent.supervisor->occupyingTasks().size() < SlotsPerWorker;
                });
    }
    static std::string zoneOf(const std::string &entry)
    {
        return entry == "entry-a" ? "zone-a" : "zone-b";
    }
    void startProcess(model_entry &entry)
    {
        ownership_settings ownershipSettings;
        ownershipSettings.leases = leaseSettings;
        entry.shardOwnership = std::make_unique<shard_ownership>(
                entry_info{entry.name, zoneOf(entry.name)},
                entry.name + "#" + std::to_string(entry.startNumber),
                std::vector<shard_info>{{0, "zone-b"}}, ownershipSettings);
        entry.coordinator.reset();
        entry.workerByTask.clear();
    }

    // The table. Down: transactions are refused. Slow: three seconds each way. AnswerLost: the
    // transaction takes effect, but the caller only sees its own time-out.
    void commit(model_entry &entry, const table_transaction &transaction,
                const std::function<void(const write_result &)> &answer)
    {
        const milliseconds delay = tableFault == table_fault::Slow ? seconds(3) : NetworkDelay;
        enqueue(entry.name, "", delay, [this, &entry, transaction, answer, delay] {
            write_result result{write_outcome::Refused, 0, {}};
            milliseconds answerDelay = delay;
            if (tableFault != table_fault::Down) {
                result = platform.commit(transaction);
                countCommit(transaction, result);
            }
            if (tableFault == table_fault::AnswerLost) {
                result = {write_outcome::Unknown, 0, {}};
                answerDelay = seconds(1);
            }
            enqueue("", entry.name, answerDelay, [answer, result] { answer(result); });
        });
    }
    void readTable(model_entry &entry, const std::function<std::vector<table_row>()> &read,
                   const std::function<void(const std::vector<table_row> &)> &answer)
    {
        const milliseconds delay = tableFault == table_fault::Slow ? seconds(3) : NetworkDelay;
        enqueue(entry.name, "", delay, [this, &entry, read, answer, delay] {
            if (tableFault == table_fault::Down)
                return;
            ++counts.reads;
            const auto rows = read();
            enqueue("", entry.name, delay, [answer, rows] { answer(rows); });
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
                traceTaskRow(written.key.substr(12), *written.value);
        }
    }
    // Traces what the table holds, whether or not the entry that wrote it learns of it.
    void traceTaskRow(const std::string &key, const Json::Value &row)
    {
        std::uint32_t index = 0;
        for (const auto &value : row["tasks"]) {
            const task_id task{key.substr(0, key.rfind('/')), index++};
            const task_record record = taskRecordFromJson(value);
            if (record.state == task_state::Done)
                appendToTrace(traceEvent("done", task));
            if (!occupiesWorker(record))
                continue;
            traceAttempt("placed", {task, record.attempt}, record.worker);
        }
    }

    // Entries.
    void stepEntry(model_entry &entry)
    {
        peers_changed peers;
        for (const auto &[name, other] : entries) {
            if (other.isAlive && now >= other.frozenUntil)
                peers.entries.push_back({name, zoneOf(name)});
        }
        feedOwnership(entry, peers);
        feedOwnership(entry, ownership_tick{unresponsiveWorkers(entry)});
        if (!entry.coordinator)
            return;
        feedCoordinator(entry, grant_deadline_changed{entry.shardOwnership->grantDeadline(0)});
        if (entry.coordinator && entry.coordinator->isReady())
            decide(entry);
        if (entry.coordinator)
            feedCoordinator(entry, coordinator_tick{});
    }
    void decide(model_entry &entry)
    {
        for (const auto &spec : m_jobs) {
            if (entry.coordinator->job(spec.id) == nullptr && !m_jobsToCancel.contains(spec.id))
                feedCoordinator(entry, job_accepted{spec});
        }
        for (const auto &job : m_jobsToCancel) {
            const stored_job *stored = entry.coordinator->job(job);
            if (stored == nullptr || stored->isCancelled)
                continue;
            const std::string worker = anyWorkerOf(entry, job);
            feedCoordinator(entry, cancel_job{job});
            notifyStep("cancel", worker);
        }
        for (const auto &task : std::set<task_id>(m_tasksToEvict)) {
            const task_record record = entry.coordinator->find(task);
            if (record.state != task_state::Running)
                continue;
            feedCoordinator(entry, eviction_decided{task});
            m_tasksToEvict.erase(task);
            notifyStep("evict", record.worker);
        }
        for (const auto &task : std::set<task_id>(entry.coordinator->placeableTasks())) {
            std::string worker = workerWithRoom(entry);
            if (worker.empty() && placeInBacklog)
                feedCoordinator(entry, placement_decided{task, workers.begin()->first, true});
            if (worker.empty())
                continue;
            entry.workerByTask[task] = worker;
            const bool isResuming = !entry.coordinator->find(task).checkpoint.empty();
            feedCoordinator(entry, placement_decided{task, worker, false});
            notifyStep(isResuming ? "resume" : "place", worker);
        }
    }
    std::string anyWorkerOf(model_entry &entry, const std::string &job)
    {
        for (const auto &[task, record] : entry.coordinator->occupyingTasks()) {
            if (task.job == job)
                return record.worker;
        }
        return "w0";
    }
    std::string workerWithRoom(model_entry &entry)
    {
        for (const auto &item : workers) {
            const std::string &name = item.first;
            const auto usedSlots =
                    std::count_if(entry.workerByTask.begin(), entry.workerByTask.end(),
                                  [&](const auto &placement) { return placement.second == name; });
            if (usedSlots < SlotsPerWorker && entry.coordinator->canPlaceOn(name))
                return name;
        }
        return {};
    }
    void notifyStep(const std::string &stepName, const std::string &worker)
    {
        if (onStep)
            onStep(stepName, worker);
    }
    void feedCoordinator(model_entry &entry, const coordinator_event &event)
    {
        if (entry.coordinator)
            run(entry, entry.coordinator->handle(event, now));
    }
    std::map<int, unresponsive_workers> unresponsiveWorkers(const model_entry &entry) const
    {
        if (!entry.coordinator)
            return {};
        return {{0, entry.coordinator->unresponsiveWorkers(now)}};
    }
    void feedOwnership(model_entry &entry, const ownership_event &event)
    {
        run(entry, entry.shardOwnership->handle(event, now));
    }

    void run(model_entry &entry, const std::vector<ownership_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { perform(entry, typed); }, action);
    }
    void perform(model_entry &entry, const commit_shard &action)
    {
        const std::string id = action.transaction.operationId;
        commit(entry, action.transaction, [this, &entry, id](const write_result &result) {
            feedOwnership(entry, shard_write_answered{id, result});
        });
    }
    void perform(model_entry &entry, const scan_shards &)
    {
        const time_point started = now;
        readTable(
                entry, [this] { return platform.scan(ShardPrefix); },
                [this, &entry, started](const auto &rows) {
                    feedOwnership(entry, shard_rows_read{rows, started});
                });
    }
    void perform(model_entry &entry, const became_owner &action)
    {
        coordinator_settings coordinatorSettings;
        coordinatorSettings.leases = leaseSettings;
        const std::string prefix = entry.name + "#" + std::to_string(entry.startNumber) + "/"
                                   + std::to_string(action.epoch);
        entry.coordinator = std::make_unique<task_coordinator>(
                shard_tenure{action.shard, action.epoch, action.shardVersion,
                             action.earlierLeasesEndAt, action.unresponsive},
                prefix, coordinatorSettings);
        entry.workerByTask.clear();
    }
    void perform(model_entry &entry, const lost_shard &)
    {
        entry.coordinator.reset();
        entry.workerByTask.clear();
    }

    void run(model_entry &entry, const std::vector<coordinator_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { perform(entry, typed); }, action);
    }
    void perform(model_entry &entry, const commit_rows &action)
    {
        const std::string id = action.transaction.operationId;
        commit(entry, action.transaction, [this, &entry, id](const write_result &result) {
            feedCoordinator(entry, write_answered{id, result});
        });
    }
    void perform(model_entry &entry, const read_rows &action)
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
            feedCoordinator(entry, rows_read{keys, rows});
        });
    }
    void perform(model_entry &entry, const scan_rows &action)
    {
        const std::string prefix = action.prefix;
        readTable(
                entry, [this, prefix] { return platform.scan(prefix); },
                [this, &entry](const auto &rows) {
                    feedCoordinator(entry, rows_read{{}, rows});
                    if (entry.coordinator)
                        for (const auto &[task, record] : entry.coordinator->occupyingTasks())
                            entry.workerByTask[task] = record.worker;
                });
    }
    void perform(model_entry &entry, const send_grant &action)
    {
        // Serialized and parsed, as between real processes.
        const std::string text = compactJson(toJson(action.grant));
        for (auto &[name, agent] : agents) {
            model_agent *target = &agent;
            if (agent.worker != action.grant.worker)
                continue;
            send(entry.name, name, [this, target, text] {
                const auto grant = workerGrantFromJson(parseJson(text));
                run(*target, target->supervisor->handle(grant_received{grant}, now));
            });
        }
    }
    void perform(model_entry &entry, const task_changed &action)
    {
        if (action.change == task_change::Started)
            notifyStep("run", action.worker);
        if (action.change == task_change::Ended || action.change == task_change::Requeued
            || action.change == task_change::EndReported)
            entry.workerByTask.erase(action.task);
        if (action.change == task_change::Reverted) {
            entry.workerByTask.erase(action.task);
            if (!action.worker.empty())
                entry.workerByTask[action.task] = action.worker;
        }
    }
    void perform(model_entry &, const fenced &) { ++counts.byName["fenced"]; }
    void perform(model_entry &, const store_counter &reason)
    {
        ++counts.byName[std::string(nameOf(reason))];
    }
    void perform(model_entry &, const coordinator_counter &reason)
    {
        ++counts.byName[std::string(nameOf(reason))];
    }

    // Agents.
    void run(model_agent &agent, const std::vector<supervisor_action> &actions)
    {
        model_worker &worker = workers.at(agent.worker);
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { perform(agent, worker, typed); }, action);
    }
    void perform(model_agent &agent, model_worker &, const send_report &action)
    {
        const std::string text = compactJson(toJson(action.report));
        for (auto &[name, entry] : entries) {
            model_entry *target = &entry;
            send(agent.name, name, [this, target, text] {
                feedCoordinator(*target, report_received{agentReportFromJson(parseJson(text))});
            });
        }
    }
    void perform(model_agent &, model_worker &, const increment_counter &action)
    {
        ++counts.byName[std::string(nameOf(action.reason))];
    }
    void perform(model_agent &, model_worker &, const worker_cpu_limit &) { }
    void perform(model_agent &agent, model_worker &worker, const worker_list &action)
    {
        send(agent.name, worker.name, [this, &agent, &worker, action] {
            stepWorker(worker);
            const std::string text = compactJson(toJson(worker.tasks.list(action, now)));
            send(worker.name, agent.name, [this, &agent, text] {
                const auto listing = workerListingFromJson(parseJson(text));
                run(agent, agent.supervisor->handle(listing_received{listing}, now));
            });
        });
    }
    void perform(model_agent &agent, model_worker &worker, const worker_start &action)
    {
        send(agent.name, worker.name, [this, &agent, &worker, action] {
            const task_attempt attempt{action.task.task, action.task.attempt};
            const start_result answer = worker.tasks.start(action, now);
            if (answer == start_result::Started)
                beginTask(worker, action);
            if (answer != start_result::Refused)
                return;
            const start_refused refused{attempt, worker.tasks.newestListing()};
            send(worker.name, agent.name,
                 [this, &agent, refused] { run(agent, agent.supervisor->handle(refused, now)); });
        });
    }
    void perform(model_agent &agent, model_worker &worker, const worker_renew &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            stepWorker(worker); // ends lapsed tasks first
            worker.tasks.renew(action);
        });
    }
    void perform(model_agent &agent, model_worker &worker, const worker_stop &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            for (const auto &running : worker.tasks.running()) {
                if (running.attempt.task == action.attempt.task && worker.tasks.stop(action))
                    traceAttempt("stopped", running.attempt, worker.name);
            }
            worker.tasks.stop(action);
        });
    }
    void perform(model_agent &agent, model_worker &worker, const worker_checkpoint &action)
    {
        send(agent.name, worker.name, [this, &worker, action] {
            if (!worker.tasks.runs(action.attempt))
                return;
            platform.putObject(action.checkpoint, "", std::nullopt);
            worker.tasks.recordEnd({action.attempt, task_outcome::Evicted, action.checkpoint, {}});
            traceAttempt("evicted", action.attempt, worker.name, action.checkpoint);
        });
    }
    void perform(model_agent &agent, model_worker &worker, const worker_forget &action)
    {
        send(agent.name, worker.name, [&worker, action] { worker.tasks.forget(action); });
    }

    // Workers.
    void stepWorker(model_worker &worker)
    {
        for (const auto &attempt : worker.tasks.endLapsedTasks(now))
            traceAttempt("stopped", attempt, worker.name);
        for (const auto &running : worker.tasks.running()) {
            if (now < worker.finishAt[running.attempt.task] || now < worker.frozenUntil)
                continue;
            worker.tasks.recordEnd({running.attempt, task_outcome::Succeeded, {}, {}});
            traceAttempt("ended", running.attempt, worker.name);
        }
    }
    void beginTask(model_worker &worker, const worker_start &action)
    {
        const task_attempt attempt{action.task.task, action.task.attempt};
        const int length = action.spec["runSeconds"].asInt();
        worker.finishAt[attempt.task] = length == 0 ? Never : now + seconds(length);
        ++m_starts[attempt.task];
        // Resumes from the newest checkpoint that exists; newerCheckpoints has the newest first.
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
        appendToTrace(event);
    }
    void traceWorker(const std::string &name)
    {
        Json::Value event(Json::objectValue);
        event["event"] = "worker";
        event["worker"] = name;
        event["size"] = sizeJson(SlotsPerWorker);
        appendToTrace(event);
    }
    // Traces the tasks of cancelled jobs as cancelled, if their records say so or the job's rows
    // are removed.
    void traceCancelled()
    {
        model_entry *entry = owner();
        for (const auto &spec : m_jobs) {
            if (!m_jobsToCancel.contains(spec.id) || entry == nullptr)
                continue;
            for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
                const task_id task{spec.id, index};
                const auto state = entry->coordinator->find(task).state;
                if (entry->coordinator->job(spec.id) == nullptr || state == task_state::Cancelled)
                    appendToTrace(traceEvent("cancelled", task));
            }
        }
    }
    void appendToTrace(Json::Value event)
    {
        event["atMs"] = Json::Int64(
                std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
        trace += compactJson(event) + "\n";
    }

    random_generator m_random;
    std::priority_queue<message> m_queue;
    std::uint64_t m_order = 0;
    std::vector<job_spec> m_jobs;
    std::set<std::string> m_jobsToCancel;
    std::set<task_id> m_tasksToEvict;
    std::map<task_id, int> m_starts;
};

} // namespace zinniabarrow::tests
