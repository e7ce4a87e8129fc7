// Sections: Claims and their ends | Verdicts and cached claims | Open claims |
// Timers: sending, reading, timeouts | Results from the table | Outages of the table |
// Eras and sweeping

#include "delivery/claim_coordinator.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"

namespace zinniabarrow::delivery {

namespace {

const std::string EraKey = "claim-era";
// A request always ends before two further eras have begun.
constexpr std::uint64_t MaxErasInProgress = 1;

std::size_t storedBytes(const claim_row &row)
{
    return row.answer && row.answer->body ? row.answer->body->size() : 0;
}

std::optional<std::uint64_t> eraFromJson(const Json::Value &value)
{
    const bool isValid = value.isObject() && value["era"].isUInt64();
    return isValid ? std::optional(value["era"].asUInt64()) : std::nullopt;
}

table_transaction makeRemoval(const std::string &operationId, const std::vector<table_row> &rows)
{
    table_transaction transaction{operationId, {}, {}};
    for (const auto &row : rows) {
        transaction.conditions.push_back({row.key, row.version});
        transaction.writes.push_back({row.key, std::nullopt});
    }
    return transaction;
}

} // namespace

claim_coordinator::claim_coordinator(std::string entryId, claim_settings settings,
                                     entry_alive_check isEntryAlive)
    : m_entryId(std::move(entryId))
    , m_settings(settings)
    , m_isEntryAlive(std::move(isEntryAlive))
    , m_sweepPrefix(stableHash(m_entryId)) // entries start with different parts of the table
{ }

// --- Claims and their ends ----------------------------------------------------------------------

void claim_coordinator::claim(const claim_request &request, time_point now)
{
    m_now = now;
    const auto refuse = [&](error_kind kind) {
        m_actions.emplace_back(claim_decided{request.requestId, claim_refused{kind}});
    };
    if (auto verdict = verdictFromMemory(request)) {
        m_actions.emplace_back(claim_decided{request.requestId, std::move(*verdict)});
    } else if (m_isTableDown) {
        refuse(error_kind::PlatformUnavailable);
    } else if (m_openClaims.size() >= m_settings.maxOpenClaims) {
        refuse(error_kind::Overloaded);
    } else {
        auto &claim = m_openClaims[request.rowKey];
        claim.wantedRow = {request.requestId,    m_entryId, request.requestHash,
                           claim_state::Started, 0,         {}};
        claim.timeoutAt = now + m_settings.claimTimeout;
        m_timeouts.emplace(claim.timeoutAt, request.rowKey);
        m_rowKeys[request.requestId] = request.rowKey;
        queueCommit(request.rowKey, claim, now);
    }
    runDueWork();
}

void claim_coordinator::recordFinished(const std::string &requestId, const complete_answer &answer,
                                       time_point now)
{
    m_now = now;
    auto stored = answer;
    if (stored.body && stored.body->size() > m_settings.maxAnswerBytes)
        stored.body.reset();
    endClaim(requestId, claim_state::Finished, std::move(stored));
}

void claim_coordinator::recordNotRun(const std::string &requestId, time_point now)
{
    m_now = now;
    endClaim(requestId, claim_state::NotRun, std::nullopt);
}

void claim_coordinator::recordUnknown(const std::string &requestId, time_point now)
{
    m_now = now;
    endClaim(requestId, claim_state::Unknown, std::nullopt);
}

void claim_coordinator::abandonClaim(const std::string &requestId, time_point now)
{
    m_now = now;
    const auto *claim = findClaim(requestId);
    if (claim != nullptr && claim->isGranted)
        return endClaim(requestId, claim_state::NotRun, std::nullopt);
    if (claim != nullptr)
        dropClaim(std::string(m_rowKeys.at(requestId)));
    runDueWork();
}

void claim_coordinator::endClaim(const std::string &requestId, claim_state state,
                                 std::optional<complete_answer> answer)
{
    auto *claim = findClaim(requestId);
    if (claim == nullptr || !claim->isGranted || claim->wantedRow.state != claim_state::Started)
        return;
    claim->wantedRow.state = state;
    claim->wantedRow.answer = std::move(answer);
    // Outcomes are written in transactions with other rows. If nothing else is due, an outcome
    // waits for endRecordDelay, so that others can share its transaction.
    if (claim->currentPhase == phase::Stored)
        queueCommit(m_rowKeys[requestId], *claim, m_now + m_settings.endRecordDelay);
    runDueWork();
}

// Called when the request of a claim has ended without having been forwarded. A claim that was
// never sent is removed; one that may be in the table is set to NotRun there, so that a repeat may
// run.
void claim_coordinator::dropClaim(const std::string &key)
{
    auto &claim = m_openClaims.at(key);
    m_timeouts.erase({claim.timeoutAt, key});
    claim.awaitsVerdict = false;
    claim.wantedRow.state = claim_state::NotRun;
    if (claim.currentPhase == phase::CommitQueued && !claim.hasUnknownCommit)
        eraseClaim(key);
}

// --- Verdicts and cached claims -----------------------------------------------------------------

std::optional<claim_verdict>
claim_coordinator::verdictFromMemory(const claim_request &request) const
{
    const auto open = m_openClaims.find(request.rowKey);
    if (open != m_openClaims.end()) {
        const auto &row = open->second.wantedRow;
        // A released claim is not free until the table has stored the release: another entry would
        // still refuse a repeat.
        const bool sameRequest = row.requestHash == request.requestHash;
        if (row.state == claim_state::NotRun || (row.state == claim_state::Started && sameRequest))
            return claim_refused{error_kind::KeyInProgress};
        return verdictFor(row, request.requestHash);
    }
    const auto cached = m_cachedClaims.find(request.rowKey);
    if (cached != m_cachedClaims.end() && m_now < cached->second.expiresAt)
        return verdictFor(cached->second.row, request.requestHash);
    return std::nullopt;
}

claim_verdict claim_coordinator::verdictFor(const claim_row &row, std::uint64_t requestHash) const
{
    if (row.requestHash != requestHash)
        return claim_refused{error_kind::KeyReused};
    if (row.state == claim_state::Finished && row.answer && row.answer->body)
        return claim_replayed{*row.answer};
    if (row.state == claim_state::Finished)
        return claim_refused{error_kind::AlreadyExecuted};
    if (row.state == claim_state::Unknown)
        return claim_refused{error_kind::OutcomeUnknown};
    // The claim is Started. It never ends if its entry has died or no longer knows it. An
    // unfinished claim of this entry itself is no longer known to it: otherwise the claim would be
    // open.
    const bool canStillEnd = row.entryId != m_entryId && m_isEntryAlive(row.entryId)
                             && row.era + MaxErasInProgress >= m_era;
    return claim_refused{canStillEnd ? error_kind::KeyInProgress : error_kind::OutcomeUnknown};
}

bool claim_coordinator::isKeyFree(const claim_row &row) const
{
    // m_era may lag behind the table, which is safe: rows then look younger than they are.
    return row.state == claim_state::NotRun || row.era + m_settings.keyLifetimeEras < m_era;
}

void claim_coordinator::cacheClaim(const std::string &key, const claim_row &row)
{
    m_cachedByAge.push_back(key);
    const auto lifetime =
            m_settings.eraDuration * static_cast<std::int64_t>(m_settings.keyLifetimeEras);
    m_cachedClaims[key] = {row, m_now + lifetime, std::prev(m_cachedByAge.end())};
    m_cachedBytes += storedBytes(row);
    while (m_cachedClaims.size() > m_settings.maxCachedClaims
           || m_cachedBytes > m_settings.maxCachedBytes)
        evictOldestCached();
}

void claim_coordinator::evictOldestCached()
{
    const auto found = m_cachedClaims.find(m_cachedByAge.front());
    m_cachedBytes -= storedBytes(found->second.row);
    m_cachedClaims.erase(found);
    m_cachedByAge.pop_front();
}

claim_coordinator::open_claim *claim_coordinator::findClaim(const std::string &requestId)
{
    const auto found = m_rowKeys.find(requestId);
    return found == m_rowKeys.end() ? nullptr : &m_openClaims.at(found->second);
}

void claim_coordinator::sendVerdict(open_claim &claim, claim_verdict verdict)
{
    if (!claim.awaitsVerdict)
        return;
    claim.awaitsVerdict = false;
    m_actions.emplace_back(claim_decided{claim.wantedRow.requestId, std::move(verdict)});
}

// --- Open claims --------------------------------------------------------------------------------

void claim_coordinator::queueCommit(const std::string &key, open_claim &claim, time_point dueAt)
{
    removeFromQueues(key, claim);
    claim.currentPhase = phase::CommitQueued;
    claim.nextCommitAt = dueAt;
    m_commitQueue.emplace(dueAt, key);
}

void claim_coordinator::queueRead(const std::string &key, open_claim &claim)
{
    removeFromQueues(key, claim);
    claim.currentPhase = phase::ReadQueued;
    m_readQueue.insert(key);
}

void claim_coordinator::removeFromQueues(const std::string &key, const open_claim &claim)
{
    m_commitQueue.erase({claim.nextCommitAt, key});
    m_readQueue.erase(key);
}

void claim_coordinator::eraseClaim(const std::string &key)
{
    const auto &claim = m_openClaims.at(key);
    removeFromQueues(key, claim);
    m_timeouts.erase({claim.timeoutAt, key});
    m_rowKeys.erase(claim.wantedRow.requestId);
    m_openClaims.erase(key);
}

// --- Timers: sending, reading, timeouts ---------------------------------------------------------

void claim_coordinator::tick(time_point now)
{
    m_now = now;
    runDueWork();
}

void claim_coordinator::runDueWork()
{
    timeOutClaims();
    while (!m_cachedByAge.empty() && m_cachedClaims.at(m_cachedByAge.front()).expiresAt <= m_now)
        evictOldestCached();
    readEraIfDue();
    sendReads();
    sendCommits();
    sweepIfDue();
}

// A table that does not respond must not hold up a request: the request is refused while it is
// certain that it has not run.
void claim_coordinator::timeOutClaims()
{
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= m_now) {
        const auto key = m_timeouts.begin()->second;
        auto &claim = m_openClaims.at(key);
        sendVerdict(claim, claim_refused{error_kind::PlatformUnavailable});
        dropClaim(key);
    }
}

void claim_coordinator::sendReads()
{
    // These reads need no limit of their own: maxCommitsInFlight limits the number of rows whose
    // state is uncertain.
    if (m_isTableDown || m_readQueue.empty())
        return;
    std::vector<std::string> keys;
    while (!m_readQueue.empty() && keys.size() < m_settings.maxBatchRows) {
        keys.push_back(*m_readQueue.begin());
        m_readQueue.erase(m_readQueue.begin());
        m_openClaims.at(keys.back()).currentPhase = phase::Reading;
    }
    const auto id = nextOperationId();
    m_actions.emplace_back(read_claims{id, keys});
    m_readsInFlight[id] = std::move(keys);
}

// Group commit: all queued claims share one transaction once a transaction may be sent.
void claim_coordinator::sendCommits()
{
    if (!canCommit() || m_commitQueue.empty() || m_now < commitAllowedAt()
        || m_now < m_commitQueue.begin()->first)
        return;
    std::vector<std::string> keys;
    while (!m_commitQueue.empty() && keys.size() < m_settings.maxBatchRows) {
        keys.push_back(m_commitQueue.begin()->second);
        m_commitQueue.erase(m_commitQueue.begin());
    }
    sendCommit(keys);
    m_commitsPacedUntil = std::max(m_commitsPacedUntil, m_now) + m_settings.commitInterval;
}

// commitInterval limits the rate of transactions; commitBurst of them may follow each other
// directly, so that claims that arrive close together at normal load don't wait.
time_point claim_coordinator::commitAllowedAt() const
{
    return m_commitsPacedUntil - (m_settings.commitBurst - 1) * m_settings.commitInterval;
}

bool claim_coordinator::canCommit() const
{
    return !m_isTableDown && m_era != 0 && m_commitsInFlight.size() < m_settings.maxCommitsInFlight;
}

void claim_coordinator::sendCommit(const std::vector<std::string> &keys)
{
    table_transaction transaction{nextOperationId(), {}, {}};
    // The era must still be the current one when a row is written. A row with an old era would be
    // removed too early, and a late repeat would run again.
    transaction.conditions.push_back({EraKey, m_eraVersion});
    for (const auto &key : keys) {
        auto &claim = m_openClaims.at(key);
        if (!claim.isGranted)
            claim.wantedRow.era = m_era;
        claim.currentPhase = phase::Committing;
        claim.sentState = claim.wantedRow.state;
        transaction.conditions.push_back({key, claim.version});
        transaction.writes.push_back({key, toJson(claim.wantedRow)});
    }
    m_commitsInFlight[transaction.operationId] = keys;
    m_actions.emplace_back(commit_claims{std::move(transaction)});
}

time_point claim_coordinator::nextWake() const
{
    auto wake = m_nextEraReadAt;
    if (!m_timeouts.empty())
        wake = std::min(wake, m_timeouts.begin()->first);
    if (!m_isTableDown && m_era != 0)
        wake = std::min(wake, m_nextSweepAt);
    if (!m_isTableDown && !m_readQueue.empty())
        wake = std::min(wake, m_now);
    if (canCommit() && !m_commitQueue.empty())
        wake = std::min(wake, std::max(m_commitQueue.begin()->first, commitAllowedAt()));
    return wake;
}

// --- Results from the table ---------------------------------------------------------------------

void claim_coordinator::handleCommitResult(const claims_committed &event, time_point now)
{
    m_now = now;
    const auto found = m_commitsInFlight.find(event.operationId);
    if (found != m_commitsInFlight.end()) {
        const auto keys = std::move(found->second);
        m_commitsInFlight.erase(found);
        commitDone(keys, event.result);
    } else if (event.operationId == m_eraCommitId) {
        handleEraCommit(event.result);
    }
    runDueWork();
}

void claim_coordinator::commitDone(const std::vector<std::string> &keys, const write_result &result)
{
    const bool eraPassed =
            result.outcome == write_outcome::Conflict && result.conflictKey == EraKey;
    if (eraPassed) {
        m_era = 0;
        m_nextEraReadAt = m_now;
    }
    recordTableOutcome(result.outcome);
    if (result.outcome != write_outcome::Applied)
        m_actions.emplace_back(
                increment_counter{flow_counter::ClaimResent, std::nullopt, keys.size()});
    for (const auto &key : keys) {
        auto &claim = m_openClaims.at(key);
        switch (result.outcome) {
        case write_outcome::Applied:
            commitApplied(key, result.sequence);
            break;
        case write_outcome::Conflict:
            // One row made the whole transaction fail. All of its rows are read to find out which
            // one; the others are sent again together.
            if (eraPassed)
                queueCommit(key, claim, m_now);
            else
                queueRead(key, claim);
            break;
        case write_outcome::Unknown:
            // The transaction may have been applied although its result is lost. The request is
            // forwarded only if the row, when read, has its request id.
            claim.hasUnknownCommit = true;
            queueRead(key, claim);
            break;
        case write_outcome::Refused:
            queueCommit(key, claim, m_now); // sent when the table is available again
            break;
        }
    }
    if (m_isTableDown)
        refuseUnsentClaims();
}

void claim_coordinator::commitApplied(const std::string &key, std::uint64_t version)
{
    auto &claim = m_openClaims.at(key);
    claim.version = version;
    confirmStored(key, claim, claim.sentState);
}

// Called when the table certainly has this claim's row, with the state `stored`.
void claim_coordinator::confirmStored(const std::string &key, open_claim &claim, claim_state stored)
{
    claim.hasUnknownCommit = false; // conditions of older transactions fail from now on
    m_timeouts.erase({claim.timeoutAt, key});
    claim.currentPhase = phase::Stored;
    if (stored != claim.wantedRow.state) {
        queueCommit(key, claim, m_now);
        return;
    }
    if (stored == claim_state::Started) {
        claim.isGranted = true;
        sendVerdict(claim, claim_granted{});
        return;
    }
    if (stored != claim_state::NotRun)
        cacheClaim(key, claim.wantedRow);
    eraseClaim(key);
}

void claim_coordinator::handleReadResult(const claims_read &event, time_point now)
{
    m_now = now;
    if (event.readId == m_sweepReadId)
        handleSweepScan(event);
    else
        event.succeeded ? tableAnswered() : tableFailed();
    if (event.readId == m_eraReadId)
        handleEraRead(event);
    const auto found = m_readsInFlight.find(event.readId);
    if (found != m_readsInFlight.end()) {
        const auto keys = std::move(found->second);
        m_readsInFlight.erase(found);
        event.succeeded ? readDone(keys, event.rows) : readFailed(keys);
    }
    if (m_isTableDown)
        refuseUnsentClaims();
    runDueWork();
}

void claim_coordinator::readDone(const std::vector<std::string> &keys,
                                 const std::vector<table_row> &rows)
{
    std::map<std::string, const table_row *> found;
    for (const auto &row : rows)
        found[row.key] = &row;
    for (const auto &key : keys)
        resolveRow(key, found.contains(key) ? found.at(key) : nullptr);
}

void claim_coordinator::readFailed(const std::vector<std::string> &keys)
{
    for (const auto &key : keys) {
        auto &claim = m_openClaims.at(key);
        sendVerdict(claim, claim_refused{error_kind::PlatformUnavailable});
        queueRead(key, claim);
        if (!claim.isGranted)
            dropClaim(key);
    }
}

void claim_coordinator::resolveRow(const std::string &key, const table_row *row)
{
    auto &claim = m_openClaims.at(key);
    if (row == nullptr) {
        claim.version = 0;
        // The row is written even if its request has ended: the transaction without a result may be
        // applied at any later time and would block the key for its whole lifetime.
        if (claim.awaitsVerdict || claim.isGranted || claim.hasUnknownCommit)
            queueCommit(key, claim, m_now);
        else
            eraseClaim(key);
        return;
    }
    try {
        const auto stored = claimRowFromJson(row->value);
        if (stored.requestId != claim.wantedRow.requestId) {
            resolveOtherRow(key, claim, *row);
            return;
        }
        claim.version = row->version;
        claim.wantedRow.era = stored.era;
        confirmStored(key, claim, stored.state);
    } catch (const error &) {
        // An unreadable row proves nothing, so the request must not run.
        sendVerdict(claim, claim_refused{error_kind::OutcomeUnknown});
        eraseClaim(key);
    }
}

void claim_coordinator::resolveOtherRow(const std::string &key, open_claim &claim,
                                        const table_row &row)
{
    const auto stored = claimRowFromJson(row.value);
    if (claim.awaitsVerdict && isKeyFree(stored)) {
        claim.version = row.version;
        queueCommit(key, claim, m_now);
        return;
    }
    sendVerdict(claim, verdictFor(stored, claim.wantedRow.requestHash));
    eraseClaim(key);
}

// --- Outages of the table -----------------------------------------------------------------------

void claim_coordinator::tableAnswered()
{
    m_isTableDown = false;
}

// While the table is unavailable, a single small read probes it, however many claims are waiting.
// The first probe is sent at once, so that a single lost answer costs only one round trip.
void claim_coordinator::tableFailed()
{
    const bool isReadInFlight = m_nextEraReadAt == Never;
    if (!isReadInFlight)
        m_nextEraReadAt = m_isTableDown ? m_now + m_settings.tableRetryInterval : m_now;
    m_isTableDown = true;
}

void claim_coordinator::recordTableOutcome(write_outcome outcome)
{
    if (outcome == write_outcome::Refused)
        tableFailed();
    else if (outcome != write_outcome::Unknown)
        tableAnswered();
}

// Claims that wait to be sent or read back are refused at once: their requests have not run, and
// the callers are answered before claimTimeout.
void claim_coordinator::refuseUnsentClaims()
{
    std::vector<std::string> keys;
    for (const auto &[key, claim] : m_openClaims) {
        const bool isUnsent = claim.currentPhase == phase::CommitQueued
                              || claim.currentPhase == phase::ReadQueued;
        if (claim.awaitsVerdict && isUnsent)
            keys.push_back(key);
    }
    for (const auto &key : keys) {
        sendVerdict(m_openClaims.at(key), claim_refused{error_kind::PlatformUnavailable});
        dropClaim(key);
    }
}

// --- Eras and sweeping --------------------------------------------------------------------------

void claim_coordinator::readEraIfDue()
{
    if (m_now < m_nextEraReadAt)
        return;
    m_nextEraReadAt = Never;
    m_eraReadId = nextOperationId();
    m_actions.emplace_back(read_claims{m_eraReadId, {EraKey}});
}

void claim_coordinator::handleEraRead(const claims_read &event)
{
    m_eraReadId.clear();
    m_nextEraReadAt = m_now + m_settings.tableRetryInterval;
    if (!event.succeeded)
        return;
    const auto *row = event.rows.empty() ? nullptr : &event.rows.front();
    const auto version = row == nullptr ? 0 : row->version;
    if (version != m_eraVersion)
        m_eraVersionSeenAt = m_now;
    m_eraVersion = version;
    m_era = row == nullptr ? 0 : eraFromJson(row->value).value_or(0);
    m_nextEraReadAt = m_now + m_settings.eraDuration / 4;
    // The era is incremented only after it was seen unchanged for eraDuration on one clock. So eras
    // never advance faster than time, whichever entry increments them and whichever was paused.
    if (m_era == 0 || m_now - m_eraVersionSeenAt >= m_settings.eraDuration)
        incrementEra();
}

void claim_coordinator::incrementEra()
{
    Json::Value value(Json::objectValue);
    value["era"] = Json::UInt64(m_era + 1);
    m_nextEraReadAt = Never;
    m_eraCommitId = nextOperationId();
    m_actions.emplace_back(
            commit_claims{{m_eraCommitId, {{EraKey, m_eraVersion}}, {{EraKey, value}}}});
}

void claim_coordinator::handleEraCommit(const write_result &result)
{
    m_eraCommitId.clear();
    m_nextEraReadAt = m_now; // whatever the result was
    recordTableOutcome(result.outcome);
    if (m_isTableDown)
        refuseUnsentClaims();
}

void claim_coordinator::sweepIfDue()
{
    if (m_now < m_nextSweepAt || m_era == 0 || m_isTableDown)
        return;
    m_nextSweepAt = Never;
    m_sweepReadId = nextOperationId();
    m_actions.emplace_back(scan_claims{m_sweepReadId, claimRowPrefix(m_sweepPrefix)});
}

void claim_coordinator::handleSweepScan(const claims_read &event)
{
    m_sweepReadId.clear();
    std::vector<table_row> expired;
    for (const auto &row : event.rows) {
        const auto era = eraFromJson(row.value);
        const bool isExpired = era && *era + m_settings.keyLifetimeEras < m_era;
        if (isExpired && expired.size() < m_settings.maxBatchRows)
            expired.push_back(row);
    }
    const bool hasMoreRows = expired.size() == m_settings.maxBatchRows;
    m_nextSweepAt =
            m_now + (hasMoreRows ? m_settings.sweepInterval / 16 : m_settings.sweepInterval);
    if (event.succeeded && !hasMoreRows)
        ++m_sweepPrefix;
    if (expired.empty())
        return;
    m_actions.emplace_back(
            increment_counter{flow_counter::ClaimSwept, std::nullopt, expired.size()});
    // The result is ignored: a later scan finds the rows that are left.
    m_actions.emplace_back(commit_claims{makeRemoval(nextOperationId(), expired)});
}

std::string claim_coordinator::nextOperationId()
{
    return fmt::format("{}/c{}", m_entryId, ++m_lastId);
}

std::vector<claim_action> claim_coordinator::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace zinniabarrow::delivery
