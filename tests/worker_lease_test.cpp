// What an agent writes of its worker's lease, in which order, and when tasks may start.
#include <criterion/criterion.h>

#include "jobs/worker_lease.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

// An agent, and the row of its lease.
struct lease_fixture
{
    worker_lease lease{"agent"};
    time_point now{std::chrono::hours(1)};
    std::optional<lease_row> row;
    std::int64_t version = 0;
    std::optional<write_lease> pendingWrite; // not yet carried out
    std::vector<std::int64_t> begunEpochs;
    std::vector<std::int64_t> resumedEpochs;

    // Carries out what is asked, but for writes while `writes` is false.
    void runActions(bool answersWrites = true)
    {
        for (auto actions = lease.takeActions(); !actions.empty(); actions = lease.takeActions()) {
            for (const auto &action : actions) {
                if (std::holds_alternative<read_lease>(action))
                    lease.rowRead(row, version, now);
                if (const auto *write = std::get_if<write_lease>(&action))
                    pendingWrite = *write;
                if (const auto *settled = std::get_if<epoch_settled>(&action))
                    (settled->isNew ? begunEpochs : resumedEpochs).push_back(settled->epoch);
            }
            if (answersWrites)
                completeWrite();
        }
    }

    // The write that is out takes effect if its condition holds; the agent hears which.
    void completeWrite()
    {
        if (!pendingWrite)
            return;
        const auto write = *pendingWrite;
        pendingWrite.reset();
        if (write.expectedVersion != version)
            return lease.rowConflict();
        row = write.row;
        lease.rowWritten(++version, now);
    }

    // An agent that runs tasks of life `a` under epoch 2.
    void startLease()
    {
        lease.acquireFence();
        runActions();
        check(!lease.reconcile("a", 0, now));
        runActions();
        check(begunEpochs == std::vector<std::int64_t>{2});
        check(lease.isSettled());
    }
};

} // namespace

// Callers see tasks that last stand still. A worker leaves while a renewal of its lease is out:
// what is known then can't be written yet, and the worker is not there any more to be asked again.
Test(worker_lease, worker_leaves_while_a_write_is_out)
{
    for (const bool renewalTakesEffect : {true, false}) {
        section(renewalTakesEffect ? "the renewal takes effect" : "the renewal is void", [&] {
            lease_fixture fixture;
            fixture.startLease();
            fixture.lease.renew(fixture.now);
            fixture.runActions(false);
            require(fixture.pendingWrite.has_value());
            fixture.lease.endEpoch("", fixture.now);
            check(fixture.lease.hasUnwrittenEnd());
            check(!fixture.lease.isSettled());
            if (!renewalTakesEffect)
                ++fixture.version; // a watcher's write, or one of an earlier life of the agent
            fixture.completeWrite();
            fixture.runActions();
            check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
            check(fixture.row->workerIncarnation.empty());
            check(!fixture.lease.hasUnwrittenEnd());
            check(!fixture.lease.isSettled()); // nobody is there to start anything
        });
    }
}

// Callers see tasks wait. The worker is gone before an agent that lives anew has taken its fence,
// or while it takes one: no look will ever be answered, and none is waited for.
Test(worker_lease, worker_is_gone_before_the_fence_is_taken)
{
    section("while the row is read", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        fixture.lease.endEpoch("", fixture.now);
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("while the fence is written", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        fixture.runActions(false);
        fixture.lease.endEpoch("", fixture.now);
        fixture.completeWrite();
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("and the write that says so is void", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.endEpoch("", fixture.now);
        fixture.runActions(false);
        ++fixture.version;
        fixture.completeWrite();
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("and it ends again, in another life, while that is written", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.endEpoch("b", fixture.now);
        fixture.runActions(false);
        fixture.lease.endEpoch("", fixture.now);
        fixture.completeWrite();
        check(!fixture.lease.isSettled());
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 4}));
        check(fixture.row->workerIncarnation.empty());
    });
}

Test(worker_lease, a_new_fence)
{
    section("the same life keeps its runs and its epoch", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        check(!fixture.lease.isSettled());
        fixture.runActions();
        check(!fixture.lease.reconcile("a", 3, fixture.now));
        fixture.runActions();
        check(fixture.resumedEpochs == std::vector<std::int64_t>{2});
        check(fixture.lease.fence() == 2);
    });
    section("in another life all that runs is stopped first", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        fixture.runActions();
        check(fixture.lease.reconcile("b", 1, fixture.now));
        check(fixture.begunEpochs.size() == 1);
        check(!fixture.lease.reconcile("b", 0, fixture.now));
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("after a watcher ended the epoch, too", [] {
        lease_fixture fixture;
        fixture.startLease();
        ++fixture.row->epoch;
        fixture.row->endedByWatcher = true;
        ++fixture.version;
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        check(!fixture.lease.isSettled());
        check(fixture.lease.reconcile("a", 1, fixture.now));
        check(!fixture.lease.reconcile("a", 0, fixture.now));
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 4}));
        check(!fixture.row->endedByWatcher);
    });
    section("it is sought while a renewal is out, whose answer is not taken for its own", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.renew(fixture.now);
        fixture.runActions(false);
        fixture.lease.acquireFence();
        fixture.runActions(false);
        check(!fixture.lease.holdsFence());
        fixture.completeWrite();
        check(!fixture.lease.holdsFence());
        fixture.runActions();
        check(fixture.lease.holdsFence());
        check(fixture.lease.fence() == 2);
    });
}

Test(worker_lease, until_when_tasks_may_run)
{
    lease_fixture fixture;
    fixture.startLease();
    section("counted from before the renewal was sent", [&] {
        const auto sentAt = fixture.now;
        fixture.lease.renew(fixture.now);
        fixture.runActions(false);
        fixture.now += seconds(2);
        fixture.completeWrite();
        check(fixture.lease.validUntil() == sentAt + LeaseDuration);
    });
    section("and told in the row by the store's clock", [&] {
        check(fixture.row->expiresAtMs == 0); // it was never told
        fixture.lease.noteStoreClock(70'000, fixture.now, fixture.now);
        fixture.now += LeaseRenewInterval;
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        const auto exact = 70'000 + (LeaseRenewInterval + LeaseDuration).count();
        check(fixture.row->expiresAtMs >= exact);     // never too early,
        check(fixture.row->expiresAtMs <= exact + 2); // and late by the drift of clocks alone
    });
    section("a renewal whose outcome is not known extends nothing", [&] {
        const auto before = fixture.lease.validUntil();
        fixture.now += LeaseRenewInterval;
        fixture.lease.renew(fixture.now);
        fixture.runActions(false);
        check(fixture.lease.validUntil() == before);
    });
}

// Callers see a task run in two places, or all tasks of a worker stopped when its agent is
// restarted. The end of the worker's life "a" is known but not yet written (a renewal is out, the
// store is slow or away); meanwhile the worker lives anew as "b" and a new fence is sought. Once
// the fence is written the end goes into the row at once, and tasks may start under its epoch,
// before "b" was looked at: a late start of before, which only a call with the new fence keeps out
// there, may still take effect, and the row never tells "b".
Test(worker_lease, worker_lives_anew_while_its_end_is_not_written)
{
    for (const std::string endedIncarnation : {"", "a"}) { // it left, or was silent
        section(endedIncarnation.empty() ? "it left" : "it was silent", [&] {
            lease_fixture fixture;
            fixture.startLease();
            fixture.lease.renew(fixture.now);
            fixture.runActions(false);
            require(fixture.pendingWrite.has_value());
            fixture.lease.endEpoch(endedIncarnation, fixture.now);
            fixture.lease.acquireFence(); // "b" was announced
            fixture.completeWrite();
            fixture.runActions();
            require(fixture.lease.holdsFence());
            check(!fixture.lease.isSettled()); // "b" has not been seen
            check(!fixture.lease.reconcile("b", 0, fixture.now));
            fixture.runActions();
            check(fixture.lease.isSettled());
            check(fixture.row->workerIncarnation == "b");
            section("the next life of the agent goes on with what runs", [&] {
                fixture.lease.acquireFence();
                fixture.runActions();
                check(!fixture.lease.reconcile("b", 3, fixture.now)); // true: stops them all
            });
        });
    }
}

// An agent is killed while its first write is out; that write takes effect later. Its next
// life read the row before: its own write bears the same name, so that it takes the other one for
// its own, and the end that the row tells is earlier than the one it counts with.
Test(worker_lease, writes_of_two_lives_of_the_agent)
{
    lease_fixture fixture;
    fixture.startLease();
    const auto firstWrite = [&] {
        worker_lease life{"agent"};
        life.noteStoreClock(
                70'000 + (fixture.now - time_point{std::chrono::hours(1)}) / milliseconds(1),
                fixture.now, fixture.now);
        life.acquireFence();
        life.takeActions();
        life.rowRead(fixture.row, fixture.version, fixture.now);
        return std::get<write_lease>(life.takeActions().front());
    };
    const auto killed = firstWrite();
    fixture.now += seconds(2);
    const auto next = firstWrite();
    require(killed.row.expiresAtMs < next.row.expiresAtMs);
    check(killed.row.writeId != next.row.writeId);
}

// Callers see all tasks of a healthy worker stopped and begun anew elsewhere, when its agent is
// replaced. The worker before it left while a write was out, for as long as the store was slow;
// this one announced itself meanwhile. The epoch that ends the old one has to name the life that
// runs.
Test(worker_lease, the_next_life_is_there_before_the_end_is_written)
{
    lease_fixture fixture;
    fixture.startLease();
    fixture.lease.renew(fixture.now);
    fixture.runActions(false);
    fixture.lease.endEpoch("", fixture.now);
    fixture.lease.acquireFence();
    fixture.completeWrite();
    fixture.runActions();
    check(!fixture.lease.reconcile("b", 0, fixture.now));
    fixture.runActions();
    check(fixture.lease.isSettled());
    check(fixture.row->workerIncarnation == "b");
    section("an agent that is replaced lets its tasks run on", [&] {
        fixture.lease = worker_lease("agent");
        fixture.lease.acquireFence();
        fixture.runActions();
        check(!fixture.lease.reconcile("b", 3, fixture.now));
    });
}

// Callers see tasks that last stand still for 14 s. Their worker is lost without a word, its agent
// goes on for a while and is stopped: each renewal told an end that is a whole lease away, though
// nothing can run there for longer than the last call let it.
Test(worker_lease, renewals_beside_a_worker_that_answers_nothing)
{
    lease_fixture fixture;
    fixture.startLease();
    fixture.lease.noteStoreClock(70'000, fixture.now, fixture.now);
    const auto held = fixture.now + seconds(5);
    section("the row tells the end of what was held", [&] {
        fixture.now += seconds(1);
        fixture.lease.renew(fixture.now, held);
        fixture.runActions(false);
        check(fixture.lease.validUntil()
              <= held); // as soon as it is sent: it may take effect at any time
        fixture.completeWrite();
        check(fixture.lease.validUntil() == held);
        check(fixture.row->expiresAtMs >= 75'000);
        check(fixture.row->expiresAtMs <= 75'002);
    });
    section("once that is over there is nothing to renew", [&] {
        fixture.now = held;
        fixture.lease.renew(fixture.now, held);
        fixture.runActions(false);
        check(!fixture.pendingWrite.has_value());
    });
    section("a worker that answers again has a whole lease", [&] {
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        check(fixture.lease.validUntil() == fixture.now + LeaseDuration);
    });
}
