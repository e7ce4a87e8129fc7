// HTTP/1.1 server on the event loop. Connections need no thread of their own, and an idle
// connection costs no CPU time until bytes arrive. Not thread-safe: call it on the loop's thread.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "net/event_loop.h"
#include "net/exchange.h"
#include "runtime/http.h"

namespace zinniabarrow::net {

struct listener_limits
{
    std::size_t maxRequestBytes = 256 * 1024; // bytes; a larger request body is answered with 413
    std::size_t maxHeadBytes = 16 * 1024;     // bytes; a larger head closes the connection
    // Memory of all requests that are being read, together. Beyond it, the connection that holds
    // the most is answered with 503 and closed; its request was not handled. A request of less than
    // maxHeldBytes / connectionLimit is never refused for this.
    std::size_t maxHeldBytes = 32 * 1024 * 1024;
    // Of each connection, for bytes that have arrived and are not read; 0: as the system sets it.
    // Linux doubles it for its own use.
    int receiveBufferBytes = 0;
    // Open connections. More are closed at once, to keep file descriptors free; one whose request
    // has been arriving for the longest time, and for more than a second, is closed instead if
    // there is one.
    std::size_t connectionLimit = 1500;
    milliseconds readTimeout{10'000};  // from the first byte of a request to its last one
    milliseconds maxIdleTime{60'000};  // until the first byte of the next request
    milliseconds writeTimeout{10'000}; // time for the client to read the whole answer
};

// Number of open connections in each state.
struct listener_activity
{
    std::size_t idle = 0;      // no byte of the next request was read
    std::size_t unread = 0;    // those of `idle` with unread bytes in their socket
    std::size_t reading = 0;   // a request was read in part
    std::size_t answering = 0; // a request is complete and its answer is pending
    std::size_t writing = 0;   // an answer is being sent
};

// Numbers of connections since the listener was created.
struct listener_totals
{
    std::size_t accepted = 0;
    std::size_t overLimit = 0;     // closed at once because of connectionLimit
    std::size_t madeRoom = 0;      // closed for another one because of connectionLimit
    std::size_t overMemory = 0;    // refused because of maxHeldBytes
    std::size_t acceptRetries = 0; // tries put off for want of file descriptors or memory
    // Closed by the listener although bytes had arrived that it had not read. If these are a
    // request, its caller sees the connection end without an answer.
    std::size_t closedUnread = 0;
};

// Answers one request. May be called within the handler or later, on the loop's thread; only the
// first call has an effect. If all copies are destroyed without a call, the caller gets 500 if an
// exception destroyed the last one; otherwise its connection is closed.
using responder = std::function<void(http_response)>;

class http_listener
{
public:
    using handler = std::function<void(http_request, responder)>;

    // Starts listening immediately. Throws error BadSettings when the address is in use. `observer`
    // is called once for each answered request.
    http_listener(event_loop &loop, const socket_address &address, const listener_limits &limits,
                  handler serve, exchange_observer observer = {});
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    void announceClose(); // answers carry "Connection: close" from now on
    // Stops accepting, except for the connections that already wait to be accepted. Each connection
    // closes once the requests that have arrived on it are answered; an idle one closes at once, or
    // after a short wait for its first request.
    void drain();
    bool isDrained() const; // drain() was called and no connection is open any more
    void answerAll(const http_response &answer); // answers every request that has no answer yet
    std::size_t inFlight() const;                // requests read but not answered yet
    listener_activity activity() const;
    const listener_totals &totals() const;
    socket_address address() const;

    // The socket and the list of connections; connections and responders keep it alive. Public for
    // http_listener.cpp only.
    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace zinniabarrow::net
