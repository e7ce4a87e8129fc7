// Jobs and tasks as the placer knows them, and the queue of those that wait.
//
//   task_record, job_record  one task; what the tasks of a job share
//   task_table               finds them
//   pending_queue            jobs with waiting tasks, by rank, then team, then age
//   cancel_memory            what was cancelled, so that a late event does not bring it back
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

constexpr int NoWorker = -1;

struct task_record
{
    int workerSlot = NoWorker;        // slot of the worker; NoWorker: pending
    bool cancelled = false;           // never placed again
    bool stopsSoon = false;           // cancelled, or stopped for urgent work: no long checkpoint
    class_number jobClass = 0;        // when it was placed: a job may be edited
    std::uint16_t team = 0;           // whose quota is charged
    resources chargedQuota;           // to the quota
    resources sentReservation;        // reservation that the worker was told
    std::int64_t limitMillicores = 0; // of processor time; below `told` while throttled
    std::int64_t peakBytes = 0;       // largest memory seen on this worker
    time_point pendingSince;          //
    time_point startedAt;             // placed, then running
    time_point sampledAt;             // when the newest usage sample was measured
    int holdSlot = NoWorker;          // slot on which room is being made for it
    resources holdAmount;             // kept free there
    time_point holdUntil;             // another worker is tried after it
    std::uint64_t holdNumber = 0;     // order in which room was held
    int avoidedSlot = NoWorker;       // slot that evicted it, or made no room in time
    time_point avoidUntil;            //
    int backlogSlot = NoWorker;       // slot in whose backlog it is; neither pending nor placed
    bool isBacklogStored = false;     // the table holds it there
    time_point backlogUntil;          // from then on another worker with room may have it
};

enum class wait_reason {
    NotTried,
    NoWorkers,
    NoCapacity,
    TeamAtQuota,
    JobQuarantined,
    Preempting,
    WouldSlowService,
};

struct job_record
{
    task_spec spec;                                      // of any of its tasks; the index is unused
    std::uint64_t sequence = 0;                          // order of arrival
    int rank = 0;                                        // place in the order of priorities
    std::uint16_t team = 0;                              //
    class_number jobClass = 0;                           //
    std::size_t pool = 0;                                //
    std::unordered_map<std::int32_t, task_record> tasks; // by index
    std::set<std::int32_t> pending;                      // indexes that wait
    job_usage usage;                                     // of its tasks
    wait_reason waitReason = wait_reason::NotTried;      //
    std::uint64_t blockedRevision = 0; // generation of the pool's room that was too small
    time_point retryAt;                // tried again then, even without new room
    bool isQuarantineReported = false; // one refusal for each stay
};

// Urgent work first, then services before batch of the same priority.
int rankOf(const task_spec &task);
constexpr int RankCount = 6;

class task_table
{
public:
    job_record *findJob(const std::string &jobId);
    const job_record *findJob(const std::string &jobId) const;
    job_record &addJob(const std::string &jobId);
    void eraseJob(const std::string &jobId) { m_jobs.erase(jobId); }
    std::size_t jobCount() const { return m_jobs.size(); }

private:
    std::unordered_map<std::string, job_record> m_jobs;
    std::uint64_t m_nextSequence = 1;
};

class pending_queue
{
public:
    using team_jobs = std::map<std::uint64_t, job_record *>; // by age
    using rank_teams = std::map<std::uint16_t, team_jobs>;

    // Of a job whose rank and team do not change while it is in the queue.
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

// Bounded: the oldest are forgotten first. The table's row decides in the end; this only keeps a
// message that was overtaken by its cancellation from starting work that has to be stopped again.
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

    std::map<task_ref, std::uint64_t> m_numberByTask;             // and when each was added last
    std::deque<std::pair<std::uint64_t, task_ref>> m_oldestFirst; // oldest first
    std::uint64_t m_lastNumber = 0;
};

} // namespace zinniabarrow::placement
