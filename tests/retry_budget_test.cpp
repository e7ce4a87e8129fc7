// Retries: only where nothing ran, within a budget, with time left.
#include "request/retry_budget.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::request;
using tests::section;

namespace {

constexpr time_point Start{seconds(100)};

failed_attempt failedBy(error_kind kind)
{
    return {kind, 1, Start + seconds(5), milliseconds(20)};
}

bool granted(const retry_verdict &verdict)
{
    return std::holds_alternative<retry_now>(verdict);
}

bool denied(const retry_verdict &verdict, retry_denial why)
{
    const auto *givenUp = std::get_if<give_up>(&verdict);
    return givenUp && givenUp->denialReason == why;
}

} // namespace

Test(retryBudget, verdicts)
{
    section("no error that may have run is ever retried", [] {
        for (const auto &row : errorAnswers()) {
            retry_budget budget({}, Start);
            const auto verdict = budget.requestRetry(failedBy(row.kind), Start);
            check(granted(verdict) == row.retryElsewhere);
            check(row.execution == executed::No || denied(verdict, retry_denial::MayHaveRun));
        }
    });
    section("nor one without the time for another attempt", [] {
        retry_budget budget({}, Start);
        auto failed = failedBy(error_kind::UpstreamUnreachable);
        failed.deadline = Start + milliseconds(20);
        check(denied(budget.requestRetry(failed, Start), retry_denial::NoTimeLeft));
        failed.deadline += milliseconds(1);
        check(granted(budget.requestRetry(failed, Start)));
    });
    section("nor one that has had its attempts", [] {
        retry_budget budget({}, Start);
        auto failed = failedBy(error_kind::QueueFull);
        failed.attempts = 3;
        check(denied(budget.requestRetry(failed, Start), retry_denial::AttemptLimit));
    });
}

// Every upstream is down. Without a budget each request would be sent three times, and the load on
// the upstreams that try to come back would be threefold. The caller reads `retry_budget_spent`.
Test(retryBudget, noStorm)
{
    retry_budget budget({}, Start);
    time_point now = Start;
    constexpr int Requests = 10000;
    int retries = 0;
    for (int i = 0; i < Requests; ++i) {
        now += milliseconds(1);
        budget.requestStarted(now);
        auto failed = failedBy(error_kind::UpstreamUnreachable);
        failed.deadline = now + seconds(5);
        for (; granted(budget.requestRetry(failed, now)); ++failed.attempts)
            ++retries;
    }
    section("a tenth of the requests and one a second, no more", [&] {
        check(retries <= Requests / 10 + 10 + 1);
        check(retries >= Requests / 10);
    });
    section("the answer and the counters say why", [&] {
        const auto verdict = budget.requestRetry(failedBy(error_kind::UpstreamUnreachable), Start);
        check(std::get<give_up>(verdict).kind == error_kind::RetryBudgetSpent);
        check(budget.counters().denied.at(retry_denial::BudgetSpent) > 8000);
        check(budget.counters().retried.at(error_kind::UpstreamUnreachable)
              == static_cast<std::uint64_t>(retries));
    });
    section("a long quiet time saves up a bounded burst", [&] {
        budget.requestStarted(now + std::chrono::hours(1));
        check(budget.availableRetries() <= 20.0);
    });
}

// With one caller a minute, a share of the requests would never earn a whole retry, and the one
// failed connection of the day would reach the caller.
Test(retryBudget, floorForLittleTraffic)
{
    retry_budget budget({}, Start);
    for (int minute = 1; minute <= 10; ++minute) {
        const time_point now = Start + std::chrono::minutes(minute);
        budget.requestStarted(now);
        auto failed = failedBy(error_kind::UpstreamUnreachable);
        failed.deadline = now + seconds(5);
        check(granted(budget.requestRetry(failed, now)));
    }
}
