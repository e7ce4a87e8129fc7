// Decides when a task that is at work gets a copy: a second run of it on another worker, of which
// the first to end done counts. A run is one attempt to execute a task; its siblings are the tasks
// of the same step, which take about as long.
//
// For each run that is at work alone, fill in a run_at_work and call copyReasonFor(). If it gives a
// reason, ask copy_budget::allows() before a copy is placed, and note it there afterwards. Once the
// task is done, note in copy_backoff which of the two runs was first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/run_times.h"

namespace zinniabarrow::jobs {

enum class copy_reason {
    None,
    StartUnanswered,   // the agent has not answered the start order, or the run is being stopped
    SilentWorker,      // the worker's agent does not report
    QuarantinedWorker, // too many runs failed there in a row
    SlowWorker,        // runs take long there
    SlowRun,           // the run takes longer than a high quantile of its kind
    LastTasks,         // the step waits for few tasks, and many processors are idle
};
std::string_view nameOf(copy_reason reason);
bool isByRunTime(copy_reason reason); // rather than by what is known of the worker

struct copy_settings
{
    milliseconds checkInterval{50};
    // Agents answer a start order within milliseconds; by then it was sent twice.
    milliseconds startAnswerTimeout{400};
    // A start order of a task that has two runs is not sent later than this after its run was
    // placed; its run is stopped instead. An owner that was suspended may not know that the other
    // run is done.
    milliseconds startOrderLifetime{700};
    milliseconds silenceTimeout{1700}; // agents report every second
    milliseconds minRunTime{150};      // a shorter run ends before its copy has started
    milliseconds recopyDelay{500};     // from one copy of a task to the next
    milliseconds failureDoubt{6000};   // after a failed run a worker takes no copies for this time
    double highQuantile = 0.9;         // of the run times of a kind
    // A run is slow when it exceeds the longest run time of its siblings by this many spreads: what
    // the longest exceeds their median by, and at least `minSpread` of the longest.
    double slowRunSpreads = 2;
    double lastTasksSpreads = 1; // the same, for the last tasks of a step and slow workers
    double minSpread = 0.2;
    double learnedFactor = 1.5;         // on the high quantile, where siblings show nothing
    double estimatedFactor = 2.5;       // the same, while run times are not learned
    double slowWorkerFactor = 2;        // on the service's median slowdown
    double doneShareNeeded = 0.5;       // of the siblings, to know how long the task takes
    std::size_t doneSiblingsNeeded = 2; // the same, as a number
    double lastTasksShare = 0.2;        // tasks of a step that count as its last, at least one
    // Up to these shares of the service's processors, in use or reserved, there are copies: of runs
    // that may never end, of slow runs, and of the last tasks of a step.
    double maxUsedShareForDoubtfulWorkers = 0.97;
    double maxUsedShareForSlowRuns = 0.92;
    double maxUsedShareForLastTasks = 0.85;
    double maxShareOfJob = 0.25;   // copies of a job's runs, at least one
    double maxShareOfOwner = 0.15; // copies of all runs of an owner's jobs that permit them
    int minCopiesOfOwner = 2;
};

// A task with exactly one run, and what is known of it.
struct run_at_work
{
    // Since the agent accepted the start order, or, until then, since the order was first sent;
    // none: it was not sent yet, or this owner does not know when it was accepted.
    std::optional<milliseconds> elapsed;
    bool isAccepted = false;      // its agent accepted the start order
    bool mayBeUnanswered = false; // this owner placed the run, so that no other sends its order
    bool isBeingStopped = false;
    milliseconds workerSilence{}; // since the worker's last report
    bool isWorkerQuarantined = false;
    double workerSlowdown = 1;   // of the worker over the service's median
    std::int64_t expectedMs = 0; // high quantile of the run times of its kind
    bool isExpectedLearned = false;
    double backoff = 1;                   // of its kind, see copy_backoff
    std::vector<std::int64_t> siblingsMs; // run times of its siblings that are done, ms
    std::size_t stepTasks = 1;            // tasks of the step
    std::size_t undoneTasks = 1;          // those that are not done
    double usedShare = 1;                 // of the service's processors
};

copy_reason copyReasonFor(const run_at_work &run, const copy_settings &settings);

// The copies in flight, against the runs that they belong to.
struct copy_budget
{
    std::size_t ownerRuns = 0; // of the owner's jobs that permit copies, without the copies
    std::size_t ownerCopies = 0;
    std::size_t jobRuns = 0; // of one job, without the copies
    std::size_t jobCopies = 0;

    bool allows(const copy_settings &settings) const;
    void noteCopy();
};

// By kind of run, a factor on how much longer than usual a run must take to get a copy. It rises
// with each copy that was not done first, where run times vary more than siblings show, and falls
// with each one that was.
class copy_backoff
{
public:
    double factorOf(const run_kind &kind) const;
    void noteOutcome(const run_kind &kind, bool copyWon);

private:
    std::map<run_kind, double> m_factors;
};

// Whether one more run of the task can't exceed the limit of failed runs, even if all that are at
// work fail. `openRuns`: those that have not ended, or whose end was not reported.
bool hasAttemptLeft(int failures, std::size_t openRuns, int maxAttempts);

} // namespace zinniabarrow::jobs
