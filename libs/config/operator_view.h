// What operators see of the configuration: a table for people, JSON for programs.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "config/generation_records.h"
#include "config/generations.h"

namespace zinniabarrow::config {

// The configuration as one entry knows it.
struct folder_view
{
    generation_report localReport;        // of the entry that answers
    bool isReady = false;                 // it may serve
    std::size_t otherProcessCount = 0;    // others that it has heard of
    std::vector<lagging_process> lagging; // of these, at an older generation or silent
    std::vector<file_status> files;       //
    std::vector<problem> problems;        // why the folder as it stands is refused
};

folder_view folderViewOf(const generation_manager &manager, time_point now,
                         milliseconds silenceLimit = milliseconds(3000));
Json::Value toJson(const folder_view &view);
folder_view folderViewFromJson(const Json::Value &value); // throws BadRequest
std::string toTable(const folder_view &view);

// Result of the offline check of a folder.
std::string problemTable(const std::vector<problem> &problems);
Json::Value problemsToJson(const std::vector<problem> &problems);

// How far one version of a file has come.
enum class rollout_state {
    Waiting,           // not judged, or some process still lags: look again
    InForceEverywhere, // in force at every process that was heard of
    Refused,
    Superseded,
};
std::string_view nameOf(rollout_state state);

rollout_state rolloutStateOf(const folder_view &view, const file_status &file);

} // namespace zinniabarrow::config
