#include "app/order_outcomes.h"

#include <algorithm>
#include <utility>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

bool isAnswerTo(const jobs::order_answer &answer, const jobs::run_order &order)
{
    return answer.task == order.task && answer.run == order.run && answer.kind == order.kind;
}

// Empty if the result contains no readable answer; `reason` is set to what it contains instead.
std::vector<jobs::order_answer> readAnswers(const call_result &result, std::string &reason)
{
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        reason = nameOf(*failure);
        return {};
    }
    const auto &response = std::get<http_response>(result);
    if (response.status != 200) {
        reason = "refused";
        return {};
    }
    try {
        return jobs::orderAnswersFrom(response.body);
    } catch (const error & /*only tells the position in the text, which is not needed*/) {
        reason = "unreadable";
        return {};
    }
}

} // namespace

order_outcomes outcomesOf(std::vector<jobs::run_order> batch, const call_result &result)
{
    order_outcomes outcomes;
    if (const auto *response = std::get_if<http_response>(&result))
        outcomes.status = response->status;
    const auto answers = readAnswers(result, outcomes.reason);
    for (auto &order : batch) {
        const auto answer =
                std::find_if(answers.begin(), answers.end(), [&order](const auto &candidate) {
                    return isAnswerTo(candidate, order);
                });
        if (answer != answers.end())
            outcomes.answered.push_back(*answer);
        else
            outcomes.unanswered.push_back(std::move(order));
    }
    if (!outcomes.unanswered.empty() && outcomes.reason.empty())
        outcomes.reason = "left_out";
    return outcomes;
}

bool isRejection(int status)
{
    constexpr int RequestTimeout = 408;
    constexpr int TooManyRequests = 429;
    return status >= 400 && status < 500 && status != RequestTimeout && status != TooManyRequests;
}

} // namespace zinniabarrow
