// Fixtures for the tests of libs/work: the coordinator of one shard, and an agent with its worker.
// The test itself provides all other inputs, such as decisions of the scheduler and answers.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/memory_platform.h"
#include "work/ownership.h"
#include "work/task_coordinator.h"
#include "work/task_supervisor.h"
#include "work/worker_tasks.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::work;

// The actions of one type, in order.
template <typename Action, typename Actions>
std::vector<Action> actionsOf(const Actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *typed = std::get_if<Action>(&action))
            found.push_back(*typed);
    }
    return found;
}

// The coordinator of one shard, and an in-memory platform. The test decides when and whether a
// transaction takes effect and is answered.
struct coordinator_fixture
{
    memory_platform platform;
    task_coordinator coordinator;
    time_point now{seconds(1)};
    std::vector<coordinator_action> actions; // of the last event

    explicit coordinator_fixture(std::uint64_t epoch = 1, time_point earlierLeasesEndAt = {})
        : coordinator({0, epoch, 1, earlierLeasesEndAt, {}}, "op", {})
    {
        platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        feed(rows_read{});
        feed(grant_deadline_changed{Never});
    }
    void feed(const coordinator_event &event) { actions = coordinator.handle(event, now); }
    void submit(const std::string &id, std::uint32_t tasks)
    {
        job_spec spec;
        spec.id = id;
        spec.generation = 1;
        spec.taskCount = tasks;
        feed(job_accepted{spec});
    }
    void report(const std::string &name, std::uint64_t sequence,
                std::vector<task_event> events = {})
    {
        feed(report_received{{name, 1, "s", sequence, 1, std::move(events)}});
    }
    // Advances the time, ticks, and returns the transaction that the coordinator sends, if any.
    std::optional<table_transaction> nextCommit(milliseconds wait = milliseconds(200))
    {
        now += wait;
        feed(coordinator_tick{});
        const auto commits = actionsOf<commit_rows>(actions);
        return commits.empty() ? std::nullopt : std::optional(commits.front().transaction);
    }
    void commitAndAnswer(const table_transaction &transaction)
    {
        feed(write_answered{transaction.operationId, platform.commit(transaction)});
    }
    // Answers that the outcome is unknown. `applied`: the transaction has taken effect.
    void loseAnswer(const table_transaction &transaction, bool applied)
    {
        if (applied)
            platform.commit(transaction);
        feed(write_answered{transaction.operationId, {write_outcome::Unknown, 0, {}}});
    }
    // Advances the time by 10 s and answers the read of rows that the coordinator requests; false
    // if it requests none.
    bool readRowsBack()
    {
        now += seconds(10);
        feed(coordinator_tick{});
        const auto reads = actionsOf<read_rows>(actions);
        if (reads.empty())
            return false;
        feed(rows_read{reads.front().keys, rowsOf(reads.front().keys)});
        return true;
    }
    std::vector<table_row> rowsOf(const std::vector<std::string> &keys) const
    {
        std::vector<table_row> rows;
        for (const auto &key : keys) {
            if (const auto row = platform.read(key))
                rows.push_back(*row);
        }
        return rows;
    }
};

// An agent and its worker. The test creates the grants.
struct supervisor_fixture
{
    bool hasRoom = true; // answer of the capacity check
    task_supervisor supervisor{
            "w", "s", {}, [this](const auto &, const auto &) { return hasRoom; }};
    worker_tasks worker{1};
    time_point now{seconds(1)};
    std::vector<supervisor_action> actions; // of the last event
    std::uint64_t reportCount = 0;          // reports sent so far; also the newest's sequence

    supervisor_fixture() { advance(milliseconds(0)); }
    void feed(const supervisor_event &event)
    {
        actions = supervisor.handle(event, now);
        reportCount += actionsOf<send_report>(actions).size();
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { perform(typed); }, action);
    }
    template <typename Action>
    void perform(const Action &)
    { }
    void perform(const worker_start &action) { worker.start(action, now); }
    void perform(const worker_renew &action) { worker.renew(action); }
    void perform(const worker_stop &action) { worker.stop(action); }
    // Advances the time; then the agent gets a listing of the worker and a tick.
    void advance(milliseconds length)
    {
        now += length;
        worker.endLapsedTasks(now);
        feed(listing_received{worker.list({supervisor.epoch()}, now)});
        feed(supervisor_tick{});
    }
    worker_grant grant(std::uint64_t replyTo, std::uint64_t epoch = 1) const
    {
        worker_grant result;
        result.epoch = epoch;
        result.worker = "w";
        result.incarnation = 1;
        result.session = "s";
        result.replyTo = replyTo;
        result.lease = lease_settings().grantLease;
        result.specs["job"] = Json::Value(Json::objectValue);
        return result;
    }
    // A grant of attempt `attempt` of Task.
    worker_grant grantTask(std::uint64_t replyTo, std::uint32_t attempt, std::uint64_t epoch = 1,
                           failover_class failover = failover_class::Lease) const
    {
        worker_grant result = grant(replyTo, epoch);
        result.tasks.push_back({Task, attempt, failover, {}, {}});
        return result;
    }
    bool hasCounted(supervisor_counter reason) const
    {
        const auto counts = actionsOf<increment_counter>(actions);
        return !counts.empty() && counts.front().reason == reason;
    }

    inline static const task_id Task{"job", 0};
};

} // namespace zinniabarrow::tests
