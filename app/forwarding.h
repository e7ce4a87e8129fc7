// Forwards one attempt of a caller's request to an agent, on the caller's HTTP thread.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "delivery/flow_messages.h"
#include "request/router.h"
#include "runtime/http.h"

namespace zinniabarrow {

// Splits a caller's target: "/tickets/hold?x" means "/hold?x" at service "tickets".
struct service_target
{
    std::string service;
    std::string pathAndQuery;
};
service_target splitTarget(const std::string &target);

// Result of an attempt, for the request flow (delivery::request_flow) and for the router.
struct forwarded_attempt
{
    delivery::attempt_outcome outcome; // of a streamed answer: provided that the rest arrives
    request::routing_result routingResult;
    http_response answer; // for the caller, only if `outcome` is a complete_answer
};

// Result of an attempt with a streamed answer, once the stream has ended with `end`.
forwarded_attempt finishStreamedAttempt(forwarded_attempt started, body_end end);

// Sends attempts to agents over pooled connections. Called on callers' HTTP threads.
class forwarder
{
public:
    explicit forwarder(std::size_t maxAnswerBytes);

    // Blocks until the answer has arrived, at most until `deadline`. A large answer is returned
    // with a stream of its body, which a thread of `threads` receives.
    forwarded_attempt send(const http_request &request, const std::string &id,
                           std::uint32_t attempt, const request::route &upstream,
                           time_point deadline, receiver_threads &threads);

private:
    http_pools m_pools; // connections to agents, by address
};

} // namespace zinniabarrow
