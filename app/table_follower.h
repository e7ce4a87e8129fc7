// Follows a table of the platform's store: reads all of it, then its changes as they come, and all
// of it anew when the store has dropped the history in between.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "app/row_store.h"
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

class table_follower
{
public:
    using take_rows = std::function<void(const std::vector<jobs::row> &)>;
    using all_read = std::function<void()>;

    // `take` gets rows as they are read and changed, in no particular order between readings:
    // versions tell. `complete` is called after each reading of the whole table.
    table_follower(
            net::event_loop &loop, row_store &store, event_log &log, followed_table what,
            take_rows take, all_read complete = [] {});

    void start();

private:
    // One reading of all parts.
    struct reading
    {
        std::size_t left = 0;  // parts without an answer
        std::int64_t from = 0; // the oldest version that a part was read at
        bool failed = false;
    };

    void partRead(reading &all, const std::optional<jobs::row_page> &page);
    void feed(std::int64_t after);

    net::event_loop &m_loop;
    row_store &m_store;
    event_log &m_log;
    followed_table m_what;
    take_rows m_take;
    all_read m_complete;
};

} // namespace zinniabarrow
