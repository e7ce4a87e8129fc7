// Checks JSON texts against a JSON schema. For each problem the result has the line, what was found
// and what is allowed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "config/json_text.h"

namespace zinniabarrow::config {

// File and line of a value.
struct text_location
{
    std::string file;
    int line = 0; // from 1; 0: unknown
};

// Returns the location of the value at `pointer`. For a missing member it is called with the
// pointer of that member and the value of its parent.
using location_finder =
        std::function<text_location(const std::string &pointer, const Json::Value &value)>;

// A compiled JSON schema. In addition to the keywords of JSON Schema it supports the formats "name"
// (see `isName`), "ip" (an IP address) and "ip:port" (see `parseEndpoint`).
class json_schema
{
public:
    explicit json_schema(std::string_view schemaText);
    explicit json_schema(Json::Value schema);
    ~json_schema();
    json_schema(const json_schema &) = delete;
    json_schema &operator=(const json_schema &) = delete;

    const Json::Value &definition() const { return m_definition; }
    // The problems of the text; empty if it is valid.
    std::vector<problem> check(const json_text &text) const;
    std::vector<problem> check(const Json::Value &root, const location_finder &locationOf) const;

private:
    struct compiled;
    Json::Value m_definition;
    std::unique_ptr<compiled> m_compiled;
};

// An object with the "default" values of the schema; members without a default are left out.
Json::Value defaultsOf(const Json::Value &definition);

// Converts a schema to that of a merge patch (RFC 7396): any member may be missing, and null
// deletes a member.
Json::Value patchSchemaOf(Json::Value definition);

// Describes in one line what a value may be, such as "integer from 1 to 65535".
std::string describeAllowed(const Json::Value &definition);

// A Markdown table for the documentation, with a row for each scalar or array member and the
// columns key, allowed, default and meaning.
std::string schemaTable(const Json::Value &definition);

// True for 1 to 63 ASCII letters, digits, '.', '_' and '-' that start with a letter or digit.
bool isName(std::string_view text);

} // namespace zinniabarrow::config
