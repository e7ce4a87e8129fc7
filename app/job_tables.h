// The tables in the platform's store that jobs live in, and where a job's rows lie.
#pragma once

#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/hash.h"
#include "jobs/rows.h"

namespace zinniabarrow {

constexpr const char *JobsTable = "jobs";         // the records
constexpr const char *PayloadsTable = "payloads"; // written once, with the first record
// One row for each cancelled job, written in the transaction that cancels it. Agents follow it, so
// that a cancel holds where no entry can tell of it.
constexpr const char *CancelsTable = "cancels";
constexpr const char *EntriesTable = "entries"; // one row for each entry
constexpr const char *LeasesTable = "leases";   // one row for each worker

// A part carries 200 transactions a second one after another; 16 carry all that the store takes.
constexpr unsigned JobParts = 16;

inline std::string partName(unsigned number)
{
    return fmt::format("p{:02}", number);
}

inline std::vector<std::string> jobParts()
{
    std::vector<std::string> names;
    for (unsigned number = 0; number < JobParts; ++number)
        names.push_back(partName(number));
    return names;
}

inline std::string partOf(const std::string &job)
{
    return partName(static_cast<unsigned>(stableHash(job) % JobParts));
}

inline jobs::row_name jobRow(const std::string &job)
{
    return {JobsTable, partOf(job), job};
}

inline jobs::row_name payloadRow(const std::string &job)
{
    return {PayloadsTable, partOf(job), job};
}

inline jobs::row_name cancelRow(const std::string &job)
{
    return {CancelsTable, partOf(job), job};
}

// Tells agents that the job is cancelled; its key says all.
inline jobs::row cancelNotice(const std::string &job)
{
    return {cancelRow(job), "{}", 0, false};
}

inline jobs::row_name leaseRow(const std::string &worker)
{
    return {LeasesTable, worker, worker};
}

inline jobs::row_name entryRow(const std::string &entry)
{
    return {EntriesTable, "", entry};
}

} // namespace zinniabarrow
