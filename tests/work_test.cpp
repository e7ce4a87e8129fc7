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
// A line about an attempt of j/0; `checkpoint` where the event has one.
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

// The checker guards every other test of faults: it must see each violation that is planted.
Test(work, trace_checker_sees_each_planted_violation)
{
    using kind = trace_violation_kind;
    const std::vector<std::string> good = {
            accepted("proof"),       line("placed", 1, "a"),
            line("started", 1, "a"), line("evicted", 1, "a", "c"),
            line("placed", 2, "b"),  line("resumed", 2, "b", "c"),
            line("ended", 2, "b"),
    };
    const auto planted = [&](std::size_t keep, const std::vector<std::string> &rest) {
        std::vector<std::string> lines(good.begin(), good.begin() + static_cast<long>(keep));
        lines.insert(lines.end(), rest.begin(), rest.end());
        return kindsIn(lines);
    };
    const auto holds = [](const std::vector<kind> &kinds, kind wanted) {
        return std::find(kinds.begin(), kinds.end(), wanted) != kinds.end();
    };
    section("a clean trace has none", [&] { check(planted(7, {}).empty()); });
    section("two places", [&] {
        check(holds(planted(3, {line("placed", 2, "b"), line("started", 2, "b")}),
                    kind::TwoPlaces));
    });
    section("an attempt twice", [&] {
        check(holds(planted(3, {line("stopped", 1, "a"), line("started", 1, "a")}),
                    kind::AttemptRepeated));
    });
    section("started without a placement, or elsewhere", [&] {
        check(holds(planted(1, {line("started", 1, "a")}), kind::NotPlaced));
        check(holds(planted(2, {line("started", 1, "b")}), kind::NotPlaced));
    });
    section("resumed from elsewhere than its checkpoint",
            [&] { check(holds(planted(5, {line("started", 2, "b")}), kind::WrongCheckpoint)); });
    section("never resumed", [&] {
        const auto kinds = planted(4, {});
        check(holds(kinds, kind::NotResumed) && holds(kinds, kind::Lost));
    });
    section("ran again after its end", [&] {
        check(holds(planted(7, {line("placed", 3, "a"), line("started", 3, "a")}),
                    kind::StartedAfterEnd));
    });
    section("started after its cancellation", [&] {
        check(holds(planted(5, {line("cancelled", 1, "b"), line("resumed", 2, "b", "c")}),
                    kind::StartedAfterCancel));
        check(holds(planted(6, {line("cancelled", 2, "b")}), kind::StartedAfterCancel));
    });
    section("over capacity", [&] {
        std::string other = line("started", 1, "a");
        std::string otherPlaced = line("placed", 1, "a");
        std::string otherAccepted = accepted("proof");
        for (auto *text : {&other, &otherPlaced, &otherAccepted})
            text->replace(text->find("j/0"), 3, "k/0");
        check(holds(planted(3, {otherAccepted, otherPlaced, other}), kind::OverCapacity));
    });
    section("a line that is no event", [&] {
        check(holds(planted(7, {"nonsense"}), kind::BadLine));
        check(holds(planted(7, {R"({"event":"unheard","task":"j/0"})"}), kind::BadLine));
    });
}

Test(work, messages_cross_the_wire_whole)
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

    section("a wrong member is named", [&] {
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

// A wave of cancellations must not become a wave of writes: one row says that the job is cancelled,
// and only tasks on a worker need their stop confirmed.
Test(work, cancelling_thousands_writes_one_row)
{
    table_bench bench;
    bench.submit("wave", 5'000);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"wave", 7}, "w", false});
    bench.settle(*bench.nextCommit());
    bench.feed(cancel_job{"wave"});
    const auto commit = bench.nextCommit();
    require(commit.has_value());
    check(commit->writes.size() == 1);
    bench.settle(*commit);
    check(bench.table.placeableTasks().empty());
    check(bench.table.find({"wave", 4'999}).state == task_state::Cancelled);

    section("the placed one is stopped, and its rows go when it has ended", [&] {
        bench.report("w", 2);
        const auto grants = only<send_grant>(bench.actions);
        require(grants.size() == 1);
        check(grants[0].grant.tasks.empty() && grants[0].grant.stops.size() == 1);
        bench.report("w", 3, {{1, {"wave", 7}, 1, task_event_kind::Stopped, "", ""}});
        bench.settle(*bench.nextCommit());
        bench.settle(*bench.nextCommit(seconds(2)));
        check(bench.platform.scan("work/").empty());
        check(bench.table.jobs().empty());
    });
}

// The answer to a write is lost. Whether it took effect or not, the placement must be granted once,
// and never before the table is known to hold it.
Test(work, a_write_without_an_answer)
{
    for (const bool effect : {true, false}) {
        section(effect ? "after the effect" : "before the effect", [&] {
            table_bench bench;
            bench.submit("job", 1);
            bench.settle(*bench.nextCommit());
            bench.report("w", 1);
            bench.feed(place_decided{{"job", 0}, "w", false});
            const auto commit = bench.nextCommit();
            bench.loseAnswer(*commit, effect);
            check(!bench.table.placeable({"job", 0}));
            bench.report("w", 2);
            check(only<send_grant>(bench.actions).front().grant.tasks.empty());
            require(bench.readBack());
            if (!effect) {
                const auto again = bench.nextCommit(seconds(10));
                require(again.has_value());
                check(again->operationId == commit->operationId);
                section("a refusal of the repeat says nothing about the first", [&] {
                    bench.feed(write_settled{again->operationId, {write_outcome::Refused, 0, {}}});
                    check(!bench.table.placeable({"job", 0}));
                });
                bench.platform.commit(*commit); // the first one arrives late after all
                const auto third = bench.nextCommit(seconds(10));
                require(third.has_value());
                check(third->operationId == commit->operationId);
                bench.settle(*third);
                require(bench.readBack());
            }
            check(bench.table.find({"job", 0}).attempt == 1);
            bench.report("w", 3);
            check(only<send_grant>(bench.actions).front().grant.tasks.size() == 1);
        });
    }
}

// A process loses a shard and takes it again. Its second write of this tenure never reaches the
// table; the row still carries the second write of its first tenure, which must not pass for it:
// the success that the agent reported would be acknowledged and lost.
Test(work, operation_ids_of_two_tenures)
{
    table_bench bench;
    bench.submit("job", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"job", 0}, "w", false});
    bench.settle(*bench.nextCommit());

    const write_result taken = bench.platform.commit(
            {"take again", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
    bench.table = task_table({0, 2, taken.sequence, {}}, "op", {});
    bench.feed(rows_read{{}, bench.platform.scan("work/0/")});
    bench.feed(horizon_moved{Never});
    bench.submit("other", 1);
    bench.settle(*bench.nextCommit());
    const task_event success{1, {"job", 0}, 1, task_event_kind::Succeeded, "", ""};
    bench.report("w", 2, {success});
    const auto commit = bench.nextCommit(seconds(2));
    require(commit.has_value());
    bench.loseAnswer(*commit, false);
    require(bench.readBack());
    bench.report("w", 3, {success});
    check(only<send_grant>(bench.actions).front().grant.ackedThrough == 0);
    const auto again = bench.nextCommit(seconds(10));
    require(again.has_value());
    bench.settle(*again);
    check(bench.table.find({"job", 0}).state == task_state::Done);
}

// Something else has changed one row of a group. The rest of the group must go on, and the changed
// row is read again; otherwise one row would hold up all placements for ever.
Test(work, a_conflict_on_one_row_leaves_the_rest_of_its_group)
{
    table_bench bench;
    bench.submit("good", 1);
    bench.submit("bad", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.platform.commit(
            {"other", {}, {{"work/0/task/bad/00000", parseJson(R"({"tasks":[0]})")}}});
    bench.feed(place_decided{{"good", 0}, "w", false});
    bench.feed(place_decided{{"bad", 0}, "w", false});
    bench.settle(*bench.nextCommit());
    const auto reads = only<read_rows>(bench.actions);
    require(!reads.empty());
    rows_read read{reads.front().keys, {}};
    for (const auto &key : read.keys) {
        if (const auto row = bench.platform.read(key))
            read.rows.push_back(*row);
    }
    bench.feed(read);
    const auto settled = only<task_settled>(bench.actions);
    require(settled.size() == 1);
    check(settled[0].task.job == "bad" && settled[0].change == task_change::Reverted);
    bench.settle(*bench.nextCommit());
    check(bench.table.find({"good", 0}).state == task_state::Placed);
    check(bench.table.placeable({"bad", 0}));

    section("and a new owner fences the table", [&] {
        bench.platform.commit({"take", {}, {{shardKey(0), Json::Value(Json::objectValue)}}});
        bench.feed(place_decided{{"bad", 0}, "w", false});
        bench.settle(*bench.nextCommit());
        require(bench.readBack() || !only<read_rows>(bench.actions).empty());
        check(only<fenced>(bench.actions).size() == 1);
    });
}

// A task that was placed ahead waits in the agent's backlog. It starts when the owner finds room,
// or is taken back; taking it back must not cut off a task that the owner does not yet know to run.
Test(work, a_task_placed_ahead)
{
    table_bench bench;
    keeper_bench agent;
    bench.submit("job", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"job", 0}, "w", true});
    bench.settle(*bench.nextCommit());
    const auto grantNow = [&] {
        bench.report("w", agent.reports);
        worker_grant grant = only<send_grant>(bench.actions).front().grant;
        agent.pass(milliseconds(100));
        agent.feed(grant_received{grant});
        return grant;
    };
    agent.pass(seconds(2));
    check(grantNow().backlog.size() == 1 && !agent.worker.runs(agent.Task));

    section("is taken back without ever running", [&] {
        table_bench copy = bench;
        keeper_bench other;
        copy.feed(evict_decided{{"job", 0}});
        other.feed(grant_received{only<send_grant>(copy.actions).front().grant});
        check(only<worker_stop>(other.actions).size() == 1);
    });
    section("starts when there is room", [&] {
        bench.feed(start_ahead_decided{{"job", 0}});
        agent.pass(seconds(2));
        check(grantNow().tasks.size() == 1 && agent.worker.runs(agent.Task));
    });
}

// An operator asks an entry that owns several shards why a task waits. All of them know the job;
// the one that the task belongs to has to answer, or the reason is that of a shard that never had
// it.
Test(work, a_task_is_known_to_its_own_shard_alone)
{
    table_bench bench;
    job_spec spec;
    spec.id = "job";
    spec.generation = 1;
    spec.firstTask = 1;
    spec.stride = 4;
    spec.tasks = 2;
    bench.feed(job_accepted{spec});
    check(bench.table.knows({"job", 1}) && bench.table.knows({"job", 5}));
    check(!bench.table.knows({"job", 0}) && !bench.table.knows({"job", 2}));
    check(!bench.table.knows({"job", 9}) && !bench.table.knows({"other", 1}));
}

// A worker with nothing but a lease watcher goes silent, so nothing of it may start elsewhere and
// no row says that it is silent. Batch tasks placed there would be freed at the next tick, placed
// there again, and so on, while other workers stand empty. It gets none until it is granted again.
Test(work, a_silent_worker_gets_no_tasks)
{
    table_bench bench;
    job_spec watcher;
    watcher.id = "watch";
    watcher.generation = 1;
    watcher.tasks = 1;
    watcher.failover = failover_class::Proof;
    bench.feed(job_accepted{watcher});
    bench.submit("job", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"watch", 0}, "w", false});
    bench.settle(*bench.nextCommit());
    require(bench.table.mayPlaceOn("w"));
    section("silent for longer than its lease", [&] {
        for (int tick = 0; tick < 400; ++tick) {
            bench.now += milliseconds(100);
            bench.feed(table_tick{});
        }
        check(!bench.table.mayPlaceOn("w"));
        check(bench.table.find({"watch", 0}).worker == "w");
        bench.feed(place_decided{{"job", 0}, "w", false});
        check(only<table_count>(bench.actions).front() == table_count::NotPlaceable);
    });
    section("it reports again: it is granted, and gets tasks", [&] {
        bench.report("w", 2);
        check(only<send_grant>(bench.actions).size() == 1);
        check(bench.table.mayPlaceOn("w"));
    });
}

// An owner carries out generation 5, which brings a job and removes another, and stops. Its
// successor has not heard of it yet: by generation 4 it would cancel the new job and start the
// removed one anew under another name. It finds in the table what was carried out, and waits.
Test(work, a_successor_with_an_older_generation)
{
    table_bench first;
    const auto follow = [](table_bench &bench, std::uint64_t generation, const std::string &id) {
        bench.feed(generation_followed{generation});
        job_spec spec;
        spec.id = id;
        spec.generation = generation;
        spec.tasks = 1;
        bench.feed(job_accepted{spec});
    };
    follow(first, 4, "removed@4");
    first.settle(*first.nextCommit());
    first.feed(cancel_job{"removed@4"});
    follow(first, 5, "new@5");
    const auto written = *first.nextCommit();
    section("a change is never in the table without its generation", [&] {
        check(written.writes.front().key == "work/0/followed");
        first.settle(written);
    });
    section("rows that say the same are not written again", [&] {
        follow(first, 6, "new@5");
        const auto commit = first.nextCommit();
        require(commit.has_value());
        check(commit->writes.size() == 1 && commit->writes.front().key == "work/0/followed");
        first.settle(*commit);
    });
    section("the successor knows, and refuses what is older", [&] {
        task_table successor({0, 2, 1, {}, {}}, "other", {});
        successor.handle(rows_read{{}, first.platform.scan("work/0/")}, first.now);
        check(successor.followed() == 6);
        job_spec spec;
        spec.id = "removed@4b";
        spec.generation = 4;
        spec.tasks = 1;
        const auto actions = successor.handle(job_accepted{spec}, first.now);
        check(only<table_count>(actions).front() == table_count::StaleGeneration);
        check(successor.job("removed@4b") == nullptr);
        check(successor.job("new@5") != nullptr);
    });
}

// Urgent work comes in with a new generation, so the very planning that evicts for it runs while
// the rows of jobs that this generation changes are written. The placer has been promised the room:
// an eviction that was dropped for the write would leave the urgent work waiting until it gives up.
Test(work, an_eviction_while_the_jobs_row_is_written)
{
    table_bench bench;
    bench.submit("job", 1);
    bench.settle(*bench.nextCommit());
    bench.report("w", 1);
    bench.feed(place_decided{{"job", 0}, "w", false});
    bench.settle(*bench.nextCommit());
    job_spec spec = bench.table.job("job")->spec;
    spec.generation = 2;
    spec.spec["bytes"] = 1;
    bench.feed(job_accepted{spec});
    const auto written = bench.nextCommit();
    require(written.has_value());
    section("it is asked of the agent all the same", [&] {
        bench.feed(evict_decided{{"job", 0}});
        bench.report("w", 2);
        check(only<send_grant>(bench.actions).front().grant.checkpoints.size() == 1);
    });
    section("and still after the row is written", [&] {
        bench.settle(*written);
        bench.report("w", 3);
        check(only<send_grant>(bench.actions).front().grant.checkpoints.size() == 1);
    });
}

// A scaled-down service loses its last replicas, and gets them back when it grows again.
Test(work, a_newer_generation_resizes_a_job)
{
    table_bench bench;
    bench.submit("svc", 3);
    bench.settle(*bench.nextCommit());
    job_spec spec = bench.table.job("svc")->spec;
    spec.generation = 2;
    spec.tasks = 1;
    bench.feed(job_accepted{spec});
    bench.settle(*bench.nextCommit());
    check(bench.table.placeableTasks().size() == 1);
    spec.generation = 3;
    spec.tasks = 4;
    bench.feed(job_accepted{spec});
    bench.settle(*bench.nextCommit());
    check(bench.table.placeableTasks().size() == 4);
}

// What reaches an agent may be late, doubled, from an owner that was replaced, or meant for another
// agent or another life of its worker. None of it may start a task that can run elsewhere by now.
Test(work, an_agent_starts_only_what_holds)
{
    section("a superseded owner's grant", [] {
        keeper_bench bench;
        bench.feed(grant_received{bench.grant(1, 2)});
        bench.feed(grant_received{bench.grantTask(1, 1, 1)});
        check(!bench.worker.runs(bench.Task) && bench.counted(keeper_count::StaleEpoch));
        section("also after the agent was replaced: the worker keeps the epoch", [&] {
            bench.pass(seconds(2));
            bench.keeper =
                    task_keeper("w", "s", {}, [](const auto &, const auto &) { return true; });
            bench.pass(seconds(2));
            bench.feed(grant_received{bench.grantTask(1, 1, 1)});
            check(!bench.worker.runs(bench.Task));
        });
    });
    section("a grant that was held back, after a newer one extended the agent's lease", [] {
        keeper_bench bench;
        const worker_grant late = bench.grantTask(bench.reports, 1);
        bench.pass(seconds(20));
        bench.feed(grant_received{bench.grant(bench.reports)});
        check(bench.keeper.leaseUntil() > bench.now);
        bench.feed(grant_received{late});
        check(!bench.worker.runs(bench.Task) && bench.counted(keeper_count::LeaseLapsed));
    });
    section("a grant that was held back gives no lease from its arrival", [] {
        keeper_bench bench;
        bench.feed(grant_received{bench.grantTask(bench.reports, 1)});
        const worker_grant late = bench.grant(bench.reports);
        bench.pass(seconds(10));
        bench.feed(grant_received{late});
        bench.pass(seconds(4));
        check(bench.worker.runs(bench.Task));
        bench.pass(seconds(2));
        check(!bench.worker.runs(bench.Task)); // fifteen seconds after the report was sent
    });
    section("class Proof outlives the agent's lease", [] {
        keeper_bench bench;
        bench.feed(grant_received{bench.grantTask(bench.reports, 1, 1, failover_class::Proof)});
        bench.pass(seconds(2));
        bench.pass(seconds(3'000));
        bench.pass(seconds(3'000));
        check(bench.worker.runs(bench.Task));
    });
    section("an agent that paused between its check and the sending", [] {
        keeper_bench bench;
        const auto actions =
                bench.keeper.handle(grant_received{bench.grantTask(bench.reports, 1)}, bench.now);
        bench.now += seconds(16);
        check(bench.worker.start(only<worker_start>(actions).front(), bench.now)
              == start_answer::TooLate);
    });
    section("a start that was held back, and is not too late, gains no time by it", [] {
        keeper_bench bench;
        const auto actions =
                bench.keeper.handle(grant_received{bench.grantTask(bench.reports, 1)}, bench.now);
        bench.worker.start(only<worker_start>(actions).front(), bench.now + seconds(14));
        check(bench.worker.takeLapsed(bench.now + seconds(14)).empty());
        check(bench.worker.takeLapsed(bench.now + seconds(15)).size() == 1);
    });
    section("another session, another incarnation", [] {
        keeper_bench bench;
        worker_grant other = bench.grantTask(bench.reports, 1);
        other.session = "before";
        bench.feed(grant_received{other});
        check(bench.counted(keeper_count::OtherSession));
        other = bench.grantTask(bench.reports, 1);
        other.incarnation = 2;
        bench.feed(grant_received{other});
        check(!bench.worker.runs(bench.Task) && bench.counted(keeper_count::StaleIncarnation));
    });
    section("a task that was stopped before it could start", [] {
        keeper_bench bench;
        worker_grant stop = bench.grant(bench.reports);
        stop.stops.push_back({bench.Task, 1});
        bench.feed(grant_received{stop});
        bench.feed(grant_received{bench.grantTask(bench.reports, 1)});
        check(!bench.worker.runs(bench.Task));
        bench.pass(seconds(2)); // the agent sees that attempt 1 has ended
        bench.feed(grant_received{bench.grantTask(bench.reports, 2)});
        check(bench.worker.runs(bench.Task));
    });
    section("a task that does not fit is refused for good, under this attempt", [] {
        keeper_bench bench;
        bench.fits = false;
        bench.feed(grant_received{bench.grantTask(bench.reports, 1)});
        check(bench.counted(keeper_count::OverCapacity));
        bench.fits = true;
        bench.pass(seconds(2));
        const auto reports = only<send_report>(bench.actions);
        require(reports.size() == 1 && reports[0].report.events.size() == 1);
        check(reports[0].report.events[0].kind == task_event_kind::Refused);
        bench.feed(grant_received{bench.grantTask(bench.reports, 1)});
        check(!bench.worker.runs(bench.Task));
    });
    section("a start meant for an earlier life of the instance", [] {
        keeper_bench bench;
        const auto actions =
                bench.keeper.handle(grant_received{bench.grantTask(bench.reports, 1)}, bench.now);
        worker_tasks next(2);
        next.list({1}, bench.now);
        check(next.start(only<worker_start>(actions).front(), bench.now) == start_answer::TooLate);
    });
}

// A report is dear, so an agent that is answered sends few. But the owner may die, and its
// successor's first answer must come before the agent's lease of 15 s is over, or the seat holds of
// a live worker would end: unanswered reports follow each other quickly, and so do those with
// events to settle.
Test(work, reports_are_few_while_they_are_answered)
{
    keeper_settings settings;
    settings.reportEvery = seconds(4);
    const auto reportsIn = [&](milliseconds length, milliseconds lease, auto &&answers) {
        keeper_bench bench;
        bench.keeper =
                task_keeper("w", "s", settings, [](const auto &, const auto &) { return true; });
        bench.reports = 0;
        for (milliseconds passed{0}; passed < length; passed += milliseconds(100)) {
            const auto before = bench.reports;
            bench.pass(milliseconds(100));
            auto grant = bench.grant(bench.reports);
            grant.lease = lease;
            if (bench.reports > before && answers(grant))
                bench.feed(grant_received{grant});
        }
        return bench.reports;
    };
    const auto always = [](worker_grant &) { return true; };
    constexpr std::uint64_t EpochReport = 1; // tells at once that the worker has the epoch
    section("answered: one in four seconds",
            [&] { check(reportsIn(seconds(60), seconds(15), always) == 15 + EpochReport); });
    section("unanswered: one a second", [&] {
        check(reportsIn(seconds(60), seconds(15), [](worker_grant &) { return false; }) == 60);
    });
    section("answers to an earlier report show nothing", [&] {
        const auto late = [](worker_grant &grant) { return --grant.replyTo > 0; };
        check(reportsIn(seconds(60), seconds(15), late) == 60 + EpochReport);
    });
    section("a short lease: three in its time",
            [&] { check(reportsIn(seconds(60), seconds(6), always) == 30 + EpochReport); });
    section("a task that was refused is told within the delay, and each second until settled", [&] {
        const auto tell = [](worker_grant &grant) {
            grant.tasks.push_back({keeper_bench::Task, 1, failover_class::Lease, {}, {}});
            return true;
        };
        check(reportsIn(seconds(10), seconds(15), tell) == 10 + EpochReport);
    });
}

// Each tick of the agent's duty wakes two threads of every worker, and nearly all of them found
// nothing to do. The bound is on how often the keeper asks for one while it is answered and all is
// well.
Test(work, an_agent_at_rest_is_rarely_woken)
{
    keeper_settings settings;
    settings.reportEvery = seconds(4);
    task_keeper keeper("w", "s", settings, [](const auto &, const auto &) { return true; });
    keeper_bench answers;
    worker_tasks worker{1};
    time_point now{seconds(1)};
    int ticks = 0;
    int listings = 0;
    for (const auto end = now + seconds(60); now < end; ++ticks) {
        for (const auto &action : keeper.handle(keeper_tick{}, now)) {
            if (std::holds_alternative<worker_list>(action)) {
                ++listings;
                keeper.handle(listing_received{worker.list({keeper.epoch()}, now)}, now);
            } else if (const auto *sent = std::get_if<send_report>(&action)) {
                keeper.handle(grant_received{answers.grant(sent->report.sequence)}, now);
            }
        }
        now = std::max(now, keeper.nextTick());
    }
    check(listings == 60);
    check(ticks <= 60 + 15 + 1); // listings, reports, and the first report after the first listing
}

// A worker is silent. Its task of class Lease may start elsewhere only when no lease can be left,
// and the worker gets nothing before the table has taken back that it is silent.
Test(work, a_silent_worker)
{
    const auto place = [](table_bench &bench, const std::string &job, failover_class failover) {
        job_spec spec;
        spec.id = job;
        spec.generation = 1;
        spec.tasks = 1;
        spec.failover = failover;
        bench.feed(job_accepted{spec});
        bench.settle(*bench.nextCommit());
        bench.feed(place_decided{{job, 0}, "w", false});
        bench.settle(*bench.nextCommit());
    };
    const auto pass = [](table_bench &bench, int length) {
        for (int i = 0; i < length; ++i) {
            if (const auto commit = bench.nextCommit(seconds(1)))
                bench.settle(*commit);
        }
    };
    table_bench bench;
    bench.report("w", 1);
    place(bench, "lease", failover_class::Lease);
    place(bench, "proof", failover_class::Proof);
    bench.report("w", 2);
    pass(bench, 15);
    check(bench.table.find({"lease", 0}).state == task_state::Placed);
    pass(bench, 4);
    check(bench.table.placeable({"lease", 0}));
    check(bench.table.find({"proof", 0}).state == task_state::Placed);

    section("nothing is sent to it meanwhile", [&] {
        bench.feed(evict_decided{{"proof", 0}});
        check(only<send_grant>(bench.actions).empty());
    });
    section("it is back: no grant before the table says so", [&] {
        bench.report("w", 3);
        check(only<send_grant>(bench.actions).empty());
        check(!bench.table.mayPlaceOn("w"));
        bench.settle(*bench.nextCommit());
        bench.report("w", 4);
        check(only<send_grant>(bench.actions).size() == 1);
    });
    section("a newer life of its instance proves that the rest has ended", [&] {
        bench.feed(report_received{{"w", 2, "t", 1, 1, {}}});
        bench.settle(*bench.nextCommit());
        check(bench.table.placeable({"proof", 0}));
    });
    section("a success is acknowledged only when the table holds it", [&] {
        bench.feed(place_decided{{"lease", 0}, "w", false});
        bench.settle(*bench.nextCommit());
        const task_event success{1, {"lease", 0}, 2, task_event_kind::Succeeded, "", ""};
        bench.feed(report_received{{"w", 2, "t", 2, 1, {success}}});
        check(only<send_grant>(bench.actions).front().grant.ackedThrough == 0);
        bench.settle(*bench.nextCommit(seconds(2)));
        bench.feed(report_received{{"w", 2, "t", 3, 1, {success}}});
        check(only<send_grant>(bench.actions).front().grant.ackedThrough == 1);
    });
    section("past its own horizon the owner gives no lease", [&] {
        bench.feed(horizon_moved{bench.now});
        bench.feed(report_received{{"w", 2, "t", 4, 1, {}}});
        check(only<send_grant>(bench.actions).front().grant.lease.count() == 0);
    });
    section("a pause of the owner is not the silence of its workers", [] {
        table_bench paused;
        paused.report("w", 1);
        job_spec spec;
        spec.id = "lease";
        spec.generation = 1;
        spec.tasks = 1;
        paused.feed(job_accepted{spec});
        paused.settle(*paused.nextCommit());
        paused.feed(place_decided{{"lease", 0}, "w", false});
        paused.settle(*paused.nextCommit());
        check(!paused.nextCommit(seconds(100)).has_value());
        paused.report("w", 2);
        check(only<send_grant>(paused.actions).size() == 1);
    });
}

// Whoever owns a shard must not be decided twice; an outage must not look like a dead owner.
Test(work, ownership_of_a_shard)
{
    memory_platform platform;
    const std::vector<shard_info> shards = {{0, "z1"}};
    shard_owner a({"a", "z2"}, "a#1", shards, {});
    shard_owner b({"b", "z2"}, "b#1", shards, {});
    const std::vector<entry_info> both = {{"a", "z2"}, {"b", "z2"}};
    time_point now{seconds(1)};
    std::optional<became_owner> newest;
    // One entry's turn: reads if `reads`, ticks, and commits what it asks for.
    const auto turn = [&](shard_owner &owner, bool reads, bool commits) {
        owner.handle(peers_changed{both}, now);
        if (reads)
            owner.handle(shard_rows_read{platform.scan(ShardPrefix), now}, now);
        for (const auto &action : only<commit_shard>(owner.handle(ownership_tick{}, now))) {
            write_result result{write_outcome::Refused, 0, {}};
            if (commits)
                result = platform.commit(action.transaction);
            const shard_write_settled settled{action.transaction.operationId, result};
            for (const auto &became : only<became_owner>(owner.handle(settled, now)))
                newest = became;
        }
    };
    const auto pass = [&](int secondsPassed, const std::function<void()> &body) {
        for (int i = 0; i < secondsPassed; ++i) {
            now += seconds(1);
            body();
        }
    };
    pass(5, [&] { turn(a, true, true), turn(b, true, true); });
    require(a.owns(0) != b.owns(0));
    shard_owner &first = a.owns(0) ? a : b;
    shard_owner &second = a.owns(0) ? b : a;

    section("its horizon counts from before the renewal was sent", [&] {
        pass(2, [&] { turn(second, true, true); });
        const time_point sent = now;
        const auto renewals = only<commit_shard>(first.handle(ownership_tick{}, now));
        require(renewals.size() == 1);
        now += seconds(4);
        const table_transaction &renewal = renewals[0].transaction;
        first.handle(shard_write_settled{renewal.operationId, platform.commit(renewal)}, now);
        check(first.mayGrantUntil(0) == sent + lease_settings().horizon);
        pass(2, [&] { turn(first, true, true), turn(second, true, true); });
    });
    section("the table is down: nobody takes over, and the owner may grant", [&] {
        pass(60, [&] { turn(first, false, false), turn(second, false, false); });
        turn(second, true, true);
        check(first.owns(0) && !second.owns(0));
        check(first.mayGrantUntil(0) > now);
        pass(5, [&] { turn(first, true, true), turn(second, true, true); });
        check(first.owns(0) && !second.owns(0));
    });
    section("the owner pauses: the other takes over, and the old one cannot renew", [&] {
        const time_point until = first.mayGrantUntil(0);
        const time_point start = now;
        while (!second.owns(0) && now - start < seconds(30))
            pass(1, [&] { turn(second, true, true); });
        check(second.owns(0));
        check(now - start <= seconds(10));
        check(until > now); // so a silent worker has to be waited for
        turn(first, false, true);
        check(first.mayGrantUntil(0) <= until);
        turn(first, true, true);
        check(!first.owns(0));
    });
    section("two entries decide to take it at the same moment: one of them gets it", [&] {
        memory_platform fresh;
        shard_owner c({"c", "z2"}, "c#1", shards, {});
        shard_owner d({"d", "z2"}, "d#1", shards, {});
        for (auto *owner : {&c, &d})
            owner->handle(shard_rows_read{{}, now}, now);
        const auto forC = only<commit_shard>(c.handle(ownership_tick{}, now));
        const auto forD = only<commit_shard>(d.handle(ownership_tick{}, now));
        require(forC.size() == 1 && forD.size() == 1);
        const auto &[one, other] = std::pair{forC[0].transaction, forD[0].transaction};
        c.handle(shard_write_settled{one.operationId, fresh.commit(one)}, now);
        d.handle(shard_write_settled{other.operationId, fresh.commit(other)}, now);
        check(c.owns(0) && !d.owns(0));
    });
    section("a planned stop hands over at once", [&] {
        for (const auto &action : only<commit_shard>(second.handle(release_shards{}, now))) {
            const write_result result = platform.commit(action.transaction);
            second.handle(shard_write_settled{action.transaction.operationId, result}, now);
        }
        check(second.released() && !second.owns(0));
        const time_point mustWait = newest->waitForSilentUntil;
        pass(4, [&] { turn(first, true, true); });
        check(first.owns(0));
        // The one before last did not stop as planned: its horizon still runs.
        check(newest->waitForSilentUntil >= mustWait);
        check(mustWait > now + seconds(1'000));
    });
}

} // namespace zinniabarrow::tests
