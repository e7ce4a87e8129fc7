// An HTTP/1.1 client on the event loop: one pool of kept connections for each peer; each call has a
// connection of its own until it is answered, and one in doubt is dropped.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/answer_deadline.h"
#include "net/event_loop.h"
#include "runtime/http.h"

namespace zinniabarrow::net {

struct caller_limits
{
    std::size_t maxIdlePerPeer = 4;                 // kept for reuse
    milliseconds maxIdleTime{20'000};               // below the listeners' own limit
    milliseconds connectTimeout{400};               // then NotConnected
    std::size_t answerBytesLimit = 4 * 1024 * 1024; // a larger answer ends the call as TooLarge
};

// A call whose answer may be large.
struct large_call
{
    call_time_limits timeLimits;
    std::size_t answerBytesLimit = 0; // in place of the limit of all calls
    // The head of the answer has come, with the size of the body; 0: not declared.
    std::function<void(std::uint64_t bytes)> onHead = [](std::uint64_t) {};
};

class http_caller
{
public:
    using call_callback = std::function<void(call_result)>;

    explicit http_caller(event_loop &loop, const caller_limits &limits = {});
    ~http_caller();
    http_caller(const http_caller &) = delete;
    http_caller &operator=(const http_caller &) = delete;

    // `done` is called once, from the loop.
    void call(const std::string &peer, http_request request, duration timeLimit,
              call_callback done);
    void call(const std::string &peer, http_request request, large_call options,
              call_callback done);

    struct shared_state;

private:
    std::shared_ptr<shared_state> m_state;
};

} // namespace zinniabarrow::net
