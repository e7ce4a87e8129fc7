// The queues that the operator's configuration names, and which of them a caller's path means.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/model.h"

namespace zinniabarrow::jobs {

struct queue_route
{
    std::string host;
    std::string prefix; // of the path; the rest is the job's id
    queue_policy policy;
};

struct queue_configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> routes;
};

struct routed
{
    const queue_route *route = nullptr;
    std::string job; // empty: the queue itself
};

// The route with the longest prefix; none: there is no such queue.
std::optional<routed> routeFor(const queue_configuration &configuration, const std::string &host,
                               const std::string &path);

} // namespace zinniabarrow::jobs
