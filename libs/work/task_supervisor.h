// The agent's side of the work: what it asks of its worker, and what it tells the owner.
//
// What the worker itself must keep is listed in docs/design/OWNERSHIP.md: its incarnation, the
// newest epoch it was told, and the newest attempt of each task that it ran or was told to stop.
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
    Evicted, // after a checkpoint request
    Stopped, // on request, also for an attempt that never ran
    Lapsed,  // its lease lapsed
};
std::string_view nameOf(task_outcome outcome);
task_outcome taskOutcomeFromName(std::string_view name); // throws error BadRequest

struct finished_task
{
    task_attempt attempt;
    task_outcome outcome = task_outcome::Succeeded;
    std::string checkpoint;
    std::string detail;
};

struct running_task
{
    task_attempt attempt;
    std::string checkpoint; // newest one, if any
    Json::Value spec;       // as it was started with
    failover_class failover = failover_class::Lease;
};

// What a worker runs and what has ended there since it was last told to forget.
struct worker_listing
{
    std::uint64_t number = 0;      // rises with each listing of an incarnation
    std::uint64_t incarnation = 0; // rises when the instance is restarted or replaced
    std::uint64_t epoch = 0;       // newest epoch the worker was told
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};
Json::Value toJson(const worker_listing &listing);
worker_listing workerListingFromJson(const Json::Value &value);

// Events.
struct grant_received
{
    worker_grant grant;
};
struct listing_received
{
    worker_listing listing;
};
struct start_refused // the worker ran or stopped this attempt, or a newer one, before
{
    task_attempt attempt;
    std::uint64_t listing = 0; // newest listing that the worker had made when it refused
};
struct cpu_limit_unconfirmed // the worker's answer to a worker_limit is missing
{
    task_attempt attempt;
};
struct supervisor_tick
{ };
using supervisor_event = std::variant<grant_received, listing_received, start_refused,
                                      cpu_limit_unconfirmed, supervisor_tick>;

// Actions on the worker. Each is idempotent and is asked again until a listing shows its effect. A
// lost answer to any but worker_list changes nothing.
struct worker_list // the worker records `epoch` if it is newer, and answers with a listing
{
    std::uint64_t epoch = 0;
};
struct worker_start
{
    granted_task task;
    Json::Value spec;
    milliseconds lease{0};         // of the task
    milliseconds startWithin{0};   // the worker refuses to start it later
    std::uint64_t listing = 0;     // both count from when the worker made this listing
    std::uint64_t incarnation = 0; // of the worker that made it; any other refuses
};
struct worker_renew
{
    task_attempt attempt;
    milliseconds lease{0}; // counted from when the worker made listing `listing`
    std::uint64_t listing = 0;
    std::uint64_t incarnation = 0; // of the worker that made it; any other ignores it
};
struct worker_stop // also for an attempt that is not there: it must never start later
{
    task_attempt attempt;
};
struct worker_checkpoint // checkpoint into this object, then end
{
    task_attempt attempt;
    std::string checkpoint;
};
struct worker_cpu_limit // of processor time; 0: none any more. Listings do not show it:
                        // limit_unsettled
{
    task_attempt attempt;
    std::int64_t millicores = 0;
};
struct worker_forget // the outcome is settled in the table
{
    task_attempt attempt;
};
// Actions towards the owner.
struct send_report
{
    agent_report report;
};
enum class supervisor_counter {
    StaleEpoch,            // grant of a superseded owner
    StaleIncarnation,      // grant for an earlier life of the worker
    OtherSession,          // grant for another agent of this worker
    LeaseLapsed,           // a start was held back: the agent's own lease had lapsed
    OverCapacity,          // a start was refused: it does not fit the worker
    StaleListing,          // a reordered or doubled listing
    StaleAttempt,          // a start of an attempt that already ran here
    BacklogStarted,        // backlog started while the table was down
    ReservationNotApplied, // a raised reservation that does not fit beside what still runs here
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
    milliseconds reportInterval{2'000}; // while the owner answers; less where its lease is short
    milliseconds repeatInterval{1'000}; // of a report without an answer, or with unsettled events
    milliseconds listInterval{1'000};
    milliseconds eventDelay{100};         // a new event is reported after this, with others
    std::size_t maxEventsPerReport = 200; // most events in one report
};

// True if `amount` for the task fits beside task_keeper::occupiedBeside (the last check before a
// start; workers start whatever they are given).
using capacity_check = std::function<bool(const task_id &task, const resources &amount)>;

class task_supervisor
{
public:
    // `session` is unique for each process.
    task_supervisor(std::string worker, std::string session, supervisor_settings settings,
                    capacity_check capacityCheck);

    std::vector<supervisor_action> handle(const supervisor_event &event, time_point now);

    time_point nextTick() const; // when keeper_tick has something to do

    // Tasks that count against the worker's capacity: starting, running, ending.
    std::vector<running_task> occupyingTasks() const;
    // What these hold without `task`: each the larger of its declared and its reserved size.
    resources occupiedByOthers(const task_id &task) const;
    time_point leaseUntil() const { return m_leaseUntil; }
    std::uint64_t epoch() const { return m_epoch; }
    std::size_t unackedEventCount() const { return m_unackedEvents.size(); }

private:
    enum class supervised_state {
        Starting,
        Refusing, // does not fit: the worker is told never to start it
        Running,  // a listing showed it
        Ended,    // a listing showed its end; the event is not acknowledged yet
    };
    static constexpr std::int64_t UnknownCpuLimit = -1; // an earlier agent may have told one
    struct supervised_task
    {
        std::uint32_t attempt = 0;
        supervised_state state = supervised_state::Starting;
        failover_class failover = failover_class::Lease;
        std::string checkpoint;
        Json::Value spec;
        resources reservedSize;   // by the owner's ledger, where it said more than declared
        time_point startDeadline; // while Starting: the worker refuses it from then on
        std::uint64_t refusedAtListing = 0; // listing number when the worker refused to start it
        std::int64_t cpuLimit = UnknownCpuLimit; // that the worker was told; 0: none
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

    std::uint64_t m_incarnation = 0; // 0: the worker has not been listed yet
    std::uint64_t m_epoch = 0;       // newest seen in a grant or a listing
    std::uint64_t m_workerEpoch = 0; // newest that the worker has recorded
    std::uint64_t m_newestListing = 0;
    time_point m_listingReceivedAt;
    time_point m_tasksLapseAt; // of class Lease, unless the worker is listed before
    time_point m_leaseUntil;
    std::uint64_t m_reportSequence = 0;
    std::map<std::uint64_t, time_point> m_reportSentAt; // of the newest reports
    std::uint64_t m_lastEventNumber = 0;
    std::deque<task_event> m_unackedEvents; // unacknowledged
    std::map<task_id, supervised_task> m_tasks;
    std::uint64_t m_reservationsEpoch = 0; // of the owner that numbered the next
    std::uint64_t m_ackedReservation = 0;  // newest that was taken whole
    time_point m_nextListingAt;
    time_point m_nextReportAt;
    std::vector<supervisor_action> m_actions;
};

} // namespace zinniabarrow::work
