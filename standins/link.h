// A network link between two processes: a TCP relay that can be slowed down, cut, silenced in one
// direction or both, and whose connections can be reset.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

// What a link does to the traffic. Requests go from the caller, which makes the connection, to the
// target.
enum class link_state {
    Passing,
    Slow,           // like Passing; for use with a delay
    Cut,            // connections are reset and new ones refused
    Blackholed,     // connections stay open but carry no data (half-open)
    RequestsHeld,   // like Blackholed, but answers pass
    AnswersHeld,    // like Blackholed, but requests pass
    AnswersDropped, // requests reach the target, its answers are discarded
};

// The ends of open connections that learn of a reset. The other end keeps its half, which carries
// no data until it closes it.
enum class reset_reach { BothEnds, Caller, Target };

// Names the caller that made the connection with these two addresses.
using caller_lookup =
        std::function<std::string(const socket_address &callerEnd, const socket_address &linkEnd)>;

// Listens at one address and relays each connection to the target. Data that a link holds back is
// delivered once the link passes again, like retransmitted packets.
class link
{
public:
    // A port of 0 takes any free one. With a lookup callers can be given states of their own. Then
    // a cut resets new connections instead of refusing them.
    link(socket_address listen, socket_address target, caller_lookup lookup = {});
    ~link();
    link(const link &) = delete;
    link &operator=(const link &) = delete;

    // These return when the relay has applied the change. `delay` is added to each relayed chunk,
    // whatever the state. setState() is for all callers without a state of their own.
    void setState(link_state state, milliseconds delay = milliseconds(0));
    void setStateOf(const std::string &caller, link_state state,
                    milliseconds delay = milliseconds(0));
    void resetConnections(reset_reach reach);
    void resetConnectionsOf(const std::string &caller, reset_reach reach);

    std::string address() const { return toText(m_listen); }

private:
    struct link_condition
    {
        link_state state = link_state::Passing;
        milliseconds delay{0};
    };
    // One direction of a connection: data read from one side and not yet written to the other.
    struct relay_buffer
    {
        std::string unsentBytes;
        time_point dueAt{};            // earliest time at which unsentBytes may be written
        bool isSourceClosed = false;   // end of stream was read
        bool isEndDiscarded = false;   // end of stream was read and discarded
        bool isCloseForwarded = false; // the writing side was shut down as well
    };
    enum class connection_state {
        Accepted, // the target isn't called yet
        Relayed,  // both ends are connected
        HalfOpen, // one end was reset and closed; what the other one sends is discarded
        Closed,   // in both directions
        Broken,   // by a reset of one end
    };
    struct connection
    {
        std::string callerName; // empty: unknown
        int caller = -1;
        int target = -1;
        connection_state state = connection_state::Accepted;
        relay_buffer requests;
        relay_buffer answers;
    };

    void run();
    void runOnRelayThread(std::function<void()> change);
    void applyChanges();
    void applyState(const link_condition &condition);
    void openListener();
    void closeListener();
    const link_condition &conditionOf(const connection &relayed) const;
    void waitForInput();
    void acceptConnections();
    void advance(connection &relayed);
    void connectToTarget(connection &accepted) const;
    static void relayBothWays(connection &relayed, const link_condition &condition);
    // Returns false if the connection is broken.
    static bool relayOneWay(relay_buffer &buffer, int from, int to, bool shouldDiscard,
                            milliseconds delay);
    static void reset(connection &relayed, reset_reach reach);
    static void closeConnection(const connection &relayed);
    void removeEndedConnections();

    socket_address m_listen; // unchanged from the end of the constructor on
    const socket_address m_target;
    const caller_lookup m_lookup;
    std::mutex m_changesMutex;
    std::vector<std::packaged_task<void()>> m_changes; // to be made by the relay thread
    std::atomic<bool> m_isStopping{false};
    // While the relay thread runs, only it uses these.
    link_condition m_condition;
    std::map<std::string, link_condition> m_conditionsOfCallers;
    int m_listener = -1;
    std::vector<connection> m_connections;
    std::thread m_relayThread;
};

} // namespace zinniabarrow::standins
