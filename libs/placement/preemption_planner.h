// Making room: which worker can free enough for a task, and which victims that costs.
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

struct room_plan
{
    int slot = worker_table::NoSlot;
    std::vector<task_ref> victims; // may be empty: what stops soon is enough
};

class room_maker
{
public:
    room_maker(const worker_table &workers, const task_table &tasks, const worker_chooser &chooser);

    // The worker of the pool on which the request costs the fewest evictions of tasks that rank
    // after `rank`.
    std::optional<room_plan> makeRoom(const place_request &request, int rank);
    // The same for a task whose team lacks `quota`: only the team's own tasks are evicted, and
    // those of one worker free both the room and the quota.
    std::optional<room_plan> makeOwnRoom(const place_request &request, int rank, std::uint16_t team,
                                         const resources &quota);
    // The cheapest victims that free `missing` on the worker; none when they cannot. Only those of
    // `team`, if one is given.
    std::optional<std::vector<task_ref>>
    chooseVictims(int slot, const resources &missing, int rank,
                  std::optional<std::uint16_t> team = std::nullopt) const;
    // Of tasks whose stop was asked for.
    resources comingFree(int slot) const;
    bool mayEvict(const task_ref &task, const ledger_entry &entry, int rank) const;

private:
    struct evictable_sums
    {
        std::uint64_t changes = 0;           // of the worker, when it was counted
        std::array<resources, Ranks> byRank; // that may be evicted for a task of that rank
        resources stoppingSoon;              //
    };
    struct victim
    {
        int rank = 0;
        bool overReservation = false;
        time_point startedAt;
        task_ref task;
        resources amount;
    };

    struct cheapest_room
    {
        double cost = 0;
        std::optional<room_plan> plan;
    };

    void consider(cheapest_room &best, const place_request &request, int slot,
                  std::optional<std::vector<task_ref>> victims) const;
    bool stopsSoon(const task_ref &task, const ledger_entry &entry) const;
    const evictable_sums &sumsOf(int slot);
    std::vector<victim> victimsOn(int slot, int rank, std::optional<std::uint16_t> team) const;
    resources missingOn(int slot, const place_request &request);

    const worker_table &m_workers;
    const task_table &m_tasks;
    const worker_chooser &m_chooser;
    std::vector<evictable_sums> m_sums; // by slot
};

} // namespace zinniabarrow::placement
