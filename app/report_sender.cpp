#include "app/report_sender.h"

#include <utility>

#include "app/entry_directory.h"
#include "base/errors.h"
#include "jobs/message_limits.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds ReportTimeout{2000}; // an entry answers after it has stored the ends of runs
// A report is normally answered within a few ms, and repeated every 1 s.
constexpr milliseconds EpochAnnouncementLimit{1000};

} // namespace

report_sender::report_sender(const report_sender_dependencies &dependencies,
                             std::function<bool()> isAccepting)
    : m_settings(dependencies.settings)
    , m_client(dependencies.client)
    , m_leaseKeeper(dependencies.leaseKeeper)
    , m_workerPresence(dependencies.workerPresence)
    , m_runTable(dependencies.runTable)
    , m_throttleController(dependencies.throttleController)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_isAccepting(std::move(isAccepting))
    , m_tableSourceRotation(dependencies.settings.id)
{ }

void report_sender::updateEntries(const std::vector<row> &rows)
{
    for (const auto &changedRow : rows) {
        if (changedRow.removed) {
            m_targets.removeEntry(changedRow.name.key);
            continue;
        }
        try {
            m_targets.setAddress(changedRow.name.key,
                                 entryRowFrom(changedRow.value).internalAddress);
        } catch (const std::exception &problem) {
            m_log.writeEvent("entry_row_unreadable",
                             {{"entry", changedRow.name.key}, {"why", problem.what()}});
        }
    }
    if (!rows.empty())
        sendReports();
}

std::vector<std::string> report_sender::relayAddresses() const
{
    return m_targets.addresses();
}

// The interference table is only needed where runs serve requests. Without samples there are no
// such runs, and the table is not requested.
void report_sender::sendPeriodicReports()
{
    const auto recipients = m_targets.namesForRound(m_round++);
    m_tableSource = m_samples.empty() ? std::string() : m_tableSourceRotation.next(recipients);
    for (const auto &name : recipients)
        sendReport(name);
    m_samples.clear();
}

void report_sender::noteReportRequest(const std::string &entry)
{
    m_targets.noteReportRequest(entry);
}

void report_sender::sendReports()
{
    for (const auto &name : m_targets.names())
        sendReport(name);
}

// In a large fleet the others learn of the free capacity by a later report. A report to each entry
// at each end would cost every entry as much as all tasks of the fleet, whoever owns them.
void report_sender::sendEnds()
{
    const auto now = suspendAwareNow();
    for (const auto &name : m_targets.names()) {
        if (m_targets.isReportDue(name, now) || m_runTable.hasEndsFor(name))
            sendReport(name);
    }
}

void report_sender::addSamples(std::vector<interference_sample> samples)
{
    for (auto &sample : samples)
        m_samples.push_back(std::move(sample));
}

void report_sender::startEpochAnnouncement(time_point now)
{
    m_epochAnnouncementDeadline = now + EpochAnnouncementLimit;
}

bool report_sender::isEpochAnnouncementOpen(time_point now) const
{
    return now < m_epochAnnouncementDeadline && m_targets.isEpochUnacknowledged(m_runTable.epoch());
}

void report_sender::sendReport(const std::string &entry)
{
    if (!m_targets.tryBeginReport(entry, suspendAwareNow()))
        return;
    auto message = makeReport(entry);
    http_request request;
    request.method = "POST";
    request.target = "/v1/report";
    request.body = textWithin(message, MaxEntryCallBytes);
    m_client.call(m_targets.addressOf(entry), std::move(request), ReportTimeout,
                  [this, entry, epoch = message.epoch,
                   started = std::move(message.started)](const call_result &result) {
                      handleReportResult(entry, epoch, started, result);
                  });
}

worker_report report_sender::makeReport(const std::string &entry)
{
    worker_report message;
    message.worker = m_settings.id;
    message.address = toText(m_settings.advertisedAddress);
    message.agentIncarnation = m_leaseKeeper.lease().fence();
    message.epoch = m_runTable.epoch();
    message.clockMs = millisecondsIn(suspendAwareNow().time_since_epoch());
    message.service = m_settings.service;
    message.zone = m_workerPresence.lastAnnouncement().zone;
    message.kind = m_workerPresence.lastAnnouncement().kind;
    message.rack = m_workerPresence.lastAnnouncement().rack;
    message.isAccepting = m_isAccepting();
    message.takesSharedPayloads = true;
    message.capacity = m_workerPresence.lastAnnouncement().capacity;
    message.used = m_runTable.used();
    message.usedByLongRunning = m_runTable.usedByLongRunning();
    message.bestEffortMillicores = m_runTable.bestEffortMillicores();
    message.failuresInRow = m_runTable.failuresInRow(suspendAwareNow());
    const auto bestEffort = m_runTable.bestEffortRuns();
    for (const auto &run : m_runTable.servingSamples())
        message.serving.push_back({run.image, m_throttleController.headroomOf(run, bestEffort),
                                   run.task.job, run.tailLatencyMs > run.latencyTargetMs});
    for (const auto &run : bestEffort)
        message.bestEffortDemand[run.image] += run.requestedCores;
    message.samples = m_samples;
    message.wantsInterferenceTable = entry == m_tableSource;
    if (message.wantsInterferenceTable)
        m_tableSource.clear();
    message.ends = m_runTable.endsFor(entry);
    message.progress = m_runTable.progressFor(entry);
    message.started = m_runTable.startsFor(entry);
    return message;
}

void report_sender::handleReportResult(const std::string &entry, std::int64_t epoch,
                                       const std::vector<started_run> &started,
                                       const call_result &result)
{
    if (!m_targets.endReport(entry))
        return;
    const auto *answer = std::get_if<http_response>(&result);
    if (answer == nullptr || answer->status != 200) {
        m_metrics.count("reports_unanswered_total", "entry_silent");
        m_runTable.noteOwnerSilent(entry);
        return; // the next periodic report tries again
    }
    m_targets.acknowledgeEpoch(entry, epoch);
    m_runTable.noteStartsReported(started, entry);
    try {
        handleAnswer(entry, reportAnswerFrom(answer->body));
    } catch (const error &problem) {
        m_log.writeEvent("answer_unreadable", {{"entry", entry}, {"why", problem.what()}});
    }
    if (m_targets.needsAnotherReport(entry))
        sendReport(entry);
}

void report_sender::handleAnswer(const std::string &entry, report_answer answer)
{
    const auto now = suspendAwareNow();
    m_targets.setMinReportInterval(entry, answer.minReportInterval);
    m_targets.setWantsReports(entry, answer.wantsReports);
    for (const auto &end : answer.acknowledged) {
        if (m_runTable.acknowledgeEnd(end, now))
            m_throttleController.forget(end.task, end.run);
    }
    bool hasMoreRecipients = false;
    for (const auto &end : answer.notOwned)
        hasMoreRecipients = m_runTable.noteNotOwned(end, entry) || hasMoreRecipients;
    if (hasMoreRecipients)
        sendEnds();
    for (const auto &slack : answer.slack) {
        if (!m_runTable.setSlack(slack, entry))
            m_metrics.count("slack_ignored_total", "not_owner");
    }
    if (answer.zoneEvacuated)
        handleEvacuation(now);
    if (!answer.interference.empty())
        m_throttleController.setInterference(std::move(answer.interference));
}

void report_sender::handleEvacuation(time_point now)
{
    const bool isNew = !m_evacuation.isActive(now);
    m_evacuation.refresh(now);
    if (!isNew)
        return;
    m_log.writeEvent("zone_evacuated", {{"zone", m_workerPresence.lastAnnouncement().zone}});
    // An entry that doesn't know of the evacuation would place tasks here until the next report.
    sendReports();
}

} // namespace zinniabarrow
