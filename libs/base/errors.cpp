#include "base/errors.h"

#include <array>
#include <cassert>

#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr milliseconds NoRetryDelay{0};
constexpr milliseconds RetrySoon{200};
constexpr milliseconds RetryLater{1000};
constexpr milliseconds RetryMuchLater{5000};

using enum error_kind;

constexpr std::array Answers{
        error_answer{BadRequest, "bad_request", 400, executed::No, false, NoRetryDelay},
        error_answer{RequestTooLarge, "request_too_large", 413, executed::No, false, NoRetryDelay},
        error_answer{UnknownService, "unknown_service", 404, executed::No, false, NoRetryDelay},
        error_answer{KeyReused, "key_reused", 422, executed::No, false, NoRetryDelay},
        error_answer{DeadlinePassed, "deadline_passed", 504, executed::No, false, NoRetryDelay},
        error_answer{DeadlineTooClose, "deadline_too_close", 503, executed::No, true, RetryLater},
        error_answer{QueueFull, "queue_full", 503, executed::No, true, RetryLater},
        error_answer{FairShareExceeded, "fair_share_exceeded", 429, executed::No, false,
                     RetryLater},
        error_answer{NoUpstream, "no_upstream", 503, executed::No, false, RetryLater},
        error_answer{UpstreamUnreachable, "upstream_unreachable", 503, executed::No, true,
                     RetryLater},
        error_answer{Draining, "draining", 503, executed::No, true, RetrySoon},
        error_answer{Starting, "starting", 503, executed::No, true, RetrySoon},
        error_answer{RetryBudgetSpent, "retry_budget_spent", 503, executed::No, false, RetryLater},
        error_answer{Overloaded, "overloaded", 503, executed::No, false, RetryLater},
        error_answer{KeyInProgress, "key_in_progress", 409, executed::Unknown, false, RetryLater},
        error_answer{PlatformUnavailable, "platform_unavailable", 503, executed::No, false,
                     RetryMuchLater},
        error_answer{AlreadyExecuted, "already_executed", 409, executed::Yes, false, NoRetryDelay},
        error_answer{OutcomeUnknown, "outcome_unknown", 502, executed::Unknown, false,
                     NoRetryDelay},
        error_answer{AnswerIncomplete, "answer_cut", 502, executed::Unknown, false, NoRetryDelay},
        error_answer{AnswerTooLarge, "answer_too_large", 502, executed::Yes, false, NoRetryDelay},
        error_answer{AnswerLate, "answer_late", 504, executed::Unknown, false, NoRetryDelay},
        error_answer{StaleEpoch, "stale_epoch", 409, executed::No, false, NoRetryDelay},
        error_answer{StaleIncarnation, "stale_incarnation", 409, executed::No, false, NoRetryDelay},
        error_answer{NotOwner, "not_owner", 409, executed::No, false, RetrySoon},
        error_answer{OverCapacity, "over_capacity", 409, executed::No, false, RetryLater},
        error_answer{Conflict, "conflict", 409, executed::No, false, RetrySoon},
        error_answer{NeverFits, "never_fits", 422, executed::No, false, NoRetryDelay},
        error_answer{Quarantined, "quarantined", 409, executed::No, false, RetryMuchLater},
        error_answer{QuotaExceeded, "quota_exceeded", 429, executed::No, false, RetryMuchLater},
        error_answer{BadSettings, "bad_settings", 400, executed::No, false, NoRetryDelay},
        error_answer{BadConfiguration, "bad_configuration", 422, executed::No, false, NoRetryDelay},
        error_answer{Superseded, "superseded", 409, executed::No, false, NoRetryDelay},
        error_answer{Internal, "internal", 500, executed::Unknown, false, NoRetryDelay},
};

constexpr name_table<executed, 3> ExecutedNames{{
        {executed::No, "no"},
        {executed::Yes, "yes"},
        {executed::Unknown, "unknown"},
}};

} // namespace

std::span<const error_answer> errorAnswers()
{
    return Answers;
}

const error_answer &answerFor(error_kind kind)
{
    const auto &row = Answers.at(static_cast<std::size_t>(kind));
    assert(row.kind == kind && "errors.cpp: keep the rows in the order of error_kind");
    return row;
}

std::string_view nameOf(error_kind kind)
{
    return answerFor(kind).name;
}

std::string_view nameOf(executed execution)
{
    return nameOf(ExecutedNames, execution);
}

std::optional<error_kind> errorKindNamed(std::string_view name)
{
    for (const auto &row : Answers) {
        if (row.name == name)
            return row.kind;
    }
    return std::nullopt;
}

error::error(error_kind kind, const std::string &detail)
    : std::runtime_error(detail)
    , m_kind(kind)
{ }

} // namespace zinniabarrow
