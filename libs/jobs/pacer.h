// How fast runs that fill may work beside runs that serve. Below the target a press does no harm, so a
// run gives way just so far that its neighbours stay there, and never below about half its pace: a job
// has about twice its time, and a run that is slowed further piles up with those that come after it and
// does the same harm for longer. Where that is not enough, runs are late for a moment, and then what
// harms them stands still. One worker; decisions only.
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
    double cores = 0;    // in use, over the last half second
    double declared = 0; // cores it asks for
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
    double unknownPress = 0.03;   // load for a core, of a pair that was never measured
    double harmless = 0.008;      // load for a core, below which a run is left alone
    double unknownFloor = 0.17;   // of the target, of an image that was never measured
    double aim = 0.9;             // of the target
    int lowest = 100;             // per cent
    int step = 10;                // per cent; smaller changes are not worth a call
    milliseconds raiseEvery{600}; // a sample covers half a second, and a pace takes 100 ms
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
    // How much load neighbours may add to a serving run, beyond its own.
    double roomOf(const serving_sample &sample, const std::vector<filling_run> &filling) const;

private:
    using run_key = std::pair<task_id, int>;

    struct late_run
    {
        time_point countFrom{};     // late on end since, or since its last relief
        time_point stoppedAt = {};  // what harms it stands still since; none: it works
    };

    struct told_pace
    {
        int percent = 100;
        time_point raiseFrom{};
    };

    double press(const std::string &serving, const std::string &filling) const;
    double floorOf(const serving_sample &sample) const;
    void limit(const serving_sample &sample, const std::vector<filling_run> &filling,
               std::vector<int> &paces) const;
    int bounded(int wanted, told_pace &told, time_point now) const;
    int paceOf(const filling_run &run) const;
    enum class relief { None, FromHarmful, FromAll };
    relief needed(const serving_sample &sample, time_point now);

    pacer_settings m_settings;
    press_table m_presses;
    std::map<run_key, late_run> m_late; // serving runs over their target
    std::map<run_key, told_pace> m_told; // the worker's pace of each run that fills
};

} // namespace zinniabarrow::jobs
