// The resource reservations of one worker's tasks.
//
// The scheduler keeps one ledger per worker and checks it before each placement. The agent beside
// the worker keeps its own and checks it before each start, because a worker starts every task that
// it is asked to start, whether it has the capacity or not.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "placement/resources.h"

namespace zinniabarrow::placement {

// In every state the reservation counts until it is released.
enum class reservation_state {
    Placed, // decided; not yet known to run
    Running,
    Stopping,  // a stop was requested and is not confirmed: the task may still run
    Ambiguous, // the response to the write that stores the placement was lost: the task may start
};

std::string_view nameOf(reservation_state state);

struct task_reservation
{
    reservation_state state = reservation_state::Placed;
    resources reserved; // what the task may use
    resources wanted;   // at least `reserved`; larger while a raise is deferred
};

class reservation_ledger
{
public:
    reservation_ledger() = default;
    explicit reservation_ledger(const resources &size);

    // Reserves `amount` if it fits beside all counted reservations; otherwise returns false and
    // changes nothing. A task that already has a reservation is not counted twice: true if the
    // amount is the same.
    bool tryReserve(const task_ref &task, const resources &amount);
    // Counts a task that already runs, even beyond the worker's size: if it were not counted, its
    // capacity would be given to another task.
    void forceReserve(const task_ref &task, const resources &amount, reservation_state state);
    // Returns false when the task has no reservation.
    bool setState(const task_ref &task, reservation_state state);
    // Raises the reservation to `wanted` in each dimension where that is larger. True when granted.
    // Otherwise the difference is deferred: it is unavailable to new tasks, and a later release
    // grants it.
    bool tryRaise(const task_ref &task, const resources &wanted);
    // Removes the reservation and grants deferred raises that fit now. False when the task has no
    // reservation.
    bool release(const task_ref &task);
    // A smaller size evicts nothing by itself, but nothing fits until enough has been released.
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

    resources m_size;     // size of the worker
    resources m_reserved; // sum over all reservations
    resources m_deferred; // sum of wanted - reserved over all reservations
    std::unordered_map<task_ref, task_reservation, task_ref_hash> m_reservations;
};

} // namespace zinniabarrow::placement
