#include "placement/quota_table.h"

#include <algorithm>

namespace zinniabarrow::placement {

namespace {

constexpr double SmallestWeight = 1e-6; // a weight of zero must not divide by zero

bool above(std::int64_t amount, std::int64_t limit)
{
    return limit > 0 && amount > limit;
}

// A part of nothing is none, and not the absence of a limit.
std::int64_t excessOf(std::int64_t amount, std::int64_t limit, std::int64_t part)
{
    return limit > 0 ? std::max<std::int64_t>(amount - part, 0) : 0;
}

std::optional<std::string> dimensionAbove(const resources &amount, const resources &limit)
{
    if (above(amount.millicores, limit.millicores))
        return "millicores";
    if (above(amount.bytes, limit.bytes))
        return "bytes";
    if (above(amount.accelerators, limit.accelerators))
        return "accelerators";
    return std::nullopt;
}

} // namespace

std::size_t quota_book::teamNumber(const std::string &team)
{
    const auto [found, added] = m_numbers.try_emplace(team, m_teams.size());
    if (added) {
        m_teams.emplace_back();
        m_teams.back().quota.team = team;
    }
    return found->second;
}

void quota_book::setQuota(const team_quota &quota)
{
    auto &known = m_teams.at(teamNumber(quota.team)).quota;
    const auto part = known.part;
    known = quota;
    if (!known.part)
        known.part = part; // goes on from one configuration to the next
}

void quota_book::charge(std::size_t team, const resources &amount)
{
    m_teams.at(team).held += amount;
}

void quota_book::refund(std::size_t team, const resources &amount)
{
    m_teams.at(team).held -= amount;
}

bool quota_book::allows(std::size_t team, const resources &amount) const
{
    return excess(team, amount) == resources{};
}

resources quota_book::excess(std::size_t team, const resources &amount) const
{
    const auto &state = m_teams.at(team);
    const auto all = state.held + amount;
    const auto &limit = state.quota.limit;
    const auto part = state.quota.part.value_or(limit);
    return {excessOf(all.millicores, limit.millicores, part.millicores),
            excessOf(all.bytes, limit.bytes, part.bytes),
            excessOf(all.accelerators, limit.accelerators, part.accelerators)};
}

std::optional<std::string> quota_book::impossibleDimension(std::size_t team,
                                                           const resources &amount) const
{
    return dimensionAbove(amount, m_teams.at(team).quota.limit);
}

double quota_book::weightedShare(std::size_t team) const
{
    const auto &state = m_teams.at(team);
    return dominantShare(state.held, m_total) / std::max(state.quota.weight, SmallestWeight);
}

} // namespace zinniabarrow::placement
