// Each wait of an owner or an agent must end, even if the event that ends it never comes or arrives
// while it can't be handled.
#include "section.h"
#include "work/quota_parts.h"
#include "work_fixtures.h"

namespace zinniabarrow::tests {

namespace {

// The rows of one shard. The test decides when an entry reads and writes them.
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
        const shard_write_answered answered{transaction.operationId, platform.commit(transaction)};
        owner.handle(answered, now);
    }
    // Advances the time by `length` seconds. Each second the entry reads, ticks and may write.
    void advance(shard_ownership &owner, int length)
    {
        for (int second = 0; second < length; ++second) {
            now += seconds(1);
            read(owner);
            if (const auto transaction = tick(owner))
                write(owner, *transaction);
        }
    }
};

} // namespace

// Guards against a shard without an owner, whose tasks are stopped forever. While an entry's write
// is in flight, the entry reads that another one has acquired the shard, and only then gets the
// answer that its write failed. The other entry dies before it writes again, so later scans show no
// change. The first entry must acquire the shard nevertheless.
Test(work_waits, a_write_invalidated_by_another_owner)
{
    // The lease of an owner, the allowance for clock drift and two scans.
    constexpr int AcquiredAfterSeconds = 9;
    section("the write acquires the shard", [] {
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
    const auto supersedeOwner = [](shard_fixture &fixture, shard_ownership &owner) {
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
    section("the write renews the lease of an owner that was paused", [&] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        supersedeOwner(fixture, owner);
        fixture.advance(owner, AcquiredAfterSeconds);
        check(owner.owns(0));
    });
    section("a planned shutdown of such an owner does not wait", [&] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        supersedeOwner(fixture, owner);
        owner.handle(release_shards{}, fixture.now);
        fixture.advance(owner, 2);
        check(owner.isReleased());
    });
}

// Guards against urgent work that waits until its deadline has passed. The scheduler evicts a task
// that was placed a moment ago, because it loses the least work, while the write of its placement
// is still in flight. From then on the scheduler counts the task as stopping; if the eviction were
// dropped, nothing would ever stop the task.
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
    const auto countGrantedEvictions = [](const coordinator_fixture &from) {
        const auto grants = actionsOf<send_grant>(from.actions);
        return grants.empty() ? 0 : grants.front().grant.evictions.size();
    };
    section("the eviction is sent to the agent once the placement is committed", [&] {
        coordinator_fixture written = fixture;
        written.commitAndAnswer(*placing);
        check(countGrantedEvictions(written) == 1);
    });
    section("also when the answer to that write is lost", [&] {
        coordinator_fixture lost = fixture;
        lost.loseAnswer(*placing, true);
        require(lost.readRowsBack());
        check(countGrantedEvictions(lost) == 1);
    });
    section("it doesn't apply to the next placement if this placement has no effect", [&] {
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
        check(countGrantedEvictions(none) == 0);
    });
}

// Guards against a shard whose tasks are stopped forever. After a long outage the queue to the
// platform is full and drops a write, or the ring buffer for the answer is full: no answer will
// come. The owner must stop waiting for a write after a time-out, and find out from the rows
// whether it took effect.
Test(work_waits, the_answer_to_a_write_never_comes)
{
    constexpr int WithinSeconds = 15;
    section("a write that acquires a shard", [] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        fixture.read(owner);
        require(fixture.tick(owner).has_value()); // dropped
        fixture.advance(owner, WithinSeconds);
        check(owner.owns(0));
    });
    section("a renewal that took effect: the rows show it", [] {
        shard_fixture fixture;
        auto owner = shard_fixture::makeEntry("owner");
        fixture.advance(owner, 2);
        fixture.now += seconds(2);
        const auto renewal = fixture.tick(owner);
        require(renewal.has_value());
        fixture.platform.commit(*renewal);
        fixture.advance(owner, 1);
        check(owner.grantDeadline(0) > fixture.now + lease_settings().grantPeriod - seconds(2));
    });
    section("a write of task records", [] {
        coordinator_fixture fixture;
        fixture.submit("job", 1);
        const auto dropped = fixture.nextCommit();
        require(dropped.has_value());
        std::optional<table_transaction> again;
        for (int second = 0; second < WithinSeconds && !again; ++second) {
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
    section("a write of a shard's part of a quota", [] {
        memory_platform platform;
        platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        quota_parts parts(0, 1, "op", quota_settings{2});
        const resources oneCore{1'000, 0, 0};
        const std::map<std::string, team_demand> demands = {
                {"team", {oneCore, {}, oneCore, oneCore}}};
        int commits = 0;
        for (int second = 0; second < WithinSeconds + 5; ++second) {
            const time_point now = seconds(second + 1) + time_point();
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
        check(oneCore.fitsIn(parts.usableQuota("team")));
    });
}

// Guards against tasks that stay on a lost worker forever, while new ones are placed there too: the
// worker's agent lives, and the owner takes each of its reports as a sign that the worker lives.
// Once the leases of the worker's tasks of class Lease are over, the tasks have ended, as nobody
// renews the leases. From then on the agent must stop reporting, so that the owner moves them.
Test(work_waits, a_lost_worker_with_a_live_agent)
{
    supervisor_fixture agent;
    const auto advanceWithoutWorker = [&](int length) {
        for (int second = 0; second < length; ++second) {
            agent.now += seconds(1);
            agent.feed(supervisor_tick{});
        }
    };
    agent.advance(seconds(1));
    const auto taskLease = std::chrono::duration_cast<seconds>(lease_settings().taskLease).count();
    section("while leases of its tasks may still hold, the agent reports", [&] {
        const auto before = agent.reportCount;
        advanceWithoutWorker(static_cast<int>(taskLease) - 2);
        check(agent.reportCount > before + 5);
    });
    section("then it stops reporting, and wakes up only to list the worker", [&] {
        advanceWithoutWorker(3);
        const auto before = agent.reportCount;
        advanceWithoutWorker(60);
        check(agent.reportCount == before);
        check(agent.supervisor.nextTick() > agent.now);
    });
    section("when the worker answers again, the agent reports at once", [&] {
        const auto before = agent.reportCount;
        agent.advance(milliseconds(100));
        check(agent.reportCount == before + 1);
    });
    section("an end that the owner has not acknowledged is still reported", [&] {
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
