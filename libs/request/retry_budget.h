// Retry budget: decides whether a failed attempt may be retried at another upstream.
//
//   retry_budget_settings   token bucket of retries, limit of attempts
//   retry_verdict           retry_now, or give_up with the error to answer
//   retry_budget            token bucket; an entry has one per service
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>

#include "base/errors.h"
#include "base/time.h"

namespace zinniabarrow::request {

struct retry_budget_settings
{
    double retriesPerRequest = 0.1;   // retries earned by each request
    double minRetriesPerSecond = 1.0; // retries earned per second, also without traffic
    double maxSavedRetries = 20.0;    // capacity of the bucket; it starts with minRetriesPerSecond
    int maxAttempts = 3;              // attempts of one request, including the first
};

// Why a failed attempt is not followed by another one.
enum class retry_denial {
    MayHaveRun,    // the request may have been executed
    SameElsewhere, // it was not executed, and other upstreams would refuse it as well
    NoTimeLeft,    // another attempt would end after the deadline
    AttemptLimit,  // the request has had maxAttempts attempts
    BudgetSpent,   // no token is left
};
std::string_view nameOf(retry_denial denial);

struct retry_now
{ };
struct give_up
{
    retry_denial denialReason = retry_denial::MayHaveRun;
    // Error to answer the caller with: RetryBudgetSpent, or the kind of the failed attempt. The
    // entry ignores it, as its request_flow chooses the answer.
    error_kind kind = error_kind::Internal;
};
using retry_verdict = std::variant<retry_now, give_up>;

// The attempt for which a retry is requested. The entry sets only the kind and a deadline of Never:
// its request_flow has checked the number of attempts and the time left before.
struct failed_attempt
{
    error_kind kind = error_kind::Internal;
    int attempts = 1;        // made so far for this request
    time_point deadline;     // of the request
    duration expectedTime{}; // expected duration of another attempt
};

struct retry_counters
{
    std::uint64_t requests = 0;
    std::map<error_kind, std::uint64_t> retried;  // by error kind of the failed attempt
    std::map<retry_denial, std::uint64_t> denied; // by reason
};

// Limits the retries of one service. The entry calls it for each new request and for each failed
// attempt. Not thread-safe.
class retry_budget
{
public:
    retry_budget(retry_budget_settings settings, time_point now);

    // Adds retriesPerRequest tokens for a new request. Not called for retries.
    void requestStarted(time_point now);

    // Decides whether the failed attempt may be retried. Takes one token if so.
    retry_verdict requestRetry(const failed_attempt &failed, time_point now);

    double availableRetries() const { return m_tokens; }
    const retry_counters &counters() const { return m_counters; }

private:
    std::optional<retry_denial> denialOf(const failed_attempt &failed, time_point now) const;
    void addTokens(double tokens);
    void addTimedTokens(time_point now);

    retry_budget_settings m_settings;
    retry_counters m_counters;
    double m_tokens;                 // available retries
    time_point m_timedTokensAddedAt; // minRetriesPerSecond has been added up to this time
};

} // namespace zinniabarrow::request
