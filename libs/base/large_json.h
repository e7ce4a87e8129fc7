// Parsing of JSON texts that are large or arrive many times a second. It takes a fifth of JsonCpp's
// CPU time and builds no separate tree of strings. For all other texts use base/json.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <rapidjson/document.h>

namespace zinniabarrow::large_json {

using value = rapidjson::Value;

// Throws error BadRequest, as do all functions below when a member has another type.
rapidjson::Document parseObject(std::string_view text);

const value *find(const value &object, const char *name); // null when the member is absent
std::string text(const value &object, const char *name);
std::int64_t number(const value &object, const char *name);
const value &array(const value &object, const char *name);

// Optional members: absent means zero, empty or false, or `absent`.
std::string textOrEmpty(const value &object, const char *name);
std::int64_t numberOr0(const value &object, const char *name);
int countOr0(const value &object, const char *name); // 32 bits, zero or above
double realOr(const value &object, const char *name, double absent);

// Values of array elements.
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
