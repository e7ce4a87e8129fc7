// Retry budget: whether a failed attempt may be repeated at another upstream.
//
//   retry_budget_settings   share of requests, floor, attempts
//   retry_verdict           retry_now, or give_up with what to answer
//   retry_budget            one for each service in an entry
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
    double minRetriesPerSecond = 1.0; // retries earned with no traffic at all
    double maxSavedRetries = 20.0;    // retries that can be saved up
    int maxAttempts = 3;              // attempts for one request, the first included
};

// Why an attempt is not repeated.
enum class retry_denial {
    MayHaveRun,    // the first try is not known not to have run
    SameElsewhere, // it did not run, and another upstream would say the same
    NoTimeLeft,    // another attempt could not end before the deadline
    AttemptLimit,  // this request has had its attempts
    BudgetSpent,   // too many retries among the recent requests
};
std::string_view nameOf(retry_denial denial);

struct retry_now
{ };
struct give_up
{
    retry_denial denialReason = retry_denial::MayHaveRun;
    error_kind kind = error_kind::Internal; // what to answer
};
using retry_verdict = std::variant<retry_now, give_up>;

struct failed_attempt
{
    error_kind kind = error_kind::Internal;
    int attempts = 1;        // made so far for this request
    time_point deadline;     // the caller's
    duration expectedTime{}; // that another attempt needs
};

struct retry_counters
{
    std::uint64_t requests = 0;
    std::map<error_kind, std::uint64_t> retried; // by the error that was retried
    std::map<retry_denial, std::uint64_t> denied;
};

class retry_budget
{
public:
    retry_budget(retry_budget_settings settings, time_point now);

    // A new request of a caller, not a retry.
    void requestStarted(time_point now);

    // Takes one retry out of the budget when the answer is retry_now.
    retry_verdict requestRetry(const failed_attempt &failed, time_point now);

    double availableRetries() const { return m_tokens; }
    const retry_counters &counters() const { return m_counters; }

private:
    std::optional<retry_denial> denialOf(const failed_attempt &failed, time_point now) const;
    void addTokens(double tokens);
    void addFloorTokens(time_point now);

    retry_budget_settings m_settings;
    retry_counters m_counters;
    double m_tokens;
    time_point m_floorAddedAt; // floor earned up to here
};

} // namespace zinniabarrow::request
