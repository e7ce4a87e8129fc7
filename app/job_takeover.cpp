#include "app/job_takeover.h"

#include <utility>
#include <vector>

#include "app/job_tables.h"
#include "base/errors.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

// Callers may ask for a job's state for 120 s after its end.
constexpr milliseconds FinalRowRetention{180'000};

} // namespace

job_takeover::job_takeover(const job_takeover_dependencies &dependencies,
                           std::function<void()> onActionsReady)
    : m_store(dependencies.store)
    , m_directory(dependencies.directory)
    , m_view(dependencies.view)
    , m_jobController(dependencies.jobController)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_onActionsReady(std::move(onActionsReady))
{ }

void job_takeover::scan(const owner_id &self)
{
    const auto now = suspendAwareNow();
    for (const auto &[id, known] : m_view.jobs()) {
        if (!known.summary.needsOwner || m_jobController->owns(id)
            || m_adoptionsInProgress.contains(id) || !m_unreadableRecords.isDue(id, now))
            continue;
        const auto successor = m_directory.successorOf(id, known.summary.owner, self, now);
        if (successor && *successor == self.entry)
            adopt(id, known.summary.owner);
    }
    removeOldRows(self.entry, now);
}

void job_takeover::adopt(const std::string &id, const owner_id &formerOwner)
{
    m_adoptionsInProgress.insert(id);
    m_store.read(JobsTable, partitionOfJob(id), id, id + "\x01",
                 [this, id, formerOwner](const std::optional<row_page> &page) {
                     if (!page || page->rows.empty()) {
                         m_adoptionsInProgress.erase(id); // the next scan tries again
                         return;
                     }
                     adoptRow(page->rows.front(), formerOwner);
                 });
}

std::optional<job_record> job_takeover::readRecord(const row &jobRow)
{
    const auto &id = jobRow.name.key;
    const auto now = suspendAwareNow();
    if (m_unreadableRecords.isKnown(id, jobRow.version, now))
        return std::nullopt;
    try {
        auto record = recordFrom(jobRow.value);
        m_unreadableRecords.noteReadable(id);
        return record;
    } catch (const error &problem) {
        m_unreadableRecords.noteUnreadable(id, jobRow.version, now);
        m_metrics.count("jobs_not_adopted_total", "row_unreadable");
        m_log.writeEvent("job_not_adopted",
                         {{"job", id}, {"version", jobRow.version}, {"why", problem.what()}});
        return std::nullopt;
    }
}

void job_takeover::adoptRow(const row &jobRow, const owner_id &formerOwner)
{
    const auto &id = jobRow.name.key;
    auto record = readRecord(jobRow);
    // The summary that led here may be older than the record: another entry may own the job by now,
    // and must not lose it.
    if (!record || record->owner != formerOwner || !record->needsOwner()) {
        m_adoptionsInProgress.erase(id);
        return;
    }
    m_store.read(PayloadsTable, partitionOfJob(id), id, id + "\x01",
                 [this, id, record = std::move(*record),
                  version = jobRow.version](const std::optional<row_page> &page) {
                     m_adoptionsInProgress.erase(id);
                     if (!page || page->rows.empty())
                         return;
                     m_jobController->adopt(id, record, version, page->rows.front().value);
                     m_metrics.count("jobs_adopted_total", "owner_gone");
                     m_onActionsReady();
                 });
}

// Removes the rows of jobs that ended long ago. Each row is removed by the entry that owned it
// last.
void job_takeover::removeOldRows(const std::string &self, time_point now)
{
    std::vector<std::string> expired;
    for (const auto &[id, known] : m_view.jobs()) {
        if (known.endedAt != time_point{} && now - known.endedAt > FinalRowRetention
            && known.summary.owner.entry == self)
            expired.push_back(id);
    }
    for (const auto &id : expired) {
        m_jobController->rowRemoved(id);
        m_view.removeJob(id);
        m_store.commit(
                {{},
                 {},
                 {jobRowName(id), summaryRowName(id), payloadRowName(id), cancelRowName(id)}},
                [](const store_client::commit_outcome & /*outcome*/) {
                    // If the rows could not be removed, the entry's next incarnation finds
                    // them.
                });
    }
}

} // namespace zinniabarrow
