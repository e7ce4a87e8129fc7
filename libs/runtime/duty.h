// Duties: one thread for each, a CAF detached actor behind it, joined by bounded rings.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/bounded_ring.h"
#include "base/time.h"

namespace zinniabarrow {

// Owns the actor system. Outlives every duty started on it.
class duty_system
{
public:
    duty_system();
    ~duty_system();
    duty_system(const duty_system &) = delete;
    duty_system &operator=(const duty_system &) = delete;

    struct impl;
    impl &internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

// The thread of a duty: runs `drain` after each wake, and `tick` every `tickEvery`.
class duty_thread
{
public:
    duty_thread(duty_system &system, std::function<void()> drain, duration tickEvery,
                std::function<void()> tick);
    ~duty_thread();
    duty_thread(const duty_thread &) = delete;
    duty_thread &operator=(const duty_thread &) = delete;

    void wake(); // from any thread; wakes that come before the drain are joined into one
    void stop(); // returns after the last drain; calling it twice is fine

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// A duty that handles events of one type in the order of its ring.
template <typename Event>
class duty
{
public:
    duty(duty_system &system, std::size_t capacity, std::function<void(Event &)> handle,
         duration tickEvery, std::function<void()> tick)
        : m_ring(capacity)
        , m_handle(std::move(handle))
        , m_thread(
                  system, [this] { drain(); }, tickEvery, std::move(tick))
    { }

    // False when the ring is full: the caller refuses the work and counts it.
    bool post(Event event)
    {
        if (!m_ring.push(std::move(event)))
            return false;
        m_thread.wake();
        return true;
    }

    void stop() { m_thread.stop(); }
    std::size_t waiting() const { return m_ring.size(); }

private:
    void drain()
    {
        while (auto event = m_ring.pop())
            m_handle(*event);
    }

    bounded_ring<Event> m_ring;
    std::function<void(Event &)> m_handle;
    duty_thread m_thread;
};

} // namespace zinniabarrow
