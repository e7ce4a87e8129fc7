#include "runtime/growing_pool.h"

#include <system_error>
#include <utility>

namespace zinniabarrow {

growing_pool::growing_pool(std::size_t most, thread_starter start)
    : m_most(most)
    , m_start(std::move(start))
{ }

growing_pool::~growing_pool()
{
    shutdown();
}

bool growing_pool::enqueue(work what)
{
    const std::lock_guard lock(m_mutex);
    // Each idle thread has its share of what waits before.
    const bool taken = m_waiting.size() < m_idle;
    if (!taken && m_threads.size() < m_most && !grow())
        return false;
    m_waiting.push_back(std::move(what));
    m_changed.notify_one();
    return true;
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
        ++m_idle;
        m_changed.wait(lock, [this] { return m_closing || !m_waiting.empty(); });
        --m_idle;
        if (m_waiting.empty())
            return;
        auto what = std::move(m_waiting.front());
        m_waiting.pop_front();
        lock.unlock();
        what();
        what = nullptr; // before it counts as idle: what the work holds is free by then
        lock.lock();
    }
}

} // namespace zinniabarrow
