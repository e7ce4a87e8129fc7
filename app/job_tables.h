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
constexpr unsigned JobPartCount = 16;

inline std::string partName(unsigned number)
{
    return fmt::format("p{:02}", number);
}

inline std::vector<std::string> jobParts()
{
    std::vector<std::string> names;
    for (unsigned number = 0; number < JobPartCount; ++number)
        names.push_back(partName(number));
    return names;
}

inline std::string partOfJob(const std::string &job)
{
    return partName(static_cast<unsigned>(stableHash(job) % JobPartCount));
}

inline jobs::row_name jobRowName(const std::string &job)
{
    return {JobsTable, partOfJob(job), job};
}

inline jobs::row_name payloadRowName(const std::string &job)
{
    return {PayloadsTable, partOfJob(job), job};
}

inline jobs::row_name cancelRowName(const std::string &job)
{
    return {CancelsTable, partOfJob(job), job};
}

// Tells agents that the job is cancelled; its key says all.
inline jobs::row newCancelRow(const std::string &job)
{
    return {cancelRowName(job), "{}", 0, false};
}

inline jobs::row_name leaseRowName(const std::string &worker)
{
    return {LeasesTable, worker, worker};
}

inline jobs::row_name entryRowName(const std::string &entry)
{
    return {EntriesTable, "", entry};
}

} // namespace zinniabarrow
