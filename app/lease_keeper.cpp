#include "app/lease_keeper.h"

#include <optional>
#include <utility>

#include "app/job_tables.h"
#include "base/errors.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds ReadRetry{150};

// None: the row is somebody else's.
std::optional<std::int64_t> writtenVersion(const row_store::outcome &outcome,
                                           const std::string &write)
{
    if (const auto *done = std::get_if<committed>(&outcome))
        return done->version;
    const auto &rows = std::get<conflicting>(outcome).rows;
    if (rows.empty())
        return std::nullopt;
    try {
        if (leaseFrom(rows.front().value).writeId == write)
            return rows.front().version;
    } catch (const error &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

lease_keeper::lease_keeper(net::event_loop &loop, row_store &store, event_log &log,
                           std::string agent, listeners hear)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_agent(std::move(agent))
    , m_hear(std::move(hear))
    , m_lease(m_agent)
{ }

void lease_keeper::seek(const char *why)
{
    m_log.note("lease_sought", {{"why", why}});
    m_hear.unsettled();
    m_lease.acquireFence();
    carryOut();
}

void lease_keeper::renew(std::optional<time_point> heldUntil)
{
    m_lease.renew(suspendAwareNow(), heldUntil);
    carryOut();
}

bool lease_keeper::seen(const std::string &life, std::size_t running)
{
    const bool allStop = m_lease.reconcile(life, running, suspendAwareNow());
    carryOut();
    return allStop;
}

void lease_keeper::allEnded(const std::string &nextLife)
{
    m_hear.unsettled();
    m_lease.endEpoch(nextLife, suspendAwareNow());
    carryOut();
}

void lease_keeper::carryOut()
{
    for (const auto &action : m_lease.takeActions())
        std::visit([this](const auto &one) { carryOut(one); }, action);
}

void lease_keeper::carryOut(const read_lease & /*action*/)
{
    m_store.read(LeasesTable, m_agent, "", "",
                 [this, sentAt = suspendAwareNow()](const std::optional<row_page> &page) {
                     if (!page)
                         return m_loop.after(ReadRetry, [this] { carryOut(read_lease{}); });
                     m_lease.noteStoreClock(page->storeClockMs, sentAt, suspendAwareNow());
                     rowRead(*page);
                 });
}

void lease_keeper::rowRead(const row_page &page)
{
    const auto now = suspendAwareNow();
    if (page.rows.empty()) {
        m_lease.rowRead(std::nullopt, 0, now);
    } else {
        const auto &one = page.rows.front();
        m_lease.rowRead(leaseFrom(one.value), one.version, now);
    }
    carryOut();
}

void lease_keeper::carryOut(const write_lease &action)
{
    const auto name = leaseRow(m_agent);
    m_store.commit({{{name, action.expectedVersion}}, {{name, toText(action.row), 0, false}}, {}},
                   [this, write = action.row.writeId,
                    sentAt = suspendAwareNow()](const row_store::outcome &outcome) {
                       if (const auto *done = std::get_if<committed>(&outcome))
                           m_lease.noteStoreClock(done->storeClockMs, sentAt, suspendAwareNow());
                       rowWritten(write, outcome);
                   });
}

void lease_keeper::rowWritten(const std::string &write, const row_store::outcome &outcome)
{
    const bool heldBefore = m_lease.holdsFence();
    if (const auto version = writtenVersion(outcome, write)) {
        m_lease.rowWritten(*version, suspendAwareNow());
    } else {
        m_log.note("lease_sought", {{"why", "lease_taken"}});
        m_hear.unsettled();
        m_lease.rowConflict();
    }
    carryOut();
    if (m_lease.holdsFence() && !heldBefore)
        m_hear.fenceTaken();
}

void lease_keeper::carryOut(const epoch_settled &action)
{
    m_log.note(action.isNew ? "epoch_begun" : "epoch_resumed",
               {{"epoch", action.epoch}, {"life", m_lease.workerIncarnation()}});
    m_hear.settled(action);
}

} // namespace zinniabarrow
