// Sums up from the log lines of entries, by queue, what completed jobs waited for, which orders
// were refused, which runs failed and what followed them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniabarrow {

// What one "job_course" line says.
struct course_line
{
    bool isLate = false;
    std::int64_t firstPlacedMs = 0; // after acceptance
    std::int64_t slackMs = 0;       // at that time
    std::int64_t restMs = 0;        // from then to completion
    std::int64_t estimateMs = 0;    // of the critical path
    std::int64_t unplacedMs = 0;    // during which steps had tasks without a worker
};
std::optional<course_line> readCourseLine(const std::string &detail);

// What the lines say of the jobs of one queue.
struct queue_course
{
    int jobs = 0; // completed
    int late = 0;
    int lateFirstPlaced = 0; // of the late ones: first placed without slack
    int lateWaited = 0;      // of the others: more than 300 ms with unplaced tasks
    int lateFailed = 0;      // of the late ones: with failed runs
    int failed = 0;          // of all completed jobs: with failed runs
    std::int64_t estimateMs = 0;
    std::int64_t waitedMs = 0;   // until the first placement, and with unplaced tasks after it
    std::int64_t ranMs = 0;      // the rest
    std::vector<double> lengths; // time from the first placement / estimate
    std::map<std::string, double> unplacedSeconds; // of tasks, by the commonest reason of workers
    std::map<std::string, int> refusedOrders;      // by outcome
    int refusedAgain = 0;                          // orders of tasks that were refused before
    int failedRuns = 0;
    int neverStarted = 0;
    int failedAgain = 0;                           // of tasks that had failed before
    int failedElsewhere = 0;                       // of these, on another worker
    std::vector<std::int64_t> placedMs;            // from a failure known to the next placement
    std::vector<std::int64_t> acceptedMs;          // to its acceptance
    std::int64_t runs = 0;                         // of completed jobs
    std::map<std::string, std::int64_t> overrunMs; // by cause
};

class course_summary
{
public:
    // Takes a line of an entry's log, as waiting_summary::addLine does.
    void addLine(const std::string &line);

    // By queue; jobs whose submission is in no line are under "unknown".
    const std::map<std::string, queue_course> &queues() const { return m_queues; }
    // Failed runs by worker.
    const std::map<std::string, int> &failuresByWorker() const { return m_failuresByWorker; }
    int quarantines() const { return m_quarantines; }

private:
    queue_course &queueOf(const std::string &job);
    void addCourse(const std::string &job, const std::string &detail);
    void addRuns(const std::string &job, const std::string &detail);
    void addRefusal(const std::string &job, const std::string &detail);
    void addEnd(const std::string &job, const std::string &detail);
    void addFollowed(const std::string &job, const std::string &detail);
    void addUnplaced(const std::string &key, const std::string &job, const std::string &detail,
                     std::int64_t atMs);

    std::map<std::string, queue_course> m_queues;
    std::map<std::string, std::string> m_queueByJob;
    std::map<std::string, std::string> m_refusedTasks; // worker of the latest refusal
    std::map<std::string, std::string> m_failedTasks;  // worker of the latest failure
    std::map<std::string, bool> m_jobsWithFailures;
    std::map<std::string, std::int64_t> m_unplacedAtMs; // latest line, by entry, job and step
    std::map<std::string, int> m_failuresByWorker;
    int m_quarantines = 0;
};

// The value below which `share` of the values lie; 0 if there are none.
double quantileOf(std::vector<double> values, double share);

} // namespace zinniabarrow
