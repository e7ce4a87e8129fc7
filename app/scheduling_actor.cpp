#include "app/scheduling_actor.h"

#include <algorithm>

#include "base/errors.h"
#include "base/json_member.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 32768;
constexpr milliseconds TickEvery{100};
const write_result NotSent{write_outcome::Refused, 0, {}}; // the lane to the platform is full

work::lease_settings leaseSettings(const config::entry_settings &settings)
{
    work::lease_settings leases;
    leases.grantPeriod = settings.lease;
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

placement::placer_settings placerSettings(const config::entry_settings &settings)
{
    placement::placer_settings out;
    out.weights.tailLatency = settings.weights.tailLatency;
    out.weights.throughput = settings.weights.throughput;
    out.weights.evictions = settings.weights.evictions;
    out.quarantine.jobWorkerLimit = settings.placement.quarantineWorkers;
    out.quarantine.workerJobLimit = settings.placement.setAsideJobs;
    out.relief.evictionsPerMinute = static_cast<double>(settings.placement.evictionsPerMinute);
    // Agents count what their worker was told, the declared size: with smaller reservations of
    // processors here, they would refuse starts. Memory is only ever reserved above it.
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

schedule_duty::schedule_duty(duty_system &system, const config::entry_settings &settings,
                             const process_identity &self, platform_lane &platform,
                             rpc_sender &sender, metrics &counters, const logger &log)
    : m_settings(settings)
    , m_self(self)
    , m_platform(platform)
    , m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_shardInfos(shardInfos(settings.shards))
    , m_owner({self.id, {}}, self.unique() + "/own", m_shardInfos, ownershipSettings(settings))
{
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { tick(); });
}

schedule_duty::~schedule_duty() = default;

void schedule_duty::stop()
{
    m_duty->stop();
}

// --- On other threads ---------------------------------------------------------------------------

void schedule_duty::membersChanged(members_snapshot snapshot)
{
    m_duty->post(std::move(snapshot)); // the next one follows soon when the ring is full
}

void schedule_duty::configurationAdopted(adopted_configuration adopted)
{
    while (!m_duty->post(adopted))
        std::this_thread::sleep_for(TickEvery);
}

Json::Value schedule_duty::report(const Json::Value &parameters)
{
    const auto message = work::agentReportFromJson(objectMember(parameters, "report"));
    const worker_place place{placement::workerInfoFromJson(objectMember(parameters, "worker")),
                             stringMember(parameters, "agent"), boolMember(parameters, "serving")};
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_duty->post(report_heard{message, place, reply});
    });
}

Json::Value schedule_duty::usage(const Json::Value &parameters)
{
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_duty->post(usage_heard{parameters, reply});
    });
}

Json::Value schedule_duty::status()
{
    return postAndAwaitReply(
            [&](const reply_promise &reply) { return m_duty->post(status_asked{reply}); });
}

Json::Value schedule_duty::explain(const Json::Value &parameters)
{
    const auto task = work::taskIdFromText(stringMember(parameters, "task"));
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_duty->post(explain_asked{task, reply});
    });
}

void schedule_duty::drain()
{
    while (!m_duty->post(work::release_shards{}))
        std::this_thread::sleep_for(TickEvery);
}

// --- On the duty's thread -----------------------------------------------------------------------

void schedule_duty::handle(event &what)
{
    std::visit([this](auto &each) { on(each); }, what);
}

void schedule_duty::on(members_snapshot &what)
{
    std::vector<work::entry_info> entries;
    for (const auto &id : what.liveEntries)
        entries.push_back({id, {}});
    feedOwner(work::peers_changed{entries});
}

void schedule_duty::on(adopted_configuration &what)
{
    m_configuration = what;
}

void schedule_duty::on(work::shard_rows_read &what)
{
    feedOwner(what);
}

void schedule_duty::on(work::shard_write_answered &what)
{
    feedOwner(what);
}

void schedule_duty::on(table_answer &what)
{
    const auto shard = m_shards.find(what.shard);
    if (shard == m_shards.end() || shard->second->epoch() != what.epoch)
        return; // of a table that was discarded
    performAll(*shard->second, shard->second->handle(what.answer, monotonic_clock::now()));
}

void schedule_duty::on(report_heard &what)
{
    Json::Value answer(Json::objectValue);
    auto *shard = shardOf(what.report.worker);
    answer["owner"] = shard != nullptr;
    if (shard != nullptr) {
        m_handling = what.report;
        m_workers[what.report.worker] = what.place;
        performAll(*shard,
                   shard->handle(work::report_received{what.report}, monotonic_clock::now()));
        m_handling.reset();
        if (m_replyGrant)
            answer["grant"] = toJson(*m_replyGrant);
        m_replyGrant.reset();
    }
    what.reply->set_value(answer);
}

void schedule_duty::on(usage_heard &what)
{
    const auto now = monotonic_clock::now();
    try {
        const auto worker = stringMember(what.parameters, "worker");
        const auto measuredAt = now - milliseconds(integerMember(what.parameters, "age_ms"));
        const auto report = work::usageReportFromJson(what.parameters);
        auto *shard = shardOf(worker);
        if (shard == nullptr)
            m_usage.forgetWorker(worker);
        else if (const auto usage = m_usage.applyReport(worker, report)) {
            for (const auto &[task, used] : *usage) {
                placement::usage_sample sample;
                sample.task = {task.job, static_cast<std::int32_t>(task.index)};
                sample.worker = worker;
                sample.used = {used.millicores, used.bytes, 0};
                sample.measuredAt = measuredAt;
                shard->usageSampled(sample, now);
            }
            const auto service = stringMember(what.parameters, "service");
            const microseconds p99(integerMember(what.parameters, "p99_us"));
            // Requests and usage are not measured together; agents of earlier versions gave one
            // age.
            const bool own = what.parameters.isMember("p99_age_ms");
            const auto servedAt =
                    own ? now - milliseconds(integerMember(what.parameters, "p99_age_ms"))
                        : measuredAt;
            shard->latencySampled(worker, service, p99, servedAt, now);
        }
        what.reply->set_value(Json::Value(Json::objectValue));
    } catch (const error &) {
        m_metrics.count("usage_refused_total", "bad_request");
        what.reply->set_exception(std::current_exception());
    }
}

void schedule_duty::on(status_asked &what)
{
    Json::Value status(Json::objectValue);
    status["generation"] = Json::UInt64(m_configuration.generation);
    status["shards"] = Json::Value(Json::arrayValue);
    for (const auto &[number, shard] : m_shards)
        status["shards"].append(shard->status(monotonic_clock::now()));
    what.reply->set_value(status);
}

void schedule_duty::on(explain_asked &what)
{
    Json::Value answer(Json::objectValue);
    for (const auto &[number, shard] : m_shards) {
        if (shard->knows(what.task))
            answer["reason"] = shard->explain(what.task, monotonic_clock::now());
    }
    what.reply->set_value(answer);
}

void schedule_duty::on(work::release_shards &what)
{
    m_releasing = true;
    what.unresponsive = quietWorkers();
    feedOwner(what);
}

void schedule_duty::tick()
{
    // Half a tick early: a tick that comes a little sooner than the last must not cost a round.
    const auto now = monotonic_clock::now();
    const bool isPlanDue = now + TickEvery / 2 >= m_planAt;
    if (isPlanDue)
        m_planAt = now + m_settings.placement.tick;
    feedOwner(work::ownership_tick{quietWorkers()});
    m_drained = m_releasing && m_owner.isReleased();
    // `handle` may discard a shard: walk over the numbers, not over the map.
    std::vector<int> numbers;
    for (const auto &[number, shard] : m_shards)
        numbers.push_back(number);
    for (const auto number : numbers) {
        const auto feed = [&](const work::coordinator_event &input) {
            const auto found = m_shards.find(number);
            if (found != m_shards.end())
                performAll(*found->second, found->second->handle(input, monotonic_clock::now()));
        };
        feed(work::grant_deadline_changed{m_owner.mayGrantUntil(number)});
        feed(work::coordinator_tick{});
        const auto found = m_shards.find(number);
        if (found == m_shards.end() || m_releasing)
            continue;
        auto &shard = *found->second;
        performAll(shard, shard.follow(m_configuration, m_workers, monotonic_clock::now()));
        if (isPlanDue)
            performAll(shard, shard.plan(monotonic_clock::now()));
    }
}

std::map<int, work::unresponsive_workers> schedule_duty::quietWorkers() const
{
    std::map<int, work::unresponsive_workers> quiet;
    for (const auto &[number, shard] : m_shards)
        quiet[number] = shard->quietWorkers(monotonic_clock::now());
    return quiet;
}

void schedule_duty::feedOwner(const work::ownership_event &what)
{
    for (const auto &action : m_owner.handle(what, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
}

void schedule_duty::perform(const work::commit_shard &action)
{
    const bool queued = m_platform.run([this, action](platform_client &platform) {
        const auto result = platform.commit(action.transaction);
        m_duty->post(work::shard_write_answered{action.transaction.operationId, result});
    });
    if (!queued)
        m_duty->post(work::shard_write_answered{action.transaction.operationId, NotSent});
}

void schedule_duty::perform(const work::scan_shards & /*action*/)
{
    m_platform.run([this](platform_client &platform) {
        const auto startedAt = monotonic_clock::now();
        if (const auto reading = platform.read({}, {work::ShardPrefix}))
            m_duty->post(work::shard_rows_read{reading->rows, startedAt});
    });
}

void schedule_duty::perform(const work::became_owner &action)
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
    settings.startsBacklogWhenDown = false; // the placer counts each start
    const work::shard_tenure owner{action.shard, action.epoch, action.shardVersion,
                                   action.earlierLeasesEndAt, action.unresponsive};
    const auto prefix = m_self.unique() + "/work-" + std::to_string(action.shard) + "-"
                        + std::to_string(action.epoch);
    m_shards[action.shard] =
            std::make_unique<owned_shard>(owner, prefix, settings, placerSettings(m_settings),
                                          m_settings.shards, m_metrics, m_log);
}

void schedule_duty::perform(const work::lost_shard &action)
{
    Json::Value fields(Json::objectValue);
    fields["shard"] = action.shard;
    m_log.info("shard_lost", fields);
    m_shards.erase(action.shard);
}

void schedule_duty::performAll(owned_shard &shard,
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

void schedule_duty::commitRows(const owned_shard &shard, const work::commit_rows &action)
{
    const auto number = shard.number();
    const auto epoch = shard.epoch();
    m_metrics.count("work_rows_total", "written",
                    static_cast<double>(action.transaction.writes.size()));
    const auto answer = [this, id = action.transaction.operationId, number,
                         epoch](const write_result &result) {
        m_duty->post(table_answer{number, epoch, work::write_answered{id, result}});
    };
    const bool queued = m_platform.run([action, answer](platform_client &platform) {
        answer(platform.commit(action.transaction));
    });
    if (!queued)
        answer(NotSent);
}

void schedule_duty::readRows(const owned_shard &shard, std::vector<std::string> keys,
                             std::string prefix)
{
    const auto number = shard.number();
    const auto epoch = shard.epoch();
    m_platform.run([this, keys = std::move(keys), prefix = std::move(prefix), number,
                    epoch](platform_client &platform) {
        const std::vector<std::string> prefixes =
                prefix.empty() ? std::vector<std::string>{} : std::vector<std::string>{prefix};
        if (const auto reading = platform.read(keys, prefixes))
            m_duty->post(table_answer{number, epoch, work::rows_read{keys, reading->rows}});
    });
}

void schedule_duty::sendGrant(const work::worker_grant &grant)
{
    if (m_handling && m_handling->worker == grant.worker && !m_replyGrant) {
        m_replyGrant = grant;
        return;
    }
    const auto agent = m_workers.find(grant.worker);
    if (agent == m_workers.end())
        return;
    m_sender.call(agent->second.agentAddress, "grant", toJson(grant),
                  [](const std::optional<Json::Value> &) {});
}

owned_shard *schedule_duty::shardOf(const std::string &worker)
{
    const auto number = work::shardOfWorker(worker, {}, m_shardInfos);
    const auto found = m_shards.find(number);
    return found == m_shards.end() ? nullptr : found->second.get();
}

} // namespace zinniabarrow
