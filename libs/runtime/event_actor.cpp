#include "runtime/event_actor.h"

#include <algorithm>

#include <caf/all.hpp>

namespace zinniabarrow {

namespace {

using wake_atom = caf::atom_constant<caf::atom("wake")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

caf::actor_system_config &configureOneThread(caf::actor_system_config &config)
{
    // Every actor is detached and has its own thread; more pool threads would be idle.
    config.set("scheduler.max-threads", 1);
    return config;
}

} // namespace

struct actor_runtime::impl
{
    impl()
        : system(configureOneThread(config))
    { }

    caf::actor_system_config config;
    caf::actor_system system;
};

actor_runtime::actor_runtime()
    : m_impl(std::make_unique<impl>())
{ }

actor_runtime::~actor_runtime() = default;

struct actor_thread::impl
{
    explicit impl(caf::actor_system &actorSystem)
        : system(actorSystem)
    { }

    caf::behavior behaviour(caf::event_based_actor *self)
    {
        armTimer(self);
        return {
                [this, self](wake_atom) {
                    // Cleared before draining: an event posted during the drain wakes the actor
                    // again, so that no event is left in the queue.
                    isWakePending.store(false);
                    drain();
                    armTimer(self);
                },
                [this, self](tick_atom, std::uint64_t timer) {
                    if (timer != newestTimerNumber)
                        return; // a later timer for an earlier deadline has replaced this one
                    timerDueAt = Never;
                    if (ticks.nextTickAt() <= monotonic_clock::now())
                        ticks.tick();
                    armTimer(self);
                },
        };
    }

    // If the deadline was postponed, the pending timer is left to fire: re-arming it at each event
    // would cost more than that one tick.
    void armTimer(caf::event_based_actor *self)
    {
        const auto dueAt = ticks.nextTickAt();
        if (dueAt >= timerDueAt)
            return;
        timerDueAt = dueAt;
        const auto delay = std::max<duration>(dueAt - monotonic_clock::now(), MinTimerDelay);
        self->delayed_send(self, delay, tick_atom::value, ++newestTimerNumber);
    }

    // Lower limit of the delay: a tick that does not move its deadline forward would otherwise use
    // a whole core.
    static constexpr milliseconds MinTimerDelay{1};

    caf::actor_system &system;
    std::function<void()> drain;
    tick_schedule ticks;
    std::atomic<bool> isWakePending{false};
    std::atomic<bool> isStarted{false};
    std::atomic<bool> isStopped{false};
    caf::actor actor; // assigned before isStarted is set, and read only while that is set

    // Used by the actor's thread only.
    time_point timerDueAt = Never;
    std::uint64_t newestTimerNumber = 0;
};

tick_schedule periodicTicks(duration period, std::function<void()> tick)
{
    if (period.count() == 0)
        return {[] { return Never; }, [] {}};
    // The period starts at the end of the previous tick, so that slow ticks do not run back to
    // back.
    auto due = std::make_shared<time_point>(monotonic_clock::now() + period);
    return {[due] { return *due; },
            [due, period, tick = std::move(tick)] {
                tick();
                *due = monotonic_clock::now() + period;
            }};
}

actor_thread::actor_thread(actor_runtime &system, std::function<void()> drain, tick_schedule ticks)
    : m_impl(std::make_unique<impl>(system.internals().system))
{
    m_impl->drain = std::move(drain);
    m_impl->ticks = std::move(ticks);
}

actor_thread::~actor_thread()
{
    stop();
}

void actor_thread::start()
{
    impl *state = m_impl.get();
    m_impl->actor = m_impl->system.spawn<caf::detached>(
            [state](caf::event_based_actor *self) { return state->behaviour(self); });
    m_impl->isStarted.store(true);
    // A wake() until now, also one by the new thread itself, could not be sent.
    if (m_impl->isWakePending.load())
        caf::anon_send(m_impl->actor, wake_atom::value);
}

void actor_thread::wake()
{
    if (!m_impl->isWakePending.exchange(true) && m_impl->isStarted.load())
        caf::anon_send(m_impl->actor, wake_atom::value);
}

void actor_thread::stop()
{
    if (!m_impl->isStarted.load() || m_impl->isStopped.exchange(true))
        return;
    caf::scoped_actor self(m_impl->system);
    self->send_exit(m_impl->actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_impl->actor);
}

} // namespace zinniabarrow
