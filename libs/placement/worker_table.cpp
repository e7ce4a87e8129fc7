#include "placement/worker_table.h"

#include <algorithm>

namespace zinniabarrow::placement {

namespace {

constexpr resources NoCapacity{-1, -1, -1};

} // namespace

service_latency *worker_record::latencyOf(const task_ref &task)
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto &latency) { return latency.task == task; });
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
    const auto found = m_slotsByWorker.find(worker);
    return found == m_slotsByWorker.end() ? NoSlot : found->second;
}

int worker_table::findOrAdd(const std::string &worker)
{
    const int knownSlot = slotOf(worker);
    if (knownSlot != NoSlot)
        return knownSlot;
    int slot = static_cast<int>(m_workers.size());
    if (m_unusedSlots.empty()) {
        m_workers.emplace_back();
        m_freeCapacity.push_back(NoCapacity);
    } else {
        slot = m_unusedSlots.back();
        m_unusedSlots.pop_back();
    }
    at(slot).info.id = worker;
    m_slotsByWorker[worker] = slot;
    return slot;
}

void worker_table::setInfo(int slot, const worker_info &info, time_point now)
{
    setInService(slot, false);
    auto &worker = at(slot);
    worker.info = info;
    worker.ledger.resize(info.size);
    worker.pool = poolNumber(info.pool);
    auto &workerPool = pool(worker.pool);
    workerPool.firstWorkerAt = std::min(workerPool.firstWorkerAt, now);
    workerPool.largestWorker = maxOfEach(workerPool.largestWorker, info.size);
    setInService(slot, true);
}

void worker_table::resize(int slot, const resources &size)
{
    auto &worker = at(slot);
    if (worker.inService)
        m_total += size - worker.info.size;
    worker.info.size = size;
    worker.ledger.resize(size);
    pool(worker.pool).largestWorker = maxOfEach(pool(worker.pool).largestWorker, size);
    updateFreeCapacity(slot);
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
        ++m_inServiceCount;
        slots.insert(std::lower_bound(slots.begin(), slots.end(), slot), slot);
    } else {
        m_total -= worker.info.size;
        --m_inServiceCount;
        std::erase(slots, slot);
    }
    updateFreeCapacity(slot);
}

void worker_table::removeIfUnused(int slot)
{
    auto &worker = at(slot);
    if (worker.inService || !worker.ledger.reservations().empty()
        || worker.heldCapacity != resources{} || worker.backlogLength > 0)
        return;
    m_slotsByWorker.erase(worker.info.id);
    // Must keep rising, so that sums cached for the old worker are recomputed.
    const auto nextRevision = worker.revision + 1;
    worker = worker_record();
    worker.revision = nextRevision;
    m_freeCapacity[static_cast<std::size_t>(slot)] = NoCapacity;
    m_unusedSlots.push_back(slot);
}

void worker_table::updateFreeCapacity(int slot)
{
    auto &worker = at(slot);
    ++worker.revision;
    auto &freeCapacity = m_freeCapacity[static_cast<std::size_t>(slot)];
    const auto capacityBefore = freeCapacity;
    const bool acceptsTasks = worker.inService && !worker.isQuarantined;
    freeCapacity = acceptsTasks ? worker.ledger.available() - worker.heldCapacity : NoCapacity;
    if (!freeCapacity.fitsIn(capacityBefore))
        ++pool(worker.pool).capacityRevision;
}

} // namespace zinniabarrow::placement
