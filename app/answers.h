// Answers to callers, and the headers by which entries and agents speak about a request.
#pragma once

#include "base/errors.h"
#include "runtime/http.h"

namespace zinniabarrow {

// Headers between caller, entry, agent and upstream.
constexpr const char *RequestIdHeader = "Zb-Request-Id"; // echoed, so that an answer is matched
constexpr const char *AttemptHeader = "Zb-Attempt";
constexpr const char *IncarnationHeader = "Zb-Incarnation"; // of the agent that is meant
constexpr const char *EndedHeader = "Zb-Ended";             // the attempt is not running any more
constexpr const char *ServiceHeader = "Zb-Service";
constexpr const char *TeamHeader = "Zb-Team";
constexpr const char *DeadlineHeader = "Zb-Deadline-Ms"; // time that remains when it is sent
constexpr const char *ErrorHeader = "Zb-Error";          // name of the error kind
constexpr const char *ExecutedHeader = "Zb-Executed";    // no, yes or unknown
constexpr const char *ReplayedHeader = "Zb-Replayed";    // answer kept from the first run
constexpr const char *LoadHeader = "Zb-Load";            // the agent's load: running,waiting
constexpr const char *KeyHeader = "Idempotency-Key";

// The one form of every refusal; `retryAfter` zero: no Retry-After.
http_response refusalAnswer(error_kind kind, executed ran, milliseconds retryAfter);
http_response refusalAnswer(error_kind kind); // with the table's own values

// Names that only zinniabarrow sets: dropped from what a caller sends and what an upstream answers.
bool isReservedHeader(const std::string &name);

} // namespace zinniabarrow
