// Is an upstream's answer whole, and the answer to this request?
//
//   answer_head    what the head of an answer declares
//   answer_check   fed with head, body bytes and end; nothing else may call an answer whole
//
// http_pool feeds it for every answer that a daemon receives.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/errors.h"

namespace zinniabarrow {

enum class body_framing {
    Length,     // Content-Length
    Chunked,    // Transfer-Encoding: chunked
    UntilClose, // ends with the connection: a cut looks the same as the end
    Conflicting // several or contradicting declarations
};

struct answer_head
{
    int status = 0;
    std::string requestId; // echoed by the agent; empty where no echo is asked for
    body_framing framing = body_framing::UntilClose;
    std::uint64_t declaredBytes = 0; // for Length
    std::uint64_t headBytes = 0;
};

struct answer_limits
{
    std::uint64_t maxHeadBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
};

// Each step gives the reason why the answer is no whole answer; the first reason stays. A failed
// answer's connection is in doubt and must be dropped.
class answer_check
{
public:
    answer_check(std::string requestId, std::string method, answer_limits limits);

    std::optional<error_kind> checkHead(const answer_head &head);
    std::optional<error_kind> checkBody(std::uint64_t bytes);
    // `lastChunkSeen` matters for Chunked. Nothing returned: the answer is whole.
    std::optional<error_kind> checkEnd(bool lastChunkSeen);

    std::uint64_t receivedBytes() const { return m_received; }

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
