// Which jobs that serve have had less than the others of late.
#include <criterion/criterion.h>

#include "jobs/service_history.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

struct history_fixture
{
    service_history history;
    time_point now{std::chrono::hours(1)};

    void advance(seconds time, const serving_counts &counts)
    {
        for (const auto until = now + time; now < until; now += milliseconds(100)) {
            if (history.isDue(now))
                history.recordCounts(counts, now);
        }
    }
};

} // namespace

Test(service_history, what_callers_have_of_a_job)
{
    check(servedFraction({8, 0}) == 1);
    check(servedFraction({8, 1}) == 0.5);
    check(servedFraction({8, 2}) == 0);
    check(servedFraction({1, 1}) == 0);
    check(servedFraction({0, 0}) == 0);
}

// Guards against harm that stays with a job which had its part, and against a judgement of one
// that has just come, or that has recovered.
Test(service_history, jobs_that_are_behind)
{
    history_fixture fixture;
    section("nobody is while all are served alike", [&] {
        fixture.advance(seconds(5), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(!fixture.history.isBelowAverage("a"));
        check(!fixture.history.isBelowAverage("b"));
        check(!fixture.history.isBelowAverage("unknown"));
    });
    section("one that is late is, also for a while after", [&] {
        fixture.advance(seconds(5), {{"a", {4, 0}}, {"b", {8, 2}}});
        check(fixture.history.isBelowAverage("b"));
        check(!fixture.history.isBelowAverage("a"));
        fixture.advance(seconds(5), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(fixture.history.isBelowAverage("b"));
    });
    section("a new one is taken for average", [&] {
        fixture.advance(seconds(1), {{"a", {4, 0}}, {"b", {8, 0}}, {"new", {2, 0}}});
        check(!fixture.history.isBelowAverage("new"));
    });
    section("once others had their part it isn't any more", [&] {
        fixture.advance(seconds(10), {{"a", {4, 1}}, {"b", {8, 0}}});
        check(fixture.history.isBelowAverage("a"));
        check(!fixture.history.isBelowAverage("b"));
    });
    section("one that was away comes back as a new one", [&] {
        fixture.advance(seconds(2), {{"b", {8, 0}}});
        fixture.advance(seconds(1), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(!fixture.history.isBelowAverage("a"));
    });
}
