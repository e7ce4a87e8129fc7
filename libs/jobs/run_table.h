// The runs of one worker, as its agent knows them. A run is one attempt to execute a task; the runs
// of a task are numbered. An agent is the process that controls one worker, and an entry is a
// process that accepts jobs from callers, owns them, and sends orders to agents.
//
// The table makes the last check before a run is started. It makes decisions only: the agent passes
// in orders, answers and polls, and carries out the actions that `takeDueActions` returns.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/failure_streak.h"
#include "jobs/messages.h"
#include "jobs/throttle_controller.h"

namespace zinniabarrow::jobs {

// Call the worker to start the run.
struct start_run
{
    task_id task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    time_point callDeadline{}; // agent's clock; the worker isn't called later
};

// Call the worker to stop the run.
struct stop_run
{
    task_id task;
    int run = 0;
};

using run_action = std::variant<start_run, stop_run>;

// Whether new runs may be started on the worker; see readinessOf() in worker_liveness.h.
enum class start_readiness {
    Ready,
    RetryLater,  // perhaps soon: the entry repeats the order
    Unavailable, // no: the entry places the task elsewhere
};

// The outcome of a start call to the worker.
enum class start_answer {
    Started,     // the run exists
    Refused,     // this call does not start the run; an earlier call may have started it
    NotExecuted, // the worker did nothing; the call may be repeated
    Unanswered,  // the run may start up to the call's deadline
};

// An active run, as the worker lists it.
struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    // Run with a latency target: tail latency, ms. Best-effort run: millicores in use. Not used for
    // other runs.
    std::int64_t measured = 0;
};

// The result of one poll of the worker: its active runs, and the ends of its other runs. The worker
// forgets an end once a poll has told it that it may, see `acknowledgedThrough`.
struct run_listing
{
    std::int64_t clockMs = 0; // worker's clock
    std::vector<listed_run> running;
    std::vector<run_end> ended;
};

struct run_table_settings
{
    // A start call is repeated after this time if it was not answered or not executed. A worker
    // answers within a few ms, and starting a run twice starts it once.
    milliseconds startRetryInterval{250};
    milliseconds stopRetryInterval{600}; // a stop call is repeated until the run has ended
    // Worker's clock: a run that is being stopped has ended, and its end is listed, at most this
    // long after. Until then the worker may list it neither as active nor as ended.
    milliseconds stopTimeout{900};
    milliseconds stopMargin{150}; // in addition to stopTimeout
    // The worker is not called to start a run later than this after the order was accepted, nor
    // after the order's own deadline: the task may have been done elsewhere meanwhile, and the
    // entry that gave the order may be gone. Callers, who submit the jobs, count a start more than
    // a second after the task was done as duplicate work.
    milliseconds maxStartDelay{700};
    // An incarnation of a process lasts from its start to its end. The runs that an earlier
    // incarnation of the agent started are unclaimed until an entry sends a start order for them,
    // which claims them. A run that stays unclaimed for this long is stopped.
    // Entries repeat their orders as soon as they learn of the new incarnation, and take jobs over
    // within about two seconds.
    milliseconds claimTimeout{8000};
    // How long the table remembers that a run, and all earlier runs of its task, must not be
    // started. Longer than any order can be in transit.
    milliseconds refusalRetention{60'000};
    // How long the table remembers that a job is cancelled: as long as entries keep rows of
    // finished jobs.
    milliseconds cancelRetention{180'000};
};

class run_table
{
public:
    explicit run_table(const run_table_settings &settings = {});

    // The capacity that the worker announced, and whether runs may be started there now. Called
    // before orders are handled.
    void setWorkerState(const task_size &capacity, start_readiness readiness);
    // Sets the worker's epoch, a number that is raised each time all runs of the worker have ended.
    // A start order that was placed under another epoch starts no run. 0: none, and orders are
    // answered with NotReady. The runs in the table stay as they are; the agent calls `stopAll` or
    // `clearRuns` before a new epoch begins.
    void setEpoch(std::int64_t epoch);
    // The agent's incarnation as in worker_report. A start order that was placed in another one
    // can claim a run that exists, but starts none.
    void setAgentIncarnation(std::int64_t incarnation);
    // The worker was polled for the first time with the fence of a new incarnation of the agent.
    // Runs that terminate at that moment, after a stop call of an earlier incarnation or by the
    // worker's own decision, are in neither list for up to stopTimeout. Until then an order for a
    // run that may be one of them is answered with NotReady, whatever the worker's readiness, and
    // nothing is started: their size is unknown.
    void noteNewIncarnation(time_point now);
    bool mayHaveUnlistedRuns(time_point now) const { return now < m_unlistedRunsEndBy; }
    // All runs of the worker have certainly ended. Sets the epoch to 0. Ends that are not
    // acknowledged are still reported.
    void clearRuns();
    // The same for a worker that was restarted. Before that was known, start and stop calls may
    // have reached its new incarnation, which has such a run in neither list while it terminates:
    // until it has ended, mayHaveRuns() is true, counted from the next listing.
    void noteWorkerRestarted();

    // Accepts or refuses an order of the entry `owner`.
    order_answer handleOrder(const run_order &order, const std::string &owner, time_point now);
    // Stops the job's runs and refuses further starts; returns how many runs are stopped. Called
    // for cancellations in the store. Stop orders alone aren't enough: the job's owner may have
    // died, or not reach this agent.
    int cancelJob(const std::string &job, time_point now);
    // A start call was sent. `deadlineMs`: worker's clock, up to which the call can take effect.
    void startCalled(const task_id &task, int run, std::int64_t deadlineMs);
    void startAnswered(const task_id &task, int run, start_answer answer, time_point now);
    // A poll of the worker was answered: finds the runs that started, ended or never started.
    void applyListing(const run_listing &listing, time_point now);
    // The end is in the platform's store and can be forgotten. False: the run is unknown, has not
    // ended, or its end is now of another kind: a run that was assumed never to have started may be
    // listed by the worker later, with its real end.
    bool acknowledgeEnd(const run_end_id &end, time_point now);

    // `owner` received the end and answered that the job belongs to another entry. From now on the
    // end is reported to all entries. False: this was already the case, or the run has another
    // owner by now.
    bool noteNotOwned(const run_end_id &end, const std::string &owner);

    // The calls to the worker that are due: first and repeated starts and stops, and stops of
    // unclaimed runs. `mayStart` is false when the agent has no valid lease, does not know the
    // worker's clock, or gets no answers from the worker: starts then wait until their deadline.
    std::vector<run_action> takeDueActions(time_point now, bool mayStart);
    void stopAll(time_point now); // the runs belong to an epoch that has ended
    // The entry does not answer reports: the ends of its runs are reported to all entries, until an
    // entry gives an order for them.
    void noteOwnerSilent(const std::string &owner);

    // A report's answer of `owner` gives the run a new slack. False: it has another owner, or no
    // run of it is active.
    bool setSlack(const run_slack &slack, const std::string &owner);

    std::int64_t epoch() const { return m_epoch; }
    // Number of ends so far that had to be reported to an entry for the first time. It never falls;
    // the agent sends reports at once when it has grown.
    std::size_t newEndCount() const { return m_newEndCount; }
    // Sequence number up to which all ends are acknowledged: the worker may forget these.
    std::int64_t acknowledgedThrough() const;
    task_size used() const; // by runs that have not ended
    // The part of `used` that long-running runs use: those that last until their job is cancelled.
    task_size usedByLongRunning() const;
    // Requested by best-effort runs, which only use idle processors. Not included in `used`.
    std::int64_t bestEffortMillicores() const;
    // Runs of all owners that failed in a row, see failure_streak.h.
    int failuresInRow(time_point now) const { return m_failures.length(now); }
    // Whether every active run is claimed. Until then the worker's free capacity is unknown, as
    // only the orders that claim runs give their sizes.
    bool allRunsClaimed() const;
    // Whether the worker may be given runs now. False while runs are unclaimed: start orders would
    // be refused, and entries overestimate the worker's free capacity, as the sizes of these runs
    // are unknown. Orders that claim runs are accepted all the same.
    bool acceptsStarts(start_readiness readiness) const;
    std::size_t activeRunCount() const; // runs that have not ended
    // False: the worker certainly runs nothing, so the next epoch may begin.
    bool mayHaveRuns(time_point now) const;
    // A further listing will prove that some run never started.
    bool awaitsListing() const;
    // There are unacknowledged ends of a worker that is gone. No other process can report them, so
    // the agent must not exit.
    bool hasEndsOfGoneWorker() const;
    // Runs with a latency target, and their tail latencies by the last listing.
    std::vector<serving_sample> servingSamples() const;
    std::vector<best_effort_run> bestEffortRuns() const;
    // Whether endsFor(owner) lists any.
    bool hasEndsFor(const std::string &owner) const;
    // Unacknowledged ends to report to `owner`: of its own runs, and of runs without a known owner.
    std::vector<run_end> endsFor(const std::string &owner) const;
    // Checkpoints of active runs to report to `owner`, which owns them.
    std::vector<run_progress> progressFor(const std::string &owner) const;
    // Started runs to report to `owner`, until `noteStartsReported` says that it received them.
    std::vector<started_run> startsFor(const std::string &owner) const;
    void noteStartsReported(const std::vector<started_run> &runs, const std::string &owner);

private:
    enum class run_phase { Starting, Running, Stopping, Ended };

    struct tracked_run
    {
        run_requirements requirements;
        bool isClaimed = false;
        bool wantsStartReport = false; // its owner asked for the report and has not received it
        std::string owner;             // entry that last gave an order for it; empty: none
        bool reportsEndToAll = false;  // the owner doesn't answer, or no longer owns the job
        std::string payload;
        std::string checkpoint;
        run_phase phase = run_phase::Starting;
        std::int64_t measured = 0; // as in listed_run
        // Worker's clock: no start call takes effect later. 0: none was made, or the run is known
        // to have started.
        std::int64_t lastStartEffectMs = 0;
        // Worker's clock: the first listing after lastStartEffectMs without the run; 0: none yet.
        std::int64_t unlistedSinceMs = 0;
        int openStartCalls = 0;     // start calls that the worker has not rejected
        time_point startDeadline{}; // the worker isn't called later
        time_point retryAt{};
        time_point claimDeadline{};
        std::optional<time_point> startedAt; // when it was first known to run
        run_end end;

        void setOwner(const std::string &entry);
        void noteStarted();
        bool reportsEndTo(const std::string &entry) const;
        bool reportsEndOnlyTo(const std::string &entry) const;
    };
    using run_key = std::pair<task_id, int>;

    // Whether the run, which is not in the table, may exist on the worker all the same.
    bool mayBeUnlisted(const run_order &order, time_point now) const;
    order_answer start(const run_order &order, const std::string &owner, time_point now);
    order_answer stop(const run_order &order, const std::string &owner, time_point now);
    time_point startDeadline(const run_order &order, time_point now) const;
    // `previousHighest`: highest sequence number of an end before this listing.
    void applyEnd(const run_end &end, std::int64_t previousHighest, time_point now);
    void countFailures(const tracked_run &tracked, const run_end &end, time_point now);
    // False: it has ended or is being stopped already.
    bool stopRun(const run_key &key, tracked_run &tracked, time_point now);
    // Whether the listing, read at `clockMs` without the run, proves that it never started.
    bool isProvedNeverStarted(tracked_run &tracked, std::int64_t clockMs) const;
    void markNeverStarted(const run_key &key, tracked_run &tracked);
    void abandonStart(const run_key &key, tracked_run &tracked);
    void rememberRefusal(const run_key &key, time_point now);
    bool isRefused(const run_key &key) const;
    bool hasNewerRun(const run_key &key) const; // of the same task
    bool isCancelled(const std::string &job) const;
    bool hasRoom(const run_order &order) const;
    // The worker has as many runs of the step as it may have, those that are being stopped
    // included.
    bool isAtStepLimit(const run_order &order) const;

    struct refusal
    {
        int upToRun = 0; // this run of the task and all before it are refused
        time_point expiresAt{};
    };

    run_table_settings m_settings;
    task_size m_capacity;
    start_readiness m_readiness = start_readiness::RetryLater;
    std::int64_t m_epoch = 0;
    std::int64_t m_agentIncarnation = 0;
    time_point m_unlistedRunsEndBy{}; // see noteNewIncarnation()
    // A run that isn't in the table is stopped or may be, and terminates in neither list; counted
    // from the next listing.
    bool m_mayHaveTerminating = false;
    std::map<run_key, tracked_run> m_runs;
    std::map<task_id, refusal> m_refusals;
    std::set<run_key> m_strayRuns; // listed by the worker as active although refused here
    std::map<std::string, time_point> m_cancelledJobs; // job -> when the entry expires
    std::int64_t m_highestEndSequence = 0;
    std::size_t m_newEndCount = 0;
    failure_streak m_failures;
};

} // namespace zinniabarrow::jobs
