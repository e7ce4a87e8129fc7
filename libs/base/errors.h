// The closed list of error kinds, and the table that gives each kind its HTTP answer.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

// Every way in which zinniabarrow refuses a request or fails. A new kind needs a row in errors.cpp.
enum class error_kind {
    // The request is invalid; repeating it unchanged never succeeds.
    BadRequest,
    RequestTooLarge,
    UnknownService,
    KeyReused,
    // Refused before execution; the caller may retry.
    DeadlinePassed,
    DeadlineTooClose,
    QueueFull,
    FairShareExceeded,
    NoUpstream,
    UpstreamUnreachable,
    Draining,
    Starting,
    RetryBudgetSpent,
    Overloaded,
    KeyInProgress,
    PlatformUnavailable,
    // The request was executed, or may have been.
    AlreadyExecuted,
    OutcomeUnknown,
    AnswerIncomplete,
    AnswerTooLarge,
    AnswerLate,
    // Between zinniabarrow's own processes.
    StaleEpoch,
    StaleIncarnation,
    NotOwner,
    OverCapacity,
    Conflict,
    // Jobs and configuration.
    NeverFits,
    Quarantined,
    QuotaExceeded,
    BadSettings,
    BadConfiguration,
    Superseded,
    Internal,
};

// What the caller may conclude: whether its request was executed.
enum class executed { No, Yes, Unknown };

// One row of the error table.
struct error_answer
{
    error_kind kind;
    std::string_view name;            // used in logs, metrics and answers
    int httpStatus;                   // HTTP status of the answer to the caller
    executed execution;               // whether the request was executed
    bool retryElsewhere;              // true: another upstream may be tried at once
    milliseconds suggestedRetryDelay; // Retry-After; 0: an unchanged retry does not help
};

std::span<const error_answer> errorAnswers();
const error_answer &answerFor(error_kind kind);
std::string_view nameOf(error_kind kind);
std::string_view nameOf(executed execution);
std::optional<error_kind> errorKindNamed(std::string_view name);

// The exception type of all libraries here. `what()` says how to fix the problem.
class error : public std::runtime_error
{
public:
    error(error_kind kind, const std::string &detail);
    error_kind kind() const noexcept { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace zinniabarrow
