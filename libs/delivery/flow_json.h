// Events and actions of request_flow as JSON: for logs, golden sessions and their replay.
//
// Deadlines are written as the milliseconds that remain ("deadline_ms"), never as points in time.
#pragma once

#include <json/json.h>

#include "base/time.h"
#include "delivery/flow_messages.h"

namespace zinniabarrow::delivery {

// {"event": name, ...members}
Json::Value toJson(const flow_event &event, time_point now);
flow_event flowEventFromJson(const Json::Value &value, time_point now); // throws error BadRequest

// {"action": name, ...members}
Json::Value toJson(const flow_action &action, time_point now);

// The short form of sessions; the platform's own form is in platform/platform_json.h.
Json::Value toSessionJson(const table_transaction &transaction);

} // namespace zinniabarrow::delivery
