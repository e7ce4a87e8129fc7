#include "net/event_loop.h"

#include <csignal>
#include <ctime>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/event_loop_impl.h"

namespace zinniabarrow::net {

namespace asio = boost::asio;

time_point suspendAwareNow()
{
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(bootTime.tv_sec) + std::chrono::nanoseconds(bootTime.tv_nsec)));
}

duration suspendedTime()
{
    const auto sinceStart = suspendAwareNow();
    return sinceStart - monotonic_clock::now();
}

event_loop::event_loop()
    : m_impl(std::make_unique<impl>())
{ }

event_loop::event_loop(std::function<void()> onStop)
    : event_loop()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    m_impl->signals.add(SIGTERM);
    m_impl->signals.add(SIGINT);
    m_impl->signals.async_wait([onStop = std::move(onStop)](const auto &failure, int) {
        if (!failure)
            onStop();
    });
}

event_loop::~event_loop() = default;

void event_loop::run(const std::function<void(const std::exception &)> &onError)
{
    const auto work = asio::make_work_guard(m_impl->io);
    while (!m_impl->io.stopped()) {
        try {
            m_impl->io.run();
        } catch (const std::exception &problem) {
            onError(problem);
        }
    }
}

void event_loop::stop()
{
    m_impl->io.stop();
}

void event_loop::post(std::function<void()> work)
{
    asio::post(m_impl->io, std::move(work));
}

void event_loop::runAfter(duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(m_impl->io, delay);
    const auto due = suspendAwareNow() + delay;
    m_impl->timerLateness.addTimer(due);
    timer->async_wait([this, timer, due, work = std::move(work)](const auto &failure) {
        if (failure)
            return;
        m_impl->timerLateness.recordFired(due, suspendAwareNow());
        work();
    });
}

duration event_loop::lateness() const
{
    return m_impl->timerLateness.maxLateness(suspendAwareNow());
}

duration event_loop::overdueTime() const
{
    return m_impl->timerLateness.overdueTime(suspendAwareNow());
}

void event_loop::runEvery(duration period, std::function<void()> work)
{
    runAfter(period, [this, period, work = std::move(work)]() mutable {
        // Periodic renewals and reports must continue after a call that throws; whoever depends on
        // them would otherwise wait forever.
        try {
            work();
        } catch (...) {
            runEvery(period, std::move(work));
            throw;
        }
        runEvery(period, std::move(work));
    });
}

} // namespace zinniabarrow::net
