// Admission control in front of one upstream: limits, deadlines, fairness, overload, drain.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "overload_scenario.h"
#include "request/latency_window.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::request;
using tests::section;

namespace {

// An admission with a manual clock; records which requests were started and refused.
struct admission_fixture
{
    explicit admission_fixture(admission_settings settings = {})
        : controller(settings)
    { }

    void handle(const admission::event &newEvent)
    {
        for (const auto &action : controller.handle(newEvent, now)) {
            if (const auto *startAction = std::get_if<admission::start>(&action))
                started.push_back(startAction->id);
            if (const auto *refusal = std::get_if<admission::refuse>(&action))
                refused[refusal->id] = *refusal;
        }
    }

    void arrive(const std::string &id, milliseconds timeout, const std::string &team = "club",
                int priority = 0)
    {
        handle(admission::arrived{id, "tickets", team, priority, now + timeout});
    }

    // Sends `count` requests whose ids are `prefix` and a number.
    void arriveMany(const std::string &prefix, int count, milliseconds timeout,
                    const std::string &team = "club")
    {
        for (int i = 0; i < count; ++i)
            arrive(prefix + std::to_string(i), timeout, team);
    }

    void finish(const std::string &id, milliseconds elapsedTime, milliseconds slowCallerTime = {},
                bool isComplete = true)
    {
        handle(admission::finished{id, elapsedTime, slowCallerTime, isComplete});
    }

    bool hasStarted(const std::string &id) const
    {
        return std::find(started.begin(), started.end(), id) != started.end();
    }

    bool wasRefused(const std::string &id, error_kind kind) const
    {
        const auto found = refused.find(id);
        return found != refused.end() && found->second.errorKind == kind;
    }

    admission controller;
    time_point now{seconds(100)};
    std::vector<std::string> started;
    std::map<std::string, admission::refuse> refused;
};

constexpr milliseconds LongTimeout{10 * 1000};

} // namespace

Test(admission, limits)
{
    section("eight requests run at the same time, never nine", [] {
        admission_fixture fixture;
        fixture.arriveMany("r", 20, LongTimeout);
        check(fixture.started.size() == 8);
        check(fixture.controller.waitingCount() == 12);
        section("a finished request frees its slot", [&] {
            fixture.finish("r0", milliseconds(20));
            check(fixture.started.size() == 9);
        });
        section("a duplicate finish frees no second slot", [&] {
            fixture.finish("r0", milliseconds(20));
            check(fixture.started.size() == 9);
            check(fixture.controller.counters().ignored == 1);
        });
        section("a duplicate arrival starts no second request", [&] {
            fixture.arrive("r1", LongTimeout);
            check(fixture.controller.runningCount() == 8
                  && fixture.controller.waitingCount() == 11);
        });
        section("a running request that is cancelled keeps its slot", [&] {
            fixture.handle(admission::cancelled{"r1"});
            check(fixture.started.size() == 9 && fixture.controller.runningCount() == 8);
        });
    });
    section("unusable connections count against the limit of 64", [] {
        admission_fixture fixture;
        fixture.handle(admission::connections_changed{60});
        fixture.arriveMany("r", 8, LongTimeout);
        check(fixture.started.size() == 4);
        fixture.handle(admission::connections_changed{59});
        check(fixture.started.size() == 5);
    });
    section("the length of the queue is limited", [] {
        admission_fixture fixture;
        fixture.arriveMany("r", 8 + 16 + 1, LongTimeout);
        check(fixture.controller.waitingCount() == 16);
        check(fixture.wasRefused("r24", error_kind::QueueFull));
    });
}

// A request that can't end before its deadline is refused on arrival with `deadline_too_close`,
// `executed: no` and a Retry-After. Eight requests of 20 ms (deviation 10 ms) are running; a
// request that waits for the first free slot ends after 40 ms and needs a margin of 10 ms, one in
// the second round needs 20 ms more.
Test(admission, deadlinesByQueuePosition)
{
    admission_fixture fixture;
    fixture.arriveMany("running", 8, LongTimeout);
    section("the first round needs 50 ms", [&] {
        fixture.arrive("a", milliseconds(49));
        check(fixture.wasRefused("a", error_kind::DeadlineTooClose));
        check(fixture.refused["a"].retryAfter >= milliseconds(20));
        fixture.arrive("b", milliseconds(50));
        check(!fixture.refused.contains("b"));
    });
    section("the second round needs 70 ms", [&] {
        fixture.arriveMany("first", 7, milliseconds(50));
        fixture.arrive("c", milliseconds(69));
        check(fixture.wasRefused("c", error_kind::DeadlineTooClose));
        fixture.arrive("d", milliseconds(70));
        check(!fixture.refused.contains("d"));
    });
    section("after its deadline a request is refused without a Retry-After", [&] {
        fixture.arrive("e", milliseconds(0));
        check(fixture.wasRefused("e", error_kind::DeadlinePassed));
        check(fixture.refused["e"].retryAfter.count() == 0);
    });
}

// The upstream is frozen (SIGSTOP), so nothing finishes. A request with one second left is refused
// near the middle of that second, while its caller can still use another upstream, because an
// overdue request is expected to need as long again. It must not be held until its deadline.
Test(admission, frozenUpstream)
{
    admission_fixture fixture;
    fixture.arriveMany("running", 8, LongTimeout);
    fixture.arrive("waiting", milliseconds(1000));
    const time_point startedAt = fixture.now;
    while (fixture.refused.empty() && fixture.now < startedAt + seconds(2)) {
        fixture.now += milliseconds(10);
        fixture.handle(admission::tick{});
    }
    check(fixture.wasRefused("waiting", error_kind::DeadlineTooClose));
    check(fixture.now - startedAt == milliseconds(500));
    section("later requests with one second left are refused at once", [&] {
        fixture.now = startedAt + seconds(2);
        fixture.arrive("later", milliseconds(1000));
        check(fixture.wasRefused("later", error_kind::DeadlineTooClose));
    });
}

// A slow period raised the estimated service time far above every deadline. The upstream is fast
// again; if every request were refused, nothing would run and the estimate could never fall.
Test(admission, recoversAfterSlowPeriod)
{
    admission_fixture fixture;
    for (int i = 0; i < 30; ++i) {
        fixture.arrive("slow" + std::to_string(i), LongTimeout * 10);
        fixture.finish("slow" + std::to_string(i), milliseconds(5000));
    }
    int answered = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = "quick" + std::to_string(i);
        fixture.arrive(id, milliseconds(400));
        answered += fixture.hasStarted(id) ? 1 : 0;
        if (fixture.hasStarted(id))
            fixture.finish(id, milliseconds(20));
    }
    check(answered == 200);
    check(fixture.controller.serviceTime("tickets") < milliseconds(30));
}

// Guards against requests with short deadlines being refused because another caller read its large
// answer slowly, which must not count as service time.
Test(admission, callersThatReadSlowly)
{
    const auto acceptsShortDeadlines = [](admission_fixture &subject) {
        subject.arrive("long", LongTimeout);
        subject.arrive("short", milliseconds(1500));
        return subject.hasStarted("long") && subject.hasStarted("short");
    };
    const auto fixtureAfterAnswers = [](milliseconds elapsedTime, milliseconds slowCallerTime,
                                        bool isComplete) {
        admission_fixture subject;
        for (int index = 0; index < 20; ++index) {
            const auto id = "before" + std::to_string(index);
            subject.arrive(id, LongTimeout);
            subject.finish(id, elapsedTime, slowCallerTime, isComplete);
        }
        return subject;
    };
    section("the time of slow callers is not service time", [&] {
        auto subject = fixtureAfterAnswers(milliseconds(9000), milliseconds(8900), true);
        check(acceptsShortDeadlines(subject));
    });
    section("a slow service raises the estimate", [&] {
        auto subject = fixtureAfterAnswers(milliseconds(9000), milliseconds(1000), true);
        check(!acceptsShortDeadlines(subject));
    });
    section("the time until an answer breaks off is service time", [&] {
        auto subject = fixtureAfterAnswers(milliseconds(20), milliseconds(0), true);
        for (int index = 0; index < 20; ++index) {
            const auto id = "cut" + std::to_string(index);
            subject.arrive(id, LongTimeout);
            subject.finish(id, milliseconds(9000), milliseconds(1), false);
        }
        check(!acceptsShortDeadlines(subject));
    });
    section("an answer whose caller disconnected does not lower the estimate", [&] {
        auto subject = fixtureAfterAnswers(milliseconds(4000), milliseconds(0), true);
        for (int index = 0; index < 20; ++index) {
            const auto id = "left" + std::to_string(index);
            subject.arrive(id, LongTimeout);
            subject.finish(id, milliseconds(2000), milliseconds(1990), false);
        }
        check(!acceptsShortDeadlines(subject));
    });
}

// One team's requests fill the queue of an upstream; then another team sends one request. The team
// that fills the queue loses its newest request, and the other team's request starts next.
Test(admission, teams)
{
    section("one request of another team gets into a full queue and starts first", [] {
        admission_fixture fixture;
        fixture.arriveMany("flood", 24, LongTimeout, "school");
        fixture.arrive("gate", LongTimeout, "parent");
        check(fixture.wasRefused("flood23", error_kind::FairShareExceeded));
        fixture.finish("flood0", milliseconds(20));
        check(fixture.started.back() == "gate");
    });
    section("a team that was idle for a long time has no credit", [] {
        admission_fixture fixture;
        for (int i = 0; i < 1000; ++i) {
            fixture.arrive("busy" + std::to_string(i), LongTimeout, "school");
            fixture.finish("busy" + std::to_string(i), milliseconds(20));
        }
        fixture.arriveMany("s", 16, LongTimeout, "school");
        fixture.arriveMany("p", 8, LongTimeout, "parent");
        fixture.started.clear();
        for (int i = 0; i < 8; ++i)
            fixture.finish("s" + std::to_string(i), milliseconds(20));
        const auto parents = std::count_if(fixture.started.begin(), fixture.started.end(),
                                           [](const auto &id) { return id[0] == 'p'; });
        check(parents >= 4 && parents <= 7);
    });
    section("a team within its share is not affected by one that sends seven times its share", [] {
        const auto result = runOverload({{"flood", 1400.0}, {"light", 100.0}}, seconds(20));
        check(result.onTimeByTeam.at("light") > 0.97 * 20 * 100 * 0.95);
        check(result.onTimeByTeam.at("flood") > 20 * 250);
    });
}

Test(admission, priorities)
{
    admission_fixture fixture;
    fixture.arriveMany("running", 8, LongTimeout);
    fixture.arriveMany("plain", 15, LongTimeout);
    fixture.arrive("urgent", LongTimeout, "club", 5);
    section("a full queue loses the newest request of the lowest priority", [&] {
        fixture.arrive("urgent2", LongTimeout, "club", 5);
        check(fixture.wasRefused("plain14", error_kind::QueueFull));
        check(!fixture.refused.contains("urgent2"));
    });
    section("within a team, higher priorities start first", [&] {
        fixture.finish("running0", milliseconds(20));
        check(fixture.started.back() == "urgent");
    });
}

// Callers send up to four times what the upstream can process. As many requests as before are
// answered in time; the rest are refused at once, and hardly any answer is late.
Test(admission, goodputUnderOverload)
{
    constexpr double Capacity = 8 / 0.020;
    constexpr int Seconds = 20;
    for (const double load : {1.5, 2.0, 4.0}) {
        const auto result = runOverload({{"a", Capacity * load / 2}, {"b", Capacity * load / 2}},
                                        seconds(Seconds));
        section("at load " + std::to_string(load), [&] {
            check(result.onTime > 0.93 * Capacity * Seconds);
            check(result.late < 0.02 * Capacity * Seconds);
        });
    }
}

// All callers of a burst are refused at the same time. With the same Retry-After they would return
// together and be refused together, so each gets its own.
Test(admission, retryAfterSpreadsCallers)
{
    admission_fixture fixture;
    fixture.arriveMany("r", 8 + 16 + 200, LongTimeout);
    std::vector<milliseconds> times;
    for (const auto &[id, refusal] : fixture.refused)
        times.push_back(refusal.retryAfter);
    std::sort(times.begin(), times.end());
    check(times.size() == 200);
    check(times.front() >= milliseconds(50));
    const auto spread = times.back() - times.front();
    check(spread > milliseconds(400) && spread < milliseconds(600)); // 200 at 2.5 ms each
}

// The operator stops the agent. New requests are refused with `draining` and go to other upstreams;
// every request accepted before runs to its end, including the waiting ones.
Test(admission, drain)
{
    admission_fixture fixture;
    fixture.arriveMany("r", 12, LongTimeout);
    fixture.handle(admission::drain_started{});
    fixture.arrive("new", LongTimeout);
    check(fixture.wasRefused("new", error_kind::Draining));
    for (int i = 0; i < 12; ++i) {
        check(!fixture.controller.isDrained());
        fixture.finish("r" + std::to_string(i), milliseconds(20));
    }
    check(fixture.started.size() == 12);
    check(fixture.controller.isDrained());
}

// A service is slow for a while, then gets no requests. The agent must report the latency of recent
// answers only, and none if there are no answers: otherwise figures of an hour ago would be
// reported as current, and uninvolved tasks on the worker would be throttled.
Test(admission, latencyWindowDropsOldAnswers)
{
    latency_window window(seconds(2));
    time_point now{seconds(100)};
    check(!window.read(now));
    section("the 99th percentile and its time of measurement", [&] {
        for (int i = 0; i < 100; ++i)
            window.add(milliseconds(i < 98 ? 20 : 400), now);
        const auto reading = window.read(now + seconds(1));
        require(reading.has_value());
        check(reading->p99 == milliseconds(400));
        check(reading->measuredAt < now && reading->measuredAt > now - milliseconds(100));
    });
    section("old answers do not count", [&] {
        now += seconds(3);
        window.add(milliseconds(20), now);
        check(window.read(now)->p99 == milliseconds(20));
    });
    section("without recent answers there is no reading",
            [&] { check(!window.read(now + seconds(3))); });
}
