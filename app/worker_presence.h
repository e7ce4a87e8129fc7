// What is known of an agent's worker by its own word: its life, and whether it is there. Decisions
// only.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "platform/worker_wire.h"
#include "runtime/http.h"

namespace zinniabarrow {

class worker_presence
{
public:
    enum class news { None, Readiness, OtherLife };

    // An announcement that is overtaken, or held up from before a departure, is no news.
    news announced(const platform_wire::worker_announcement &told);
    // The worker says that it ends. False: another one says so.
    bool departed(const std::string &id, time_point now);

    enum class look { SameLife, Stayed, OtherLife };
    // A look that was sent then is answered by the life that was born so; 0: not told.
    look answered(std::int64_t bornMs, time_point sentAt);
    // A look has failed. True: the worker that said that it ends is gone, with all that it ran.
    bool isGoneBy(call_failure failure);

    const std::string &id() const { return m_id; } // empty: not announced yet
    bool isBorn() const { return m_bornMs != 0; }
    std::string lifeName() const { return std::to_string(m_bornMs); }
    bool isPresent() const { return m_present; }
    bool isLeaving() const { return m_told.leaving; }
    // It ends soon, or has: its agent's instance goes with it.
    bool goesAway() const { return m_departing || (m_present && m_told.leaving); }
    const platform_wire::worker_announcement &told() const { return m_told; }

private:
    void forgetWords(); // of the life before

    platform_wire::worker_announcement m_told; // newest announcement of the present life
    std::string m_id;
    std::int64_t m_bornMs = 0;
    bool m_present = false;   // announced, and not departed
    bool m_departing = false; // said to end, and not yet seen gone
    time_point m_goneBy{};    // it ends before, if it has said so itself
};

} // namespace zinniabarrow
