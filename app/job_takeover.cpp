#include "app/job_takeover.h"

#include <utility>
#include <vector>

#include "app/job_tables.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds KeepFinal{180'000}; // callers may ask for 120 s

} // namespace

job_takeover::job_takeover(const job_takeover_parts &parts, std::function<void()> changed)
    : m_store(parts.store)
    , m_directory(parts.directory)
    , m_view(parts.view)
    , m_book(parts.book)
    , m_metrics(parts.numbers)
    , m_changed(std::move(changed))
{ }

void job_takeover::look(const owner_id &self)
{
    const auto now = suspendAwareNow();
    for (const auto &[id, known] : m_view.jobs()) {
        if (!known.needsOwner || m_book->owns(id) || m_adopting.contains(id))
            continue;
        const auto heir = m_directory.heirOf(id, known.owner, self, now);
        if (heir && *heir == self.entry)
            adopt(id);
    }
    removeOldRows(self.entry, now);
}

void job_takeover::adopt(const std::string &id)
{
    m_adopting.insert(id);
    m_store.read(PayloadsTable, partOf(id), id, id + "\x01",
                 [this, id](const std::optional<row_page> &page) {
                     m_adopting.erase(id);
                     const auto *known = m_view.find(id);
                     if (!page || page->rows.empty() || known == nullptr || !known->needsOwner)
                         return; // the next look at all jobs tries again
                     m_book->adopt(id, recordFrom(known->content), known->version,
                                   page->rows.front().value);
                     m_metrics.count("jobs_adopted_total", "owner_gone");
                     m_changed();
                 });
}

// Rows of jobs that ended long ago, each by the entry that owned it last.
void job_takeover::removeOldRows(const std::string &self, time_point now)
{
    std::vector<std::string> old;
    for (const auto &[id, known] : m_view.jobs()) {
        if (known.finalAt != time_point{} && now - known.finalAt > KeepFinal
            && known.owner.entry == self)
            old.push_back(id);
    }
    for (const auto &id : old) {
        m_book->rowRemoved(id);
        m_view.removed(id);
        m_store.commit({{}, {}, {jobRow(id), payloadRow(id), cancelRow(id)}},
                       [](const row_store::outcome & /*outcome*/) {
                           // The rows are gone, or will be found by the next life.
                       });
    }
}

} // namespace zinniabarrow
