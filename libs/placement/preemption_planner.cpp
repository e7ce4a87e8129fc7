#include "placement/preemption_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t Examined = 8; // workers whose victims are chosen, of all that could make room

resources positivePart(const resources &amount)
{
    return largest(amount, resources{});
}

} // namespace

room_maker::room_maker(const worker_table &workers, const task_table &tasks,
                       const worker_chooser &chooser)
    : m_workers(workers)
    , m_tasks(tasks)
    , m_chooser(chooser)
{ }

// Only batch work is evicted, never urgent work, and never a task whose end has to be proven: a
// lease watcher must finish without being restarted. An ambiguous placement may not have started,
// so stopping it would free nothing that is certain.
bool room_maker::mayEvict(const task_ref &task, const ledger_entry &entry, int rank) const
{
    if (entry.state != entry_state::Running && entry.state != entry_state::Placed)
        return false;
    const auto *job = m_tasks.findJob(task.jobId);
    if (!job || job->spec.pool.empty() || job->spec.kind != task_kind::Batch
        || job->spec.failover == failover_class::Proof)
        return false;
    return job->spec.priority != task_priority::Urgent && job->rank > rank;
}

// A stop that may take a long checkpoint is no room for urgent work.
bool room_maker::stopsSoon(const task_ref &task, const ledger_entry &entry) const
{
    if (entry.state != entry_state::Stopping)
        return false;
    const auto *job = m_tasks.findJob(task.jobId);
    return job && job->tasks.at(task.taskIndex).stopsSoon;
}

const room_maker::evictable_sums &room_maker::sumsOf(int slot)
{
    if (m_sums.size() <= static_cast<std::size_t>(slot))
        m_sums.resize(static_cast<std::size_t>(m_workers.slots()));
    auto &sums = m_sums[static_cast<std::size_t>(slot)];
    const auto &worker = m_workers.at(slot);
    if (sums.changes == worker.changes)
        return sums;
    sums = {};
    sums.changes = worker.changes;
    for (const auto &[task, entry] : worker.book.entries()) {
        if (stopsSoon(task, entry))
            sums.stoppingSoon += entry.reserved;
        for (int rank = 0; rank < Ranks && mayEvict(task, entry, rank); ++rank)
            sums.byRank.at(static_cast<std::size_t>(rank)) += entry.reserved;
    }
    return sums;
}

resources room_maker::comingFree(int slot) const
{
    resources sum;
    for (const auto &[task, entry] : m_workers.at(slot).book.entries()) {
        if (entry.state == entry_state::Stopping)
            sum += entry.reserved;
    }
    return sum;
}

resources room_maker::missingOn(int slot, const place_request &request)
{
    const auto room = m_workers.room(slot) + sumsOf(slot).stoppingSoon;
    return positivePart(request.demand - room);
}

std::optional<room_plan> room_maker::makeRoom(const place_request &request, int rank)
{
    std::vector<std::pair<double, int>> able;
    for (const int slot : m_workers.pool(request.pool).slots) {
        const auto &worker = m_workers.at(slot);
        if (worker.setAside || slot == request.avoid)
            continue;
        const auto missing = missingOn(slot, request);
        if (!missing.fitsIn(sumsOf(slot).byRank.at(static_cast<std::size_t>(rank))))
            continue;
        const double cost = dominantShare(missing, worker.info.size)
                            + m_chooser.spreadCost(request, slot) + (worker.suspect ? 1 : 0);
        able.emplace_back(cost, slot);
    }
    const auto examined = std::min(Examined, able.size());
    std::partial_sort(able.begin(), able.begin() + static_cast<std::ptrdiff_t>(examined),
                      able.end());
    cheapest_room best;
    for (std::size_t index = 0; index < examined; ++index) {
        const int slot = able[index].second;
        consider(best, request, slot, chooseVictims(slot, missingOn(slot, request), rank));
    }
    return best.plan;
}

// Each victim costs one, and so does leaving the spread of a service's replicas.
void room_maker::consider(cheapest_room &best, const place_request &request, int slot,
                          std::optional<std::vector<task_ref>> victims) const
{
    if (!victims)
        return;
    const double cost = static_cast<double>(victims->size()) + m_chooser.spreadCost(request, slot);
    if (!best.plan || cost < best.cost)
        best = {cost, room_plan{slot, std::move(*victims)}};
}

std::optional<room_plan> room_maker::makeOwnRoom(const place_request &request, int rank,
                                                 std::uint16_t team, const resources &quota)
{
    cheapest_room best;
    for (const int slot : m_workers.pool(request.pool).slots) {
        if (m_workers.at(slot).setAside || slot == request.avoid)
            continue;
        const auto missing = largest(missingOn(slot, request), quota);
        consider(best, request, slot, chooseVictims(slot, missing, rank, team));
    }
    return best.plan;
}

std::vector<room_maker::victim> room_maker::victimsOn(int slot, int rank,
                                                      std::optional<std::uint16_t> team) const
{
    std::vector<victim> victims;
    for (const auto &[task, entry] : m_workers.at(slot).book.entries()) {
        if (!mayEvict(task, entry, rank))
            continue;
        const auto *job = m_tasks.findJob(task.jobId);
        if (team && job->team != *team)
            continue;
        const auto record = job->tasks.find(task.taskIndex);
        victims.push_back({job->rank, entry.wanted != entry.reserved, record->second.startedAt,
                           task, entry.reserved});
    }
    // Lowest priority first; then what uses more than it was given; then the youngest, which loses
    // the least work.
    std::sort(victims.begin(), victims.end(), [](const victim &left, const victim &right) {
        return std::tie(right.rank, right.overReservation, right.startedAt, right.task)
               < std::tie(left.rank, left.overReservation, left.startedAt, left.task);
    });
    return victims;
}

std::optional<std::vector<task_ref>>
room_maker::chooseVictims(int slot, const resources &missing, int rank,
                          std::optional<std::uint16_t> team) const
{
    auto victims = victimsOn(slot, rank, team);
    resources freed;
    std::size_t used = 0;
    while (used < victims.size() && !missing.fitsIn(freed))
        freed += victims[used++].amount;
    if (!missing.fitsIn(freed))
        return std::nullopt;
    victims.resize(used);
    // A later, larger victim may make an earlier one needless.
    std::vector<task_ref> chosen;
    for (const auto &candidate : victims) {
        if (missing.fitsIn(freed - candidate.amount))
            freed -= candidate.amount;
        else
            chosen.push_back(candidate.task);
    }
    return chosen;
}

} // namespace zinniabarrow::placement
