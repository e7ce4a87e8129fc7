#include "base/hash.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace zinniabarrow {

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &members)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(members.size());
    for (const auto &member : members) {
        std::string joined(key);
        joined += '\0';
        joined += member;
        scored.emplace_back(stableHash(joined), member);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (auto &[score, member] : scored)
        order.push_back(std::move(member));
    return order;
}

} // namespace zinniabarrow
