#include "placement/worker_table.h"

#include <algorithm>

namespace zinniabarrow::placement {

namespace {

constexpr resources TakesNone{-1, -1, -1};

} // namespace

service_watch *worker_slot::watchOf(const task_ref &task)
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto &watch) { return watch.task == task; });
    return found == services.end() ? nullptr : &*found;
}

std::size_t worker_table::poolNumber(const std::string &name)
{
    const auto [found, added] = m_poolNumbers.try_emplace(name, m_pools.size());
    if (added) {
        m_pools.emplace_back();
        m_pools.back().name = name;
    }
    return found->second;
}

int worker_table::slotOf(const std::string &worker) const
{
    const auto found = m_numbers.find(worker);
    return found == m_numbers.end() ? NoSlot : found->second;
}

int worker_table::open(const std::string &worker)
{
    const int known = slotOf(worker);
    if (known != NoSlot)
        return known;
    int slot = static_cast<int>(m_slots.size());
    if (m_unused.empty()) {
        m_slots.emplace_back();
        m_room.push_back(TakesNone);
    } else {
        slot = m_unused.back();
        m_unused.pop_back();
    }
    at(slot).info.id = worker;
    m_numbers[worker] = slot;
    return slot;
}

void worker_table::setInfo(int slot, const worker_info &info, time_point now)
{
    setInService(slot, false);
    auto &worker = at(slot);
    worker.info = info;
    worker.book.resize(info.size);
    worker.pool = poolNumber(info.pool);
    auto &home = pool(worker.pool);
    home.firstWorkerAt = std::min(home.firstWorkerAt, now);
    home.largest = largest(home.largest, info.size);
    setInService(slot, true);
}

void worker_table::resize(int slot, const resources &size)
{
    auto &worker = at(slot);
    if (worker.inService)
        m_total += size - worker.info.size;
    worker.info.size = size;
    worker.book.resize(size);
    pool(worker.pool).largest = largest(pool(worker.pool).largest, size);
    roomChanged(slot);
}

void worker_table::setInService(int slot, bool inService)
{
    auto &worker = at(slot);
    if (worker.inService == inService)
        return;
    worker.inService = inService;
    auto &slots = pool(worker.pool).slots;
    if (inService) {
        m_total += worker.info.size;
        ++m_inService;
        slots.insert(std::lower_bound(slots.begin(), slots.end(), slot), slot);
    } else {
        m_total -= worker.info.size;
        --m_inService;
        std::erase(slots, slot);
    }
    roomChanged(slot);
}

void worker_table::closeIfUnused(int slot)
{
    auto &worker = at(slot);
    if (worker.inService || !worker.book.entries().empty() || worker.held != resources{}
        || worker.aheadTasks > 0)
        return;
    m_numbers.erase(worker.info.id);
    const auto changes = worker.changes + 1; // goes on rising: what was counted of it is void
    worker = worker_slot();
    worker.changes = changes;
    m_room[static_cast<std::size_t>(slot)] = TakesNone;
    m_unused.push_back(slot);
}

void worker_table::roomChanged(int slot)
{
    auto &worker = at(slot);
    ++worker.changes;
    auto &room = m_room[static_cast<std::size_t>(slot)];
    const auto before = room;
    const bool takes = worker.inService && !worker.setAside;
    room = takes ? worker.book.available() - worker.held : TakesNone;
    if (!room.fitsIn(before))
        ++pool(worker.pool).generation;
}

} // namespace zinniabarrow::placement
