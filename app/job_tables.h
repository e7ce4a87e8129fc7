// Names the tables of the platform's store that hold job data, and the rows of each job in them.
#pragma once

#include <string>
#include <vector>

#include <fmt/core.h>

#include "base/hash.h"
#include "jobs/rows.h"

namespace zinniabarrow {

constexpr const char *JobsTable = "jobs"; // job records, read when a job is taken over
// One row per job, a job_summary. Entries follow this table.
constexpr const char *SummariesTable = "job_summaries";
constexpr const char *PayloadsTable = "payloads"; // written once, with the job's first record
// One row per cancelled job, written in the transaction that cancels the job. Agents follow this
// table, so a cancellation takes effect even when no entry is left to tell them about it.
constexpr const char *CancelsTable = "cancels";
constexpr const char *EntriesTable = "entries";    // one row per entry
constexpr const char *LeasesTable = "leases";      // one row per worker, under its agent's id
constexpr const char *RunTimesTable = "run_times"; // one row: learned run times, shared by entries

// Number of partitions that jobs are spread over. A partition executes one transaction after
// another, 200 per second; 16 partitions together reach the limit of the store.
constexpr unsigned JobPartitionCount = 16;

inline std::string partitionName(unsigned number)
{
    return fmt::format("p{:02}", number);
}

inline std::vector<std::string> jobPartitions()
{
    std::vector<std::string> names;
    for (unsigned number = 0; number < JobPartitionCount; ++number)
        names.push_back(partitionName(number));
    return names;
}

inline std::string partitionOfJob(const std::string &job)
{
    return partitionName(static_cast<unsigned>(stableHash(job) % JobPartitionCount));
}

inline jobs::row_name jobRowName(const std::string &job)
{
    return {JobsTable, partitionOfJob(job), job};
}

inline jobs::row_name summaryRowName(const std::string &job)
{
    return {SummariesTable, partitionOfJob(job), job};
}

inline jobs::row_name payloadRowName(const std::string &job)
{
    return {PayloadsTable, partitionOfJob(job), job};
}

inline jobs::row_name cancelRowName(const std::string &job)
{
    return {CancelsTable, partitionOfJob(job), job};
}

// The row that tells agents that the job is cancelled. Its key identifies the job; its value is
// empty JSON.
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

inline jobs::row_name runTimesRowName()
{
    return {RunTimesTable, "", "all"};
}

} // namespace zinniabarrow
