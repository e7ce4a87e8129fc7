// Checked reading of the members of a message; every mistake is error BadRequest with the name.
#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>

namespace zinniabarrow::request {

const Json::Value &objectIn(const Json::Value &json, const char *name);
const Json::Value &arrayIn(const Json::Value &json, const char *name);
std::string textIn(const Json::Value &json, const char *name);
std::int64_t countIn(const Json::Value &json, const char *name); // zero or above
int smallCountIn(const Json::Value &json, const char *name);     // zero or above, fits an int
bool flagIn(const Json::Value &json, const char *name);

} // namespace zinniabarrow::request
