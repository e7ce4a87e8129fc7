// Preemption: which worker can free enough capacity for a task, and which tasks, the victims, have
// to stop. Used by the scheduler, which stops them. A slot is the index of a worker in
// worker_table.
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

// Valid only until worker_table or task_table changes.
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

    // Returns the plan of lowest cost in the pool, where only tasks that rank after `rank` are
    // evicted; a greater number ranks later. The cost is the number of victims plus, for a service,
    // worker_chooser::spreadCost. Of the workers that can free enough, only some with the lowest
    // estimated cost are compared.
    std::optional<preemption_plan> planPreemption(const placement_request &request, int rank);
    // The same for a task whose team exceeds its quota by `quotaShortfall`: only the team's own
    // tasks are evicted, and the victims on one worker free both the capacity and the quota. All
    // workers of the pool are compared.
    std::optional<preemption_plan> planTeamPreemption(const placement_request &request, int rank,
                                                      std::uint16_t team,
                                                      const resources &quotaShortfall);
    // The victims on the worker that free `shortfall`, only of `team` if given; no value when they
    // cannot. Selected in this order: those that rank last, those that use more than they reserved,
    // those that started last. Victims that turn out to be unnecessary are left out.
    std::optional<std::vector<task_ref>>
    chooseVictims(int slot, const resources &shortfall, int rank,
                  std::optional<std::uint16_t> team = std::nullopt) const;
    // Sum of the worker's reservations of tasks that were asked to stop, however long they take.
    resources stoppingReservations(int slot) const;
    // Whether the task may be stopped for a task of that rank: it ranks later and is a placed or
    // running batch task with a pool, neither urgent nor of failover_class::Proof.
    bool canEvict(const task_ref &task, const task_reservation &reservation, int rank) const;

private:
    struct evictable_sums
    {
        std::uint64_t workerRevision = 0; // worker_record::revision for which the sums are valid
        // Reservations that may be evicted for a task of that rank.
        std::array<resources, RankCount> evictableByRank;
        // Reservations of tasks that were asked to stop and do so without a long checkpoint; they
        // count as free.
        resources stoppingSoon;
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
        double cost = 0; // see planPreemption()
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
