// Claims on idempotency keys: which request may run under a key, and what its outcome was. A claim
// is a row of the platform's table that names the one request that may run under a key, which holds
// the claim, and the entry that processes it.
//
//   claim_state         state of a claim in the table
//   claim_row           value of a claim's row; toJson and claimRowFromJson
//   claim_settings      limits, intervals and timeouts
//   claim_verdict       granted, refused or replayed
//   claim_coordinator   commits claims in groups, reads uncertain rows back, caches ended claims,
//                       removes expired rows
//
// docs/design/AT_MOST_ONCE.md explains why a keyed request runs at most once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/errors.h"
#include "base/time.h"
#include "delivery/flow_messages.h"
#include "platform/records.h"

namespace zinniabarrow::delivery {

enum class claim_state {
    Started,  // may be running, or may have been run by an entry that died
    Finished, // was executed; the row has the answer if it was small enough
    NotRun,   // certainly not executed: the key is free again
    Unknown,  // its entry does not know whether it was executed
};

// Value of a row whose key starts with "claim/".
struct claim_row
{
    std::string requestId;         // of the request that holds the claim
    std::string entryId;           // incarnation of the entry that processes the request
    std::uint64_t requestHash = 0; // of method, path and body
    claim_state state = claim_state::Started;
    // In which the claim was stored, see claim_settings::eraDuration. The end of a granted claim
    // doesn't change it.
    std::uint64_t era = 0;
    std::optional<complete_answer> answer; // set if Finished and small enough
};

std::string_view nameOf(claim_state state); // as in the row
Json::Value toJson(const complete_answer &answer);
complete_answer completeAnswerFromJson(const Json::Value &value); // throws error BadRequest
Json::Value toJson(const claim_row &row);
claim_row claimRowFromJson(const Json::Value &value); // throws error BadRequest

struct claim_settings
{
    int commitBurst = 5;                  // transactions that may be sent at once after a pause
    milliseconds commitInterval{20};      // shortest mean time between transactions of this entry
    milliseconds endRecordDelay{100};     // an outcome waits this long to share a transaction
    milliseconds tableRetryInterval{250}; // between two reads that probe an unavailable table
    milliseconds claimTimeout{1000};      // a claim without verdict by then is refused as not run
    std::size_t maxBatchRows = 64;        // rows in one transaction
    std::size_t maxCommitsInFlight = 4;   // transactions without a result
    // Claims whose final state is not stored yet; further claims are refused as Overloaded.
    std::size_t maxOpenClaims = 8192;
    // Ended claims in this entry's memory, and the bytes of their answers' bodies; above either,
    // the oldest are dropped from memory.
    std::size_t maxCachedClaims = 8192;
    std::size_t maxCachedBytes = 16U << 20U;
    std::size_t maxAnswerBytes = 4096; // larger bodies are not stored
    std::size_t maxKeyBytes = 256;     // longer idempotency keys are refused
    // The age of rows is counted in eras. A row of the table has the number of the current era, and
    // every entry reads it. An entry that has seen it unchanged for eraDuration on its own clock
    // increments it. A key lives for at least keyLifetimeEras * eraDuration, and longer if the era
    // can't be incremented because the table is unavailable.
    milliseconds eraDuration{600'000};
    std::uint64_t keyLifetimeEras = 12;
    milliseconds sweepInterval{5000}; // between two scans for expired rows
};

// The request may run.
struct claim_granted
{ };
// The request gets no claim and must not run. KeyReused: the key belongs to a request with another
// hash. KeyInProgress: the request that holds the claim may still be running, or its end is not
// stored yet. AlreadyExecuted: it ran, and no answer is stored. OutcomeUnknown: whether it ran is
// not known, for example because its entry has died. PlatformUnavailable and Overloaded: no claim
// could be made; request_flow then runs requests with an idempotent method without one.
struct claim_refused
{
    error_kind kind = error_kind::Internal;
};
// The request ran before; its stored answer is returned.
struct claim_replayed
{
    complete_answer answer;
};
using claim_verdict = std::variant<claim_granted, claim_refused, claim_replayed>;

// The verdict on a call of claim().
struct claim_decided
{
    std::string requestId;
    claim_verdict verdict;
};

struct claim_request
{
    std::string requestId;
    std::string rowKey; // from claimRowKey()
    std::uint64_t requestHash = 0;
};

// Row key of an idempotency key. It contains service and team, and begins with one of 4096
// prefixes, chosen by their hash, so that the sweep can scan the table in parts.
std::string claimRowKey(const std::string &service, const std::string &team,
                        const std::string &key);

// Prefix of one part of the table; `index` modulo 4096.
std::string claimRowPrefix(std::size_t index);

// Whether the incarnation `entryId` of an entry is believed to be alive. A wrong result changes
// only the error kind of a refusal, never whether a request runs.
using entry_alive_check = std::function<bool(const std::string &entryId)>;

// increment_counter comes from flow_messages.h, as do the actions on the table.
using claim_action =
        std::variant<claim_decided, commit_claims, read_claims, scan_claims, increment_counter>;

// Decides for an entry which requests hold the claims on their keys, and stores the outcomes.
// Called by request_flow. Not thread-safe. After each call, takeActions() returns the actions to
// carry out.
class claim_coordinator
{
public:
    claim_coordinator(std::string entryId, claim_settings settings, entry_alive_check isEntryAlive);

    // Asks for permission to run a request. The verdict follows in one claim_decided, at once or
    // later.
    void claim(const claim_request &request, time_point now);
    // Called when a request that holds a claim has ended: executed, not executed, or unknown, in
    // which case repeats are refused as OutcomeUnknown. Nothing may be forwarded under the claim
    // afterwards.
    void recordFinished(const std::string &requestId, const complete_answer &answer,
                        time_point now);
    void recordNotRun(const std::string &requestId, time_point now);
    void recordUnknown(const std::string &requestId, time_point now);
    // Called when the request ended before the verdict: no claim_decided follows. If its row may be
    // in the table, it is set to NotRun there.
    void abandonClaim(const std::string &requestId, time_point now);

    void handleCommitResult(const claims_committed &event, time_point now);
    void handleReadResult(const claims_read &event, time_point now);
    void tick(time_point now);

    std::vector<claim_action> takeActions();
    // Time at which tick() is due.
    time_point nextWake() const;
    // Number of claims whose final state is not stored yet.
    std::size_t openClaimCount() const { return m_openClaims.size(); }
    std::size_t cachedBytes() const { return m_cachedBytes; }

private:
    // CommitQueued: waits for a transaction. Committing: in a transaction. ReadQueued: the result
    // of a transaction is uncertain. Reading: its row is being read. Stored: the table has the row
    // with the state Started; the request may run, and its end is still to come.
    enum class phase { CommitQueued, Committing, ReadQueued, Reading, Stored };

    struct open_claim
    {
        claim_row wantedRow;                          // row that the table should have
        claim_state sentState = claim_state::Started; // state in the last transaction
        phase currentPhase = phase::CommitQueued;
        bool awaitsVerdict = true;     // claim_decided has not been returned yet
        bool isGranted = false;        // claim_granted was decided: the request may be forwarded
        bool hasUnknownCommit = false; // a transaction without a result may still be applied
        std::uint64_t version = 0;     // last known version of the row; 0: absent
        time_point nextCommitAt{};     // due time of the next transaction, while CommitQueued
        time_point timeoutAt{};        // end of claimTimeout, while awaitsVerdict
    };

    // An ended claim of this entry, once its end is stored. Claims that ended as NotRun aren't
    // kept.
    struct cached_claim
    {
        claim_row row;
        time_point expiresAt = Never;
        std::list<std::string>::iterator agePosition;
    };

    // Row keys, ordered by a point in time.
    using timed_keys = std::set<std::pair<time_point, std::string>>;

    std::optional<claim_verdict> verdictFromMemory(const claim_request &request) const;
    claim_verdict verdictFor(const claim_row &row, std::uint64_t requestHash) const;
    bool isKeyFree(const claim_row &row) const;
    open_claim *findClaim(const std::string &requestId);

    void endClaim(const std::string &requestId, claim_state state,
                  std::optional<complete_answer> answer);
    void dropClaim(const std::string &key); // erased, or NotRun if it may be in the table
    void sendVerdict(open_claim &claim, claim_verdict verdict);
    void queueCommit(const std::string &key, open_claim &claim, time_point dueAt);
    void queueRead(const std::string &key, open_claim &claim);
    void removeFromQueues(const std::string &key, const open_claim &claim);
    void eraseClaim(const std::string &key); // from memory only
    void cacheClaim(const std::string &key, const claim_row &row);
    void evictOldestCached();

    void commitApplied(const std::string &key, std::uint64_t version);
    void confirmStored(const std::string &key, open_claim &claim, claim_state stored);
    void resolveRow(const std::string &key, const table_row *row);
    void resolveOtherRow(const std::string &key, open_claim &claim, const table_row &row);
    void commitDone(const std::vector<std::string> &keys, const write_result &result);
    void readDone(const std::vector<std::string> &keys, const std::vector<table_row> &rows);
    void readFailed(const std::vector<std::string> &keys);
    void tableAnswered();
    void tableFailed();
    void recordTableOutcome(write_outcome outcome);
    void refuseUnsentClaims(); // those without verdict that wait to be sent or read back

    void runDueWork();
    void timeOutClaims();
    void sendCommits();
    bool canCommit() const;
    time_point commitAllowedAt() const;
    void sendReads();
    void sendCommit(const std::vector<std::string> &keys);
    void readEraIfDue();
    void handleEraRead(const claims_read &event);
    void incrementEra();
    void handleEraCommit(const write_result &result);
    void sweepIfDue();
    void handleSweepScan(const claims_read &event);
    std::string nextOperationId();

    std::string m_entryId;
    claim_settings m_settings;
    entry_alive_check m_isEntryAlive;
    std::map<std::string, open_claim> m_openClaims;                    // by row key
    std::map<std::string, std::string> m_rowKeys;                      // row key by request id
    timed_keys m_commitQueue;                                          // by nextCommitAt
    std::set<std::string> m_readQueue;                                 // row keys
    timed_keys m_timeouts;                                             // by timeoutAt
    std::map<std::string, std::vector<std::string>> m_commitsInFlight; // row keys by operation id
    std::map<std::string, std::vector<std::string>> m_readsInFlight;   // row keys by read id
    std::map<std::string, cached_claim> m_cachedClaims;                // by row key
    std::list<std::string> m_cachedByAge;                              // row keys, oldest first
    std::size_t m_cachedBytes = 0;
    std::uint64_t m_lastId = 0;
    time_point m_commitsPacedUntil{}; // each transaction advances it by commitInterval
    bool m_isTableDown = false;       // no success since the last failure
    std::uint64_t m_era = 0;          // 0: not known, so nothing can be committed
    std::uint64_t m_eraVersion = 0;   // version of the row of the era
    time_point m_eraVersionSeenAt{};  // when m_eraVersion was first seen
    time_point m_nextEraReadAt{};     // Never while a read or an increment is in flight
    std::string m_eraReadId;
    std::string m_eraCommitId;
    time_point m_nextSweepAt{};    // Never while a scan is in flight
    std::size_t m_sweepPrefix = 0; // index of the part to scan next
    std::string m_sweepReadId;
    time_point m_now{}; // time of the call that is being processed
    std::vector<claim_action> m_actions;
};

} // namespace zinniabarrow::delivery
