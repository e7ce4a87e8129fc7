// Counts a process's calls of the platform's store by purpose and outcome, so that an operator sees
// what the calls are spent on. Called by store_client. Order of calls: purposeOf...() when a call
// is made, record() when it ended, publish() before the metrics are read.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "jobs/rows.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

enum class store_purpose {
    JobAccept,     // the first write of a job's rows
    JobState,      // a write of a job's row that changes its summary too
    JobProgress,   // a write of a job's row alone: placements, ends of tasks
    JobRemoval,    // of the rows of a job that ended long ago
    JobRead,       // of the row and payload of a job, to take it over or to tell its state
    Cancel,        // a write that cancels a job; reads and feed of the cancels
    Summary,       // reads and feed of the jobs' summaries
    Lease,         // of workers: reads and writes
    Registration,  // rows of the entries: reads, writes and feed
    Configuration, // rows of the operators: reads and feed
    Relay,         // any call passed on for another process, which counts it by its own purpose
    Other,
};
inline constexpr std::size_t StorePurposeCount = 12;
std::string_view nameOf(store_purpose purpose);

enum class store_outcome {
    Done,
    Conflict,    // a row did not have the expected version
    TurnedAway,  // the store did not execute the call
    NoAnswer,    // unknown whether it was executed
    NotReadable, // any other answer
};
inline constexpr std::size_t StoreOutcomeCount = 5;
std::string_view nameOf(store_outcome outcome);

store_purpose purposeOf(const jobs::row_transaction &transaction);
store_purpose purposeOfRead(std::string_view table);
store_outcome storeOutcomeOf(const call_result &result);

class store_meter
{
public:
    // One try of a call; a repeated write is recorded with each try. Bytes of bodies and targets,
    // without HTTP heads.
    void record(store_purpose purpose, store_outcome outcome, std::size_t sentBytes,
                std::size_t receivedBytes);
    // Adds what was recorded since the last call to the metrics store_calls_total and
    // store_bytes_total.
    void publish(metrics &counters);
    // Writes the line `store_calls`: what was recorded since the start.
    void writeTo(event_log &log) const;
    // Calls, those of them that were not done, and bytes by purpose since the start:
    // "lease 40/1 8100, summary 120/0 7300".
    std::string summary() const;

private:
    struct purpose_totals
    {
        std::array<std::uint64_t, StoreOutcomeCount> calls{}; // by store_outcome
        std::uint64_t sentBytes = 0;
        std::uint64_t receivedBytes = 0;
    };
    using totals_by_purpose = std::array<purpose_totals, StorePurposeCount>;

    totals_by_purpose m_totals{};
    totals_by_purpose m_published{};
};

} // namespace zinniabarrow
