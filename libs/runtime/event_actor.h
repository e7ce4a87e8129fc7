// Actors that handle events one at a time. Each has its own thread (a detached actor of CAF, the
// C++ Actor Framework) and a bounded queue of events.
//
// Order of calls: construct, start(), stop(). Nothing runs before start().
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

// Owns the CAF actor system, the parameter `system` below. Must outlive every actor that was
// started on it.
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

// Work that an actor does without an event, and when. `nextTickAt` returns the earliest deadline,
// or Never (base/time.h); it is called after each drain of the queue and after each tick. Every
// tick wakes two threads, CAF's clock and the actor's, so an idle actor should have few.
struct tick_schedule
{
    std::function<time_point()> nextTickAt;
    std::function<void()> tick;
};
tick_schedule periodicTicks(duration period, std::function<void()> tick); // period 0: no ticks

// The thread of an actor: runs `drain`, which handles all queued events, after each wake(), and
// `ticks.tick` when the time that `ticks.nextTickAt` returned has come.
//
// The thread begins in start(), which the owner calls once the object that the callbacks use is
// complete: they may use a pointer to this actor that is assigned only after its constructor.
class actor_thread
{
public:
    actor_thread(actor_runtime &system, std::function<void()> drain, tick_schedule ticks);
    ~actor_thread();
    actor_thread(const actor_thread &) = delete;
    actor_thread &operator=(const actor_thread &) = delete;

    void start(); // once
    // Thread-safe, also before start(). Calls before the next drain are merged into one.
    void wake();
    // Returns when the thread has ended. May be called twice, and without start().
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// An actor that handles events of one type in the order in which they were posted. `capacity` is
// the number of events that can wait. `handle` and `tick` run on the actor's thread and must not
// throw: an exception ends the actor.
template <typename Event>
class event_actor
{
public:
    event_actor(actor_runtime &system, std::size_t capacity, std::function<void(Event &)> handle,
                duration tickPeriod, std::function<void()> tick)
        : m_ring(capacity)
        , m_handle(std::move(handle))
        , m_thread(
                  system, [this] { drain(); }, periodicTicks(tickPeriod, std::move(tick)))
    { }

    event_actor(actor_runtime &system, std::size_t capacity, std::function<void(Event &)> handle,
                tick_schedule ticks)
        : m_ring(capacity)
        , m_handle(std::move(handle))
        , m_thread(
                  system, [this] { drain(); }, std::move(ticks))
    { }

    void start() { m_thread.start(); }

    // Thread-safe. Returns false when the queue is full; the code that posts must then refuse the
    // work and count it. Events that are posted before start() are handled after it. After stop(),
    // events are queued up to the capacity, and not handled.
    bool post(Event event)
    {
        if (!m_ring.push(std::move(event)))
            return false;
        m_thread.wake();
        return true;
    }

    void stop() { m_thread.stop(); }
    // Events that wait to be handled.
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
