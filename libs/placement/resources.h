// Resources, tasks and workers as placement sees them.
//
//   resources            its dimensions are processor time, memory and accelerators, as integers
//   task_ref             identity of a task
//   task_spec            properties of a task that matter for placement
//   worker_info          properties of a worker that matter for placement
//   toJson, …FromJson    conversion for messages; an invalid member throws error BadRequest
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

#include <json/json.h>

#include "base/failover.h"
#include "base/resources.h"

namespace zinniabarrow::placement {

// The smaller of the two amounts in each dimension.
resources minOfEach(const resources &left, const resources &right);
// The largest quotient of `part` by `whole` over all dimensions. A dimension that is 0 in `whole`
// counts as 1 if `part` uses it.
double dominantShare(const resources &part, const resources &whole);

enum class task_kind { Service, Batch };
enum class task_priority { Urgent, Normal, Low };

std::string_view nameOf(task_kind kind);
std::string_view nameOf(task_priority priority);

struct task_ref
{
    std::string jobId;
    std::int32_t taskIndex = 0;

    friend bool operator==(const task_ref &, const task_ref &) = default;
    friend bool operator<(const task_ref &left, const task_ref &right)
    {
        return std::tie(left.jobId, left.taskIndex) < std::tie(right.jobId, right.taskIndex);
    }
};

struct task_ref_hash
{
    std::size_t operator()(const task_ref &task) const noexcept
    {
        constexpr std::size_t HashMultiplier = 0x9e3779b97f4a7c15ULL;
        return std::hash<std::string>()(task.jobId)
               + HashMultiplier * static_cast<std::size_t>(task.taskIndex + 1);
    }
};

// For messages and logs: "job/index", or the amounts with their units.
std::string toText(const task_ref &task);
std::string toText(const resources &amount);

struct task_spec
{
    std::string jobId;          // a service or a batch job
    std::int32_t taskIndex = 0; // 0 … replicas-1
    task_kind kind = task_kind::Batch;
    // Tasks of one class behave alike: sizes and interference are learned per class.
    std::string jobClass;
    std::string team; // whose quota is charged
    task_priority priority = task_priority::Normal;
    std::string pool;          // the workers that may run it
    resources declared;        // by the operator; may be far from the real usage
    std::int32_t replicas = 1; // number of tasks in the job
    failover_class failover = failover_class::Lease;

    task_ref ref() const { return {jobId, taskIndex}; }
};

struct worker_info
{
    std::string id;
    std::string zone; // availability zone
    std::string rack; // unique within the availability zone
    std::string pool;
    resources size; // total that tasks may use
};

Json::Value toJson(const resources &amount);
Json::Value toJson(const task_ref &task);
Json::Value toJson(const task_spec &task);
Json::Value toJson(const worker_info &worker);
resources resourcesFromJson(const Json::Value &value);
task_ref taskRefFromJson(const Json::Value &value);
task_spec taskSpecFromJson(const Json::Value &value);
worker_info workerInfoFromJson(const Json::Value &value);

} // namespace zinniabarrow::placement
