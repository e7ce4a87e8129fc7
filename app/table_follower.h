// Follows a table of the platform's store: reads the whole table, then polls the table's feed, by
// which the store reports changed rows. Reads the whole table again if the store no longer has the
// history of changes since the last poll.
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
    // The partitions that the table consists of; by default one without a name.
    std::vector<std::string> partitions{""};
    // Pause after each answer of the feed, so that the next one contains many changes.
    milliseconds batchDelay{0};
    // For how long the store may hold an answer without changes. A feed that has stopped is noticed
    // only after it.
    milliseconds pollWait{1000};
};

// Progress events, for code that has to know whether its copy of the table is up to date:
// feed_answer_begun and all_changes_applied.

// An answer of the feed begins to arrive.
struct feed_answer_begun
{
    std::uint64_t bytes = 0; // length of its body; large if it contains changes
};
// All changes made before `requestedAt`, on the clock of this process, have been passed on.
struct all_changes_applied
{
    time_point requestedAt{};
};
using follow_progress = std::variant<feed_answer_begun, all_changes_applied>;

// Entries and agents have one for each table that they follow.
class table_follower
{
public:
    using progress_callback = std::function<void(const follow_progress &)>;
    using rows_callback = std::function<void(const std::vector<jobs::row> &)>;
    using complete_callback = std::function<void()>;

    // `onRows` gets rows as they are read, and when they have changed. The feed passes deleted rows
    // with row::removed set; a read of the whole table passes none. Rows of different reads can
    // arrive in any order; their versions tell which is newer. `onComplete` is called each time the
    // whole table has been read; a read that fails is repeated.
    table_follower(
            net::event_loop &loop, store_client &store, event_log &log, followed_table followed,
            rows_callback onRows, complete_callback onComplete = [] {},
            progress_callback onProgress = [](const follow_progress &) {});

    void start();

private:
    // State of one read of the whole table.
    struct full_read
    {
        std::size_t pendingPartitions = 0; // not read yet
        std::int64_t oldestVersion = 0;    // lowest store version at which a partition was read
        time_point requestedAt{};
        bool hasFailed = false;
    };

    void handlePartition(full_read &readState, const std::optional<jobs::row_page> &page);
    void passOn(const std::vector<jobs::row> &rows);
    void pollFeed(std::int64_t after); // for changes after this version of the store
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
