// Decides when the best-effort runs of one worker are paused in favour of its serving runs.
//
// Slowing a best-effort run down spreads its interference over a longer time without reducing it,
// while its job finishes late and piles up with the jobs that follow. So best-effort runs work at
// full speed. Only when a serving run has missed its latency target for a while without a break,
// all best-effort runs on the worker are paused for a moment. Runs of all images are paused, not
// only of those that are estimated to interfere: some estimates are wrong, and the serving run
// would then stay late.
//
// Before that, runs whose jobs have slack are slowed as soon as the headroom of a serving run is
// exceeded (slack_spender.h). Runs whose owners don't send their slack are not.
//
// Makes decisions only; the agent carries them out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/interference_estimator.h"
#include "jobs/load_forecast.h"
#include "jobs/model.h"
#include "jobs/slack_spender.h"

namespace zinniabarrow::jobs {

// A serving run, as its worker measured it over the last half second.
struct serving_sample
{
    task_id task;
    int run = 0;
    std::string image;
    std::int64_t tailLatencyMs = 0; // 0: not measured yet
    std::int64_t latencyTargetMs = 0;
};

// A best-effort run, as its worker measured it over the last half second.
struct best_effort_run
{
    task_id task;
    int run = 0;
    std::string image;
    double usedCores = 0;      // mean number of cores in use
    double requestedCores = 0; // by its task's specification
    // How long it may be paused in all, as its owner sent it, ms; none: unknown.
    std::optional<std::int64_t> slackMs = {};
    bool isInherited = false; // an earlier incarnation of the agent started it
};

// The speed at which a best-effort run is to work.
struct run_speed
{
    task_id task;
    int run = 0;
    int percent = 100; // of full speed: 100, or 0 for a pause
};

// The cores of a worker's best-effort runs at one sampling.
struct neighbour_cores
{
    cores_by_image inUse;     // mean of the last half second
    cores_by_image effective; // those that the serving runs' tail latencies reflect
};

struct throttle_settings
{
    // For how long a serving run may miss its target before a pause begins. Users tolerate a late
    // answer or two, but not seconds of late answers.
    milliseconds maxLateTime{2200};
    // The same for a run of which some samples meet the target, but never all for minGoodTime.
    // Samples are rough: of a run just above its target some are below it.
    milliseconds maxMostlyLateTime{3200};
    milliseconds minGoodTime{600}; // longer than the span of one sample
    // A pause ends once a sample shows that it helped; as a sample covers the last half second, it
    // shows that late. A serving run that is still late after the longest pause is late because of
    // its own load.
    milliseconds minPause{400};
    milliseconds maxPause{1300};
    // Load that each core in use by a best-effort image adds to a serving image, for two images
    // never measured together. Loads and floors: see interference_estimator.h.
    double defaultLoadPerCore = 0.03;
    // Floor of the tail latency as a fraction of the latency target, for a serving image never
    // measured.
    double defaultFloorFraction = 0.17;
    // The headroom, which the agent reports to the entries, is zero if the serving run's own load
    // is expected to take its tail latency to this fraction of the target.
    double headroomTargetFraction = 0.9;
    // Of the rise of a serving run's own load that is forecast for the next two seconds, the part
    // that runs with slack are slowed for. A change of speed takes effect within half a second.
    double anticipatedRiseShare = 0.25;
};

// Why a best-effort run is slowed.
enum class slowing_reason {
    Slack, // its job has slack, and a serving run has no headroom left
    Pause, // a serving run has been late for throttle_settings::maxLateTime
};
std::string_view nameOf(slowing_reason reason);

// Time that best-effort runs lost by being slowed, since the last call of takeLostTimes().
using lost_times = std::map<slowing_reason, duration>;

// An agent has one. Its worker_calls calls it after each poll of the worker.
class throttle_controller
{
public:
    explicit throttle_controller(const throttle_settings &settings = {});

    // The table that entries have estimated and send in their answers to the agent's reports.
    void setInterference(interference_table table) { m_interference = std::move(table); }
    // Called after each poll of the worker. Returns the runs whose speed has to change.
    std::vector<run_speed> decideSpeeds(const std::vector<serving_sample> &serving,
                                        const std::vector<best_effort_run> &bestEffort,
                                        time_point now);
    // Decides which runs with slack are slowed; decideSpeeds() then returns their speeds. Called
    // after takeSamples(). Returns the serving runs that lack headroom.
    std::vector<headroom_excess> spendSlack(const std::vector<serving_sample> &serving,
                                            const std::vector<best_effort_run> &bestEffort,
                                            time_point now);
    lost_times takeLostTimes() { return std::exchange(m_lostTimes, {}); }
    int slackPercent(const task_id &task, int run) const
    {
        return m_slackSpender.percentOf({task, run});
    }
    milliseconds slackLeft(const task_id &task, int run) const
    {
        return m_slackSpender.slackLeft({task, run});
    }
    void noteConfirmed(const run_speed &speed); // the worker has applied it
    // The call that set the speed got no answer.
    void noteUnanswered(const run_speed &speed, time_point now);
    void forget(const task_id &task, int run); // the run has ended
    // One sample for each serving image with a latency target: its longest tail latency, the cores
    // that its best-effort neighbours use, and the change of both since the last call. Called every
    // half second.
    std::vector<interference_sample> takeSamples(const std::vector<serving_sample> &serving,
                                                 const std::vector<best_effort_run> &bestEffort);
    // Cores in use by the runs of each best-effort image.
    cores_by_image coresByImage(const std::vector<best_effort_run> &bestEffort) const;
    // The load that all best-effort neighbours together may add to a serving run until its tail
    // latency reaches headroomTargetFraction of its target, given the peak of its own load that is
    // expected within the next seconds.
    double headroomOf(const serving_sample &sample,
                      const std::vector<best_effort_run> &bestEffort) const;

private:
    using run_key = std::pair<task_id, int>;

    struct late_run
    {
        // Since when it has been late without a pause; none: the last sample met the target.
        std::optional<time_point> lateSince;
        time_point mostlyLateSince{}; // the same, apart from single samples that met the target
        time_point lastLateAt{};      // last sample above the target
        time_point pausedAt = {};     // start of the current pause; 0: none
    };

    struct full_speed_use
    {
        double cores = 0; // in use at the last sampling after half a second at full speed
        int samples = 0;  // at full speed, in a row
    };

    struct speed_state
    {
        int percent = 100;       // last decided
        bool isConfirmed = true; // by the worker
        time_point repeatAt =
                Never; // when it is set again, as an earlier call may take effect late
    };

    double loadPerCore(const std::string &serving, const std::string &bestEffort) const;
    double floorMsOf(const serving_sample &sample) const;
    std::optional<interference_change> changeOf(const std::string &image,
                                                const std::vector<serving_sample> &serving,
                                                const neighbour_cores &neighbours) const;
    void storePreviousSample(const std::vector<serving_sample> &serving,
                             const std::vector<best_effort_run> &bestEffort,
                             const neighbour_cores &neighbours);
    double ownLoad(const serving_sample &sample,
                   const std::vector<best_effort_run> &bestEffort) const;
    bool needsPause(const serving_sample &sample, time_point now);
    bool isLateTooLong(late_run &late, bool isLate, time_point now) const;
    void updateRuns(const std::vector<best_effort_run> &bestEffort, time_point now);
    void updateFullSpeedUse(const std::vector<best_effort_run> &bestEffort);
    headroom_excess excessOf(const serving_sample &sample,
                             const std::vector<best_effort_run> &bestEffort) const;
    double limitOf(const serving_sample &sample) const;

    throttle_settings m_settings;
    interference_table m_interference;
    load_forecast m_forecast;
    std::map<run_key, std::int64_t> m_previousTailMs; // of serving runs, at the last sampling
    neighbour_cores m_previous;                       // at the last sampling
    cores_by_image m_earlierCores;                    // in use at the sampling before the last one
    std::map<run_key, late_run> m_lateRuns;           // serving runs that miss their target
    std::map<run_key, speed_state> m_speeds;          // of best-effort runs
    std::map<run_key, full_speed_use> m_fullSpeedUse; // of best-effort runs
    slack_spender m_slackSpender;
    lost_times m_lostTimes;
    time_point m_updatedAt{}; // when speeds were last decided
    bool m_isPausing = false; // all best-effort runs
};

} // namespace zinniabarrow::jobs
