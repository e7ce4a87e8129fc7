// Follows a table of the platform's store: reads all of it, then its changes as they come, and all
// of it anew when the store has dropped the history in between.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "app/store_client.h"
#include "base/event_log.h"
#include "base/time.h"
#include "jobs/rows.h"
#include "net/event_loop.h"

namespace zinniabarrow {

struct followed_table
{
    std::string table;
    std::vector<std::string> parts{""};
    milliseconds batchDelay{0}; // after each answer with changes: joins many into the next one
};

// How the following goes on, for those who have to know whether they are behind.
struct feed_answer_begun // an answer to the feed begins; large where it carries changes
{
    std::uint64_t bytes = 0;
};
struct all_changes_applied // all that had changed before it was asked for is known
{
    time_point requestedAt{};
};
using follow_progress = std::variant<feed_answer_begun, all_changes_applied>;

class table_follower
{
public:
    using progress_callback = std::function<void(const follow_progress &)>;
    using rows_callback = std::function<void(const std::vector<jobs::row> &)>;
    using complete_callback = std::function<void()>;

    // `take` gets rows as they are read and changed, in no particular order between readings:
    // versions tell. `complete` is called after each reading of the whole table.
    table_follower(
            net::event_loop &loop, store_client &store, event_log &log, followed_table followed,
            rows_callback onRows, complete_callback onComplete = [] {},
            progress_callback onProgress = [](const follow_progress &) {});

    void start();

private:
    // One reading of all parts.
    struct full_read
    {
        std::size_t pendingParts = 0;   // parts without an answer
        std::int64_t oldestVersion = 0; // the oldest version that a part was read at
        time_point requestedAt{};
        bool hasFailed = false;
    };

    void handlePart(full_read &readState, const std::optional<jobs::row_page> &page);
    void pollFeed(std::int64_t after);
    void handleFeedPage(const jobs::feed_page &page, time_point requestedAt);

    net::event_loop &m_loop;
    store_client &m_store;
    event_log &m_log;
    followed_table m_followed;
    rows_callback m_onRows;
    complete_callback m_onComplete;
    progress_callback m_onProgress;
};

} // namespace zinniabarrow
