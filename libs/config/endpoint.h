// Addresses of processes: IP number and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniabarrow::config {

struct endpoint
{
    std::string address;    // IP number
    std::uint16_t port = 0; //
    bool operator==(const endpoint &) const = default;
};

// "10.0.0.1:8080", or "[::1]:8080" for IPv6.
std::string toText(const endpoint &endpoint);

// Empty if `text` is no IP number with a port above 0.
std::optional<endpoint> parseEndpoint(std::string_view text);

bool isIpAddress(const std::string &text);

} // namespace zinniabarrow::config
