// A network link between two processes: a TCP relay that can be slowed down, cut or blackholed.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

// What a link does to the traffic.
enum class link_state {
    Passing,
    Slow,           // like Passing; for use with a delay
    Cut,            // connections are reset and new ones refused
    Blackholed,     // connections stay open but carry no data (half-open)
    AnswersDropped, // requests reach the target, its answers are discarded
};

// Listens at one address and relays each connection to the target. Data that a blackholed link
// holds back is delivered once the link passes again, like retransmitted packets.
class link
{
public:
    link(socket_address listen, socket_address target);
    ~link();
    link(const link &) = delete;
    link &operator=(const link &) = delete;

    // Returns when the relay has applied the state. `delay` is added to each relayed chunk,
    // whatever the state.
    void setState(link_state state, milliseconds delay = milliseconds(0));
    std::string address() const { return toText(m_listen); }
    // Connections accepted since the link was created.
    unsigned acceptedCount() const { return m_acceptedConnections; }

private:
    // One direction of a connection: data read from one side and not yet written to the other.
    struct relay_buffer
    {
        std::string unsentBytes;
        time_point dueAt{};            // earliest time at which unsentBytes may be written
        bool isSourceClosed = false;   // end of stream was read
        bool isCloseForwarded = false; // the writing side was shut down as well
    };
    struct connection
    {
        int caller = -1;
        int target = -1;
        relay_buffer requests;
        relay_buffer answers;
        bool isBroken = false; // failed, or closed in both directions
    };

    void run();
    void applyState(link_state state);
    void openListener();
    void closeListener();
    void acceptConnection();
    void waitForInput(link_state state);
    void relayBothWays(connection &relayed, link_state state);
    void relayOneWay(relay_buffer &buffer, int from, int to, bool shouldDiscard,
                     bool &isConnectionBroken);
    void closeConnection(const connection &relayed, bool reset) const;
    void removeBrokenConnections();

    const socket_address m_listen;
    const socket_address m_target;
    std::atomic<link_state> m_requestedState{link_state::Passing};
    std::atomic<link_state> m_appliedState{link_state::Passing};
    std::atomic<milliseconds::rep> m_delayMs{0};
    std::atomic<unsigned> m_acceptedConnections{0};
    std::atomic<bool> m_isStopping{false};
    // While the relay thread runs, only it uses these two.
    int m_listener = -1;
    std::vector<connection> m_connections;
    std::thread m_relayThread;
};

} // namespace zinniabarrow::standins
