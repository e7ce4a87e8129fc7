// Chooses the entry that an agent asks for the interference table, round robin. The table says by
// how much best-effort runs slow down serving runs, by program image. All entries learn it from the
// same samples, and it is the largest part of what they send. Asking one entry at a time avoids
// that each entry sends it to every agent. Taking turns means that the table of an entry that has
// just started, and has learned little, is soon replaced by another's.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinniabarrow::jobs {

// Used by report_sender, which calls `next` at each periodic report for which it has samples.
class table_source_rotation
{
public:
    // Different agents begin with different entries.
    explicit table_source_rotation(std::string_view agent);

    // The next of `entries`, which are sorted; empty if there is none. Only the position is kept:
    // when entries come or go, one may be skipped or chosen again.
    std::string next(const std::vector<std::string> &entries);

private:
    std::size_t m_nextIndex;
};

} // namespace zinniabarrow::jobs
