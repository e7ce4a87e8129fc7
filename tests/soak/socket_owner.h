// Finds the process that holds one end of a TCP connection on this machine.
#pragma once

#include <optional>
#include <vector>

#include <sys/types.h>

#include "runtime/http.h"

namespace zinniabarrow::soak {

// The process among `candidates` that has the connection's end at `localEnd` open; none if all of
// them have closed it.
std::optional<pid_t> socketOwner(const socket_address &localEnd, const socket_address &remoteEnd,
                                 const std::vector<pid_t> &candidates);

} // namespace zinniabarrow::soak
