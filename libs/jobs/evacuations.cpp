#include "jobs/evacuations.h"

namespace zinniabarrow::jobs {

void evacuated_zones::changed(const std::vector<zone_row> &rows)
{
    m_inLast.clear();
    for (const auto &row : rows) {
        if (row.removed) {
            m_zones.erase(row.zone);
            m_inLast.erase(row.zone);
        } else {
            m_zones.insert(row.zone);
            m_inLast.insert(row.zone);
        }
    }
}

void evacuated_zones::allRead()
{
    m_zones = m_inLast;
}

} // namespace zinniabarrow::jobs
