// Errors: one closed list of kinds, and one table from kind to answer.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

// Every way in which zinniabarrow refuses or fails. A new kind needs a row in errors.cpp.
enum class error_kind {
    // The caller's request is wrong: repeating it unchanged never helps.
    BadRequest,
    RequestTooLarge,
    UnknownService,
    KeyReused,
    // Refused before anything ran: the caller may come back.
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
    // The request may have run, or has.
    AlreadyExecuted,
    OutcomeUnknown,
    AnswerIncomplete,
    AnswerTooLarge,
    AnswerLate,
    // Between the system's own processes.
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

// What the caller may conclude about its request.
enum class executed { No, Yes, Unknown };

// One row of the table from kind to answer.
struct error_answer
{
    error_kind kind;
    std::string_view name;            // in logs, metrics and answers
    int httpStatus;                   // status of the answer to a caller
    executed execution;               // what is certain about the request
    bool retryElsewhere;              // another upstream may be tried at once
    milliseconds suggestedRetryDelay; // Retry-After; 0: coming back unchanged does not help
};

std::span<const error_answer> errorAnswers();
const error_answer &answerFor(error_kind kind);
std::string_view nameOf(error_kind kind);
std::string_view nameOf(executed execution);
std::optional<error_kind> errorKindNamed(std::string_view name);

// The exception of every library here. `what()` says what to do.
class error : public std::runtime_error
{
public:
    error(error_kind kind, const std::string &detail);
    error_kind kind() const noexcept { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace zinniabarrow
