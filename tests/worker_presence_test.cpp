// Tests of worker_presence: an agent's view of its worker, with the worker's messages in any order.
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
    announcement.startTimeMs = bornMs;
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
        worker.handlePollAnswer(BornMs, now);
    }
};

} // namespace

Test(worker_presence, announcements)
{
    running_worker current;
    check(current.worker.isPresent());
    section("the first announcement changes the worker's readiness, an equal second one does not",
            [&] {
                worker_presence newPresence;
                check(newPresence.handleAnnouncement(announcementWith(1))
                      == news::ReadinessChanged);
                check(newPresence.handleAnnouncement(announcementWith(2)) == news::None);
            });
    section("an announcement that arrives after a newer one is ignored", [&] {
        auto leaving = announcementWith(3);
        leaving.isDraining = true;
        check(current.worker.handleAnnouncement(leaving) == news::ReadinessChanged);
        check(current.worker.handleAnnouncement(announcementWith(2)) == news::None);
        check(current.worker.isLeaving());
    });
    section("a later incarnation is reported, an announcement of an earlier one is ignored", [&] {
        check(current.worker.handleAnnouncement(announcementWith(1, BornMs + 1))
              == news::NewIncarnation);
        check(current.worker.handleAnnouncement(announcementWith(9, BornMs)) == news::None);
        check(current.worker.incarnationName() == std::to_string(BornMs + 1));
    });
}

// Guards against a task that runs twice: a delayed departure message of the worker's earlier
// incarnation was followed by a connection timeout to the current one, and the worker was taken for
// gone, with all its runs.
Test(worker_presence, only_a_refused_connection_confirms_a_departure)
{
    running_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("a late connection or answer proves nothing about the worker", [&] {
        for (const auto failure : {call_failure::NotConnected, call_failure::TimedOut,
                                   call_failure::IncompleteAnswer, call_failure::TooLarge})
            check(!current.worker.handlePollFailure(failure));
        check(current.worker.isGoingAway());
    });
    section("a refused connection proves once that the worker is gone", [&] {
        check(current.worker.handlePollFailure(call_failure::ConnectionRefused));
        check(!current.worker.handlePollFailure(call_failure::ConnectionRefused));
    });
    section("without a departure message the worker may be back soon", [&] {
        running_worker other;
        check(!other.worker.handlePollFailure(call_failure::ConnectionRefused));
    });
}

Test(worker_presence, departure_of_an_earlier_incarnation)
{
    running_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("another worker's departure is ignored", [&] {
        running_worker other;
        check(!other.worker.handleDeparture("another", other.now));
        check(other.worker.isPresent());
    });
    section("announcements are ignored while the departure is unconfirmed", [&] {
        check(current.worker.handleAnnouncement(announcementWith(2)) == news::None);
        check(!current.worker.isPresent());
    });
    section("an answer right after it proves nothing, a later one shows that the worker stays",
            [&] {
                check(current.worker.handlePollAnswer(BornMs, current.now + milliseconds(499))
                      == look::SameIncarnation);
                check(!current.worker.isPresent());
                check(current.worker.handlePollAnswer(BornMs, current.now + milliseconds(500))
                      == look::DepartureRefuted);
                check(current.worker.isPresent());
                check(!current.worker.isGoingAway());
            });
    section("an answer of another incarnation is reported as such", [&] {
        check(current.worker.handlePollAnswer(BornMs + 5, current.now) == look::NewIncarnation);
        check(current.worker.handlePollAnswer(BornMs + 5, current.now) == look::SameIncarnation);
    });
}

// Guards against a restarted worker that is not used, or that gets new runs while it drains. That
// happens if a poll sees the new incarnation first, and its announcements, which are numbered from
// the start, are taken for late ones of the earlier incarnation.
Test(worker_presence, new_incarnation_first_seen_by_a_poll)
{
    running_worker current;
    auto draining = announcementWith(40);
    draining.isDraining = true;
    section("an announcement that the new incarnation is draining is applied", [] {
        running_worker crashed;
        check(crashed.worker.handleAnnouncement(announcementWith(40)) == news::None);
        check(crashed.worker.handlePollAnswer(BornMs + 5, crashed.now) == look::NewIncarnation);
        auto nextAnnouncement = announcementWith(12, BornMs + 5);
        nextAnnouncement.isDraining = true;
        check(crashed.worker.handleAnnouncement(nextAnnouncement) == news::ReadinessChanged);
        check(crashed.worker.isLeaving());
    });
    section("after draining, departure and restart the worker is present again", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        require(worker.handlePollFailure(call_failure::ConnectionRefused));
        check(worker.handlePollAnswer(BornMs + 5, current.now + milliseconds(2000))
              == look::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, BornMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
    section("also if it was restarted before a poll had failed", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        check(worker.handlePollAnswer(BornMs + 5, current.now + milliseconds(100))
              == look::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, BornMs + 5));
        worker.handlePollAnswer(BornMs + 5, current.now + milliseconds(600));
        worker.handleAnnouncement(announcementWith(2, BornMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
}
