// Parses and writes JSON; parse errors name the line.
#pragma once

#include <string>
#include <string_view>

#include <json/json.h>

namespace zinniabarrow {

// Parses strictly: no comments, no duplicate keys, nothing after the value. Throws error
// BadRequest, which names the line of the mistake.
Json::Value parseJson(std::string_view text);

// Like parseJson(); also throws error BadRequest when the value is not an object.
Json::Value parseJsonObject(std::string_view text);

// The text with null in place of each number of more than 18 characters or with an exponent, and of
// each value nested deeper than 32 levels: one odd value in it must not hide the others. For texts
// that parseJson() refuses.
std::string withoutOddValues(std::string_view text);

// Writes one line with sorted keys and no trailing newline. Characters above ASCII are escaped.
std::string compactJson(const Json::Value &value);

// The same without escapes for characters above ASCII: of Georgian a third of the bytes. Strings
// that are not UTF-8 are written as they are.
std::string compactUtf8Json(const Json::Value &value);

// Writes indented text for human readers.
std::string prettyJson(const Json::Value &value);

} // namespace zinniabarrow
