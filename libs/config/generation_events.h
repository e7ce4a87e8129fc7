// Events that generation_follower and generation_manager handle, and the actions that they return
// for the code that calls them to execute. In the daemons these callers are config_actor (entry)
// and config_follower_actor (agent).
//
// Actions that expect an answer carry a number `request`, and the event with the answer repeats it.
// An answer to an earlier request is ignored.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <json/json.h>

#include "config/generation_records.h"
#include "platform/records.h"

namespace zinniabarrow::config {

// --- Events

// Sent at regular intervals, so that deadlines are checked and rounds begin.
struct tick
{ };

// A report of another process, received with an announcement or through `push_generation`.
struct report_received
{
    generation_report report;
};

// Answer to `read_content`.
struct content_read
{
    std::uint64_t request = 0;
    bool isFound = false; // false also if the source could not be reached
    std::string content;
    // Empty: `content` is the whole content. Otherwise `content` is the slice with this digest, or
    // empty if the requester already holds that slice.
    std::string sliceDigest{};
};

// Answer to `read_accepted_row`.
struct accepted_row_read
{
    std::uint64_t request = 0;
    bool isAnswered = false; // false: the platform did not answer
    table_row row;           // version 0: the row does not exist
};

// Answer to `list_folder`. The objects have names (with FolderPrefix) and versions, but no content.
struct folder_listed
{
    std::uint64_t request = 0;
    bool isAnswered = false; // false: the platform did not answer
    std::vector<stored_object> objects;
};

// Answer to `read_files`: those of the requested objects that exist, with their content.
struct files_read
{
    std::uint64_t request = 0;
    bool isAnswered = false; // false: the platform did not answer each read
    std::vector<stored_object> objects;
};

// Answer to `write_content`.
struct content_written
{
    std::uint64_t request = 0;
    write_result result;
};

// Answer to `commit_generation`.
struct generation_committed
{
    std::uint64_t request = 0;
    write_result result;
};

// An operator's command has changed the folder: scan it now instead of at the next poll.
struct scan_now
{ };

using generation_event =
        std::variant<tick, report_received, content_read, accepted_row_read, folder_listed,
                     files_read, content_written, generation_committed, scan_now>;

// --- Actions

// Reads the row AcceptedRowKey from the table.
struct read_accepted_row
{
    std::uint64_t request = 0;
};

// Lists the objects whose names start with FolderPrefix.
struct list_folder
{
    std::uint64_t request = 0;
};

// Reads these objects from the object store; the names include FolderPrefix.
struct read_files
{
    std::uint64_t request = 0;
    std::vector<std::string> names;
};

// Writes this object unconditionally. That is safe because its name contains its content's digest.
struct write_content
{
    std::uint64_t request = 0;
    std::string name;
    std::string content;
};

// Commits a transaction that writes the row AcceptedRowKey, on the condition that the row still has
// the version that was read.
struct commit_generation
{
    std::uint64_t request = 0;
    table_transaction transaction;
};

// Removes the content of a generation that is no longer needed. No answer is expected: an object
// that stays behind does no harm.
struct remove_content
{
    std::string name;
};

// Selects the part of a content that an agent needs; see config/content_slice.h.
struct content_scope
{
    std::string service; // that the agent's upstream serves
    std::string pool;    // of the agent's worker
};

// Reads the content with this digest from the process `peer`, or, if `peer` is empty, from the
// object store, where its name is ContentPrefix + digest.
struct read_content
{
    std::uint64_t request = 0;
    std::string digest;
    std::string peer;
    std::optional<content_scope> scope{}; // set: request only this slice
    std::string heldSliceDigest{};        // of the slice that this process holds; empty: none
};

// Tells the process that this generation is in force in it from now on.
struct adopt_generation
{
    std::uint64_t generation = 0;
    std::string digest;
    std::shared_ptr<const configuration> mergedConfig;
};

// Sends `report` to these processes; an empty list means all known processes.
struct push_generation
{
    generation_report report;
    std::vector<std::string> processes;
};

using generation_action =
        std::variant<read_accepted_row, list_folder, read_files, write_content, commit_generation,
                     remove_content, read_content, adopt_generation, push_generation>;

using generation_actions = std::vector<generation_action>;

// The event that reports a failed action: a read without an answer, or a write with this outcome.
// Nothing for actions that expect no answer.
std::optional<generation_event> failureEventFor(const generation_action &action,
                                                write_outcome outcome);

// One JSON object with the name in the member "event" or "action"; used by the recorded sessions of
// the tests.
Json::Value toJson(const generation_event &event);
generation_event generationEventFromJson(const Json::Value &value); // throws BadRequest
Json::Value toJson(const generation_action &action);

} // namespace zinniabarrow::config
