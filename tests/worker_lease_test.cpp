// Tests what an agent writes to its worker's lease row, in which order, and when tasks may start.
#include <criterion/criterion.h>

#include "jobs/worker_lease.h"
#include "jobs/worker_liveness.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

// An agent, and its worker's lease row.
struct lease_fixture
{
    worker_lease lease{"agent"};
    time_point now{std::chrono::hours(1)};
    std::optional<lease_row> row;
    std::int64_t version = 0;
    std::optional<write_lease> pendingWrite; // sent, and its outcome is not known yet
    std::vector<std::int64_t> begunEpochs;
    std::vector<std::int64_t> resumedEpochs;

    // Carries out the lease's actions. Writes stay pending if `answersWrites` is false.
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

    // Applies the pending write if its expected version matches, and tells the agent the outcome.
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

    // Brings the agent to epoch 2 with incarnation "a" of its worker.
    void startLease()
    {
        lease.acquireFence();
        runActions();
        check(!lease.reconcile("a", false, now));
        runActions();
        check(begunEpochs == std::vector<std::int64_t>{2});
        check(lease.isSettled());
    }
};

} // namespace

// Guards against long-running tasks that stay down after their worker left. The worker leaves while
// a renewal of its lease is pending: the end of its epoch can't be written at once, and the worker
// can't be polled again later.
Test(worker_lease, worker_leaves_while_a_write_is_pending)
{
    for (const bool renewalTakesEffect : {true, false}) {
        section(renewalTakesEffect ? "the renewal takes effect" : "the renewal conflicts", [&] {
            lease_fixture fixture;
            fixture.startLease();
            fixture.lease.renew(fixture.now);
            fixture.runActions(false);
            require(fixture.pendingWrite.has_value());
            fixture.lease.endEpoch("", fixture.now);
            check(fixture.lease.hasUnwrittenEnd());
            check(!fixture.lease.isSettled());
            if (!renewalTakesEffect)
                ++fixture.version; // a write of a watcher or of an earlier incarnation
            fixture.completeWrite();
            fixture.runActions();
            check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
            check(fixture.row->workerIncarnation.empty());
            check(!fixture.lease.hasUnwrittenEnd());
            check(!fixture.lease.isSettled()); // there is no worker to start tasks on
        });
    }
}

// Guards against tasks that wait for ever. The worker is gone before a restarted agent has its
// fence, or while it acquires one: no poll will ever be answered, so the epoch has to end without
// one.
Test(worker_lease, worker_is_gone_before_the_fence_is_acquired)
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
    section("and the write that ends the epoch conflicts", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.endEpoch("", fixture.now);
        fixture.runActions(false);
        ++fixture.version;
        fixture.completeWrite();
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("and the next incarnation ends too while the new epoch is written", [] {
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
    section("the same incarnation keeps its runs and its epoch", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        check(!fixture.lease.isSettled());
        fixture.runActions();
        check(!fixture.lease.reconcile("a", true, fixture.now));
        fixture.runActions();
        check(fixture.resumedEpochs == std::vector<std::int64_t>{2});
        check(fixture.lease.fence() == 2);
    });
    section("in another incarnation all runs are stopped first", [] {
        lease_fixture fixture;
        fixture.startLease();
        fixture.lease.acquireFence();
        fixture.runActions();
        check(fixture.lease.reconcile("b", true, fixture.now));
        check(fixture.begunEpochs.size() == 1);
        check(!fixture.lease.reconcile("b", false, fixture.now));
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 3}));
    });
    section("after a watcher ended the epoch, all runs are stopped first as well", [] {
        lease_fixture fixture;
        fixture.startLease();
        ++fixture.row->epoch;
        fixture.row->endedByWatcher = true;
        ++fixture.version;
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        check(!fixture.lease.isSettled());
        check(fixture.lease.reconcile("a", true, fixture.now));
        check(!fixture.lease.reconcile("a", false, fixture.now));
        fixture.runActions();
        check(fixture.begunEpochs == (std::vector<std::int64_t>{2, 4}));
        check(!fixture.row->endedByWatcher);
    });
    section("the answer of a pending renewal is not mistaken for that of the fence's write", [] {
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

Test(worker_lease, expiry)
{
    lease_fixture fixture;
    fixture.startLease();
    section("counts from before the renewal was sent", [&] {
        const auto sentAt = fixture.now;
        fixture.lease.renew(fixture.now);
        fixture.runActions(false);
        fixture.now += seconds(2);
        fixture.completeWrite();
        check(fixture.lease.validUntil() == sentAt + LeaseDuration);
    });
    section("is in the row, on the store's clock", [&] {
        check(fixture.row->expiresAtMs == 0); // no reading of the store's clock so far
        fixture.lease.noteStoreClock(70'000, fixture.now, fixture.now);
        fixture.now += LeaseRenewInterval;
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        const auto exact = 70'000 + (LeaseRenewInterval + LeaseDuration).count();
        check(fixture.row->expiresAtMs >= exact);     // never too early
        check(fixture.row->expiresAtMs <= exact + 2); // late by the assumed clock drift only
    });
    section("a renewal without outcome extends nothing", [&] {
        const auto before = fixture.lease.validUntil();
        fixture.now += LeaseRenewInterval;
        fixture.lease.renew(fixture.now);
        fixture.runActions(false);
        check(fixture.lease.validUntil() == before);
    });
}

// Guards against a task that runs twice, and against a restart of the agent that stops all tasks of
// its worker. The end of incarnation "a" is known but not yet written, as a renewal is pending and
// the store is slow or down. Meanwhile the worker restarts as "b", and a new fence is acquired.
// Tasks must not start before "b" was polled: until a call with the new fence has reached it, a
// delayed start call with the previous fence can take effect there. The row also has to name "b".
Test(worker_lease, worker_restarts_before_the_end_of_its_epoch_is_written)
{
    for (const std::string endedIncarnation : {"", "a"}) {
        section(endedIncarnation.empty() ? "the worker left" : "the worker was silent", [&] {
            lease_fixture fixture;
            fixture.startLease();
            fixture.lease.renew(fixture.now);
            fixture.runActions(false);
            require(fixture.pendingWrite.has_value());
            fixture.lease.endEpoch(endedIncarnation, fixture.now);
            fixture.lease.acquireFence(); // "b" announced itself
            fixture.completeWrite();
            fixture.runActions();
            require(fixture.lease.holdsFence());
            check(!fixture.lease.isSettled()); // "b" was not polled yet
            check(!fixture.lease.reconcile("b", false, fixture.now));
            fixture.runActions();
            check(fixture.lease.isSettled());
            check(fixture.row->workerIncarnation == "b");
            section("the next incarnation of the agent keeps the runs", [&] {
                fixture.lease.acquireFence();
                fixture.runActions();
                check(!fixture.lease.reconcile("b", true,
                                               fixture.now)); // true would stop them all
            });
        });
    }
}

// Guards against a lease row that expires earlier than its agent assumes. An agent is killed while
// its first write is pending, and that write takes effect later. Its next incarnation read the row
// before that. If both writes had the same id, it would mistake the earlier write for its own.
Test(worker_lease, writes_of_two_incarnations_of_the_agent)
{
    lease_fixture fixture;
    fixture.startLease();
    const auto firstWrite = [&] {
        worker_lease nextLease{"agent"};
        nextLease.noteStoreClock(
                70'000 + (fixture.now - time_point{std::chrono::hours(1)}) / milliseconds(1),
                fixture.now, fixture.now);
        nextLease.acquireFence();
        nextLease.takeActions();
        nextLease.rowRead(fixture.row, fixture.version, fixture.now);
        return std::get<write_lease>(nextLease.takeActions().front());
    };
    const auto killedWrite = firstWrite();
    fixture.now += seconds(2);
    const auto next = firstWrite();
    require(killedWrite.row.expiresAtMs < next.row.expiresAtMs);
    check(killedWrite.row.writeId != next.row.writeId);
}

// Guards against the replacement of an agent that stops all tasks of a healthy worker. The previous
// worker left while a write was pending, as the store was slow, and the present one announced
// itself meanwhile. The epoch that follows has to name the incarnation that runs.
Test(worker_lease, the_next_incarnation_exists_before_the_end_is_written)
{
    lease_fixture fixture;
    fixture.startLease();
    fixture.lease.renew(fixture.now);
    fixture.runActions(false);
    fixture.lease.endEpoch("", fixture.now);
    fixture.lease.acquireFence();
    fixture.completeWrite();
    fixture.runActions();
    check(!fixture.lease.reconcile("b", false, fixture.now));
    fixture.runActions();
    check(fixture.lease.isSettled());
    check(fixture.row->workerIncarnation == "b");
    section("tasks continue when the agent is replaced", [&] {
        fixture.lease = worker_lease("agent");
        fixture.lease.acquireFence();
        fixture.runActions();
        check(!fixture.lease.reconcile("b", true, fixture.now));
    });
}

// Guards against long-running tasks that stay down for 14 s. Their worker is lost silently, and its
// agent continues for a while before it is stopped. If it renewed the lease for its whole duration,
// tasks couldn't start elsewhere for that time, although no run outlives the last hold call. But
// the hold ends by the worker's clock, which stands while the machine is suspended: a lease that
// ended with the hold would let a task start elsewhere beside its run.
Test(worker_lease, renewals_for_a_worker_that_does_not_answer)
{
    lease_fixture fixture;
    fixture.startLease();
    fixture.lease.noteStoreClock(70'000, fixture.now, fixture.now);
    const auto heldUntil = fixture.now + seconds(3);
    const auto endedBy = heldUntil + suspensionReserve(MaxSuspension);
    const auto endedByMs = 70'000 + millisecondsIn(endedBy - fixture.now);
    section("the row expires when the last hold has ended in spite of a suspension", [&] {
        fixture.now += seconds(1);
        fixture.lease.renew(fixture.now, heldUntil);
        fixture.runActions(false);
        check(fixture.lease.validUntil()
              <= endedBy); // once sent, the write may take effect at any time
        fixture.completeWrite();
        check(fixture.lease.validUntil() == endedBy);
        check(holdLimit(fixture.lease.validUntil(), MaxSuspension, false) == heldUntil);
        check(fixture.row->expiresAtMs >= endedByMs);
        check(fixture.row->expiresAtMs <= endedByMs + 2);
    });
    section("nothing is renewed once the hold has expired", [&] {
        fixture.now = heldUntil;
        fixture.lease.renew(fixture.now, heldUntil);
        fixture.runActions(false);
        check(!fixture.pendingWrite.has_value());
    });
    section("a worker that answers again gets a whole lease", [&] {
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        check(fixture.lease.validUntil() == fixture.now + LeaseDuration);
    });
}

// Guards against workers that are left unused for seconds after a loss of power: their agents start
// anew beside them, and can't know by themselves that these workers have other ids, and so refuse
// calls to the ones before.
Test(worker_lease, id_of_the_incarnation_before)
{
    lease_fixture fixture;
    fixture.startLease();
    check(fixture.row->workerId.empty());
    fixture.lease.noteWorkerId("i-1");
    fixture.lease.renew(fixture.now);
    fixture.runActions();
    check(fixture.row->workerId == "i-1");
    check(leaseFrom(toText(*fixture.row)).workerId == "i-1");
    section("the end of the incarnation does not change it", [&] {
        auto ended = fixture;
        ended.lease.endEpoch("", ended.now);
        ended.runActions();
        check(ended.row->workerId == "i-1");
    });
    section("the next agent finds it, until it begins the epoch of another incarnation", [&] {
        fixture.lease = worker_lease("agent");
        fixture.lease.acquireFence();
        fixture.runActions();
        check(fixture.lease.workerId() == "i-1");
        fixture.lease.noteWorkerId("i-2");
        check(!fixture.lease.reconcile("b", false, fixture.now));
        fixture.runActions();
        check(fixture.row->workerId == "i-2");
    });
}

// Guards against a task that runs twice. Calls that were meant for the worker's earlier incarnation
// hold the runs of the present one for longer than a lease lasts, and watchers know of nothing but
// the row. The agent may be killed as well: its next incarnation shortens the lease of a worker
// that doesn't answer, and takes HoldDuration for the longest hold.
Test(worker_lease, earlier_calls_hold_runs_beyond_the_lease)
{
    constexpr std::int64_t StoreMs = 70'000;
    lease_fixture fixture;
    fixture.startLease();
    const auto restartedAt = fixture.now;
    const auto boundMs = StoreMs + MaxHoldDuration.count();
    fixture.lease.noteStoreClock(StoreMs, restartedAt, restartedAt);
    fixture.lease.noteEarlierCallsHold(restartedAt + MaxHoldDuration, restartedAt);
    fixture.lease.endEpoch("b", fixture.now);
    fixture.runActions();
    section("the row that begins the epoch says so, and gives no earlier expiry", [&] {
        check(fixture.row->earlierCallsHoldUntilMs == boundMs);
        check(fixture.row->expiresAtMs == boundMs);
        check(fixture.lease.validUntil() == restartedAt + LeaseDuration);
        check(leaseFrom(toText(*fixture.row)).earlierCallsHoldUntilMs == boundMs);
    });
    section("so do a renewal for a worker that does not answer, and one that was on its way", [&] {
        auto renewed = fixture;
        renewed.now += seconds(1);
        renewed.lease.renew(renewed.now, renewed.now + HoldDuration);
        renewed.runActions();
        check(renewed.row->expiresAtMs == boundMs);
    });
    section("the next incarnation of the agent keeps and knows it", [&] {
        auto next = fixture;
        next.now += seconds(2);
        next.lease = worker_lease("agent");
        next.lease.noteStoreClock(StoreMs + 2000, next.now, next.now);
        next.lease.acquireFence();
        next.runActions();
        check(next.row->earlierCallsHoldUntilMs == boundMs);
        check(next.lease.earlierCallsHoldUntil(next.now) == restartedAt + MaxHoldDuration);
        next.lease.renew(next.now, next.now + HoldDuration);
        next.runActions();
        check(next.row->expiresAtMs == boundMs);
    });
    section("a worker with another id takes no such calls", [&] {
        auto replaced = fixture;
        replaced.lease.forgetEarlierCallsHold();
        replaced.lease.acquireFence();
        replaced.runActions();
        check(replaced.row->earlierCallsHoldUntilMs == 0);
        check(!replaced.lease.earlierCallsHoldUntil(replaced.now).has_value());
    });
    section("it is over in time", [&] {
        fixture.now += MaxHoldDuration + milliseconds(100);
        fixture.lease.renew(fixture.now);
        fixture.runActions();
        check(fixture.row->earlierCallsHoldUntilMs == 0);
        check(!fixture.lease.earlierCallsHoldUntil(fixture.now).has_value());
    });
}

namespace {

// The store is away from `from` to `to`. A pending write is repeated, and succeeds `RetryDelay`
// after the store's return at the latest.
struct store_outage
{
    static constexpr milliseconds RetryDelay{500};
    time_point from;
    time_point to;

    bool answers(time_point at) const { return at < from || at >= to + RetryDelay; }
};

// Renews the lease each LeaseRenewInterval during the outage and some seconds after it. Returns
// whether the lease was valid all the while.
bool outlasts(const store_outage &outage)
{
    constexpr milliseconds Step{10};
    lease_fixture fixture;
    fixture.startLease();
    auto nextRenewal = fixture.now;
    for (; fixture.now < outage.to + seconds(5); fixture.now += Step) {
        if (fixture.now >= nextRenewal) {
            fixture.lease.renew(fixture.now);
            nextRenewal += LeaseRenewInterval;
        }
        fixture.runActions(false);
        if (outage.answers(fixture.now))
            fixture.completeWrite();
        if (fixture.now >= fixture.lease.validUntil())
            return false;
    }
    return true;
}

} // namespace

// Guards against the restart of everything at once: the leases of all workers expire shortly before
// the store is back, because all agents had renewed them at the same unlucky moment.
Test(worker_lease, runs_outlast_the_loss_of_the_store)
{
    constexpr milliseconds LongestOutage{6500};
    const time_point start = lease_fixture().now + seconds(10);
    for (milliseconds phase{0}; phase < seconds(2); phase += milliseconds(50)) {
        const auto from = start + phase;
        check(outlasts({from, from + LongestOutage}));
    }
    section("a lease still ends when the store stays away", [&] {
        check(!outlasts({start, start + TaskLostAfter}));
    });
}
