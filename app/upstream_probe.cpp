#include "app/upstream_probe.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds LookEvery{100};
constexpr milliseconds ConnectWithin{300};

} // namespace

upstream_probe::upstream_probe(duty_system &system, socket_address upstream,
                               std::function<void(bool)> changed)
    : m_upstream(std::move(upstream))
    , m_changed(std::move(changed))
{
    m_thread = std::make_unique<duty_thread>(
            system, [this] { m_changed(false); },
            tick_plan{[this] { return m_isUp ? Never : m_lookAt; }, [this] { look(); }});
}

upstream_probe::~upstream_probe() = default;

void upstream_probe::noteUnreachable()
{
    if (m_isUp.exchange(false))
        m_thread->wake();
}

void upstream_probe::stop()
{
    m_thread->stop();
}

void upstream_probe::look()
{
    m_lookAt = monotonic_clock::now() + LookEvery;
    if (m_isUp || !canConnect(m_upstream, ConnectWithin))
        return;
    m_isUp = true;
    m_changed(true);
}

} // namespace zinniabarrow
