// Follows what operators write to the platform's store: the configuration that an entry uses, and
// the availability zones that are being evacuated. Also tells whether a newer version of the
// configuration may exist (jobs::configuration_freshness).
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

    // Reads the configuration and the evacuated zones, and follows their changes from then on.
    void start();
    // Another entry uses this version, which may be newer than this entry's own. Called for each
    // ping of another entry and each answer to one of this entry's.
    void notePeerVersion(std::int64_t version);

    const jobs::queue_table *queues() const; // null before a configuration was read
    std::int64_t version() const;            // 0 before a configuration was read
    // Whether the store has confirmed within configuration_tracker::MaxUnconfirmedTime that this
    // entry knows all changes.
    bool isConfirmed() const;
    const jobs::evacuated_zones &evacuatedZones() const { return m_evacuated; }
    // Whether a newer version may exist. Also logs when the configuration has become outdated, and
    // when it no longer is.
    jobs::configuration_freshness freshness();

private:
    void handleProgress(const feed_answer_begun &answer);
    void handleProgress(const all_changes_applied &changes);
    void applyConfigurationRows(const std::vector<jobs::row> &rows);
    void handleAllRead();
    bool applyRow(const jobs::row &row);
    void applyZones(const std::vector<jobs::row> &rows);
    void logZoneChanges(const std::set<std::string> &previousZones);
    void logConfiguration(std::size_t bytes, time_point startedAt);

    event_log &m_log;
    table_follower m_follower;
    std::optional<jobs::queue_table> m_queues;
    jobs::evacuated_zones m_evacuated;
    std::int64_t m_rowVersion = 0; // store version of the configuration row read last
    // When the last answer of the store's change feed that carries changes began to arrive.
    std::optional<time_point> m_answerBegunAt;
    jobs::configuration_tracker m_tracker;
    bool m_wasOutdated = false; // at the last call of freshness()
};

} // namespace zinniabarrow
