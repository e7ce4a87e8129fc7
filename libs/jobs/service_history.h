// How well each job that serves has been served of late, by the reports of the workers: which of
// them has had its part of the harm that what fills does.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// The runs of a job that serve, by the workers' reports.
struct serving_count
{
    int running = 0;
    int late = 0; // of them, over their target
};
using serving_counts = std::map<std::string, serving_count>; // by job

// What callers have of a job now, 0 to 1: users meet all of its tasks, and a late one costs more
// than one that is missing.
double servedFraction(const serving_count &count);

class service_history
{
public:
    // Due at a fixed pace, so that each look weighs the same.
    bool isDue(time_point now) const { return now >= m_nextRecordAt; }
    void recordCounts(const serving_counts &counts, time_point now);
    // Served less than the jobs are on average. One that is new is not.
    bool isBelowAverage(const std::string &job) const;

private:
    std::map<std::string, double>
            m_servedFractions; // by job that is at work: moving average, 0 to 1
    double m_average = 0;      // of them all
    time_point m_nextRecordAt{};
};

} // namespace zinniabarrow::jobs
