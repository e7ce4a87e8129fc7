// The agent's side of task execution: carries out the owner's grants on its worker and reports
// events to the owner. A worker runs tasks on an instance; its agent is the process that talks to
// the owner for it.
//
// Epoch: number of an ownership of the shard; each new owner has a higher one. Incarnation: number
// that increases when the worker's instance is restarted or replaced.
//
// What the worker itself must remember is listed in docs/design/OWNERSHIP.md: its incarnation, the
// newest epoch it was told, and the newest attempt of each task that it ran or was told to stop.
// worker_tasks.h implements it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "work/leases.h"
#include "work/messages.h"

namespace zinniabarrow::work {

// How an attempt ended on the worker.
enum class task_outcome {
    Succeeded,
    Failed,
    Evicted, // checkpointed and ended on request
    Stopped, // ended on request without a checkpoint; also one that was stopped before it ran
    Lapsed,  // its lease lapsed
};
std::string_view nameOf(task_outcome outcome);
task_outcome taskOutcomeFromName(std::string_view name); // throws error BadRequest

// An ended attempt in a worker_listing.
struct finished_task
{
    task_attempt attempt;
    task_outcome outcome = task_outcome::Succeeded;
    std::string checkpoint; // object name; empty: none
    std::string detail;     // reason of a failure or refusal
};

// A running attempt in a worker_listing.
struct running_task
{
    task_attempt attempt;
    std::string checkpoint; // object name of the newest one; empty: none
    Json::Value spec;       // task specification that it was started with
    failover_class failover = failover_class::Lease;
};

// A worker's answer to worker_list: its running tasks, and the ended ones that it was not yet told
// to forget.
struct worker_listing
{
    std::uint64_t number = 0;      // increases with each listing of an incarnation, from 1
    std::uint64_t incarnation = 0; // increases when the instance is restarted or replaced
    std::uint64_t epoch = 0;       // newest epoch that the worker was told
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};
Json::Value toJson(const worker_listing &listing);
worker_listing workerListingFromJson(const Json::Value &value); // throws error BadRequest

// Events.
struct grant_received
{
    worker_grant grant;
};
struct listing_received
{
    worker_listing listing;
};
struct start_refused // the worker has already run or stopped this attempt or a newer one
{
    task_attempt attempt;
    std::uint64_t listing = 0; // number of the worker's newest listing when it refused
};
struct cpu_limit_unconfirmed // the worker did not answer a worker_cpu_limit
{
    task_attempt attempt;
};
struct supervisor_tick // due at nextTick()
{ };
using supervisor_event = std::variant<grant_received, listing_received, start_refused,
                                      cpu_limit_unconfirmed, supervisor_tick>;

// Actions on the worker. Each is idempotent. All but worker_list and worker_cpu_limit are repeated
// until a listing shows their effect, so a lost answer to them does no harm. After a lost answer to
// worker_list the agent knows nothing new until the next listing.
struct worker_list // the worker records `epoch` if it is newer, and answers with a listing
{
    std::uint64_t epoch = 0;
};
struct worker_start
{
    granted_task task;
    Json::Value spec;
    // `lease` and `startWithin` are counted from when the worker made listing `listing`.
    milliseconds lease{0};         // lease of the task
    milliseconds startWithin{0};   // the worker refuses a later start
    std::uint64_t listing = 0;     // number of the listing
    std::uint64_t incarnation = 0; // that made the listing; any other refuses the start
};
struct worker_renew
{
    task_attempt attempt;
    milliseconds lease{0}; // counted from when the worker made listing `listing`
    std::uint64_t listing = 0;
    std::uint64_t incarnation = 0; // that made the listing; any other ignores the renewal
};
struct worker_stop // also sent for an attempt that is not running: it must never start later
{
    task_attempt attempt;
};
struct worker_checkpoint // write a checkpoint, then end the task
{
    task_attempt attempt;
    std::string checkpoint; // name of the object to write
};
// Limit the processor time of a running attempt. Listings don't show the limit, so the agent
// reports a missing answer as cpu_limit_unconfirmed, and the limit is sent again after the next
// grant.
struct worker_cpu_limit
{
    task_attempt attempt;
    std::int64_t millicores = 0; // 0: lift the limit
};
struct worker_forget // the outcome is committed in the table: no longer list it
{
    task_attempt attempt;
};
// Actions towards the owner.
struct send_report
{
    agent_report report;
};
// Counters for metrics.
enum class supervisor_counter {
    StaleEpoch,            // grant from a superseded owner
    StaleIncarnation,      // grant for an earlier incarnation of the worker
    OtherSession,          // grant for another agent process of this worker
    LeaseLapsed,           // start not sent: the lease given by its grant had lapsed
    OverCapacity,          // start refused: the task does not fit on the worker
    StaleListing,          // reordered or duplicated listing
    StaleAttempt,          // grant of an older attempt than the agent knows of
    BacklogStarted,        // backlog task started while the table was down
    ReservationNotApplied, // raised reservation that does not fit beside the running tasks
};
std::string_view nameOf(supervisor_counter reason);
struct increment_counter
{
    supervisor_counter reason;
};
using supervisor_action =
        std::variant<worker_list, worker_start, worker_renew, worker_stop, worker_checkpoint,
                     worker_cpu_limit, worker_forget, send_report, increment_counter>;

struct supervisor_settings
{
    lease_settings leases;
    milliseconds reportInterval{2'000}; // while the owner answers; shorter if its leases are short
    milliseconds repeatInterval{1'000}; // without an answer, or with unacknowledged events
    milliseconds listInterval{1'000};   // between two listings of the worker
    milliseconds eventDelay{100};       // events are collected this long before they are reported
    std::size_t maxEventsPerReport = 200;
};

// Returns true if the task fits with size `amount` beside task_supervisor::occupiedByOthers(). This
// is the last check before a start: workers start whatever they are told to.
using capacity_check = std::function<bool(const task_id &task, const resources &amount)>;

// Supervises the tasks of one worker. Performs no I/O: the agent calls handle() with each event and
// carries out the actions that it returns. Not thread-safe.
class task_supervisor
{
public:
    // `session` must be unique for each agent process.
    task_supervisor(std::string worker, std::string session, supervisor_settings settings,
                    capacity_check capacityCheck);

    std::vector<supervisor_action> handle(const supervisor_event &event, time_point now);

    time_point nextTick() const; // when the next supervisor_tick is due

    // Tasks that count against the worker's capacity: starting or running ones, including those
    // that are being stopped.
    std::vector<running_task> occupyingTasks() const;
    // Total size of occupyingTasks() except `task`, each with the larger of its declared and
    // reserved size.
    resources occupiedByOthers(const task_id &task) const;
    // End of the agent's own lease, which the owner's grants extend. Tasks of class Lease get no
    // lease beyond it; those of class Proof are renewed in any case.
    time_point leaseUntil() const { return m_leaseUntil; }
    std::uint64_t epoch() const { return m_epoch; }
    std::size_t unackedEventCount() const { return m_unackedEvents.size(); }

private:
    enum class supervised_state {
        Starting,
        Refusing, // does not fit: the worker is told never to start it
        Running,  // listed as running
        Ended,    // listed as finished, or missing; its event is not acknowledged yet
    };
    static constexpr std::int64_t UnknownCpuLimit = -1; // an earlier agent process may have set one
    struct supervised_task
    {
        std::uint32_t attempt = 0;
        supervised_state state = supervised_state::Starting;
        failover_class failover = failover_class::Lease;
        std::string checkpoint;
        Json::Value spec;
        resources reservedSize;   // from the owner, if more than the declared size
        time_point startDeadline; // while Starting: the worker refuses the start from then on
        std::uint64_t refusedAtListing = 0;      // newest listing at the refusal; 0: not refused
        std::int64_t cpuLimit = UnknownCpuLimit; // millicores that the worker was told; 0: none
    };

    void on(const grant_received &event, time_point now);
    void on(const listing_received &event, time_point now);
    void on(const start_refused &event, time_point now);
    void on(const cpu_limit_unconfirmed &event, time_point now);
    void on(const supervisor_tick &event, time_point now);
    bool isCurrent(const worker_grant &grant) const;
    void adoptEpoch(std::uint64_t epoch, time_point now);
    time_point extendLease(const worker_grant &grant);
    void scheduleNextReport(const worker_grant &grant);
    void applyAcks(std::uint64_t lastAcked);
    void applyReservations(const worker_grant &grant);
    void applyCpuLimits(const std::vector<cpu_limit> &limits);
    void applyGrantedTask(const worker_grant &grant, const granted_task &task, bool isBacklog,
                          time_point grantLeaseEnd, time_point now);
    bool handleKnownAttempt(const granted_task &task, time_point now);
    bool isStartRepeated(const granted_task &task) const;
    void startTask(const granted_task &task, const Json::Value &spec, const resources &reserved,
                   time_point grantLeaseEnd);
    void applyStop(const task_attempt &attempt);
    void applyEviction(const task_attempt &attempt);
    void adoptIncarnation(std::uint64_t incarnation);
    void applyRunning(const running_task &running, time_point now);
    void applyFinished(const finished_task &finished, time_point now);
    void resolveMissing(const worker_listing &listing, time_point now);
    void renewTaskLeases();
    void requestListing(time_point now);
    bool shouldReport(time_point now) const;
    void sendReport(time_point now);
    void addEvent(const task_attempt &attempt, task_event_kind kind, time_point now,
                  const std::string &checkpoint = {}, const std::string &detail = {});
    bool hasEvent(const task_attempt &attempt, task_event_kind kind) const;
    bool hasEndEvent(const task_attempt &attempt) const;
    milliseconds taskLeaseFor(failover_class failover, time_point grantLeaseEnd) const;
    void count(supervisor_counter reason);

    std::string m_worker;
    std::string m_session;
    supervisor_settings m_settings;
    capacity_check m_capacityCheck;

    std::uint64_t m_incarnation = 0;   // of the worker; 0: not listed yet
    std::uint64_t m_epoch = 0;         // newest seen in a grant or a listing
    std::uint64_t m_workerEpoch = 0;   // newest that the worker has recorded
    std::uint64_t m_newestListing = 0; // number of the newest listing received
    time_point m_listingReceivedAt;
    time_point m_tasksLapseAt; // tasks of class Lease have ended by then if no new listing comes
    time_point m_leaseUntil;   // end of the agent's own lease
    std::uint64_t m_reportSequence = 0;
    std::map<std::uint64_t, time_point> m_reportSentAt; // by sequence, of the newest reports
    std::uint64_t m_lastEventNumber = 0;
    std::deque<task_event> m_unackedEvents;
    std::map<task_id, supervised_task> m_tasks;
    std::uint64_t m_reservationsEpoch = 0; // epoch whose owner numbered m_ackedReservation
    std::uint64_t m_ackedReservation = 0;  // newest reservation up to which all are applied
    time_point m_nextListingAt;
    time_point m_nextReportAt;
    std::vector<supervisor_action> m_actions;
};

} // namespace zinniabarrow::work
