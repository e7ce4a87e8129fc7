// The gangs of a simulated cluster. The members of a gang work only together: from the moment when
// the runs of all of them are present, and until one of them ends.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/time.h"
#include "jobs/messages.h"
#include "jobs/model.h"

namespace zinniabarrow::tests {

class simulated_gangs
{
public:
    static constexpr milliseconds MaxWait{3000}; // for the others; then a member ends as alone

    struct member_end
    {
        time_point at{};
        jobs::end_kind endKind = jobs::end_kind::Done;
    };

    // A member's run is present. The last one decides how long the gang works, and how it ends.
    void join(const jobs::task_id &member, int run, int size, milliseconds duration,
              jobs::end_kind endKind, time_point now)
    {
        auto &gang = m_gangs[keyOf(member, run)];
        gang.joinedAt[member.index] = now;
        const auto waiting =
                std::count_if(gang.joinedAt.begin(), gang.joinedAt.end(),
                              [&](const auto &other) { return now < other.second + MaxWait; });
        if (gang.completeAt || waiting < size)
            return;
        gang.completeAt = now;
        gang.end = {now + duration, endKind};
    }

    // The member's run has ended for a cause of its own, or its worker has. If the gang was at
    // work, it is broken.
    void leave(const jobs::task_id &member, int run, time_point at)
    {
        auto &gang = m_gangs[keyOf(member, run)];
        if (!gang.completeAt)
            gang.joinedAt.erase(member.index);
        else if (at < gang.end.at && !gang.brokenAt)
            gang.brokenAt = at;
    }

    // The end of the member's run, as far as the gang decides it; none: it goes on at `now`.
    std::optional<member_end> endOf(const jobs::task_id &member, int run, time_point now)
    {
        auto &gang = m_gangs[keyOf(member, run)];
        const auto aloneAt = gang.joinedAt[member.index] + MaxWait;
        if (!gang.completeAt || aloneAt <= *gang.completeAt) {
            if (now < aloneAt)
                return std::nullopt;
            return member_end{aloneAt, jobs::end_kind::Alone};
        }
        if (gang.brokenAt)
            return member_end{*gang.brokenAt, jobs::end_kind::Broken};
        if (now < gang.end.at)
            return std::nullopt;
        // Of a gang that fails one member has failed.
        const bool isBroken = gang.end.endKind == jobs::end_kind::Failed && member.index > 0;
        return member_end{gang.end.at, isBroken ? jobs::end_kind::Broken : gang.end.endKind};
    }

private:
    using gang_key = std::pair<jobs::task_id, int>; // its first member, and the run

    struct gang_run
    {
        std::map<int, time_point> joinedAt; // by member
        std::optional<time_point> completeAt;
        std::optional<time_point> brokenAt;
        member_end end;
    };

    static gang_key keyOf(jobs::task_id member, int run)
    {
        member.index = 0;
        return {member, run};
    }

    std::map<gang_key, gang_run> m_gangs;
};

} // namespace zinniabarrow::tests
