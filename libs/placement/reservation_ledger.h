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
enum class entry_state {
    Placed,    // decided; not known to run yet
    Running,   //
    Stopping,  // a stop was asked for and is not confirmed: the task may still run
    Ambiguous, // the answer of the placing write was lost: the task may start
};

std::string_view nameOf(entry_state state);

struct ledger_entry
{
    entry_state state = entry_state::Placed;
    resources reserved; // given to the task
    resources wanted;   // at least `reserved`; above it while a raise does not fit
};

class ledger
{
public:
    ledger() = default;
    explicit ledger(const resources &size);

    // Reserves `amount` when it fits beside everything counted; false leaves the ledger unchanged.
    // A task that already has an entry is not counted twice: true when the amount is the same.
    bool tryReserve(const task_ref &task, const resources &amount);
    // Counts a task that already runs, also beyond the size: hiding it would give its room away.
    void adopt(const task_ref &task, const resources &amount, entry_state state);
    // False when the task has no entry.
    bool setState(const task_ref &task, entry_state state);
    // Raises the reservation to `wanted` in each dimension where it is larger. True when granted.
    // Else the difference is kept as owed: new tasks do not get that room, and a later release
    // grants it.
    bool raise(const task_ref &task, const resources &wanted);
    // Frees the entry and grants owed raises that fit now. False when the task has no entry.
    bool release(const task_ref &task);
    // A smaller size evicts nothing by itself; nothing fits until enough was released.
    void resize(const resources &size) { m_size = size; }

    const resources &size() const { return m_size; }
    const resources &reserved() const { return m_reserved; }
    const resources &owed() const { return m_owed; }
    resources available() const { return m_size - m_reserved - m_owed; } // may be negative
    bool fits(const resources &amount) const { return amount.fitsIn(available()); }
    const ledger_entry *find(const task_ref &task) const;
    const std::unordered_map<task_ref, ledger_entry, task_ref_hash> &entries() const
    {
        return m_entries;
    }

private:
    void grantOwed();

    resources m_size;     // of the worker
    resources m_reserved; // sum over all entries
    resources m_owed;     // sum of wanted - reserved over all entries
    std::unordered_map<task_ref, ledger_entry, task_ref_hash> m_entries;
};

} // namespace zinniabarrow::placement
