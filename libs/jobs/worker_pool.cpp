#include "jobs/worker_pool.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace zinniabarrow::jobs {

namespace {

// On an agent's clock. Earlier than any order, so that an order with this deadline starts nothing.
constexpr std::int64_t ExpiredDeadlineMs = 1;

// A pseudo-random bonus for a worker, so that different runs choose different workers among those
// of nearly equal score. All entries receive the same reports at the same time. If all chose the
// worker that is best by a small margin, all orders but the first would be refused. The bonus is
// smaller than any single term of the score.
double tieBreakOf(const std::string &worker, std::uint64_t seed)
{
    // Weighs as much in the score as a quarter of a worker's processors.
    constexpr double MaxTieBreak = 0.05;
    constexpr std::uint64_t TieBreakSteps = 1024;
    if (seed == 0)
        return 0;
    auto hash = stableHash(worker) ^ (seed * 0x9e3779b97f4a7c15ULL);
    hash = (hash ^ (hash >> 31)) * 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 29;
    return MaxTieBreak * static_cast<double>(hash % TieBreakSteps)
           / static_cast<double>(TieBreakSteps);
}

} // namespace

task_size reservedSize(const task_size &size, bool isBestEffort)
{
    auto reserved = size;
    if (isBestEffort)
        reserved.millicores = 0;
    return reserved;
}

worker_pool::worker_pool(const pool_settings &settings)
    : m_settings(settings)
{ }

bool worker_pool::update(const worker_report &report, time_point now)
{
    auto &view = m_workers[report.worker];
    // A delayed report from a previous incarnation of the agent. Runs placed on the basis of it
    // would be refused.
    if (report.agentIncarnation != 0 && report.agentIncarnation < view.lastReport.agentIncarnation)
        return false;
    const bool isNewIncarnation = view.lastReport.agentIncarnation != report.agentIncarnation
                                  || view.lastReport.epoch != report.epoch;
    updateClock(view, report, now);
    view.lastReport = report;
    view.lastReport.ends.clear();
    view.lastReport.progress.clear();
    view.refusedSizes.clear();
    view.lastReportAt = now;
    view.lateJobs = lateJobsOf(view);
    if (m_serviceHistory.isDue(now))
        m_serviceHistory.recordCounts(countServingRuns(now), now);
    return isNewIncarnation;
}

// Keeps the reading that gives the latest time. A report that was delayed on its way must not set
// the clock back.
void worker_pool::updateClock(worker_view &view, const worker_report &report, time_point now)
{
    if (report.clockMs == 0 || report.agentIncarnation != view.lastReport.agentIncarnation)
        view.clock.reset();
    if (report.clockMs == 0)
        return;
    if (!view.clock || view.clock->lowerBoundMs(now) < report.clockMs)
        view.clock = agent_clock{report.clockMs, now};
}

std::int64_t worker_pool::startDeadlineFor(const std::string &worker, std::int64_t agentIncarnation,
                                           time_point now) const
{
    const auto *view = find(worker);
    if (view == nullptr || !view->clock)
        return 0;
    // The clock of that incarnation is not known yet. With an expired deadline, the order claims a
    // run that exists already, but starts none.
    if (view->lastReport.agentIncarnation < agentIncarnation)
        return ExpiredDeadlineMs;
    return view->clock->lowerBoundMs(now) + m_settings.startOrderValidity.count();
}

const worker_view *worker_pool::find(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool worker_pool::isReporting(const std::string &worker, time_point now) const
{
    const auto *view = find(worker);
    return view != nullptr && now - view->lastReportAt <= m_settings.reportTimeout;
}

bool worker_pool::recordRunEnd(const std::string &worker, end_kind endKind, double slowdown,
                               time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    auto &view = found->second;
    // Weight of the newest run: about the last five runs count.
    constexpr double NewestRunWeight = 0.2;
    if (endKind == end_kind::Done) {
        view.consecutiveFailures = 0;
        if (slowdown > 0)
            view.slowdown += NewestRunWeight * (slowdown - view.slowdown);
    }
    if (endKind != end_kind::Failed)
        return false;
    // Long-running runs are never done. On a worker that has only these, nothing else would end the
    // row, and each single failure of the day would quarantine it.
    if (now - view.lastFailureAt > m_settings.failureMemory)
        view.consecutiveFailures = 0;
    view.lastFailureAt = now;
    // Failures during a quarantine don't prolong it: long-running tasks may be tried there, and one
    // that fails each time would keep all other tasks away for good.
    if (++view.consecutiveFailures < m_settings.maxConsecutiveFailures
        || now < view.quarantinedUntil)
        return false;
    view.quarantinedUntil = now + m_settings.quarantineTime;
    return true;
}

bool worker_pool::applyReportedFailures(const std::string &worker, time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    auto &view = found->second;
    const auto failures = view.lastReport.failuresInRow;
    const bool hasNewOnes = failures > std::exchange(view.handledFailures, failures);
    if (!hasNewOnes || failures < m_settings.maxConsecutiveFailures || now < view.quarantinedUntil)
        return false;
    view.quarantinedUntil = now + m_settings.quarantineTime;
    return true;
}

void worker_pool::recordServedRun(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.consecutiveFailures = 0;
}

unfit_reason worker_pool::unfitReasonOf(const worker_view &view, const std::string &service,
                                        const step_spec &step,
                                        const placement_preferences &preferences,
                                        time_point now) const
{
    const auto &latest = view.lastReport;
    if (latest.service != service)
        return unfit_reason::ServiceMismatch;
    if (m_evacuatedZones.contains(latest.zone))
        return unfit_reason::Evacuated;
    if (!latest.isAccepting || latest.epoch == 0)
        return unfit_reason::NotAccepting;
    if (now - view.lastReportAt > m_settings.reportTimeout)
        return unfit_reason::Silent;
    if (now < view.quarantinedUntil && !preferences.mayUseQuarantined)
        return unfit_reason::Quarantined;
    if (!step.requiredLabel.empty() && step.requiredLabel != latest.kind
        && step.requiredLabel != latest.rack)
        return unfit_reason::LabelMismatch;
    // Above this share, best-effort runs only slow each other down: more jobs are on time when they
    // wait and run one after another than when all run at a fraction of full speed.
    constexpr double MaxProcessorShare = 0.95;
    if (step.isBestEffort && !preferences.mayOvercommit && latest.bestEffortMillicores > 0
        && processorShareWith(view, step) > MaxProcessorShare)
        return unfit_reason::BestEffortFull;
    // A best-effort task waits for a worker on which it causes no lateness: its objective leaves it
    // time, while nothing makes up for a late response to a user.
    constexpr double MaxExpectedLateJobs = 0.15;
    if (step.isBestEffort && preferences.avoidsInterference
        && expectedLateJobs(view, step) > MaxExpectedLateJobs)
        return unfit_reason::WouldCauseLateness;
    const auto size = reservedSize(step.size, step.isBestEffort);
    const auto lacking = lackingResource(size, latest.capacity, latest.used);
    if (lacking == unfit_reason::None && preferences.leavesLastPlaces && isLeftToHome(view, step))
        return unfit_reason::LeftToHome;
    return lacking == unfit_reason::None && wasRefused(view, size) ? unfit_reason::RefusedByAgent
                                                                   : lacking;
}

bool worker_pool::wasRefused(const worker_view &view, const task_size &size)
{
    return std::any_of(view.refusedSizes.begin(), view.refusedSizes.end(),
                       [&](const auto &refused) { return refused.fitsInto(size); });
}

unfit_reason worker_pool::lackingResource(const task_size &size, const task_size &capacity,
                                          const task_size &used)
{
    if (used.millicores + size.millicores > capacity.millicores)
        return unfit_reason::NoProcessors;
    if (used.memoryMb + size.memoryMb > capacity.memoryMb)
        return unfit_reason::NoMemory;
    if (used.accelerators + size.accelerators > capacity.accelerators)
        return unfit_reason::NoAccelerators;
    return unfit_reason::None;
}

bool worker_pool::hasRoomBesideLongRunning(const worker_view &view, const step_spec &step)
{
    return lackingResource(reservedSize(step.size, step.isBestEffort), view.lastReport.capacity,
                           view.lastReport.usedByLongRunning)
           == unfit_reason::None;
}

// The share of the worker's processors that would be in use with a task of the step.
double worker_pool::processorShareWith(const worker_view &view, const step_spec &step)
{
    const auto &latest = view.lastReport;
    const auto capacity =
            static_cast<double>(std::max<std::int64_t>(1, latest.capacity.millicores));
    // Serving runs use about half of the processors that they reserve; best-effort runs use the
    // rest.
    constexpr double ReservationUsage = 0.5;
    const auto requested = static_cast<double>(latest.bestEffortMillicores + step.size.millicores);
    return (ReservationUsage * static_cast<double>(latest.used.millicores) + requested) / capacity;
}

// Score of a worker for a task of the step; higher is better. It is the share of the processors
// that stays idle, less penalties for whatever makes the run slow or its neighbours late.
double worker_pool::score(const worker_view &view, const step_spec &step, int waitingTasks) const
{
    if (step.latencyTargetMs > 0)
        return servingScore(view, step, waitingTasks);
    const auto &latest = view.lastReport;
    const double share = processorShareWith(view, step);
    // Below this share, all runs of a worker are at full speed. Above it, best-effort runs share
    // the remaining processor time.
    constexpr double OvercommitStart = 0.9; // below 1 since declared sizes are rough
    constexpr double OvercommitPenalty =
            4; // a run at half speed is worse than one that makes its neighbours late
    double score = -0.2 * share - OvercommitPenalty * std::max(0.0, share - OvercommitStart);
    if (!step.dataRack.empty() && step.dataRack != latest.rack)
        score -= 0.5; // a task on another rack than its data takes half as long again
    // A slowdown up to 1.3 may come from the estimates alone, which are off by a fifth.
    score -= 0.25 * std::max(0.0, view.slowdown - 1.3);
    // Reduces the number of entries that choose the same free capacity before they receive each
    // other's placements in a report. Smaller than the penalty of an overcommitted worker.
    constexpr double HomeBonus = 0.15;
    score += view.isHome ? HomeBonus : 0;
    constexpr double LateJobPenalty = 4; // as much as an overcommitment by all processors
    return score - LateJobPenalty * latenessCost(view, step);
}

// Packs serving runs onto few workers, those of the same job and image together. Best-effort runs
// then find workers on which they make no job late; on the others they run beside one image at one
// load instead of many.
double worker_pool::servingScore(const worker_view &view, const step_spec &step, int waitingTasks)
{
    const auto &latest = view.lastReport;
    const auto sameImageRuns =
            std::count_if(latest.serving.begin(), latest.serving.end(),
                          [&](const auto &run) { return run.image == step.image; });
    double score = static_cast<double>(countFitting(view, step, waitingTasks)) / waitingTasks;
    if (!latest.serving.empty())
        score += 0.5
                 + static_cast<double>(sameImageRuns) / static_cast<double>(latest.serving.size());
    // Among similar workers, prefer the one with the least free capacity.
    const auto free = static_cast<double>(latest.capacity.millicores - latest.used.millicores);
    score -=
            0.2 * free / static_cast<double>(std::max<std::int64_t>(1, latest.capacity.millicores));
    // A slowdown up to 1.3 may come from the estimates alone, which are off by a fifth.
    score -= 0.25 * std::max(0.0, view.slowdown - 1.3);
    return score;
}

// Serving tasks are packed, best-effort tasks reserve memory alone, and a task that depends on a
// rack or a label has few workers to choose from.
bool worker_pool::isShortAndAnywhere(const step_spec &step)
{
    return !step.isBestEffort && !step.isLongRunning && step.dataRack.empty()
           && step.requiredLabel.empty();
}

// When a place comes free on a full worker, all entries with waiting tasks hear of it within a
// fraction of a second. If all ordered a run there, all orders but one would be refused.
bool worker_pool::isLeftToHome(const worker_view &view, const step_spec &step)
{
    constexpr int LastPlaces = 6;
    if (view.isHome || !isShortAndAnywhere(step))
        return false;
    return countPlaces(view, step.size, LastPlaces + 1) <= LastPlaces;
}

double worker_pool::contentionPenalty(const worker_view &view, const step_spec &step)
{
    // Two owners meet on one of the last places about as often as places are few. A refused order
    // costs a write and a placement more, which weighs as much as a place near the data.
    constexpr double LastPlacePenalty = 0.5;
    constexpr int EnoughPlaces = 32;
    if (view.isHome || !isShortAndAnywhere(step))
        return 0;
    return LastPlacePenalty / std::max(1, countPlaces(view, step.size, EnoughPlaces));
}

// The number of the `waitingTasks` tasks of the step that would fit on the worker.
int worker_pool::countFitting(const worker_view &view, const step_spec &step, int waitingTasks)
{
    const int tasks = countPlaces(view, step.size, waitingTasks);
    return step.maxPerWorker > 0 ? std::min(tasks, step.maxPerWorker) : tasks;
}

// How many tasks of the size the worker has room for, counted up to `limit`.
int worker_pool::countPlaces(const worker_view &view, const task_size &size, int limit)
{
    auto freeCapacity = view.lastReport.capacity;
    freeCapacity -= view.lastReport.used;
    int places = 0;
    while (places < limit && size.fitsInto(freeCapacity)) {
        freeCapacity -= size;
        ++places;
    }
    return places;
}

// By job: the probability that placing a best-effort task of the step makes the job late on this
// worker, or keeps it late. Only the worst run of each job counts: users of a job depend on all of
// its tasks, so one late task spoils the job and a second one adds little.
std::map<std::string, double> worker_pool::expectedLateness(const worker_view &view,
                                                            const step_spec &step) const
{
    std::map<std::string, double> latenessByJob;
    if (!step.isBestEffort)
        return latenessByJob;
    // Width of the range of load between certainly on time and certainly late: the serving runs'
    // own load varies while the best-effort run is active.
    constexpr double LoadUncertainty = 0.2; // load
    constexpr double FullWeightLoad = 0.05; // load; a run that adds less counts in proportion
    const double cores = static_cast<double>(step.size.millicores) / 1000;
    for (const auto &run : view.lastReport.serving) {
        const double addedLoad = m_interferenceEstimator.loadPerCore(run.image, step.image) * cores;
        const double load = interferenceLoad(view, run) + addedLoad;
        const double probability =
                std::clamp((load - run.headroom) / LoadUncertainty + 0.5, 0.0, 1.0);
        if (probability <= 0 || addedLoad <= 0)
            continue;
        auto &worstLateness = latenessByJob[run.job];
        worstLateness =
                std::max(worstLateness, probability * std::min(1.0, addedLoad / FullWeightLoad));
    }
    return latenessByJob;
}

// Expected number of jobs that the task makes or keeps late here. A job that is late elsewhere
// counts only in part.
double worker_pool::expectedLateJobs(const worker_view &view, const step_spec &step) const
{
    double sum = 0;
    for (const auto &[job, probability] : expectedLateness(view, step))
        sum += probability * latenessWeight(view, job);
    return sum;
}

// Expected number of late jobs as it counts in the choice between workers. That a job is late
// elsewhere counts here only if it was served no worse than the average: a job with many tasks is
// nearly always late somewhere and would otherwise attract all best-effort runs.
// `expectedLateJobs`, which decides whether a best-effort task waits, makes no such exception,
// since the task causes the same lateness in either case.
double worker_pool::latenessCost(const worker_view &view, const step_spec &step) const
{
    double sum = 0;
    for (const auto &[job, probability] : expectedLateness(view, step)) {
        const auto weight = m_serviceHistory.isBelowAverage(job)
                                    ? m_serviceHistory.latenessWeightOf(job)
                                    : latenessWeight(view, job);
        sum += probability * weight;
    }
    return sum;
}

double worker_pool::latenessWeight(const worker_view &view, const std::string &job) const
{
    constexpr double LateElsewhereWeight =
            0.3; // users of a job that is late elsewhere lose little more
    // Without this factor, best-effort tasks may go beside the same jobs all day: those whose
    // headroom happens to look sufficient, although they have been late most of the time.
    const auto weight = m_serviceHistory.latenessWeightOf(job);
    return isLateElsewhere(view, job) ? LateElsewhereWeight * weight : weight;
}

double worker_pool::interferenceLoad(const worker_view &view, const serving_headroom &run) const
{
    double load = 0;
    for (const auto &[bestEffortImage, demandCores] : view.lastReport.bestEffortDemand)
        load += m_interferenceEstimator.loadPerCore(run.image, bestEffortImage) * demandCores;
    return load;
}

// Jobs with a run here that the interference of its neighbours puts over its latency target.
std::set<std::string> worker_pool::lateJobsOf(const worker_view &view) const
{
    constexpr double LateMargin = 0.05; // load
    std::set<std::string> overTarget;
    for (const auto &run : view.lastReport.serving) {
        if (!run.job.empty() && interferenceLoad(view, run) > run.headroom + LateMargin)
            overTarget.insert(run.job);
    }
    return overTarget;
}

bool worker_pool::isLateElsewhere(const worker_view &view, const std::string &job) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return &entry.second != &view && entry.second.lateJobs.contains(job);
    });
}

std::optional<std::string> worker_pool::chooseWorker(const std::string &service,
                                                     const step_spec &step,
                                                     const std::vector<std::string> &avoid,
                                                     time_point now,
                                                     const placement_preferences &preferences) const
{
    const worker_view *best = nullptr;
    double bestScore = 0;
    for (const auto &[name, view] : m_workers) {
        if (unfitReasonOf(view, service, step, preferences, now) != unfit_reason::None)
            continue;
        if (std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            continue;
        auto candidateScore = score(view, step, preferences.waitingTasks)
                              + tieBreakOf(name, preferences.tieBreakSeed);
        if (preferences.weighsRoom)
            candidateScore -= contentionPenalty(view, step);
        if (best != nullptr && candidateScore <= bestScore)
            continue;
        best = &view;
        bestScore = candidateScore;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->lastReport.worker;
}

void worker_pool::setHome(const std::string &worker, bool isHome)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.isHome = isHome;
}

serving_counts worker_pool::countServingRuns(time_point now) const
{
    serving_counts countsByJob;
    for (const auto &[name, view] : m_workers) {
        if (now - view.lastReportAt > m_settings.reportTimeout)
            continue;
        for (const auto &run : view.lastReport.serving) {
            if (run.job.empty())
                continue;
            auto &job = countsByJob[run.job];
            ++job.running;
            job.late += run.isLate ? 1 : 0;
        }
    }
    return countsByJob;
}

double worker_pool::usedProcessorShare(const std::string &service, time_point now) const
{
    task_size used;
    task_size capacity;
    for (const auto &[name, view] : m_workers) {
        if (view.lastReport.service != service
            || now - view.lastReportAt > m_settings.reportTimeout)
            continue;
        used += view.lastReport.used;
        capacity += view.lastReport.capacity;
    }
    if (capacity.millicores <= 0)
        return 1;
    return static_cast<double>(used.millicores) / static_cast<double>(capacity.millicores);
}

void worker_pool::reserve(const std::string &worker, const step_spec &step)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    const auto size = reservedSize(step.size, step.isBestEffort);
    found->second.lastReport.used += size;
    if (step.isLongRunning)
        found->second.lastReport.usedByLongRunning += size;
    if (step.isBestEffort) {
        found->second.lastReport.bestEffortMillicores += step.size.millicores;
        found->second.lastReport.bestEffortDemand[step.image] +=
                static_cast<double>(step.size.millicores) / 1000;
    }
    if (step.latencyTargetMs > 0) {
        const auto estimatedHeadroom = m_interferenceEstimator.loadAtTarget(step.image)
                                       - m_interferenceEstimator.baseLoad(step.image);
        found->second.lastReport.serving.push_back(
                {step.image, estimatedHeadroom, ""}); // the next report names its job
    }
}

void worker_pool::recordRefusal(const std::string &worker, const step_spec &step,
                                time_point reportedAt)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && found->second.lastReportAt == reportedAt)
        found->second.refusedSizes.push_back(reservedSize(step.size, step.isBestEffort));
}

} // namespace zinniabarrow::jobs
