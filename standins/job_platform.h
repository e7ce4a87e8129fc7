// Stand-in of the users' platform, on which job-entry and job-agent run, for tests of jobs: a row
// store and workers that run tasks under leases. It runs in this process on its own thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"
#include "standins/job_worker.h"

namespace zinniabarrow::standins {

// How the agent of a restarted worker, which keeps its id, learns of the new incarnation.
enum class restart_notice {
    ByPollsOnly, // heartbeats leave out the start time
    ByPollFirst, // the first heartbeat comes after the answer to a poll; each gives the start time
};

// Addresses of the store, the workers and their agents, and size and speed of the workers.
struct job_platform_options
{
    socket_address store;
    std::vector<socket_address> workers;
    std::vector<socket_address> agentAddresses; // where each worker announces itself
    std::int64_t millicores = 4000;             // of each worker
    milliseconds taskTime{300};                 // run time of tasks whose shape has none
    milliseconds stopTime{0};                   // from a call that stops a run to its end
    milliseconds gangTimeout{3000};             // how long a member of a gang waits for the others
    // All are called on the platform's own thread, and must not call the platform.
    std::function<task_shape(const jobs::task_id &task)> describeTask = [](const jobs::task_id &) {
        return task_shape{};
    };
    std::function<void(const run_notice &)> onRun = [](const run_notice &) {};
    std::function<void(std::size_t worker)> onLapse = [](std::size_t) {}; // its lease has run out
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
    void loseStoreAnswers(int interval);          // each interval-th answer of the store; 0: none
    void setStoreUnavailable(bool isUnavailable); // the store answers 503 without any effect
    void setStoreSilent(bool isSilent);           // calls wait until it isn't silent any more
    void setStoreDelay(milliseconds delay);       // before each call of the store is carried out
    void makeUnresponsive(std::size_t worker);    // its runs go on, but it answers no calls
    // Ends the worker and all its runs, closes its listener and sends the agent the message by
    // which a worker announces its shutdown (the deregistration).
    void terminateWorker(std::size_t worker);
    void crashWorker(std::size_t worker); // as terminateWorker(), but it announces nothing
    // A hung worker sends no heartbeats and takes calls without an answer; its runs and its lease
    // go on. When it works again, it carries out those calls first.
    void setWorkerHung(std::size_t worker, bool isHung);
    // The worker says from now on that it is going to shut down; it still takes calls.
    void drainWorker(std::size_t worker);
    // As terminateWorker(), but the worker's last heartbeat reaches the agent after the
    // deregistration.
    void terminateBeforeAnnouncement(std::size_t worker);
    // Terminates the worker when the lease row with key `lease` is written next, and then delays
    // the answers to writes of that row for 800 ms: longer than an agent needs to detect that its
    // worker is gone.
    void terminateAtLeaseWrite(std::size_t worker, const std::string &lease);
    // Restarts a terminated worker with the same id. Its clock starts anew.
    void restartWorker(std::size_t worker, restart_notice notice = restart_notice::ByPollsOnly);
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
