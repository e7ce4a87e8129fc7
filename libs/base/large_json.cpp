#include "base/large_json.h"

#include <cmath>

#include "base/errors.h"

namespace zinniabarrow::large_json {

namespace {

// The iterative parser: a deeply nested text must not overflow the stack.
constexpr unsigned ParseFlags = rapidjson::kParseIterativeFlag;

[[noreturn]] void throwInvalidMember(const char *name, const char *needed)
{
    throw error(error_kind::BadRequest,
                std::string("member '") + name + "': " + needed + " is needed");
}

const value &member(const value &object, const char *name)
{
    const auto *found = find(object, name);
    if (found == nullptr)
        throwInvalidMember(name, "a value");
    return *found;
}

std::string textAt(const value &element, const char *name)
{
    if (!element.IsString())
        throwInvalidMember(name, "a string");
    return {element.GetString(), element.GetStringLength()};
}

std::int64_t numberAt(const value &element, const char *name)
{
    if (!element.IsInt64())
        throwInvalidMember(name, "an integer");
    return element.GetInt64();
}

int countAt(const value &element, const char *name)
{
    if (!element.IsInt() || element.GetInt() < 0)
        throwInvalidMember(name, "an integer of zero or above, below 2^31");
    return element.GetInt();
}

std::int64_t within(std::int64_t number, const char *name, std::int64_t most)
{
    if (number < 0 || number > most)
        throwInvalidMember(name, "an integer in its range");
    return number;
}

constexpr const char *ArrayElementName = "(array element)";

} // namespace

rapidjson::Document parseObject(std::string_view text)
{
    rapidjson::Document document;
    document.Parse<ParseFlags>(text.data(), text.size());
    if (document.HasParseError() || !document.IsObject())
        throw error(error_kind::BadRequest, "JSON: an object is needed");
    return document;
}

const value *find(const value &object, const char *name)
{
    if (!object.IsObject())
        throwInvalidMember(name, "a surrounding object");
    const auto found = object.FindMember(name);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

std::string text(const value &object, const char *name)
{
    return textAt(member(object, name), name);
}

std::int64_t number(const value &object, const char *name)
{
    return numberAt(member(object, name), name);
}

const value &array(const value &object, const char *name)
{
    const auto &found = member(object, name);
    if (!found.IsArray())
        throwInvalidMember(name, "an array");
    return found;
}

std::string textOrEmpty(const value &object, const char *name)
{
    const auto *found = find(object, name);
    return found == nullptr ? std::string() : textAt(*found, name);
}

std::int64_t numberOr0(const value &object, const char *name)
{
    const auto *found = find(object, name);
    return found == nullptr ? 0 : numberAt(*found, name);
}

int countOr0(const value &object, const char *name)
{
    const auto *found = find(object, name);
    return found == nullptr ? 0 : countAt(*found, name);
}

std::int64_t numberUpTo(const value &object, const char *name, std::int64_t most)
{
    return within(number(object, name), name, most);
}

std::int64_t numberOr0UpTo(const value &object, const char *name, std::int64_t most)
{
    return within(numberOr0(object, name), name, most);
}

double realOr(const value &object, const char *name, double absent)
{
    const auto *found = find(object, name);
    if (found == nullptr)
        return absent;
    if (!found->IsNumber())
        throwInvalidMember(name, "a number");
    return found->GetDouble();
}

std::string asText(const value &element)
{
    return textAt(element, ArrayElementName);
}

std::int64_t asNumber(const value &element)
{
    return numberAt(element, ArrayElementName);
}

int asCount(const value &element)
{
    return countAt(element, ArrayElementName);
}

std::int64_t asNumberUpTo(const value &element, std::int64_t most)
{
    return within(asNumber(element), ArrayElementName, most);
}

double asRealWithin(const value &element, double most)
{
    if (!element.IsNumber())
        throwInvalidMember(ArrayElementName, "a number");
    const auto real = element.GetDouble();
    if (!(std::abs(real) <= most)) // also if it is not a number
        throwInvalidMember(ArrayElementName, "a smaller number");
    return real;
}

} // namespace zinniabarrow::large_json
