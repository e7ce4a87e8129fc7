// Names of the HTTP headers that zinniabarrow's processes use for request metadata.
#pragma once

#include <string>

#include "runtime/refusal.h"

namespace zinniabarrow {

// Headers exchanged between caller, entry, agent and upstream.
constexpr const char *RequestIdHeader =
        "Zb-Request-Id"; // echoed in the answer to match it with its request
constexpr const char *AttemptHeader = "Zb-Attempt";
constexpr const char *IncarnationHeader =
        "Zb-Incarnation";                       // of the agent that the request is meant for
constexpr const char *EndedHeader = "Zb-Ended"; // set when the attempt no longer runs
constexpr const char *ServiceHeader = "Zb-Service";
constexpr const char *TeamHeader = "Zb-Team";
constexpr const char *DeadlineHeader =
        "Zb-Deadline-Ms"; // time until the deadline when the request is sent, in ms
constexpr const char *ReplayedHeader =
        "Zb-Replayed";                        // the answer was kept from the first execution
constexpr const char *LoadHeader = "Zb-Load"; // the agent's load, as "running,waiting"
constexpr const char *KeyHeader = "Idempotency-Key";

// Whether only zinniabarrow may set this header. Such headers are removed from callers' requests
// and upstreams' answers.
bool isReservedHeader(const std::string &name);

} // namespace zinniabarrow
