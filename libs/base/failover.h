// Decides when the task of a worker without heartbeats may start on another worker
// (docs/design/OWNERSHIP.md).
#pragma once

#include <string>
#include <string_view>

namespace zinniabarrow {

enum class failover_class {
    Lease, // after every lease that the worker can hold has expired
    // Only after proof that the old attempt has ended: the worker reports its end, or a newer
    // incarnation of the worker reports.
    Proof,
};

std::string_view nameOf(failover_class failover);
failover_class failoverClassFromName(std::string_view name); // throws error BadRequest
// The same for config/fields.h, which reads enums through overloads of fromName().
void fromName(const std::string &name, failover_class &failover); // throws error BadRequest

} // namespace zinniabarrow
