#include "app/job_settings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <fmt/core.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow {

namespace {

// Adds the file's name to errors.
template <typename Read>
auto parseSettings(const std::string &file, const std::string &text, Read readSettings)
{
    try {
        return readSettings(parseJsonObject(text));
    } catch (const error &problem) {
        throw error(error_kind::BadSettings, file + ": " + problem.what());
    }
}

std::string requiredString(const Json::Value &object, const char *name)
{
    auto text = stringMember(object, name);
    if (text.empty())
        throw error(error_kind::BadSettings, std::string("member '") + name + "' is empty");
    return text;
}

// The processor time of an instance, from the share of each core and the number of cores; both are
// optional and count as 1 when absent.
std::int64_t millicoresFrom(const Json::Value &object)
{
    const auto factor = [&object](const char *name) {
        return object.isMember(name) ? numberMember(object, name) : 1.0;
    };
    const auto millicores = std::llround(1000 * factor("processor_share") * factor("cores"));
    if (millicores <= 0)
        throw error(error_kind::BadSettings,
                    "members 'processor_share' and 'cores' must be above 0");
    return millicores;
}

// At least the memory of one request of the largest size, so that a single one is never refused.
std::size_t requestMemoryFrom(const Json::Value &object)
{
    constexpr std::int64_t Least = 1024 * 1024;
    constexpr std::int64_t Most = 1024 * Least;
    constexpr const char *Name = "request_memory_bytes";
    if (!object.isMember(Name))
        return job_entry_settings{}.requestMemoryBytes;
    const auto bytes = integerMember(object, Name);
    if (bytes < Least || bytes > Most)
        throw error(error_kind::BadSettings,
                    fmt::format("member '{}' must be from {} to {}", Name, Least, Most));
    return static_cast<std::size_t>(bytes);
}

std::string addressMember(const Json::Value &object, const char *name)
{
    return toText(parseAddress(requiredString(object, name)));
}

// The address that other processes use. Behind an address translation it is not the one that the
// process listens on.
socket_address advertisedAddressIn(const Json::Value &object)
{
    const bool isTold = object.isMember("internal_advertise");
    return parseAddress(requiredString(object, isTold ? "internal_advertise" : "internal"));
}

milliseconds longestHoldIn(const Json::Value &object)
{
    constexpr const char *Name = "hold_at_most_ms";
    if (!object.isMember(Name))
        return jobs::MaxHoldDuration;
    const milliseconds longestHold(integerMember(object, Name));
    if (longestHold <= milliseconds(0))
        throw error(error_kind::BadSettings, std::string("member '") + Name + "' must be above 0");
    return longestHold;
}

// A longer one would leave no time for holds, which end that much before the lease.
milliseconds longestSuspensionIn(const Json::Value &object)
{
    constexpr milliseconds Most{5000};
    constexpr const char *Name = "suspended_at_most_ms";
    if (!object.isMember(Name))
        return jobs::MaxSuspension;
    const milliseconds longestSuspension(integerMember(object, Name));
    if (longestSuspension < milliseconds(0) || longestSuspension > Most)
        throw error(error_kind::BadSettings,
                    fmt::format("member '{}' must be from 0 to {}", Name, Most.count()));
    return longestSuspension;
}

using jobs::scheduling_features;

constexpr std::array<std::pair<const char *, bool scheduling_features::*>, 6> FeatureMembers{{
        {"learned_run_times", &scheduling_features::learnsRunTimes},
        {"weighed_waits", &scheduling_features::weighsWaits},
        {"shared_slack", &scheduling_features::sharesSlack},
        {"speculative_copies", &scheduling_features::copiesSlowTasks},
        {"weighed_room", &scheduling_features::weighsRoom},
        {"shared_failures", &scheduling_features::sharesFailures},
}};

// Unlike the other members, these are not filled in by the platform: one that is unknown is a
// mistake, and would otherwise leave a feature off without a word.
scheduling_features schedulingFrom(const Json::Value &object)
{
    scheduling_features features;
    if (!object.isMember("scheduling"))
        return features;
    const auto &members = object["scheduling"];
    if (!members.isObject())
        throw error(error_kind::BadSettings, "member 'scheduling' is not an object");
    for (const auto &name : members.getMemberNames()) {
        const auto known =
                std::find_if(FeatureMembers.begin(), FeatureMembers.end(),
                             [&name](const auto &feature) { return name == feature.first; });
        if (known == FeatureMembers.end())
            throw error(error_kind::BadSettings, "member 'scheduling." + name + "' is unknown");
        if (!members[name].isBool())
            throw error(error_kind::BadSettings,
                        "member 'scheduling." + name + "' is not true or false");
        features.*known->second = members[name].asBool();
    }
    return features;
}

} // namespace

job_entry_settings jobEntrySettingsFrom(const std::string &file, const std::string &text)
{
    return parseSettings(file, text, [](const Json::Value &value) {
        job_entry_settings settings;
        settings.id = requiredString(value, "id");
        settings.zone = requiredString(value, "zone");
        settings.callersAddress = parseAddress(requiredString(value, "callers"));
        settings.readinessAddress = parseAddress(requiredString(value, "ready"));
        settings.internalAddress = parseAddress(requiredString(value, "internal"));
        settings.advertisedAddress = advertisedAddressIn(value);
        settings.storeAddress = addressMember(value, "store");
        settings.millicores = millicoresFrom(value);
        settings.requestMemoryBytes = requestMemoryFrom(value);
        settings.longestSuspension = longestSuspensionIn(value);
        settings.scheduling = schedulingFrom(value);
        return settings;
    });
}

job_agent_settings jobAgentSettingsFrom(const std::string &file, const std::string &text)
{
    return parseSettings(file, text, [](const Json::Value &value) {
        job_agent_settings settings;
        settings.id = requiredString(value, "id");
        settings.zone = requiredString(value, "zone");
        settings.announcementsAddress = parseAddress(requiredString(value, "workers"));
        settings.internalAddress = parseAddress(requiredString(value, "internal"));
        settings.advertisedAddress = advertisedAddressIn(value);
        settings.workerAddress = addressMember(value, "worker");
        settings.service = requiredString(value, "service");
        settings.stopTimeout = milliseconds(integerMember(value, "stop_within_ms"));
        settings.longestHold = longestHoldIn(value);
        settings.longestSuspension = longestSuspensionIn(value);
        settings.storeAddress = addressMember(value, "store");
        return settings;
    });
}

} // namespace zinniabarrow
