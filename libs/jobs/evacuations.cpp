#include "jobs/evacuations.h"

namespace zinniabarrow::jobs {

void evacuated_zones::applyRows(const std::vector<zone_row> &rows)
{
    m_zonesLastRead.clear();
    for (const auto &row : rows) {
        if (row.removed) {
            m_zones.erase(row.zone);
            m_zonesLastRead.erase(row.zone);
        } else {
            m_zones.insert(row.zone);
            m_zonesLastRead.insert(row.zone);
        }
    }
}

void evacuated_zones::finishFullRead()
{
    m_zones = m_zonesLastRead;
}

} // namespace zinniabarrow::jobs
