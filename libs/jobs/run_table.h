// The runs of one worker, as its agent knows them. Makes the last check before a run is started.
// Makes decisions only; the agent carries out the actions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/messages.h"
#include "jobs/throttle_controller.h"

namespace zinniabarrow::jobs {

struct start_run
{
    task_id task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    time_point callDeadline{}; // the worker isn't called later
};

struct stop_run
{
    task_id task;
    int run = 0;
};

using run_action = std::variant<start_run, stop_run>;

// Whether new runs may be started on the worker.
enum class start_readiness {
    Ready,
    RetryLater,  // perhaps soon: the entry repeats the order
    Unavailable, // no: the entry places the task elsewhere
};

// The outcome of a start call to the worker.
enum class start_answer {
    Started,     // the run exists
    Refused,     // this call will never start the run
    NotExecuted, // the worker did nothing; the call may be repeated
    Unanswered,  // the run may start up to the call's deadline
};

struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    std::int64_t measured = 0; // serving: tail latency, ms; best-effort: millicores in use
};

// The result of one poll of the worker: its active runs, and all ends that it has not been allowed
// to forget.
struct run_listing
{
    std::int64_t clockMs = 0; // worker's clock
    std::vector<listed_run> running;
    std::vector<run_end> ended;
};

struct run_table_settings
{
    // A worker answers within a few ms. Starts are idempotent.
    milliseconds startRetryInterval{250};
    milliseconds stopRetryInterval{600};
    // An accepted start isn't called later than this, nor after its order's own deadline: the task
    // may have been done elsewhere meanwhile, and the entry that gave the order may be gone.
    // Callers count a start more than a second after the task was done as duplicate work.
    milliseconds maxStartDelay{700};
    // Runs of an earlier incarnation of the agent that no entry claims are stopped after this time.
    // Entries repeat their orders as soon as they learn of the new incarnation, and take jobs over
    // within about two seconds.
    milliseconds claimTimeout{8000};
    milliseconds refusalRetention{60'000}; // longer than any order can be in transit
    milliseconds cancelRetention{180'000}; // as long as entries keep rows of finished jobs
};

class run_table
{
public:
    explicit run_table(const run_table_settings &settings = {});

    void setWorker(const task_size &capacity, start_readiness readiness);
    void setEpoch(std::int64_t epoch);                  // 0: none, nothing is started
    void setAgentIncarnation(std::int64_t incarnation); // as in the reports
    // The worker was restarted or is gone: none of its runs exists any more. Ends that were listed
    // and not acknowledged are still reported.
    void clearRuns();

    order_answer handleOrder(const run_order &order, const std::string &owner, time_point now);
    // Stops the job's runs and refuses further starts; returns how many runs are stopped. Called
    // for cancellations in the store. Stop orders alone aren't enough: the job's owner may have
    // died, or not reach this agent.
    int cancelJob(const std::string &job, time_point now);
    // A start call was sent. `deadlineMs`: worker's clock, up to which the call can take effect.
    void startCalled(const task_id &task, int run, std::int64_t deadlineMs);
    void startAnswered(const task_id &task, int run, start_answer answer, time_point now);
    void applyListing(const run_listing &listing, time_point now);
    // The end is in the platform's store and can be forgotten. False: the run's current end is
    // another one.
    bool acknowledgeEnd(const run_end_id &end, time_point now);

    // `owner` received the end and answered that the job belongs to another entry. From now on the
    // end is reported to all entries. False: it already was, or the run has another owner by now.
    bool noteNotOwned(const run_end_id &end, const std::string &owner);

    // The calls to the worker that are due: first and repeated starts and stops, and stops of
    // unclaimed runs. `mayStart` is false without a lease: starts then wait.
    std::vector<run_action> takeDueActions(time_point now, bool mayStart);
    void stopAll(time_point now); // the runs belong to an epoch that has ended
    // The entry doesn't answer: the ends of its runs are reported to all entries, until an entry
    // gives an order for them.
    void noteOwnerSilent(const std::string &owner);

    std::int64_t epoch() const { return m_epoch; }
    std::size_t newEndCount() const { return m_newEndCount; } // grows with each end to be reported
    std::int64_t acknowledgedThrough() const; // the worker may forget ends up to this one
    task_size used() const;                   // by runs that have not ended
    task_size usedByLongRunning() const;      // the part of `used` that long-running runs use
    std::int64_t bestEffortMillicores() const;
    bool allRunsClaimed() const; // only then the worker's free capacity is known
    std::size_t activeRunCount() const;
    // There are unacknowledged ends of a worker that is gone: no other process can report them.
    bool hasEndsOfGoneWorker() const;
    std::vector<serving_sample> servingSamples() const; // by the last listing
    std::vector<best_effort_run> bestEffortRuns() const;
    // Unacknowledged ends to report to `owner`: of its own runs, and of runs without a known owner.
    std::vector<run_end> endsFor(const std::string &owner) const;
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
        // Worker's clock: no start call takes effect later; 0: no call is open.
        std::int64_t lastStartEffectMs = 0;
        int openStartCalls = 0;     // start calls that may still take effect, or may have
        time_point startDeadline{}; // the worker isn't called later
        time_point retryAt{};
        time_point claimDeadline{};
        run_end end;

        void setOwner(const std::string &entry);
        bool reportsEndTo(const std::string &entry) const;
        bool reportsEndOnlyTo(const std::string &entry) const;
    };
    using run_key = std::pair<task_id, int>;

    order_answer start(const run_order &order, const std::string &owner, time_point now);
    order_answer stop(const run_order &order, const std::string &owner, time_point now);
    time_point startDeadline(const run_order &order, time_point now) const;
    void applyEnd(const run_end &end, std::int64_t previousHighest, time_point now);
    // False: it has ended or is being stopped already.
    bool stopRun(const run_key &key, tracked_run &tracked, time_point now);
    void markNeverStarted(const run_key &key, tracked_run &tracked);
    void abandonStart(const run_key &key, tracked_run &tracked);
    void rememberRefusal(const run_key &key, time_point now);
    bool isRefused(const run_key &key) const;
    bool hasNewerRun(const run_key &key) const; // of the same task
    bool isCancelled(const std::string &job) const;
    bool hasRoom(const run_order &order) const;

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
    std::map<run_key, tracked_run> m_runs;
    std::map<task_id, refusal> m_refusals;
    std::set<run_key> m_strayRuns;                     // listed as running although refused here
    std::map<std::string, time_point> m_cancelledJobs; // job -> when the entry expires
    std::int64_t m_highestEndSequence = 0;
    std::size_t m_newEndCount = 0;
};

} // namespace zinniabarrow::jobs
