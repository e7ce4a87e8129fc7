// Tests of send_queue: which call is sent next while some targets do not answer.
#include "app/send_queue.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

rpc_call callTo(const std::string &target, const std::string &method = "beat")
{
    return {target, method, Json::objectValue, [](const std::optional<Json::Value> &) {}};
}

// Takes a call and returns its target and method; empty if none may be sent.
std::string takeNext(send_queue &queue)
{
    const auto call = queue.take();
    return call ? call->target + " " + call->method : std::string();
}

} // namespace

// Guards against calls to one target that overtake each other. With two reports of an agent in
// flight, the owner could learn of a task's end before its start.
Test(send_queue, calls_to_one_target_keep_their_order)
{
    send_queue queue({4, 8, 16});
    queue.push(callTo("owner", "first"));
    queue.push(callTo("owner", "second"));
    queue.push(callTo("other"));
    check(takeNext(queue) == "owner first");
    check(takeNext(queue) == "other beat");
    check(!queue.canTake());
    queue.completeCall("owner", true);
    check(takeNext(queue) == "owner second");
}

// Three entries do not answer, the owner does. Each call to an unresponsive entry occupies a thread
// until its timeout. If such calls occupied all threads, the owner's calls would wait although it
// answers at once.
Test(send_queue, unresponsive_targets_leave_one_thread)
{
    send_queue queue({3, 8, 64});
    const std::vector<std::string> unresponsive = {"a", "b", "c"};
    section("targets not yet known to be unresponsive may occupy a thread each", [&] {
        for (const auto &target : unresponsive)
            queue.push(callTo(target));
        check(takeNext(queue) == "a beat");
        check(takeNext(queue) == "b beat");
        check(takeNext(queue) == "c beat");
        for (const auto &target : unresponsive)
            queue.completeCall(target, false);
    });
    section("known unresponsive targets leave one thread to the others", [&] {
        for (const auto &target : unresponsive)
            queue.push(callTo(target));
        queue.push(callTo("owner"));
        check(takeNext(queue) == "a beat");
        check(takeNext(queue) == "b beat");
        check(takeNext(queue) == "owner beat");
        queue.completeCall("owner", true);
        check(!queue.canTake());
    });
    section("a target that answers again is no longer limited", [&] {
        queue.completeCall("a", true);
        check(takeNext(queue) == "c beat");
        queue.push(callTo("a"));
        check(takeNext(queue) == "a beat");
    });
}

// The target whose call has waited longest goes first, so that neither responsive nor unresponsive
// targets starve the others.
Test(send_queue, oldest_call_is_sent_first)
{
    send_queue queue({3, 8, 64});
    queue.push(callTo("silent"));
    check(takeNext(queue) == "silent beat");
    queue.completeCall("silent", false);
    queue.push(callTo("first"));
    queue.push(callTo("silent"));
    queue.push(callTo("last"));
    check(takeNext(queue) == "first beat");
    check(takeNext(queue) == "silent beat");
    check(takeNext(queue) == "last beat");
}

// The number of waiting calls is bounded in all, and per target, so that a target that is gone does
// not use up the queue.
Test(send_queue, waiting_calls_are_bounded)
{
    send_queue queue({1, 2, 3});
    check(queue.push(callTo("gone")));
    check(queue.push(callTo("gone")));
    check(!queue.push(callTo("gone")));
    check(queue.push(callTo("other")));
    check(!queue.push(callTo("third")));
    check(takeNext(queue) == "gone beat");
    check(queue.push(callTo("third")));
}

// A call to a process whose address is not known yet has an empty target. It has to be sent, and to
// fail: if an empty target were taken for "no call", no later call would be sent either.
Test(send_queue, call_without_an_address_is_sent)
{
    send_queue queue({2, 8, 16});
    queue.push(callTo(""));
    queue.push(callTo("owner"));
    check(queue.canTake());
    check(takeNext(queue) == " beat");
    queue.completeCall("", false);
    check(takeNext(queue) == "owner beat");
    queue.push(callTo(""));
    check(takeNext(queue) == " beat");
}
