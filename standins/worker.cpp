// A worker's stand-in: runs tasks under leases, starts whatever it is given, reports usage late.
//
// What docs/design/OWNERSHIP.md asks of a worker is work::worker_tasks.
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
#include "work/messages.h"
#include "work/worker_tasks.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds Step{10};
constexpr milliseconds LongestStep{100}; // on a busy machine
constexpr char ProgressMark = '#';

// One attempt of a task, from its start until it is forgotten.
struct task_run
{
    work::task_attempt attempt;
    Json::Value spec;
    std::int64_t workMs = 0; // needed in all; 0: runs until stopped
    double doneMs = 0;       // progress, from the checkpoint on
    std::string checkpoint;  // object name and progress in ms
    double share = 1;        // of full speed, below 1 when throttled
};

// Rises with every life of the instance.
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

std::int64_t amountOf(const Json::Value &spec, const char *name)
{
    return spec.isMember(name) ? spec[name].asInt64() : 0;
}

// Milliseconds done at a checkpoint; none without one.
double progressIn(const std::string &checkpoint)
{
    const auto mark = checkpoint.rfind(ProgressMark);
    return mark == std::string::npos ? 0 : std::atof(checkpoint.c_str() + mark + 1);
}

// The operators' name of the job, without its generation.
std::string jobNameOf(const work::task_id &task)
{
    return task.job.substr(0, task.job.find('@'));
}

work::task_attempt attemptFrom(const Json::Value &body)
{
    return {work::taskIdFromText(stringMember(body, "task")),
            static_cast<std::uint32_t>(countMember(body, "attempt"))};
}

class worker_standin : public standin
{
public:
    explicit worker_standin(const worker_options &options)
        : m_options(options)
        , m_tasks(newIncarnation())
        , m_server(options.address, {64, 4 * 1024 * 1024},
                   [this](const http_request &request) { return serve(request); })
    {
        traceWorker();
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
        m_pause.wait();
        if (m_slowMs > 0)
            std::this_thread::sleep_for(milliseconds(m_slowMs));
        if (m_unreachable)
            return {503, {}, "{}"};
        const auto answer = carryOut(request, path);
        // The effect stands, the answer is dropped.
        long left = m_loseAnswers;
        while (left > 0 && !m_loseAnswers.compare_exchange_weak(left, left - 1)) { }
        return left > 0 ? http_response{500, {}, ""} : answer;
    }

    http_response carryOut(const http_request &request, const std::string &path)
    {
        const std::lock_guard lock(m_mutex);
        endLapsed(monotonic_clock::now()); // before anything else, also after a pause
        if (path == "/usage")
            return usage();
        if (path == "/noise")
            return noise();
        const auto body = parseJson(request.body);
        if (path == "/list")
            return list(body);
        if (path == "/start")
            return start(body);
        if (path == "/renew")
            return renew(body);
        if (path == "/stop")
            return stop(attemptFrom(body));
        if (path == "/checkpoint")
            return checkpoint(attemptFrom(body), stringMember(body, "checkpoint"));
        if (path == "/throttle")
            return throttle(body);
        if (path == "/forget")
            return forget(attemptFrom(body));
        return {404, {}, "{}"};
    }

    http_response setFault(const Json::Value &fault)
    {
        if (fault.isMember("fail_starts"))
            m_failStarts = boolMember(fault, "fail_starts");
        if (fault.isMember("pause_ms"))
            m_pause.pauseFor(milliseconds(integerMember(fault, "pause_ms")));
        if (fault.isMember("slow_ms"))
            m_slowMs = integerMember(fault, "slow_ms");
        if (fault.isMember("lose_answers"))
            m_loseAnswers = integerMember(fault, "lose_answers");
        if (fault.isMember("unreachable"))
            m_unreachable = boolMember(fault, "unreachable");
        if (fault.isMember("noise")) {
            const std::lock_guard lock(m_mutex);
            m_noiseOf = objectMember(fault, "noise");
        }
        return {200, {}, compactJson(fault)};
    }

    // --- Trace lines go to standard output; the trace checker reads them.

    static void print(Json::Value &line)
    {
        line["at_us"] = Json::Int64(monotonic_clock::now().time_since_epoch().count());
        const auto text = compactJson(line) + "\n";
        // One write for each line: stdio splits a line at the end of its buffer, and a reader then
        // sees half of it, for good when the worker is killed in between.
        if (::write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            throw error(error_kind::Internal, "the trace could not be written whole");
    }

    Json::Value traceSize(const Json::Value &spec) const
    {
        Json::Value size(Json::objectValue);
        size["millicores"] = Json::Int64(amountOf(spec, "millicores"));
        size["memoryBytes"] = Json::Int64(amountOf(spec, "bytes"));
        size["accelerators"] = Json::Int64(amountOf(spec, "accelerators"));
        return size;
    }

    void traceWorker() const
    {
        Json::Value line(Json::objectValue);
        line["event"] = "worker";
        line["worker"] = m_options.id;
        line["size"]["millicores"] = Json::Int64(m_options.millicores);
        line["size"]["memoryBytes"] = Json::Int64(m_options.bytes);
        line["size"]["accelerators"] = Json::Int64(m_options.accelerators);
        print(line);
    }

    void trace(const char *event, const task_run &run, const char *outcome = nullptr) const
    {
        Json::Value line(Json::objectValue);
        line["event"] = event;
        line["worker"] = m_options.id;
        line["task"] = work::textOf(run.attempt.task);
        line["attempt"] = run.attempt.attempt;
        line["size"] = traceSize(run.spec);
        line["checkpoint"] = run.checkpoint;
        if (outcome != nullptr)
            line["outcome"] = outcome;
        print(line);
    }

    // --- What the agent asks for.

    http_response list(const Json::Value &body)
    {
        const auto listing = m_tasks.list({countMember(body, "epoch")}, monotonic_clock::now());
        return {200, {}, compactJson(toJson(listing))};
    }

    http_response start(const Json::Value &body)
    {
        work::worker_start request;
        const auto attempt = attemptFrom(body);
        request.task.task = attempt.task;
        request.task.attempt = attempt.attempt;
        request.task.failover = failoverClassFromName(stringMember(body, "failover"));
        request.task.checkpoint = stringMember(body, "checkpoint");
        request.spec = objectMember(body, "spec");
        request.lease = milliseconds(integerMember(body, "lease_ms"));
        request.startWithin = milliseconds(integerMember(body, "start_within_ms"));
        request.listing = countMember(body, "listing");
        request.incarnation = countMember(body, "incarnation");
        switch (m_tasks.start(request, monotonic_clock::now())) {
        case work::start_result::Started:
            run(request);
            return {200, {}, "{}"};
        case work::start_result::AlreadyRunning:
            return {200, {}, "{}"};
        case work::start_result::TooLate:
            return {410, {}, "{}"}; // the agent decides anew
        case work::start_result::Refused:
            break;
        }
        Json::Value answer(Json::objectValue);
        answer["listing"] = Json::UInt64(m_tasks.newestListing());
        return {409, {}, compactJson(answer)};
    }

    void run(const work::worker_start &request)
    {
        task_run run;
        run.attempt = {request.task.task, request.task.attempt};
        run.spec = request.spec;
        run.workMs = amountOf(run.spec, "work_ms");
        run.checkpoint = request.task.checkpoint;
        run.doneMs = progressIn(run.checkpoint);
        trace(run.checkpoint.empty() ? "started" : "resumed", run);
        m_runs[run.attempt.task] = run;
        if (m_failStarts)
            finish(run.attempt.task, work::task_outcome::Failed, "failed to start");
    }

    http_response renew(const Json::Value &body)
    {
        for (const auto &entry : arrayMember(body, "renewals"))
            m_tasks.renew({attemptFrom(entry), milliseconds(integerMember(entry, "lease_ms")),
                           countMember(body, "listing"), countMember(body, "incarnation")});
        return {200, {}, "{}"};
    }

    http_response stop(const work::task_attempt &attempt)
    {
        if (m_tasks.stop({attempt}))
            end(attempt.task, "stopped", nullptr);
        return {200, {}, "{}"};
    }

    // A real worker writes the object; here its name carries the progress.
    http_response checkpoint(const work::task_attempt &attempt, const std::string &object)
    {
        if (m_tasks.runs(attempt)) {
            auto &run = m_runs.at(attempt.task);
            run.checkpoint =
                    object + ProgressMark + std::to_string(static_cast<std::int64_t>(run.doneMs));
            finish(attempt.task, work::task_outcome::Evicted, "");
        }
        return {200, {}, "{}"};
    }

    http_response throttle(const Json::Value &body)
    {
        const auto attempt = attemptFrom(body);
        if (!m_tasks.runs(attempt))
            return {200, {}, "{}"};
        auto &run = m_runs.at(attempt.task);
        const auto share = static_cast<double>(integerMember(body, "percent")) / 100;
        if (share < run.share)
            ++m_throttles[jobNameOf(attempt.task)];
        run.share = share;
        return {200, {}, "{}"};
    }

    // What the running tasks do to the upstream on this instance, less where they are throttled;
    // and how often each job's tasks were.
    http_response noise() const
    {
        double sum = 0;
        for (const auto &[task, run] : m_runs)
            sum += run.share * m_noiseOf.get(jobNameOf(task), 0).asDouble();
        Json::Value answer(Json::objectValue);
        answer["noise"] = sum;
        answer["throttles"] = Json::Value(Json::objectValue);
        for (const auto &[job, count] : m_throttles)
            answer["throttles"][job] = count;
        return {200, {}, compactJson(answer)};
    }

    http_response forget(const work::task_attempt &attempt)
    {
        m_tasks.forget({attempt});
        return {200, {}, "{}"};
    }

    http_response usage() const
    {
        Json::Value empty(Json::objectValue);
        empty["age_ms"] = 0;
        empty["tasks"] = Json::Value(Json::arrayValue);
        return {200, {}, compactJson(m_usage.empty() ? empty : m_usage.front())};
    }

    // --- Running.

    // The task ended by itself or by a checkpoint.
    void finish(const work::task_id &task, work::task_outcome outcome, const std::string &detail)
    {
        const auto &run = m_runs.at(task);
        m_tasks.recordEnd({run.attempt, outcome, run.checkpoint, detail});
        if (outcome == work::task_outcome::Evicted)
            end(task, "evicted", nullptr);
        else
            end(task, "ended", outcome == work::task_outcome::Failed ? "failed" : "succeeded");
    }

    void end(const work::task_id &task, const char *event, const char *outcome)
    {
        trace(event, m_runs.at(task), outcome);
        m_runs.erase(task);
    }

    void run()
    {
        auto last = monotonic_clock::now();
        while (!m_stopping) {
            std::this_thread::sleep_for(Step);
            m_pause.wait(); // a frozen instance runs nothing
            const auto now = monotonic_clock::now();
            const std::lock_guard lock(m_mutex);
            // Time spent frozen is no progress.
            advance(now, std::min<duration>(now - last, LongestStep));
            sampleUsage();
            last = now;
        }
    }

    void endLapsed(time_point now)
    {
        for (const auto &attempt : m_tasks.endLapsedTasks(now))
            end(attempt.task, "stopped", nullptr);
    }

    void advance(time_point now, duration passed)
    {
        endLapsed(now);
        std::vector<work::task_id> done;
        for (auto &[task, run] : m_runs) {
            run.doneMs += run.share * static_cast<double>(passed.count()) / 1000;
            if (run.workMs > 0 && run.doneMs >= static_cast<double>(run.workMs))
                done.push_back(task);
        }
        for (const auto &task : done)
            finish(task, work::task_outcome::Succeeded, "");
    }

    void sampleUsage()
    {
        Json::Value sample(Json::objectValue);
        sample["age_ms"] = Json::Int64(m_options.usageLag.count());
        sample["tasks"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_runs) {
            Json::Value entry(Json::objectValue);
            entry["task"] = work::textOf(task);
            entry["millicores"] =
                    Json::Int64(static_cast<double>(amountOf(run.spec, "millicores")) * run.share);
            entry["bytes"] = Json::Int64(amountOf(run.spec, "bytes"));
            sample["tasks"].append(std::move(entry));
        }
        m_usage.push_back(std::move(sample));
        while (static_cast<std::int64_t>(m_usage.size()) > m_options.usageLag / Step)
            m_usage.pop_front();
    }

    worker_options m_options;
    std::mutex m_mutex;
    work::worker_tasks m_tasks;
    std::map<work::task_id, task_run> m_runs;
    std::deque<Json::Value> m_usage;
    Json::Value m_noiseOf{Json::objectValue};    // by job
    std::map<std::string, unsigned> m_throttles; // by job: tasks that were slowed down
    pause_gate m_pause;
    std::atomic<bool> m_failStarts{false};
    std::atomic<bool> m_unreachable{false};
    std::atomic<long> m_slowMs{0};
    std::atomic<long> m_loseAnswers{0};
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
