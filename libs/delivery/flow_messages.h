// Events and actions of request_flow.
//
//   events    request_arrived, upstream_chosen, no_upstream_available, answer_started,
//             attempt_ended, claims_committed, claims_read, flow_tick, flow_drain_started
//   actions   choose_upstream, forward_request, cancel_attempt, answer_caller, commit_claims,
//             read_claims, scan_claims, increment_counter, flow_drained
//
// A claim is the right to run a request under its idempotency key, see claim_coordinator.h. The
// entry makes the ids of requests, request_flow those of transactions and reads.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "base/time.h"
#include "platform/records.h"

namespace zinniabarrow::delivery {

// --- Events -------------------------------------------------------------------------------------

// A request of a caller whose body has been read completely.
struct request_arrived
{
    std::string id;             // unique over all entries and their incarnations
    std::string service;        // name of the requested service
    std::string method;         // HTTP method in upper case
    std::string path;           // including the query
    std::string team;           // team of the caller, may be empty
    std::string idempotencyKey; // empty: none
    std::uint64_t bodyHash = 0; // stableHash of the body
    // The caller's, or the entry's default. request_flow reduces it to at most
    // flow_settings::maxRequestTime from the arrival.
    time_point deadline = Never;
};

// Reply of the router to choose_upstream.
struct upstream_chosen
{
    std::string id;
    std::string agentId;
};

// Reply of the router to choose_upstream if no upstream can take the request now.
struct no_upstream_available
{
    std::string id;
    error_kind kind = error_kind::NoUpstream;
};

// An answer that answer_check (base/answer_check.h) has found to be complete.
struct complete_answer
{
    int status = 200;
    std::map<std::string, std::string> headers; // only those that are stored with the answer
    std::uint64_t bodyBytes = 0;                // length of the body
    std::optional<std::string> body;            // set if small enough to be stored
};

// The agent or its upstream refused the attempt.
struct attempt_refused
{
    error_kind kind = error_kind::Internal;
    executed executionState = executed::Unknown; // what is certain about its execution
    // The attempt is certainly no longer running. A request with an idempotent method may then be
    // retried even if it may have been executed.
    bool hasEnded = false;
    milliseconds retryAfter{0}; // 0: use the default of `kind`
};

// No connection could be made, so no byte of the request was sent.
struct attempt_unreachable
{ };

// The connection broke after at least a part of the request had been sent.
struct attempt_disconnected
{
    bool hasEnded = false; // the agent confirmed that the attempt is no longer running
};

// The transport timed out while it waited for the answer.
struct attempt_timed_out
{ };

// The upstream executed the request, but its answer exceeds the entry's limit for the size of
// answers.
struct attempt_too_large
{ };

using attempt_outcome = std::variant<complete_answer, attempt_refused, attempt_unreachable,
                                     attempt_disconnected, attempt_timed_out, attempt_too_large>;

// Outcome of an attempt whose answer answer_check has rejected with `failure`. The entry calls it
// when the body of a streamed answer has ended with an error.
attempt_outcome outcomeOf(error_kind failure);

// The head and the first part of a body that is too large to be stored have arrived and may be
// passed on now. attempt_ended follows when the body has ended.
struct answer_started
{
    std::string id;
    std::uint32_t attempt = 0; // number from forward_request
    int status = 200;
};

struct attempt_ended
{
    std::string id;
    std::uint32_t attempt = 0; // number from forward_request
    attempt_outcome outcome;
};

// Result of commit_claims, whose transaction writes rows of claims or the row of the current era;
// Unknown if the platform did not answer.
struct claims_committed
{
    std::string operationId; // of the transaction
    write_result result;
};

// Result of read_claims or scan_claims: rows of claims, or the row of the current era.
struct claims_read
{
    std::string readId;
    bool succeeded = false;      // false: unavailable, refused or timed out
    std::vector<table_row> rows; // only rows that exist
};

// Time has passed. Must be sent by nextWake() at the latest.
struct flow_tick
{ };

// A planned shutdown has begun: new requests are refused, those in flight end as usual.
struct flow_drain_started
{ };

using flow_event =
        std::variant<request_arrived, upstream_chosen, no_upstream_available, answer_started,
                     attempt_ended, claims_committed, claims_read, flow_tick, flow_drain_started>;

// --- Actions ------------------------------------------------------------------------------------

// Ask the router for an upstream; upstream_chosen or no_upstream_available follows.
struct choose_upstream
{
    std::string id;
    std::string service;
    // Agents of this request's earlier attempts.
    std::vector<std::string> excluded;
};

// Send the request to the agent, exactly once; attempt_ended follows.
struct forward_request
{
    std::string id;
    std::uint32_t attempt = 0; // counted from 1
    std::string agentId;
    time_point deadline = Never; // sent as the time left at the moment of sending
};

// Tell the agent that nobody waits for the attempt: if it has not started, it must not start any
// more.
struct cancel_attempt
{
    std::string id;
    std::uint32_t attempt = 0;
    std::string agentId;
};

// Pass the answer of this attempt on: as a whole, or after answer_started its first part now and
// the rest as it arrives.
struct pass_answer
{
    std::uint32_t attempt = 0;
    int status = 200;
    bool isStreaming = false; // the rest of the body is still to come
};

// Answer with the stored answer of the first run, marked as a replay.
struct replay_answer
{
    complete_answer stored;
};

struct refuse_request
{
    error_kind kind = error_kind::Internal;
    executed executionState = executed::Unknown;
    milliseconds retryAfter{0}; // 0: repeating the same request does not help
};

using caller_answer = std::variant<pass_answer, replay_answer, refuse_request>;

// Answer the request; returned once for each. No further action follows for the rest of a streamed
// answer.
struct answer_caller
{
    std::string id;
    caller_answer answer;
};

// Commit in the platform's table: rows of claims, the next era, or the removal of expired rows.
// claims_committed follows.
struct commit_claims
{
    table_transaction transaction;
};

// Read these rows, of claims or of the current era; claims_read follows.
struct read_claims
{
    std::string readId;
    std::vector<std::string> keys;
};

// Read all rows whose keys start with `prefix`; claims_read follows.
struct scan_claims
{
    std::string readId;
    std::string prefix;
};

// What is counted. Counters marked "by kind" are split by error kind.
enum class flow_counter {
    Arrived,            // requests that arrived
    Passed,             // complete answers passed on
    Streamed,           // answers whose first part was passed on before their end
    StreamCut,          // streamed answers that broke off: the caller's connection was closed
    Replayed,           // answered with a stored answer
    Refused,            // answered with an error; by kind
    Retried,            // retries; by kind of the failed attempt
    RetryDenied,        // retries refused by the retry budget; by kind of the failed attempt
    StaleEvent,         // events of an earlier attempt or step, or of an ended request
    DuplicateEvent,     // events that were processed before
    LateOutcome,        // outcomes that arrived after the caller was answered and decided a claim
    ProceededUnclaimed, // requests with an idempotent method that ran as no claim could be made
    ClaimResent,        // rows of transactions that certainly or perhaps were not applied
    ClaimSwept,         // expired rows whose removal was sent
};

struct increment_counter
{
    flow_counter counter = flow_counter::Arrived;
    std::optional<error_kind> kind; // only for counters by kind
    std::uint64_t amount = 1;
};

// The drain is complete: no request is in flight, and the outcomes of all claims are stored or
// flow_settings::drainTimeout is over. Returned once.
struct flow_drained
{
    std::uint64_t recordsLost = 0; // claims whose outcome was not stored in time
};

using flow_action =
        std::variant<choose_upstream, forward_request, cancel_attempt, answer_caller, commit_claims,
                     read_claims, scan_claims, increment_counter, flow_drained>;

std::string_view nameOf(flow_counter counter); // part of the metric's name

} // namespace zinniabarrow::delivery
