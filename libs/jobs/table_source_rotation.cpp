#include "jobs/table_source_rotation.h"

#include "base/hash.h"

namespace zinniabarrow::jobs {

press_turn::press_turn(std::string_view agent)
    : m_turn(stableHash(agent))
{ }

std::string press_turn::next(const std::vector<std::string> &entries)
{
    if (entries.empty())
        return {};
    return entries[m_turn++ % entries.size()];
}

} // namespace zinniabarrow::jobs
