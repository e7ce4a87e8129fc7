// Placement: the ledger, the learned sizes, quarantine, quotas, interference and the placer.
#include <criterion/criterion.h>

#include "base/errors.h"
#include "placement/ledger.h"
#include "placement/scheduler.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::placement;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Gigabyte = 1'000'000'000;

// Whether the call throws error BadRequest whose text names `member`.
template <typename Call>
bool refusesMember(const std::string &member, Call &&call)
{
    try {
        call();
    } catch (const error &problem) {
        return problem.kind() == error_kind::BadRequest
               && std::string(problem.what()).find(member) != std::string::npos;
    }
    return false;
}

} // namespace

// The agent is given more than its worker holds, because two schedulers decided at once. The worker
// would start it all and run out of memory, so the agent's own ledger has to refuse the surplus,
// and has to go on counting what may still run.
Test(placement, ledger)
{
    ledger book({16'000, 60 * Gigabyte, 1});
    const resources half{8'000, 30 * Gigabyte, 0};
    const task_ref first{"tickets", 0};
    const task_ref second{"season", 0};
    const task_ref third{"season", 1};

    section("gives what fits and no more", [&] {
        check(book.tryReserve(first, half));
        check(book.tryReserve(second, half));
        check(!book.tryReserve(third, {1, 1, 0}));
        check(book.tryReserve(first, half)); // a repeated message is not counted twice
        check(book.reserved() == half + half);
    });
    section("counts an unconfirmed stop and an ambiguous placement", [&] {
        check(book.setState(first, entry_state::Stopping));
        check(book.setState(second, entry_state::Ambiguous));
        check(!book.tryReserve(third, {1, 1, 0}));
        check(book.release(first));
        check(!book.release(first));
        check(book.tryReserve(third, {1'000, 10 * Gigabyte, 0}));
    });
    section("raises a reservation when there is room, else owes it", [&] {
        check(book.raise(third, {0, 20 * Gigabyte, 0}));
        check(!book.raise(third, {0, 40 * Gigabyte, 0}));
        check(book.owed().bytes == 20 * Gigabyte);
        check(!book.fits({0, 1, 0})); // the rest of the memory is kept for the raise
        check(book.release(second));
        check(book.owed().bytes == 0);
        check(book.find(third)->reserved.bytes == 40 * Gigabyte);
    });
    section("a smaller worker takes nothing new until it fits again", [&] {
        book.resize({16'000, 30 * Gigabyte, 1});
        check(!book.tryReserve(first, {1, 0, 0}));
        check(book.release(third));
        check(book.tryReserve(first, half));
    });
}

Test(placement, messages)
{
    task_spec task;
    task.jobId = "season";
    task.jobClass = "booking";
    task.team = "clubs";
    task.pool = "main";
    task.declared = {500, Gigabyte, 0};
    section("a task survives the way there and back", [&] {
        const auto back = taskSpecFromJson(toJson(task));
        check(toJson(back) == toJson(task));
    });
    section("a wrong member is named", [&] {
        auto value = toJson(task);
        value["declared"]["bytes"] = -1;
        check(refusesMember("bytes", [&] { taskSpecFromJson(value); }));
        value = toJson(task);
        value["kind"] = "daemon";
        check(refusesMember("kind", [&] { taskSpecFromJson(value); }));
        check(refusesMember("id", [&] { workerInfoFromJson(Json::Value(3)); }));
    });
}
