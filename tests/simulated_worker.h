// A worker as the users' pages describe it: what runs there, what ended, and what it turns away.
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

namespace zinniabarrow::tests {

// How long a run takes, and how it ends.
struct run_plan
{
    milliseconds lasts{300};
    jobs::end_kind how = jobs::end_kind::Done;
};
using run_planner = std::function<run_plan(const jobs::task_id &task, int run)>;

inline std::int64_t clockOf(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

class modelled_worker
{
public:
    using run_key = std::pair<jobs::task_id, int>;

    modelled_worker(std::string name, run_planner planner)
        : m_name(std::move(name))
        , m_planner(std::move(planner))
    { }

    const std::string &name() const { return m_name; }

    // Starts are answered 429 until then: nothing was done.
    void turnAwayUntil(time_point until) { m_turnsAwayUntil = until; }
    // The next start is answered 409, `room`.
    void refuseNext() { m_refusesNext = true; }
    void refuseNoMore() { m_refusesNext = false; }

    // Under the same name: nothing of before runs or is listed, and ends are counted anew.
    void bootAnew()
    {
        m_running.clear();
        m_ended.clear();
        m_highest.clear();
        m_nextEnd = 1;
        m_fence = 0;
        m_deadlineMs = 0;
        ++m_life;
    }
    int life() const { return m_life; }

    // True in `begun` when the call has begun a run.
    jobs::start_answer start(const jobs::start_run &order, std::int64_t deadlineMs,
                             std::int64_t fence, time_point now, bool &begun)
    {
        begun = false;
        if (!takeFence(fence))
            return jobs::start_answer::Refused;
        if (now < m_turnsAwayUntil)
            return jobs::start_answer::NotExecuted;
        pass(now);
        const run_key key{order.task, order.run};
        if (m_running.contains(key))
            return jobs::start_answer::Started;
        if (clockOf(now) > deadlineMs || std::exchange(m_refusesNext, false))
            return jobs::start_answer::Refused;
        extend(deadlineMs);
        if (order.run <= highest(order.task))
            return jobs::start_answer::Refused;
        const auto plan = m_planner(order.task, order.run);
        m_running[key] = {now + plan.lasts, plan.how};
        begun = true;
        return jobs::start_answer::Started;
    }

    // True when it ended a run.
    bool stop(const jobs::stop_run &order, std::int64_t fence, time_point now)
    {
        if (!takeFence(fence))
            return false;
        pass(now);
        const run_key key{order.task, order.run};
        const bool ran = m_running.erase(key) > 0;
        if (ran)
            list(key, jobs::end_kind::Stopped);
        remember(key);
        return ran;
    }

    // None: the fence is too low.
    std::optional<jobs::run_listing> hold(std::optional<std::int64_t> deadlineMs,
                                          std::int64_t lastSeen, std::int64_t fence, time_point now)
    {
        if (!takeFence(fence))
            return std::nullopt;
        pass(now);
        if (deadlineMs)
            extend(*deadlineMs);
        std::erase_if(m_ended, [&](const auto &end) { return end.sequence <= lastSeen; });
        jobs::run_listing listing;
        listing.clockMs = clockOf(now);
        for (const auto &[key, run] : m_running)
            listing.running.push_back({key.first, key.second, "", 0});
        constexpr std::size_t MostListed = 500;
        const auto listed = std::min(m_ended.size(), MostListed);
        listing.ended.assign(m_ended.begin(),
                             m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
        return listing;
    }

    // What ends by itself up to `now`: runs that are through, and all when the lease is over.
    void pass(time_point now)
    {
        const bool isOver = m_deadlineMs > 0 && clockOf(now) > m_deadlineMs;
        for (auto at = m_running.begin(); at != m_running.end();) {
            const auto &[key, run] = *at;
            const bool isThrough =
                    run.endsAt <= now && (!isOver || clockOf(run.endsAt) <= m_deadlineMs);
            if (!isThrough && !isOver) {
                ++at;
                continue;
            }
            list(key, isThrough ? run.how : jobs::end_kind::HoldExpired);
            remember(key);
            at = m_running.erase(at);
        }
    }

    std::vector<int> runsOf(const jobs::task_id &task) const
    {
        std::vector<int> runs;
        for (const auto &[key, run] : m_running) {
            if (key.first == task)
                runs.push_back(key.second);
        }
        return runs;
    }

    std::vector<jobs::task_id> atWork() const
    {
        std::vector<jobs::task_id> tasks;
        for (const auto &[key, run] : m_running)
            tasks.push_back(key.first);
        return tasks;
    }

private:
    struct present_run
    {
        time_point endsAt{};
        jobs::end_kind how = jobs::end_kind::Done;
    };

    bool takeFence(std::int64_t fence)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }

    void extend(std::int64_t deadlineMs) { m_deadlineMs = std::max(m_deadlineMs, deadlineMs); }

    int highest(const jobs::task_id &task) const
    {
        const auto found = m_highest.find(task);
        return found == m_highest.end() ? 0 : found->second;
    }

    void remember(const run_key &key)
    {
        auto &run = m_highest[key.first];
        run = std::max(run, key.second);
    }

    void list(const run_key &key, jobs::end_kind how)
    {
        m_ended.push_back({m_nextEnd++, key.first, key.second, how, ""});
    }

    std::string m_name;
    run_planner m_planner;
    std::map<run_key, present_run> m_running;
    std::vector<jobs::run_end> m_ended;
    std::map<jobs::task_id, int> m_highest; // run that was stopped or ended
    std::int64_t m_nextEnd = 1;
    std::int64_t m_fence = 0;
    std::int64_t m_deadlineMs = 0;
    time_point m_turnsAwayUntil{};
    bool m_refusesNext = false;
    int m_life = 1;
};

} // namespace zinniabarrow::tests
