// Maintains the lease of an agent's worker in the platform's store. Executes the reads and writes
// that jobs::worker_lease decides on.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/store_client.h"
#include "base/event_log.h"
#include "jobs/worker_lease.h"
#include "net/event_loop.h"

namespace zinniabarrow {

class lease_keeper
{
public:
    struct callbacks
    {
        // The lease is acquired anew, or all runs of the epoch have ended: no task may start until
        // epochSettled.
        std::function<void()> epochLost;
        std::function<void(const jobs::epoch_settled &)> epochSettled;
        std::function<void()> fenceAcquired; // calls to the worker must carry the new fence
    };

    // `longestSuspension`: of the agent's machine, at most.
    lease_keeper(net::event_loop &loop, store_client &store, event_log &log, std::string agent,
                 milliseconds longestSuspension, callbacks handlers);

    const jobs::worker_lease &lease() const { return m_lease; }
    // Acquires a new fence, a number that rises each time and makes orders and calls with an
    // earlier one invalid. The epoch is settled later: it continues if the worker's incarnation is
    // still that of the lease row and no watcher has ended the epoch. Otherwise a new one begins
    // once all runs of the earlier one have ended. `reason` is logged.
    void acquire(const char *reason);
    // Called every LeaseRenewInterval, and when the worker answers again. `heldUntil` is set while
    // the worker does not answer, and at the agent's end: a hold call lets the worker's runs
    // continue until a deadline, and this is the last one. The lease is then renewed only as
    // jobs::worker_lease::renew() says.
    void renew(std::optional<time_point> heldUntil = std::nullopt);
    // As jobs::worker_lease, for the writes from now on.
    void noteEarlierCallsHold(time_point until);
    void noteWorkerId(const std::string &id) { m_lease.noteWorkerId(id); }
    void forgetEarlierCallsHold() { m_lease.forgetEarlierCallsHold(); }
    // Both pass on to jobs::worker_lease what was observed of the worker. observeWorker() returns
    // whether all its runs have to be stopped before a new epoch can begin.
    bool observeWorker(const std::string &incarnation, bool mayHaveRuns);
    void noteAllRunsEnded(const std::string &nextIncarnation); // of the worker; empty: none yet

private:
    void execute();
    void execute(const jobs::read_lease &action);
    void execute(const jobs::write_lease &action);
    void execute(const jobs::epoch_settled &action);
    jobs::lease_row readLease(const jobs::row &stored);
    void handleRowRead(const jobs::row_page &page);
    void handleRowWritten(const std::string &write, const store_client::commit_outcome &outcome);

    net::event_loop &m_loop;
    store_client &m_store;
    event_log &m_log;
    std::string m_agent;
    callbacks m_callbacks;
    jobs::worker_lease m_lease;
};

} // namespace zinniabarrow
