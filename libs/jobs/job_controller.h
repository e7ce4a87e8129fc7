// The jobs that an entry owns: where their tasks run, what is written of them, what is ordered.
// Decisions only: events go in with the time, actions come out.
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
#include "jobs/model.h"
#include "jobs/stall_timer.h"
#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

// Write the job's row on the condition that it still has `expectedVersion`; 0: that there is none.
// One write of a job is out at a time, and it is repeated unchanged until its outcome is known.
struct write_row
{
    std::string job;
    std::int64_t expectedVersion = 0;
    std::string content;
    std::optional<std::string> payload; // with the first write: the row of the payload
    bool cancels = false; // in the same transaction: the row from which agents learn of the cancel
};

struct give_order
{
    std::string worker;
    run_order order;
};

// What `token` waited for is in the platform's store.
struct stored
{
    std::int64_t token = 0;
};

// The job belongs to another entry now, or is gone: ask there.
struct disowned
{
    std::int64_t token = 0;
    std::string job;
};

// A decision for the log, with what decided it.
struct noted
{
    std::string event; // of the closed table in docs/OPERATIONS.md
    std::string job;
    std::string detail;
};

using book_action = std::variant<write_row, give_order, stored, disowned, noted>;

struct book_settings
{
    // An order without an answer is given again after this: an agent answers in milliseconds, and
    // the same order twice is one start.
    milliseconds repeatOrder{300};
    // A start that was given so long ago is in its worker's reports, or takes no effect any more.
    milliseconds onTheWay{700};
    // What fills waits so long for a worker where it harms nobody. A job that has waited this long
    // is late for certain, and must not make others late for that. Callers take a job of which
    // nothing runs for 3 s for lost where most of the service is free.
    milliseconds patience{60'000};
    milliseconds patienceBesideRoom{2500};
    // That a job has begun is written with its next change, or by itself after this long.
    milliseconds joinBegun{800};
    // What waits for a worker, or for the answer to an order, is told in the log this often.
    milliseconds tellWaits{2000};
    // A task that lasts and isn't known to be at work for so long stands still; callers count from
    // 6 s on. Told in the log again and again.
    milliseconds standsStill{6000};
    milliseconds tellStanding{4000};
    milliseconds lookStanding{1000};
};

class job_book
{
public:
    job_book(owner_id self, worker_pool &workers, const book_settings &settings = {});

    // --- callers
    bool owns(const std::string &job) const;
    // Hands a new job in; `token` is stored with the acceptance.
    void submit(const std::string &job, const job_spec &spec, const queue_policy &policy,
                std::int64_t wallMs, time_point now, std::int64_t token);
    // Waits until the present state of an owned job is in the store.
    void whenStored(const std::string &job, std::int64_t token);
    void cancel(const std::string &job, std::int64_t token);
    job_state storedState(const std::string &job) const; // of an owned job, as the store has it
    const job_record *record(const std::string &job) const;

    // --- the store
    void rowWritten(const std::string &job, std::int64_t version);
    // The row differs from what was expected; nothing: it is gone.
    void rowConflict(const std::string &job, std::int64_t version,
                     const std::optional<std::string> &content);
    // Takes a job over whose owner is gone.
    void adopt(const std::string &job, const job_record &record, std::int64_t version,
               const std::string &payload);
    // A row was changed by another writer, as the store's feed shows.
    void rowSeen(const std::string &job, const job_record &record, std::int64_t version);
    void forget(const std::string &job); // the row was removed

    // --- workers
    // An end as the agent reported it; `token` is stored when the end is.
    // False: the job is not owned here.
    bool runEnded(const std::string &worker, const run_end &end, time_point now,
                  std::int64_t token);
    void progressed(const std::string &worker, const run_progress &progress);
    void runStarted(const started_run &run, time_point now);
    // `agentLife`: of the agent, by its reports as the order was sent; 0: not told.
    void orderAnswered(const std::string &worker, const order_answer &answer, time_point now,
                       std::int64_t agentLife);
    void orderUnanswered(const std::string &worker, const task_id &task, int run, time_point now);
    // The pool has a new report of the worker, which does not count what is on its way there. After
    // the ends that came with it, and after `workerRenewed`: what they end takes no room.
    void workerTold(const std::string &worker, time_point now);
    // The agent lives anew, or the worker does: placements of older epochs have ended, orders of
    // the present one are given again.
    void workerRenewed(const std::string &worker, std::int64_t epoch, time_point now);
    // The worker's lease is known to be of that epoch: placements of older ones have ended. No
    // order is given again: an owner that was frozen looks at leases before it hears that it was
    // overtaken.
    void epochSeen(const std::string &worker, std::int64_t epoch);
    // Workers where owned tasks are placed.
    std::set<std::string> busyWorkers() const;

    // --- time
    void plan(time_point now, std::int64_t wallMs);
    std::vector<book_action> takeActions();

    std::size_t ownedUnfinished() const;
    std::vector<std::string> ownedJobs() const;

private:
    struct waiting_token
    {
        std::int64_t token = 0;
        std::int64_t revision = 0; // is stored when this revision is
    };

    struct pending_order
    {
        std::string worker;
        std::int64_t revision = 0; // given once this revision is stored
        bool out = false;          // given, no answer yet
        time_point repeatAt{};
        time_point givenAt{}; // first
        time_point tellAt{};  // the log, that there is no answer
        time_point heardAt{}; // the report of its worker that it was last given by
    };

    struct waiting_step
    {
        time_point since{};
        time_point tellAt{}; // the log, why no worker is found
    };

    // How the job's time went, as far as this owner saw it.
    struct job_course
    {
        std::optional<std::int64_t> firstAtMs; // Unix ms: its first task got a worker
        std::int64_t spareAtFirstMs = 0;       // the time to spare then
        std::int64_t unplacedMs = 0;           // in all, steps had tasks without a worker
    };

    struct owned_job
    {
        job_record record;
        std::string payload;
        bool payloadStored = false;
        bool cancelStored = false; // the row for the agents
        std::int64_t version = 0;  // of the row, as last known
        std::int64_t revision = 1; // of the record in memory
        std::int64_t storedRevision = 0;
        std::int64_t outRevision = 0; // of the write that is out; 0: none
        std::string outWrite;         // its name
        job_state outState = job_state::Queued;
        job_state storedState = job_state::Queued;
        std::vector<waiting_token> waiting;
        std::map<std::pair<task_id, int>, pending_order> starts;
        std::map<std::pair<task_id, int>, pending_order> stops;
        std::map<std::pair<task_id, int>, time_point> startedAt; // when the start was accepted
        std::map<task_id, std::vector<std::string>> avoided;     // workers
        std::map<std::pair<int, int>, time_point> waitingSince;  // by occurrence and step
        std::map<std::pair<int, int>, waiting_step> unplaced;    // the same
        std::map<task_id, stall_timer> standing;                 // tasks that last
        job_course course;
    };

    template <typename Visit>
    void eachTask(const std::string &id, owned_job &job, Visit visit);
    void changed(const std::string &id, owned_job &job);
    void noteBegun(const std::string &id, owned_job &job, time_point now);
    void writeBegun(time_point now);
    void writeIfDue(const std::string &id, owned_job &job);
    void settle(owned_job &job);
    void drop(const std::string &id);
    void takeCancel(const std::string &id, owned_job &job, const job_record &row);
    void endPlacedRun(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, time_point now);
    void endNeedlessRun(const std::string &id, owned_job &job, const std::string &worker,
                        const run_end &end);
    void endUnheardRun(const std::string &id, owned_job &job, const std::string &worker,
                       const run_end &end, time_point now);
    void applyEnd(const std::string &id, owned_job &job, const std::string &worker,
                  const run_end &end, const std::optional<milliseconds> &ran);
    static std::optional<milliseconds> takeRunTime(owned_job &job, const run_end &end,
                                                   time_point now);
    static double slownessOf(const std::optional<milliseconds> &ran, const step_spec &step);
    void finishTask(const std::string &id, owned_job &job, const task_id &task, int run,
                    const step_spec &step);
    static void stopNeedless(owned_job &job, const task_id &task, const task_state &state);
    void countFailure(const std::string &id, owned_job &job, const std::string &worker,
                      const run_end &end, const step_spec &step,
                      const std::optional<milliseconds> &ran);
    bool giveDueOrders(const std::string &id, owned_job &job, time_point now);
    run_order startOrder(const owned_job &job, const task_id &task, const placement &where,
                         time_point now) const;
    void stopAll(const std::string &id, owned_job &job);
    static void notStarted(owned_job &job, const std::string &worker, const task_id &task, int run);
    static void stopPlaced(owned_job &job, const task_id &task, const placement &where);
    static void avoid(owned_job &job, const task_id &task, const std::string &worker);
    static void removePlacement(owned_job &job, const task_id &task, int run);
    time_point heardOf(const std::string &worker) const;
    bool isOnTheWay(const std::string &worker, const std::pair<task_id, int> &start,
                    time_point now) const;
    static const step_spec &stepOf(const owned_job &job, const task_id &task);
    static bool isPlacedOn(const task_state &task, const std::string &worker, int run);
    void placeWaiting(const std::string &id, owned_job &job, time_point now, std::int64_t wallMs);
    bool placeStep(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                   time_point now);
    bool placeGang(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                   time_point now);
    void place(const std::string &id, owned_job &job, const task_id &task, const step_spec &step,
               const std::string &worker, int run);
    bool endEarlierEpochs(const std::string &id, owned_job &job, const std::string &worker,
                          std::int64_t epoch);
    bool isOfThePresentLife(const std::string &worker, std::int64_t agentLife) const;
    void orderAgain(const std::string &id, owned_job &job, const std::string &worker,
                    time_point now);
    static std::optional<std::string> chooseFor(const worker_pool &workers, const owned_job &job,
                                                const task_id &task, const step_spec &step,
                                                time_point now, const placement_wish &wish = {});
    void tellUnplaced(const std::string &id, owned_job &job, int occurrence, int stepIndex,
                      int tasks, const placement_wish &wish, time_point now);
    void tellUnderserved(time_point now);
    void tellStanding(time_point now, std::int64_t wallMs);
    void tellStandingTask(owned_job &job, const task_id &task, const task_state &state,
                          time_point now);
    static bool mayRun(const owned_job &job, const task_id &task, std::int64_t wallMs);
    std::optional<stall_reason> whyStanding(const owned_job &job, const task_id &task,
                                            const task_state &state, time_point now) const;
    std::string describeStanding(const owned_job &job, const task_id &task, const task_state &state,
                                 stall_reason why, time_point now) const;
    int servingAt(const std::string &id, const std::string &worker) const;
    static int placedAt(const owned_job &job, const std::string &worker);
    void tellEnded(std::int64_t wallMs);
    void tellUnanswered(const std::string &id, const task_id &task, int run, pending_order &order,
                        time_point now);
    static std::vector<std::string> fullOf(const owned_job &job, const task_id &task,
                                           const step_spec &step);
    static std::string describe(const task_id &task, int run, const std::string &worker);
    void note(std::string event, const std::string &job, std::string detail);

    owner_id m_self;
    worker_pool &m_workers;
    book_settings m_settings;
    std::map<std::string, owned_job> m_jobs;
    std::set<std::string> m_waiting;      // jobs of which a task may be placed
    std::set<std::string> m_touched;      // changed since the last plan
    std::vector<std::string> m_completed; // the log is not told of their course yet
    std::set<std::string> m_ordering;     // with orders that have no answer yet
    // By worker: starts that it may not count yet. Those that were settled meanwhile are left out
    // as its next report comes.
    std::map<std::string, std::set<std::pair<task_id, int>>> m_onTheWay;
    time_point m_tellServedAt{};               // the log, which jobs are not served in full
    time_point m_lookStandingAt{};             // for tasks that stand still
    std::map<std::string, time_point> m_begun; // jobs whose rows don't say so yet; write it then
    std::int64_t m_nextWrite = 1;
    std::vector<book_action> m_actions;
};

template <typename Visit>
void job_book::eachTask(const std::string &id, owned_job &job, Visit visit)
{
    for (std::size_t occurrence = 0; occurrence < job.record.tasks.size(); ++occurrence) {
        auto &steps = job.record.tasks[occurrence];
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].size(); ++index) {
                const task_id task{id, static_cast<int>(occurrence), static_cast<int>(step),
                                   static_cast<int>(index)};
                visit(task, steps[step][index]);
            }
        }
    }
}

} // namespace zinniabarrow::jobs
