#include "app/owned_shard.h"

#include <algorithm>
#include <utility>

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

bool mayRun(work::task_state state)
{
    return state == work::task_state::Placed || state == work::task_state::Running
           || state == work::task_state::Evicting || state == work::task_state::Cancelling;
}

placement::reservation_state stateOf(work::task_state state)
{
    const bool ends = state == work::task_state::Evicting || state == work::task_state::Cancelling;
    return ends ? placement::reservation_state::Stopping : placement::reservation_state::Running;
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

owned_shard::owned_shard(const work::shard_tenure &owner, const std::string &operationPrefix,
                         const work::coordinator_settings &tableSettings,
                         const placement::placer_settings &placerSettings, std::size_t shards,
                         metrics &counters, const logger &log)
    : m_owner(owner)
    , m_table(owner, operationPrefix, tableSettings)
    , m_quotas(owner.shard, owner.shardVersion, operationPrefix, work::quota_settings{shards})
    , m_leases(tableSettings.leases)
    , m_backlogPerWorker(tableSettings.maxBacklogPerWorker)
    , m_placer(placerSettings)
    , m_shards(shards)
    , m_metrics(counters)
    , m_log(log)
{ }

std::vector<work::coordinator_action> owned_shard::handle(const work::coordinator_event &event,
                                                          time_point now)
{
    auto actions = m_table.handle(event, now);
    if (const auto *write = std::get_if<work::write_answered>(&event)) {
        for (auto &action : m_quotas.handle(*write, now))
            std::visit([&](auto &one) { actions.emplace_back(std::move(one)); }, action);
    }
    if (const auto *rows = std::get_if<work::rows_read>(&event))
        m_quotas.handle(*rows);
    if (m_table.isReady() && !m_adopted)
        adopt(now);
    for (const auto &action : actions) {
        if (const auto *change = std::get_if<work::task_changed>(&action))
            settled(*change, now);
        else if (const auto *reason = std::get_if<work::coordinator_counter>(&action))
            m_metrics.count("work_total", nameOf(*reason));
        else if (const auto *store = std::get_if<work::store_counter>(&action))
            m_metrics.count("work_table_total", nameOf(*store));
    }
    return actions;
}

// After a takeover the placer's ledgers start from what the table holds, settled or not.
void owned_shard::adopt(time_point now)
{
    m_adopted = true;
    for (const auto &[task, record] : m_table.occupyingTasks()) {
        const auto *job = m_table.job(task.job);
        placement::task_spec spec;
        spec.jobId = task.job;
        spec.taskIndex = static_cast<std::int32_t>(task.index);
        if (job != nullptr) {
            spec.declared = work::declaredSize(job->spec.taskSpec);
        }
        m_bySizeAlone.insert(task);
        m_placer.taskPlaced(spec, record.worker, spec.declared, stateOf(record.state), now);
        if (record.isBacklogged)
            m_adoptedAhead[task] = now + 2 * work::safeWait(m_leases.grantLease, m_leases);
    }
}

void owned_shard::settled(const work::task_changed &change, time_point now)
{
    const auto ref = refOf(change.task);
    switch (change.change) {
    case work::task_change::Placed:
        logTask("task_placed", change);
        m_placer.placementSettled(ref, change.worker, placement::placement_outcome::Applied, now);
        break;
    case work::task_change::Started:
        m_placer.taskRunning(ref, change.worker, now);
        break;
    case work::task_change::EndReported:
        // While the table is down nothing else would make room for the backlog.
        if (change.state == work::task_state::Done)
            m_placer.taskEnded(ref, change.worker, now);
        break; // other room is given away once the table holds the end
    case work::task_change::Requeued: {
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
        // A pending task names no worker: only the placer knows whose room it had.
        if (change.state == work::task_state::Pending)
            m_placer.placementSettled(ref, m_placer.workerOf(ref),
                                      placement::placement_outcome::NotApplied, now);
        break;
    }
}

void owned_shard::logTask(std::string_view event, const work::task_changed &change) const
{
    Json::Value fields(Json::objectValue);
    fields["task"] = work::textOf(change.task);
    fields["attempt"] = change.attempt;
    fields["worker"] = change.worker;
    fields["state"] = std::string(nameOf(change.state));
    fields["at_us"] = Json::Int64(monotonic_clock::now().time_since_epoch().count());
    m_log.info(event, fields);
}

std::vector<work::coordinator_action>
owned_shard::follow(const adopted_configuration &adopted,
                    const std::map<std::string, worker_place> &workers, time_point now)
{
    std::vector<work::coordinator_action> actions;
    if (!m_table.isReady())
        return actions;
    followWorkers(workers, now);
    if (!adopted.whole || adopted.generation <= m_generation)
        return actions;
    // Taken over before this entry has heard of the newest generation: it comes within seconds.
    if (adopted.generation < m_table.appliedGeneration()) {
        m_metrics.count("work_total", nameOf(work::coordinator_counter::StaleGeneration));
        return actions;
    }
    m_generation = adopted.generation;
    feed(work::generation_applied{adopted.generation}, actions, now);
    m_teamLimits.clear();
    for (const auto &[name, team] : adopted.whole->teams) {
        m_placer.setTeam({name, team.weight, team.quota, {}});
        if (team.quota != resources{})
            m_teamLimits[name] = team.quota;
    }
    for (const auto &[name, pool] : adopted.whole->pools)
        m_placer.setPool({name, pool.worker}, now);
    std::set<std::string> wanted;
    for (const auto &[name, service] : adopted.whole->services) {
        work::job_spec job;
        job.id = jobIdFor(name, adopted.generation);
        job.generation = adopted.generation;
        job.taskCount = static_cast<std::uint32_t>(service.replicas);
        job.isService = true;
        job.taskSpec = workerSpec(service.size, milliseconds(0));
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
        job.taskCount = static_cast<std::uint32_t>(batch.tasks);
        job.taskSpec = workerSpec(batch.size, batch.runTimeEstimate);
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
        if (id.compare(0, prefix.size(), prefix) == 0 && job != nullptr && !job->isCancelled)
            return id;
    }
    return prefix + std::to_string(generation);
}

// Shard k of n takes every n-th of the job's tasks, from the k-th. Consecutive parts would shift
// when the job is resized, and a task would be in two shards at once.
work::job_spec owned_shard::sliceOf(work::job_spec job) const
{
    const auto shards = static_cast<std::uint32_t>(m_shards);
    job.firstTaskIndex = static_cast<std::uint32_t>(m_owner.shard);
    job.indexStride = shards;
    job.taskCount = (job.taskCount + shards - 1 - job.firstTaskIndex) / shards;
    return job;
}

void owned_shard::acceptJob(const work::job_spec &whole, const placement::task_spec &pattern,
                            std::vector<work::coordinator_action> &actions, time_point now)
{
    auto job = sliceOf(whole);
    job.failover = pattern.failover;
    if (job.taskCount == 0 && m_table.job(job.id) == nullptr)
        return; // none of it here; a known job may just have shrunk
    auto spec = pattern;
    spec.jobId = job.id;
    Json::Value fields(Json::objectValue);
    fields["job"] = job.id;
    fields["first_task"] = job.firstTaskIndex;
    fields["stride"] = job.indexStride;
    fields["tasks"] = job.taskCount;
    fields["service"] = job.isService;
    fields["failover"] = std::string(nameOf(job.failover));
    fields["at_us"] = Json::Int64(now.time_since_epoch().count());
    m_log.info("job_accepted", fields);
    feed(work::job_accepted{job}, actions, now);
    for (std::uint32_t position = 0; position < job.taskCount; ++position) {
        const auto index = work::taskIndexAt(job, position);
        const auto record = m_table.find({job.id, index});
        spec.taskIndex = static_cast<std::int32_t>(index);
        const bool placed = mayRun(record.state);
        // The agents may have said that it runs before the configuration came: left without its
        // pool, it would never be evicted, throttled or watched.
        if (m_bySizeAlone.erase({job.id, index}) > 0 && placed) {
            m_placer.taskPlaced(spec, record.worker, reservedFor(spec, record.worker),
                                stateOf(record.state), now);
        } else if (placed || record.state == work::task_state::Pending) {
            m_placer.taskPending(spec, now); // a placed one keeps its room, its raises and limits
        }
    }
}

// As it counts already: the size may have been edited since the task was started.
resources owned_shard::reservedFor(const placement::task_spec &task,
                                   const std::string &worker) const
{
    const auto *book = m_placer.ledgerOf(worker);
    const auto *entry = book == nullptr ? nullptr : book->find(task.ref());
    return entry == nullptr ? task.declared : entry->reserved;
}

void owned_shard::cancelMissing(const std::set<std::string> &wanted,
                                std::vector<work::coordinator_action> &actions, time_point now)
{
    for (const auto &id : m_table.jobs()) {
        const auto *job = m_table.job(id);
        if (wanted.count(id) > 0 || job == nullptr || job->isCancelled)
            continue;
        m_placer.cancelJob(id, now);
        Json::Value fields(Json::objectValue);
        fields["job"] = id;
        m_log.info("job_cancelled", fields);
        feed(work::cancel_job{id}, actions, now);
    }
}

// Only workers whose agent has attached under this epoch get tasks.
void owned_shard::followWorkers(const std::map<std::string, worker_place> &workers, time_point now)
{
    for (const auto &[id, place] : workers) {
        const bool usable = m_table.canPlaceOn(id) && place.serving;
        if (usable && m_workers.insert(id).second)
            m_placer.addWorker(place.worker, now);
        else if (!usable && m_workers.erase(id) > 0)
            m_placer.removeWorker(id, now);
    }
}

std::vector<work::coordinator_action> owned_shard::plan(time_point now)
{
    std::vector<work::coordinator_action> actions;
    if (!m_adopted)
        return actions;
    shareQuotas(actions, now);
    decideAdopted(actions, now);
    const bool down = m_table.isTableDown(now);
    const auto scope = down ? placement::plan_scope::BacklogOnly : placement::plan_scope::All;
    for (const auto &decision : m_placer.plan(now, MostDecisions, scope)) {
        if (const auto *place = std::get_if<placement::place_action>(&decision)) {
            decide(*place, actions, now);
        } else if (const auto *raise = std::get_if<placement::raise_action>(&decision)) {
            m_metrics.count("reservations_raised_total", "usage");
            feed(work::reservation_raised{idOf(raise->task), raise->reserved}, actions, now);
        } else if (const auto *preempt = std::get_if<placement::preempt_action>(&decision)) {
            m_metrics.count("evictions_total", nameOf(preempt->reason));
            m_placer.taskStopping(preempt->victim, preempt->worker, now);
            feed(work::eviction_decided{idOf(preempt->victim)}, actions, now);
        } else if (const auto *throttled = std::get_if<placement::throttle_action>(&decision)) {
            feed(limitFor(*throttled), actions, now);
        } else if (const auto *refused = std::get_if<placement::refuse_action>(&decision)) {
            m_metrics.count("tasks_refused_total", nameOf(refused->kind));
            m_refusals[placement::toText(refused->task)] = refused->reason;
        }
    }
    if (!down)
        decideBacklog(actions, now);
    return actions;
}

// Before each planning: what is held now decides which part may be yielded.
void owned_shard::shareQuotas(std::vector<work::coordinator_action> &actions, time_point now)
{
    if (m_shards < 2)
        return;
    std::map<std::string, work::team_demand> demands;
    for (const auto &[team, limit] : m_teamLimits) {
        const auto use = m_placer.usageOf(team);
        demands[team] = {limit, use.reservedSum, use.reservedSum + use.pendingSum,
                         use.largestPending};
    }
    for (auto &action : m_quotas.update(demands, now))
        std::visit([&](auto &one) { actions.emplace_back(std::move(one)); }, action);
    for (const auto &[team, limit] : m_teamLimits)
        m_placer.setLocalTeamLimit(team, m_quotas.usableQuota(team));
}

// Whether an earlier owner let a task of a backlog start is not written. Until it is known the task
// counts as placed, or the room and the quota that it uses would be given twice. An agent says so
// of each task that runs in the first report after a grant has named it. One that was not named and
// answered for within two leases has lapsed, so what nothing was heard of by then waits.
void owned_shard::decideAdopted(std::vector<work::coordinator_action> &actions, time_point now)
{
    for (auto next = m_adoptedAhead.begin(); next != m_adoptedAhead.end();) {
        auto &[task, waitsFrom] = *next;
        const auto record = m_table.find(task);
        const bool open = record.isBacklogged && record.state == work::task_state::Placed;
        if (open && !m_table.canPlaceOn(record.worker))
            waitsFrom = now + 2 * work::safeWait(m_leases.grantLease, m_leases);
        const bool fits = open && m_placer.isWithinLimits(refOf(task));
        const bool waits = open && !fits && now >= waitsFrom;
        if (fits)
            feed(work::backlog_start_decided{task}, actions, now);
        if (waits)
            m_placer.taskInBacklog(refOf(task), record.worker, now);
        next = !open || fits || waits ? m_adoptedAhead.erase(next) : std::next(next);
    }
}

void owned_shard::decide(const placement::place_action &action,
                         std::vector<work::coordinator_action> &actions, time_point now)
{
    const auto task = idOf(action.task);
    const auto record = m_table.find(task);
    // The table may know better: a write on its way, or a worker that fell silent.
    if (record.isBacklogged && record.state == work::task_state::Placed
        && record.worker == action.worker) {
        m_metrics.count("backlog_total", "started");
        feed(work::backlog_start_decided{task}, actions, now);
        const auto above = aboveDeclared(action.task, action.reserved);
        if (above != resources{})
            feed(work::reservation_raised{task, above}, actions, now);
    } else if (m_table.isPlaceable(task) && m_table.canPlaceOn(action.worker)) {
        feed(work::placement_decided{task, action.worker, false,
                                     aboveDeclared(action.task, action.reserved)},
             actions, now);
    } else {
        m_placer.placementSettled(action.task, action.worker,
                                  placement::placement_outcome::NotApplied, now);
    }
}

void owned_shard::decideBacklog(std::vector<work::coordinator_action> &actions, time_point now)
{
    const auto backlog = m_placer.planBacklog(now, m_backlogPerWorker);
    for (const auto &action : backlog.withdrawn) {
        m_metrics.count("backlog_total", "taken_back");
        feed(work::eviction_decided{idOf(action.task)}, actions, now);
    }
    for (const auto &action : backlog.assigned) {
        const auto task = idOf(action.task);
        if (m_table.isPlaceable(task) && m_table.canPlaceOn(action.worker)) {
            m_metrics.count("backlog_total", "placed");
            feed(work::placement_decided{task, action.worker, true, {}}, actions, now);
        } else {
            m_placer.placementSettled(action.task, action.worker,
                                      placement::placement_outcome::NotApplied, now);
        }
    }
}

void owned_shard::feed(const work::coordinator_event &event,
                       std::vector<work::coordinator_action> &actions, time_point now)
{
    for (auto &action : handle(event, now))
        actions.push_back(std::move(action));
}

work::cpu_limit_decided owned_shard::limitFor(const placement::throttle_action &action)
{
    const auto *book = m_placer.ledgerOf(action.worker);
    const auto *entry = book == nullptr ? nullptr : book->find(action.task);
    const bool lifted = entry == nullptr || action.millicores >= entry->reserved.millicores;
    m_metrics.count("throttles_total", lifted ? "lifted" : "interference");
    Json::Value fields(Json::objectValue);
    fields["task"] = placement::toText(action.task);
    fields["worker"] = action.worker;
    fields["millicores"] = Json::Int64(action.millicores);
    m_log.info(lifted ? "throttle_lifted" : "task_throttled", fields);
    return {idOf(action.task), lifted ? 0 : action.millicores};
}

// What the agent has to be told: it reads the declared size itself.
resources owned_shard::aboveDeclared(const placement::task_ref &task,
                                     const resources &reserved) const
{
    const auto *job = m_table.job(task.jobId);
    const bool declared = job != nullptr && reserved.fitsIn(work::declaredSize(job->spec.taskSpec));
    return declared ? resources{} : reserved;
}

void owned_shard::usageSampled(const placement::usage_sample &sample, time_point now)
{
    m_placer.usageSampled(sample, now);
}

void owned_shard::latencySampled(const std::string &worker, const std::string &service,
                                 microseconds p99, time_point measuredAt, time_point now)
{
    if (p99.count() <= 0)
        return; // no answers: that is no measurement, least of all of a very quick service
    const auto prefix = service + GenerationMark;
    for (const auto &[task, record] : m_table.occupyingTasks()) {
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
    json["table_down"] = m_table.isTableDown(now);
    json["pending"] = Json::UInt64(m_placer.pendingTaskCount());
    json["jobs"] = Json::Value(Json::objectValue);
    for (const auto &id : m_table.jobs()) {
        const auto *job = m_table.job(id);
        Json::Value states(Json::objectValue);
        for (std::uint32_t position = 0; position < job->spec.taskCount; ++position) {
            const work::task_id task{id, work::taskIndexAt(job->spec, position)};
            auto &count = states[std::string(nameOf(m_table.find(task).state))];
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
        worker["tasks"] = Json::UInt64(book->reservations().size());
        worker["backlog"] = Json::UInt64(m_placer.backlogLengthOf(id));
        json["workers"].append(worker);
    }
    json["refused"] = Json::Value(Json::objectValue);
    for (const auto &[task, reason] : m_refusals)
        json["refused"][task] = reason;
    return json;
}

bool owned_shard::knows(const work::task_id &task) const
{
    return m_table.hasTask(task);
}

std::string owned_shard::explain(const work::task_id &task, time_point now) const
{
    const auto refusal = m_refusals.find(work::textOf(task));
    if (refusal != m_refusals.end())
        return "refused: " + refusal->second;
    return m_placer.explain(refOf(task), now);
}

} // namespace zinniabarrow
