// Counts the values of a JSON text without parsing it.
#pragma once

#include <cstddef>
#include <string_view>

namespace zinniabarrow {

// Members and elements in the text, all levels together, or a little more. A
// parsed value takes up to a hundred times the memory of its text, so a text
// from outside is counted first.
std::size_t countJsonValues(std::string_view text);

} // namespace zinniabarrow
