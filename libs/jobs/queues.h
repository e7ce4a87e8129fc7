// The queues that the operator's configuration names, and which of them a caller's path means.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
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

struct route_match
{
    const queue_route *route = nullptr;
    std::string job; // empty: the queue itself
};

// A configuration as it is asked for each request. Finding a route costs one look for each length
// that prefixes have, however many routes there are.
class queue_table
{
public:
    explicit queue_table(queue_configuration configuration);

    std::int64_t version() const { return m_version; }
    std::size_t size() const { return m_routes.size(); }
    std::size_t prefixLengthCount() const { return m_prefixLengths.size(); }
    // The route with the longest prefix; none: there is no such queue.
    std::optional<route_match> find(const std::string &host, const std::string &path) const;

private:
    std::int64_t m_version;
    std::vector<queue_route> m_routes;
    std::unordered_map<std::string, std::size_t> m_byPrefix; // host and prefix to the route
    std::vector<std::size_t> m_prefixLengths;                // of prefixes, the longest first
};

} // namespace zinniabarrow::jobs
