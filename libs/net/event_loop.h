// A single-threaded event loop: timers, posted functions and signals. Callbacks must not block.
// Boost.Asio is included in the .cpp files and event_loop_impl.h only.
#pragma once

#include <exception>
#include <functional>
#include <memory>

#include "base/time.h"

namespace zinniabarrow::net {

// Monotonic time that also advances while the machine is suspended (CLOCK_BOOTTIME). Leases that
// others hold against this process expire meanwhile, which std::chrono::steady_clock would not
// show.
time_point suspendAwareNow();

class event_loop
{
public:
    event_loop();
    // Calls `onStop` on the loop at the first SIGTERM or SIGINT after construction, also if it
    // arrives before run(). Ignores SIGPIPE and SIGHUP. Create listeners after the loop: without
    // the signal handler, a signal would end the process while connections are open.
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
    // The largest delay with which a timer fired during the last one to two seconds.
    duration lateness() const;
    // Returns by how much the oldest unfired timer is late; newer events may be waiting
    // too.
    duration overdueTime() const;

    struct impl;
    impl &internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::net
