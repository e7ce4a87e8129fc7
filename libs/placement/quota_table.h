// Team quotas: who is next, and who has reached a limit.
//
// Teams share by weighted dominant share: the largest part that a team holds of any dimension,
// divided by its weight. The team with the smallest goes first.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/actions.h"
#include "placement/resources.h"

namespace zinniabarrow::placement {

class quota_table
{
public:
    // A number for the team, known or new; an unknown team has weight 1 and no limit.
    std::size_t teamNumber(const std::string &team);
    void setQuota(const team_quota &quota);
    void setLocalLimit(std::size_t team, const resources &localLimit)
    {
        m_teams.at(team).quota.localLimit = localLimit;
    }
    // The sum of all workers, of which shares are parts.
    void setTotal(const resources &total) { m_total = total; }
    const resources &total() const { return m_total; }

    void charge(std::size_t team, const resources &amount);
    void refund(std::size_t team, const resources &amount);

    // False when the team would exceed its limit now.
    bool canReserve(std::size_t team, const resources &amount) const;
    // What the team would hold above its limit if it were given `amount` now.
    resources excess(std::size_t team, const resources &amount) const;
    // The name of the dimension in which `amount` alone exceeds the team's limit, if it does.
    std::optional<std::string> exceededDimension(std::size_t team, const resources &amount) const;
    double weightedShare(std::size_t team) const;
    const team_quota &quotaOf(std::size_t team) const { return m_teams.at(team).quota; }
    const resources &reservedBy(std::size_t team) const { return m_teams.at(team).reserved; }

private:
    struct team_state
    {
        team_quota quota;
        resources reserved; // reserved by its tasks
    };

    std::unordered_map<std::string, std::size_t> m_teamNumbers;
    std::vector<team_state> m_teams;
    resources m_total;
};

} // namespace zinniabarrow::placement
