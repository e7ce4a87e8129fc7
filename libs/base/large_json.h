// JSON texts that are large or come many times a second: read with a fifth of JsonCpp's work, and
// without a tree of strings beside the text. For all else there is base/json.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <rapidjson/document.h>

namespace zinniabarrow::large_json {

using value = rapidjson::Value;

// Throws error BadRequest, as all of these do where a member is of another type.
rapidjson::Document parseObject(std::string_view text);

const value *find(const value &object, const char *name); // null: there is no such member
std::string text(const value &object, const char *name);
std::int64_t number(const value &object, const char *name);
const value &array(const value &object, const char *name);

// Members whose value is zero, empty or false may be left out.
std::string textOrEmpty(const value &object, const char *name);
std::int64_t numberOr0(const value &object, const char *name);
int countOr0(const value &object, const char *name); // of 32 bits, zero or above
double realOr(const value &object, const char *name, double absent);

// Of an array's elements.
std::string asText(const value &element);
std::int64_t asNumber(const value &element);
int asCount(const value &element);

template <typename Visit>
void forEach(const value &object, const char *name, Visit &&visit)
{
    if (find(object, name) == nullptr)
        return;
    for (const auto &element : array(object, name).GetArray())
        visit(element);
}

} // namespace zinniabarrow::large_json
