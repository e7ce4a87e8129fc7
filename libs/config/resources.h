// Processors, memory and accelerators, in integers.
#pragma once

#include <cstdint>

namespace zinniabarrow::config {

struct resources
{
    std::int64_t millicores = 0;   // thousandths of a processor
    std::int64_t bytes = 0;        // of memory
    std::int64_t accelerators = 0; // whole ones
    bool operator==(const resources &) const = default;
};

template <typename Archive>
void describe(Archive &archive, resources &size)
{
    archive("millicores", size.millicores);
    archive("bytes", size.bytes);
    archive("accelerators", size.accelerators);
}

} // namespace zinniabarrow::config
