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
    std::vector<std::string> entries;  // their addresses
    std::size_t targetCount = 2;       // entries that hear this agent; all when they are few
    std::size_t announceToAllUpTo = 3; // up to here all of them hear it
    milliseconds initialPeriod{1000};  // until an entry has named one
    milliseconds announcementRetryInterval{500}; // of a whole announcement without an answer
    int requestReplyAfterPeriods = 5;            // periods without an answer until one is asked for
    int replaceAfterPeriods = 7;                 // and until the entry is replaced by another
    milliseconds unresponsiveRetryInterval{30 * 1000}; // with such an entry, beside the others
};

class announcer
{
public:
    struct outgoing_message
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
    std::vector<outgoing_message> tick(time_point now);

    void handleReply(const std::string &entry, const announce_reply &reply, time_point now);

    // A newer process announces under this agent's id: stop serving and exit gracefully.
    bool isSuperseded() const { return m_isSuperseded; }
    // Every entry has answered the Leaving, or was given up.
    bool isLeaveComplete() const;
    std::vector<std::string> targets() const;
    const announcement &self() const { return m_self; }

private:
    struct announce_target
    {
        bool isAnnouncementAcked = false;      // has answered this state and incarnation
        std::uint64_t ackableFromSequence = 0; // sequence; answers to earlier messages do not count
        time_point nextSendAt{};               // when a message is due
        time_point lastReplyAt{};              // or first written to
        bool hasSent = false;
        bool isUnresponsive = false; // did not answer, until it does
        milliseconds period{};
    };

    outgoing_message makeMessage(const std::string &entry, announce_target &target, time_point now);
    void checkUnresponsive(announce_target &target, time_point now) const;
    std::set<std::string> unresponsiveEntries() const;
    std::vector<std::string> preferredTargets(const std::set<std::string> &unresponsive) const;
    void resetAcks();

    announcer_settings m_settings;
    announcement m_self;
    std::map<std::string, announce_target> m_targets; // by entry
    bool m_wasAccepted = false;                       // by any entry, in this incarnation
    bool m_isSuperseded = false;
};

} // namespace zinniabarrow::request
