// JSON text that remembers its lines, and the problems found in it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

namespace zinniabarrow::config {

// One thing that is wrong in an operator's file.
struct problem
{
    std::string file;    // name of the file; empty: the folder as a whole
    int line = 0;        // from 1; 0: no line can be named
    std::string pointer; // JSON pointer of the member, "" for the whole text
    std::string found;   // what the file says
    std::string allowed; // what it may say
    bool operator==(const problem &) const = default;
};

// "file:line: pointer: found …, allowed: …"
std::string toText(const problem &problem);
Json::Value toJson(const problem &problem);
problem problemFromJson(const Json::Value &value);

// A parsed text with the line of each of its values.
class json_text
{
public:
    // Parses strictly; throws `syntax_error` on text that is not one JSON value.
    json_text(std::string file, std::string text);

    const std::string &file() const { return m_file; }
    const Json::Value &root() const { return m_root; }
    int lineOf(const Json::Value &value) const; // `value` must lie inside `root()`

private:
    std::string m_file;
    std::vector<std::ptrdiff_t> m_lineStarts; // offset of the first byte of each line
    Json::Value m_root;
};

// The text is no JSON: half-written, duplicate keys, or a slip.
struct syntax_error
{
    problem detail;
};

// The pointer of a member or an element inside `parent` (RFC 6901).
std::string childPointer(const std::string &parent, std::string_view name);

// One value on one line; numbers in the shortest form that reads back the same.
std::string valueText(const Json::Value &value);

// One value on one line, cut to a length that fits a message.
std::string shortText(const Json::Value &value);

} // namespace zinniabarrow::config
