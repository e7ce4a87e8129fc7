// Stand-in of a worker: runs tasks under leases, starts every task without a check of its capacity
// and reports usage with a lag.
//
// work::worker_tasks implements the rules that docs/design/OWNERSHIP.md sets for workers.
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

constexpr milliseconds TickInterval{10};
constexpr milliseconds MaxTickTime{100}; // most progress per tick; ticks are late on a busy machine
constexpr char ProgressMark = '#';

// One attempt of a task, from its start to its end.
struct task_run
{
    work::task_attempt attempt;
    Json::Value spec;
    std::int64_t totalWorkMs = 0; // 0: runs until stopped
    double progressMs = 0;        // work done, including that up to the checkpoint
    std::string checkpoint;       // object name, ProgressMark and progress in ms
    double speedFraction = 1;     // below 1 when throttled
};

// Wall-clock time in ms, so that every restart of the worker has a higher incarnation.
std::uint64_t newIncarnation()
{
    const auto sinceUnixEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(sinceUnixEpoch).count());
}

std::int64_t amountOrZero(const Json::Value &spec, const char *name)
{
    return spec.isMember(name) ? spec[name].asInt64() : 0;
}

// Progress in ms at a checkpoint; 0 without one.
double progressMsFrom(const std::string &checkpoint)
{
    const auto markPosition = checkpoint.rfind(ProgressMark);
    return markPosition == std::string::npos ? 0 : std::atof(checkpoint.c_str() + markPosition + 1);
}

// The job's name as the operators wrote it, without the generation after '@'.
std::string jobNameWithoutGeneration(const work::task_id &task)
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
        m_tickThread = std::thread([this] { runLoop(); });
    }

    ~worker_standin() override
    {
        m_isStopping = true;
        m_tickThread.join();
    }

    socket_address address() const override { return m_server.address(); }

private:
    http_response serve(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/fault")
            return setFault(parseJson(request.body));
        m_pauseGate.waitWhilePaused();
        if (m_addedDelayMs > 0)
            std::this_thread::sleep_for(milliseconds(m_addedDelayMs));
        if (m_isUnreachable)
            return {503, {}, "{}"};
        const auto answer = handleCall(request, path);
        // If a fault asks to lose the answer, the call stays executed and the answer is replaced.
        long answersLeft = m_answersToLose;
        while (answersLeft > 0
               && !m_answersToLose.compare_exchange_weak(answersLeft, answersLeft - 1)) { }
        return answersLeft > 0 ? http_response{500, {}, ""} : answer;
    }

    http_response handleCall(const http_request &request, const std::string &path)
    {
        const std::lock_guard lock(m_mutex);
        endExpiredRuns(monotonic_clock::now()); // before any call, also after a pause
        if (path == "/usage")
            return serveUsage();
        if (path == "/noise")
            return serveNoise();
        const auto body = parseJson(request.body);
        if (path == "/list")
            return serveListing(body);
        if (path == "/start")
            return serveStart(body);
        if (path == "/renew")
            return serveRenewal(body);
        if (path == "/stop")
            return serveStop(attemptFrom(body));
        if (path == "/checkpoint")
            return serveCheckpoint(attemptFrom(body), stringMember(body, "checkpoint"));
        if (path == "/throttle")
            return serveThrottle(body);
        if (path == "/forget")
            return serveForget(attemptFrom(body));
        return {404, {}, "{}"};
    }

    http_response setFault(const Json::Value &fault)
    {
        if (fault.isMember("fail_starts"))
            m_shouldFailStarts = boolMember(fault, "fail_starts");
        if (fault.isMember("pause_ms"))
            m_pauseGate.pauseFor(milliseconds(integerMember(fault, "pause_ms")));
        if (fault.isMember("slow_ms"))
            m_addedDelayMs = integerMember(fault, "slow_ms");
        if (fault.isMember("lose_answers"))
            m_answersToLose = integerMember(fault, "lose_answers");
        if (fault.isMember("unreachable"))
            m_isUnreachable = boolMember(fault, "unreachable");
        if (fault.isMember("noise")) {
            const std::lock_guard lock(m_mutex);
            m_noiseByJob = objectMember(fault, "noise");
        }
        return {200, {}, compactJson(fault)};
    }

    // --- Trace lines, written to standard output for work::trace_checker.

    static void printTraceLine(Json::Value &line)
    {
        line["at_us"] = Json::Int64(monotonic_clock::now().time_since_epoch().count());
        const auto text = compactJson(line) + "\n";
        // One write call per line: stdio splits lines at the end of its buffer, so that a reader
        // sees half a line, permanently if the worker is killed in between.
        if (::write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            throw error(error_kind::Internal, "a trace line could not be written completely");
    }

    Json::Value sizeToTrace(const Json::Value &spec) const
    {
        Json::Value size(Json::objectValue);
        size["millicores"] = Json::Int64(amountOrZero(spec, "millicores"));
        size["memoryBytes"] = Json::Int64(amountOrZero(spec, "bytes"));
        size["accelerators"] = Json::Int64(amountOrZero(spec, "accelerators"));
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
        printTraceLine(line);
    }

    void traceRun(const char *event, const task_run &run, const char *outcome = nullptr) const
    {
        Json::Value line(Json::objectValue);
        line["event"] = event;
        line["worker"] = m_options.id;
        line["task"] = work::textOf(run.attempt.task);
        line["attempt"] = run.attempt.attempt;
        line["size"] = sizeToTrace(run.spec);
        line["checkpoint"] = run.checkpoint;
        if (outcome != nullptr)
            line["outcome"] = outcome;
        printTraceLine(line);
    }

    // --- Calls of the agent.

    http_response serveListing(const Json::Value &body)
    {
        const auto listing = m_tasks.list({countMember(body, "epoch")}, monotonic_clock::now());
        return {200, {}, compactJson(toJson(listing))};
    }

    http_response serveStart(const Json::Value &body)
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
            startRun(request);
            return {200, {}, "{}"};
        case work::start_result::AlreadyRunning:
            return {200, {}, "{}"};
        case work::start_result::TooLate:
            return {410, {}, "{}"}; // the agent makes a new decision
        case work::start_result::Refused:
            break;
        }
        Json::Value answer(Json::objectValue);
        answer["listing"] = Json::UInt64(m_tasks.newestListing());
        return {409, {}, compactJson(answer)};
    }

    void startRun(const work::worker_start &request)
    {
        task_run run;
        run.attempt = {request.task.task, request.task.attempt};
        run.spec = request.spec;
        run.totalWorkMs = amountOrZero(run.spec, "work_ms");
        run.checkpoint = request.task.checkpoint;
        run.progressMs = progressMsFrom(run.checkpoint);
        traceRun(run.checkpoint.empty() ? "started" : "resumed", run);
        m_runs[run.attempt.task] = run;
        if (m_shouldFailStarts)
            recordRunEnd(run.attempt.task, work::task_outcome::Failed, "failed to start");
    }

    http_response serveRenewal(const Json::Value &body)
    {
        for (const auto &entry : arrayMember(body, "renewals"))
            m_tasks.renew({attemptFrom(entry), milliseconds(integerMember(entry, "lease_ms")),
                           countMember(body, "listing"), countMember(body, "incarnation")});
        return {200, {}, "{}"};
    }

    http_response serveStop(const work::task_attempt &attempt)
    {
        if (m_tasks.stop({attempt}))
            endRun(attempt.task, "stopped", nullptr);
        return {200, {}, "{}"};
    }

    // A real worker writes a checkpoint object; here the name carries the progress.
    http_response serveCheckpoint(const work::task_attempt &attempt, const std::string &object)
    {
        if (m_tasks.runs(attempt)) {
            auto &run = m_runs.at(attempt.task);
            run.checkpoint = object + ProgressMark
                             + std::to_string(static_cast<std::int64_t>(run.progressMs));
            recordRunEnd(attempt.task, work::task_outcome::Evicted, "");
        }
        return {200, {}, "{}"};
    }

    http_response serveThrottle(const Json::Value &body)
    {
        const auto attempt = attemptFrom(body);
        if (!m_tasks.runs(attempt))
            return {200, {}, "{}"};
        auto &run = m_runs.at(attempt.task);
        const auto requestedSpeed = static_cast<double>(integerMember(body, "percent")) / 100;
        if (requestedSpeed < run.speedFraction)
            ++m_throttleCounts[jobNameWithoutGeneration(attempt.task)];
        run.speedFraction = requestedSpeed;
        return {200, {}, "{}"};
    }

    // Sum of the slowdown that the running tasks cause at the instance's upstream, reduced by their
    // throttling, and how often tasks of each job were throttled.
    http_response serveNoise() const
    {
        double sum = 0;
        for (const auto &[task, run] : m_runs)
            sum += run.speedFraction
                   * m_noiseByJob.get(jobNameWithoutGeneration(task), 0).asDouble();
        Json::Value answer(Json::objectValue);
        answer["noise"] = sum;
        answer["throttles"] = Json::Value(Json::objectValue);
        for (const auto &[job, count] : m_throttleCounts)
            answer["throttles"][job] = count;
        return {200, {}, compactJson(answer)};
    }

    http_response serveForget(const work::task_attempt &attempt)
    {
        m_tasks.forget({attempt});
        return {200, {}, "{}"};
    }

    http_response serveUsage() const
    {
        Json::Value empty(Json::objectValue);
        empty["age_ms"] = 0;
        empty["tasks"] = Json::Value(Json::arrayValue);
        return {200, {}, compactJson(m_usageSamples.empty() ? empty : m_usageSamples.front())};
    }

    // --- Runs.

    // Records the end of a task that completed, failed or was evicted with a checkpoint.
    void recordRunEnd(const work::task_id &task, work::task_outcome outcome,
                      const std::string &detail)
    {
        const auto &run = m_runs.at(task);
        m_tasks.recordEnd({run.attempt, outcome, run.checkpoint, detail});
        if (outcome == work::task_outcome::Evicted)
            endRun(task, "evicted", nullptr);
        else
            endRun(task, "ended", outcome == work::task_outcome::Failed ? "failed" : "succeeded");
    }

    void endRun(const work::task_id &task, const char *event, const char *outcome)
    {
        traceRun(event, m_runs.at(task), outcome);
        m_runs.erase(task);
    }

    void runLoop()
    {
        auto lastTickAt = monotonic_clock::now();
        while (!m_isStopping) {
            std::this_thread::sleep_for(TickInterval);
            m_pauseGate.waitWhilePaused(); // a paused instance runs nothing
            const auto now = monotonic_clock::now();
            const std::lock_guard lock(m_mutex);
            // Limited, so that a pause does not count as progress.
            advanceRuns(now, std::min<duration>(now - lastTickAt, MaxTickTime));
            sampleUsage();
            lastTickAt = now;
        }
    }

    void endExpiredRuns(time_point now)
    {
        for (const auto &attempt : m_tasks.endLapsedTasks(now))
            endRun(attempt.task, "stopped", nullptr);
    }

    void advanceRuns(time_point now, duration elapsed)
    {
        endExpiredRuns(now);
        std::vector<work::task_id> finishedTasks;
        for (auto &[task, run] : m_runs) {
            run.progressMs += run.speedFraction * static_cast<double>(elapsed.count()) / 1000;
            if (run.totalWorkMs > 0 && run.progressMs >= static_cast<double>(run.totalWorkMs))
                finishedTasks.push_back(task);
        }
        for (const auto &task : finishedTasks)
            recordRunEnd(task, work::task_outcome::Succeeded, "");
    }

    void sampleUsage()
    {
        Json::Value sample(Json::objectValue);
        sample["age_ms"] = Json::Int64(m_options.usageLag.count());
        sample["tasks"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_runs) {
            Json::Value entry(Json::objectValue);
            entry["task"] = work::textOf(task);
            entry["millicores"] = Json::Int64(
                    static_cast<double>(amountOrZero(run.spec, "millicores")) * run.speedFraction);
            entry["bytes"] = Json::Int64(amountOrZero(run.spec, "bytes"));
            sample["tasks"].append(std::move(entry));
        }
        m_usageSamples.push_back(std::move(sample));
        while (static_cast<std::int64_t>(m_usageSamples.size()) > m_options.usageLag / TickInterval)
            m_usageSamples.pop_front();
    }

    worker_options m_options;
    std::mutex m_mutex;
    work::worker_tasks m_tasks;
    std::map<work::task_id, task_run> m_runs;
    std::deque<Json::Value> m_usageSamples;
    Json::Value m_noiseByJob{Json::objectValue};      // slowdown by one task
    std::map<std::string, unsigned> m_throttleCounts; // by job
    pause_gate m_pauseGate;
    std::atomic<bool> m_shouldFailStarts{false};
    std::atomic<bool> m_isUnreachable{false};
    std::atomic<long> m_addedDelayMs{0};
    std::atomic<long> m_answersToLose{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_tickThread;
    http_server m_server;
};

} // namespace

std::unique_ptr<standin> startWorker(const worker_options &options)
{
    return std::make_unique<worker_standin>(options);
}

} // namespace zinniabarrow::standins
