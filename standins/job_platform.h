// The users' platform as jobs meet it: a store of rows and workers that run tasks under leases, in
// this process on a thread of its own. It notes what it sees, and what it should never have seen.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow::standins {

struct job_site_options
{
    socket_address store;
    std::vector<socket_address> workers;
    std::vector<socket_address> agents; // where each worker announces itself
    std::int64_t millicores = 4000;     // of each worker
    milliseconds work{300};             // each task
};

class job_site
{
public:
    explicit job_site(const job_site_options &options);
    ~job_site();
    job_site(const job_site &) = delete;
    job_site &operator=(const job_site &) = delete;

    void loseAnswers(int writes);     // the next writes take effect, their answers are lost
    void turnAway(bool all);          // the store answers 503 and does nothing
    void silence(std::size_t worker); // it runs on and answers nothing any more
    // Its process is gone: what ran there has ended, nothing listens, its agent is told.
    void depart(std::size_t worker);
    void departOvertaken(std::size_t worker); // its last announcement comes in after its departure
    // The same at the moment at which that worker's lease, of this key, is written next; the
    // answers to writes of it come only after a while.
    void departAtRenewal(std::size_t worker, const std::string &lease);
    // One that had gone lives anew under its name; only looks at it tell when it was born.
    void comeBack(std::size_t worker);
    bool agentsReadCancelOf(const std::string &job) const;   // its row is written
    std::int64_t leaseEpoch(const std::string &lease) const; // as stored; 0: there is no such row
    void workLasts(milliseconds work);                       // of tasks that start from now on
    int starts() const;                                      // that began a run
    int done() const;                                        // runs that ended so
    int runsOn(std::size_t worker) const;
    std::size_t busiestWorker() const; // where most runs are
    std::vector<std::string> violations() const;

    struct impl;

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::standins
