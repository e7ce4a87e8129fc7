// Rendezvous hashing: each key is assigned to the member with the highest score for it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniabarrow {

// 64-bit XXH3 hash; the same in all processes and releases.
std::uint64_t stableHash(std::string_view text);

// Returns the members in order of preference for `key`, best first. Removing a member reassigns
// only that member's keys.
std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &members);

} // namespace zinniabarrow
