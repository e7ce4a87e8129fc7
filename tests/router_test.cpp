// Routing: zones, new upstreams, ejection and readmission, errors.
#include <map>
#include <string>

#include "request/router.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::request;
using tests::section;

namespace {

// A router in zone a of kartli with a manual clock.
struct router_fixture
{
    explicit router_fixture(routing_policy policy = two_choices{}, router_settings settings = {})
        : subject(inZoneA(settings), policy, random_generator(1))
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
        announcement upstreamAnnouncement;
        upstreamAnnouncement.agentId = id;
        upstreamAnnouncement.address = "10.0.0.1:7100";
        upstreamAnnouncement.zone = zone;
        upstreamAnnouncement.region = region;
        upstreamAnnouncement.service = "tickets";
        upstreamAnnouncement.slots = 8;
        upstreamAnnouncement.incarnation = incarnation;
        subject.apply(upstream_joined{upstreamAnnouncement}, now);
    }

    // Adds `count` upstreams and lets their slow start pass.
    void joinMany(int count)
    {
        for (int i = 0; i < count; ++i)
            join("u" + std::to_string(i));
        now += seconds(20);
    }

    routing_decision choose(const std::set<std::string> &excluded = {})
    {
        return subject.choose("tickets", excluded, now);
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
            subject.attemptStarted({id, "", 1}, now);
    }

    void end(const std::string &id, routing_outcome outcome, milliseconds retryAfter = {})
    {
        subject.attemptEnded({{id, "", 1}, outcome, milliseconds(20), {}, retryAfter}, now);
    }

    void fail(const std::string &id, int count)
    {
        for (int i = 0; i < count; ++i) {
            start(id);
            end(id, routing_outcome::Failed);
        }
    }

    // How often each upstream is chosen for a thousand requests that end at once.
    std::map<std::string, int> shares()
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 1000; ++i)
            ++counts[chosen()];
        return counts;
    }

    time_point now{seconds(100)};
    router subject;
};

} // namespace

Test(router, refusals)
{
    router_fixture fixture;
    section("no_upstream: none is known, or all are excluded", [&] {
        check(fixture.chosen() == "no_upstream");
        fixture.joinMany(2);
        check(fixture.chosen({"u0"}) == "u1");
        check(fixture.chosen({"u0", "u1"}) == "no_upstream");
    });
    section("overloaded: all refused because of their load, for at most 20 ms", [&] {
        for (const auto *id : {"u0", "u1"}) {
            fixture.start(id);
            fixture.end(id, routing_outcome::Refused, milliseconds(5000));
        }
        check(fixture.chosen() == "overloaded");
        fixture.now += milliseconds(20);
        check(fixture.chosen().front() == 'u');
    });
    section("a draining upstream gets no requests until it announces again", [&] {
        fixture.start("u0");
        fixture.end("u0", routing_outcome::Leaving);
        check(fixture.shares()["u1"] == 1000);
        fixture.subject.apply(upstream_load_reported{"u0", 1, {}}, fixture.now);
        check(fixture.shares()["u0"] > 300);
    });
}

Test(router, zones)
{
    router_fixture fixture;
    fixture.join("near");
    fixture.join("other", "kartli-b");
    fixture.join("far", "uusimaa-a", "uusimaa");
    fixture.now += seconds(20);
    section("the entry's own zone is preferred", [&] { check(fixture.shares()["near"] == 1000); });
    section("the own zone is preferred up to one request per slot", [&] {
        fixture.start("near", 7);
        check(fixture.chosen() == "near");
        fixture.start("near", 1);
        check(fixture.chosen() == "other");
    });
    section("two full zones do not exchange their requests", [&] {
        fixture.start("other", 8);
        fixture.start("far", 8);
        check(fixture.chosen() == "near");
    });
    section("another region is the last choice", [&] {
        router_fixture withoutOwnZone;
        withoutOwnZone.join("other", "kartli-b");
        withoutOwnZone.join("far", "uusimaa-a", "uusimaa");
        withoutOwnZone.now += seconds(20);
        check(withoutOwnZone.shares()["other"] == 1000);
        check(withoutOwnZone.chosen({"other"}) == "far");
    });
}

// A worker was replaced. Every entry sees the new upstream as idle and, without a slow start, would
// send nearly all requests to it while its caches are cold.
Test(router, slowStart)
{
    for (const routing_policy &policy :
         {routing_policy(two_choices{}), routing_policy(round_robin{}),
          routing_policy(least_known_load{})}) {
        section(std::string(nameOf(policy)), [&] {
            router_fixture fixture(policy);
            fixture.joinMany(3);
            for (const auto *id : {"u0", "u1", "u2"})
                fixture.start(id, 4);
            fixture.join("fresh");
            check(fixture.shares()["fresh"] < 60);
            fixture.now += seconds(10);
            check(fixture.shares()["fresh"] >= 245);
        });
    }
}

// An upstream refuses connections. Since its attempts fail at once, it always looks idle and would
// get more and more requests, whose retries would use up the retry budget. It is ejected after five
// failures.
Test(router, ejection)
{
    router_fixture fixture;
    fixture.joinMany(11);
    fixture.fail("u0", 4);
    check(fixture.shares()["u0"] > 0);
    fixture.fail("u0", 1);
    section("five consecutive failures eject an upstream",
            [&] { check(fixture.shares()["u0"] == 0); });
    section("a success resets the count of failures", [&] {
        fixture.fail("u1", 4);
        fixture.start("u1");
        fixture.end("u1", routing_outcome::Answered);
        fixture.fail("u1", 4);
        check(fixture.shares()["u1"] > 0);
    });
    section("after the cool-down one attempt at a time probes the upstream", [&] {
        fixture.now += seconds(2);
        for (int i = 1; i < 11; ++i)
            fixture.start("u" + std::to_string(i), 2);
        check(fixture.shares()["u0"] > 0);
        fixture.start("u0");
        check(fixture.shares()["u0"] == 0);
    });
    section("a failed probe doubles the cool-down", [&] {
        fixture.end("u0", routing_outcome::Failed);
        fixture.now += milliseconds(3999);
        check(fixture.shares()["u0"] == 0);
        fixture.now += milliseconds(1);
        check(fixture.shares()["u0"] > 0);
    });
    section("a successful probe readmits it with a slow start", [&] {
        fixture.start("u0");
        fixture.end("u0", routing_outcome::Answered);
        check(fixture.subject.counters().readmitted == 1);
        check(fixture.shares()["u0"] < 40);
        fixture.now += seconds(10);
        check(fixture.shares()["u0"] > 60);
    });
}

// The entry's own network fails, so all upstreams fail. If all were ejected, no request could be
// sent when the network is back, and the last few would be overloaded.
Test(router, ejectionIsCapped)
{
    router_fixture fixture;
    fixture.joinMany(11);
    for (int i = 0; i < 11; ++i)
        fixture.fail("u" + std::to_string(i), 5);
    check(fixture.subject.ejectedCount("tickets") == 3);
    check(fixture.subject.counters().ejectionsCapped == 8);
    section("one of two upstreams may be ejected, a single one never", [] {
        for (const int count : {1, 2}) {
            router_fixture smallFixture;
            smallFixture.joinMany(count);
            smallFixture.fail("u0", 20);
            check(smallFixture.subject.ejectedCount("tickets") == count - 1);
            check(smallFixture.chosen() == (count == 1 ? "u0" : "u1"));
        }
    });
}

// An attempt of the old incarnation ends after the new incarnation has joined.
Test(router, attemptsOfReplacedUpstreams)
{
    router_fixture fixture(least_known_load{});
    fixture.joinMany(2);
    fixture.start("u0", 8);
    fixture.subject.apply(upstream_left{"u0", 1, leave_reason::Replaced}, fixture.now);
    fixture.join("u0", "kartli-a", "kartli", 2);
    fixture.now += seconds(20);
    section("its attempts do not count as load of the new incarnation", [&] {
        fixture.start("u1");
        check(fixture.chosen() == "u0");
    });
    section("its failures do not count for the new incarnation", [&] {
        for (int i = 0; i < 8; ++i)
            fixture.end("u0", routing_outcome::Failed);
        check(fixture.subject.ejectedCount("tickets") == 0);
    });
    section("a late upstream_left of the old incarnation has no effect", [&] {
        fixture.subject.apply(upstream_left{"u0", 1, leave_reason::Left}, fixture.now);
        check(fixture.subject.upstreamCount("tickets") == 2);
    });
}
