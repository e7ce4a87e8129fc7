// How well the callers of each serving job have been served recently, by the workers' reports.
// Kept by the worker_pool, to which it shows which jobs have already had their share of the
// interference by best-effort runs.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// The serving runs of a job, by the workers' reports.
struct serving_count
{
    int running = 0;
    int late = 0; // of them, those that miss their latency target
};
using serving_counts = std::map<std::string, serving_count>; // by job

// How well callers of a job are served now, 0 to 1. Users depend on all of its tasks, and a late
// task costs more than a missing one.
double servedFraction(const serving_count &count);

class service_history
{
public:
    // Counts are recorded at a fixed interval, so that each has the same weight.
    bool isDue(time_point now) const { return now >= m_nextRecordAt; }
    void recordCounts(const serving_counts &counts, time_point now);
    // The job was served worse than the average of all jobs. False for a new job.
    bool isBelowAverage(const std::string &job) const;
    // How much one more late run of the job counts: above 1 if it was served worse than the average
    // of all jobs, below 1 if better, 1 if it is new.
    double latenessWeightOf(const std::string &job) const;

private:
    std::map<std::string, double> m_servedFractions; // by running job: moving average, 0 to 1
    double m_average = 0;                            // of all of them
    time_point m_nextRecordAt{};
};

} // namespace zinniabarrow::jobs
