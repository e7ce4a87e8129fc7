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
    struct listeners
    {
        std::function<void()> unsettled; // tasks may not start until an epoch is settled again
        std::function<void(const jobs::epoch_settled &)> settled;
        std::function<void()> fenceTaken; // calls to the worker carry it from now on
    };

    lease_keeper(net::event_loop &loop, row_store &store, event_log &log, std::string agent,
                 listeners hear);

    const jobs::worker_lease &lease() const { return m_lease; }
    // Takes a new fence, which voids the orders of before. The epoch follows once it is known what
    // of an earlier one still runs.
    void seek(const char *why);
    void renew(std::optional<time_point> heldUntil = std::nullopt);
    // See jobs::worker_lease.
    bool seen(const std::string &life, std::size_t running);
    void allEnded(const std::string &nextLife);

private:
    void carryOut();
    void carryOut(const jobs::read_lease &action);
    void carryOut(const jobs::write_lease &action);
    void carryOut(const jobs::epoch_settled &action);
    void rowRead(const jobs::row_page &page);
    void rowWritten(const std::string &write, const row_store::outcome &outcome);

    net::event_loop &m_loop;
    row_store &m_store;
    event_log &m_log;
    std::string m_agent;
    listeners m_hear;
    jobs::worker_lease m_lease;
};

} // namespace zinniabarrow
