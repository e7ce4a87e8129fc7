#include "runner.h"

#include <algorithm>
#include <functional>
#include <random>
#include <thread>
#include <utility>

#include "store.h"

namespace review {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::int64_t MaxHoldMs = 10'000; // hold-max-ms of the site
constexpr milliseconds AdvanceInterval{10};
constexpr milliseconds CheckInInterval{1500};
constexpr milliseconds CheckInRetry{300};

} // namespace

record::record(const std::string &file)
    : m_file(std::fopen(file.c_str(), "w"))
{ }

double record::seconds() const
{
    return std::chrono::duration<double>(steady_clock::now() - m_startedAt).count();
}

void record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f s  %s\n", seconds(), line.c_str());
    std::fflush(m_file);
}

void done_ledger::noteDone(const std::string &life, std::int64_t sequence, const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    m_unseen[life].push_back({sequence, task});
}

void done_ledger::noteSeen(const std::string &life, std::int64_t lastSeen)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_unseen[life], [&](const done_run &run) {
        if (run.sequence > lastSeen)
            return false;
        m_seen[run.task] = life;
        return true;
    });
}

void done_ledger::forgetUnseen(const std::string &life)
{
    const std::lock_guard lock(m_mutex);
    m_unseen.erase(life);
}

void done_ledger::noteStart(const std::string &task, int run, const std::string &runner)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_seen.find(task);
    if (found == m_seen.end())
        return;
    ++m_startsAfterDone;
    m_log.write("TWICE: run " + std::to_string(run) + " of " + task + " starts on " + runner
                + " after a run had ended as done, which was taken note of on " + found->second);
}

int done_ledger::startsAfterDone()
{
    const std::lock_guard lock(m_mutex);
    return m_startsAfterDone;
}

task_work workFrom(const std::string &spec)
{
    const auto value = fromText(spec);
    task_work work;
    work.workMs = value.get("work-ms", 1000).asInt64();
    work.isLongRunning = value.get("lasts", false).asBool();
    work.failsAfterMs = value.get("fails-after-ms", 0).asInt64();
    work.fills = value.get("fills", false).asBool();
    work.millicores = value.get("cpu", 0).asInt64();
    return work;
}

runner::runner(runner_options options, record &log, done_ledger &ledger)
    : m_options(std::move(options))
    , m_log(log)
    , m_ledger(ledger)
    , m_born(duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                     .count())
    , m_server(m_options.listen, [this](const http_message &request) { return serve(request); })
{
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(AdvanceInterval);
            const std::lock_guard lock(m_mutex);
            advance();
        }
    }).detach();
    std::thread([this] { checkIn(); }).detach();
}

std::string runner::lifeName() const
{
    return m_options.name + ", life " + std::to_string(m_life);
}

void runner::crash()
{
    const std::lock_guard lock(m_mutex);
    advance();
    m_isDown = true;
    m_log.write(lifeName() + ": crashes with " + std::to_string(m_runs.size()) + " runs");
    m_runs.clear();
    m_ends.clear();
    m_ledger.forgetUnseen(lifeName());
    m_server.close();
}

void runner::restart()
{
    const std::lock_guard lock(m_mutex);
    ++m_life;
    m_isDown = false;
    m_startedAt = steady_clock::now();
    m_suspendedTime = steady_clock::duration(0);
    m_born = duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                     .count();
    m_fence = 0;
    m_heldUntilMs = 0;
    m_advancedAtMs = clockMs();
    m_sequence = 0;
    m_highestRun.clear();
    m_endCount = 0;
    m_log.write(lifeName() + ": starts again under the same id");
    m_server.open();
}

std::int64_t runner::clockMs() const
{
    const auto now = m_isSuspended ? m_suspendedAt : steady_clock::now();
    return 1000 + duration_cast<milliseconds>(now - m_startedAt - m_suspendedTime).count();
}

void runner::suspend()
{
    const std::lock_guard lock(m_mutex);
    advance();
    m_suspendedAt = steady_clock::now();
    m_isSuspended = true;
}

void runner::resume()
{
    const std::lock_guard lock(m_mutex);
    m_suspendedTime += steady_clock::now() - m_suspendedAt;
    m_isSuspended = false;
}

void runner::setTails(std::int64_t aloneMs, std::int64_t disturbedMs)
{
    const std::lock_guard lock(m_mutex);
    m_aloneTailMs = aloneMs;
    m_disturbedTailMs = disturbedMs;
}

bool runner::runs(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    return m_runs.contains(task);
}

bool runner::hasStarted(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    return m_hasDone.contains(task);
}

bool runner::isDone(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_hasDone.find(task);
    return found != m_hasDone.end() && found->second;
}

std::optional<int> runner::percentOf(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? std::nullopt : std::optional(found->second.percent);
}

void runner::advance()
{
    if (m_isSuspended || m_isDown)
        return;
    const auto nowMs = clockMs();
    const auto passedMs = static_cast<double>(nowMs - std::exchange(m_advancedAtMs, nowMs));
    const auto running = m_runs;
    for (const auto &[task, run] : running) {
        auto &active = m_runs.at(task);
        active.doneMs += passedMs * active.percent / 100;
        const auto failsAfterMs = static_cast<double>(active.work.failsAfterMs);
        if (failsAfterMs > 0 && active.doneMs >= failsAfterMs)
            end(task, "failed");
        else if (!active.work.isLongRunning
                 && active.doneMs >= static_cast<double>(active.work.workMs))
            end(task, "done");
        else if (m_heldUntilMs < nowMs)
            end(task, "lapsed");
    }
}

void runner::end(const std::string &task, const char *how)
{
    const auto number = m_runs.at(task).number;
    m_runs.erase(task);
    m_highestRun[task] = std::max(m_highestRun[task], number);
    m_hasDone[task] = m_hasDone[task] || std::string(how) == "done";
    ++m_endCount;
    if (std::string(how) == "done")
        m_ledger.noteDone(lifeName(), m_endCount, task);
    if (std::string(how) == "lapsed")
        m_ledger.forgetUnseen(lifeName());
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(m_endCount));
    row.append(task);
    row.append(number);
    row.append(how);
    row.append("");
    m_ends.push_back(row);
    m_log.write(m_options.name + ": run " + std::to_string(number) + " of " + task
                + " ends: " + how);
}

std::int64_t runner::tailMs() const
{
    const bool isDisturbed = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &other) {
        return other.second.work.fills && other.second.percent > 0;
    });
    return isDisturbed ? m_disturbedTailMs : m_aloneTailMs;
}

Json::Value runner::makeAnswer() const
{
    Json::Value value(Json::objectValue);
    value["clock-ms"] = Json::Int64(clockMs());
    value["born"] = Json::Int64(m_born);
    return value;
}

http_message runner::toAnswer(int status, const Json::Value &body)
{
    http_message answer;
    answer.status = status;
    answer.body = toText(body);
    return answer;
}

http_message runner::refuse(Json::Value body, const char *reason)
{
    body["reason"] = reason;
    return toAnswer(409, body);
}

std::optional<http_message> runner::serve(const http_message &request)
{
    int life = 0;
    while (life == 0) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isDown)
                return std::nullopt;
            if (!m_isSuspended)
                life = m_life;
        }
        if (life == 0)
            std::this_thread::sleep_for(AdvanceInterval);
    }
    // A call that another life of the runner received is never carried out.
    const auto isOver = [this, life] { return m_isDown || m_life != life; };
    const auto body = fromText(request.body);
    const auto expected = request.headers.find("expect-instance");
    const auto id = expected == request.headers.end() ? m_options.name : expected->second;
    if (const auto late = m_options.fault(request.target, body)) {
        std::thread([this, target = request.target, body, id, delay = late->delay, isOver] {
            std::this_thread::sleep_for(delay);
            {
                const std::lock_guard lock(m_mutex);
                if (isOver())
                    return;
            }
            const auto answer = carryOut(target, body, id);
            m_log.write(m_options.name + ": carries out late, after "
                        + std::to_string(delay.count()) + " ms: " + target + " " + toText(body)
                        + " -> " + std::to_string(answer.status));
        }).detach();
        m_log.write(m_options.name + ": gives no answer to " + request.target + " " + toText(body));
        std::this_thread::sleep_for(std::chrono::seconds(30));
        return std::nullopt;
    }
    if (request.target != "/-/hold")
        return carryOut(request.target, body, id);
    // The answer waits for an end.
    auto answer = carryOut(request.target, body, id);
    const auto deadline = steady_clock::now()
                          + milliseconds(std::min<std::int64_t>(2000, body["wait-ms"].asInt64()));
    while (answer.status == 200 && steady_clock::now() < deadline) {
        {
            const std::lock_guard lock(m_mutex);
            if (isOver())
                return std::nullopt;
            if (!m_ends.empty())
                break;
        }
        std::this_thread::sleep_for(AdvanceInterval);
    }
    const std::lock_guard lock(m_mutex);
    if (isOver())
        return std::nullopt;
    return answer.status == 200 ? listing() : answer;
}

http_message runner::carryOut(const std::string &path, const Json::Value &body,
                              const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    advance();
    if (id != m_options.name)
        return toAnswer(421, makeAnswer());
    if (body["fence"].asInt64() < m_fence)
        return refuse(makeAnswer(), "fence");
    m_fence = body["fence"].asInt64();
    const auto task = body["task"].asString();
    const auto number = body["run"].asInt();
    const auto active = m_runs.find(task);
    const bool isActive = active != m_runs.end() && active->second.number == number;
    if (path == "/-/run-start")
        return start(body);
    if (path == "/-/hold")
        return hold(body);
    if (path == "/-/run-stop") {
        m_highestRun[task] = std::max(m_highestRun[task], number);
        if (isActive)
            end(task, "stopped");
        return toAnswer(200, makeAnswer());
    }
    if (path == "/-/pace" && isActive) {
        active->second.percent = body["percent"].asInt();
        m_log.write(m_options.name + ": " + task + " works at "
                    + std::to_string(active->second.percent) + "%");
        return toAnswer(200, makeAnswer());
    }
    return toAnswer(400, makeAnswer());
}

void runner::extendHold(const Json::Value &body)
{
    if (!body.isMember("deadline-ms"))
        return;
    const auto untilMs = std::min(body["deadline-ms"].asInt64(), clockMs() + MaxHoldMs);
    m_heldUntilMs = std::max(m_heldUntilMs, untilMs);
}

http_message runner::start(const Json::Value &body)
{
    const auto task = body["task"].asString();
    const auto number = body["run"].asInt();
    if (body["deadline-ms"].asInt64() < clockMs())
        return refuse(makeAnswer(), "late");
    extendHold(body);
    const auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.number == number)
        return toAnswer(200, makeAnswer());
    if (active != m_runs.end() || number <= m_highestRun[task])
        return refuse(makeAnswer(), "old");
    m_ledger.noteStart(task, number, m_options.name);
    m_runs[task] = {number, workFrom(body["spec"].asString()), 0, 100};
    m_hasDone.try_emplace(task, false);
    m_log.write(m_options.name + ": run " + std::to_string(number) + " of " + task + " starts");
    return toAnswer(200, makeAnswer());
}

http_message runner::hold(const Json::Value &body)
{
    extendHold(body);
    m_ledger.noteSeen(lifeName(), body["last-seen"].asInt64());
    std::erase_if(m_ends, [&](const Json::Value &row) {
        return row[0].asInt64() <= body["last-seen"].asInt64();
    });
    return listing();
}

http_message runner::listing()
{
    advance();
    auto value = makeAnswer();
    value["running"] = Json::Value(Json::arrayValue);
    value["ended"] = Json::Value(Json::arrayValue);
    for (const auto &[task, run] : m_runs) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(run.number);
        row.append("");
        row.append(run.percent);
        row.append(
                Json::Int64(run.work.fills ? run.work.millicores * run.percent / 100 : tailMs()));
        value["running"].append(row);
    }
    for (const auto &row : m_ends)
        value["ended"].append(row);
    return toAnswer(200, value);
}

// The first check-in of each life comes at any moment of the interval.
void runner::checkIn()
{
    std::mt19937 random(static_cast<unsigned>(std::hash<std::string>()(m_options.name)));
    std::uniform_int_distribution<std::int64_t> phase(0, CheckInInterval.count());
    int life = 0;
    while (true) {
        if (std::exchange(life, lifeNumber()) != lifeNumber())
            std::this_thread::sleep_for(milliseconds(phase(random)));
        const bool isAcknowledged = checkInOnce();
        waitInLife(life, isAcknowledged ? CheckInInterval : CheckInRetry);
    }
}

int runner::lifeNumber()
{
    const std::lock_guard lock(m_mutex);
    return m_life;
}

// Returns early when the next life begins.
void runner::waitInLife(int life, milliseconds time)
{
    const auto deadline = steady_clock::now() + time;
    while (lifeNumber() == life && steady_clock::now() < deadline)
        std::this_thread::sleep_for(AdvanceInterval);
}

bool runner::checkInOnce()
{
    http_message request;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isSuspended || m_isDown)
            return false;
        Json::Value body(Json::objectValue);
        body["service"] = "tickets";
        body["address"] = toText(m_options.listen);
        body["zone"] = "kartli-a";
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = "ready";
        body["cold-remaining-ms"] = 0;
        body["capacity"]["cpu"] = Json::Int64(m_options.millicores);
        body["capacity"]["mem-mb"] = Json::Int64(m_options.memoryMb);
        body["capacity"]["gpu"] = 0;
        body["labels"].append("a");
        body["labels"].append("r1-1");
        body["clock-ms"] = Json::Int64(clockMs());
        body["born"] = Json::Int64(m_born);
        body["seq"] = Json::Int64(++m_sequence);
        request.method = "POST";
        request.target = "/-/instances/" + m_options.name + "/heartbeat";
        request.body = toText(body);
    }
    return call(m_options.agent, request, milliseconds(1000)).has_value();
}

} // namespace review
