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
    milliseconds pause{0}; // after each answer with changes: joins many into the next one
};

// How the following goes on, for those who have to know whether they are behind.
struct feed_answer_begun // an answer to the feed begins; large where it carries changes
{
    std::uint64_t bytes = 0;
};
struct all_changes_taken // all that had changed before it was asked for is known
{
    time_point askedAt{};
};
using follow_progress = std::variant<feed_answer_begun, all_changes_taken>;

class table_follower
{
public:
    using heed_progress = std::function<void(const follow_progress &)>;
    using take_rows = std::function<void(const std::vector<jobs::row> &)>;
    using all_read = std::function<void()>;

    // `take` gets rows as they are read and changed, in no particular order between readings:
    // versions tell. `complete` is called after each reading of the whole table.
    table_follower(
            net::event_loop &loop, row_store &store, event_log &log, followed_table what,
            take_rows take, all_read complete = [] {},
            heed_progress progress = [](const follow_progress &) {});

    void start();

private:
    // One reading of all parts.
    struct reading
    {
        std::size_t left = 0;  // parts without an answer
        std::int64_t from = 0; // the oldest version that a part was read at
        time_point askedAt{};
        bool failed = false;
    };

    void partRead(reading &all, const std::optional<jobs::row_page> &page);
    void feed(std::int64_t after);
    void takeFeed(const jobs::feed_page &page, time_point askedAt);

    net::event_loop &m_loop;
    row_store &m_store;
    event_log &m_log;
    followed_table m_what;
    take_rows m_take;
    all_read m_complete;
    heed_progress m_progress;
};

} // namespace zinniabarrow
