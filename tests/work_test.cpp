#include <sstream>

#include <fmt/core.h>

#include "base/errors.h"
#include "base/json.h"
#include "work/trace_checker.h"

#include "section.h"
#include "work_fixtures.h"

namespace zinniabarrow::tests {

namespace {

std::string worker(const std::string &name, int cores)
{
    return fmt::format(R"({{"event":"worker","worker":"{}","size":{{"millicores":{},)"
                       R"("memoryBytes":8,"accelerators":0}}}})",
                       name, cores * 1'000);
}
std::string accepted(const std::string &failover)
{
    return fmt::format(R"({{"event":"accepted","task":"j/0","service":false,"failover":"{}"}})",
                       failover);
}
// A trace line about an attempt of task j/0. Only some events use `checkpoint`.
std::string line(const std::string &event, int attempt, const std::string &on,
                 const std::string &checkpoint = {})
{
    return fmt::format(
            R"({{"event":"{}","task":"j/0","attempt":{},"worker":"{}","checkpoint":"{}",)"
            R"("outcome":"succeeded",)"
            R"("size":{{"millicores":1000,"memoryBytes":1,"accelerators":0}}}})",
            event, attempt, on, checkpoint);
}

std::vector<trace_violation_kind> kindsIn(const std::vector<std::string> &lines)
{
    std::string text = worker("a", 1) + "\n" + worker("b", 1) + "\n";
    for (const auto &one : lines)
        text += one + "\n";
    std::istringstream stream(text);
    std::vector<trace_violation_kind> kinds;
    for (const auto &violation : checkTrace(stream, true))
        kinds.push_back(violation.kind);
    return kinds;
}

} // namespace

// All tests of faults rely on the trace checker, so it must find every kind of violation.
Test(work, trace_checker_finds_each_violation)
{
    using kind = trace_violation_kind;
    const std::vector<std::string> validTrace = {
            accepted("proof"),       line("placed", 1, "a"),
            line("started", 1, "a"), line("evicted", 1, "a", "c"),
            line("placed", 2, "b"),  line("resumed", 2, "b", "c"),
            line("ended", 2, "b"),
    };
    // The violations in the first `keepCount` lines of the valid trace, followed by `rest`.
    const auto kindsAfter = [&](std::size_t keepCount, const std::vector<std::string> &rest) {
        std::vector<std::string> lines(validTrace.begin(),
                                       validTrace.begin() + static_cast<long>(keepCount));
        lines.insert(lines.end(), rest.begin(), rest.end());
        return kindsIn(lines);
    };
    const auto containsKind = [](const std::vector<kind> &kinds, kind wanted) {
        return std::find(kinds.begin(), kinds.end(), wanted) != kinds.end();
    };
    section("a valid trace has none", [&] { check(kindsAfter(7, {}).empty()); });
    section("started while it runs elsewhere", [&] {
        check(containsKind(kindsAfter(3, {line("placed", 2, "b"), line("started", 2, "b")}),
                           kind::StartedWhileRunning));
    });
    section("the same attempt started twice", [&] {
        check(containsKind(kindsAfter(3, {line("stopped", 1, "a"), line("started", 1, "a")}),
                           kind::AttemptRepeated));
    });
    section("started without a placement, or on another worker", [&] {
        check(containsKind(kindsAfter(1, {line("started", 1, "a")}), kind::NotPlaced));
        check(containsKind(kindsAfter(2, {line("started", 1, "b")}), kind::NotPlaced));
    });
    section("not resumed from its checkpoint", [&] {
        check(containsKind(kindsAfter(5, {line("started", 2, "b")}), kind::WrongCheckpoint));
    });
    section("never resumed", [&] {
        const auto kinds = kindsAfter(4, {});
        check(containsKind(kinds, kind::NotResumed) && containsKind(kinds, kind::Lost));
    });
    section("started again after its success", [&] {
        check(containsKind(kindsAfter(7, {line("placed", 3, "a"), line("started", 3, "a")}),
                           kind::StartedAfterEnd));
    });
    section("started after its cancellation", [&] {
        check(containsKind(kindsAfter(5, {line("cancelled", 1, "b"), line("resumed", 2, "b", "c")}),
                           kind::StartedAfterCancel));
        check(containsKind(kindsAfter(6, {line("cancelled", 2, "b")}), kind::StartedAfterCancel));
    });
    section("over capacity", [&] {
        std::string other = line("started", 1, "a");
        std::string otherPlaced = line("placed", 1, "a");
        std::string otherAccepted = accepted("proof");
        for (auto *text : {&other, &otherPlaced, &otherAccepted})
            text->replace(text->find("j/0"), 3, "k/0");
        check(containsKind(kindsAfter(3, {otherAccepted, otherPlaced, other}), kind::OverCapacity));
    });
    section("a line that is not an event", [&] {
        check(containsKind(kindsAfter(7, {"nonsense"}), kind::BadLine));
        check(containsKind(kindsAfter(7, {R"({"event":"unheard","task":"j/0"})"}), kind::BadLine));
    });
}

Test(work, messages_survive_serialization)
{
    const worker_grant grant{3,
                             7,
                             "w1",
                             2,
                             "s#1",
                             9,
                             milliseconds(1'500),
                             4,
                             true,
                             {{{"team/job", 5}, 2, failover_class::Proof, "c", {"d"}}},
                             {{{"job", 6}, 1, failover_class::Lease, "", {}}},
                             {{{"job", 1}, 3}},
                             {{{"job", 2}, 4}},
                             {{"job", Json::objectValue}}};
    const Json::Value sent = toJson(grant);
    check(toJson(workerGrantFromJson(parseJson(compactJson(sent)))) == sent);
    const agent_report report{"w1", 2, "s#1",
                              9,    7, {{1, {"job", 5}, 2, task_event_kind::Evicted, "c", "why"}}};
    check(toJson(agentReportFromJson(toJson(report))) == toJson(report));

    section("an error names the invalid member", [&] {
        for (const auto &name : sent.getMemberNames()) {
            Json::Value broken = sent;
            broken[name] = Json::Value(-1.5);
            std::string problem;
            try {
                workerGrantFromJson(broken);
            } catch (const error &caught) {
                problem = caught.what();
            }
            check(problem.find(name) != std::string::npos);
        }
    });
}

// Cancelling many tasks must not cause as many writes: one row says that the job is cancelled, and
// only tasks on a worker need their stop confirmed.
Test(work, cancelling_thousands_writes_one_row)
{
    coordinator_fixture fixture;
    fixture.submit("wave", 5'000);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"wave", 7}, "w", false});
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.feed(cancel_job{"wave"});
    const auto commit = fixture.nextCommit();
    require(commit.has_value());
    check(commit->writes.size() == 1);
    fixture.commitAndAnswer(*commit);
    check(fixture.coordinator.placeableTasks().empty());
    check(fixture.coordinator.find({"wave", 4'999}).state == task_state::Cancelled);

    section("the placed task is stopped, and the rows are removed when it has ended", [&] {
        fixture.report("w", 2);
        const auto grants = actionsOf<send_grant>(fixture.actions);
        require(grants.size() == 1);
        check(grants[0].grant.tasks.empty() && grants[0].grant.stops.size() == 1);
        fixture.report("w", 3, {{1, {"wave", 7}, 1, task_event_kind::Stopped, "", ""}});
        fixture.commitAndAnswer(*fixture.nextCommit());
        fixture.commitAndAnswer(*fixture.nextCommit(seconds(2)));
        check(fixture.platform.scan("work/").empty());
        check(fixture.coordinator.jobs().empty());
    });
}

// The answer to a write is lost. Whether the write took effect or not, the placement must be
// granted once, and never before it is known to be committed.
Test(work, a_write_without_an_answer)
{
    for (const bool hasTakenEffect : {true, false}) {
        section(hasTakenEffect ? "the write took effect" : "the write took no effect yet", [&] {
            coordinator_fixture fixture;
            fixture.submit("job", 1);
            fixture.commitAndAnswer(*fixture.nextCommit());
            fixture.report("w", 1);
            fixture.feed(placement_decided{{"job", 0}, "w", false});
            const auto commit = fixture.nextCommit();
            fixture.loseAnswer(*commit, hasTakenEffect);
            check(!fixture.coordinator.isPlaceable({"job", 0}));
            fixture.report("w", 2);
            check(actionsOf<send_grant>(fixture.actions).front().grant.tasks.empty());
            require(fixture.readRowsBack());
            if (!hasTakenEffect) {
                const auto again = fixture.nextCommit(seconds(10));
                require(again.has_value());
                check(again->operationId == commit->operationId);
                section("a refused repeat doesn't show whether the first write took effect", [&] {
                    fixture.feed(
                            write_answered{again->operationId, {write_outcome::Refused, 0, {}}});
                    check(!fixture.coordinator.isPlaceable({"job", 0}));
                });
                fixture.platform.commit(*commit); // the first copy arrives late
                const auto third = fixture.nextCommit(seconds(10));
                require(third.has_value());
                check(third->operationId == commit->operationId);
                fixture.commitAndAnswer(*third);
                require(fixture.readRowsBack());
            }
            check(fixture.coordinator.find({"job", 0}).attempt == 1);
            fixture.report("w", 3);
            check(actionsOf<send_grant>(fixture.actions).front().grant.tasks.size() == 1);
        });
    }
}

// A process loses a shard and acquires it again. The second write of its new tenure never reaches
// the table, while the row still has the second write of its first tenure. The two must not be
// confused, or the success that the agent reported would be acknowledged and lost.
Test(work, operation_ids_of_two_tenures)
{
    coordinator_fixture fixture;
    fixture.submit("job", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"job", 0}, "w", false});
    fixture.commitAndAnswer(*fixture.nextCommit());

    const write_result takeover = fixture.platform.commit(
            {"take again", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
    fixture.coordinator = task_coordinator({0, 2, takeover.sequence, {}}, "op", {});
    fixture.feed(rows_read{{}, fixture.platform.scan("work/0/")});
    fixture.feed(grant_deadline_changed{Never});
    fixture.submit("other", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    const task_event success{1, {"job", 0}, 1, task_event_kind::Succeeded, "", ""};
    fixture.report("w", 2, {success});
    const auto commit = fixture.nextCommit(seconds(2));
    require(commit.has_value());
    fixture.loseAnswer(*commit, false);
    require(fixture.readRowsBack());
    fixture.report("w", 3, {success});
    check(actionsOf<send_grant>(fixture.actions).front().grant.ackedEvent == 0);
    const auto again = fixture.nextCommit(seconds(10));
    require(again.has_value());
    fixture.commitAndAnswer(*again);
    check(fixture.coordinator.find({"job", 0}).state == task_state::Done);
}

// Another writer has changed one row of a transaction. The other rows must be written all the same,
// and the changed row must be read again; otherwise one row would block all placements forever.
Test(work, a_conflict_on_one_row_does_not_block_the_others)
{
    coordinator_fixture fixture;
    fixture.submit("good", 1);
    fixture.submit("bad", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.platform.commit(
            {"other", {}, {{"work/0/task/bad/00000", parseJson(R"({"tasks":[0]})")}}});
    fixture.feed(placement_decided{{"good", 0}, "w", false});
    fixture.feed(placement_decided{{"bad", 0}, "w", false});
    fixture.commitAndAnswer(*fixture.nextCommit());
    const auto reads = actionsOf<read_rows>(fixture.actions);
    require(!reads.empty());
    rows_read read{reads.front().keys, {}};
    for (const auto &key : read.keys) {
        if (const auto row = fixture.platform.read(key))
            read.rows.push_back(*row);
    }
    fixture.feed(read);
    const auto changes = actionsOf<task_changed>(fixture.actions);
    require(changes.size() == 1);
    check(changes[0].task.job == "bad" && changes[0].change == task_change::Reverted);
    fixture.commitAndAnswer(*fixture.nextCommit());
    check(fixture.coordinator.find({"good", 0}).state == task_state::Placed);
    check(fixture.coordinator.isPlaceable({"bad", 0}));

    section("a new owner fences the coordinator", [&] {
        fixture.platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        fixture.feed(placement_decided{{"bad", 0}, "w", false});
        fixture.commitAndAnswer(*fixture.nextCommit());
        require(fixture.readRowsBack() || !actionsOf<read_rows>(fixture.actions).empty());
        check(actionsOf<fenced>(fixture.actions).size() == 1);
    });
}

// A backlogged task waits at the agent. It starts when the owner finds free capacity, or is
// withdrawn; the withdrawal must not end a task that already runs without the owner's knowledge.
Test(work, a_backlogged_task)
{
    coordinator_fixture fixture;
    supervisor_fixture agent;
    fixture.submit("job", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"job", 0}, "w", true});
    fixture.commitAndAnswer(*fixture.nextCommit());
    const auto exchangeReportAndGrant = [&] {
        fixture.report("w", agent.reportCount);
        worker_grant grant = actionsOf<send_grant>(fixture.actions).front().grant;
        agent.advance(milliseconds(100));
        agent.feed(grant_received{grant});
        return grant;
    };
    agent.advance(seconds(2));
    check(exchangeReportAndGrant().backlog.size() == 1 && !agent.worker.runs(agent.Task));

    section("is withdrawn without ever running", [&] {
        coordinator_fixture copy = fixture;
        supervisor_fixture other;
        copy.feed(eviction_decided{{"job", 0}});
        other.feed(grant_received{actionsOf<send_grant>(copy.actions).front().grant});
        check(actionsOf<worker_stop>(other.actions).size() == 1);
    });
    section("starts when there is free capacity", [&] {
        fixture.feed(backlog_start_decided{{"job", 0}});
        agent.advance(seconds(2));
        check(exchangeReportAndGrant().tasks.size() == 1 && agent.worker.runs(agent.Task));
    });
}

// An operator asks an entry that owns several shards why a task waits. All shards know the job, but
// only the one that the task belongs to may answer; another one would give a wrong reason.
Test(work, a_task_is_known_only_to_its_own_shard)
{
    coordinator_fixture fixture;
    job_spec spec;
    spec.id = "job";
    spec.generation = 1;
    spec.firstTaskIndex = 1;
    spec.indexStride = 4;
    spec.taskCount = 2;
    fixture.feed(job_accepted{spec});
    check(fixture.coordinator.hasTask({"job", 1}) && fixture.coordinator.hasTask({"job", 5}));
    check(!fixture.coordinator.hasTask({"job", 0}) && !fixture.coordinator.hasTask({"job", 2}));
    check(!fixture.coordinator.hasTask({"job", 9}) && !fixture.coordinator.hasTask({"other", 1}));
}

// A worker that runs only a task of class Proof stops reporting: the task may not start elsewhere,
// so no row declares the worker silent. Batch tasks placed there would be requeued at the next
// tick, placed there again, and so on, while other workers are idle. So the worker must get no
// tasks until its next grant.
Test(work, a_silent_worker_gets_no_tasks)
{
    coordinator_fixture fixture;
    job_spec watcher;
    watcher.id = "watch";
    watcher.generation = 1;
    watcher.taskCount = 1;
    watcher.failover = failover_class::Proof;
    fixture.feed(job_accepted{watcher});
    fixture.submit("job", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"watch", 0}, "w", false});
    fixture.commitAndAnswer(*fixture.nextCommit());
    require(fixture.coordinator.canPlaceOn("w"));
    section("no report for longer than its lease", [&] {
        for (int tick = 0; tick < 400; ++tick) {
            fixture.now += milliseconds(100);
            fixture.feed(coordinator_tick{});
        }
        check(!fixture.coordinator.canPlaceOn("w"));
        check(fixture.coordinator.find({"watch", 0}).worker == "w");
        fixture.feed(placement_decided{{"job", 0}, "w", false});
        check(actionsOf<coordinator_counter>(fixture.actions).front()
              == coordinator_counter::NotPlaceable);
    });
    section("when it reports again, it gets a grant, and tasks may be placed on it", [&] {
        fixture.report("w", 2);
        check(actionsOf<send_grant>(fixture.actions).size() == 1);
        check(fixture.coordinator.canPlaceOn("w"));
    });
}

// An owner applies generation 5, which adds one job and removes another, and stops. Its successor
// doesn't know generation 5 yet: applying generation 4, it would cancel the new job and start the
// removed one again under another name. It must read from the table what was applied, and wait.
Test(work, a_successor_with_an_older_generation)
{
    coordinator_fixture first;
    const auto applyGeneration = [](coordinator_fixture &fixture, std::uint64_t generation,
                                    const std::string &id) {
        fixture.feed(generation_applied{generation});
        job_spec spec;
        spec.id = id;
        spec.generation = generation;
        spec.taskCount = 1;
        fixture.feed(job_accepted{spec});
    };
    applyGeneration(first, 4, "removed@4");
    first.commitAndAnswer(*first.nextCommit());
    first.feed(cancel_job{"removed@4"});
    applyGeneration(first, 5, "new@5");
    const auto written = *first.nextCommit();
    section("a change is never in the table without its generation", [&] {
        check(written.writes.front().key == "work/0/followed");
        first.commitAndAnswer(written);
    });
    section("unchanged job rows are not written again", [&] {
        applyGeneration(first, 6, "new@5");
        const auto commit = first.nextCommit();
        require(commit.has_value());
        check(commit->writes.size() == 1 && commit->writes.front().key == "work/0/followed");
        first.commitAndAnswer(*commit);
    });
    section("the successor knows the applied generation, and refuses older jobs", [&] {
        task_coordinator successor({0, 2, 1, {}, {}}, "other", {});
        successor.handle(rows_read{{}, first.platform.scan("work/0/")}, first.now);
        check(successor.appliedGeneration() == 6);
        job_spec spec;
        spec.id = "removed@4b";
        spec.generation = 4;
        spec.taskCount = 1;
        const auto actions = successor.handle(job_accepted{spec}, first.now);
        check(actionsOf<coordinator_counter>(actions).front()
              == coordinator_counter::StaleGeneration);
        check(successor.job("removed@4b") == nullptr);
        check(successor.job("new@5") != nullptr);
    });
}

// Urgent work arrives with a new generation, so the planning run that evicts tasks for it happens
// while the rows of the jobs that this generation changes are being written. If the eviction were
// dropped because of the write, the scheduler would wait for the capacity until the urgent work's
// deadline has passed.
Test(work, an_eviction_while_the_jobs_row_is_written)
{
    coordinator_fixture fixture;
    fixture.submit("job", 1);
    fixture.commitAndAnswer(*fixture.nextCommit());
    fixture.report("w", 1);
    fixture.feed(placement_decided{{"job", 0}, "w", false});
    fixture.commitAndAnswer(*fixture.nextCommit());
    job_spec spec = fixture.coordinator.job("job")->spec;
    spec.generation = 2;
    spec.taskSpec["bytes"] = 1;
    fixture.feed(job_accepted{spec});
    const auto written = fixture.nextCommit();
    require(written.has_value());
    section("the eviction is sent to the agent nevertheless", [&] {
        fixture.feed(eviction_decided{{"job", 0}});
        fixture.report("w", 2);
        check(actionsOf<send_grant>(fixture.actions).front().grant.evictions.size() == 1);
    });
    section("it is still in the next grant after the row is written", [&] {
        fixture.commitAndAnswer(*written);
        fixture.report("w", 3);
        check(actionsOf<send_grant>(fixture.actions).front().grant.evictions.size() == 1);
    });
}

// A service that is scaled down loses its last replicas, and gets them back when scaled up again.
Test(work, a_newer_generation_resizes_a_job)
{
    coordinator_fixture fixture;
    fixture.submit("svc", 3);
    fixture.commitAndAnswer(*fixture.nextCommit());
    job_spec spec = fixture.coordinator.job("svc")->spec;
    spec.generation = 2;
    spec.taskCount = 1;
    fixture.feed(job_accepted{spec});
    fixture.commitAndAnswer(*fixture.nextCommit());
    check(fixture.coordinator.placeableTasks().size() == 1);
    spec.generation = 3;
    spec.taskCount = 4;
    fixture.feed(job_accepted{spec});
    fixture.commitAndAnswer(*fixture.nextCommit());
    check(fixture.coordinator.placeableTasks().size() == 4);
}

// Grants that reach an agent may be late, duplicated, from a superseded owner, or meant for another
// agent or another incarnation of its worker. None of them may start a task that may already run
// elsewhere.
Test(work, an_agent_starts_only_valid_grants)
{
    section("a superseded owner's grant", [] {
        supervisor_fixture fixture;
        fixture.feed(grant_received{fixture.grant(1, 2)});
        fixture.feed(grant_received{fixture.grantTask(1, 1, 1)});
        check(!fixture.worker.runs(fixture.Task)
              && fixture.hasCounted(supervisor_counter::StaleEpoch));
        section("also after the agent was replaced: the worker remembers the epoch", [&] {
            fixture.advance(seconds(2));
            fixture.supervisor =
                    task_supervisor("w", "s", {}, [](const auto &, const auto &) { return true; });
            fixture.advance(seconds(2));
            fixture.feed(grant_received{fixture.grantTask(1, 1, 1)});
            check(!fixture.worker.runs(fixture.Task));
        });
    });
    section("a delayed grant, after a newer one extended the agent's lease", [] {
        supervisor_fixture fixture;
        const worker_grant delayedGrant = fixture.grantTask(fixture.reportCount, 1);
        fixture.advance(seconds(20));
        fixture.feed(grant_received{fixture.grant(fixture.reportCount)});
        check(fixture.supervisor.leaseUntil() > fixture.now);
        fixture.feed(grant_received{delayedGrant});
        check(!fixture.worker.runs(fixture.Task)
              && fixture.hasCounted(supervisor_counter::LeaseLapsed));
    });
    section("the lease of a delayed grant is not counted from its arrival", [] {
        supervisor_fixture fixture;
        fixture.feed(grant_received{fixture.grantTask(fixture.reportCount, 1)});
        const worker_grant delayedGrant = fixture.grant(fixture.reportCount);
        fixture.advance(seconds(10));
        fixture.feed(grant_received{delayedGrant});
        fixture.advance(seconds(4));
        check(fixture.worker.runs(fixture.Task));
        fixture.advance(seconds(2));
        check(!fixture.worker.runs(fixture.Task)); // fifteen seconds after the report was sent
    });
    section("class Proof outlives the agent's lease", [] {
        supervisor_fixture fixture;
        fixture.feed(grant_received{
                fixture.grantTask(fixture.reportCount, 1, 1, failover_class::Proof)});
        fixture.advance(seconds(2));
        fixture.advance(seconds(3'000));
        fixture.advance(seconds(3'000));
        check(fixture.worker.runs(fixture.Task));
    });
    section("an agent that paused between checking the lease and sending the start", [] {
        supervisor_fixture fixture;
        const auto actions = fixture.supervisor.handle(
                grant_received{fixture.grantTask(fixture.reportCount, 1)}, fixture.now);
        fixture.now += seconds(16);
        check(fixture.worker.start(actionsOf<worker_start>(actions).front(), fixture.now)
              == start_result::TooLate);
    });
    section("a delayed start that is not too late gets no longer lease", [] {
        supervisor_fixture fixture;
        const auto actions = fixture.supervisor.handle(
                grant_received{fixture.grantTask(fixture.reportCount, 1)}, fixture.now);
        fixture.worker.start(actionsOf<worker_start>(actions).front(), fixture.now + seconds(14));
        check(fixture.worker.endLapsedTasks(fixture.now + seconds(14)).empty());
        check(fixture.worker.endLapsedTasks(fixture.now + seconds(15)).size() == 1);
    });
    section("a grant for another session or incarnation", [] {
        supervisor_fixture fixture;
        worker_grant other = fixture.grantTask(fixture.reportCount, 1);
        other.session = "before";
        fixture.feed(grant_received{other});
        check(fixture.hasCounted(supervisor_counter::OtherSession));
        other = fixture.grantTask(fixture.reportCount, 1);
        other.incarnation = 2;
        fixture.feed(grant_received{other});
        check(!fixture.worker.runs(fixture.Task)
              && fixture.hasCounted(supervisor_counter::StaleIncarnation));
    });
    section("a task that was stopped before it could start", [] {
        supervisor_fixture fixture;
        worker_grant stop = fixture.grant(fixture.reportCount);
        stop.stops.push_back({fixture.Task, 1});
        fixture.feed(grant_received{stop});
        fixture.feed(grant_received{fixture.grantTask(fixture.reportCount, 1)});
        check(!fixture.worker.runs(fixture.Task));
        fixture.advance(seconds(2)); // the agent sees that attempt 1 has ended
        fixture.feed(grant_received{fixture.grantTask(fixture.reportCount, 2)});
        check(fixture.worker.runs(fixture.Task));
    });
    section("a task that does not fit is refused, and this attempt never starts", [] {
        supervisor_fixture fixture;
        fixture.hasRoom = false;
        fixture.feed(grant_received{fixture.grantTask(fixture.reportCount, 1)});
        check(fixture.hasCounted(supervisor_counter::OverCapacity));
        fixture.hasRoom = true;
        fixture.advance(seconds(2));
        const auto reports = actionsOf<send_report>(fixture.actions);
        require(reports.size() == 1 && reports[0].report.events.size() == 1);
        check(reports[0].report.events[0].kind == task_event_kind::Refused);
        fixture.feed(grant_received{fixture.grantTask(fixture.reportCount, 1)});
        check(!fixture.worker.runs(fixture.Task));
    });
    section("a start meant for an earlier incarnation", [] {
        supervisor_fixture fixture;
        const auto actions = fixture.supervisor.handle(
                grant_received{fixture.grantTask(fixture.reportCount, 1)}, fixture.now);
        worker_tasks next(2);
        next.list({1}, fixture.now);
        check(next.start(actionsOf<worker_start>(actions).front(), fixture.now)
              == start_result::TooLate);
    });
}

// Reports are costly, so an agent sends few of them while they are answered. But the owner may die,
// and the first grant of the next owner must come before the agent's lease of 15 s is over, or the
// tasks of class Lease on a live worker would end. So reports are sent quickly while they are
// unanswered, and while events are unacknowledged.
Test(work, reports_are_few_while_they_are_answered)
{
    supervisor_settings settings;
    settings.reportInterval = seconds(4);
    const auto reportsIn = [&](milliseconds length, milliseconds lease, auto &&answers) {
        supervisor_fixture fixture;
        fixture.supervisor = task_supervisor("w", "s", settings,
                                             [](const auto &, const auto &) { return true; });
        fixture.reportCount = 0;
        for (milliseconds passed{0}; passed < length; passed += milliseconds(100)) {
            const auto before = fixture.reportCount;
            fixture.advance(milliseconds(100));
            auto grant = fixture.grant(fixture.reportCount);
            grant.lease = lease;
            if (fixture.reportCount > before && answers(grant))
                fixture.feed(grant_received{grant});
        }
        return fixture.reportCount;
    };
    const auto always = [](worker_grant &) { return true; };
    // The extra report that is sent at once when the worker has recorded the epoch.
    constexpr std::uint64_t EpochReport = 1;
    section("answered: one in four seconds",
            [&] { check(reportsIn(seconds(60), seconds(15), always) == 15 + EpochReport); });
    section("unanswered: one a second", [&] {
        check(reportsIn(seconds(60), seconds(15), [](worker_grant &) { return false; }) == 60);
    });
    section("an answer to an earlier report doesn't count as an answer", [&] {
        const auto answerPreviousReport = [](worker_grant &grant) { return --grant.replyTo > 0; };
        check(reportsIn(seconds(60), seconds(15), answerPreviousReport) == 60 + EpochReport);
    });
    section("a short lease: three reports within it",
            [&] { check(reportsIn(seconds(60), seconds(6), always) == 30 + EpochReport); });
    section("a refused task is reported after the event delay, then each second until acknowledged",
            [&] {
                const auto refuseTask = [](worker_grant &grant) {
                    grant.tasks.push_back(
                            {supervisor_fixture::Task, 1, failover_class::Lease, {}, {}});
                    return true;
                };
                check(reportsIn(seconds(10), seconds(15), refuseTask) == 10 + EpochReport);
            });
}

// Each tick of an agent wakes two threads on its worker, so ticks without anything to do must be
// rare. Bounds the ticks that the supervisor asks for while its reports are answered and nothing
// fails.
Test(work, an_idle_agent_is_rarely_woken)
{
    supervisor_settings settings;
    settings.reportInterval = seconds(4);
    task_supervisor idleSupervisor("w", "s", settings,
                                   [](const auto &, const auto &) { return true; });
    supervisor_fixture grantSource;
    worker_tasks worker{1};
    time_point now{seconds(1)};
    int ticks = 0;
    int listings = 0;
    for (const auto end = now + seconds(60); now < end; ++ticks) {
        for (const auto &action : idleSupervisor.handle(supervisor_tick{}, now)) {
            if (std::holds_alternative<worker_list>(action)) {
                ++listings;
                idleSupervisor.handle(listing_received{worker.list({idleSupervisor.epoch()}, now)},
                                      now);
            } else if (const auto *sent = std::get_if<send_report>(&action)) {
                idleSupervisor.handle(grant_received{grantSource.grant(sent->report.sequence)},
                                      now);
            }
        }
        now = std::max(now, idleSupervisor.nextTick());
    }
    check(listings == 60);
    check(ticks <= 60 + 15 + 1); // listings, reports, and the first report after the first listing
}

// A worker falls silent. Its task of class Lease may start elsewhere only when all its leases must
// have ended, and the worker gets no grant before the table no longer declares it silent.
Test(work, a_silent_worker)
{
    const auto place = [](coordinator_fixture &fixture, const std::string &job,
                          failover_class failover) {
        job_spec spec;
        spec.id = job;
        spec.generation = 1;
        spec.taskCount = 1;
        spec.failover = failover;
        fixture.feed(job_accepted{spec});
        fixture.commitAndAnswer(*fixture.nextCommit());
        fixture.feed(placement_decided{{job, 0}, "w", false});
        fixture.commitAndAnswer(*fixture.nextCommit());
    };
    const auto advance = [](coordinator_fixture &fixture, int length) {
        for (int i = 0; i < length; ++i) {
            if (const auto commit = fixture.nextCommit(seconds(1)))
                fixture.commitAndAnswer(*commit);
        }
    };
    coordinator_fixture fixture;
    fixture.report("w", 1);
    place(fixture, "lease", failover_class::Lease);
    place(fixture, "proof", failover_class::Proof);
    fixture.report("w", 2);
    advance(fixture, 15);
    check(fixture.coordinator.find({"lease", 0}).state == task_state::Placed);
    advance(fixture, 4);
    check(fixture.coordinator.isPlaceable({"lease", 0}));
    check(fixture.coordinator.find({"proof", 0}).state == task_state::Placed);

    section("it gets no grant while it is silent", [&] {
        fixture.feed(eviction_decided{{"proof", 0}});
        check(actionsOf<send_grant>(fixture.actions).empty());
    });
    section("it reports again: no grant before its removal from the silent workers is committed",
            [&] {
                fixture.report("w", 3);
                check(actionsOf<send_grant>(fixture.actions).empty());
                check(!fixture.coordinator.canPlaceOn("w"));
                fixture.commitAndAnswer(*fixture.nextCommit());
                fixture.report("w", 4);
                check(actionsOf<send_grant>(fixture.actions).size() == 1);
            });
    section("a newer incarnation proves that its other tasks have ended", [&] {
        fixture.feed(report_received{{"w", 2, "t", 1, 1, {}}});
        fixture.commitAndAnswer(*fixture.nextCommit());
        check(fixture.coordinator.isPlaceable({"proof", 0}));
    });
    section("a success is acknowledged only when it is committed", [&] {
        fixture.feed(placement_decided{{"lease", 0}, "w", false});
        fixture.commitAndAnswer(*fixture.nextCommit());
        const task_event success{1, {"lease", 0}, 2, task_event_kind::Succeeded, "", ""};
        fixture.feed(report_received{{"w", 2, "t", 2, 1, {success}}});
        check(actionsOf<send_grant>(fixture.actions).front().grant.ackedEvent == 0);
        fixture.commitAndAnswer(*fixture.nextCommit(seconds(2)));
        fixture.feed(report_received{{"w", 2, "t", 3, 1, {success}}});
        check(actionsOf<send_grant>(fixture.actions).front().grant.ackedEvent == 1);
    });
    section("after its grant deadline the owner gives no lease", [&] {
        fixture.feed(grant_deadline_changed{fixture.now});
        fixture.feed(report_received{{"w", 2, "t", 4, 1, {}}});
        check(actionsOf<send_grant>(fixture.actions).front().grant.lease.count() == 0);
    });
    section("after a pause of the owner its workers are not declared silent", [] {
        coordinator_fixture paused;
        paused.report("w", 1);
        job_spec spec;
        spec.id = "lease";
        spec.generation = 1;
        spec.taskCount = 1;
        paused.feed(job_accepted{spec});
        paused.commitAndAnswer(*paused.nextCommit());
        paused.feed(placement_decided{{"lease", 0}, "w", false});
        paused.commitAndAnswer(*paused.nextCommit());
        check(!paused.nextCommit(seconds(100)).has_value());
        paused.report("w", 2);
        check(actionsOf<send_grant>(paused.actions).size() == 1);
    });
}

// A shard must not have two owners, and an outage of the table must not look like a dead owner.
Test(work, ownership_of_a_shard)
{
    memory_platform platform;
    const std::vector<shard_info> shards = {{0, "z1"}};
    shard_ownership a({"a", "z2"}, "a#1", shards, {});
    shard_ownership b({"b", "z2"}, "b#1", shards, {});
    const std::vector<entry_info> bothEntries = {{"a", "z2"}, {"b", "z2"}};
    time_point now{seconds(1)};
    std::optional<became_owner> newest;
    // Lets one entry read the rows (if `reads`), tick and write; its writes are refused unless
    // `commits`.
    const auto takeTurn = [&](shard_ownership &owner, bool reads, bool commits) {
        owner.handle(peers_changed{bothEntries}, now);
        if (reads)
            owner.handle(shard_rows_read{platform.scan(ShardPrefix), now}, now);
        for (const auto &action : actionsOf<commit_shard>(owner.handle(ownership_tick{}, now))) {
            write_result result{write_outcome::Refused, 0, {}};
            if (commits)
                result = platform.commit(action.transaction);
            const shard_write_answered answered{action.transaction.operationId, result};
            for (const auto &became : actionsOf<became_owner>(owner.handle(answered, now)))
                newest = became;
        }
    };
    const auto advance = [&](int secondsPassed, const std::function<void()> &body) {
        for (int i = 0; i < secondsPassed; ++i) {
            now += seconds(1);
            body();
        }
    };
    advance(5, [&] { takeTurn(a, true, true), takeTurn(b, true, true); });
    require(a.owns(0) != b.owns(0));
    shard_ownership &first = a.owns(0) ? a : b;
    shard_ownership &second = a.owns(0) ? b : a;

    section("the grant period is counted from before the renewal was sent", [&] {
        advance(2, [&] { takeTurn(second, true, true); });
        const time_point sent = now;
        const auto renewals = actionsOf<commit_shard>(first.handle(ownership_tick{}, now));
        require(renewals.size() == 1);
        now += seconds(4);
        const table_transaction &renewal = renewals[0].transaction;
        first.handle(shard_write_answered{renewal.operationId, platform.commit(renewal)}, now);
        check(first.grantDeadline(0) == sent + lease_settings().grantPeriod);
        advance(2, [&] { takeTurn(first, true, true), takeTurn(second, true, true); });
    });
    section("the table is down: nobody takes over, and the owner may grant", [&] {
        advance(60, [&] { takeTurn(first, false, false), takeTurn(second, false, false); });
        takeTurn(second, true, true);
        check(first.owns(0) && !second.owns(0));
        check(first.grantDeadline(0) > now);
        advance(5, [&] { takeTurn(first, true, true), takeTurn(second, true, true); });
        check(first.owns(0) && !second.owns(0));
    });
    section("the owner pauses: the other entry takes over, and the old owner cannot renew", [&] {
        const time_point until = first.grantDeadline(0);
        const time_point start = now;
        while (!second.owns(0) && now - start < seconds(30))
            advance(1, [&] { takeTurn(second, true, true); });
        check(second.owns(0));
        check(now - start <= seconds(10));
        check(until > now); // so the new owner must wait for a silent worker
        takeTurn(first, false, true);
        check(first.grantDeadline(0) <= until);
        takeTurn(first, true, true);
        check(!first.owns(0));
    });
    section("two entries try to acquire the shard at the same moment: one of them gets it", [&] {
        memory_platform fresh;
        shard_ownership c({"c", "z2"}, "c#1", shards, {});
        shard_ownership d({"d", "z2"}, "d#1", shards, {});
        for (auto *owner : {&c, &d})
            owner->handle(shard_rows_read{{}, now}, now);
        const auto fromC = actionsOf<commit_shard>(c.handle(ownership_tick{}, now));
        const auto fromD = actionsOf<commit_shard>(d.handle(ownership_tick{}, now));
        require(fromC.size() == 1 && fromD.size() == 1);
        const auto &[one, other] = std::pair{fromC[0].transaction, fromD[0].transaction};
        c.handle(shard_write_answered{one.operationId, fresh.commit(one)}, now);
        d.handle(shard_write_answered{other.operationId, fresh.commit(other)}, now);
        check(c.owns(0) && !d.owns(0));
    });
    section("a planned shutdown hands the shard over at once", [&] {
        for (const auto &action : actionsOf<commit_shard>(second.handle(release_shards{}, now))) {
            const write_result result = platform.commit(action.transaction);
            second.handle(shard_write_answered{action.transaction.operationId, result}, now);
        }
        check(second.isReleased() && !second.owns(0));
        const time_point earlierLeasesEnd = newest->earlierLeasesEndAt;
        advance(4, [&] { takeTurn(first, true, true); });
        check(first.owns(0));
        // The owner before the last one did not shut down as planned: its grant period still runs.
        check(newest->earlierLeasesEndAt >= earlierLeasesEnd);
        check(earlierLeasesEnd > now + seconds(1'000));
    });
}

} // namespace zinniabarrow::tests
