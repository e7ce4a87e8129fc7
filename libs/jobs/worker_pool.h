// An entry's view of the workers, built from their agents' reports, and the choice of the worker
// for a task. Each entry has one pool: it passes in the reports, and its job_controller chooses
// workers. A run is one attempt to execute a task. "Serving" runs are those with a latency target;
// best-effort runs reserve no processors and interfere with serving runs. Independent of
// worker_chooser and quarantine in the placement library.
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
#include "jobs/service_history.h"

namespace zinniabarrow::jobs {

// What an entry knows of one worker.
struct worker_view
{
    // Latest report, without its run ends and checkpoints. `used`, `usedByLongRunning`, the two
    // best-effort sums and `serving` also include this entry's own placements since then.
    worker_report lastReport;
    time_point lastReportAt{};        // when the report arrived
    std::optional<agent_clock> clock; // of the agent's present incarnation
    // Sizes that the agent refused since the report for lack of room.
    std::vector<task_size> refusedSizes;
    // Jobs with a task that is over its latency target here, by the report.
    std::set<std::string> lateJobs;
    int consecutiveFailures = 0;   // failed runs since the last one that was done
    time_point quarantinedUntil{}; // no task is placed here before
    double slowdown = 1;           // actual run time over estimated run time, moving average
};

struct pool_settings
{
    // A worker whose agent has not reported for this long gets no new tasks. Agents report every
    // second.
    milliseconds reportTimeout{2500};
    // How long a start order is valid. An agent starts nothing by an order that arrives later: the
    // task may be done by then. The stop order, sent later, may even have arrived first, and the
    // agent may no longer know of it. The sender's response timeout is a little shorter.
    milliseconds startOrderValidity{700};
    // A worker on which this many runs fail in a row is quarantined for `quarantineTime`. A few per
    // cent of tasks fail wherever they run, so four failures in a row rarely happen by chance.
    int maxConsecutiveFailures = 4;
    milliseconds quarantineTime{6000};
};

// Why a worker can take no task of a step at present.
enum class unfit_reason {
    None,               // the worker can take the task
    ServiceMismatch,    // belongs to another service than the job
    NotAccepting,       // its agent accepts no runs, or has no epoch yet
    Evacuated,          // its zone is evacuated
    Silent,             // no report within `reportTimeout`
    Quarantined,        // too many runs failed in a row
    LabelMismatch,      // neither its kind nor its rack is the label that the step requires
    BestEffortFull,     // best-effort runs would only slow each other down
    WouldCauseLateness, // a best-effort task would make serving runs late
    Avoided,            // excluded from this choice
    RefusedByAgent,     // its agent refused a task of this size or smaller since its last report
    NoProcessors,
    NoMemory,
    NoAccelerators
};
std::string_view nameOf(unfit_reason reason);

// How one choice of a worker is made.
struct placement_preferences
{
    // Waiting tasks of the step, this one included. For a serving task, a worker on which more of
    // them fit is preferred.
    int waitingTasks = 1;
    // Whether a best-effort task is left waiting rather than make serving runs exceed their latency
    // targets.
    bool avoidsInterference = true;
    // Randomizes the choice between workers of nearly equal score; 0: takes the best one.
    std::uint64_t tieBreakSeed = 0;
};

class worker_pool
{
public:
    explicit worker_pool(const pool_settings &settings = {});

    // Takes a report. Returns true when the agent's incarnation or the worker's epoch has changed
    // since the last report.
    bool update(const worker_report &report, time_point now);
    const worker_view *find(const std::string &worker) const;
    // Whether its agent has reported within `reportTimeout`.
    bool isReporting(const std::string &worker, time_point now) const;
    // Deadline of a start order that is sent now, by the clock of the agent, ms; 0: the agent's
    // clock is unknown. `agentIncarnation` is that of the agent when the run was placed. Before the
    // first report of that incarnation, the deadline is one that has passed: the order can claim a
    // run that exists, but starts none.
    std::int64_t startDeadlineFor(const std::string &worker, std::int64_t agentIncarnation,
                                  time_point now) const;

    // Sets the zones in which no more runs are started; see evacuations.h.
    void setEvacuatedZones(std::set<std::string> zones) { m_evacuatedZones = std::move(zones); }

    // Records how a run ended on the worker. `slowdown` is its actual run time over its estimate;
    // 0: unknown.
    void recordRunEnd(const std::string &worker, end_kind endKind, double slowdown, time_point now);

    // Chooses the worker for one task of `step`; none: no worker can take it now. `avoid` lists
    // workers that are excluded.
    std::optional<std::string> chooseWorker(const std::string &service, const step_spec &step,
                                            const std::vector<std::string> &avoid, time_point now,
                                            const placement_preferences &preferences = {}) const;
    // Explains for the log why `chooseWorker` found no worker: the number of workers of the service
    // for each unfit_reason, and how many of those that lack room have it beside their long-running
    // runs, counting no others.
    std::string describeUnfitWorkers(const std::string &service, const step_spec &step,
                                     const std::vector<std::string> &avoid, time_point now,
                                     const placement_preferences &preferences = {}) const;
    // Serving runs by job, from workers that report at present. Jobs without latency targets are
    // not included.
    serving_counts countServingRuns(time_point now) const;
    // Share of the service's processors that is in use or reserved, 0 to 1, over the workers that
    // report at present. Best-effort runs are not included.
    double usedProcessorShare(const std::string &service, time_point now) const;
    // Adds a placement to the worker's used resources, until its next report replaces them.
    void reserve(const std::string &worker, const step_spec &step);
    // Records that the agent had no room for a task of this step. Until its next report, no task of
    // that size or larger is placed there. Ignored when a report has arrived since `reportedAt`,
    // the arrival of the report that the refused order was based on.
    void recordRefusal(const std::string &worker, const step_spec &step, time_point reportedAt);

    // Learns from the samples in the reports; its table is sent to agents.
    interference_estimator &interferenceEstimator() { return m_interferenceEstimator; }

private:
    static void updateClock(worker_view &view, const worker_report &report, time_point now);
    unfit_reason unfitReasonOf(const worker_view &view, const std::string &service,
                               const step_spec &step, bool avoidsInterference,
                               time_point now) const;
    static unfit_reason lackingResource(const task_size &size, const task_size &capacity,
                                        const task_size &used);
    static bool wasRefused(const worker_view &view, const task_size &size);
    static bool hasRoomBesideLongRunning(const worker_view &view, const step_spec &step);
    static double processorShareWith(const worker_view &view, const step_spec &step);
    double score(const worker_view &view, const step_spec &step, int waitingTasks) const;
    static double servingScore(const worker_view &view, const step_spec &step, int waitingTasks);
    // Number of the waiting tasks that fit on the worker.
    static int countFitting(const worker_view &view, const step_spec &step, int waitingTasks);
    // By job: probability that a best-effort task of the step makes the job late here, or keeps it
    // late.
    std::map<std::string, double> expectedLateness(const worker_view &view,
                                                   const step_spec &step) const;
    double expectedLateJobs(const worker_view &view, const step_spec &step) const;
    double latenessCost(const worker_view &view, const step_spec &step) const;
    double latenessWeight(const worker_view &view, const std::string &job) const;
    double interferenceLoad(const worker_view &view, const serving_headroom &run) const;
    std::set<std::string> lateJobsOf(const worker_view &view) const;
    bool isLateElsewhere(const worker_view &view, const std::string &job) const;

    pool_settings m_settings;
    std::map<std::string, worker_view> m_workers;
    std::set<std::string> m_evacuatedZones;
    interference_estimator m_interferenceEstimator;
    service_history m_serviceHistory; // how well each serving job was served recently
};

// The part of a task's size that is reserved on a worker: best-effort tasks reserve no processors.
task_size reservedSize(const task_size &size, bool isBestEffort);

} // namespace zinniabarrow::jobs
