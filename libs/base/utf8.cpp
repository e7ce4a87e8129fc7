#include "base/utf8.h"

#include <rapidjson/encodings.h>
#include <rapidjson/memorystream.h>

namespace zinniabarrow {

namespace {

// Takes the characters that rapidjson has validated.
struct character_sink
{
    void Put(char /*character*/) { } // NOLINT(readability-identifier-naming)
};

} // namespace

bool isUtf8(std::string_view text)
{
    rapidjson::MemoryStream input(text.data(), text.size());
    character_sink sink;
    while (input.Tell() < text.size()) {
        if (!rapidjson::UTF8<>::Validate(input, sink))
            return false;
    }
    return true;
}

} // namespace zinniabarrow
