// When a call that waits for an answer is late.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace zinniabarrow::net {

struct call_time_limits
{
    duration untilFirstByte; // until the first byte of the answer
    duration betweenParts;   // between two parts of it
    duration untilLastByte;  // until its last byte
};

// A large answer takes a slow link longer than any small one, and says nothing about the peer: as
// long as its bytes keep coming it isn't late. Cut off at a fixed time instead it would be asked
// for again from its first byte, and never be read whole. `whole` bounds a peer that sends a byte
// now and then.
class answer_deadline
{
public:
    answer_deadline(const call_time_limits &patience, time_point sentAt)
        : m_betweenParts(patience.betweenParts)
        , m_finalDeadline(sentAt + patience.untilLastByte)
        , m_currentDeadline(std::min(sentAt + patience.untilFirstByte, m_finalDeadline))
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
