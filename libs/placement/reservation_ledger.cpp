#include "placement/reservation_ledger.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::placement {

namespace {

constexpr name_table<reservation_state, 4> StateNames{{
        {reservation_state::Placed, "placed"},
        {reservation_state::Running, "running"},
        {reservation_state::Stopping, "stopping"},
        {reservation_state::Ambiguous, "ambiguous"},
}};

} // namespace

std::string_view nameOf(reservation_state state)
{
    return nameOf(StateNames, state);
}

reservation_ledger::reservation_ledger(const resources &size)
    : m_size(size)
{ }

bool reservation_ledger::tryReserve(const task_ref &task, const resources &amount)
{
    if (amount.isNegative())
        return false;
    if (const auto *existing = find(task))
        return existing->reserved == amount;
    if (!fits(amount))
        return false;
    forceReserve(task, amount, reservation_state::Placed);
    return true;
}

void reservation_ledger::forceReserve(const task_ref &task, const resources &amount,
                                      reservation_state state)
{
    release(task);
    m_reservations[task] = {state, amount, amount};
    m_reserved += amount;
}

bool reservation_ledger::setState(const task_ref &task, reservation_state state)
{
    const auto found = m_reservations.find(task);
    if (found == m_reservations.end())
        return false;
    found->second.state = state;
    return true;
}

bool reservation_ledger::tryRaise(const task_ref &task, const resources &wanted)
{
    const auto found = m_reservations.find(task);
    if (found == m_reservations.end())
        return false;
    auto &reservation = found->second;
    m_deferred -= reservation.wanted - reservation.reserved;
    reservation.wanted = maxOfEach(reservation.reserved, wanted);
    m_deferred += reservation.wanted - reservation.reserved;
    grantDeferred();
    return reservation.wanted == reservation.reserved;
}

bool reservation_ledger::release(const task_ref &task)
{
    const auto found = m_reservations.find(task);
    if (found == m_reservations.end())
        return false;
    m_reserved -= found->second.reserved;
    m_deferred -= found->second.wanted - found->second.reserved;
    m_reservations.erase(found);
    grantDeferred();
    return true;
}

void reservation_ledger::grantDeferred()
{
    if (m_deferred == resources{})
        return;
    for (auto &[task, reservation] : m_reservations) {
        const auto missing = reservation.wanted - reservation.reserved;
        if (missing == resources{} || !missing.fitsIn(m_size - m_reserved))
            continue;
        reservation.reserved = reservation.wanted;
        m_reserved += missing;
        m_deferred -= missing;
    }
}

const task_reservation *reservation_ledger::find(const task_ref &task) const
{
    const auto found = m_reservations.find(task);
    return found == m_reservations.end() ? nullptr : &found->second;
}

} // namespace zinniabarrow::placement
