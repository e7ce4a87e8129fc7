// The ledger of one worker: what its tasks have been given.
//
// The scheduler keeps one for each worker before it decides, and the agent keeps one again before
// it asks its worker, because workers start whatever they are given, whether it fits or not.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "placement/resources.h"

namespace zinniabarrow::placement {

// All of these count until the entry is released.
enum class reservation_state {
    Placed,    // decided; not known to run yet
    Running,   //
    Stopping,  // a stop was asked for and is not confirmed: the task may still run
    Ambiguous, // the answer of the placing write was lost: the task may start
};

std::string_view nameOf(reservation_state state);

struct task_reservation
{
    reservation_state state = reservation_state::Placed;
    resources reserved; // given to the task
    resources wanted;   // at least `reserved`; above it while a raise does not fit
};

class reservation_ledger
{
public:
    reservation_ledger() = default;
    explicit reservation_ledger(const resources &size);

    // Reserves `amount` when it fits beside everything counted; false leaves the ledger unchanged.
    // A task that already has an entry is not counted twice: true when the amount is the same.
    bool tryReserve(const task_ref &task, const resources &amount);
    // Counts a task that already runs, also beyond the size: hiding it would give its room away.
    void forceReserve(const task_ref &task, const resources &amount, reservation_state state);
    // False when the task has no entry.
    bool setState(const task_ref &task, reservation_state state);
    // Raises the reservation to `wanted` in each dimension where it is larger. True when granted.
    // Else the difference is kept as owed: new tasks do not get that room, and a later release
    // grants it.
    bool tryRaise(const task_ref &task, const resources &wanted);
    // Frees the entry and grants owed raises that fit now. False when the task has no entry.
    bool release(const task_ref &task);
    // A smaller size evicts nothing by itself; nothing fits until enough was released.
    void resize(const resources &size) { m_size = size; }

    const resources &size() const { return m_size; }
    const resources &reserved() const { return m_reserved; }
    const resources &deferred() const { return m_deferred; }
    resources available() const { return m_size - m_reserved - m_deferred; } // may be negative
    bool fits(const resources &amount) const { return amount.fitsIn(available()); }
    const task_reservation *find(const task_ref &task) const;
    const std::unordered_map<task_ref, task_reservation, task_ref_hash> &reservations() const
    {
        return m_reservations;
    }

private:
    void grantDeferred();

    resources m_size;     // of the worker
    resources m_reserved; // sum over all entries
    resources m_deferred; // sum of wanted - reserved over all entries
    std::unordered_map<task_ref, task_reservation, task_ref_hash> m_reservations;
};

} // namespace zinniabarrow::placement
