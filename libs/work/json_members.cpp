#include "work/json_members.h"

#include "base/errors.h"

namespace zinniabarrow::work {

namespace {

[[noreturn]] void refuse(const char *name, const char *wanted)
{
    throw error(error_kind::BadRequest,
                "member \"" + std::string(name) + "\": needs " + std::string(wanted));
}

const Json::Value &member(const Json::Value &value, const char *name)
{
    if (!value.isObject())
        refuse(name, "an object around it");
    if (!value.isMember(name))
        refuse(name, "to be there");
    return value[name];
}

} // namespace

const Json::Value &objectMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isObject())
        refuse(name, "an object");
    return found;
}

const Json::Value &listMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isArray())
        refuse(name, "a list");
    return found;
}

std::string textMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isString())
        refuse(name, "a text");
    return found.asString();
}

std::string textMemberOr(const Json::Value &value, const char *name, const std::string &absent)
{
    if (value.isObject() && !value.isMember(name))
        return absent;
    return textMember(value, name);
}

std::uint64_t numberMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isUInt64())
        refuse(name, "a whole number, not below zero");
    return found.asUInt64();
}

std::uint32_t smallNumberMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isUInt())
        refuse(name, "a whole number of 32 bits, not below zero");
    return found.asUInt();
}

bool flagMember(const Json::Value &value, const char *name)
{
    const Json::Value &found = member(value, name);
    if (!found.isBool())
        refuse(name, "true or false");
    return found.asBool();
}

} // namespace zinniabarrow::work
