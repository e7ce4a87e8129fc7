#include "app/header_names.h"

#include <strings.h>

namespace zinniabarrow {

bool isReservedHeader(const std::string &name)
{
    constexpr std::size_t PrefixLength = 3;
    return strncasecmp(name.c_str(), "Zb-", PrefixLength) == 0;
}

} // namespace zinniabarrow
