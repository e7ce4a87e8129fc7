#include "platform/platform_json.h"

#include "base/errors.h"
#include "base/json_member.h"
#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<write_outcome, 4> OutcomeNames{{
        {write_outcome::Applied, "applied"},
        {write_outcome::Conflict, "conflict"},
        {write_outcome::Refused, "refused"},
        {write_outcome::Unknown, "unknown"},
}};

} // namespace

std::string_view nameOf(write_outcome outcome)
{
    return nameOf(OutcomeNames, outcome);
}

void fromName(const std::string &name, write_outcome &outcome)
{
    const auto value = valueOf(OutcomeNames, name);
    if (!value)
        throw error(error_kind::BadRequest, "member 'outcome': unknown value '" + name + "'");
    outcome = *value;
}

Json::Value toJson(const table_row &row)
{
    Json::Value json(Json::objectValue);
    json["key"] = row.key;
    json["value"] = row.value;
    json["version"] = Json::UInt64(row.version);
    return json;
}

Json::Value toJson(const table_transaction &transaction)
{
    Json::Value json(Json::objectValue);
    json["operation_id"] = transaction.operationId;
    json["conditions"] = Json::Value(Json::arrayValue);
    for (const auto &condition : transaction.conditions) {
        Json::Value entry(Json::objectValue);
        entry["key"] = condition.key;
        entry["version"] = Json::UInt64(condition.version);
        json["conditions"].append(std::move(entry));
    }
    json["writes"] = Json::Value(Json::arrayValue);
    for (const auto &write : transaction.writes) {
        Json::Value entry(Json::objectValue);
        entry["key"] = write.key;
        if (write.value)
            entry["value"] = *write.value;
        json["writes"].append(std::move(entry));
    }
    return json;
}

Json::Value toJson(const write_result &result)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = std::string(nameOf(result.outcome));
    json["sequence"] = Json::UInt64(result.sequence);
    json["conflict_key"] = result.conflictKey;
    return json;
}

table_row tableRowFromJson(const Json::Value &json)
{
    table_row row;
    row.key = stringMember(json, "key");
    row.value = json["value"];
    row.version = countMember(json, "version");
    return row;
}

table_transaction tableTransactionFromJson(const Json::Value &json)
{
    table_transaction transaction;
    transaction.operationId = stringMember(json, "operation_id");
    for (const auto &entry : arrayMember(json, "conditions"))
        transaction.conditions.push_back(
                {stringMember(entry, "key"), countMember(entry, "version")});
    for (const auto &entry : arrayMember(json, "writes")) {
        row_write write;
        write.key = stringMember(entry, "key");
        if (entry.isMember("value"))
            write.value = entry["value"];
        transaction.writes.push_back(std::move(write));
    }
    return transaction;
}

write_result writeResultFromJson(const Json::Value &json)
{
    write_outcome outcome = write_outcome::Unknown;
    fromName(stringMember(json, "outcome"), outcome);
    return {outcome, countMember(json, "sequence"), stringMember(json, "conflict_key")};
}

} // namespace zinniabarrow
