// HTTP/1.1 client on the event loop with a pool of idle connections per peer. Each call uses a
// connection exclusively until it is answered; a connection whose call failed is dropped, and if
// the request may have arrived, so are all idle connections to that peer. Not thread-safe: call it
// on the loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "net/answer_deadline.h"
#include "net/event_loop.h"
#include "net/exchange.h"
#include "runtime/http.h"

namespace zinniabarrow::net {

struct client_limits
{
    std::size_t maxIdlePerPeer = 4; // idle connections kept for reuse, per peer
    // Must stay below listener_limits::maxIdleTime, so that the peer does not close an idle
    // connection first.
    milliseconds maxIdleTime{20'000};
    milliseconds connectTimeout{400}; // a longer connect ends the call as NotConnected
    // Bytes of an answer's body; a larger one ends the call as TooLarge.
    std::size_t answerBytesLimit = 4 * 1024 * 1024;
};

// Options of a call whose answer may be large.
struct large_call_options
{
    call_time_limits timeLimits;
    // Bytes of the answer's body; replaces client_limits::answerBytesLimit. Set it: 0 allows no
    // body.
    std::size_t answerBytesLimit = 0;
    // Called when the head of the answer has arrived, with the Content-Length; 0: not declared.
    std::function<void(std::uint64_t bytes)> onHead = [](std::uint64_t) {};
    // Only an idle connection that was opened before this is used; without one the call ends as
    // NotConnected. A connection reaches no other process than the one that it was opened to, also
    // if that has ended and another listens at its address.
    time_point openedBefore = Never;
};

class http_client
{
public:
    using call_callback = std::function<void(call_result)>;

    // `observer` is called once for each call that used a connection.
    explicit http_client(event_loop &loop, const client_limits &limits = {},
                         exchange_observer observer = {});
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    // Sends the request to `peer` ("ip:port") without blocking. `done` is called exactly once, from
    // the loop and never within call(). A call that runs when this http_client is destroyed goes on
    // and calls `done` as usual. `timeLimit` includes connecting.
    void call(const std::string &peer, http_request request, duration timeLimit,
              call_callback done);
    void call(const std::string &peer, http_request request, large_call_options options,
              call_callback done);

    // Whether a call with such options finds a connection.
    bool hasIdleConnection(const std::string &peer, time_point openedBefore);

    // Closes the idle connections to the peer: they may have stopped working without a reset, and
    // each would cost a call its whole time limit.
    void closeIdle(const std::string &peer);

    // The idle connections; running calls keep it alive. Public for http_client.cpp only.
    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace zinniabarrow::net
