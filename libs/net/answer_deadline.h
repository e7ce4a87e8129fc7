// When a call that waits for an answer is late.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace zinniabarrow::net {

struct call_patience
{
    duration begins; // until the first byte of the answer
    duration stalls; // between two parts of it
    duration whole;  // until its last byte
};

// A large answer takes a slow link longer than any small one, and says nothing about the peer: as
// long as its bytes keep coming it isn't late. Cut off at a fixed time instead it would be asked
// for again from its first byte, and never be read whole. `whole` bounds a peer that sends a byte
// now and then.
class answer_deadline
{
public:
    answer_deadline(const call_patience &patience, time_point sentAt)
        : m_stalls(patience.stalls)
        , m_last(sentAt + patience.whole)
        , m_lateAt(std::min(sentAt + patience.begins, m_last))
    { }

    void partCame(time_point now) { m_lateAt = std::min(now + m_stalls, m_last); }
    time_point lateAt() const { return m_lateAt; }

private:
    duration m_stalls;
    time_point m_last;
    time_point m_lateAt;
};

} // namespace zinniabarrow::net
