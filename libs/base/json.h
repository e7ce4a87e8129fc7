// JSON text to values and back, with the line of a mistake.
#pragma once

#include <string>
#include <string_view>

#include <json/json.h>

namespace zinniabarrow {

// Parses strictly (no comments, no duplicate keys, nothing after the value). Throws error
// BadRequest that names the line.
Json::Value parseJson(std::string_view text);

// The same, and throws BadRequest when the value is not an object.
Json::Value parseJsonObject(std::string_view text);

// One line, keys in order, no trailing newline.
std::string compactJson(const Json::Value &value);

// Indented, for people.
std::string prettyJson(const Json::Value &value);

} // namespace zinniabarrow
