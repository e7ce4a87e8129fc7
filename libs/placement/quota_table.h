// Team quotas: which team comes next, and which has reached a limit.
//
// Capacity is divided by weighted dominant share: the largest fraction of any dimension that a team
// has reserved, divided by its weight. The team with the smallest value comes next.
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
    // Returns the number of the team and adds it if unknown. A team without a quota has weight 1
    // and no limit.
    std::size_t teamNumber(const std::string &team);
    void setQuota(const team_quota &quota);
    void setLocalLimit(std::size_t team, const resources &localLimit)
    {
        m_teams.at(team).quota.localLimit = localLimit;
    }
    // Sets the sum of the workers' sizes, of which the shares are fractions.
    void setTotal(const resources &total) { m_total = total; }
    const resources &total() const { return m_total; }

    // Add to and subtract from what the team has reserved.
    void charge(std::size_t team, const resources &amount);
    void refund(std::size_t team, const resources &amount);

    // False if `amount` would exceed the team's limit now.
    bool canReserve(std::size_t team, const resources &amount) const;
    // By how much the team would exceed its limit with `amount` added.
    resources excess(std::size_t team, const resources &amount) const;
    // Name of the dimension in which `amount` alone exceeds the team's limit; no value if none.
    std::optional<std::string> exceededDimension(std::size_t team, const resources &amount) const;
    // The team's dominant share divided by its weight.
    double weightedShare(std::size_t team) const;
    const team_quota &quotaOf(std::size_t team) const { return m_teams.at(team).quota; }
    const resources &reservedBy(std::size_t team) const { return m_teams.at(team).reserved; }

private:
    struct team_state
    {
        team_quota quota;
        resources reserved; // sum over the team's tasks
    };

    std::unordered_map<std::string, std::size_t> m_teamNumbers;
    std::vector<team_state> m_teams;
    resources m_total;
};

} // namespace zinniabarrow::placement
