#include "app/report_sender.h"

#include <utility>

#include "app/entry_directory.h"
#include "base/errors.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds ReportTimeout{2000}; // an entry answers once the ends are stored
constexpr milliseconds TellWithin{1000}; // a report is answered within some ms, repeated each 1 s

} // namespace

entry_reports::entry_reports(const entry_reports_parts &parts, std::function<bool()> accepting)
    : m_settings(parts.settings)
    , m_caller(parts.caller)
    , m_keeper(parts.keeper)
    , m_worker(parts.worker)
    , m_table(parts.table)
    , m_pacer(parts.pacer)
    , m_metrics(parts.numbers)
    , m_log(parts.log)
    , m_accepting(std::move(accepting))
    , m_pressTurn(parts.settings.id)
{ }

void entry_reports::takeEntries(const std::vector<row> &rows)
{
    for (const auto &one : rows) {
        if (one.removed) {
            m_entries.gone(one.name.key);
            continue;
        }
        try {
            m_entries.seen(one.name.key, entryRowFrom(one.value).internal);
        } catch (const error &problem) {
            m_log.note("entry_row_unreadable", {{"entry", one.name.key}, {"why", problem.what()}});
        }
    }
    if (!rows.empty())
        reportAll();
}

std::vector<std::string> entry_reports::relays() const
{
    return m_entries.addresses();
}

// Presses matter to runs that serve: where there are none, nothing was measured.
void entry_reports::reportRegularly()
{
    m_pressesFrom = m_samples.empty() ? std::string() : m_pressTurn.next(m_entries.names());
    reportAll();
    m_samples.clear();
}

void entry_reports::reportAll()
{
    for (const auto &name : m_entries.names())
        report(name);
}

void entry_reports::add(std::vector<interference_sample> samples)
{
    for (auto &sample : samples)
        m_samples.push_back(std::move(sample));
}

void entry_reports::epochBegun(time_point now)
{
    m_tellUntil = now + TellWithin;
}

bool entry_reports::entriesWaitForEpoch(time_point now) const
{
    return now < m_tellUntil && m_entries.waitFor(m_table.epoch());
}

void entry_reports::report(const std::string &entry)
{
    if (!m_entries.begin(entry))
        return;
    auto told = reportFor(entry);
    http_request request;
    request.method = "POST";
    request.target = "/v1/report";
    request.body = toText(told);
    m_caller.call(m_entries.addressOf(entry), std::move(request), ReportTimeout,
                  [this, entry, epoch = told.epoch, started = std::move(told.started)](
                          const call_result &result) { reported(entry, epoch, started, result); });
}

worker_report entry_reports::reportFor(const std::string &entry)
{
    worker_report told;
    told.worker = m_settings.id;
    told.address = toText(m_settings.internal);
    told.agentIncarnation = m_keeper.lease().fence();
    told.epoch = m_table.epoch();
    told.clockMs = millisecondsIn(suspendAwareNow().time_since_epoch());
    told.service = m_settings.service;
    told.zone = m_worker.told().zone;
    told.kind = m_worker.told().kind;
    told.rack = m_worker.told().rack;
    told.isAccepting = m_accepting();
    told.capacity = m_worker.told().capacity;
    told.used = m_table.used();
    told.usedByLongRunning = m_table.usedByLongRunning();
    told.bestEffortMillicores = m_table.bestEffortMillicores();
    const auto filling = m_table.bestEffortRuns();
    for (const auto &run : m_table.servingSamples())
        told.serving.push_back({run.image, m_pacer.headroomOf(run, filling), run.task.job,
                                run.tailLatencyMs > run.latencyTargetMs});
    for (const auto &run : filling)
        told.bestEffortDemand[run.image] += run.requestedCores;
    told.samples = m_samples;
    told.wantsInterferenceTable = entry == m_pressesFrom;
    if (told.wantsInterferenceTable)
        m_pressesFrom.clear();
    told.ends = m_table.endsFor(entry);
    told.progress = m_table.progressFor(entry);
    told.started = m_table.startsFor(entry);
    return told;
}

void entry_reports::reported(const std::string &entry, std::int64_t epoch,
                             const std::vector<started_run> &started, const call_result &result)
{
    if (!m_entries.ended(entry))
        return;
    const auto *answer = std::get_if<http_response>(&result);
    if (answer == nullptr || answer->status != 200) {
        m_metrics.count("reports_unanswered_total", "entry_silent");
        m_table.noteOwnerSilent(entry);
        return; // the next turn reports again
    }
    m_entries.told(entry, epoch);
    m_table.noteStartsReported(started, entry);
    try {
        takeAnswer(entry, reportAnswerFrom(answer->body));
    } catch (const error &problem) {
        m_log.note("answer_unreadable", {{"entry", entry}, {"why", problem.what()}});
    }
    if (m_entries.wantsAnother(entry))
        report(entry);
}

void entry_reports::takeAnswer(const std::string &entry, report_answer answer)
{
    const auto now = suspendAwareNow();
    for (const auto &end : answer.acknowledged) {
        if (m_table.acknowledgeEnd(end, now))
            m_pacer.forget(end.task, end.run);
    }
    bool news = false;
    for (const auto &end : answer.notOwned)
        news = m_table.noteNotOwned(end, entry) || news;
    if (news)
        reportAll();
    if (answer.zoneEvacuated)
        takeEvacuation(now);
    if (!answer.interference.empty())
        m_pacer.setInterference(std::move(answer.interference));
}

void entry_reports::takeEvacuation(time_point now)
{
    const bool news = !m_evacuation.isActive(now);
    m_evacuation.refresh(now);
    if (!news)
        return;
    m_log.note("zone_evacuated", {{"zone", m_worker.told().zone}});
    reportAll(); // entries that don't know it would place here until the next turn
}

} // namespace zinniabarrow
