// Simulates entries, which own jobs, and workers with their agents: the real job_controller,
// worker_pool and run_table on a virtual clock and without a network. Unless a test sets delays,
// orders, writes and reports take no time. Agents send reports every second and whenever runs end.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>

#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "section.h"

namespace zinniabarrow::tests {

// One-way delays.
struct simulated_delays
{
    milliseconds write{0};  // from a write to its outcome
    milliseconds order{0};  // of an order, and again of its answer
    milliseconds report{0}; // from the agent to the entry
};

class placement_simulation
{
public:
    explicit placement_simulation(int owners, const simulated_delays &delays = {},
                                  const jobs::controller_settings &settings = {})
        : m_delays(delays)
    {
        for (int number = 0; number < owners; ++number)
            m_owners.push_back(
                    std::make_unique<simulated_entry>(fmt::format("entry-{}", number), settings));
    }

    // Gives each worker one of the owners as its home.
    void assignHomes() { m_hasHomes = true; }

    void addWorker(const jobs::task_size &capacity)
    {
        auto &added = m_workers[fmt::format("w{}", m_workers.size())];
        added.capacity = capacity;
        added.table.setEpoch(Epoch);
        added.nextReportAt = m_now + TickInterval * static_cast<int>(m_workers.size());
    }

    // Submits a job of one step. The runs of its tasks end after `runTime`, unless long-running.
    void submit(int owner, const std::string &job, const jobs::step_spec &step,
                milliseconds runTime = {})
    {
        jobs::job_spec spec;
        spec.steps = {step};
        jobs::queue_policy policy;
        policy.service = "tickets";
        policy.stretch = 2;
        m_runTimes[job] = runTime;
        m_owners[static_cast<std::size_t>(owner)]->controller.submit(job, spec, policy, wallMs(),
                                                                     m_now, m_nextToken++);
    }

    void advance(milliseconds duration)
    {
        const auto until = m_now + duration;
        while (m_now < until)
            tick();
    }

    // Number of tasks of the job that a worker has started and that have not ended.
    int countRunning(const std::string &job) const
    {
        int count = 0;
        for (const auto &[name, item] : m_workers) {
            count += static_cast<int>(
                    std::count_if(item.running.begin(), item.running.end(),
                                  [&](const auto &run) { return run.first.first.job == job; }));
        }
        return count;
    }
    // Highest run number of all tasks of the job, according to the entry that owns it.
    int highestRunNumber(const std::string &job) const
    {
        int highest = 0;
        for (const auto &item : m_owners) {
            if (!item->controller.owns(job))
                continue;
            for (const auto &task : item->controller.record(job)->tasks.at(0).at(0))
                highest = std::max(highest, task.lastRun);
        }
        return highest;
    }
    const std::vector<jobs::log_event> &logEvents() const { return m_logEvents; }

    static constexpr milliseconds TickInterval{10};

private:
    static constexpr std::int64_t Epoch = 1;

    struct simulated_entry
    {
        simulated_entry(std::string entry, const jobs::controller_settings &settings)
            : name(entry)
            , controller({std::move(entry), 1}, pool, settings)
        { }

        std::string name;
        jobs::worker_pool pool;
        jobs::job_controller controller;
        std::int64_t version = 1;
        std::map<std::int64_t, std::pair<std::string, jobs::run_end_id>>
                unacknowledgedEnds; // by token
    };

    struct running_task
    {
        jobs::task_size size;
        time_point endTime = Never;
    };

    struct simulated_worker
    {
        jobs::run_table table;
        jobs::task_size capacity;
        std::map<std::pair<jobs::task_id, int>, running_task> running;
        std::vector<jobs::run_end> ended;
        std::int64_t lastEndNumber = 0;
        time_point nextReportAt{};
    };

    std::int64_t wallMs() const { return millisecondsIn(m_now.time_since_epoch()); }

    void runAfter(milliseconds delay, std::function<void()> event)
    {
        if (delay == milliseconds(0))
            return event();
        m_delayedEvents.emplace(m_now + delay, std::move(event));
    }

    void runDueEvents()
    {
        while (!m_delayedEvents.empty() && m_delayedEvents.begin()->first <= m_now)
            m_delayedEvents.extract(m_delayedEvents.begin()).mapped()();
    }

    void tick()
    {
        m_now += TickInterval;
        runDueEvents();
        for (auto &[name, item] : m_workers) {
            endDueRuns(item);
            executeRunActions(item);
            checkCapacity(name, item);
        }
        for (auto &[name, item] : m_workers) {
            if (item.nextReportAt <= m_now)
                sendReport(name, item);
        }
        for (auto &item : m_owners)
            planAndAct(*item);
    }

    void endDueRuns(simulated_worker &target)
    {
        const auto endCountBefore = target.table.newEndCount();
        for (auto runIterator = target.running.begin(); runIterator != target.running.end();) {
            if (runIterator->second.endTime > m_now) {
                ++runIterator;
                continue;
            }
            target.ended.push_back({++target.lastEndNumber, runIterator->first.first,
                                    runIterator->first.second, jobs::end_kind::Done, ""});
            runIterator = target.running.erase(runIterator);
        }
        std::erase_if(target.ended, [&](const auto &end) {
            return end.sequence <= target.table.acknowledgedThrough();
        });
        target.table.applyListing(listingOf(target), m_now);
        if (target.table.newEndCount() != endCountBefore)
            target.nextReportAt = m_now;
    }

    jobs::run_listing listingOf(const simulated_worker &target) const
    {
        jobs::run_listing listing;
        listing.clockMs = wallMs();
        for (const auto &[key, run] : target.running)
            listing.running.push_back({key.first, key.second, "", 0});
        listing.ended = target.ended;
        return listing;
    }

    void executeRunActions(simulated_worker &target)
    {
        target.table.setWorkerState(target.capacity, jobs::start_readiness::Ready);
        for (const auto &action : target.table.takeDueActions(m_now, true)) {
            if (const auto *start = std::get_if<jobs::start_run>(&action))
                startRun(target, *start);
            else
                stopRun(target, std::get<jobs::stop_run>(action));
        }
    }

    void startRun(simulated_worker &target, const jobs::start_run &start)
    {
        const auto &step = specOf(start.task);
        auto &run = target.running[{start.task, start.run}];
        run.size = jobs::reservedSize(step.size, step.isBestEffort);
        run.endTime = step.isLongRunning ? Never : m_now + m_runTimes.at(start.task.job);
        target.table.startCalled(start.task, start.run, wallMs() + 1000);
        target.table.startAnswered(start.task, start.run, jobs::start_answer::Started, m_now);
    }

    void stopRun(simulated_worker &target, const jobs::stop_run &stop)
    {
        if (target.running.erase({stop.task, stop.run}) > 0)
            target.ended.push_back(
                    {++target.lastEndNumber, stop.task, stop.run, jobs::end_kind::Stopped, ""});
    }

    const jobs::step_spec &specOf(const jobs::task_id &task) const
    {
        for (const auto &item : m_owners) {
            if (item->controller.owns(task.job))
                return item->controller.record(task.job)
                        ->steps[static_cast<std::size_t>(task.step)];
        }
        throw std::logic_error("start of a job that no entry owns");
    }

    void checkCapacity(const std::string &name, const simulated_worker &target) const
    {
        jobs::task_size sum;
        for (const auto &[key, run] : target.running)
            sum += run.size;
        cr_assert(sum.fitsInto(target.capacity), "%s runs more than its capacity", name.c_str());
    }

    void sendReport(const std::string &name, simulated_worker &target)
    {
        target.nextReportAt = m_now + seconds(1);
        jobs::worker_report workerReport;
        workerReport.worker = name;
        workerReport.epoch = Epoch;
        workerReport.service = "tickets";
        workerReport.isAccepting = true;
        workerReport.capacity = target.capacity;
        workerReport.used = target.table.used();
        workerReport.usedByLongRunning = target.table.usedByLongRunning();
        for (auto &item : m_owners) {
            runAfter(m_delays.report, [this, &receiver = *item, workerReport,
                                       ends = target.table.endsFor(item->name)] {
                receiveReport(receiver, workerReport, ends);
            });
        }
    }

    void receiveReport(simulated_entry &receiver, const jobs::worker_report &workerReport,
                       const std::vector<jobs::run_end> &ends)
    {
        receiver.pool.update(workerReport, m_now);
        if (m_hasHomes)
            receiver.pool.setHome(workerReport.worker, homeOf(workerReport.worker) == &receiver);
        for (const auto &end : ends) {
            const auto token = m_nextToken++;
            receiver.unacknowledgedEnds[token] = {workerReport.worker,
                                                  {end.task, end.run, end.endKind}};
            receiver.controller.runEnded(workerReport.worker, end, m_now, token);
        }
        receiver.controller.workerReported(workerReport.worker, m_now);
    }

    const simulated_entry *homeOf(const std::string &worker) const
    {
        return m_owners[std::stoul(worker.substr(1)) % m_owners.size()].get();
    }

    // Plans and carries out the actions until there are none: without delays, writes and orders are
    // answered at once.
    void planAndAct(simulated_entry &item)
    {
        item.controller.plan(m_now, wallMs());
        for (auto actions = item.controller.takeActions(); !actions.empty();
             actions = item.controller.takeActions()) {
            for (auto &action : actions)
                std::visit([&](auto &concreteAction) { execute(item, concreteAction); }, action);
            item.controller.plan(m_now, wallMs());
        }
    }

    void execute(simulated_entry &receiver, jobs::write_row &write)
    {
        runAfter(m_delays.write, [&receiver, job = write.job] {
            receiver.controller.rowWritten(job, ++receiver.version);
        });
    }
    void execute(simulated_entry &receiver, jobs::send_order &order)
    {
        runAfter(m_delays.order, [this, &receiver, sentOrder = std::move(order)] {
            auto &target = m_workers.at(sentOrder.worker);
            target.table.setWorkerState(target.capacity, jobs::start_readiness::Ready);
            const auto answer = target.table.handleOrder(sentOrder.order, receiver.name, m_now);
            runAfter(m_delays.order, [this, &receiver, worker = sentOrder.worker, answer] {
                receiver.controller.orderAnswered(worker, answer, m_now, 0);
            });
        });
    }
    void execute(simulated_entry &receiver, const jobs::change_stored &stored)
    {
        const auto found = receiver.unacknowledgedEnds.extract(stored.token);
        if (!found.empty())
            m_workers.at(found.mapped().first).table.acknowledgeEnd(found.mapped().second, m_now);
    }
    void execute(simulated_entry & /*receiver*/,
                 const jobs::ownership_lost & /*never happens: jobs keep their owner*/)
    { }
    void execute(simulated_entry & /*receiver*/, jobs::log_event &line)
    {
        m_logEvents.push_back(std::move(line));
    }

    simulated_delays m_delays;
    time_point m_now{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> m_delayedEvents; // by time
    std::vector<std::unique_ptr<simulated_entry>> m_owners;
    std::map<std::string, simulated_worker> m_workers;
    std::map<std::string, milliseconds> m_runTimes; // by job
    std::vector<jobs::log_event> m_logEvents;
    std::int64_t m_nextToken = 1;
    bool m_hasHomes = false;
};

} // namespace zinniabarrow::tests
