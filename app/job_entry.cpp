#include "app/job_entry.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "app/configuration_follower.h"
#include "app/entry_directory.h"
#include "app/entry_pings.h"
#include "app/entry_registration.h"
#include "app/job_requests.h"
#include "app/job_tables.h"
#include "app/job_takeover.h"
#include "app/job_view.h"
#include "app/lease_watcher.h"
#include "app/order_sender.h"
#include "app/outage_probe.h"
#include "app/process.h"
#include "app/report_requests.h"
#include "app/run_time_store.h"
#include "app/shutdown_driver.h"
#include "app/store_client.h"
#include "app/table_follower.h"
#include "app/traffic_meter.h"
#include "base/errors.h"
#include "base/hash.h"
#include "jobs/job_controller.h"
#include "jobs/message_limits.h"
#include "jobs/report_interval.h"
#include "net/http_listener.h"

namespace zinniabarrow {

using namespace jobs;
using net::responder;
using net::suspendAwareNow;

namespace {

// The controller plans after each event, and at this interval to resend orders and to place waiting
// tasks.
constexpr milliseconds PlanInterval{100};
constexpr milliseconds PingInterval{400};   // four pings within entry_directory::HeartbeatTimeout
constexpr milliseconds JobsBatchDelay{250}; // lets one answer contain the changes of many jobs
constexpr milliseconds TakeoverInterval{250};
constexpr milliseconds ReportRequestInterval{100};
constexpr milliseconds LeaseWatchInterval{700};   // checks for workers without reports
constexpr milliseconds WorkerReportTimeout{3000}; // three reports in a row were missed
// After this time a report is answered without the ends of runs that are not stored yet.
constexpr milliseconds ReportAnswerTimeout{1500};
constexpr shutdown_poll_intervals ShutdownIntervals{milliseconds(50), milliseconds(50)};
constexpr milliseconds LogFlushInterval{100};
constexpr milliseconds TrafficLogInterval{10'000};
// Calls of other processes that are being read, together; each is at most MaxEntryCallBytes.
constexpr std::size_t MaxHeldCallBytes = 64 * 1024 * 1024;
// Bytes of callers that are not read count as the process's memory. A job of ordinary size fits.
constexpr int CallerReceiveBufferBytes = 16 * 1024;
// An entry that had no answer of the store for this long is not ready.
constexpr milliseconds MaxStoreSilence{2500};

// The entry daemon: connects its parts to each other and to the event loop.
class entry_process
{
public:
    explicit entry_process(job_entry_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { m_shutdown.begin(); })
        , m_log("entry", m_settings.id)
        , m_client(m_loop, {}, m_traffic.observer(traffic_kind::Caller))
        , m_store(
                  m_loop, m_client, m_settings.storeAddress,
                  [this] { return m_directory.liveInternalAddresses(suspendAwareNow()); },
                  m_metrics, m_log)
        , m_registration(m_loop, m_store, m_settings,
                         [this](const auto &ownRow) { beginIncarnation(ownRow); })
        , m_configuration(m_loop, m_store, m_log)
        , m_entriesFollower(m_loop, m_store, m_log, {EntriesTable},
                            [this](const auto &rows) { updateEntries(rows); })
        , m_jobsFollower(
                  m_loop, m_store, m_log, {SummariesTable, jobPartitions(), JobsBatchDelay},
                  [this](const auto &rows) { applyJobRows(rows); }, [this] { handleAllJobsRead(); })
        , m_startedAt(suspendAwareNow())
        , m_directory(m_settings.id, m_startedAt, m_settings.millicores)
        , m_pings(m_settings.id, {m_client, m_configuration, m_directory, m_log},
                  [this] { return isLeaving(); })
        , m_takeover({m_store, m_directory, m_view, m_jobController, m_metrics, m_log},
                     [this] { schedulePlan(); })
        , m_orderSender({m_settings, m_loop, m_client, m_pool, m_jobController, m_metrics, m_log},
                        [this] { schedulePlan(); })
        , m_leaseWatcher(m_loop, m_store, m_metrics, m_log, m_settings.id,
                         m_settings.longestSuspension,
                         [this](const auto &worker, auto epoch) { applyEpoch(worker, epoch); })
        , m_shutdown(m_loop, ShutdownIntervals, {}, shutdownHooks())
        , m_requests(m_settings.id, requestDependencies(),
                     {[this] { return m_areJobsKnown; },
                      [this](const auto &rows) { applyJobRows(rows); }, [this] { schedulePlan(); }})
        , m_internalListener(
                  m_loop, m_settings.internalAddress, internalLimits(),
                  [this](http_request request, responder respond) {
                      serveInternal(request, std::move(respond));
                  },
                  m_traffic.observer(traffic_kind::Other))
        , m_readinessListener(m_loop, m_settings.readinessAddress, {},
                              [this](const http_request & /*request*/, const responder &respond) {
                                  respond({isReady() ? 200 : 503, {}, ""});
                              })
        , m_callerListener(
                  m_loop, m_settings.callersAddress, callerLimits(m_settings),
                  [this](http_request request, responder respond) {
                      m_requests.serve(std::move(request), std::move(respond));
                  },
                  m_traffic.observer(traffic_kind::Caller))
    { }

    void run()
    {
        m_log.writeAlways("started", {{"internal", toText(m_settings.internalAddress)}});
        m_loop.runEvery(LogFlushInterval, [this] { m_log.flush(); });
        m_loop.runEvery(TrafficLogInterval, [this] {
            m_traffic.writeTo(m_log);
            m_store.meter().writeTo(m_log);
            logRefusedCallers();
        });
        m_registration.registerEntry();
        m_configuration.start();
        m_loop.run([this](const std::exception &problem) {
            m_metrics.count("callbacks_failed_total", "exception");
            m_log.writeEvent("callback_failed", {{"why", problem.what()}});
        });
        logStopped();
        m_log.flush();
    }

private:
    std::string metricsText()
    {
        m_traffic.publish(m_metrics);
        m_store.meter().publish(m_metrics);
        return m_metrics.text();
    }

    static net::listener_limits internalLimits()
    {
        net::listener_limits limits;
        limits.maxRequestBytes = MaxEntryCallBytes;
        limits.maxHeldBytes = MaxHeldCallBytes;
        return limits;
    }

    static net::listener_limits callerLimits(const job_entry_settings &settings)
    {
        net::listener_limits limits;
        limits.maxHeldBytes = settings.requestMemoryBytes;
        limits.receiveBufferBytes = CallerReceiveBufferBytes;
        return limits;
    }

    job_requests_dependencies requestDependencies()
    {
        return {m_loop, m_client,        m_store,          m_configuration,   m_directory,
                m_view, m_jobController, m_writeCallbacks, m_shutdown.plan(), m_metrics,
                m_log};
    }

    // --- Start of this incarnation of the entry.

    void beginIncarnation(const entry_row &ownRow)
    {
        m_self = {m_settings.id, ownRow.incarnation};
        m_pings.setOwnRow(ownRow);
        controller_settings settings;
        settings.features = m_settings.scheduling;
        m_jobController.emplace(m_self, m_pool, settings);
        if (settings.features.learnsRunTimes)
            shareRunTimes();
        m_log.writeEvent("incarnation", {{"incarnation", ownRow.incarnation}});
        m_entriesFollower.start();
        m_jobsFollower.start();
        m_loop.runEvery(PingInterval, [this] { m_pings.pingAll(); });
        m_loop.runEvery(PingInterval, [this] { logRole(); });
        m_loop.runEvery(PlanInterval, [this] { planAndExecute(); });
        m_loop.runEvery(TakeoverInterval, [this] { takeOver(); });
        m_loop.runEvery(ReportRequestInterval, [this] { askForReports(); });
        m_loop.runEvery(LeaseWatchInterval, [this] { watchSilentWorkers(); });
    }

    // Entries that start together take turns, so that their writes seldom conflict. One that places
    // no tasks reads the row only now.
    void shareRunTimes()
    {
        const auto name = runTimesRowName();
        m_runTimeStore.emplace(run_time_store::store_calls{
                                       [this, name](auto done) {
                                           m_store.read(name.table, name.partition, "", "",
                                                        std::move(done));
                                       },
                                       [this](auto transaction, auto done) {
                                           m_store.commit(std::move(transaction), std::move(done));
                                       }},
                               m_metrics, m_log, m_jobController->runTimes());
        m_runTimeStore->sync();
        const auto turn =
                milliseconds(stableHash(m_settings.id)
                             % static_cast<std::uint64_t>(run_time_store::RoundInterval.count()));
        m_loop.runAfter(turn, [this] {
            m_loop.runEvery(run_time_store::RoundInterval, [this] {
                if (m_directory.isPlacer(suspendAwareNow())
                    || m_jobController->runTimes().hasNews())
                    m_runTimeStore->sync();
            });
        });
    }

    // --- Rows from the store: entries, jobs.

    void updateEntries(const std::vector<row> &rows)
    {
        for (const auto &changedRow : rows) {
            if (changedRow.removed) {
                m_directory.removeEntry(changedRow.name.key);
                continue;
            }
            try {
                m_directory.updateRow(changedRow.name.key, entryRowFrom(changedRow.value));
            } catch (const std::exception &problem) {
                m_log.writeEvent("entry_row_unreadable",
                                 {{"entry", changedRow.name.key}, {"why", problem.what()}});
            }
        }
        m_pings.pingAll();
    }

    // Logs the first role and each change.
    void logRole()
    {
        const bool isPlacer = m_directory.isPlacer(suspendAwareNow());
        if (m_wasPlacer == isPlacer)
            return;
        m_wasPlacer = isPlacer;
        m_log.writeEvent("role", {{"placer", isPlacer ? "yes" : "no"},
                                  {"millicores", m_settings.millicores}});
    }

    void handleAllJobsRead()
    {
        if (!m_areJobsKnown)
            m_log.writeEvent("jobs_read", {{"jobs", m_view.jobs().size()}});
        m_areJobsKnown = true;
        takeOver();
    }

    // The feed carries summaries; callers' questions also read records.
    static job_summary summaryIn(const row &jobRow)
    {
        return jobRow.name.table == SummariesTable ? summaryFrom(jobRow.value)
                                                   : summaryOf(recordFrom(jobRow.value));
    }

    void applyJobRows(const std::vector<row> &rows)
    {
        const auto now = suspendAwareNow();
        for (const auto &changedRow : rows) {
            if (changedRow.removed) {
                m_view.removeJob(changedRow.name.key);
                m_jobController->rowRemoved(changedRow.name.key);
                continue;
            }
            try {
                const auto summary = summaryIn(changedRow);
                m_view.update(changedRow.name.key, summary, changedRow.version, now);
                if (m_jobController->owns(changedRow.name.key))
                    m_jobController->rowChanged(changedRow.name.key, summary, changedRow.version);
            } catch (const std::exception &problem) {
                m_log.writeEvent("job_row_unreadable",
                                 {{"job", changedRow.name.key}, {"why", problem.what()}});
            }
        }
        schedulePlan();
    }

    void takeOver()
    {
        if (m_areJobsKnown && !isLeaving())
            m_takeover.scan(m_self);
    }

    // --- Execution of the job controller's actions.

    void schedulePlan()
    {
        if (std::exchange(m_isPlanScheduled, true))
            return;
        m_loop.post([this] { planAndExecute(); });
    }

    void planAndExecute()
    {
        m_isPlanScheduled = false;
        if (!m_jobController)
            return;
        m_pool.setEvacuatedZones(m_configuration.evacuatedZones().zones());
        m_jobController->plan(suspendAwareNow(), wallClockMs());
        std::map<std::string, std::vector<run_order>> orders;
        for (auto &action : m_jobController->takeActions()) {
            std::visit([&](auto &typedAction) { execute(typedAction, orders); }, action);
        }
        for (auto &[worker, batch] : orders)
            m_orderSender.sendOrders(worker, std::move(batch));
    }

    using orders_by_worker = std::map<std::string, std::vector<run_order>>;

    void execute(write_row &write, orders_by_worker & /*orders*/)
    {
        const auto name = jobRowName(write.job);
        row_transaction transaction;
        transaction.expected.push_back({name, write.expectedVersion});
        transaction.set.push_back({name, std::move(write.content), 0, false});
        if (write.summary)
            transaction.set.push_back(
                    {summaryRowName(write.job), std::move(*write.summary), 0, false});
        if (write.payload)
            transaction.set.push_back(
                    {payloadRowName(write.job), std::move(*write.payload), 0, false});
        if (write.writesCancelRow)
            transaction.set.push_back(newCancelRow(write.job));
        m_store.commit(std::move(transaction),
                       [this, id = write.job](const store_client::commit_outcome &outcome) {
                           handleCommitOutcome(id, outcome);
                       });
    }

    void handleCommitOutcome(const std::string &id, const store_client::commit_outcome &outcome)
    {
        if (const auto *done = std::get_if<committed>(&outcome)) {
            m_jobController->rowWritten(id, done->version);
            return schedulePlan();
        }
        const auto &rows = std::get<conflicting>(outcome).rows;
        m_metrics.count("job_write_conflicts_total", "row_changed");
        try {
            if (rows.empty())
                m_jobController->rowConflict(id, 0, std::nullopt);
            else
                m_jobController->rowConflict(id, rows.front().version, rows.front().value);
        } catch (const std::exception &problem) {
            m_log.writeEvent("job_row_unreadable", {{"job", id}, {"why", problem.what()}});
        }
        schedulePlan();
    }

    void execute(send_order &order, orders_by_worker &orders)
    {
        orders[order.worker].push_back(std::move(order.order));
    }

    void execute(change_stored &action, orders_by_worker & /*orders*/)
    {
        m_writeCallbacks.resolve(action.token, true);
    }
    void execute(ownership_lost &action, orders_by_worker & /*orders*/)
    {
        m_writeCallbacks.resolve(action.token, false);
    }

    void execute(log_event &action, orders_by_worker & /*orders*/)
    {
        m_metrics.count("job_events_total", action.event);
        if (!action.reason.empty())
            m_metrics.count(action.event + "_total", action.reason);
        m_log.writeEvent(action.event, {{"job", action.job}, {"detail", action.detail}});
    }

    // --- Workers whose agents do not report.

    void watchSilentWorkers()
    {
        if (!m_areJobsKnown)
            return;
        const auto now = suspendAwareNow();
        std::map<std::string, time_point> silentSince;
        for (const auto &worker : m_jobController->workersWithPlacements()) {
            const auto *workerView = m_pool.find(worker);
            const auto lastHeardAt = workerView == nullptr ? m_startedAt : workerView->lastReportAt;
            if (now - lastHeardAt >= WorkerReportTimeout)
                silentSince.emplace(worker, lastHeardAt);
        }
        m_leaseWatcher.watch(silentSince);
    }

    void applyEpoch(const std::string &worker, std::int64_t epoch)
    {
        m_jobController->epochSeen(worker, epoch);
        schedulePlan();
    }

    // --- Calls from other processes of zinniabarrow.

    void serveInternal(http_request &request, responder respond)
    {
        const auto path = request.path();
        if (path == "/metrics")
            return respond({200, {{"Content-Type", "text/plain"}}, metricsText()});
        if (path == StoreStatePath)
            return respond({200, {}, toText(store_state{m_store.isReachable()})});
        if (m_shutdown.step() != shutdown_step::HandOver)
            return respond(makeRefusal(503, "leaving"));
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (!m_jobController)
            return respond(makeRefusal(503, "starting"));
        try {
            if (path == "/v1/ping")
                return respond({200, {}, m_pings.handlePing(request.body)});
            if (path == "/v1/report")
                return handleReport(reportFrom(request.body), std::move(respond));
            if (path.starts_with("/v1/jobs/"))
                return m_requests.serveOwnedJob(
                        request, path.substr(std::string("/v1/jobs/").size()), std::move(respond));
        } catch (const error &problem) {
            m_log.writeEvent("call_unreadable", {{"path", path}, {"why", problem.what()}});
            return respond(makeRefusal(400, "bad_request"));
        }
        respond(makeRefusal(404, "unknown_path"));
    }

    // A report that is answered once all ends of runs in it are stored.
    struct pending_report
    {
        responder respond;
        report_answer answer;
        std::size_t pendingEnds = 0;
        bool isAnswered = false;
    };

    // The answer without the ends of runs, which are added as they are stored.
    report_answer makeAnswer(const worker_report &report, bool isHome, time_point now)
    {
        report_answer answer;
        if (!isHome)
            answer.minReportInterval = reportInterval(m_pool.workerCount(), m_settings.millicores);
        answer.wantsReports = wantsReports(now);
        // An outdated list of evacuated zones could still contain a zone that is back in use.
        answer.zoneEvacuated = m_configuration.isConfirmed()
                               && m_configuration.evacuatedZones().contains(report.zone);
        if (report.wantsInterferenceTable)
            answer.interference = m_pool.interferenceEstimator().table();
        answer.slack = m_jobController->changedSlack(report.worker, now, wallClockMs());
        return answer;
    }

    bool wantsReports(time_point now) const
    {
        return m_directory.isPlacer(now) || m_jobController->unfinishedJobCount() > 0;
    }

    // Calls the agents that report to this entry only in some rounds, as it placed no tasks before.
    // The call contains no orders.
    void askForReports()
    {
        const auto now = suspendAwareNow();
        if (!wantsReports(now) || isLeaving())
            return;
        const auto limit = affordableReports(ReportRequestInterval, m_settings.millicores);
        for (const auto &worker : m_reportRequests.takeDue(limit, now)) {
            m_metrics.count("reports_requested_total", "begins_to_place");
            m_orderSender.sendOrders(worker, {});
        }
    }

    void handleReport(const worker_report &report, responder respond)
    {
        const auto now = suspendAwareNow();
        const auto *previous = m_pool.find(report.worker);
        if (previous == nullptr || previous->lastReport.epoch != report.epoch) {
            m_log.writeEvent("worker_seen", {{"worker", report.worker},
                                             {"epoch", report.epoch},
                                             {"accepting", report.isAccepting ? "yes" : "no"}});
        }
        const bool isNewIncarnation = m_pool.update(report, now) && report.epoch > 0;
        const bool isHome = m_directory.homeOf(report.worker, now) == m_self.entry;
        m_pool.setHome(report.worker, isHome);
        for (const auto &progress : report.progress)
            m_jobController->checkpointReported(report.worker, progress);
        for (const auto &run : report.started)
            m_jobController->runStarted(run, now);
        auto pendingReport = std::make_shared<pending_report>();
        pendingReport->respond = std::move(respond);
        pendingReport->pendingEnds = report.ends.size();
        for (const auto &sample : report.samples)
            m_pool.interferenceEstimator().learn(sample);
        pendingReport->answer = makeAnswer(report, isHome, now);
        m_reportRequests.recordReport(report.worker, pendingReport->answer.wantsReports, now);
        for (const auto &end : report.ends)
            handleEnd(report.worker, end, pendingReport);
        // Called after the ends above have been handled, which end their own placements:
        // workerRestarted() ends all other placements of earlier epochs.
        if (isNewIncarnation)
            m_jobController->workerRestarted(report.worker, report.epoch, now);
        if (m_pool.find(report.worker)->lastReport.agentIncarnation == report.agentIncarnation)
            m_jobController->workerReported(report.worker, now);
        if (pendingReport->pendingEnds == 0)
            answerReport(*pendingReport);
        else
            m_loop.runAfter(ReportAnswerTimeout, [pendingReport] { answerReport(*pendingReport); });
        schedulePlan();
    }

    void handleEnd(const std::string &worker, const run_end &end,
                   const std::shared_ptr<pending_report> &pendingReport)
    {
        const auto token = m_writeCallbacks.add([pendingReport, end](bool isStored) {
            auto &answer = pendingReport->answer;
            auto &ends = isStored ? answer.acknowledged : answer.notOwned;
            ends.push_back({end.task, end.run, end.endKind});
            if (--pendingReport->pendingEnds == 0)
                answerReport(*pendingReport);
        });
        if (m_jobController->runEnded(worker, end, suspendAwareNow(), token))
            return;
        // This entry does not own the job. A job that is over may still have runs that are being
        // stopped; their ends are acknowledged.
        const auto *known = m_view.find(end.task.job);
        m_writeCallbacks.resolve(token, known != nullptr && !known->summary.needsOwner);
    }

    static void answerReport(pending_report &pendingReport)
    {
        if (std::exchange(pendingReport.isAnswered, true))
            return;
        pendingReport.respond({200, {}, toText(pendingReport.answer)});
    }

    // --- Readiness for the load balancer.

    bool isReady()
    {
        return m_configuration.queues() != nullptr
               && m_configuration.freshness() != configuration_freshness::Outdated
               && m_configuration.isConfirmed() && m_areJobsKnown && !isLeaving()
               && suspendAwareNow() - m_store.lastAnswerAt() < MaxStoreSilence;
    }

    // --- Callers that take more than their share.

    void logRefusedCallers()
    {
        const auto &totals = m_callerListener.totals();
        const auto overMemory = totals.overMemory - m_loggedTotals.overMemory;
        const auto madeRoom = totals.madeRoom - m_loggedTotals.madeRoom;
        const auto overLimit = totals.overLimit - m_loggedTotals.overLimit;
        m_loggedTotals = totals;
        if (overMemory + madeRoom + overLimit == 0)
            return;
        m_metrics.count("connections_refused_total", "memory", static_cast<double>(overMemory));
        m_metrics.count("connections_refused_total", "made_room", static_cast<double>(madeRoom));
        m_metrics.count("connections_refused_total", "all_in_use", static_cast<double>(overLimit));
        m_log.writeEvent(
                "callers_refused",
                {{"over_memory", overMemory}, {"made_room", madeRoom}, {"over_limit", overLimit}});
    }

    // --- Graceful shutdown.

    shutdown_driver::hooks shutdownHooks()
    {
        return {[this] { beginShutdown(); }, [this] { return remainingWork(); },
                [this](shutdown_step step) { execute(step); }};
    }

    bool isLeaving() const { return m_shutdown.isLeaving(); }

    // Logs the connections that the end of the process cuts off, and how late its event loop was.
    void logStopped()
    {
        const auto callers = m_callerListener.activity();
        const auto internal = m_internalListener.activity();
        m_log.writeAlways("stopped",
                          {{"callers_unread", callers.unread},
                           {"callers_reading", callers.reading},
                           {"callers_answering", callers.answering},
                           {"callers_writing", callers.writing},
                           {"callers_idle", callers.idle},
                           {"callers_over_limit", m_callerListener.totals().overLimit},
                           {"callers_made_room", m_callerListener.totals().madeRoom},
                           {"callers_over_memory", m_callerListener.totals().overMemory},
                           {"callers_closed_unread", m_callerListener.totals().closedUnread},
                           {"internal_answering", internal.answering},
                           {"internal_closed_unread", m_internalListener.totals().closedUnread},
                           {"late_ms", millisecondsIn(m_loop.lateness())}});
    }

    void beginShutdown()
    {
        m_log.writeAlways("drain_started",
                          {{"owned", m_jobController ? m_jobController->unfinishedJobCount() : 0},
                           {"late_ms", millisecondsIn(m_loop.lateness())}});
        m_callerListener.announceClose();
        m_internalListener.announceClose();
        if (m_jobController)
            m_pings.pingAll(); // so that the others take over the jobs at once
    }

    remaining_work remainingWork() const
    {
        const bool hasSuccessors = m_jobController && !m_directory.entries().empty();
        return {hasSuccessors && m_jobController->unfinishedJobCount() > 0,
                m_callerListener.inFlight() > 0,
                !m_callerListener.isDrained() || !m_internalListener.isDrained()};
    }

    void execute(shutdown_step step)
    {
        const auto callers = m_callerListener.activity();
        m_log.writeAlways("stop_step",
                          {{"step", nameOf(step)},
                           {"owned", m_jobController ? m_jobController->unfinishedJobCount() : 0},
                           {"callers_idle", callers.idle},
                           {"callers_reading", callers.reading},
                           {"callers_answering", callers.answering},
                           {"callers_writing", callers.writing},
                           {"late_ms", millisecondsIn(m_loop.lateness())}});
        switch (step) {
        case shutdown_step::Finish:
            m_callerListener.drain();
            // Open calls of other processes are answered at once, because they retry them
            // elsewhere. Waiting for them would delay callers.
            m_internalListener.drain();
            m_internalListener.answerAll(makeRefusal(502, "leaving"));
            break;
        case shutdown_step::GiveUp:
            m_callerListener.answerAll(m_requests.countedRefusal(504, "outcome_unknown"));
            break;
        case shutdown_step::HandOver:
        case shutdown_step::End:
            break;
        }
    }

    job_entry_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    traffic_meter m_traffic;
    net::http_client m_client;
    store_client m_store;
    entry_registration m_registration;
    configuration_follower m_configuration;
    table_follower m_entriesFollower;
    table_follower m_jobsFollower;
    time_point m_startedAt;
    entry_directory m_directory;
    entry_pings m_pings;
    owner_id m_self;
    job_view m_view;
    worker_pool m_pool;
    std::optional<job_controller> m_jobController;
    std::optional<run_time_store> m_runTimeStore; // empty: run times are not learned
    job_takeover m_takeover;
    order_sender m_orderSender;
    report_requests m_reportRequests;
    lease_watcher m_leaseWatcher;
    write_callbacks m_writeCallbacks;
    bool m_areJobsKnown = false;
    std::optional<bool> m_wasPlacer; // at the last logRole(); empty: not called yet
    bool m_isPlanScheduled = false;
    shutdown_driver m_shutdown;
    job_requests m_requests;
    net::http_listener m_internalListener;
    net::http_listener m_readinessListener;
    net::http_listener m_callerListener;
    net::listener_totals m_loggedTotals; // of m_callerListener, at the last logRefusedCallers()
};

} // namespace

int runJobEntry(const job_entry_settings &settings)
{
    entry_process process(settings);
    process.run();
    return ExitDone;
}

} // namespace zinniabarrow
