// Reads and writes amounts of resources in settings and in the configuration folder.
#pragma once

#include "base/resources.h"

namespace zinniabarrow {

// Called from config/fields.h through argument-dependent look-up, hence in the namespace of
// `resources`.
template <typename Archive>
void describe(Archive &archive, resources &size)
{
    archive("millicores", size.millicores);
    archive("bytes", size.bytes);
    archive("accelerators", size.accelerators);
}

} // namespace zinniabarrow
