// Sections: Rows and keys | Records and jobs | Staging changes | Sending transactions |
// Answers to transactions | Loading rows

#include "work/task_store.h"

#include <algorithm>
#include <utility>

#include "base/json_member.h"
#include "base/names.h"
#include "work/ownership.h"

namespace zinniabarrow::work {

namespace {

constexpr milliseconds ScanRetryDelay{2'000};
constexpr const char *OperationMember = "op";
constexpr const char *AppliedGenerationKey = "followed";
constexpr const char *GenerationMember = "generation";

constexpr name_table<store_counter, 4> CounterNames = {{
        {store_counter::CommitRefused, "commit_refused"},
        {store_counter::CommitUnknown, "commit_unknown"},
        {store_counter::CommitConflict, "commit_conflict"},
        {store_counter::CommitResent, "commit_resent"},
}};

std::string paddedChunk(std::uint32_t chunk)
{
    std::string digits = std::to_string(chunk);
    return std::string(5 - std::min<std::size_t>(digits.size(), 5), '0') + digits;
}

template <typename Map>
const task_record *findRecord(const Map &records, std::uint32_t index)
{
    const auto found = records.find(index);
    return found == records.end() ? nullptr : &found->second;
}

// A gap of tasks without a record in a chunk's list: their number, or 0 for a single one.
Json::Value gapToJson(std::uint32_t tasks)
{
    return tasks > 1 ? tasks : 0;
}

template <typename State>
auto &newestValue(State &state)
{
    if (state.staged)
        return state.staged;
    return state.inFlight ? state.inFlight : state.committed;
}

stored_job storedJobFromJson(const Json::Value &value)
{
    stored_job job;
    job.spec = jobSpecFromJson(objectMember(value, "job"));
    job.peakTaskCount = smallCountMember(value, "range");
    job.isCancelled = boolMember(value, "cancelled");
    return job;
}

Json::Value toJson(const stored_job &job)
{
    Json::Value value(Json::objectValue);
    value["job"] = toJson(job.spec);
    value["range"] = job.peakTaskCount;
    value["cancelled"] = job.isCancelled;
    return value;
}

} // namespace

std::string_view nameOf(store_counter counter)
{
    return nameOf(CounterNames, counter);
}

task_store::task_store(int shard, std::uint64_t shardVersion, std::string operationPrefix,
                       store_settings settings)
    : m_shard(shard)
    , m_shardVersion(shardVersion)
    , m_operationPrefix(std::move(operationPrefix))
    , m_settings(settings)
{ }

bool task_store::isDown(time_point now) const
{
    return m_consecutiveFailures > 0 && now - m_failingSince >= m_settings.outageThreshold;
}

// --- Rows and keys -------------------------------------------------------------------------------

std::string task_store::prefix() const
{
    return "work/" + std::to_string(m_shard) + "/";
}

std::string task_store::keyOf(const row_id &row) const
{
    switch (row.kind) {
    case row_kind::Job:
    case row_kind::Removal:
        return prefix() + "job/" + row.job;
    case row_kind::Chunk:
        return prefix() + "task/" + row.job + "/" + paddedChunk(row.chunk);
    case row_kind::AppliedGeneration:
        return prefix() + AppliedGenerationKey;
    case row_kind::Silent:
        break;
    }
    return prefix() + "silent";
}

std::optional<task_store::row_id> task_store::rowIdFromKey(const std::string &key) const
{
    if (!key.starts_with(prefix()))
        return std::nullopt;
    const std::string rest = key.substr(prefix().size());
    if (rest == "silent")
        return row_id{row_kind::Silent, {}, 0};
    if (rest == AppliedGenerationKey)
        return row_id{row_kind::AppliedGeneration, {}, 0};
    if (rest.starts_with("job/"))
        return row_id{row_kind::Job, rest.substr(4), 0};
    const auto slash = rest.rfind('/');
    if (!rest.starts_with("task/") || slash < 5)
        return std::nullopt;
    const auto chunk = static_cast<std::uint32_t>(std::stoul(rest.substr(slash + 1)));
    return row_id{row_kind::Chunk, rest.substr(5, slash - 5), chunk};
}

task_store::row_id task_store::chunkRowOf(const task_id &task) const
{
    return {row_kind::Chunk, task.job, task.index / m_settings.tasksPerChunk};
}

const task_store::chunk_state *task_store::findChunk(const task_id &task) const
{
    const auto found = m_chunks.find(chunkRowOf(task));
    return found == m_chunks.end() ? nullptr : &found->second;
}

std::uint64_t &task_store::versionOf(const row_id &row)
{
    if (row.kind == row_kind::Chunk)
        return m_chunks[row].version;
    if (row.kind == row_kind::Silent)
        return m_silentWorkers.version;
    if (row.kind == row_kind::AppliedGeneration)
        return m_appliedGeneration.version;
    return m_jobs[row.job].version;
}

// The row's newest value, with all staged changes.
Json::Value task_store::valueOf(const row_id &row) const
{
    if (row.kind == row_kind::Job)
        return toJson(*newestValue(m_jobs.at(row.job)));
    Json::Value value(Json::objectValue);
    if (row.kind == row_kind::AppliedGeneration) {
        value[GenerationMember] = Json::UInt64(appliedGeneration());
        return value;
    }
    if (row.kind == row_kind::Silent) {
        value["workers"] = Json::Value(Json::arrayValue);
        for (const auto &worker : *newestValue(m_silentWorkers))
            value["workers"].append(worker);
        return value;
    }
    const chunk_state &chunk = m_chunks.at(row);
    record_map records = chunk.committed;
    for (const auto &[index, record] : chunk.staged)
        records[index] = record;
    value["tasks"] = Json::Value(Json::arrayValue);
    std::uint32_t position = row.chunk * m_settings.tasksPerChunk;
    for (const auto &[index, record] : records) {
        if (index > position)
            value["tasks"].append(gapToJson(index - position));
        value["tasks"].append(toJson(record));
        position = index + 1;
    }
    return value;
}

// --- Records and jobs ----------------------------------------------------------------------------

// Returns the record, changed to Cancelled or Cancelling if its job is cancelled.
task_record task_store::view(const task_record &record, const std::optional<stored_job> &job)
{
    if (!job || !job->isCancelled)
        return record;
    task_record cancelled = record;
    if (record.state == task_state::Pending)
        cancelled.state = task_state::Cancelled;
    if (record.state == task_state::Placed)
        cancelled.state = task_state::Cancelling;
    return cancelled;
}

task_record task_store::newestRecord(const task_id &task) const
{
    const chunk_state *chunk = findChunk(task);
    const task_record *record = nullptr;
    if (chunk != nullptr) {
        record = findRecord(chunk->staged, task.index);
        if (record == nullptr)
            record = findRecord(chunk->inFlight, task.index);
        if (record == nullptr)
            record = findRecord(chunk->committed, task.index);
    }
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return record == nullptr ? task_record() : *record;
    return view(record == nullptr ? task_record() : *record, newestValue(job->second));
}

task_record task_store::committedRecord(const task_id &task) const
{
    const chunk_state *chunk = findChunk(task);
    const task_record *record =
            chunk == nullptr ? nullptr : findRecord(chunk->committed, task.index);
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return record == nullptr ? task_record() : *record;
    return view(record == nullptr ? task_record() : *record, job->second.committed);
}

bool task_store::hasUncommittedChange(const task_id &task) const
{
    if (hasUncommittedJobChange(task.job))
        return true;
    const chunk_state *chunk = findChunk(task);
    return chunk != nullptr
           && (chunk->inFlight.contains(task.index) || chunk->staged.contains(task.index));
}

bool task_store::hasUncommittedJobChange(const std::string &id) const
{
    const auto job = m_jobs.find(id);
    return job != m_jobs.end() && (job->second.inFlight || job->second.staged);
}

bool task_store::isInJobRange(const task_id &task) const
{
    const stored_job *found = job(task.job);
    if (found == nullptr || task.index < found->spec.firstTaskIndex)
        return false;
    const auto offset = task.index - found->spec.firstTaskIndex;
    return offset % found->spec.indexStride == 0
           && offset / found->spec.indexStride < found->peakTaskCount;
}

void task_store::stageRecord(const task_id &task, const task_record &record, time_point now,
                             bool isLazy)
{
    if (record == newestRecord(task))
        return;
    const row_id row = chunkRowOf(task);
    m_chunks[row].staged[task.index] = record;
    markDirty(row, now + (isLazy ? m_settings.lazyCommitWindow : m_settings.commitWindow));
}

const stored_job *task_store::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !newestValue(found->second))
        return nullptr;
    return &*newestValue(found->second);
}

std::vector<std::string> task_store::jobs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, state] : m_jobs)
        ids.push_back(id);
    return ids;
}

// --- Staging changes -----------------------------------------------------------------------------

void task_store::stageJob(const stored_job &job, time_point now)
{
    m_jobs[job.spec.id].staged = job;
    markDirty({row_kind::Job, job.spec.id, 0}, now + m_settings.commitWindow);
}

std::vector<task_id> task_store::everPlacedTasks() const
{
    std::vector<task_id> tasks;
    for (const auto &id : jobs()) {
        const auto placedTasks = everPlacedTasks(id);
        tasks.insert(tasks.end(), placedTasks.begin(), placedTasks.end());
    }
    return tasks;
}

std::vector<task_id> task_store::everPlacedTasks(const std::string &job) const
{
    std::vector<task_id> tasks;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, job, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != job)
            break;
        std::set<std::uint32_t> indexes;
        for (const auto *records :
             {&it->second.committed, &it->second.inFlight, &it->second.staged}) {
            for (const auto &[index, record] : *records)
                indexes.insert(index);
        }
        for (const auto index : indexes)
            tasks.push_back({job, index});
    }
    return tasks;
}

bool task_store::isDeclaredSilent(const std::string &worker) const
{
    for (const auto *workers :
         {&m_silentWorkers.committed, &m_silentWorkers.inFlight, &m_silentWorkers.staged}) {
        if (*workers && (*workers)->contains(worker))
            return true;
    }
    return false;
}

bool task_store::isCommittedSilent(const std::string &worker) const
{
    return m_silentWorkers.committed && m_silentWorkers.committed->contains(worker);
}

void task_store::stageSilent(const std::string &worker, bool isSilent, time_point now)
{
    silent_set workers = newestValue(m_silentWorkers).value_or(silent_set());
    const bool changed = isSilent ? workers.insert(worker).second : workers.erase(worker) > 0;
    if (!changed)
        return;
    m_silentWorkers.staged = std::move(workers);
    markDirty({row_kind::Silent, {}, 0}, now + m_settings.commitWindow);
}

std::uint64_t task_store::appliedGeneration() const
{
    return newestValue(m_appliedGeneration).value_or(0);
}

void task_store::stageAppliedGeneration(std::uint64_t generation, time_point now)
{
    if (generation <= appliedGeneration())
        return;
    m_appliedGeneration.staged = generation;
    markDirty({row_kind::AppliedGeneration, {}, 0}, now + m_settings.commitWindow);
}

void task_store::markDirty(const row_id &row, time_point due)
{
    const auto [known, added] = m_dirtyRows.try_emplace(row, due);
    if (!added && known->second <= due)
        return;
    m_rowsByDueTime.erase({known->second, row});
    known->second = due;
    m_rowsByDueTime.insert({due, row});
}

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

// --- Loading rows --------------------------------------------------------------------------------

void task_store::load(const std::vector<table_row> &rows)
{
    for (const auto &row : rows)
        loadRow(row);
    m_isReady = true;
    for (const auto &[id, job] : m_jobs) {
        if (canRemoveJob(id))
            markDirty({row_kind::Removal, id, 0}, time_point());
    }
}

void task_store::loadRow(const table_row &row)
{
    const auto id = rowIdFromKey(row.key);
    if (!id)
        return;
    if (id->kind == row_kind::Chunk) {
        loadChunk(*id, &row, m_chunks[*id]);
        return;
    }
    versionOf(*id) = row.version;
    if (id->kind == row_kind::Job) {
        m_jobs[id->job].committed = storedJobFromJson(row.value);
        m_committedJobs.push_back({id->job, false});
        return;
    }
    if (id->kind == row_kind::AppliedGeneration) {
        m_appliedGeneration.committed = countMember(row.value, GenerationMember);
        return;
    }
    m_silentWorkers.committed.emplace();
    for (const auto &worker : arrayMember(row.value, "workers"))
        m_silentWorkers.committed->insert(worker.asString());
}

void task_store::loadChunk(const row_id &row, const table_row *found, chunk_state &chunk)
{
    chunk.version = found == nullptr ? 0 : found->version;
    chunk.committed.clear();
    if (found == nullptr)
        return;
    std::uint32_t index = row.chunk * m_settings.tasksPerChunk;
    for (const auto &value : arrayMember(found->value, "tasks")) {
        if (value.isIntegral() && value.asUInt() > 1) { // this many tasks without a record
            index += value.asUInt();
            continue;
        }
        const task_record record = taskRecordFromJson(value);
        if (record != task_record())
            chunk.committed[index] = record;
        ++index;
    }
}

// Takes over a row that another writer has changed. Staged changes of a chunk are dropped, so that
// one row can't block the rest of its transaction forever: agents repeat their events, and the
// scheduler decides again. Of any other row only the version is taken over.
void task_store::reloadRow(const row_id &row, const table_row *found)
{
    if (row.kind != row_kind::Chunk) {
        versionOf(row) = found == nullptr ? 0 : found->version;
        return;
    }
    chunk_state &chunk = m_chunks[row];
    const record_map dropped = std::exchange(chunk.staged, {});
    const record_map before = chunk.committed;
    loadChunk(row, found, chunk);
    const auto &job = m_jobs[row.job].committed;
    record_map after = chunk.committed;
    for (const auto &[index, record] : before)
        after.try_emplace(index);
    for (const auto &[index, record] : dropped) {
        m_changes.push_back({{row.job, index}, view(record, job), view(after[index], job), true});
    }
    for (const auto &[index, record] : after) {
        const task_record *old = findRecord(before, index);
        const task_record previous = old == nullptr ? task_record() : *old;
        if (previous != record)
            m_changes.push_back({{row.job, index}, view(previous, job), view(record, job), false});
    }
}

} // namespace zinniabarrow::work
