#include "app/owned_shard.h"

#include <algorithm>

namespace zinniabarrow {

namespace {

constexpr int MostDecisions = 256; // of one planning
constexpr char GenerationMark = '@';

placement::task_ref refOf(const work::task_id &task)
{
    return {task.job, static_cast<std::int32_t>(task.index)};
}

work::task_id idOf(const placement::task_ref &task)
{
    return {task.jobId, static_cast<std::uint32_t>(task.taskIndex)};
}

placement::task_priority priorityOf(config::priority_class priority)
{
    switch (priority) {
    case config::priority_class::Urgent:
        return placement::task_priority::Urgent;
    case config::priority_class::Low:
        return placement::task_priority::Low;
    case config::priority_class::Normal:
        break;
    }
    return placement::task_priority::Normal;
}

// What the worker is told of a task.
Json::Value workerSpec(const resources &size, milliseconds workTime)
{
    Json::Value spec(Json::objectValue);
    spec["millicores"] = Json::Int64(size.millicores);
    spec["bytes"] = Json::Int64(size.bytes);
    spec["accelerators"] = Json::Int64(size.accelerators);
    spec["work_ms"] = Json::Int64(workTime.count());
    return spec;
}

// Members that services and jobs share.
template <typename Spec>
placement::task_spec patternOf(const std::string &name, const Spec &spec)
{
    placement::task_spec pattern;
    pattern.jobClass = spec.interferenceClass.empty() ? name : spec.interferenceClass;
    pattern.team = spec.team;
    pattern.priority = priorityOf(spec.priority);
    pattern.pool = spec.pool;
    pattern.declared = spec.size;
    pattern.failover = spec.failover;
    return pattern;
}

} // namespace

owned_shard::owned_shard(const work::table_owner &owner, const std::string &operationPrefix,
                         const work::table_settings &tableSettings,
                         const placement::placer_settings &placerSettings, std::size_t shards,
                         metrics &counters, const logger &log)
    : m_owner(owner)
    , m_table(owner, operationPrefix, tableSettings)
    , m_placer(placerSettings)
    , m_shards(shards)
    , m_metrics(counters)
    , m_log(log)
{ }

std::vector<work::table_action> owned_shard::handle(const work::table_event &event, time_point now)
{
    auto actions = m_table.handle(event, now);
    if (m_table.ready() && !m_adopted)
        adopt(now);
    for (const auto &action : actions) {
        if (const auto *change = std::get_if<work::task_settled>(&action))
            settled(*change, now);
        else if (const auto *reason = std::get_if<work::table_count>(&action))
            m_metrics.count("work_total", nameOf(*reason));
        else if (const auto *store = std::get_if<work::store_count>(&action))
            m_metrics.count("work_table_total", nameOf(*store));
    }
    return actions;
}

// After a takeover the placer's ledgers start from what the table holds, settled or not.
void owned_shard::adopt(time_point now)
{
    m_adopted = true;
    for (const auto &[task, record] : m_table.occupying()) {
        const auto *job = m_table.job(task.job);
        placement::task_spec spec;
        spec.jobId = task.job;
        spec.taskIndex = static_cast<std::int32_t>(task.index);
        if (job != nullptr) {
            const auto &told = job->spec.spec;
            spec.declared = {told["millicores"].asInt64(), told["bytes"].asInt64(),
                             told["accelerators"].asInt64()};
        }
        m_placer.taskPlaced(spec, record.worker, spec.declared, placement::entry_state::Running,
                            now);
    }
}

void owned_shard::settled(const work::task_settled &change, time_point now)
{
    const auto ref = refOf(change.task);
    switch (change.change) {
    case work::task_change::Placed:
        logTask("task_placed", change);
        m_placer.taskSettled(ref, change.worker, placement::placement_outcome::Applied, now);
        break;
    case work::task_change::Started:
        m_placer.taskRunning(ref, change.worker, now);
        break;
    case work::task_change::Vacated:
        break; // its room is given away once the table holds the end
    case work::task_change::Freed: {
        logTask("task_freed", change);
        const auto failures = m_table.find(change.task).failures;
        auto &seen = m_failures[change.task];
        if (failures > seen)
            m_placer.taskFailed(ref, change.worker, "failed", now);
        else
            m_placer.taskReleased(ref, change.worker, now);
        seen = failures;
        break;
    }
    case work::task_change::Ended:
        logTask("task_ended", change);
        m_metrics.count("tasks_ended_total", nameOf(change.state));
        if (change.state == work::task_state::Failed)
            m_placer.taskFailed(ref, change.worker, "failed for good", now);
        if (change.state != work::task_state::Done)
            m_placer.cancelTasks(std::vector{ref}, now);
        m_placer.taskEnded(ref, change.worker, now);
        m_failures.erase(change.task);
        break;
    case work::task_change::Reverted:
        if (change.state == work::task_state::Pending)
            m_placer.taskSettled(ref, change.worker, placement::placement_outcome::NotApplied, now);
        break;
    }
}

void owned_shard::logTask(std::string_view event, const work::task_settled &change) const
{
    Json::Value fields(Json::objectValue);
    fields["task"] = work::textOf(change.task);
    fields["attempt"] = change.attempt;
    fields["worker"] = change.worker;
    fields["state"] = std::string(nameOf(change.state));
    fields["at_us"] = Json::Int64(monotonic_clock::now().time_since_epoch().count());
    m_log.info(event, fields);
}

std::vector<work::table_action>
owned_shard::follow(const adopted_configuration &adopted,
                    const std::map<std::string, worker_place> &workers, time_point now)
{
    std::vector<work::table_action> actions;
    if (!m_table.ready())
        return actions;
    followWorkers(workers, now);
    if (!adopted.whole || adopted.generation <= m_generation)
        return actions;
    // Taken over before this entry has heard of the newest generation: it comes within seconds.
    if (adopted.generation < m_table.followed()) {
        m_metrics.count("work_total", nameOf(work::table_count::StaleGeneration));
        return actions;
    }
    m_generation = adopted.generation;
    for (auto &action : handle(work::generation_followed{adopted.generation}, now))
        actions.push_back(std::move(action));
    for (const auto &[name, team] : adopted.whole->teams)
        m_placer.setTeam({name, team.weight, team.quota});
    for (const auto &[name, pool] : adopted.whole->pools)
        m_placer.setPool({name, pool.worker}, now);
    std::set<std::string> wanted;
    for (const auto &[name, service] : adopted.whole->services) {
        work::job_spec job;
        job.id = jobIdFor(name, adopted.generation);
        job.generation = adopted.generation;
        job.tasks = static_cast<std::uint32_t>(service.replicas);
        job.service = true;
        job.spec = workerSpec(service.size, milliseconds(0));
        auto pattern = patternOf(name, service);
        pattern.kind = placement::task_kind::Service;
        pattern.replicas = static_cast<std::int32_t>(service.replicas);
        m_latencyTargets[job.id] = service.latencyTarget;
        wanted.insert(job.id);
        acceptJob(job, pattern, actions, now);
    }
    for (const auto &[name, batch] : adopted.whole->jobs) {
        work::job_spec job;
        job.id = jobIdFor(name, adopted.generation);
        job.generation = adopted.generation;
        job.tasks = static_cast<std::uint32_t>(batch.tasks);
        job.spec = workerSpec(batch.size, batch.runTimeEstimate);
        auto pattern = patternOf(name, batch);
        pattern.replicas = static_cast<std::int32_t>(batch.tasks);
        wanted.insert(job.id);
        acceptJob(job, pattern, actions, now);
    }
    cancelMissing(wanted, actions, now);
    return actions;
}

// A name that comes back after its removal is another job: attempts of the removed one may still
// be remembered by workers, and would be newer than those of a job that starts at one again.
std::string owned_shard::jobIdFor(const std::string &name, std::uint64_t generation) const
{
    const auto prefix = name + GenerationMark;
    for (const auto &id : m_table.jobs()) {
        const auto *job = m_table.job(id);
        if (id.compare(0, prefix.size(), prefix) == 0 && job != nullptr && !job->cancelled)
            return id;
    }
    return prefix + std::to_string(generation);
}

// Shard k of n takes the k-th part of the job's tasks.
work::job_spec owned_shard::sliceOf(work::job_spec job) const
{
    const auto shards = static_cast<std::uint32_t>(m_shards);
    const auto shard = static_cast<std::uint32_t>(m_owner.shard);
    const auto first = job.tasks * shard / shards;
    job.tasks = job.tasks * (shard + 1) / shards - first;
    job.firstTask = first;
    return job;
}

void owned_shard::acceptJob(const work::job_spec &whole, const placement::task_spec &pattern,
                            std::vector<work::table_action> &actions, time_point now)
{
    auto job = sliceOf(whole);
    job.failover = pattern.failover;
    if (job.tasks == 0)
        return;
    auto spec = pattern;
    spec.jobId = job.id;
    Json::Value fields(Json::objectValue);
    fields["job"] = job.id;
    fields["first_task"] = job.firstTask;
    fields["tasks"] = job.tasks;
    fields["service"] = job.service;
    fields["failover"] = std::string(nameOf(job.failover));
    fields["at_us"] = Json::Int64(now.time_since_epoch().count());
    m_log.info("job_accepted", fields);
    for (auto &action : handle(work::job_accepted{job}, now))
        actions.push_back(std::move(action));
    for (auto index = job.firstTask; index < job.firstTask + job.tasks; ++index) {
        const auto record = m_table.find({job.id, index});
        spec.taskIndex = static_cast<std::int32_t>(index);
        if (record.state == work::task_state::Pending)
            m_placer.taskPending(spec, now);
        else if (work::occupies(record)) // known by its size alone since the takeover
            m_placer.taskPlaced(spec, record.worker, spec.declared, placement::entry_state::Running,
                                now);
    }
}

void owned_shard::cancelMissing(const std::set<std::string> &wanted,
                                std::vector<work::table_action> &actions, time_point now)
{
    for (const auto &id : m_table.jobs()) {
        const auto *job = m_table.job(id);
        if (wanted.count(id) > 0 || job == nullptr || job->cancelled)
            continue;
        m_placer.cancelJob(id, now);
        Json::Value fields(Json::objectValue);
        fields["job"] = id;
        m_log.info("job_cancelled", fields);
        for (auto &action : handle(work::cancel_job{id}, now))
            actions.push_back(std::move(action));
    }
}

// Only workers whose agent has attached under this epoch get tasks.
void owned_shard::followWorkers(const std::map<std::string, worker_place> &workers, time_point now)
{
    for (const auto &[id, place] : workers) {
        const bool usable = m_table.mayPlaceOn(id) && place.serving;
        if (usable && m_workers.insert(id).second)
            m_placer.addWorker(place.worker, now);
        else if (!usable && m_workers.erase(id) > 0)
            m_placer.removeWorker(id, now);
    }
}

std::vector<work::table_action>
owned_shard::plan(time_point now, std::vector<placement::throttle_action> &throttles)
{
    std::vector<work::table_action> actions;
    if (!m_adopted)
        return actions;
    const auto feed = [&](const work::table_event &event) {
        for (auto &action : handle(event, now))
            actions.push_back(std::move(action));
    };
    for (const auto &decision : m_placer.plan(now, MostDecisions)) {
        if (const auto *place = std::get_if<placement::place_action>(&decision)) {
            // The table may know better: a write on its way, or a worker that fell silent.
            if (m_table.placeable(idOf(place->task)) && m_table.mayPlaceOn(place->worker))
                feed(work::place_decided{idOf(place->task), place->worker, false});
            else
                m_placer.taskSettled(place->task, place->worker,
                                     placement::placement_outcome::NotApplied, now);
        } else if (const auto *preempt = std::get_if<placement::preempt_action>(&decision)) {
            m_metrics.count("evictions_total", nameOf(preempt->reason));
            m_placer.taskStopping(preempt->victim, preempt->worker, now);
            feed(work::evict_decided{idOf(preempt->victim)});
        } else if (const auto *throttled = std::get_if<placement::throttle_action>(&decision)) {
            throttles.push_back(*throttled);
        } else if (const auto *refused = std::get_if<placement::refuse_action>(&decision)) {
            m_metrics.count("tasks_refused_total", nameOf(refused->kind));
            m_refusals[placement::toText(refused->task)] = refused->reason;
        }
    }
    return actions;
}

void owned_shard::usageSampled(const placement::usage_sample &sample, time_point now)
{
    m_placer.usageSampled(sample, now);
}

void owned_shard::latencySampled(const std::string &worker, const std::string &service,
                                 microseconds p99, time_point measuredAt, time_point now)
{
    const auto prefix = service + GenerationMark;
    for (const auto &[task, record] : m_table.occupying()) {
        const auto target = m_latencyTargets.find(task.job);
        if (record.worker != worker || target == m_latencyTargets.end()
            || task.job.compare(0, prefix.size(), prefix) != 0)
            continue;
        m_placer.latencySampled({refOf(task), worker, p99, target->second, measuredAt}, now);
    }
}

Json::Value owned_shard::status(time_point now) const
{
    Json::Value json(Json::objectValue);
    json["shard"] = m_owner.shard;
    json["epoch"] = Json::UInt64(m_owner.epoch);
    json["table_down"] = m_table.tableDown(now);
    json["pending"] = Json::UInt64(m_placer.pendingTasks());
    json["jobs"] = Json::Value(Json::objectValue);
    for (const auto &id : m_table.jobs()) {
        const auto *job = m_table.job(id);
        Json::Value states(Json::objectValue);
        for (auto index = job->spec.firstTask; index < job->spec.firstTask + job->spec.tasks;
             ++index) {
            auto &count = states[std::string(nameOf(m_table.find({id, index}).state))];
            count = count.asUInt() + 1;
        }
        json["jobs"][id] = states;
    }
    json["workers"] = Json::Value(Json::arrayValue);
    for (const auto &id : m_workers) {
        const auto *book = m_placer.ledgerOf(id);
        if (book == nullptr)
            continue;
        Json::Value worker(Json::objectValue);
        worker["id"] = id;
        worker["size"] = placement::toJson(book->size());
        worker["reserved"] = placement::toJson(book->reserved());
        worker["tasks"] = Json::UInt64(book->entries().size());
        json["workers"].append(worker);
    }
    json["refused"] = Json::Value(Json::objectValue);
    for (const auto &[task, reason] : m_refusals)
        json["refused"][task] = reason;
    return json;
}

bool owned_shard::knows(const work::task_id &task) const
{
    return m_table.job(task.job) != nullptr;
}

std::string owned_shard::explain(const work::task_id &task, time_point now) const
{
    const auto refusal = m_refusals.find(work::textOf(task));
    if (refusal != m_refusals.end())
        return "refused: " + refusal->second;
    return m_placer.explain(refOf(task), now);
}

} // namespace zinniabarrow
