#include "base/json_values.h"

namespace zinniabarrow {

namespace {

// The position of the quote that ends the string which begins at `begin`, or
// the text's size.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    auto at = begin + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return at;
}

} // namespace

// Each value but the first of a list or an object follows a comma.
std::size_t countJsonValues(std::string_view text)
{
    std::size_t count = 1;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '"')
            at = endOfString(text, at);
        else
            count += text[at] == ',' || text[at] == '[' || text[at] == '{' ? 1 : 0;
    }
    return count;
}

} // namespace zinniabarrow
