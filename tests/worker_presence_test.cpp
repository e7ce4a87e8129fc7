// What an agent's worker tells about itself, in any order of its messages.
#include <criterion/criterion.h>

#include "app/worker_presence.h"
#include "section.h"

using namespace zinniabarrow;
using platform_wire::worker_announcement;
using zinniabarrow::tests::section;

namespace {

using news = worker_presence::change;
using look = worker_presence::poll_result;

constexpr std::int64_t BornMs = 1000;

worker_announcement announcementWith(std::int64_t sequence, std::int64_t bornMs = BornMs)
{
    worker_announcement announcement;
    announcement.id = "worker";
    announcement.bornMs = bornMs;
    announcement.sequence = sequence;
    return announcement;
}

struct running_worker
{
    worker_presence worker;
    time_point now{std::chrono::hours(1)};

    running_worker()
    {
        worker.handleAnnouncement(announcementWith(1));
        worker.handleAnswer(BornMs, now);
    }
};

} // namespace

Test(worker_presence, announcements)
{
    running_worker current;
    check(current.worker.isPresent());
    section("a first word changes what may be given to it, a second one does not", [&] {
        worker_presence fresh;
        check(fresh.handleAnnouncement(announcementWith(1)) == news::ReadinessChanged);
        check(fresh.handleAnnouncement(announcementWith(2)) == news::None);
    });
    section("one that is overtaken is no news", [&] {
        auto leaving = announcementWith(3);
        leaving.leaving = true;
        check(current.worker.handleAnnouncement(leaving) == news::ReadinessChanged);
        check(current.worker.handleAnnouncement(announcementWith(2)) == news::None);
        check(current.worker.isLeaving());
    });
    section("a later life is told, an earlier one is not believed", [&] {
        check(current.worker.handleAnnouncement(announcementWith(1, BornMs + 1))
              == news::NewIncarnation);
        check(current.worker.handleAnnouncement(announcementWith(9, BornMs)) == news::None);
        check(current.worker.incarnationName() == std::to_string(BornMs + 1));
    });
}

// A task runs twice: the word that a worker ends was held up from its earlier life, and the present
// one, which no connection reached in time, was taken for gone with all that it ran.
Test(worker_presence, only_a_refused_connection_confirms_a_departure)
{
    running_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("a connect or an answer that is late tells nothing of the worker", [&] {
        for (const auto failure : {call_failure::NotConnected, call_failure::Late,
                                   call_failure::Cut, call_failure::TooLarge})
            check(!current.worker.confirmsDeparture(failure));
        check(current.worker.isGoingAway());
    });
    section("nobody listens there any more: it is gone, once", [&] {
        check(current.worker.confirmsDeparture(call_failure::Refused));
        check(!current.worker.confirmsDeparture(call_failure::Refused));
    });
    section("one that has not said that it ends may be back in a moment", [&] {
        running_worker other;
        check(!other.worker.confirmsDeparture(call_failure::Refused));
    });
}

Test(worker_presence, a_departure_of_an_earlier_life)
{
    running_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("another worker's is not its own", [&] {
        running_worker other;
        check(!other.worker.handleDeparture("another", other.now));
        check(other.worker.isPresent());
    });
    section("its announcements are not believed meanwhile", [&] {
        check(current.worker.handleAnnouncement(announcementWith(2)) == news::None);
        check(!current.worker.isPresent());
    });
    section("an answer of just after is not either, one of later says that it stays", [&] {
        check(current.worker.handleAnswer(BornMs, current.now + milliseconds(499))
              == look::SameIncarnation);
        check(!current.worker.isPresent());
        check(current.worker.handleAnswer(BornMs, current.now + milliseconds(500))
              == look::DepartureRefuted);
        check(current.worker.isPresent());
        check(!current.worker.isGoingAway());
    });
    section("the answer of another life is told as that", [&] {
        check(current.worker.handleAnswer(BornMs + 5, current.now) == look::NewIncarnation);
        check(current.worker.handleAnswer(BornMs + 5, current.now) == look::SameIncarnation);
    });
}

// A worker that is back under its id is not used, or goes on getting starts as it drains: a look
// saw the new life first, and its announcements were taken for overtaken ones of the old.
Test(worker_presence, a_next_life_that_a_look_sees_first)
{
    running_worker current;
    auto draining = announcementWith(40);
    draining.leaving = true;
    section("that it drains is heard", [] {
        running_worker crashed;
        check(crashed.worker.handleAnnouncement(announcementWith(40)) == news::None);
        check(crashed.worker.handleAnswer(BornMs + 5, crashed.now) == look::NewIncarnation);
        auto nextAnnouncement = announcementWith(12, BornMs + 5);
        nextAnnouncement.leaving = true;
        check(crashed.worker.handleAnnouncement(nextAnnouncement) == news::ReadinessChanged);
        check(crashed.worker.isLeaving());
    });
    section("drained, gone and back, it is there again", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        require(worker.confirmsDeparture(call_failure::Refused));
        check(worker.handleAnswer(BornMs + 5, current.now + milliseconds(2000))
              == look::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, BornMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
    section("so it is when it was back before a look had failed", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        check(worker.handleAnswer(BornMs + 5, current.now + milliseconds(100))
              == look::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, BornMs + 5));
        worker.handleAnswer(BornMs + 5, current.now + milliseconds(600));
        worker.handleAnnouncement(announcementWith(2, BornMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
}
