#include "app/outage_probe.h"

#include <algorithm>
#include <utility>

#include "base/errors.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds ProbeTimeout{400};
// Asked at a time, in turn. All agents ask during an outage, and each entry must bear it.
constexpr std::size_t EntriesPerProbe = 3;

} // namespace

outage_probe::outage_probe(net::http_client &client, const store_client &store,
                           entries_provider entries, event_log &log)
    : m_client(client)
    , m_store(store)
    , m_entries(std::move(entries))
    , m_log(log)
{ }

void outage_probe::probe()
{
    logChange(suspendAwareNow());
    if (m_store.isReachable())
        return m_evidence.forgetAll();
    const auto entries = m_entries();
    for (std::size_t asked = 0; asked < std::min(EntriesPerProbe, entries.size()); ++asked)
        ask(entries[m_nextEntry++ % entries.size()]);
}

void outage_probe::ask(const std::string &entry)
{
    http_request request;
    request.method = "GET";
    request.target = StoreStatePath;
    m_client.call(entry, std::move(request), ProbeTimeout,
                  [this, entry, askedAt = suspendAwareNow()](const call_result &result) {
                      const auto *answer = std::get_if<http_response>(&result);
                      if (answer == nullptr || answer->status != 200)
                          return;
                      try {
                          m_evidence.noteAnswer(entry, storeStateFrom(answer->body), askedAt);
                      } catch (const error &problem) {
                          m_log.writeEvent("answer_unreadable",
                                           {{"entry", entry}, {"why", problem.what()}});
                      }
                  });
}

void outage_probe::logChange(time_point now)
{
    const bool isAway = isStoreAwayForEntries(now);
    if (std::exchange(m_wasAway, isAway) != isAway)
        m_log.writeEvent("store_away_for_entries", {{"away", isAway ? "yes" : "no"}});
}

} // namespace zinniabarrow
