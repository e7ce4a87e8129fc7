// Announcer: decides which entries an agent sends announcements and heartbeats to, and when.
//
//   announcer_settings   addresses of the entries, periods and limits
//   announcer            takes clock ticks and replies, returns the messages to send
//
// Lost messages are repaired by later ones: an announcement is repeated until it is acknowledged,
// the Leaving state is sent to every entry, and an entry that does not reply is replaced by
// another.
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
    std::vector<std::string> entries; // addresses of all entries
    // With more than announceToAllUpTo entries, so many receive the heartbeats of this agent. Which
    // ones is chosen by announceTargets() in membership.h.
    std::size_t targetCount = 2;
    std::size_t announceToAllUpTo = 3; // up to this many entries, all receive heartbeats
    milliseconds initialPeriod{1000};  // heartbeat period until an entry has replied with one
    milliseconds announcementRetryInterval{500}; // between announcements that are not acknowledged
    // Periods without a reply until announcements are sent instead of heartbeats. An entry replies
    // to every announcement, but not to every heartbeat.
    int requestReplyAfterPeriods = 5;
    int replaceAfterPeriods = 7; // periods without a reply until the entry is replaced
    milliseconds unresponsiveRetryInterval{30 * 1000}; // between messages to a replaced entry
};

// Announces one upstream to the entries. The agent calls tick() and sends the messages that it
// returns, and passes each reply to handleReply(). Not thread-safe.
class announcer
{
public:
    struct outgoing_message
    {
        std::string entry; // address
        std::variant<announcement, heartbeat> message;
    };

    // The incarnation in `self` is the number of this process of the agent, and must be higher than
    // that of any earlier one. The wall clock at the start, in milliseconds, is sufficient: if it
    // was set back, an entry refuses the first announcement and names the number that it knows, and
    // handleReply() raises the incarnation above that. Once an entry has accepted this process, a
    // higher number means that a newer process exists, see isSuperseded().
    announcer(announcer_settings settings, announcement self);

    // Leaving is final: later changes of the state are ignored.
    void setState(upstream_state state);
    void setLoad(const upstream_load &load) { m_self.load = load; }

    // Returns the messages that are due. Call it several times per heartbeat period, and after
    // setState.
    std::vector<outgoing_message> tick(time_point now);

    // Processes the reply of `entry` to an announcement or heartbeat.
    void handleReply(const std::string &entry, const announce_reply &reply, time_point now);

    // A newer process uses this agent's id: this one must stop serving and exit gracefully.
    bool isSuperseded() const { return m_isSuperseded; }
    // Every entry of the settings has acknowledged the Leaving state or is unresponsive.
    bool isLeaveComplete() const;
    // Addresses of the entries that are to receive this agent's messages now, without unresponsive
    // ones that others replace. Those are still contacted every unresponsiveRetryInterval.
    std::vector<std::string> targets() const;
    const announcement &self() const { return m_self; }

private:
    // State of one entry of the settings, whether messages are sent to it at present or not.
    struct announce_target
    {
        bool isAnnouncementAcked = false; // acknowledged the current state and incarnation
        // A reply to a message with a lower sequence acknowledges nothing.
        std::uint64_t ackableFromSequence = 0;
        time_point nextSendAt{};     // when the next message is due
        time_point lastReplyAt{};    // last reply, or the first message if there was no reply yet
        bool hasSent = false;        // sent a message since messages to this entry are due
        bool isUnresponsive = false; // did not reply for replaceAfterPeriods; cleared by a reply
        milliseconds period{};       // between heartbeats, as requested by the entry
    };

    outgoing_message makeMessage(const std::string &entry, announce_target &target, time_point now);
    void checkUnresponsive(announce_target &target, time_point now) const;
    std::set<std::string> unresponsiveEntries() const;
    std::vector<std::string> preferredTargets(const std::set<std::string> &unresponsive) const;
    void resetAcks();

    announcer_settings m_settings;
    announcement m_self;
    std::map<std::string, announce_target> m_targets; // all entries, by address
    // An entry has accepted this incarnation, so a higher one is that of a newer process.
    bool m_wasAccepted = false;
    bool m_isSuperseded = false;
};

} // namespace zinniabarrow::request
