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
#include "app/process.h"
#include "app/shutdown_driver.h"
#include "app/store_client.h"
#include "app/table_follower.h"
#include "base/errors.h"
#include "jobs/job_controller.h"
#include "net/http_listener.h"

namespace zinniabarrow {

using namespace jobs;
using net::responder;
using net::suspendAwareNow;

namespace {

constexpr milliseconds PlanEvery{100};     // beside each event: repeats of orders, tasks that wait
constexpr milliseconds PingEvery{400};     // four pings within the time after which one is gone
constexpr milliseconds JobsFeedPause{250}; // joins the changes of many jobs into one answer
constexpr milliseconds TakeoverEvery{250};
constexpr milliseconds WatchEvery{700};    // for workers that fell silent
constexpr milliseconds SilentWorker{3000}; // three reports were missed
constexpr milliseconds ReportWithin{1500};
constexpr stop_pauses StopPauses{milliseconds(50), milliseconds(50)};
constexpr milliseconds LogFlushEvery{100};
constexpr milliseconds StoreSilentAtMost{2500}; // then this entry is not ready

class entry_process
{
public:
    explicit entry_process(job_entry_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { m_stop.begin(); })
        , m_log("entry", m_settings.id)
        , m_caller(m_loop)
        , m_store(
                  m_loop, m_caller, m_settings.store,
                  [this] { return m_directory.others(suspendAwareNow()); }, m_metrics, m_log)
        , m_life(m_loop, m_store, m_settings, [this](const auto &mine) { begin(mine); })
        , m_configuration(m_loop, m_store, m_log)
        , m_entriesTable(m_loop, m_store, m_log, {EntriesTable},
                         [this](const auto &rows) { takeEntries(rows); })
        , m_jobsTable(
                  m_loop, m_store, m_log, {JobsTable, jobParts(), JobsFeedPause},
                  [this](const auto &rows) { takeJobs(rows); }, [this] { allJobsRead(); })
        , m_startedAt(suspendAwareNow())
        , m_directory(m_settings.id, m_startedAt)
        , m_pings(m_settings.id, {m_caller, m_configuration, m_directory, m_log},
                  [this] { return isLeaving(); })
        , m_takeover({m_store, m_directory, m_view, m_book, m_metrics}, [this] { pumpSoon(); })
        , m_orders({m_settings, m_caller, m_pool, m_book, m_metrics, m_log}, [this] { pumpSoon(); })
        , m_leases(m_loop, m_store, m_metrics, m_log, m_settings.id,
                   [this](const auto &worker, auto epoch) { takeEpoch(worker, epoch); })
        , m_stop(m_loop, StopPauses, {}, stopHooks())
        , m_requests(m_settings.id, requestParts(),
                     {[this] { return m_jobsKnown; }, [this](const auto &rows) { takeJobs(rows); },
                      [this] { pumpSoon(); }})
        , m_internal(m_loop, m_settings.internal, internalLimits(),
                     [this](http_request request, responder respond) {
                         serveInternal(request, std::move(respond));
                     })
        , m_ready(m_loop, m_settings.ready, {},
                  [this](const http_request & /*request*/, const responder &respond) {
                      respond({isReady() ? 200 : 503, {}, ""});
                  })
        , m_callers(m_loop, m_settings.callers, {},
                    [this](http_request request, responder respond) {
                        m_requests.serve(std::move(request), std::move(respond));
                    })
    { }

    void run()
    {
        m_log.noteAlways("started", {{"internal", toText(m_settings.internal)}});
        m_loop.every(LogFlushEvery, [this] { m_log.flush(); });
        m_life.enter();
        m_configuration.start();
        m_loop.run([this](const std::exception &problem) {
            m_metrics.count("callbacks_failed_total", "exception");
            m_log.note("callback_failed", {{"why", problem.what()}});
        });
        noteStopped();
        m_log.flush();
    }

private:
    static net::listener_limits internalLimits()
    {
        net::listener_limits limits;
        limits.bodyBytes = 4 * 1024 * 1024; // a report after a long outage
        return limits;
    }

    job_requests_parts requestParts()
    {
        return {m_loop, m_caller, m_store,       m_configuration, m_directory, m_view,
                m_book, m_waits,  m_stop.plan(), m_metrics,       m_log};
    }

    // --- Start: a new incarnation, the other entries, all jobs.

    void begin(const entry_row &mine)
    {
        m_self = {m_settings.id, mine.incarnation};
        m_pings.begin(mine);
        m_book.emplace(m_self, m_pool);
        m_log.note("incarnation", {{"incarnation", mine.incarnation}});
        m_entriesTable.start();
        m_jobsTable.start();
        m_loop.every(PingEvery, [this] { m_pings.pingAll(); });
        m_loop.every(PlanEvery, [this] { pump(); });
        m_loop.every(TakeoverEvery, [this] { takeOver(); });
        m_loop.every(WatchEvery, [this] { watchSilentWorkers(); });
    }

    // --- What the store tells: entries, jobs.

    void takeEntries(const std::vector<row> &rows)
    {
        for (const auto &one : rows) {
            if (one.removed) {
                m_directory.gone(one.name.key);
                continue;
            }
            try {
                m_directory.seen(one.name.key, entryRowFrom(one.value));
            } catch (const error &problem) {
                m_log.note("entry_row_unreadable",
                           {{"entry", one.name.key}, {"why", problem.what()}});
            }
        }
        m_pings.pingAll();
    }

    void allJobsRead()
    {
        if (!m_jobsKnown)
            m_log.note("jobs_read", {{"jobs", m_view.jobs().size()}});
        m_jobsKnown = true;
        takeOver();
    }

    void takeJobs(const std::vector<row> &rows)
    {
        const auto now = suspendAwareNow();
        for (const auto &one : rows) {
            if (one.removed) {
                m_view.removed(one.name.key);
                m_book->rowRemoved(one.name.key);
                continue;
            }
            try {
                m_view.seen(one.name.key, one.value, one.version, now);
                if (m_book->owns(one.name.key))
                    m_book->rowChanged(one.name.key, recordFrom(one.value), one.version);
            } catch (const error &problem) {
                m_log.note("job_row_unreadable", {{"job", one.name.key}, {"why", problem.what()}});
            }
        }
        pumpSoon();
    }

    void takeOver()
    {
        if (m_jobsKnown && !isLeaving())
            m_takeover.look(m_self);
    }

    // --- Decisions of the book are carried out.

    void pumpSoon()
    {
        if (std::exchange(m_pumping, true))
            return;
        m_loop.post([this] { pump(); });
    }

    void pump()
    {
        m_pumping = false;
        if (!m_book)
            return;
        m_pool.setEvacuatedZones(m_configuration.evacuated().zones());
        m_book->plan(suspendAwareNow(), wallMs());
        std::map<std::string, std::vector<run_order>> orders;
        for (auto &action : m_book->takeActions()) {
            std::visit([&](auto &one) { carryOut(one, orders); }, action);
        }
        for (auto &[worker, batch] : orders)
            m_orders.sendOrders(worker, std::move(batch));
    }

    using orders_by_worker = std::map<std::string, std::vector<run_order>>;

    void carryOut(write_row &write, orders_by_worker & /*orders*/)
    {
        const auto name = jobRow(write.job);
        row_transaction transaction;
        transaction.expected.push_back({name, write.expectedVersion});
        transaction.set.push_back({name, std::move(write.content), 0, false});
        if (write.payload)
            transaction.set.push_back({payloadRow(write.job), std::move(*write.payload), 0, false});
        if (write.writesCancelRow)
            transaction.set.push_back(cancelNotice(write.job));
        m_store.commit(std::move(transaction),
                       [this, id = write.job](const row_store::outcome &outcome) {
                           rowOutcome(id, outcome);
                       });
    }

    void rowOutcome(const std::string &id, const row_store::outcome &outcome)
    {
        if (const auto *done = std::get_if<committed>(&outcome)) {
            m_book->rowWritten(id, done->version);
            return pumpSoon();
        }
        const auto &rows = std::get<conflicting>(outcome).rows;
        m_metrics.count("job_write_conflicts_total", "row_changed");
        try {
            if (rows.empty())
                m_book->rowConflict(id, 0, std::nullopt);
            else
                m_book->rowConflict(id, rows.front().version, rows.front().value);
        } catch (const error &problem) {
            m_log.note("job_row_unreadable", {{"job", id}, {"why", problem.what()}});
        }
        pumpSoon();
    }

    void carryOut(send_order &order, orders_by_worker &orders)
    {
        orders[order.worker].push_back(std::move(order.order));
    }

    void carryOut(change_stored &action, orders_by_worker & /*orders*/)
    {
        m_waits.resolve(action.token, true);
    }
    void carryOut(ownership_lost &action, orders_by_worker & /*orders*/)
    {
        m_waits.resolve(action.token, false);
    }

    void carryOut(log_event &action, orders_by_worker & /*orders*/)
    {
        m_metrics.count("job_events_total", action.event);
        m_log.note(action.event, {{"job", action.job}, {"detail", action.detail}});
    }

    // --- Workers that nobody hears of.

    void watchSilentWorkers()
    {
        if (!m_jobsKnown)
            return;
        const auto now = suspendAwareNow();
        std::map<std::string, time_point> silent;
        for (const auto &worker : m_book->workersWithPlacements()) {
            const auto *view = m_pool.find(worker);
            const auto heardAt = view == nullptr ? m_startedAt : view->lastReportAt;
            if (now - heardAt >= SilentWorker)
                silent.emplace(worker, heardAt);
        }
        m_leases.watch(silent);
    }

    void takeEpoch(const std::string &worker, std::int64_t epoch)
    {
        m_book->epochSeen(worker, epoch);
        pumpSoon();
    }

    // --- Calls of other processes of the system.

    void serveInternal(http_request &request, responder respond)
    {
        const auto path = request.path();
        if (path == "/metrics")
            return respond({200, {{"Content-Type", "text/plain"}}, m_metrics.text()});
        if (m_stop.step() != stop_step::HandOver)
            return respond(refusal(503, "leaving"));
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (!m_book)
            return respond(refusal(503, "starting"));
        try {
            if (path == "/v1/ping")
                return respond({200, {}, m_pings.take(request.body)});
            if (path == "/v1/report")
                return takeReport(reportFrom(request.body), std::move(respond));
            if (path.starts_with("/v1/jobs/"))
                return m_requests.serveOwned(request, path.substr(std::string("/v1/jobs/").size()),
                                             std::move(respond));
        } catch (const error &problem) {
            m_log.note("call_unreadable", {{"path", path}, {"why", problem.what()}});
            return respond(refusal(400, "bad_request"));
        }
        respond(refusal(404, "unknown_path"));
    }

    struct open_report
    {
        responder respond;
        report_answer answer;
        std::size_t open = 0;
        bool answered = false;
    };

    void takeReport(const worker_report &report, responder respond)
    {
        const auto now = suspendAwareNow();
        const auto *before = m_pool.find(report.worker);
        if (before == nullptr || before->lastReport.epoch != report.epoch) {
            m_log.note("worker_seen", {{"worker", report.worker},
                                       {"epoch", report.epoch},
                                       {"accepting", report.isAccepting ? "yes" : "no"}});
        }
        const bool livesAnew = m_pool.update(report, now) && report.epoch > 0;
        for (const auto &progress : report.progress)
            m_book->checkpointReported(report.worker, progress);
        for (const auto &run : report.started)
            m_book->runStarted(run, now);
        auto state = std::make_shared<open_report>();
        state->respond = std::move(respond);
        state->open = report.ends.size();
        for (const auto &sample : report.samples)
            m_pool.interferenceEstimator().learn(sample);
        // From an old reading it would go on after the zone is taken back.
        state->answer.zoneEvacuated =
                m_configuration.isConfirmed() && m_configuration.evacuated().contains(report.zone);
        if (report.wantsInterferenceTable)
            state->answer.interference = m_pool.interferenceEstimator().table();
        for (const auto &end : report.ends)
            takeEnd(report.worker, end, state);
        // After the ends: those of the epoch before end their own placements.
        if (livesAnew)
            m_book->workerRestarted(report.worker, report.epoch, now);
        if (m_pool.find(report.worker)->lastReport.agentIncarnation == report.agentIncarnation)
            m_book->workerReported(report.worker, now);
        if (state->open == 0)
            answerReport(*state);
        else
            m_loop.after(ReportWithin, [state] { answerReport(*state); });
        pumpSoon();
    }

    void takeEnd(const std::string &worker, const run_end &end,
                 const std::shared_ptr<open_report> &state)
    {
        const auto token = m_waits.add([state, end](bool isStored) {
            auto &answer = state->answer;
            auto &ends = isStored ? answer.acknowledged : answer.notOwned;
            ends.push_back({end.task, end.run, end.endKind});
            if (--state->open == 0)
                answerReport(*state);
        });
        if (m_book->runEnded(worker, end, suspendAwareNow(), token))
            return;
        // Not owned here. A job that is over may still wait for the end of what is being stopped.
        const auto *known = m_view.find(end.task.job);
        m_waits.resolve(token, known != nullptr && !known->needsOwner);
    }

    static void answerReport(open_report &state)
    {
        if (std::exchange(state.answered, true))
            return;
        state.respond({200, {}, toText(state.answer)});
    }

    // --- The balancer.

    bool isReady()
    {
        return m_configuration.queues() != nullptr
               && m_configuration.standing() != configuration_freshness::Outdated
               && m_configuration.isConfirmed() && m_jobsKnown && !isLeaving()
               && suspendAwareNow() - m_store.lastAnswerAt() < StoreSilentAtMost;
    }

    // --- Planned stop.

    stop_walk::hooks stopHooks()
    {
        return {[this] { leave(); }, [this] { return stopNeeds(); },
                [this](stop_step step) { carryOut(step); }};
    }

    bool isLeaving() const { return m_stop.isLeaving(); }

    // What the end of the process cuts off, and how far behind it was.
    void noteStopped()
    {
        const auto callers = m_callers.activity();
        const auto internal = m_internal.activity();
        m_log.noteAlways("stopped", {{"callers_unread", callers.unread},
                                     {"callers_reading", callers.reading},
                                     {"callers_answering", callers.answering},
                                     {"callers_writing", callers.writing},
                                     {"callers_idle", callers.idle},
                                     {"internal_answering", internal.answering},
                                     {"late_ms", millisecondsIn(m_loop.lateness())}});
    }

    void leave()
    {
        m_log.noteAlways("drain_started", {{"owned", m_book ? m_book->unfinishedJobCount() : 0},
                                           {"late_ms", millisecondsIn(m_loop.lateness())}});
        m_callers.announceClose();
        m_internal.announceClose();
        if (m_book)
            m_pings.pingAll(); // the others take the jobs over at once
    }

    stop_needs stopNeeds() const
    {
        const bool heirs = m_book && !m_directory.entries().empty();
        return {heirs && m_book->unfinishedJobCount() > 0, m_callers.inFlight() > 0,
                !m_callers.drained() || !m_internal.drained()};
    }

    void carryOut(stop_step step)
    {
        const auto callers = m_callers.activity();
        m_log.noteAlways("stop_step", {{"step", nameOf(step)},
                                       {"owned", m_book ? m_book->unfinishedJobCount() : 0},
                                       {"callers_idle", callers.idle},
                                       {"callers_reading", callers.reading},
                                       {"callers_answering", callers.answering},
                                       {"callers_writing", callers.writing},
                                       {"late_ms", millisecondsIn(m_loop.lateness())}});
        switch (step) {
        case stop_step::Finish:
            m_callers.drain();
            // Other processes repeat what they asked for; callers would wait for it to end.
            m_internal.drain();
            m_internal.answerAll(refusal(502, "leaving"));
            break;
        case stop_step::GiveUp:
            m_callers.answerAll(m_requests.counted(504, "outcome_unknown"));
            break;
        case stop_step::HandOver:
        case stop_step::End:
            break;
        }
    }

    job_entry_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    net::http_caller m_caller;
    row_store m_store;
    entry_life m_life;
    configuration_follower m_configuration;
    table_follower m_entriesTable;
    table_follower m_jobsTable;
    time_point m_startedAt;
    entry_directory m_directory;
    entry_pings m_pings;
    owner_id m_self;
    job_view m_view;
    worker_pool m_pool;
    std::optional<job_controller> m_book;
    job_takeover m_takeover;
    order_sender m_orders;
    lease_watcher m_leases;
    write_waits m_waits;
    bool m_jobsKnown = false;
    bool m_pumping = false;
    stop_walk m_stop;
    job_requests m_requests;
    net::http_listener m_internal;
    net::http_listener m_ready;
    net::http_listener m_callers;
};

} // namespace

int runJobEntry(const job_entry_settings &settings)
{
    entry_process process(settings);
    process.run();
    return ExitDone;
}

} // namespace zinniabarrow
