// The users' platform as jobs meet it: a store of rows and workers that run tasks under leases, in
// this process on a thread of its own. It notes what it sees, and what it should never have seen.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

struct job_platform_options
{
    socket_address store;
    std::vector<socket_address> workers;
    std::vector<socket_address> agentAddresses; // where each worker announces itself
    std::int64_t millicores = 4000;             // of each worker
    milliseconds taskTime{300};                 // each task
};

class job_platform
{
public:
    explicit job_platform(const job_platform_options &options);
    ~job_platform();
    job_platform(const job_platform &) = delete;
    job_platform &operator=(const job_platform &) = delete;

    void loseWriteAnswers(int writeCount); // the next writes take effect, their answers are lost
    void setStoreUnavailable(bool isUnavailable); // the store answers 503 and does nothing
    void makeUnresponsive(std::size_t worker);    // it runs on and answers nothing any more
    // Its process is gone: what ran there has ended, nothing listens, its agent is told.
    void terminateWorker(std::size_t worker);
    void terminateBeforeAnnouncement(
            std::size_t worker); // its last announcement comes in after its departure
    // The same at the moment at which that worker's lease, of this key, is written next; the
    // answers to writes of it come only after a while.
    void terminateAtLeaseWrite(std::size_t worker, const std::string &lease);
    // One that had gone lives anew under its name; only looks at it tell when it was born.
    void restartWorker(std::size_t worker);
    bool isCancelStored(const std::string &job) const;       // its row is written
    std::int64_t leaseEpoch(const std::string &lease) const; // as stored; 0: there is no such row
    void setTaskTime(milliseconds taskTime);                 // of tasks that start from now on
    int startCount() const;                                  // that began a run
    int doneCount() const;                                   // runs that ended so
    int countRunsOn(std::size_t worker) const;
    std::size_t busiestWorker() const; // where most runs are
    std::vector<std::string> violations() const;

    struct impl;

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::standins
