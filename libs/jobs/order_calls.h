// Divides the orders for one worker into calls that its agent takes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "jobs/messages.h"

namespace zinniabarrow::jobs {

// One call to an agent.
struct order_call
{
    std::string text; // body of the call
    std::vector<run_order> orders;
};

struct order_calls
{
    std::vector<order_call> calls;
    std::vector<order_call> tooLarge; // each of one order whose text alone exceeds the limit
};

// Keeps the sequence of the orders. Calls have at most `maxBytes`; there is at least one call
// unless all orders are too large.
order_calls makeOrderCalls(order_batch batch, std::size_t maxBytes);

// The two halves of a call of several orders.
std::vector<std::vector<run_order>> halvesOf(const std::vector<run_order> &orders);

} // namespace zinniabarrow::jobs
