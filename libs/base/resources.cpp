#include "base/resources.h"

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

bool resources::fitsIn(const resources &room) const
{
    return millicores <= room.millicores && bytes <= room.bytes
           && accelerators <= room.accelerators;
}

bool resources::isNegative() const
{
    return millicores < 0 || bytes < 0 || accelerators < 0;
}

} // namespace zinniabarrow
