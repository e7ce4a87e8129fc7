// Tests of outcomesOf(): how an agent's answer to a batch of orders is interpreted, whatever it
// contains.
#include <criterion/criterion.h>

#include "app/order_outcomes.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

run_order orderOf(int index, order_kind kind = order_kind::Start)
{
    run_order result;
    result.task = {"job", 0, 0, index};
    result.run = 1;
    result.kind = kind;
    return result;
}

order_answer answerTo(const run_order &order)
{
    return {order.task, order.run, order_outcome::Accepted, order.kind};
}

call_result answered(const std::vector<order_answer> &answers)
{
    return http_response{200, {}, toText(answers)};
}

} // namespace

// Guards against an order that is neither answered nor sent again: its task would count as placed
// but never run, and its capacity would stay reserved until the agent's next incarnation.
Test(order_outcomes, each_order_is_answered_or_sent_again)
{
    const std::vector<run_order> batch{orderOf(0), orderOf(1), orderOf(1, order_kind::Stop)};
    section("a complete answer settles all orders", [&] {
        const auto outcomes = outcomesOf(
                batch, answered({answerTo(batch[2]), answerTo(batch[0]), answerTo(batch[1])}));
        check(outcomes.answered.size() == 3);
        check(outcomes.unanswered.empty());
        check(outcomes.reason.empty());
    });
    section("no answer, or a refusal of the whole batch, settles none", [&] {
        const auto late = outcomesOf(batch, call_failure::TimedOut);
        check(late.answered.empty());
        check(late.unanswered.size() == 3);
        check(late.reason == "late");
        const auto refused = outcomesOf(batch, http_response{503, {}, "{}"});
        check(refused.unanswered.size() == 3);
        check(refused.reason == "refused");
    });
    section("an answer that can't be parsed settles none", [&] {
        for (const std::string body : {"", "{", "{}", R"({"answers":[{"task":7}]})"}) {
            const auto outcomes = outcomesOf(batch, http_response{200, {}, body});
            check(outcomes.answered.empty());
            check(outcomes.unanswered.size() == 3);
            check(outcomes.reason == "unreadable");
        }
    });
    section("an order missing from the answer is sent again, the others are settled", [&] {
        const auto outcomes = outcomesOf(batch, answered({answerTo(batch[1])}));
        require(outcomes.answered.size() == 1);
        check(outcomes.answered[0].task == batch[1].task);
        check(outcomes.answered[0].kind == order_kind::Start);
        require(outcomes.unanswered.size() == 2);
        check(outcomes.unanswered[1].kind == order_kind::Stop);
        check(outcomes.reason == "left_out");
    });
    section("answers to orders that are not in the batch, or repeated ones, are ignored", [&] {
        const auto outcomes = outcomesOf(
                {batch[0]},
                answered({answerTo(orderOf(5)), answerTo(batch[0]), answerTo(batch[0])}));
        check(outcomes.answered.size() == 1);
        check(outcomes.unanswered.empty());
    });
}

// Guards against orders that are refused for good and repeated for ever.
Test(order_outcomes, refusals_that_cannot_change)
{
    for (const int status : {400, 404, 413, 431})
        check(isRejection(status));
    section("no answer, and those of an agent that is busy or leaving, may change", [] {
        for (const int status : {0, 200, 408, 429, 500, 502, 503, 504})
            check(!isRejection(status));
    });
    check(outcomesOf({orderOf(0)}, http_response{413, {}, ""}).status == 413);
}
