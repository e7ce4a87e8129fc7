#include "placement/quota_table.h"

#include <algorithm>

namespace zinniabarrow::placement {

namespace {

constexpr double SmallestWeight = 1e-6; // avoids division by a weight of zero

bool exceeds(std::int64_t amount, std::int64_t limit)
{
    return limit > 0 && amount > limit;
}

// A local limit of 0 means that nothing may be reserved, not that there is no limit.
std::int64_t excessOf(std::int64_t amount, std::int64_t limit, std::int64_t localLimit)
{
    return limit > 0 ? std::max<std::int64_t>(amount - localLimit, 0) : 0;
}

std::optional<std::string> firstExceeded(const resources &amount, const resources &limit)
{
    if (exceeds(amount.millicores, limit.millicores))
        return "millicores";
    if (exceeds(amount.bytes, limit.bytes))
        return "bytes";
    if (exceeds(amount.accelerators, limit.accelerators))
        return "accelerators";
    return std::nullopt;
}

} // namespace

std::size_t quota_table::teamNumber(const std::string &team)
{
    const auto [found, added] = m_teamNumbers.try_emplace(team, m_teams.size());
    if (added) {
        m_teams.emplace_back();
        m_teams.back().quota.team = team;
    }
    return found->second;
}

void quota_table::setQuota(const team_quota &quota)
{
    auto &known = m_teams.at(teamNumber(quota.team)).quota;
    const auto localLimit = known.localLimit;
    known = quota;
    // The local limit stays in force when the configuration changes.
    if (!known.localLimit)
        known.localLimit = localLimit;
}

void quota_table::charge(std::size_t team, const resources &amount)
{
    m_teams.at(team).reserved += amount;
}

void quota_table::refund(std::size_t team, const resources &amount)
{
    m_teams.at(team).reserved -= amount;
}

bool quota_table::canReserve(std::size_t team, const resources &amount) const
{
    return excess(team, amount) == resources{};
}

resources quota_table::excess(std::size_t team, const resources &amount) const
{
    const auto &state = m_teams.at(team);
    const auto requested = state.reserved + amount;
    const auto &limit = state.quota.limit;
    const auto localLimit = state.quota.localLimit.value_or(limit);
    return {excessOf(requested.millicores, limit.millicores, localLimit.millicores),
            excessOf(requested.bytes, limit.bytes, localLimit.bytes),
            excessOf(requested.accelerators, limit.accelerators, localLimit.accelerators)};
}

std::optional<std::string> quota_table::exceededDimension(std::size_t team,
                                                          const resources &amount) const
{
    return firstExceeded(amount, m_teams.at(team).quota.limit);
}

double quota_table::weightedShare(std::size_t team) const
{
    const auto &state = m_teams.at(team);
    return dominantShare(state.reserved, m_total) / std::max(state.quota.weight, SmallestWeight);
}

} // namespace zinniabarrow::placement
