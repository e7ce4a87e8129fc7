// An HTTP/1.1 server on the event loop: any number of open connections without a thread each; an
// idle connection costs nothing until bytes come.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "net/event_loop.h"
#include "runtime/http.h"

namespace zinniabarrow::net {

struct listener_limits
{
    std::size_t maxRequestBytes = 256 * 1024; // a larger request is answered 413
    std::size_t maxHeadBytes = 16 * 1024;     // a larger head ends the connection
    std::size_t connectionLimit = 1500;       // beyond: closed at once, so that descriptors remain
    milliseconds readTimeout{10'000};         // a request is whole this long after its head
    milliseconds maxIdleTime{60'000};  // between requests; one that has begun gets readWithin
    milliseconds writeTimeout{10'000}; // an answer is taken whole within this
};

// What the open connections are at, at one moment.
struct listener_activity
{
    std::size_t idle = 0;      // nothing of a next request was read
    std::size_t unread = 0;    // of the idle ones: bytes wait in the socket
    std::size_t reading = 0;   // a request was read in part
    std::size_t answering = 0; // a request is whole and has no answer yet
    std::size_t writing = 0;   // an answer isn't out
};

using responder = std::function<void(http_response)>; // called once, at any later time

class http_listener
{
public:
    using handler = std::function<void(http_request, responder)>;

    // Listens at once. Throws error BadSettings when the address is taken.
    http_listener(event_loop &loop, const socket_address &address, const listener_limits &limits,
                  handler serve);
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    void announceClose(); // answers carry "Connection: close" from now on
    // Takes no more connections than those that wait to be accepted. Each ends once what has come
    // on it is answered: at once where nothing has.
    void drain();
    bool isDrained() const;                      // after drain(): no connection is open any more
    void answerAll(const http_response &answer); // each request that has no answer yet
    std::size_t inFlight() const;                // requests read and not yet answered
    listener_activity activity() const;
    socket_address address() const;

    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace zinniabarrow::net
