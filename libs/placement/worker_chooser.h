// Selects the worker for a task. Used by the scheduler, and by preemption_planner for spreadCost().
// A slot is the index of a worker in worker_table.
//
// Services are spread over availability zones, racks and workers, preferring those with few
// interfering tasks. Batch tasks are packed onto the worker with the tightest fit, unless the
// slowdown of a service there would cost more than starting the task is worth.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/interference.h"
#include "placement/resources.h"
#include "placement/scheduler_settings.h"
#include "placement/worker_table.h"

namespace zinniabarrow::placement {

// Number of replicas of one job per availability zone, rack and worker.
struct replica_counts
{
    std::map<std::string, int> zones;
    std::map<std::string, int> racks; // key: availability zone and rack
    std::map<int, int> slots;

    void add(const worker_record &worker, int slot);
};

// One task to place.
struct placement_request
{
    task_kind kind = task_kind::Batch;
    class_number jobClass = 0;               // class of the job in interference_model
    std::size_t pool = 0;                    // number of the pool in worker_table
    resources demand;                        // resources to reserve
    int excludedSlot = worker_table::NoSlot; // slot that must not be chosen; NoSlot: none
    int requiredSlot = worker_table::NoSlot; // the only slot that may be chosen; NoSlot: any
    duration pendingTime{0};                 // time since the task became pending
    bool isUrgent = false;   // interference affects the choice but never prevents it
    replica_counts replicas; // existing replicas of the job; for services only
};

// WouldSlowService: a batch task fits somewhere, but on each worker considered the slowdown of the
// services would cost more than starting the task is worth.
enum class choice_outcome { Found, NoCapacity, WouldSlowService };

struct worker_choice
{
    choice_outcome outcome = choice_outcome::NoCapacity;
    int slot = worker_table::NoSlot; // NoSlot unless Found
};

class worker_chooser
{
public:
    worker_chooser(const scheduler_settings &settings, const worker_table &workers,
                   const interference_model &interference);

    // Returns the worker with the lowest cost for the task.
    worker_choice choose(const placement_request &request);
    // Cost of placing another replica of a service on the worker, in the unit of the costs that
    // `choose` compares: 1 for each replica of the job in the same availability zone, more for one
    // on the same worker, less for one on the same rack. A lower value means a better spread. 0 for
    // batch.
    double spreadCost(const placement_request &request, int slot) const;

private:
    // The first worker with enough free capacity, for placement_algorithm::FirstFit.
    worker_choice firstFit(const placement_request &request) const;
    worker_choice chooseForService(const placement_request &request) const;
    worker_choice chooseForBatch(const placement_request &request);
    bool fits(const placement_request &request, int slot) const;
    // The tightest fits, and a sample of the others that rotates from call to call.
    std::vector<int> batchCandidates(const placement_request &request);
    double packingCost(const placement_request &request, int slot) const;
    double costToServices(const worker_record &worker, const placement_request &request) const;
    double costFromNeighbours(const worker_record &worker, class_number service) const;
    // Mean slowdown of the service by the neighbour plus a multiple of its deviation.
    double pessimisticEffect(class_number service, class_number neighbour) const;
    bool isWorthStarting(const placement_request &request, const worker_record &worker,
                         double slowdownCost) const;

    const scheduler_settings &m_settings;
    const worker_table &m_workers;
    const interference_model &m_interference;
    std::size_t m_sampleOffset = 0; // where the next sample of batchCandidates() begins
};

} // namespace zinniabarrow::placement
