#include "request/json_members.h"

#include <limits>

#include "base/errors.h"

namespace zinniabarrow::request {

namespace {

[[noreturn]] void refuseMember(const char *name, const char *wanted)
{
    throw error(error_kind::BadRequest, std::string("'") + name + "' must be " + wanted);
}

const Json::Value &memberOf(const Json::Value &json, const char *name)
{
    if (!json.isObject())
        throw error(error_kind::BadRequest, std::string("an object with '") + name + "' is needed");
    if (!json.isMember(name))
        refuseMember(name, "given");
    return json[name];
}

} // namespace

const Json::Value &objectIn(const Json::Value &json, const char *name)
{
    const auto &value = memberOf(json, name);
    if (!value.isObject())
        refuseMember(name, "an object");
    return value;
}

const Json::Value &arrayIn(const Json::Value &json, const char *name)
{
    const auto &value = memberOf(json, name);
    if (!value.isArray())
        refuseMember(name, "an array");
    return value;
}

std::string textIn(const Json::Value &json, const char *name)
{
    const auto &value = memberOf(json, name);
    if (!value.isString())
        refuseMember(name, "text");
    return value.asString();
}

std::int64_t countIn(const Json::Value &json, const char *name)
{
    const auto &value = memberOf(json, name);
    if (!value.isInt64() || value.asInt64() < 0)
        refuseMember(name, "a whole number of zero or above");
    return value.asInt64();
}

int smallCountIn(const Json::Value &json, const char *name)
{
    const auto value = countIn(json, name);
    if (value > std::numeric_limits<int>::max())
        refuseMember(name, "below 2^31");
    return static_cast<int>(value);
}

bool flagIn(const Json::Value &json, const char *name)
{
    const auto &value = memberOf(json, name);
    if (!value.isBool())
        refuseMember(name, "true or false");
    return value.asBool();
}

} // namespace zinniabarrow::request
