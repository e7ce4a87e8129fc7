// Tests of the messages exchanged with the platform, valid and invalid ones, and of classes of
// entries and agents: leases, the directory of entries, pauses of best-effort runs, the event loop
// and the log.
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "app/entry_directory.h"
#include "base/errors.h"
#include "base/event_log.h"
#include "jobs/lease.h"
#include "jobs/retry_delay.h"
#include "jobs/throttle_controller.h"
#include "net/event_loop.h"
#include "platform/caller_wire.h"
#include "platform/store_wire.h"
#include "platform/worker_wire.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::platform_wire;
using zinniabarrow::tests::section;

namespace {

http_request announcement(const std::string &body)
{
    http_request request;
    request.method = "POST";
    request.target = "/-/instances/i-7/heartbeat";
    request.body = body;
    return request;
}

const char *GoodAnnouncement =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,)"
        R"("state":"ready","cold-remaining-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
        R"("labels":["a","r1-3"],"clock-ms":482113,"seq":4,"born":17})";

call_result answer(int status, const std::string &body)
{
    return http_response{status, {}, body};
}

} // namespace

Test(job_platform, announcements)
{
    section("a valid announcement is parsed", [] {
        const auto parsed = parseAnnouncement(announcement(GoodAnnouncement));
        require(parsed.has_value());
        check(parsed->id == "i-7");
        check(parsed->capacity == (task_size{16'000, 32'768, 0}));
        check(parsed->rack == "r1-3");
        check(parsed->startTimeMs == 17);
    });
    section("an invalid announcement is rejected", [] {
        check(!parseAnnouncement(announcement("\xff\x00{")));
        check(!parseAnnouncement(announcement("[]")));
        check(!parseAnnouncement(announcement(R"({"service":7})")));
        std::string unknownState = GoodAnnouncement;
        unknownState.replace(unknownState.find("ready"), 5, "other");
        check(!parseAnnouncement(announcement(unknownState)));
    });
}

Test(job_platform, store_messages)
{
    section("values of any length are encoded and decoded unchanged", [] {
        for (const std::string value : {"", "a", "ab", "abc", "abcd"}) {
            row_transaction transaction;
            transaction.set.push_back({{"t", "p", "k"}, value, 0, false});
            const auto body = makeCommitRequest(transaction).body;
            const auto from = body.find("\"value\":\"") + 9;
            const auto encoded = body.substr(from, body.find('"', from) - from);
            const auto page = parseRowsResult(answer(
                    200, R"({"rows":[{"table":"t","part":"p","key":"k","ver":3,"value":")" + encoded
                                 + R"("}],"more-pages":false,"ver":9,"now-ms":1})"));
            require(page.has_value() && page->rows.size() == 1);
            check(page->rows[0].value == value);
        }
    });
    section("a lost or unreadable answer leaves the outcome of a write unknown", [] {
        check(std::holds_alternative<in_doubt>(parseCommitResult(call_failure::TimedOut)));
        check(std::holds_alternative<in_doubt>(parseCommitResult(call_failure::IncompleteAnswer)));
        check(std::holds_alternative<in_doubt>(parseCommitResult(answer(200, "{"))));
        check(std::holds_alternative<in_doubt>(parseCommitResult(answer(502, ""))));
    });
    section("after a refusal the write is known not to have happened", [] {
        check(std::holds_alternative<not_committed>(parseCommitResult(call_failure::NotConnected)));
        check(std::holds_alternative<not_committed>(parseCommitResult(answer(503, ""))));
        check(std::holds_alternative<not_committed>(parseCommitResult(answer(429, ""))));
    });
    section("an unreadable row is skipped, the others are read", [] {
        const auto page = parseRowsResult(
                answer(200, R"({"rows":[{"table":"t","key":"bad","value":"*","ver":1},)"
                            R"({"table":"t","key":"good","value":"YQ==","ver":2}],)"
                            R"("more-pages":false,"ver":9})"));
        require(page.has_value() && page->rows.size() == 1);
        check(page->rows[0].name.key == "good");
    });
    section("lost history is reported, so that the whole table is read again", [] {
        const auto page = parseFeedResult(answer(410, ""));
        check(page.has_value() && page->historyExpired);
        check(!parseFeedResult(answer(503, "")).has_value());
    });
}

Test(job_platform, submitted_jobs)
{
    const auto spec = parseJobSpec(
            R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,)"
            R"("affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],"checkpointing":true,)"
            R"("anti-affinity":2,"long-running":true,"target-ms":150,"may-miss":1}]})");
    check(spec.steps.size() == 2);
    check(spec.steps[0].dataRack == "r1-3");
    check(spec.steps[1].maxPerWorker == 2);
    check(spec.steps[1].isLongRunning && spec.steps[1].latencyTargetMs == 150);
    cr_expect_throw(parseJobSpec("{"), error);
    cr_expect_throw(parseJobSpec(R"({"steps":[]})"), error);
    cr_expect_throw(parseJobSpec(R"({"steps":[{"count":"4"}]})"), error);
    cr_expect_throw(parseJobSpec(R"({"steps":[{"count":1,"after":[0]}]})"), error);
}

Test(job_platform, worker_answers_are_parsed)
{
    check(parseStartResult(answer(200, "{}")) == start_answer::Started);
    check(parseStartResult(answer(409, R"({"reason":"late"})")) == start_answer::Refused);
    check(parseStartResult(answer(503, "")) == start_answer::NotExecuted);
    check(parseStartResult(call_failure::TimedOut) == start_answer::Unanswered);
    check(parseStartResult(call_failure::IncompleteAnswer) == start_answer::Unanswered);
    const auto holdResult = parseHoldResult(
            answer(200, R"({"clock-ms":5,"born":9,"running":[["j.0.1.17",2,"c",41,25],["?"]],)"
                        R"("ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.9",1,"?",""]]})"));
    require(holdResult.has_value());
    check(holdResult->listing.running.size() == 1);
    check(holdResult->listing.running[0].measured == 25);
    check(holdResult->listing.ended.size() == 1);
    check(!parseHoldResult(answer(200, "[]")).has_value());
}

// An entry watches the lease of a silent worker. If the row does not give its end on the store's
// clock, the entry may end the lease only after the row was unchanged for the lease's duration and
// margin on the entry's own clock.
Test(job_platform, lease_row_without_an_end)
{
    lease_expiry_detector detector;
    time_point now{std::chrono::hours(1)};
    const lease_row rowWithoutEnd{4, 7, 12, "17", false, "w:7:12"};
    const auto hasExpired = [&](std::int64_t version) {
        return detector.observe("w", rowWithoutEnd, version, 0, now).isExpired;
    };
    check(!hasExpired(5));
    now += LeaseDuration;
    check(!hasExpired(5)); // slow clocks and the network delay are not covered yet
    check(!hasExpired(6)); // renewed
    now += LeaseDuration + LeaseMargin;
    check(!hasExpired(6));
    now += milliseconds(200);
    check(hasExpired(6));
    const lease_row row{4, 7, 12, "17", true, "w:7:12", 99};
    check(toText(leaseFrom(toText(row))) == toText(row));
    cr_expect_throw(leaseFrom("{}"), error);
    section("a row written by an agent of the previous release", [] {
        const auto oldRow = leaseFrom(R"({"epoch":4,"fence":7,"renewals":12,"life":"17",)"
                                      R"("ended":false,"write":"w:7:12"})");
        check(oldRow.expiresAtMs == 0);
    });
}

// Guards against long-running tasks that are down for 14 s and more. A worker is lost together with
// its agent, and all entries are killed some seconds later. A restarted watcher must not wait for
// the whole lease again from when it first reads the row, since nobody can have renewed it: the row
// gives its end on the store's clock, which is the same for all watchers.
Test(job_platform, lease_read_by_a_restarted_watcher)
{
    constexpr std::int64_t LostAtMs = 5'000'000; // store's clock
    const time_point lostAt{std::chrono::hours(1)};
    lease_row row{4, 7, 12, "17", false, "w:7:12", LostAtMs + LeaseDuration.count()};
    const auto hasExpired = [&](lease_expiry_detector &detector, milliseconds after) {
        return detector.observe("w", row, 5, LostAtMs + after.count(), lostAt + after).isExpired;
    };
    lease_expiry_detector firstDetector;
    check(!hasExpired(firstDetector, seconds(3)));
    lease_expiry_detector restartedDetector; // of an entry that was killed and restarted
    check(!hasExpired(restartedDetector, seconds(6)));
    check(hasExpired(restartedDetector, TaskLostAfter));
    section("the lease does not expire while a run may still be active", [&] {
        lease_expiry_detector runningDetector;
        check(!hasExpired(runningDetector, LeaseDuration + LeaseMargin));
        check(!hasExpired(runningDetector, durationOnSlowClock(LeaseDuration)));
    });
}

// Guards against a watcher that ends the lease of a worker while calls to the worker's earlier
// incarnation still hold its runs: their tasks would run twice.
Test(job_platform, lease_of_a_worker_that_earlier_calls_hold)
{
    constexpr std::int64_t RestartedAtMs = 5'000'000; // store's clock
    constexpr std::int64_t HeldUntilMs = RestartedAtMs + MaxHoldDuration.count();
    const time_point restartedAt{std::chrono::hours(1)};
    lease_row row{4, 7, 12, "17", false, "w:7:12", HeldUntilMs, HeldUntilMs};
    for (const bool isStoreClockKnown : {true, false}) {
        section(isStoreClockKnown ? "by the store's clock" : "without it", [&] {
            lease_expiry_detector detector;
            const auto hasExpired = [&](milliseconds after) {
                const auto storeMs = isStoreClockKnown ? RestartedAtMs + after.count() : 0;
                return detector.observe("w", row, 5, storeMs, restartedAt + after).isExpired;
            };
            check(!hasExpired(milliseconds(0)));
            check(!hasExpired(LeaseDuration + seconds(1)));
            check(!hasExpired(durationOnSlowClock(MaxHoldDuration)));
            check(hasExpired(MaxHoldDuration + seconds(1)));
        });
    }
}

// Callers count a long-running task as lost if it has not run for 9 s. In the worst case its agent
// renews the lease, and right after that agent and worker lose power. The entries get no more
// reports, and each check of the lease returns when to check next.
Test(job_platform, worker_and_agent_are_lost)
{
    constexpr std::int64_t RenewedAtMs = 5'000'000; // store's clock
    // Three missed reports, then the next check for silent workers.
    constexpr milliseconds MaxNoticeTime{3700};
    constexpr milliseconds MaxStartTime{300}; // for a write, a placement and its order
    const time_point renewedAt{std::chrono::hours(1)};
    const lease_row row{4, 7, 12, "17", false, "w:7:12", RenewedAtMs + LeaseDuration.count()};
    lease_expiry_detector detector;
    auto now = renewedAt + MaxNoticeTime;
    int checkCount = 0;
    for (;; ++checkCount) {
        const auto storeMs = RenewedAtMs + (now - renewedAt) / milliseconds(1);
        const auto verdict = detector.observe("w", row, 5, storeMs, now);
        if (verdict.isExpired)
            break;
        require(verdict.checkAgainAt > now);
        now = verdict.checkAgainAt;
    }
    check(now + MaxStartTime < renewedAt + TaskLostAfter);
    check(checkCount <= 5);
}

// An agent's estimate of the store's clock must never be behind that clock: a lease row with an end
// that is too early would let a task run in two places.
Test(job_platform, store_clock_estimate)
{
    const time_point start{std::chrono::hours(1)};
    store_clock clock;
    check(clock.upperBoundMs(start) == 0);
    section("the clock was read at an unknown time after the call was sent", [&] {
        clock.noteReading(5000, start, start + seconds(1));
        check(clock.upperBoundMs(start) == 5000);
        check(clock.upperBoundMs(start + seconds(1)) == 6000);
    });
    section("a faster answer improves the estimate, a slower one does not", [&] {
        clock.noteReading(6700, start + seconds(2), start + milliseconds(2010));
        check(clock.upperBoundMs(start + seconds(2)) == 6700);
        clock.noteReading(8900, start + seconds(3), start + seconds(5));
        check(clock.upperBoundMs(start + milliseconds(2010)) == 6710);
    });
    section("the store can't have read its clock after the answer arrived", [&] {
        store_clock slowClock;
        slowClock.noteReading(5000, start, start + seconds(1));
        check(slowClock.lowerBoundMs(start + seconds(1)) == 5000);
        check(slowClock.lowerBoundMs(start + seconds(2)) == 5999); // less the drift
    });
    section("the estimate from an old answer grows less precise, as clocks drift", [&] {
        const auto later = start + milliseconds(1'002'010);
        check(clock.upperBoundMs(later) == 6710 + 1'000'000 + 1000);
        clock.noteReading(1'007'000, later, later);
        check(clock.upperBoundMs(later) == 1'007'000);
    });
    section("an answer without the store's clock changes nothing", [&] {
        store_clock unreadClock;
        unreadClock.noteReading(0, start, start);
        check(unreadClock.upperBoundMs(start) == 0);
        check(unreadClock.lowerBoundMs(start) == 0);
    });
}

// When a job's owner dies, exactly one of the live entries takes the job over. None does so before
// all entries had time to send a heartbeat.
Test(job_platform, one_successor_takes_a_job_over)
{
    const time_point start{std::chrono::hours(1)};
    entry_directory directoryOfA("a", start);
    entry_directory directoryOfB("b", start);
    const owner_id deadOwner{"c", 1};
    directoryOfA.updateRow("b", {1, "10.0.0.2:1", "10.0.0.2:2"});
    directoryOfB.updateRow("a", {1, "10.0.0.1:1", "10.0.0.1:2"});
    check(!directoryOfA.successorOf("j", deadOwner, {"a", 1}, start + milliseconds(500)));
    const auto now = start + milliseconds(3000);
    directoryOfA.recordHeartbeat("b", 1, false, now);
    directoryOfB.recordHeartbeat("a", 1, false, now);
    for (const std::string job : {"j1", "j2", "j3", "j4"})
        check(directoryOfA.successorOf(job, deadOwner, {"a", 1}, now)
              == directoryOfB.successorOf(job, deadOwner, {"b", 1}, now));
    section("an entry takes over the jobs of its own earlier incarnation", [&] {
        check(directoryOfA.successorOf("j", {"a", 1}, {"a", 2}, now) == "a");
        check(!directoryOfA.successorOf("j", {"a", 2}, {"a", 2}, now));
    });
    section("the jobs of a leaving entry are taken over at once", [&] {
        check(!directoryOfA.successorOf("j", {"b", 1}, {"a", 1}, now));
        directoryOfA.recordHeartbeat("b", 1, true, now);
        check(directoryOfA.successorOf("j", {"b", 1}, {"a", 1}, now) == "a");
    });
}

// Entries that agree on which entries are alive hand long-running tasks to the same one of them.
Test(job_platform, one_entry_places_long_running_tasks)
{
    const time_point now{std::chrono::hours(1)};
    entry_directory directoryOfA("a", now);
    entry_directory directoryOfB("b", now);
    directoryOfA.updateRow("b", {1, "10.0.0.2:1", "10.0.0.2:2"});
    directoryOfB.updateRow("a", {1, "10.0.0.1:1", "10.0.0.1:2"});
    check(directoryOfA.placerOf("tickets", now) == "a"); // no heartbeat of b yet
    directoryOfA.recordHeartbeat("b", 1, false, now);
    directoryOfB.recordHeartbeat("a", 1, false, now);
    const auto placer = directoryOfA.placerOf("tickets", now);
    check(placer == directoryOfB.placerOf("tickets", now));
    const auto later = now + entry_directory::HeartbeatTimeout;
    check((placer == "a" ? directoryOfB : directoryOfA).placerOf("tickets", later) != placer);
}

// Callers that were refused in an outage of 4 to 9 s have four retries. The Retry-After times must
// be long enough that the retries are not used up before the outage ends.
Test(job_platform, callers_retry_after_an_outage)
{
    check(suggestedRetryDelay(milliseconds(600)) == seconds(1));
    check(suggestedRetryDelay(milliseconds(999)) == seconds(1));
    check(suggestedRetryDelay(milliseconds(1000)) == seconds(2));
}

// Users of a serving run wait longer than its latency target because of best-effort runs next to
// it. All best-effort runs are paused for a short time, and resume by themselves even if the tail
// latency stays high.
Test(job_platform, best_effort_runs_are_paused_briefly)
{
    throttle_controller controller;
    time_point now{std::chrono::hours(1)};
    const best_effort_run filling{{"f", 0, 0, 0}, 1, "press", 2, 2};
    const auto updateWithTail = [&](std::int64_t tailMs) {
        return controller.decideSpeeds({{{"s", 0, 0, 0}, 1, "site", tailMs, 150}}, {filling}, now);
    };
    check(updateWithTail(400).empty());
    now += milliseconds(2199);
    check(updateWithTail(400).empty());
    now += milliseconds(1);
    const auto paused = updateWithTail(400);
    require(paused.size() == 1);
    check(paused[0].percent == 0);
    controller.noteConfirmed(paused[0]);
    now += milliseconds(1299);
    check(updateWithTail(400).empty());
    now += milliseconds(1);
    const auto resumed = updateWithTail(400);
    require(resumed.size() == 1);
    check(resumed[0].percent == 100);
    controller.noteConfirmed(resumed[0]);
    section("the late time counts from the start again after the target was met", [&] {
        now += milliseconds(2000);
        check(updateWithTail(100).empty());
        now += milliseconds(2300);
        check(updateWithTail(400).empty()); // late from now on
        now += milliseconds(2200);
        check(updateWithTail(400).size() == 1);
    });
    section("a pause ends early when a sample shows that it helped", [&] {
        controller.noteConfirmed({filling.task, filling.run, 0});
        now += milliseconds(399);
        check(updateWithTail(100).empty());
        now += milliseconds(1);
        check(updateWithTail(100).size() == 1);
    });
}

// Guards against users who wait too long for seconds on end: samples are rough, and each one below
// the target among many above it put the pause of the best-effort runs off by its whole delay.
Test(job_platform, a_sample_below_the_target_puts_no_pause_off)
{
    constexpr milliseconds SampleInterval{250};
    constexpr int SamplesPerDip = 5;
    // Users bear 4.5 s. A sample covers half a second, and a call takes effect within 0.1 s.
    constexpr milliseconds LatestPause{3900};
    const best_effort_run filling{{"f", 0, 0, 0}, 1, "press", 2, 2};
    for (int firstDip = 1; firstDip < SamplesPerDip; ++firstDip) {
        throttle_controller controller;
        const time_point start{std::chrono::hours(1)};
        auto now = start;
        const auto isPaused = [&](int sample) {
            const int tailMs = sample % SamplesPerDip == firstDip ? 145 : 160;
            return !controller
                            .decideSpeeds({{{"s", 0, 0, 0}, 1, "site", tailMs, 150}}, {filling},
                                          now)
                            .empty();
        };
        for (int sample = 0; now <= start + LatestPause && !isPaused(sample); ++sample)
            now += SampleInterval;
        check(now <= start + LatestPause);
    }
}

// A peer sends unexpected data, and the code that handles it throws. Other callers must still be
// served.
Test(job_platform, callback_that_throws)
{
    net::event_loop loop;
    std::string reportedError;
    bool hasContinued = false;
    loop.post([] { throw error(error_kind::BadRequest, "unforeseen"); });
    loop.post([&] {
        hasContinued = true;
        loop.stop();
    });
    loop.run([&](const std::exception &problem) { reportedError = problem.what(); });
    check(hasContinued);
    check(reportedError.find("unforeseen") != std::string::npos);
}

// The process must go on when the reader of its log stops reading; lines are then dropped and
// counted.
Test(job_platform, log_reader_that_stops_reading)
{
    int pipeEnds[2];
    require(::pipe(pipeEnds) == 0);
    const int originalStdout = ::dup(STDOUT_FILENO);
    ::dup2(pipeEnds[1], STDOUT_FILENO);
    {
        event_log log("entry", "e", {1'000'000, 300'000});
        for (int line = 0; line < 10'000; ++line) {
            log.writeEvent("job_submitted", {{"job", "j"}, {"queue", std::string(50, 'q')}});
            log.flush();
        }
        check(log.droppedCount() > 0);
    }
    ::dup2(originalStdout, STDOUT_FILENO);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
    ::close(originalStdout);
}

// Guards against ignoring an answer that proves the store's clock to be ahead of the estimate (the
// store was restarted elsewhere, or clocks drift more than assumed). Each later lease row would
// then give an end that is too early by the difference, for as long as the agent runs.
Test(job_platform, store_clock_ahead_of_its_estimate)
{
    const time_point start{std::chrono::hours(1)};
    store_clock clock;
    clock.noteReading(5000, start, start);
    const auto later = start + seconds(1);
    clock.noteReading(9000, later, later); // by the estimate it could show 6000 at most
    check(clock.upperBoundMs(later) >= 9000);
}

// Guards against entries that end a lease again after another entry has ended it: each such write
// would make a write of a restarted agent fail.
Test(job_platform, lease_that_was_already_ended)
{
    const time_point now{std::chrono::hours(1)};
    const lease_row row{5, 7, 12, "17", true, "entry-a:ends:5", 5'000'000};
    lease_expiry_detector detector;
    check(!detector.observe("w", row, 6, 5'010'000, now).isExpired);
}

// Guards against a repeating timer that stops for good after one exception while the process goes
// on: reports, lease renewals and the check for silent workers depend on such timers.
Test(job_platform, timer_whose_callback_throws)
{
    net::event_loop loop;
    int callCount = 0;
    loop.runEvery(milliseconds(1), [&] {
        if (++callCount == 1)
            throw error(error_kind::BadRequest, "once");
    });
    loop.runAfter(milliseconds(300), [&] { loop.stop(); });
    loop.run([](const std::exception & /*the test counts calls instead*/) {});
    check(callCount > 1);
}
