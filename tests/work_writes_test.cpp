// Measures how many rows the table must write at the peak rate of task starts, and compares this
// with other row layouts.
#include <set>

#include <fmt/core.h>

#include "base/json.h"
#include "base/random.h"
#include "platform/memory_platform.h"
#include "work/ownership.h"
#include "work/task_coordinator.h"

#include "section.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::work;

namespace {

constexpr int Workers = 790;
constexpr int StartsPerSecond = 210;
constexpr milliseconds Tick{50};

struct write_statistics
{
    double seconds = 0; // length of the measurement
    std::size_t transactions = 0;
    std::size_t rows = 0;
    std::size_t bytes = 0;
    std::size_t starts = 0;
    std::size_t rowsIfPerTask = 0;   // rows written if each task had its own row
    std::size_t rowsIfPerWorker = 0; // rows written if each worker had its own row
    std::size_t messageBytes = 0;    // bodies of reports and grants, without transport overhead
};

// One shard with its share of the peak load: jobs of 500 tasks, placed in order, each task running
// for 60 to 160 s.
class peak_load_shard
{
public:
    explicit peak_load_shard(int shards)
        : m_workers(Workers / shards)
        , m_startsPerTick(static_cast<double>(StartsPerSecond) / shards * 0.05)
        , m_random(11)
        , m_coordinator({0, 1, 1, {}}, "op", {})
    {
        m_platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        feed(rows_read{});
        feed(grant_deadline_changed{Never});
    }

    write_statistics run()
    {
        while (m_now < time_point(seconds(200)))
            step();
        m_statistics = {};
        while (m_now < time_point(seconds(260)))
            step();
        m_statistics.seconds = 60;
        return m_statistics;
    }

private:
    struct worker
    {
        std::uint64_t sequence = 0;
        std::uint64_t lastEvent = 0;
        std::vector<task_event> events;
    };

    void step()
    {
        m_now += Tick;
        m_startsDue += m_startsPerTick;
        for (; m_startsDue >= 1; m_startsDue -= 1)
            place();
        for (auto it = m_taskEnds.begin(); it != m_taskEnds.end() && it->first <= m_now;) {
            addEvent(it->second.first, it->second.second, task_event_kind::Succeeded);
            it = m_taskEnds.erase(it);
        }
        const auto tick = static_cast<int>(m_now.time_since_epoch() / Tick);
        for (int i = 0; i < m_workers; ++i) {
            if ((tick + i) % 40 == 0) // every two seconds
                report(i);
        }
        feed(coordinator_tick{});
    }
    void place()
    {
        if (m_nextTask % 500 == 0) {
            job_spec spec;
            spec.id = "job" + std::to_string(m_nextTask / 500);
            spec.generation = 1;
            spec.taskCount = 500;
            feed(job_accepted{spec});
        }
        const task_id task{"job" + std::to_string(m_nextTask / 500), m_nextTask % 500};
        ++m_nextTask;
        m_waiting.push_back(task);
        std::vector<task_id> unplaced;
        for (const auto &waiting : m_waiting) {
            if (m_coordinator.isPlaceable(waiting))
                feed(placement_decided{waiting, workerName(drawIndex(m_random, m_workers)), false});
            else
                unplaced.push_back(waiting);
        }
        m_waiting = unplaced;
    }
    static std::string workerName(std::size_t index) { return fmt::format("worker-{:03}", index); }

    void report(int index)
    {
        const std::string id = workerName(index);
        worker &state = m_workerStates[id];
        const agent_report report{id, 1, id + "#1", ++state.sequence, 1, state.events};
        m_statistics.messageBytes += compactJson(toJson(report)).size();
        feed(report_received{report});
    }
    void addEvent(const std::string &id, const task_attempt &attempt, task_event_kind kind)
    {
        worker &state = m_workerStates[id];
        state.events.push_back({++state.lastEvent, attempt.task, attempt.attempt, kind, {}, {}});
    }

    void feed(const coordinator_event &event)
    {
        for (const auto &action : m_coordinator.handle(event, m_now))
            std::visit([&](const auto &typed) { perform(typed); }, action);
    }
    template <typename Action>
    void perform(const Action &)
    { }
    void perform(const commit_rows &action)
    {
        ++m_statistics.transactions;
        for (const auto &write : action.transaction.writes) {
            ++m_statistics.rows;
            m_statistics.bytes += compactJson(*write.value).size();
        }
        const write_result result = m_platform.commit(action.transaction);
        m_changedWorkers.clear();
        feed(write_answered{action.transaction.operationId, result});
        m_statistics.rowsIfPerWorker += m_changedWorkers.size();
    }
    void perform(const task_changed &action)
    {
        if (action.change == task_change::Started || action.change == task_change::EndReported)
            return;
        ++m_statistics.rowsIfPerTask;
        m_changedWorkers.insert(action.worker);
        if (action.change == task_change::Placed)
            ++m_statistics.starts;
    }
    void perform(const send_grant &action)
    {
        worker &state = m_workerStates[action.grant.worker];
        m_statistics.messageBytes += compactJson(toJson(action.grant)).size();
        std::erase_if(state.events,
                      [&](const auto &event) { return event.number <= action.grant.ackedEvent; });
        for (const auto &task : action.grant.tasks) {
            const task_attempt attempt{task.task, task.attempt};
            if (!m_started.insert(attempt).second)
                continue;
            addEvent(action.grant.worker, attempt, task_event_kind::Started);
            const auto length = seconds(60 + drawIndex(m_random, 100));
            m_taskEnds.emplace(m_now + length, std::pair{action.grant.worker, attempt});
        }
    }

    int m_workers;
    double m_startsPerTick;
    double m_startsDue = 0;
    random_generator m_random;
    memory_platform m_platform;
    task_coordinator m_coordinator;
    time_point m_now;
    std::uint32_t m_nextTask = 0;
    std::vector<task_id> m_waiting;
    std::map<std::string, worker> m_workerStates;
    std::set<task_attempt> m_started;
    std::multimap<time_point, std::pair<std::string, task_attempt>> m_taskEnds;
    std::set<std::string> m_changedWorkers;
    write_statistics m_statistics;
};

// Prints one line of figures. Checks that fewer than `maxRowsPerSecond` rows are written, and that
// rows and messages stay small.
void measurePeak(int shards, double maxRowsPerSecond)
{
    const write_statistics statistics = peak_load_shard(shards).run();
    const double rate = shards / statistics.seconds;
    const double rows = static_cast<double>(statistics.rows) * rate;
    const double starts = static_cast<double>(statistics.starts) * rate;
    const double bytes = static_cast<double>(statistics.bytes) * rate;
    fmt::print(stderr,
               "| {} shards | {:.1f} transactions/s | {:.1f} rows/s | {:.2f} rows per start |"
               " {:.0f} bytes per row | {:.0f} kB/s | row per worker: {:.1f} rows/s |"
               " row per task: {:.1f} rows/s | {:.0f} bytes/s between an agent and its owner |\n",
               shards, static_cast<double>(statistics.transactions) * rate, rows, rows / starts,
               bytes / rows, bytes / 1'000, static_cast<double>(statistics.rowsIfPerWorker) * rate,
               static_cast<double>(statistics.rowsIfPerTask) * rate,
               static_cast<double>(statistics.messageBytes) * rate / Workers);
    check(starts > StartsPerSecond * 0.97);
    check(rows < maxRowsPerSecond);
    check(bytes / rows < 1'300);
    check(static_cast<double>(statistics.messageBytes) * rate / Workers < 320);
}

} // namespace

// At 210 starts (and as many ends) a second with about 23,000 tasks running, the several hundred
// row writes a second that the table can do must suffice, whatever the number of shards.
Test(work_writes, one_shard)
{
    section("one shard", [] { measurePeak(1, 150); });
}
Test(work_writes, four_shards)
{
    section("four shards", [] { measurePeak(4, 170); });
}
Test(work_writes, eight_shards)
{
    section("eight shards", [] { measurePeak(8, 200); });
}
Test(work_writes, sixteen_shards)
{
    section("sixteen shards", [] { measurePeak(16, 250); });
}

} // namespace zinniabarrow::tests
