// The platform's store as jobs use it: rows in tables, changed under conditions.
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
    std::string partition; // rows of one part change together
    std::string key;

    friend auto operator<=>(const row_name &, const row_name &) = default;
};

struct row
{
    row_name name;
    std::string value;
    std::int64_t version = 0;
    bool removed = false; // in a feed: the row is gone
};

struct row_expectation
{
    row_name name;
    std::int64_t version = 0; // 0: there is no such row
};

// All of it or nothing; one part.
struct row_transaction
{
    std::vector<row_expectation> expected;
    std::vector<row> set; // name and value
    std::vector<row_name> remove;
};

struct committed
{
    std::int64_t version = 0;
    std::int64_t storeClockMs = 0; // the store's own steady clock; 0: not told
};
struct conflicting
{
    std::vector<row> rows; // as they are, of those that were expected; a missing one is left out
};
struct not_committed // the store refused, and nothing was written
{ };
struct in_doubt // no answer: it may have been written, or may be yet
{ };
using commit_result = std::variant<committed, conflicting, not_committed, in_doubt>;

struct row_page
{
    std::vector<row> rows;
    bool hasMore = false;
    std::int64_t version = 0;      // of the whole store when it was read
    std::int64_t storeClockMs = 0; // the store's own steady clock then; 0: not told
};

struct feed_page
{
    std::vector<row> rows;
    std::int64_t version = 0;    // to continue from
    bool historyExpired = false; // read everything anew
};

} // namespace zinniabarrow::jobs
