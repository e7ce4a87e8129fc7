#include "placement/worker_chooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace zinniabarrow::placement {

namespace {

// Cost for each replica of the same job that is already on the same worker, in the same zone or in
// the same rack. Losing an availability zone costs most but is rarest; two replicas on one worker
// are lost together every month.
constexpr double SameWorkerCost = 2;
constexpr double SameZoneCost = 1;
constexpr double SameRackCost = 0.5;
constexpr double LoadCost = 0.1; // for a service: cost of a fully reserved worker
// For a service: cost of the first service on a worker, where batch runs without restriction.
constexpr double FirstServiceCost = 0.4;
constexpr double PackingWeight = 0.2; // for batch: weight of the capacity that would stay unused
constexpr double SuspectCost = 4;     // of a worker for which worker_record::isSuspected is set
constexpr double AcceleratorCost = 1; // of a worker with accelerators that the task does not need
// Portion of a slowdown that counts even while the service is below its target.
constexpr double BelowTargetWeight = 0.05;
constexpr std::size_t TightestCandidates = 16; // candidates with the tightest fit, scored in full
// Further candidates, so that a quiet worker with much free capacity is considered.
constexpr std::size_t SampledCandidates = 16;

std::string rackKey(const worker_info &info)
{
    return info.zone + '/' + info.rack;
}

template <typename Key>
int countIn(const std::map<Key, int> &counts, const Key &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void replica_counts::add(const worker_record &worker, int slot)
{
    ++zones[worker.info.zone];
    ++racks[rackKey(worker.info)];
    ++slots[slot];
}

worker_chooser::worker_chooser(const scheduler_settings &settings, const worker_table &workers,
                               const interference_model &interference)
    : m_settings(settings)
    , m_workers(workers)
    , m_interference(interference)
{ }

worker_choice worker_chooser::choose(const placement_request &request)
{
    if (m_settings.algorithm == placement_algorithm::FirstFit)
        return firstFit(request);
    return request.kind == task_kind::Service ? chooseForService(request) : chooseForBatch(request);
}

bool worker_chooser::fits(const placement_request &request, int slot) const
{
    const bool isAllowed =
            request.requiredSlot == worker_table::NoSlot || slot == request.requiredSlot;
    return isAllowed && request.demand.fitsIn(m_workers.freeCapacity(slot))
           && slot != request.excludedSlot;
}

worker_choice worker_chooser::firstFit(const placement_request &request) const
{
    for (const int slot : m_workers.pool(request.pool).slots) {
        if (fits(request, slot))
            return {choice_outcome::Found, slot};
    }
    return {};
}

double worker_chooser::spreadCost(const placement_request &request, int slot) const
{
    if (request.kind != task_kind::Service)
        return 0;
    const auto &info = m_workers.at(slot).info;
    return SameWorkerCost * countIn(request.replicas.slots, slot)
           + SameZoneCost * countIn(request.replicas.zones, info.zone)
           + SameRackCost * countIn(request.replicas.racks, rackKey(info));
}

worker_choice worker_chooser::chooseForService(const placement_request &request) const
{
    worker_choice best;
    double lowestCost = std::numeric_limits<double>::max();
    for (const int slot : m_workers.pool(request.pool).slots) {
        if (!fits(request, slot))
            continue;
        const auto &worker = m_workers.at(slot);
        const auto used = worker.info.size - m_workers.freeCapacity(slot) + request.demand;
        double cost = spreadCost(request, slot) + LoadCost * dominantShare(used, worker.info.size);
        cost += worker.isSuspected ? SuspectCost : 0;
        if (m_settings.avoidInterference && worker.services.empty())
            cost += FirstServiceCost;
        if (m_settings.avoidInterference && cost < lowestCost) {
            cost += m_settings.weights.tailLatency
                    * (costFromNeighbours(worker, request.jobClass)
                       + costToServices(worker, request));
        }
        if (cost < lowestCost) {
            lowestCost = cost;
            best = {choice_outcome::Found, slot};
        }
    }
    return best;
}

worker_choice worker_chooser::chooseForBatch(const placement_request &request)
{
    worker_choice best;
    double lowestCost = std::numeric_limits<double>::max();
    bool wouldSlowService = false;
    for (const int slot : batchCandidates(request)) {
        const auto &worker = m_workers.at(slot);
        double cost = m_settings.weights.throughput * PackingWeight * packingCost(request, slot);
        cost += worker.isSuspected ? SuspectCost : 0;
        if (m_settings.avoidInterference) {
            const double slowdownCost = costToServices(worker, request);
            if (!request.isUrgent && !isWorthStarting(request, worker, slowdownCost)) {
                wouldSlowService = true;
                continue;
            }
            cost += m_settings.weights.tailLatency * slowdownCost;
        }
        if (cost < lowestCost) {
            lowestCost = cost;
            best = {choice_outcome::Found, slot};
        }
    }
    if (best.outcome != choice_outcome::Found && wouldSlowService)
        best.outcome = choice_outcome::WouldSlowService;
    return best;
}

// Returns the tightest fits and a rotating sample of the others. Scoring interference for every
// worker would cost more than it gains.
std::vector<int> worker_chooser::batchCandidates(const placement_request &request)
{
    std::vector<std::pair<double, int>> fittingSlots;
    for (const int slot : m_workers.pool(request.pool).slots) {
        if (fits(request, slot))
            fittingSlots.emplace_back(packingCost(request, slot), slot);
    }
    const auto tightCount = std::min(TightestCandidates, fittingSlots.size());
    const auto tightEnd = fittingSlots.begin() + static_cast<std::ptrdiff_t>(tightCount);
    std::partial_sort(fittingSlots.begin(), tightEnd, fittingSlots.end());
    std::vector<int> candidates;
    for (std::size_t index = 0; index < tightCount; ++index)
        candidates.push_back(fittingSlots[index].second);
    const auto otherCount = fittingSlots.size() - tightCount;
    for (std::size_t index = 0; index < std::min(SampledCandidates, otherCount); ++index)
        candidates.push_back(
                fittingSlots[tightCount + (m_sampleOffset + index) % otherCount].second);
    m_sampleOffset += SampledCandidates;
    return candidates;
}

// Share of the worker that stays unused: smaller for a tighter fit.
double worker_chooser::packingCost(const placement_request &request, int slot) const
{
    const auto &size = m_workers.at(slot).info.size;
    const auto remaining = m_workers.freeCapacity(slot) - request.demand;
    double cost = static_cast<double>(remaining.millicores)
                  / static_cast<double>(std::max<std::int64_t>(size.millicores, 1));
    cost += static_cast<double>(remaining.bytes)
            / static_cast<double>(std::max<std::int64_t>(size.bytes, 1));
    if (size.accelerators > 0 && request.demand.accelerators == 0)
        cost += AcceleratorCost;
    return cost;
}

double worker_chooser::pessimisticEffect(class_number service, class_number neighbour) const
{
    const auto effect = m_interference.effect(service, neighbour);
    return effect.mean + m_settings.uncertaintyWeight * effect.deviation;
}

// Expected cost for the services on the worker if the task is placed there: the slowdown above
// their targets, plus BelowTargetWeight of the whole slowdown.
double worker_chooser::costToServices(const worker_record &worker,
                                      const placement_request &request) const
{
    const auto workerMillicores =
            static_cast<double>(std::max<std::int64_t>(worker.info.size.millicores, 1));
    const double taskShare = static_cast<double>(request.demand.millicores) / workerMillicores;
    double slowdownCost = 0;
    for (const auto &service : worker.services) {
        const double addedSlowdown =
                pessimisticEffect(service.jobClass, request.jobClass) * taskShare;
        // A service without a latency sample on this worker serves no requests, so nothing can be
        // slowed, and its estimated latency is only a guess. Counting it would make batch wait
        // beside idle replicas on a shard with one worker.
        if (service.measuredAt != time_point{})
            slowdownCost += std::max(0.0, service.estimatedLogRatio + addedSlowdown)
                            - std::max(0.0, service.estimatedLogRatio);
        slowdownCost += BelowTargetWeight * addedSlowdown;
    }
    return slowdownCost;
}

// Expected cost for a service that is placed beside the worker's current tasks.
double worker_chooser::costFromNeighbours(const worker_record &worker, class_number service) const
{
    double sum = 0;
    for (const auto &neighbour : sharesOf(worker.history.current(), worker.info.size.millicores))
        sum += pessimisticEffect(service, neighbour.jobClass) * neighbour.share;
    return std::max(0.0, m_interference.baseline(service) + sum) + BelowTargetWeight * sum;
}

// The value of starting batch work is its share of the worker and grows with the waiting time, so
// that a task that would slow every service slightly is eventually started.
bool worker_chooser::isWorthStarting(const placement_request &request, const worker_record &worker,
                                     double slowdownCost) const
{
    const double doublingTime = static_cast<double>(m_settings.batchValueDoublingTime.count());
    const double waitedRatio =
            static_cast<double>(request.pendingTime.count()) / std::max(doublingTime, 1.0);
    const double worth =
            dominantShare(request.demand, worker.info.size) * (1 + std::log2(1 + waitedRatio));
    return m_settings.weights.tailLatency * slowdownCost <= m_settings.weights.throughput * worth;
}

} // namespace zinniabarrow::placement
