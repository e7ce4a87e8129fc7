// Workers as the placer knows them, their pools, and the room that each has for new tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/interference.h"
#include "placement/load_signal.h"
#include "placement/reservation_ledger.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

// One instance of a service on a worker, and how it fares.
struct service_latency
{
    task_ref task;
    class_number jobClass = 0;    //
    load_signal signal;           //
    time_point measuredAt;        // of the newest sample
    double estimatedLogRatio = 0; // log(p99 / target), carried forward over later changes
};

struct worker_slot
{
    worker_info info;
    reservation_ledger ledger;
    std::size_t pool = 0;                  //
    bool inService = false;                // known, and not removed
    bool isQuarantined = false;            // by quarantine
    bool isSuspected = false;              // would be set aside, but the cap is reached
    resources heldCapacity;                // for tasks for which room is being made
    std::vector<service_latency> services; //
    neighbour_history history;             //
    int throttledTasks = 0;                //
    std::size_t backlogLength = 0;         // in its backlog
    time_point reliefPausedUntil;          // no relief before it
    time_point lastReliefAt;               // samples measured before it do not count for relief
    time_point signalRaisedAt;             // last time that a signal was up
    std::uint64_t revision = 0;            // raised by every change of entries or size

    service_latency *latencyOf(const task_ref &task);
};

struct pool_state
{
    std::string name;
    resources largestWorker;            // configured, or the largest worker ever seen
    bool configured = false;            //
    time_point firstWorkerAt = Never;   //
    std::vector<int> slots;             // in service
    std::uint64_t capacityRevision = 1; // raised whenever room appears
};

class worker_table
{
public:
    std::size_t poolNumber(const std::string &name);
    pool_state &pool(std::size_t number) { return m_pools[number]; }
    const pool_state &pool(std::size_t number) const { return m_pools[number]; }

    int slotOf(const std::string &worker) const; // NoSlot: not known
    // The worker's slot; a new one is not in service.
    int findOrAdd(const std::string &worker);
    void setInfo(int slot, const worker_info &info, time_point now);
    void resize(int slot, const resources &size);
    void setInService(int slot, bool inService);
    void removeIfUnused(int slot);
    worker_slot &at(int slot) { return m_slots[static_cast<std::size_t>(slot)]; }
    const worker_slot &at(int slot) const { return m_slots[static_cast<std::size_t>(slot)]; }
    int slotCount() const { return static_cast<int>(m_slots.size()); }
    // The sum of all workers in service.
    const resources &total() const { return m_total; }
    std::size_t inServiceCount() const { return m_inServiceCount; }

    // To be called after each change of a ledger, of held room, or of whether the worker takes
    // tasks.
    void updateFreeCapacity(int slot);
    // For new tasks; below zero in all dimensions when the worker takes none.
    const resources &freeCapacity(int slot) const
    {
        return m_freeCapacity[static_cast<std::size_t>(slot)];
    }

    static constexpr int NoSlot = -1;

private:
    std::vector<worker_slot> m_slots;
    std::vector<resources>
            m_freeCapacity; // apart from the slots: the search reads nothing else of most
    std::vector<int> m_unusedSlots;
    std::unordered_map<std::string, int> m_slotsByWorker;
    std::vector<pool_state> m_pools;
    std::unordered_map<std::string, std::size_t> m_poolNumbers;
    resources m_total;
    std::size_t m_inServiceCount = 0; // workers
};

} // namespace zinniabarrow::placement
