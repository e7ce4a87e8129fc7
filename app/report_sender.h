// Tells all entries what an agent knows of its worker, and takes what they answer.
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
#include "net/http_caller.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// What an agent consists of, as far as its reports need it; all of it outlives them.
struct report_sender_dependencies
{
    const job_agent_settings &settings;
    net::http_caller &caller;
    const lease_keeper &leaseKeeper;
    const worker_presence &worker;
    jobs::run_table &runTable;
    jobs::throttle_controller &pacer;
    metrics &counters;
    event_log &log;
};

class report_sender
{
public:
    // `accepting`: whether the worker may be given runs now.
    report_sender(const report_sender_dependencies &dependencies,
                  std::function<bool()> isAccepting);

    void updateEntries(const std::vector<jobs::row> &rows); // of the store
    std::vector<std::string> relayAddresses() const;        // internal addresses of all entries

    void sendPeriodicReports();                                      // each second
    void sendReports();                                              // there is news
    void addSamples(std::vector<jobs::interference_sample> samples); // for the reports until the
                                                                     // next regular one
    void startEpochAnnouncement(time_point now);
    // Entries are still to be told the present epoch, and there is time for that.
    bool isEpochAnnouncementOpen(time_point now) const;
    // Operators empty the worker's zone, by the word of an entry.
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
    net::http_caller &m_caller;
    const lease_keeper &m_leaseKeeper;
    const worker_presence &m_worker;
    jobs::run_table &m_runTable;
    jobs::throttle_controller &m_pacer;
    metrics &m_metrics;
    event_log &m_log;
    std::function<bool()> m_isAccepting;
    report_targets m_targets;
    std::vector<jobs::interference_sample> m_samples; // since the last regular report
    jobs::table_source_rotation m_tableSourceRotation;
    std::string m_tableSource; // the entry that its next report asks; empty: none
    jobs::evacuation_notice m_evacuation;
    time_point m_epochAnnouncementDeadline{}; // entries have answered a report with the present
                                              // epoch by then
};

} // namespace zinniabarrow
