#include "app/forwarding.h"

#include <cstdlib>
#include <strings.h>

#include "app/header_names.h"
#include "base/errors.h"

namespace zinniabarrow {

namespace {

// Larger answers are not stored with the claim of the request's idempotency key.
constexpr std::size_t MaxStoredAnswerBytes = 4096;

std::optional<request::upstream_load> loadOf(const http_response &response)
{
    const auto text = response.header(LoadHeader);
    const auto comma = text.find(',');
    if (comma == std::string::npos)
        return std::nullopt;
    request::upstream_load load;
    load.inFlight = std::atoi(text.c_str());
    load.queued = std::atoi(text.c_str() + comma + 1);
    return load;
}

// Unknown for any other name.
executed executedNamed(const std::string &name)
{
    if (name == nameOf(executed::No))
        return executed::No;
    return name == nameOf(executed::Yes) ? executed::Yes : executed::Unknown;
}

delivery::attempt_outcome outcomeOf(const http_response &response)
{
    const auto kind = errorKindNamed(response.header(ErrorHeader));
    if (kind) {
        delivery::attempt_refused refused;
        refused.kind = *kind;
        refused.executionState = executedNamed(response.header(ExecutedHeader));
        refused.hasEnded =
                refused.executionState == executed::No || response.header(EndedHeader) == "yes";
        refused.retryAfter = milliseconds(std::atoll(response.header("Zb-Retry-After-Ms").c_str()));
        return refused;
    }
    delivery::complete_answer completeAnswer;
    completeAnswer.status = response.status;
    completeAnswer.bodyBytes = response.body.size();
    const auto type = response.header("Content-Type");
    if (!type.empty())
        completeAnswer.headers["Content-Type"] = type;
    if (!response.stream && response.body.size() <= MaxStoredAnswerBytes)
        completeAnswer.body = response.body;
    return completeAnswer;
}

delivery::attempt_outcome outcomeOf(call_failure failure)
{
    switch (failure) {
    case call_failure::NotConnected:
    case call_failure::ConnectionRefused:
        return delivery::attempt_unreachable{};
    case call_failure::TimedOut:
        return delivery::attempt_timed_out{};
    case call_failure::TooLarge:
        return delivery::attempt_too_large{};
    case call_failure::IncompleteAnswer:
        break;
    }
    return delivery::attempt_disconnected{};
}

request::routing_outcome routingOutcome(const delivery::attempt_outcome &outcome)
{
    if (std::holds_alternative<delivery::complete_answer>(outcome))
        return request::routing_outcome::Answered;
    const auto *refused = std::get_if<delivery::attempt_refused>(&outcome);
    if (refused == nullptr || refused->executionState != executed::No
        || refused->kind == error_kind::UpstreamUnreachable)
        return request::routing_outcome::Failed;
    if (refused->kind == error_kind::Draining || refused->kind == error_kind::Starting)
        return request::routing_outcome::Leaving;
    return request::routing_outcome::Refused;
}

http_request requestForAgent(const http_request &from, const std::string &id, std::uint32_t attempt,
                             const request::route &upstream, milliseconds remaining)
{
    const auto target = splitTarget(from.target);
    http_request out;
    out.method = from.method;
    out.target = target.pathAndQuery;
    out.body = from.body;
    for (const auto &[name, value] : from.headers) {
        if (!isReservedHeader(name) || strcasecmp(name.c_str(), TeamHeader) == 0)
            out.headers[name] = value;
    }
    out.headers[RequestIdHeader] = id;
    out.headers[AttemptHeader] = std::to_string(attempt);
    out.headers[IncarnationHeader] = std::to_string(upstream.incarnation);
    out.headers[ServiceHeader] = target.service;
    out.headers[DeadlineHeader] = std::to_string(remaining.count());
    return out;
}

http_pool_limits limitsFor(std::size_t maxAnswerBytes)
{
    http_pool_limits limits;
    limits.answerBytesLimit = maxAnswerBytes;
    return limits;
}

} // namespace

service_target splitTarget(const std::string &target)
{
    const auto end = target.find_first_of("/?", 1);
    if (end == std::string::npos)
        return {target.substr(1), "/"};
    std::string rest = target.substr(end);
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    return {target.substr(1, end - 1), rest};
}

forwarded_attempt finishStreamedAttempt(forwarded_attempt started, body_end end)
{
    started.answer = {};
    if (!end)
        return started;
    started.outcome = delivery::outcomeOf(*end);
    // OutcomeUnknown: the caller has stopped reading, which says nothing about the upstream.
    if (*end != error_kind::OutcomeUnknown)
        started.routingResult.outcome = request::routing_outcome::Failed;
    return started;
}

forwarder::forwarder(std::size_t maxAnswerBytes)
    : m_pools(limitsFor(maxAnswerBytes))
{ }

forwarded_attempt forwarder::send(const http_request &request, const std::string &id,
                                  std::uint32_t attempt, const request::route &upstream,
                                  time_point deadline, receiver_threads &threads)
{
    const auto startedAt = monotonic_clock::now();
    const milliseconds remaining(millisecondsUntil(deadline, startedAt));
    const auto result =
            m_pools.poolFor(upstream.address)
                    .callStreaming(requestForAgent(request, id, attempt, upstream, remaining),
                                   deadline, {RequestIdHeader, id}, threads);
    forwarded_attempt sent;
    sent.routingResult.upstream = upstream;
    sent.routingResult.latency = monotonic_clock::now() - startedAt;
    if (const auto *response = std::get_if<http_response>(&result)) {
        sent.answer = *response;
        sent.outcome = outcomeOf(sent.answer);
        sent.routingResult.load = loadOf(sent.answer);
        if (!std::holds_alternative<delivery::complete_answer>(sent.outcome))
            sent.answer.stream.reset(); // a refusal's body is not passed to the caller
    } else {
        sent.outcome = outcomeOf(std::get<call_failure>(result));
    }
    sent.routingResult.outcome = routingOutcome(sent.outcome);
    return sent;
}

} // namespace zinniabarrow
