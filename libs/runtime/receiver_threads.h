// Threads that receive answers: started when first needed, kept for the next answer.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace zinniabarrow {

// One job a thread at a time, and never a job that waits for a thread: there are as many threads as
// there were answers at once, which the server's bound on connections limits.
class receiver_threads
{
public:
    receiver_threads() = default;
    ~receiver_threads();
    receiver_threads(const receiver_threads &) = delete;
    receiver_threads &operator=(const receiver_threads &) = delete;

    void run(std::function<void()> job);
    void stop(); // waits for the jobs

private:
    void runJobs();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    std::size_t m_idle = 0; // threads that wait, less the jobs that wait for them
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace zinniabarrow
