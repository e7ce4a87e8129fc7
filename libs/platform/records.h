// What crosses the border to the platform: rows, transactions, objects, and their outcomes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace zinniabarrow {

// A row of the platform's transactional table.
struct table_row
{
    std::string key;
    Json::Value value;
    std::uint64_t version = 0; // change sequence of its last write; 0: the row does not exist
};

// Holds when the row's version is still the one that was read; 0: the row must not exist.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

// `value` absent: the row is removed.
struct row_write
{
    std::string key;
    std::optional<Json::Value> value;
};

// All conditions hold and all writes apply, or nothing does.
struct table_transaction
{
    std::string operationId; // unique for each transaction; writers keep it inside the rows
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class write_outcome {
    Applied,  // took effect
    Conflict, // a condition did not hold: nothing changed
    Refused,  // the platform refused before trying (down, over budget): nothing changed
    Unknown,  // sent, and no answer: may or may not have taken effect
};

struct write_result
{
    write_outcome outcome = write_outcome::Unknown;
    std::uint64_t sequence = 0; // version of the written rows when Applied
    std::string conflictKey;    // first row whose condition failed when Conflict
};

// An object of the platform's object store.
struct stored_object
{
    std::string name;
    std::string content;
    std::uint64_t version = 0; // raised by every write of this object; 0: absent
};

} // namespace zinniabarrow
