// What an entry believes of the workers, and which of them a task goes to.
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

struct worker_view
{
    worker_report lastReport;  // newest report, without ends; `used` grows with own placements
    time_point lastReportAt{}; // when the report came
    std::optional<agent_clock> clock;    // of the agent's present life
    std::vector<task_size> refusedSizes; // since the report: sizes that its agent had no room for
    std::set<std::string> lateJobs;      // that have a task here over its target, by the report
    int consecutiveFailures = 0;         // runs that failed since one was done
    time_point quarantinedUntil{};       // gets no work before
    double slowdown = 1;                 // run time against estimate, moving average
};

struct pool_settings
{
    // A worker whose agent is silent for longer gets no new work: reports come every second.
    milliseconds reportTimeout{2500};
    // An order that comes later starts nothing: its task may be done by now, and the stop that
    // overtook it be lost. Answers are waited for a little less.
    milliseconds startOrderValidity{700};
    // A worker that fails this many runs one after the other gets no work for a while: poisoned
    // tasks are a few per cent, so four in a row by chance are rare.
    int maxConsecutiveFailures = 4;
    milliseconds quarantineTime{6000};
};

// Why a worker takes no task of a step now.
enum class unfit_reason {
    None,
    ServiceMismatch,
    NotAccepting,
    Evacuated, // its zone is
    Silent,
    Quarantined,
    LabelMismatch,
    BestEffortFull,
    WouldCauseLateness,
    Avoided,        // the caller rules it out
    RefusedByAgent, // its agent had no room for as much since its last report
    NoProcessors,
    NoMemory,
    NoAccelerators
};
std::string_view nameOf(unfit_reason reason);

struct placement_preferences
{
    int waitingTasks = 1;           // tasks of the step that wait, this one included
    bool avoidsInterference = true; // waits rather than make runs that serve late
    std::uint64_t tieBreakSeed = 0; // decides between workers that fit about as well; 0: the best
};

class worker_pool
{
public:
    explicit worker_pool(const pool_settings &settings = {});

    // True when the agent or the worker has begun a new life since the last report.
    bool update(const worker_report &report, time_point now);
    const worker_view *find(const std::string &worker) const;
    bool isReporting(const std::string &worker, time_point now) const; // its agent, of late
    // The deadline of a start order that is given now, on the agent's clock; 0: it tells none.
    std::int64_t startDeadlineFor(const std::string &worker, std::int64_t agentIncarnation,
                                  time_point now) const;

    // Zones in which nothing more is started.
    void setEvacuatedZones(std::set<std::string> zones) { m_evacuatedZones = std::move(zones); }

    // How a run ended there, and how long it took against its estimate; 0: not known.
    void recordRunEnd(const std::string &worker, end_kind endKind, double slowdown, time_point now);

    // The worker for one task of `step`; none: nobody has room now. `avoid` are workers where this
    // task may not go.
    std::optional<std::string> chooseWorker(const std::string &service, const step_spec &step,
                                            const std::vector<std::string> &avoid, time_point now,
                                            const placement_preferences &preferences = {}) const;
    // For the log, where `choose` finds nobody: how many of the service's workers are unfit, and
    // why; and how many would have room without the runs that end by themselves.
    std::string describeUnfitWorkers(const std::string &service, const step_spec &step,
                                     const std::vector<std::string> &avoid, time_point now,
                                     const placement_preferences &preferences = {}) const;
    // By job, of workers that are heard of. A job without targets is not told of.
    serving_counts countServingRuns(time_point now) const;
    // The part of the service's processors that is in use or reserved, of workers that are heard
    // of; what fills is not counted. 0 to 1.
    double usedProcessorShare(const std::string &service, time_point now) const;
    // Counts a placement until the next report shows it.
    void reserve(const std::string &worker, const step_spec &step);
    // The agent refused such a task, which was sent there by the report that came then: until its
    // next report none as large goes there. A report that has come since knows better.
    void recordRefusal(const std::string &worker, const step_spec &step, time_point reportedAt);

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
    static int countFitting(const worker_view &view, const step_spec &step, int waitingTasks);
    std::map<std::string, double> expectedLateness(const worker_view &view,
                                                   const step_spec &step) const;
    double expectedLateJobs(const worker_view &view, const step_spec &step) const;
    double expectedHarm(const worker_view &view, const step_spec &step) const;
    double latenessWeight(const worker_view &view, const std::string &job) const;
    double interferenceLoad(const worker_view &view, const serving_headroom &run) const;
    std::set<std::string> lateJobsOf(const worker_view &view) const;
    bool isLateElsewhere(const worker_view &view, const std::string &job) const;

    pool_settings m_settings;
    std::map<std::string, worker_view> m_workers;
    std::set<std::string> m_evacuatedZones;
    interference_estimator m_interferenceEstimator;
    service_history m_serviceHistory;
};

// What of a step's size counts against a worker's capacity.
task_size reservedSize(const task_size &size, bool isBestEffort);

} // namespace zinniabarrow::jobs
