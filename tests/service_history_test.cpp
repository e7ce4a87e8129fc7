// Which jobs that serve have had less than the others of late.
#include <criterion/criterion.h>

#include "jobs/service_history.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

struct minute
{
    service_history history;
    time_point now{std::chrono::hours(1)};

    void pass(seconds time, const serving_counts &counts)
    {
        for (const auto until = now + time; now < until; now += milliseconds(100)) {
            if (history.due(now))
                history.note(counts, now);
        }
    }
};

} // namespace

Test(service_history, what_callers_have_of_a_job)
{
    check(servedShare({8, 0}) == 1);
    check(servedShare({8, 1}) == 0.5);
    check(servedShare({8, 2}) == 0);
    check(servedShare({1, 1}) == 0);
    check(servedShare({0, 0}) == 0);
}

// Guards against harm that stays with a job which had its part, and against a judgement of one
// that has just come, or that has recovered.
Test(service_history, jobs_that_are_behind)
{
    minute on;
    section("nobody is while all are served alike", [&] {
        on.pass(seconds(5), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(!on.history.isBehind("a"));
        check(!on.history.isBehind("b"));
        check(!on.history.isBehind("unknown"));
    });
    section("one that is late is, also for a while after", [&] {
        on.pass(seconds(5), {{"a", {4, 0}}, {"b", {8, 2}}});
        check(on.history.isBehind("b"));
        check(!on.history.isBehind("a"));
        on.pass(seconds(5), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(on.history.isBehind("b"));
    });
    section("a new one is taken for average", [&] {
        on.pass(seconds(1), {{"a", {4, 0}}, {"b", {8, 0}}, {"new", {2, 0}}});
        check(!on.history.isBehind("new"));
    });
    section("once others had their part it isn't any more", [&] {
        on.pass(seconds(10), {{"a", {4, 1}}, {"b", {8, 0}}});
        check(on.history.isBehind("a"));
        check(!on.history.isBehind("b"));
    });
    section("one that was away comes back as a new one", [&] {
        on.pass(seconds(2), {{"b", {8, 0}}});
        on.pass(seconds(1), {{"a", {4, 0}}, {"b", {8, 0}}});
        check(!on.history.isBehind("a"));
    });
}
