// Checks texts that come from outside and are passed on unchanged.
#pragma once

#include <string_view>

namespace zinniabarrow {

bool isUtf8(std::string_view text);

} // namespace zinniabarrow
