// Amounts of resources in settings and in the folder.
#pragma once

#include "base/resources.h"

namespace zinniabarrow {

// Found by argument-dependent look-up from config/fields.h, so in the namespace of resources.
template <typename Archive>
void describe(Archive &archive, resources &size)
{
    archive("millicores", size.millicores);
    archive("bytes", size.bytes);
    archive("accelerators", size.accelerators);
}

} // namespace zinniabarrow
