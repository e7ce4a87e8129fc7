// The platform's store as jobs use it: tables of versioned rows that are changed by conditional
// transactions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace zinniabarrow::jobs {

struct row_name
{
    std::string table;
    std::string partition; // transactions change rows of one partition only
    std::string key;

    friend auto operator<=>(const row_name &, const row_name &) = default;
};

struct row
{
    row_name name;
    std::string value;
    std::int64_t version = 0;
    bool removed = false; // in a feed: the row was deleted
};

struct row_expectation
{
    row_name name;
    std::int64_t version = 0; // expected version; 0: the row must not exist
};

// Applied atomically when all expected versions match. All rows must be in one partition.
struct row_transaction
{
    std::vector<row_expectation> expected;
    std::vector<row> set; // rows to write; only name and value are used
    std::vector<row_name> remove;
};

struct committed
{
    std::int64_t version = 0;
    std::int64_t storeClockMs = 0; // the store's monotonic clock, ms; 0: not reported
};
// Some row did not have its expected version; nothing was written.
struct conflicting
{
    // Present content of the expected rows; rows that do not exist are left out.
    std::vector<row> rows;
};
struct not_committed // the store refused the transaction; nothing was written
{ };
struct in_doubt // no answer: the transaction may have been applied, or may still be
{ };
using commit_result = std::variant<committed, conflicting, not_committed, in_doubt>;

// One page of a read of a table.
struct row_page
{
    std::vector<row> rows;
    bool hasMore = false;
    std::int64_t version = 0; // version of the whole store at the time of the read
    // The store's monotonic clock at the time of the read, ms; 0: not reported.
    std::int64_t storeClockMs = 0;
};

// One page of a table's change feed.
struct feed_page
{
    std::vector<row> rows;
    std::int64_t version = 0; // position from which to read the next page
    // Changes since the requested version are gone; read the whole table again.
    bool historyExpired = false;
};

} // namespace zinniabarrow::jobs
