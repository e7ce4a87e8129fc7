#include "app/upstream_probe.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds ProbeInterval{100};
constexpr milliseconds ConnectTimeout{300};

} // namespace

upstream_probe::upstream_probe(actor_runtime &system, socket_address upstream,
                               std::function<void(bool)> onChanged)
    : m_upstream(std::move(upstream))
    , m_onChanged(std::move(onChanged))
{
    m_thread = std::make_unique<actor_thread>(
            system, [this] { m_onChanged(false); },
            tick_schedule{[this] { return m_isUp ? Never : m_nextProbeAt; }, [this] { probe(); }});
    m_thread->start();
}

upstream_probe::~upstream_probe() = default;

void upstream_probe::reportUnreachable()
{
    if (m_isUp.exchange(false))
        m_thread->wake();
}

void upstream_probe::stop()
{
    m_thread->stop();
}

void upstream_probe::probe()
{
    m_nextProbeAt = monotonic_clock::now() + ProbeInterval;
    if (m_isUp || !canConnect(m_upstream, ConnectTimeout))
        return;
    m_isUp = true;
    m_onChanged(true);
}

} // namespace zinniabarrow
