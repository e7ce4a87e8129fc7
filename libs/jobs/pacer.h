// How fast tasks that fill may work beside tasks that serve: quick to give way, slow to come back.
// One worker; decisions only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
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
};

struct pace_run
{
    task_id task;
    int run = 0;
    int percent = 100; // of full speed
};

struct pacer_settings
{
    double giveWayAbove = 0.85;       // of the target: latency rises within one sample
    double comeBackBelow = 0.65;      // of the target, so that one step back up stays below it
    int lowerTo = 40;                 // per cent of the present pace, each time
    int raiseBy = 15;                 // points, each time
    int lowest = 10;                  // below this a run stands still
    milliseconds settle{700};         // a sample covers half a second, and a pace takes 100 ms
    milliseconds raiseEvery{1500};    // load that swings has its peak within a few seconds
};

class pacer
{
public:
    explicit pacer(const pacer_settings &settings = {});

    // Changes of pace that this look asks for.
    std::vector<pace_run> look(const std::vector<serving_sample> &serving,
                               const std::vector<filling_run> &filling, time_point now);
    void confirmed(const pace_run &pace); // the worker has taken it
    void forget(const task_id &task, int run);
    int level() const { return m_level; } // per cent, of all that fills here
    void clear();

private:
    void adjust(double worst, time_point now);

    pacer_settings m_settings;
    int m_level = 100;
    time_point m_nextLower{};
    time_point m_nextRaise{};
    std::map<std::pair<task_id, int>, int> m_told; // the worker's pace of each run that fills
};

} // namespace zinniabarrow::jobs
