// Interprets an agent's answer to a batch of orders.
#pragma once

#include <string>
#include <vector>

#include "jobs/messages.h"
#include "runtime/http.h"

namespace zinniabarrow {

struct order_outcomes
{
    std::vector<jobs::order_answer> answered; // only of orders in the batch, one per order
    std::vector<jobs::run_order> unanswered;  // outcome unknown; these orders are sent again
    std::string reason;                       // why some are unanswered; empty: all are answered
    int status = 0;                           // HTTP status of the answer; 0: none
};

// Puts each order of `batch` into exactly one of the two lists, whatever the result contains.
order_outcomes outcomesOf(std::vector<jobs::run_order> batch, const call_result &result);

// True for an HTTP status that says that nothing of the call was done, and that the same call will
// be answered so again.
bool isRejection(int status);

} // namespace zinniabarrow
