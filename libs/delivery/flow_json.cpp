#include "delivery/flow_json.h"

#include <fmt/core.h>

#include "base/json_member.h"
#include "base/names.h"
#include "delivery/claim_coordinator.h"
#include "platform/platform_json.h"

namespace zinniabarrow::delivery {

namespace {

constexpr name_table<executed, 3> ExecutedNames{{
        {executed::No, "no"},
        {executed::Yes, "yes"},
        {executed::Unknown, "unknown"},
}};

Json::Value toJsonString(std::string_view view)
{
    return std::string(view);
}

Json::Value remainingMs(time_point deadline, time_point now)
{
    return Json::Int64(millisecondsUntil(deadline, now));
}

time_point deadlineFromJson(const Json::Value &value, time_point now)
{
    return now + milliseconds(countMember(value, "deadline_ms"));
}

error_kind errorKindFromJson(const Json::Value &value)
{
    const auto kind = errorKindNamed(stringMember(value, "kind"));
    if (!kind)
        throw error(error_kind::BadRequest, "member \"kind\" must be the name of an error kind");
    return *kind;
}

template <typename Table>
auto enumFromJson(const Table &table, const Json::Value &value, const char *name)
{
    const auto found = valueOf(table, stringMember(value, name));
    if (!found)
        throw error(error_kind::BadRequest,
                    fmt::format("member \"{}\" has an unknown value", name));
    return *found;
}

Json::Value toJsonArray(const std::vector<std::string> &items)
{
    Json::Value list(Json::arrayValue);
    for (const auto &item : items)
        list.append(item);
    return list;
}

// --- Outcomes of an attempt ---------------------------------------------------------------------

Json::Value outcomeJson(const complete_answer &answer)
{
    auto value = toJson(answer);
    value["outcome"] = "whole";
    return value;
}

Json::Value outcomeJson(const attempt_refused &refusal)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "refused";
    value["kind"] = toJsonString(nameOf(refusal.kind));
    value["executed"] = toJsonString(nameOf(refusal.executionState));
    value["ended"] = refusal.hasEnded;
    value["retry_after_ms"] = Json::Int64(refusal.retryAfter.count());
    return value;
}

Json::Value outcomeJson(const attempt_unreachable &)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "unreachable";
    return value;
}

Json::Value outcomeJson(const attempt_disconnected &disconnection)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "cut";
    value["ended"] = disconnection.hasEnded;
    return value;
}

Json::Value outcomeJson(const attempt_timed_out &)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "late";
    return value;
}

Json::Value outcomeJson(const attempt_too_large &)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "too_large";
    return value;
}

attempt_outcome outcomeFromJson(const Json::Value &value)
{
    const auto name = stringMember(value, "outcome");
    if (name == "whole")
        return completeAnswerFromJson(value);
    if (name == "refused") {
        return attempt_refused{
                errorKindFromJson(value), enumFromJson(ExecutedNames, value, "executed"),
                boolMember(value, "ended"), milliseconds(countMember(value, "retry_after_ms"))};
    }
    if (name == "unreachable")
        return attempt_unreachable{};
    if (name == "cut")
        return attempt_disconnected{boolMember(value, "ended")};
    if (name == "late")
        return attempt_timed_out{};
    if (name == "too_large")
        return attempt_too_large{};
    throw error(error_kind::BadRequest, "member \"outcome\" must be the name of an outcome");
}

// --- Events -------------------------------------------------------------------------------------

struct event_writer
{
    time_point now;

    Json::Value operator()(const request_arrived &event) const
    {
        auto value = newObject("request_arrived");
        value["id"] = event.id;
        value["service"] = event.service;
        value["method"] = event.method;
        value["path"] = event.path;
        value["team"] = event.team;
        value["key"] = event.idempotencyKey;
        value["body_hash"] = Json::UInt64(event.bodyHash);
        value["deadline_ms"] = remainingMs(event.deadline, now);
        return value;
    }

    Json::Value operator()(const upstream_chosen &event) const
    {
        auto value = newObject("upstream_chosen");
        value["id"] = event.id;
        value["agent"] = event.agentId;
        return value;
    }

    Json::Value operator()(const no_upstream_available &event) const
    {
        auto value = newObject("none_available");
        value["id"] = event.id;
        value["kind"] = toJsonString(nameOf(event.kind));
        return value;
    }

    Json::Value operator()(const answer_started &event) const
    {
        auto value = newObject("answer_begun");
        value["id"] = event.id;
        value["attempt"] = event.attempt;
        value["status"] = event.status;
        return value;
    }

    Json::Value operator()(const attempt_ended &event) const
    {
        auto value = std::visit([](const auto &each) { return outcomeJson(each); }, event.outcome);
        value["event"] = "attempt_ended";
        value["id"] = event.id;
        value["attempt"] = event.attempt;
        return value;
    }

    Json::Value operator()(const claims_committed &event) const
    {
        auto value = newObject("claims_committed");
        value["operation"] = event.operationId;
        value["outcome"] = toJsonString(nameOf(event.result.outcome));
        value["sequence"] = Json::UInt64(event.result.sequence);
        value["conflict_key"] = event.result.conflictKey;
        return value;
    }

    Json::Value operator()(const claims_read &event) const
    {
        auto value = newObject("claims_read");
        value["read"] = event.readId;
        value["succeeded"] = event.succeeded;
        value["rows"] = Json::Value(Json::arrayValue);
        for (const auto &row : event.rows) {
            Json::Value item(Json::objectValue);
            item["key"] = row.key;
            item["value"] = row.value;
            item["version"] = Json::UInt64(row.version);
            value["rows"].append(item);
        }
        return value;
    }

    Json::Value operator()(const flow_tick &) const { return newObject("tick"); }
    Json::Value operator()(const flow_drain_started &) const { return newObject("drain"); }

    static Json::Value newObject(const char *name)
    {
        Json::Value value(Json::objectValue);
        value["event"] = name;
        return value;
    }
};

request_arrived arrivedFromJson(const Json::Value &value, time_point now)
{
    request_arrived event;
    event.id = stringMember(value, "id");
    event.service = stringMember(value, "service");
    event.method = stringMember(value, "method");
    event.path = stringMember(value, "path");
    event.team = stringMember(value, "team");
    event.idempotencyKey = stringMember(value, "key");
    event.bodyHash = countMember(value, "body_hash");
    event.deadline = deadlineFromJson(value, now);
    return event;
}

claims_committed committedFromJson(const Json::Value &value)
{
    return {stringMember(value, "operation"), writeResultFromJson(value)};
}

claims_read readFromJson(const Json::Value &value)
{
    claims_read event{stringMember(value, "read"), boolMember(value, "succeeded"), {}};
    for (const auto &item : arrayMember(value, "rows")) {
        event.rows.push_back(
                {stringMember(item, "key"), item["value"], countMember(item, "version")});
    }
    return event;
}

// --- Actions ------------------------------------------------------------------------------------

struct action_writer
{
    time_point now;

    Json::Value operator()(const choose_upstream &action) const
    {
        auto value = newObject("choose_upstream");
        value["id"] = action.id;
        value["service"] = action.service;
        value["excluded"] = toJsonArray(action.excluded);
        return value;
    }

    Json::Value operator()(const forward_request &action) const
    {
        auto value = newObject("forward_request");
        value["id"] = action.id;
        value["attempt"] = action.attempt;
        value["agent"] = action.agentId;
        value["deadline_ms"] = remainingMs(action.deadline, now);
        return value;
    }

    Json::Value operator()(const cancel_attempt &action) const
    {
        auto value = newObject("cancel_attempt");
        value["id"] = action.id;
        value["attempt"] = action.attempt;
        value["agent"] = action.agentId;
        return value;
    }

    Json::Value operator()(const answer_caller &action) const
    {
        auto value = std::visit(*this, action.answer);
        value["action"] = "answer_caller";
        value["id"] = action.id;
        return value;
    }

    Json::Value operator()(const pass_answer &answer) const
    {
        Json::Value value(Json::objectValue);
        value["answer"] = answer.isStreaming ? "streaming" : "passed";
        value["attempt"] = answer.attempt;
        value["status"] = answer.status;
        return value;
    }

    Json::Value operator()(const replay_answer &answer) const
    {
        auto value = toJson(answer.stored);
        value["answer"] = "replayed";
        return value;
    }

    Json::Value operator()(const refuse_request &answer) const
    {
        Json::Value value(Json::objectValue);
        value["answer"] = "refused";
        value["kind"] = toJsonString(nameOf(answer.kind));
        value["executed"] = toJsonString(nameOf(answer.executionState));
        value["retry_after_ms"] = Json::Int64(answer.retryAfter.count());
        return value;
    }

    Json::Value operator()(const commit_claims &action) const
    {
        auto value = toSessionJson(action.transaction);
        value["action"] = "commit_claims";
        return value;
    }

    Json::Value operator()(const read_claims &action) const
    {
        auto value = newObject("read_claims");
        value["read"] = action.readId;
        value["keys"] = toJsonArray(action.keys);
        return value;
    }

    Json::Value operator()(const scan_claims &action) const
    {
        auto value = newObject("scan_claims");
        value["read"] = action.readId;
        value["prefix"] = action.prefix;
        return value;
    }

    Json::Value operator()(const increment_counter &action) const
    {
        auto value = newObject("count");
        value["counter"] = toJsonString(nameOf(action.counter));
        if (action.kind)
            value["kind"] = toJsonString(nameOf(*action.kind));
        value["amount"] = Json::UInt64(action.amount);
        return value;
    }

    Json::Value operator()(const flow_drained &action) const
    {
        auto value = newObject("drained");
        value["records_lost"] = Json::UInt64(action.recordsLost);
        return value;
    }

    static Json::Value newObject(const char *name)
    {
        Json::Value value(Json::objectValue);
        value["action"] = name;
        return value;
    }
};

} // namespace

Json::Value toSessionJson(const table_transaction &transaction)
{
    Json::Value value(Json::objectValue);
    value["operation"] = transaction.operationId;
    value["conditions"] = Json::Value(Json::objectValue);
    for (const auto &condition : transaction.conditions)
        value["conditions"][condition.key] = Json::UInt64(condition.version);
    value["writes"] = Json::Value(Json::objectValue);
    for (const auto &write : transaction.writes)
        value["writes"][write.key] = write.value ? *write.value : Json::Value();
    return value;
}

Json::Value toJson(const flow_event &event, time_point now)
{
    return std::visit(event_writer{now}, event);
}

Json::Value toJson(const flow_action &action, time_point now)
{
    return std::visit(action_writer{now}, action);
}

flow_event flowEventFromJson(const Json::Value &value, time_point now)
{
    const auto name = stringMember(value, "event");
    if (name == "request_arrived")
        return arrivedFromJson(value, now);
    if (name == "upstream_chosen")
        return upstream_chosen{stringMember(value, "id"), stringMember(value, "agent")};
    if (name == "none_available")
        return no_upstream_available{stringMember(value, "id"), errorKindFromJson(value)};
    if (name == "answer_begun") {
        return answer_started{stringMember(value, "id"),
                              static_cast<std::uint32_t>(countMember(value, "attempt")),
                              static_cast<int>(countMember(value, "status"))};
    }
    if (name == "attempt_ended") {
        return attempt_ended{stringMember(value, "id"),
                             static_cast<std::uint32_t>(countMember(value, "attempt")),
                             outcomeFromJson(value)};
    }
    if (name == "claims_committed")
        return committedFromJson(value);
    if (name == "claims_read")
        return readFromJson(value);
    if (name == "tick")
        return flow_tick{};
    if (name == "drain")
        return flow_drain_started{};
    throw error(error_kind::BadRequest, "member \"event\" must be the name of an event");
}

} // namespace zinniabarrow::delivery
