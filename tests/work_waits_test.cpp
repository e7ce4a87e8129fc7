// Waits of the work's owner and its agents: each ends, also when what ends it is heard at a moment
// at which it can't be acted on.
#include "section.h"
#include "work/quota_parts.h"
#include "work_fixtures.h"

namespace zinniabarrow::tests {

namespace {

// The rows of one shard, and entries that read and write them when the test says so.
struct shard_fixture
{
    memory_platform platform;
    time_point now{seconds(1)};

    static shard_ownership makeEntry(const std::string &name)
    {
        return {{name, "z2"}, name + "#1", {{0, "z1"}}, {}};
    }
    void read(shard_ownership &owner) const
    {
        owner.handle(shard_rows_read{platform.scan(ShardPrefix), now}, now);
    }
    std::optional<table_transaction> tick(shard_ownership &owner) const
    {
        const auto commits = actionsOf<commit_shard>(owner.handle(ownership_tick{}, now));
        return commits.empty() ? std::nullopt : std::optional(commits.front().transaction);
    }
    void write(shard_ownership &owner, const table_transaction &transaction)
    {
        const shard_write_answered settled{transaction.operationId, platform.commit(transaction)};
        owner.handle(settled, now);
    }
    // Each second the entry reads and writes what it likes.
    void advance(shard_ownership &owner, int length)
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
    constexpr int AcquiredAfterSeconds =
            9; // the lease of an owner, the allowance for clocks, two readings
    section("of an entry that wanted to take the shard", [] {
        shard_fixture fixture;
        auto late = shard_fixture::makeEntry("late");
        auto first = shard_fixture::makeEntry("first");
        fixture.read(late);
        fixture.read(first);
        const auto acquiring = fixture.tick(late);
        require(acquiring.has_value());
        fixture.write(first, *fixture.tick(first));
        require(first.owns(0));
        fixture.read(late);
        fixture.write(late, *acquiring);
        fixture.advance(late, AcquiredAfterSeconds);
        check(late.owns(0));
    });
    const auto superseded = [](shard_fixture &fixture, shard_ownership &owner) {
        fixture.advance(owner, 2);
        require(owner.owns(0));
        auto next = shard_fixture::makeEntry("next");
        fixture.advance(next, AcquiredAfterSeconds); // while the owner is paused
        require(next.owns(0));
        const auto renewal = fixture.tick(owner);
        require(renewal.has_value());
        fixture.read(owner);
        require(!owner.owns(0));
        fixture.write(owner, *renewal);
    };
    section("of an owner that was paused and renews", [&] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        superseded(fixture, owner);
        fixture.advance(owner, AcquiredAfterSeconds);
        check(owner.owns(0));
    });
    section("and a planned stop of it has nothing to wait for", [&] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        superseded(fixture, owner);
        owner.handle(release_shards{}, fixture.now);
        fixture.advance(owner, 2);
        check(owner.isReleased());
    });
}

// Urgent work waits until its deadline has passed. Its room was to come from a task that was placed
// a moment ago, the first to be evicted as it loses the least work; the write that places it is
// still out. The placer counts the task as stopping from then on: dropped here, nobody ever stops
// it.
Test(work_waits, an_eviction_while_the_placement_is_written)
{
    coordinator_fixture fixture;
    fixture.submit("job", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"job", 0}, "w", false});
    const auto placing = fixture.nextCommit();
    require(placing.has_value());
    fixture.feed(eviction_decided{{"job", 0}});
    const auto checkpointsGranted = [](const coordinator_fixture &from) {
        const auto grants = actionsOf<send_grant>(from.actions);
        return grants.empty() ? 0 : grants.front().grant.evictions.size();
    };
    section("it is asked of the agent once the placement is written", [&] {
        coordinator_fixture written = fixture;
        written.commitAndAnswer(*placing);
        check(checkpointsGranted(written) == 1);
    });
    section("also when the answer to that write is lost", [&] {
        coordinator_fixture lost = fixture;
        lost.loseAnswer(*placing, true);
        require(lost.readRowsBack());
        check(checkpointsGranted(lost) == 1);
    });
    section("but not of the next placement, if this one has no effect", [&] {
        coordinator_fixture none = fixture;
        Json::Value foreign(Json::objectValue);
        foreign["tasks"] = Json::Value(Json::arrayValue);
        none.platform.commit({"foreign", {}, {{placing->writes.back().key, foreign}}});
        none.commitAndAnswer(*placing);
        require(none.readRowsBack());
        require(none.coordinator.isPlaceable({"job", 0}));
        none.feed(placement_decided{{"job", 0}, "w", false});
        none.commitAndAnswer(*none.nextCommit());
        check(none.coordinator.find({"job", 0}).state == task_state::Placed);
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
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        fixture.read(owner);
        require(fixture.tick(owner).has_value()); // dropped
        fixture.advance(owner, WithinSeconds);
        check(owner.owns(0));
    });
    section("to an owner that renews: it took effect, and is found", [] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        fixture.advance(owner, 2);
        fixture.now += seconds(2);
        const auto renewal = fixture.tick(owner);
        require(renewal.has_value());
        fixture.platform.commit(*renewal);
        fixture.advance(owner, 1);
        check(owner.mayGrantUntil(0) > fixture.now + lease_settings().grantPeriod - seconds(2));
    });
    section("to the owner's write of its tasks", [] {
        coordinator_fixture fixture;
        fixture.submit("job", 1);
        const auto dropped = fixture.nextCommit();
        require(dropped.has_value());
        std::optional<table_transaction> again;
        for (int passed = 0; passed < WithinSeconds && !again; ++passed) {
            again = fixture.nextCommit(seconds(1));
            const auto reads = actionsOf<read_rows>(fixture.actions);
            if (!reads.empty())
                fixture.feed(rows_read{reads.front().keys, fixture.rowsOf(reads.front().keys)});
        }
        check(again.has_value());
        if (!again)
            return;
        check(again->operationId == dropped->operationId);
        fixture.commitAndAnswer(*again);
        check(fixture.coordinator.isPlaceable({"job", 0}));
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
                parts.handle(write_answered{commit->transaction.operationId, result}, now);
            }
        }
        check(core.fitsIn(parts.usableQuota("team")));
    });
}

// Callers see tasks stand still for ever that were placed on a worker which is gone, and new ones
// are placed there too: its agent lives, and each of its reports was taken for a sign of the
// worker. What the worker ran of class Lease has ended once its tasks' leases are over, as nobody
// renews them; from then on the agent is silent for it, and the owner moves them.
Test(work_waits, a_worker_that_is_gone_beside_its_agent)
{
    supervisor_fixture agent;
    const auto advanceWithoutWorker = [&](int length) {
        for (int passed = 0; passed < length; ++passed) {
            agent.now += seconds(1);
            agent.feed(supervisor_tick{});
        }
    };
    agent.advance(seconds(1));
    const auto taskLease = std::chrono::duration_cast<seconds>(lease_settings().taskLease).count();
    section("while leases of its tasks may hold, the agent reports", [&] {
        const auto before = agent.reportCount;
        advanceWithoutWorker(static_cast<int>(taskLease) - 2);
        check(agent.reportCount > before + 5);
    });
    section("then no more, and is woken only to ask the worker", [&] {
        advanceWithoutWorker(3);
        const auto before = agent.reportCount;
        advanceWithoutWorker(60);
        check(agent.reportCount == before);
        check(agent.supervisor.nextTick() > agent.now);
    });
    section("it answers again: the owner hears at once", [&] {
        const auto before = agent.reportCount;
        agent.advance(milliseconds(100));
        check(agent.reportCount == before + 1);
    });
    section("an end that the owner has not acknowledged is told all the same", [&] {
        agent.feed(grant_received{agent.grantTask(agent.reportCount, 1)});
        require(agent.worker.runs(agent.Task));
        agent.worker.recordEnd({{agent.Task, 1}, task_outcome::Succeeded, {}, {}});
        agent.advance(seconds(1));
        require(agent.supervisor.unackedEventCount() > 0);
        const auto before = agent.reportCount;
        advanceWithoutWorker(60);
        check(agent.reportCount > before + 30);
    });
}

} // namespace zinniabarrow::tests
