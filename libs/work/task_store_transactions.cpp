// Transactions of the task store: when staged changes are sent, and what the answers mean.

#include <algorithm>
#include <utility>

#include "work/ownership.h"
#include "work/task_store.h"
#include "work/task_store_values.h"

namespace zinniabarrow::work {

namespace {

constexpr milliseconds ScanRetryDelay{2'000};
constexpr const char *OperationMember = "op";

} // namespace

// --- Sending transactions ------------------------------------------------------------------------

void task_store::tick(time_point now)
{
    if (m_isFenced)
        return;
    if (!m_isReady) {
        if (now >= m_nextScanAt) {
            m_nextScanAt = now + ScanRetryDelay;
            m_actions.emplace_back(scan_rows{prefix()});
        }
        return;
    }
    if (!m_transaction) {
        sendIfDue(now);
        return;
    }
    if (now < m_transaction->retryAt)
        return;
    if (m_transaction->isResolving) {
        m_transaction->retryAt = now + m_settings.maxRetryDelay;
        std::vector<std::string> keys;
        for (const auto &condition : m_transaction->transaction.conditions)
            keys.push_back(condition.key);
        m_actions.emplace_back(read_rows{std::move(keys)});
    } else {
        m_transaction->isInDoubt = true;
        m_transaction->retryAt = now + AnswerTimeout;
        m_actions.emplace_back(store_counter::CommitResent);
        m_actions.emplace_back(commit_rows{m_transaction->transaction});
    }
}

void task_store::sendIfDue(time_point now)
{
    if (!m_rowsByDueTime.empty() && now >= m_retryAt && now >= m_rowsByDueTime.begin()->first)
        sendTransaction(now);
}

void task_store::sendTransaction(time_point now)
{
    m_transaction = transaction_state{};
    m_transaction->retryAt = now + AnswerTimeout;
    table_transaction &transaction = m_transaction->transaction;
    transaction.operationId = m_operationPrefix + "/" + std::to_string(++m_operationCount);
    transaction.conditions.push_back({shardKey(m_shard), m_shardVersion});
    // Takes along the rows that become due within the commit window. The removal of a job is sent
    // in a transaction of its own, when all rows of the job are committed.
    const time_point until = now + m_settings.commitWindow;
    const bool isRemoval = m_rowsByDueTime.begin()->second.kind == row_kind::Removal;
    auto position = m_rowsByDueTime.begin();
    while (position != m_rowsByDueTime.end() && position->first <= until
           && transaction.writes.size() < m_settings.maxRowsPerCommit) {
        const row_id row = position->second;
        if ((row.kind == row_kind::Removal) != isRemoval) {
            ++position;
            continue;
        }
        position = m_rowsByDueTime.erase(position);
        m_dirtyRows.erase(row);
        m_transaction->rows.push_back(row);
        if (isRemoval) {
            addRemoval(row.job);
            break;
        }
        addRow(row);
    }
    if (transaction.writes.empty())
        m_transaction.reset();
    else
        m_actions.emplace_back(commit_rows{transaction});
}

void task_store::addRow(const row_id &row)
{
    table_transaction &transaction = m_transaction->transaction;
    Json::Value value = valueOf(row);
    value[OperationMember] = transaction.operationId;
    transaction.conditions.push_back({keyOf(row), versionOf(row)});
    transaction.writes.push_back({keyOf(row), std::move(value)});
    moveToInFlight(row);
}

// The job's row is removed last, so that an owner that loads it knows that chunks may remain.
void task_store::addRemoval(const std::string &job)
{
    if (!canRemoveJob(job))
        return;
    table_transaction &transaction = m_transaction->transaction;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, job, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != job || transaction.writes.size() >= m_settings.maxRowsPerCommit)
            break;
        if (it->second.version == 0)
            continue;
        transaction.conditions.push_back({keyOf(it->first), it->second.version});
        transaction.writes.push_back({keyOf(it->first), std::nullopt});
    }
    if (transaction.writes.size() >= m_settings.maxRowsPerCommit)
        return;
    const row_id row{row_kind::Job, job, 0};
    transaction.conditions.push_back({keyOf(row), versionOf(row)});
    transaction.writes.push_back({keyOf(row), std::nullopt});
}

void task_store::moveToInFlight(const row_id &row)
{
    if (row.kind == row_kind::Chunk) {
        chunk_state &chunk = m_chunks[row];
        chunk.inFlight = std::exchange(chunk.staged, {});
    } else if (row.kind == row_kind::Silent) {
        m_silentWorkers.inFlight = std::exchange(m_silentWorkers.staged, std::nullopt);
    } else if (row.kind == row_kind::AppliedGeneration) {
        m_appliedGeneration.inFlight = std::exchange(m_appliedGeneration.staged, std::nullopt);
    } else if (row.kind == row_kind::Job) {
        auto &job = m_jobs[row.job];
        job.inFlight = std::exchange(job.staged, std::nullopt);
    }
}

// Stages what was in flight again. Values that were staged since take precedence.
void task_store::moveBackToStaged(const row_id &row)
{
    if (row.kind == row_kind::Chunk) {
        chunk_state &chunk = m_chunks[row];
        chunk.staged.merge(chunk.inFlight);
        chunk.inFlight.clear();
    } else if (row.kind == row_kind::Silent) {
        m_silentWorkers.staged = newestValue(m_silentWorkers);
        m_silentWorkers.inFlight.reset();
    } else if (row.kind == row_kind::AppliedGeneration) {
        m_appliedGeneration.staged = newestValue(m_appliedGeneration);
        m_appliedGeneration.inFlight.reset();
    } else if (row.kind == row_kind::Job) {
        auto &job = m_jobs[row.job];
        job.staged = newestValue(job);
        job.inFlight.reset();
    }
}

// --- Answers to transactions ---------------------------------------------------------------------

void task_store::handle(const write_answered &event, time_point now)
{
    if (m_isFenced || !m_transaction || m_transaction->transaction.operationId != event.operationId)
        return;
    transaction_state &current = *m_transaction;
    switch (event.result.outcome) {
    case write_outcome::Applied:
        onApplied(event.result.sequence, now);
        return;
    case write_outcome::Refused:
        m_actions.emplace_back(store_counter::CommitRefused);
        recordFailure(now);
        // A refused repeat doesn't tell whether the copy that was sent before took effect.
        if (current.isInDoubt)
            current.retryAt = now + retryDelay();
        else
            restageTransaction(now);
        return;
    case write_outcome::Unknown:
        m_actions.emplace_back(store_counter::CommitUnknown);
        recordFailure(now);
        current.isInDoubt = true;
        current.isResolving = true;
        current.retryAt = now + retryDelay();
        return;
    case write_outcome::Conflict:
        // Either a copy of this transaction has taken effect, or another writer has changed a row.
        // The rows are read to find out.
        m_actions.emplace_back(store_counter::CommitConflict);
        current.isResolving = true;
        current.retryAt = now;
        break;
    }
    tick(now);
}

void task_store::handle(const rows_read &event, time_point now)
{
    if (m_isFenced)
        return;
    if (event.keys.empty()) {
        if (!m_isReady)
            load(event.rows);
        return;
    }
    if (m_transaction && m_transaction->isResolving)
        resolveFromRows(event, now);
}

// A transaction in doubt has taken effect if one of its rows carries its operation id: only this
// process writes these rows, one transaction at a time. If no row has changed, a copy may still be
// in flight; exactly the same transaction is sent again, and its conditions let at most one copy
// take effect.
void task_store::resolveFromRows(const rows_read &event, time_point now)
{
    transaction_state &current = *m_transaction;
    const auto &conditions = current.transaction.conditions;
    const bool isSameRead = event.keys.size() == conditions.size()
                            && std::equal(event.keys.begin(), event.keys.end(), conditions.begin(),
                                          [](const auto &key, const auto &condition) {
                                              return key == condition.key;
                                          });
    if (!isSameRead)
        return;
    std::map<std::string, const table_row *> rows;
    for (const auto &row : event.rows)
        rows[row.key] = &row;
    std::uint64_t version = 0;
    if (hasTakenEffect(rows, &version)) {
        onApplied(version, now);
        return;
    }
    std::vector<row_condition> changed;
    for (const auto &condition : conditions) {
        const auto found = rows.find(condition.key);
        if ((found == rows.end() ? 0 : found->second->version) != condition.version)
            changed.push_back(condition);
    }
    if (changed.empty()) {
        current.isResolving = false;
        current.retryAt = now + retryDelay();
        return;
    }
    if (changed.front().key == shardKey(m_shard)) {
        m_isFenced = true;
        m_actions.emplace_back(fenced{m_shard});
        return;
    }
    restageTransaction(now);
    m_retryAt = now;
    for (const auto &condition : changed) {
        const auto found = rows.find(condition.key);
        reloadRow(*rowIdFromKey(condition.key), found == rows.end() ? nullptr : found->second);
    }
}

// Returns whether `rows` show that the transaction in flight has taken effect, and the version that
// it gave to its rows. Removals leave no operation id: they have taken effect if all rows are gone.
bool task_store::hasTakenEffect(const std::map<std::string, const table_row *> &rows,
                                std::uint64_t *version) const
{
    const table_transaction &transaction = m_transaction->transaction;
    bool onlyRemovals = true;
    bool allGone = true;
    for (const auto &write : transaction.writes) {
        const auto found = rows.find(write.key);
        if (found != rows.end())
            allGone = false;
        if (!write.value)
            continue;
        onlyRemovals = false;
        if (found == rows.end())
            continue;
        if (found->second->value[OperationMember].asString() == transaction.operationId) {
            *version = found->second->version;
            return true;
        }
    }
    return onlyRemovals && allGone;
}

void task_store::onApplied(std::uint64_t version, time_point now)
{
    const transaction_state applied = std::move(*m_transaction);
    m_transaction.reset();
    m_consecutiveFailures = 0;
    m_failingSince = Never;
    m_retryAt = time_point();
    for (const auto &row : applied.rows) {
        if (row.kind == row_kind::Removal) {
            for (const auto &write : applied.transaction.writes) {
                const row_id removed = *rowIdFromKey(write.key);
                if (removed.kind == row_kind::Job)
                    m_jobs.erase(removed.job);
                else
                    m_chunks.erase(removed);
            }
        } else {
            onRowApplied(row, version);
        }
        if (m_jobs.contains(row.job) && canRemoveJob(row.job))
            markDirty({row_kind::Removal, row.job, 0}, now + m_settings.lazyCommitWindow);
    }
}

void task_store::onRowApplied(const row_id &row, std::uint64_t version)
{
    versionOf(row) = version;
    if (row.kind == row_kind::Silent) {
        m_silentWorkers.committed = std::exchange(m_silentWorkers.inFlight, std::nullopt);
        return;
    }
    if (row.kind == row_kind::AppliedGeneration) {
        m_appliedGeneration.committed = std::exchange(m_appliedGeneration.inFlight, std::nullopt);
        return;
    }
    auto &job = m_jobs[row.job];
    if (row.kind == row_kind::Job) {
        const bool before = job.committed && job.committed->isCancelled;
        job.committed = std::exchange(job.inFlight, std::nullopt);
        m_committedJobs.push_back({row.job, job.committed->isCancelled && !before});
        return;
    }
    chunk_state &chunk = m_chunks[row];
    for (auto &[index, record] : std::exchange(chunk.inFlight, {})) {
        task_record &storedRecord = chunk.committed[index];
        m_changes.push_back({{row.job, index},
                             view(storedRecord, job.committed),
                             view(record, job.committed),
                             false});
        storedRecord = std::move(record);
    }
}

// Called when the transaction has had no effect and never will: its changes are staged again.
void task_store::restageTransaction(time_point now)
{
    const auto rows = std::move(m_transaction->rows);
    m_transaction.reset();
    for (const auto &row : rows) {
        moveBackToStaged(row);
        markDirty(row, now);
    }
    m_retryAt = now + retryDelay();
}

void task_store::recordFailure(time_point now)
{
    ++m_consecutiveFailures;
    m_failingSince = std::min(m_failingSince, now);
}

milliseconds task_store::retryDelay() const
{
    constexpr int MaxDoublings = 10;
    const int doublings = std::clamp(m_consecutiveFailures - 1, 0, MaxDoublings);
    return std::min(m_settings.initialRetryDelay * (1 << doublings), m_settings.maxRetryDelay);
}

// True if the job is cancelled, all its changes are committed and none of its tasks may be running.
bool task_store::canRemoveJob(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    const auto &job = found->second;
    if (!job.committed || !job.committed->isCancelled || job.inFlight || job.staged)
        return false;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, id, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != id)
            break;
        const chunk_state &chunk = it->second;
        if (!chunk.inFlight.empty() || !chunk.staged.empty())
            return false;
        for (const auto &[index, record] : chunk.committed) {
            if (occupiesWorker(record))
                return false;
        }
    }
    return true;
}

} // namespace zinniabarrow::work
