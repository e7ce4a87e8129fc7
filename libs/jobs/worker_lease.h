// The agent's side of a worker's lease: which writes of the lease row are due, and under which
// epoch tasks may start. Makes decisions only; the agent carries out the actions.
//
// The lease is the agent's right to let tasks run on its worker, and a row of the platform's store
// (lease.h). The row's fence is a number that rises whenever the agent acquires the lease; orders
// and calls with an earlier fence start no runs. Its epoch rises once all runs of the worker have
// certainly ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/lease.h"

namespace zinniabarrow::jobs {

// Read the row, then call `rowRead`.
struct read_lease
{ };

// Write the row, repeated unchanged until the outcome is known; then call `rowWritten` or
// `rowConflict`.
struct write_lease
{
    lease_row row;
    std::int64_t expectedVersion = 0; // 0: the row must not exist
};

// The row has this epoch: all runs placed under earlier epochs have ended. Tasks may start under it
// if worker_lease::isSettled, which is false as long as the row names no incarnation of the worker:
// the earlier one has ended, and the next one hasn't answered a poll.
struct epoch_settled
{
    std::int64_t epoch = 0;
    bool isNew = false; // false: the epoch that the row had when the fence was acquired continues
};

using lease_action = std::variant<read_lease, write_lease, epoch_settled>;

// Driven by the agent's lease_keeper: each event is passed in, then `takeActions` is called.
class worker_lease
{
public:
    explicit worker_lease(std::string agent, milliseconds longestSuspension = MaxSuspension);

    // Called for a new incarnation of the agent or of its worker. Once the next fence is written,
    // start orders that entries placed under an earlier one start no further runs.
    void acquireFence();
    // Called every LeaseRenewInterval. The agent lets the worker's runs continue by hold calls,
    // each up to a deadline. `heldUntil` is the deadline of the last one, given while the worker
    // doesn't answer and at the agent's end; the lease is not renewed beyond the time at which that
    // hold has ended even if the machine is suspended.
    void renew(time_point now, std::optional<time_point> heldUntil = std::nullopt);

    // The worker's present incarnation may continue runs until then by calls that were meant for an
    // earlier one. Every row that is written from now on says so, and gives no earlier expiry.
    void noteEarlierCallsHold(time_point until, time_point now);
    // No run of the incarnation that took such calls is left, and none can start.
    void forgetEarlierCallsHold();
    // The same as the row gives it, at the latest; none: no such calls, or that time is over.
    std::optional<time_point> earlierCallsHoldUntil(time_point now) const;

    // Called for each answer of the store to a call sent at `sentAt`. `storeMs`: reading of the
    // store's clock in it, ms; 0: none.
    void noteStoreClock(std::int64_t storeMs, time_point sentAt, time_point now);

    // --- outcomes of the actions
    void rowRead(const std::optional<lease_row> &row, std::int64_t version, time_point now);
    void rowWritten(std::int64_t version, time_point now);
    void rowConflict(); // another process has written the row

    // --- the worker
    // A poll was answered by this incarnation of the worker; it may have runs. Returns true if
    // all of them have to be stopped, as they belong to an epoch that has ended.
    bool reconcile(const std::string &workerIncarnation, bool mayHaveRuns, time_point now);
    // Called by the agent, and by reconcile(), when all runs of the worker have certainly ended.
    // `workerIncarnation` is the next one; empty: none yet.
    void endEpoch(const std::string &workerIncarnation, time_point now);

    bool holdsFence() const { return m_phase == lease_phase::Held; }
    bool isSettled() const { return m_isSettled; } // tasks may start under the epoch
    // The epoch has ended, and the row doesn't say so yet. If the agent ended now, the tasks that
    // were placed on the worker could start elsewhere only once the lease has expired.
    bool hasUnwrittenEnd() const
    {
        return m_nextIncarnation.has_value() || (m_pendingWrite && m_pendingWrite->beginsEpoch);
    }
    bool isWritePending() const { return m_pendingWrite.has_value(); }
    std::int64_t epoch() const { return m_row.epoch; }
    std::int64_t fence() const { return m_row.fence; }
    const std::string &workerIncarnation() const { return m_row.workerIncarnation; }
    // As in lease_row. Given for the incarnation that the epoch belongs to, or that reconcile() is
    // called for next; later writes say so.
    void noteWorkerId(const std::string &id) { m_workerId = id; }
    const std::string &workerId() const { return m_row.workerId; }
    // Whether the row has ever named an incarnation of the worker.
    bool hadIncarnation() const { return m_row.epoch > lease_row().epoch; }
    // End of the lease on the agent's clock. No run is started after it, and no hold call lets runs
    // continue beyond holdLimit(), which is earlier as a rule.
    time_point validUntil() const { return m_validUntil; }

    std::vector<lease_action> takeActions();

private:
    enum class lease_phase {
        Reading,      // the row is being read
        WritingFence, // the next fence is being written
        Held,         // the row has this agent's fence
    };

    struct pending_write
    {
        lease_row row;
        time_point validUntil{}; // of the lease, once the row is written
        bool beginsEpoch = false;
    };

    void write(lease_row next, bool beginsEpoch, time_point now,
               std::optional<time_point> endsBy = std::nullopt);
    void beginEpochIfDue(time_point now);

    std::string m_agent;
    milliseconds m_longestSuspension; // of the machine
    store_clock m_storeClock;
    lease_phase m_phase = lease_phase::Reading;
    lease_row m_row;                            // as last written by this agent
    std::int64_t m_version = 0;                 // of the row; 0: it doesn't exist
    std::string m_workerId;                     // see noteWorkerId()
    std::int64_t m_earlierCallsHoldUntilMs = 0; // as in lease_row
    bool m_hasForgottenEarlierCalls = false;    // the row may still have them when it is read
    std::optional<pending_write> m_pendingWrite;
    // Set once all runs have ended: the next incarnation of the worker; empty text: none yet or
    // unknown. Kept until it is in the row; a pending write or a conflict only delays it.
    std::optional<std::string> m_nextIncarnation;
    bool m_isSettled = false;
    bool m_mustReacquire = false; // read the row again once the pending write's outcome is known
    time_point m_validUntil{};
    std::vector<lease_action> m_actions;
};

} // namespace zinniabarrow::jobs
