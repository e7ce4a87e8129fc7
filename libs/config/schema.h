// JSON schemas: the verdict on a text, and for each fault its line, what was found, what is
// allowed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "config/json_text.h"

namespace zinniabarrow::config {

// Where the value at `pointer` was written. A missing member is asked for with its own pointer and
// the value of its parent.
struct text_location
{
    std::string file;
    int line = 0;
};
using location_finder =
        std::function<text_location(const std::string &pointer, const Json::Value &value)>;

// A compiled schema. Beside JSON Schema's own words it knows the formats "name" (letters, digits,
// '.', '_' and '-'), "ip" and "ip:port".
class json_schema
{
public:
    explicit json_schema(std::string_view schemaText);
    explicit json_schema(Json::Value schema);
    ~json_schema();
    json_schema(const json_schema &) = delete;
    json_schema &operator=(const json_schema &) = delete;

    const Json::Value &definition() const { return m_definition; }
    std::vector<problem> check(const json_text &text) const;
    std::vector<problem> check(const Json::Value &root, const location_finder &locationOf) const;

private:
    struct compiled;
    Json::Value m_definition;
    std::unique_ptr<compiled> m_compiled;
};

// The values that the schema's "default" members give, as one object.
Json::Value defaultsOf(const Json::Value &definition);

// The definition for a text that is merged with others: members may be missing, and null deletes.
Json::Value patchSchemaOf(Json::Value definition);

// One line on what a value may be: "an integer from 1 to 65535".
std::string describeAllowed(const Json::Value &definition);

// A Markdown table with a row for each scalar or array below: key, allowed, default, meaning.
std::string schemaTable(const Json::Value &definition);

// True for 1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit.
bool isName(std::string_view text);

} // namespace zinniabarrow::config
