// Checks that an upstream's answer is complete and belongs to the request.
//
//   answer_head    what the head of an answer declares
//   answer_check   is given the head, body sizes and end; decides whether the answer is complete
//
// http_pool runs it on every answer that it receives; net::http_client does not use it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/errors.h"

namespace zinniabarrow {

enum class body_framing {
    Length,     // Content-Length
    Chunked,    // Transfer-Encoding: chunked
    UntilClose, // ends when the connection closes; rejected, as a truncated body can't be detected
    Conflicting // several declarations, or an invalid length; rejected
};

struct answer_head
{
    int status = 0;
    std::string requestId; // as echoed by the agent; empty where no echo is requested
    body_framing framing = body_framing::UntilClose;
    std::uint64_t declaredBytes = 0; // Content-Length, for Length
    std::uint64_t headBytes = 0;
};

// An answer whose head or body is larger fails with AnswerTooLarge.
struct answer_limits
{
    std::uint64_t maxHeadBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
};

// Checks one answer: call checkHead(), then checkBody() for each part of the body, then checkEnd().
// Each returns the reason why the answer is rejected, or nullopt; after the first reason, all later
// calls return it. After a rejection the connection must be dropped.
class answer_check
{
public:
    // `requestId` and `method` are those of the request; an empty `requestId` if no echo was
    // requested. The method tells whether the answer has a body.
    answer_check(std::string requestId, std::string method, answer_limits limits);

    std::optional<error_kind> checkHead(const answer_head &head);
    std::optional<error_kind> checkBody(std::uint64_t bytes); // size of the part that arrived
    // `lastChunkSeen` is used for Chunked only. Returns nullopt when the answer is complete.
    std::optional<error_kind> checkEnd(bool lastChunkSeen);

    std::uint64_t receivedBytes() const { return m_received; } // of the body

private:
    std::optional<error_kind> fail(error_kind kind);
    bool hasNoBody() const;

    std::string m_requestId;
    std::string m_method;
    answer_limits m_limits;
    std::optional<answer_head> m_head;
    std::uint64_t m_received = 0;
    std::optional<error_kind> m_failure;
};

} // namespace zinniabarrow
