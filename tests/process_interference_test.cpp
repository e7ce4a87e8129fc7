// Interference on real processes: the stand-in workers slow down the upstreams on their instances
// by the noise of the tasks that they run.
#include <atomic>

#include "fleet_scenario.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr unsigned Workers = 3;
constexpr int TargetMs = 200;
constexpr int WorkMs = 100;        // alone; 250 beside one noisy task, 175 beside a throttled one
constexpr double Noise = 1.5;      // of a noisy task: added service time, as a fraction of WorkMs
constexpr unsigned Answers = 120;  // answers counted for one measurement
constexpr unsigned PerSecond = 36; // over all upstreams; 2/3 of one upstream's slots at its slowest

fleet_options interferenceFleet()
{
    auto options = smallFleet();
    options.workers = Workers;
    options.upstreamWorkMs = WorkMs;
    options.hasInterference = true;
    // Tail latency weighs most, because seat holds are latency-critical.
    auto &weights = options.entrySettings["weights"];
    weights["tail_latency"] = 0.7;
    weights["throughput"] = 0.2;
    weights["evictions"] = 0.1;
    return options;
}

Json::Value folderWithTarget(const fleet_options &options)
{
    auto folder = makeBaseConfig(options);
    folder["services"][options.service]["latency_target_ms"] = TargetMs;
    return folder;
}

// Sends requests at a steady rate until it is destroyed.
class steady_load
{
public:
    explicit steady_load(fleet &system)
        : m_system(system)
        , m_thread([this] { run(); })
    { }
    ~steady_load()
    {
        m_isStopping = true;
        m_thread.join();
    }
    load_result &result() { return m_result; }

private:
    void run()
    {
        load_options options;
        options.requests = PerSecond;
        options.perSecond = PerSecond;
        for (unsigned round = 0; !m_isStopping; ++round) {
            options.prefix = "round-" + std::to_string(round);
            load_generator(m_system, options, m_result).run();
        }
    }

    fleet &m_system;
    load_result m_result;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread; // last: it uses all members above
};

// How often tasks of the job were throttled.
unsigned countThrottles(fleet &system, const std::string &job)
{
    unsigned sum = 0;
    for (unsigned index = 0; index < Workers; ++index)
        sum += system.getJson(system.workerAddress(index), "/noise")["throttles"][job].asUInt();
    return sum;
}

double noiseOn(fleet &system, unsigned index)
{
    return system.getJson(system.workerAddress(index), "/noise")["noise"].asDouble();
}

// Index of the worker with the highest noise.
unsigned findNoisiestWorker(fleet &system)
{
    unsigned noisiest = 0;
    for (unsigned index = 1; index < Workers; ++index)
        noisiest = noiseOn(system, index) > noiseOn(system, noisiest) ? index : noisiest;
    return noisiest;
}

struct answer_counts
{
    unsigned withinTarget = 0; // service time at the upstream at or below the target
    unsigned beyondTarget = 0;
};

// Resets the upstream's counters and returns them once it has given enough answers.
answer_counts countAnswers(fleet &system, unsigned index)
{
    Json::Value target(Json::objectValue);
    target["target_ms"] = TargetMs;
    system.setFault(system.upstreamAddress(index), target);
    answer_counts answers;
    check(waitUntil(
            [&] {
                const auto stats = system.getJson(system.upstreamAddress(index), "/executions");
                answers = {stats["within_target"].asUInt(), stats["beyond_target"].asUInt()};
                return answers.withinTarget + answers.beyondTarget >= Answers;
            },
            WaitLimit));
    return answers;
}

// Evictions for the reason, from the metrics of all entries.
double countEvictions(fleet &system, const std::string &reason)
{
    double sum = 0;
    const auto seriesName = "zinniabarrow_evictions_total{reason=\"" + reason + "\"} ";
    for (unsigned entry = 0; entry < system.options().entries; ++entry) {
        const auto text = system.getText(system.entryRpcAddress(entry), "/metrics");
        const auto found = text.find(seriesName);
        if (found != std::string::npos)
            sum += std::atof(text.c_str() + found + seriesName.size());
    }
    return sum;
}

batch_options hourLongBatch(const std::string &job, int tasks, std::int64_t millicores)
{
    batch_options batch;
    batch.job = job;
    batch.tasks = tasks;
    batch.runMs = 3'600'000;
    batch.millicores = millicores;
    return batch;
}

} // namespace

// Callers see seat holds take two and a half times as long when a noisy batch task shares the
// upstream's instance. The agent measures the late answers and reports them to the shard's owner,
// which attributes them to the class of the task that has arrived there and throttles only that
// task. While it runs at half speed, the service meets its target again. No quiet task is evicted.
Test(process_interference, noisy_batch_is_throttled)
{
    fleet system(interferenceFleet());
    startAndWait(system);
    Json::Value noise(Json::objectValue);
    noise["noise"]["noisy"] = Noise;
    for (unsigned index = 0; index < Workers; ++index)
        system.setFault(system.workerAddress(index), noise);
    system.putFolderFile("10-base.json", folderWithTarget(system.options()));
    system.putFolderFile("20-quiet.json", makeBatchConfig(hourLongBatch("quiet", Workers, 2000)));
    steady_load load(system);
    section("the service meets its target beside quiet batch tasks", [&] {
        require(waitUntil([&] { return countTraced(system, "started", "quiet") == Workers; },
                          WaitLimit));
        require(waitUntil([&] { return countTraced(system, "started", "tickets") == Workers; },
                          WaitLimit));
        for (unsigned index = 0; index < Workers; ++index)
            check(countAnswers(system, index).beyondTarget == 0);
    });
    system.putFolderFile("30-noisy.json", makeBatchConfig(hourLongBatch("noisy", 1, 8000)));
    require(waitUntil([&] { return countTraced(system, "started", "noisy") == 1; }, WaitLimit));
    const auto noisiestWorker = findNoisiestWorker(system);
    section("the noisy task is throttled", [&] {
        check(noiseOn(system, noisiestWorker) > 0);
        check(waitUntil([&] { return countThrottles(system, "noisy") > 0; }, WaitLimit));
    });
    section("the service meets its target again", [&] {
        const auto answers = countAnswers(system, noisiestWorker);
        check(answers.withinTarget * 20 >= (answers.withinTarget + answers.beyondTarget) * 19);
        check(noiseOn(system, noisiestWorker) < Noise);
    });
    section("quiet batch tasks were neither throttled nor evicted", [&] {
        check(countThrottles(system, "quiet") == 0);
        check(countEvictions(system, "interference") <= 3); // the burst of the eviction budget
        check(countTraced(system, "evicted", "quiet") == 0);
        checkTraceClean(system);
    });
    section("every caller got its own answer", [&] { check(load.result().wrongAnswers == 0); });
}
