// Begins a life of an entry: one incarnation more than the last, written before anything is owned.
#pragma once

#include <functional>

#include "app/entry_directory.h"
#include "app/job_settings.h"
#include "app/store_client.h"
#include "net/event_loop.h"

namespace zinniabarrow {

class entry_life
{
public:
    using begun = std::function<void(const entry_row &mine)>;

    entry_life(net::event_loop &loop, row_store &store, const job_entry_settings &settings,
               begun callback);

    // Goes on until the store has taken the incarnation, whatever is lost meanwhile.
    void enter();

private:
    void takeIncarnation(const jobs::row_page &page);

    net::event_loop &m_loop;
    row_store &m_store;
    const job_entry_settings &m_settings;
    begun m_begun;
};

} // namespace zinniabarrow
