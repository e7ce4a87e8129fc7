// Sections: Claims and their ends | Verdicts and memory | Open records |
// Time: sending, reading, giving up | Answers of the table | Eras and sweeping

#include "delivery/claim_coordinator.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

#include "base/hash.h"

namespace zinniabarrow::delivery {

namespace {

const std::string EraKey = "claim-era";
constexpr std::uint64_t MaxStartedEras = 1; // a request ends long before two eras have begun

std::size_t storedBytes(const claim_row &row)
{
    return row.answer && row.answer->body ? row.answer->body->size() : 0;
}

std::optional<std::uint64_t> eraOf(const Json::Value &value)
{
    const bool known = value.isObject() && value["era"].isUInt64();
    return known ? std::optional(value["era"].asUInt64()) : std::nullopt;
}

table_transaction removalOf(const std::string &operationId, const std::vector<table_row> &rows)
{
    table_transaction transaction{operationId, {}, {}};
    for (const auto &row : rows) {
        transaction.conditions.push_back({row.key, row.version});
        transaction.writes.push_back({row.key, std::nullopt});
    }
    return transaction;
}

} // namespace

claim_book::claim_book(std::string entryId, claim_settings settings, entry_alive_check alive)
    : m_entryId(std::move(entryId))
    , m_settings(settings)
    , m_alive(std::move(alive))
    , m_sweepPrefix(stableHash(m_entryId)) // entries start their sweeps apart
{ }

// --- The holder's side --------------------------------------------------------------------------

// --- Claims and their ends -----------------------------------------------------------------------

void claim_book::claim(const claim_request &request, time_point now)
{
    m_now = now;
    const auto refuse = [&](error_kind kind) {
        m_actions.emplace_back(claim_settled{request.requestId, claim_refused{kind}});
    };
    if (auto verdict = fromMemory(request)) {
        m_actions.emplace_back(claim_settled{request.requestId, std::move(*verdict)});
    } else if (m_tableDown) {
        refuse(error_kind::PlatformUnavailable);
    } else if (m_open.size() >= m_settings.maxOpen) {
        refuse(error_kind::Overloaded);
    } else {
        auto &claim = m_open[request.rowKey];
        claim.row = {request.requestId,    m_entryId, request.requestHash,
                     claim_state::Started, 0,         {}};
        claim.giveUpAt = now + m_settings.claimPatience;
        m_giveUps.emplace(claim.giveUpAt, request.rowKey);
        m_rowOf[request.requestId] = request.rowKey;
        queue(request.rowKey, claim, now);
    }
    advance();
}

void claim_book::finished(const std::string &requestId, const whole_answer &answer, time_point now)
{
    m_now = now;
    auto stored = answer;
    if (stored.body && stored.body->size() > m_settings.maxAnswerBytes)
        stored.body.reset();
    end(requestId, claim_state::Finished, std::move(stored));
}

void claim_book::notRun(const std::string &requestId, time_point now)
{
    m_now = now;
    end(requestId, claim_state::NotRun, std::nullopt);
}

void claim_book::unknown(const std::string &requestId, time_point now)
{
    m_now = now;
    end(requestId, claim_state::Unknown, std::nullopt);
}

void claim_book::abandon(const std::string &requestId, time_point now)
{
    m_now = now;
    const auto *claim = find(requestId);
    if (claim != nullptr && claim->granted)
        return end(requestId, claim_state::NotRun, std::nullopt);
    if (claim != nullptr)
        drop(std::string(m_rowOf.at(requestId)));
    advance();
}

void claim_book::end(const std::string &requestId, claim_state state,
                     std::optional<whole_answer> answer)
{
    auto *claim = find(requestId);
    if (claim == nullptr || !claim->granted || claim->row.state != claim_state::Started)
        return;
    claim->row.state = state;
    claim->row.answer = std::move(answer);
    // Records of an end travel with the claims of others; alone they wait for company.
    if (claim->at == phase::Held)
        queue(m_rowOf[requestId], *claim, m_now + m_settings.recordDelay);
    advance();
}

// The claimant has gone without forwarding. What never left this process is forgotten; what may be
// in the table is marked NotRun there, so that the caller's repeat may run.
void claim_book::drop(const std::string &key)
{
    auto &claim = m_open.at(key);
    m_giveUps.erase({claim.giveUpAt, key});
    claim.waiting = false;
    claim.row.state = claim_state::NotRun;
    if (claim.at == phase::Queued && !claim.unsettled)
        erase(key);
}

// --- Memory of this entry -----------------------------------------------------------------------

// --- Verdicts and memory -------------------------------------------------------------------------

std::optional<claim_verdict> claim_book::fromMemory(const claim_request &request) const
{
    const auto open = m_open.find(request.rowKey);
    if (open != m_open.end()) {
        const auto &row = open->second.row;
        // Until the table has taken it, a release frees nothing: another entry could be refused.
        const bool sameBody = row.requestHash == request.requestHash;
        if (row.state == claim_state::NotRun || (row.state == claim_state::Started && sameBody))
            return claim_refused{error_kind::KeyInProgress};
        return verdictFor(row, request.requestHash);
    }
    const auto kept = m_kept.find(request.rowKey);
    if (kept != m_kept.end() && m_now < kept->second.until)
        return verdictFor(kept->second.row, request.requestHash);
    return std::nullopt;
}

claim_verdict claim_book::verdictFor(const claim_row &row, std::uint64_t requestHash) const
{
    if (row.requestHash != requestHash)
        return claim_refused{error_kind::KeyReused};
    if (row.state == claim_state::Finished && row.answer && row.answer->body)
        return claim_replayed{*row.answer};
    if (row.state == claim_state::Finished)
        return claim_refused{error_kind::AlreadyExecuted};
    if (row.state == claim_state::Unknown)
        return claim_refused{error_kind::OutcomeUnknown};
    // Started. An entry that died, or that lost its record of the end, never completes it; this
    // entry would still have it open.
    const bool mayEnd =
            row.entryId != m_entryId && m_alive(row.entryId) && row.era + MaxStartedEras >= m_era;
    return claim_refused{mayEnd ? error_kind::KeyInProgress : error_kind::OutcomeUnknown};
}

bool claim_book::isFree(const claim_row &row) const
{
    // m_era may lag behind the table, which makes rows look younger than they are: safe.
    return row.state == claim_state::NotRun || row.era + m_settings.keyLifeEras < m_era;
}

void claim_book::keep(const std::string &key, const claim_row &row)
{
    m_keptByAge.push_back(key);
    const auto life = m_settings.eraLength * static_cast<std::int64_t>(m_settings.keyLifeEras);
    m_kept[key] = {row, m_now + life, std::prev(m_keptByAge.end())};
    m_keptBytes += storedBytes(row);
    while (m_kept.size() > m_settings.maxKept || m_keptBytes > m_settings.maxKeptBytes)
        forgetOldest();
}

void claim_book::forgetOldest()
{
    const auto found = m_kept.find(m_keptByAge.front());
    m_keptBytes -= storedBytes(found->second.row);
    m_kept.erase(found);
    m_keptByAge.pop_front();
}

claim_book::open_claim *claim_book::find(const std::string &requestId)
{
    const auto found = m_rowOf.find(requestId);
    return found == m_rowOf.end() ? nullptr : &m_open.at(found->second);
}

void claim_book::answer(open_claim &claim, claim_verdict verdict)
{
    if (!claim.waiting)
        return;
    claim.waiting = false;
    m_actions.emplace_back(claim_settled{claim.row.requestId, std::move(verdict)});
}

// --- Scheduling ---------------------------------------------------------------------------------

// --- Open records --------------------------------------------------------------------------------

void claim_book::queue(const std::string &key, open_claim &claim, time_point dueAt)
{
    unschedule(key, claim);
    claim.at = phase::Queued;
    claim.dueAt = dueAt;
    m_toCommit.emplace(dueAt, key);
}

void claim_book::mustRead(const std::string &key, open_claim &claim)
{
    unschedule(key, claim);
    claim.at = phase::MustRead;
    m_toRead.insert(key);
}

void claim_book::unschedule(const std::string &key, const open_claim &claim)
{
    m_toCommit.erase({claim.dueAt, key});
    m_toRead.erase(key);
}

void claim_book::erase(const std::string &key)
{
    const auto &claim = m_open.at(key);
    unschedule(key, claim);
    m_giveUps.erase({claim.giveUpAt, key});
    m_rowOf.erase(claim.row.requestId);
    m_open.erase(key);
}

// --- Time: sending, reading, giving up -----------------------------------------------------------

void claim_book::tick(time_point now)
{
    m_now = now;
    advance();
}

void claim_book::advance()
{
    giveUp();
    while (!m_keptByAge.empty() && m_kept.at(m_keptByAge.front()).until <= m_now)
        forgetOldest();
    watchEra();
    sendReads();
    sendCommits();
    sweep();
}

// A hanging table must not hold a request: it is refused while it certainly has not run.
void claim_book::giveUp()
{
    while (!m_giveUps.empty() && m_giveUps.begin()->first <= m_now) {
        const auto key = m_giveUps.begin()->second;
        auto &claim = m_open.at(key);
        answer(claim, claim_refused{error_kind::PlatformUnavailable});
        drop(key);
    }
}

void claim_book::sendReads()
{
    // What is in doubt is bounded by the transactions in flight, and so are these reads.
    if (m_tableDown || m_toRead.empty())
        return;
    std::vector<std::string> keys;
    while (!m_toRead.empty() && keys.size() < m_settings.maxBatch) {
        keys.push_back(*m_toRead.begin());
        m_toRead.erase(m_toRead.begin());
        m_open.at(keys.back()).at = phase::Reading;
    }
    const auto id = nextId();
    m_actions.emplace_back(read_claims{id, keys});
    m_reads[id] = std::move(keys);
}

// Group commit: what waits when a transaction may go out goes together.
void claim_book::sendCommits()
{
    if (!mayCommit() || m_toCommit.empty() || m_now < commitAllowedAt()
        || m_now < m_toCommit.begin()->first)
        return;
    std::vector<std::string> keys;
    while (!m_toCommit.empty() && keys.size() < m_settings.maxBatch) {
        keys.push_back(m_toCommit.begin()->second);
        m_toCommit.erase(m_toCommit.begin());
    }
    sendCommit(keys);
    m_commitsPaidUntil = std::max(m_commitsPaidUntil, m_now) + m_settings.commitGap;
}

// The rate of transactions is bounded by the gap; a few may go together, so that claims that come
// close to each other at an ordinary load don't wait.
time_point claim_book::commitAllowedAt() const
{
    return m_commitsPaidUntil - (m_settings.commitBurst - 1) * m_settings.commitGap;
}

bool claim_book::mayCommit() const
{
    return !m_tableDown && m_era != 0 && m_commits.size() < m_settings.maxCommits;
}

void claim_book::sendCommit(const std::vector<std::string> &keys)
{
    table_transaction transaction{nextId(), {}, {}};
    // A row written with an era that has passed would be swept too early, and a late repeat would
    // run again: the era must still be the one that the row says.
    transaction.conditions.push_back({EraKey, m_eraVersion});
    for (const auto &key : keys) {
        auto &claim = m_open.at(key);
        if (!claim.granted)
            claim.row.era = m_era;
        claim.at = phase::Committing;
        claim.sent = claim.row.state;
        transaction.conditions.push_back({key, claim.version});
        transaction.writes.push_back({key, toJson(claim.row)});
    }
    m_commits[transaction.operationId] = keys;
    m_actions.emplace_back(commit_claims{std::move(transaction)});
}

time_point claim_book::nextWake() const
{
    auto wake = m_nextEraReadAt;
    if (!m_giveUps.empty())
        wake = std::min(wake, m_giveUps.begin()->first);
    if (!m_tableDown && m_era != 0)
        wake = std::min(wake, m_nextSweepAt);
    if (!m_tableDown && !m_toRead.empty())
        wake = std::min(wake, m_now);
    if (mayCommit() && !m_toCommit.empty())
        wake = std::min(wake, std::max(m_toCommit.begin()->first, commitAllowedAt()));
    return wake;
}

// --- The table's answers ------------------------------------------------------------------------

// --- Answers of the table ------------------------------------------------------------------------

void claim_book::committed(const claims_committed &event, time_point now)
{
    m_now = now;
    const auto found = m_commits.find(event.operationId);
    if (found != m_commits.end()) {
        const auto keys = std::move(found->second);
        m_commits.erase(found);
        commitEnded(keys, event.result);
    } else if (event.operationId == m_eraCommitId) {
        eraCommitted(event.result);
    }
    advance();
}

void claim_book::commitEnded(const std::vector<std::string> &keys, const write_result &result)
{
    const bool eraPassed =
            result.outcome == write_outcome::Conflict && result.conflictKey == EraKey;
    if (eraPassed) {
        m_era = 0;
        m_nextEraReadAt = m_now;
    }
    noteTable(result.outcome);
    if (result.outcome != write_outcome::Applied)
        m_actions.emplace_back(count_flow{flow_counter::ClaimResent, std::nullopt, keys.size()});
    for (const auto &key : keys) {
        auto &claim = m_open.at(key);
        switch (result.outcome) {
        case write_outcome::Applied:
            applied(key, result.sequence);
            break;
        case write_outcome::Conflict:
            // One row stopped the whole transaction. Reading all of them tells which, in one read,
            // so that the others are lost to nobody's conflict and go out again together.
            if (eraPassed)
                queue(key, claim, m_now);
            else
                mustRead(key, claim);
            break;
        case write_outcome::Unknown:
            // The answer is lost, the write may have applied: nothing is forwarded before the
            // row has been read and carries our own request id.
            claim.unsettled = true;
            mustRead(key, claim);
            break;
        case write_outcome::Refused:
            queue(key, claim, m_now); // goes out when the table is back
            break;
        }
    }
    if (m_tableDown)
        refuseWaiting();
}

void claim_book::applied(const std::string &key, std::uint64_t version)
{
    auto &claim = m_open.at(key);
    claim.version = version;
    reached(key, claim, claim.sent);
}

// The table is known to hold our row with `stored`.
void claim_book::reached(const std::string &key, open_claim &claim, claim_state stored)
{
    claim.unsettled = false; // an older transaction's condition can't hold any more
    m_giveUps.erase({claim.giveUpAt, key});
    claim.at = phase::Held;
    if (stored != claim.row.state) {
        queue(key, claim, m_now);
        return;
    }
    if (stored == claim_state::Started) {
        claim.granted = true;
        answer(claim, claim_granted{});
        return;
    }
    if (stored != claim_state::NotRun)
        keep(key, claim.row);
    erase(key);
}

void claim_book::read(const claims_read &event, time_point now)
{
    m_now = now;
    if (event.readId == m_sweepId)
        swept(event);
    else
        event.succeeded ? tableAnswered() : tableFailed();
    if (event.readId == m_eraReadId)
        eraRead(event);
    const auto found = m_reads.find(event.readId);
    if (found != m_reads.end()) {
        const auto keys = std::move(found->second);
        m_reads.erase(found);
        event.succeeded ? readDone(keys, event.rows) : readFailed(keys);
    }
    if (m_tableDown)
        refuseWaiting();
    advance();
}

void claim_book::readDone(const std::vector<std::string> &keys, const std::vector<table_row> &rows)
{
    std::map<std::string, const table_row *> found;
    for (const auto &row : rows)
        found[row.key] = &row;
    for (const auto &key : keys)
        resolve(key, found.contains(key) ? found.at(key) : nullptr);
}

void claim_book::readFailed(const std::vector<std::string> &keys)
{
    for (const auto &key : keys) {
        auto &claim = m_open.at(key);
        answer(claim, claim_refused{error_kind::PlatformUnavailable});
        mustRead(key, claim);
        if (!claim.granted)
            drop(key);
    }
}

void claim_book::resolve(const std::string &key, const table_row *row)
{
    auto &claim = m_open.at(key);
    if (row == nullptr) {
        claim.version = 0;
        // Written even for a claimant that has gone: the transaction without an answer may apply
        // at any later time, and would block the key for its whole life.
        if (claim.waiting || claim.granted || claim.unsettled)
            queue(key, claim, m_now);
        else
            erase(key);
        return;
    }
    try {
        const auto stored = claimRowFromJson(row->value);
        if (stored.requestId != claim.row.requestId) {
            resolveForeign(key, claim, *row);
            return;
        }
        claim.version = row->version;
        claim.row.era = stored.era;
        reached(key, claim, stored.state);
    } catch (const error &) {
        // A row that nobody can read proves nothing: the request must not run.
        answer(claim, claim_refused{error_kind::OutcomeUnknown});
        erase(key);
    }
}

void claim_book::resolveForeign(const std::string &key, open_claim &claim, const table_row &row)
{
    const auto stored = claimRowFromJson(row.value);
    if (claim.waiting && isFree(stored)) {
        claim.version = row.version;
        queue(key, claim, m_now);
        return;
    }
    answer(claim, verdictFor(stored, claim.row.requestHash));
    erase(key);
}

// --- Outage -------------------------------------------------------------------------------------

void claim_book::tableAnswered()
{
    m_tableDown = false;
}

// While the table is down one small read probes it, however much waits; a single lost answer costs
// one round trip, since the first probe goes out at once.
void claim_book::tableFailed()
{
    const bool underWay = m_nextEraReadAt == Never;
    if (!underWay)
        m_nextEraReadAt = m_tableDown ? m_now + m_settings.tableRetry : m_now;
    m_tableDown = true;
}

void claim_book::noteTable(write_outcome outcome)
{
    if (outcome == write_outcome::Refused)
        tableFailed();
    else if (outcome != write_outcome::Unknown)
        tableAnswered();
}

// Claims that wait to be sent or read back are refused at once: they have not run, and callers
// learn it now instead of after their patience.
void claim_book::refuseWaiting()
{
    std::vector<std::string> keys;
    for (const auto &[key, claim] : m_open) {
        const bool idle = claim.at == phase::Queued || claim.at == phase::MustRead;
        if (claim.waiting && idle)
            keys.push_back(key);
    }
    for (const auto &key : keys) {
        answer(m_open.at(key), claim_refused{error_kind::PlatformUnavailable});
        drop(key);
    }
}

// --- Age and sweeping ---------------------------------------------------------------------------

// --- Eras and sweeping ---------------------------------------------------------------------------

void claim_book::watchEra()
{
    if (m_now < m_nextEraReadAt)
        return;
    m_nextEraReadAt = Never;
    m_eraReadId = nextId();
    m_actions.emplace_back(read_claims{m_eraReadId, {EraKey}});
}

void claim_book::eraRead(const claims_read &event)
{
    m_eraReadId.clear();
    m_nextEraReadAt = m_now + m_settings.tableRetry;
    if (!event.succeeded)
        return;
    const auto *row = event.rows.empty() ? nullptr : &event.rows.front();
    const auto version = row == nullptr ? 0 : row->version;
    if (version != m_eraVersion)
        m_eraSeenAt = m_now;
    m_eraVersion = version;
    m_era = row == nullptr ? 0 : eraOf(row->value).value_or(0);
    m_nextEraReadAt = m_now + m_settings.eraLength / 4;
    // Raised only after it was seen unchanged for its length on one clock, so that the eras never
    // run ahead of time, whoever raises them and whatever was paused.
    if (m_era == 0 || m_now - m_eraSeenAt >= m_settings.eraLength)
        raiseEra();
}

void claim_book::raiseEra()
{
    Json::Value value(Json::objectValue);
    value["era"] = Json::UInt64(m_era + 1);
    m_nextEraReadAt = Never;
    m_eraCommitId = nextId();
    m_actions.emplace_back(
            commit_claims{{m_eraCommitId, {{EraKey, m_eraVersion}}, {{EraKey, value}}}});
}

void claim_book::eraCommitted(const write_result &result)
{
    m_eraCommitId.clear();
    m_nextEraReadAt = m_now; // reads back whatever happened
    noteTable(result.outcome);
    if (m_tableDown)
        refuseWaiting();
}

void claim_book::sweep()
{
    if (m_now < m_nextSweepAt || m_era == 0 || m_tableDown)
        return;
    m_nextSweepAt = Never;
    m_sweepId = nextId();
    m_actions.emplace_back(scan_claims{m_sweepId, claimPrefix(m_sweepPrefix)});
}

void claim_book::swept(const claims_read &event)
{
    m_sweepId.clear();
    std::vector<table_row> expired;
    for (const auto &row : event.rows) {
        const auto era = eraOf(row.value);
        const bool old = era && *era + m_settings.keyLifeEras < m_era;
        if (old && expired.size() < m_settings.maxBatch)
            expired.push_back(row);
    }
    const bool more = expired.size() == m_settings.maxBatch;
    m_nextSweepAt = m_now + (more ? m_settings.sweepGap / 16 : m_settings.sweepGap);
    if (event.succeeded && !more)
        ++m_sweepPrefix;
    if (expired.empty())
        return;
    m_actions.emplace_back(count_flow{flow_counter::ClaimSwept, std::nullopt, expired.size()});
    // Whatever becomes of it, a later scan finds what is left.
    m_actions.emplace_back(commit_claims{removalOf(nextId(), expired)});
}

std::string claim_book::nextId()
{
    return fmt::format("{}/c{}", m_entryId, ++m_lastId);
}

std::vector<claim_action> claim_book::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace zinniabarrow::delivery
