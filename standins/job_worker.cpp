#include "standins/job_worker.h"

#include <algorithm>
#include <string_view>

#include "base/json.h"
#include "net/event_loop.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds MaxLeaseTime{10'000}; // a longer lease is shortened to it
// What the clock of a worker's first incarnation shows when the stand-in starts. A later
// incarnation shortens each deadline on that clock to MaxLeaseTime.
constexpr milliseconds FirstClockReading{600'000};

http_response jsonResponse(int status, const Json::Value &value)
{
    return {status, {}, compactJson(value)};
}

bool isDone(std::string_view how)
{
    return how == "done";
}

} // namespace

std::int64_t standinClockMs()
{
    return std::chrono::duration_cast<milliseconds>(net::suspendAwareNow().time_since_epoch())
            .count();
}

gang_board::gang_key gang_board::keyOf(const jobs::task_id &member, int run)
{
    auto first = member;
    first.index = 0;
    return {jobs::toText(first), run};
}

void gang_board::join(const jobs::task_id &member, int run, const task_shape &shape,
                      std::int64_t workEndsAfterMs, std::int64_t nowMs)
{
    auto &joint = m_gangs[keyOf(member, run)];
    joint.present.insert(member.index);
    if (joint.state != gang_state::Waiting
        || joint.present.size() < static_cast<std::size_t>(shape.gangSize))
        return;
    joint.state = gang_state::Working;
    joint.workEndsAtMs = nowMs + workEndsAfterMs;
}

void gang_board::leave(const jobs::task_id &member, int run)
{
    auto &joint = m_gangs[keyOf(member, run)];
    joint.present.erase(member.index);
    if (joint.state == gang_state::Working)
        joint.state = gang_state::Broken;
}

gang_board::gang_state gang_board::stateOf(const jobs::task_id &member, int run, std::int64_t nowMs)
{
    auto &joint = m_gangs[keyOf(member, run)];
    if (joint.state == gang_state::Working && joint.workEndsAtMs <= nowMs)
        joint.state = gang_state::Done;
    return joint.state;
}

job_worker::job_worker(job_worker_options options, run_history &history, gang_board &gangs)
    : m_options(std::move(options))
    , m_id("i-" + std::to_string(m_options.index))
    , m_history(history)
    , m_gangs(gangs)
    , m_startTimeMs(standinClockMs())
    , m_clockZeroMs(m_startTimeMs - FirstClockReading.count())
{ }

std::int64_t job_worker::clockMs() const
{
    return standinClockMs() - m_clockZeroMs;
}

std::int64_t job_worker::fromOwnClock(std::int64_t ownMs) const
{
    return ownMs + m_clockZeroMs;
}

Json::Value job_worker::makeClockAnswer() const
{
    Json::Value value(Json::objectValue);
    value["clock-ms"] = Json::Int64(clockMs());
    return value;
}

http_response job_worker::refuse(const char *reason) const
{
    auto value = makeClockAnswer();
    value["reason"] = reason;
    return jsonResponse(409, value);
}

http_response job_worker::serve(const http_request &request)
{
    endDueRuns();
    const auto body = parseJson(request.body);
    if (body["fence"].asInt64() < m_fence)
        return refuse("fence");
    m_fence = body["fence"].asInt64();
    if (request.path() == "/-/run-start")
        return start(body);
    if (request.path() == "/-/run-stop")
        return stop(body);
    extendLease(body);
    return makeListing(body["last-seen"].asInt64());
}

void job_worker::extendLease(const Json::Value &body)
{
    if (!body.isMember("deadline-ms"))
        return;
    const auto latest = standinClockMs() + MaxLeaseTime.count();
    const auto deadline = fromOwnClock(body["deadline-ms"].asInt64());
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(deadline, latest));
    m_hasLapsed = m_leaseEndMs < standinClockMs();
}

void job_worker::endDueRuns()
{
    const auto nowMs = standinClockMs();
    const auto running = m_runsByTask;
    for (const auto &[name, run] : running) {
        if (const auto *how = endOf(run, nowMs))
            end(name, how);
    }
    if (m_leaseEndMs < nowMs && !m_hasLapsed)
        recordLapse();
}

// The worker's word for the end of a run that has to end now; null for one that goes on.
const char *job_worker::endOf(const active_run &run, std::int64_t nowMs)
{
    using gang_state = gang_board::gang_state;
    if (run.shape.gangSize > 0) {
        const auto state = m_gangs.stateOf(run.task, run.number, nowMs);
        if (state == gang_state::Done)
            return "done";
        if (state == gang_state::Broken)
            return "broken";
        const auto waitsUntilMs = run.startedAtMs + m_options.gangTimeout.count();
        if (state == gang_state::Waiting && run.stopsAtMs == 0 && waitsUntilMs <= nowMs)
            return "alone";
    } else if (!run.shape.isLongRunning && run.stopsAtMs == 0 && run.workEndsAtMs <= nowMs) {
        return "done";
    }
    if (m_leaseEndMs < nowMs)
        return "lapsed";
    return run.stopsAtMs != 0 && run.stopsAtMs <= nowMs ? "stopped" : nullptr;
}

void job_worker::terminate()
{
    isTerminated = true;
    for (const auto &[name, run] : m_runsByTask) {
        if (run.shape.gangSize > 0)
            m_gangs.leave(run.task, run.number);
        notify(run, "crashed");
    }
    m_runsByTask.clear();
    m_history.recordCrash(m_id);
    forgetUnacknowledgedEnds();
}

void job_worker::restart()
{
    isTerminated = false;
    isHung = false;
    isDraining = false;
    m_startTimeMs = standinClockMs();
    m_clockZeroMs = m_startTimeMs - 1; // a reading of 0 could be taken for none
    m_fence = 0;
    m_leaseEndMs = 0;
    m_highestRunByTask.clear();
    m_unacknowledgedEnds.clear();
    m_lastEndId = 0;
}

http_response job_worker::start(const Json::Value &body)
{
    const auto name = body["task"].asString();
    const auto number = body["run"].asInt();
    if (body["deadline-ms"].asInt64() < clockMs())
        return refuse("late");
    extendLease(body);
    const auto known = m_runsByTask.find(name);
    if (known != m_runsByTask.end() && known->second.number == number)
        return jsonResponse(200, makeClockAnswer());
    if (known != m_runsByTask.end() || number <= m_highestRunByTask[name])
        return refuse("old");
    const auto task = jobs::taskIdFrom(name);
    if (!task)
        return {400, {}, ""};
    begin(name, *task, number);
    return jsonResponse(200, makeClockAnswer());
}

void job_worker::begin(const std::string &name, const jobs::task_id &task, int number)
{
    const auto shape = m_options.describeTask(task);
    const auto nowMs = standinClockMs();
    const auto workTime = shape.workTime.value_or(m_options.taskTime);
    m_history.recordStart({m_id, name, shape, m_options.millicores, load() + shape.millicores});
    const active_run run{number, task, shape, nowMs, nowMs + workTime.count(), 0};
    m_runsByTask[name] = run;
    if (shape.gangSize > 0)
        m_gangs.join(task, number, shape, workTime.count(), nowMs);
    notify(run, "");
}

std::int64_t job_worker::load() const
{
    std::int64_t millicores = 0;
    for (const auto &[name, run] : m_runsByTask)
        millicores += run.shape.millicores;
    return millicores;
}

http_response job_worker::stop(const Json::Value &body)
{
    const auto name = body["task"].asString();
    const auto known = m_runsByTask.find(name);
    if (known != m_runsByTask.end() && known->second.stopsAtMs == 0) {
        known->second.stopsAtMs = standinClockMs() + m_options.stopTime.count();
        if (m_options.stopTime == milliseconds(0))
            end(name, "stopped");
    }
    m_highestRunByTask[name] = std::max(m_highestRunByTask[name], body["run"].asInt());
    return jsonResponse(200, makeClockAnswer());
}

void job_worker::end(const std::string &name, const char *how)
{
    const auto run = m_runsByTask.at(name);
    m_runsByTask.erase(name);
    m_highestRunByTask[name] = std::max(m_highestRunByTask[name], run.number);
    if (run.shape.gangSize > 0 && !isDone(how))
        m_gangs.leave(run.task, run.number);
    Json::Value row(Json::arrayValue);
    row.append(++m_lastEndId);
    row.append(name);
    row.append(run.number);
    row.append(how);
    row.append("");
    m_unacknowledgedEnds.push_back(row);
    m_history.recordEnd(m_id, name, isDone(how));
    notify(run, how);
}

void job_worker::recordLapse()
{
    m_hasLapsed = true;
    m_options.onLapse();
    forgetUnacknowledgedEnds();
}

void job_worker::forgetUnacknowledgedEnds()
{
    for (const auto &row : m_unacknowledgedEnds) {
        if (isDone(row[3].asString()))
            m_history.forgetDone(row[1].asString());
    }
}

void job_worker::notify(const active_run &run, const char *how) const
{
    m_options.onRun({m_options.index, run.task, run.number, how});
}

// A run that is being stopped is in neither list until it has ended.
http_response job_worker::makeListing(std::int64_t lastSeen)
{
    std::erase_if(m_unacknowledgedEnds,
                  [&](const auto &row) { return row[0].asInt64() <= lastSeen; });
    auto value = makeClockAnswer();
    value["born"] = Json::Int64(m_startTimeMs);
    value["running"] = Json::Value(Json::arrayValue);
    value["ended"] = Json::Value(Json::arrayValue);
    for (const auto &[name, run] : m_runsByTask) {
        if (run.stopsAtMs != 0)
            continue;
        Json::Value row(Json::arrayValue);
        row.append(name);
        row.append(run.number);
        row.append("");
        row.append(100);
        row.append(0);
        value["running"].append(row);
    }
    for (const auto &row : m_unacknowledgedEnds)
        value["ended"].append(row);
    return jsonResponse(200, value);
}

} // namespace zinniabarrow::standins
