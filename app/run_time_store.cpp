#include "app/run_time_store.h"

#include <utility>

#include "app/job_tables.h"
#include "base/errors.h"
#include "base/hash.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

// A kind's run times change over minutes; what was seen in a shorter time would be lost with all
// entries at once only.
constexpr milliseconds RoundInterval{10'000};

} // namespace

run_time_store::run_time_store(net::event_loop &loop, store_client &store, metrics &counters,
                               event_log &log, std::string self, run_times &times,
                               std::function<bool()> isPlacer)
    : m_loop(loop)
    , m_store(store)
    , m_metrics(counters)
    , m_log(log)
    , m_self(std::move(self))
    , m_times(times)
    , m_isPlacer(std::move(isPlacer))
{ }

// Entries that start together take turns, so that their writes seldom conflict.
void run_time_store::start()
{
    beginRound();
    const auto turn =
            milliseconds(stableHash(m_self) % static_cast<std::uint64_t>(RoundInterval.count()));
    m_loop.runAfter(turn, [this] {
        m_loop.runEvery(RoundInterval, [this] {
            if (m_isPlacer() || m_times.hasNews())
                beginRound();
        });
    });
}

void run_time_store::beginRound()
{
    if (std::exchange(m_isBusy, true))
        return;
    const auto name = runTimesRowName();
    m_store.read(name.table, name.partition, "", "",
                 [this](const std::optional<row_page> &page) { handleRead(page); });
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
    m_store.commit({{{name, m_version}}, {{name, text, 0, false}}, {}},
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
