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
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
};

struct filling_run
{
    task_id task;
    int run = 0;
    std::string image;
    double cores = 0;    // in use, over the last half second
    double declared = 0; // that it asks for
};

struct pace_run
{
    task_id task;
    int run = 0;
    int percent = 100; // of full speed
};

struct pacer_settings
{
    // Users bear a late answer or two, and not seconds of them on end.
    milliseconds lateAtMost{2200};
    // A stop ends when a sample shows that it helped: they lag by half a second. A run that is
    // still late after the longest stop is late by its own load.
    milliseconds shortestStop{400};
    milliseconds longestStop{1300};
    double unknownPress = 0.03; // load for a core, of a pair that was never measured
    double unknownFloor = 0.17; // of the target, of an image that was never measured
    double aim = 0.9;           // of the target: the room that is told ends there
};

class pacer
{
public:
    explicit pacer(const pacer_settings &settings = {});

    void setPresses(press_table presses) { m_presses = std::move(presses); }
    // Changes of pace that this look asks for.
    std::vector<pace_run> look(const std::vector<serving_sample> &serving,
                               const std::vector<filling_run> &filling, time_point now);
    void confirmed(const pace_run &pace); // the worker has taken it
    void forget(const task_id &task, int run);
    // What each serving image is measured at, beside what, and what changed since the last call;
    // called each half second.
    std::vector<disturbance_sample> takeSamples(const std::vector<serving_sample> &serving,
                                                const std::vector<filling_run> &filling);
    std::map<std::string, double> amounts(const std::vector<filling_run> &filling) const;
    // How much load neighbours may add to a serving run, beyond its own within the next seconds.
    double roomOf(const serving_sample &sample, const std::vector<filling_run> &filling) const;

private:
    using run_key = std::pair<task_id, int>;

    struct late_run
    {
        time_point countFrom{};    // late on end since, or since its last relief
        time_point stoppedAt = {}; // what fills stands still since; none: it works
    };

    double press(const std::string &serving, const std::string &filling) const;
    double floorOf(const serving_sample &sample) const;
    std::optional<disturbance_change> changeOf(const std::string &image,
                                               const std::vector<serving_sample> &serving,
                                               const std::map<std::string, double> &beside) const;
    void remember(const std::vector<serving_sample> &serving,
                  const std::vector<filling_run> &filling);
    double ownLoad(const serving_sample &sample, const std::vector<filling_run> &filling) const;
    bool needsRelief(const serving_sample &sample, time_point now);

    pacer_settings m_settings;
    press_table m_presses;
    load_forecast m_forecast;
    std::map<run_key, std::int64_t> m_tailsBefore; // ms, at the last sampling
    std::map<std::string, double> m_besideBefore;  // cores in use then
    std::map<run_key, late_run> m_late;            // serving runs over their target
    std::map<run_key, int> m_told; // the worker's pace of each run that fills, per cent
};

} // namespace zinniabarrow::jobs
