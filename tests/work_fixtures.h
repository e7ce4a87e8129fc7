// What tests of libs/work share: a table of one shard, and an agent with its worker, whose
// surroundings the test plays itself.
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

template <typename Action, typename Actions>
std::vector<Action> only(const Actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *one = std::get_if<Action>(&action))
            found.push_back(*one);
    }
    return found;
}

// A table of one shard on a platform whose answers the test gives.
struct table_bench
{
    memory_platform platform;
    task_table table;
    time_point now{seconds(1)};
    std::vector<table_action> actions; // of the last event

    explicit table_bench(std::uint64_t epoch = 1, time_point waitForSilentUntil = {})
        : table({0, epoch, 1, waitForSilentUntil, {}}, "op", {})
    {
        platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        feed(rows_read{});
        feed(horizon_moved{Never});
    }
    void feed(const table_event &event) { actions = table.handle(event, now); }
    void submit(const std::string &id, std::uint32_t tasks)
    {
        job_spec spec;
        spec.id = id;
        spec.generation = 1;
        spec.tasks = tasks;
        feed(job_accepted{spec});
    }
    void report(const std::string &name, std::uint64_t sequence,
                std::vector<task_event> events = {})
    {
        feed(report_received{{name, 1, "s", sequence, 1, std::move(events)}});
    }
    std::optional<table_transaction> nextCommit(milliseconds wait = milliseconds(200))
    {
        now += wait;
        feed(table_tick{});
        const auto commits = only<commit_rows>(actions);
        return commits.empty() ? std::nullopt : std::optional(commits.front().transaction);
    }
    void settle(const table_transaction &transaction)
    {
        feed(write_settled{transaction.operationId, platform.commit(transaction)});
    }
    // The answer is lost; `applied`: after the effect.
    void loseAnswer(const table_transaction &transaction, bool applied)
    {
        if (applied)
            platform.commit(transaction);
        feed(write_settled{transaction.operationId, {write_outcome::Unknown, 0, {}}});
    }
    bool readBack()
    {
        now += seconds(10);
        feed(table_tick{});
        const auto reads = only<read_rows>(actions);
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

// An agent and its worker, with grants that the test makes.
struct keeper_bench
{
    bool fits = true;
    task_keeper keeper{"w", "s", {}, [this](const auto &, const auto &) { return fits; }};
    worker_tasks worker{1};
    time_point now{seconds(1)};
    std::vector<keeper_action> actions; // of the last event
    std::uint64_t reports = 0;          // sent so far

    keeper_bench() { pass(milliseconds(0)); }
    void feed(const keeper_event &event)
    {
        actions = keeper.handle(event, now);
        reports += only<send_report>(actions).size();
        for (const auto &action : actions)
            std::visit([&](const auto &one) { act(one); }, action);
    }
    template <typename Action>
    void act(const Action &)
    { }
    void act(const worker_start &action) { worker.start(action, now); }
    void act(const worker_renew &action) { worker.renew(action); }
    void act(const worker_stop &action) { worker.stop(action); }
    // Time passes; the worker is listed and the agent reports at its end.
    void pass(milliseconds length)
    {
        now += length;
        worker.takeLapsed(now);
        feed(listing_received{worker.list({keeper.epoch()}, now)});
        feed(keeper_tick{});
    }
    worker_grant grant(std::uint64_t replyTo, std::uint64_t epoch = 1) const
    {
        worker_grant made;
        made.epoch = epoch;
        made.worker = "w";
        made.incarnation = 1;
        made.session = "s";
        made.replyTo = replyTo;
        made.lease = lease_settings().grantLease;
        made.specs["job"] = Json::Value(Json::objectValue);
        return made;
    }
    worker_grant grantTask(std::uint64_t replyTo, std::uint32_t attempt, std::uint64_t epoch = 1,
                           failover_class failover = failover_class::Lease) const
    {
        worker_grant made = grant(replyTo, epoch);
        made.tasks.push_back({Task, attempt, failover, {}, {}});
        return made;
    }
    bool counted(keeper_count reason) const
    {
        const auto counts = only<count_keeper>(actions);
        return !counts.empty() && counts.front().reason == reason;
    }

    inline static const task_id Task{"job", 0};
};

} // namespace zinniabarrow::tests
