#include "app/supervisor_actor.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr milliseconds WorkerTimeout{1000};
// After a report was due: every entry is asked for the owner.
constexpr milliseconds OwnerSilence{2000};
constexpr milliseconds UsageEvery{2000};
constexpr int ConflictStatus = 409;

work::supervisor_settings keeperSettings(const config::agent_settings &settings)
{
    work::supervisor_settings out;
    out.leases.taskLease = settings.lease.taskLease;
    out.leases.safetyMargin = settings.lease.clockMargin;
    out.reportInterval = std::max(settings.lease.report, settings.lease.renew);
    out.repeatInterval = settings.lease.renew;
    out.listInterval = settings.lease.renew;
    return out;
}

Json::Value attemptJson(const work::task_attempt &attempt)
{
    Json::Value json(Json::objectValue);
    json["task"] = work::textOf(attempt.task);
    json["attempt"] = attempt.attempt;
    return json;
}

} // namespace

keeper_duty::keeper_duty(duty_system &system, const config::agent_settings &settings,
                         const process_identity &self, const std::string &ownAddress,
                         rpc_sender &sender, metrics &counters, latency_source tailLatency)
    : m_settings(settings)
    , m_ownAddress(ownAddress)
    , m_sender(sender)
    , m_metrics(counters)
    , m_tailLatency(std::move(tailLatency))
    , m_worker({settings.worker.address.address, settings.worker.address.port})
    , m_keeper(settings.worker.id, self.unique(), keeperSettings(settings),
               [this](const work::task_id &task, const resources &amount) {
                   return fits(task, amount);
               })
    , m_usage(self.unique(), {})
{
    m_workerLane = std::make_unique<duty<std::function<void()>>>(
            system, RingCapacity, [](std::function<void()> &work) { work(); }, duration(0), [] {});
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); },
            tick_plan{[this] { return std::min(m_keeper.nextTick(), m_usageAt); },
                      [this] { tick(); }});
}

keeper_duty::~keeper_duty() = default;

void keeper_duty::stop()
{
    m_duty->stop();
    m_workerLane->stop();
}

Json::Value keeper_duty::grant(const Json::Value &parameters)
{
    if (!m_duty->post(work::supervisor_event{
                work::grant_received{work::workerGrantFromJson(parameters)}}))
        m_metrics.count("ring_full_total", "grant");
    return Json::Value(Json::objectValue);
}

Json::Value keeper_duty::throttle(const Json::Value &parameters)
{
    m_duty->post(throttle_asked{work::taskIdFromText(stringMember(parameters, "task")),
                                integerMember(parameters, "millicores")});
    return Json::Value(Json::objectValue);
}

// --- On the duty's thread -----------------------------------------------------------------------

void keeper_duty::handle(event &what)
{
    if (const auto *input = std::get_if<work::supervisor_event>(&what))
        feed(*input);
    else if (const auto *answer = std::get_if<report_answered>(&what))
        answered(*answer);
    else if (const auto *asked = std::get_if<throttle_asked>(&what))
        throttle(*asked);
    else if (const auto *measured = std::get_if<usage_measured>(&what))
        sendUsage(*measured);
    else
        m_usage.requestFullReport();
}

void keeper_duty::throttle(const throttle_asked &what)
{
    for (const auto &running : m_keeper.occupyingTasks()) {
        if (running.attempt.task == what.task)
            limitWorker(running.attempt, what.millicores);
    }
}

void keeper_duty::perform(const work::worker_cpu_limit &action)
{
    limitWorker(action.attempt, action.millicores);
}

void keeper_duty::limitWorker(const work::task_attempt &attempt, std::int64_t millicores)
{
    constexpr std::int64_t Percent = 100;
    for (const auto &running : m_keeper.occupyingTasks()) {
        if (running.attempt != attempt)
            continue;
        const auto whole = std::max<std::int64_t>(work::declaredSize(running.spec).millicores, 1);
        const auto part = std::min(millicores * Percent / whole, Percent);
        auto body = attemptJson(attempt);
        body["percent"] = Json::Int64(millicores == 0 ? Percent : part);
        callWorker("/throttle", body, [this, attempt] {
            m_duty->post(work::supervisor_event{work::cpu_limit_unconfirmed{attempt}});
        });
    }
}

void keeper_duty::tick()
{
    feed(work::supervisor_tick{});
    const auto now = monotonic_clock::now();
    if (now >= m_usageAt)
        askUsage(now);
}

void keeper_duty::feed(const work::supervisor_event &what)
{
    for (const auto &action : m_keeper.handle(what, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
    flushRenewals();
}

void keeper_duty::callWorker(const std::string &path, const Json::Value &body,
                             std::function<void()> failed)
{
    const auto text = compactJson(body);
    const bool queued = m_workerLane->post([this, path, text, failed] {
        const auto result =
                m_worker.call({"POST", path, {}, text}, monotonic_clock::now() + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr)
            m_metrics.count("worker_calls_failed_total", path.substr(1));
        if (failed && (response == nullptr || response->status != 200))
            failed();
    });
    if (queued)
        return;
    m_metrics.count("ring_full_total", "worker");
    if (failed) // without it a task would stay throttled, or at full speed, for good
        failed();
}

void keeper_duty::perform(const work::worker_list &action)
{
    Json::Value body(Json::objectValue);
    body["epoch"] = Json::UInt64(action.epoch);
    const auto text = compactJson(body);
    m_workerLane->post([this, text] {
        const auto result =
                m_worker.call({"POST", "/list", {}, text}, monotonic_clock::now() + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200) {
            m_metrics.count("worker_calls_failed_total", "list");
            return;
        }
        try {
            const auto listing = work::workerListingFromJson(parseJson(response->body));
            m_duty->post(work::supervisor_event{work::listing_received{listing}});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_listing");
        }
    });
}

void keeper_duty::perform(const work::worker_start &action)
{
    auto body = attemptJson({action.task.task, action.task.attempt});
    body["failover"] = std::string(nameOf(action.task.failover));
    body["checkpoint"] = action.task.checkpoint;
    body["spec"] = action.spec;
    body["lease_ms"] = Json::Int64(action.lease.count());
    body["start_within_ms"] = Json::Int64(action.startWithin.count());
    body["listing"] = Json::UInt64(action.listing);
    body["incarnation"] = Json::UInt64(action.incarnation);
    const work::task_attempt attempt{action.task.task, action.task.attempt};
    const auto text = compactJson(body);
    m_workerLane->post([this, attempt, text] {
        const auto result =
                m_worker.call({"POST", "/start", {}, text}, monotonic_clock::now() + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr) {
            m_metrics.count("worker_calls_failed_total", "start");
            return;
        }
        if (response->status != ConflictStatus)
            return;
        try {
            const auto listing = countMember(parseJson(response->body), "listing");
            m_duty->post(work::supervisor_event{work::start_refused{attempt, listing}});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_refusal");
        }
    });
}

void keeper_duty::perform(const work::worker_renew &action)
{
    m_renewals.push_back(action);
}

// All renewals of one event refer to the same listing: one call carries them.
void keeper_duty::flushRenewals()
{
    if (m_renewals.empty())
        return;
    Json::Value body(Json::objectValue);
    body["listing"] = Json::UInt64(m_renewals.front().listing);
    body["incarnation"] = Json::UInt64(m_renewals.front().incarnation);
    body["renewals"] = Json::Value(Json::arrayValue);
    for (const auto &renewal : m_renewals) {
        auto entry = attemptJson(renewal.attempt);
        entry["lease_ms"] = Json::Int64(renewal.lease.count());
        body["renewals"].append(std::move(entry));
    }
    m_renewals.clear();
    callWorker("/renew", body);
}

void keeper_duty::perform(const work::worker_stop &action)
{
    callWorker("/stop", attemptJson(action.attempt));
}

void keeper_duty::perform(const work::worker_checkpoint &action)
{
    auto body = attemptJson(action.attempt);
    body["checkpoint"] = action.checkpoint;
    callWorker("/checkpoint", body);
}

void keeper_duty::perform(const work::worker_forget &action)
{
    callWorker("/forget", attemptJson(action.attempt));
}

void keeper_duty::perform(const work::send_report &action)
{
    Json::Value parameters(Json::objectValue);
    parameters["report"] = toJson(action.report);
    parameters["agent"] = m_ownAddress;
    parameters["serving"] = m_serving.load();
    const auto &size = m_settings.worker.size;
    parameters["worker"] =
            toJson(placement::worker_info{m_settings.worker.id,
                                          m_settings.zone,
                                          m_settings.rack,
                                          m_settings.worker.pool,
                                          {size.millicores, size.bytes, size.accelerators}});
    if (monotonic_clock::now() < m_askOwnerUntil) {
        sendReport(m_owner, parameters);
        return;
    }
    for (std::size_t entry = 0; entry < m_settings.entries.size(); ++entry)
        sendReport(entry, parameters);
}

void keeper_duty::sendReport(std::size_t entry, const Json::Value &parameters)
{
    m_sender.call(config::toText(m_settings.entries[entry]), "report", parameters,
                  [this, entry](std::optional<Json::Value> answer) {
                      m_duty->post(report_answered{entry, std::move(answer)});
                  });
}

void keeper_duty::answered(const report_answered &what)
{
    if (!what.answer || !(*what.answer)["owner"].asBool()) {
        if (what.entry == m_owner)
            m_askOwnerUntil = {}; // it owns the shard no more: ask them all
        return;
    }
    m_owner = what.entry;
    m_askOwnerUntil = monotonic_clock::now() + m_settings.lease.report + OwnerSilence;
    if (!what.answer->isMember("grant"))
        return;
    try {
        feed(work::grant_received{work::workerGrantFromJson((*what.answer)["grant"])});
    } catch (const error &) {
        m_metrics.count("grants_refused_total", "bad_request");
    }
}

void keeper_duty::perform(const work::increment_counter &action)
{
    m_metrics.count("tasks_kept_total", nameOf(action.reason));
}

void keeper_duty::askUsage(time_point now)
{
    m_usageAt = now + UsageEvery;
    if (m_keeper.occupyingTasks().empty())
        return;
    m_workerLane->post([this] {
        const auto askedAt = monotonic_clock::now();
        const auto result = m_worker.call({"GET", "/usage", {}, {}}, askedAt + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200)
            return;
        try {
            m_duty->post(usage_measured{parseJson(response->body), askedAt});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_usage");
        }
    });
}

// What the worker measured goes to the owner with its age; the owner attributes it to that time.
void keeper_duty::sendUsage(const usage_measured &what)
{
    try {
        const auto now = monotonic_clock::now();
        const auto measured = work::usageReportFromJson(what.answer);
        if (m_usageOwner != m_owner)
            m_usage.requestFullReport();
        m_usageOwner = m_owner;
        Json::Value parameters(Json::objectValue);
        addToJson(parameters, m_usage.nextReport(measured.tasks, now));
        const auto age = milliseconds(integerMember(what.answer, "age_ms"))
                         + std::chrono::duration_cast<milliseconds>(now - what.askedAt);
        parameters["age_ms"] = Json::Int64(age.count());
        parameters["worker"] = m_settings.worker.id;
        parameters["service"] = m_settings.upstream.service;
        const auto latency = m_tailLatency();
        parameters["p99_us"] = Json::Int64(latency ? latency->p99.count() : 0);
        if (latency) {
            const auto latencyAge =
                    std::chrono::duration_cast<milliseconds>(now - latency->measuredAt);
            parameters["p99_age_ms"] = Json::Int64(latencyAge.count());
        }
        m_sender.call(config::toText(m_settings.entries[m_owner]), "usage", parameters,
                      [this](const std::optional<Json::Value> &answer) {
                          if (!answer)
                              m_duty->post(usage_unanswered{});
                      });
    } catch (const error &) {
        m_metrics.count("worker_calls_failed_total", "bad_usage");
    }
}

// The last check before a start: workers start whatever they are given, whether it fits or not.
bool keeper_duty::fits(const work::task_id &task, const resources &amount) const
{
    const auto &size = m_settings.worker.size;
    return (m_keeper.occupiedByOthers(task) + amount)
            .fitsIn({size.millicores, size.bytes, size.accelerators});
}

} // namespace zinniabarrow
