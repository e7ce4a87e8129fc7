// Sends reports about an agent's worker to the entries that want them, now and then to the others,
// and applies their answers: which ends of runs an entry has stored, and which belong to jobs that
// it doesn't own, the evacuation of the zone, and the interference table (how much images slow each
// other down; see jobs/interference_estimator.h). Used by the agent.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "app/job_settings.h"
#include "app/lease_keeper.h"
#include "app/report_targets.h"
#include "app/worker_presence.h"
#include "base/event_log.h"
#include "jobs/evacuations.h"
#include "jobs/messages.h"
#include "jobs/rows.h"
#include "jobs/run_table.h"
#include "jobs/table_source_rotation.h"
#include "jobs/throttle_controller.h"
#include "net/http_client.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The parts of an agent that report_sender uses. All of them must outlive it.
struct report_sender_dependencies
{
    const job_agent_settings &settings;
    net::http_client &client; // sends the reports
    const lease_keeper &leaseKeeper;
    const worker_presence &workerPresence;
    jobs::run_table &runTable;
    jobs::throttle_controller &throttleController;
    metrics &counters; // the agent's metrics
    event_log &log;
};

class report_sender
{
public:
    // `isAccepting` tells whether the worker may be given runs now.
    report_sender(const report_sender_dependencies &dependencies,
                  std::function<bool()> isAccepting);

    // Applies changed rows of the entries table. Then sends reports to all entries, unless `rows`
    // is empty.
    void updateEntries(const std::vector<jobs::row> &rows);
    // Internal addresses of all entries. The agent's store_client calls the store through them when
    // it can't reach it directly.
    std::vector<std::string> relayAddresses() const;

    void sendPeriodicReports(); // called every second
    // Called when the entry has sent orders, or a call without any: it wants reports, and gets them
    // from the next round on.
    void noteReportRequest(const std::string &entry);
    // Called when the worker's epoch or readiness has changed: all entries learn of it at once.
    void sendReports();
    // Called when a run has ended: only the entries that have to know it at once get a report.
    void sendEnds();
    // The interference samples go into each report up to and including the next periodic ones, so
    // an entry that gets several reports until then gets them several times.
    void addSamples(std::vector<jobs::interference_sample> samples);
    // Called when a new epoch of the worker begins; all its earlier runs have then ended. Entries
    // learn of it by the next reports.
    void startEpochAnnouncement(time_point now);
    // Whether some entry has not yet answered a report with the current epoch, and the time limit
    // of 1 s for that has not passed. While true, an agent that shuts down stays.
    bool isEpochAnnouncementOpen(time_point now) const;
    // Whether operators evacuate the worker's availability zone, by the answers of the entries.
    bool isZoneEvacuated(time_point now) const { return m_evacuation.isActive(now); }

private:
    void sendReport(const std::string &entry);
    jobs::worker_report makeReport(const std::string &entry);
    void handleReportResult(const std::string &entry, std::int64_t epoch,
                            const std::vector<jobs::started_run> &started,
                            const call_result &result);
    void handleAnswer(const std::string &entry, jobs::report_answer answer);
    void handleEvacuation(time_point now);

    const job_agent_settings &m_settings;
    net::http_client &m_client;
    const lease_keeper &m_leaseKeeper;
    const worker_presence &m_workerPresence;
    jobs::run_table &m_runTable;
    jobs::throttle_controller &m_throttleController;
    metrics &m_metrics;
    event_log &m_log;
    std::function<bool()> m_isAccepting;
    report_targets m_targets;
    std::uint64_t m_round = 0;                        // number of the next periodic reports
    std::vector<jobs::interference_sample> m_samples; // since the last periodic report
    jobs::table_source_rotation m_tableSourceRotation;
    // The entry that is asked for the interference table in the next report to it; empty: none.
    std::string m_tableSource;
    jobs::evacuation_notice m_evacuation;
    // Until then the agent waits for all entries to acknowledge the current epoch.
    time_point m_epochAnnouncementDeadline{};
};

} // namespace zinniabarrow
