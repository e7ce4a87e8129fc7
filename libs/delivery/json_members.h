// Reading members of JSON objects, for the messages of this library.
#pragma once

#include <string>

#include <fmt/core.h>
#include <json/json.h>

#include "base/errors.h"

namespace zinniabarrow::delivery {

// The member `name` of `value`; throws error BadRequest naming it when absent or of another type.
inline const Json::Value &jsonMember(const Json::Value &value, const char *name,
                                     Json::ValueType type)
{
    if (!value.isObject() || !value.isMember(name) || !value[name].isConvertibleTo(type))
        throw error(error_kind::BadRequest, fmt::format("bad member \"{}\"", name));
    return value[name];
}

inline std::string jsonText(const Json::Value &value, const char *name)
{
    const auto &member = jsonMember(value, name, Json::stringValue);
    if (!member.isString())
        throw error(error_kind::BadRequest, fmt::format("bad member \"{}\"", name));
    return member.asString();
}

inline std::uint64_t jsonUnsigned(const Json::Value &value, const char *name)
{
    return jsonMember(value, name, Json::uintValue).isUInt64()
                   ? value[name].asUInt64()
                   : throw error(error_kind::BadRequest, fmt::format("bad member \"{}\"", name));
}

inline bool jsonBool(const Json::Value &value, const char *name)
{
    if (!jsonMember(value, name, Json::booleanValue).isBool())
        throw error(error_kind::BadRequest, fmt::format("bad member \"{}\"", name));
    return value[name].asBool();
}

} // namespace zinniabarrow::delivery
