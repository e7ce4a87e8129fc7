// How fast runs that fill may work beside runs that serve: those that do harm give way at once, the
// others go on. One worker; decisions only.
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
    std::string image;
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
};

struct filling_run
{
    task_id task;
    int run = 0;
    std::string image;
    std::int64_t mayLoseMs = 0; // how long it may stand still, in all, and still end in time
};

struct pace_run
{
    task_id task;
    int run = 0;
    int percent = 100;     // of full speed
    time_point raisedAt{}; // when this was decided
};

struct pacer_settings
{
    double aim = 0.95;            // of the target
    double unknownPress = 0.06;   // load, of a pair that was never measured
    double harmless = 0.015;      // load, below which a run is left alone
    double unknownFloor = 0.17;   // of the target, of an image that was never measured
    int smallest = 10;            // per cent; below this a run stands still
    int raiseBy = 50;             // points at a time
    milliseconds raiseEvery{700}; // a sample covers half a second, and a pace takes 100 ms
    // A run that can't lose more time goes on at full pace, unless a serving run was over its target
    // for so long on end: users bear a late answer or two, and not seconds of them.
    milliseconds harmAtMost{2200};
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
    // What one serving image was measured at, and beside what.
    std::vector<disturbance_sample> samples(const std::vector<serving_sample> &serving,
                                            const std::vector<filling_run> &filling) const;
    std::map<std::string, double> amounts(const std::vector<filling_run> &filling) const;

private:
    using run_key = std::pair<task_id, int>;
    struct told_pace
    {
        int percent = 100;
        time_point raiseFrom{};
        time_point countedAt{};
        double lostMs = 0; // stood still so far
    };

    double press(const std::string &serving, const std::string &filling) const;
    int paceOf(const filling_run &run) const;
    static std::map<std::string, serving_sample>
    worstSamples(const std::vector<serving_sample> &serving);
    void limit(const serving_sample &sample, const std::vector<filling_run> &filling,
               std::vector<int> &paces) const;

    pacer_settings m_settings;
    press_table m_presses;
    bool isUrgent(const filling_run &run) const;
    void countLost(const std::vector<filling_run> &filling, time_point now);
    void noteHarm(const std::vector<serving_sample> &serving, time_point now);

    time_point m_overSince = Never; // some serving run has been over its target since
    std::map<run_key, told_pace> m_told; // the worker's pace of each run that fills
};

} // namespace zinniabarrow::jobs
