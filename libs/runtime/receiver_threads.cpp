#include "runtime/receiver_threads.h"

#include <utility>

namespace zinniabarrow {

receiver_threads::~receiver_threads()
{
    stop();
}

void receiver_threads::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void receiver_threads::run(std::function<void()> job)
{
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.push_back(std::move(job));
        if (m_idle > 0)
            --m_idle;
        else
            m_threads.emplace_back([this] { runJobs(); });
    }
    m_changed.notify_one(); // after unlocking, so that the woken thread does not block on the mutex
}

void receiver_threads::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_jobs.empty())
            return;
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
        ++m_idle;
    }
}

} // namespace zinniabarrow
