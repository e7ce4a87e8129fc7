#include "app/table_follower.h"

#include <memory>
#include <utility>

namespace zinniabarrow {

namespace {

constexpr milliseconds FeedWait{1000}; // a feed that went silent is noticed soon after
constexpr milliseconds Retry{200};     // a store that was slow for a moment answers by then

} // namespace

table_follower::table_follower(net::event_loop &loop, row_store &store, event_log &log,
                               followed_table what, take_rows take, all_read complete,
                               heed_progress progress)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_what(std::move(what))
    , m_take(std::move(take))
    , m_complete(std::move(complete))
    , m_progress(std::move(progress))
{ }

// All parts at once; changes since the first reading come with the feed.
void table_follower::start()
{
    auto all = std::make_shared<reading>();
    all->left = m_what.parts.size();
    all->askedAt = net::suspendAwareNow();
    for (const auto &part : m_what.parts) {
        m_store.readAll(m_what.table, part, [this, all](const std::optional<jobs::row_page> &page) {
            partRead(*all, page);
        });
    }
}

void table_follower::partRead(reading &all, const std::optional<jobs::row_page> &page)
{
    if (page) {
        m_take(page->rows);
        if (all.from == 0 || page->version < all.from)
            all.from = page->version;
    }
    all.failed = all.failed || !page;
    if (--all.left > 0)
        return;
    if (all.failed)
        return m_loop.after(Retry, [this] { start(); });
    m_complete();
    m_progress(all_changes_taken{all.askedAt});
    feed(all.from);
}

void table_follower::feed(std::int64_t after)
{
    m_store.feed(
            m_what.table, after, FeedWait,
            [this](std::uint64_t bytes) { m_progress(feed_answer_begun{bytes}); },
            [this, after,
             askedAt = net::suspendAwareNow()](const std::optional<jobs::feed_page> &page) {
                if (!page)
                    return m_loop.after(Retry, [this, after] { feed(after); });
                takeFeed(*page, askedAt);
            });
}

void table_follower::takeFeed(const jobs::feed_page &page, time_point askedAt)
{
    if (page.historyExpired) {
        m_log.note("history_gone", {{"table", m_what.table}});
        return start();
    }
    m_take(page.rows);
    m_progress(all_changes_taken{askedAt});
    if (m_what.pause == milliseconds(0))
        return feed(page.version);
    m_loop.after(m_what.pause, [this, next = page.version] { feed(next); });
}

} // namespace zinniabarrow
