// Workers known to the scheduler, their pools, and the free capacity of each worker.
//
// A slot is the index of a worker in the table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/interference.h"
#include "placement/latency_signal.h"
#include "placement/reservation_ledger.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

// Latency state of one instance of a service on a worker.
struct service_latency
{
    task_ref task;
    class_number jobClass = 0;
    latency_signal signal;
    time_point measuredAt; // measuredAt of the newest sample
    // log(p99 / target), corrected for changes of the neighbours since the sample.
    double estimatedLogRatio = 0;
};

// A worker, in service or not. Its slot is reused when the worker is gone and nothing refers to it.
struct worker_record
{
    worker_info info;
    reservation_ledger ledger;
    std::size_t pool = 0;
    bool inService = false;     // added and not removed
    bool isQuarantined = false; // takes no tasks, except for a probe when the cool-down ends
    bool isSuspected = false;   // would be quarantined, but the pool's limit is reached
    resources heldCapacity;     // sum of the holds: see task_record::holdSlot
    std::vector<service_latency> services;
    neighbour_history history;
    int throttledTasks = 0;
    std::size_t backlogLength = 0; // tasks in its backlog
    time_point reliefPausedUntil;  // no task is throttled or evicted for a service before it
    time_point lastReliefAt;       // latency samples measured before it do not count for relief
    time_point signalRaisedAt;     // last time that a signal was raised
    std::uint64_t revision = 0;    // incremented by every change of reservations or size

    service_latency *latencyOf(const task_ref &task);
};

struct pool_state
{
    std::string name;
    resources largestWorker; // configured, or largest worker seen so far
    bool configured = false;
    time_point firstWorkerAt = Never;
    std::vector<int> slots;             // workers in service, in ascending order
    std::uint64_t capacityRevision = 1; // incremented whenever capacity is freed in any dimension
};

class worker_table
{
public:
    // Returns the number of the pool and adds it if unknown.
    std::size_t poolNumber(const std::string &name);
    pool_state &pool(std::size_t number) { return m_pools[number]; }
    const pool_state &pool(std::size_t number) const { return m_pools[number]; }

    int slotOf(const std::string &worker) const; // NoSlot: unknown worker
    // Returns the worker's slot and adds it if unknown; a new one is not in service.
    int findOrAdd(const std::string &worker);
    // Sets the worker's properties and puts it in service.
    void setInfo(int slot, const worker_info &info, time_point now);
    void resize(int slot, const resources &size);
    void setInService(int slot, bool inService);
    // Forgets a worker out of service that has no reservation, hold or backlog.
    void removeIfUnused(int slot);
    worker_record &at(int slot) { return m_workers[static_cast<std::size_t>(slot)]; }
    const worker_record &at(int slot) const { return m_workers[static_cast<std::size_t>(slot)]; }
    int slotCount() const { return static_cast<int>(m_workers.size()); }
    // Sum of the sizes of all workers in service.
    const resources &total() const { return m_total; }
    std::size_t inServiceCount() const { return m_inServiceCount; }

    // Call after each change of a ledger, of the held capacity, or of whether the worker accepts
    // tasks.
    void updateFreeCapacity(int slot);
    // Capacity for new tasks; negative in all dimensions when the worker accepts none.
    const resources &freeCapacity(int slot) const
    {
        return m_freeCapacity[static_cast<std::size_t>(slot)];
    }

    static constexpr int NoSlot = -1;

private:
    std::vector<worker_record> m_workers;
    // By slot. Separate from the records because choosing a worker reads only this of most workers.
    std::vector<resources> m_freeCapacity;
    std::vector<int> m_unusedSlots;
    std::unordered_map<std::string, int> m_slotsByWorker;
    std::vector<pool_state> m_pools;
    std::unordered_map<std::string, std::size_t> m_poolNumbers;
    resources m_total;
    std::size_t m_inServiceCount = 0;
};

} // namespace zinniabarrow::placement
