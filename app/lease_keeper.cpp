#include "app/lease_keeper.h"

#include <optional>
#include <utility>

#include "app/job_tables.h"
#include "base/errors.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds ReadRetryDelay{150};

// The row's version after the write; none if the row was written by another process.
std::optional<std::int64_t> writtenVersion(const store_client::commit_outcome &outcome,
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

lease_keeper::lease_keeper(net::event_loop &loop, store_client &store, event_log &log,
                           std::string agent, milliseconds longestSuspension, callbacks handlers)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_agent(std::move(agent))
    , m_callbacks(std::move(handlers))
    , m_lease(m_agent, longestSuspension)
{ }

void lease_keeper::acquire(const char *reason)
{
    m_log.writeEvent("lease_sought", {{"why", reason}});
    m_callbacks.epochLost();
    m_lease.acquireFence();
    execute();
}

void lease_keeper::renew(std::optional<time_point> heldUntil)
{
    m_lease.renew(suspendAwareNow(), heldUntil);
    execute();
}

void lease_keeper::noteEarlierCallsHold(time_point until)
{
    m_lease.noteEarlierCallsHold(until, suspendAwareNow());
}

bool lease_keeper::observeWorker(const std::string &incarnation, bool mayHaveRuns)
{
    const bool shouldStopAll = m_lease.reconcile(incarnation, mayHaveRuns, suspendAwareNow());
    execute();
    return shouldStopAll;
}

void lease_keeper::noteAllRunsEnded(const std::string &nextIncarnation)
{
    m_callbacks.epochLost();
    m_lease.endEpoch(nextIncarnation, suspendAwareNow());
    execute();
}

void lease_keeper::execute()
{
    for (const auto &action : m_lease.takeActions())
        std::visit([this](const auto &typedAction) { execute(typedAction); }, action);
}

void lease_keeper::execute(const read_lease & /*action*/)
{
    m_store.read(LeasesTable, m_agent, "", "",
                 [this, sentAt = suspendAwareNow()](const std::optional<row_page> &page) {
                     if (!page)
                         return m_loop.runAfter(ReadRetryDelay, [this] { execute(read_lease{}); });
                     m_lease.noteStoreClock(page->storeClockMs, sentAt, suspendAwareNow());
                     handleRowRead(*page);
                 });
}

void lease_keeper::handleRowRead(const row_page &page)
{
    const auto now = suspendAwareNow();
    if (page.rows.empty()) {
        m_lease.rowRead(std::nullopt, 0, now);
    } else {
        const auto &storedRow = page.rows.front();
        m_lease.rowRead(readLease(storedRow), storedRow.version, now);
    }
    execute();
}

// If the row can't be read, the worker would stay unused for good. It is taken for one whose epoch
// a watcher has ended: all runs are stopped before the next one begins.
lease_row lease_keeper::readLease(const row &stored)
{
    try {
        return leaseFrom(stored.value);
    } catch (const error &problem) {
        m_log.writeEvent("lease_row_unreadable",
                         {{"version", stored.version}, {"why", problem.what()}});
        return endedLeaseAfter(stored.version);
    }
}

void lease_keeper::execute(const write_lease &action)
{
    const auto name = leaseRowName(m_agent);
    m_store.commitOverlapping(
            {{{name, action.expectedVersion}}, {{name, toText(action.row), 0, false}}, {}},
            [this, write = action.row.writeId,
             sentAt = suspendAwareNow()](const store_client::commit_outcome &outcome) {
                if (const auto *done = std::get_if<committed>(&outcome))
                    m_lease.noteStoreClock(done->storeClockMs, sentAt, suspendAwareNow());
                handleRowWritten(write, outcome);
            });
}

void lease_keeper::handleRowWritten(const std::string &write,
                                    const store_client::commit_outcome &outcome)
{
    const bool hadFence = m_lease.holdsFence();
    if (const auto version = writtenVersion(outcome, write)) {
        m_lease.rowWritten(*version, suspendAwareNow());
    } else {
        m_log.writeEvent("lease_sought", {{"why", "lease_taken"}});
        m_callbacks.epochLost();
        m_lease.rowConflict();
    }
    execute();
    if (m_lease.holdsFence() && !hadFence)
        m_callbacks.fenceAcquired();
}

void lease_keeper::execute(const epoch_settled &action)
{
    m_log.writeEvent(action.isNew ? "epoch_begun" : "epoch_resumed",
                     {{"epoch", action.epoch}, {"life", m_lease.workerIncarnation()}});
    m_callbacks.epochSettled(action);
}

} // namespace zinniabarrow
