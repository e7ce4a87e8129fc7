// Keeps the lease of an agent's worker in the platform's store: carries out what jobs::worker_lease
// decides.
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
        std::function<void()> epochLost; // tasks may not start until an epoch is settled again
        std::function<void(const jobs::epoch_settled &)> epochSettled;
        std::function<void()> fenceAcquired; // calls to the worker carry it from now on
    };

    lease_keeper(net::event_loop &loop, store_client &store, event_log &log, std::string agent,
                 callbacks handlers);

    const jobs::worker_lease &lease() const { return m_lease; }
    // Takes a new fence, which voids the orders of before. The epoch follows once it is known what
    // of an earlier one still runs.
    void acquire(const char *reason);
    void renew(std::optional<time_point> heldUntil = std::nullopt);
    // See jobs::worker_lease.
    bool observeWorker(const std::string &incarnation, std::size_t runningCount);
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
