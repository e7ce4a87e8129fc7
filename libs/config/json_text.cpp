#include "config/json_text.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/errors.h"
#include "base/json.h"

namespace zinniabarrow::config {

namespace {

constexpr std::size_t MaxShownLength = 80; // bytes of a value in a message

// The parser reports the line only in the text of its error: "* Line 3, Column 5".
int lineInMessage(const std::string &message)
{
    constexpr std::string_view Mark = "Line ";
    const auto position = message.find(Mark);
    if (position == std::string::npos)
        return 1;
    return std::max(1, std::atoi(message.c_str() + position + Mark.size()));
}

std::string reasonInMessage(std::string message)
{
    std::replace(message.begin(), message.end(), '\n', ' ');
    const auto column = message.find("Column ");
    const auto reasonGap = message.find("  ", column == std::string::npos ? 0 : column);
    if (reasonGap != std::string::npos)
        message.erase(0, message.find_first_not_of(' ', reasonGap));
    while (!message.empty() && message.back() == ' ')
        message.pop_back();
    return message;
}

std::string textMember(const Json::Value &value, const char *name)
{
    if (!value.isObject() || !value[name].isString())
        throw error(error_kind::BadRequest, fmt::format("problem: member {} must be text", name));
    return value[name].asString();
}

} // namespace

std::string toText(const problem &problem)
{
    const auto file = problem.file.empty() ? std::string("folder") : problem.file;
    const auto pointer = problem.pointer.empty() ? std::string("/") : problem.pointer;
    return fmt::format("{}:{}: {}: found {}; allowed: {}", file, problem.line, pointer,
                       problem.found, problem.allowed);
}

Json::Value toJson(const problem &problem)
{
    Json::Value value(Json::objectValue);
    value["file"] = problem.file;
    value["line"] = problem.line;
    value["pointer"] = problem.pointer;
    value["found"] = problem.found;
    value["allowed"] = problem.allowed;
    return value;
}

problem problemFromJson(const Json::Value &value)
{
    problem result;
    result.file = textMember(value, "file");
    if (!value["line"].isInt())
        throw error(error_kind::BadRequest, "problem: member line must be an integer");
    result.line = value["line"].asInt();
    result.pointer = textMember(value, "pointer");
    result.found = textMember(value, "found");
    result.allowed = textMember(value, "allowed");
    return result;
}

json_text::json_text(std::string file, std::string text)
    : m_file(std::move(file))
    , m_lineStarts{0}
{
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        if (text[offset] == '\n')
            m_lineStarts.push_back(static_cast<std::ptrdiff_t>(offset) + 1);
    }
    try {
        m_root = parseJson(text);
    } catch (const error &syntaxError) {
        throw syntax_error{{m_file, lineInMessage(syntaxError.what()), "",
                            reasonInMessage(syntaxError.what()),
                            "one whole JSON object without comments or duplicate keys"}};
    }
}

int json_text::lineOf(const Json::Value &value) const
{
    const auto after =
            std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), value.getOffsetStart());
    return static_cast<int>(after - m_lineStarts.begin());
}

std::string childPointer(const std::string &parent, std::string_view name)
{
    std::string pointer = parent + '/';
    for (const char c : name) {
        if (c == '~')
            pointer += "~0";
        else if (c == '/')
            pointer += "~1";
        else
            pointer += c;
    }
    return pointer;
}

std::string valueText(const Json::Value &value)
{
    if (value.type() == Json::realValue)
        return fmt::format("{}", value.asDouble());
    return compactJson(value);
}

std::string shortText(const Json::Value &value)
{
    if (value.isObject())
        return fmt::format("an object of {} members", value.size());
    if (value.isArray())
        return fmt::format("an array of {} elements", value.size());
    auto text = valueText(value);
    if (text.size() > MaxShownLength)
        text = text.substr(0, MaxShownLength) + "…";
    return text;
}

} // namespace zinniabarrow::config
