// Members of a JSON object, read with their type checked. Each function throws error BadRequest
// that names the member.
#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>

namespace zinniabarrow::work {

const Json::Value &objectMember(const Json::Value &value, const char *name);
const Json::Value &listMember(const Json::Value &value, const char *name);
std::string textMember(const Json::Value &value, const char *name);
std::string textMemberOr(const Json::Value &value, const char *name, const std::string &absent);
std::uint64_t numberMember(const Json::Value &value, const char *name);
std::uint32_t smallNumberMember(const Json::Value &value, const char *name);
bool flagMember(const Json::Value &value, const char *name);

} // namespace zinniabarrow::work
