#include "base/json.h"

#include <algorithm>
#include <memory>

#include "base/errors.h"

namespace zinniabarrow {

Json::Value parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = 64; // a deeply nested text must not overflow the stack
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem))
            throw error(error_kind::BadRequest, "JSON: " + problem);
    } catch (const Json::Exception &exception) {
        throw error(error_kind::BadRequest, std::string("JSON: ") + exception.what());
    }
    return value;
}

Json::Value parseJsonObject(std::string_view text)
{
    auto value = parseJson(text);
    if (!value.isObject())
        throw error(error_kind::BadRequest, "an object is needed");
    return value;
}

namespace {

constexpr std::size_t MaxNumberLength = 18; // fits 64 bits
constexpr int MaxDepth = 32;

std::size_t endOfString(std::string_view text, std::size_t begin)
{
    auto at = begin + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return std::min(at + 1, text.size());
}

std::size_t endOfNumber(std::string_view text, std::size_t begin)
{
    return std::min(text.find_first_not_of("+-.0123456789eE", begin), text.size());
}

// The end of the list or object that begins at `begin`.
std::size_t endOfNested(std::string_view text, std::size_t begin)
{
    int depth = 0;
    for (auto at = begin; at < text.size(); ++at) {
        if (text[at] == '"') {
            at = endOfString(text, at) - 1;
            continue;
        }
        depth += text[at] == '[' || text[at] == '{' ? 1 : 0;
        depth -= text[at] == ']' || text[at] == '}' ? 1 : 0;
        if (depth == 0)
            return at + 1;
    }
    return text.size();
}

bool isOddNumber(std::string_view number)
{
    return number.size() > MaxNumberLength || number.find_first_of("eE") != std::string_view::npos;
}

} // namespace

std::string withoutOddValues(std::string_view text)
{
    constexpr std::string_view Null = "null";
    std::string result;
    int depth = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const char next = text[at];
        auto end = at + 1;
        bool isOdd = false;
        if (next == '"') {
            end = endOfString(text, at);
        } else if (next == '-' || (next >= '0' && next <= '9')) {
            end = endOfNumber(text, at);
            isOdd = isOddNumber(text.substr(at, end - at));
        } else if ((next == '[' || next == '{') && depth == MaxDepth) {
            end = endOfNested(text, at);
            isOdd = true;
        } else {
            depth += next == '[' || next == '{' ? 1 : 0;
            depth -= next == ']' || next == '}' ? 1 : 0;
        }
        result += isOdd ? Null : text.substr(at, end - at);
        at = end;
    }
    return result;
}

std::string compactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string compactUtf8Json(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::string prettyJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, value);
}

} // namespace zinniabarrow
