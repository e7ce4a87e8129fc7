// Announcer: what an agent tells which entry, and when.
//
//   announcer_settings   the entries from the agent's settings, how many of them hear it
//   announcer            clock ticks and answers in, messages out
//
// Any loss is made good by a later message: a whole announcement is repeated until it is answered,
// Leaving is repeated to every entry, an entry that does not answer is replaced by another.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "request/announcement.h"

namespace zinniabarrow::request {

struct announcer_settings
{
    std::vector<std::string> entries;      // their addresses
    std::size_t count = 2;                 // entries that hear this agent; all when they are few
    std::size_t fewEntries = 3;            // up to here all of them hear it
    milliseconds firstPeriod{1000};        // until an entry has named one
    milliseconds repeatWhole{500};         // of a whole announcement without an answer
    int askAfter = 5;                      // periods without an answer until one is asked for
    int unansweredLimit = 7;               // and until the entry is replaced by another
    milliseconds tryAgainAfter{30 * 1000}; // with such an entry, beside the others
};

class announcer
{
public:
    struct send
    {
        std::string entry;
        std::variant<announcement, heartbeat> message;
    };

    // `self` carries the incarnation, which must be newer than that of an earlier process: the wall
    // clock in milliseconds at the start will do, see `answered`.
    announcer(announcer_settings settings, announcement self);

    // Leaving is final.
    void setState(upstream_state state);
    void setLoad(const upstream_load &load) { m_self.load = load; }

    // What is due. Call it several times in the shortest period, and after setState.
    std::vector<send> tick(time_point now);

    void answered(const std::string &entry, const announce_reply &reply, time_point now);

    // A newer process announces under this agent's id: stop serving and exit gracefully.
    bool superseded() const { return m_superseded; }
    // Every entry has answered the Leaving, or was given up.
    bool leftEverywhere() const;
    std::vector<std::string> targets() const;
    const announcement &self() const { return m_self; }

private:
    struct listener
    {
        bool knowsWhole = false;      // has answered this state and incarnation
        std::uint64_t wholeSince = 0; // sequence; answers to earlier messages do not count
        time_point nextAt{};          // when a message is due
        time_point answeredAt{};      // or first written to
        bool everSent = false;
        bool deaf = false; // did not answer, until it does
        milliseconds period{};
    };

    send messageFor(const std::string &entry, listener &to, time_point now);
    void noteSilence(listener &to, time_point now) const;
    std::set<std::string> deaf() const;
    std::vector<std::string> preferred(const std::set<std::string> &unresponsive) const;
    void forgetAnswers();

    announcer_settings m_settings;
    announcement m_self;
    std::map<std::string, listener> m_listeners; // by entry
    bool m_accepted = false;                     // by any entry, in this incarnation
    bool m_superseded = false;
};

} // namespace zinniabarrow::request
