// What goes into and comes out of request_flow: plain events and actions.
//
//   events    request_arrived, upstream_chosen, none_available, answer_begun, attempt_ended,
//             claims_committed, claims_read, flow_tick, flow_drain
//   actions   choose_upstream, forward_request, cancel_attempt, answer_caller, commit_claims,
//             read_claims, scan_claims, count_flow, flow_drained
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

// A caller's request, read whole.
struct request_arrived
{
    std::string id;             // unique over all entries and their incarnations
    std::string service;        // name of the service that is asked for
    std::string method;         // HTTP method, upper case
    std::string path;           // with its query
    std::string team;           // team of the caller, may be empty
    std::string idempotencyKey; // empty: none
    std::uint64_t bodyHash = 0; // stableHash of the body
    time_point deadline = Never;
};

// The routing's answer to choose_upstream.
struct upstream_chosen
{
    std::string id;
    std::string agentId;
};

// The routing's other answer: nobody may take the request now.
struct no_upstream_available
{
    std::string id;
    error_kind kind = error_kind::NoUpstream;
};

// An answer whose completeness answer_check has proved.
struct complete_answer
{
    int status = 200;
    std::map<std::string, std::string> headers; // those to be kept with a stored answer
    std::uint64_t bodyBytes = 0;                // bytes of the body
    std::optional<std::string> body;            // set when small enough to be stored
};

// The agent or its upstream refused, with what is certain about the request.
struct attempt_refused
{
    error_kind kind = error_kind::Internal;
    executed ran = executed::Unknown;
    bool hasEnded = false;      // the attempt is known not to be running any more
    milliseconds retryAfter{0}; // 0: the kind's own
};

// No connection was made, so no byte of the request left this entry.
struct attempt_unreachable
{ };

// The connection broke after the request, or a part of it, had been sent.
struct attempt_cut
{
    bool hasEnded = false; // the agent confirmed that the attempt is not running any more
};

// The transport gave up waiting.
struct attempt_timed_out
{ };

// The upstream ran the request; its answer passes the bound on answers.
struct attempt_too_large
{ };

using attempt_outcome = std::variant<complete_answer, attempt_refused, attempt_unreachable,
                                     attempt_cut, attempt_timed_out, attempt_too_large>;

// The end of an attempt whose answer was not whole.
attempt_outcome outcomeOf(error_kind failure);

// A whole head and the first part of a body that is too large to be kept have come: they may be
// passed on now. Followed by attempt_ended once the body has ended.
struct answer_started
{
    std::string id;
    std::uint32_t attempt = 0; // as given by forward_request
    int status = 200;
};

struct attempt_ended
{
    std::string id;
    std::uint32_t attempt = 0; // as given by forward_request
    attempt_outcome outcome;
};

// The platform's answer to commit_claims; Unknown when no answer came.
struct claims_committed
{
    std::string operationId; // of the transaction
    write_result result;
};

// The platform's answer to read_claims or scan_claims.
struct claims_read
{
    std::string readId;
    bool succeeded = false;      // false: down, refused or timed out
    std::vector<table_row> rows; // those that exist
};

// Time went by: to be sent at nextWake() at the latest.
struct flow_tick
{ };

// A planned stop begins: new requests are refused, those in flight end as usual.
struct flow_drain_started
{ };

using flow_event =
        std::variant<request_arrived, upstream_chosen, no_upstream_available, answer_started,
                     attempt_ended, claims_committed, claims_read, flow_tick, flow_drain_started>;

// --- Actions ------------------------------------------------------------------------------------

// Ask the routing for an upstream; answered by upstream_chosen or none_available.
struct choose_upstream
{
    std::string id;
    std::string service;
    std::vector<std::string> excluded; // agents that have refused this request already
};

// Send the request once, never twice; answered by attempt_ended.
struct forward_request
{
    std::string id;
    std::uint32_t attempt = 0; // counted from 1
    std::string agentId;
    time_point deadline = Never; // travels as the time that remains when the bytes are written
};

// Tell the agent that nobody waits any more: what has not started must not start.
struct cancel_attempt
{
    std::string id;
    std::uint32_t attempt = 0;
    std::string agentId;
};

// Pass on the answer of this attempt: whole, or as it arrives after answer_begun.
struct pass_answer
{
    std::uint32_t attempt = 0;
    int status = 200;
    bool streaming = false; // the end of its body is still to come
};

// Answer from the record of the first run, marked as a replay.
struct replay_answer
{
    complete_answer stored;
};

struct refuse_request
{
    error_kind kind = error_kind::Internal;
    executed ran = executed::Unknown;
    milliseconds retryAfter{0}; // 0: coming back unchanged does not help
};

using caller_answer = std::variant<pass_answer, replay_answer, refuse_request>;

// The one final answer of a request.
struct answer_caller
{
    std::string id;
    caller_answer answer;
};

// Commit in the platform's table; answered by claims_committed.
struct commit_claims
{
    table_transaction transaction;
};

// Read these rows; answered by claims_read.
struct read_claims
{
    std::string readId;
    std::vector<std::string> keys;
};

// Read all rows under `prefix`; answered by claims_read.
struct scan_claims
{
    std::string readId;
    std::string prefix;
};

// What is counted, beside the error kinds of retries and refusals.
enum class flow_counter {
    Arrived,            // requests taken in
    Passed,             // whole answers passed on
    Streamed,           // answers of which a first part was passed on
    StreamCut,          // of these, those that did not come whole: the caller's connection was cut
    Replayed,           // answered from a stored answer
    Refused,            // answered with an error kind; by kind
    Retried,            // another attempt; by the kind that ended the one before
    RetryDenied,        // not retried: budget spent; by the kind that ended the attempt
    StaleEvent,         // event of an earlier attempt or of a request that is over
    DuplicateEvent,     // event that had been handled already
    LateOutcome,        // outcome that came after the caller's answer and settled a claim
    ProceededUnclaimed, // idempotent request that went on without its claim
    ClaimResent,        // claim or record that had to be read back or sent again
    ClaimSwept,         // expired rows whose removal was sent
};

struct increment_counter
{
    flow_counter counter = flow_counter::Arrived;
    std::optional<error_kind> kind;
    std::uint64_t amount = 1;
};

// The drain is complete: nothing is in flight and no record waits for the table (or its time is
// over). Sent once.
struct flow_drained
{
    std::uint64_t recordsLost = 0; // records that the table did not take before the end
};

using flow_action =
        std::variant<choose_upstream, forward_request, cancel_attempt, answer_caller, commit_claims,
                     read_claims, scan_claims, increment_counter, flow_drained>;

std::string_view nameOf(flow_counter counter);

} // namespace zinniabarrow::delivery
