#include "runtime/event_actor.h"

#include <algorithm>

#include <caf/all.hpp>

namespace zinniabarrow {

namespace {

using wake_atom = caf::atom_constant<caf::atom("wake")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

caf::actor_system_config &configureOneThread(caf::actor_system_config &config)
{
    // Every duty is detached and brings its own thread; the pool's threads would idle.
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
                    // Cleared before draining: an event pushed meanwhile wakes again, so none is
                    // left lying in the ring.
                    isWakePending.store(false);
                    drain();
                    armTimer(self);
                },
                [this, self](tick_atom, std::uint64_t timer) {
                    if (timer != newestTimerNumber)
                        return; // an earlier deadline came up since
                    timerDueAt = Never;
                    if (ticks.nextTickAt() <= monotonic_clock::now())
                        ticks.tick();
                    armTimer(self);
                },
        };
    }

    // A timer that rings before the deadline, because that was put off since, is let ring: arming
    // anew at each event would cost more than the one tick.
    void armTimer(caf::event_based_actor *self)
    {
        const auto dueAt = std::max(ticks.nextTickAt(), ticksAllowedFrom);
        if (dueAt >= timerDueAt)
            return;
        timerDueAt = dueAt;
        const auto delay = std::max<duration>(dueAt - monotonic_clock::now(), MinTimerDelay);
        self->delayed_send(self, delay, tick_atom::value, ++newestTimerNumber);
    }

    // A tick that leaves its deadline where it was would otherwise take the whole core.
    static constexpr milliseconds MinTimerDelay{1};
    // The duty's owner is still being constructed when the thread starts.
    static constexpr milliseconds FirstTickDelay{10};

    caf::actor_system &system;
    std::function<void()> drain;
    tick_schedule ticks;
    std::atomic<bool> isWakePending{false};
    std::atomic<bool> isStopped{false};
    caf::actor actor;

    // Touched by the duty's thread alone.
    const time_point ticksAllowedFrom = monotonic_clock::now() + FirstTickDelay;
    time_point timerDueAt = Never;
    std::uint64_t newestTimerNumber = 0;
};

tick_schedule periodicTicks(duration period, std::function<void()> tick)
{
    if (period.count() == 0)
        return {[] { return Never; }, [] {}};
    // Counted from the end of the tick before, so that slow ticks do not follow each other at once.
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
    impl *state = m_impl.get();
    m_impl->actor = m_impl->system.spawn<caf::detached>(
            [state](caf::event_based_actor *self) { return state->behaviour(self); });
}

actor_thread::~actor_thread()
{
    stop();
}

void actor_thread::wake()
{
    if (!m_impl->isWakePending.exchange(true))
        caf::anon_send(m_impl->actor, wake_atom::value);
}

void actor_thread::stop()
{
    if (m_impl->isStopped.exchange(true))
        return;
    caf::scoped_actor self(m_impl->system);
    self->send_exit(m_impl->actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_impl->actor);
    m_impl->actor = nullptr;
}

} // namespace zinniabarrow
