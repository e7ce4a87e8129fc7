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
    section("a renewal whose outcome is not known extends nothing", [&] {
        const auto before = on.lease.until();
        on.now += RenewEvery;
        on.lease.renew(on.now);
        on.carryOut(false);
        check(on.lease.until() == before);
    });
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
