// Routing: zones, newcomers, ejection and readmission, answers that name the fault.
#include <map>
#include <string>

#include "request/router.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::request;
using tests::section;

namespace {

// A router with a clock that is set by hand, in zone a of kartli.
struct router_at
{
    explicit router_at(routing_policy policy = two_choices{}, router_settings settings = {})
        : routes(inZoneA(settings), policy, random_generator(1))
    { }

    static router_settings inZoneA(router_settings settings)
    {
        settings.zone = "kartli-a";
        settings.region = "kartli";
        return settings;
    }

    void join(const std::string &id, const std::string &zone = "kartli-a",
              const std::string &region = "kartli", std::uint64_t incarnation = 1)
    {
        announcement about;
        about.agentId = id;
        about.address = "10.0.0.1:7100";
        about.zone = zone;
        about.region = region;
        about.service = "tickets";
        about.slots = 8;
        about.incarnation = incarnation;
        routes.apply(upstream_joined{about}, now);
    }

    // `count` upstreams that have been there for a while.
    void joinMany(int count)
    {
        for (int i = 0; i < count; ++i)
            join("u" + std::to_string(i));
        now += seconds(20);
    }

    routing_decision choose(const std::set<std::string> &excluded = {})
    {
        return routes.choose("tickets", excluded, now);
    }

    std::string chosen(const std::set<std::string> &excluded = {})
    {
        const auto decision = choose(excluded);
        const auto *to = std::get_if<route>(&decision);
        return to ? to->agentId : std::string(nameOf(std::get<error_kind>(decision)));
    }

    void start(const std::string &id, int count = 1)
    {
        for (int i = 0; i < count; ++i)
            routes.attemptStarted({id, "", 1}, now);
    }

    void end(const std::string &id, attempt_outcome outcome, milliseconds retryAfter = {})
    {
        routes.attemptEnded({{id, "", 1}, outcome, milliseconds(20), {}, retryAfter}, now);
    }

    void fail(const std::string &id, int count)
    {
        for (int i = 0; i < count; ++i) {
            start(id);
            end(id, attempt_outcome::Failed);
        }
    }

    // How often each is taken in a thousand requests that end at once.
    std::map<std::string, int> shares()
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 1000; ++i)
            ++counts[chosen()];
        return counts;
    }

    time_point now{seconds(100)};
    router routes;
};

} // namespace

Test(router, answersThatNameTheFault)
{
    router_at at;
    section("no upstream is known, or all were tried", [&] {
        check(at.chosen() == "no_upstream");
        at.joinMany(2);
        check(at.chosen({"u0"}) == "u1");
        check(at.chosen({"u0", "u1"}) == "no_upstream");
    });
    section("all refused for their load: overloaded, for 20 ms at the most", [&] {
        for (const auto *id : {"u0", "u1"}) {
            at.start(id);
            at.end(id, attempt_outcome::Refused, milliseconds(5000));
        }
        check(at.chosen() == "overloaded");
        at.now += milliseconds(20);
        check(at.chosen().front() == 'u');
    });
    section("one that says it is draining is not asked again before it announces", [&] {
        at.start("u0");
        at.end("u0", attempt_outcome::Leaving);
        check(at.shares()["u1"] == 1000);
        at.routes.apply(upstream_reported{"u0", 1, {}}, at.now);
        check(at.shares()["u0"] > 300);
    });
}

Test(router, zones)
{
    router_at at;
    at.join("near");
    at.join("other", "kartli-b");
    at.join("far", "uusimaa-a", "uusimaa");
    at.now += seconds(20);
    section("the own zone comes first", [&] { check(at.shares()["near"] == 1000); });
    section("up to one request for each slot", [&] {
        at.start("near", 7);
        check(at.chosen() == "near");
        at.start("near", 1);
        check(at.chosen() == "other");
    });
    section("two full zones do not swap their requests", [&] {
        at.start("other", 8);
        at.start("far", 8);
        check(at.chosen() == "near");
    });
    section("the other region comes last", [&] {
        router_at two;
        two.join("other", "kartli-b");
        two.join("far", "uusimaa-a", "uusimaa");
        two.now += seconds(20);
        check(two.shares()["other"] == 1000);
        check(two.chosen({"other"}) == "far");
    });
}

// A worker was replaced. To every entry the new upstream looks idle, and without a slow start it
// would be sent nearly everything while its caches are cold.
Test(router, slowStart)
{
    for (const routing_policy &policy :
         {routing_policy(two_choices{}), routing_policy(round_robin{}),
          routing_policy(least_known_load{})}) {
        section(std::string(nameOf(policy)), [&] {
            router_at at(policy);
            at.joinMany(3);
            for (const auto *id : {"u0", "u1", "u2"})
                at.start(id, 4);
            at.join("fresh");
            check(at.shares()["fresh"] < 60);
            at.now += seconds(10);
            check(at.shares()["fresh"] >= 245);
        });
    }
}

// An upstream refuses connections. It fails at once, so it always looks idle and would draw ever
// more requests; callers would see their retries used up. After five failures it is left alone.
Test(router, ejection)
{
    router_at at;
    at.joinMany(11);
    at.fail("u0", 4);
    check(at.shares()["u0"] > 0);
    at.fail("u0", 1);
    section("five failures in a row put an upstream out", [&] { check(at.shares()["u0"] == 0); });
    section("a success in between starts the count again", [&] {
        at.fail("u1", 4);
        at.start("u1");
        at.end("u1", attempt_outcome::Answered);
        at.fail("u1", 4);
        check(at.shares()["u1"] > 0);
    });
    section("after the cool-down one attempt at a time is a trial", [&] {
        at.now += seconds(2);
        for (int i = 1; i < 11; ++i)
            at.start("u" + std::to_string(i), 2);
        check(at.shares()["u0"] > 0);
        at.start("u0");
        check(at.shares()["u0"] == 0);
    });
    section("a failed trial doubles the cool-down", [&] {
        at.end("u0", attempt_outcome::Failed);
        at.now += milliseconds(3999);
        check(at.shares()["u0"] == 0);
        at.now += milliseconds(1);
        check(at.shares()["u0"] > 0);
    });
    section("a good one readmits it, slowly", [&] {
        at.start("u0");
        at.end("u0", attempt_outcome::Answered);
        check(at.routes.counters().readmitted == 1);
        check(at.shares()["u0"] < 40);
        at.now += seconds(10);
        check(at.shares()["u0"] > 60);
    });
}

// The entry's own network is at fault: every upstream fails. If all were ejected, no request could
// go out when the network is back, and the last few would be overrun.
Test(router, ejectionIsCapped)
{
    router_at at;
    at.joinMany(11);
    for (int i = 0; i < 11; ++i)
        at.fail("u" + std::to_string(i), 5);
    check(at.routes.ejected("tickets") == 3);
    check(at.routes.counters().ejectionsCapped == 8);
    section("of two, one may be out; the only one never is", [] {
        for (const int count : {1, 2}) {
            router_at few;
            few.joinMany(count);
            few.fail("u0", 20);
            check(few.routes.ejected("tickets") == count - 1);
            check(few.chosen() == (count == 1 ? "u0" : "u1"));
        }
    });
}

// The answer to an attempt at the old process arrives when the new one has joined.
Test(router, attemptsOfReplacedUpstreams)
{
    router_at at(least_known_load{});
    at.joinMany(2);
    at.start("u0", 8);
    at.routes.apply(upstream_left{"u0", 1, leave_reason::Replaced}, at.now);
    at.join("u0", "kartli-a", "kartli", 2);
    at.now += seconds(20);
    section("they do not count as load of the new one", [&] {
        at.start("u1");
        check(at.chosen() == "u0");
    });
    section("nor do their failures", [&] {
        for (int i = 0; i < 8; ++i)
            at.end("u0", attempt_outcome::Failed);
        check(at.routes.ejected("tickets") == 0);
    });
    section("a late leave of the old one changes nothing", [&] {
        at.routes.apply(upstream_left{"u0", 1, leave_reason::Left}, at.now);
        check(at.routes.upstreams("tickets") == 2);
    });
}
