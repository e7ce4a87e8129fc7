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
#include "net/http_caller.h"
#include "net/http_listener.h"
#include "platform/store_wire.h"

namespace zinniabarrow::standins {

namespace {

using net::responder;
using net::suspendAwareNow;

http_response json(int status, const Json::Value &value)
{
    return {status, {}, compactJson(value)};
}

std::int64_t clockMs()
{
    return std::chrono::duration_cast<milliseconds>(suspendAwareNow().time_since_epoch()).count();
}

// What all workers have seen together; a lock, since tests read it from their own thread.
struct site_record
{
    mutable std::mutex mutex;
    int starts = 0;
    int done = 0;
    std::map<std::string, std::string> runningAt; // task to worker
    std::set<std::string> ended;                  // tasks that were done
    std::vector<std::string> violations;
    std::map<std::string, std::int64_t> leaseEpochs;
    std::set<std::string> cancels; // jobs that agents read as cancelled
};

// Longer than an agent needs to find its worker gone.
constexpr milliseconds HoldLeaseAnswers{800};

std::string nameOfWorker(std::size_t index)
{
    return "i-" + std::to_string(index);
}

class store_standin
{
public:
    http_response serve(const http_request &request, bool &loseAnswer)
    {
        if (m_turnAway)
            return {503, {}, ""};
        if (request.path() == "/-/rows-tx")
            return commit(parseJson(request.body), loseAnswer);
        if (request.path() == "/-/rows-get")
            return read(request);
        return feed(request);
    }

    void loseAnswers(int writes) { m_loseAnswers = writes; }
    void turnAway(bool all) { m_turnAway = all; }
    bool feedIsDue(const http_request &request) const { return !changes(request).empty(); }

private:
    static std::string nameOf(const Json::Value &row)
    {
        return row["table"].asString() + "|" + row["part"].asString() + "|" + row["key"].asString();
    }

    http_response commit(const Json::Value &body, bool &loseAnswer)
    {
        Json::Value answer(Json::objectValue);
        answer["rows"] = Json::Value(Json::arrayValue);
        bool holds = true;
        for (const auto &expected : body["expected-rev"]) {
            const auto found = m_rows.find(nameOf(expected));
            const auto version = found == m_rows.end() ? 0 : found->second["ver"].asInt64();
            holds = holds && version == expected["ver"].asInt64();
            if (found != m_rows.end())
                answer["rows"].append(found->second);
        }
        if (!holds)
            return json(412, answer);
        ++m_version;
        for (auto row : body["set-keys"]) {
            row["ver"] = Json::Int64(m_version);
            m_rows[nameOf(row)] = row;
            m_removed.erase(nameOf(row));
        }
        for (auto row : body["remove"]) {
            row["ver"] = Json::Int64(m_version);
            row["removed"] = true;
            m_rows.erase(nameOf(row));
            m_removed[nameOf(row)] = row;
        }
        loseAnswer = m_loseAnswers > 0 && m_loseAnswers-- > 0;
        return json(200, versioned());
    }

    Json::Value versioned() const
    {
        Json::Value value(Json::objectValue);
        value["ver"] = Json::Int64(m_version);
        value["now-ms"] = Json::Int64(clockMs());
        return value;
    }

    http_response read(const http_request &request) const
    {
        auto answer = versioned();
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
        return json(200, answer);
    }

    http_response feed(const http_request &request) const
    {
        auto answer = versioned();
        answer["rows"] = changes(request);
        return json(200, answer);
    }

    Json::Value changes(const http_request &request) const
    {
        const auto prefix = request.query("table") + "|";
        const auto after = std::stoll(request.query("after"));
        Json::Value rows(Json::arrayValue);
        for (const auto *kept : {&m_rows, &m_removed}) {
            for (const auto &[name, row] : *kept) {
                if (name.starts_with(prefix) && row["ver"].asInt64() > after)
                    rows.append(row);
            }
        }
        return rows;
    }

    std::map<std::string, Json::Value> m_rows;
    std::map<std::string, Json::Value> m_removed; // the feed tells them
    std::int64_t m_version = 1;
    int m_loseAnswers = 0;
    bool m_turnAway = false;
};

class worker_standin
{
public:
    worker_standin(std::string id, std::int64_t millicores, site_record &record)
        : m_id(std::move(id))
        , m_millicores(millicores)
        , m_record(record)
    { }

    http_response serve(const http_request &request, milliseconds work)
    {
        expire();
        const auto body = parseJson(request.body);
        if (body["fence"].asInt64() < m_fence)
            return refusal("fence");
        m_fence = body["fence"].asInt64();
        if (body.isMember("deadline-ms"))
            m_heldUntil = std::max(m_heldUntil, body["deadline-ms"].asInt64());
        if (request.path() == "/-/run-start")
            return start(body, work);
        if (request.path() == "/-/run-stop")
            return stop(body);
        return look(body["last-seen"].asInt64());
    }

    // Runs whose work is over, and all of them once the lease is.
    void expire()
    {
        const auto running = m_running;
        for (const auto &[task, state] : running) {
            if (state.endsAt <= clockMs())
                end(task, "done");
            else if (m_heldUntil < clockMs())
                end(task, "lapsed");
        }
    }

    // Its process is gone, and all that ran in it.
    void depart()
    {
        gone = true;
        m_running.clear();
        const std::lock_guard lock(m_record.mutex);
        std::erase_if(m_record.runningAt, [&](const auto &at) { return at.second == m_id; });
    }

    void comeBack()
    {
        gone = false;
        tellsBirth = false;
        m_born = clockMs();
        m_fence = 0;
        m_heldUntil = 0;
    }

    bool silent = false;
    bool gone = false;
    bool tellsBirth = true; // in its announcements
    std::string id() const { return m_id; }
    std::int64_t born() const { return m_born; }
    std::int64_t millicores() const { return m_millicores; }

private:
    struct run
    {
        int number = 0;
        std::int64_t endsAt = 0;
    };

    static Json::Value clocked()
    {
        Json::Value value(Json::objectValue);
        value["clock-ms"] = Json::Int64(clockMs());
        return value;
    }

    static http_response refusal(const char *reason)
    {
        auto value = clocked();
        value["reason"] = reason;
        return json(409, value);
    }

    http_response start(const Json::Value &body, milliseconds work)
    {
        const auto task = body["task"].asString();
        const auto number = body["run"].asInt();
        if (body["deadline-ms"].asInt64() < clockMs())
            return refusal("late");
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.number == number)
            return json(200, clocked());
        if (number <= m_highest[task])
            return refusal("old");
        note(task);
        m_running[task] = {number, clockMs() + work.count()};
        return json(200, clocked());
    }

    void note(const std::string &task)
    {
        const std::lock_guard lock(m_record.mutex);
        ++m_record.starts;
        const auto elsewhere = m_record.runningAt.find(task);
        if (elsewhere != m_record.runningAt.end())
            m_record.violations.push_back(
                    fmt::format("{} starts on {} and runs on {}", task, m_id, elsewhere->second));
        if (m_record.ended.contains(task))
            m_record.violations.push_back(task + " starts again after it was done");
        if (static_cast<std::int64_t>(m_running.size() + 1) * 1000 > m_millicores)
            m_record.violations.push_back(m_id + " is given more than it holds");
        m_record.runningAt[task] = m_id;
    }

    http_response stop(const Json::Value &body)
    {
        const auto task = body["task"].asString();
        if (m_running.contains(task))
            end(task, "stopped");
        m_highest[task] = std::max(m_highest[task], body["run"].asInt());
        return json(200, clocked());
    }

    void end(const std::string &task, const char *how)
    {
        const auto number = m_running.at(task).number;
        m_running.erase(task);
        m_highest[task] = std::max(m_highest[task], number);
        Json::Value row(Json::arrayValue);
        row.append(++m_ends);
        row.append(task);
        row.append(number);
        row.append(how);
        row.append("");
        m_ended.push_back(row);
        const std::lock_guard lock(m_record.mutex);
        m_record.runningAt.erase(task);
        if (std::string_view(how) != "done")
            return;
        ++m_record.done;
        m_record.ended.insert(task);
    }

    http_response look(std::int64_t lastSeen)
    {
        std::erase_if(m_ended, [&](const auto &row) { return row[0].asInt64() <= lastSeen; });
        auto value = clocked();
        value["born"] = Json::Int64(m_born);
        value["running"] = Json::Value(Json::arrayValue);
        value["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, state] : m_running) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(state.number);
            row.append("");
            row.append(100);
            row.append(0);
            value["running"].append(row);
        }
        for (const auto &row : m_ended)
            value["ended"].append(row);
        return json(200, value);
    }

    std::string m_id;
    std::int64_t m_millicores;
    site_record &m_record;
    std::int64_t m_born = clockMs();
    std::int64_t m_fence = 0;
    std::int64_t m_heldUntil = 0;
    std::map<std::string, run> m_running;
    std::map<std::string, int> m_highest;
    std::vector<Json::Value> m_ended;
    int m_ends = 0;
};

} // namespace

struct job_site::impl
{
    explicit impl(const job_site_options &options)
        : work(options.work)
        , caller(loop)
    {
        listeners.push_back(std::make_unique<net::http_listener>(
                loop, options.store, net::listener_limits{},
                [this](const http_request &request, responder respond) {
                    serveStore(request, std::move(respond), 20);
                }));
        for (std::size_t index = 0; index < options.workers.size(); ++index) {
            workers.push_back(std::make_unique<worker_standin>(nameOfWorker(index),
                                                               options.millicores, record));
            auto *worker = workers.back().get();
            addresses.push_back(options.workers[index]);
            listeners.push_back(listenFor(index));
            const auto agent = toText(options.agents[index]);
            loop.runEvery(milliseconds(200), [this, worker, agent] {
                worker->expire();
                if (!worker->silent && !worker->gone)
                    announce(*worker, agent);
            });
            agents.push_back(agent);
        }
        thread = std::thread([this] {
            loop.run([this](const std::exception &problem) {
                const std::lock_guard lock(record.mutex);
                record.violations.emplace_back(problem.what());
            });
        });
    }

    ~impl()
    {
        loop.post([this] { loop.stop(); });
        thread.join();
    }

    std::unique_ptr<net::http_listener> listenFor(std::size_t index)
    {
        auto *worker = workers.at(index).get();
        return std::make_unique<net::http_listener>(
                loop, addresses.at(index), net::listener_limits{},
                [this, worker](const http_request &request, const responder &respond) {
                    if (!worker->silent && !worker->gone)
                        respond(worker->serve(request, work));
                });
    }

    // A feed waits for a change, in steps of 50 ms.
    void serveStore(const http_request &request, responder respond, int stepsLeft)
    {
        const bool waits =
                request.path() == "/-/rows-feed" && stepsLeft > 0 && !store.feedIsDue(request);
        if (waits) {
            loop.runAfter(milliseconds(50), [this, request, respond, stepsLeft] {
                serveStore(request, respond, stepsLeft - 1);
            });
            return;
        }
        bool loseAnswer = false;
        auto answer = store.serve(request, loseAnswer);
        const auto lease = leaseIn(request);
        if (lease && answer.status == 200)
            noteLease(*lease);
        if (request.path() == "/-/rows-tx" && answer.status == 200)
            noteCancels(request);
        if (lease && lease->key == departingLease) {
            departingLease.clear();
            heldLease = lease->key;
            heldUntil = suspendAwareNow() + HoldLeaseAnswers;
            depart(departing);
        }
        if (loseAnswer)
            return;
        const auto now = suspendAwareNow();
        if (lease && lease->key == heldLease && now < heldUntil) {
            loop.runAfter(heldUntil - now, [respond = std::move(respond),
                                            answer = std::move(answer)] { respond(answer); });
            return;
        }
        respond(std::move(answer));
    }

    // The row of a lease that a call writes.
    struct written_lease
    {
        std::string key;
        std::int64_t epoch = 0;
    };

    static std::optional<written_lease> leaseIn(const http_request &request)
    {
        if (request.path() != "/-/rows-tx")
            return std::nullopt;
        Json::Value rows(Json::objectValue);
        rows["rows"] = parseJson(request.body)["set-keys"];
        rows["more-pages"] = false;
        rows["ver"] = 0;
        const auto page = platform_wire::rowsResult(json(200, rows));
        if (!page || page->rows.empty() || page->rows.front().name.table != LeasesTable)
            return std::nullopt;
        const auto &lease = page->rows.front();
        return written_lease{lease.name.key, jobs::leaseFrom(lease.value).epoch};
    }

    void noteLease(const written_lease &lease)
    {
        const std::lock_guard lock(record.mutex);
        record.leaseEpochs[lease.key] = lease.epoch;
    }

    void noteCancels(const http_request &request)
    {
        const auto body = parseJson(request.body);
        const std::lock_guard lock(record.mutex);
        for (const auto &row : body["set-keys"]) {
            if (row["table"].asString() == CancelsTable)
                record.cancels.insert(row["key"].asString());
        }
    }

    void depart(std::size_t index)
    {
        auto &worker = *workers.at(index);
        worker.depart();
        listeners.at(1 + index).reset();
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + worker.id() + "/deregister";
        request.body = "{}";
        caller.call(agents.at(index), std::move(request), milliseconds(500),
                    [](const call_result & /*an agent that is down looks for itself*/) {});
    }

    // It has gone, and its last announcement comes in after its departure.
    void departOvertaken(std::size_t index)
    {
        depart(index);
        loop.runAfter(milliseconds(50),
                      [this, index] { announce(*workers.at(index), agents.at(index)); });
    }

    void comeBack(std::size_t index)
    {
        workers.at(index)->comeBack();
        announced.erase(workers.at(index)->id());
        listeners.at(1 + index) = listenFor(index);
    }

    void announce(const worker_standin &worker, const std::string &agent)
    {
        Json::Value body(Json::objectValue);
        body["service"] = "tickets";
        body["address"] = "127.0.0.1:1";
        body["zone"] = "kartli-a";
        body["state"] = "ready";
        if (worker.tellsBirth)
            body["born"] = Json::Int64(worker.born());
        body["seq"] = ++announced[worker.id()];
        body["capacity"]["cpu"] = Json::Int64(worker.millicores());
        body["capacity"]["mem-mb"] = 64'000;
        body["labels"].append("a");
        body["labels"].append("r1");
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + worker.id() + "/heartbeat";
        request.body = compactJson(body);
        caller.call(agent, std::move(request), milliseconds(500),
                    [](const call_result & /*an agent that is down hears the next one*/) {});
    }

    net::event_loop loop;
    milliseconds work;
    net::http_caller caller;
    site_record record;
    store_standin store;
    std::vector<std::unique_ptr<worker_standin>> workers;
    std::vector<std::unique_ptr<net::http_listener>> listeners;
    std::vector<socket_address> addresses; // where each worker listens
    std::vector<std::string> agents;       // where each worker announces itself
    std::map<std::string, int> announced;  // times, by worker, in its present life
    std::size_t departing = 0;             // worker that goes
    std::string departingLease;            // when this lease is written next; empty: none does
    std::string heldLease;                 // answers to writes of it are held,
    time_point heldUntil{};                // until then
    std::thread thread;
};

job_site::job_site(const job_site_options &options)
    : m_impl(std::make_unique<impl>(options))
{ }

job_site::~job_site() = default;

void job_site::loseAnswers(int writes)
{
    m_impl->loop.post([this, writes] { m_impl->store.loseAnswers(writes); });
}

void job_site::turnAway(bool all)
{
    m_impl->loop.post([this, all] { m_impl->store.turnAway(all); });
}

void job_site::silence(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->workers.at(worker)->silent = true; });
}

void job_site::depart(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->depart(worker); });
}

void job_site::comeBack(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->comeBack(worker); });
}

void job_site::departOvertaken(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->departOvertaken(worker); });
}

void job_site::departAtRenewal(std::size_t worker, const std::string &lease)
{
    m_impl->loop.post([this, worker, lease] {
        m_impl->departing = worker;
        m_impl->departingLease = lease;
    });
}

bool job_site::agentsReadCancelOf(const std::string &job) const
{
    const std::lock_guard lock(m_impl->record.mutex);
    return m_impl->record.cancels.contains(job);
}

std::int64_t job_site::leaseEpoch(const std::string &lease) const
{
    const std::lock_guard lock(m_impl->record.mutex);
    const auto found = m_impl->record.leaseEpochs.find(lease);
    return found == m_impl->record.leaseEpochs.end() ? 0 : found->second;
}

void job_site::workLasts(milliseconds work)
{
    m_impl->loop.post([this, work] { m_impl->work = work; });
}

int job_site::starts() const
{
    const std::lock_guard lock(m_impl->record.mutex);
    return m_impl->record.starts;
}

int job_site::runsOn(std::size_t worker) const
{
    const std::lock_guard lock(m_impl->record.mutex);
    const auto &runs = m_impl->record.runningAt;
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto &run) {
        return run.second == nameOfWorker(worker);
    }));
}

std::size_t job_site::busiestWorker() const
{
    std::size_t busiest = 0;
    for (std::size_t index = 0; index < m_impl->workers.size(); ++index) {
        if (runsOn(index) > runsOn(busiest))
            busiest = index;
    }
    return busiest;
}

int job_site::done() const
{
    const std::lock_guard lock(m_impl->record.mutex);
    return m_impl->record.done;
}

std::vector<std::string> job_site::violations() const
{
    const std::lock_guard lock(m_impl->record.mutex);
    return m_impl->record.violations;
}

} // namespace zinniabarrow::standins
