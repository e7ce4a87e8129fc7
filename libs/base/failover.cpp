#include "base/failover.h"

#include "base/errors.h"
#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<failover_class, 2> FailoverNames{{
        {failover_class::Lease, "lease"},
        {failover_class::Proof, "proof"},
}};

} // namespace

std::string_view nameOf(failover_class failover)
{
    return nameOf(FailoverNames, failover);
}

failover_class failoverClassFromName(std::string_view name)
{
    const auto failover = valueOf(FailoverNames, name);
    if (!failover)
        throw error(error_kind::BadRequest, "unknown failover class \"" + std::string(name) + "\"");
    return *failover;
}

void fromName(const std::string &name, failover_class &failover)
{
    failover = failoverClassFromName(name);
}

} // namespace zinniabarrow
