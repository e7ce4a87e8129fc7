#include "placement/preemption_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MaxExaminedWorkers = 8; // workers for which planPreemption() selects victims

resources positivePart(const resources &amount)
{
    return maxOfEach(amount, resources{});
}

} // namespace

preemption_planner::preemption_planner(const worker_table &workers, const task_table &tasks,
                                       const worker_chooser &chooser)
    : m_workers(workers)
    , m_tasks(tasks)
    , m_chooser(chooser)
{ }

// Never evicted are urgent tasks, and tasks with failover_class::Proof, such as a lease watcher,
// which must finish without being restarted. A task whose placement is ambiguous may not have
// started, so stopping it might free nothing.
bool preemption_planner::canEvict(const task_ref &task, const task_reservation &reservation,
                                  int rank) const
{
    if (reservation.state != reservation_state::Running
        && reservation.state != reservation_state::Placed)
        return false;
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || job->spec.pool.empty() || job->spec.kind != task_kind::Batch
        || job->spec.failover == failover_class::Proof)
        return false;
    return job->spec.priority != task_priority::Urgent && job->rank > rank;
}

// True if the task was asked to stop without a long checkpoint. After a long one, its capacity
// would not be free in time for urgent work.
bool preemption_planner::stopsSoon(const task_ref &task, const task_reservation &reservation) const
{
    if (reservation.state != reservation_state::Stopping)
        return false;
    const auto *job = m_tasks.findJob(task.jobId);
    return job && job->tasks.at(task.taskIndex).stopsSoon;
}

const preemption_planner::evictable_sums &preemption_planner::evictableOn(int slot)
{
    if (m_evictable.size() <= static_cast<std::size_t>(slot))
        m_evictable.resize(static_cast<std::size_t>(m_workers.slotCount()));
    auto &sums = m_evictable[static_cast<std::size_t>(slot)];
    const auto &worker = m_workers.at(slot);
    if (sums.workerRevision == worker.revision)
        return sums;
    sums = {};
    sums.workerRevision = worker.revision;
    for (const auto &[task, reservation] : worker.ledger.reservations()) {
        if (stopsSoon(task, reservation))
            sums.stoppingSoon += reservation.reserved;
        for (int rank = 0; rank < RankCount && canEvict(task, reservation, rank); ++rank)
            sums.evictableByRank.at(static_cast<std::size_t>(rank)) += reservation.reserved;
    }
    return sums;
}

resources preemption_planner::stoppingReservations(int slot) const
{
    resources sum;
    for (const auto &[task, reservation] : m_workers.at(slot).ledger.reservations()) {
        if (reservation.state == reservation_state::Stopping)
            sum += reservation.reserved;
    }
    return sum;
}

resources preemption_planner::shortfallOn(int slot, const placement_request &request)
{
    const auto available = m_workers.freeCapacity(slot) + evictableOn(slot).stoppingSoon;
    return positivePart(request.demand - available);
}

std::optional<preemption_plan> preemption_planner::planPreemption(const placement_request &request,
                                                                  int rank)
{
    std::vector<std::pair<double, int>> candidates;
    for (const int slot : m_workers.pool(request.pool).slots) {
        const auto &worker = m_workers.at(slot);
        if (worker.isQuarantined || slot == request.excludedSlot)
            continue;
        const auto shortfall = shortfallOn(slot, request);
        if (!shortfall.fitsIn(evictableOn(slot).evictableByRank.at(static_cast<std::size_t>(rank))))
            continue;
        const double cost = dominantShare(shortfall, worker.info.size)
                            + m_chooser.spreadCost(request, slot) + (worker.isSuspected ? 1 : 0);
        candidates.emplace_back(cost, slot);
    }
    const auto examinedCount = std::min(MaxExaminedWorkers, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(examinedCount),
                      candidates.end());
    cheapest_plan best;
    for (std::size_t index = 0; index < examinedCount; ++index) {
        const int slot = candidates[index].second;
        keepIfCheaper(best, request, slot, chooseVictims(slot, shortfallOn(slot, request), rank));
    }
    return best.plan;
}

// The cost is 1 per victim plus the cost of a worse spread of the service's replicas.
void preemption_planner::keepIfCheaper(cheapest_plan &best, const placement_request &request,
                                       int slot, std::optional<std::vector<task_ref>> victims) const
{
    if (!victims)
        return;
    const double cost = static_cast<double>(victims->size()) + m_chooser.spreadCost(request, slot);
    if (!best.plan || cost < best.cost)
        best = {cost, preemption_plan{slot, std::move(*victims)}};
}

std::optional<preemption_plan>
preemption_planner::planTeamPreemption(const placement_request &request, int rank,
                                       std::uint16_t team, const resources &quotaShortfall)
{
    cheapest_plan best;
    for (const int slot : m_workers.pool(request.pool).slots) {
        if (m_workers.at(slot).isQuarantined || slot == request.excludedSlot)
            continue;
        const auto shortfall = maxOfEach(shortfallOn(slot, request), quotaShortfall);
        keepIfCheaper(best, request, slot, chooseVictims(slot, shortfall, rank, team));
    }
    return best.plan;
}

std::vector<preemption_planner::victim>
preemption_planner::victimsOn(int slot, int rank, std::optional<std::uint16_t> team) const
{
    std::vector<victim> victims;
    for (const auto &[task, reservation] : m_workers.at(slot).ledger.reservations()) {
        if (!canEvict(task, reservation, rank))
            continue;
        const auto *job = m_tasks.findJob(task.jobId);
        if (team && job->team != *team)
            continue;
        const auto record = job->tasks.find(task.taskIndex);
        victims.push_back({job->rank, reservation.wanted != reservation.reserved,
                           record->second.startedAt, task, reservation.reserved});
    }
    // Lowest priority first; then tasks that use more than they reserved; then the most recently
    // started, which lose the least work.
    std::sort(victims.begin(), victims.end(), [](const victim &left, const victim &right) {
        return std::tie(right.rank, right.usesMoreThanReserved, right.startedAt, right.task)
               < std::tie(left.rank, left.usesMoreThanReserved, left.startedAt, left.task);
    });
    return victims;
}

std::optional<std::vector<task_ref>>
preemption_planner::chooseVictims(int slot, const resources &shortfall, int rank,
                                  std::optional<std::uint16_t> team) const
{
    auto victims = victimsOn(slot, rank, team);
    resources freed;
    std::size_t victimCount = 0;
    while (victimCount < victims.size() && !shortfall.fitsIn(freed))
        freed += victims[victimCount++].reservedAmount;
    if (!shortfall.fitsIn(freed))
        return std::nullopt;
    victims.resize(victimCount);
    // A larger victim that was selected later may make an earlier one unnecessary.
    std::vector<task_ref> chosen;
    for (const auto &candidate : victims) {
        if (shortfall.fitsIn(freed - candidate.reservedAmount))
            freed -= candidate.reservedAmount;
        else
            chosen.push_back(candidate.task);
    }
    return chosen;
}

} // namespace zinniabarrow::placement
