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

// Whether the worker can take the task, or could if others of its runs ended.
bool mayFitLater(unfit_reason reason)
{
    switch (reason) {
    case unfit_reason::None:
    case unfit_reason::BestEffortFull:
    case unfit_reason::WouldCauseLateness:
    case unfit_reason::RefusedByAgent:
    case unfit_reason::NoProcessors:
    case unfit_reason::NoMemory:
    case unfit_reason::NoAccelerators:
        return true;
    default:
        return false;
    }
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

void worker_pool::recordRunTime(const std::string &worker, double ratioToExpected,
                                bool isBestEffort)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto &view = found->second;
    constexpr std::size_t MinRuns = 3; // fewer may have been long tasks
    view.runTimeRatios.add(ratioToExpected);
    if (!isBestEffort)
        view.reservedRatios.add(ratioToExpected);
    if (view.runTimeRatios.size() >= MinRuns)
        view.slowdown = view.runTimeRatios.median();
}

double worker_pool::slowdownAmongPeers(const std::string &worker) const
{
    constexpr std::size_t MinRuns = 5;
    constexpr double NoticeableSlowdown = 1.3; // less may be chance
    const auto *view = find(worker);
    if (view == nullptr || view->reservedRatios.size() < MinRuns)
        return 1;
    std::vector<double> peers;
    for (const auto &[name, peer] : m_workers) {
        if (peer.reservedRatios.size() >= MinRuns)
            peers.push_back(peer.reservedRatios.median());
    }
    const auto middle = peers.begin() + static_cast<std::ptrdiff_t>(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    const double slowdown = view->reservedRatios.median() / std::max(*middle, 1e-3);
    return slowdown > NoticeableSlowdown ? slowdown : 1;
}

void worker_pool::recordOvertakenRun(const std::string &worker, double slowdown)
{
    // Half: it is certain that the worker was slow, as the copy was started later and done sooner.
    constexpr double OvertakenRunWeight = 0.5;
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || slowdown <= found->second.slowdown)
        return;
    found->second.slowdown += OvertakenRunWeight * (slowdown - found->second.slowdown);
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
    if (!preferences.onlyRack.empty() && preferences.onlyRack != latest.rack)
        return unfit_reason::OtherRack;
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
        && expectedLateJobs(view, step, preferences.loadMargin) > MaxExpectedLateJobs)
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

std::map<std::string, rack_room>
worker_pool::roomByRack(const std::string &service, const step_spec &step, int maxTasks,
                        time_point now, const placement_preferences &preferences) const
{
    std::map<std::string, rack_room> rooms;
    for (const auto &[name, view] : m_workers) {
        const auto reason = unfitReasonOf(view, service, step, preferences, now);
        const auto size = reservedSize(step.size, step.isBestEffort);
        if (view.lastReport.rack.empty() || !mayFitLater(reason)
            || !size.fitsInto(view.lastReport.capacity))
            continue;
        auto &room = rooms[view.lastReport.rack];
        ++room.workers;
        if (reason == unfit_reason::None)
            room.fittingTasks =
                    std::min(maxTasks, room.fittingTasks + countFitting(view, step, maxTasks));
    }
    return rooms;
}

std::string worker_pool::rackOf(const std::string &worker) const
{
    const auto *view = find(worker);
    return view == nullptr ? std::string() : view->lastReport.rack;
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
