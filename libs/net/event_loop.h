// A single-threaded event loop: timers, posted functions and signals. Callbacks must not block.
// http_listener and http_client run on it.
// Boost.Asio is included in the .cpp files and event_loop_impl.h only.
#pragma once

#include <exception>
#include <functional>
#include <memory>

#include "base/time.h"

namespace zinniabarrow::net {

// Monotonic time that also advances while the machine is suspended (CLOCK_BOOTTIME). Use it to
// judge leases that others have granted to this process: they expire during a suspension, which
// std::chrono::steady_clock would not show. Don't mix its values with monotonic_clock::now(), which
// is std::chrono::steady_clock.
time_point suspendAwareNow();

// For how long the machine was suspended since its start, never too long: a process that is stopped
// between its readings of the two clocks gets a shorter time.
duration suspendedTime();

// Not thread-safe: all functions are called before run() or from a callback, on the thread of
// run(). Timers wait on std::chrono::steady_clock, which stops during a suspension; lateness() and
// overdueTime() measure with suspendAwareNow(), so they include the suspension.
class event_loop
{
public:
    event_loop(); // changes no signal handling
    // Calls `onStop` on the loop at the first SIGTERM or SIGINT after construction, also if it
    // arrives before run(). Ignores SIGPIPE and SIGHUP. Construct the loop before any
    // listener: without the signal handler, a signal would end the process while connections are
    // open.
    explicit event_loop(std::function<void()> onStop);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Runs until stop(). When a callback throws, passes the exception to `onError` and goes on: one
    // unreadable message must not end the process and everything that it owns.
    void run(const std::function<void(const std::exception &)> &onError);
    void stop(); // call from a callback
    void post(std::function<void()> work);
    void runAfter(duration delay, std::function<void()> work);
    // Repeats until the loop stops; each period starts when the previous call has returned, also by
    // an exception.
    void runEvery(duration period, std::function<void()> work);
    // The largest delay with which a timer fired in the current or the previous window of
    // loop_lateness. It covers the last second, and up to three seconds if calls and timers are
    // rare.
    duration lateness() const;
    // Returns by how much the oldest unfired timer is late, 0 if none is. It shows how long the
    // loop has been held up, not how many events are waiting.
    duration overdueTime() const;

    struct impl;
    impl &internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::net
