// A network link between two processes: a TCP relay that passes, is cut, goes silent or is slow.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

enum class link_state {
    Passing,
    Slow,           // each piece waits for the delay
    Cut,            // connections are reset, new ones refused
    Blackholed,     // connections stand, and nothing moves on them: half-open
    AnswersDropped, // what goes to the target arrives, what comes back does not
};

// Listens at one address and carries every connection to the target. What a silent link holds back
// arrives late once it passes again, as packets do that were sent again and again.
class link
{
public:
    link(socket_address listen, socket_address target);
    ~link();
    link(const link &) = delete;
    link &operator=(const link &) = delete;

    // Returns once the relay works by it. `delay` is for Slow alone.
    void setState(link_state state, milliseconds delay = milliseconds(0));
    std::string address() const { return toText(m_listen); }
    unsigned acceptedConnections() const
    {
        return m_acceptedConnections;
    } // connections, from the start

private:
    // One direction of a connection: what was read from one side and waits for the other.
    struct relay_buffer
    {
        std::string unsentBytes;
        time_point dueAt{};
        bool isSourceClosed = false;   // the reading side has closed
        bool isCloseForwarded = false; // and the writing side was told
    };
    struct connection
    {
        int caller = -1;
        int target = -1;
        relay_buffer requests;
        relay_buffer answers;
        bool isBroken = false;
    };

    void run();
    void applyState(link_state state);
    void openListener();
    void closeListener();
    void acceptConnection();
    void waitForInput(link_state state);
    void relayBothWays(connection &each, link_state state);
    void relayOneWay(relay_buffer &buffer, int from, int to, bool shouldDiscard,
                     bool &isConnectionBroken);
    void closeConnection(const connection &each, bool reset) const;
    void removeBrokenConnections();

    const socket_address m_listen;
    const socket_address m_target;
    std::atomic<link_state> m_requestedState{link_state::Passing};
    std::atomic<link_state> m_appliedState{link_state::Passing};
    std::atomic<milliseconds::rep> m_delayMs{0};
    std::atomic<unsigned> m_acceptedConnections{0};
    std::atomic<bool> m_isStopping{false};
    int m_listener = -1;                   // the relay's thread alone, as all below
    std::vector<connection> m_connections; //
    std::thread m_relayThread;
};

} // namespace zinniabarrow::standins
