#include "config/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace zinniabarrow::config {

namespace {

template <typename Number>
bool isNumber(int family, const std::string &text)
{
    Number number{};
    const bool hasNul = text.find('\0') != std::string::npos;
    return !hasNul && inet_pton(family, text.c_str(), &number) == 1;
}

bool isIpv6(const std::string &text)
{
    return isNumber<in6_addr>(AF_INET6, text);
}

bool isIpv4(const std::string &text)
{
    return isNumber<in_addr>(AF_INET, text);
}

} // namespace

std::string toText(const endpoint &endpoint)
{
    const auto port = std::to_string(endpoint.port);
    if (isIpv6(endpoint.address))
        return '[' + endpoint.address + "]:" + port;
    return endpoint.address + ':' + port;
}

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto address = std::string(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    if (isBracketed ? !isIpv6(address) : !isIpv4(address))
        return std::nullopt;
    endpoint result{address, 0};
    const auto [end, failure] =
            std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (failure != std::errc{} || end != port.data() + port.size() || result.port == 0)
        return std::nullopt;
    return result;
}

bool isIpAddress(const std::string &text)
{
    return isIpv4(text) || isIpv6(text);
}

} // namespace zinniabarrow::config
