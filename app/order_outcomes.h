// What an agent's answer to a batch of orders settles.
#pragma once

#include <string>
#include <vector>

#include "jobs/messages.h"
#include "runtime/http.h"

namespace zinniabarrow {

struct order_outcomes
{
    std::vector<jobs::order_answer> answered; // of orders in the batch only, each order once
    std::vector<jobs::run_order> unanswered;  // nothing is known of them: they are given again
    std::string reason;                       // there are unanswered ones; empty: none
};

// Each order of `batch` is in one of the two lists, whatever the result holds.
order_outcomes outcomesOf(std::vector<jobs::run_order> batch, const call_result &result);

} // namespace zinniabarrow
