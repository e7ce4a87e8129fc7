#include "base/json_member.h"

#include <cmath>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

[[noreturn]] void throwInvalidMember(const char *name, const char *needed)
{
    throw error(error_kind::BadRequest,
                std::string("member '") + name + "': " + needed + " is needed");
}

[[noreturn]] void throwOutOfRange(const char *name)
{
    throw error(error_kind::BadRequest, std::string("member '") + name + "': out of range");
}

const Json::Value &member(const Json::Value &object, const char *name, const char *needed)
{
    if (!object.isObject() || !object.isMember(name))
        throwInvalidMember(name, needed);
    return object[name];
}

} // namespace

std::string stringMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "a string");
    if (!value.isString())
        throwInvalidMember(name, "a string");
    return value.asString();
}

std::string stringMemberOr(const Json::Value &object, const char *name, const std::string &absent)
{
    if (object.isObject() && !object.isMember(name))
        return absent;
    return stringMember(object, name);
}

std::int64_t integerMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an integer");
    if (!value.isInt64())
        throwInvalidMember(name, "an integer");
    return value.asInt64();
}

std::int64_t integerMemberUpTo(const Json::Value &object, const char *name, std::int64_t most)
{
    const auto value = integerMember(object, name);
    if (value < 0 || value > most)
        throwOutOfRange(name);
    return value;
}

std::uint64_t countMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an integer of zero or above");
    if (!value.isUInt64())
        throwInvalidMember(name, "an integer of zero or above");
    return value.asUInt64();
}

std::uint32_t smallCountMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an integer of 32 bits, zero or above");
    if (!value.isUInt())
        throwInvalidMember(name, "an integer of 32 bits, zero or above");
    return value.asUInt();
}

int smallIntegerMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an integer of zero or above, below 2^31");
    if (!value.isInt() || value.asInt() < 0)
        throwInvalidMember(name, "an integer of zero or above, below 2^31");
    return value.asInt();
}

double numberMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "a number");
    if (!value.isNumeric())
        throwInvalidMember(name, "a number");
    return value.asDouble();
}

double numberMemberWithin(const Json::Value &object, const char *name, double most)
{
    const auto value = numberMember(object, name);
    if (!(std::abs(value) <= most)) // also if it is not a number
        throwOutOfRange(name);
    return value;
}

bool boolMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "true or false");
    if (!value.isBool())
        throwInvalidMember(name, "true or false");
    return value.asBool();
}

const Json::Value &arrayMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an array");
    if (!value.isArray())
        throwInvalidMember(name, "an array");
    return value;
}

const Json::Value &objectMember(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name, "an object");
    if (!value.isObject())
        throwInvalidMember(name, "an object");
    return value;
}

} // namespace zinniabarrow
