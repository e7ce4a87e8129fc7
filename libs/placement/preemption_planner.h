// Preemption: which worker can free enough capacity for a task, and which victims have to stop.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "placement/resources.h"
#include "placement/task_table.h"
#include "placement/worker_chooser.h"
#include "placement/worker_table.h"

namespace zinniabarrow::placement {

struct preemption_plan
{
    int slot = worker_table::NoSlot;
    std::vector<task_ref> victims; // may be empty: tasks that are already stopping free enough
};

class preemption_planner
{
public:
    preemption_planner(const worker_table &workers, const task_table &tasks,
                       const worker_chooser &chooser);

    // Returns the worker of the pool where the request costs the fewest evictions of tasks that
    // rank after `rank`.
    std::optional<preemption_plan> planPreemption(const placement_request &request, int rank);
    // The same for a task whose team exceeds its quota by `quotaShortfall`: only the team's own
    // tasks are evicted, and the victims on one worker free both the capacity and the quota.
    std::optional<preemption_plan> planTeamPreemption(const placement_request &request, int rank,
                                                      std::uint16_t team,
                                                      const resources &quotaShortfall);
    // The cheapest victims on the worker that free `shortfall`, only of `team` if given; no value
    // when they cannot.
    std::optional<std::vector<task_ref>>
    chooseVictims(int slot, const resources &shortfall, int rank,
                  std::optional<std::uint16_t> team = std::nullopt) const;
    // Sum of the reservations of tasks that were asked to stop.
    resources stoppingReservations(int slot) const;
    bool canEvict(const task_ref &task, const task_reservation &reservation, int rank) const;

private:
    struct evictable_sums
    {
        std::uint64_t workerRevision = 0; // worker_slot::revision for which the sums are valid
        // Reservations that may be evicted for a task of that rank.
        std::array<resources, RankCount> evictableByRank;
        resources stoppingSoon; // of tasks that stop without a long checkpoint
    };
    struct victim
    {
        int rank = 0;
        bool usesMoreThanReserved = false;
        time_point startedAt;
        task_ref task;
        resources reservedAmount;
    };

    struct cheapest_plan
    {
        double cost = 0;
        std::optional<preemption_plan> plan;
    };

    void keepIfCheaper(cheapest_plan &best, const placement_request &request, int slot,
                       std::optional<std::vector<task_ref>> victims) const;
    bool stopsSoon(const task_ref &task, const task_reservation &reservation) const;
    const evictable_sums &evictableOn(int slot);
    std::vector<victim> victimsOn(int slot, int rank, std::optional<std::uint16_t> team) const;
    resources shortfallOn(int slot, const placement_request &request);

    const worker_table &m_workers;
    const task_table &m_tasks;
    const worker_chooser &m_chooser;
    std::vector<evictable_sums> m_evictable; // by slot
};

} // namespace zinniabarrow::placement
