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
    Slow,        // each piece waits for the delay
    Cut,         // connections are reset, new ones refused
    Silent,      // connections stand, and nothing moves on them: half-open
    AnswersLost, // what goes to the target arrives, what comes back does not
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
    void set(link_state state, milliseconds delay = milliseconds(0));
    std::string address() const { return toText(m_listen); }
    unsigned accepted() const { return m_accepted; } // connections, from the start

private:
    // One direction of a connection: what was read from one side and waits for the other.
    struct pipe
    {
        std::string waiting;
        time_point dueAt{};
        bool ended = false;  // the reading side has closed
        bool closed = false; // and the writing side was told
    };
    struct connection
    {
        int caller = -1;
        int target = -1;
        pipe requests;
        pipe answers;
        bool broken = false;
    };

    void run();
    void apply(link_state state);
    void openListener();
    void closeListener();
    void acceptOne();
    void waitForSomething(link_state state);
    void move(connection &each, link_state state);
    void movePipe(pipe &through, int from, int to, bool lost, bool &broken);
    void closeConnection(const connection &each, bool reset) const;
    void dropBroken();

    const socket_address m_listen;
    const socket_address m_target;
    std::atomic<link_state> m_wanted{link_state::Passing};
    std::atomic<link_state> m_applied{link_state::Passing};
    std::atomic<milliseconds::rep> m_delay{0};
    std::atomic<unsigned> m_accepted{0};
    std::atomic<bool> m_stopping{false};
    int m_listener = -1;                   // the relay's thread alone, as all below
    std::vector<connection> m_connections; //
    std::thread m_relay;
};

} // namespace zinniabarrow::standins
