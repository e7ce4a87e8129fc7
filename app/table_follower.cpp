#include "app/table_follower.h"

#include <exception>
#include <memory>
#include <utility>

namespace zinniabarrow {

namespace {

constexpr milliseconds RetryDelay{200}; // enough for a store that was slow for a moment

} // namespace

table_follower::table_follower(net::event_loop &loop, store_client &store, event_log &log,
                               followed_table followed, rows_callback onRows,
                               complete_callback onComplete, progress_callback onProgress)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_followed(std::move(followed))
    , m_onRows(std::move(onRows))
    , m_onComplete(std::move(onComplete))
    , m_onProgress(std::move(onProgress))
{ }

// Reads all partitions in parallel. The feed then starts at the oldest version read, so it includes
// all changes made meanwhile.
void table_follower::start()
{
    auto readState = std::make_shared<full_read>();
    readState->pendingPartitions = m_followed.partitions.size();
    readState->requestedAt = net::suspendAwareNow();
    for (const auto &partition : m_followed.partitions) {
        m_store.readAll(m_followed.table, partition,
                        [this, readState](const std::optional<jobs::row_page> &page) {
                            handlePartition(*readState, page);
                        });
    }
}

void table_follower::handlePartition(full_read &readState,
                                     const std::optional<jobs::row_page> &page)
{
    if (page) {
        passOn(page->rows);
        if (readState.oldestVersion == 0 || page->version < readState.oldestVersion)
            readState.oldestVersion = page->version;
    }
    readState.hasFailed = readState.hasFailed || !page;
    if (--readState.pendingPartitions > 0)
        return;
    if (readState.hasFailed)
        return m_loop.runAfter(RetryDelay, [this] { start(); });
    m_onComplete();
    m_onProgress(all_changes_applied{readState.requestedAt});
    pollFeed(readState.oldestVersion);
}

// Whatever a row does to its reader, the following goes on.
void table_follower::passOn(const std::vector<jobs::row> &rows)
{
    try {
        m_onRows(rows);
    } catch (const std::exception &problem) {
        m_log.writeEvent(
                "rows_unreadable",
                {{"table", m_followed.table}, {"rows", rows.size()}, {"why", problem.what()}});
    }
}

void table_follower::pollFeed(std::int64_t after)
{
    m_store.pollFeed(
            m_followed.table, after, m_followed.pollWait,
            [this](std::uint64_t bytes) { m_onProgress(feed_answer_begun{bytes}); },
            [this, after,
             requestedAt = net::suspendAwareNow()](const std::optional<jobs::feed_page> &page) {
                if (!page)
                    return m_loop.runAfter(RetryDelay, [this, after] { pollFeed(after); });
                handleFeedPage(*page, requestedAt);
            });
}

void table_follower::handleFeedPage(const jobs::feed_page &page, time_point requestedAt)
{
    if (page.historyExpired) {
        m_log.writeEvent("history_gone", {{"table", m_followed.table}});
        return start();
    }
    passOn(page.rows);
    m_onProgress(all_changes_applied{requestedAt});
    if (m_followed.batchDelay == milliseconds(0))
        return pollFeed(page.version);
    m_loop.runAfter(m_followed.batchDelay, [this, next = page.version] { pollFeed(next); });
}

} // namespace zinniabarrow
