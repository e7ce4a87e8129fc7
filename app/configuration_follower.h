// What operators put into the platform's store: the configuration that an entry works by, and
// whether a newer one may be there; the zones that they empty.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/store_client.h"
#include "app/table_follower.h"
#include "base/event_log.h"
#include "jobs/configuration_tracker.h"
#include "jobs/evacuations.h"
#include "jobs/queues.h"
#include "net/event_loop.h"

namespace zinniabarrow {

class configuration_follower
{
public:
    configuration_follower(net::event_loop &loop, store_client &store, event_log &log);

    void start();
    void noteNewerVersion(std::int64_t version); // another entry works by it

    const jobs::queue_table *queues() const; // null: none was read yet
    std::int64_t version() const;            // 0: none
    bool isConfirmed() const;                // lately, as the newest
    const jobs::evacuated_zones &evacuatedZones() const { return m_evacuated; }
    // Says in the log when the configuration becomes outdated, and when it no longer is.
    jobs::configuration_freshness freshness();

private:
    void handleProgress(const feed_answer_begun &answer);
    void handleProgress(const all_changes_applied &changes);
    void applyConfigurationRows(const std::vector<jobs::row> &rows);
    void handleAllRead();
    bool applyRow(const jobs::row &row);
    void applyZones(const std::vector<jobs::row> &rows);
    void logZoneChanges(const std::set<std::string> &before);
    void logConfiguration(std::size_t bytes, time_point startedAt);

    event_log &m_log;
    table_follower m_follower;
    std::optional<jobs::queue_table> m_queues;
    jobs::evacuated_zones m_evacuated;
    std::int64_t m_rowVersion = 0;             // the store's, of the row that was read last
    std::optional<time_point> m_answerBegunAt; // when the last answer with changes began
    jobs::configuration_tracker m_watch;
    bool m_wasOutdated = false; // as last asked
};

} // namespace zinniabarrow
