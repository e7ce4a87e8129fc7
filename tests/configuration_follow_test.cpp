// Tests how an entry applies a new configuration of any size, and what it answers meanwhile.
#include <cstdlib>
#include <new>
#include <string>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "jobs/configuration_tracker.h"
#include "jobs/queues.h"
#include "net/answer_deadline.h"
#include "platform/configuration_wire.h"
#include "platform/store_wire.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

std::size_t allocatedBytes = 0;

} // namespace

// Not inlined: otherwise the compiler warns of mismatched pairs of new and delete.
[[gnu::noinline]] void *operator new(std::size_t bytes)
{
    allocatedBytes += bytes;
    if (void *block = std::malloc(bytes))
        return block;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *block) noexcept
{
    std::free(block);
}

[[gnu::noinline]] void operator delete(void *block, std::size_t /*bytes*/) noexcept
{
    std::free(block);
}

namespace {

constexpr time_point Start{std::chrono::hours(1)};

std::string configurationOf(int routes)
{
    std::string text = R"({"version":7,"routes":[)";
    for (int index = 0; index < routes; ++index) {
        text += fmt::format(
                R"({}{{"name":"r-{:07}","host":"host{}.example","prefix":"/queue{}/","kind":"unsafe",)"
                R"("timeout-ms":3000,"target-latency-ms":2500,"priority":1,"service":"placement",)"
                R"("max-attempts":3,"stretch":2.2}})",
                index == 0 ? "" : ",", index, index % 3, index);
    }
    return text + R"(],"services":[],"limits":{}})";
}

queue_table tableOf(int routes)
{
    return queue_table(platform_wire::parseConfiguration(configurationOf(routes)));
}

std::string feedAnswerWith(const std::string &value)
{
    row_transaction transaction;
    transaction.set.push_back({platform_wire::ConfigurationRowName, value, 0, false});
    const auto body = platform_wire::makeCommitRequest(transaction).body;
    const auto from = body.find("\"value\":\"") + 9;
    return R"({"rows":[{"table":"op","part":"","key":"config","ver":3,"value":")"
           + body.substr(from, body.find('"', from) - from) + R"("}],"ver":9,"now-ms":1})";
}

// Network link and processor share of the slowest instances that serve callers.
constexpr double LinkBytesPerSecond = 10e6 / 8;
constexpr double CoreShare = 0.069;
// Processor time of a whole core for one route: 26,000 instructions, at five a nanosecond, to read
// the answer, decode its base64, parse the route and insert it into the table.
constexpr double WorkPerRouteUs = 5;

struct update_timing
{
    bool inTime = true;      // the call did not time out
    double totalSeconds = 0; // from the first byte of the answer until the version is applied
};

// The answer arrives over the link in parts of 64 KB, the first at the very end of the feed's wait.
update_timing simulateUpdate(int routes)
{
    const auto bytes = static_cast<double>(feedAnswerWith(configurationOf(routes)).size());
    constexpr double PartBytes = 65536;
    const auto feedWait = milliseconds(1150);
    net::answer_deadline deadline({feedWait, milliseconds(1500), feedWait + seconds(20)}, Start);
    const auto answerStartedAt = Start + feedWait - milliseconds(1);
    update_timing result;
    double sent = 0;
    while (sent < bytes) {
        sent = std::min(bytes, sent + PartBytes);
        const auto at = answerStartedAt
                        + microseconds(static_cast<std::int64_t>((sent - std::min(sent, PartBytes))
                                                                 / LinkBytesPerSecond * 1e6));
        result.inTime = result.inTime && at <= deadline.currentDeadline();
        deadline.extendAfterPart(at);
    }
    result.totalSeconds = bytes / LinkBytesPerSecond + routes * WorkPerRouteUs / 1e6 / CoreShare;
    return result;
}

} // namespace

// The slowest instance has to apply a new version of each size that the fleet may grow to. The
// processing must not last for 1.6 s: an entry that is silent for that long counts as dead.
Test(configuration_follow, time_to_apply_on_the_slowest_instance)
{
    struct bound
    {
        int routes;
        double seconds;
    };
    for (const auto &size : {bound{1400, 0.6}, bound{5000, 1.8}, bound{20'000, 7.0}}) {
        const auto timing = simulateUpdate(size.routes);
        section(fmt::format("{} routes: {:.2f} s", size.routes, timing.totalSeconds), [&] {
            check(timing.inTime);
            check(timing.totalSeconds < size.seconds);
            check(size.routes * WorkPerRouteUs / 1e6 / CoreShare < 1.6);
        });
    }
}

// Guards against work that grows faster than the number of routes, such as copies of the table or
// additional parse trees. The allocated memory stands for the work.
Test(configuration_follow, work_is_linear_in_the_routes)
{
    const auto bytesPerRoute = [](int routes) {
        const auto body = feedAnswerWith(configurationOf(routes));
        const call_result result = http_response{200, {}, body};
        const auto before = allocatedBytes;
        const auto page = platform_wire::parseFeedResult(result);
        const queue_table table(platform_wire::parseConfiguration(page->rows.at(0).value));
        check(table.size() == static_cast<std::size_t>(routes));
        return static_cast<double>(allocatedBytes - before) / routes;
    };
    const auto bytesOfSmallTable = bytesPerRoute(1400);
    check(bytesPerRoute(5000) < bytesOfSmallTable * 1.5);
    check(bytesPerRoute(20'000) < bytesOfSmallTable * 1.5);
    section("the cost of a request does not depend on the table's size", [] {
        const auto table = tableOf(20'000);
        check(table.prefixLengthCount() <= 5);
        const auto before = allocatedBytes;
        check(table.find("host1.example:80", "/queue4/5c0e7a21d94b36f8").has_value());
        check(allocatedBytes - before < 256);
    });
}

Test(configuration_follow, the_longest_prefix_selects_the_queue)
{
    const queue_table table(
            {7, {{"a", "/x/", {}}, {"a", "/x/y/", {}}, {"b", "/", {}}, {"a", "/x/", {}}}});
    check(table.find("a", "/x/y/job")->job == "job");
    check(table.find("a:80", "/x/yy")->job == "yy");
    check(table.find("b", "/x/y/job")->job == "x/y/job");
    check(!table.find("a", "/x"));
    check(!table.find("c", "/x/"));
}

Test(configuration_follow, parses_the_operators_configuration)
{
    const auto parsed = platform_wire::parseConfiguration(configurationOf(2));
    require(parsed.routes.size() == 2);
    check(parsed.version == 7);
    check(parsed.routes[1].policy.queue == "r-0000001");
    check(parsed.routes[1].policy.maxAttempts == 3);
    check(parsed.routes[1].policy.stretch == 2.2);
    section("malformed configurations are rejected", [] {
        for (const auto *text : {"{", "[]", R"({"version":"7","routes":[]})", R"({"version":7})",
                                 R"({"version":7,"routes":[7]})", "\xff",
                                 R"({"version":7,"routes":[{"host":"a","prefix":"/"}]})",
                                 R"({"version":7,"routes":[]} x)"}) {
            cr_expect_throw(platform_wire::parseConfiguration(text), error);
        }
    });
}

// Each entry reads a hundred rows of jobs a second. A malformed row has to be rejected with an
// error that can be handled, so that no other writer's mistake stops the process.
Test(configuration_follow, job_records)
{
    job_record record;
    record.owner = {"entry-1", 3};
    record.writeId = "w";
    record.policy = {"queue", "service", 2, 3, 1.5, 2500};
    record.steps = {step_spec{}, step_spec{}};
    record.steps[0].count = 2;
    record.steps[1].after = {0};
    record.steps[1].isLongRunning = true;
    record.tasks = {{{task_state{true, 1, 0, "", {}}, task_state{}},
                     {task_state{false, 4, 1, "point", {{"agent-7", 12, 4}, {"agent-8", 1, 5}}}}}};
    const auto text = toText(record);
    check(toText(recordFrom(text)) == text);
    check(recordFrom(text).tasks[0][1][0].placements[1].worker == "agent-8");
    for (const std::string bad :
         {"", "{", "[]", R"({"v":2})", R"({"v":1,"s":7})", R"({"v":1,"t":[7]})",
          R"({"v":1,"t":[[7]]})", R"({"v":1,"s":[7]})", R"({"v":1,"o":7})", R"({"v":1,"q":[]})",
          R"({"v":1,"s":[{}],"t":[[[{"p":[["a",1]]}]]]})", R"({"v":1,"s":[{}],"t":[[]]})",
          R"({"v":1,"s":[{"n":-1}]})", R"({"v":1,"s":[{}],"t":[[["x"]]]})"}) {
        cr_expect_throw(recordFrom(bad), error);
    }
}

// Guards against wrong answers by an entry that is still reading a version that is acknowledged and
// applied elsewhere. For seconds it told callers that a queue of the new version doesn't exist, or
// ran jobs of a queue that was removed.
Test(configuration_follow, an_outdated_entry_does_not_answer_from_an_old_version)
{
    configuration_tracker tracker;
    auto now = Start;
    check(tracker.freshness(now)
          == configuration_freshness::PossiblyOutdated); // nothing was read yet
    tracker.recordAppliedVersion(7);
    tracker.recordAnswerRead(now);
    check(tracker.freshness(now) == configuration_freshness::Current);
    section("another entry applies a newer version", [&] {
        tracker.recordOtherEntryVersion(6, now);
        tracker.recordOtherEntryVersion(7, now);
        check(tracker.freshness(now) == configuration_freshness::Current);
        tracker.recordOtherEntryVersion(9, now);
        check(tracker.freshness(now) == configuration_freshness::PossiblyOutdated);
        now += configuration_tracker::MaxUnreadTime;
        tracker.recordOtherEntryVersion(9, now); // repeated with each ping
        tracker.recordAnswerRead(now);
        check(tracker.freshness(now) == configuration_freshness::PossiblyOutdated);
        check(tracker.freshness(now + milliseconds(1)) == configuration_freshness::Outdated);
        tracker.recordAppliedVersion(8);
        check(tracker.freshness(now + milliseconds(1)) == configuration_freshness::Outdated);
        tracker.recordAppliedVersion(9);
        check(tracker.freshness(now) == configuration_freshness::Current);
    });
    section("an answer with changes starts and breaks off", [&] {
        tracker.recordAnswerStart(60, now); // no changes
        check(tracker.freshness(now) == configuration_freshness::Current);
        tracker.recordAnswerStart(350'000, now);
        check(tracker.freshness(now) == configuration_freshness::PossiblyOutdated);
        now += configuration_tracker::MaxUnreadTime + milliseconds(1);
        tracker.recordAnswerStart(350'000, now);
        check(tracker.freshness(now) == configuration_freshness::Outdated);
        tracker.recordAnswerRead(now);
        check(tracker.freshness(now) == configuration_freshness::Current);
    });
    section("the version is no longer confirmed", [&] {
        now += configuration_tracker::MaxUnconfirmedTime;
        check(tracker.isConfirmed(now));
        now += milliseconds(1);
        check(!tracker.isConfirmed(now));
        check(tracker.freshness(now) == configuration_freshness::PossiblyOutdated);
    });
}

// A peer that sends a byte now and then must not keep a call open for ever.
Test(configuration_follow, an_answer_is_late_when_it_stalls_or_never_ends)
{
    net::answer_deadline deadline({milliseconds(150), milliseconds(1500), seconds(20)}, Start);
    check(deadline.currentDeadline() == Start + milliseconds(150));
    deadline.extendAfterPart(Start + milliseconds(140));
    check(deadline.currentDeadline() == Start + milliseconds(1640));
    deadline.extendAfterPart(Start + seconds(19));
    check(deadline.currentDeadline() == Start + seconds(20));
}
