// Stand-in of the users' platform, on which job-entry and job-agent run, for tests of jobs: a row
// store and workers that run tasks under leases. It runs in this process on its own thread.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

// Addresses of the store, the workers and their agents, and size and speed of the workers.
struct job_platform_options
{
    socket_address store;
    std::vector<socket_address> workers;
    std::vector<socket_address> agentAddresses; // where each worker announces itself
    std::int64_t millicores = 4000;             // of each worker
    milliseconds taskTime{300};                 // run time of each task
};

// Records the runs, and each start that must not happen: of a task that runs elsewhere or was
// completed, or beyond the worker's capacity. Functions may be called from any thread; faults take
// effect soon after the call. Workers are addressed by index.
class job_platform
{
public:
    explicit job_platform(const job_platform_options &options);
    ~job_platform();
    job_platform(const job_platform &) = delete;
    job_platform &operator=(const job_platform &) = delete;

    void loseWriteAnswers(int writeCount);        // applies the next writes, drops their answers
    void setStoreUnavailable(bool isUnavailable); // the store answers 503 without any effect
    void makeUnresponsive(std::size_t worker);    // its runs go on, but it answers no calls
    // Ends the worker and all its runs, closes its listener and sends the agent the message by
    // which a worker announces its shutdown (the deregistration).
    void terminateWorker(std::size_t worker);
    // The same, but the worker's last heartbeat reaches the agent after the deregistration.
    void terminateBeforeAnnouncement(std::size_t worker);
    // Terminates the worker when the lease row with key `lease` is written next, and then delays
    // the answers to writes of that row for 800 ms: longer than an agent needs to detect that its
    // worker is gone.
    void terminateAtLeaseWrite(std::size_t worker, const std::string &lease);
    // Restarts a terminated worker with the same id. From then on it reports its start time only in
    // answers to polls; its heartbeats leave it out.
    void restartWorker(std::size_t worker);
    bool isCancelStored(const std::string &job) const;       // the job's cancel row was written
    std::int64_t leaseEpoch(const std::string &lease) const; // as stored last; 0 if never stored
    void setTaskTime(milliseconds taskTime);                 // for runs that start from now on
    int startCount() const;                                  // runs that have started
    int doneCount() const;                                   // runs that have completed
    int countRunsOn(std::size_t worker) const;               // runs that go on now
    std::size_t busiestWorker() const;                       // the one with the most runs now
    // Starts that must not happen, in words; also internal errors.
    std::vector<std::string> violations() const;

    struct impl;

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::standins
