#include "standins/job_platform.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <fmt/core.h>

#include "app/job_tables.h"
#include "base/json.h"
#include "base/json_member.h"
#include "jobs/lease.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "platform/store_wire.h"

namespace zinniabarrow::standins {

namespace {

using net::responder;
using net::suspendAwareNow;

http_response jsonResponse(int status, const Json::Value &value)
{
    return {status, {}, compactJson(value)};
}

std::int64_t clockMs()
{
    return std::chrono::duration_cast<milliseconds>(suspendAwareNow().time_since_epoch()).count();
}

// What all workers have done. Guarded by `mutex`, since tests read it from another thread.
struct run_history
{
    mutable std::mutex mutex;
    int startedRuns = 0;
    int doneRuns = 0;
    std::map<std::string, std::string> workerByTask; // running tasks
    std::set<std::string> doneTasks;                 // tasks with a completed run
    std::vector<std::string> violations;
    std::map<std::string, std::int64_t> epochByLease;
    std::set<std::string> cancelledJobs; // jobs whose cancel row was written
};

// Longer than an agent needs to detect that its worker is gone.
constexpr milliseconds LeaseAnswerDelay{800};

std::string workerName(std::size_t index)
{
    return "i-" + std::to_string(index);
}

class store_standin
{
public:
    http_response serve(const http_request &request, bool &loseAnswer)
    {
        if (m_isUnavailable)
            return {503, {}, ""};
        if (request.path() == "/-/rows-tx")
            return commit(parseJson(request.body), loseAnswer);
        if (request.path() == "/-/rows-get")
            return read(request);
        return feed(request);
    }

    void setLostAnswers(int writeCount) { m_answersToLose = writeCount; }
    void setUnavailable(bool isUnavailable) { m_isUnavailable = isUnavailable; }
    bool hasChangesFor(const http_request &request) const { return !changes(request).empty(); }

private:
    static std::string rowKeyOf(const Json::Value &row)
    {
        return row["table"].asString() + "|" + row["part"].asString() + "|" + row["key"].asString();
    }

    http_response commit(const Json::Value &body, bool &loseAnswer)
    {
        Json::Value answer(Json::objectValue);
        answer["rows"] = Json::Value(Json::arrayValue);
        bool isExpected = true;
        for (const auto &expected : body["expected-rev"]) {
            const auto found = m_rows.find(rowKeyOf(expected));
            const auto version = found == m_rows.end() ? 0 : found->second["ver"].asInt64();
            isExpected = isExpected && version == expected["ver"].asInt64();
            if (found != m_rows.end())
                answer["rows"].append(found->second);
        }
        if (!isExpected)
            return jsonResponse(412, answer);
        ++m_version;
        for (auto row : body["set-keys"]) {
            row["ver"] = Json::Int64(m_version);
            m_rows[rowKeyOf(row)] = row;
            m_removedRows.erase(rowKeyOf(row));
        }
        for (auto row : body["remove"]) {
            row["ver"] = Json::Int64(m_version);
            row["removed"] = true;
            m_rows.erase(rowKeyOf(row));
            m_removedRows[rowKeyOf(row)] = row;
        }
        loseAnswer = m_answersToLose > 0 && m_answersToLose-- > 0;
        return jsonResponse(200, makeVersionedAnswer());
    }

    Json::Value makeVersionedAnswer() const
    {
        Json::Value value(Json::objectValue);
        value["ver"] = Json::Int64(m_version);
        value["now-ms"] = Json::Int64(clockMs());
        return value;
    }

    http_response read(const http_request &request) const
    {
        auto answer = makeVersionedAnswer();
        answer["rows"] = Json::Value(Json::arrayValue);
        answer["more-pages"] = false;
        const auto prefix = request.query("table") + "|" + request.query("part") + "|";
        auto to = request.query("to");
        if (to.ends_with("%01"))
            to = to.substr(0, to.size() - 3) + "\x01";
        for (const auto &[name, row] : m_rows) {
            const auto key = row["key"].asString();
            if (!name.starts_with(prefix) || key < request.query("from"))
                continue;
            if (to.empty() || key < to)
                answer["rows"].append(row);
        }
        return jsonResponse(200, answer);
    }

    http_response feed(const http_request &request) const
    {
        auto answer = makeVersionedAnswer();
        answer["rows"] = changes(request);
        return jsonResponse(200, answer);
    }

    Json::Value changes(const http_request &request) const
    {
        const auto prefix = request.query("table") + "|";
        const auto after = std::stoll(request.query("after"));
        Json::Value rows(Json::arrayValue);
        for (const auto *rowsByKey : {&m_rows, &m_removedRows}) {
            for (const auto &[name, row] : *rowsByKey) {
                if (name.starts_with(prefix) && row["ver"].asInt64() > after)
                    rows.append(row);
            }
        }
        return rows;
    }

    std::map<std::string, Json::Value> m_rows;
    std::map<std::string, Json::Value> m_removedRows; // reported by the feed
    std::int64_t m_version = 1;
    int m_answersToLose = 0;
    bool m_isUnavailable = false;
};

class worker_standin
{
public:
    worker_standin(std::string id, std::int64_t millicores, run_history &runHistory)
        : m_id(std::move(id))
        , m_millicores(millicores)
        , m_history(runHistory)
    { }

    http_response serve(const http_request &request, milliseconds taskTime)
    {
        endDueRuns();
        const auto body = parseJson(request.body);
        if (body["fence"].asInt64() < m_fence)
            return refuse("fence");
        m_fence = body["fence"].asInt64();
        if (body.isMember("deadline-ms"))
            m_leaseEndMs = std::max(m_leaseEndMs, body["deadline-ms"].asInt64());
        if (request.path() == "/-/run-start")
            return start(body, taskTime);
        if (request.path() == "/-/run-stop")
            return stop(body);
        return makeListing(body["last-seen"].asInt64());
    }

    // Ends the runs whose work is done, and all runs when the lease has expired.
    void endDueRuns()
    {
        const auto running = m_runsByTask;
        for (const auto &[task, state] : running) {
            if (state.workEndsAtMs <= clockMs())
                end(task, "done");
            else if (m_leaseEndMs < clockMs())
                end(task, "lapsed");
        }
    }

    // Drops all runs without recording ends, as when the process is killed.
    void terminate()
    {
        isTerminated = true;
        m_runsByTask.clear();
        const std::lock_guard lock(m_history.mutex);
        std::erase_if(m_history.workerByTask,
                      [&](const auto &taskAndWorker) { return taskAndWorker.second == m_id; });
    }

    void restart()
    {
        isTerminated = false;
        announcesStart = false;
        m_startTimeMs = clockMs();
        m_fence = 0;
        m_leaseEndMs = 0;
    }

    bool isUnresponsive = false;
    bool isTerminated = false;
    bool announcesStart = true; // includes its start time in heartbeats
    std::string id() const { return m_id; }
    std::int64_t startTimeMs() const { return m_startTimeMs; }
    std::int64_t millicores() const { return m_millicores; }

private:
    struct run
    {
        int number = 0;
        std::int64_t workEndsAtMs = 0;
    };

    static Json::Value makeClockAnswer()
    {
        Json::Value value(Json::objectValue);
        value["clock-ms"] = Json::Int64(clockMs());
        return value;
    }

    static http_response refuse(const char *reason)
    {
        auto value = makeClockAnswer();
        value["reason"] = reason;
        return jsonResponse(409, value);
    }

    http_response start(const Json::Value &body, milliseconds taskTime)
    {
        const auto task = body["task"].asString();
        const auto number = body["run"].asInt();
        if (body["deadline-ms"].asInt64() < clockMs())
            return refuse("late");
        const auto known = m_runsByTask.find(task);
        if (known != m_runsByTask.end() && known->second.number == number)
            return jsonResponse(200, makeClockAnswer());
        if (number <= m_highestRunByTask[task])
            return refuse("old");
        recordStart(task);
        m_runsByTask[task] = {number, clockMs() + taskTime.count()};
        return jsonResponse(200, makeClockAnswer());
    }

    void recordStart(const std::string &task)
    {
        const std::lock_guard lock(m_history.mutex);
        ++m_history.startedRuns;
        const auto elsewhere = m_history.workerByTask.find(task);
        if (elsewhere != m_history.workerByTask.end())
            m_history.violations.push_back(fmt::format("{} was started on {} while it runs on {}",
                                                       task, m_id, elsewhere->second));
        if (m_history.doneTasks.contains(task))
            m_history.violations.push_back(task + " was started again after it had completed");
        if (static_cast<std::int64_t>(m_runsByTask.size() + 1) * 1000 > m_millicores)
            m_history.violations.push_back(m_id + " was given more than its capacity");
        m_history.workerByTask[task] = m_id;
    }

    http_response stop(const Json::Value &body)
    {
        const auto task = body["task"].asString();
        if (m_runsByTask.contains(task))
            end(task, "stopped");
        m_highestRunByTask[task] = std::max(m_highestRunByTask[task], body["run"].asInt());
        return jsonResponse(200, makeClockAnswer());
    }

    void end(const std::string &task, const char *endKind)
    {
        const auto number = m_runsByTask.at(task).number;
        m_runsByTask.erase(task);
        m_highestRunByTask[task] = std::max(m_highestRunByTask[task], number);
        Json::Value row(Json::arrayValue);
        row.append(++m_lastEndId);
        row.append(task);
        row.append(number);
        row.append(endKind);
        row.append("");
        m_unacknowledgedEnds.push_back(row);
        const std::lock_guard lock(m_history.mutex);
        m_history.workerByTask.erase(task);
        if (std::string_view(endKind) != "done")
            return;
        ++m_history.doneRuns;
        m_history.doneTasks.insert(task);
    }

    http_response makeListing(std::int64_t lastSeen)
    {
        std::erase_if(m_unacknowledgedEnds,
                      [&](const auto &row) { return row[0].asInt64() <= lastSeen; });
        auto value = makeClockAnswer();
        value["born"] = Json::Int64(m_startTimeMs);
        value["running"] = Json::Value(Json::arrayValue);
        value["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, state] : m_runsByTask) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(state.number);
            row.append("");
            row.append(100);
            row.append(0);
            value["running"].append(row);
        }
        for (const auto &row : m_unacknowledgedEnds)
            value["ended"].append(row);
        return jsonResponse(200, value);
    }

    std::string m_id;
    std::int64_t m_millicores;
    run_history &m_history;
    std::int64_t m_startTimeMs = clockMs();
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEndMs = 0;
    std::map<std::string, run> m_runsByTask;
    std::map<std::string, int> m_highestRunByTask;
    std::vector<Json::Value> m_unacknowledgedEnds;
    int m_lastEndId = 0;
};

} // namespace

struct job_platform::impl
{
    explicit impl(const job_platform_options &options)
        : taskTime(options.taskTime)
        , client(loop)
    {
        listeners.push_back(std::make_unique<net::http_listener>(
                loop, options.store, net::listener_limits{},
                [this](const http_request &request, responder reply) {
                    serveStore(request, std::move(reply), 20);
                }));
        for (std::size_t index = 0; index < options.workers.size(); ++index) {
            workerStandins.push_back(std::make_unique<worker_standin>(workerName(index),
                                                                      options.millicores, history));
            auto *worker = workerStandins.back().get();
            workerAddresses.push_back(options.workers[index]);
            listeners.push_back(makeListener(index));
            const auto agent = toText(options.agentAddresses[index]);
            loop.runEvery(milliseconds(200), [this, worker, agent] {
                worker->endDueRuns();
                if (!worker->isUnresponsive && !worker->isTerminated)
                    announce(*worker, agent);
            });
            agentTargets.push_back(agent);
        }
        thread = std::thread([this] {
            loop.run([this](const std::exception &failure) {
                const std::lock_guard lock(history.mutex);
                history.violations.emplace_back(failure.what());
            });
        });
    }

    ~impl()
    {
        loop.post([this] { loop.stop(); });
        thread.join();
    }

    std::unique_ptr<net::http_listener> makeListener(std::size_t index)
    {
        auto *worker = workerStandins.at(index).get();
        return std::make_unique<net::http_listener>(
                loop, workerAddresses.at(index), net::listener_limits{},
                [this, worker](const http_request &request, const responder &reply) {
                    if (!worker->isUnresponsive && !worker->isTerminated)
                        reply(worker->serve(request, taskTime));
                });
    }

    // Holds a feed request until there is a change: checks every 50 ms, `retriesLeft` times at
    // most.
    void serveStore(const http_request &request, responder reply, int retriesLeft)
    {
        const bool shouldWait = request.path() == "/-/rows-feed" && retriesLeft > 0
                                && !store.hasChangesFor(request);
        if (shouldWait) {
            loop.runAfter(milliseconds(50), [this, request, reply, retriesLeft] {
                serveStore(request, reply, retriesLeft - 1);
            });
            return;
        }
        bool loseAnswer = false;
        auto answer = store.serve(request, loseAnswer);
        const auto lease = leaseWrittenBy(request);
        if (lease && answer.status == 200)
            recordLease(*lease);
        if (request.path() == "/-/rows-tx" && answer.status == 200)
            recordCancels(request);
        if (lease && lease->key == triggerLease) {
            triggerLease.clear();
            delayedLease = lease->key;
            delayedUntil = suspendAwareNow() + LeaseAnswerDelay;
            terminateWorker(workerToTerminate);
        }
        if (loseAnswer)
            return;
        const auto now = suspendAwareNow();
        if (lease && lease->key == delayedLease && now < delayedUntil) {
            loop.runAfter(delayedUntil - now, [reply = std::move(reply),
                                               answer = std::move(answer)] { reply(answer); });
            return;
        }
        reply(std::move(answer));
    }

    // A lease row that a request writes.
    struct written_lease
    {
        std::string key;
        std::int64_t epoch = 0;
    };

    static std::optional<written_lease> leaseWrittenBy(const http_request &request)
    {
        if (request.path() != "/-/rows-tx")
            return std::nullopt;
        Json::Value rows(Json::objectValue);
        rows["rows"] = parseJson(request.body)["set-keys"];
        rows["more-pages"] = false;
        rows["ver"] = 0;
        const auto page = platform_wire::parseRowsResult(jsonResponse(200, rows));
        if (!page || page->rows.empty() || page->rows.front().name.table != LeasesTable)
            return std::nullopt;
        const auto &lease = page->rows.front();
        return written_lease{lease.name.key, jobs::leaseFrom(lease.value).epoch};
    }

    void recordLease(const written_lease &lease)
    {
        const std::lock_guard lock(history.mutex);
        history.epochByLease[lease.key] = lease.epoch;
    }

    void recordCancels(const http_request &request)
    {
        const auto body = parseJson(request.body);
        const std::lock_guard lock(history.mutex);
        for (const auto &row : body["set-keys"]) {
            if (row["table"].asString() == CancelsTable)
                history.cancelledJobs.insert(row["key"].asString());
        }
    }

    void terminateWorker(std::size_t index)
    {
        auto &worker = *workerStandins.at(index);
        worker.terminate();
        listeners.at(1 + index).reset();
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + worker.id() + "/deregister";
        request.body = "{}";
        // The result is ignored: an agent that is down detects the loss by polling.
        client.call(agentTargets.at(index), std::move(request), milliseconds(500),
                    [](const call_result & /*result*/) {});
    }

    // Sends a heartbeat 50 ms after the deregistration.
    void terminateBeforeAnnouncement(std::size_t index)
    {
        terminateWorker(index);
        loop.runAfter(milliseconds(50), [this, index] {
            announce(*workerStandins.at(index), agentTargets.at(index));
        });
    }

    void restartWorker(std::size_t index)
    {
        workerStandins.at(index)->restart();
        announcementCounts.erase(workerStandins.at(index)->id());
        listeners.at(1 + index) = makeListener(index);
    }

    void announce(const worker_standin &worker, const std::string &agent)
    {
        Json::Value body(Json::objectValue);
        body["service"] = "tickets";
        body["address"] = "127.0.0.1:1";
        body["zone"] = "kartli-a";
        body["state"] = "ready";
        if (worker.announcesStart)
            body["born"] = Json::Int64(worker.startTimeMs());
        body["seq"] = ++announcementCounts[worker.id()];
        body["capacity"]["cpu"] = Json::Int64(worker.millicores());
        body["capacity"]["mem-mb"] = 64'000;
        body["labels"].append("a");
        body["labels"].append("r1");
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + worker.id() + "/heartbeat";
        request.body = compactJson(body);
        // The result is ignored: an agent that is down receives the next heartbeat.
        client.call(agent, std::move(request), milliseconds(500),
                    [](const call_result & /*result*/) {});
    }

    net::event_loop loop;
    milliseconds taskTime;
    net::http_client client;
    run_history history;
    store_standin store;
    std::vector<std::unique_ptr<worker_standin>> workerStandins;
    std::vector<std::unique_ptr<net::http_listener>> listeners;
    std::vector<socket_address> workerAddresses; // where each worker listens
    std::vector<std::string> agentTargets;       // address of each worker's agent, "ip:port"
    // Heartbeats sent by each worker in its current incarnation.
    std::map<std::string, int> announcementCounts;
    std::size_t workerToTerminate = 0; // its index; terminated when triggerLease is written
    std::string triggerLease;          // key of a lease row; empty: none
    std::string delayedLease;          // key of the lease row whose write answers are delayed
    time_point delayedUntil{};         // end of that delay
    std::thread thread;
};

job_platform::job_platform(const job_platform_options &options)
    : m_impl(std::make_unique<impl>(options))
{ }

job_platform::~job_platform() = default;

void job_platform::loseWriteAnswers(int writeCount)
{
    m_impl->loop.post([this, writeCount] { m_impl->store.setLostAnswers(writeCount); });
}

void job_platform::setStoreUnavailable(bool isUnavailable)
{
    m_impl->loop.post([this, isUnavailable] { m_impl->store.setUnavailable(isUnavailable); });
}

void job_platform::makeUnresponsive(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->workerStandins.at(worker)->isUnresponsive = true; });
}

void job_platform::terminateWorker(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->terminateWorker(worker); });
}

void job_platform::restartWorker(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->restartWorker(worker); });
}

void job_platform::terminateBeforeAnnouncement(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->terminateBeforeAnnouncement(worker); });
}

void job_platform::terminateAtLeaseWrite(std::size_t worker, const std::string &lease)
{
    m_impl->loop.post([this, worker, lease] {
        m_impl->workerToTerminate = worker;
        m_impl->triggerLease = lease;
    });
}

bool job_platform::isCancelStored(const std::string &job) const
{
    const std::lock_guard lock(m_impl->history.mutex);
    return m_impl->history.cancelledJobs.contains(job);
}

std::int64_t job_platform::leaseEpoch(const std::string &lease) const
{
    const std::lock_guard lock(m_impl->history.mutex);
    const auto found = m_impl->history.epochByLease.find(lease);
    return found == m_impl->history.epochByLease.end() ? 0 : found->second;
}

void job_platform::setTaskTime(milliseconds taskTime)
{
    m_impl->loop.post([this, taskTime] { m_impl->taskTime = taskTime; });
}

int job_platform::startCount() const
{
    const std::lock_guard lock(m_impl->history.mutex);
    return m_impl->history.startedRuns;
}

int job_platform::countRunsOn(std::size_t worker) const
{
    const std::lock_guard lock(m_impl->history.mutex);
    const auto &runs = m_impl->history.workerByTask;
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto &run) {
        return run.second == workerName(worker);
    }));
}

std::size_t job_platform::busiestWorker() const
{
    std::size_t busiest = 0;
    for (std::size_t index = 0; index < m_impl->workerStandins.size(); ++index) {
        if (countRunsOn(index) > countRunsOn(busiest))
            busiest = index;
    }
    return busiest;
}

int job_platform::doneCount() const
{
    const std::lock_guard lock(m_impl->history.mutex);
    return m_impl->history.doneRuns;
}

std::vector<std::string> job_platform::violations() const
{
    const std::lock_guard lock(m_impl->history.mutex);
    return m_impl->history.violations;
}

} // namespace zinniabarrow::standins
