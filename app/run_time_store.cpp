#include "app/run_time_store.h"

#include <utility>

#include "app/job_tables.h"
#include "base/errors.h"

namespace zinniabarrow {

using namespace jobs;

run_time_store::run_time_store(store_calls calls, metrics &counters, event_log &log,
                               run_times &times)
    : m_calls(std::move(calls))
    , m_metrics(counters)
    , m_log(log)
    , m_times(times)
{ }

void run_time_store::sync()
{
    if (std::exchange(m_isBusy, true))
        return;
    m_calls.readRow([this](const std::optional<row_page> &page) { handleRead(page); });
}

void run_time_store::handleRead(const std::optional<row_page> &page)
{
    m_isBusy = false;
    if (!page)
        return; // the next round tries again
    if (page->rows.empty())
        m_version = 0;
    else if (!adopt(page->rows.front()))
        return;
    if (m_times.hasNews())
        write();
}

// A row that is unreadable stays as it is: a newer version of the program may have written it.
bool run_time_store::adopt(const row &stored)
{
    if (stored.version == m_version)
        return true;
    try {
        m_times.adopt(profilesFrom(stored.value));
        m_version = stored.version;
        return true;
    } catch (const error &problem) {
        if (std::exchange(m_unreadableVersion, stored.version) != stored.version) {
            m_metrics.count("run_times_unreadable_total", "row");
            m_log.writeEvent("run_times_unreadable",
                             {{"version", stored.version}, {"why", problem.what()}});
        }
        return false;
    }
}

void run_time_store::write()
{
    m_isBusy = true;
    const auto name = runTimesRowName();
    const auto text = toText(m_times.newsToStore());
    m_calls.commit({{{name, m_version}}, {{name, text, 0, false}}, {}},
                   [this, text](const store_client::commit_outcome &outcome) {
                       handleWritten(outcome, text);
                   });
}

void run_time_store::handleWritten(const store_client::commit_outcome &outcome,
                                   const std::string &written)
{
    m_isBusy = false;
    if (const auto *done = std::get_if<committed>(&outcome)) {
        m_version = done->version;
        return m_times.newsStored();
    }
    const auto &rows = std::get<conflicting>(outcome).rows;
    // An earlier try of this write was applied, and its answer was lost.
    if (!rows.empty() && rows.front().value == written) {
        m_version = rows.front().version;
        return m_times.newsStored();
    }
    m_metrics.count("run_time_write_conflicts_total", "row_changed");
    m_times.newsNotStored();
    if (!rows.empty())
        adopt(rows.front());
}

} // namespace zinniabarrow
