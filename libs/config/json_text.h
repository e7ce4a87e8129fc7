// Parsed JSON text with line numbers, and the problems that are found in it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

namespace zinniabarrow::config {

// Something wrong in a settings file or in a file of the folder: its location, what was found and
// what is allowed.
struct problem
{
    std::string file;    // name of the file; empty: the folder as a whole
    int line = 0;        // from 1; 0: the problem has no line
    std::string pointer; // JSON pointer (RFC 6901) of the value; empty: the whole text
    std::string found;   // what the file contains
    std::string allowed; // what it may contain
    bool operator==(const problem &) const = default;
};

// "file:line: pointer: found …; allowed: …"
std::string toText(const problem &problem);
Json::Value toJson(const problem &problem);
problem problemFromJson(const Json::Value &value); // throws BadRequest

// A parsed text that knows the line of each of its values.
class json_text
{
public:
    // Parses strict JSON. Throws `syntax_error` if `text` is not exactly one JSON value.
    json_text(std::string file, std::string text);

    const std::string &file() const { return m_file; }
    const Json::Value &root() const { return m_root; }
    int lineOf(const Json::Value &value) const; // from 1; `value` must be part of `root()`

private:
    std::string m_file;
    std::vector<std::ptrdiff_t> m_lineStarts; // offset of the first byte of each line
    Json::Value m_root;
};

// Thrown for text that is not valid JSON, such as a file that was only half written, or that has
// duplicate keys.
struct syntax_error
{
    problem detail;
};

// The JSON pointer (RFC 6901) of the member or element `name` of the value at `parent`.
std::string childPointer(const std::string &parent, std::string_view name);

// The value as JSON on one line. Numbers have the shortest form that parses to the same value.
std::string valueText(const Json::Value &value);

// A description for messages: the number of members or elements, or the value, cut after 80 bytes.
std::string shortText(const Json::Value &value);

} // namespace zinniabarrow::config
