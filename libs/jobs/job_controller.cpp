#include "jobs/job_controller.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/errors.h"
#include "jobs/urgency.h"

namespace zinniabarrow::jobs {

namespace {

// Only the newest: the end of a run that is older than so many others comes no more.
void noteUnheard(task_state &task, int run)
{
    constexpr std::size_t MostUnheard = 4;
    task.unheard.push_back(run);
    if (task.unheard.size() > MostUnheard)
        task.unheard.erase(task.unheard.begin());
}

run_requirements traitsOf(const step_spec &step)
{
    return {step.size, step.fills, step.lasting, step.image, step.targetMs};
}

} // namespace

job_book::job_book(owner_id self, worker_pool &workers, const book_settings &settings)
    : m_self(std::move(self))
    , m_workers(workers)
    , m_settings(settings)
{ }

// --- callers

bool job_book::owns(const std::string &job) const
{
    return m_jobs.contains(job);
}

void job_book::submit(const std::string &id, const job_spec &spec, const queue_policy &policy,
                      std::int64_t wallMs, time_point now, std::int64_t token)
{
    auto &job = m_jobs[id];
    job.record = newRecord(spec, policy, wallMs);
    job.payload = spec.payload;
    job.waiting.push_back({token, job.revision});
    m_touched.insert(id);
    m_waiting.insert(id);
    // Placed before the first write: acceptance and first placement are one transaction.
    placeWaiting(id, job, now, wallMs);
}

void job_book::whenStored(const std::string &id, std::int64_t token)
{
    auto &job = m_jobs.at(id);
    job.waiting.push_back({token, job.revision});
    settle(job);
}

void job_book::cancel(const std::string &id, std::int64_t token)
{
    auto &job = m_jobs.at(id);
    if (!isFinal(job.record.state())) {
        job.record.cancelled = true;
        changed(id, job);
        stopAll(id, job);
        note("job_cancelled", id, "asked by its caller");
    }
    whenStored(id, token);
}

job_state job_book::storedState(const std::string &id) const
{
    return m_jobs.at(id).storedState;
}

const job_record *job_book::record(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.record;
}

// --- the store

void job_book::rowWritten(const std::string &id, std::int64_t version)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    job.version = version;
    job.storedRevision = job.outRevision;
    job.outRevision = 0;
    job.storedState = job.outState;
    job.payloadStored = true;
    job.cancelStored = job.storedState == job_state::Cancelled;
    m_touched.insert(id);
    settle(job);
}

void job_book::rowConflict(const std::string &id, std::int64_t version,
                           const std::optional<std::string> &content)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    std::optional<job_record> row;
    if (content)
        row = recordFrom(*content);
    // An earlier try of this very write took effect and its answer was lost.
    if (row && row->write == job.outWrite)
        return rowWritten(id, version);
    if (!row || row->owner != m_self) {
        note("job_disowned", id, row ? "owner is " + row->owner.entry : "its row is gone");
        return drop(id);
    }
    job.outRevision = 0;
    job.version = version;
    takeCancel(id, job, *row);
    changed(id, job);
}

void job_book::rowSeen(const std::string &id, const job_record &record, std::int64_t version)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto &job = found->second;
    if (job.outRevision != 0 || version <= job.version)
        return; // an own write, or one that the write that is out will run into
    if (record.owner != m_self) {
        note("job_disowned", id, "owner is " + record.owner.entry);
        return drop(id);
    }
    job.version = version;
    takeCancel(id, job, record);
}

// A cancel that another entry wrote on the owner's behalf.
void job_book::takeCancel(const std::string &id, owned_job &job, const job_record &row)
{
    if (!row.cancelled || isFinal(job.record.state()))
        return;
    job.cancelStored = true;
    job.record.cancelled = true;
    changed(id, job);
    stopAll(id, job);
    note("job_cancelled", id, "written by another entry");
}

void job_book::adopt(const std::string &id, const job_record &record, std::int64_t version,
                     const std::string &payload)
{
    if (m_jobs.contains(id))
        return;
    auto &job = m_jobs[id];
    job.record = record;
    job.payload = payload;
    job.payloadStored = true;
    job.cancelStored = record.cancelled;
    job.version = version;
    job.storedState = record.state();
    m_touched.insert(id);
    m_waiting.insert(id);
    eachTask(id, job, [&](const task_id &task, const task_state &state) {
        auto &orders = record.isNeeded(state) ? job.starts : job.stops;
        for (const auto &where : state.placements)
            orders[{task, where.run}] = {where.worker, job.revision, false, {}};
    });
    m_ordering.insert(id);
    note("job_adopted", id, "owner was " + record.owner.entry);
}

void job_book::forget(const std::string &id)
{
    if (m_jobs.contains(id))
        drop(id);
}

// --- workers

void job_book::progressed(const std::string &worker, const run_progress &progress)
{
    const auto found = m_jobs.find(progress.task.job);
    if (found == m_jobs.end())
        return;
    auto *task = found->second.record.find(progress.task);
    if (task == nullptr || task->done || task->checkpoint == progress.checkpoint)
        return;
    // A report that was held up tells of a run whose end is known, and of less than that one saved.
    if (!isPlacedOn(*task, worker, progress.run))
        return;
    task->checkpoint = progress.checkpoint;
    changed(found->first, found->second);
}

void job_book::runStarted(const started_run &run, time_point now)
{
    const auto found = m_jobs.find(run.task.job);
    if (found != m_jobs.end() && found->second.record.find(run.task) != nullptr)
        noteBegun(found->first, found->second, now);
}

// Callers count the jobs that wait by their rows, at any entry.
void job_book::noteBegun(const std::string &id, owned_job &job, time_point now)
{
    if (std::exchange(job.record.begun, true))
        return;
    m_begun.emplace(id, now + m_settings.joinBegun);
}

void job_book::writeBegun(time_point now)
{
    std::erase_if(m_begun, [&](const auto &entry) {
        if (now < entry.second)
            return false;
        const auto found = m_jobs.find(entry.first);
        if (found != m_jobs.end())
            changed(found->first, found->second);
        return true;
    });
}

void job_book::orderAnswered(const std::string &worker, const order_answer &answer, time_point now,
                             std::int64_t agentLife)
{
    const auto found = m_jobs.find(answer.task.job);
    if (found == m_jobs.end())
        return;
    const auto &id = found->first;
    auto &job = found->second;
    const std::pair key{answer.task, answer.run};
    const auto order = job.starts.find(key);
    const auto givenBy = order == job.starts.end() ? time_point{} : order->second.heardAt;
    // The life that answered is over, and took what it was told along. An owner that was frozen
    // reads what came meanwhile in any order.
    if (shouldRetry(answer.outcome) || !isOfThePresentLife(worker, agentLife))
        return orderUnanswered(worker, answer.task, answer.run, now);
    // Each answer settles its own order only. A start's answer that took the stop away, while that
    // waited for the write of the cancel, would leave the run to itself.
    if (answer.kind == order_kind::Stop)
        job.stops.erase(key);
    else if (job.starts.erase(key) > 0 && answer.outcome == order_outcome::Accepted)
        job.startedAt[key] = now;
    if (!isPermanentRefusal(answer.outcome))
        return;
    auto *task = job.record.find(answer.task);
    if (task == nullptr || !isPlacedOn(*task, worker, answer.run))
        return;
    removePlacement(job, answer.task, answer.run);
    changed(id, job);
    const auto &step = stepOf(job, answer.task);
    if (answer.outcome == order_outcome::NoRoom)
        m_workers.noteNoRoom(worker, step, givenBy);
    if (step.gang && answer.kind == order_kind::Start && job.record.isNeeded(*task))
        notStarted(job, worker, answer.task, answer.run);
    note("order_refused", id,
         fmt::format("{}: {}", describe(answer.task, answer.run, worker), nameOf(answer.outcome)));
}

bool job_book::isOfThePresentLife(const std::string &worker, std::int64_t agentLife) const
{
    const auto *view = m_workers.find(worker);
    return agentLife == 0 || view == nullptr || view->last.agentIncarnation == agentLife;
}

void job_book::orderUnanswered(const std::string &worker, const task_id &task, int run,
                               time_point now)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end())
        return;
    const auto again = [&](auto &orders) {
        const auto order = orders.find({task, run});
        if (order == orders.end() || order->second.worker != worker)
            return;
        order->second.out = false;
        order->second.repeatAt = now + m_settings.repeatOrder;
    };
    again(found->second.starts);
    again(found->second.stops);
    m_ordering.insert(found->first);
}

void job_book::workerTold(const std::string &worker, time_point now)
{
    const auto found = m_onTheWay.find(worker);
    if (found == m_onTheWay.end())
        return;
    auto &starts = found->second;
    std::erase_if(starts, [&](const auto &start) { return !isOnTheWay(worker, start, now); });
    for (const auto &[task, run] : starts)
        m_workers.reserve(worker, stepOf(m_jobs.at(task.job), task));
    if (starts.empty())
        m_onTheWay.erase(found);
}

bool job_book::isOnTheWay(const std::string &worker, const std::pair<task_id, int> &start,
                          time_point now) const
{
    const auto job = m_jobs.find(start.first.job);
    if (job == m_jobs.end())
        return false;
    const auto order = job->second.starts.find(start);
    if (order == job->second.starts.end() || order->second.worker != worker)
        return false;
    const auto givenAt = order->second.givenAt;
    return givenAt == time_point{} || now - givenAt < m_settings.onTheWay;
}

const step_spec &job_book::stepOf(const owned_job &job, const task_id &task)
{
    return job.record.steps[static_cast<std::size_t>(task.step)];
}

void job_book::workerRenewed(const std::string &worker, std::int64_t epoch, time_point now)
{
    epochSeen(worker, epoch);
    for (auto &[id, job] : m_jobs)
        orderAgain(id, job, worker, now);
}

void job_book::epochSeen(const std::string &worker, std::int64_t epoch)
{
    for (auto &[id, job] : m_jobs) {
        if (!endEarlierEpochs(id, job, worker, epoch))
            continue;
        changed(id, job);
        note("worker_renewed", id, fmt::format("runs on {} before epoch {} ended", worker, epoch));
    }
}

// True when a placement has ended.
bool job_book::endEarlierEpochs(const std::string &id, owned_job &job, const std::string &worker,
                                std::int64_t epoch)
{
    bool ended = false;
    eachTask(id, job, [&](const task_id &task, task_state &state) {
        std::erase_if(state.placements, [&](const placement &where) {
            if (where.worker != worker || where.epoch >= epoch)
                return false;
            const std::pair key{task, where.run};
            ended = true;
            job.starts.erase(key);
            job.stops.erase(key);
            job.startedAt.erase(key);
            if (!state.done)
                noteUnheard(state, where.run);
            return true;
        });
    });
    return ended;
}

void job_book::orderAgain(const std::string &id, owned_job &job, const std::string &worker,
                          time_point now)
{
    eachTask(id, job, [&](const task_id &task, const task_state &state) {
        for (const auto &where : state.placements) {
            if (where.worker != worker)
                continue;
            const std::pair key{task, where.run};
            // One that is being stopped is not started beside that: its gang misses a member.
            const bool mayRun = job.record.isNeeded(state) && !job.stops.contains(key);
            (mayRun ? job.starts : job.stops)[key] = {worker, job.revision, false, now};
            // What runs there is in the report already.
            if (const auto placed = m_onTheWay.find(worker); placed != m_onTheWay.end())
                placed->second.erase(key);
        }
    });
    m_ordering.insert(id);
}

std::set<std::string> job_book::busyWorkers() const
{
    std::set<std::string> workers;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &inOccurrence : job.record.tasks) {
            for (const auto &inStep : inOccurrence) {
                for (const auto &task : inStep) {
                    for (const auto &where : task.placements)
                        workers.insert(where.worker);
                }
            }
        }
    }
    return workers;
}

// --- time

void job_book::plan(time_point now, std::int64_t wallMs)
{
    std::vector<std::pair<job_urgency, std::string>> order;
    for (const auto &id : m_waiting)
        order.emplace_back(urgencyOf(m_jobs.at(id).record, wallMs), id);
    std::sort(order.begin(), order.end());
    for (const auto &[urgency, id] : order)
        placeWaiting(id, m_jobs.at(id), now, wallMs);
    tellUnderserved(now);
    tellStanding(now, wallMs);
    tellEnded(wallMs);
    writeBegun(now);
    const auto touched = std::move(m_touched);
    m_touched.clear();
    for (const auto &id : touched) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
            writeIfDue(id, found->second);
    }
    const auto ordering = m_ordering;
    for (const auto &id : ordering) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !giveDueOrders(id, found->second, now))
            m_ordering.erase(id);
    }
}

std::vector<book_action> job_book::takeActions()
{
    auto actions = std::move(m_actions);
    m_actions.clear();
    return actions;
}

std::vector<std::string> job_book::ownedJobs() const
{
    std::vector<std::string> jobs;
    for (const auto &[id, job] : m_jobs)
        jobs.push_back(id);
    return jobs;
}

std::size_t job_book::ownedUnfinished() const
{
    return static_cast<std::size_t>(
            std::count_if(m_jobs.begin(), m_jobs.end(),
                          [](const auto &entry) { return !isFinal(entry.second.storedState); }));
}

// --- inside

void job_book::changed(const std::string &id, owned_job &job)
{
    ++job.revision;
    m_touched.insert(id);
    m_waiting.insert(id);
}

void job_book::writeIfDue(const std::string &id, owned_job &job)
{
    if (job.outRevision != 0 || job.storedRevision >= job.revision)
        return;
    job.record.owner = m_self;
    job.outWrite = fmt::format("{}:{}:{}", m_self.entry, m_self.incarnation, m_nextWrite++);
    job.record.write = job.outWrite;
    job.outRevision = job.revision;
    job.outState = job.record.state();
    m_begun.erase(id);
    write_row write{id, job.version, toText(job.record), std::nullopt};
    if (!job.payloadStored)
        write.payload = job.payload;
    write.cancels = job.record.cancelled && !job.cancelStored;
    m_actions.emplace_back(std::move(write));
}

void job_book::settle(owned_job &job)
{
    std::erase_if(job.waiting, [&](const waiting_token &waiting) {
        if (waiting.revision > job.storedRevision)
            return false;
        m_actions.emplace_back(stored{waiting.token});
        return true;
    });
}

void job_book::drop(const std::string &id)
{
    const auto found = m_jobs.find(id);
    for (const auto &waiting : found->second.waiting)
        m_actions.emplace_back(disowned{waiting.token, id});
    m_jobs.erase(found);
    m_waiting.erase(id);
    m_touched.erase(id);
    m_ordering.erase(id);
    m_begun.erase(id);
}

run_order job_book::startOrder(const owned_job &job, const task_id &task, const placement &where,
                               time_point now) const
{
    run_order order;
    order.task = task;
    order.run = where.run;
    order.epoch = where.epoch;
    order.agentIncarnation = where.agentLife;
    order.startDeadlineMs = m_workers.orderHoldsUntil(where.worker, where.agentLife, now);
    order.payload = job.payload;
    order.checkpoint = job.record.find(task)->checkpoint;
    const auto &step = stepOf(job, task);
    order.requirements = traitsOf(step);
    order.wantsStartReport = !job.record.begun;
    return order;
}

time_point job_book::heardOf(const std::string &worker) const
{
    const auto *view = m_workers.find(worker);
    return view == nullptr ? time_point{} : view->heardAt;
}

// True while some order of the job still has no answer.
bool job_book::giveDueOrders(const std::string &id, owned_job &job, time_point now)
{
    const auto isDue = [&](const pending_order &order) {
        return !order.out && order.revision <= job.storedRevision && order.repeatAt <= now;
    };
    for (auto &[key, order] : job.starts) {
        if (!isDue(order))
            continue;
        const auto *task = job.record.find(key.first);
        for (const auto &where : task->placements) {
            if (where.run != key.second)
                continue;
            order.out = true;
            order.heardAt = heardOf(where.worker);
            tellUnanswered(id, key.first, key.second, order, now);
            m_actions.emplace_back(
                    give_order{where.worker, startOrder(job, key.first, where, now)});
        }
    }
    for (auto &[key, order] : job.stops) {
        if (!isDue(order))
            continue;
        order.out = true;
        tellUnanswered(id, key.first, key.second, order, now);
        run_order stop;
        stop.kind = order_kind::Stop;
        stop.task = key.first;
        stop.run = key.second;
        m_actions.emplace_back(give_order{order.worker, std::move(stop)});
    }
    return !job.starts.empty() || !job.stops.empty();
}

void job_book::stopAll(const std::string &id, owned_job &job)
{
    job.starts.clear();
    eachTask(id, job, [&](const task_id &task, const task_state &state) {
        for (const auto &where : state.placements)
            job.stops[{task, where.run}] = {where.worker, job.revision, false, {}};
    });
    m_ordering.insert(id);
}

bool job_book::isPlacedOn(const task_state &task, const std::string &worker, int run)
{
    return std::any_of(task.placements.begin(), task.placements.end(), [&](const auto &where) {
        return where.worker == worker && where.run == run;
    });
}

void job_book::removePlacement(owned_job &job, const task_id &task, int run)
{
    std::erase_if(job.record.find(task)->placements,
                  [&](const placement &where) { return where.run == run; });
    job.starts.erase({task, run});
    job.stops.erase({task, run});
}

} // namespace zinniabarrow::jobs
