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
constexpr milliseconds Tick{500};
constexpr double TickSeconds = 0.5;
constexpr int ServiceClasses = 3;
constexpr int InstancesOfEach = 12;
constexpr int BatchClasses = 6;
constexpr double CheckpointEvery = 120; // seconds between the checkpoints that a task takes itself
constexpr double CheckpointTakes = 5;   // seconds, when it is asked to
constexpr double RestartCost = 20;      // seconds of work to load a checkpoint
constexpr double UsageEvery = 10;       // seconds
constexpr double LatencyEvery = 5;      // seconds
constexpr duration UsageLag = seconds(10);
constexpr duration LatencyLag = seconds(8);
constexpr int BacklogJobs = 40;
constexpr int Forever = 1 << 30;
// Log slowdown of each service class for each processor of each batch class: who disturbs whom
// depends on the pair.
constexpr std::array<std::array<double, BatchClasses>, ServiceClasses> TrueEffects{{
        {0.16, 0.02, 0.05, 0.01, 0.005, 0.03},
        {0.02, 0.14, 0.01, 0.05, 0.005, 0.03},
        {0.08, 0.01, 0.01, 0.01, 0.005, 0.12},
}};
constexpr std::array<double, ServiceClasses> AloneRatio{-0.7, -0.5, -0.6}; // log(p99 / target)

struct model_task
{
    task_spec spec;
    int batchClass = 0;
    double need = 1;       // processors that it can use
    double peakBytes = 0;  //
    double work = 0;       // processor seconds in all
    double done = 0;       //
    double checkpoint = 0; // of `done`, safe
    double restart = 0;    // processor seconds before `done` goes on
    double ran = 0;        // seconds on this worker
    double limit = 0;      // processors
    double stopIn = -1;    // seconds until it has stopped; below zero: not asked
    bool alwaysFails = false;
    bool running = false;
    bool everRan = false;
    std::string worker;
    double pendingAt = 0;
};

struct late_sample
{
    time_point arrives;
    std::variant<usage_sample, latency_sample> sample;
};

class placement_model
{
public:
    placement_model(const placer_settings &policy, const model_settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_placer(policy)
    { }

    model_result run();

    void operator()(const place_action &action);
    void operator()(const raise_action &) { }
    void operator()(const preempt_action &action);
    void operator()(const throttle_action &action);
    void operator()(const refuse_action &action);
    void operator()(const usage_sample &sample) { m_placer.usageSampled(sample, m_now); }
    void operator()(const latency_sample &sample) { m_placer.latencySampled(sample, m_now); }

private:
    double at() const { return std::chrono::duration<double>(m_now - Start).count(); }
    double between(double low, double high) { return low + (high - low) * drawUniform(m_random); }
    double normal();
    bool everySeconds(double period) const;
    void addWorkers();
    void addServices();
    void submitAnyBatch();
    void submitJobs();
    void submitBatch(int batchClass, int tasks, task_priority priority);
    void deliverSamples();
    void runTasks();
    bool advance(model_task &task);
    bool badWorker(const std::string &worker) const;
    double bytesOf(const model_task &task) const;
    void killForMemory();
    void sampleUsage();
    void measureServices();
    void stop(model_task &task);
    void checkCapacity();
    void finish();

    static constexpr time_point Start{std::chrono::hours(1)};

    model_settings m_settings;
    random_generator m_random;
    placer m_placer;
    time_point m_now = Start;
    int m_nextJob = 0;
    std::map<task_ref, model_task> m_tasks;
    std::deque<late_sample> m_samples;
    std::vector<double> m_ratios; // p99 / target
    std::vector<double> m_urgent; // seconds
    double m_slowdowns = 0;       // sum
    model_result m_result;
};

double placement_model::normal()
{
    double sum = 0;
    for (int index = 0; index < 12; ++index)
        sum += drawUniform(m_random);
    return sum - 6;
}

bool placement_model::everySeconds(double period) const
{
    return std::fmod(at(), period) < TickSeconds / 2;
}

void placement_model::addWorkers()
{
    m_placer.setPool({"main", WorkerSize}, m_now);
    for (int index = 0; index < m_settings.workers; ++index) {
        const auto zone = "zone-" + std::to_string(index % 3);
        const auto rack = "rack-" + std::to_string(index / 9);
        m_placer.addWorker({"w" + std::to_string(index), zone, rack, "main", WorkerSize}, m_now);
    }
}

void placement_model::addServices()
{
    for (int kind = 0; kind < ServiceClasses; ++kind) {
        for (int index = 0; index < InstancesOfEach; ++index) {
            model_task task;
            task.spec.jobId = "service-" + std::to_string(kind);
            task.spec.taskIndex = index;
            task.spec.kind = task_kind::Service;
            task.spec.jobClass = task.spec.jobId;
            task.spec.team = "services";
            task.spec.pool = "main";
            task.spec.declared = {2'500, 5 * Gigabyte, 0};
            task.spec.replicas = InstancesOfEach;
            task.batchClass = kind;
            task.need = 1.5;
            task.peakBytes = 4.0 * Gigabyte;
            task.work = Forever;
            m_placer.taskPending(task.spec, m_now);
            m_tasks.emplace(task.spec.ref(), task);
        }
    }
}

void placement_model::submitBatch(int batchClass, int tasks, task_priority priority)
{
    const double need = 1 + static_cast<double>(batchClass % 4);
    const double peak = between(3, 12) * Gigabyte;
    const bool fails = m_settings.failures && drawIndex(m_random, 50) == 0;
    // Declared sizes are far off, in both directions.
    const double declaredNeed = need * std::exp(0.6 * normal() + 0.3);
    const double declaredPeak = peak * std::exp(0.6 * normal());
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
                std::clamp<std::int64_t>(std::llround(declaredNeed * 1000), 250, 8'000);
        task.spec.declared.bytes =
                std::clamp<std::int64_t>(std::llround(declaredPeak), Gigabyte / 4, 30 * Gigabyte);
        task.spec.replicas = tasks;
        task.batchClass = batchClass;
        task.need = need;
        task.peakBytes = peak * between(0.85, 1.15);
        task.work = need * between(120, 900);
        task.alwaysFails = fails;
        task.pendingAt = at();
        m_placer.taskPending(task.spec, m_now);
        m_tasks.emplace(task.spec.ref(), task);
    }
}

void placement_model::submitAnyBatch()
{
    submitBatch(static_cast<int>(drawIndex(m_random, BatchClasses)),
                1 + static_cast<int>(drawIndex(m_random, 6)),
                drawIndex(m_random, 3) == 0 ? task_priority::Low : task_priority::Normal);
}

void placement_model::submitJobs()
{
    if (at() == 30)
        addServices(); // among batch that is there already
    for (int jobs = at() == 0 ? BacklogJobs : 0; jobs > 0; --jobs)
        submitAnyBatch();
    if (everySeconds(m_settings.jobEvery))
        submitAnyBatch();
    if (everySeconds(90))
        submitBatch(4, 2, task_priority::Urgent);
    const double inHour = std::fmod(at(), 3'600);
    if (m_settings.waves && inHour >= 1'500 && inHour < 1'800 && everySeconds(10)) {
        constexpr std::array<int, 3> Noisy{0, 1, 5};
        submitBatch(Noisy.at(drawIndex(m_random, Noisy.size())), 6, task_priority::Normal);
    }
}

void placement_model::operator()(const place_action &action)
{
    auto &task = m_tasks.at(action.task);
    task.worker = action.worker;
    task.limit = static_cast<double>(action.reserved.millicores) / 1000;
    task.ran = 0;
    task.stopIn = -1;
    task.running = false;
    m_placer.placementSettled(action.task, action.worker, placement_outcome::Applied, m_now);
}

void placement_model::operator()(const preempt_action &action)
{
    auto &task = m_tasks.at(action.victim);
    const double allowed = std::chrono::duration<double>(action.checkpointDeadline - m_now).count();
    if (allowed >= CheckpointTakes)
        task.checkpoint = task.done;
    task.stopIn = std::min(allowed, CheckpointTakes);
    ++m_result.evictions;
    if (action.reason == preempt_reason::Interference)
        ++m_result.evictionsForInterference;
}

void placement_model::operator()(const throttle_action &action)
{
    m_tasks.at(action.task).limit = static_cast<double>(action.millicores) / 1000;
    ++m_result.throttles;
}

void placement_model::operator()(const refuse_action &action)
{
    if (action.kind != error_kind::Quarantined)
        m_tasks.erase(action.task);
}

void placement_model::deliverSamples()
{
    while (!m_samples.empty() && m_samples.front().arrives <= m_now) {
        std::visit(*this, m_samples.front().sample);
        m_samples.pop_front();
    }
}

bool placement_model::badWorker(const std::string &worker) const
{
    return m_settings.failures && worker == "w7" && at() >= 2'400 && at() < 4'200;
}

// The work since the last checkpoint is done again.
void placement_model::stop(model_task &task)
{
    m_result.wastedWork += task.done - task.checkpoint;
    task.done = task.checkpoint;
    task.restart = task.done > 0 ? RestartCost * task.need : 0;
    m_result.wastedWork += task.restart;
    task.worker.clear();
    task.running = false;
    task.pendingAt = at();
}

// False when the task has left its worker.
bool placement_model::advance(model_task &task)
{
    const auto ref = task.spec.ref();
    const auto worker = task.worker;
    if (!task.running) {
        task.running = true;
        m_placer.taskRunning(ref, worker, m_now);
        const bool urgent = task.spec.priority == task_priority::Urgent;
        if (urgent && !task.everRan && !task.alwaysFails)
            m_urgent.push_back(at() - task.pendingAt);
        task.everRan = true;
    }
    task.ran += TickSeconds;
    if (task.stopIn >= 0) {
        task.stopIn -= TickSeconds;
        if (task.stopIn > 0)
            return true;
        stop(task);
        m_placer.taskReleased(ref, worker, m_now);
        return false;
    }
    const bool service = task.spec.kind == task_kind::Service;
    if (!service && (task.alwaysFails || badWorker(worker)) && task.ran >= 3) {
        ++m_result.failures;
        stop(task);
        m_placer.taskFailed(ref, worker, "exit 1", m_now);
        return false;
    }
    const double progress = std::min(task.need, task.limit) * TickSeconds;
    const double restarted = std::min(task.restart, progress);
    task.restart -= restarted;
    task.done += progress - restarted;
    if (std::fmod(task.ran, CheckpointEvery) < TickSeconds / 2)
        task.checkpoint = task.done;
    if (task.done < task.work)
        return true;
    ++m_result.batchFinished;
    m_result.batchWork += task.work;
    m_placer.taskEnded(ref, worker, m_now);
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
        advance(m_tasks.at(ref));
}

// Memory grows over the first part of a task's work.
double placement_model::bytesOf(const model_task &task) const
{
    if (task.spec.kind == task_kind::Service)
        return task.peakBytes;
    return task.peakBytes * std::min(1.0, 0.3 + 1.75 * task.done / task.work);
}

void placement_model::killForMemory()
{
    std::map<std::string, double> used;
    std::map<std::string, model_task *> largest;
    for (auto &[ref, task] : m_tasks) {
        if (task.worker.empty())
            continue;
        used[task.worker] += bytesOf(task);
        auto *&found = largest[task.worker];
        if (task.spec.kind == task_kind::Batch && (!found || bytesOf(task) > bytesOf(*found)))
            found = &task;
    }
    for (const auto &[worker, bytes] : used) {
        auto *task = largest[worker];
        if (bytes <= static_cast<double>(WorkerSize.bytes) || !task)
            continue;
        ++m_result.memoryKills;
        stop(*task);
        m_placer.taskReleased(task->spec.ref(), worker, m_now); // not the program's fault
    }
}

void placement_model::sampleUsage()
{
    if (!everySeconds(UsageEvery))
        return;
    for (const auto &[ref, task] : m_tasks) {
        if (!task.running)
            continue;
        const resources used{std::llround(std::min(task.need, task.limit) * 1000),
                             std::llround(bytesOf(task)), 0};
        m_samples.push_back({m_now + UsageLag, usage_sample{ref, task.worker, used, m_now}});
    }
}

void placement_model::measureServices()
{
    if (!everySeconds(LatencyEvery))
        return;
    std::map<std::string, std::array<double, BatchClasses>> noise; // processors in use, by worker
    for (const auto &[ref, task] : m_tasks) {
        if (task.spec.kind == task_kind::Batch && task.running)
            noise[task.worker].at(static_cast<std::size_t>(task.batchClass)) +=
                    std::min(task.need, task.limit);
    }
    constexpr microseconds Target{20'000};
    for (const auto &[ref, task] : m_tasks) {
        if (task.spec.kind != task_kind::Service || !task.running)
            continue;
        const auto kind = static_cast<std::size_t>(task.batchClass);
        // The load of each service goes up and down over the hour.
        const double load = 0.25 * std::sin(at() / 600 + static_cast<double>(kind));
        double disturbed = 0;
        for (std::size_t other = 0; other < BatchClasses; ++other)
            disturbed += TrueEffects.at(kind).at(other) * noise[task.worker].at(other);
        const double ratio = AloneRatio.at(kind) + load + disturbed + 0.08 * normal();
        m_ratios.push_back(std::exp(ratio));
        m_slowdowns += std::exp(disturbed);
        const microseconds p99(std::llround(std::exp(ratio) * 20'000));
        m_samples.push_back(
                {m_now + LatencyLag, latency_sample{ref, task.worker, p99, Target, m_now}});
    }
}

void placement_model::checkCapacity()
{
    for (int index = 0; index < m_settings.workers; ++index) {
        const auto *book = m_placer.ledgerOf("w" + std::to_string(index));
        if (book && !book->reserved().fitsIn(book->size()))
            ++m_result.overCapacity;
    }
}

double percentile(std::vector<double> values, double portion)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(portion * last))];
}

void placement_model::finish()
{
    constexpr double SecondsPerHour = 3'600;
    m_result.batchWork /= SecondsPerHour;
    m_result.wastedWork /= SecondsPerHour;
    const auto late =
            std::count_if(m_ratios.begin(), m_ratios.end(), [](double ratio) { return ratio > 1; });
    const auto moments = static_cast<double>(std::max<std::size_t>(m_ratios.size(), 1));
    m_result.serviceLate = static_cast<double>(late) / moments;
    m_result.meanSlowdown = m_slowdowns / moments;
    m_result.servicePercentile99 = percentile(m_ratios, 0.99);
    m_result.urgentPercentile99 = percentile(m_urgent, 0.99);
    m_result.urgentSlowest = percentile(m_urgent, 1);
}

model_result placement_model::run()
{
    addWorkers();
    const auto end = Start + std::chrono::minutes(m_settings.minutes);
    for (; m_now < end; m_now += Tick) {
        submitJobs();
        deliverSamples();
        runTasks();
        killForMemory();
        sampleUsage();
        measureServices();
        for (const auto &action : m_placer.plan(m_now, 1'000))
            std::visit(*this, action);
        checkCapacity();
    }
    finish();
    return m_result;
}

} // namespace

std::vector<named_policy> comparedPolicies()
{
    named_policy declared{"first fit, declared sizes", {}};
    declared.settings.algorithm = placement_algorithm::FirstFit;
    declared.settings.avoidInterference = false;
    declared.settings.relieveServices = false;
    declared.settings.sizes.learn = false;
    declared.settings.interference.learn = false;
    declared.settings.quarantine.enabled = false;
    named_policy unlearned{"no learning", {}};
    unlearned.settings.sizes.learn = false;
    unlearned.settings.interference.learn = false;
    unlearned.settings.weights = {0.7, 0.2, 0.1};
    named_policy mtkvari{"chosen, Mtkvari's weights", {}};
    mtkvari.settings.weights = {0.7, 0.2, 0.1}; // seat holds cannot wait
    named_policy vtav{"chosen, VTAV's weights", {}};
    vtav.settings.weights = {0.2, 0.4, 0.4}; // watchers must finish and not be restarted
    auto unrelieved = mtkvari;
    unrelieved.name = "Mtkvari's, no relief";
    unrelieved.settings.relieveServices = false;
    auto unattributed = mtkvari;
    unattributed.name = "Mtkvari's, effects unknown";
    unattributed.settings.interference.learn = false;
    return {declared, unlearned, mtkvari, vtav, unrelieved, unattributed};
}

model_result runModel(const placer_settings &policy, const model_settings &settings)
{
    return placement_model(policy, settings).run();
}

} // namespace zinniabarrow::bench
