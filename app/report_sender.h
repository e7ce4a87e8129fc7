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
struct entry_reports_parts
{
    const job_agent_settings &settings;
    net::http_caller &caller;
    const lease_keeper &keeper;
    const worker_presence &worker;
    jobs::run_table &table;
    jobs::throttle_controller &pacer;
    metrics &numbers;
    event_log &log;
};

class entry_reports
{
public:
    // `accepting`: whether the worker may be given runs now.
    entry_reports(const entry_reports_parts &parts, std::function<bool()> accepting);

    void takeEntries(const std::vector<jobs::row> &rows); // of the store
    std::vector<std::string> relays() const;              // internal addresses of all entries

    void reportRegularly();                                   // each second
    void reportAll();                                         // there is news
    void add(std::vector<jobs::interference_sample> samples); // for the reports until the next
                                                              // regular one
    void epochBegun(time_point now);
    // Entries are still to be told the present epoch, and there is time for that.
    bool entriesWaitForEpoch(time_point now) const;
    // Operators empty the worker's zone, by the word of an entry.
    bool isZoneEvacuated(time_point now) const { return m_evacuation.isActive(now); }

private:
    void report(const std::string &entry);
    jobs::worker_report reportFor(const std::string &entry);
    void reported(const std::string &entry, std::int64_t epoch,
                  const std::vector<jobs::started_run> &started, const call_result &result);
    void takeAnswer(const std::string &entry, jobs::report_answer answer);
    void takeEvacuation(time_point now);

    const job_agent_settings &m_settings;
    net::http_caller &m_caller;
    const lease_keeper &m_keeper;
    const worker_presence &m_worker;
    jobs::run_table &m_table;
    jobs::throttle_controller &m_pacer;
    metrics &m_metrics;
    event_log &m_log;
    std::function<bool()> m_accepting;
    entry_links m_entries;
    std::vector<jobs::interference_sample> m_samples; // since the last regular report
    jobs::table_source_rotation m_pressTurn;
    std::string m_pressesFrom; // the entry that its next report asks; empty: none
    jobs::evacuation_notice m_evacuation;
    time_point m_tellUntil{}; // entries have answered a report with the present epoch by then
};

} // namespace zinniabarrow
