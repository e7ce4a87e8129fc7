// A worker's stand-in: runs tasks under leases, starts whatever it is given, reports usage late.
#include <atomic>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/core.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "standins/standin.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds Step{10};

// One attempt of a task, from its start until its end has been forgotten.
struct task_run
{
    std::string task;
    std::uint64_t attempt = 0;
    std::string state = "running"; // running, finished, failed, stopped, lapsed
    std::int64_t millicores = 0;
    std::int64_t bytes = 0;
    std::int64_t accelerators = 0;
    std::int64_t workMs = 0;       // needed in all; 0: runs until stopped
    double doneMs = 0;             // progress, from the checkpoint on
    std::int64_t checkpointMs = 0; // progress at the last checkpoint
    double share = 1;              // of full speed, below 1 when throttled
    time_point leaseUntil{};
};

class worker_standin : public standin
{
public:
    explicit worker_standin(const worker_options &options)
        : m_options(options)
        , m_incarnation(static_cast<std::uint64_t>(
                  std::chrono::system_clock::now().time_since_epoch().count()))
        , m_server(options.address, {64, 4 * 1024 * 1024},
                   [this](const http_request &request) { return serve(request); })
    {
        m_server.start();
        m_runner = std::thread([this] { run(); });
    }

    ~worker_standin() override
    {
        m_stopping = true;
        m_runner.join();
    }

    socket_address address() const override { return m_server.address(); }

private:
    http_response serve(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/fault")
            return setFault(parseJson(request.body));
        if (m_slowMs > 0)
            std::this_thread::sleep_for(milliseconds(m_slowMs));
        if (m_unreachable)
            return {503, {}, "{}"};
        const std::lock_guard lock(m_mutex);
        if (path == "/tasks/start")
            return start(parseJson(request.body));
        if (path == "/tasks/renew")
            return renew(parseJson(request.body));
        if (path == "/tasks/stop")
            return stop(parseJson(request.body));
        if (path == "/tasks/checkpoint")
            return checkpoint(parseJson(request.body));
        if (path == "/tasks/throttle")
            return throttle(parseJson(request.body));
        if (path == "/tasks/forget")
            return forget(parseJson(request.body));
        if (path == "/tasks")
            return listing();
        if (path == "/usage")
            return usage();
        return {404, {}, "{}"};
    }

    http_response setFault(const Json::Value &fault)
    {
        if (fault.isMember("fail_starts"))
            m_failStarts = boolMember(fault, "fail_starts");
        if (fault.isMember("slow_ms"))
            m_slowMs = integerMember(fault, "slow_ms");
        if (fault.isMember("unreachable"))
            m_unreachable = boolMember(fault, "unreachable");
        return {200, {}, compactJson(fault)};
    }

    static std::string keyOf(const Json::Value &body)
    {
        return stringMember(body, "task") + "#" + std::to_string(countMember(body, "attempt"));
    }

    task_run *find(const Json::Value &body)
    {
        const auto found = m_runs.find(keyOf(body));
        return found == m_runs.end() ? nullptr : &found->second;
    }

    // Trace lines go to standard output; the trace checker reads them.
    void trace(const char *event, const task_run &run) const
    {
        Json::Value line(Json::objectValue);
        line["at_ms"] = Json::Int64(
                std::chrono::duration_cast<milliseconds>(monotonic_clock::now().time_since_epoch())
                        .count());
        line["event"] = event;
        line["worker"] = m_options.id;
        line["task"] = run.task;
        line["attempt"] = Json::UInt64(run.attempt);
        line["progress_ms"] = Json::Int64(run.doneMs);
        line["checkpoint_ms"] = Json::Int64(run.checkpointMs);
        line["millicores"] = Json::Int64(run.millicores);
        line["bytes"] = Json::Int64(run.bytes);
        line["accelerators"] = Json::Int64(run.accelerators);
        fmt::print("{}\n", compactJson(line));
        std::fflush(stdout);
    }

    http_response start(const Json::Value &body)
    {
        if (find(body) != nullptr) // the same start twice: one run
            return answer(*find(body));
        task_run run;
        run.task = stringMember(body, "task");
        run.attempt = countMember(body, "attempt");
        run.millicores = integerMember(body, "millicores");
        run.bytes = integerMember(body, "bytes");
        run.accelerators = integerMember(body, "accelerators");
        run.workMs = integerMember(body, "work_ms");
        run.checkpointMs = integerMember(body, "checkpoint_ms");
        run.doneMs = static_cast<double>(run.checkpointMs);
        run.leaseUntil = monotonic_clock::now() + milliseconds(integerMember(body, "lease_ms"));
        if (m_failStarts)
            run.state = "failed";
        trace(m_failStarts ? "failed" : "started", run);
        return answer(m_runs[keyOf(body)] = run);
    }

    http_response renew(const Json::Value &body)
    {
        const auto until = monotonic_clock::now() + milliseconds(integerMember(body, "lease_ms"));
        for (const auto &entry : arrayMember(body, "tasks")) {
            auto *run = find(entry);
            if (run != nullptr && run->state == "running")
                run->leaseUntil = std::max(run->leaseUntil, until);
        }
        return listing();
    }

    http_response stop(const Json::Value &body)
    {
        auto *run = find(body);
        if (run == nullptr)
            return {404, {}, "{}"};
        if (run->state == "running")
            end(*run, "stopped");
        return answer(*run);
    }

    http_response checkpoint(const Json::Value &body)
    {
        auto *run = find(body);
        if (run == nullptr)
            return {404, {}, "{}"};
        if (run->state == "running") {
            run->checkpointMs = static_cast<std::int64_t>(run->doneMs);
            trace("checkpointed", *run);
        }
        return answer(*run);
    }

    http_response throttle(const Json::Value &body)
    {
        auto *run = find(body);
        if (run == nullptr)
            return {404, {}, "{}"};
        run->share = static_cast<double>(integerMember(body, "percent")) / 100;
        return answer(*run);
    }

    http_response forget(const Json::Value &body)
    {
        const auto *run = find(body);
        if (run != nullptr && run->state != "running")
            m_runs.erase(keyOf(body));
        return {200, {}, "{}"};
    }

    static Json::Value runJson(const task_run &run)
    {
        Json::Value json(Json::objectValue);
        json["task"] = run.task;
        json["attempt"] = Json::UInt64(run.attempt);
        json["state"] = run.state;
        json["checkpoint_ms"] = Json::Int64(run.checkpointMs);
        json["progress_ms"] = Json::Int64(run.doneMs);
        return json;
    }

    static http_response answer(const task_run &run)
    {
        return {200, {}, compactJson(runJson(run))};
    }

    http_response listing() const
    {
        Json::Value json(Json::objectValue);
        json["incarnation"] = Json::UInt64(m_incarnation);
        json["tasks"] = Json::Value(Json::arrayValue);
        for (const auto &[key, run] : m_runs)
            json["tasks"].append(runJson(run));
        return {200, {}, compactJson(json)};
    }

    http_response usage() const
    {
        Json::Value empty(Json::objectValue);
        empty["tasks"] = Json::Value(Json::arrayValue);
        return {200, {}, compactJson(m_usage.empty() ? empty : m_usage.front())};
    }

    void end(task_run &run, const char *state)
    {
        run.state = state;
        trace(state, run);
    }

    void run()
    {
        auto last = monotonic_clock::now();
        while (!m_stopping) {
            std::this_thread::sleep_for(Step);
            const auto now = monotonic_clock::now();
            const std::lock_guard lock(m_mutex);
            for (auto &[key, run] : m_runs)
                advance(run, now, now - last);
            sampleUsage();
            last = now;
        }
    }

    void advance(task_run &run, time_point now, duration passed)
    {
        if (run.state != "running")
            return;
        run.doneMs += run.share * static_cast<double>(passed.count()) / 1000;
        if (run.workMs > 0 && run.doneMs >= static_cast<double>(run.workMs))
            end(run, "finished");
        else if (now >= run.leaseUntil)
            end(run, "lapsed");
    }

    void sampleUsage()
    {
        Json::Value sample(Json::objectValue);
        sample["age_ms"] = Json::Int64(m_options.usageLag.count());
        sample["tasks"] = Json::Value(Json::arrayValue);
        for (const auto &[key, run] : m_runs) {
            if (run.state != "running")
                continue;
            auto entry = runJson(run);
            entry["millicores"] = Json::Int64(static_cast<double>(run.millicores) * run.share);
            entry["bytes"] = Json::Int64(run.bytes);
            sample["tasks"].append(std::move(entry));
        }
        m_usage.push_back(std::move(sample));
        while (static_cast<std::int64_t>(m_usage.size()) > m_options.usageLag / Step)
            m_usage.pop_front();
    }

    worker_options m_options;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::map<std::string, task_run> m_runs;
    std::deque<Json::Value> m_usage;
    std::atomic<bool> m_failStarts{false};
    std::atomic<bool> m_unreachable{false};
    std::atomic<long> m_slowMs{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_runner;
    http_server m_server;
};

} // namespace

std::unique_ptr<standin> startWorker(const worker_options &options)
{
    return std::make_unique<worker_standin>(options);
}

} // namespace zinniabarrow::standins
