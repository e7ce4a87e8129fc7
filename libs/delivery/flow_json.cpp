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

Json::Value text(std::string_view view)
{
    return std::string(view);
}

Json::Value remaining(time_point deadline, time_point now)
{
    return Json::Int64(millisecondsUntil(deadline, now));
}

time_point deadlineFrom(const Json::Value &value, time_point now)
{
    return now + milliseconds(countMember(value, "deadline_ms"));
}

error_kind kindFrom(const Json::Value &value)
{
    const auto kind = errorKindNamed(stringMember(value, "kind"));
    if (!kind)
        throw error(error_kind::BadRequest, "bad member \"kind\"");
    return *kind;
}

template <typename Table>
auto enumFrom(const Table &table, const Json::Value &value, const char *name)
{
    const auto found = valueOf(table, stringMember(value, name));
    if (!found)
        throw error(error_kind::BadRequest, fmt::format("bad member \"{}\"", name));
    return *found;
}

Json::Value texts(const std::vector<std::string> &items)
{
    Json::Value list(Json::arrayValue);
    for (const auto &item : items)
        list.append(item);
    return list;
}

// --- Outcomes of an attempt ---------------------------------------------------------------------

Json::Value outcomeJson(const whole_answer &answer)
{
    auto value = toJson(answer);
    value["outcome"] = "whole";
    return value;
}

Json::Value outcomeJson(const attempt_refused &refusal)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "refused";
    value["kind"] = text(nameOf(refusal.kind));
    value["executed"] = text(nameOf(refusal.ran));
    value["ended"] = refusal.ended;
    value["retry_after_ms"] = Json::Int64(refusal.retryAfter.count());
    return value;
}

Json::Value outcomeJson(const attempt_unreachable &)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "unreachable";
    return value;
}

Json::Value outcomeJson(const attempt_cut &cut)
{
    Json::Value value(Json::objectValue);
    value["outcome"] = "cut";
    value["ended"] = cut.ended;
    return value;
}

Json::Value outcomeJson(const attempt_late &)
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

attempt_outcome outcomeFrom(const Json::Value &value)
{
    const auto name = stringMember(value, "outcome");
    if (name == "whole")
        return wholeAnswerFromJson(value);
    if (name == "refused") {
        return attempt_refused{kindFrom(value), enumFrom(ExecutedNames, value, "executed"),
                               boolMember(value, "ended"),
                               milliseconds(countMember(value, "retry_after_ms"))};
    }
    if (name == "unreachable")
        return attempt_unreachable{};
    if (name == "cut")
        return attempt_cut{boolMember(value, "ended")};
    if (name == "late")
        return attempt_late{};
    if (name == "too_large")
        return attempt_too_large{};
    throw error(error_kind::BadRequest, "bad member \"outcome\"");
}

// --- Events -------------------------------------------------------------------------------------

struct event_writer
{
    time_point now;

    Json::Value operator()(const request_arrived &event) const
    {
        auto value = named("request_arrived");
        value["id"] = event.id;
        value["service"] = event.service;
        value["method"] = event.method;
        value["path"] = event.path;
        value["team"] = event.team;
        value["key"] = event.idempotencyKey;
        value["body_hash"] = Json::UInt64(event.bodyHash);
        value["deadline_ms"] = remaining(event.deadline, now);
        return value;
    }

    Json::Value operator()(const upstream_chosen &event) const
    {
        auto value = named("upstream_chosen");
        value["id"] = event.id;
        value["agent"] = event.agentId;
        return value;
    }

    Json::Value operator()(const none_available &event) const
    {
        auto value = named("none_available");
        value["id"] = event.id;
        value["kind"] = text(nameOf(event.kind));
        return value;
    }

    Json::Value operator()(const answer_begun &event) const
    {
        auto value = named("answer_begun");
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
        auto value = named("claims_committed");
        value["operation"] = event.operationId;
        value["outcome"] = text(nameOf(event.result.outcome));
        value["sequence"] = Json::UInt64(event.result.sequence);
        value["conflict_key"] = event.result.conflictKey;
        return value;
    }

    Json::Value operator()(const claims_read &event) const
    {
        auto value = named("claims_read");
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

    Json::Value operator()(const flow_tick &) const { return named("tick"); }
    Json::Value operator()(const flow_drain &) const { return named("drain"); }

    static Json::Value named(const char *name)
    {
        Json::Value value(Json::objectValue);
        value["event"] = name;
        return value;
    }
};

request_arrived arrivedFrom(const Json::Value &value, time_point now)
{
    request_arrived event;
    event.id = stringMember(value, "id");
    event.service = stringMember(value, "service");
    event.method = stringMember(value, "method");
    event.path = stringMember(value, "path");
    event.team = stringMember(value, "team");
    event.idempotencyKey = stringMember(value, "key");
    event.bodyHash = countMember(value, "body_hash");
    event.deadline = deadlineFrom(value, now);
    return event;
}

claims_committed committedFrom(const Json::Value &value)
{
    return {stringMember(value, "operation"), writeResultFromJson(value)};
}

claims_read readFrom(const Json::Value &value)
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
        auto value = named("choose_upstream");
        value["id"] = action.id;
        value["service"] = action.service;
        value["excluded"] = texts(action.excluded);
        return value;
    }

    Json::Value operator()(const forward_request &action) const
    {
        auto value = named("forward_request");
        value["id"] = action.id;
        value["attempt"] = action.attempt;
        value["agent"] = action.agentId;
        value["deadline_ms"] = remaining(action.deadline, now);
        return value;
    }

    Json::Value operator()(const cancel_attempt &action) const
    {
        auto value = named("cancel_attempt");
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
        value["answer"] = answer.streaming ? "streaming" : "passed";
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
        value["kind"] = text(nameOf(answer.kind));
        value["executed"] = text(nameOf(answer.ran));
        value["retry_after_ms"] = Json::Int64(answer.retryAfter.count());
        return value;
    }

    Json::Value operator()(const commit_claims &action) const
    {
        auto value = sessionJson(action.transaction);
        value["action"] = "commit_claims";
        return value;
    }

    Json::Value operator()(const read_claims &action) const
    {
        auto value = named("read_claims");
        value["read"] = action.readId;
        value["keys"] = texts(action.keys);
        return value;
    }

    Json::Value operator()(const scan_claims &action) const
    {
        auto value = named("scan_claims");
        value["read"] = action.readId;
        value["prefix"] = action.prefix;
        return value;
    }

    Json::Value operator()(const count_flow &action) const
    {
        auto value = named("count");
        value["counter"] = text(nameOf(action.counter));
        if (action.kind)
            value["kind"] = text(nameOf(*action.kind));
        value["amount"] = Json::UInt64(action.amount);
        return value;
    }

    Json::Value operator()(const flow_drained &action) const
    {
        auto value = named("drained");
        value["records_lost"] = Json::UInt64(action.recordsLost);
        return value;
    }

    static Json::Value named(const char *name)
    {
        Json::Value value(Json::objectValue);
        value["action"] = name;
        return value;
    }
};

} // namespace

Json::Value sessionJson(const table_transaction &transaction)
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
        return arrivedFrom(value, now);
    if (name == "upstream_chosen")
        return upstream_chosen{stringMember(value, "id"), stringMember(value, "agent")};
    if (name == "none_available")
        return none_available{stringMember(value, "id"), kindFrom(value)};
    if (name == "answer_begun") {
        return answer_begun{stringMember(value, "id"),
                            static_cast<std::uint32_t>(countMember(value, "attempt")),
                            static_cast<int>(countMember(value, "status"))};
    }
    if (name == "attempt_ended") {
        return attempt_ended{stringMember(value, "id"),
                             static_cast<std::uint32_t>(countMember(value, "attempt")),
                             outcomeFrom(value)};
    }
    if (name == "claims_committed")
        return committedFrom(value);
    if (name == "claims_read")
        return readFrom(value);
    if (name == "tick")
        return flow_tick{};
    if (name == "drain")
        return flow_drain{};
    throw error(error_kind::BadRequest, "bad member \"event\"");
}

} // namespace zinniabarrow::delivery
