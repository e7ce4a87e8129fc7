// Tests of worker_presence: an agent's view of its worker, with the worker's messages in any order.
#include <criterion/criterion.h>

#include "app/worker_presence.h"
#include "section.h"

using namespace zinniabarrow;
using platform_wire::worker_announcement;
using zinniabarrow::tests::section;

namespace {

using presence_change = worker_presence::change;
using poll_outcome = worker_presence::poll_result;

constexpr std::int64_t StartTimeMs = 1000;

worker_announcement announcementWith(std::int64_t sequence,
                                     std::int64_t workerStartMs = StartTimeMs)
{
    worker_announcement announcement;
    announcement.id = "worker";
    announcement.startTimeMs = workerStartMs;
    announcement.sequence = sequence;
    return announcement;
}

// A worker that has announced itself and answered a poll.
struct present_worker
{
    worker_presence worker;
    time_point now{std::chrono::hours(1)};

    present_worker()
    {
        worker.handleAnnouncement(announcementWith(1));
        worker.handlePollAnswer(StartTimeMs, now);
    }
};

} // namespace

Test(worker_presence, announcements)
{
    present_worker current;
    check(current.worker.isPresent());
    section("the first announcement changes the worker's readiness, a second of the same state "
            "doesn't",
            [&] {
                worker_presence newPresence;
                check(newPresence.handleAnnouncement(announcementWith(1))
                      == presence_change::ReadinessChanged);
                check(newPresence.handleAnnouncement(announcementWith(2)) == presence_change::None);
            });
    section("an announcement that arrives after a newer one is ignored", [&] {
        auto leaving = announcementWith(3);
        leaving.isDraining = true;
        check(current.worker.handleAnnouncement(leaving) == presence_change::ReadinessChanged);
        check(current.worker.handleAnnouncement(announcementWith(2)) == presence_change::None);
        check(current.worker.isLeaving());
    });
    section("a later incarnation is reported, an announcement of an earlier one is ignored", [&] {
        check(current.worker.handleAnnouncement(announcementWith(1, StartTimeMs + 1))
              == presence_change::NewIncarnation);
        check(current.worker.handleAnnouncement(announcementWith(9, StartTimeMs))
              == presence_change::None);
        check(current.worker.incarnationName() == std::to_string(StartTimeMs + 1));
    });
}

// Guards against a task that runs twice. A delayed departure message of an earlier incarnation of
// the worker arrived, a connection to the current one then timed out, and the worker was taken for
// gone, with all its runs.
Test(worker_presence, only_a_refused_connection_confirms_a_departure)
{
    present_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("any other failure of a poll proves nothing", [&] {
        for (const auto failure : {call_failure::NotConnected, call_failure::TimedOut,
                                   call_failure::IncompleteAnswer, call_failure::TooLarge})
            check(!current.worker.handlePollFailure(failure));
        check(current.worker.isGoingAway());
    });
    section("a refused connection proves once that the worker is gone", [&] {
        check(current.worker.handlePollFailure(call_failure::ConnectionRefused));
        check(!current.worker.handlePollFailure(call_failure::ConnectionRefused));
    });
    section("without a departure message a refused connection proves nothing: a restart may follow",
            [&] {
                present_worker other;
                check(!other.worker.handlePollFailure(call_failure::ConnectionRefused));
            });
}

Test(worker_presence, departure_of_an_earlier_incarnation)
{
    present_worker current;
    require(current.worker.handleDeparture("worker", current.now));
    section("another worker's departure is ignored", [&] {
        present_worker other;
        check(!other.worker.handleDeparture("another", other.now));
        check(other.worker.isPresent());
    });
    section("announcements are ignored while the departure is unconfirmed", [&] {
        check(current.worker.handleAnnouncement(announcementWith(2)) == presence_change::None);
        check(!current.worker.isPresent());
    });
    section("an answer right after it proves nothing, a later one shows that the worker stays",
            [&] {
                check(current.worker.handlePollAnswer(StartTimeMs, current.now + milliseconds(499))
                      == poll_outcome::SameIncarnation);
                check(!current.worker.isPresent());
                check(current.worker.handlePollAnswer(StartTimeMs, current.now + milliseconds(500))
                      == poll_outcome::DepartureRefuted);
                check(current.worker.isPresent());
                check(!current.worker.isGoingAway());
            });
    section("an answer of another incarnation is reported as such", [&] {
        check(current.worker.handlePollAnswer(StartTimeMs + 5, current.now)
              == poll_outcome::NewIncarnation);
        check(current.worker.handlePollAnswer(StartTimeMs + 5, current.now)
              == poll_outcome::SameIncarnation);
    });
}

// Guards against a restarted worker that is not used, or that gets new runs while it drains. That
// happens if a poll sees the new incarnation first, and its announcements, which are numbered from
// the start, are taken for late ones of the earlier incarnation.
Test(worker_presence, new_incarnation_first_seen_by_a_poll)
{
    present_worker current;
    auto draining = announcementWith(40);
    draining.isDraining = true;
    section("an announcement that the new incarnation is draining is applied", [] {
        present_worker crashed;
        check(crashed.worker.handleAnnouncement(announcementWith(40)) == presence_change::None);
        check(crashed.worker.handlePollAnswer(StartTimeMs + 5, crashed.now)
              == poll_outcome::NewIncarnation);
        auto nextAnnouncement = announcementWith(12, StartTimeMs + 5);
        nextAnnouncement.isDraining = true;
        check(crashed.worker.handleAnnouncement(nextAnnouncement)
              == presence_change::ReadinessChanged);
        check(crashed.worker.isLeaving());
    });
    section("after draining, departure and restart the worker is present again", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        require(worker.handlePollFailure(call_failure::ConnectionRefused));
        check(worker.handlePollAnswer(StartTimeMs + 5, current.now + milliseconds(2000))
              == poll_outcome::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, StartTimeMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
    section("it is also present again if it was restarted before a poll had failed", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(draining);
        require(worker.handleDeparture("worker", current.now));
        check(worker.handlePollAnswer(StartTimeMs + 5, current.now + milliseconds(100))
              == poll_outcome::NewIncarnation);
        worker.handleAnnouncement(announcementWith(1, StartTimeMs + 5));
        worker.handlePollAnswer(StartTimeMs + 5, current.now + milliseconds(600));
        worker.handleAnnouncement(announcementWith(2, StartTimeMs + 5));
        check(worker.isPresent());
        check(!worker.isLeaving());
    });
}

// Guards against a task that runs twice: an incarnation under the id of the one before takes calls
// that were meant for that one, which one with another id refuses.
Test(worker_presence, which_incarnations_take_calls_to_the_one_before)
{
    section("the same id, found by a poll or an announcement", [] {
        present_worker polled;
        polled.worker.handlePollAnswer(StartTimeMs + 5, polled.now);
        check(polled.worker.mayTakeEarlierCalls());
        present_worker announced;
        announced.worker.handleAnnouncement(announcementWith(1, StartTimeMs + 5));
        check(announced.worker.mayTakeEarlierCalls());
    });
    section("another id", [] {
        present_worker current;
        auto next = announcementWith(1, StartTimeMs + 5);
        next.id = "next-worker";
        check(current.worker.handleAnnouncement(next) == presence_change::NewIncarnation);
        check(!current.worker.mayTakeEarlierCalls());
        section("and then the same again", [&] {
            next.startTimeMs += 5;
            current.worker.handleAnnouncement(next);
            check(current.worker.mayTakeEarlierCalls());
        });
    });
    section("one that has refused a call", [] {
        present_worker current;
        current.worker.handleOtherIncarnation();
        check(!current.worker.mayTakeEarlierCalls());
    });
    section("the first one that an agent meets, as its earlier incarnation may have called", [] {
        worker_presence unknown;
        unknown.handleAnnouncement(announcementWith(1));
        check(unknown.mayTakeEarlierCalls());
    });
}

// Guards against a worker that is never used again, while its agent seeks its lease without a
// pause: its machine was restarted and its clock set back, so that the worker has another id and an
// earlier start time, and its announcements are taken for late ones of the earlier incarnation.
Test(worker_presence, another_incarnation_that_seems_to_have_started_earlier)
{
    present_worker current;
    auto next = announcementWith(1, StartTimeMs - 500);
    next.id = "next-worker";
    current.worker.handleOtherIncarnation();
    check(!current.worker.isPresent());
    check(current.worker.id().empty()); // polls expect no incarnation until it is known
    section("its announcement counts", [&] {
        auto worker = current.worker;
        check(worker.handleAnnouncement(next) == presence_change::ReadinessChanged);
        check(worker.isPresent());
        check(worker.id() == "next-worker");
        check(worker.incarnationName() == std::to_string(StartTimeMs - 500));
    });
    section("a poll may see it first", [&] {
        auto worker = current.worker;
        check(worker.handlePollAnswer(StartTimeMs - 500, current.now)
              == poll_outcome::SameIncarnation);
        check(worker.isIncarnationKnown());
        check(!worker.isPresent());
        check(worker.handleAnnouncement(next) == presence_change::ReadinessChanged);
        check(worker.isPresent());
    });
    section("a delayed announcement of the one before is undone by the next answer", [&] {
        auto worker = current.worker;
        worker.handleAnnouncement(announcementWith(2));
        worker.handleOtherIncarnation();
        check(worker.handleAnnouncement(next) == presence_change::ReadinessChanged);
        check(worker.id() == "next-worker");
    });
}
