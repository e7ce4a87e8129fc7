#include "app/job_settings.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow {

namespace {

template <typename Read>
auto checked(const std::string &file, const std::string &text, Read readSettings)
{
    try {
        return readSettings(parseJsonObject(text));
    } catch (const error &problem) {
        throw error(error_kind::BadSettings, file + ": " + problem.what());
    }
}

std::string needed(const Json::Value &object, const char *name)
{
    auto text = stringMember(object, name);
    if (text.empty())
        throw error(error_kind::BadSettings, std::string("member '") + name + "' is empty");
    return text;
}

std::string addressMember(const Json::Value &object, const char *name)
{
    return toText(parseAddress(needed(object, name)));
}

} // namespace

job_entry_settings jobEntrySettingsFrom(const std::string &file, const std::string &text)
{
    return checked(file, text, [](const Json::Value &value) {
        job_entry_settings settings;
        settings.id = needed(value, "id");
        settings.zone = needed(value, "zone");
        settings.callers = parseAddress(needed(value, "callers"));
        settings.ready = parseAddress(needed(value, "ready"));
        settings.internal = parseAddress(needed(value, "internal"));
        settings.store = addressMember(value, "store");
        return settings;
    });
}

job_agent_settings jobAgentSettingsFrom(const std::string &file, const std::string &text)
{
    return checked(file, text, [](const Json::Value &value) {
        job_agent_settings settings;
        settings.id = needed(value, "id");
        settings.zone = needed(value, "zone");
        settings.workers = parseAddress(needed(value, "workers"));
        settings.internal = parseAddress(needed(value, "internal"));
        settings.worker = addressMember(value, "worker");
        settings.service = needed(value, "service");
        settings.stopWithin = milliseconds(integerMember(value, "stop_within_ms"));
        settings.store = addressMember(value, "store");
        return settings;
    });
}

} // namespace zinniabarrow
