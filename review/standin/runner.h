// Stand-ins of the runners, as PROTOCOL.md describes them, and a journal of all runs, from which
// the rules are checked.
#pragma once

#include <algorithm>
#include <fstream>
#include <random>
#include <vector>

#include "store.h"

namespace review {

struct step
{
    int count = 1;
    int cpu = 0;
    int memMb = 0;
    int workMs = 0;
    int estimateMs = 0;
    std::vector<int> after = {};
    bool gang = false;
    bool lasts = false;
    bool saves = false;
    bool speculative = false;
    bool fills = false;
    std::string requires_ = {};
    std::string affinity = {};
    int antiAffinity = 0;
    double failShare = 0; // of the runs
    std::string image = {};
    int targetMs = 0;
};

struct job
{
    std::string id;
    std::string prefix;
    std::string spec;
    std::vector<step> steps;
    int occurrences = 0;
    std::int64_t firstMs = 0;
    std::int64_t intervalMs = 0;
    int maxAttempts = 3;
    // What the client saw.
    bool accepted = false;
    std::int64_t acceptedAt = 0;
    std::vector<int> submitAnswers = {}; // 0: none
    std::int64_t cancelSentAt = 0;
    std::int64_t cancelAckedAt = 0;
    std::string lastState = {};

    std::string body() const
    {
        Json::Value value(Json::objectValue);
        value["spec"] = spec;
        for (const auto &each : steps) {
            Json::Value row(Json::objectValue);
            row["count"] = each.count;
            row["cpu"] = each.cpu;
            row["mem-mb"] = each.memMb;
            row["estimate-ms"] = each.estimateMs != 0 ? each.estimateMs : each.workMs;
            for (const int number : each.after)
                row["after"].append(number);
            const auto flag = [&](const char *name, bool isSet) {
                if (isSet)
                    row[name] = true;
            };
            flag("gang", each.gang);
            flag("long-running", each.lasts);
            flag("checkpointing", each.saves);
            flag("speculative", each.speculative);
            flag("fills", each.fills);
            if (!each.requires_.empty())
                row["requires"] = each.requires_;
            if (!each.affinity.empty())
                row["affinity"] = each.affinity;
            if (each.antiAffinity > 0)
                row["anti-affinity"] = each.antiAffinity;
            if (!each.image.empty())
                row["image"] = each.image;
            if (each.targetMs > 0)
                row["target-ms"] = each.targetMs;
            value["steps"].append(row);
        }
        if (occurrences > 0) {
            value["run-count"] = occurrences;
            value["initial-delay-ms"] = Json::Int64(firstMs);
            value["interval-ms"] = Json::Int64(intervalMs);
        }
        return jsonText(value);
    }
};

struct task_name
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

inline std::optional<task_name> parseTask(const std::string &text)
{
    task_name name;
    const auto dot = text.find('.');
    if (dot == std::string::npos
        || std::sscanf(text.c_str() + dot, ".%d.%d.%d", &name.occurrence, &name.step, &name.index)
                   != 3)
        return std::nullopt;
    name.job = text.substr(0, dot);
    return name;
}

// One run, from its start to its end.
struct run_record
{
    std::string task;
    int run = 0;
    std::string runner;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0; // 0: goes on
    std::string how;          // `crashed`: its runner went down
    std::int64_t notedAt = 0; // when last-seen reached the end
    std::string checkpoint;
    std::string spec;
};

// All that the runners did, and the client's jobs. One mutex guards everything.
struct world
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, job> jobs;
    std::vector<run_record> runs;
    std::map<std::string, std::vector<std::size_t>> runsOfTask;
    std::vector<std::string> violations; // found at once
    std::ofstream record;
    std::int64_t startedAt = steadyMs();
    std::mt19937_64 random{1};
    std::map<std::string, std::set<std::string>> checkpointsOfTask;

    void note(const std::string &line)
    {
        record << steadyMs() - startedAt << " " << line << std::endl;
    }
    void violate(const std::string &line)
    {
        violations.push_back(line);
        note("BROKEN " + line);
    }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }
};

struct runner_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    int cpu = 16000;
    int memMb = 64000;
    address app;
    address control; // of its machine, where it registers
    std::int64_t stopMs = 900;
    std::int64_t holdMaxMs = 10'000;
    std::int64_t gangMs = 3000;
    std::int64_t checkpointMs = 2000;
    std::int64_t restoreMs = 600;
    std::int64_t heartbeatMs = 1500;
    double clockRate = 1; // of its own steady clock; may be 2% slow
};

class runner
{
public:
    runner(world &all, runner_options options)
        : m_world(all)
        , m_options(std::move(options))
    {
        boot();
        m_ticker = std::thread([this] { tickAll(); });
        m_beater = std::thread([this] { beatAll(); });
    }
    ~runner()
    {
        m_open = false;
        m_ticker.join();
        m_beater.join();
        m_server.reset();
    }

    const runner_options &options() const { return m_options; }
    std::atomic<bool> isHung{false}; // takes calls and answers none
    std::atomic<bool> isDraining{false};
    std::atomic<bool> mayBeat{true};
    std::atomic<double> lateShare{0};    // of the starts that get no answer and come late
    std::atomic<double> lostShare{0};    // of the starts that it carries out and doesn't answer
    std::atomic<bool> hasStopped{false}; // it was told to stop a run, and is stopping it

    void crash()
    {
        const std::lock_guard lock(m_world.mutex);
        m_isUp = false;
        for (auto &[task, index] : m_running) {
            m_world.runs[index].endedAt = steadyMs();
            m_world.runs[index].how = "crashed";
        }
        m_running.clear();
        for (const auto &[until, index] : m_stopping) {
            m_world.runs[index].endedAt = steadyMs();
            m_world.runs[index].how = "crashed";
        }
        m_stopping.clear();
        m_world.note("runner " + m_options.id + " crashed");
        m_world.changed.notify_all();
        m_serverToClose = std::move(m_server);
    }
    void closeServer() { m_serverToClose.reset(); }
    void restart() { boot(); }
    bool isUp() const { return m_isUp; }

    std::size_t runCount()
    {
        const std::lock_guard lock(m_world.mutex);
        return m_running.size();
    }

    std::int64_t beatsAcked = 0;
    std::int64_t drainAckedAt = 0;

private:
    void boot()
    {
        const std::lock_guard lock(m_world.mutex);
        m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
        m_clockStart = steadyMs() - 1000;
        m_fence = 0;
        m_leaseEnd = 0;
        m_lastEnd = 0;
        m_sequence = 0;
        m_ends.clear();
        m_highest.clear();
        isDraining = false;
        m_server = std::make_unique<server>(m_options.app,
                                            [this](const request &call) { return serve(call); });
        m_isUp = true;
    }

    std::int64_t clockMs() const
    {
        return static_cast<std::int64_t>(static_cast<double>(steadyMs() - m_clockStart)
                                         * m_options.clockRate);
    }

    Json::Value clockAnswer() const
    {
        Json::Value value(Json::objectValue);
        value["clock-ms"] = Json::Int64(clockMs());
        return value;
    }
    response refuse(const char *reason) const
    {
        auto value = clockAnswer();
        value["reason"] = reason;
        return {409, jsonText(value)};
    }

    std::optional<response> serve(const request &call)
    {
        if (call.path == "/health")
            return response{isDraining ? 503 : 200, ""};
        if (isHung) {
            while (isHung)
                sleepMs(10);
            return std::nullopt;
        }
        const auto body = parseJson(call.body);
        if (call.path == "/-/run-start" && lateShare > 0) {
            bool isLate = false;
            {
                const std::lock_guard lock(m_world.mutex);
                isLate = m_world.chance() < lateShare;
            }
            if (isLate) {
                const auto born = m_bornMs.load();
                sleepMs(2500);
                if (born == m_bornMs) // what a dead process had received is gone
                    act(call, body);
                return std::nullopt;
            }
        }
        return act(call, body);
    }

    std::optional<response> act(const request &call, const Json::Value &body)
    {
        std::unique_lock lock(m_world.mutex);
        if (!m_isUp)
            return std::nullopt;
        const auto expected = call.headers.find("expect-instance");
        if (expected != call.headers.end() && expected->second != m_options.id)
            return response{421, ""};
        const auto fence = body["fence"].asInt64();
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        tick();
        if (call.path == "/-/run-start") {
            auto answer = start(body);
            if (lostShare > 0 && m_world.chance() < lostShare) {
                m_world.note("answer lost: start " + body["task"].asString() + " on "
                             + m_options.id);
                return std::nullopt;
            }
            return answer;
        }
        if (call.path == "/-/run-stop")
            return stop(body);
        if (call.path == "/-/pace")
            return response{200, jsonText(clockAnswer())};
        if (call.path == "/-/hold")
            return hold(body, lock);
        return response{404, ""};
    }

    void extend(const Json::Value &body)
    {
        if (body.isMember("deadline-ms"))
            m_leaseEnd = std::max(m_leaseEnd, std::min(body["deadline-ms"].asInt64(),
                                                       clockMs() + m_options.holdMaxMs));
    }

    response start(const Json::Value &body)
    {
        const auto task = body["task"].asString();
        const int run = body["run"].asInt();
        if (body["deadline-ms"].asInt64() < clockMs())
            return refuse("late");
        extend(body);
        const auto known = m_running.find(task);
        if (known != m_running.end() && m_world.runs[known->second].run == run)
            return {200, jsonText(clockAnswer())};
        if (run <= m_highest[task] || known != m_running.end())
            return refuse("old");
        const auto name = parseTask(task);
        const auto found = name ? m_world.jobs.find(name->job) : m_world.jobs.end();
        if (found == m_world.jobs.end()
            || name->step >= static_cast<int>(found->second.steps.size())) {
            m_world.violate("UNASKED " + task + ": no client sent it");
            return {400, ""};
        }
        checkStart(task, *name, found->second, body, run);
        const auto &part = found->second.steps[static_cast<std::size_t>(name->step)];
        run_record begun{task,
                         run,
                         m_options.id,
                         steadyMs(),
                         0,
                         "",
                         0,
                         body["checkpoint"].asString(),
                         body["spec"].asString()};
        m_running[task] = m_world.runs.size();
        m_world.runsOfTask[task].push_back(m_world.runs.size());
        m_world.runs.push_back(begun);
        auto &state = m_states[task];
        state = {};
        state.startsWorkAt = steadyMs() + (begun.checkpoint.empty() ? 0 : m_options.restoreMs);
        state.isAtWork = !part.gang;
        state.checkpoint = begun.checkpoint;
        state.doneBefore = begun.checkpoint.empty()
                                   ? 0
                                   : std::stoll(begun.checkpoint.substr(0, 8), nullptr, 16);
        const bool fails = m_world.chance() < part.failShare;
        state.failsAfter = fails ? static_cast<std::int64_t>(m_world.chance() * part.workMs) : -1;
        m_world.note("start " + task + " run " + std::to_string(run) + " on " + m_options.id);
        m_world.changed.notify_all();
        return {200, jsonText(clockAnswer())};
    }

    // The rules that a start can break, as far as they can be seen at once.
    void checkStart(const std::string &task, const task_name &name, const job &asked,
                    const Json::Value &body, int run)
    {
        const auto &part = asked.steps[static_cast<std::size_t>(name.step)];
        const auto where = task + " run " + std::to_string(run) + " on " + m_options.id;
        if (body["spec"].asString() != asked.spec)
            m_world.violate("UNASKED " + where + ": another spec");
        const auto checkpoint = body["checkpoint"].asString();
        const auto group = part.gang ? task.substr(0, task.rfind('.')) : task;
        if (!checkpoint.empty() && !m_world.checkpointsOfTask[group].contains(checkpoint))
            m_world.violate("UNASKED " + where + ": a checkpoint that isn't the task's");
        int sameStep = 0;
        std::int64_t cpu = part.fills ? 0 : part.cpu;
        std::int64_t memory = part.memMb;
        for (const auto &[other, index] : m_running) {
            const auto otherName = *parseTask(other);
            const auto &otherPart =
                    m_world.jobs.at(otherName.job).steps[static_cast<std::size_t>(otherName.step)];
            cpu += otherPart.fills ? 0 : otherPart.cpu;
            memory += otherPart.memMb;
            sameStep += otherName.job == name.job && otherName.occurrence == name.occurrence
                        && otherName.step == name.step;
        }
        for (const auto &[until, index] : m_stopping) {
            const auto otherName = *parseTask(m_world.runs[index].task);
            const auto &otherPart =
                    m_world.jobs.at(otherName.job).steps[static_cast<std::size_t>(otherName.step)];
            cpu += otherPart.fills ? 0 : otherPart.cpu;
            memory += otherPart.memMb;
        }
        if (cpu > m_options.cpu || memory > m_options.memMb)
            m_world.violate("LIMIT " + where + ": " + std::to_string(cpu) + " cpu, "
                            + std::to_string(memory) + " MB");
        if (part.antiAffinity > 0 && sameStep + 1 > part.antiAffinity)
            m_world.violate("ROUTE " + where + ": beyond anti-affinity");
        if (!part.requires_.empty() && part.requires_ != m_options.kind
            && part.requires_ != m_options.rack)
            m_world.violate("ROUTE " + where + ": without its label");
        for (const int earlier : part.after) {
            const auto &earlierPart = asked.steps[static_cast<std::size_t>(earlier)];
            for (int index = 0; index < earlierPart.count; ++index) {
                const auto other = asked.id + "." + std::to_string(name.occurrence) + "."
                                   + std::to_string(earlier) + "." + std::to_string(index);
                bool isDone = false;
                for (const auto at : m_world.runsOfTask[other])
                    isDone = isDone || m_world.runs[at].how == "done";
                if (!isDone && !earlierPart.gang)
                    m_world.violate("ORDER " + where + ": before " + other + " was done");
            }
        }
        if (asked.occurrences > 0) {
            const auto due = asked.firstMs + name.occurrence * asked.intervalMs;
            const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count();
            if (wall + 250 < due)
                m_world.violate("ORDER " + where + ": too early");
        }
        if (asked.cancelAckedAt != 0 && steadyMs() - asked.cancelAckedAt > 3000)
            m_world.violate("UNASKED " + where + ": after its job was cancelled");
        int failed = 0;
        for (const auto at : m_world.runsOfTask[task]) {
            const auto &other = m_world.runs[at];
            if (!part.speculative && other.endedAt == 0)
                m_world.violate("TWICE " + where + ": runs on " + other.runner);
            failed += other.how == "failed" && other.notedAt != 0;
        }
        if (!part.lasts && failed >= asked.maxAttempts)
            m_world.violate("BUDGET " + where + ": after " + std::to_string(failed) + " failures");
        if (isDraining && drainAckedAt != 0 && steadyMs() - drainAckedAt > 2000)
            m_world.violate("DRAIN " + where);
    }

    response stop(const Json::Value &body)
    {
        const auto task = body["task"].asString();
        const auto known = m_running.find(task);
        if (known != m_running.end() && m_world.runs[known->second].run <= body["run"].asInt()) {
            // Until it has ended it is in neither list, and counts for the runner's capacity.
            m_stopping.emplace_back(steadyMs() + m_options.stopMs * 9 / 10, known->second);
            m_world.note("stop " + task + " on " + m_options.id);
            hasStopped = true;
            m_running.erase(known);
        }
        m_highest[task] = std::max(m_highest[task], body["run"].asInt());
        return {200, jsonText(clockAnswer())};
    }

    response hold(const Json::Value &body, std::unique_lock<std::mutex> &lock)
    {
        extend(body);
        const auto seen = body["last-seen"].asInt64();
        std::erase_if(m_ends, [&](const auto &end) {
            if (end.first > seen)
                return false;
            // Not taken note of if the runner's lease lapsed between the two.
            if (m_lapsedAt < m_world.runs[end.second].endedAt)
                m_world.runs[end.second].notedAt = steadyMs();
            return true;
        });
        const auto born = m_bornMs.load();
        const auto until = steadyMs() + std::min<std::int64_t>(2000, body["wait-ms"].asInt64());
        while (m_ends.empty() && steadyMs() < until && m_open && m_bornMs == born && m_isUp)
            m_world.changed.wait_for(lock, std::chrono::milliseconds(20));
        auto answer = clockAnswer();
        answer["born"] = Json::Int64(m_bornMs.load());
        answer["running"] = Json::Value(Json::arrayValue);
        answer["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, index] : m_running) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(m_world.runs[index].run);
            row.append(m_states[task].checkpoint);
            row.append(100);
            row.append(measured(task));
            answer["running"].append(row);
        }
        for (const auto &[number, index] : m_ends) {
            const auto &ended = m_world.runs[index];
            Json::Value row(Json::arrayValue);
            row.append(Json::Int64(number));
            row.append(ended.task);
            row.append(ended.run);
            row.append(ended.how);
            row.append(ended.checkpoint);
            answer["ended"].append(row);
            if (answer["ended"].size() >= 500)
                break;
        }
        return {200, jsonText(answer)};
    }

    int measured(const std::string &task)
    {
        const auto name = *parseTask(task);
        const auto &part = m_world.jobs.at(name.job).steps[static_cast<std::size_t>(name.step)];
        return part.targetMs > 0 ? part.targetMs / 3 : part.cpu;
    }

    // Called with the mutex held.
    void end(std::size_t index, const std::string &how)
    {
        auto &ended = m_world.runs[index];
        ended.endedAt = steadyMs();
        ended.how = how;
        ended.checkpoint = m_states[ended.task].checkpoint;
        m_highest[ended.task] = std::max(m_highest[ended.task], ended.run);
        m_ends.emplace_back(++m_lastEnd, index);
        m_world.note("end " + ended.task + " run " + std::to_string(ended.run) + " on "
                     + m_options.id + " " + how);
        m_world.changed.notify_all();
    }
    void endRunning(const std::string &task, const std::string &how)
    {
        const auto index = m_running.at(task);
        m_running.erase(task);
        end(index, how);
    }

    // Members of the gang run that are present now, on all runners.
    int membersPresent(const task_name &name, int run) const
    {
        const auto &part = m_world.jobs.at(name.job).steps[static_cast<std::size_t>(name.step)];
        int present = 0;
        for (int index = 0; index < part.count; ++index) {
            const auto member = name.job + "." + std::to_string(name.occurrence) + "."
                                + std::to_string(name.step) + "." + std::to_string(index);
            const auto found = m_world.runsOfTask.find(member);
            if (found == m_world.runsOfTask.end())
                continue;
            for (const auto at : found->second)
                present += m_world.runs[at].run == run && m_world.runs[at].endedAt == 0;
        }
        return present;
    }
    // The first end of a member of the gang run; empty: none has ended.
    std::string endOfMember(const task_name &name, int run) const
    {
        const auto &part = m_world.jobs.at(name.job).steps[static_cast<std::size_t>(name.step)];
        for (int index = 0; index < part.count; ++index) {
            const auto member = name.job + "." + std::to_string(name.occurrence) + "."
                                + std::to_string(name.step) + "." + std::to_string(index);
            const auto found = m_world.runsOfTask.find(member);
            if (found == m_world.runsOfTask.end())
                continue;
            for (const auto at : found->second) {
                if (m_world.runs[at].run == run && m_world.runs[at].endedAt != 0)
                    return m_world.runs[at].how;
            }
        }
        return {};
    }

    void tick()
    {
        const auto now = steadyMs();
        if (clockMs() > m_leaseEnd)
            m_lapsedAt = now;
        std::erase_if(m_stopping, [&](const auto &stopping) {
            if (stopping.first > now)
                return false;
            end(stopping.second, "stopped");
            return true;
        });
        const auto running = m_running;
        for (const auto &[task, index] : running) {
            if (!m_running.contains(task))
                continue;
            const auto name = *parseTask(task);
            const auto &part = m_world.jobs.at(name.job).steps[static_cast<std::size_t>(name.step)];
            auto &state = m_states[task];
            if (clockMs() > m_leaseEnd) {
                endRunning(task, "lapsed");
                continue;
            }
            if (part.gang && !state.isAtWork) {
                const auto gone = endOfMember(name, m_world.runs[index].run);
                if (!gone.empty() && gone != "done")
                    endRunning(task, "broken");
                else if (membersPresent(name, m_world.runs[index].run) == part.count) {
                    state.isAtWork = true;
                    state.startsWorkAt = std::max(state.startsWorkAt, now);
                } else if (now - m_world.runs[index].startedAt > m_options.gangMs) {
                    endRunning(task, "alone");
                    if (m_world.jobs.at(name.job).cancelSentAt == 0)
                        m_world.violate("GANG " + task + " ended alone");
                }
                continue;
            }
            const auto worked = now - state.startsWorkAt;
            if (part.gang) {
                const auto gone = endOfMember(name, m_world.runs[index].run);
                if (!gone.empty()) {
                    endRunning(task, gone == "done" ? "done" : "broken");
                    continue;
                }
            }
            if (worked < 0)
                continue;
            if (part.saves && worked / m_options.checkpointMs > state.saves) {
                state.saves = worked / m_options.checkpointMs;
                char text[40];
                std::snprintf(text, sizeof text, "%08llx%.8s",
                              static_cast<unsigned long long>(state.doneBefore + worked),
                              name.job.c_str());
                state.checkpoint = text;
                m_world.checkpointsOfTask[part.gang ? task.substr(0, task.rfind('.')) : task]
                        .insert(text);
            }
            if (state.failsAfter >= 0 && worked >= state.failsAfter)
                endRunning(task, "failed");
            else if (!part.lasts && state.doneBefore + worked >= part.workMs)
                endRunning(task, "done");
        }
    }

    void tickAll()
    {
        while (m_open) {
            {
                const std::lock_guard lock(m_world.mutex);
                if (m_isUp)
                    tick();
            }
            sleepMs(10);
        }
    }

    void beatAll()
    {
        std::int64_t next = 0;
        bool wasDraining = false;
        while (m_open) {
            const bool draining = isDraining;
            if (m_isUp && mayBeat && (steadyMs() >= next || draining != wasDraining)) {
                wasDraining = draining;
                next = steadyMs() + m_options.heartbeatMs;
                beat(draining);
            }
            sleepMs(20);
        }
    }

    void beat(bool draining)
    {
        Json::Value body(Json::objectValue);
        {
            const std::lock_guard lock(m_world.mutex);
            body["service"] = m_options.service;
            body["address"] = m_options.app.text();
            body["zone"] = m_options.zone;
            body["version"] = "v1";
            body["slots"] = 8;
            body["state"] = draining ? "draining" : "ready";
            body["cold-remaining-ms"] = 0;
            body["capacity"]["cpu"] = m_options.cpu;
            body["capacity"]["mem-mb"] = m_options.memMb;
            body["capacity"]["gpu"] = 0;
            body["labels"].append(m_options.kind);
            body["labels"].append(m_options.rack);
            body["clock-ms"] = Json::Int64(clockMs());
            body["born"] = Json::Int64(m_bornMs.load());
            body["seq"] = Json::Int64(++m_sequence);
            if (draining)
                body["remaining-ms"] = 20'000;
        }
        const auto answer =
                call(m_options.control, "POST", "/-/instances/" + m_options.id + "/heartbeat",
                     m_options.control.text(), jsonText(body), 1000);
        if (answer && answer->status == 200) {
            ++beatsAcked;
            if (draining && drainAckedAt == 0)
                drainAckedAt = steadyMs();
        }
    }

    struct run_state
    {
        std::int64_t startsWorkAt = 0;
        bool isAtWork = false;
        std::string checkpoint;
        std::int64_t doneBefore = 0;
        std::int64_t saves = 0;
        std::int64_t failsAfter = -1;
    };

    world &m_world;
    runner_options m_options;
    std::atomic<bool> m_open{true};
    std::atomic<bool> m_isUp{false};
    std::atomic<std::int64_t> m_bornMs{0};
    std::int64_t m_clockStart = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lapsedAt = 0; // when the lease was last seen lapsed
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, std::size_t> m_running; // task -> its run
    // Runs that are being stopped, and when they will have ended.
    std::vector<std::pair<std::int64_t, std::size_t>> m_stopping;
    std::map<std::string, run_state> m_states;
    std::vector<std::pair<std::int64_t, std::size_t>> m_ends; // number, run
    std::map<std::string, int> m_highest; // highest run that was stopped or has ended there
    std::unique_ptr<server> m_server;
    std::unique_ptr<server> m_serverToClose;
    std::thread m_ticker;
    std::thread m_beater;
};

} // namespace review
