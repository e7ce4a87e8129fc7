#include "runtime/duty.h"

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
        if (tickEvery.count() > 0)
            self->delayed_send(self, tickEvery, tick_atom::value);
        return {
                [this](wake_atom) {
                    // Cleared before draining: an event pushed meanwhile wakes again, so none is
                    // left lying in the ring.
                    awake.store(false);
                    drain();
                },
                [this, self](tick_atom) {
                    self->delayed_send(self, tickEvery, tick_atom::value);
                    tick();
                },
        };
    }

    caf::actor_system &system;
    std::function<void()> drain;
    std::function<void()> tick;
    duration tickEvery{0};
    std::atomic<bool> awake{false};
    std::atomic<bool> stopped{false};
    caf::actor actor;
};

duty_thread::duty_thread(duty_system &system, std::function<void()> drain, duration tickEvery,
                         std::function<void()> tick)
    : m_impl(std::make_unique<impl>(system.internals().system))
{
    m_impl->drain = std::move(drain);
    m_impl->tick = std::move(tick);
    m_impl->tickEvery = tickEvery;
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
