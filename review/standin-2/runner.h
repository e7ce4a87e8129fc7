// Stand-in of a runner: it starts, holds, paces and ends tasks by its own steady clock, as the
// pages say, and sends check-ins to the agent on its machine.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "net.h"

namespace review {

// What happened on all machines, for record.txt and for the checks.
class record
{
public:
    explicit record(const std::string &file);
    void write(const std::string &line);
    double seconds() const; // since the start of the case

private:
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::FILE *m_file = nullptr;
};

// The ends as done of all runners, and whether they were taken note of: last-seen has reached them
// before the runner's hold ran out or the runner was gone.
class done_ledger
{
public:
    explicit done_ledger(record &log)
        : m_log(log)
    { }
    void noteDone(const std::string &life, std::int64_t sequence, const std::string &task);
    void noteSeen(const std::string &life, std::int64_t lastSeen);
    void forgetUnseen(const std::string &life);
    void noteStart(const std::string &task, int run, const std::string &runner);
    // Starts after an end as done that had been taken note of.
    int startsAfterDone();

private:
    struct done_run
    {
        std::int64_t sequence = 0;
        std::string task;
    };

    record &m_log;
    std::mutex m_mutex;
    std::map<std::string, std::vector<done_run>> m_unseen; // by the life of a runner
    std::map<std::string, std::string> m_seen;             // task -> by which life
    int m_startsAfterDone = 0;
};

// How a task behaves. A runner reads that from the task's spec.
struct task_work
{
    std::int64_t workMs = 1000;    // at full speed
    bool isLongRunning = false;    // ends only when it is stopped
    std::int64_t failsAfterMs = 0; // of work, each time; 0: it doesn't fail
    bool fills = false;
    std::int64_t millicores = 0; // in use, of a task that fills
};
task_work workFrom(const std::string &spec);

// A call that gets no answer and is carried out later.
struct late_call
{
    std::chrono::milliseconds delay{0};
};
using call_fault =
        std::function<std::optional<late_call>(const std::string &path, const Json::Value &body)>;

struct runner_options
{
    std::string name;
    endpoint listen;
    endpoint agent; // where its check-ins go
    std::int64_t millicores = 16'000;
    std::int64_t memoryMb = 64'000;
    call_fault fault = [](const auto &, const auto &) { return std::nullopt; };
};

class runner
{
public:
    runner(runner_options options, record &log, done_ledger &ledger);
    const std::string &name() const { return m_options.name; }

    // The machine is suspended: nothing happens on it, and its steady clock stands.
    void suspend();
    void resume();

    // The runner's process ends at once, with all that runs there.
    void crash();
    // It starts again under the id that it had: its counts and its clock start anew.
    void restart();

    // The tail latency of all tasks that serve, alone and while a task that fills works beside
    // them.
    void setTails(std::int64_t aloneMs, std::int64_t disturbedMs);
    bool runs(const std::string &task);
    bool hasStarted(const std::string &task);              // at any time
    bool isDone(const std::string &task);                  // a run of it has ended as done
    std::optional<int> percentOf(const std::string &task); // of the run that goes on

private:
    struct active_run
    {
        int number = 0;
        task_work work;
        double doneMs = 0;
        int percent = 100;
    };

    std::optional<http_message> serve(const http_message &request);
    http_message carryOut(const std::string &path, const Json::Value &body, const std::string &id);
    http_message start(const Json::Value &body);
    http_message hold(const Json::Value &body);
    http_message listing();
    void extendHold(const Json::Value &body);
    void advance();
    void end(const std::string &task, const char *how);
    void checkIn();
    int lifeNumber();
    void waitInLife(int life, std::chrono::milliseconds time);
    bool checkInOnce(); // whether it was acknowledged
    std::string lifeName() const;
    std::int64_t clockMs() const;
    std::int64_t tailMs() const;
    Json::Value makeAnswer() const;
    static http_message toAnswer(int status, const Json::Value &body);
    static http_message refuse(Json::Value body, const char *reason);

    runner_options m_options;
    record &m_log;
    done_ledger &m_ledger;
    std::mutex m_mutex;
    bool m_isSuspended = false;
    std::chrono::steady_clock::time_point m_suspendedAt{};
    std::chrono::steady_clock::duration m_suspendedTime{0};
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::int64_t m_born = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_aloneTailMs = 20;
    std::int64_t m_disturbedTailMs = 20;
    std::int64_t m_heldUntilMs = 0;
    std::int64_t m_advancedAtMs = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, active_run> m_runs;
    std::map<std::string, int> m_highestRun; // that was stopped or has ended
    std::map<std::string, bool> m_hasDone;   // every task that was started here
    int m_life = 1;
    bool m_isDown = false;
    std::vector<Json::Value> m_ends; // not acknowledged yet
    std::int64_t m_endCount = 0;
    http_server m_server; // last: it serves as soon as it exists
};

} // namespace review
