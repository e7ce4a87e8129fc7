// Retry budget: a retry is granted only if the request was not executed, time is left, and the
// budget allows it.
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

bool isGranted(const retry_verdict &verdict)
{
    return std::holds_alternative<retry_now>(verdict);
}

bool isDenied(const retry_verdict &verdict, retry_denial reason)
{
    const auto *givenUp = std::get_if<give_up>(&verdict);
    return givenUp && givenUp->denialReason == reason;
}

} // namespace

Test(retryBudget, verdicts)
{
    section("no attempt that may have been executed is ever retried", [] {
        for (const auto &row : errorAnswers()) {
            retry_budget budget({}, Start);
            const auto verdict = budget.requestRetry(failedBy(row.kind), Start);
            check(isGranted(verdict) == row.retryElsewhere);
            check(row.execution == executed::No || isDenied(verdict, retry_denial::MayHaveRun));
        }
    });
    section("no retry if there is no time for another attempt", [] {
        retry_budget budget({}, Start);
        auto failed = failedBy(error_kind::UpstreamUnreachable);
        failed.deadline = Start + milliseconds(20);
        check(isDenied(budget.requestRetry(failed, Start), retry_denial::NoTimeLeft));
        failed.deadline += milliseconds(1);
        check(isGranted(budget.requestRetry(failed, Start)));
    });
    section("no retry after maxAttempts attempts", [] {
        retry_budget budget({}, Start);
        auto failed = failedBy(error_kind::QueueFull);
        failed.attempts = 3;
        check(isDenied(budget.requestRetry(failed, Start), retry_denial::AttemptLimit));
    });
}

// Every upstream is down. Without a budget each request would be sent three times, and recovering
// upstreams would get three times the load. The caller is answered `retry_budget_spent`.
Test(retryBudget, noRetryStorm)
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
        for (; isGranted(budget.requestRetry(failed, now)); ++failed.attempts)
            ++retries;
    }
    section("retries are at most a tenth of the requests plus one a second", [&] {
        check(retries <= Requests / 10 + 10 + 1);
        check(retries >= Requests / 10);
    });
    section("the verdict and the counters give the reason", [&] {
        const auto verdict = budget.requestRetry(failedBy(error_kind::UpstreamUnreachable), Start);
        check(std::get<give_up>(verdict).kind == error_kind::RetryBudgetSpent);
        check(budget.counters().denied.at(retry_denial::BudgetSpent) > 8000);
        check(budget.counters().retried.at(error_kind::UpstreamUnreachable)
              == static_cast<std::uint64_t>(retries));
    });
    section("a long time without traffic saves up a limited number of retries", [&] {
        budget.requestStarted(now + std::chrono::hours(1));
        check(budget.availableRetries() <= 20.0);
    });
}

// At one request a minute, retriesPerRequest alone would earn the first retry after ten minutes,
// and a single failed connection would be answered with an error. minRetriesPerSecond prevents
// that.
Test(retryBudget, minimumRateForLittleTraffic)
{
    retry_budget budget({}, Start);
    for (int minute = 1; minute <= 10; ++minute) {
        const time_point now = Start + std::chrono::minutes(minute);
        budget.requestStarted(now);
        auto failed = failedBy(error_kind::UpstreamUnreachable);
        failed.deadline = now + seconds(5);
        check(isGranted(budget.requestRetry(failed, now)));
    }
}
