// The headers by which entries and agents speak about a request.
#pragma once

#include <string>

#include "runtime/refusal.h"

namespace zinniabarrow {

// Headers between caller, entry, agent and upstream.
constexpr const char *RequestIdHeader = "Zb-Request-Id"; // echoed, so that an answer is matched
constexpr const char *AttemptHeader = "Zb-Attempt";
constexpr const char *IncarnationHeader = "Zb-Incarnation"; // of the agent that is meant
constexpr const char *EndedHeader = "Zb-Ended";             // the attempt is not running any more
constexpr const char *ServiceHeader = "Zb-Service";
constexpr const char *TeamHeader = "Zb-Team";
constexpr const char *DeadlineHeader = "Zb-Deadline-Ms"; // time that remains when it is sent
constexpr const char *ReplayedHeader = "Zb-Replayed";    // answer kept from the first run
constexpr const char *LoadHeader = "Zb-Load";            // the agent's load: running,waiting
constexpr const char *KeyHeader = "Idempotency-Key";

// Names that only zinniabarrow sets: dropped from what a caller sends and what an upstream answers.
bool isReservedHeader(const std::string &name);

} // namespace zinniabarrow
