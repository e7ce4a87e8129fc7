// A simulated worker, as its agent sees it: it starts and stops runs, lists active and ended ones,
// and ends all runs when the hold expires that its agent has to renew. Tests can make it reject or
// refuse starts, or reboot.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "jobs/run_table.h"
#include "simulated_gangs.h"

namespace zinniabarrow::tests {

// How long a run takes, and how it ends unless it is stopped.
struct run_plan
{
    milliseconds duration{300};
    jobs::end_kind endKind = jobs::end_kind::Done;
    int gangSize = 0; // members of the task's gang; 0: it works by itself
};
using run_planner = std::function<run_plan(const jobs::task_id &task, int run)>;

inline std::int64_t clockOf(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

class simulated_worker
{
public:
    using run_key = std::pair<jobs::task_id, int>;

    simulated_worker(std::string name, run_planner planner)
        : m_name(std::move(name))
        , m_planner(std::move(planner))
    { }

    const std::string &name() const { return m_name; }

    // Until then starts are answered 429: the worker executed nothing.
    void rejectStartsUntil(time_point until) { m_rejectsStartsUntil = until; }
    // The next start is answered 409 with reason `room`.
    void refuseNextStart() { m_refusesNextStart = true; }
    void clearRefusal() { m_refusesNextStart = false; }
    // Until then runs that start take `factor` times as long.
    void slowDownUntil(time_point until, int factor)
    {
        m_isSlowUntil = until;
        m_slowFactor = factor;
    }

    // A run that is stopped lasts this long, in neither list. Listing: it is listed as active.
    void setStopTime(milliseconds stopTime, bool listsStopping = false)
    {
        m_stopTime = stopTime;
        m_listsStopping = listsStopping;
    }

    // The gangs of all workers of the cluster; called for each run that has ended as alone,
    // with the time of its end.
    void joinGangs(simulated_gangs &gangs,
                   std::function<void(const jobs::task_id &, int, time_point)> onAlone)
    {
        m_gangs = &gangs;
        m_onAlone = std::move(onAlone);
    }

    // From now on each incarnation has a clock of its own, which starts anew at a reboot, and no
    // hold lasts longer than `maxHold` from the call that sets it.
    void startClocksAnew(milliseconds maxHold) { m_maxHold = maxHold; }

    // Keeps the name only: runs, ends, the numbers of ends, the fence and the hold are lost.
    void reboot(time_point now)
    {
        advance(now);
        for (const auto &[key, run] : m_running)
            leaveGang(key, run, now);
        m_running.clear();
        m_stopping.clear();
        m_ended.clear();
        m_highestFinished.clear();
        m_nextEndSequence = 1;
        m_fence = 0;
        m_deadlineMs = 0;
        if (m_maxHold)
            m_clockZeroMs = clockOf(now) - 1;
        ++m_bootNumber;
    }
    int bootNumber() const { return m_bootNumber; }

    // Sets `hasStarted` to whether this call started a run.
    jobs::start_answer start(const jobs::start_run &order, std::int64_t deadlineMs,
                             std::int64_t fence, time_point now, bool &hasStarted)
    {
        hasStarted = false;
        if (!acceptFence(fence))
            return jobs::start_answer::Refused;
        if (now < m_rejectsStartsUntil)
            return jobs::start_answer::NotExecuted;
        advance(now);
        const run_key key{order.task, order.run};
        if (m_running.contains(key))
            return jobs::start_answer::Started;
        if (ownClock(now) > deadlineMs || std::exchange(m_refusesNextStart, false))
            return jobs::start_answer::Refused;
        extendDeadline(deadlineMs, now);
        if (order.run <= highestFinishedRun(order.task))
            return jobs::start_answer::Refused;
        const auto plan = m_planner(order.task, order.run);
        const auto factor = now < m_isSlowUntil ? m_slowFactor : 1;
        m_running[key] = {now + factor * plan.duration, plan.endKind, plan.gangSize > 0};
        if (plan.gangSize > 0)
            m_gangs->join(key.first, key.second, plan.gangSize, plan.duration, plan.endKind, now);
        hasStarted = true;
        return jobs::start_answer::Started;
    }

    // Returns true if a run was stopped.
    bool stop(const jobs::stop_run &order, std::int64_t fence, time_point now)
    {
        if (!acceptFence(fence))
            return false;
        advance(now);
        const run_key key{order.task, order.run};
        const auto running = m_running.extract(key);
        const bool ran = !running.empty();
        if (ran)
            leaveGang(key, running.mapped(), now);
        if (ran && m_stopTime > milliseconds(0))
            m_stopping[key] = now + m_stopTime;
        else if (ran)
            addEnded(key, jobs::end_kind::Stopped);
        recordFinished(key);
        return ran;
    }

    // Extends the hold up to `deadlineMs`, if given, and lists the runs. Forgets ends up to the
    // acknowledged one. Returns nothing if the fence is too low.
    std::optional<jobs::run_listing> renewHold(std::optional<std::int64_t> deadlineMs,
                                               std::int64_t acknowledgedThrough, std::int64_t fence,
                                               time_point now)
    {
        if (!acceptFence(fence))
            return std::nullopt;
        advance(now);
        if (deadlineMs)
            extendDeadline(*deadlineMs, now);
        std::erase_if(m_ended,
                      [&](const auto &end) { return end.sequence <= acknowledgedThrough; });
        jobs::run_listing listing;
        listing.clockMs = ownClock(now);
        for (const auto &[key, run] : m_running)
            listing.running.push_back({key.first, key.second, "", 0});
        for (const auto &[key, endsAt] : m_stopping) {
            if (m_listsStopping)
                listing.running.push_back({key.first, key.second, "", 0});
        }
        constexpr std::size_t MaxListed = 500;
        const auto listed = std::min(m_ended.size(), MaxListed);
        listing.ended.assign(m_ended.begin(),
                             m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
        return listing;
    }

    // Ends the runs that finish by `now`, and all others if the hold has expired.
    void advance(time_point now)
    {
        std::erase_if(m_stopping, [&](const auto &stopping) {
            if (stopping.second > now)
                return false;
            addEnded(stopping.first, jobs::end_kind::Stopped);
            return true;
        });
        const bool isHoldExpired = m_deadlineMs > 0 && ownClock(now) > m_deadlineMs;
        for (auto at = m_running.begin(); at != m_running.end();) {
            const auto &key = at->first;
            auto &run = at->second;
            applyGang(key, run, now);
            const bool isFinished =
                    run.endsAt <= now && (!isHoldExpired || ownClock(run.endsAt) <= m_deadlineMs);
            if (!isFinished && !isHoldExpired) {
                ++at;
                continue;
            }
            if (!isFinished)
                leaveGang(key, run, time_point(milliseconds(m_deadlineMs + m_clockZeroMs)));
            addEnded(key, isFinished ? run.endKind : jobs::end_kind::HoldExpired);
            if (isFinished && run.endKind == jobs::end_kind::Alone)
                m_onAlone(key.first, key.second, run.endsAt);
            recordFinished(key);
            at = m_running.erase(at);
        }
    }

    // Both include runs that are being stopped.
    std::vector<int> runsOf(const jobs::task_id &task) const
    {
        std::vector<int> runs;
        for (const auto &[key, run] : m_running) {
            if (key.first == task)
                runs.push_back(key.second);
        }
        for (const auto &[key, endsAt] : m_stopping) {
            if (key.first == task)
                runs.push_back(key.second);
        }
        return runs;
    }

    std::vector<jobs::task_id> runningTasks() const
    {
        std::vector<jobs::task_id> tasks;
        for (const auto &[key, run] : m_running)
            tasks.push_back(key.first);
        for (const auto &[key, endsAt] : m_stopping)
            tasks.push_back(key.first);
        return tasks;
    }

private:
    struct active_run
    {
        time_point endsAt{};
        jobs::end_kind endKind = jobs::end_kind::Done;
        bool isGangMember = false;
    };

    // Sets when and how the run of a gang's member ends.
    void applyGang(const run_key &key, active_run &run, time_point now)
    {
        if (!run.isGangMember)
            return;
        const auto end = m_gangs->endOf(key.first, key.second, now);
        run.endsAt = end ? end->at : time_point::max();
        if (end)
            run.endKind = end->endKind;
    }

    void leaveGang(const run_key &key, const active_run &run, time_point at)
    {
        if (run.isGangMember)
            m_gangs->leave(key.first, key.second, at);
    }

    bool acceptFence(std::int64_t fence)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    std::int64_t ownClock(time_point now) const { return clockOf(now) - m_clockZeroMs; }

    void extendDeadline(std::int64_t deadlineMs, time_point now)
    {
        if (m_maxHold)
            deadlineMs = std::min(deadlineMs, ownClock(now) + m_maxHold->count());
        m_deadlineMs = std::max(m_deadlineMs, deadlineMs);
    }

    int highestFinishedRun(const jobs::task_id &task) const
    {
        const auto found = m_highestFinished.find(task);
        return found == m_highestFinished.end() ? 0 : found->second;
    }

    void recordFinished(const run_key &key)
    {
        auto &run = m_highestFinished[key.first];
        run = std::max(run, key.second);
    }

    void addEnded(const run_key &key, jobs::end_kind endKind)
    {
        m_ended.push_back({m_nextEndSequence++, key.first, key.second, endKind, ""});
    }

    std::string m_name;
    run_planner m_planner;
    std::map<run_key, active_run> m_running;
    simulated_gangs *m_gangs = nullptr; // null: no task is a member of a gang
    std::function<void(const jobs::task_id &, int, time_point)> m_onAlone;
    std::map<run_key, time_point> m_stopping; // when they have ended
    milliseconds m_stopTime{0};
    bool m_listsStopping = false;
    std::vector<jobs::run_end> m_ended;
    std::map<jobs::task_id, int> m_highestFinished; // highest run that was stopped or ended
    std::int64_t m_nextEndSequence = 1;
    std::int64_t m_fence = 0;              // highest seen
    std::int64_t m_deadlineMs = 0;         // of the hold, on the own clock; 0: none
    std::int64_t m_clockZeroMs = 0;        // time at which the own clock showed 0
    std::optional<milliseconds> m_maxHold; // none: no limit, and one clock for all incarnations
    time_point m_rejectsStartsUntil{};
    bool m_refusesNextStart = false;
    time_point m_isSlowUntil{};
    int m_slowFactor = 1;
    int m_bootNumber = 1;
};

} // namespace zinniabarrow::tests
