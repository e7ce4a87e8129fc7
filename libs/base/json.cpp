#include "base/json.h"

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
