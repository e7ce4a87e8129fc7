#include "jobs/queues.h"

#include <functional>
#include <set>
#include <utility>

namespace zinniabarrow::jobs {

namespace {

constexpr char HostSeparator = '\n'; // occurs in no host name

} // namespace

queue_table::queue_table(queue_configuration configuration)
    : m_version(configuration.version)
    , m_routes(std::move(configuration.routes))
{
    std::set<std::size_t, std::greater<>> lengths;
    m_byPrefix.reserve(m_routes.size());
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        const auto &route = m_routes[index];
        m_byPrefix.emplace(route.host + HostSeparator + route.prefix, index);
        lengths.insert(route.prefix.size());
    }
    m_prefixLengths.assign(lengths.begin(), lengths.end());
}

std::optional<route_match> queue_table::find(const std::string &host, const std::string &path) const
{
    auto key = host.substr(0, host.find(':')) + HostSeparator; // without a port
    const auto hostSize = key.size();
    for (const auto length : m_prefixLengths) {
        if (length > path.size())
            continue;
        key.resize(hostSize);
        key.append(path, 0, length);
        if (const auto found = m_byPrefix.find(key); found != m_byPrefix.end())
            return route_match{&m_routes[found->second], path.substr(length)};
    }
    return std::nullopt;
}

} // namespace zinniabarrow::jobs
