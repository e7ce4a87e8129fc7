// Duties: one thread for each, a CAF detached actor behind it, joined by bounded rings.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
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

// What a duty does though nothing happens, and when: Never, or the earliest of its deadlines.
// `next` is asked after each drain and tick. A tick wakes two threads, so a duty at rest should
// have few.
struct tick_plan
{
    std::function<time_point()> next;
    std::function<void()> tick;
};
tick_plan everyPeriod(duration period, std::function<void()> tick); // 0: never

// The thread of a duty: runs `drain` after each wake, and `ticks.tick` when its time has come.
class duty_thread
{
public:
    duty_thread(duty_system &system, std::function<void()> drain, tick_plan ticks);
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
                  system, [this] { drain(); }, everyPeriod(tickEvery, std::move(tick)))
    { }

    duty(duty_system &system, std::size_t capacity, std::function<void(Event &)> handle,
         tick_plan ticks)
        : m_ring(capacity)
        , m_handle(std::move(handle))
        , m_thread(
                  system, [this] { drain(); }, std::move(ticks))
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
