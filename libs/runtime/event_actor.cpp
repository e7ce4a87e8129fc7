#include "runtime/event_actor.h"

#include <algorithm>

#include <caf/all.hpp>

namespace zinniabarrow {

namespace {

using wake_atom = caf::atom_constant<caf::atom("wake")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

caf::actor_system_config &configured(caf::actor_system_config &config)
{
    // Every duty is detached and brings its own thread; the pool's threads would idle.
    config.set("scheduler.max-threads", 1);
    return config;
}

} // namespace

struct duty_system::impl
{
    impl()
        : system(configured(config))
    { }

    caf::actor_system_config config;
    caf::actor_system system;
};

duty_system::duty_system()
    : m_impl(std::make_unique<impl>())
{ }

duty_system::~duty_system() = default;

struct duty_thread::impl
{
    explicit impl(caf::actor_system &actorSystem)
        : system(actorSystem)
    { }

    caf::behavior behaviour(caf::event_based_actor *self)
    {
        arm(self);
        return {
                [this, self](wake_atom) {
                    // Cleared before draining: an event pushed meanwhile wakes again, so none is
                    // left lying in the ring.
                    awake.store(false);
                    drain();
                    arm(self);
                },
                [this, self](tick_atom, std::uint64_t timer) {
                    if (timer != newestTimer)
                        return; // an earlier deadline came up since
                    armedFor = Never;
                    if (ticks.next() <= monotonic_clock::now())
                        ticks.tick();
                    arm(self);
                },
        };
    }

    // A timer that rings before the deadline, because that was put off since, is let ring: arming
    // anew at each event would cost more than the one tick.
    void arm(caf::event_based_actor *self)
    {
        const auto at = std::max(ticks.next(), startAt);
        if (at >= armedFor)
            return;
        armedFor = at;
        const auto pause = std::max<duration>(at - monotonic_clock::now(), ShortestPause);
        self->delayed_send(self, pause, tick_atom::value, ++newestTimer);
    }

    // A tick that leaves its deadline where it was would otherwise take the whole core.
    static constexpr milliseconds ShortestPause{1};
    // The duty's owner is still being constructed when the thread starts.
    static constexpr milliseconds FirstPause{10};

    caf::actor_system &system;
    std::function<void()> drain;
    tick_plan ticks;
    std::atomic<bool> awake{false};
    std::atomic<bool> stopped{false};
    caf::actor actor;

    // Touched by the duty's thread alone.
    const time_point startAt = monotonic_clock::now() + FirstPause;
    time_point armedFor = Never;
    std::uint64_t newestTimer = 0;
};

tick_plan everyPeriod(duration period, std::function<void()> tick)
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

duty_thread::duty_thread(duty_system &system, std::function<void()> drain, tick_plan ticks)
    : m_impl(std::make_unique<impl>(system.internals().system))
{
    m_impl->drain = std::move(drain);
    m_impl->ticks = std::move(ticks);
    impl *state = m_impl.get();
    m_impl->actor = m_impl->system.spawn<caf::detached>(
            [state](caf::event_based_actor *self) { return state->behaviour(self); });
}

duty_thread::~duty_thread()
{
    stop();
}

void duty_thread::wake()
{
    if (!m_impl->awake.exchange(true))
        caf::anon_send(m_impl->actor, wake_atom::value);
}

void duty_thread::stop()
{
    if (m_impl->stopped.exchange(true))
        return;
    caf::scoped_actor self(m_impl->system);
    self->send_exit(m_impl->actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_impl->actor);
    m_impl->actor = nullptr;
}

} // namespace zinniabarrow
