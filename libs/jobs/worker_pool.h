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
    worker_report last;   // newest report, without ends; `used` grows with own placements
    time_point heardAt{}; // when the report came
    std::optional<agent_clock> clock; // of the agent's present life
    std::vector<task_size> refused;   // since the report: sizes that its agent had no room for
    std::set<std::string> lateJobs;   // that have a task here over its target, by the report
    int failuresInRow = 0;            // runs that failed since one was done
    time_point setAsideUntil{};       // gets no work before
    double slowness = 1;              // run time against estimate, moving average
};

struct pool_settings
{
    // A worker whose agent is silent for longer gets no new work: reports come every second.
    milliseconds silentAfter{2500};
    // An order that comes later starts nothing: its task may be done by now, and the stop that
    // overtook it be lost. Answers are waited for a little less.
    milliseconds orderHolds{700};
    // A worker that fails this many runs one after the other gets no work for a while: poisoned
    // tasks are a few per cent, so four in a row by chance are rare.
    int failuresInRow = 4;
    milliseconds setAside{6000};
};

// Why a worker takes no task of a step now.
enum class unfit {
    No,
    OtherService,
    NotAccepting,
    Evacuated, // its zone is
    Silent,
    SetAside,
    OtherLabel,
    Full,
    MakesLate,
    Avoided, // the caller rules it out
    Refused, // its agent had no room for as much since its last report
    NoProcessors,
    NoMemory,
    NoAccelerators
};
std::string_view nameOf(unfit why);

struct placement_wish
{
    int together = 1;         // tasks of the step that wait, this one included
    bool patient = true;      // waits rather than make runs that serve late
    std::uint64_t spread = 0; // decides between workers that fit about as well; 0: the best
};

class worker_pool
{
public:
    explicit worker_pool(const pool_settings &settings = {});

    // True when the agent or the worker has begun a new life since the last report.
    bool update(const worker_report &report, time_point now);
    const worker_view *find(const std::string &worker) const;
    bool isHeard(const std::string &worker, time_point now) const; // its agent, of late
    // The deadline of a start order that is given now, on the agent's clock; 0: it tells none.
    std::int64_t orderHoldsUntil(const std::string &worker, std::int64_t agentLife,
                                 time_point now) const;

    // Zones in which nothing more is started.
    void setEvacuated(std::set<std::string> zones) { m_evacuated = std::move(zones); }

    // How a run ended there, and how long it took against its estimate; 0: not known.
    void noteEnd(const std::string &worker, end_kind how, double slowness, time_point now);

    // The worker for one task of `step`; none: nobody has room now. `avoid` are workers where this
    // task may not go.
    std::optional<std::string> choose(const std::string &service, const step_spec &step,
                                      const std::vector<std::string> &avoid, time_point now,
                                      const placement_wish &wish = {}) const;
    // For the log, where `choose` finds nobody: how many of the service's workers are unfit, and
    // why; and how many would have room without the runs that end by themselves.
    std::string whyNobody(const std::string &service, const step_spec &step,
                          const std::vector<std::string> &avoid, time_point now,
                          const placement_wish &wish = {}) const;
    // By job, of workers that are heard of. A job without targets is not told of.
    serving_counts servingByJob(time_point now) const;
    // The part of the service's processors that is in use or reserved, of workers that are heard
    // of; what fills is not counted. 0 to 1.
    double usedShare(const std::string &service, time_point now) const;
    // Counts a placement until the next report shows it.
    void reserve(const std::string &worker, const step_spec &step);
    // The agent refused such a task, which was sent there by the report that came then: until its
    // next report none as large goes there. A report that has come since knows better.
    void noteNoRoom(const std::string &worker, const step_spec &step, time_point reportCame);

    interference_estimator &disturbance() { return m_disturbance; }

private:
    static void noteClock(worker_view &view, const worker_report &report, time_point now);
    unfit unfitFor(const worker_view &view, const std::string &service, const step_spec &step,
                   bool patient, time_point now) const;
    static unfit roomFor(const task_size &size, const task_size &capacity, const task_size &used);
    static bool wasRefused(const worker_view &view, const task_size &size);
    static bool hasRoomBesideLasting(const worker_view &view, const step_spec &step);
    static double shareWith(const worker_view &view, const step_spec &step);
    double score(const worker_view &view, const step_spec &step, int together) const;
    static double servingScore(const worker_view &view, const step_spec &step, int together);
    static int fitting(const worker_view &view, const step_spec &step, int together);
    std::map<std::string, double> expectedLate(const worker_view &view,
                                               const step_spec &step) const;
    double lateJobsExpected(const worker_view &view, const step_spec &step) const;
    double harmExpected(const worker_view &view, const step_spec &step) const;
    double leftToLose(const worker_view &view, const std::string &job) const;
    double loadBeside(const worker_view &view, const serving_headroom &run) const;
    std::set<std::string> lateJobsOf(const worker_view &view) const;
    bool isLateElsewhere(const worker_view &view, const std::string &job) const;

    pool_settings m_settings;
    std::map<std::string, worker_view> m_workers;
    std::set<std::string> m_evacuated;
    interference_estimator m_disturbance;
    service_history m_service;
};

// What of a step's size counts against a worker's capacity.
task_size countedSize(const task_size &size, bool fills);

} // namespace zinniabarrow::jobs
