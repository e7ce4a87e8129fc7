// Room that an agent keeps on its worker for a run that lasts, while runs that end are in the way.
#include <criterion/criterion.h>

#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Epoch = 3;

// A worker of 4 cores with four short runs of one core each.
struct full_worker
{
    run_table table;
    time_point now{std::chrono::hours(1)};
    std::int64_t endsListed = 0;

    full_worker()
    {
        table.setWorker({4000, 8000, 0}, start_readiness::Open);
        table.setEpoch(Epoch);
        for (int index = 0; index < 4; ++index)
            give(shortRun(index));
        started();
    }

    static run_order shortRun(int index)
    {
        run_order order;
        order.task = {"short", 0, 0, index};
        order.run = 1;
        order.epoch = Epoch;
        order.traits.size = {1000, 1000, 0};
        return order;
    }

    static run_order lasting(const std::string &job, std::int64_t millicores = 2000)
    {
        auto order = shortRun(0);
        order.task.job = job;
        order.traits.size.millicores = millicores;
        order.traits.lasting = true;
        order.waits = true;
        return order;
    }

    order_outcome give(const run_order &order) { return table.take(order, "entry-a", now).outcome; }

    // The jobs of the runs that are started now.
    std::vector<std::string> started(bool mayStart = true)
    {
        std::vector<std::string> jobs;
        for (const auto &action : table.due(now, mayStart)) {
            const auto *start = std::get_if<start_run>(&action);
            if (start == nullptr)
                continue;
            jobs.push_back(start->task.job);
            table.startCalled(start->task, start->run, 5000);
            table.startAnswered(start->task, start->run, start_answer::Started, now);
        }
        return jobs;
    }

    void endShort(int index)
    {
        run_listing seen;
        seen.ended.push_back({++endsListed, shortRun(index).task, 1, end_kind::Done, ""});
        table.look(seen, now);
    }

    std::optional<end_kind> endOf(const run_order &order) const
    {
        for (const auto &end : table.endsFor("entry-a")) {
            if (end.task == order.task && end.run == order.run)
                return end.how;
        }
        return std::nullopt;
    }
};

using job_names = std::vector<std::string>;

} // namespace

// Guards against a large run that lasts and never starts: each gap goes to the next small one.
Test(run_table_room, kept_while_short_runs_end)
{
    full_worker on;
    section("without leave to wait it is refused", [&] {
        auto order = full_worker::lasting("refused");
        order.waits = false;
        check(on.give(order) == order_outcome::NoRoom);
    });
    section("it is taken, and not started over the worker's capacity", [&] {
        check(on.give(full_worker::lasting("a")) == order_outcome::Accepted);
        check(on.started().empty());
        on.endShort(0);
        check(on.started().empty());
    });
    section("a short run does not get what came free",
            [&] { check(on.give(full_worker::shortRun(8)) == order_outcome::NoRoom); });
    section("it starts once its room is there", [&] {
        on.endShort(1);
        check(on.started() == job_names{"a"});
        check(on.table.used().millicores == 4000);
    });
}

// Guards against room that is held for nothing: what lasts does not make way for what lasts.
Test(run_table_room, only_beside_what_lasts)
{
    full_worker on;
    check(on.give(full_worker::lasting("a", 3000)) == order_outcome::Accepted);
    check(on.give(full_worker::lasting("b", 2000)) == order_outcome::NoRoom);
    check(on.give(full_worker::lasting("c", 1000)) == order_outcome::Accepted);
    section("the one that came first gets its room first, also when it is the larger one", [&] {
        on.endShort(0);
        check(on.started().empty());
        on.endShort(1);
        on.endShort(2);
        check(on.started() == job_names{"a"});
        on.endShort(3);
        check(on.started() == job_names{"c"});
    });
}

// Guards against a task that waits at one worker while others have room, and against one that runs
// twice: what is given back was never told to the worker, and never is.
Test(run_table_room, given_back_when_none_comes_free)
{
    full_worker on;
    const auto order = full_worker::lasting("a");
    on.give(order);
    on.now += milliseconds(1990);
    check(on.started().empty());
    check(!on.endOf(order));
    on.now += milliseconds(10);
    check(on.started().empty());
    check(on.endOf(order) == end_kind::NeverStarted);
    section("short runs get its room again", [&] {
        on.endShort(0);
        check(on.give(full_worker::shortRun(9)) == order_outcome::Accepted);
    });
    section("the same order again starts nothing, also with room", [&] {
        for (const int index : {1, 2, 3})
            on.endShort(index);
        on.give(order);
        check(on.started() == job_names{"short"});
    });
}

// Guards against room counted twice or not at all for a run that asks for memory alone.
Test(run_table_room, of_what_lasts_and_fills)
{
    full_worker on;
    auto order = full_worker::lasting("a");
    order.traits.fills = true;
    order.traits.size.memoryMb = 5000;
    check(on.give(order) == order_outcome::Accepted);
    check(on.table.used() == (task_size{4000, 9000, 0}));
    check(on.started().empty());
    on.endShort(0);
    check(on.started() == job_names{"a"});
    check(on.table.used() == (task_size{3000, 8000, 0}));
}

// Guards against a start on a worker that leaves, under a lease that is over, or of a job that was
// cancelled while the run waited.
Test(run_table_room, not_started_after_all)
{
    section("on a worker that leaves it is given back at once", [] {
        full_worker on;
        const auto order = full_worker::lasting("a");
        on.give(order);
        on.table.setWorker({4000, 8000, 0}, start_readiness::Closed);
        on.endShort(0);
        on.endShort(1);
        check(on.started().empty());
        check(on.endOf(order) == end_kind::NeverStarted);
    });
    section("without a lease it waits, and is given back in time", [] {
        full_worker on;
        const auto order = full_worker::lasting("a");
        on.give(order);
        on.endShort(0);
        on.endShort(1);
        check(on.started(false).empty());
        on.now += seconds(2);
        check(on.started(false).empty());
        check(on.endOf(order) == end_kind::NeverStarted);
    });
    section("with its job cancelled the worker hears of neither start nor stop", [] {
        full_worker on;
        const auto order = full_worker::lasting("a");
        on.give(order);
        on.table.cancelled("a", on.now);
        on.endShort(0);
        on.endShort(1);
        check(on.table.due(on.now, true).empty());
        check(on.endOf(order) == end_kind::NeverStarted);
    });
    section("its owner's stop is the end of it", [] {
        full_worker on;
        auto order = full_worker::lasting("a");
        on.give(order);
        auto stop = order;
        stop.kind = order_kind::Stop;
        check(on.give(stop) == order_outcome::Accepted);
        check(on.table.due(on.now, true).empty());
        check(on.endOf(order) == end_kind::NeverStarted);
    });
    section("in another life of the worker nothing is left of it", [] {
        full_worker on;
        on.give(full_worker::lasting("a"));
        on.table.clear();
        check(on.table.used() == task_size{});
        check(on.started().empty());
    });
}

// Guards against a worker given more than it holds while a run that was taken with room has not
// been told to it yet.
Test(run_table_room, taken_with_room_goes_first)
{
    full_worker on;
    on.endShort(0);
    check(on.give(full_worker::shortRun(7)) == order_outcome::Accepted);
    check(on.give(full_worker::lasting("a", 1000)) == order_outcome::Accepted);
    check(on.started(false).empty()); // the lease is being renewed
    check(on.started() == job_names{"short"});
    on.endShort(1);
    check(on.started() == job_names{"a"});
}
