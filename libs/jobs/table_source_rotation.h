// Which entry an agent asks for the table of presses. Each has learned it from the same samples,
// and it is the largest part of what they send: one entry at a time is asked, in turn, so that none
// writes it for every worker and an entry that has only begun is soon followed by another.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniabarrow::jobs {

class table_source_rotation
{
public:
    // Agents begin at different entries.
    explicit table_source_rotation(std::string_view agent);

    // The next of `entries`, which are in order; empty: there is none.
    std::string next(const std::vector<std::string> &entries);

private:
    std::size_t m_nextIndex;
};

} // namespace zinniabarrow::jobs
