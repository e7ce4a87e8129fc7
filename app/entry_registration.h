// Begins a life of an entry: one incarnation more than the last, written before anything is owned.
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
    using registered_callback = std::function<void(const entry_row &mine)>;

    entry_registration(net::event_loop &loop, store_client &store,
                       const job_entry_settings &settings, registered_callback callback);

    // Goes on until the store has taken the incarnation, whatever is lost meanwhile.
    void registerEntry();

private:
    void writeNextIncarnation(const jobs::row_page &page);

    net::event_loop &m_loop;
    store_client &m_store;
    const job_entry_settings &m_settings;
    registered_callback m_onRegistered;
};

} // namespace zinniabarrow
