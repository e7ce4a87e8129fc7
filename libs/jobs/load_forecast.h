// Where the load of a serving run goes within the next seconds, learned from how such loads went: a
// sum of the load now and of that some seconds before. A load that swings is seen to turn before it
// does, one that stays is expected to stay, and one without pattern to fall back to its mean.
#pragma once

#include <deque>
#include <map>
#include <utility>

#include "jobs/least_squares.h"
#include "jobs/model.h"

namespace zinniabarrow::jobs {

class load_forecast
{
public:
    using run_key = std::pair<task_id, int>; // task, run

    load_forecast();

    // The own loads of all serving runs, at each sampling of the worker: every half second. Runs
    // that are not among them are forgotten.
    void recordLoads(const std::map<run_key, double> &loads);
    // The highest load between now and the time up to which the rule looks.
    double peakLoadAhead(const run_key &run, double now) const;

private:
    void append(std::deque<double> &history, double load);

    least_squares m_predictor;                         // of: one, the load now, the load before
    std::map<run_key, std::deque<double>> m_histories; // oldest first
};

} // namespace zinniabarrow::jobs
