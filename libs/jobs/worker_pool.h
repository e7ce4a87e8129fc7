// An entry's view of the workers, built from their agents' reports, and the choice of the worker
// for a task. Each entry has one pool: it passes in the reports, and its job_controller chooses
// workers. A step of a job consists of tasks of the same kind (step_spec in model.h), and a run is
// one attempt to execute a task. "Serving" runs are those with a latency target; best-effort runs
// reserve no processors and interfere with serving runs. Independent of worker_chooser and
// quarantine in the placement library.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/agent_clock.h"
#include "jobs/messages.h"
#include "jobs/recent_ratios.h"
#include "jobs/service_history.h"

namespace zinniabarrow::jobs {

// What an entry knows of one worker.
struct worker_view
{
    // Latest report, without its run ends and checkpoints. `used`, `usedByLongRunning`,
    // `bestEffortMillicores`, `bestEffortDemand` and `serving` also include this entry's own
    // placements since then.
    worker_report lastReport;
    time_point lastReportAt{};        // when the report arrived
    std::optional<agent_clock> clock; // of the agent's present incarnation
    // Sizes that the agent refused since the report for lack of free capacity.
    std::vector<task_size> refusedSizes;
    // Late jobs: those with a serving run here that is expected to miss its latency target, as its
    // best-effort neighbours add more load than its headroom in the report.
    std::set<std::string> lateJobs;
    bool isHome = false;           // this entry prefers the worker; see entry_directory::homeOf()
    int consecutiveFailures = 0;   // failed runs since the last one that was done or served
    time_point lastFailureAt{};    // when the latest of them ended
    int handledFailures = 0;       // worker_report::failuresInRow when it was last looked at
    time_point quarantinedUntil{}; // before, a task is placed here only as a last resort
    // Actual run time over estimated run time, moving average. Where run times are learned: over
    // the expected run time, median.
    double slowdown = 1;
    recent_ratios runTimeRatios;  // actual over expected run time of all runs
    recent_ratios reservedRatios; // the same of runs that reserve their processors
};

struct pool_settings
{
    // A worker whose agent has not reported for this long gets no new tasks. Agents report every
    // second.
    milliseconds reportTimeout{2500};
    // How long a start order is valid. An agent starts nothing by an order that arrives later: the
    // task may be done by then. A stop order for the run may even have overtaken the start order,
    // and the agent may have forgotten the stop order. The order_sender waits a little less long
    // for the answer to an order.
    milliseconds startOrderValidity{700};
    // A worker on which this many runs fail in a row is quarantined for `quarantineTime`. A few per
    // cent of tasks fail wherever they run, so four failures in a row rarely happen by chance.
    int maxConsecutiveFailures = 4;
    milliseconds quarantineTime{6000};
    // Failures count as in a row only if each comes within this time of the one before. It is
    // longer than a quarantine: a faulty worker that fails the first run after it is quarantined
    // again.
    milliseconds failureMemory{12'000};
};

// Why a worker can take no task of a step at present. Counted in the log by `describeUnfitWorkers`.
enum class unfit_reason {
    None,               // the worker can take the task
    ServiceMismatch,    // belongs to another service than the job
    NotAccepting,       // its agent accepts no runs, or has no epoch yet
    Evacuated,          // its zone is evacuated
    Silent,             // no report within `reportTimeout`
    Quarantined,        // too many runs failed in a row
    LabelMismatch,      // neither its kind nor its rack is the label that the step requires
    OtherRack,          // not on the rack to which this choice is limited
    BestEffortFull,     // best-effort runs would only slow each other down
    WouldCauseLateness, // a best-effort task would make serving runs late
    Avoided,            // in the `avoid` list of this choice
    LeftToHome,         // its last places are left to the entry that is its home
    RefusedByAgent,     // its agent refused a task of this size or smaller since its last report
    NoProcessors,
    NoMemory,
    NoAccelerators
};
std::string_view nameOf(unfit_reason reason); // as in the log

// How one choice of a worker is made.
struct placement_preferences
{
    // Waiting tasks of the step, including the one for which a worker is chosen. For a serving
    // task, a worker on which more of them fit is preferred.
    int waitingTasks = 1;
    // Whether a best-effort task is left waiting rather than make serving runs exceed their latency
    // targets.
    bool avoidsInterference = true;
    // Whether a best-effort task may go where best-effort runs already use all processors.
    bool mayOvercommit = false;
    // Randomizes the choice between workers of nearly equal score; 0: takes the best one.
    std::uint64_t tieBreakSeed = 0;
    // Whether the task may go to a quarantined worker: as a last resort, if no other can take it.
    bool mayUseQuarantined = false;
    // Whether a short reserved task avoids workers on which few more of its size fit. See
    // scheduling_features.
    bool weighsRoom = false;
    // Whether such a task also leaves the last places of a worker to the entry that is its home,
    // which hears of each end there at once.
    bool leavesLastPlaces = false;
    // With `avoidsInterference`: load that serving runs must be able to bear in addition.
    double loadMargin = 0;
    std::string onlyRack = {}; // the only rack on which to look for a worker; empty: on all
};

// What a rack has for the tasks of a step.
struct rack_room
{
    int workers = 0;      // that can take tasks of the step, now or when other runs have ended
    int fittingTasks = 0; // tasks of the step that these could start now
};

class worker_pool
{
public:
    explicit worker_pool(const pool_settings &settings = {});

    // Takes a report. Returns true when the agent's incarnation or the worker's epoch has changed
    // since the last report.
    bool update(const worker_report &report, time_point now);
    const worker_view *find(const std::string &worker) const;
    std::size_t workerCount() const { return m_workers.size(); } // that have ever reported
    const std::map<std::string, worker_view> &workers() const { return m_workers; }
    // Whether its agent has reported within `reportTimeout`.
    bool isReporting(const std::string &worker, time_point now) const;
    // Deadline of a start order that is sent now, by the clock of the agent, ms; 0: the agent's
    // clock is unknown. `agentIncarnation` is that of the agent when the run was placed. While
    // the last report is of an earlier incarnation, the deadline is one that has already passed:
    // the order can claim a run that exists, but starts none.
    std::int64_t startDeadlineFor(const std::string &worker, std::int64_t agentIncarnation,
                                  time_point now) const;

    // Whether this entry is the worker's home. Ignored for unknown workers.
    void setHome(const std::string &worker, bool isHome);

    // Sets the zones in which no more runs are started; see evacuations.h.
    void setEvacuatedZones(std::set<std::string> zones) { m_evacuatedZones = std::move(zones); }

    // Records how a run ended on the worker. `slowdown` is its actual run time over its estimate;
    // 0: unknown. Returns true when a quarantine begins.
    bool recordRunEnd(const std::string &worker, end_kind endKind, double slowdown, time_point now);

    // Records how long a run took, as a ratio to what was expected of its step.
    void recordRunTime(const std::string &worker, double ratioToExpected, bool isBestEffort);
    // How much longer than on other workers runs take on this one, by those that reserve their
    // processors; 1: not noticeably longer, or not known.
    double slowdownAmongPeers(const std::string &worker) const;

    // Records that a run which a copy has overtaken was stopped: it would have taken at least
    // `slowdown` times its estimate. Without this a slow worker would end no run, and so keep its
    // good score.
    void recordOvertakenRun(const std::string &worker, double slowdown);

    // Applies the failures of all entries' runs that the latest report counts. Returns true when
    // a quarantine begins.
    bool applyReportedFailures(const std::string &worker, time_point now);

    // Records that a long-running run failed after it had been at work for a while: the worker is
    // not faulty.
    void recordServedRun(const std::string &worker);

    // Chooses the worker for one task of `step`; none: no worker can take it now. `avoid` lists
    // workers that are excluded.
    std::optional<std::string> chooseWorker(const std::string &service, const step_spec &step,
                                            const std::vector<std::string> &avoid, time_point now,
                                            const placement_preferences &preferences = {}) const;
    // Racks with workers for tasks of the step, and how many of at most `maxTasks` fit there.
    std::map<std::string, rack_room> roomByRack(const std::string &service, const step_spec &step,
                                                int maxTasks, time_point now,
                                                const placement_preferences &preferences) const;
    // The rack of a worker by its latest report; empty: unknown.
    std::string rackOf(const std::string &worker) const;
    // Explains for the log why `chooseWorker` found no worker: the number of workers of the service
    // for each unfit_reason, how many of the workers that lack free capacity would have enough
    // for the task if they had only their long-running runs, and how many processors that would
    // leave free: in sum, and on the worker with most.
    std::string describeUnfitWorkers(const std::string &service, const step_spec &step,
                                     const std::vector<std::string> &avoid, time_point now,
                                     const placement_preferences &preferences = {}) const;
    // Millicores that each worker has free if only its long-running runs count, of the workers that
    // could take a task of the step if they had room for it.
    std::map<std::string, std::int64_t>
    gapsBesideLongRunning(const std::string &service, const step_spec &step, time_point now) const;
    // For the log: the worker of each late serving run of the job, with the run's headroom and the
    // load that its best-effort neighbours are estimated to add. Empty: none is late.
    std::string describeLateRuns(const std::string &job, time_point now) const;
    // Serving runs by job, from workers that report at present. Jobs without latency targets are
    // not included.
    serving_counts countServingRuns(time_point now) const;
    // Share of the service's processors that is in use or reserved, 0 to 1, over the workers that
    // report at present. Best-effort runs are not included.
    double usedProcessorShare(const std::string &service, time_point now) const;
    // Adds a placement to the worker's used resources, until its next report replaces them.
    void reserve(const std::string &worker, const step_spec &step);
    // Records that the agent refused a task of this step for lack of free capacity. Until its next
    // report, no task of that size or larger is placed there. `reportedAt`: when the report arrived
    // on which the refused order was based; the refusal is ignored if a newer report has arrived.
    void recordRefusal(const std::string &worker, const step_spec &step, time_point reportedAt);

    // The entry passes it the samples in the reports, and sends its table to agents that ask for
    // it.
    interference_estimator &interferenceEstimator() { return m_interferenceEstimator; }

private:
    static void updateClock(worker_view &view, const worker_report &report, time_point now);
    unfit_reason unfitReasonOf(const worker_view &view, const std::string &service,
                               const step_spec &step, const placement_preferences &preferences,
                               time_point now) const;
    static unfit_reason lackingResource(const task_size &size, const task_size &capacity,
                                        const task_size &used);
    static bool wasRefused(const worker_view &view, const task_size &size);
    static bool hasRoomBesideLongRunning(const worker_view &view, const step_spec &step);
    static double processorShareWith(const worker_view &view, const step_spec &step);
    double score(const worker_view &view, const step_spec &step, int waitingTasks) const;
    static double servingScore(const worker_view &view, const step_spec &step, int waitingTasks);
    // Subtracted from the score: how likely it is that other entries, whose placements are not in
    // the view yet, take the capacity before the order arrives.
    static double contentionPenalty(const worker_view &view, const step_spec &step);
    static bool isShortAndAnywhere(const step_spec &step);
    static int countPlaces(const worker_view &view, const task_size &size, int limit);
    // Whether the last places of the worker are to be left to its home.
    static bool isLeftToHome(const worker_view &view, const step_spec &step);
    // Number of the waiting tasks that fit on the worker.
    static int countFitting(const worker_view &view, const step_spec &step, int waitingTasks);
    // By job: probability that a best-effort task of the step makes the job late here, or keeps it
    // late.
    std::map<std::string, double> expectedLateness(const worker_view &view, const step_spec &step,
                                                   double loadMargin) const;
    // Sum of these probabilities with the jobs' weights; decides whether the task waits.
    double expectedLateJobs(const worker_view &view, const step_spec &step,
                            double loadMargin) const;
    // The same for the choice between workers, where it does not matter whether jobs that were
    // served worse than the average are late elsewhere.
    double latenessCost(const worker_view &view, const step_spec &step) const;
    // Weight of one more late run of the job here: less if the job is late elsewhere too, more if
    // it was served worse than other jobs.
    double latenessWeight(const worker_view &view, const std::string &job) const;
    // Load that the best-effort runs on the worker add to the serving run.
    double interferenceLoad(const worker_view &view, const serving_headroom &run) const;
    std::set<std::string> lateJobsOf(const worker_view &view) const;
    bool isLateElsewhere(const worker_view &view, const std::string &job) const;

    pool_settings m_settings;
    std::map<std::string, worker_view> m_workers;
    std::set<std::string> m_evacuatedZones;
    interference_estimator m_interferenceEstimator;
    service_history m_serviceHistory; // how well callers of each serving job were served recently
};

// The part of a task's size that is reserved on a worker: best-effort tasks reserve no processors.
task_size reservedSize(const task_size &size, bool isBestEffort);

} // namespace zinniabarrow::jobs
