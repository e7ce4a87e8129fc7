// A worker's stand-in: runs tasks under leases, starts whatever it is given, reports usage late.
//
// It keeps what docs/design/OWNERSHIP.md asks of a worker: its incarnation, the newest epoch it was
// told, and the newest attempt of each task that it ran or was told to stop.
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
#include "work/task_keeper.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds Step{10};
constexpr milliseconds LongestStep{100}; // on a busy machine
constexpr std::size_t RememberedListings = 64;
constexpr char ProgressMark = '#';

// One attempt of a task, from its start until it is forgotten.
struct task_run
{
    work::task_attempt attempt;
    failover_class failover = failover_class::Lease;
    Json::Value spec;
    std::int64_t workMs = 0; // needed in all; 0: runs until stopped
    double doneMs = 0;       // progress, from the checkpoint on
    std::string checkpoint;  // object name and progress in ms
    double share = 1;        // of full speed, below 1 when throttled
    time_point leaseUntil{};
};

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
        , m_server(options.address, {64, 4 * 1024 * 1024},
                   [this](const http_request &request) { return serve(request); })
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        m_listing.incarnation = static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
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
        const std::lock_guard lock(m_mutex);
        endLapsed(monotonic_clock::now()); // before anything else, also after a pause
        if (path == "/usage")
            return usage();
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
        if (fault.isMember("unreachable"))
            m_unreachable = boolMember(fault, "unreachable");
        return {200, {}, compactJson(fault)};
    }

    // --- Trace lines go to standard output; the trace checker reads them.

    static void print(Json::Value &line)
    {
        line["at_us"] = Json::Int64(monotonic_clock::now().time_since_epoch().count());
        fmt::print("{}\n", compactJson(line));
        std::fflush(stdout);
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
        m_listing.epoch = std::max(m_listing.epoch, countMember(body, "epoch"));
        ++m_listing.number;
        m_listedAt[m_listing.number] = monotonic_clock::now();
        if (m_listedAt.size() > RememberedListings)
            m_listedAt.erase(m_listedAt.begin());
        m_listing.running.clear();
        for (const auto &[task, run] : m_runs)
            m_listing.running.push_back({run.attempt, run.checkpoint, run.spec, run.failover});
        return {200, {}, compactJson(toJson(m_listing))};
    }

    // Leases count from the listing that the agent had seen, so that a late message extends none.
    time_point listedAt(const Json::Value &body) const
    {
        const auto found = m_listedAt.find(countMember(body, "listing"));
        return found == m_listedAt.end() ? time_point{} : found->second;
    }

    http_response refuseStart() const
    {
        Json::Value answer(Json::objectValue);
        answer["listing"] = Json::UInt64(m_listing.number);
        return {409, {}, compactJson(answer)};
    }

    http_response start(const Json::Value &body)
    {
        const auto attempt = attemptFrom(body);
        const auto now = monotonic_clock::now();
        if (countMember(body, "incarnation") != m_listing.incarnation)
            return {410, {}, "{}"}; // meant for an earlier life of this worker
        const auto base = listedAt(body);
        auto &newest = m_newest[attempt.task];
        if (attempt.attempt <= newest)
            return refuseStart();
        if (now >= base + milliseconds(integerMember(body, "start_within_ms")))
            return {410, {}, "{}"}; // too late: the agent decides anew
        newest = attempt.attempt;
        task_run run;
        run.attempt = attempt;
        run.failover = failoverClassFromName(stringMember(body, "failover"));
        run.spec = objectMember(body, "spec");
        run.workMs = amountOf(run.spec, "work_ms");
        run.checkpoint = stringMember(body, "checkpoint");
        run.doneMs = progressIn(run.checkpoint);
        run.leaseUntil = base + milliseconds(integerMember(body, "lease_ms"));
        trace(run.checkpoint.empty() ? "started" : "resumed", run);
        if (m_failStarts)
            finish(run, work::task_outcome::Failed, "failed to start");
        else
            m_runs[attempt.task] = run;
        return {200, {}, "{}"};
    }

    http_response renew(const Json::Value &body)
    {
        if (countMember(body, "incarnation") != m_listing.incarnation)
            return {410, {}, "{}"};
        const auto base = listedAt(body);
        for (const auto &entry : arrayMember(body, "renewals")) {
            if (auto *run = find(attemptFrom(entry)))
                run->leaseUntil = std::max(run->leaseUntil,
                                           base + milliseconds(integerMember(entry, "lease_ms")));
        }
        return {200, {}, "{}"};
    }

    http_response stop(const work::task_attempt &attempt)
    {
        if (const auto *run = find(attempt)) {
            finish(*run, work::task_outcome::Stopped, "");
        } else if (attempt.attempt > m_newest[attempt.task]) {
            // Never there: remembered, so that a start which is still on its way is refused.
            m_newest[attempt.task] = attempt.attempt;
            m_listing.finished.push_back({attempt, work::task_outcome::Stopped, "", ""});
        }
        return {200, {}, "{}"};
    }

    // A real worker writes the object; here its name carries the progress.
    http_response checkpoint(const work::task_attempt &attempt, const std::string &object)
    {
        if (auto *run = find(attempt)) {
            run->checkpoint =
                    object + ProgressMark + std::to_string(static_cast<std::int64_t>(run->doneMs));
            finish(*run, work::task_outcome::Evicted, "");
        }
        return {200, {}, "{}"};
    }

    http_response throttle(const Json::Value &body)
    {
        if (auto *run = find(attemptFrom(body)))
            run->share = static_cast<double>(integerMember(body, "percent")) / 100;
        return {200, {}, "{}"};
    }

    http_response forget(const work::task_attempt &attempt)
    {
        std::erase_if(m_listing.finished,
                      [&](const auto &finished) { return finished.attempt == attempt; });
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

    task_run *find(const work::task_attempt &attempt)
    {
        const auto found = m_runs.find(attempt.task);
        return found != m_runs.end() && found->second.attempt == attempt ? &found->second : nullptr;
    }

    void finish(const task_run &ended, work::task_outcome outcome, const std::string &detail)
    {
        const task_run run = ended; // `ended` may lie in the map
        m_listing.finished.push_back({run.attempt, outcome, run.checkpoint, detail});
        m_runs.erase(run.attempt.task);
        if (outcome == work::task_outcome::Evicted)
            trace("evicted", run);
        else if (outcome == work::task_outcome::Succeeded)
            trace("ended", run, "succeeded");
        else if (outcome == work::task_outcome::Failed)
            trace("ended", run, "failed");
        else
            trace("stopped", run);
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
        std::vector<work::task_id> lapsed;
        for (const auto &[task, run] : m_runs) {
            if (now >= run.leaseUntil)
                lapsed.push_back(task);
        }
        for (const auto &task : lapsed)
            finish(m_runs.at(task), work::task_outcome::Lapsed, "");
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
            finish(m_runs.at(task), work::task_outcome::Succeeded, "");
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
    work::worker_listing m_listing;
    std::map<std::uint64_t, time_point> m_listedAt; // by number of the listing
    std::map<work::task_id, task_run> m_runs;
    std::map<work::task_id, std::uint32_t> m_newest; // attempt
    std::deque<Json::Value> m_usage;
    pause_gate m_pause;
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
