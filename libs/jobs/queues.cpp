#include "jobs/queues.h"

namespace zinniabarrow::jobs {

std::optional<routed> routeFor(const queue_configuration &configuration, const std::string &host,
                               const std::string &path)
{
    const auto name = host.substr(0, host.find(':')); // a port may follow
    const queue_route *best = nullptr;
    for (const auto &route : configuration.routes) {
        if (route.host != name || !path.starts_with(route.prefix))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    if (best == nullptr)
        return std::nullopt;
    return routed{best, path.substr(best->prefix.size())};
}

} // namespace zinniabarrow::jobs
