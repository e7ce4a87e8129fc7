#include "app/entry_registration.h"

#include <optional>
#include <utility>

#include "app/job_tables.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

constexpr milliseconds StoreRetry{200};

} // namespace

entry_life::entry_life(net::event_loop &loop, row_store &store, const job_entry_settings &settings,
                       begun callback)
    : m_loop(loop)
    , m_store(store)
    , m_settings(settings)
    , m_begun(std::move(callback))
{ }

void entry_life::enter()
{
    m_store.read(EntriesTable, "", m_settings.id, m_settings.id + "\x01",
                 [this](const std::optional<row_page> &page) {
                     if (!page)
                         return m_loop.after(StoreRetry, [this] { enter(); });
                     takeIncarnation(*page);
                 });
}

void entry_life::takeIncarnation(const row_page &page)
{
    entry_row mine{1, toText(m_settings.internal), toText(m_settings.callers)};
    std::int64_t version = 0;
    if (!page.rows.empty()) {
        version = page.rows.front().version;
        mine.incarnation = entryRowFrom(page.rows.front().value).incarnation + 1;
    }
    const auto name = entryRow(m_settings.id);
    m_store.commit({{{name, version}}, {{name, toText(mine), 0, false}}, {}},
                   [this, mine](const row_store::outcome &outcome) {
                       // Also when an earlier try took effect: one more incarnation does no
                       // harm, one used twice would.
                       if (!std::holds_alternative<committed>(outcome))
                           return enter();
                       m_begun(mine);
                   });
}

} // namespace zinniabarrow
