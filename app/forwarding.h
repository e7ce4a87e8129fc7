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

// Result of an attempt, for the request's flow and for the router.
struct forwarded_attempt
{
    delivery::attempt_outcome outcome; // of a streamed answer: if its rest arrives complete
    request::attempt_ended routingResult;
    http_response answer; // to be passed to the caller only if the outcome is a whole answer
};

// Result of an attempt with a streamed answer, once the stream has ended with `end`.
forwarded_attempt finishStreamedAttempt(forwarded_attempt begun, body_end end);

class forwarder
{
public:
    explicit forwarder(std::size_t maxAnswerBytes);

    // A large answer is returned with its stream, which a thread of `threads` receives.
    forwarded_attempt send(const http_request &request, const std::string &id,
                           std::uint32_t attempt, const request::route &upstream,
                           time_point deadline, receiver_threads &threads);

private:
    http_pools m_pools; // connections to agents, by address
};

} // namespace zinniabarrow
