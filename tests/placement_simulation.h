// Owners of jobs and the agents of workers around the real decisions, on a virtual clock and
// without a network. Unless a test says otherwise orders, writes and reports take no time. Reports
// come each second and as runs end.
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

// One way each.
struct world_delays
{
    milliseconds write{0}; // until its outcome is known
    milliseconds order{0};
    milliseconds report{0};
};

class placement_world
{
public:
    explicit placement_world(int owners, const world_delays &delays = {})
        : m_delays(delays)
    {
        for (int number = 0; number < owners; ++number)
            m_owners.push_back(std::make_unique<owning_entry>(fmt::format("entry-{}", number)));
    }

    void addWorker(const jobs::task_size &capacity)
    {
        auto &added = m_workers[fmt::format("w{}", m_workers.size())];
        added.capacity = capacity;
        added.table.setEpoch(Epoch);
        added.reportAt = m_now + Step * static_cast<int>(m_workers.size());
    }

    // Its tasks that end do so after `runsFor`.
    void submit(int owner, const std::string &job, const jobs::step_spec &step,
                milliseconds runsFor = {})
    {
        jobs::job_spec spec;
        spec.steps = {step};
        jobs::queue_policy policy;
        policy.service = "tickets";
        policy.stretch = 2;
        m_runsFor[job] = runsFor;
        m_owners[static_cast<std::size_t>(owner)]->book.submit(job, spec, policy, wallMs(), m_now,
                                                               m_nextToken++);
    }

    void advance(milliseconds time)
    {
        const auto until = m_now + time;
        while (m_now < until)
            step();
    }

    // Tasks of the job that a worker has begun and that have not ended.
    int atWork(const std::string &job) const
    {
        int count = 0;
        for (const auto &[name, one] : m_workers) {
            count += static_cast<int>(
                    std::count_if(one.running.begin(), one.running.end(),
                                  [&](const auto &run) { return run.first.first.job == job; }));
        }
        return count;
    }
    // Of all tasks of the job, as their owner knows it.
    int highestRun(const std::string &job) const
    {
        int highest = 0;
        for (const auto &one : m_owners) {
            if (!one->book.owns(job))
                continue;
            for (const auto &task : one->book.record(job)->tasks.at(0).at(0))
                highest = std::max(highest, task.lastRun);
        }
        return highest;
    }
    const std::vector<jobs::noted> &notes() const { return m_notes; }

    static constexpr milliseconds Step{10};

private:
    static constexpr std::int64_t Epoch = 1;

    struct owning_entry
    {
        explicit owning_entry(std::string entry)
            : name(entry)
            , book({std::move(entry), 1}, pool)
        { }

        std::string name;
        jobs::worker_pool pool;
        jobs::job_book book;
        std::int64_t version = 1;
        std::map<std::int64_t, std::pair<std::string, jobs::run_end_id>> ends; // by token
    };

    struct running_task
    {
        jobs::task_size size;
        time_point endsAt = Never;
    };

    struct modelled_worker
    {
        jobs::run_table table;
        jobs::task_size capacity;
        std::map<std::pair<jobs::task_id, int>, running_task> running;
        std::vector<jobs::run_end> ended;
        std::int64_t lastEnd = 0;
        time_point reportAt{};
    };

    std::int64_t wallMs() const { return millisecondsIn(m_now.time_since_epoch()); }

    void later(milliseconds span, std::function<void()> happen)
    {
        if (span == milliseconds(0))
            return happen();
        m_onTheWay.emplace(m_now + span, std::move(happen));
    }

    void arrive()
    {
        while (!m_onTheWay.empty() && m_onTheWay.begin()->first <= m_now)
            m_onTheWay.extract(m_onTheWay.begin()).mapped()();
    }

    void step()
    {
        m_now += Step;
        arrive();
        for (auto &[name, one] : m_workers) {
            endDue(one);
            startDue(one);
            checkCapacity(name, one);
        }
        for (auto &[name, one] : m_workers) {
            if (one.reportAt <= m_now)
                report(name, one);
        }
        for (auto &one : m_owners)
            turn(*one);
    }

    void endDue(modelled_worker &on)
    {
        const auto endsBefore = on.table.newEndCount();
        for (auto at = on.running.begin(); at != on.running.end();) {
            if (at->second.endsAt > m_now) {
                ++at;
                continue;
            }
            on.ended.push_back(
                    {++on.lastEnd, at->first.first, at->first.second, jobs::end_kind::Done, ""});
            at = on.running.erase(at);
        }
        std::erase_if(on.ended, [&](const auto &end) {
            return end.sequence <= on.table.acknowledgedThrough();
        });
        on.table.applyListing(listingOf(on), m_now);
        if (on.table.newEndCount() != endsBefore)
            on.reportAt = m_now;
    }

    jobs::run_listing listingOf(const modelled_worker &on) const
    {
        jobs::run_listing seen;
        seen.clockMs = wallMs();
        for (const auto &[key, run] : on.running)
            seen.running.push_back({key.first, key.second, "", 0});
        seen.ended = on.ended;
        return seen;
    }

    void startDue(modelled_worker &on)
    {
        on.table.setWorker(on.capacity, jobs::start_readiness::Ready);
        for (const auto &action : on.table.takeDueActions(m_now, true)) {
            if (const auto *start = std::get_if<jobs::start_run>(&action))
                begin(on, *start);
            else
                stop(on, std::get<jobs::stop_run>(action));
        }
    }

    void begin(modelled_worker &on, const jobs::start_run &start)
    {
        const auto &step = specOf(start.task);
        auto &run = on.running[{start.task, start.run}];
        run.size = jobs::countedSize(step.size, step.fills);
        run.endsAt = step.lasting ? Never : m_now + m_runsFor.at(start.task.job);
        on.table.startCalled(start.task, start.run, wallMs() + 1000);
        on.table.startAnswered(start.task, start.run, jobs::start_answer::Started, m_now);
    }

    void stop(modelled_worker &on, const jobs::stop_run &stop)
    {
        if (on.running.erase({stop.task, stop.run}) > 0)
            on.ended.push_back({++on.lastEnd, stop.task, stop.run, jobs::end_kind::Stopped, ""});
    }

    const jobs::step_spec &specOf(const jobs::task_id &task) const
    {
        for (const auto &one : m_owners) {
            if (one->book.owns(task.job))
                return one->book.record(task.job)->steps[static_cast<std::size_t>(task.step)];
        }
        throw std::logic_error("a start of a job that nobody owns");
    }

    void checkCapacity(const std::string &name, const modelled_worker &on) const
    {
        jobs::task_size sum;
        for (const auto &[key, run] : on.running)
            sum += run.size;
        cr_assert(sum.fitsInto(on.capacity), "%s has more than it holds", name.c_str());
    }

    void report(const std::string &name, modelled_worker &on)
    {
        on.reportAt = m_now + seconds(1);
        jobs::worker_report told;
        told.worker = name;
        told.epoch = Epoch;
        told.service = "tickets";
        told.isAccepting = true;
        told.capacity = on.capacity;
        told.used = on.table.used();
        told.usedByLongRunning = on.table.usedByLongRunning();
        for (auto &one : m_owners) {
            later(m_delays.report, [this, &by = *one, told, ends = on.table.endsFor(one->name)] {
                takeReport(by, told, ends);
            });
        }
    }

    void takeReport(owning_entry &by, const jobs::worker_report &told,
                    const std::vector<jobs::run_end> &ends)
    {
        by.pool.update(told, m_now);
        for (const auto &end : ends) {
            const auto token = m_nextToken++;
            by.ends[token] = {told.worker, {end.task, end.run, end.endKind}};
            by.book.runEnded(told.worker, end, m_now, token);
        }
        by.book.workerTold(told.worker, m_now);
    }

    // Plans until nothing is left to be done: writes and orders are answered at once.
    void turn(owning_entry &one)
    {
        one.book.plan(m_now, wallMs());
        for (auto actions = one.book.takeActions(); !actions.empty();
             actions = one.book.takeActions()) {
            for (auto &action : actions)
                std::visit([&](auto &what) { carryOut(one, what); }, action);
            one.book.plan(m_now, wallMs());
        }
    }

    void carryOut(owning_entry &by, jobs::write_row &write)
    {
        later(m_delays.write, [&by, job = write.job] { by.book.rowWritten(job, ++by.version); });
    }
    void carryOut(owning_entry &by, jobs::give_order &order)
    {
        later(m_delays.order, [this, &by, given = std::move(order)] {
            auto &on = m_workers.at(given.worker);
            on.table.setWorker(on.capacity, jobs::start_readiness::Ready);
            const auto answer = on.table.handleOrder(given.order, by.name, m_now);
            later(m_delays.order, [this, &by, worker = given.worker, answer] {
                by.book.orderAnswered(worker, answer, m_now, 0);
            });
        });
    }
    void carryOut(owning_entry &by, const jobs::stored &done)
    {
        const auto found = by.ends.extract(done.token);
        if (!found.empty())
            m_workers.at(found.mapped().first).table.acknowledgeEnd(found.mapped().second, m_now);
    }
    void carryOut(owning_entry & /*by*/, const jobs::disowned & /*none: no job changes its owner*/)
    { }
    void carryOut(owning_entry & /*by*/, jobs::noted &line) { m_notes.push_back(std::move(line)); }

    world_delays m_delays;
    time_point m_now{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> m_onTheWay; // by when it comes
    std::vector<std::unique_ptr<owning_entry>> m_owners;
    std::map<std::string, modelled_worker> m_workers;
    std::map<std::string, milliseconds> m_runsFor; // by job
    std::vector<jobs::noted> m_notes;
    std::int64_t m_nextToken = 1;
};

} // namespace zinniabarrow::tests
