#include "runtime/growing_pool.h"

#include <system_error>
#include <utility>

namespace zinniabarrow {

growing_pool::growing_pool(std::size_t most, std::size_t spare, thread_starter start)
    : m_most(most)
    , m_spare(spare)
    , m_start(std::move(start))
{
    const std::lock_guard lock(m_mutex);
    growAhead();
}

growing_pool::~growing_pool()
{
    shutdown();
}

bool growing_pool::enqueue(work what)
{
    const std::lock_guard lock(m_mutex);
    if (m_closing)
        return false; // a thread that is started now would be joined by nobody
    if (!hasFree(1) && m_threads.size() < m_most && !grow())
        return false;
    m_waiting.push_back(std::move(what));
    m_changed.notify_one();
    growAhead();
    return true;
}

bool growing_pool::hasFree(std::size_t count) const
{
    return m_threads.size() >= m_busy + m_waiting.size() + count;
}

void growing_pool::growAhead()
{
    while (!hasFree(m_spare) && m_threads.size() < m_most && grow()) { }
}

bool growing_pool::grow()
{
    try {
        m_threads.push_back(m_start([this] { run(); }));
        return true;
    } catch (const std::system_error &) {
        return false; // the limit on threads of the user or of the machine
    }
}

void growing_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_closing = true;
        threads.swap(m_threads);
        m_changed.notify_all();
    }
    for (auto &thread : threads)
        thread.join();
}

std::size_t growing_pool::threads()
{
    const std::lock_guard lock(m_mutex);
    return m_threads.size();
}

std::thread growing_pool::startThread(work loop)
{
    return std::thread(std::move(loop));
}

void growing_pool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_closing || !m_waiting.empty(); });
        if (m_waiting.empty())
            return;
        auto what = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_busy;
        lock.unlock();
        what();
        what = nullptr; // before it counts as free: what the work holds is gone by then
        lock.lock();
        --m_busy;
    }
}

} // namespace zinniabarrow
