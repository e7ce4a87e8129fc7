// The state of the configuration as operators see it: a table for people, JSON for programs.
// Entries create the view; the operators' commands read it from JSON and print it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "config/generation_records.h"
#include "config/generations.h"

namespace zinniabarrow::config {

// The state of the configuration folder as one entry knows it.
struct folder_view
{
    generation_report localReport;                 // of the entry that answers
    bool isReady = false;                          // the entry may serve callers
    std::size_t otherProcessCount = 0;             // processes whose reports it has
    std::vector<lagging_process> laggingProcesses; // of these, the ones that are behind or silent
    std::vector<file_status> files;                // of all files, by name
    std::vector<problem> problems;                 // why the folder is refused; empty if it is not
};

// The view of the entry that owns `manager`. A process also counts as lagging if its last report is
// older than `silenceLimit`.
folder_view folderViewOf(const generation_manager &manager, time_point now,
                         milliseconds silenceLimit = milliseconds(3000));
Json::Value toJson(const folder_view &view);
folder_view folderViewFromJson(const Json::Value &value); // throws BadRequest
std::string toTable(const folder_view &view);             // text of several lines

// Result of checking a folder without a running system, as lines of text and as a JSON array.
std::string problemTable(const std::vector<problem> &problems);
Json::Value problemsToJson(const std::vector<problem> &problems);

// How far a version of a file has been rolled out.
enum class rollout_state {
    Waiting,           // not validated yet, or some process still lags: ask again later
    InForceEverywhere, // in force in every known process
    Refused,           // as file_state::Refused
    Superseded,        // as file_state::Superseded
};
std::string_view nameOf(rollout_state state);

// How far the version of `file` has been rolled out, for the command that waits for it.
rollout_state rolloutStateOf(const folder_view &view, const file_status &file);

} // namespace zinniabarrow::config
