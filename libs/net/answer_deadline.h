// The deadline of a call that waits for an answer.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace zinniabarrow::net {

struct call_time_limits
{
    duration untilFirstByte; // from the start of the call, before it connects, to the first byte
    duration betweenParts;   // the longest pause between two parts of the answer
    duration untilLastByte;  // from the start of the call to the last byte of the answer
};

// A large answer takes long on a slow link, which says nothing about the peer's health, so each
// part that arrives extends the deadline. With one fixed deadline, a large answer would be
// requested again from its first byte and never be read completely. `untilLastByte` ends a call to
// a peer that only sends a byte now and then.
class answer_deadline
{
public:
    answer_deadline(const call_time_limits &limits, time_point startedAt)
        : m_betweenParts(limits.betweenParts)
        , m_finalDeadline(startedAt + limits.untilLastByte)
        , m_currentDeadline(std::min(startedAt + limits.untilFirstByte, m_finalDeadline))
    { }

    void extendAfterPart(time_point now)
    {
        m_currentDeadline = std::min(now + m_betweenParts, m_finalDeadline);
    }
    time_point currentDeadline() const { return m_currentDeadline; }

private:
    duration m_betweenParts;
    time_point m_finalDeadline;
    time_point m_currentDeadline;
};

} // namespace zinniabarrow::net
