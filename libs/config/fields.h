// Converts plain structs to JSON (`membersToJson`) and back (`readMembers`). The file that uses
// them defines a function template `describe(archive, object)` for each struct, which calls
// `archive(name, member)` once for each member; the same template serves reading and writing. For
// an enum it defines `nameOf(value)` and `fromName(name, value)`. All of these are found by
// argument-dependent lookup, so they must be in the namespace of the type.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <json/json.h>

#include "base/errors.h"
#include "base/names.h"
#include "base/time.h"
#include "config/endpoint.h"

namespace zinniabarrow::config {

// The enumerator with this name; throws BadRequest if the table has none.
template <typename Enum, std::size_t Size>
Enum enumFromName(const name_table<Enum, Size> &table, const std::string &name)
{
    const auto value = valueOf(table, name);
    if (!value)
        throw error(error_kind::BadRequest, "unknown name " + name);
    return *value;
}

// Reads the members of one JSON object. A member that is missing in the JSON keeps its value; one
// of the wrong type throws BadRequest with the name of the member.
class field_reader
{
public:
    explicit field_reader(const Json::Value &object)
        : m_object(object)
    {
        if (!object.isObject())
            throw error(error_kind::BadRequest, "expected an object");
    }

    template <typename T>
    void operator()(const char *name, T &member)
    {
        const auto *value = m_object.find(name, name + std::char_traits<char>::length(name));
        if (!value)
            return;
        try {
            read(*value, member);
        } catch (const Json::Exception &conversionError) {
            throw error(error_kind::BadRequest,
                        std::string("member ") + name + ": " + conversionError.what());
        } catch (const error &inner) {
            throw error(error_kind::BadRequest,
                        std::string("member ") + name + ": " + inner.what());
        }
    }

    // A member that is missing in the JSON stays empty.
    template <typename T>
    void operator()(const char *name, std::optional<T> &member)
    {
        if (!m_object.isMember(name))
            return;
        (*this)(name, member.emplace());
    }

private:
    static void read(const Json::Value &value, std::string &member)
    {
        if (!value.isString())
            throw error(error_kind::BadRequest, "expected text");
        member = value.asString();
    }
    static void read(const Json::Value &value, bool &member)
    {
        if (!value.isBool())
            throw error(error_kind::BadRequest, "expected true or false");
        member = value.asBool();
    }
    static void read(const Json::Value &value, Json::Value &member) { member = value; }
    static void read(const Json::Value &value, double &member) { member = value.asDouble(); }
    static void read(const Json::Value &value, int &member) { member = value.asInt(); }
    static void read(const Json::Value &value, std::int64_t &member) { member = value.asInt64(); }
    static void read(const Json::Value &value, std::uint64_t &member) { member = value.asUInt64(); }
    static void read(const Json::Value &value, std::uint16_t &member)
    {
        if (!value.isUInt() || value.asUInt() > UINT16_MAX)
            throw error(error_kind::BadRequest, "expected a port");
        member = static_cast<std::uint16_t>(value.asUInt());
    }
    static void read(const Json::Value &value, milliseconds &member)
    {
        member = milliseconds(value.asInt64());
    }
    static void read(const Json::Value &value, endpoint &member)
    {
        const auto parsed = parseEndpoint(value.asString());
        if (!parsed)
            throw error(error_kind::BadRequest, "expected an IP address and port");
        member = *parsed;
    }
    template <typename T>
    static void read(const Json::Value &value, std::vector<T> &member)
    {
        if (!value.isArray())
            throw error(error_kind::BadRequest, "expected an array");
        member.clear();
        for (const auto &element : value)
            read(element, member.emplace_back());
    }
    template <typename T>
    static void read(const Json::Value &value, std::map<std::string, T> &member)
    {
        if (!value.isObject())
            throw error(error_kind::BadRequest, "expected an object");
        member.clear();
        for (const auto &name : value.getMemberNames())
            read(value[name], member[name]);
    }
    template <typename T>
    static void read(const Json::Value &value, T &member)
    {
        if constexpr (std::is_enum_v<T>) {
            fromName(value.asString(), member);
        } else {
            field_reader reader(value);
            describe(reader, member);
        }
    }

    const Json::Value &m_object;
};

// Writes all members into one JSON object.
class field_writer
{
public:
    template <typename T>
    void operator()(const char *name, const T &member)
    {
        m_object[name] = toValue(member);
    }

    // An empty optional is left out.
    template <typename T>
    void operator()(const char *name, const std::optional<T> &member)
    {
        if (member)
            m_object[name] = toValue(*member);
    }

    Json::Value takeObject() { return std::move(m_object); }

private:
    static Json::Value toValue(const std::string &member) { return member; }
    static Json::Value toValue(const Json::Value &member) { return member; }
    static Json::Value toValue(bool member) { return member; }
    static Json::Value toValue(double member) { return member; }
    static Json::Value toValue(int member) { return member; }
    static Json::Value toValue(std::uint16_t member) { return member; }
    static Json::Value toValue(std::int64_t member) { return Json::Int64(member); }
    static Json::Value toValue(std::uint64_t member) { return Json::UInt64(member); }
    static Json::Value toValue(milliseconds member) { return Json::Int64(member.count()); }
    static Json::Value toValue(const endpoint &member) { return toText(member); }
    template <typename T>
    static Json::Value toValue(const std::vector<T> &member)
    {
        Json::Value array(Json::arrayValue);
        for (const auto &element : member)
            array.append(toValue(element));
        return array;
    }
    template <typename T>
    static Json::Value toValue(const std::map<std::string, T> &member)
    {
        Json::Value object(Json::objectValue);
        for (const auto &[name, element] : member)
            object[name] = toValue(element);
        return object;
    }
    template <typename T>
    static Json::Value toValue(const T &member)
    {
        if constexpr (std::is_enum_v<T>) {
            return std::string(nameOf(member));
        } else {
            field_writer writer;
            // field_reader needs the mutable reference of `describe`; field_writer only reads.
            describe(writer, const_cast<T &>(member));
            return writer.takeObject();
        }
    }

    Json::Value m_object{Json::objectValue};
};

// Converts a struct that has a `describe` to a JSON object.
template <typename T>
Json::Value membersToJson(const T &object)
{
    field_writer writer;
    // field_reader needs the mutable reference of `describe`; field_writer only reads.
    describe(writer, const_cast<T &>(object));
    return writer.takeObject();
}

// Converts a JSON object to a struct that has a `describe`. Missing members keep their defaults.
// Throws BadRequest if `value` is no object or has a member of the wrong type.
template <typename T>
T readMembers(const Json::Value &value)
{
    T object;
    field_reader reader(value);
    describe(reader, object);
    return object;
}

} // namespace zinniabarrow::config
