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
    time_point callBy{}; // not called later
};

struct stop_run
{
    task_id task;
    int run = 0;
};

using run_action = std::variant<start_run, stop_run>;

// Whether new runs may be started on the worker.
enum class start_readiness {
    Open,
    Later,  // in a moment perhaps: the order is given again
    Closed, // not any more: the order goes elsewhere
};

enum class start_answer {
    Started,    // it is there
    Refused,    // the worker will never start it by this call
    Unhealthy,  // nothing was done
    Unanswered, // it may start, up to the call's own deadline
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
    milliseconds repeatStart{250}; // a worker answers within a few ms; the same start twice is one
    milliseconds repeatStop{600};
    // A start that was accepted is called no later, nor after its order's own deadline: its task
    // may be done by now, and whoever gave the order be gone. Callers count a start over a second
    // after that as doubled work.
    milliseconds startWithin{700};
    // Runs of an agent's earlier life that no entry claims are stopped: entries give their orders
    // again as soon as they hear of the new life, and take jobs over within about two seconds.
    milliseconds claimWithin{8000};
    milliseconds keepRefusals{60'000}; // longer than any order can be on its way
    milliseconds keepCancels{180'000}; // as long as entries keep the rows of jobs that are over
};

class run_table
{
public:
    explicit run_table(const run_table_settings &settings = {});

    void setWorker(const task_size &capacity, start_readiness readiness);
    void setEpoch(std::int64_t epoch);    // 0: none, nothing is started
    void setAgentLife(std::int64_t life); // as reports tell it
    // The worker lives anew, or is gone: nothing of before runs. Ends that were seen and not
    // acknowledged are told on.
    void clear();

    order_answer take(const run_order &order, const std::string &owner, time_point now);
    // No run of the job starts any more, and all that are here are stopped; how many these are.
    // Orders alone would not do: the owner may have died, or not reach this agent.
    int cancelled(const std::string &job, time_point now);
    // `deadlineMs`: the worker's clock up to which the call could take effect.
    void startCalled(const task_id &task, int run, std::int64_t deadlineMs);
    void startAnswered(const task_id &task, int run, start_answer answer, time_point now);
    void look(const run_listing &listing, time_point now);
    // The end is in the platform's store. False: not the one that is told for this run now.
    bool acknowledged(const acknowledged_end &end, time_point now);

    // `owner` was told the end, and says that the job is another entry's: all are told. False: that
    // is so already.
    bool notOwned(const acknowledged_end &end, const std::string &owner);

    // What is due: starts and stops that have no answer, unclaimed runs. Without a lease nothing
    // is started.
    std::vector<run_action> due(time_point now, bool mayStart);
    void stopAll(time_point now); // what runs belongs to an epoch that has ended
    // The entry does not answer: its ends are told to all, until an entry gives orders for them.
    void ownerSilent(const std::string &owner);

    std::int64_t epoch() const { return m_epoch; }
    std::size_t endsSeen() const { return m_endsSeen; } // counts ends that were news
    std::int64_t lastSeen() const; // ends up to here may be forgotten by the worker
    task_size used() const;
    task_size lasting() const; // of it, by runs that last
    std::int64_t fillMillicores() const;
    bool complete() const; // every run is claimed, so the worker's room is known
    std::size_t running() const;
    // Ends of a worker that is gone, not acknowledged: no other process will ever tell them.
    bool hasEndsOfTheGone() const;                  // `clear` takes their numbers
    std::vector<serving_sample> servingNow() const; // as last looked at
    std::vector<filling_run> fillingNow() const;
    // Ends that `owner` (or nobody known) has not acknowledged.
    std::vector<run_end> endsFor(const std::string &owner) const;
    std::vector<run_progress> progressFor(const std::string &owner) const;
    // Runs whose start `owner` wants to hear of; `startsTold` once it has.
    std::vector<started_run> startedFor(const std::string &owner) const;
    void startsTold(const std::vector<started_run> &runs, const std::string &owner);

private:
    enum class run_phase { Starting, Running, Stopping, Ended };

    struct run_entry
    {
        run_traits traits;
        bool claimed = false;
        bool tellsStart = false; // its owner asks for it and has not heard of it yet
        std::string owner;       // entry that last gave an order for it; empty: none has
        bool endToAll = false;   // that entry did not answer, or owns the job no more
        std::string payload;
        std::string checkpoint;
        run_phase phase = run_phase::Starting;
        std::int64_t measured = 0;     // as listed
        std::int64_t startUntilMs = 0; // worker's clock: no start call takes effect later
        int openCalls = 0;             // start calls that may take effect, or have
        time_point startBy{};          // no start is called later
        time_point repeatAt{};
        time_point claimUntil{};
        run_end end;

        void belongsTo(const std::string &entry);
        bool endGoesTo(const std::string &entry) const;
        bool isToldOnlyTo(const std::string &entry) const;
    };
    using run_key = std::pair<task_id, int>;

    order_answer start(const run_order &order, const std::string &owner, time_point now);
    order_answer stop(const run_order &order, const std::string &owner, time_point now);
    time_point startBy(const run_order &order, time_point now) const;
    void ended(const run_end &end, std::int64_t seenUpTo, time_point now);
    // False: it is stopped already.
    bool stopEntry(const run_key &key, run_entry &entry, time_point now);
    void neverStarted(const run_key &key, run_entry &entry);
    void giveUpStart(const run_key &key, run_entry &entry);
    void refuse(const run_key &key, time_point now);
    bool refused(const run_key &key) const;
    bool hasNewerRun(const run_key &key) const; // of the same task
    bool isCancelled(const std::string &job) const;
    bool hasRoom(const run_order &order) const;

    struct refusal
    {
        int upTo = 0; // run
        time_point keepUntil{};
    };

    run_table_settings m_settings;
    task_size m_capacity;
    start_readiness m_readiness = start_readiness::Later;
    std::int64_t m_epoch = 0;
    std::int64_t m_agentLife = 0;
    std::map<run_key, run_entry> m_runs;
    std::map<task_id, refusal> m_refused;
    std::set<run_key> m_strays;                    // listed as running, though refused here
    std::map<std::string, time_point> m_cancelled; // job, and until when it is remembered
    std::int64_t m_highestEnd = 0;
    std::size_t m_endsSeen = 0;
};

} // namespace zinniabarrow::jobs
