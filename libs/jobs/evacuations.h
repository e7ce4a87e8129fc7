// Evacuated zones: those in which operators let no more tasks start. Entries read them from rows in
// the platform's store; an agent learns from the entries whether its own zone is evacuated.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::jobs {

struct zone_row
{
    std::string zone;
    bool removed = false; // the row was deleted: tasks may start there again
};

// The entry's view: the set of evacuated zones, kept up to date from the rows.
class evacuated_zones
{
public:
    // Applies changed rows, in order. They come from the change feed or from a read of all rows.
    void applyRows(const std::vector<zone_row> &rows);
    // The rows of the last `applyRows` were all that exist: zones missing there were deleted.
    void finishFullRead();

    const std::set<std::string> &zones() const { return m_zones; }
    bool contains(const std::string &zone) const { return m_zones.contains(zone); }

private:
    std::set<std::string> m_zones;
    std::set<std::string> m_zonesLastRead; // zones in the rows of the last `applyRows`
};

// The agent's view: entries say in each answer to its reports, once a second, that its zone is
// evacuated.
class evacuation_notice
{
public:
    // Tolerates one lost answer. Entries stop sending the notice once the row is deleted.
    static constexpr milliseconds ValidFor{2500};

    void refresh(time_point now) { m_expiresAt = now + ValidFor; }
    bool isActive(time_point now) const { return m_expiresAt && now < *m_expiresAt; }

private:
    std::optional<time_point> m_expiresAt;
};

} // namespace zinniabarrow::jobs
