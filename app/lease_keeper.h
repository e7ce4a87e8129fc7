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
        std::function<void()> epochLost; // no task may start until epochSettled
        std::function<void(const jobs::epoch_settled &)> epochSettled;
        std::function<void()> fenceAcquired; // calls to the worker must carry the new fence
    };

    lease_keeper(net::event_loop &loop, store_client &store, event_log &log, std::string agent,
                 callbacks handlers);

    const jobs::worker_lease &lease() const { return m_lease; }
    // Acquires a new fence, a number that rises each time and makes orders and calls with an
    // earlier one invalid. The epoch is settled later, when it is known which runs of an earlier
    // epoch are still active. `reason` is logged.
    void acquire(const char *reason);
    // Called every LeaseRenewInterval. `heldUntil` is set while the worker does not answer: the end
    // of its last hold, until which it may go on with its runs. The lease is then renewed up to
    // that time only.
    void renew(std::optional<time_point> heldUntil = std::nullopt);
    // Both pass on to jobs::worker_lease what was observed of the worker. observeWorker() returns
    // whether all its runs have to be stopped before a new epoch can begin.
    bool observeWorker(const std::string &incarnation, std::size_t activeRunCount);
    void noteAllRunsEnded(const std::string &nextIncarnation);

private:
    void execute();
    void execute(const jobs::read_lease &action);
    void execute(const jobs::write_lease &action);
    void execute(const jobs::epoch_settled &action);
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
