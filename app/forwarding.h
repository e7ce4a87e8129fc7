// Forwarding one attempt of a caller's request to an agent, on the caller's HTTP thread.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "delivery/flow_messages.h"
#include "request/router.h"
#include "runtime/http.h"

namespace zinniabarrow {

// "/tickets/hold?x" asks service tickets for "/hold?x".
struct service_target
{
    std::string service;
    std::string pathAndQuery;
};
service_target splitTarget(const std::string &target);

// How an attempt ended, as the request's flow and the router have to know it.
struct forwarded_attempt
{
    delivery::attempt_outcome outcome; // of a streamed answer: once its rest has come whole
    request::attempt_ended routingResult;
    http_response answer; // meant for the caller only when the outcome is a whole answer
};

// How a streamed answer's attempt ended, once its receiving has.
forwarded_attempt finishStreamedAttempt(forwarded_attempt begun, body_end end);

class forwarder
{
public:
    explicit forwarder(std::size_t maxAnswerBytes);

    // A large answer comes with its stream, received on a thread of `threads`.
    forwarded_attempt send(const http_request &request, const std::string &id,
                           std::uint32_t attempt, const request::route &upstream,
                           time_point deadline, receiver_threads &threads);

private:
    http_pools m_pools; // connections to agents
};

} // namespace zinniabarrow
