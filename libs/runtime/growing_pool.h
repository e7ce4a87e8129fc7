// A pool of threads that starts more only as they come into use, a few ahead.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace zinniabarrow {

class growing_pool
{
public:
    using work = std::function<void()>;
    using thread_starter = std::function<std::thread(work)>; // throws std::system_error

    // `spare` threads are free where the bound allows it: on a machine that is busy a new thread
    // waits for a processor much longer than one that is woken.
    growing_pool(std::size_t most, std::size_t spare, thread_starter start = startThread);
    ~growing_pool();
    growing_pool(const growing_pool &) = delete;
    growing_pool &operator=(const growing_pool &) = delete;

    // False: no thread is free and the system starts no more, or the pool is shut down. The work is
    // not kept.
    bool enqueue(work what);
    // Returns when all that was enqueued is done.
    void shutdown();

    std::size_t threads();

    static std::thread startThread(work loop);

private:
    void run();
    bool grow();
    void growAhead();
    bool hasFree(std::size_t count) const; // beyond what waits

    const std::size_t m_most;
    const std::size_t m_spare;
    thread_starter m_start;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<work> m_waiting;
    std::vector<std::thread> m_threads;
    std::size_t m_busy = 0; // threads that work
    bool m_closing = false;
};

} // namespace zinniabarrow
