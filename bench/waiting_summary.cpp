#include "waiting_summary.h"

#include <algorithm>
#include <array>
#include <regex>

#include "base/json.h"
#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<wait_cause, WaitCauseCount> WaitCauseNames{{
        {wait_cause::RoomNotTaken, "room_not_taken"},
        {wait_cause::KeptApart, "kept_apart"},
        {wait_cause::RunsThatEnd, "runs_that_end"},
        {wait_cause::SumTooSmall, "sum_too_small"},
        {wait_cause::ScatteredGaps, "scattered_gaps"},
        {wait_cause::Other, "other"},
}};

// Entries count long-running tasks every two seconds; a longer pause had none that were due.
constexpr std::int64_t MaxCountPauseMs = 2500;

std::int64_t numberBefore(const std::string &text, const std::string &words)
{
    const std::regex pattern("(\\d+) " + words);
    std::smatch found;
    return std::regex_search(text, found, pattern) ? std::stoll(found[1]) : 0;
}

wait_cause causeOf(const std::string &detail, const unplaced_line &wait)
{
    if (numberBefore(detail, "fit,") > 0)
        return wait_cause::RoomNotTaken;
    if (numberBefore(detail, "with room beside") > 0)
        return wait_cause::RunsThatEnd;
    if (numberBefore(detail, "avoided,") > 0)
        return wait_cause::KeptApart;
    if (wait.freeMost >= wait.asked || numberBefore(detail, "no_processors") == 0)
        return wait_cause::Other;
    return numberBefore(detail, "in sum") < wait.asked ? wait_cause::SumTooSmall
                                                       : wait_cause::ScatteredGaps;
}

} // namespace

std::string_view nameOf(wait_cause cause)
{
    return nameOf(WaitCauseNames, cause);
}

std::optional<unplaced_line> readUnplacedLine(const std::string &detail)
{
    static const std::regex pattern(
            R"(^(\d+) long-running tasks of step (\d+\.\d+) unplaced for (\d+) ms: )");
    std::smatch found;
    if (!std::regex_search(detail, found, pattern))
        return std::nullopt;
    unplaced_line wait;
    wait.tasks = std::stoi(found[1]);
    wait.step = found[2];
    wait.waitedMs = std::stoll(found[3]);
    wait.asked = numberBefore(detail, "millicores asked for");
    wait.freeMost = numberBefore(detail, "at most");
    wait.moves = static_cast<int>(numberBefore(detail, "owned runs could make room"));
    wait.cause = causeOf(detail, wait);
    return wait;
}

waiting_summary::waiting_summary(std::int64_t fromMs, std::int64_t untilMs)
    : m_fromMs(fromMs)
    , m_untilMs(untilMs)
{ }

void waiting_summary::addLine(const std::string &line)
{
    const auto start = line.find('{');
    if (start == std::string::npos)
        return;
    const auto fields = parseJsonObject(std::string_view(line).substr(start));
    const auto event = fields["event"].asString();
    const auto timeMs = fields["time_ms"].asInt64();
    m_firstMs = m_firstMs.value_or(timeMs);
    const auto atMs = timeMs - *m_firstMs;
    const auto entry = fields["id"].asString();
    const auto detail = fields["detail"].asString();
    if (event == "log_lines_dropped")
        ++m_droppedLines;
    if (event == "long_running_tasks")
        addCounts(entry, detail, atMs);
    if (event != "tasks_unplaced")
        return;
    if (const auto wait = readUnplacedLine(detail))
        addWait(entry + " " + fields["job"].asString() + " " + wait->step, *wait, atMs, line);
}

void waiting_summary::addCounts(const std::string &entry, const std::string &detail,
                                std::int64_t atMs)
{
    const auto due = numberBefore(detail, "due");
    const auto covered = coveredSeconds(atMs, m_lastAtMs[entry], MaxCountPauseMs);
    m_dueSeconds += static_cast<double>(due) * covered;
    m_unplacedSeconds += static_cast<double>(due - numberBefore(detail, "placed")) * covered;
    m_lastAtMs[entry] = atMs;
}

void waiting_summary::addWait(const std::string &key, const unplaced_line &wait, std::int64_t atMs,
                              const std::string &line)
{
    const auto seconds = wait.tasks * coveredSeconds(atMs, m_lastAtMs[key], wait.waitedMs);
    m_lastAtMs[key] = atMs;
    if (seconds == 0)
        return;
    auto &total = m_waits[wait.cause][wait.asked];
    total.taskSeconds += seconds;
    total.movableSeconds += wait.moves > 0 ? seconds : 0;
    total.freeMost = std::max(total.freeMost, wait.freeMost);
    if (wait.cause == wait_cause::RoomNotTaken)
        m_suspectLines.push_back(line);
}

double waiting_summary::coveredSeconds(std::int64_t atMs, std::int64_t lastMs,
                                       std::int64_t mostMs) const
{
    const auto start = std::max({lastMs, atMs - mostMs, m_fromMs});
    return static_cast<double>(std::max<std::int64_t>(0, std::min(atMs, m_untilMs) - start)) / 1000;
}

const std::map<std::int64_t, wait_total> &waiting_summary::waitsFor(wait_cause cause) const
{
    static const std::map<std::int64_t, wait_total> none;
    const auto found = m_waits.find(cause);
    return found == m_waits.end() ? none : found->second;
}

double waiting_summary::secondsFor(wait_cause cause) const
{
    double seconds = 0;
    for (const auto &[size, total] : waitsFor(cause))
        seconds += total.taskSeconds;
    return seconds;
}

double waiting_summary::movableSecondsFor(wait_cause cause) const
{
    double seconds = 0;
    for (const auto &[size, total] : waitsFor(cause))
        seconds += total.movableSeconds;
    return seconds;
}

} // namespace zinniabarrow
