#include "app/entry_registration.h"

#include <optional>
#include <utility>

#include "app/job_tables.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

constexpr milliseconds StoreRetryDelay{200};

} // namespace

entry_registration::entry_registration(net::event_loop &loop, store_client &store,
                                       const job_entry_settings &settings,
                                       registered_callback callback)
    : m_loop(loop)
    , m_store(store)
    , m_settings(settings)
    , m_onRegistered(std::move(callback))
{ }

void entry_registration::registerEntry()
{
    m_store.read(EntriesTable, "", m_settings.id, m_settings.id + "\x01",
                 [this](const std::optional<row_page> &page) {
                     if (!page)
                         return m_loop.runAfter(StoreRetryDelay, [this] { registerEntry(); });
                     writeNextIncarnation(*page);
                 });
}

void entry_registration::writeNextIncarnation(const row_page &page)
{
    entry_row ownRow{1, toText(m_settings.advertisedAddress), toText(m_settings.callersAddress),
                     m_settings.millicores};
    std::int64_t version = 0;
    if (!page.rows.empty()) {
        version = page.rows.front().version;
        ownRow.incarnation = entryRowFrom(page.rows.front().value).incarnation + 1;
    }
    const auto name = entryRowName(m_settings.id);
    m_store.commit({{{name, version}}, {{name, toText(ownRow), 0, false}}, {}},
                   [this, ownRow](const store_client::commit_outcome &outcome) {
                       // Starts over also if an earlier try may have taken effect: skipping an
                       // incarnation is harmless, using one twice is not.
                       if (!std::holds_alternative<committed>(outcome))
                           return registerEntry();
                       m_onRegistered(ownRow);
                   });
}

} // namespace zinniabarrow
