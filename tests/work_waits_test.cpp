// Waits of the work's owner and its agents: each ends, also when what ends it is heard at a moment
// at which it can't be acted on.
#include "section.h"
#include "work/quota_parts.h"
#include "work_fixtures.h"

namespace zinniabarrow::tests {

namespace {

// The rows of one shard, and entries that read and write them when the test says so.
struct shard_bench
{
    memory_platform platform;
    time_point now{seconds(1)};

    static shard_owner entry(const std::string &name)
    {
        return {{name, "z2"}, name + "#1", {{0, "z1"}}, {}};
    }
    void read(shard_owner &owner) const
    {
        owner.handle(shard_rows_read{platform.scan(ShardPrefix), now}, now);
    }
    std::optional<table_transaction> tick(shard_owner &owner) const
    {
        const auto commits = only<commit_shard>(owner.handle(ownership_tick{}, now));
        return commits.empty() ? std::nullopt : std::optional(commits.front().transaction);
    }
    void write(shard_owner &owner, const table_transaction &transaction)
    {
        const shard_write_settled settled{transaction.operationId, platform.commit(transaction)};
        owner.handle(settled, now);
    }
    // Each second the entry reads and writes what it likes.
    void pass(shard_owner &owner, int length)
    {
        for (int passed = 0; passed < length; ++passed) {
            now += seconds(1);
            read(owner);
            if (const auto transaction = tick(owner))
                write(owner, *transaction);
        }
    }
};

} // namespace

// Callers see the tasks of a shard stand still for ever. An entry's write is out when it reads that
// another one has taken the shard, and only then hears that the write has failed. The other entry
// dies before it writes again: no later reading differs from the last, and the shard is free.
Test(work_waits, a_write_that_another_owner_has_made_void)
{
    constexpr int TakenAfter = 9; // the lease of an owner, the allowance for clocks, two readings
    section("of an entry that wanted to take the shard", [] {
        shard_bench bench;
        auto late = shard_bench::entry("late");
        auto first = shard_bench::entry("first");
        bench.read(late);
        bench.read(first);
        const auto taking = bench.tick(late);
        require(taking.has_value());
        bench.write(first, *bench.tick(first));
        require(first.owns(0));
        bench.read(late);
        bench.write(late, *taking);
        bench.pass(late, TakenAfter);
        check(late.owns(0));
    });
    const auto superseded = [](shard_bench &bench, shard_owner &owner) {
        bench.pass(owner, 2);
        require(owner.owns(0));
        auto next = shard_bench::entry("next");
        bench.pass(next, TakenAfter); // while the owner is paused
        require(next.owns(0));
        const auto renewal = bench.tick(owner);
        require(renewal.has_value());
        bench.read(owner);
        require(!owner.owns(0));
        bench.write(owner, *renewal);
    };
    section("of an owner that was paused and renews", [&] {
        shard_bench bench;
        auto owner = shard_bench::entry("owner");
        superseded(bench, owner);
        bench.pass(owner, TakenAfter);
        check(owner.owns(0));
    });
    section("and a planned stop of it has nothing to wait for", [&] {
        shard_bench bench;
        auto owner = shard_bench::entry("owner");
        superseded(bench, owner);
        owner.handle(release_shards{}, bench.now);
        bench.pass(owner, 2);
        check(owner.released());
    });
}

// Urgent work waits until its deadline has passed. Its room was to come from a task that was placed
// a moment ago, the first to be evicted as it loses the least work; the write that places it is
// still out. The placer counts the task as stopping from then on: dropped here, nobody ever stops
// it.
Test(work_waits, an_eviction_while_the_placement_is_written)
{
    table_bench bench;
    bench.submit("job", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"job", 0}, "w", false});
    const auto placing = bench.nextCommit();
    require(placing.has_value());
    bench.feed(evict_decided{{"job", 0}});
    const auto checkpointsGranted = [](const table_bench &from) {
        const auto grants = only<send_grant>(from.actions);
        return grants.empty() ? 0 : grants.front().grant.checkpoints.size();
    };
    section("it is asked of the agent once the placement is written", [&] {
        table_bench written = bench;
        written.settle(*placing);
        check(checkpointsGranted(written) == 1);
    });
    section("also when the answer to that write is lost", [&] {
        table_bench lost = bench;
        lost.loseAnswer(*placing, true);
        require(lost.readBack());
        check(checkpointsGranted(lost) == 1);
    });
    section("but not of the next placement, if this one has no effect", [&] {
        table_bench none = bench;
        Json::Value foreign(Json::objectValue);
        foreign["tasks"] = Json::Value(Json::arrayValue);
        none.platform.commit({"foreign", {}, {{placing->writes.back().key, foreign}}});
        none.settle(*placing);
        require(none.readBack());
        require(none.table.placeable({"job", 0}));
        none.feed(place_decided{{"job", 0}, "w", false});
        none.settle(*none.nextCommit());
        check(none.table.find({"job", 0}).state == task_state::Placed);
        check(checkpointsGranted(none) == 0);
    });
}

// Callers see the tasks of a shard stand still for ever. The lane to the platform is full after a
// long outage and drops a write, or the answer finds its ring full: no answer will come. Each of
// the owner's writes is waited for only so long, and its rows then tell what became of it.
Test(work_waits, the_answer_to_a_write_never_comes)
{
    constexpr int WithinSeconds = 15;
    section("to an entry that takes a shard", [] {
        shard_bench bench;
        auto owner = shard_bench::entry("owner");
        bench.read(owner);
        require(bench.tick(owner).has_value()); // dropped
        bench.pass(owner, WithinSeconds);
        check(owner.owns(0));
    });
    section("to an owner that renews: it took effect, and is found", [] {
        shard_bench bench;
        auto owner = shard_bench::entry("owner");
        bench.pass(owner, 2);
        bench.now += seconds(2);
        const auto renewal = bench.tick(owner);
        require(renewal.has_value());
        bench.platform.commit(*renewal);
        bench.pass(owner, 1);
        check(owner.mayGrantUntil(0) > bench.now + lease_settings().horizon - seconds(2));
    });
    section("to the owner's write of its tasks", [] {
        table_bench bench;
        bench.submit("job", 1);
        const auto dropped = bench.nextCommit();
        require(dropped.has_value());
        std::optional<table_transaction> again;
        for (int passed = 0; passed < WithinSeconds && !again; ++passed) {
            again = bench.nextCommit(seconds(1));
            const auto reads = only<read_rows>(bench.actions);
            if (!reads.empty())
                bench.feed(rows_read{reads.front().keys, bench.rowsOf(reads.front().keys)});
        }
        check(again.has_value());
        if (!again)
            return;
        check(again->operationId == dropped->operationId);
        bench.settle(*again);
        check(bench.table.placeable({"job", 0}));
    });
    section("to a shard that asks for its part of a quota", [] {
        memory_platform platform;
        platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        quota_parts parts(0, 1, "op", quota_settings{2});
        const resources core{1'000, 0, 0};
        const std::map<std::string, team_demand> demands = {{"team", {core, {}, core, core}}};
        int commits = 0;
        for (int passed = 0; passed < WithinSeconds + 5; ++passed) {
            const time_point now = seconds(passed + 1) + time_point();
            for (const auto &action : parts.update(demands, now)) {
                if (const auto *read = std::get_if<read_rows>(&action)) {
                    const auto row = platform.read(read->keys.front());
                    parts.handle(rows_read{read->keys,
                                           row ? std::vector{*row} : std::vector<table_row>{}});
                }
                const auto *commit = std::get_if<commit_rows>(&action);
                if (commit == nullptr || ++commits == 1)
                    continue; // the first is dropped
                const auto result = platform.commit(commit->transaction);
                parts.handle(write_settled{commit->transaction.operationId, result}, now);
            }
        }
        check(core.fitsIn(parts.usable("team")));
    });
}

// Callers see tasks stand still for ever that were placed on a worker which is gone, and new ones
// are placed there too: its agent lives, and each of its reports was taken for a sign of the
// worker. What the worker ran of class Lease has ended once its tasks' leases are over, as nobody
// renews them; from then on the agent is silent for it, and the owner moves them.
Test(work_waits, a_worker_that_is_gone_beside_its_agent)
{
    keeper_bench agent;
    const auto passWithoutWorker = [&](int length) {
        for (int passed = 0; passed < length; ++passed) {
            agent.now += seconds(1);
            agent.feed(keeper_tick{});
        }
    };
    agent.pass(seconds(1));
    const auto taskLease = std::chrono::duration_cast<seconds>(lease_settings().taskLease).count();
    section("while leases of its tasks may hold, the agent reports", [&] {
        const auto before = agent.reports;
        passWithoutWorker(static_cast<int>(taskLease) - 2);
        check(agent.reports > before + 5);
    });
    section("then no more, and is woken only to ask the worker", [&] {
        passWithoutWorker(3);
        const auto before = agent.reports;
        passWithoutWorker(60);
        check(agent.reports == before);
        check(agent.keeper.nextTick() > agent.now);
    });
    section("it answers again: the owner hears at once", [&] {
        const auto before = agent.reports;
        agent.pass(milliseconds(100));
        check(agent.reports == before + 1);
    });
    section("an end that the owner has not acknowledged is told all the same", [&] {
        agent.feed(grant_received{agent.grantTask(agent.reports, 1)});
        require(agent.worker.runs(agent.Task));
        agent.worker.ended({{agent.Task, 1}, task_outcome::Succeeded, {}, {}});
        agent.pass(seconds(1));
        require(agent.keeper.unackedEvents() > 0);
        const auto before = agent.reports;
        passWithoutWorker(60);
        check(agent.reports > before + 30);
    });
}

} // namespace zinniabarrow::tests
