// Sums up from the log lines of entries how long long-running tasks had no worker, and why.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniabarrow {

// Why a long-running task has no worker, by what its owner's line says of the workers.
enum class wait_cause {
    RoomNotTaken,  // a worker fits: the owner should have placed the task
    KeptApart,     // only on workers that have their share of the step's tasks
    RunsThatEnd,   // a worker would have room without runs that end by themselves
    SumTooSmall,   // the processors free beside long-running runs are too few, even in sum
    ScatteredGaps, // enough in sum, and not enough on any worker
    Other,         // memory or accelerators are short, or no worker can be chosen at all
};
inline constexpr int WaitCauseCount = 6;
std::string_view nameOf(wait_cause cause);

// What one "tasks_unplaced" line says of long-running tasks.
struct unplaced_line
{
    int tasks = 0;
    std::string step; // "occurrence.step"
    std::int64_t waitedMs = 0;
    std::int64_t asked = 0;    // millicores of one task
    std::int64_t freeMost = 0; // millicores free beside long-running runs on one worker
    int moves = 0;             // owned runs of which each could make room by a move
    wait_cause cause = wait_cause::Other;
};
// None if the text is not about long-running tasks.
std::optional<unplaced_line> readUnplacedLine(const std::string &detail);

// Waits of tasks of one size for one cause.
struct wait_total
{
    double taskSeconds = 0;
    double movableSeconds = 0; // while the move of an owned run would have made room
    std::int64_t freeMost = 0; // the largest gap meanwhile, millicores
};

class waiting_summary
{
public:
    // Counts what happened from `fromMs` to `untilMs` after the first line.
    waiting_summary(std::int64_t fromMs, std::int64_t untilMs);

    // Takes a line of an entry's log, and ignores what stands before its JSON object. The lines of
    // several entries may be mixed.
    void addLine(const std::string &line);

    double dueSeconds() const { return m_dueSeconds; }           // of tasks that should be running
    double unplacedSeconds() const { return m_unplacedSeconds; } // of these, without a worker
    double secondsFor(wait_cause cause) const;
    double movableSecondsFor(wait_cause cause) const;
    // By the size of the task, millicores.
    const std::map<std::int64_t, wait_total> &waitsFor(wait_cause cause) const;
    // Lines about room that was not taken, for a trace.
    const std::vector<std::string> &suspectLines() const { return m_suspectLines; }
    std::int64_t droppedLines() const { return m_droppedLines; }

private:
    // Seconds since `lastMs`, `mostMs` at most, as far as they are counted.
    double coveredSeconds(std::int64_t atMs, std::int64_t lastMs, std::int64_t mostMs) const;
    void addCounts(const std::string &entry, const std::string &detail, std::int64_t atMs);
    void addWait(const std::string &key, const unplaced_line &wait, std::int64_t atMs,
                 const std::string &line);

    std::int64_t m_fromMs;
    std::int64_t m_untilMs;
    std::optional<std::int64_t> m_firstMs;
    double m_dueSeconds = 0;
    double m_unplacedSeconds = 0;
    std::map<wait_cause, std::map<std::int64_t, wait_total>> m_waits;
    std::map<std::string, std::int64_t> m_lastAtMs; // by entry, or by entry, job and step
    std::vector<std::string> m_suspectLines;
    std::int64_t m_droppedLines = 0;
};

} // namespace zinniabarrow
