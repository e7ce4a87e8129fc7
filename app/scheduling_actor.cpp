#include "app/scheduling_actor.h"

#include <algorithm>

#include "base/errors.h"
#include "base/json_member.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 32768;
constexpr milliseconds TickInterval{100};
// Result of a write that was not sent, because the platform executor's queue was full.
const write_result NotSentResult{write_outcome::Refused, 0, {}};

work::lease_settings leaseSettings(const config::entry_settings &settings)
{
    work::lease_settings leases;
    leases.grantPeriod = settings.shardLease;
    leases.grantLease = settings.agentLease;
    leases.safetyMargin = settings.clockMargin;
    return leases;
}

work::ownership_settings ownershipSettings(const config::entry_settings &settings)
{
    work::ownership_settings out;
    out.leases = leaseSettings(settings);
    return out;
}

placement::scheduler_settings schedulerSettings(const config::entry_settings &settings)
{
    placement::scheduler_settings out;
    out.weights.tailLatency = settings.weights.tailLatency;
    out.weights.throughput = settings.weights.throughput;
    out.weights.evictions = settings.weights.evictions;
    out.quarantine.jobWorkerLimit = settings.placement.jobQuarantineWorkers;
    out.quarantine.workerJobLimit = settings.placement.workerQuarantineJobs;
    out.relief.evictionsPerMinute = static_cast<double>(settings.placement.evictionsPerMinute);
    // Agents count the declared size that their worker was given. With smaller processor
    // reservations here, agents would refuse starts. Memory is only ever reserved above the
    // declared size.
    out.sizes.minProcessorShare = 1.0;
    return out;
}

std::vector<work::shard_info> shardInfos(std::size_t shards)
{
    std::vector<work::shard_info> infos;
    for (std::size_t shard = 0; shard < shards; ++shard)
        infos.push_back({static_cast<int>(shard), {}});
    return infos;
}

} // namespace

scheduling_actor::scheduling_actor(actor_runtime &system, const config::entry_settings &settings,
                                   const process_identity &self, platform_executor &platform,
                                   rpc_sender &sender, metrics &counters, const logger &log)
    : m_settings(settings)
    , m_self(self)
    , m_platform(platform)
    , m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_shardInfos(shardInfos(settings.shards))
    , m_ownership({self.id, {}}, self.fullId() + "/own", m_shardInfos, ownershipSettings(settings))
{
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); }, TickInterval,
            [this] { tick(); });
    m_actor->start();
}

scheduling_actor::~scheduling_actor() = default;

void scheduling_actor::stop()
{
    m_actor->stop();
}

// --- On other threads ---------------------------------------------------------------------------

void scheduling_actor::updateMembers(members_snapshot snapshot)
{
    // If the actor's ring of events is full, this snapshot is dropped; the next one follows soon.
    m_actor->post(std::move(snapshot));
}

void scheduling_actor::applyConfiguration(adopted_configuration adopted)
{
    while (!m_actor->post(adopted))
        std::this_thread::sleep_for(TickInterval);
}

Json::Value scheduling_actor::report(const Json::Value &parameters)
{
    const auto message = work::agentReportFromJson(objectMember(parameters, "report"));
    const reported_worker reportedWorker{
            placement::workerInfoFromJson(objectMember(parameters, "worker")),
            stringMember(parameters, "agent"), boolMember(parameters, "serving")};
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(report_request{message, reportedWorker, reply});
    });
}

Json::Value scheduling_actor::usage(const Json::Value &parameters)
{
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(usage_request{parameters, reply});
    });
}

Json::Value scheduling_actor::status()
{
    return postAndAwaitReply(
            [&](const reply_promise &reply) { return m_actor->post(status_request{reply}); });
}

Json::Value scheduling_actor::explain(const Json::Value &parameters)
{
    const auto task = work::taskIdFromText(stringMember(parameters, "task"));
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(explain_request{task, reply});
    });
}

void scheduling_actor::drain()
{
    while (!m_actor->post(work::release_shards{}))
        std::this_thread::sleep_for(TickInterval);
}

// --- On the actor's thread ----------------------------------------------------------------------

void scheduling_actor::handle(event &newEvent)
{
    std::visit([this](auto &each) { on(each); }, newEvent);
}

void scheduling_actor::on(members_snapshot &newEvent)
{
    std::vector<work::entry_info> entries;
    for (const auto &id : newEvent.liveEntries)
        entries.push_back({id, {}});
    feedOwnership(work::peers_changed{entries});
}

void scheduling_actor::on(adopted_configuration &newEvent)
{
    m_configuration = newEvent;
}

void scheduling_actor::on(work::shard_rows_read &newEvent)
{
    feedOwnership(newEvent);
}

void scheduling_actor::on(work::shard_write_answered &newEvent)
{
    feedOwnership(newEvent);
}

void scheduling_actor::on(coordinator_answer &newEvent)
{
    const auto shard = m_shards.find(newEvent.shard);
    if (shard == m_shards.end() || shard->second->epoch() != newEvent.epoch)
        return; // for a coordinator that was discarded
    performActions(*shard->second, shard->second->handle(newEvent.answer, monotonic_clock::now()));
}

void scheduling_actor::on(report_request &newEvent)
{
    Json::Value answer(Json::objectValue);
    auto *shard = findOwnedShard(newEvent.report.worker);
    answer["owner"] = shard != nullptr;
    if (shard != nullptr) {
        m_currentReport = newEvent.report;
        m_reportedWorkers[newEvent.report.worker] = newEvent.reportedWorker;
        performActions(*shard, shard->handle(work::report_received{newEvent.report},
                                             monotonic_clock::now()));
        m_currentReport.reset();
        if (m_replyGrant)
            answer["grant"] = toJson(*m_replyGrant);
        m_replyGrant.reset();
    }
    newEvent.reply->set_value(answer);
}

void scheduling_actor::on(usage_request &newEvent)
{
    const auto now = monotonic_clock::now();
    try {
        const auto worker = stringMember(newEvent.parameters, "worker");
        const auto measuredAt = now - milliseconds(integerMember(newEvent.parameters, "age_ms"));
        const auto report = work::usageReportFromJson(newEvent.parameters);
        auto *shard = findOwnedShard(worker);
        if (shard == nullptr)
            m_usageTracker.forgetWorker(worker);
        else if (const auto usage = m_usageTracker.applyReport(worker, report)) {
            for (const auto &[task, used] : *usage) {
                placement::usage_sample sample;
                sample.task = {task.job, static_cast<std::int32_t>(task.index)};
                sample.worker = worker;
                sample.used = {used.millicores, used.bytes, 0};
                sample.measuredAt = measuredAt;
                shard->usageSampled(sample, now);
            }
            const auto service = stringMember(newEvent.parameters, "service");
            const microseconds p99(integerMember(newEvent.parameters, "p99_us"));
            // Latency and usage are measured at different times. Agents of earlier versions send
            // one age for both.
            const bool hasOwnAge = newEvent.parameters.isMember("p99_age_ms");
            const auto latencyMeasuredAt =
                    hasOwnAge ? now - milliseconds(integerMember(newEvent.parameters, "p99_age_ms"))
                              : measuredAt;
            shard->latencySampled(worker, service, p99, latencyMeasuredAt, now);
        }
        newEvent.reply->set_value(Json::Value(Json::objectValue));
    } catch (const error &) {
        m_metrics.count("usage_refused_total", "bad_request");
        newEvent.reply->set_exception(std::current_exception());
    }
}

void scheduling_actor::on(status_request &newEvent)
{
    Json::Value status(Json::objectValue);
    status["generation"] = Json::UInt64(m_configuration.generation);
    status["shards"] = Json::Value(Json::arrayValue);
    for (const auto &[number, shard] : m_shards)
        status["shards"].append(shard->status(monotonic_clock::now()));
    newEvent.reply->set_value(status);
}

void scheduling_actor::on(explain_request &newEvent)
{
    Json::Value answer(Json::objectValue);
    for (const auto &[number, shard] : m_shards) {
        if (shard->containsTask(newEvent.task))
            answer["reason"] = shard->explain(newEvent.task, monotonic_clock::now());
    }
    newEvent.reply->set_value(answer);
}

void scheduling_actor::on(work::release_shards &newEvent)
{
    m_isReleasing = true;
    newEvent.unresponsive = listUnresponsiveWorkers();
    feedOwnership(newEvent);
}

void scheduling_actor::tick()
{
    // Planning is due half a tick early, because otherwise a tick that comes slightly early would
    // delay it by a whole tick.
    const auto now = monotonic_clock::now();
    const bool isPlanDue = now + TickInterval / 2 >= m_nextPlanAt;
    if (isPlanDue)
        m_nextPlanAt = now + m_settings.placement.tickInterval;
    feedOwnership(work::ownership_tick{listUnresponsiveWorkers()});
    m_isDrained = m_isReleasing && m_ownership.isReleased();
    // `handle` may remove a shard, so iterate over a copy of the numbers instead of the map.
    std::vector<int> numbers;
    for (const auto &[number, shard] : m_shards)
        numbers.push_back(number);
    for (const auto number : numbers) {
        const auto feed = [&](const work::coordinator_event &input) {
            const auto found = m_shards.find(number);
            if (found != m_shards.end())
                performActions(*found->second,
                               found->second->handle(input, monotonic_clock::now()));
        };
        feed(work::grant_deadline_changed{m_ownership.grantDeadline(number)});
        feed(work::coordinator_tick{});
        const auto found = m_shards.find(number);
        if (found == m_shards.end() || m_isReleasing)
            continue;
        auto &shard = *found->second;
        performActions(shard,
                       shard.reconcile(m_configuration, m_reportedWorkers, monotonic_clock::now()));
        if (isPlanDue)
            performActions(shard, shard.plan(monotonic_clock::now()));
    }
}

std::map<int, work::unresponsive_workers> scheduling_actor::listUnresponsiveWorkers() const
{
    std::map<int, work::unresponsive_workers> unresponsiveByShard;
    for (const auto &[number, shard] : m_shards)
        unresponsiveByShard[number] = shard->currentUnresponsiveWorkers(monotonic_clock::now());
    return unresponsiveByShard;
}

void scheduling_actor::feedOwnership(const work::ownership_event &newEvent)
{
    for (const auto &action : m_ownership.handle(newEvent, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
}

void scheduling_actor::perform(const work::commit_shard &action)
{
    const bool queued = m_platform.enqueue([this, action](platform_client &platform) {
        const auto result = platform.commit(action.transaction);
        m_actor->post(work::shard_write_answered{action.transaction.operationId, result});
    });
    if (!queued)
        m_actor->post(work::shard_write_answered{action.transaction.operationId, NotSentResult});
}

void scheduling_actor::perform(const work::scan_shards & /*action*/)
{
    m_platform.enqueue([this](platform_client &platform) {
        const auto startedAt = monotonic_clock::now();
        if (const auto reading = platform.read({}, {work::ShardPrefix}))
            m_actor->post(work::shard_rows_read{reading->rows, startedAt});
    });
}

void scheduling_actor::perform(const work::became_owner &action)
{
    Json::Value fields(Json::objectValue);
    fields["shard"] = action.shard;
    fields["epoch"] = Json::UInt64(action.epoch);
    m_log.info("shard_owned", fields);
    work::coordinator_settings settings;
    settings.leases = leaseSettings(m_settings);
    settings.store.maxRowsPerCommit = m_settings.placement.maxTasksPerCommit;
    settings.store.tasksPerChunk *= static_cast<std::uint32_t>(m_settings.shards);
    settings.maxBacklogPerWorker = m_settings.placement.backlogPerWorker;
    // The scheduler has to count each start, so it decides on starts itself.
    settings.startsBacklogWhenDown = false;
    const work::shard_tenure owner{action.shard, action.epoch, action.shardVersion,
                                   action.earlierLeasesEndAt, action.unresponsive};
    const auto prefix = m_self.fullId() + "/work-" + std::to_string(action.shard) + "-"
                        + std::to_string(action.epoch);
    m_shards[action.shard] =
            std::make_unique<owned_shard>(owner, prefix, settings, schedulerSettings(m_settings),
                                          m_settings.shards, m_metrics, m_log);
}

void scheduling_actor::perform(const work::lost_shard &action)
{
    Json::Value fields(Json::objectValue);
    fields["shard"] = action.shard;
    m_log.info("shard_lost", fields);
    m_shards.erase(action.shard);
}

void scheduling_actor::performActions(owned_shard &shard,
                                      const std::vector<work::coordinator_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *commit = std::get_if<work::commit_rows>(&action))
            commitRows(shard, *commit);
        else if (const auto *read = std::get_if<work::read_rows>(&action))
            readRows(shard, read->keys, {});
        else if (const auto *scan = std::get_if<work::scan_rows>(&action))
            readRows(shard, {}, scan->prefix);
        else if (const auto *grant = std::get_if<work::send_grant>(&action))
            sendGrant(grant->grant);
        else if (std::holds_alternative<work::fenced>(action))
            m_metrics.count("work_total", "fenced");
    }
}

void scheduling_actor::commitRows(const owned_shard &shard, const work::commit_rows &action)
{
    const auto number = shard.number();
    const auto epoch = shard.epoch();
    m_metrics.count("work_rows_total", "written",
                    static_cast<double>(action.transaction.writes.size()));
    const auto answer = [this, id = action.transaction.operationId, number,
                         epoch](const write_result &result) {
        m_actor->post(coordinator_answer{number, epoch, work::write_answered{id, result}});
    };
    const bool queued = m_platform.enqueue([action, answer](platform_client &platform) {
        answer(platform.commit(action.transaction));
    });
    if (!queued)
        answer(NotSentResult);
}

void scheduling_actor::readRows(const owned_shard &shard, std::vector<std::string> keys,
                                std::string prefix)
{
    const auto number = shard.number();
    const auto epoch = shard.epoch();
    m_platform.enqueue([this, keys = std::move(keys), prefix = std::move(prefix), number,
                        epoch](platform_client &platform) {
        const std::vector<std::string> prefixes =
                prefix.empty() ? std::vector<std::string>{} : std::vector<std::string>{prefix};
        if (const auto reading = platform.read(keys, prefixes))
            m_actor->post(coordinator_answer{number, epoch, work::rows_read{keys, reading->rows}});
    });
}

void scheduling_actor::sendGrant(const work::worker_grant &grant)
{
    if (m_currentReport && m_currentReport->worker == grant.worker && !m_replyGrant) {
        m_replyGrant = grant;
        return;
    }
    const auto agent = m_reportedWorkers.find(grant.worker);
    if (agent == m_reportedWorkers.end())
        return;
    m_sender.call(agent->second.agentAddress, "grant", toJson(grant),
                  [](const std::optional<Json::Value> &) {});
}

owned_shard *scheduling_actor::findOwnedShard(const std::string &worker)
{
    const auto number = work::shardOfWorker(worker, {}, m_shardInfos);
    const auto found = m_shards.find(number);
    return found == m_shards.end() ? nullptr : found->second.get();
}

} // namespace zinniabarrow
