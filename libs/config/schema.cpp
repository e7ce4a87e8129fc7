// GCC 12 with sanitizers gives a false warning inside <regex>, which valijson includes.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "config/schema.h"

#include <algorithm>
#include <cctype>

#include <fmt/format.h>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/json.h"
#include "config/endpoint.h"

namespace zinniabarrow::config {

namespace {

constexpr std::size_t MaxNameLength = 63;

bool hasType(const Json::Value &value, const std::string &type)
{
    if (type == "object")
        return value.isObject();
    if (type == "array")
        return value.isArray();
    if (type == "string")
        return value.isString();
    if (type == "boolean")
        return value.isBool();
    if (type == "null")
        return value.isNull();
    if (type == "integer")
        return value.isInt64() && value.type() != Json::realValue;
    return value.isNumeric() && !value.isBool();
}

bool hasAllowedType(const Json::Value &value, const Json::Value &types)
{
    if (types.isNull())
        return true;
    if (types.isString())
        return hasType(value, types.asString());
    return std::any_of(types.begin(), types.end(),
                       [&](const Json::Value &type) { return hasType(value, type.asString()); });
}

bool hasFormat(const std::string &text, const std::string &format)
{
    if (format == "name")
        return isName(text);
    if (format == "ip")
        return isIpAddress(text);
    return parseEndpoint(text).has_value();
}

bool isInRange(const Json::Value &value, const Json::Value &definition)
{
    if (!value.isNumeric())
        return true;
    const double number = value.asDouble();
    if (definition.isMember("minimum") && number < definition["minimum"].asDouble())
        return false;
    return !definition.isMember("maximum") || number <= definition["maximum"].asDouble();
}

bool isAllowedText(const Json::Value &value, const Json::Value &definition)
{
    if (!value.isString())
        return true;
    const auto text = value.asString();
    if (definition.isMember("minLength") && text.size() < definition["minLength"].asUInt())
        return false;
    if (definition.isMember("maxLength") && text.size() > definition["maxLength"].asUInt())
        return false;
    return !definition.isMember("format") || hasFormat(text, definition["format"].asString());
}

bool isEnumerated(const Json::Value &value, const Json::Value &definition)
{
    const auto &names = definition["enum"];
    return names.isNull() || std::find(names.begin(), names.end(), value) != names.end();
}

bool isAllowedSize(const Json::Value &value, const Json::Value &definition)
{
    if (value.isArray() && definition.isMember("minItems"))
        return value.size() >= definition["minItems"].asUInt();
    return true;
}

bool isValueAllowed(const Json::Value &value, const Json::Value &definition)
{
    return hasAllowedType(value, definition["type"]) && isInRange(value, definition)
           && isAllowedText(value, definition) && isEnumerated(value, definition)
           && isAllowedSize(value, definition);
}

std::string joined(const std::vector<std::string> &parts)
{
    return fmt::format("{}", fmt::join(parts, ", "));
}

// Checks a value against a schema recursively and reports each problem with its location.
class schema_checker
{
public:
    explicit schema_checker(const location_finder &locationOf)
        : m_locationOf(locationOf)
    { }

    std::vector<problem> takeProblems() { return std::move(m_problems); }

    void visit(const Json::Value &value, const Json::Value &definition, const std::string &pointer)
    {
        if (!isValueAllowed(value, definition)) {
            report(value, pointer, shortText(value), describeAllowed(definition));
            return;
        }
        if (value.isObject())
            visitObject(value, definition, pointer);
        if (value.isArray())
            visitArray(value, definition, pointer);
    }

private:
    void visitObject(const Json::Value &object, const Json::Value &definition,
                     const std::string &pointer)
    {
        for (const auto &name : definition["required"]) {
            if (!object.isMember(name.asString()))
                report(object, childPointer(pointer, name.asString()), "nothing",
                       describeAllowed(definition["properties"][name.asString()]));
        }
        for (const auto &name : object.getMemberNames())
            visitMember(object[name], name, definition, pointer);
    }

    void visitMember(const Json::Value &member, const std::string &name,
                     const Json::Value &definition, const std::string &pointer)
    {
        const auto &properties = definition["properties"];
        const auto &otherMembers = definition["additionalProperties"];
        const auto memberPointer = childPointer(pointer, name);
        if (properties.isMember(name)) {
            visit(member, properties[name], memberPointer);
        } else if (!otherMembers.isObject()) {
            if (otherMembers.isBool() && !otherMembers.asBool())
                report(member, memberPointer, "unknown key " + shortText(name),
                       joined(properties.getMemberNames()));
        } else if (!isName(name)) {
            report(member, memberPointer, "the name " + shortText(name),
                   "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit");
        } else {
            visit(member, otherMembers, memberPointer);
        }
    }

    void visitArray(const Json::Value &array, const Json::Value &definition,
                    const std::string &pointer)
    {
        for (Json::ArrayIndex index = 0; index < array.size(); ++index)
            visit(array[index], definition["items"], childPointer(pointer, std::to_string(index)));
    }

    void report(const Json::Value &value, const std::string &pointer, const std::string &found,
                const std::string &allowed)
    {
        const auto location = m_locationOf(pointer, value);
        m_problems.push_back({location.file, location.line, pointer, found, allowed});
    }

    const location_finder &m_locationOf;
    std::vector<problem> m_problems;
};

bool isRequired(const Json::Value &definition, const std::string &name)
{
    const auto &names = definition["required"];
    return std::find(names.begin(), names.end(), Json::Value(name)) != names.end();
}

void appendRows(std::string &table, const std::string &prefix, const Json::Value &definition);

void appendMemberRow(std::string &table, const std::string &key, const Json::Value &member,
                     bool isRequiredMember)
{
    if (member["type"] == "object") {
        appendRows(table, key + '.', member);
        return;
    }
    std::string defaultText = isRequiredMember ? "required" : "none";
    if (member.isMember("default"))
        defaultText = '`' + valueText(member["default"]) + '`';
    table += fmt::format("| `{}` | {} | {} | {} |\n", key, describeAllowed(member), defaultText,
                         member["description"].asString());
}

void appendRows(std::string &table, const std::string &prefix, const Json::Value &definition)
{
    if (definition["additionalProperties"].isObject())
        appendMemberRow(table, prefix + "NAME", definition["additionalProperties"], true);
    const auto &properties = definition["properties"];
    for (const auto &name : properties.getMemberNames())
        appendMemberRow(table, prefix + name, properties[name], isRequired(definition, name));
}

std::string range(const Json::Value &definition)
{
    std::string text;
    if (definition.isMember("minimum"))
        text += " from " + valueText(definition["minimum"]);
    if (definition.isMember("maximum"))
        text += " to " + valueText(definition["maximum"]);
    return text;
}

bool isNullable(const Json::Value &definition)
{
    return definition["type"].isArray();
}

// The type in a definition is a name, or an array of a name and "null".
std::string typeName(const Json::Value &types)
{
    return types.isArray() ? types[0].asString() : types.asString();
}

std::string describeAllowedNonNull(const Json::Value &definition)
{
    const auto type = typeName(definition["type"]);
    if (definition.isMember("enum")) {
        std::vector<std::string> names;
        for (const auto &name : definition["enum"]) {
            if (!name.isNull())
                names.push_back(valueText(name));
        }
        return "one of " + joined(names);
    }
    const auto format = definition["format"].asString();
    if (format == "name")
        return "a name: 1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit";
    if (format == "ip")
        return "an IP address";
    if (format == "ip:port")
        return "an IP address and port, as 10.0.0.1:8080 or [::1]:8080";
    if (type == "array")
        return fmt::format("an array of {} or more elements, each {}",
                           definition["minItems"].asUInt(), describeAllowed(definition["items"]));
    if (type == "object" && definition.isMember("properties"))
        return "an object of " + joined(definition["properties"].getMemberNames());
    return type + range(definition);
}

} // namespace

struct json_schema::compiled
{
    valijson::Schema schema;
};

json_schema::json_schema(std::string_view schemaText)
    : json_schema(parseJson(schemaText))
{ }

json_schema::json_schema(Json::Value schema)
    : m_definition(std::move(schema))
    , m_compiled(std::make_unique<compiled>())
{
    valijson::SchemaParser parser;
    const valijson::adapters::JsonCppAdapter adapter(m_definition);
    parser.populateSchema(adapter, m_compiled->schema);
}

json_schema::~json_schema() = default;

std::vector<problem> json_schema::check(const json_text &text) const
{
    return check(text.root(), [&](const std::string &, const Json::Value &value) {
        return text_location{text.file(), text.lineOf(value)};
    });
}

std::vector<problem> json_schema::check(const Json::Value &root,
                                        const location_finder &locationOf) const
{
    schema_checker checker(locationOf);
    checker.visit(root, m_definition, "");
    auto problems = checker.takeProblems();
    if (!problems.empty())
        return problems;
    // schema_checker supports only some keywords of JSON Schema; valijson checks all of them. A
    // problem that only valijson finds is reported with the line of the whole text rather than
    // accepted.
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::JsonCppAdapter target(root);
    if (!validator.validate(m_compiled->schema, target, &results)) {
        const auto location = locationOf("", root);
        for (const auto &fault : results) {
            const auto pointer = fmt::format("{}", fmt::join(fault.context, ""));
            problems.push_back({location.file, location.line, pointer,
                                "a value that violates the schema", fault.description});
        }
    }
    return problems;
}

Json::Value defaultsOf(const Json::Value &definition)
{
    if (definition.isMember("default"))
        return definition["default"];
    Json::Value values(Json::objectValue);
    const auto &properties = definition["properties"];
    for (const auto &name : properties.getMemberNames()) {
        const auto &member = properties[name];
        const bool isObject = member.isMember("properties");
        if (!member.isMember("default") && !isObject)
            continue;
        auto value = defaultsOf(member);
        if (!isObject || !value.empty())
            values[name] = std::move(value);
    }
    return values;
}

Json::Value patchSchemaOf(Json::Value definition)
{
    definition.removeMember("required");
    for (const auto &name : definition["properties"].getMemberNames()) {
        auto member = patchSchemaOf(definition["properties"][name]);
        definition["properties"][name] = std::move(member);
    }
    if (definition["properties"].empty())
        definition.removeMember("properties");
    if (definition["additionalProperties"].isObject())
        definition["additionalProperties"] = patchSchemaOf(definition["additionalProperties"]);
    if (definition["additionalProperties"].isNull())
        definition.removeMember("additionalProperties");
    Json::Value types(Json::arrayValue);
    types.append(definition["type"]);
    types.append("null");
    definition["type"] = std::move(types);
    if (definition.isMember("enum"))
        definition["enum"].append(Json::Value());
    return definition;
}

std::string describeAllowed(const Json::Value &definition)
{
    const auto text = describeAllowedNonNull(definition);
    return isNullable(definition) ? text + ", or null to delete" : text;
}

std::string schemaTable(const Json::Value &definition)
{
    std::string table = "| key | allowed | default | meaning |\n|---|---|---|---|\n";
    appendRows(table, "", definition);
    return table;
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameLength)
        return false;
    const auto isLetterOrDigit = [](unsigned char c) { return c < 0x80 && std::isalnum(c) != 0; };
    if (!isLetterOrDigit(static_cast<unsigned char>(text.front())))
        return false;
    return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
    });
}

} // namespace zinniabarrow::config
