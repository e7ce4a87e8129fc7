// One thread's event loop: timers, work posted from outside, and signals. What runs on it must not
// block. Boost.Asio stays in the .cpp files.
#pragma once

#include <exception>
#include <functional>
#include <memory>

#include "base/time.h"

namespace zinniabarrow::net {

// Monotonic time that goes on while the machine is suspended: leases that others hold against this
// process run out meanwhile, and std::chrono::steady_clock would not show it.
time_point suspendAwareNow();

class event_loop
{
public:
    event_loop();
    // `onStop` runs on the loop at the first SIGTERM or SIGINT from here on, also one that comes
    // before run(); SIGPIPE and SIGHUP are ignored. What listens is made after its loop: a signal
    // that nobody hears of would end the process with connections open.
    explicit event_loop(std::function<void()> onStop);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Returns after stop(). A callback that throws ends, and nothing else: one message that can't
    // be read must not take the process, and all that it owns, with it. `failed` hears of it.
    void run(const std::function<void(const std::exception &)> &onError);
    void stop(); // from any callback
    void post(std::function<void()> work);
    void runAfter(duration delay, std::function<void()> work);
    // Repeats until the loop stops; the next turn is counted from the end of the last.
    void runEvery(duration period, std::function<void()> work);
    // How late timers fired, at most, over the last seconds: how far the loop is behind.
    duration lateness() const;
    duration
    overdueTime() const; // of the first timer that has come due: what came since may wait, too

    struct impl;
    impl &internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::net
