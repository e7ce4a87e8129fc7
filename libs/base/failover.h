// When a silent worker's task may start elsewhere (docs/design/OWNERSHIP.md).
#pragma once

#include <string>
#include <string_view>

namespace zinniabarrow {

enum class failover_class {
    Lease, // once every lease that the worker can hold has lapsed
    Proof, // only on proof that the old attempt has ended
};

std::string_view nameOf(failover_class failover);
failover_class failoverClassFromName(std::string_view name);      // throws error BadRequest
void fromName(const std::string &name, failover_class &failover); // the same

} // namespace zinniabarrow
