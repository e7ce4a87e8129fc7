// Events and actions of request_flow as JSON: for logs, and for recorded sessions and their replay.
//
// Deadlines are written as the remaining milliseconds ("deadline_ms"), not as points in time.
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

// Short form for recorded sessions; the form for the platform is in platform/platform_json.h.
Json::Value toSessionJson(const table_transaction &transaction);

} // namespace zinniabarrow::delivery
