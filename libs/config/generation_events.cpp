#include "config/generation_events.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "base/errors.h"
#include "base/names.h"
#include "config/fields.h"
#include "platform/platform_json.h"

namespace zinniabarrow::config {

namespace { } // namespace

// Called from config/fields.h through argument-dependent look-up, hence outside the unnamed
// namespace.
template <typename Archive>
void describe(Archive &archive, write_result &result)
{
    archive("outcome", result.outcome);
    archive("sequence", result.sequence);
    archive("conflict_key", result.conflictKey);
}

template <typename Archive>
void describe(Archive &archive, stored_object &object)
{
    archive("name", object.name);
    archive("content", object.content);
    archive("version", object.version);
}

template <typename Archive>
void describe(Archive &archive, table_row &row)
{
    archive("key", row.key);
    archive("value", row.value);
    archive("version", row.version);
}

template <typename Archive>
void describe(Archive &archive, row_condition &condition)
{
    archive("key", condition.key);
    archive("version", condition.version);
}

template <typename Archive>
void describe(Archive &archive, tick &event)
{
    std::ignore = archive;
    std::ignore = event;
}

template <typename Archive>
void describe(Archive &archive, scan_now &event)
{
    std::ignore = archive;
    std::ignore = event;
}

template <typename Archive>
void describe(Archive &archive, content_read &event)
{
    archive("request", event.request);
    archive("found", event.isFound);
    archive("content", event.content);
}

template <typename Archive>
void describe(Archive &archive, accepted_row_read &event)
{
    archive("request", event.request);
    archive("answered", event.isAnswered);
    archive("row", event.row);
}

template <typename Archive>
void describe(Archive &archive, folder_listed &event)
{
    archive("request", event.request);
    archive("answered", event.isAnswered);
    archive("objects", event.objects);
}

template <typename Archive>
void describe(Archive &archive, files_read &event)
{
    archive("request", event.request);
    archive("answered", event.isAnswered);
    archive("objects", event.objects);
}

template <typename Archive>
void describe(Archive &archive, content_written &event)
{
    archive("request", event.request);
    archive("result", event.result);
}

template <typename Archive>
void describe(Archive &archive, generation_committed &event)
{
    archive("request", event.request);
    archive("result", event.result);
}

template <typename Archive>
void describe(Archive &archive, read_accepted_row &action)
{
    archive("request", action.request);
}

template <typename Archive>
void describe(Archive &archive, list_folder &action)
{
    archive("request", action.request);
}

template <typename Archive>
void describe(Archive &archive, read_files &action)
{
    archive("request", action.request);
    archive("names", action.names);
}

template <typename Archive>
void describe(Archive &archive, write_content &action)
{
    archive("request", action.request);
    archive("name", action.name);
    archive("content", action.content);
}

template <typename Archive>
void describe(Archive &archive, remove_content &action)
{
    archive("name", action.name);
}

template <typename Archive>
void describe(Archive &archive, read_content &action)
{
    archive("request", action.request);
    archive("digest", action.digest);
    archive("peer", action.peer);
}

namespace {

// Names of events and actions in JSON, in the order of the variants.
constexpr std::array EventNames{
        "tick",       "report_heard",    "content_read",         "accepted_read", "folder_listed",
        "files_read", "content_written", "generation_committed", "look_now"};
constexpr std::array ActionNames{"read_accepted", "list_folder",       "read_files",
                                 "write_content", "commit_generation", "remove_content",
                                 "read_content",  "adopt_generation",  "push_generation"};
static_assert(EventNames.size() == std::variant_size_v<generation_event>);
static_assert(ActionNames.size() == std::variant_size_v<generation_action>);

template <typename Record>
Json::Value bodyOf(const Record &record)
{
    return membersToJson(record);
}

Json::Value bodyOf(const report_received &event)
{
    Json::Value body(Json::objectValue);
    body["report"] = toJson(event.report);
    return body;
}

Json::Value bodyOf(const commit_generation &action)
{
    Json::Value body(Json::objectValue);
    body["request"] = Json::UInt64(action.request);
    body["operation_id"] = action.transaction.operationId;
    for (const auto &condition : action.transaction.conditions)
        body["conditions"].append(membersToJson(condition));
    for (const auto &write : action.transaction.writes)
        body["writes"][write.key] = write.value.value_or(Json::Value());
    return body;
}

Json::Value bodyOf(const adopt_generation &action)
{
    Json::Value body(Json::objectValue);
    body["generation"] = Json::UInt64(action.generation);
    body["digest"] = action.digest;
    return body;
}

Json::Value bodyOf(const push_generation &action)
{
    Json::Value body(Json::objectValue);
    body["report"] = toJson(action.report);
    body["processes"] = Json::Value(Json::arrayValue);
    for (const auto &process : action.processes)
        body["processes"].append(process);
    return body;
}

template <typename Event>
void readBody(const Json::Value &value, Event &event)
{
    event = readMembers<Event>(value);
}

void readBody(const Json::Value &value, report_received &event)
{
    event.report = generationReportFromJson(value["report"]);
}

template <std::size_t Index = 0>
generation_event eventAt(std::size_t index, const Json::Value &value)
{
    if constexpr (Index < std::variant_size_v<generation_event>) {
        if (index != Index)
            return eventAt<Index + 1>(index, value);
        std::variant_alternative_t<Index, generation_event> event;
        readBody(value, event);
        return event;
    } else {
        throw error(error_kind::BadRequest, "unknown event");
    }
}

} // namespace

namespace {

struct failure_event_visitor
{
    using answer = std::optional<generation_event>;
    write_result result;

    answer operator()(const read_accepted_row &action) const
    {
        return accepted_row_read{action.request, false, {}};
    }
    answer operator()(const list_folder &action) const
    {
        return folder_listed{action.request, false, {}};
    }
    answer operator()(const read_files &action) const
    {
        return files_read{action.request, false, {}};
    }
    answer operator()(const read_content &action) const
    {
        return content_read{action.request, false, {}};
    }
    answer operator()(const write_content &action) const
    {
        return content_written{action.request, result};
    }
    answer operator()(const commit_generation &action) const
    {
        return generation_committed{action.request, result};
    }
    answer operator()(const auto &) const { return std::nullopt; }
};

} // namespace

std::optional<generation_event> failureEventFor(const generation_action &action,
                                                write_outcome outcome)
{
    return std::visit(failure_event_visitor{{outcome, 0, {}}}, action);
}

Json::Value toJson(const generation_event &event)
{
    auto value = std::visit([](const auto &each) { return bodyOf(each); }, event);
    value["event"] = EventNames.at(event.index());
    return value;
}

generation_event generationEventFromJson(const Json::Value &value)
{
    if (!value.isObject() || !value["event"].isString())
        throw error(error_kind::BadRequest, "member event is missing");
    const auto name = value["event"].asString();
    const auto *found = std::find(EventNames.begin(), EventNames.end(), name);
    return eventAt(static_cast<std::size_t>(found - EventNames.begin()), value);
}

Json::Value toJson(const generation_action &action)
{
    auto value = std::visit([](const auto &each) { return bodyOf(each); }, action);
    value["action"] = ActionNames.at(action.index());
    return value;
}

} // namespace zinniabarrow::config
