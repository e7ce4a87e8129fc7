// Jobs and tasks known to the scheduler, and the queue of pending jobs.
//
//   task_record, job_record  state of one task; state shared by the tasks of a job
//   task_table               finds a job by its id
//   pending_queue            jobs with pending tasks, ordered by rank, team and age
//   cancelled_task_set       cancelled tasks, so that a late event does not restart them
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "placement/interference.h"
#include "placement/resources.h"
#include "placement/size_learner.h"

namespace zinniabarrow::placement {

constexpr int NoWorker = -1; // no slot, like worker_table::NoSlot

struct task_record
{
    int workerSlot = NoWorker; // slot of the worker where it is placed; NoWorker: not placed
    bool cancelled = false;    // never placed again
    // It is being stopped without a long checkpoint: cancelled, or preempted for an urgent task.
    bool stopsSoon = false;
    class_number jobClass = 0;        // when it was placed; the job may change later
    std::uint16_t team = 0;           // team whose quota is charged
    resources chargedQuota;           // amount charged to the team's quota
    resources sentReservation;        // reservation last sent to the worker
    std::int64_t limitMillicores = 0; // processor limit; below sentReservation while throttled
    std::int64_t peakBytes = 0;       // largest memory use measured on this worker
    time_point pendingSince;
    time_point startedAt;         // when it was placed; once it runs, when it started
    time_point sampledAt;         // measuredAt of the newest usage sample
    int holdSlot = NoWorker;      // slot on which capacity is held for it; NoWorker: none
    resources holdAmount;         // capacity held there
    time_point holdUntil;         // afterwards the hold expires and another worker is tried
    std::uint64_t holdNumber = 0; // increases with each hold; older holds are served first
    int avoidedSlot = NoWorker;   // where it failed or was evicted, or its hold was abandoned
    time_point avoidUntil;
    int backlogSlot = NoWorker;   // in whose backlog it is; then neither pending nor placed
    bool isBacklogStored = false; // the table holds this backlog assignment
    time_point withdrawableFrom;  // from then on it may move to another worker
};

// Why the tasks of a job are still pending; shown to operators by scheduler::explain(), and used by
// planBacklog() to choose jobs.
enum class wait_reason {
    NotTried,   // no attempt to place a task of the job has failed yet
    NoWorkers,  // its pool has no workers
    NoCapacity, // no worker has enough free capacity
    TeamAtQuota,
    JobQuarantined,   // its tasks failed too often, see quarantine.h
    Preempting,       // until the tasks preempted for it have stopped
    WouldSlowService, // a batch task that fits only where it would slow a service too much
};

struct job_record
{
    task_spec spec;             // of any task of the job; taskIndex is unused
    std::uint64_t sequence = 0; // order of arrival
    int rank = 0;               // see rankOf()
    std::uint16_t team = 0;
    class_number jobClass = 0;
    std::size_t pool = 0;
    std::unordered_map<std::int32_t, task_record> tasks; // by index
    std::set<std::int32_t> pending;                      // indexes of pending tasks
    job_usage usage;                                     // of the job's own tasks
    wait_reason waitReason = wait_reason::NotTried;      // why its tasks are pending
    // pool_state::capacityRevision at which the job did not fit; 0: not blocked.
    std::uint64_t blockedRevision = 0;
    time_point retryAt;                // retried at this time even without new capacity
    bool isQuarantineReported = false; // plan() has returned the refuse_action of this quarantine
};

// Order of placement: by priority, and services before batch within a priority. Lower ranks first.
int rankOf(const task_spec &task);
constexpr int RankCount = 6;

class task_table
{
public:
    job_record *findJob(const std::string &jobId);
    const job_record *findJob(const std::string &jobId) const;
    // A new job is numbered in order of arrival.
    job_record &findOrAddJob(const std::string &jobId);
    void eraseJob(const std::string &jobId) { m_jobs.erase(jobId); }
    std::size_t jobCount() const { return m_jobs.size(); }

private:
    std::unordered_map<std::string, job_record> m_jobs;
    std::uint64_t m_nextSequence = 1;
};

class pending_queue
{
public:
    using team_jobs = std::map<std::uint64_t, job_record *>; // by sequence, oldest first
    using rank_teams = std::map<std::uint16_t, team_jobs>;

    // The rank and team of a queued job must not change.
    void insert(job_record &job) { m_ranks.at(rankIndex(job))[job.team][job.sequence] = &job; }
    void erase(const job_record &job);
    rank_teams &teamsAtRank(int rank) { return m_ranks.at(static_cast<std::size_t>(rank)); }

private:
    static std::size_t rankIndex(const job_record &job)
    {
        return static_cast<std::size_t>(job.rank);
    }

    std::array<rank_teams, RankCount> m_ranks;
};

// Remembers the newest MaxKept cancellations, of a task or of a whole job. The row in the table of
// tasks is authoritative; this set only prevents an event that arrives after the cancellation from
// starting work that would have to be stopped again.
class cancelled_task_set
{
public:
    void add(const task_ref &task);
    bool contains(const task_ref &task) const;
    void forgetJob(const std::string &jobId);
    static task_ref wholeJob(const std::string &jobId) { return {jobId, WholeJob}; }

private:
    static constexpr std::int32_t WholeJob = -1;
    static constexpr std::size_t MaxKept = 65536;

    std::map<task_ref, std::uint64_t> m_numberByTask; // number under which each was added
    std::deque<std::pair<std::uint64_t, task_ref>> m_insertionOrder; // to remove the oldest
    std::uint64_t m_lastNumber = 0;
};

} // namespace zinniabarrow::placement
