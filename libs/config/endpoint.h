// Network addresses of processes: IP address and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniabarrow::config {

struct endpoint
{
    std::string address; // IPv4 or IPv6 address, without brackets
    std::uint16_t port = 0;
    bool operator==(const endpoint &) const = default;
};

// Formats an endpoint as "10.0.0.1:8080", or "[::1]:8080" for IPv6.
std::string toText(const endpoint &endpoint);

// Parses the format of `toText`. Returns nothing unless `text` is an IP address with a port from 1
// to 65535; port 0 is refused.
std::optional<endpoint> parseEndpoint(std::string_view text);

// True for an IPv4 or IPv6 address without a port.
bool isIpAddress(const std::string &text);

} // namespace zinniabarrow::config
