// Sections: Rows and keys | Views: settled, in flight, wanted | Wanting changes | Sending |
// Answers of the table | Loading after a takeover

#include "work/task_store.h"

#include <algorithm>
#include <utility>

#include "base/json_member.h"
#include "base/names.h"
#include "work/ownership.h"

namespace zinniabarrow::work {

namespace {

constexpr milliseconds ScanAgainAfter{2'000};
constexpr const char *OperationMember = "op";
constexpr const char *FollowedKey = "followed";
constexpr const char *GenerationMember = "generation";

constexpr name_table<store_count, 4> CountNames = {{
        {store_count::CommitRefused, "commit_refused"},
        {store_count::CommitUnknown, "commit_unknown"},
        {store_count::CommitConflict, "commit_conflict"},
        {store_count::CommitResent, "commit_resent"},
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

// Tasks without a record, between two that have one: their number, and 0 for a single one.
Json::Value skipOf(std::uint32_t tasks)
{
    return tasks > 1 ? tasks : 0;
}

template <typename State>
auto &newest(State &state)
{
    if (state.wanted)
        return state.wanted;
    return state.sent ? state.sent : state.settled;
}

stored_job storedJobFromJson(const Json::Value &value)
{
    stored_job job;
    job.spec = jobSpecFromJson(objectMember(value, "job"));
    job.range = smallCountMember(value, "range");
    job.cancelled = boolMember(value, "cancelled");
    return job;
}

Json::Value toJson(const stored_job &job)
{
    Json::Value value(Json::objectValue);
    value["job"] = toJson(job.spec);
    value["range"] = job.range;
    value["cancelled"] = job.cancelled;
    return value;
}

} // namespace

std::string_view nameOf(store_count reason)
{
    return nameOf(CountNames, reason);
}

task_store::task_store(int shard, std::uint64_t shardVersion, std::string operationPrefix,
                       store_settings settings)
    : m_shard(shard)
    , m_shardVersion(shardVersion)
    , m_operationPrefix(std::move(operationPrefix))
    , m_settings(settings)
{ }

bool task_store::down(time_point now) const
{
    return m_failures > 0 && now - m_failingSince >= m_settings.downAfter;
}

// Keys and values of rows.

std::string task_store::prefix() const
{
    return "work/" + std::to_string(m_shard) + "/";
}

// --- Rows and keys -------------------------------------------------------------------------------

std::string task_store::keyOf(const row_id &row) const
{
    switch (row.kind) {
    case row_kind::Job:
    case row_kind::Removal:
        return prefix() + "job/" + row.job;
    case row_kind::Chunk:
        return prefix() + "task/" + row.job + "/" + paddedChunk(row.chunk);
    case row_kind::Followed:
        return prefix() + FollowedKey;
    case row_kind::Silent:
        break;
    }
    return prefix() + "silent";
}

std::optional<task_store::row_id> task_store::rowOf(const std::string &key) const
{
    if (!key.starts_with(prefix()))
        return std::nullopt;
    const std::string rest = key.substr(prefix().size());
    if (rest == "silent")
        return row_id{row_kind::Silent, {}, 0};
    if (rest == FollowedKey)
        return row_id{row_kind::Followed, {}, 0};
    if (rest.starts_with("job/"))
        return row_id{row_kind::Job, rest.substr(4), 0};
    const auto slash = rest.rfind('/');
    if (!rest.starts_with("task/") || slash < 5)
        return std::nullopt;
    const auto chunk = static_cast<std::uint32_t>(std::stoul(rest.substr(slash + 1)));
    return row_id{row_kind::Chunk, rest.substr(5, slash - 5), chunk};
}

task_store::row_id task_store::chunkOf(const task_id &task) const
{
    return {row_kind::Chunk, task.job, task.index / m_settings.chunkTasks};
}

const task_store::chunk_state *task_store::findChunk(const task_id &task) const
{
    const auto found = m_chunks.find(chunkOf(task));
    return found == m_chunks.end() ? nullptr : &found->second;
}

std::uint64_t &task_store::versionOf(const row_id &row)
{
    if (row.kind == row_kind::Chunk)
        return m_chunks[row].version;
    if (row.kind == row_kind::Silent)
        return m_silent.version;
    if (row.kind == row_kind::Followed)
        return m_followed.version;
    return m_jobs[row.job].version;
}

// The row's value with what is wanted, sent ones included.
Json::Value task_store::valueOf(const row_id &row) const
{
    if (row.kind == row_kind::Job)
        return toJson(*newest(m_jobs.at(row.job)));
    Json::Value value(Json::objectValue);
    if (row.kind == row_kind::Followed) {
        value[GenerationMember] = Json::UInt64(followed());
        return value;
    }
    if (row.kind == row_kind::Silent) {
        value["workers"] = Json::Value(Json::arrayValue);
        for (const auto &worker : *newest(m_silent))
            value["workers"].append(worker);
        return value;
    }
    const chunk_state &chunk = m_chunks.at(row);
    record_map records = chunk.settled;
    for (const auto &[index, record] : chunk.wanted)
        records[index] = record;
    value["tasks"] = Json::Value(Json::arrayValue);
    std::uint32_t next = row.chunk * m_settings.chunkTasks;
    for (const auto &[index, record] : records) {
        if (index > next)
            value["tasks"].append(skipOf(index - next));
        value["tasks"].append(toJson(record));
        next = index + 1;
    }
    return value;
}

// Records.

// --- Views: settled, in flight, wanted -----------------------------------------------------------

task_record task_store::view(const task_record &record, const std::optional<stored_job> &job)
{
    if (!job || !job->cancelled)
        return record;
    task_record cancelled = record;
    if (record.state == task_state::Pending)
        cancelled.state = task_state::Cancelled;
    if (record.state == task_state::Placed)
        cancelled.state = task_state::Cancelling;
    return cancelled;
}

task_record task_store::effective(const task_id &task) const
{
    const chunk_state *chunk = findChunk(task);
    const task_record *record = nullptr;
    if (chunk != nullptr) {
        record = findRecord(chunk->wanted, task.index);
        if (record == nullptr)
            record = findRecord(chunk->sent, task.index);
        if (record == nullptr)
            record = findRecord(chunk->settled, task.index);
    }
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return record == nullptr ? task_record() : *record;
    return view(record == nullptr ? task_record() : *record, newest(job->second));
}

task_record task_store::settled(const task_id &task) const
{
    const chunk_state *chunk = findChunk(task);
    const task_record *record = chunk == nullptr ? nullptr : findRecord(chunk->settled, task.index);
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return record == nullptr ? task_record() : *record;
    return view(record == nullptr ? task_record() : *record, job->second.settled);
}

bool task_store::inFlight(const task_id &task) const
{
    if (jobInFlight(task.job))
        return true;
    const chunk_state *chunk = findChunk(task);
    return chunk != nullptr
           && (chunk->sent.contains(task.index) || chunk->wanted.contains(task.index));
}

bool task_store::jobInFlight(const std::string &id) const
{
    const auto job = m_jobs.find(id);
    return job != m_jobs.end() && (job->second.sent || job->second.wanted);
}

bool task_store::known(const task_id &task) const
{
    const stored_job *found = job(task.job);
    if (found == nullptr || task.index < found->spec.firstTask)
        return false;
    const auto offset = task.index - found->spec.firstTask;
    return offset % found->spec.stride == 0 && offset / found->spec.stride < found->range;
}

void task_store::want(const task_id &task, const task_record &record, time_point now, bool lazy)
{
    if (record == effective(task))
        return;
    const row_id row = chunkOf(task);
    m_chunks[row].wanted[task.index] = record;
    markDirty(row, now + (lazy ? m_settings.lazyWindow : m_settings.groupWindow));
}

const stored_job *task_store::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !newest(found->second))
        return nullptr;
    return &*newest(found->second);
}

std::vector<std::string> task_store::jobs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, state] : m_jobs)
        ids.push_back(id);
    return ids;
}

// --- Wanting changes -----------------------------------------------------------------------------

void task_store::wantJob(const stored_job &job, time_point now)
{
    m_jobs[job.spec.id].wanted = job;
    markDirty({row_kind::Job, job.spec.id, 0}, now + m_settings.groupWindow);
}

std::vector<task_id> task_store::touched() const
{
    std::vector<task_id> tasks;
    for (const auto &id : jobs()) {
        const auto some = touched(id);
        tasks.insert(tasks.end(), some.begin(), some.end());
    }
    return tasks;
}

std::vector<task_id> task_store::touched(const std::string &job) const
{
    std::vector<task_id> tasks;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, job, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != job)
            break;
        std::set<std::uint32_t> indexes;
        for (const auto *records : {&it->second.settled, &it->second.sent, &it->second.wanted}) {
            for (const auto &[index, record] : *records)
                indexes.insert(index);
        }
        for (const auto index : indexes)
            tasks.push_back({job, index});
    }
    return tasks;
}

// Silent workers.

bool task_store::silent(const std::string &worker) const
{
    for (const auto *workers : {&m_silent.settled, &m_silent.sent, &m_silent.wanted}) {
        if (*workers && (*workers)->contains(worker))
            return true;
    }
    return false;
}

bool task_store::silentSettled(const std::string &worker) const
{
    return m_silent.settled && m_silent.settled->contains(worker);
}

void task_store::wantSilent(const std::string &worker, bool silent, time_point now)
{
    silent_set workers = newest(m_silent).value_or(silent_set());
    const bool changed = silent ? workers.insert(worker).second : workers.erase(worker) > 0;
    if (!changed)
        return;
    m_silent.wanted = std::move(workers);
    markDirty({row_kind::Silent, {}, 0}, now + m_settings.groupWindow);
}

// The configuration.

std::uint64_t task_store::followed() const
{
    return newest(m_followed).value_or(0);
}

void task_store::wantFollowed(std::uint64_t generation, time_point now)
{
    if (generation <= followed())
        return;
    m_followed.wanted = generation;
    markDirty({row_kind::Followed, {}, 0}, now + m_settings.groupWindow);
}

// Transactions.

void task_store::markDirty(const row_id &row, time_point due)
{
    const auto [known, added] = m_dirty.try_emplace(row, due);
    if (!added && known->second <= due)
        return;
    m_due.erase({known->second, row});
    known->second = due;
    m_due.insert({due, row});
}

// --- Sending -------------------------------------------------------------------------------------

void task_store::tick(time_point now)
{
    if (m_fenced)
        return;
    if (!m_ready) {
        if (now >= m_scanAt) {
            m_scanAt = now + ScanAgainAfter;
            m_actions.emplace_back(scan_rows{prefix()});
        }
        return;
    }
    if (!m_transaction) {
        flush(now);
        return;
    }
    if (now < m_transaction->nextAt)
        return;
    if (m_transaction->settling) {
        m_transaction->nextAt = now + m_settings.lastRetry;
        std::vector<std::string> keys;
        for (const auto &condition : m_transaction->transaction.conditions)
            keys.push_back(condition.key);
        m_actions.emplace_back(read_rows{std::move(keys)});
    } else {
        m_transaction->inDoubt = true;
        m_transaction->nextAt = now + AnswerWithin;
        m_actions.emplace_back(store_count::CommitResent);
        m_actions.emplace_back(commit_rows{m_transaction->transaction});
    }
}

void task_store::flush(time_point now)
{
    if (!m_due.empty() && now >= m_retryAt && now >= m_due.begin()->first)
        send(now);
}

void task_store::send(time_point now)
{
    m_transaction = transaction_state{};
    m_transaction->nextAt = now + AnswerWithin;
    table_transaction &transaction = m_transaction->transaction;
    transaction.operationId = m_operationPrefix + "/" + std::to_string(++m_operations);
    transaction.conditions.push_back({shardKey(m_shard), m_shardVersion});
    // Rows that are due within the window go along. A removal goes alone: the rows of one job, all
    // of them settled.
    const time_point until = now + m_settings.groupWindow;
    const bool removal = m_due.begin()->second.kind == row_kind::Removal;
    auto next = m_due.begin();
    while (next != m_due.end() && next->first <= until
           && transaction.writes.size() < m_settings.groupRows) {
        const row_id row = next->second;
        if ((row.kind == row_kind::Removal) != removal) {
            ++next;
            continue;
        }
        next = m_due.erase(next);
        m_dirty.erase(row);
        m_transaction->rows.push_back(row);
        if (removal) {
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
    moveToSent(row);
}

// The job's row goes last, so that an owner that finds it knows that chunks may be left.
void task_store::addRemoval(const std::string &job)
{
    if (!drained(job))
        return;
    table_transaction &transaction = m_transaction->transaction;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, job, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != job || transaction.writes.size() >= m_settings.groupRows)
            break;
        if (it->second.version == 0)
            continue;
        transaction.conditions.push_back({keyOf(it->first), it->second.version});
        transaction.writes.push_back({keyOf(it->first), std::nullopt});
    }
    if (transaction.writes.size() >= m_settings.groupRows)
        return;
    const row_id row{row_kind::Job, job, 0};
    transaction.conditions.push_back({keyOf(row), versionOf(row)});
    transaction.writes.push_back({keyOf(row), std::nullopt});
}

void task_store::moveToSent(const row_id &row)
{
    if (row.kind == row_kind::Chunk) {
        chunk_state &chunk = m_chunks[row];
        chunk.sent = std::exchange(chunk.wanted, {});
    } else if (row.kind == row_kind::Silent) {
        m_silent.sent = std::exchange(m_silent.wanted, std::nullopt);
    } else if (row.kind == row_kind::Followed) {
        m_followed.sent = std::exchange(m_followed.wanted, std::nullopt);
    } else if (row.kind == row_kind::Job) {
        auto &job = m_jobs[row.job];
        job.sent = std::exchange(job.wanted, std::nullopt);
    }
}

// What was sent is wanted again, under what was wanted since.
void task_store::moveBack(const row_id &row)
{
    if (row.kind == row_kind::Chunk) {
        chunk_state &chunk = m_chunks[row];
        chunk.wanted.merge(chunk.sent);
        chunk.sent.clear();
    } else if (row.kind == row_kind::Silent) {
        m_silent.wanted = newest(m_silent);
        m_silent.sent.reset();
    } else if (row.kind == row_kind::Followed) {
        m_followed.wanted = newest(m_followed);
        m_followed.sent.reset();
    } else if (row.kind == row_kind::Job) {
        auto &job = m_jobs[row.job];
        job.wanted = newest(job);
        job.sent.reset();
    }
}

// --- Answers of the table ------------------------------------------------------------------------

void task_store::handle(const write_settled &event, time_point now)
{
    if (m_fenced || !m_transaction || m_transaction->transaction.operationId != event.operationId)
        return;
    transaction_state &current = *m_transaction;
    switch (event.result.outcome) {
    case write_outcome::Applied:
        applied(event.result.sequence, now);
        return;
    case write_outcome::Refused:
        m_actions.emplace_back(store_count::CommitRefused);
        failed(now);
        // Refusing a repeat says nothing about the copy that was sent before.
        if (current.inDoubt)
            current.nextAt = now + retryDelay();
        else
            giveBack(now);
        return;
    case write_outcome::Unknown:
        m_actions.emplace_back(store_count::CommitUnknown);
        failed(now);
        current.inDoubt = true;
        current.settling = true;
        current.nextAt = now + retryDelay();
        return;
    case write_outcome::Conflict:
        // Either a copy of this very write took effect, or a row has changed: reading tells.
        m_actions.emplace_back(store_count::CommitConflict);
        current.settling = true;
        current.nextAt = now;
        break;
    }
    tick(now);
}

void task_store::handle(const rows_read &event, time_point now)
{
    if (m_fenced)
        return;
    if (event.keys.empty()) {
        if (!m_ready)
            load(event.rows);
        return;
    }
    if (m_transaction && m_transaction->settling)
        settleFromRows(event, now);
}

// A write in doubt took effect if one of its rows carries its operation id: only this process
// writes these rows, one transaction at a time. If no row has changed, a copy may still be on its
// way; exactly the same write goes out again, and its conditions let one copy at most take effect.
void task_store::settleFromRows(const rows_read &event, time_point now)
{
    transaction_state &current = *m_transaction;
    const auto &conditions = current.transaction.conditions;
    const bool sameRead = event.keys.size() == conditions.size()
                          && std::equal(event.keys.begin(), event.keys.end(), conditions.begin(),
                                        [](const auto &key, const auto &condition) {
                                            return key == condition.key;
                                        });
    if (!sameRead)
        return;
    std::map<std::string, const table_row *> rows;
    for (const auto &row : event.rows)
        rows[row.key] = &row;
    std::uint64_t version = 0;
    if (tookEffect(rows, &version)) {
        applied(version, now);
        return;
    }
    std::vector<row_condition> changed;
    for (const auto &condition : conditions) {
        const auto found = rows.find(condition.key);
        if ((found == rows.end() ? 0 : found->second->version) != condition.version)
            changed.push_back(condition);
    }
    if (changed.empty()) {
        current.settling = false;
        current.nextAt = now + retryDelay();
        return;
    }
    if (changed.front().key == shardKey(m_shard)) {
        m_fenced = true;
        m_actions.emplace_back(fenced{m_shard});
        return;
    }
    giveBack(now);
    m_retryAt = now;
    for (const auto &condition : changed) {
        const auto found = rows.find(condition.key);
        reload(*rowOf(condition.key), found == rows.end() ? nullptr : found->second);
    }
}

bool task_store::tookEffect(const std::map<std::string, const table_row *> &rows,
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

void task_store::applied(std::uint64_t version, time_point now)
{
    const transaction_state done = std::move(*m_transaction);
    m_transaction.reset();
    m_failures = 0;
    m_failingSince = Never;
    m_retryAt = time_point();
    for (const auto &row : done.rows) {
        if (row.kind == row_kind::Removal) {
            for (const auto &write : done.transaction.writes) {
                const row_id removed = *rowOf(write.key);
                if (removed.kind == row_kind::Job)
                    m_jobs.erase(removed.job);
                else
                    m_chunks.erase(removed);
            }
        } else {
            appliedRow(row, version);
        }
        if (m_jobs.contains(row.job) && drained(row.job))
            markDirty({row_kind::Removal, row.job, 0}, now + m_settings.lazyWindow);
    }
}

void task_store::appliedRow(const row_id &row, std::uint64_t version)
{
    versionOf(row) = version;
    if (row.kind == row_kind::Silent) {
        m_silent.settled = std::exchange(m_silent.sent, std::nullopt);
        return;
    }
    if (row.kind == row_kind::Followed) {
        m_followed.settled = std::exchange(m_followed.sent, std::nullopt);
        return;
    }
    auto &job = m_jobs[row.job];
    if (row.kind == row_kind::Job) {
        const bool before = job.settled && job.settled->cancelled;
        job.settled = std::exchange(job.sent, std::nullopt);
        m_settledJobs.push_back({row.job, job.settled->cancelled && !before});
        return;
    }
    chunk_state &chunk = m_chunks[row];
    for (auto &[index, record] : std::exchange(chunk.sent, {})) {
        task_record &settled = chunk.settled[index];
        m_changes.push_back(
                {{row.job, index}, view(settled, job.settled), view(record, job.settled), false});
        settled = std::move(record);
    }
}

// Nothing of the transaction took effect, or will: its rows are wanted again.
void task_store::giveBack(time_point now)
{
    const auto rows = std::move(m_transaction->rows);
    m_transaction.reset();
    for (const auto &row : rows) {
        moveBack(row);
        markDirty(row, now);
    }
    m_retryAt = now + retryDelay();
}

void task_store::failed(time_point now)
{
    ++m_failures;
    m_failingSince = std::min(m_failingSince, now);
}

milliseconds task_store::retryDelay() const
{
    constexpr int MostDoublings = 10;
    const int doublings = std::clamp(m_failures - 1, 0, MostDoublings);
    return std::min(m_settings.firstRetry * (1 << doublings), m_settings.lastRetry);
}

bool task_store::drained(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    const auto &job = found->second;
    if (!job.settled || !job.settled->cancelled || job.sent || job.wanted)
        return false;
    for (auto it = m_chunks.lower_bound({row_kind::Chunk, id, 0}); it != m_chunks.end(); ++it) {
        if (it->first.job != id)
            break;
        const chunk_state &chunk = it->second;
        if (!chunk.sent.empty() || !chunk.wanted.empty())
            return false;
        for (const auto &[index, record] : chunk.settled) {
            if (occupies(record))
                return false;
        }
    }
    return true;
}

// Rows that were read.

// --- Loading after a takeover --------------------------------------------------------------------

void task_store::load(const std::vector<table_row> &rows)
{
    for (const auto &row : rows)
        loadRow(row);
    m_ready = true;
    for (const auto &[id, job] : m_jobs) {
        if (drained(id))
            markDirty({row_kind::Removal, id, 0}, time_point());
    }
}

void task_store::loadRow(const table_row &row)
{
    const auto id = rowOf(row.key);
    if (!id)
        return;
    if (id->kind == row_kind::Chunk) {
        loadChunk(*id, &row, m_chunks[*id]);
        return;
    }
    versionOf(*id) = row.version;
    if (id->kind == row_kind::Job) {
        m_jobs[id->job].settled = storedJobFromJson(row.value);
        m_settledJobs.push_back({id->job, false});
        return;
    }
    if (id->kind == row_kind::Followed) {
        m_followed.settled = countMember(row.value, GenerationMember);
        return;
    }
    m_silent.settled.emplace();
    for (const auto &worker : arrayMember(row.value, "workers"))
        m_silent.settled->insert(worker.asString());
}

void task_store::loadChunk(const row_id &row, const table_row *found, chunk_state &chunk)
{
    chunk.version = found == nullptr ? 0 : found->version;
    chunk.settled.clear();
    if (found == nullptr)
        return;
    std::uint32_t index = row.chunk * m_settings.chunkTasks;
    for (const auto &value : arrayMember(found->value, "tasks")) {
        if (value.isIntegral() && value.asUInt() > 1) {
            index += value.asUInt();
            continue;
        }
        const task_record record = taskRecordFromJson(value);
        if (record != task_record())
            chunk.settled[index] = record;
        ++index;
    }
}

// A row that something else has changed: the table's content stands, and what was wanted for it is
// dropped, so that one row cannot hold up its group for ever. Agents repeat their events, and the
// placer decides again.
void task_store::reload(const row_id &row, const table_row *found)
{
    if (row.kind != row_kind::Chunk) {
        versionOf(row) = found == nullptr ? 0 : found->version;
        return;
    }
    chunk_state &chunk = m_chunks[row];
    const record_map dropped = std::exchange(chunk.wanted, {});
    const record_map before = chunk.settled;
    loadChunk(row, found, chunk);
    const auto &job = m_jobs[row.job].settled;
    record_map after = chunk.settled;
    for (const auto &[index, record] : before)
        after.try_emplace(index);
    for (const auto &[index, record] : dropped) {
        m_changes.push_back({{row.job, index}, view(record, job), view(after[index], job), true});
    }
    for (const auto &[index, record] : after) {
        const task_record *old = findRecord(before, index);
        const task_record was = old == nullptr ? task_record() : *old;
        if (was != record)
            m_changes.push_back({{row.job, index}, view(was, job), view(record, job), false});
    }
}

} // namespace zinniabarrow::work
