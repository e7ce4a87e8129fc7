// When runs that fill stand still beside runs that serve. Slowing a run down spreads the harm that it
// does over a longer time and lessens none of it, while its job comes late; so what fills works at
// full pace, and only where a serving run was over its target for a while on end does it stop for a
// moment. One worker; decisions only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/disturbance.h"
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
};

struct pace_run
{
    task_id task;
    int run = 0;
    int percent = 100; // of full speed
};

struct pacer_settings
{
    // Users bear a late answer or two, and not seconds of them on end: a stop shows within a second
    // (a pace takes 100 ms, a sample covers half a second), so a run is late for three at most.
    milliseconds lateAtMost{2200};
    // A stop of the runs that are known to harm has shown by then; if it did not help, all that fill
    // stop: what was learned of their images may be wrong.
    milliseconds helpsWithin{800};
    milliseconds stopAtMost{2000}; // a run that is still late then is late by its own load
    double unknownPress = 0.06;    // load, of a pair that was never measured
    double harmless = 0.02;        // load, below which a run is left alone
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
    // What each serving image was measured at, and beside what.
    std::vector<disturbance_sample> samples(const std::vector<serving_sample> &serving,
                                            const std::vector<filling_run> &filling) const;
    std::map<std::string, double> amounts(const std::vector<filling_run> &filling) const;

private:
    using run_key = std::pair<task_id, int>;

    struct late_run
    {
        time_point countFrom{};     // late on end since, or since its last relief
        time_point stoppedAt = {};  // what harms it stands still since; none: it works
    };

    double press(const std::string &serving, const std::string &filling) const;
    int paceOf(const filling_run &run) const;
    enum class relief { None, FromHarmful, FromAll };
    relief needed(const serving_sample &sample, time_point now);

    pacer_settings m_settings;
    press_table m_presses;
    std::map<run_key, late_run> m_late; // serving runs over their target
    std::map<run_key, int> m_told;      // the worker's pace of each run that fills, per cent
};

} // namespace zinniabarrow::jobs
