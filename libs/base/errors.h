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
// "Key" is the idempotency key: a caller's name for one non-idempotent request, the same in
// repeats.
enum class error_kind {
    // The request is invalid; repeating it unchanged never succeeds.
    BadRequest,
    RequestTooLarge,
    UnknownService,
    KeyReused, // the key was used for another request
    // This try was refused before execution. The caller may retry later, except for DeadlinePassed.
    DeadlinePassed,      // the deadline passed before execution began
    DeadlineTooClose,    // the request is not expected to end before its deadline
    QueueFull,           // the upstream's queue of waiting requests is full
    FairShareExceeded,   // the queue is full, and this team has far more than its share of it
    NoUpstream,          // no upstream of the service can be chosen
    UpstreamUnreachable, // no connection: nothing was sent
    Draining,            // the process takes no new work and finishes what is in flight
    Starting,            // the process does not take work yet
    RetryBudgetSpent,    // the entry's own share of retries at other upstreams is spent
    Overloaded,          // a limit of the process is reached, or the upstreams are backing off
    KeyInProgress,       // an earlier try with this key has not ended: it may have been executed
    PlatformUnavailable, // the table or object store does not answer or refuses
    // The request was executed, or may have been.
    AlreadyExecuted,  // with this key; the answer was not kept
    OutcomeUnknown,   // nothing tells whether the request was executed
    AnswerIncomplete, // the answer was cut off or is malformed
    AnswerTooLarge,   // the answer exceeds its size limit
    AnswerLate,       // the deadline passed before the complete answer had arrived
    // Between zinniabarrow's own processes; the one that sent the message is the caller then.
    StaleEpoch,       // epoch: number of a shard's owner; the sender is an earlier owner
    StaleIncarnation, // incarnation: number of a process's start; the message is of an earlier one
    NotOwner,         // nothing reports this kind at present
    OverCapacity,     // the entry can't record another agent
    Conflict,         // the condition of a conditional write did not hold
    // Jobs and configuration.
    NeverFits,        // a task needs more than the largest worker of its pool has
    Quarantined,      // the job is held because it failed on several distinct workers
    QuotaExceeded,    // a task needs more than its team's quota allows
    BadSettings,      // of a process, such as an address that can't be used
    BadConfiguration, // the operators' folder can't be read
    Superseded,       // nothing reports this kind at present
    // Every other failure.
    Internal,
};

// What the caller may conclude: whether its request was executed.
enum class executed { No, Yes, Unknown };

// One row of the error table.
struct error_answer
{
    error_kind kind;
    std::string_view name; // used in logs, metrics and answers
    int httpStatus;        // HTTP status of the answer to the caller
    executed execution;    // what this kind says about the request's execution
    bool retryElsewhere;   // true: another upstream may be tried at once
    // Sent as Retry-After, in whole seconds rounded up; 0: an unchanged retry does not help.
    milliseconds suggestedRetryDelay;
};

std::span<const error_answer> errorAnswers(); // all rows, in the order of error_kind
const error_answer &answerFor(error_kind kind);
std::string_view nameOf(error_kind kind);
std::string_view nameOf(executed execution);
std::optional<error_kind> errorKindNamed(std::string_view name); // nothing if unknown

// The exception type of the libraries here, except rpc, which has its own (rpc.h). `what()` says
// how to fix the problem.
class error : public std::runtime_error
{
public:
    error(error_kind kind, const std::string &detail);
    error_kind kind() const noexcept { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace zinniabarrow
