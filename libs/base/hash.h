// Rendezvous hashing: each key goes to the member that scores highest for it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniabarrow {

// Stable across processes and releases (XXH3, 64 bits).
std::uint64_t stableHash(std::string_view text);

// The members ordered by preference for `key`, best first. Losing a member moves only its keys.
std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &members);

} // namespace zinniabarrow
