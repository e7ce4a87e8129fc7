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
class actor_runtime
{
public:
    actor_runtime();
    ~actor_runtime();
    actor_runtime(const actor_runtime &) = delete;
    actor_runtime &operator=(const actor_runtime &) = delete;

    struct impl;
    impl &internals() { return *m_impl; }

private:
    std::unique_ptr<impl> m_impl;
};

// What a duty does though nothing happens, and when: Never, or the earliest of its deadlines.
// `next` is asked after each drain and tick. A tick wakes two threads, so a duty at rest should
// have few.
struct tick_schedule
{
    std::function<time_point()> nextTickAt;
    std::function<void()> tick;
};
tick_schedule periodicTicks(duration period, std::function<void()> tick); // 0: never

// The thread of a duty: runs `drain` after each wake, and `ticks.tick` when its time has come.
class actor_thread
{
public:
    actor_thread(actor_runtime &system, std::function<void()> drain, tick_schedule ticks);
    ~actor_thread();
    actor_thread(const actor_thread &) = delete;
    actor_thread &operator=(const actor_thread &) = delete;

    void wake(); // from any thread; wakes that come before the drain are joined into one
    void stop(); // returns after the last drain; calling it twice is fine

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// A duty that handles events of one type in the order of its ring.
template <typename Event>
class event_actor
{
public:
    event_actor(actor_runtime &system, std::size_t capacity, std::function<void(Event &)> handle,
                duration tickEvery, std::function<void()> tick)
        : m_ring(capacity)
        , m_handle(std::move(handle))
        , m_thread(
                  system, [this] { drain(); }, periodicTicks(tickEvery, std::move(tick)))
    { }

    event_actor(actor_runtime &system, std::size_t capacity, std::function<void(Event &)> handle,
                tick_schedule ticks)
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
    std::size_t queuedCount() const { return m_ring.size(); }

private:
    void drain()
    {
        while (auto event = m_ring.pop())
            m_handle(*event);
    }

    bounded_ring<Event> m_ring;
    std::function<void(Event &)> m_handle;
    actor_thread m_thread;
};

} // namespace zinniabarrow
