// The zones in which operators let nothing more start: by their rows in the platform's store, and
// as an agent hears of its own.
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
    bool removed = false; // tasks may start there again
};

// What an entry knows: it follows the rows.
class evacuated_zones
{
public:
    // Of a feed, or of a reading of all rows, in their order.
    void applyRows(const std::vector<zone_row> &rows);
    // What `changed` got last was a reading of all: what it left out was removed meanwhile.
    void finishFullRead();

    const std::set<std::string> &zones() const { return m_zones; }
    bool contains(const std::string &zone) const { return m_zones.contains(zone); }

private:
    std::set<std::string> m_zones;
    std::set<std::string> m_zonesLastRead; // the rows that came last
};

// What an agent knows: entries tell it with each answer to its reports, once a second.
class evacuation_notice
{
public:
    // One answer may be lost. Entries that stop saying so have seen the row removed.
    static constexpr milliseconds ValidFor{2500};

    void refresh(time_point now) { m_expiresAt = now + ValidFor; }
    bool isActive(time_point now) const { return m_expiresAt && now < *m_expiresAt; }

private:
    std::optional<time_point> m_expiresAt;
};

} // namespace zinniabarrow::jobs
