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
struct service_watch
{
    task_ref task;
    class_number jobClass = 0; //
    load_signal signal;        //
    time_point measuredAt;     // of the newest sample
    double level = 0;          // log(p99 / target), carried forward over later changes
};

struct worker_slot
{
    worker_info info;
    ledger book;
    std::size_t pool = 0;                //
    bool inService = false;              // known, and not removed
    bool setAside = false;               // by quarantine
    bool suspect = false;                // would be set aside, but the cap is reached
    resources held;                      // for tasks for which room is being made
    std::vector<service_watch> services; //
    neighbour_history history;           //
    int throttledTasks = 0;              //
    std::size_t aheadTasks = 0;          // in its backlog
    time_point quietUntil;               // no relief before it
    time_point actedAt;                  // samples measured before it do not count for relief
    time_point raisedAt;                 // last time that a signal was up
    std::uint64_t changes = 0;           // raised by every change of entries or size

    service_watch *watchOf(const task_ref &task);
};

struct pool_state
{
    std::string name;
    resources largest;                // configured, or the largest worker ever seen
    bool configured = false;          //
    time_point firstWorkerAt = Never; //
    std::vector<int> slots;           // in service
    std::uint64_t generation = 1;     // raised whenever room appears
};

class worker_table
{
public:
    std::size_t poolNumber(const std::string &name);
    pool_state &pool(std::size_t number) { return m_pools[number]; }
    const pool_state &pool(std::size_t number) const { return m_pools[number]; }

    int slotOf(const std::string &worker) const; // NoSlot: not known
    // The worker's slot; a new one is not in service.
    int open(const std::string &worker);
    void setInfo(int slot, const worker_info &info, time_point now);
    void resize(int slot, const resources &size);
    void setInService(int slot, bool inService);
    void closeIfUnused(int slot);
    worker_slot &at(int slot) { return m_slots[static_cast<std::size_t>(slot)]; }
    const worker_slot &at(int slot) const { return m_slots[static_cast<std::size_t>(slot)]; }
    int slots() const { return static_cast<int>(m_slots.size()); }
    // The sum of all workers in service.
    const resources &total() const { return m_total; }
    std::size_t inService() const { return m_inService; }

    // To be called after each change of a ledger, of held room, or of whether the worker takes
    // tasks.
    void roomChanged(int slot);
    // For new tasks; below zero in all dimensions when the worker takes none.
    const resources &room(int slot) const { return m_room[static_cast<std::size_t>(slot)]; }

    static constexpr int NoSlot = -1;

private:
    std::vector<worker_slot> m_slots;
    std::vector<resources> m_room; // apart from the slots: the search reads nothing else of most
    std::vector<int> m_unused;
    std::unordered_map<std::string, int> m_numbers;
    std::vector<pool_state> m_pools;
    std::unordered_map<std::string, std::size_t> m_poolNumbers;
    resources m_total;
    std::size_t m_inService = 0; // workers
};

} // namespace zinniabarrow::placement
