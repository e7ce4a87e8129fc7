// A call and its answer as http_client and http_listener pass them to an observer, which counts the
// bytes of a process's traffic.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace zinniabarrow::net {

// Bytes include HTTP heads, and what was transferred of a message that was cut off. TCP/IP headers
// are not included.
struct exchange
{
    std::string_view target;       // path and query of the request
    std::size_t sentBytes = 0;     // by this process
    std::size_t receivedBytes = 0; // by this process
};

// Called on the loop's thread after each exchange, whether it succeeded or not.
using exchange_observer = std::function<void(const exchange &)>;

} // namespace zinniabarrow::net
