// What a timeline says of each request, job, task and disturbance, for the check of the promises.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "soak/timeline.h"

namespace zinniabarrow::soak {

struct step_shape
{
    int count = 0;
    std::int64_t millicores = 0; // of each task
    std::vector<int> after;
    bool isGang = false;
    bool isSpeculative = false;
    bool isLongRunning = false;
};

struct job_shape
{
    std::vector<step_shape> steps;
    int occurrences = 1;
    bool isScheduled = false;
    std::int64_t firstOccurrenceMs = 0; // Unix time
    std::int64_t intervalMs = 0;
    bool isLongRunning() const; // has a step that is
};

struct request_history
{
    request_sent sent;
    time_point sentAt;
    time_point endedAt = Never; // answered, or known as unanswered
    std::optional<answer_received> answer;
    std::optional<request_unanswered> unanswered;

    int status() const { return answer ? answer->status : 0; }
    bool isAccepted() const { return status() / 100 == 2; }
    bool isRefused() const { return status() == 429 || status() == 503; }
    bool isSubmission() const { return sent.method == "POST" && !sent.job.empty(); }
    bool isRead() const { return sent.method == "GET" && !sent.job.empty(); }
    bool isCancel() const { return sent.method == "DELETE"; }
};

struct job_history
{
    job_shape shape;
    std::vector<std::uint64_t> submissions; // their requests
    time_point firstSentAt = Never;
    std::int64_t firstSentUnixMs = 0;
    time_point acceptedAt = Never;
    time_point cancelSentAt = Never;
    time_point cancelAckedAt = Never;

    bool isAccepted() const { return acceptedAt != Never; }
    bool isCancelled() const { return cancelSentAt != Never; }
    // When the occurrence is due, on the timeline's clock.
    time_point dueAt(int occurrence) const;
};

struct task_key
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    auto operator<=>(const task_key &) const = default;
};

struct run_history
{
    std::string worker;
    int number = 0;
    time_point startedAt;
    time_point endedAt = Never;
    std::string how; // the worker's word; empty: it goes on, or its worker is gone

    bool isDone() const { return how == "done"; }
};

struct disturbance
{
    std::string kind;
    std::string target;
    time_point from;
    time_point until = Never;
    bool isPlanned = false;

    // Whether it is of the process, worker or store, or of a link that begins or ends there.
    bool concerns(const std::string &place) const;
    // Whether it can be felt in the span, until `contact` after its end.
    bool isFelt(time_point spanFrom, time_point spanUntil, milliseconds contact) const;
};

struct soak_history
{
    time_point beginsAt; // of the first item
    time_point endsAt;   // of the last item
    std::map<std::uint64_t, request_history> requests;
    std::map<std::string, job_history> jobs;               // that callers sent
    std::map<task_key, std::vector<run_history>> runs;     // in the order of their starts
    std::vector<disturbance> disturbances;                 // in the order of their begins
    std::map<std::string, std::vector<time_point>> lapses; // of leases, by worker

    // Whether the run belongs to a task of a job that a caller sent.
    bool isOfKnownTask(const task_key &task) const;
    const std::vector<run_history> &runsOf(const task_key &task) const;
    // Until when the task had ended as done for the first time; Never: it has not. One member's end
    // stands for its whole gang.
    time_point doneAt(const task_key &task) const;
    // Until when all tasks of the step were done.
    time_point stepDoneAt(const std::string &job, int occurrence, int step) const;
    // Until when all tasks of the job were done.
    time_point jobDoneAt(const std::string &job) const;
    // How many runs of the task had ended as failed by `at`; of a gang, runs with a failed member.
    int failedRuns(const task_key &task, time_point at) const;
};

// Throws error BadRequest if the body is not that of a job.
job_shape parseJobShape(const std::string &body);

soak_history makeHistory(const std::vector<timeline_item> &items);

} // namespace zinniabarrow::soak
