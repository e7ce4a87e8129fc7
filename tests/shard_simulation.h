// Simulates one shard as the entry runs it, with its agents, their workers and the table, on a
// virtual clock.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/owned_shard.h"
#include "base/random.h"
#include "platform/memory_platform.h"
#include "section.h"
#include "work/ownership.h"
#include "work/task_supervisor.h"
#include "work/worker_tasks.h"

namespace zinniabarrow::tests {

constexpr std::int64_t Gigabyte = 1'000'000'000;

// A worker and the agent beside it.
struct shard_host
{
    std::string id;
    resources size;
    std::unique_ptr<work::task_supervisor> supervisor;
    std::unique_ptr<work::worker_tasks> worker;
    int session = 0;          // incremented when the agent is replaced
    unsigned killedTasks = 0; // running tasks that were stopped without a checkpoint
    bool isAlive = true;
    int cpuLimitsToLose = 0; // number of the next CPU limits that do not reach the worker
    std::map<work::task_attempt, std::int64_t> cpuLimits; // millicores received; 0: lifted

    void startAgent()
    {
        supervisor = std::make_unique<work::task_supervisor>(
                id, id + "#" + std::to_string(++session), work::supervisor_settings(),
                [this](const work::task_id &task, const resources &amount) {
                    return (supervisor->occupiedByOthers(task) + amount).fitsIn(size);
                });
    }
};

class shard_simulation
{
public:
    explicit shard_simulation(int workers, resources size = {16'000, 60 * Gigabyte, 0})
    {
        currentConfiguration.pools["shared"].workerSize = size;
        currentConfiguration.teams["rinks"];
        for (int index = 0; index < workers; ++index) {
            const auto id = "w" + std::to_string(index);
            auto &host = hosts[id];
            host.id = id;
            host.size = size;
            host.worker = std::make_unique<work::worker_tasks>(1);
            host.startAgent();
            m_reportedWorkers[id] = {{id, "kartli-a", "r" + std::to_string(index), "shared", size},
                                     id};
        }
        startOwner(1);
    }

    // Another entry takes the shard over; it has not read the configuration yet.
    void takeOver()
    {
        startOwner(++m_epoch);
        m_adopted = {};
    }

    // Accepts the current configuration as the next generation.
    void acceptConfiguration()
    {
        ++m_generation;
        m_adopted = {m_generation, std::make_shared<config::configuration>(currentConfiguration)};
    }

    void advance(milliseconds length, milliseconds step = milliseconds(200))
    {
        for (const auto until = now + length; now < until;) {
            now += step;
            for (auto &[id, host] : hosts)
                tickHost(host);
            feed(work::coordinator_tick{});
            perform(owner->reconcile(m_adopted, m_reportedWorkers, now));
            perform(owner->plan(now));
        }
    }

    // Replaces the worker: its tasks are lost, and its incarnation increases.
    void replaceWorker(shard_host &host)
    {
        host.worker = std::make_unique<work::worker_tasks>(host.worker->incarnation() + 1);
    }

    std::vector<work::running_task> running(const std::string &job) const
    {
        std::vector<work::running_task> found;
        for (const auto &[id, host] : hosts) {
            for (const auto &task : host.worker->running()) {
                if (host.isAlive && task.attempt.task.job.rfind(job + "@", 0) == 0)
                    found.push_back(task);
            }
        }
        return found;
    }

    void sampleUsage(const std::string &worker, const work::task_id &task, std::int64_t bytes)
    {
        owner->usageSampled(
                {{task.job, static_cast<std::int32_t>(task.index)}, worker, {0, bytes, 0}, now},
                now);
    }

    // Reports the latency of the service beside the worker as a multiple of its target; 0: it had
    // no answers.
    void sampleLatency(const std::string &worker, const std::string &service, double targetRatio)
    {
        const microseconds target = currentConfiguration.services.at(service).latencyTarget;
        const auto p99 = static_cast<double>(target.count()) * targetRatio;
        owner->latencySampled(worker, service, microseconds(static_cast<std::int64_t>(p99)), now,
                              now);
    }

    // What the owner's ledger has reserved on the worker.
    resources reservedByOwner(const std::string &worker) const
    {
        const auto status = owner->status(now);
        for (const auto &entry : status["workers"]) {
            if (entry["id"] == worker)
                return placement::resourcesFromJson(entry["reserved"]);
        }
        return {};
    }
    static resources countedByAgent(const shard_host &host)
    {
        return host.supervisor->occupiedByOthers({});
    }

    time_point now{std::chrono::hours(1)};
    config::configuration currentConfiguration;
    std::map<std::string, shard_host> hosts;
    random_generator random{1};
    double grantLossRate = 0; // fraction of the grants that are lost

    metrics counters;
    logger log{"test", "shard", log_level::Error};
    std::unique_ptr<owned_shard> owner;

private:
    void startOwner(std::uint64_t epoch)
    {
        const auto row = m_platform.read(work::shardKey(0));
        m_platform.commit({"own-" + std::to_string(epoch),
                           {},
                           {{work::shardKey(0), Json::Value(Json::objectValue)}}});
        const work::shard_tenure tenure{0, epoch, row ? row->version + 1 : 1, {}};
        owner = std::make_unique<owned_shard>(tenure, "op", work::coordinator_settings(),
                                              makeSchedulerSettings(), 1, counters, log);
        feed(work::rows_read{{}, m_platform.scan("work/0/")});
        feed(work::grant_deadline_changed{Never});
    }

    // Same settings as in the entry.
    static placement::scheduler_settings makeSchedulerSettings()
    {
        placement::scheduler_settings schedulerSettings;
        schedulerSettings.sizes.minProcessorShare = 1.0;
        schedulerSettings.weights = {0.7, 0.2, 0.1}; // of Mtkvari's deployment
        return schedulerSettings;
    }

    void feed(const work::coordinator_event &event) { perform(owner->handle(event, now)); }

    void perform(const std::vector<work::coordinator_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *commit = std::get_if<work::commit_rows>(&action)) {
                const auto &transaction = commit->transaction;
                const auto result = m_platform.commit(transaction);
                feed(work::write_answered{transaction.operationId, result});
            } else if (const auto *grant = std::get_if<work::send_grant>(&action)) {
                deliver(grant->grant);
            }
        }
    }

    void deliver(const work::worker_grant &grant)
    {
        auto &host = hosts.at(grant.worker);
        if (!host.isAlive || drawUniform(random) < grantLossRate)
            return;
        const auto parsed = work::workerGrantFromJson(toJson(grant)); // as sent over the wire
        performAll(host, host.supervisor->handle(work::grant_received{parsed}, now));
    }

    void tickHost(shard_host &host)
    {
        if (!host.isAlive)
            return;
        host.worker->endLapsedTasks(now);
        performAll(host, host.supervisor->handle(work::supervisor_tick{}, now));
    }

    void performAll(shard_host &host, const std::vector<work::supervisor_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &one) { performForHost(host, one); }, action);
    }
    void performForHost(shard_host &host, const work::worker_list &action)
    {
        const auto listing = host.worker->list(action, now);
        performAll(host, host.supervisor->handle(work::listing_received{listing}, now));
    }
    void performForHost(shard_host &host, const work::worker_start &action)
    {
        host.worker->start(action, now);
    }
    void performForHost(shard_host &host, const work::worker_renew &action)
    {
        host.worker->renew(action);
    }
    void performForHost(shard_host &host, const work::worker_stop &action)
    {
        host.killedTasks += host.worker->stop(action) ? 1 : 0;
    }
    void performForHost(shard_host &host, const work::worker_checkpoint &action)
    {
        host.worker->recordEnd(
                {action.attempt, work::task_outcome::Evicted, action.checkpoint, {}});
    }
    void performForHost(shard_host &host, const work::worker_forget &action)
    {
        host.worker->forget(action);
    }
    void performForHost(shard_host &host, const work::worker_cpu_limit &action)
    {
        if (host.cpuLimitsToLose > 0 && host.cpuLimitsToLose-- > 0) {
            performAll(host,
                       host.supervisor->handle(work::cpu_limit_unconfirmed{action.attempt}, now));
        } else {
            host.cpuLimits[action.attempt] = action.millicores;
        }
    }
    void performForHost(shard_host &, const work::send_report &action)
    {
        feed(work::report_received{work::agentReportFromJson(toJson(action.report))});
    }
    void performForHost(shard_host &, const work::increment_counter &action)
    {
        counters.count("tasks_kept_total", nameOf(action.reason));
    }

    memory_platform m_platform;
    std::map<std::string, reported_worker> m_reportedWorkers;
    adopted_configuration m_adopted;
    std::uint64_t m_generation = 0;
    std::uint64_t m_epoch = 1;
};

} // namespace zinniabarrow::tests
