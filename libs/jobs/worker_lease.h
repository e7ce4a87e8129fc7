// The lease of a worker as its agent holds it: which writes of the row are due, and under which
// epoch tasks may start. Decisions only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "jobs/lease.h"

namespace zinniabarrow::jobs {

struct read_lease // and tell `rowRead`
{ };

// Repeated unchanged until its outcome is known; then `rowWritten` or `rowTaken`.
struct write_lease
{
    lease_row row;
    std::int64_t expectedVersion = 0; // 0: there is no such row
};

// The row has this epoch: what was placed under earlier ones has ended. Tasks may start under it
// once `settled`.
struct epoch_settled
{
    std::int64_t epoch = 0;
    bool isNew = false; // anew
};

using lease_action = std::variant<read_lease, write_lease, epoch_settled>;

class worker_lease
{
public:
    explicit worker_lease(std::string agent);

    // A new life of the agent, or of its worker: orders of before are void once the next fence is
    // written.
    void acquireFence();
    // The time for it has come. `heldUntil`: the worker answers nothing, and was told to let runs
    // go on until then.
    void renew(time_point now, std::optional<time_point> heldUntil = std::nullopt);

    // Any answer of the store tells its clock.
    void noteStoreClock(std::int64_t storeMs, time_point sentAt, time_point now);

    // --- what became of the actions
    void rowRead(const std::optional<lease_row> &row, std::int64_t version, time_point now);
    void rowWritten(std::int64_t version, time_point now);
    void rowConflict(); // by somebody else

    // --- the worker
    // It answered: `life` runs `running` tasks. True: all of them have to be stopped, as they
    // belong to an epoch that is over.
    bool reconcile(const std::string &workerIncarnation, std::size_t activeRuns, time_point now);
    // All that ran has ended for certain. `life` is the one that comes next, empty: none yet.
    void endEpoch(const std::string &workerIncarnation, time_point now);

    bool holdsFence() const { return m_phase == lease_phase::Held; }
    bool isSettled() const { return m_isSettled; } // tasks may start under the epoch
    // The end of the epoch is known here alone: without it in the row, what was placed on the
    // worker waits for the end of the lease.
    bool hasUnwrittenEnd() const
    {
        return m_nextIncarnation.has_value() || (m_pendingWrite && m_pendingWrite->beginsEpoch);
    }
    bool isWritePending() const { return m_pendingWrite.has_value(); }
    std::int64_t epoch() const { return m_row.epoch; }
    std::int64_t fence() const { return m_row.fence; }
    const std::string &workerIncarnation() const { return m_row.workerIncarnation; }
    time_point validUntil() const { return m_validUntil; } // nothing is started or held beyond

    std::vector<lease_action> takeActions();

private:
    enum class lease_phase {
        Reading,      // the row is being read
        WritingFence, // the next fence is being written
        Held,
    };

    struct pending_write
    {
        lease_row row;
        time_point validUntil{}; // runs may go on, once it is written
        bool beginsEpoch = false;
    };

    void write(lease_row next, bool beginsEpoch, time_point now,
               std::optional<time_point> heldUntil = std::nullopt);
    void beginEpochIfDue(time_point now);

    std::string m_agent;
    store_clock m_storeClock;
    lease_phase m_phase = lease_phase::Reading;
    lease_row m_row; // as last written here
    std::int64_t m_version = 0;
    std::optional<pending_write> m_pendingWrite;
    // The life to come, once all of before has ended. Kept until it is in the row: a write that is
    // out, or a row that was taken, only puts it off.
    std::optional<std::string> m_nextIncarnation;
    bool m_isSettled = false;
    bool m_mustReacquire = false; // again, while a write is out: its outcome is waited for
    time_point m_validUntil{};
    std::vector<lease_action> m_actions;
};

} // namespace zinniabarrow::jobs
