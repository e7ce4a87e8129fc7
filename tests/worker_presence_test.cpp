// What an agent's worker tells about itself, in any order of its messages.
#include <criterion/criterion.h>

#include "app/worker_presence.h"
#include "section.h"

using namespace zinniabarrow;
using platform_wire::worker_announcement;
using zinniabarrow::tests::section;

namespace {

using news = worker_presence::news;
using look = worker_presence::look;

constexpr std::int64_t Born = 1000;

worker_announcement saying(std::int64_t sequence, std::int64_t bornMs = Born)
{
    worker_announcement told;
    told.id = "worker";
    told.bornMs = bornMs;
    told.sequence = sequence;
    return told;
}

struct scene
{
    worker_presence worker;
    time_point now{std::chrono::hours(1)};

    scene()
    {
        worker.announced(saying(1));
        worker.answered(Born, now);
    }
};

} // namespace

Test(worker_presence, announcements)
{
    scene on;
    check(on.worker.isPresent());
    section("a first word changes what may be given to it, a second one does not", [&] {
        worker_presence fresh;
        check(fresh.announced(saying(1)) == news::Readiness);
        check(fresh.announced(saying(2)) == news::None);
    });
    section("one that is overtaken is no news", [&] {
        auto leaving = saying(3);
        leaving.leaving = true;
        check(on.worker.announced(leaving) == news::Readiness);
        check(on.worker.announced(saying(2)) == news::None);
        check(on.worker.isLeaving());
    });
    section("a later life is told, an earlier one is not believed", [&] {
        check(on.worker.announced(saying(1, Born + 1)) == news::OtherLife);
        check(on.worker.announced(saying(9, Born)) == news::None);
        check(on.worker.lifeName() == std::to_string(Born + 1));
    });
}

// A task runs twice: the word that a worker ends was held up from its earlier life, and the present
// one, which no connection reached in time, was taken for gone with all that it ran.
Test(worker_presence, only_a_refused_connection_confirms_a_departure)
{
    scene on;
    require(on.worker.departed("worker", on.now));
    section("a connect or an answer that is late tells nothing of the worker", [&] {
        for (const auto failure : {call_failure::NotConnected, call_failure::Late,
                                   call_failure::Cut, call_failure::TooLarge})
            check(!on.worker.isGoneBy(failure));
        check(on.worker.goesAway());
    });
    section("nobody listens there any more: it is gone, once", [&] {
        check(on.worker.isGoneBy(call_failure::Refused));
        check(!on.worker.isGoneBy(call_failure::Refused));
    });
    section("one that has not said that it ends may be back in a moment", [&] {
        scene other;
        check(!other.worker.isGoneBy(call_failure::Refused));
    });
}

Test(worker_presence, a_departure_of_an_earlier_life)
{
    scene on;
    require(on.worker.departed("worker", on.now));
    section("another worker's is not its own", [&] {
        scene other;
        check(!other.worker.departed("another", other.now));
        check(other.worker.isPresent());
    });
    section("its announcements are not believed meanwhile", [&] {
        check(on.worker.announced(saying(2)) == news::None);
        check(!on.worker.isPresent());
    });
    section("an answer of just after is not either, one of later says that it stays", [&] {
        check(on.worker.answered(Born, on.now + milliseconds(499)) == look::SameLife);
        check(!on.worker.isPresent());
        check(on.worker.answered(Born, on.now + milliseconds(500)) == look::Stayed);
        check(on.worker.isPresent());
        check(!on.worker.goesAway());
    });
    section("the answer of another life is told as that", [&] {
        check(on.worker.answered(Born + 5, on.now) == look::OtherLife);
        check(on.worker.answered(Born + 5, on.now) == look::SameLife);
    });
}

// A worker that is back under its id is not used, or goes on getting starts as it drains: a look
// saw the new life first, and its announcements were taken for overtaken ones of the old.
Test(worker_presence, a_next_life_that_a_look_sees_first)
{
    scene on;
    auto draining = saying(40);
    draining.leaving = true;
    section("that it drains is heard", [] {
        scene crashed;
        check(crashed.worker.announced(saying(40)) == news::None);
        check(crashed.worker.answered(Born + 5, crashed.now) == look::OtherLife);
        auto next = saying(12, Born + 5);
        next.leaving = true;
        check(crashed.worker.announced(next) == news::Readiness);
        check(crashed.worker.isLeaving());
    });
    section("drained, gone and back, it is there again", [&] {
        auto worker = on.worker;
        worker.announced(draining);
        require(worker.departed("worker", on.now));
        require(worker.isGoneBy(call_failure::Refused));
        check(worker.answered(Born + 5, on.now + milliseconds(2000)) == look::OtherLife);
        worker.announced(saying(1, Born + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
    section("so it is when it was back before a look had failed", [&] {
        auto worker = on.worker;
        worker.announced(draining);
        require(worker.departed("worker", on.now));
        check(worker.answered(Born + 5, on.now + milliseconds(100)) == look::OtherLife);
        worker.announced(saying(1, Born + 5));
        worker.answered(Born + 5, on.now + milliseconds(600));
        worker.announced(saying(2, Born + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
}
