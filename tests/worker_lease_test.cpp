// What an agent writes of its worker's lease, in which order, and when tasks may start.
#include <criterion/criterion.h>

#include "jobs/worker_lease.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

// An agent, and the row of its lease.
struct scene
{
    worker_lease lease{"agent"};
    time_point now{std::chrono::hours(1)};
    std::optional<lease_row> row;
    std::int64_t version = 0;
    std::optional<write_lease> out; // not yet carried out
    std::vector<std::int64_t> begun;
    std::vector<std::int64_t> resumed;

    // Carries out what is asked, but for writes while `writes` is false.
    void carryOut(bool writes = true)
    {
        for (auto actions = lease.takeActions(); !actions.empty(); actions = lease.takeActions()) {
            for (const auto &action : actions) {
                if (std::holds_alternative<read_lease>(action))
                    lease.rowRead(row, version, now);
                if (const auto *write = std::get_if<write_lease>(&action))
                    out = *write;
                if (const auto *settled = std::get_if<epoch_settled>(&action))
                    (settled->begun ? begun : resumed).push_back(settled->epoch);
            }
            if (writes)
                answerWrite();
        }
    }

    // The write that is out takes effect if its condition holds; the agent hears which.
    void answerWrite()
    {
        if (!out)
            return;
        const auto write = *out;
        out.reset();
        if (write.expectedVersion != version)
            return lease.rowTaken();
        row = write.row;
        lease.rowWritten(++version, now);
    }

    // An agent that runs tasks of life `a` under epoch 2.
    void begin()
    {
        lease.seek();
        carryOut();
        check(!lease.seen("a", 0, now));
        carryOut();
        check(begun == std::vector<std::int64_t>{2});
        check(lease.settled());
    }
};

} // namespace

// Callers see tasks that last stand still. A worker leaves while a renewal of its lease is out:
// what is known then can't be written yet, and the worker is not there any more to be asked again.
Test(worker_lease, worker_leaves_while_a_write_is_out)
{
    for (const bool renewalTakesEffect : {true, false}) {
        section(renewalTakesEffect ? "the renewal takes effect" : "the renewal is void", [&] {
            scene on;
            on.begin();
            on.lease.renew(on.now);
            on.carryOut(false);
            require(on.out.has_value());
            on.lease.allEnded("", on.now);
            check(on.lease.owesEnd());
            check(!on.lease.settled());
            if (!renewalTakesEffect)
                ++on.version; // a watcher's write, or one of an earlier life of the agent
            on.answerWrite();
            on.carryOut();
            check(on.begun == (std::vector<std::int64_t>{2, 3}));
            check(on.row->life.empty());
            check(!on.lease.owesEnd());
            check(!on.lease.settled()); // nobody is there to start anything
        });
    }
}

// Callers see tasks wait. The worker is gone before an agent that lives anew has taken its fence,
// or while it takes one: no look will ever be answered, and none is waited for.
Test(worker_lease, worker_is_gone_before_the_fence_is_taken)
{
    section("while the row is read", [] {
        scene on;
        on.begin();
        on.lease.seek();
        on.lease.allEnded("", on.now);
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 3}));
    });
    section("while the fence is written", [] {
        scene on;
        on.begin();
        on.lease.seek();
        on.carryOut(false);
        on.lease.allEnded("", on.now);
        on.answerWrite();
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 3}));
    });
    section("and the write that says so is void", [] {
        scene on;
        on.begin();
        on.lease.allEnded("", on.now);
        on.carryOut(false);
        ++on.version;
        on.answerWrite();
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 3}));
    });
    section("and it ends again, in another life, while that is written", [] {
        scene on;
        on.begin();
        on.lease.allEnded("b", on.now);
        on.carryOut(false);
        on.lease.allEnded("", on.now);
        on.answerWrite();
        check(!on.lease.settled());
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 4}));
        check(on.row->life.empty());
    });
}

Test(worker_lease, a_new_fence)
{
    section("the same life keeps its runs and its epoch", [] {
        scene on;
        on.begin();
        on.lease.seek();
        check(!on.lease.settled());
        on.carryOut();
        check(!on.lease.seen("a", 3, on.now));
        on.carryOut();
        check(on.resumed == std::vector<std::int64_t>{2});
        check(on.lease.fence() == 2);
    });
    section("in another life all that runs is stopped first", [] {
        scene on;
        on.begin();
        on.lease.seek();
        on.carryOut();
        check(on.lease.seen("b", 1, on.now));
        check(on.begun.size() == 1);
        check(!on.lease.seen("b", 0, on.now));
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 3}));
    });
    section("after a watcher ended the epoch, too", [] {
        scene on;
        on.begin();
        ++on.row->epoch;
        on.row->ended = true;
        ++on.version;
        on.lease.renew(on.now);
        on.carryOut();
        check(!on.lease.settled());
        check(on.lease.seen("a", 1, on.now));
        check(!on.lease.seen("a", 0, on.now));
        on.carryOut();
        check(on.begun == (std::vector<std::int64_t>{2, 4}));
        check(!on.row->ended);
    });
    section("it is sought while a renewal is out, whose answer is not taken for its own", [] {
        scene on;
        on.begin();
        on.lease.renew(on.now);
        on.carryOut(false);
        on.lease.seek();
        on.carryOut(false);
        check(!on.lease.holdsFence());
        on.answerWrite();
        check(!on.lease.holdsFence());
        on.carryOut();
        check(on.lease.holdsFence());
        check(on.lease.fence() == 2);
    });
}

Test(worker_lease, until_when_tasks_may_run)
{
    scene on;
    on.begin();
    section("counted from before the renewal was sent", [&] {
        const auto sentAt = on.now;
        on.lease.renew(on.now);
        on.carryOut(false);
        on.now += seconds(2);
        on.answerWrite();
        check(on.lease.until() == sentAt + LeaseLength);
    });
    section("and told in the row by the store's clock", [&] {
        check(on.row->endsAtMs == 0); // it was never told
        on.lease.storeTold(70'000, on.now, on.now);
        on.now += RenewEvery;
        on.lease.renew(on.now);
        on.carryOut();
        const auto exact = 70'000 + (RenewEvery + LeaseLength).count();
        check(on.row->endsAtMs >= exact);     // never too early,
        check(on.row->endsAtMs <= exact + 2); // and late by the drift of clocks alone
    });
    section("a renewal whose outcome is not known extends nothing", [&] {
        const auto before = on.lease.until();
        on.now += RenewEvery;
        on.lease.renew(on.now);
        on.carryOut(false);
        check(on.lease.until() == before);
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
    for (const std::string owed : {"", "a"}) { // it left, or was silent
        section(owed.empty() ? "it left" : "it was silent", [&] {
            scene on;
            on.begin();
            on.lease.renew(on.now);
            on.carryOut(false);
            require(on.out.has_value());
            on.lease.allEnded(owed, on.now);
            on.lease.seek(); // "b" was announced
            on.answerWrite();
            on.carryOut();
            require(on.lease.holdsFence());
            check(!on.lease.settled()); // "b" has not been seen
            check(!on.lease.seen("b", 0, on.now));
            on.carryOut();
            check(on.lease.settled());
            check(on.row->life == "b");
            section("the next life of the agent goes on with what runs", [&] {
                on.lease.seek();
                on.carryOut();
                check(!on.lease.seen("b", 3, on.now)); // true: stops them all
            });
        });
    }
}

// An agent is killed while its first write is out; that write takes effect later. Its next
// life read the row before: its own write bears the same name, so that it takes the other one for
// its own, and the end that the row tells is earlier than the one it counts with.
Test(worker_lease, writes_of_two_lives_of_the_agent)
{
    scene on;
    on.begin();
    const auto firstWrite = [&] {
        worker_lease life{"agent"};
        life.storeTold(70'000 + (on.now - time_point{std::chrono::hours(1)}) / milliseconds(1),
                       on.now, on.now);
        life.seek();
        life.takeActions();
        life.rowRead(on.row, on.version, on.now);
        return std::get<write_lease>(life.takeActions().front());
    };
    const auto killed = firstWrite();
    on.now += seconds(2);
    const auto next = firstWrite();
    require(killed.row.endsAtMs < next.row.endsAtMs);
    check(killed.row.write != next.row.write);
}

// Callers see all tasks of a healthy worker stopped and begun anew elsewhere, when its agent is
// replaced. The worker before it left while a write was out, for as long as the store was slow;
// this one announced itself meanwhile. The epoch that ends the old one has to name the life that
// runs.
Test(worker_lease, the_next_life_is_there_before_the_end_is_written)
{
    scene on;
    on.begin();
    on.lease.renew(on.now);
    on.carryOut(false);
    on.lease.allEnded("", on.now);
    on.lease.seek();
    on.answerWrite();
    on.carryOut();
    check(!on.lease.seen("b", 0, on.now));
    on.carryOut();
    check(on.lease.settled());
    check(on.row->life == "b");
    section("an agent that is replaced lets its tasks run on", [&] {
        on.lease = worker_lease("agent");
        on.lease.seek();
        on.carryOut();
        check(!on.lease.seen("b", 3, on.now));
    });
}

// Callers see tasks that last stand still for 14 s. Their worker is lost without a word, its agent
// goes on for a while and is stopped: each renewal told an end that is a whole lease away, though
// nothing can run there for longer than the last call let it.
Test(worker_lease, renewals_beside_a_worker_that_answers_nothing)
{
    scene on;
    on.begin();
    on.lease.storeTold(70'000, on.now, on.now);
    const auto held = on.now + seconds(5);
    section("the row tells the end of what was held", [&] {
        on.now += seconds(1);
        on.lease.renew(on.now, held);
        on.carryOut(false);
        check(on.lease.until() <= held); // as soon as it is sent: it may take effect at any time
        on.answerWrite();
        check(on.lease.until() == held);
        check(on.row->endsAtMs >= 75'000);
        check(on.row->endsAtMs <= 75'002);
    });
    section("once that is over there is nothing to renew", [&] {
        on.now = held;
        on.lease.renew(on.now, held);
        on.carryOut(false);
        check(!on.out.has_value());
    });
    section("a worker that answers again has a whole lease", [&] {
        on.lease.renew(on.now);
        on.carryOut();
        check(on.lease.until() == on.now + LeaseLength);
    });
}
