// What the platform's adapter makes of its messages, good and bad, and the parts around it: leases,
// the entries that live, the pace of what fills, the log.
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
    section("a good one", [] {
        const auto told = announcementFrom(announcement(GoodAnnouncement));
        require(told.has_value());
        check(told->id == "i-7");
        check(told->capacity == (task_size{16'000, 32'768, 0}));
        check(told->rack == "r1-3");
        check(told->bornMs == 17);
    });
    section("one by another writer names no worker", [] {
        check(!announcementFrom(announcement("\xff\x00{")));
        check(!announcementFrom(announcement("[]")));
        check(!announcementFrom(announcement(R"({"service":7})")));
        std::string unknownState = GoodAnnouncement;
        unknownState.replace(unknownState.find("ready"), 5, "dozes");
        check(!announcementFrom(announcement(unknownState)));
    });
}

Test(job_platform, the_store)
{
    section("values of any length survive their encoding", [] {
        for (const std::string value : {"", "a", "ab", "abc", "abcd"}) {
            row_transaction one;
            one.set.push_back({{"t", "p", "k"}, value, 0, false});
            const auto body = commitRequest(one).body;
            const auto from = body.find("\"value\":\"") + 9;
            const auto encoded = body.substr(from, body.find('"', from) - from);
            const auto page = rowsResult(answer(
                    200, R"({"rows":[{"table":"t","part":"p","key":"k","ver":3,"value":")" + encoded
                                 + R"("}],"more-pages":false,"ver":9,"now-ms":1})"));
            require(page.has_value() && page->rows.size() == 1);
            check(page->rows[0].value == value);
        }
    });
    section("an answer that is lost or can't be read leaves a write in doubt", [] {
        check(std::holds_alternative<in_doubt>(commitResult(call_failure::Late)));
        check(std::holds_alternative<in_doubt>(commitResult(call_failure::Cut)));
        check(std::holds_alternative<in_doubt>(commitResult(answer(200, "{"))));
        check(std::holds_alternative<in_doubt>(commitResult(answer(502, ""))));
    });
    section("a refusal does not", [] {
        check(std::holds_alternative<not_committed>(commitResult(call_failure::NotConnected)));
        check(std::holds_alternative<not_committed>(commitResult(answer(503, ""))));
        check(std::holds_alternative<not_committed>(commitResult(answer(429, ""))));
    });
    section("one row that can't be read hides no other", [] {
        const auto page =
                rowsResult(answer(200, R"({"rows":[{"table":"t","key":"bad","value":"*","ver":1},)"
                                       R"({"table":"t","key":"good","value":"YQ==","ver":2}],)"
                                       R"("more-pages":false,"ver":9})"));
        require(page.has_value() && page->rows.size() == 1);
        check(page->rows[0].name.key == "good");
    });
    section("history that is gone asks for everything anew", [] {
        const auto page = feedResult(answer(410, ""));
        check(page.has_value() && page->historyExpired);
        check(!feedResult(answer(503, "")).has_value());
    });
}

Test(job_platform, jobs_of_callers)
{
    const auto spec =
            jobFrom(R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,)"
                    R"("affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],"checkpointing":true,)"
                    R"("anti-affinity":2,"long-running":true,"target-ms":150,"may-miss":1}]})");
    check(spec.steps.size() == 2);
    check(spec.steps[0].dataRack == "r1-3");
    check(spec.steps[1].maxPerWorker == 2);
    check(spec.steps[1].isLongRunning && spec.steps[1].latencyTargetMs == 150);
    cr_expect_throw(jobFrom("{"), error);
    cr_expect_throw(jobFrom(R"({"steps":[]})"), error);
    cr_expect_throw(jobFrom(R"({"steps":[{"count":"4"}]})"), error);
    cr_expect_throw(jobFrom(R"({"steps":[{"count":1,"after":[0]}]})"), error);
}

Test(job_platform, answers_of_a_worker)
{
    check(startResult(answer(200, "{}")) == start_answer::Started);
    check(startResult(answer(409, R"({"reason":"late"})")) == start_answer::Refused);
    check(startResult(answer(503, "")) == start_answer::NotExecuted);
    check(startResult(call_failure::Late) == start_answer::Unanswered);
    check(startResult(call_failure::Cut) == start_answer::Unanswered);
    const auto looked = holdResult(
            answer(200, R"({"clock-ms":5,"born":9,"running":[["j.0.1.17",2,"c",41,25],["?"]],)"
                        R"("ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.9",1,"?",""]]})"));
    require(looked.has_value());
    check(looked->listing.running.size() == 1);
    check(looked->listing.running[0].measured == 25);
    check(looked->listing.ended.size() == 1);
    check(!holdResult(answer(200, "[]")).has_value());
}

// An entry watches the lease of a worker that nobody hears of. Without the store's clock it may
// take the lease only when the row was unchanged for the whole lease and margin on its own clock.
Test(job_platform, leases)
{
    lease_expiry_detector watch;
    time_point now{std::chrono::hours(1)};
    const lease_row untimed{4, 7, 12, "17", false, "w:7:12"};
    const auto over = [&](std::int64_t version) {
        return watch.observe("w", untimed, version, 0, now).isExpired;
    };
    check(!over(5));
    now += LeaseDuration;
    check(!over(5)); // a slow clock and the way here are not counted yet
    check(!over(6)); // renewed
    now += LeaseDuration + LeaseMargin;
    check(!over(6));
    now += milliseconds(200);
    check(over(6));
    const lease_row row{4, 7, 12, "17", true, "w:7:12", 99};
    check(toText(leaseFrom(toText(row))) == toText(row));
    cr_expect_throw(leaseFrom("{}"), error);
    section("the row of an agent of the release before", [] {
        const auto before = leaseFrom(R"({"epoch":4,"fence":7,"renewals":12,"life":"17",)"
                                      R"("ended":false,"write":"w:7:12"})");
        check(before.expiresAtMs == 0);
    });
}

// Callers see tasks that last stand still for 14 s and more. A worker and its agent are gone at
// once, and all entries are killed some seconds later: each life of a watcher counted the whole
// lease anew from when it first read the row, though nobody could have renewed it since. The row
// tells its end by the store's clock, which every life of every watcher reads alike.
Test(job_platform, lease_read_by_a_watcher_that_lives_anew)
{
    constexpr std::int64_t GoneMs = 5'000'000; // store's clock
    const time_point gone{std::chrono::hours(1)};
    lease_row row{4, 7, 12, "17", false, "w:7:12", GoneMs + LeaseDuration.count()};
    const auto over = [&](lease_expiry_detector &watch, milliseconds after) {
        return watch.observe("w", row, 5, GoneMs + after.count(), gone + after).isExpired;
    };
    lease_expiry_detector before;
    check(!over(before, seconds(3)));
    lease_expiry_detector after; // entries were killed and live anew
    check(!over(after, seconds(6)));
    check(over(after, TaskLostAfter));
    section("never while a run may go on", [&] {
        lease_expiry_detector early;
        check(!over(early, LeaseDuration + LeaseMargin));
        check(!over(early, durationOnSlowClock(LeaseDuration)));
    });
}

// Callers take a task that lasts for lost when nothing ran it for 9 s. The worst order: its agent
// renews the lease, and both lose power at once. The entries hear nothing, and each look at the
// lease says when the next one is worth its while.
Test(job_platform, a_worker_and_its_agent_are_gone)
{
    constexpr std::int64_t RenewedMs = 5'000'000; // store's clock
    constexpr milliseconds MaxNoticeTime{3700};   // three reports missed, then the next turn
    constexpr milliseconds MaxStartTime{300};     // a write, a placement and its order
    const time_point renewed{std::chrono::hours(1)};
    const lease_row row{4, 7, 12, "17", false, "w:7:12", RenewedMs + LeaseDuration.count()};
    lease_expiry_detector watch;
    auto now = renewed + MaxNoticeTime;
    int looks = 0;
    for (;; ++looks) {
        const auto storeMs = RenewedMs + (now - renewed) / milliseconds(1);
        const auto verdict = watch.observe("w", row, 5, storeMs, now);
        if (verdict.isExpired)
            break;
        require(verdict.checkAgainAt > now);
        now = verdict.checkAgainAt;
    }
    check(now + MaxStartTime < renewed + TaskLostAfter);
    check(looks <= 5);
}

// What an agent takes for the store's clock is never behind it: a row that told an end too early
// would let a task run in two places.
Test(job_platform, the_stores_clock)
{
    const time_point start{std::chrono::hours(1)};
    store_clock clock;
    check(clock.upperBoundMs(start) == 0);
    section("it was read after the call was sent, nobody knows when", [&] {
        clock.noteReading(5000, start, start + seconds(1));
        check(clock.upperBoundMs(start) == 5000);
        check(clock.upperBoundMs(start + seconds(1)) == 6000);
    });
    section("a quicker answer tells more, a slower one nothing", [&] {
        clock.noteReading(6700, start + seconds(2), start + milliseconds(2010));
        check(clock.upperBoundMs(start + seconds(2)) == 6700);
        clock.noteReading(8900, start + seconds(3), start + seconds(5));
        check(clock.upperBoundMs(start + milliseconds(2010)) == 6710);
    });
    section("an old answer counts for less with time, as clocks drift", [&] {
        const auto later = start + milliseconds(1'002'010);
        check(clock.upperBoundMs(later) == 6710 + 1'000'000 + 1000);
        clock.noteReading(1'007'000, later, later);
        check(clock.upperBoundMs(later) == 1'007'000);
    });
    section("an answer that doesn't tell it changes nothing", [&] {
        store_clock untold;
        untold.noteReading(0, start, start);
        check(untold.upperBoundMs(start) == 0);
    });
}

// A job's owner dies. Exactly one of the entries that live takes the job over, and none does before
// there was time to hear of everybody.
Test(job_platform, heirs)
{
    const time_point start{std::chrono::hours(1)};
    entry_directory atA("a", start);
    entry_directory atB("b", start);
    const owner_id dead{"c", 1};
    atA.updateRow("b", {1, "10.0.0.2:1", "10.0.0.2:2"});
    atB.updateRow("a", {1, "10.0.0.1:1", "10.0.0.1:2"});
    check(!atA.successorOf("j", dead, {"a", 1}, start + milliseconds(500)));
    const auto now = start + milliseconds(3000);
    atA.recordHeartbeat("b", 1, false, now);
    atB.recordHeartbeat("a", 1, false, now);
    for (const std::string job : {"j1", "j2", "j3", "j4"})
        check(atA.successorOf(job, dead, {"a", 1}, now)
              == atB.successorOf(job, dead, {"b", 1}, now));
    section("an entry takes back what its earlier life owned", [&] {
        check(atA.successorOf("j", {"a", 1}, {"a", 2}, now) == "a");
        check(!atA.successorOf("j", {"a", 2}, {"a", 2}, now));
    });
    section("what a leaving entry owns goes to others at once", [&] {
        check(!atA.successorOf("j", {"b", 1}, {"a", 1}, now));
        atA.recordHeartbeat("b", 1, true, now);
        check(atA.successorOf("j", {"b", 1}, {"a", 1}, now) == "a");
    });
}

// Entries that agree on who lives hand tasks that last to the same one of them.
Test(job_platform, one_entry_places_what_lasts)
{
    const time_point now{std::chrono::hours(1)};
    entry_directory atA("a", now);
    entry_directory atB("b", now);
    atA.updateRow("b", {1, "10.0.0.2:1", "10.0.0.2:2"});
    atB.updateRow("a", {1, "10.0.0.1:1", "10.0.0.1:2"});
    check(atA.placerOf("tickets", now) == "a"); // nothing was heard of b yet
    atA.recordHeartbeat("b", 1, false, now);
    atB.recordHeartbeat("a", 1, false, now);
    const auto placer = atA.placerOf("tickets", now);
    check(placer == atB.placerOf("tickets", now));
    const auto later = now + entry_directory::HeartbeatTimeout;
    check((placer == "a" ? atB : atA).placerOf("tickets", later) != placer);
}

// Callers that were refused in an outage of 4 to 9 s have four tries left: those are not used up
// before it ends.
Test(job_platform, callers_come_back_after_an_outage)
{
    check(suggestedRetryDelay(milliseconds(600)) == seconds(1));
    check(suggestedRetryDelay(milliseconds(999)) == seconds(1));
    check(suggestedRetryDelay(milliseconds(1000)) == seconds(2));
}

// Users of a serving run wait longer than its target because of what fills beside it. All that
// fills stands still for a moment, and goes on by itself also when the tail stays high.
Test(job_platform, what_fills_gives_way_for_a_moment)
{
    throttle_controller subject;
    time_point now{std::chrono::hours(1)};
    const best_effort_run filling{{"f", 0, 0, 0}, 1, "press", 2, 2};
    const auto look = [&](std::int64_t tailMs) {
        return subject.decide({{{"s", 0, 0, 0}, 1, "site", tailMs, 150}}, {filling}, now);
    };
    check(look(400).empty());
    now += milliseconds(2199);
    check(look(400).empty());
    now += milliseconds(1);
    const auto stopped = look(400);
    require(stopped.size() == 1);
    check(stopped[0].percent == 0);
    subject.noteConfirmed(stopped[0]);
    now += milliseconds(1299);
    check(look(400).empty());
    now += milliseconds(1);
    const auto again = look(400);
    require(again.size() == 1);
    check(again[0].percent == 100);
    subject.noteConfirmed(again[0]);
    section("a run that was in time meanwhile is counted anew", [&] {
        now += milliseconds(2000);
        check(look(100).empty());
        now += milliseconds(2300);
        check(look(400).empty()); // late since now
        now += milliseconds(2200);
        check(look(400).size() == 1);
    });
    section("a stop ends early when a sample shows that it helped", [&] {
        subject.noteConfirmed({filling.task, filling.run, 0});
        now += milliseconds(399);
        check(look(100).empty());
        now += milliseconds(1);
        check(look(100).size() == 1);
    });
}

// A peer sends what nobody foresaw, and the code that handles it throws. Other callers are served
// on.
Test(job_platform, a_callback_that_throws)
{
    net::event_loop loop;
    std::string heard;
    bool hasContinued = false;
    loop.post([] { throw error(error_kind::BadRequest, "unforeseen"); });
    loop.post([&] {
        hasContinued = true;
        loop.stop();
    });
    loop.run([&](const std::exception &problem) { heard = problem.what(); });
    check(hasContinued);
    check(heard.find("unforeseen") != std::string::npos);
}

// An operator's log reader stops reading. The process goes on; lines are dropped and counted.
Test(job_platform, a_log_reader_that_stops)
{
    int ends[2];
    require(::pipe(ends) == 0);
    const int before = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    {
        event_log log("entry", "e", {1'000'000, 300'000});
        for (int line = 0; line < 10'000; ++line) {
            log.note("job_submitted", {{"job", "j"}, {"queue", std::string(50, 'q')}});
            log.flush();
        }
        check(log.dropped() > 0);
    }
    ::dup2(before, STDOUT_FILENO);
    ::close(ends[0]);
    ::close(ends[1]);
    ::close(before);
}

// An answer that proves the store's clock to be later than the estimate allows (it was
// restarted elsewhere, or clocks drift more than is assumed) is passed over: each later row tells
// an end that is too early by as much, for as long as the agent lives.
Test(job_platform, the_stores_clock_is_ahead_of_its_estimate)
{
    const time_point start{std::chrono::hours(1)};
    store_clock clock;
    clock.noteReading(5000, start, start);
    const auto later = start + seconds(1);
    clock.noteReading(9000, later, later); // 6000 was the latest that it could show
    check(clock.upperBoundMs(later) >= 9000);
}

// Each entry that reads the row of a lease that another one has ended ends it once more: an
// agent that is back meanwhile loses its own write to each of them.
Test(job_platform, a_lease_that_has_been_ended)
{
    const time_point now{std::chrono::hours(1)};
    const lease_row row{5, 7, 12, "17", true, "entry-a:ends:5", 5'000'000};
    lease_expiry_detector watch;
    check(!watch.observe("w", row, 6, 5'010'000, now).isExpired);
}

// One exception ends a timer that repeats for good, while the process goes on: reports,
// renewals, the watch over silent workers.
Test(job_platform, a_timer_whose_callback_throws)
{
    net::event_loop loop;
    int turns = 0;
    loop.every(milliseconds(1), [&] {
        if (++turns == 1)
            throw error(error_kind::BadRequest, "once");
    });
    loop.after(milliseconds(300), [&] { loop.stop(); });
    loop.run([](const std::exception & /*counted by turns*/) {});
    check(turns > 1);
}
