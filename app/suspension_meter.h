// Measures for how long the machine was suspended between two calls. The agent postpones by that
// time what ends by the clock of its worker, which is on the same machine.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace zinniabarrow {

class suspension_meter
{
public:
    // `suspendedTime`: of the machine since its start (see net::suspendedTime()). Returns by how
    // much it has grown; 0 at the first call.
    duration observe(duration suspendedTime)
    {
        const auto before = m_suspendedTime.value_or(suspendedTime);
        m_suspendedTime = std::max(before, suspendedTime);
        return *m_suspendedTime - before;
    }

private:
    std::optional<duration> m_suspendedTime; // the longest so far; none before the first call
};

} // namespace zinniabarrow
