// Records about generations of the configuration: what is stored at the platform, what processes
// report to each other, and what operators see.
//
// A generation is one accepted state of the whole configuration folder; generations are numbered
// from 1. The accepted generation is the one that the table names; a process has a generation in
// force once it uses that generation's configuration.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "config/folder.h"
#include "config/json_text.h"

namespace zinniabarrow::config {

// Names in the platform's object store and table.
inline constexpr std::string_view FolderPrefix = "folder/"; // objects: the operators' files
inline constexpr std::string_view ContentPrefix =
        "config/merged/"; // objects: contents of generations, named by digest
inline constexpr std::string_view AcceptedRowKey =
        "config/accepted"; // row: the accepted generation

// Version of each file, as the object store assigned it, by file name without FolderPrefix.
using file_versions = std::map<std::string, std::uint64_t>;

// Content of one generation. It is stored as an object, because a row of the table must stay small
// however large the folder grows.
struct generation_content
{
    configuration mergedConfig;                      // merged from all files
    file_versions files;                             // the files that were merged
    std::map<std::string, std::string> overriddenBy; // as merged_folder::overriddenBy
};

std::string contentText(const generation_content &content);  // canonical JSON
generation_content contentFromText(const std::string &text); // throws BadRequest

// 16 hexadecimal digits of a hash and the length of the text in bytes, as
// "00c5f3a09b1e7d42-1830".
std::string digestOf(const std::string &text);
std::string digestOf(const file_versions &files); // of the list of names and versions

// The table row that tells which generation is the accepted one.
struct accepted_row
{
    std::uint64_t generation = 0; // from 1; only restoring an older table decreases it
    std::string digest;           // of the generation's content
    std::string folderDigest;     // digestOf the file versions that were merged
    // Of the transaction that wrote the row. It tells an entry whose commit got no answer whether
    // the commit was applied.
    std::string operationId;
    std::vector<std::string> previousDigests; // of the contents of earlier generations that are
                                              // still stored, newest first
};

Json::Value toJson(const accepted_row &row);
accepted_row acceptedRowFromJson(const Json::Value &value); // throws BadRequest

// Tells which generation is in force in a process. Entries and agents send it with their
// announcements; entries also push it to other processes when it changes.
struct generation_report
{
    std::string process;          // id of the process
    std::string role;             // "entry" or "agent"
    std::uint64_t generation = 0; // in force there; 0: none yet
    std::string digest;           // of the generation's content
    bool operator==(const generation_report &) const = default;
};

Json::Value toJson(const generation_report &report);
generation_report generationReportFromJson(const Json::Value &value); // throws BadRequest

// The latest report of another process.
struct received_report
{
    generation_report report;
    time_point receivedAt;
};

enum class lag_reason {
    Behind, // an older generation is in force there
    Silent, // its last report is too old to rely on
};
std::string_view nameOf(lag_reason reason);

// A process in which the accepted generation is not in force, or may not be.
struct lagging_process
{
    generation_report report;
    lag_reason reason = lag_reason::Behind;
    milliseconds silence{0}; // time since its last report
};

Json::Value toJson(const lagging_process &laggingProcess);

// The processes that report a generation below `generation`, and those whose last report is older
// than `silenceLimit`.
std::vector<lagging_process> findLaggingProcesses(const std::vector<received_report> &reports,
                                                  std::uint64_t generation, time_point now,
                                                  milliseconds silenceLimit = milliseconds(3000));

enum class file_state {
    InForce,    // this version is part of the generation in force
    Superseded, // replaced by a newer version, or all its values by files with later names
    Refused,    // the folder with this version is invalid; the generation before stays in force
    Pending,    // not validated yet
};
std::string_view nameOf(file_state state);

// The state of one version of a file in the folder, as an entry reports it to operators.
struct file_status
{
    std::string name;
    std::uint64_t version = 0; // 0: the removal of the file
    file_state state = file_state::Pending;
    std::uint64_t generation = 0;  // in force in the entry that reports
    std::string reason;            // text for operators; empty if in force or pending
    std::vector<problem> problems; // if refused: those of the whole folder, this file's first
};

Json::Value toJson(const file_status &status);
file_status fileStatusFromJson(const Json::Value &value); // throws BadRequest

} // namespace zinniabarrow::config
