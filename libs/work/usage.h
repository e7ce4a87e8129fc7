// Reports of the measured resource usage of a worker's tasks, from agent to owner.
//
//   usage_reporter   at the agent: a full report at intervals, reports of changes in between
//   usage_tracker    at the owner: rebuilds the full usage from the reports
//
// A report without a session (from an older agent) is always full. An older owner takes a report of
// changes for a full one: it gets fewer samples, but no wrong ones.
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

// Measured usage of one task.
struct task_usage
{
    std::int64_t millicores = 0; // processor time
    std::int64_t bytes = 0;      // memory

    bool operator==(const task_usage &) const = default;
};
using usage_by_task = std::map<task_id, task_usage>;

struct usage_report
{
    std::string session;             // of the agent process; empty: full report of an older agent
    std::uint64_t sequence = 0;      // increases by one with each report of the session, from 1
    bool isFull = true;              // false: only the changes since the previous report
    usage_by_task tasks;             // all tasks, or those that changed
    std::vector<task_id> endedTasks; // that the previous report still had
};

// Write to and read from the members of a `usage` message. The reader throws error BadRequest.
void addToJson(Json::Value &message, const usage_report &report);
usage_report usageReportFromJson(const Json::Value &message);

struct usage_settings
{
    // A change is reported before the next full report only if it exceeds the relative and the
    // absolute threshold.
    double relativeThreshold = 0.05;                          // share of the value sent last
    std::int64_t millicoresThreshold = 50;                    // of processor time
    std::int64_t bytesThreshold = std::int64_t(16) * 1 << 20; // of memory
    milliseconds fullReportInterval{30'000};
};

class usage_reporter
{
public:
    usage_reporter(std::string session, usage_settings settings);

    // Call at each report interval with the usage of all tasks of the worker.
    usage_report nextReport(const usage_by_task &measured, time_point now);
    // Makes the next report a full one. Call when an answer is missing or the owner changes.
    void requestFullReport() { m_nextFullReportAt = time_point(); }

private:
    bool hasChanged(const task_usage &sent, const task_usage &measured) const;
    usage_report changesSince(const usage_by_task &measured);

    std::string m_session;
    usage_settings m_settings;
    std::uint64_t m_sequence = 0;
    time_point m_nextFullReportAt{};
    usage_by_task m_lastSent; // what the owner knows, if no report was lost
};

class usage_tracker
{
public:
    // Returns the usage of all tasks of the worker, as far as it is known now; nothing for a
    // duplicated or late report. After a lost report only the tasks that the report itself names
    // are known, until the next full report.
    std::optional<usage_by_task> applyReport(const std::string &worker, const usage_report &report);
    void forgetWorker(const std::string &worker) { m_workers.erase(worker); }

private:
    struct worker_usage
    {
        std::string session;
        std::uint64_t sequence = 0;
        bool isComplete = false; // no report was lost since the last full one
        usage_by_task tasks;
    };

    std::map<std::string, worker_usage> m_workers;
};

} // namespace zinniabarrow::work
