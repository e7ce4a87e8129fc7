// What runs on one worker, as its agent knows it: the last check before anything is started there.
// Decisions only.
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
    time_point callDeadline{}; // not called later
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
    RetryLater,  // in a moment perhaps: the order is given again
    Unavailable, // not any more: the order goes elsewhere
};

enum class start_answer {
    Started,     // it is there
    Refused,     // the worker will never start it by this call
    NotExecuted, // nothing was done
    Unanswered,  // it may start, up to the call's own deadline
};

struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    std::int64_t measured = 0; // tail latency in ms, or millicores in use
};

// One look at the worker: all that runs, and the ends that were not forgotten.
struct run_listing
{
    std::int64_t clockMs = 0; // the worker's clock
    std::vector<listed_run> running;
    std::vector<run_end> ended;
};

struct run_table_settings
{
    milliseconds startRetryInterval{
            250}; // a worker answers within a few ms; the same start twice is one
    milliseconds stopRetryInterval{600};
    // A start that was accepted is called no later, nor after its order's own deadline: its task
    // may be done by now, and whoever gave the order be gone. Callers count a start over a second
    // after that as doubled work.
    milliseconds maxStartDelay{700};
    // Runs of an agent's earlier life that no entry claims are stopped: entries give their orders
    // again as soon as they hear of the new life, and take jobs over within about two seconds.
    milliseconds claimTimeout{8000};
    milliseconds refusalRetention{60'000}; // longer than any order can be on its way
    milliseconds cancelRetention{180'000}; // as long as entries keep the rows of jobs that are over
};

class run_table
{
public:
    explicit run_table(const run_table_settings &settings = {});

    void setWorker(const task_size &capacity, start_readiness readiness);
    void setEpoch(std::int64_t epoch);                  // 0: none, nothing is started
    void setAgentIncarnation(std::int64_t incarnation); // as reports tell it
    // The worker lives anew, or is gone: nothing of before runs. Ends that were seen and not
    // acknowledged are told on.
    void clearRuns();

    order_answer handleOrder(const run_order &order, const std::string &owner, time_point now);
    // No run of the job starts any more, and all that are here are stopped; how many these are.
    // Orders alone would not do: the owner may have died, or not reach this agent.
    int cancelJob(const std::string &job, time_point now);
    // `deadlineMs`: the worker's clock up to which the call could take effect.
    void startCalled(const task_id &task, int run, std::int64_t deadlineMs);
    void startAnswered(const task_id &task, int run, start_answer answer, time_point now);
    void applyListing(const run_listing &listing, time_point now);
    // The end is in the platform's store. False: not the one that is told for this run now.
    bool acknowledgeEnd(const run_end_id &end, time_point now);

    // `owner` was told the end, and says that the job is another entry's: all are told. False: that
    // is so already.
    bool noteNotOwned(const run_end_id &end, const std::string &owner);

    // What is due: starts and stops that have no answer, unclaimed runs. Without a lease nothing
    // is started.
    std::vector<run_action> takeDueActions(time_point now, bool mayStart);
    void stopAll(time_point now); // what runs belongs to an epoch that has ended
    // The entry does not answer: its ends are told to all, until an entry gives orders for them.
    void noteOwnerSilent(const std::string &owner);

    std::int64_t epoch() const { return m_epoch; }
    std::size_t newEndCount() const { return m_newEndCount; } // counts ends that were news
    std::int64_t acknowledgedThrough() const; // ends up to here may be forgotten by the worker
    task_size used() const;
    task_size usedByLongRunning() const; // of it, by runs that last
    std::int64_t bestEffortMillicores() const;
    bool allRunsClaimed() const; // every run is claimed, so the worker's room is known
    std::size_t activeRunCount() const;
    // Ends of a worker that is gone, not acknowledged: no other process will ever tell them.
    bool hasEndsOfGoneWorker() const;                   // `clear` takes their numbers
    std::vector<serving_sample> servingSamples() const; // as last looked at
    std::vector<best_effort_run> bestEffortRuns() const;
    // Ends that `owner` (or nobody known) has not acknowledged.
    std::vector<run_end> endsFor(const std::string &owner) const;
    std::vector<run_progress> progressFor(const std::string &owner) const;
    // Runs whose start `owner` wants to hear of; `startsTold` once it has.
    std::vector<started_run> startsFor(const std::string &owner) const;
    void noteStartsReported(const std::vector<started_run> &runs, const std::string &owner);

private:
    enum class run_phase { Starting, Running, Stopping, Ended };

    struct tracked_run
    {
        run_requirements requirements;
        bool isClaimed = false;
        bool wantsStartReport = false; // its owner asks for it and has not heard of it yet
        std::string owner;             // entry that last gave an order for it; empty: none has
        bool reportsEndToAll = false;  // that entry did not answer, or owns the job no more
        std::string payload;
        std::string checkpoint;
        run_phase phase = run_phase::Starting;
        std::int64_t measured = 0;          // as listed
        std::int64_t lastStartEffectMs = 0; // worker's clock: no start call takes effect later
        int openStartCalls = 0;             // start calls that may take effect, or have
        time_point startDeadline{};         // no start is called later
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
    // False: it is stopped already.
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
        int upToRun = 0; // run
        time_point expiresAt{};
    };

    run_table_settings m_settings;
    task_size m_capacity;
    start_readiness m_readiness = start_readiness::RetryLater;
    std::int64_t m_epoch = 0;
    std::int64_t m_agentIncarnation = 0;
    std::map<run_key, tracked_run> m_runs;
    std::map<task_id, refusal> m_refusals;
    std::set<run_key> m_strayRuns;                     // listed as running, though refused here
    std::map<std::string, time_point> m_cancelledJobs; // job, and until when it is remembered
    std::int64_t m_highestEndSequence = 0;
    std::size_t m_newEndCount = 0;
};

} // namespace zinniabarrow::jobs
