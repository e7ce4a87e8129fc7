#include "base/answer_check.h"

#include <utility>

namespace zinniabarrow {

namespace {

constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

} // namespace

answer_check::answer_check(std::string requestId, std::string method, answer_limits limits)
    : m_requestId(std::move(requestId))
    , m_method(std::move(method))
    , m_limits(limits)
{ }

std::optional<error_kind> answer_check::checkHead(const answer_head &head)
{
    if (m_failure || m_head)
        return fail(error_kind::AnswerIncomplete);
    m_head = head;
    // Otherwise a late answer to an earlier request on the same connection would reach a caller
    // that did not ask for it.
    if (head.requestId != m_requestId)
        return fail(error_kind::OutcomeUnknown);
    if (head.status < FirstFinalStatus || head.status > LastStatus)
        return fail(error_kind::AnswerIncomplete);
    if (head.headBytes > m_limits.maxHeadBytes)
        return fail(error_kind::AnswerTooLarge);
    if (hasNoBody())
        return std::nullopt;
    // The end of such a body can't be distinguished from a broken connection, so a truncated answer
    // would be taken for a complete one.
    if (head.framing == body_framing::UntilClose || head.framing == body_framing::Conflicting)
        return fail(error_kind::AnswerIncomplete);
    if (head.framing == body_framing::Length && head.declaredBytes > m_limits.maxBodyBytes)
        return fail(error_kind::AnswerTooLarge);
    return std::nullopt;
}

std::optional<error_kind> answer_check::checkBody(std::uint64_t bytes)
{
    if (m_failure || !m_head)
        return fail(error_kind::AnswerIncomplete);
    m_received += bytes;
    const auto allowed = hasNoBody()                               ? 0
                         : m_head->framing == body_framing::Length ? m_head->declaredBytes
                                                                   : m_limits.maxBodyBytes;
    if (m_received <= allowed)
        return std::nullopt;
    const bool tooLarge = !hasNoBody() && m_head->framing == body_framing::Chunked;
    return fail(tooLarge ? error_kind::AnswerTooLarge : error_kind::AnswerIncomplete);
}

std::optional<error_kind> answer_check::checkEnd(bool lastChunkSeen)
{
    if (m_failure || !m_head)
        return fail(error_kind::AnswerIncomplete);
    if (hasNoBody())
        return std::nullopt;
    if (m_head->framing == body_framing::Length && m_received != m_head->declaredBytes)
        return fail(error_kind::AnswerIncomplete);
    if (m_head->framing == body_framing::Chunked && !lastChunkSeen)
        return fail(error_kind::AnswerIncomplete);
    return std::nullopt;
}

std::optional<error_kind> answer_check::fail(error_kind kind)
{
    if (!m_failure)
        m_failure = kind;
    return m_failure;
}

bool answer_check::hasNoBody() const
{
    return m_method == "HEAD" || m_head->status == NoContent || m_head->status == NotModified;
}

} // namespace zinniabarrow
