// Predicts the load of a serving run two seconds ahead, as a linear combination of its present load
// and its load two seconds ago. Used by the agent's throttle_controller. The coefficients are
// learned from all runs of the worker. The turn of a periodic load is predicted before it happens;
// a constant load is expected to stay, and a random one to return to its mean.
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

    // Called every half second, at each sampling of the worker, with the loads of all serving runs,
    // less what their neighbours add. The histories of other runs are dropped.
    void recordLoads(const std::map<run_key, double> &loads);
    // Returns the higher of `currentLoad` and the load predicted for two seconds ahead.
    double peakLoadAhead(const run_key &run, double currentLoad) const;

private:
    // Adds a sample to the history of a run, and learns from it when the history is long enough.
    void appendAndLearn(std::deque<double> &history, double load);

    least_squares m_predictor;                         // inputs: 1, the load now, the load earlier
    std::map<run_key, std::deque<double>> m_histories; // oldest first
};

} // namespace zinniabarrow::jobs
