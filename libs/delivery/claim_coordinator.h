// Claims on idempotency keys: who may run a keyed request, and what became of it.
//
//   claim_state      what a row of the table says
//   claim_row        the row's value, toJson / claimRowFromJson
//   claim_settings   bounds and times
//   claim_verdict    granted, refused or replayed
//   claim_book       group commits, read-backs, the memory of this entry, age, sweeping
//
// Why this gives at most once: docs/design/AT_MOST_ONCE.md.
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
    Finished, // ran; its answer is in the row when it was small enough
    NotRun,   // certainly did not run: the key is free again
    Unknown,  // its entry does not know whether it ran
};

// The value of a row under "claim/".
struct claim_row
{
    std::string requestId;         // the writer's own operation id
    std::string entryId;           // incarnation of the entry that holds the claim
    std::uint64_t requestHash = 0; // of method, path and body
    claim_state state = claim_state::Started;
    std::uint64_t era = 0;                 // era of the claim, see claim_settings::eraLength
    std::optional<complete_answer> answer; // set when Finished and small enough
};

std::string_view nameOf(claim_state state);
Json::Value toJson(const complete_answer &answer);
complete_answer completeAnswerFromJson(const Json::Value &value); // throws error BadRequest
Json::Value toJson(const claim_row &row);
claim_row claimRowFromJson(const Json::Value &value); // throws error BadRequest

struct claim_settings
{
    int commitBurst = 5;                     // transactions that may go at once after a pause
    milliseconds commitInterval{20};         // between two transactions of this entry, on average
    milliseconds endRecordDelay{100};        // a record of an end waits so long for company
    milliseconds tableRetryInterval{250};    // between two probes of a table that is down
    milliseconds claimTimeout{1000};         // a claim not settled by then is refused as not run
    std::size_t maxBatchRows = 64;           // rows in one transaction
    std::size_t maxCommitsInFlight = 4;      // transactions in flight
    std::size_t maxOpenClaims = 8192;        // claims not yet settled for good
    std::size_t maxCachedClaims = 8192;      // ended requests in this entry's memory
    std::size_t maxCachedBytes = 16U << 20U; // bytes of their answers
    std::size_t maxAnswerBytes = 4096;       // larger answers are not stored
    std::size_t maxKeyBytes = 256;           // longer keys are refused
    // The age of rows is counted in eras: a row of the table that some entry raises once it has
    // seen it unchanged for eraLength on its own clock. A key lives for at least
    // keyLifeEras * eraLength, and longer when the table is down.
    milliseconds eraDuration{600'000};
    std::uint64_t keyLifetimeEras = 12;
    milliseconds sweepInterval{5000}; // between two scans for expired rows
};

struct claim_granted
{ };
struct claim_refused
{
    error_kind kind = error_kind::Internal;
};
struct claim_replayed
{
    complete_answer answer;
};
using claim_verdict = std::variant<claim_granted, claim_refused, claim_replayed>;

struct claim_decided
{
    std::string requestId;
    claim_verdict verdict;
};

struct claim_request
{
    std::string requestId;
    std::string rowKey; // claimKey()
    std::uint64_t requestHash = 0;
};

// The row of a key: scoped to service and team, spread over 4096 prefixes for the sweep.
std::string claimRowKey(const std::string &service, const std::string &team,
                        const std::string &key);

std::string claimRowPrefix(std::size_t index); // of the index-th part of the sweep, modulo 4096

// Is this incarnation of an entry believed to be alive? A wrong answer changes only the words of a
// refusal, never whether something runs.
using entry_alive_check = std::function<bool(const std::string &entryId)>;

using claim_action =
        std::variant<claim_decided, commit_claims, read_claims, scan_claims, increment_counter>;

// One thread at a time. Whatever a call decides is waiting in takeActions() afterwards.
class claim_coordinator
{
public:
    claim_coordinator(std::string entryId, claim_settings settings, entry_alive_check isEntryAlive);

    // Asks for the right to run; answered by one claim_settled, at once or later.
    void claim(const claim_request &request, time_point now);
    // The holder of a claim reports its end. Nothing may be forwarded for it afterwards.
    void recordFinished(const std::string &requestId, const complete_answer &answer,
                        time_point now);
    void recordNotRun(const std::string &requestId, time_point now);
    void recordUnknown(const std::string &requestId, time_point now);
    // The request ended before its claim was settled: no claim_settled follows.
    void abandonClaim(const std::string &requestId, time_point now);

    void handleCommitResult(const claims_committed &event, time_point now);
    void handleReadResult(const claims_read &event, time_point now);
    void tick(time_point now);

    std::vector<claim_action> takeActions();
    time_point nextWake() const;
    std::size_t openClaimCount() const { return m_openClaims.size(); } // not yet settled for good
    std::size_t cachedBytes() const { return m_cachedBytes; }

private:
    // Queued: waits for a transaction. Committing: in one. MustRead: a transaction ended in doubt.
    // Reading: its row is being read. Held: the table says what is wanted for now.
    enum class phase { CommitQueued, Committing, ReadQueued, Reading, Stored };

    struct open_claim
    {
        claim_row wantedRow;                          // as it is wanted in the table
        claim_state sentState = claim_state::Started; // state in the newest transaction
        phase currentPhase = phase::CommitQueued;
        bool awaitsVerdict = true;     // a claim_settled is owed
        bool isGranted = false;        // the holder may have forwarded
        bool hasUnknownCommit = false; // a transaction without an answer may still apply
        std::uint64_t version = 0;     // of the row as last known; 0: absent
        time_point nextCommitAt{};     // next transaction, while Queued
        time_point timeoutAt{};        // end of patience, while waiting
    };

    struct cached_claim
    {
        claim_row row;
        time_point expiresAt = Never;
        std::list<std::string>::iterator agePosition;
    };

    // Row keys in the order of a time.
    using timed_keys = std::set<std::pair<time_point, std::string>>;

    std::optional<claim_verdict> verdictFromMemory(const claim_request &request) const;
    claim_verdict verdictFor(const claim_row &row, std::uint64_t requestHash) const;
    bool isKeyFree(const claim_row &row) const;
    open_claim *findClaim(const std::string &requestId);

    void endClaim(const std::string &requestId, claim_state state,
                  std::optional<complete_answer> answer);
    void dropClaim(const std::string &key);
    void sendVerdict(open_claim &claim, claim_verdict verdict);
    void queueCommit(const std::string &key, open_claim &claim, time_point dueAt);
    void queueRead(const std::string &key, open_claim &claim);
    void removeFromQueues(const std::string &key, const open_claim &claim);
    void eraseClaim(const std::string &key);
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
    void refuseUnsentClaims();

    void runDueWork();
    void timeOutClaims();
    void sendCommits();
    bool canCommit() const;
    time_point commitAllowedAt() const;
    void sendReads();
    void sendCommit(const std::vector<std::string> &keys);
    void readEraIfDue();
    void handleEraRead(const claims_read &event);
    void raiseEra();
    void handleEraCommit(const write_result &result);
    void sweepIfDue();
    void handleSweepScan(const claims_read &event);
    std::string nextId();

    std::string m_entryId;
    claim_settings m_settings;
    entry_alive_check m_isEntryAlive;
    std::map<std::string, open_claim> m_openClaims; // by row key
    std::map<std::string, std::string> m_rowKeys;   // row key by request id
    timed_keys m_commitQueue;
    std::set<std::string> m_readQueue;
    timed_keys m_timeouts;
    std::map<std::string, std::vector<std::string>> m_commitsInFlight; // row keys by operation id
    std::map<std::string, std::vector<std::string>> m_readsInFlight;   // row keys by read id
    std::map<std::string, cached_claim> m_cachedClaims;                // by row key
    std::list<std::string> m_cachedByAge;                              // row keys, oldest first
    std::size_t m_cachedBytes = 0;
    std::uint64_t m_lastId = 0;
    time_point m_commitsPacedUntil{}; // each transaction moves it on by commitGap
    bool m_isTableDown = false;       // since the last failure nothing has succeeded
    std::uint64_t m_era = 0;          // 0: not known, nothing is committed
    std::uint64_t m_eraVersion = 0;
    time_point m_eraVersionSeenAt{}; // when m_eraVersion was first seen
    time_point m_nextEraReadAt{};    // Never while a read or a raise is under way
    std::string m_eraReadId;
    std::string m_eraCommitId;
    time_point m_nextSweepAt{}; // Never while a scan is under way
    std::size_t m_sweepPrefix = 0;
    std::string m_sweepReadId;
    time_point m_now{}; // of the call being handled
    std::vector<claim_action> m_actions;
};

} // namespace zinniabarrow::delivery
