#include "app/unreadable_rows.h"

namespace zinniabarrow {

bool unreadable_rows::isDue(const std::string &row, time_point now) const
{
    const auto found = m_rows.find(row);
    return found == m_rows.end() || now >= found->second.readAgainAt;
}

bool unreadable_rows::isKnown(const std::string &row, std::int64_t version, time_point now)
{
    const auto found = m_rows.find(row);
    if (found == m_rows.end() || found->second.version != version)
        return false;
    found->second.readAgainAt = now + ReadInterval;
    return true;
}

void unreadable_rows::noteUnreadable(const std::string &row, std::int64_t version, time_point now)
{
    m_rows[row] = {version, now + ReadInterval};
}

} // namespace zinniabarrow
