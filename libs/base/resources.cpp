#include "base/resources.h"

#include <algorithm>

namespace zinniabarrow {

resources &resources::operator+=(const resources &other)
{
    millicores += other.millicores;
    bytes += other.bytes;
    accelerators += other.accelerators;
    return *this;
}

resources &resources::operator-=(const resources &other)
{
    millicores -= other.millicores;
    bytes -= other.bytes;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::fitsIn(const resources &capacity) const
{
    return millicores <= capacity.millicores && bytes <= capacity.bytes
           && accelerators <= capacity.accelerators;
}

bool resources::isNegative() const
{
    return millicores < 0 || bytes < 0 || accelerators < 0;
}

resources maxOfEach(const resources &left, const resources &right)
{
    return {std::max(left.millicores, right.millicores), std::max(left.bytes, right.bytes),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace zinniabarrow
