// Parses JSON texts that are large or arrive many times a second. Takes a fifth of JsonCpp's CPU
// time and does not allocate each string separately. The records and reports of jobs are parsed
// with it; for all other texts use base/json.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <rapidjson/document.h>

namespace zinniabarrow::large_json {

using value = rapidjson::Value; // valid as long as its Document

// The Document holds copies of the strings, so `text` need not outlive it. Throws error BadRequest
// if the text is not a JSON object. All functions below throw the same error if a value does not
// have the type that they return, or if `object` is not a JSON object.
rapidjson::Document parseObject(std::string_view text);

const value *find(const value &object, const char *name); // null when the member is absent

// Required members: also throw error BadRequest when the member is absent. Numbers are integers of
// 64 bits.
std::string text(const value &object, const char *name);
std::int64_t number(const value &object, const char *name);
const value &array(const value &object, const char *name);

// Optional members: an absent one is an empty string, 0 or `absent`.
std::string textOrEmpty(const value &object, const char *name);
std::int64_t numberOr0(const value &object, const char *name);
int countOr0(const value &object, const char *name); // 32 bits, zero or above
// From 0 to `most`.
std::int64_t numberUpTo(const value &object, const char *name, std::int64_t most);
std::int64_t numberOr0UpTo(const value &object, const char *name, std::int64_t most);
double realOr(const value &object, const char *name, double absent);

// Values of array elements.
std::string asText(const value &element);
std::int64_t asNumber(const value &element);
int asCount(const value &element);                                  // as countOr0
std::int64_t asNumberUpTo(const value &element, std::int64_t most); // from 0
double asRealWithin(const value &element, double most);             // from -`most`

// Calls `visit` with each element of an array member; an absent member has none.
template <typename Visit>
void forEach(const value &object, const char *name, Visit &&visit)
{
    if (find(object, name) == nullptr)
        return;
    for (const auto &element : array(object, name).GetArray())
        visit(element);
}

} // namespace zinniabarrow::large_json
