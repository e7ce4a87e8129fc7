// How good a worker is for a task, and how late its serving runs become by one more best-effort
// task.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

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

// How many tasks of the size fit on the worker, counted up to `limit`.
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
                                                            const step_spec &step,
                                                            double loadMargin) const
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
        const double load = interferenceLoad(view, run) + addedLoad + loadMargin;
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
double worker_pool::expectedLateJobs(const worker_view &view, const step_spec &step,
                                     double loadMargin) const
{
    double sum = 0;
    for (const auto &[job, probability] : expectedLateness(view, step, loadMargin))
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
    for (const auto &[job, probability] : expectedLateness(view, step, 0)) {
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

} // namespace zinniabarrow::jobs
