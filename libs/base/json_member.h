// Typed access to the members of a JSON object. Errors name the member.
#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>

namespace zinniabarrow {

// Each throws error BadRequest, such as "member 'x': a string is needed".
std::string stringMember(const Json::Value &object, const char *name);
std::string stringMemberOr(const Json::Value &object, const char *name, const std::string &absent);
std::int64_t integerMember(const Json::Value &object, const char *name);
// From 0 to `most`.
std::int64_t integerMemberUpTo(const Json::Value &object, const char *name, std::int64_t most);
std::uint64_t countMember(const Json::Value &object, const char *name);      // zero or above
std::uint32_t smallCountMember(const Json::Value &object, const char *name); // fits 32 bits
int smallIntegerMember(const Json::Value &object, const char *name); // zero or above, below 2^31
double numberMember(const Json::Value &object, const char *name);    // any finite number
// From -`most` to `most`.
double numberMemberWithin(const Json::Value &object, const char *name, double most);
bool boolMember(const Json::Value &object, const char *name);
const Json::Value &arrayMember(const Json::Value &object, const char *name);
const Json::Value &objectMember(const Json::Value &object, const char *name);

} // namespace zinniabarrow
