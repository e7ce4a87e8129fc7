// Which call goes out next, while some targets do not answer.
#include "app/send_queue.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

rpc_call callTo(const std::string &target, const std::string &method = "beat")
{
    return {target, method, Json::objectValue, [](const std::optional<Json::Value> &) {}};
}

// Takes a call and names it; empty when none may go out.
std::string taken(send_queue &queue)
{
    const auto call = queue.take();
    return call ? call->target + " " + call->method : std::string();
}

} // namespace

// An agent's reports overtake each other if two of them are on their way at once: the owner would
// hear of a task's end before its start.
Test(send_queue, calls_to_one_target_keep_their_order)
{
    send_queue queue({4, 8, 16});
    queue.push(callTo("owner", "first"));
    queue.push(callTo("owner", "second"));
    queue.push(callTo("other"));
    check(taken(queue) == "owner first");
    check(taken(queue) == "other beat");
    check(!queue.canTake());
    queue.completeCall("owner", true);
    check(taken(queue) == "owner second");
}

// Three entries are silent, the owner answers. Each call to a silent one holds a thread until its
// timeout. Were all threads held by these, the owner's calls would wait although it answers at
// once.
Test(send_queue, silent_targets_leave_a_thread)
{
    send_queue queue({3, 8, 64});
    const std::vector<std::string> unresponsive = {"a", "b", "c"};
    section("not yet known as silent: each may hold a thread once", [&] {
        for (const auto &target : unresponsive)
            queue.push(callTo(target));
        check(taken(queue) == "a beat");
        check(taken(queue) == "b beat");
        check(taken(queue) == "c beat");
        for (const auto &target : unresponsive)
            queue.completeCall(target, false);
    });
    section("from then on one thread is left", [&] {
        for (const auto &target : unresponsive)
            queue.push(callTo(target));
        queue.push(callTo("owner"));
        check(taken(queue) == "a beat");
        check(taken(queue) == "b beat");
        check(taken(queue) == "owner beat");
        queue.completeCall("owner", true);
        check(!queue.canTake());
    });
    section("one that answers counts as the others again", [&] {
        queue.completeCall("a", true);
        check(taken(queue) == "c beat");
        queue.push(callTo("a"));
        check(taken(queue) == "a beat");
    });
}

// Whoever has waited longest goes first: neither those that answer nor those that do not keep the
// others waiting for good.
Test(send_queue, the_oldest_goes_first)
{
    send_queue queue({3, 8, 64});
    queue.push(callTo("silent"));
    check(taken(queue) == "silent beat");
    queue.completeCall("silent", false);
    queue.push(callTo("first"));
    queue.push(callTo("silent"));
    queue.push(callTo("last"));
    check(taken(queue) == "first beat");
    check(taken(queue) == "silent beat");
    check(taken(queue) == "last beat");
}

// What waits is bounded for each target, so that one which is gone takes the place of no other, and
// in all.
Test(send_queue, what_waits_is_bounded)
{
    send_queue queue({1, 2, 3});
    check(queue.push(callTo("gone")));
    check(queue.push(callTo("gone")));
    check(!queue.push(callTo("gone")));
    check(queue.push(callTo("other")));
    check(!queue.push(callTo("third")));
    check(taken(queue) == "gone beat");
    check(queue.push(callTo("third")));
}

// A duty asks a process whose address it does not know yet. The call has to go out, and to fail:
// were it taken for no call at all, nothing behind it would go out any more.
Test(send_queue, a_call_without_an_address_goes_out)
{
    send_queue queue({2, 8, 16});
    queue.push(callTo(""));
    queue.push(callTo("owner"));
    check(queue.canTake());
    check(taken(queue) == " beat");
    queue.completeCall("", false);
    check(taken(queue) == "owner beat");
    queue.push(callTo(""));
    check(taken(queue) == " beat");
}
