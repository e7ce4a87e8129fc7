#include "app/owned_shard.h"

#include <algorithm>
#include <utility>

namespace zinniabarrow {

namespace {

constexpr int MaxDecisions = 256; // per planning run
constexpr char GenerationSeparator = '@';

placement::task_ref taskRefOf(const work::task_id &task)
{
    return {task.job, static_cast<std::int32_t>(task.index)};
}

work::task_id taskIdOf(const placement::task_ref &task)
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

bool occupiesWorker(work::task_state state)
{
    return state == work::task_state::Placed || state == work::task_state::Running
           || state == work::task_state::Evicting || state == work::task_state::Cancelling;
}

placement::reservation_state stateOf(work::task_state state)
{
    const bool isEnding =
            state == work::task_state::Evicting || state == work::task_state::Cancelling;
    return isEnding ? placement::reservation_state::Stopping
                    : placement::reservation_state::Running;
}

// The part of a task's description that its worker needs.
Json::Value workerSpec(const resources &size, milliseconds workTime)
{
    Json::Value spec(Json::objectValue);
    spec["millicores"] = Json::Int64(size.millicores);
    spec["bytes"] = Json::Int64(size.bytes);
    spec["accelerators"] = Json::Int64(size.accelerators);
    spec["work_ms"] = Json::Int64(workTime.count());
    return spec;
}

// Builds the fields that services and jobs have in common.
template <typename Spec>
placement::task_spec commonTaskSpec(const std::string &name, const Spec &spec)
{
    placement::task_spec taskTemplate;
    taskTemplate.jobClass = spec.interferenceClass.empty() ? name : spec.interferenceClass;
    taskTemplate.team = spec.team;
    taskTemplate.priority = priorityOf(spec.priority);
    taskTemplate.pool = spec.pool;
    taskTemplate.declared = spec.size;
    taskTemplate.failover = spec.failover;
    return taskTemplate;
}

} // namespace

owned_shard::owned_shard(const work::shard_tenure &tenure, const std::string &operationPrefix,
                         const work::coordinator_settings &coordinatorSettings,
                         const placement::scheduler_settings &schedulerSettings,
                         std::size_t shardCount, metrics &counters, const logger &log)
    : m_tenure(tenure)
    , m_coordinator(tenure, operationPrefix, coordinatorSettings)
    , m_quotaParts(tenure.shard, tenure.shardVersion, operationPrefix,
                   work::quota_settings{shardCount})
    , m_leaseSettings(coordinatorSettings.leases)
    , m_maxBacklogPerWorker(coordinatorSettings.maxBacklogPerWorker)
    , m_scheduler(schedulerSettings)
    , m_shardCount(shardCount)
    , m_metrics(counters)
    , m_log(log)
{ }

std::vector<work::coordinator_action> owned_shard::handle(const work::coordinator_event &event,
                                                          time_point now)
{
    auto actions = m_coordinator.handle(event, now);
    if (const auto *write = std::get_if<work::write_answered>(&event)) {
        for (auto &action : m_quotaParts.handle(*write, now))
            std::visit([&](auto &each) { actions.emplace_back(std::move(each)); }, action);
    }
    if (const auto *rows = std::get_if<work::rows_read>(&event))
        m_quotaParts.handle(*rows);
    if (m_coordinator.isReady() && !m_hasAdopted)
        adoptRecordedTasks(now);
    for (const auto &action : actions) {
        if (const auto *change = std::get_if<work::task_changed>(&action))
            handleTaskChange(*change, now);
        else if (const auto *reason = std::get_if<work::coordinator_counter>(&action))
            m_metrics.count("work_total", nameOf(*reason));
        else if (const auto *store = std::get_if<work::store_counter>(&action))
            m_metrics.count("work_table_total", nameOf(*store));
    }
    return actions;
}

// After a takeover the scheduler's ledgers start from the tasks in the table, whether their
// placement is confirmed or not.
void owned_shard::adoptRecordedTasks(time_point now)
{
    m_hasAdopted = true;
    for (const auto &[task, record] : m_coordinator.occupyingTasks()) {
        const auto *job = m_coordinator.job(task.job);
        placement::task_spec spec;
        spec.jobId = task.job;
        spec.taskIndex = static_cast<std::int32_t>(task.index);
        if (job != nullptr) {
            spec.declared = work::declaredSize(job->spec.taskSpec);
        }
        m_sizeOnlyTasks.insert(task);
        m_scheduler.taskPlaced(spec, record.worker, spec.declared, stateOf(record.state), now);
        if (record.isBacklogged)
            m_adoptedBacklog[task] =
                    now + 2 * work::leaseExpiryWait(m_leaseSettings.grantLease, m_leaseSettings);
    }
}

void owned_shard::handleTaskChange(const work::task_changed &change, time_point now)
{
    const auto ref = taskRefOf(change.task);
    switch (change.change) {
    case work::task_change::Placed:
        logTask("task_placed", change);
        m_scheduler.placementSettled(ref, change.worker, placement::placement_outcome::Applied,
                                     now);
        break;
    case work::task_change::Started:
        m_scheduler.taskRunning(ref, change.worker, now);
        break;
    case work::task_change::EndReported:
        // While the table is down, no other event frees capacity for the backlog.
        if (change.state == work::task_state::Done)
            m_scheduler.taskEnded(ref, change.worker, now);
        break; // after any other end, capacity is freed once the end is stored
    case work::task_change::Requeued: {
        logTask("task_freed", change);
        const auto failures = m_coordinator.find(change.task).failures;
        auto &seenFailures = m_seenFailures[change.task];
        if (failures > seenFailures)
            m_scheduler.taskFailed(ref, change.worker, "failed", now);
        else
            m_scheduler.taskReleased(ref, change.worker, now);
        seenFailures = failures;
        break;
    }
    case work::task_change::Ended:
        logTask("task_ended", change);
        m_metrics.count("tasks_ended_total", nameOf(change.state));
        if (change.state == work::task_state::Failed)
            m_scheduler.taskFailed(ref, change.worker, "failed permanently", now);
        if (change.state != work::task_state::Done)
            m_scheduler.cancelTasks(std::vector{ref}, now);
        m_scheduler.taskEnded(ref, change.worker, now);
        m_seenFailures.erase(change.task);
        break;
    case work::task_change::Reverted:
        // A pending task has no worker in the table; the scheduler knows which worker's capacity it
        // had reserved.
        if (change.state == work::task_state::Pending)
            m_scheduler.placementSettled(ref, m_scheduler.workerOf(ref),
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
owned_shard::reconcile(const adopted_configuration &adopted,
                       const std::map<std::string, reported_worker> &workers, time_point now)
{
    std::vector<work::coordinator_action> actions;
    if (!m_coordinator.isReady())
        return actions;
    reconcileWorkers(workers, now);
    if (!adopted.mergedConfig || adopted.generation <= m_appliedGeneration)
        return actions;
    // This entry took the shard over before it received the newest generation, which arrives within
    // seconds.
    if (adopted.generation < m_coordinator.appliedGeneration()) {
        m_metrics.count("work_total", nameOf(work::coordinator_counter::StaleGeneration));
        return actions;
    }
    m_appliedGeneration = adopted.generation;
    feedCoordinator(work::generation_applied{adopted.generation}, actions, now);
    m_teamLimits.clear();
    for (const auto &[name, team] : adopted.mergedConfig->teams) {
        m_scheduler.setTeam({name, team.weight, team.quota, {}});
        if (team.quota != resources{})
            m_teamLimits[name] = team.quota;
    }
    for (const auto &[name, pool] : adopted.mergedConfig->pools)
        m_scheduler.setPool({name, pool.workerSize}, now);
    std::set<std::string> wantedJobs;
    for (const auto &[name, service] : adopted.mergedConfig->services) {
        work::job_spec job;
        job.id = jobIdFor(name, adopted.generation);
        job.generation = adopted.generation;
        job.taskCount = static_cast<std::uint32_t>(service.replicas);
        job.isService = true;
        job.taskSpec = workerSpec(service.size, milliseconds(0));
        auto taskTemplate = commonTaskSpec(name, service);
        taskTemplate.kind = placement::task_kind::Service;
        taskTemplate.replicas = static_cast<std::int32_t>(service.replicas);
        m_latencyTargets[job.id] = service.latencyTarget;
        wantedJobs.insert(job.id);
        acceptJob(job, taskTemplate, actions, now);
    }
    for (const auto &[name, batch] : adopted.mergedConfig->jobs) {
        work::job_spec job;
        job.id = jobIdFor(name, adopted.generation);
        job.generation = adopted.generation;
        job.taskCount = static_cast<std::uint32_t>(batch.tasks);
        job.taskSpec = workerSpec(batch.size, batch.runTimeEstimate);
        auto taskTemplate = commonTaskSpec(name, batch);
        taskTemplate.replicas = static_cast<std::int32_t>(batch.tasks);
        wantedJobs.insert(job.id);
        acceptJob(job, taskTemplate, actions, now);
    }
    cancelRemovedJobs(wantedJobs, actions, now);
    return actions;
}

// A job whose name is added again after its removal gets a new id. Workers may still remember
// attempts of the removed job, and these would have higher numbers than the first attempts of the
// new one.
std::string owned_shard::jobIdFor(const std::string &name, std::uint64_t generation) const
{
    const auto prefix = name + GenerationSeparator;
    for (const auto &id : m_coordinator.jobs()) {
        const auto *job = m_coordinator.job(id);
        if (id.compare(0, prefix.size(), prefix) == 0 && job != nullptr && !job->isCancelled)
            return id;
    }
    return prefix + std::to_string(generation);
}

// Shard k of n takes every n-th of the job's tasks, starting with the k-th. With consecutive
// ranges, resizing the job would move tasks between shards, and a task could be in two shards at
// once.
work::job_spec owned_shard::shardPartOf(work::job_spec job) const
{
    const auto shardCount = static_cast<std::uint32_t>(m_shardCount);
    job.firstTaskIndex = static_cast<std::uint32_t>(m_tenure.shard);
    job.indexStride = shardCount;
    job.taskCount = (job.taskCount + shardCount - 1 - job.firstTaskIndex) / shardCount;
    return job;
}

void owned_shard::acceptJob(const work::job_spec &wholeJob,
                            const placement::task_spec &taskTemplate,
                            std::vector<work::coordinator_action> &actions, time_point now)
{
    auto job = shardPartOf(wholeJob);
    job.failover = taskTemplate.failover;
    if (job.taskCount == 0 && m_coordinator.job(job.id) == nullptr)
        return; // none of its tasks is in this shard; a known job has only shrunk
    auto spec = taskTemplate;
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
    feedCoordinator(work::job_accepted{job}, actions, now);
    for (std::uint32_t position = 0; position < job.taskCount; ++position) {
        const auto index = work::taskIndexAt(job, position);
        const auto record = m_coordinator.find({job.id, index});
        spec.taskIndex = static_cast<std::int32_t>(index);
        const bool isPlaced = occupiesWorker(record.state);
        // Agents may have reported the task as running before the configuration arrived. It is
        // placed again with its full description: without its pool it would never be evicted,
        // throttled or monitored.
        if (m_sizeOnlyTasks.erase({job.id, index}) > 0 && isPlaced) {
            m_scheduler.taskPlaced(spec, record.worker, reservationFor(spec, record.worker),
                                   stateOf(record.state), now);
        } else if (isPlaced || record.state == work::task_state::Pending) {
            // A task that is placed already keeps its reservation, its raises and its CPU limit.
            m_scheduler.taskPending(spec, now);
        }
    }
}

// The reservation that the ledger already has: the declared size may have been edited since the
// task started.
resources owned_shard::reservationFor(const placement::task_spec &task,
                                      const std::string &worker) const
{
    const auto *ledger = m_scheduler.ledgerOf(worker);
    const auto *reservation = ledger == nullptr ? nullptr : ledger->find(task.ref());
    return reservation == nullptr ? task.declared : reservation->reserved;
}

void owned_shard::cancelRemovedJobs(const std::set<std::string> &wantedJobs,
                                    std::vector<work::coordinator_action> &actions, time_point now)
{
    for (const auto &id : m_coordinator.jobs()) {
        const auto *job = m_coordinator.job(id);
        if (wantedJobs.count(id) > 0 || job == nullptr || job->isCancelled)
            continue;
        m_scheduler.cancelJob(id, now);
        Json::Value fields(Json::objectValue);
        fields["job"] = id;
        m_log.info("job_cancelled", fields);
        feedCoordinator(work::cancel_job{id}, actions, now);
    }
}

// Only workers whose agent has attached under this epoch get new tasks.
void owned_shard::reconcileWorkers(const std::map<std::string, reported_worker> &workers,
                                   time_point now)
{
    for (const auto &[id, reported] : workers) {
        const bool isUsable = m_coordinator.canPlaceOn(id) && reported.serving;
        if (isUsable && m_usableWorkers.insert(id).second)
            m_scheduler.addWorker(reported.worker, now);
        else if (!isUsable && m_usableWorkers.erase(id) > 0)
            m_scheduler.removeWorker(id, now);
    }
}

std::vector<work::coordinator_action> owned_shard::plan(time_point now)
{
    std::vector<work::coordinator_action> actions;
    if (!m_hasAdopted)
        return actions;
    updateLocalQuotas(actions, now);
    resolveAdoptedBacklog(actions, now);
    const bool down = m_coordinator.isTableDown(now);
    const auto scope = down ? placement::plan_scope::BacklogOnly : placement::plan_scope::All;
    for (const auto &decision : m_scheduler.plan(now, MaxDecisions, scope)) {
        if (const auto *place = std::get_if<placement::place_action>(&decision)) {
            applyPlacement(*place, actions, now);
        } else if (const auto *raise = std::get_if<placement::raise_action>(&decision)) {
            m_metrics.count("reservations_raised_total", "usage");
            feedCoordinator(work::reservation_raised{taskIdOf(raise->task), raise->reserved},
                            actions, now);
        } else if (const auto *preempt = std::get_if<placement::preempt_action>(&decision)) {
            m_metrics.count("evictions_total", nameOf(preempt->reason));
            m_scheduler.taskStopping(preempt->victim, preempt->worker, now);
            feedCoordinator(work::eviction_decided{taskIdOf(preempt->victim)}, actions, now);
        } else if (const auto *throttled = std::get_if<placement::throttle_action>(&decision)) {
            feedCoordinator(cpuLimitFor(*throttled), actions, now);
        } else if (const auto *refused = std::get_if<placement::refuse_action>(&decision)) {
            m_metrics.count("tasks_refused_total", nameOf(refused->kind));
            m_refusalReasons[placement::toText(refused->task)] = refused->reason;
        }
    }
    if (!down)
        updateBacklogs(actions, now);
    return actions;
}

// Runs before each planning, because the quota in use now decides which part of the local quota can
// be yielded to other shards.
void owned_shard::updateLocalQuotas(std::vector<work::coordinator_action> &actions, time_point now)
{
    if (m_shardCount < 2)
        return;
    std::map<std::string, work::team_demand> demands;
    for (const auto &[team, limit] : m_teamLimits) {
        const auto usage = m_scheduler.usageOf(team);
        demands[team] = {limit, usage.reservedSum, usage.reservedSum + usage.pendingSum,
                         usage.largestPending};
    }
    for (auto &action : m_quotaParts.update(demands, now))
        std::visit([&](auto &each) { actions.emplace_back(std::move(each)); }, action);
    for (const auto &[team, limit] : m_teamLimits)
        m_scheduler.setLocalTeamLimit(team, m_quotaParts.usableQuota(team));
}

// The table does not say whether an earlier owner allowed a backlog task to start. Until this is
// known, the task counts as placed; otherwise its capacity and quota could be given away twice. An
// agent reports each running task in its first report after a grant that names the task. A run that
// no grant has named for two leases has lost its lease. So a task that no agent has reported by
// then does not run and is still in the backlog.
void owned_shard::resolveAdoptedBacklog(std::vector<work::coordinator_action> &actions,
                                        time_point now)
{
    for (auto item = m_adoptedBacklog.begin(); item != m_adoptedBacklog.end();) {
        auto &[task, reportDeadline] = *item;
        const auto record = m_coordinator.find(task);
        const bool isUndecided = record.isBacklogged && record.state == work::task_state::Placed;
        if (isUndecided && !m_coordinator.canPlaceOn(record.worker))
            reportDeadline =
                    now + 2 * work::leaseExpiryWait(m_leaseSettings.grantLease, m_leaseSettings);
        const bool fits = isUndecided && m_scheduler.isWithinLimits(taskRefOf(task));
        const bool isKnownWaiting = isUndecided && !fits && now >= reportDeadline;
        if (fits)
            feedCoordinator(work::backlog_start_decided{task}, actions, now);
        if (isKnownWaiting)
            m_scheduler.taskInBacklog(taskRefOf(task), record.worker, now);
        item = !isUndecided || fits || isKnownWaiting ? m_adoptedBacklog.erase(item)
                                                      : std::next(item);
    }
}

void owned_shard::applyPlacement(const placement::place_action &action,
                                 std::vector<work::coordinator_action> &actions, time_point now)
{
    const auto task = taskIdOf(action.task);
    const auto record = m_coordinator.find(task);
    // The coordinator may have newer state: a write in flight, or a worker that became
    // unresponsive.
    if (record.isBacklogged && record.state == work::task_state::Placed
        && record.worker == action.worker) {
        m_metrics.count("backlog_total", "started");
        feedCoordinator(work::backlog_start_decided{task}, actions, now);
        const auto raisedReservation = reservationAboveDeclared(action.task, action.reserved);
        if (raisedReservation != resources{})
            feedCoordinator(work::reservation_raised{task, raisedReservation}, actions, now);
    } else if (m_coordinator.isPlaceable(task) && m_coordinator.canPlaceOn(action.worker)) {
        feedCoordinator(
                work::placement_decided{task, action.worker, false,
                                        reservationAboveDeclared(action.task, action.reserved)},
                actions, now);
    } else {
        m_scheduler.placementSettled(action.task, action.worker,
                                     placement::placement_outcome::NotApplied, now);
    }
}

void owned_shard::updateBacklogs(std::vector<work::coordinator_action> &actions, time_point now)
{
    const auto backlog = m_scheduler.planBacklog(now, m_maxBacklogPerWorker);
    for (const auto &action : backlog.withdrawn) {
        m_metrics.count("backlog_total", "taken_back");
        feedCoordinator(work::eviction_decided{taskIdOf(action.task)}, actions, now);
    }
    for (const auto &action : backlog.assigned) {
        const auto task = taskIdOf(action.task);
        if (m_coordinator.isPlaceable(task) && m_coordinator.canPlaceOn(action.worker)) {
            m_metrics.count("backlog_total", "placed");
            feedCoordinator(work::placement_decided{task, action.worker, true, {}}, actions, now);
        } else {
            m_scheduler.placementSettled(action.task, action.worker,
                                         placement::placement_outcome::NotApplied, now);
        }
    }
}

void owned_shard::feedCoordinator(const work::coordinator_event &event,
                                  std::vector<work::coordinator_action> &actions, time_point now)
{
    for (auto &action : handle(event, now))
        actions.push_back(std::move(action));
}

work::cpu_limit_decided owned_shard::cpuLimitFor(const placement::throttle_action &action)
{
    const auto *ledger = m_scheduler.ledgerOf(action.worker);
    const auto *reservation = ledger == nullptr ? nullptr : ledger->find(action.task);
    const bool isLifted =
            reservation == nullptr || action.millicores >= reservation->reserved.millicores;
    m_metrics.count("throttles_total", isLifted ? "lifted" : "interference");
    Json::Value fields(Json::objectValue);
    fields["task"] = placement::toText(action.task);
    fields["worker"] = action.worker;
    fields["millicores"] = Json::Int64(action.millicores);
    m_log.info(isLifted ? "throttle_lifted" : "task_throttled", fields);
    return {taskIdOf(action.task), isLifted ? 0 : action.millicores};
}

// The reservation to send to the agent; empty when the declared size, which the agent reads itself,
// is sufficient.
resources owned_shard::reservationAboveDeclared(const placement::task_ref &task,
                                                const resources &reserved) const
{
    const auto *job = m_coordinator.job(task.jobId);
    const bool isWithinDeclared =
            job != nullptr && reserved.fitsIn(work::declaredSize(job->spec.taskSpec));
    return isWithinDeclared ? resources{} : reserved;
}

void owned_shard::usageSampled(const placement::usage_sample &sample, time_point now)
{
    m_scheduler.usageSampled(sample, now);
}

void owned_shard::latencySampled(const std::string &worker, const std::string &service,
                                 microseconds p99, time_point measuredAt, time_point now)
{
    if (p99.count() <= 0)
        return; // the service had no answers; this must not count as a very low latency
    const auto prefix = service + GenerationSeparator;
    for (const auto &[task, record] : m_coordinator.occupyingTasks()) {
        const auto target = m_latencyTargets.find(task.job);
        if (record.worker != worker || target == m_latencyTargets.end()
            || task.job.compare(0, prefix.size(), prefix) != 0)
            continue;
        m_scheduler.latencySampled({taskRefOf(task), worker, p99, target->second, measuredAt}, now);
    }
}

Json::Value owned_shard::status(time_point now) const
{
    Json::Value json(Json::objectValue);
    json["shard"] = m_tenure.shard;
    json["epoch"] = Json::UInt64(m_tenure.epoch);
    json["table_down"] = m_coordinator.isTableDown(now);
    json["pending"] = Json::UInt64(m_scheduler.pendingTaskCount());
    json["jobs"] = Json::Value(Json::objectValue);
    for (const auto &id : m_coordinator.jobs()) {
        const auto *job = m_coordinator.job(id);
        Json::Value states(Json::objectValue);
        for (std::uint32_t position = 0; position < job->spec.taskCount; ++position) {
            const work::task_id task{id, work::taskIndexAt(job->spec, position)};
            auto &count = states[std::string(nameOf(m_coordinator.find(task).state))];
            count = count.asUInt() + 1;
        }
        json["jobs"][id] = states;
    }
    json["workers"] = Json::Value(Json::arrayValue);
    for (const auto &id : m_usableWorkers) {
        const auto *ledger = m_scheduler.ledgerOf(id);
        if (ledger == nullptr)
            continue;
        Json::Value worker(Json::objectValue);
        worker["id"] = id;
        worker["size"] = placement::toJson(ledger->size());
        worker["reserved"] = placement::toJson(ledger->reserved());
        worker["tasks"] = Json::UInt64(ledger->reservations().size());
        worker["backlog"] = Json::UInt64(m_scheduler.backlogLengthOf(id));
        json["workers"].append(worker);
    }
    json["refused"] = Json::Value(Json::objectValue);
    for (const auto &[task, reason] : m_refusalReasons)
        json["refused"][task] = reason;
    return json;
}

bool owned_shard::containsTask(const work::task_id &task) const
{
    return m_coordinator.hasTask(task);
}

std::string owned_shard::explain(const work::task_id &task, time_point now) const
{
    const auto refusal = m_refusalReasons.find(work::textOf(task));
    if (refusal != m_refusalReasons.end())
        return "refused: " + refusal->second;
    return m_scheduler.explain(taskRefOf(task), now);
}

} // namespace zinniabarrow
