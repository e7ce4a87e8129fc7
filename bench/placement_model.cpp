#include "placement_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <variant>

#include "base/random.h"
#include "placement/scheduler.h"

namespace zinniabarrow::bench {

namespace {

using namespace zinniabarrow::placement;

constexpr std::int64_t Gigabyte = 1'000'000'000;
constexpr resources WorkerSize{16'000, 60 * Gigabyte, 0};
constexpr milliseconds TickInterval{500};
constexpr double TickSeconds = 0.5;
constexpr int ServiceClasses = 3;
constexpr int InstancesPerClass = 12;
constexpr int BatchClasses = 6;
// Seconds between the checkpoints that a task writes on its own.
constexpr double CheckpointInterval = 120;
constexpr double CheckpointTime = 5;  // seconds, to write a checkpoint on preemption
constexpr double RestartTime = 20;    // seconds, to load a checkpoint
constexpr double UsageInterval = 10;  // seconds
constexpr double LatencyInterval = 5; // seconds
constexpr duration UsageLag = seconds(10);
constexpr duration LatencyLag = seconds(8);
constexpr int BacklogJobs = 40;
constexpr int UnlimitedWork = 1 << 30;
// Logarithm of the slowdown of a service class (row) per processor used by a batch class (column):
// interference depends on the pair.
constexpr std::array<std::array<double, BatchClasses>, ServiceClasses> InterferenceEffects{{
        {0.16, 0.02, 0.05, 0.01, 0.005, 0.03},
        {0.02, 0.14, 0.01, 0.05, 0.005, 0.03},
        {0.08, 0.01, 0.01, 0.01, 0.005, 0.12},
}};
// Logarithm of (p99 latency / target) of each service class without interference.
constexpr std::array<double, ServiceClasses> UndisturbedRatio{-0.7, -0.5, -0.6};

struct model_task
{
    task_spec spec;
    int batchClass = 0;
    double usableProcessors = 1; // most processors that it can use
    double peakBytes = 0;        // memory
    double totalWork = 0;        // processor seconds
    double doneWork = 0;         // processor seconds
    double checkpointedWork = 0; // part of doneWork that a checkpoint has saved
    double restartWork = 0;      // processor seconds to load the checkpoint, before doneWork grows
    double timeOnWorker = 0;     // seconds since it was placed
    double processorLimit = 0;   // processors that it may use
    double stopDelay = -1;       // seconds until it has stopped; negative: not preempted
    bool alwaysFails = false;
    bool isRunning = false;
    bool hasRunBefore = false;
    std::string worker;
    double pendingAt = 0;
};

struct delayed_sample
{
    time_point arrivesAt;
    std::variant<usage_sample, latency_sample> sample;
};

class placement_model
{
public:
    placement_model(const scheduler_settings &policy, const model_settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_scheduler(policy)
    { }

    model_result run();

    void operator()(const place_action &action);
    void operator()(const raise_action &) { }
    void operator()(const preempt_action &action);
    void operator()(const throttle_action &action);
    void operator()(const refuse_action &action);
    void operator()(const usage_sample &sample) { m_scheduler.usageSampled(sample, m_now); }
    void operator()(const latency_sample &sample) { m_scheduler.latencySampled(sample, m_now); }

private:
    double elapsedSeconds() const { return std::chrono::duration<double>(m_now - Start).count(); }
    double drawBetween(double low, double high)
    {
        return low + (high - low) * drawUniform(m_random);
    }
    double drawNormal();
    bool isDueEvery(double period) const;
    void addWorkers();
    void addServices();
    void submitRandomBatch();
    void submitJobs();
    void submitBatch(int batchClass, int tasks, task_priority priority);
    void deliverSamples();
    void runTasks();
    bool advanceTask(model_task &task);
    bool isFailingWorker(const std::string &worker) const;
    double usedBytesOf(const model_task &task) const;
    void killForMemory();
    void sampleUsage();
    void measureServices();
    void stopTask(model_task &task);
    void checkCapacity();
    void finish();

    static constexpr time_point Start{std::chrono::hours(1)};

    model_settings m_settings;
    random_generator m_random;
    scheduler m_scheduler;
    time_point m_now = Start;
    int m_nextJob = 0;
    std::map<task_ref, model_task> m_tasks;
    std::deque<delayed_sample> m_samples;
    std::vector<double> m_latencyRatios; // p99 / target
    std::vector<double> m_urgentDelays;  // seconds
    double m_slowdownSum = 0;            // for the mean
    model_result m_result;
};

double placement_model::drawNormal()
{
    double sum = 0;
    for (int index = 0; index < 12; ++index)
        sum += drawUniform(m_random);
    return sum - 6;
}

bool placement_model::isDueEvery(double period) const
{
    return std::fmod(elapsedSeconds(), period) < TickSeconds / 2;
}

void placement_model::addWorkers()
{
    m_scheduler.setPool({"main", WorkerSize}, m_now);
    for (int index = 0; index < m_settings.workers; ++index) {
        const auto zone = "zone-" + std::to_string(index % 3);
        const auto rack = "rack-" + std::to_string(index / 9);
        m_scheduler.addWorker({"w" + std::to_string(index), zone, rack, "main", WorkerSize}, m_now);
    }
}

void placement_model::addServices()
{
    for (int serviceClass = 0; serviceClass < ServiceClasses; ++serviceClass) {
        for (int index = 0; index < InstancesPerClass; ++index) {
            model_task task;
            task.spec.jobId = "service-" + std::to_string(serviceClass);
            task.spec.taskIndex = index;
            task.spec.kind = task_kind::Service;
            task.spec.jobClass = task.spec.jobId;
            task.spec.team = "services";
            task.spec.pool = "main";
            task.spec.declared = {2'500, 5 * Gigabyte, 0};
            task.spec.replicas = InstancesPerClass;
            task.batchClass = serviceClass;
            task.usableProcessors = 1.5;
            task.peakBytes = 4.0 * Gigabyte;
            task.totalWork = UnlimitedWork;
            m_scheduler.taskPending(task.spec, m_now);
            m_tasks.emplace(task.spec.ref(), task);
        }
    }
}

void placement_model::submitBatch(int batchClass, int tasks, task_priority priority)
{
    const double neededProcessors = 1 + static_cast<double>(batchClass % 4);
    const double jobPeakBytes = drawBetween(3, 12) * Gigabyte;
    const bool isBadJob = m_settings.hasFailures && drawIndex(m_random, 50) == 0;
    // Declared sizes differ widely from the real ones, in both directions.
    const double declaredProcessors = neededProcessors * std::exp(0.6 * drawNormal() + 0.3);
    const double declaredBytes = jobPeakBytes * std::exp(0.6 * drawNormal());
    const auto job = "job-" + std::to_string(m_nextJob++);
    for (int index = 0; index < tasks; ++index) {
        model_task task;
        task.spec.jobId = job;
        task.spec.taskIndex = index;
        task.spec.jobClass = "batch-" + std::to_string(batchClass);
        task.spec.team = "team-" + std::to_string(batchClass % 3);
        task.spec.priority = priority;
        task.spec.pool = "main";
        task.spec.declared.millicores =
                std::clamp<std::int64_t>(std::llround(declaredProcessors * 1000), 250, 8'000);
        task.spec.declared.bytes =
                std::clamp<std::int64_t>(std::llround(declaredBytes), Gigabyte / 4, 30 * Gigabyte);
        task.spec.replicas = tasks;
        task.batchClass = batchClass;
        task.usableProcessors = neededProcessors;
        task.peakBytes = jobPeakBytes * drawBetween(0.85, 1.15);
        task.totalWork = neededProcessors * drawBetween(120, 900);
        task.alwaysFails = isBadJob;
        task.pendingAt = elapsedSeconds();
        m_scheduler.taskPending(task.spec, m_now);
        m_tasks.emplace(task.spec.ref(), task);
    }
}

void placement_model::submitRandomBatch()
{
    submitBatch(static_cast<int>(drawIndex(m_random, BatchClasses)),
                1 + static_cast<int>(drawIndex(m_random, 6)),
                drawIndex(m_random, 3) == 0 ? task_priority::Low : task_priority::Normal);
}

void placement_model::submitJobs()
{
    if (elapsedSeconds() == 30)
        addServices(); // when batch jobs already run
    for (int jobs = elapsedSeconds() == 0 ? BacklogJobs : 0; jobs > 0; --jobs)
        submitRandomBatch();
    if (isDueEvery(m_settings.jobInterval))
        submitRandomBatch();
    if (isDueEvery(90))
        submitBatch(4, 2, task_priority::Urgent);
    const double secondOfHour = std::fmod(elapsedSeconds(), 3'600);
    if (m_settings.hasWaves && secondOfHour >= 1'500 && secondOfHour < 1'800 && isDueEvery(10)) {
        constexpr std::array<int, 3> Noisy{0, 1, 5};
        submitBatch(Noisy.at(drawIndex(m_random, Noisy.size())), 6, task_priority::Normal);
    }
}

void placement_model::operator()(const place_action &action)
{
    auto &task = m_tasks.at(action.task);
    task.worker = action.worker;
    task.processorLimit = static_cast<double>(action.reserved.millicores) / 1000;
    task.timeOnWorker = 0;
    task.stopDelay = -1;
    task.isRunning = false;
    m_scheduler.placementSettled(action.task, action.worker, placement_outcome::Applied, m_now);
}

void placement_model::operator()(const preempt_action &action)
{
    auto &task = m_tasks.at(action.victim);
    const double allowedTime =
            std::chrono::duration<double>(action.checkpointDeadline - m_now).count();
    if (allowedTime >= CheckpointTime)
        task.checkpointedWork = task.doneWork;
    task.stopDelay = std::min(allowedTime, CheckpointTime);
    ++m_result.evictions;
    if (action.reason == preempt_reason::Interference)
        ++m_result.evictionsForInterference;
}

void placement_model::operator()(const throttle_action &action)
{
    m_tasks.at(action.task).processorLimit = static_cast<double>(action.millicores) / 1000;
    ++m_result.throttles;
}

void placement_model::operator()(const refuse_action &action)
{
    if (action.kind != error_kind::Quarantined)
        m_tasks.erase(action.task);
}

void placement_model::deliverSamples()
{
    while (!m_samples.empty() && m_samples.front().arrivesAt <= m_now) {
        std::visit(*this, m_samples.front().sample);
        m_samples.pop_front();
    }
}

bool placement_model::isFailingWorker(const std::string &worker) const
{
    return m_settings.hasFailures && worker == "w7" && elapsedSeconds() >= 2'400
           && elapsedSeconds() < 4'200;
}

// Removes the task from its worker. The work since its last checkpoint is lost.
void placement_model::stopTask(model_task &task)
{
    m_result.wastedHours += task.doneWork - task.checkpointedWork;
    task.doneWork = task.checkpointedWork;
    task.restartWork = task.doneWork > 0 ? RestartTime * task.usableProcessors : 0;
    m_result.wastedHours += task.restartWork;
    task.worker.clear();
    task.isRunning = false;
    task.pendingAt = elapsedSeconds();
}

// Returns false when the task has left its worker.
bool placement_model::advanceTask(model_task &task)
{
    const auto ref = task.spec.ref();
    const auto worker = task.worker;
    if (!task.isRunning) {
        task.isRunning = true;
        m_scheduler.taskRunning(ref, worker, m_now);
        const bool isUrgent = task.spec.priority == task_priority::Urgent;
        if (isUrgent && !task.hasRunBefore && !task.alwaysFails)
            m_urgentDelays.push_back(elapsedSeconds() - task.pendingAt);
        task.hasRunBefore = true;
    }
    task.timeOnWorker += TickSeconds;
    if (task.stopDelay >= 0) {
        task.stopDelay -= TickSeconds;
        if (task.stopDelay > 0)
            return true;
        stopTask(task);
        m_scheduler.taskReleased(ref, worker, m_now);
        return false;
    }
    const bool isService = task.spec.kind == task_kind::Service;
    if (!isService && (task.alwaysFails || isFailingWorker(worker)) && task.timeOnWorker >= 3) {
        ++m_result.failures;
        stopTask(task);
        m_scheduler.taskFailed(ref, worker, "exit 1", m_now);
        return false;
    }
    const double progress = std::min(task.usableProcessors, task.processorLimit) * TickSeconds;
    const double restartProgress = std::min(task.restartWork, progress);
    task.restartWork -= restartProgress;
    task.doneWork += progress - restartProgress;
    if (std::fmod(task.timeOnWorker, CheckpointInterval) < TickSeconds / 2)
        task.checkpointedWork = task.doneWork;
    if (task.doneWork < task.totalWork)
        return true;
    ++m_result.batchFinished;
    m_result.finishedHours += task.totalWork;
    m_scheduler.taskEnded(ref, worker, m_now);
    m_tasks.erase(ref);
    return false;
}

void placement_model::runTasks()
{
    std::vector<task_ref> placed;
    for (const auto &[ref, task] : m_tasks) {
        if (!task.worker.empty())
            placed.push_back(ref);
    }
    for (const auto &ref : placed)
        advanceTask(m_tasks.at(ref));
}

// Memory use of a batch task grows from 30% to its peak over the first 40% of its work.
double placement_model::usedBytesOf(const model_task &task) const
{
    if (task.spec.kind == task_kind::Service)
        return task.peakBytes;
    return task.peakBytes * std::min(1.0, 0.3 + 1.75 * task.doneWork / task.totalWork);
}

void placement_model::killForMemory()
{
    std::map<std::string, double> usage;
    std::map<std::string, model_task *> largest;
    for (auto &[ref, task] : m_tasks) {
        if (task.worker.empty())
            continue;
        usage[task.worker] += usedBytesOf(task);
        auto *&found = largest[task.worker];
        if (task.spec.kind == task_kind::Batch
            && (!found || usedBytesOf(task) > usedBytesOf(*found)))
            found = &task;
    }
    for (const auto &[worker, bytes] : usage) {
        auto *task = largest[worker];
        if (bytes <= static_cast<double>(WorkerSize.bytes) || !task)
            continue;
        ++m_result.memoryKills;
        stopTask(*task);
        // Released, not failed: being killed for memory is not a failure of the job.
        m_scheduler.taskReleased(task->spec.ref(), worker, m_now);
    }
}

void placement_model::sampleUsage()
{
    if (!isDueEvery(UsageInterval))
        return;
    for (const auto &[ref, task] : m_tasks) {
        if (!task.isRunning)
            continue;
        const resources usage{
                std::llround(std::min(task.usableProcessors, task.processorLimit) * 1000),
                std::llround(usedBytesOf(task)), 0};
        m_samples.push_back({m_now + UsageLag, usage_sample{ref, task.worker, usage, m_now}});
    }
}

void placement_model::measureServices()
{
    if (!isDueEvery(LatencyInterval))
        return;
    // Processors in use, by worker and batch class.
    std::map<std::string, std::array<double, BatchClasses>> batchProcessors;
    for (const auto &[ref, task] : m_tasks) {
        if (task.spec.kind == task_kind::Batch && task.isRunning)
            batchProcessors[task.worker].at(static_cast<std::size_t>(task.batchClass)) +=
                    std::min(task.usableProcessors, task.processorLimit);
    }
    constexpr microseconds Target{20'000};
    for (const auto &[ref, task] : m_tasks) {
        if (task.spec.kind != task_kind::Service || !task.isRunning)
            continue;
        const auto serviceClass = static_cast<std::size_t>(task.batchClass);
        // The load of each service varies periodically over about an hour.
        const double load =
                0.25 * std::sin(elapsedSeconds() / 600 + static_cast<double>(serviceClass));
        double interferenceEffect = 0;
        for (std::size_t other = 0; other < BatchClasses; ++other)
            interferenceEffect += InterferenceEffects.at(serviceClass).at(other)
                                  * batchProcessors[task.worker].at(other);
        const double ratio =
                UndisturbedRatio.at(serviceClass) + load + interferenceEffect + 0.08 * drawNormal();
        m_latencyRatios.push_back(std::exp(ratio));
        m_slowdownSum += std::exp(interferenceEffect);
        const microseconds p99(std::llround(std::exp(ratio) * 20'000));
        m_samples.push_back(
                {m_now + LatencyLag, latency_sample{ref, task.worker, p99, Target, m_now}});
    }
}

void placement_model::checkCapacity()
{
    for (int index = 0; index < m_settings.workers; ++index) {
        const auto *ledger = m_scheduler.ledgerOf("w" + std::to_string(index));
        if (ledger && !ledger->reserved().fitsIn(ledger->size()))
            ++m_result.overCapacityCount;
    }
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(fraction * last))];
}

void placement_model::finish()
{
    constexpr double SecondsPerHour = 3'600;
    m_result.finishedHours /= SecondsPerHour;
    m_result.wastedHours /= SecondsPerHour;
    const auto lateCount = std::count_if(m_latencyRatios.begin(), m_latencyRatios.end(),
                                         [](double ratio) { return ratio > 1; });
    const auto sampleCount = static_cast<double>(std::max<std::size_t>(m_latencyRatios.size(), 1));
    m_result.serviceLateFraction = static_cast<double>(lateCount) / sampleCount;
    m_result.meanSlowdown = m_slowdownSum / sampleCount;
    m_result.serviceP99Ratio = percentile(m_latencyRatios, 0.99);
    m_result.urgentP99Delay = percentile(m_urgentDelays, 0.99);
    m_result.maxUrgentDelay = percentile(m_urgentDelays, 1);
}

model_result placement_model::run()
{
    addWorkers();
    const auto end = Start + std::chrono::minutes(m_settings.minutes);
    for (; m_now < end; m_now += TickInterval) {
        submitJobs();
        deliverSamples();
        runTasks();
        killForMemory();
        sampleUsage();
        measureServices();
        for (const auto &action : m_scheduler.plan(m_now, 1'000))
            std::visit(*this, action);
        checkCapacity();
    }
    finish();
    return m_result;
}

} // namespace

std::vector<named_policy> comparedPolicies()
{
    named_policy declaredFirstFit{"first fit, declared sizes", {}};
    declaredFirstFit.settings.algorithm = placement_algorithm::FirstFit;
    declaredFirstFit.settings.avoidInterference = false;
    declaredFirstFit.settings.relieveServices = false;
    declaredFirstFit.settings.sizes.learn = false;
    declaredFirstFit.settings.interference.learn = false;
    declaredFirstFit.settings.quarantine.enabled = false;
    named_policy withoutLearning{"no learning", {}};
    withoutLearning.settings.sizes.learn = false;
    withoutLearning.settings.interference.learn = false;
    withoutLearning.settings.weights = {0.7, 0.2, 0.1};
    named_policy mtkvari{"chosen, Mtkvari's weights", {}};
    mtkvari.settings.weights = {0.7, 0.2, 0.1}; // seat holds are latency-critical
    named_policy vtav{"chosen, VTAV's weights", {}};
    vtav.settings.weights = {0.2, 0.4, 0.4}; // watchers must finish without restarts
    auto withoutRelief = mtkvari;
    withoutRelief.name = "Mtkvari's, no relief";
    withoutRelief.settings.relieveServices = false;
    auto withoutAttribution = mtkvari;
    withoutAttribution.name = "Mtkvari's, effects unknown";
    withoutAttribution.settings.interference.learn = false;
    return {declaredFirstFit, withoutLearning, mtkvari, vtav, withoutRelief, withoutAttribution};
}

model_result runModel(const scheduler_settings &policy, const model_settings &settings)
{
    return placement_model(policy, settings).run();
}

} // namespace zinniabarrow::bench
