// What the tasks of a worker were measured to use, from agent to owner.
//
//   usage_reporter   at the agent: a whole report now and then, between them only what changed
//   usage_book       at the owner: puts the whole together again
//
// A report that names no sequence (of an older agent) is whole by itself. An older owner takes a
// report of changes for a whole one and sees fewer samples, none of them wrong.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "work/messages.h"

namespace zinniabarrow::work {

struct task_usage
{
    std::int64_t millicores = 0;
    std::int64_t bytes = 0;

    bool operator==(const task_usage &) const = default;
};
using usage_by_task = std::map<task_id, task_usage>;

struct usage_report
{
    std::string session;             // of the agent; empty: whole, from an older agent
    std::uint64_t sequence = 0;      // rises by one with each report of the session
    bool isFull = true;              // else it changes the report before
    usage_by_task tasks;             // all, or those that changed
    std::vector<task_id> endedTasks; // of those that the report before held
};

// Into the members of a `usage` message and out of them. The reader throws error BadRequest.
void addToJson(Json::Value &message, const usage_report &report);
usage_report usageReportFromJson(const Json::Value &message);

struct usage_settings
{
    double relativeThreshold = 0.05;       // of the value sent last: smaller changes wait
    std::int64_t millicoresThreshold = 50; // and so do changes below this
    std::int64_t bytesThreshold = std::int64_t(16) * 1 << 20; // for memory
    milliseconds fullReportInterval{30'000};
};

class usage_reporter
{
public:
    usage_reporter(std::string session, usage_settings settings);

    usage_report nextReport(const usage_by_task &measured, time_point now);
    // The next one is whole: an answer was missing, or another owner is told.
    void requestFullReport() { m_nextFullReportAt = time_point(); }

private:
    bool hasChanged(const task_usage &sent, const task_usage &measured) const;
    usage_report changesSince(const usage_by_task &measured);

    std::string m_session;
    usage_settings m_settings;
    std::uint64_t m_sequence = 0;
    time_point m_nextFullReportAt{}; // when the next whole report is due
    usage_by_task m_lastSent;        // as the owner has it
};

class usage_tracker
{
public:
    // The usage of every task that is known by now; nothing for a doubled or late report. After a
    // gap only what the report itself names is known, until the next whole one.
    std::optional<usage_by_task> applyReport(const std::string &worker, const usage_report &report);
    void forgetWorker(const std::string &worker) { m_workers.erase(worker); }

private:
    struct worker_usage
    {
        std::string session;
        std::uint64_t sequence = 0;
        bool isComplete = false; // no report is missing since the last whole one
        usage_by_task tasks;
    };

    std::map<std::string, worker_usage> m_workers;
};

} // namespace zinniabarrow::work
