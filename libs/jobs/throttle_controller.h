// When runs that fill stand still beside runs that serve. Slowing a run down spreads the harm that
// it does over a longer time and lessens none of it, while its job comes late and piles up with
// those that follow. So what fills works at full pace, and only where a serving run was over its
// target for a while on end does all of it stand still for a moment. (Stopping just the images that
// were learned to harm was tried: what was learned is wrong now and then, and the run stayed late.)
// One worker; decisions only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/interference_estimator.h"
#include "jobs/load_forecast.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

// A run that serves its own users, as the worker measured it over the last half second.
struct serving_sample
{
    task_id task;
    int run = 0;
    std::string image;
    std::int64_t tailLatencyMs = 0;
    std::int64_t latencyTargetMs = 0;
};

struct best_effort_run
{
    task_id task;
    int run = 0;
    std::string image;
    double usedCores = 0;      // in use, over the last half second
    double requestedCores = 0; // that it asks for
};

struct run_speed
{
    task_id task;
    int run = 0;
    int percent = 100; // of full speed
};

struct throttle_settings
{
    // Users bear a late answer or two, and not seconds of them on end.
    milliseconds maxLateTime{2200};
    // A stop ends when a sample shows that it helped: they lag by half a second. A run that is
    // still late after the longest stop is late by its own load.
    milliseconds minPause{400};
    milliseconds maxPause{1300};
    double defaultLoadPerCore = 0.03;    // load for a core, of a pair that was never measured
    double defaultFloorFraction = 0.17;  // of the target, of an image that was never measured
    double headroomTargetFraction = 0.9; // of the target: the room that is told ends there
};

class throttle_controller
{
public:
    explicit throttle_controller(const throttle_settings &settings = {});

    void setInterference(interference_table table) { m_interference = std::move(table); }
    // Changes of pace that this look asks for.
    std::vector<run_speed> decide(const std::vector<serving_sample> &serving,
                                  const std::vector<best_effort_run> &bestEffort, time_point now);
    void noteConfirmed(const run_speed &speed); // the worker has taken it
    void forget(const task_id &task, int run);
    // What each serving image is measured at, beside what, and what changed since the last call;
    // called each half second.
    std::vector<interference_sample> takeSamples(const std::vector<serving_sample> &serving,
                                                 const std::vector<best_effort_run> &bestEffort);
    std::map<std::string, double>
    coresByImage(const std::vector<best_effort_run> &bestEffort) const;
    // How much load neighbours may add to a serving run, beyond its own within the next seconds.
    double headroomOf(const serving_sample &sample,
                      const std::vector<best_effort_run> &bestEffort) const;

private:
    using run_key = std::pair<task_id, int>;

    struct late_run
    {
        time_point lateSince{};   // late on end since, or since its last relief
        time_point pausedAt = {}; // what fills stands still since; none: it works
    };

    double loadPerCore(const std::string &serving, const std::string &bestEffort) const;
    double floorMsOf(const serving_sample &sample) const;
    std::optional<interference_change>
    changeOf(const std::string &image, const std::vector<serving_sample> &serving,
             const std::map<std::string, double> &currentCores) const;
    void storePreviousSample(const std::vector<serving_sample> &serving,
                             const std::vector<best_effort_run> &bestEffort);
    double ownLoad(const serving_sample &sample,
                   const std::vector<best_effort_run> &bestEffort) const;
    bool needsPause(const serving_sample &sample, time_point now);

    throttle_settings m_settings;
    interference_table m_interference;
    load_forecast m_forecast;
    std::map<run_key, std::int64_t> m_previousTailMs; // ms, at the last sampling
    std::map<std::string, double> m_previousCores;    // cores in use then
    std::map<run_key, late_run> m_lateRuns;           // serving runs over their target
    std::map<run_key, int> m_confirmedSpeeds; // the worker's pace of each run that fills, per cent
};

} // namespace zinniabarrow::jobs
