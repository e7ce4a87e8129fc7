// Which worker takes a task.
//
// Services spread over availability zones, racks and workers, where few noisy neighbours run. Batch
// is packed where it fits most tightly, unless it would slow a service there more than it is worth.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/interference.h"
#include "placement/placer_settings.h"
#include "placement/resources.h"
#include "placement/worker_table.h"

namespace zinniabarrow::placement {

// How many replicas of one job each place holds already.
struct replica_counts
{
    std::map<std::string, int> zones;
    std::map<std::string, int> racks; // by availability zone and rack
    std::map<int, int> slots;

    void add(const worker_slot &worker, int slot);
};

struct placement_request
{
    task_kind kind = task_kind::Batch;       //
    class_number jobClass = 0;               //
    std::size_t pool = 0;                    //
    resources demand;                        //
    int excludedSlot = worker_table::NoSlot; // not this one
    int requiredSlot = worker_table::NoSlot; // no other one
    duration waited{0};                      //
    bool isUrgent = false;                   // urgent: harm orders the workers, but refuses none
    replica_counts replicas;                 // of a service
};

enum class choice_outcome { Found, NoCapacity, WouldSlowService };

struct worker_choice
{
    choice_outcome outcome = choice_outcome::NoCapacity;
    int slot = worker_table::NoSlot;
};

class worker_chooser
{
public:
    worker_chooser(const placer_settings &settings, const worker_table &workers,
                   const interference_model &interference);

    worker_choice choose(const placement_request &request);
    // Of a place on that worker, in the unit of the weighted parts: lower spreads better.
    double spreadCost(const placement_request &request, int slot) const;

private:
    worker_choice firstFit(const placement_request &request) const;
    worker_choice chooseForService(const placement_request &request) const;
    worker_choice chooseForBatch(const placement_request &request);
    bool fits(const placement_request &request, int slot) const;
    std::vector<int> batchCandidates(const placement_request &request);
    double packingCost(const placement_request &request, int slot) const;
    double costToServices(const worker_slot &worker, const placement_request &request) const;
    double costFromNeighbours(const worker_slot &worker, class_number service) const;
    double pessimisticEffect(class_number service, class_number neighbour) const;
    bool isWorthStarting(const placement_request &request, const worker_slot &worker,
                         double slowdownCost) const;

    const placer_settings &m_settings;
    const worker_table &m_workers;
    const interference_model &m_interference;
    std::size_t m_sampleOffset = 0; // where the sampled candidates start
};

} // namespace zinniabarrow::placement
