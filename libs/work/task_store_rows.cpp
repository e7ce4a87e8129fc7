// Rows of the task store: their keys and JSON values, and how they are loaded from the table.

#include <algorithm>
#include <utility>

#include "base/json_member.h"
#include "work/task_store.h"
#include "work/task_store_values.h"

namespace zinniabarrow::work {

namespace {

constexpr const char *AppliedGenerationKey = "followed";
constexpr const char *GenerationMember = "generation";

std::string paddedChunk(std::uint32_t chunk)
{
    std::string digits = std::to_string(chunk);
    return std::string(5 - std::min<std::size_t>(digits.size(), 5), '0') + digits;
}

// A gap of tasks without a record in a chunk's list: their number, or 0 for a single one.
Json::Value gapToJson(std::uint32_t tasks)
{
    return tasks > 1 ? tasks : 0;
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
