#include "placement/reservation_ledger.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::placement {

namespace {

constexpr name_table<entry_state, 4> StateNames{{
        {entry_state::Placed, "placed"},
        {entry_state::Running, "running"},
        {entry_state::Stopping, "stopping"},
        {entry_state::Ambiguous, "ambiguous"},
}};

} // namespace

std::string_view nameOf(entry_state state)
{
    return nameOf(StateNames, state);
}

ledger::ledger(const resources &size)
    : m_size(size)
{ }

bool ledger::tryReserve(const task_ref &task, const resources &amount)
{
    if (amount.isNegative())
        return false;
    if (const auto *existing = find(task))
        return existing->reserved == amount;
    if (!fits(amount))
        return false;
    adopt(task, amount, entry_state::Placed);
    return true;
}

void ledger::adopt(const task_ref &task, const resources &amount, entry_state state)
{
    release(task);
    m_entries[task] = {state, amount, amount};
    m_reserved += amount;
}

bool ledger::setState(const task_ref &task, entry_state state)
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end())
        return false;
    found->second.state = state;
    return true;
}

bool ledger::raise(const task_ref &task, const resources &wanted)
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end())
        return false;
    auto &entry = found->second;
    m_owed -= entry.wanted - entry.reserved;
    entry.wanted = largest(entry.reserved, wanted);
    m_owed += entry.wanted - entry.reserved;
    grantOwed();
    return entry.wanted == entry.reserved;
}

bool ledger::release(const task_ref &task)
{
    const auto found = m_entries.find(task);
    if (found == m_entries.end())
        return false;
    m_reserved -= found->second.reserved;
    m_owed -= found->second.wanted - found->second.reserved;
    m_entries.erase(found);
    grantOwed();
    return true;
}

void ledger::grantOwed()
{
    if (m_owed == resources{})
        return;
    for (auto &[task, entry] : m_entries) {
        const auto missing = entry.wanted - entry.reserved;
        if (missing == resources{} || !missing.fitsIn(m_size - m_reserved))
            continue;
        entry.reserved = entry.wanted;
        m_reserved += missing;
        m_owed -= missing;
    }
}

const ledger_entry *ledger::find(const task_ref &task) const
{
    const auto found = m_entries.find(task);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace zinniabarrow::placement
