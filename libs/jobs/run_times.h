// Learns how long runs really take for the estimates of their steps.
//
// Call recordDone() for each run that was done, recordStepDone() once all tasks of a step are, and
// recordFailed() for each run that failed; quantileMs() and stepMs() to ask for run times. Until
// enough runs of a kind were seen, the estimate is the answer. A step's tasks that are done show
// much more of the others than the kind does: they share the error of the estimate. A kind of which
// too little was seen is taken for its queue.
//
// Entries share what they learned in one row (app/run_time_store.h): newsToStore() and
// newsStored() or newsNotStored() for a write, adopt() for the row as it is stored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/log_regression.h"
#include "jobs/ratio_histogram.h"

namespace zinniabarrow::jobs {

// Runs that are expected to take alike long for their estimate.
struct run_kind
{
    std::string queue;
    std::string image; // empty: unknown

    friend auto operator<=>(const run_kind &, const run_kind &) = default;
};

// What is known of a step whose runs are asked about.
struct step_context
{
    run_kind kind;
    std::int64_t estimateMs = 0;          // of its specification, ms
    std::vector<std::int64_t> siblingsMs; // run times of its tasks that are done, ms
    int tasks = 1;                        // of the step in all
};

// What was learned of one kind. An observation weighs as much as one step, however many tasks it
// has: the tasks of one step say little more about the estimates of others than one of them does.
struct run_time_profile
{
    log_regression calibration; // from estimate to run time, both in ms
    ratio_histogram toExpected; // run time over what the calibration gave for its estimate
    ratio_histogram toStep;     // run time over the median of its step's tasks
    ratio_histogram failures;   // time until a run failed over its expected run time
    double done = 0;            // runs of late, weighed like observations
    double failed = 0;          // the same
    std::int64_t lastUse = 0;   // sequence number of the latest observation

    // Counts runs that ended; forgets like a ratio_histogram.
    void countEnds(double doneRuns, double failedRuns);

    void merge(const run_time_profile &other);
};

using run_time_profiles = std::map<run_kind, run_time_profile>;

// Text of the profiles in the store. `profilesFrom` throws error BadRequest when the text is
// malformed, of another version or larger than what `toText` writes.
std::string toText(const run_time_profiles &profiles);
run_time_profiles profilesFrom(const std::string &text);

class run_times
{
public:
    static constexpr std::size_t MaxKinds = 64; // of more, those least recently seen are forgotten

    // A run was done `duration` after its start.
    void recordDone(const step_context &step, milliseconds duration);
    // All tasks of the step are done.
    void recordStepDone(const step_context &step);
    void recordFailed(const step_context &step, milliseconds duration);

    // The run time that the given share of runs, 0 to 1, is expected not to exceed, ms.
    std::int64_t quantileMs(const step_context &step, double share) const;
    // The same for the time until all tasks of the step are done that run side by side, with the
    // runs that are likely to fail, ms.
    std::int64_t stepMs(const step_context &step, double share) const;
    // Share of the runs of a kind that fail, 0 to 1; 0 until enough were seen.
    double failureShare(const run_kind &kind) const;
    // Median time after which a run of the step fails, if it does, ms; 0: too few were seen.
    std::int64_t failureDelayMs(const step_context &step) const;

    const run_time_profiles &profiles() const { return m_profiles; }

    // --- sharing
    bool hasNews() const { return !m_news.empty(); } // observations that aren't in the row yet
    // The profiles with all observations, for the row; those since then are news again.
    const run_time_profiles &newsToStore();
    void newsStored() { m_newsInFlight.clear(); }
    void newsNotStored(); // they are news again
    // Takes the row's profiles, with the news added, for its own.
    void adopt(run_time_profiles stored);

private:
    template <typename Observe>
    void record(const run_kind &kind, Observe observe);
    // The profile of the kind, or of its queue, that has been seen often enough; null:
    // none.
    template <typename HasEnough>
    const run_time_profile *find(const run_kind &kind, HasEnough hasEnough) const;
    // What the step's estimate stands for, by its kind, ms.
    double calibratedMs(const step_context &step) const;
    // Median run time of the step's tasks, ms.
    double typicalMs(const step_context &step) const;
    // Quantile of the run time of a task over calibratedMs().
    double byKind(const run_kind &kind, double share) const;
    // Quantile of the run time of a task over the median of its step.
    double withinStep(const run_kind &kind, double share) const;
    // Time until the last task of a step is done over the median of its run times, as a median.
    double lastOfStep(const step_context &step) const;
    const run_time_profile *findFailures(const run_kind &kind) const;

    run_time_profiles m_profiles;     // all that is known
    run_time_profiles m_news;         // the part of it that isn't in the row
    run_time_profiles m_newsInFlight; // in the write of the row in flight
    std::int64_t m_nextUse = 1;
};

} // namespace zinniabarrow::jobs
