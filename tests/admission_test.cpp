// Admission in front of one upstream: limits, deadlines, fairness, overload, drain.
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

// An admission with a clock that is set by hand; keeps what was started and refused.
struct gate_at
{
    explicit gate_at(admission_settings settings = {})
        : gate(settings)
    { }

    void handle(const admission::event &what)
    {
        for (const auto &action : gate.handle(what, now)) {
            if (const auto *begun = std::get_if<admission::start>(&action))
                started.push_back(begun->id);
            if (const auto *refusal = std::get_if<admission::refuse>(&action))
                refused[refusal->id] = *refusal;
        }
    }

    void arrive(const std::string &id, milliseconds timeout, const std::string &team = "club",
                int priority = 0)
    {
        handle(admission::arrived{id, "tickets", team, priority, now + timeout});
    }

    // `count` requests named by `prefix` and a number.
    void arriveMany(const std::string &prefix, int count, milliseconds timeout,
                    const std::string &team = "club")
    {
        for (int i = 0; i < count; ++i)
            arrive(prefix + std::to_string(i), timeout, team);
    }

    void finish(const std::string &id, milliseconds took, milliseconds callerTime = {},
                bool whole = true)
    {
        handle(admission::finished{id, took, callerTime, whole});
    }

    bool hasStarted(const std::string &id) const
    {
        return std::find(started.begin(), started.end(), id) != started.end();
    }

    bool wasRefused(const std::string &id, error_kind kind) const
    {
        const auto found = refused.find(id);
        return found != refused.end() && found->second.kind == kind;
    }

    admission gate;
    time_point now{seconds(100)};
    std::vector<std::string> started;
    std::map<std::string, admission::refuse> refused;
};

constexpr milliseconds Patient{10 * 1000};

} // namespace

Test(admission, limits)
{
    section("eight slots are given, never a ninth", [] {
        gate_at at;
        at.arriveMany("r", 20, Patient);
        check(at.started.size() == 8);
        check(at.gate.waiting() == 12);
        section("a finished request frees one", [&] {
            at.finish("r0", milliseconds(20));
            check(at.started.size() == 9);
        });
        section("the same finish told twice frees no second one", [&] {
            at.finish("r0", milliseconds(20));
            check(at.started.size() == 9);
            check(at.gate.counters().ignored == 1);
        });
        section("an arrival delivered twice starts no second time", [&] {
            at.arrive("r1", Patient);
            check(at.gate.running() == 8 && at.gate.waiting() == 11);
        });
        section("a cancelled request that runs keeps its slot", [&] {
            at.handle(admission::cancelled{"r1"});
            check(at.started.size() == 9 && at.gate.running() == 8);
        });
    });
    section("connections in doubt count against the limit of 64", [] {
        gate_at at;
        at.handle(admission::connections_changed{60});
        at.arriveMany("r", 8, Patient);
        check(at.started.size() == 4);
        at.handle(admission::connections_changed{59});
        check(at.started.size() == 5);
    });
    section("the queue is bounded", [] {
        gate_at at;
        at.arriveMany("r", 8 + 16 + 1, Patient);
        check(at.gate.waiting() == 16);
        check(at.wasRefused("r24", error_kind::QueueFull));
    });
}

// The caller gets `deadline_too_close` and `executed: no` the moment it arrives, with the time to
// come back. Eight requests of 20 ms (deviation 10 ms) run; one that waits for the first turn ends
// after 40 ms and needs 10 ms of margin, one for the second turn 20 ms more.
Test(admission, deadlinesByPosition)
{
    gate_at at;
    at.arriveMany("running", 8, Patient);
    section("the first turn needs 50 ms", [&] {
        at.arrive("a", milliseconds(49));
        check(at.wasRefused("a", error_kind::DeadlineTooClose));
        check(at.refused["a"].retryAfter >= milliseconds(20));
        at.arrive("b", milliseconds(50));
        check(!at.refused.contains("b"));
    });
    section("the second turn needs 70 ms", [&] {
        at.arriveMany("first", 7, milliseconds(50));
        at.arrive("c", milliseconds(69));
        check(at.wasRefused("c", error_kind::DeadlineTooClose));
        at.arrive("d", milliseconds(70));
        check(!at.refused.contains("d"));
    });
    section("one that is past its deadline is told so, and not to come back", [&] {
        at.arrive("e", milliseconds(0));
        check(at.wasRefused("e", error_kind::DeadlinePassed));
        check(at.refused["e"].retryAfter.count() == 0);
    });
}

// The upstream is frozen (SIGSTOP): nothing finishes. A request that waits behind it with a second
// to go is refused near the middle of that second, while the caller can still go elsewhere, since
// what is overdue is expected to take as long again. It is not held until its deadline.
Test(admission, frozenUpstream)
{
    gate_at at;
    at.arriveMany("running", 8, Patient);
    at.arrive("waiting", milliseconds(1000));
    const time_point begun = at.now;
    while (at.refused.empty() && at.now < begun + seconds(2)) {
        at.now += milliseconds(10);
        at.handle(admission::tick{});
    }
    check(at.wasRefused("waiting", error_kind::DeadlineTooClose));
    check(at.now - begun == milliseconds(500));
    section("later callers with a second to go are refused at once", [&] {
        at.now = begun + seconds(2);
        at.arrive("later", milliseconds(1000));
        check(at.wasRefused("later", error_kind::DeadlineTooClose));
    });
}

// One spell taught a service time far above every deadline. The upstream is quick again, but if
// every caller were refused, nothing would run and nothing better would ever be learned.
Test(admission, recoversFromOneSlowSpell)
{
    gate_at at;
    for (int i = 0; i < 30; ++i) {
        at.arrive("slow" + std::to_string(i), Patient * 10);
        at.finish("slow" + std::to_string(i), milliseconds(5000));
    }
    int answered = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = "quick" + std::to_string(i);
        at.arrive(id, milliseconds(400));
        answered += at.hasStarted(id) ? 1 : 0;
        if (at.hasStarted(id))
            at.finish(id, milliseconds(20));
    }
    check(answered == 200);
    check(at.gate.serviceTime("tickets") < milliseconds(30));
}

// A school's bulk booking floods the queue of one upstream, then a parent at the gate sends one
// request. The flood gives up its newest, and the parent is next.
// Callers with short deadlines are refused, because another one took its large answer slowly.
Test(admission, callersThatReadSlowly)
{
    const auto takesShortDeadlines = [](gate_at &gate) {
        gate.arrive("long", Patient);
        gate.arrive("short", milliseconds(1500));
        return gate.hasStarted("long") && gate.hasStarted("short");
    };
    const auto afterAnswers = [](milliseconds took, milliseconds callerTime, bool whole) {
        gate_at gate;
        for (int index = 0; index < 20; ++index) {
            const auto id = "before" + std::to_string(index);
            gate.arrive(id, Patient);
            gate.finish(id, took, callerTime, whole);
        }
        return gate;
    };
    section("their time is not the service's", [&] {
        auto gate = afterAnswers(milliseconds(9000), milliseconds(8900), true);
        check(takesShortDeadlines(gate));
    });
    section("a service that is slow itself is known as that", [&] {
        auto gate = afterAnswers(milliseconds(9000), milliseconds(1000), true);
        check(!takesShortDeadlines(gate));
    });
    section("nor is a cut answer's, but what its upstream took until then is", [&] {
        auto gate = afterAnswers(milliseconds(20), milliseconds(0), true);
        for (int index = 0; index < 20; ++index) {
            const auto id = "cut" + std::to_string(index);
            gate.arrive(id, Patient);
            gate.finish(id, milliseconds(9000), milliseconds(1), false);
        }
        check(!takesShortDeadlines(gate));
    });
    section("an answer that its caller left teaches no shorter time than it would have had", [&] {
        auto gate = afterAnswers(milliseconds(4000), milliseconds(0), true);
        for (int index = 0; index < 20; ++index) {
            const auto id = "left" + std::to_string(index);
            gate.arrive(id, Patient);
            gate.finish(id, milliseconds(2000), milliseconds(1990), false);
        }
        check(!takesShortDeadlines(gate));
    });
}

Test(admission, teams)
{
    section("one request of another team gets into a full queue, and goes first", [] {
        gate_at at;
        at.arriveMany("flood", 24, Patient, "school");
        at.arrive("gate", Patient, "parent");
        check(at.wasRefused("flood23", error_kind::FairShareExceeded));
        at.finish("flood0", milliseconds(20));
        check(at.started.back() == "gate");
    });
    section("a team that comes back after a long silence has saved up no credit", [] {
        gate_at at;
        for (int i = 0; i < 1000; ++i) {
            at.arrive("busy" + std::to_string(i), Patient, "school");
            at.finish("busy" + std::to_string(i), milliseconds(20));
        }
        at.arriveMany("s", 16, Patient, "school");
        at.arriveMany("p", 8, Patient, "parent");
        at.started.clear();
        for (int i = 0; i < 8; ++i)
            at.finish("s" + std::to_string(i), milliseconds(20));
        const auto parents = std::count_if(at.started.begin(), at.started.end(),
                                           [](const auto &id) { return id[0] == 'p'; });
        check(parents >= 4 && parents <= 7);
    });
    section("seven times the traffic takes nothing from a team within its share", [] {
        const auto result = runOverload({{"flood", 1400.0}, {"light", 100.0}}, seconds(20));
        check(result.inTimeByTeam.at("light") > 0.97 * 20 * 100 * 0.95);
        check(result.inTimeByTeam.at("flood") > 20 * 250);
    });
}

Test(admission, priorities)
{
    gate_at at;
    at.arriveMany("running", 8, Patient);
    at.arriveMany("plain", 15, Patient);
    at.arrive("urgent", Patient, "club", 5);
    section("a full queue gives up what has the lowest priority and came last", [&] {
        at.arrive("urgent2", Patient, "club", 5);
        check(at.wasRefused("plain14", error_kind::QueueFull));
        check(!at.refused.contains("urgent2"));
    });
    section("higher priority of the same team goes first", [&] {
        at.finish("running0", milliseconds(20));
        check(at.started.back() == "urgent");
    });
}

// The callers send up to four times what the upstream can do. As many as before get their answer in
// time; the rest are told at once, and hardly any answer comes too late to be of use.
Test(admission, goodputStaysFlat)
{
    constexpr double Capacity = 8 / 0.020;
    constexpr int Seconds = 20;
    for (const double load : {1.5, 2.0, 4.0}) {
        const auto result = runOverload({{"a", Capacity * load / 2}, {"b", Capacity * load / 2}},
                                        seconds(Seconds));
        section("at load " + std::to_string(load), [&] {
            check(result.inTime > 0.93 * Capacity * Seconds);
            check(result.late < 0.02 * Capacity * Seconds);
        });
    }
}

// All callers of a burst are refused in the same moment. Told the same time to come back, they
// would come back together and be refused together; each gets a place of its own.
Test(admission, retryAfterSpreadsCallers)
{
    gate_at at;
    at.arriveMany("r", 8 + 16 + 200, Patient);
    std::vector<milliseconds> times;
    for (const auto &[id, refusal] : at.refused)
        times.push_back(refusal.retryAfter);
    std::sort(times.begin(), times.end());
    check(times.size() == 200);
    check(times.front() >= milliseconds(50));
    const auto spread = times.back() - times.front();
    check(spread > milliseconds(400) && spread < milliseconds(600)); // 200 at 2.5 ms each
}

// The operator stops the agent. Callers that come now are told `draining` and go elsewhere; every
// request that was accepted before runs to its end, also those that still waited.
Test(admission, drain)
{
    gate_at at;
    at.arriveMany("r", 12, Patient);
    at.handle(admission::drain_started{});
    at.arrive("new", Patient);
    check(at.wasRefused("new", error_kind::Draining));
    for (int i = 0; i < 12; ++i) {
        check(!at.gate.drained());
        at.finish("r" + std::to_string(i), milliseconds(20));
    }
    check(at.started.size() == 12);
    check(at.gate.drained());
}

// A service is slow for a while; then its callers go away. What the agent reports must be of the
// newest answers alone, and nothing when there are none: else an hour of old figures would be told
// as new, and the neighbours that have nothing to do with it would be throttled.
Test(admission, latencyWindowForgets)
{
    latency_window window(seconds(2));
    time_point now{seconds(100)};
    check(!window.read(now));
    section("the tail, measured when it was served", [&] {
        for (int i = 0; i < 100; ++i)
            window.add(milliseconds(i < 98 ? 20 : 400), now);
        const auto reading = window.read(now + seconds(1));
        require(reading.has_value());
        check(reading->p99 == milliseconds(400));
        check(reading->measuredAt < now && reading->measuredAt > now - milliseconds(100));
    });
    section("new answers push old ones out", [&] {
        now += seconds(3);
        window.add(milliseconds(20), now);
        check(window.read(now)->p99 == milliseconds(20));
    });
    section("without new ones there is no reading", [&] { check(!window.read(now + seconds(3))); });
}
