// Records, jobs and staged changes of the task store. Its rows are in task_store_rows.cpp, its
// transactions in task_store_transactions.cpp.

#include "work/task_store.h"

#include <utility>

#include "base/names.h"
#include "work/task_store_values.h"

namespace zinniabarrow::work {

namespace {

constexpr name_table<store_counter, 4> CounterNames = {{
        {store_counter::CommitRefused, "commit_refused"},
        {store_counter::CommitUnknown, "commit_unknown"},
        {store_counter::CommitConflict, "commit_conflict"},
        {store_counter::CommitResent, "commit_resent"},
}};

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

} // namespace zinniabarrow::work
