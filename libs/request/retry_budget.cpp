#include "request/retry_budget.h"

#include <algorithm>

#include "base/names.h"

namespace zinniabarrow::request {

namespace {

constexpr name_table<retry_denial, 5> DenialNames{{
        {retry_denial::MayHaveRun, "may_have_run"},
        {retry_denial::SameElsewhere, "no_use"},
        {retry_denial::NoTimeLeft, "no_time_left"},
        {retry_denial::AttemptLimit, "attempt_limit"},
        {retry_denial::BudgetSpent, "budget_spent"},
}};

} // namespace

std::string_view nameOf(retry_denial denial)
{
    return nameOf(DenialNames, denial);
}

retry_budget::retry_budget(retry_budget_settings settings, time_point now)
    : m_settings(settings)
    , m_tokens(settings.minRetriesPerSecond)
    , m_timedTokensAddedAt(now)
{ }

void retry_budget::requestStarted(time_point now)
{
    ++m_counters.requests;
    addTimedTokens(now);
    addTokens(m_settings.retriesPerRequest);
}

retry_verdict retry_budget::requestRetry(const failed_attempt &failed, time_point now)
{
    addTimedTokens(now);
    const auto denial = denialOf(failed, now);
    if (!denial) {
        m_tokens -= 1.0;
        ++m_counters.retried[failed.kind];
        return retry_now{};
    }
    ++m_counters.denied[*denial];
    const bool isBudgetSpent = *denial == retry_denial::BudgetSpent;
    return give_up{*denial, isBudgetSpent ? error_kind::RetryBudgetSpent : failed.kind};
}

std::optional<retry_denial> retry_budget::denialOf(const failed_attempt &failed,
                                                   time_point now) const
{
    const auto &answer = answerFor(failed.kind);
    if (answer.execution != executed::No)
        return retry_denial::MayHaveRun;
    if (!answer.retryElsewhere)
        return retry_denial::SameElsewhere;
    if (now + failed.expectedTime >= failed.deadline)
        return retry_denial::NoTimeLeft;
    if (failed.attempts >= m_settings.maxAttempts)
        return retry_denial::AttemptLimit;
    // If every upstream fails, unlimited retries multiply the load by the limit of attempts and
    // keep the upstreams from recovering. Retries that are limited to a share of the requests add
    // at most that share.
    if (m_tokens < 1.0)
        return retry_denial::BudgetSpent;
    return std::nullopt;
}

void retry_budget::addTokens(double tokens)
{
    m_tokens = std::min(m_tokens + tokens, m_settings.maxSavedRetries);
}

void retry_budget::addTimedTokens(time_point now)
{
    if (now <= m_timedTokensAddedAt)
        return;
    const std::chrono::duration<double> passed = now - m_timedTokensAddedAt;
    addTokens(passed.count() * m_settings.minRetriesPerSecond);
    m_timedTokensAddedAt = now;
}

} // namespace zinniabarrow::request
