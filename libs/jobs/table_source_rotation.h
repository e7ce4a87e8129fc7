// Chooses the entry that an agent asks for the interference table, round robin. All entries learn
// the table from the same samples, and it is the largest part of what they send. Asking one entry
// at a time avoids that each entry sends it to every worker; taking turns means that the table of
// an entry that has just started is soon replaced by another's.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniabarrow::jobs {

class table_source_rotation
{
public:
    // Different agents begin with different entries.
    explicit table_source_rotation(std::string_view agent);

    // The next of `entries`, which are sorted; empty if there is none.
    std::string next(const std::vector<std::string> &entries);

private:
    std::size_t m_nextIndex;
};

} // namespace zinniabarrow::jobs
