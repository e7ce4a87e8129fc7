// What the processes keep and tell about generations of the configuration.
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

// Names at the platform.
inline constexpr std::string_view FolderPrefix = "folder/";        // objects: the operators' files
inline constexpr std::string_view MergedPrefix = "config/merged/"; // objects: accepted contents
inline constexpr std::string_view AcceptedRowKey =
        "config/accepted"; // row: the accepted generation

using file_versions = std::map<std::string, std::uint64_t>; // by name without FolderPrefix

// Content of one generation. It lies in the object store under a name made from its digest, since
// a row of the table must stay small however large the folder grows.
struct generation_content
{
    configuration mergedConfig;                      //
    file_versions files;                             // that it was merged from
    std::map<std::string, std::string> overriddenBy; // file without a value left: by which file
};

std::string contentText(const generation_content &content);  // canonical
generation_content contentFromText(const std::string &text); // throws BadRequest
std::string digestOf(const std::string &text);               // 16 hexadecimal digits and the length
std::string digestOf(const file_versions &files);

// The row that makes a generation the accepted one.
struct accepted_row
{
    std::uint64_t generation = 0;             // from 1; only rises
    std::string digest;                       // of the content
    std::string folderDigest;                 // digest of the file versions that it was merged from
    std::string operationId;                  // of the transaction that wrote it
    std::vector<std::string> previousDigests; // digests of the generations before, newest first
};

Json::Value toJson(const accepted_row &row);
accepted_row acceptedRowFromJson(const Json::Value &value); // throws BadRequest

// What a process says about the generation it works by. Entries and agents put it into their
// announcements and exchange it when it changes.
struct generation_report
{
    std::string process;          // its id
    std::string role;             // "entry" or "agent"
    std::uint64_t generation = 0; // in force there; 0: none yet
    std::string digest;           // of its content
    bool operator==(const generation_report &) const = default;
};

Json::Value toJson(const generation_report &report);
generation_report generationReportFromJson(const Json::Value &value); // throws BadRequest

struct received_report
{
    generation_report report;
    time_point receivedAt;
};

enum class lag_reason {
    Behind, // works by an older generation
    Silent, // has not been heard of for too long
};
std::string_view nameOf(lag_reason reason);

struct lagging_process
{
    generation_report report;
    lag_reason reason = lag_reason::Behind;
    milliseconds silence{0}; // since its last report
};

Json::Value toJson(const lagging_process &laggard);

// The processes that do not work by `generation`, or may not: silent for longer than `silence`.
std::vector<lagging_process> findLaggingProcesses(const std::vector<received_report> &reports,
                                                  std::uint64_t generation, time_point now,
                                                  milliseconds silenceLimit = milliseconds(3000));

enum class file_state {
    InForce,    // part of the generation in force
    Superseded, // a newer version, or a file with a later name, has taken its place
    Refused,    // the folder as it stands is refused; the generation before stays in force
    Pending,    // not judged yet
};
std::string_view nameOf(file_state state);

struct file_status
{
    std::string name;
    std::uint64_t version = 0; // 0: the file's absence
    file_state state = file_state::Pending;
    std::uint64_t generation = 0;  // in force where this was asked
    std::string reason;            // for people; empty when in force
    std::vector<problem> problems; // when refused, those of this file first
};

Json::Value toJson(const file_status &status);
file_status fileStatusFromJson(const Json::Value &value); // throws BadRequest

} // namespace zinniabarrow::config
