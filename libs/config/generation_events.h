// What happens to the parts that keep the generation in force, and what they ask for.
//
// `request` ties an answer to the question; an answer to an older question is ignored.
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

struct tick
{ };

// A report of another process, by announcement or by `push_generation`.
struct report_received
{
    generation_report report;
};

// Answer to `read_content`.
struct content_read
{
    std::uint64_t request = 0;
    bool isFound = false; // false also when the source could not be reached
    std::string content;
    // Not empty: `content` is the slice with this digest, or empty where the asker has it.
    std::string sliceDigest{};
};

// Answer to `read_accepted`.
struct accepted_row_read
{
    std::uint64_t request = 0;
    bool isAnswered = false;
    table_row row; // version 0: there is none
};

// Answer to `list_folder`: names with FolderPrefix and versions, without content.
struct folder_listed
{
    std::uint64_t request = 0;
    bool isAnswered = false;
    std::vector<stored_object> objects;
};

// Answer to `read_files`: those that were found, with content.
struct files_read
{
    std::uint64_t request = 0;
    bool isAnswered = false;
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

// An operator has changed the folder, or asks what became of a file: look at once.
struct scan_now
{ };

using generation_event =
        std::variant<tick, report_received, content_read, accepted_row_read, folder_listed,
                     files_read, content_written, generation_committed, scan_now>;

// --- Actions

// Read the row AcceptedRowKey.
struct read_accepted_row
{
    std::uint64_t request = 0;
};

// List the objects below FolderPrefix.
struct list_folder
{
    std::uint64_t request = 0;
};

// Read these objects; names with FolderPrefix.
struct read_files
{
    std::uint64_t request = 0;
    std::vector<std::string> names;
};

// Put this object, whatever is there: its name is made from its content.
struct write_content
{
    std::uint64_t request = 0;
    std::string name;
    std::string content;
};

struct commit_generation
{
    std::uint64_t request = 0;
    table_transaction transaction;
};

// Remove an object that no generation needs any more; its outcome does not matter.
struct remove_content
{
    std::string name;
};

// The part of a content that an agent works by.
struct content_scope
{
    std::string service; // of its upstream
    std::string pool;    // of its worker
};

// Get the content with this digest: from the object store (MergedPrefix + digest) where `peer` is
// empty, else from the process `peer`.
struct read_content
{
    std::uint64_t request = 0;
    std::string digest;
    std::string peer;
    std::optional<content_scope> scope{}; // enough where the peer knows slices
    std::string heldSliceDigest{};        // digest of the slice that is in force here
};

// This process works by this generation from now on.
struct adopt_generation
{
    std::uint64_t generation = 0;
    std::string digest;
    std::shared_ptr<const configuration> mergedConfig;
};

// Tell `report` to these processes; none named: to all that are known.
struct push_generation
{
    generation_report report;
    std::vector<std::string> processes;
};

using generation_action =
        std::variant<read_accepted_row, list_folder, read_files, write_content, commit_generation,
                     remove_content, read_content, adopt_generation, push_generation>;

using generation_actions = std::vector<generation_action>;

// The event for a question that the platform or the peer did not answer, or whose write has this
// outcome; none for actions that expect no answer.
std::optional<generation_event> failureEventFor(const generation_action &action,
                                                write_outcome outcome);

// One JSON object with the member "event" or "action": for logs and golden files.
Json::Value toJson(const generation_event &event);
generation_event generationEventFromJson(const Json::Value &value); // throws BadRequest
Json::Value toJson(const generation_action &action);

} // namespace zinniabarrow::config
