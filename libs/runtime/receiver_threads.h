// A pool of threads that receive the answers to http_pool::callStreaming(). A thread starts when it
// is first needed and is then reused.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace zinniabarrow {

// Each thread runs one job at a time, and no job waits for a busy thread: there are as many threads
// as there were simultaneous answers, which the connection limit of this process's server bounds.
// run() is thread-safe.
class receiver_threads
{
public:
    receiver_threads() = default;
    ~receiver_threads();
    receiver_threads(const receiver_threads &) = delete;
    receiver_threads &operator=(const receiver_threads &) = delete;

    void run(std::function<void()> job);
    void stop(); // waits until all jobs have finished; don't call run() meanwhile or later

private:
    void runJobs();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    std::size_t m_idle = 0; // waiting threads minus the queued jobs that they will take
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace zinniabarrow
