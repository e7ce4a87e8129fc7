// Converts the platform's records to and from the JSON of its HTTP interface.
#pragma once

#include <string>

#include <json/json.h>

#include "platform/records.h"

namespace zinniabarrow {

std::string_view nameOf(write_outcome outcome);
void fromName(const std::string &name, write_outcome &outcome); // throws error BadRequest

Json::Value toJson(const table_row &row);
Json::Value toJson(const table_transaction &transaction);
Json::Value toJson(const write_result &result);

// Each throws error BadRequest, which names the missing or invalid member.
table_row tableRowFromJson(const Json::Value &json);
table_transaction tableTransactionFromJson(const Json::Value &json);
write_result writeResultFromJson(const Json::Value &json);

} // namespace zinniabarrow
