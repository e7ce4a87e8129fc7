#include "jobs/table_source_rotation.h"

#include "base/hash.h"

namespace zinniabarrow::jobs {

table_source_rotation::table_source_rotation(std::string_view agent)
    : m_nextIndex(stableHash(agent))
{ }

std::string table_source_rotation::next(const std::vector<std::string> &entries)
{
    if (entries.empty())
        return {};
    return entries[m_nextIndex++ % entries.size()];
}

} // namespace zinniabarrow::jobs
