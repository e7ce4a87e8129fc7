#include "app/supervisor_actor.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr milliseconds WorkerTimeout{1000};
// When the owner has not answered for this long after a report was due, every entry is asked for
// the owner.
constexpr milliseconds OwnerSilenceLimit{2000};
constexpr milliseconds UsageInterval{2000};
constexpr int ConflictStatus = 409;

work::supervisor_settings supervisorSettings(const config::agent_settings &settings)
{
    work::supervisor_settings out;
    out.leases.taskLease = settings.lease.taskLease;
    out.leases.safetyMargin = settings.lease.clockMargin;
    out.reportInterval = std::max(settings.lease.ownerReportInterval, settings.lease.renewInterval);
    out.repeatInterval = settings.lease.renewInterval;
    out.listInterval = settings.lease.renewInterval;
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

supervisor_actor::supervisor_actor(actor_runtime &system, const config::agent_settings &settings,
                                   const process_identity &self, const std::string &ownAddress,
                                   rpc_sender &sender, metrics &counters,
                                   latency_source tailLatency)
    : m_settings(settings)
    , m_ownAddress(ownAddress)
    , m_sender(sender)
    , m_metrics(counters)
    , m_tailLatency(std::move(tailLatency))
    , m_worker({settings.worker.address.address, settings.worker.address.port})
    , m_supervisor(settings.worker.id, self.fullId(), supervisorSettings(settings),
                   [this](const work::task_id &task, const resources &amount) {
                       return hasRoom(task, amount);
                   })
    , m_usageReporter(self.fullId(), {})
{
    m_workerCalls = std::make_unique<event_actor<std::function<void()>>>(
            system, RingCapacity, [](std::function<void()> &workerCall) { workerCall(); },
            duration(0), [] {});
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); },
            tick_schedule{[this] { return std::min(m_supervisor.nextTick(), m_nextUsageAt); },
                          [this] { tick(); }});
    m_workerCalls->start();
    m_actor->start();
}

supervisor_actor::~supervisor_actor() = default;

void supervisor_actor::stop()
{
    m_actor->stop();
    m_workerCalls->stop();
}

Json::Value supervisor_actor::grant(const Json::Value &parameters)
{
    if (!m_actor->post(work::supervisor_event{
                work::grant_received{work::workerGrantFromJson(parameters)}}))
        m_metrics.count("ring_full_total", "grant");
    return Json::Value(Json::objectValue);
}

Json::Value supervisor_actor::throttle(const Json::Value &parameters)
{
    m_actor->post(throttle_requested{work::taskIdFromText(stringMember(parameters, "task")),
                                     integerMember(parameters, "millicores")});
    return Json::Value(Json::objectValue);
}

// --- On the actor's thread ----------------------------------------------------------------------

void supervisor_actor::handle(event &newEvent)
{
    if (const auto *input = std::get_if<work::supervisor_event>(&newEvent))
        feed(*input);
    else if (const auto *answer = std::get_if<report_answered>(&newEvent))
        handleReportAnswer(*answer);
    else if (const auto *request = std::get_if<throttle_requested>(&newEvent))
        throttle(*request);
    else if (const auto *measured = std::get_if<usage_measured>(&newEvent))
        sendUsage(*measured);
    else
        m_usageReporter.requestFullReport();
}

void supervisor_actor::throttle(const throttle_requested &newEvent)
{
    for (const auto &running : m_supervisor.occupyingTasks()) {
        if (running.attempt.task == newEvent.task)
            sendCpuLimit(running.attempt, newEvent.millicores);
    }
}

void supervisor_actor::perform(const work::worker_cpu_limit &action)
{
    sendCpuLimit(action.attempt, action.millicores);
}

void supervisor_actor::sendCpuLimit(const work::task_attempt &attempt, std::int64_t millicores)
{
    constexpr std::int64_t Percent = 100;
    for (const auto &running : m_supervisor.occupyingTasks()) {
        if (running.attempt != attempt)
            continue;
        const auto declaredMillicores =
                std::max<std::int64_t>(work::declaredSize(running.spec).millicores, 1);
        const auto percent = std::min(millicores * Percent / declaredMillicores, Percent);
        auto body = attemptJson(attempt);
        body["percent"] = Json::Int64(millicores == 0 ? Percent : percent);
        callWorker("/throttle", body, [this, attempt] {
            m_actor->post(work::supervisor_event{work::cpu_limit_unconfirmed{attempt}});
        });
    }
}

void supervisor_actor::tick()
{
    feed(work::supervisor_tick{});
    const auto now = monotonic_clock::now();
    if (now >= m_nextUsageAt)
        requestUsage(now);
}

void supervisor_actor::feed(const work::supervisor_event &newEvent)
{
    for (const auto &action : m_supervisor.handle(newEvent, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
    flushRenewals();
}

void supervisor_actor::callWorker(const std::string &path, const Json::Value &body,
                                  std::function<void()> onFailure)
{
    const auto text = compactJson(body);
    const bool queued = m_workerCalls->post([this, path, text, onFailure] {
        const auto result =
                m_worker.call({"POST", path, {}, text}, monotonic_clock::now() + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr)
            m_metrics.count("worker_calls_failed_total", path.substr(1));
        if (onFailure && (response == nullptr || response->status != 200))
            onFailure();
    });
    if (queued)
        return;
    m_metrics.count("ring_full_total", "worker");
    if (onFailure) // otherwise the task would stay throttled, or at full speed, forever
        onFailure();
}

void supervisor_actor::perform(const work::worker_list &action)
{
    Json::Value body(Json::objectValue);
    body["epoch"] = Json::UInt64(action.epoch);
    const auto text = compactJson(body);
    m_workerCalls->post([this, text] {
        const auto result =
                m_worker.call({"POST", "/list", {}, text}, monotonic_clock::now() + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200) {
            m_metrics.count("worker_calls_failed_total", "list");
            return;
        }
        try {
            const auto listing = work::workerListingFromJson(parseJson(response->body));
            m_actor->post(work::supervisor_event{work::listing_received{listing}});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_listing");
        }
    });
}

void supervisor_actor::perform(const work::worker_start &action)
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
    m_workerCalls->post([this, attempt, text] {
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
            m_actor->post(work::supervisor_event{work::start_refused{attempt, listing}});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_refusal");
        }
    });
}

void supervisor_actor::perform(const work::worker_renew &action)
{
    m_renewals.push_back(action);
}

// All renewals of one event belong to the same listing, so one call carries them.
void supervisor_actor::flushRenewals()
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

void supervisor_actor::perform(const work::worker_stop &action)
{
    callWorker("/stop", attemptJson(action.attempt));
}

void supervisor_actor::perform(const work::worker_checkpoint &action)
{
    auto body = attemptJson(action.attempt);
    body["checkpoint"] = action.checkpoint;
    callWorker("/checkpoint", body);
}

void supervisor_actor::perform(const work::worker_forget &action)
{
    callWorker("/forget", attemptJson(action.attempt));
}

void supervisor_actor::perform(const work::send_report &action)
{
    Json::Value parameters(Json::objectValue);
    parameters["report"] = toJson(action.report);
    parameters["agent"] = m_ownAddress;
    parameters["serving"] = m_isServing.load();
    const auto &size = m_settings.worker.size;
    parameters["worker"] =
            toJson(placement::worker_info{m_settings.worker.id,
                                          m_settings.zone,
                                          m_settings.rack,
                                          m_settings.worker.pool,
                                          {size.millicores, size.bytes, size.accelerators}});
    if (monotonic_clock::now() < m_ownerKnownUntil) {
        sendReport(m_ownerEntry, parameters);
        return;
    }
    for (std::size_t entry = 0; entry < m_settings.entries.size(); ++entry)
        sendReport(entry, parameters);
}

void supervisor_actor::sendReport(std::size_t entry, const Json::Value &parameters)
{
    m_sender.call(config::toText(m_settings.entries[entry]), "report", parameters,
                  [this, entry](std::optional<Json::Value> answer) {
                      m_actor->post(report_answered{entry, std::move(answer)});
                  });
}

void supervisor_actor::handleReportAnswer(const report_answered &newEvent)
{
    if (!newEvent.answer || !(*newEvent.answer)["owner"].asBool()) {
        if (newEvent.entry == m_ownerEntry)
            m_ownerKnownUntil = {}; // no answer, or no longer the owner: ask all entries
        return;
    }
    m_ownerEntry = newEvent.entry;
    m_ownerKnownUntil =
            monotonic_clock::now() + m_settings.lease.ownerReportInterval + OwnerSilenceLimit;
    if (!newEvent.answer->isMember("grant"))
        return;
    try {
        feed(work::grant_received{work::workerGrantFromJson((*newEvent.answer)["grant"])});
    } catch (const error &) {
        m_metrics.count("grants_refused_total", "bad_request");
    }
}

void supervisor_actor::perform(const work::increment_counter &action)
{
    m_metrics.count("tasks_kept_total", nameOf(action.reason));
}

void supervisor_actor::requestUsage(time_point now)
{
    m_nextUsageAt = now + UsageInterval;
    if (m_supervisor.occupyingTasks().empty())
        return;
    m_workerCalls->post([this] {
        const auto requestedAt = monotonic_clock::now();
        const auto result = m_worker.call({"GET", "/usage", {}, {}}, requestedAt + WorkerTimeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200)
            return;
        try {
            m_actor->post(usage_measured{parseJson(response->body), requestedAt});
        } catch (const error &) {
            m_metrics.count("worker_calls_failed_total", "bad_usage");
        }
    });
}

// Sends the worker's usage to the owner with its age, so that the owner can attribute it to the
// time of measurement.
void supervisor_actor::sendUsage(const usage_measured &newEvent)
{
    try {
        const auto now = monotonic_clock::now();
        const auto measured = work::usageReportFromJson(newEvent.answer);
        if (m_usageEntry != m_ownerEntry)
            m_usageReporter.requestFullReport();
        m_usageEntry = m_ownerEntry;
        Json::Value parameters(Json::objectValue);
        addToJson(parameters, m_usageReporter.nextReport(measured.tasks, now));
        const auto age = milliseconds(integerMember(newEvent.answer, "age_ms"))
                         + std::chrono::duration_cast<milliseconds>(now - newEvent.requestedAt);
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
        m_sender.call(config::toText(m_settings.entries[m_ownerEntry]), "usage", parameters,
                      [this](const std::optional<Json::Value> &answer) {
                          if (!answer)
                              m_actor->post(usage_unanswered{});
                      });
    } catch (const error &) {
        m_metrics.count("worker_calls_failed_total", "bad_usage");
    }
}

// The last check before a start: workers start every task they are given, even if it does not fit.
bool supervisor_actor::hasRoom(const work::task_id &task, const resources &amount) const
{
    const auto &size = m_settings.worker.size;
    return (m_supervisor.occupiedByOthers(task) + amount)
            .fitsIn({size.millicores, size.bytes, size.accelerators});
}

} // namespace zinniabarrow
