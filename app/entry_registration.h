// Registers an entry in the platform's store when it starts: writes its row with the next higher
// incarnation number. The entry may own jobs only after that.
#pragma once

#include <functional>

#include "app/entry_directory.h"
#include "app/job_settings.h"
#include "app/store_client.h"
#include "net/event_loop.h"

namespace zinniabarrow {

class entry_registration
{
public:
    using registered_callback = std::function<void(const entry_row &ownRow)>;

    entry_registration(net::event_loop &loop, store_client &store,
                       const job_entry_settings &settings, registered_callback callback);

    // Retries until the store has accepted the new incarnation, then calls the callback with the
    // entry's row.
    void registerEntry();

private:
    void writeNextIncarnation(const jobs::row_page &page);

    net::event_loop &m_loop;
    store_client &m_store;
    const job_entry_settings &m_settings;
    registered_callback m_onRegistered;
};

} // namespace zinniabarrow
