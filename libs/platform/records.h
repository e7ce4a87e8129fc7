// Data exchanged with the platform, the service that keeps the table and the object store: rows,
// transactions, objects and outcomes.
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
    std::uint64_t version = 0; // table sequence of its last write; 0: the row does not exist
};

// True if the row's version is still `version`; 0: the row must not exist.
struct row_condition
{
    std::string key;
    std::uint64_t version = 0;
};

// Without `value`, the row is removed.
struct row_write
{
    std::string key;
    std::optional<Json::Value> value;
};

// Atomic: all writes are applied if all conditions hold, otherwise none is.
struct table_transaction
{
    // Unique per transaction. Its author also stores it in rows that it writes, so that a later
    // read tells whether a transaction with outcome Unknown was applied.
    std::string operationId;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class write_outcome {
    Applied,  // took effect
    Conflict, // a condition did not hold; nothing changed
    Refused,  // not executed (platform unreachable, down or at its rate limit); nothing changed
    Unknown,  // sent without an answer: may or may not have taken effect
};

struct write_result
{
    write_outcome outcome = write_outcome::Unknown;
    std::uint64_t sequence = 0; // Applied: version of the written rows or object
    std::string conflictKey;    // Conflict: first row or object whose condition failed
};

// An object of the platform's object store.
struct stored_object
{
    std::string name;
    std::string content;
    std::uint64_t version = 0; // increased by every write of this object; 0: it does not exist
};

} // namespace zinniabarrow
