// The queues of the operators' configuration, and the lookup of the queue that a request addresses
// by its host and path.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/model.h"

namespace zinniabarrow::jobs {

// Requests to the host whose path starts with the prefix address the queue of the policy.
struct queue_route
{
    std::string host;
    std::string prefix; // path prefix; the remainder of the path is the job's id
    queue_policy policy;
};

// One version of the operators' configuration of queues.
struct queue_configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> routes;
};

struct route_match
{
    const queue_route *route = nullptr;
    std::string job; // job id from the path; empty: the queue itself is addressed
};

// Lookup table of one configuration, used for each request. A lookup costs one hash probe for each
// distinct prefix length, however many routes there are.
class queue_table
{
public:
    explicit queue_table(queue_configuration configuration);

    std::int64_t version() const { return m_version; }
    std::size_t size() const { return m_routes.size(); }
    std::size_t prefixLengthCount() const { return m_prefixLengths.size(); }
    // Returns the route with the longest matching prefix; none: no queue matches. A port in `host`
    // is ignored.
    std::optional<route_match> find(const std::string &host, const std::string &path) const;

private:
    std::int64_t m_version;
    std::vector<queue_route> m_routes;
    // Host and prefix to the index of the route.
    std::unordered_map<std::string, std::size_t> m_byPrefix;
    std::vector<std::size_t> m_prefixLengths; // distinct lengths of prefixes, longest first
};

} // namespace zinniabarrow::jobs
