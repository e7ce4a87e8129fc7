#include "app/job_entry.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "app/configuration_follower.h"
#include "app/entry_directory.h"
#include "app/job_requests.h"
#include "app/job_tables.h"
#include "app/job_view.h"
#include "app/lease_watcher.h"
#include "app/order_outcomes.h"
#include "app/planned_stop.h"
#include "app/process.h"
#include "app/row_store.h"
#include "app/table_follower.h"
#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "jobs/job_book.h"
#include "net/http_listener.h"

namespace zinniabarrow {

using namespace jobs;
using net::responder;
using net::suspendAwareNow;

namespace {

constexpr milliseconds PlanEvery{100}; // beside each event: repeats of orders, tasks that wait
constexpr milliseconds PingEvery{400}; // four pings within the time after which one is gone
constexpr milliseconds PingTimeout{500};
constexpr milliseconds JobsFeedPause{250}; // joins the changes of many jobs into one answer
constexpr milliseconds StoreRetry{200};
constexpr milliseconds TakeoverEvery{250};
constexpr milliseconds WatchEvery{700};    // for workers that fell silent
constexpr milliseconds SilentWorker{3000}; // three reports were missed
constexpr milliseconds OrderTimeout{600};  // an agent answers without asking its worker
constexpr milliseconds ReportWithin{1500};
constexpr milliseconds StopLookEvery{50};
constexpr milliseconds LogFlushEvery{100};
constexpr milliseconds KeepFinal{180'000};      // callers may ask for 120 s
constexpr milliseconds StoreSilentAtMost{2500}; // then this entry is not ready

class entry_process
{
public:
    explicit entry_process(job_entry_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { drain(); })
        , m_log("entry", m_settings.id)
        , m_caller(m_loop)
        , m_store(
                  m_loop, m_caller, m_settings.store,
                  [this] { return m_directory.others(suspendAwareNow()); }, m_metrics, m_log)
        , m_configuration(m_loop, m_store, m_log)
        , m_entriesTable(m_loop, m_store, m_log, {EntriesTable},
                         [this](const auto &rows) { takeEntries(rows); })
        , m_jobsTable(
                  m_loop, m_store, m_log, {JobsTable, jobParts(), JobsFeedPause},
                  [this](const auto &rows) { takeJobs(rows); }, [this] { allJobsRead(); })
        , m_startedAt(suspendAwareNow())
        , m_directory(m_settings.id, m_startedAt)
        , m_leases(m_loop, m_store, m_metrics, m_log, m_settings.id,
                   [this](const auto &worker, auto epoch) { takeEpoch(worker, epoch); })
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
        enter();
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
        return {m_loop, m_caller, m_store, m_configuration, m_directory, m_view,
                m_book, m_waits,  m_stop,  m_metrics,       m_log};
    }

    // --- Start: a new incarnation, the other entries, all jobs.

    void enter()
    {
        m_store.read(EntriesTable, "", m_settings.id, m_settings.id + "\x01",
                     [this](const std::optional<row_page> &page) {
                         if (!page)
                             return m_loop.after(StoreRetry, [this] { enter(); });
                         takeIncarnation(*page);
                     });
    }

    void takeIncarnation(const row_page &page)
    {
        entry_row mine{1, toText(m_settings.internal), toText(m_settings.callers)};
        std::int64_t version = 0;
        if (!page.rows.empty()) {
            version = page.rows.front().version;
            mine.incarnation = entryRowFrom(page.rows.front().value).incarnation + 1;
        }
        const auto name = entryRow(m_settings.id);
        m_store.commit({{{name, version}}, {{name, toText(mine), 0, false}}, {}},
                       [this, mine](const row_store::outcome &outcome) {
                           // Also when an earlier try took effect: one more incarnation does no
                           // harm, one used twice would.
                           if (!std::holds_alternative<committed>(outcome))
                               return enter();
                           begin(mine);
                       });
    }

    void begin(const entry_row &mine)
    {
        m_self = {m_settings.id, mine.incarnation};
        m_row = mine;
        m_book.emplace(m_self, m_pool);
        m_log.note("incarnation", {{"incarnation", mine.incarnation}});
        m_entriesTable.start();
        m_jobsTable.start();
        m_loop.every(PingEvery, [this] { pingAll(); });
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
        pingAll();
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
                m_book->forget(one.name.key);
                continue;
            }
            try {
                m_view.seen(one.name.key, one.value, one.version, now);
                if (m_book->owns(one.name.key))
                    m_book->rowSeen(one.name.key, recordFrom(one.value), one.version);
            } catch (const error &problem) {
                m_log.note("job_row_unreadable", {{"job", one.name.key}, {"why", problem.what()}});
            }
        }
        pumpSoon();
    }

    // --- Other entries.

    Json::Value selfDescription() const
    {
        Json::Value value(Json::objectValue);
        value["entry"] = m_settings.id;
        value["row"] = toText(m_row);
        value["leaving"] = isLeaving();
        value["configuration"] = Json::Int64(m_configuration.version());
        return value;
    }

    void takeDescription(const std::string &text)
    {
        const auto value = parseJsonObject(text);
        const auto name = stringMember(value, "entry");
        const auto row = entryRowFrom(stringMember(value, "row"));
        m_directory.seen(name, row);
        m_directory.heard(name, row.incarnation, boolMember(value, "leaving"), suspendAwareNow());
        if (value.isMember("configuration"))
            m_configuration.heardOf(integerMember(value, "configuration"));
    }

    void pingAll()
    {
        for (const auto &[name, known] : m_directory.entries()) {
            http_request ping;
            ping.method = "POST";
            ping.target = "/v1/ping";
            ping.body = compactJson(selfDescription());
            m_caller.call(known.row.internal, std::move(ping), PingTimeout,
                          [this](const call_result &result) {
                              const auto *answer = std::get_if<http_response>(&result);
                              if (answer == nullptr || answer->status != 200)
                                  return;
                              try {
                                  takeDescription(answer->body);
                              } catch (const error &problem) {
                                  m_log.note("ping_unreadable", {{"why", problem.what()}});
                              }
                          });
        }
    }

    // Jobs whose owner is gone, or was an earlier life of this entry.
    void takeOver()
    {
        if (!m_jobsKnown || isLeaving())
            return;
        const auto now = suspendAwareNow();
        for (const auto &[id, known] : m_view.jobs()) {
            if (!known.needsOwner || m_book->owns(id) || m_adopting.contains(id))
                continue;
            const auto heir = m_directory.heirOf(id, known.owner, m_self, now);
            if (heir && *heir == m_settings.id)
                adopt(id);
        }
        removeOldRows(now);
    }

    void adopt(const std::string &id)
    {
        m_adopting.insert(id);
        m_store.read(PayloadsTable, partOf(id), id, id + "\x01",
                     [this, id](const std::optional<row_page> &page) {
                         m_adopting.erase(id);
                         const auto *known = m_view.find(id);
                         if (!page || page->rows.empty() || known == nullptr || !known->needsOwner)
                             return; // the next look at all jobs tries again
                         m_book->adopt(id, recordFrom(known->content), known->version,
                                       page->rows.front().value);
                         m_metrics.count("jobs_adopted_total", "owner_gone");
                         pumpSoon();
                     });
    }

    // Rows of jobs that ended long ago, each by the entry that owned it last.
    void removeOldRows(time_point now)
    {
        std::vector<std::string> old;
        for (const auto &[id, known] : m_view.jobs()) {
            if (known.finalAt != time_point{} && now - known.finalAt > KeepFinal
                && known.owner.entry == m_settings.id)
                old.push_back(id);
        }
        for (const auto &id : old) {
            m_book->forget(id);
            m_view.removed(id);
            m_store.commit({{}, {}, {jobRow(id), payloadRow(id), cancelRow(id)}},
                           [](const row_store::outcome
                                      & /*ignored: the rows
              are gone or will be found by the next
              life*/) {});
        }
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
        m_book->plan(suspendAwareNow(), wallMs());
        std::map<std::string, std::vector<run_order>> orders;
        for (auto &action : m_book->takeActions()) {
            std::visit([&](auto &one) { carryOut(one, orders); }, action);
        }
        for (auto &[worker, batch] : orders)
            sendOrders(worker, std::move(batch));
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
        if (write.cancels)
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

    void carryOut(give_order &order, orders_by_worker &orders)
    {
        orders[order.worker].push_back(std::move(order.order));
    }

    void carryOut(stored &action, orders_by_worker & /*orders*/)
    {
        m_waits.resolve(action.token, true);
    }
    void carryOut(disowned &action, orders_by_worker & /*orders*/)
    {
        m_waits.resolve(action.token, false);
    }

    void carryOut(noted &action, orders_by_worker & /*orders*/)
    {
        m_metrics.count("job_events_total", action.event);
        m_log.note(action.event, {{"job", action.job}, {"detail", action.detail}});
    }

    void sendOrders(const std::string &worker, std::vector<run_order> orders)
    {
        const auto *view = m_pool.find(worker);
        if (view == nullptr) // not heard of since the start; its agent reports each second
            return ordersUnanswered(worker, orders);
        http_request request;
        request.method = "POST";
        request.target = "/v1/orders";
        request.body = toText(order_batch{m_settings.id, toText(m_settings.internal), orders});
        m_caller.call(view->last.address, std::move(request), OrderTimeout,
                      [this, worker, orders = std::move(orders),
                       agentLife = view->last.agentLife](const call_result &result) {
                          ordersAnswered(worker, outcomesOf(orders, result), agentLife);
                      });
    }

    void ordersAnswered(const std::string &worker, const order_outcomes &outcomes,
                        std::int64_t agentLife)
    {
        for (const auto &one : outcomes.answered) {
            m_metrics.count("orders_total", nameOf(one.outcome));
            m_book->orderAnswered(worker, one, suspendAwareNow(), agentLife);
        }
        if (!outcomes.unanswered.empty()) {
            m_metrics.count("orders_unanswered_total", "agent_silent");
            m_log.note("orders_unanswered", {{"worker", worker},
                                             {"orders", outcomes.unanswered.size()},
                                             {"why", outcomes.why}});
            ordersUnanswered(worker, outcomes.unanswered);
        }
        if (!outcomes.answered.empty())
            pumpSoon();
    }

    void ordersUnanswered(const std::string &worker, const std::vector<run_order> &orders)
    {
        for (const auto &order : orders)
            m_book->orderUnanswered(worker, order.task, order.run, suspendAwareNow());
    }

    // --- Workers that nobody hears of.

    void watchSilentWorkers()
    {
        if (!m_jobsKnown)
            return;
        const auto now = suspendAwareNow();
        std::map<std::string, time_point> silent;
        for (const auto &worker : m_book->busyWorkers()) {
            const auto *view = m_pool.find(worker);
            const auto heardAt = view == nullptr ? m_startedAt : view->heardAt;
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
        if (m_stopStep != stop_step::HandOver)
            return respond(refusal(503, "leaving"));
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (!m_book)
            return respond(refusal(503, "starting"));
        try {
            if (path == "/v1/ping") {
                takeDescription(request.body);
                return respond({200, {}, compactJson(selfDescription())});
            }
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
        if (before == nullptr || before->last.epoch != report.epoch) {
            m_log.note("worker_seen", {{"worker", report.worker},
                                       {"epoch", report.epoch},
                                       {"accepting", report.accepting ? "yes" : "no"}});
        }
        const bool livesAnew = m_pool.update(report, now) && report.epoch > 0;
        m_book->workerTold(report.worker);
        for (const auto &progress : report.progress)
            m_book->progressed(report.worker, progress);
        for (const auto &run : report.started)
            m_book->runStarted(run, now);
        auto state = std::make_shared<open_report>();
        state->respond = std::move(respond);
        state->open = report.ends.size();
        for (const auto &sample : report.samples)
            m_pool.disturbance().learn(sample);
        if (report.wantsPresses)
            state->answer.presses = m_pool.disturbance().table();
        for (const auto &end : report.ends)
            takeEnd(report.worker, end, state);
        // After the ends: those of the epoch before end their own placements.
        if (livesAnew)
            m_book->workerRenewed(report.worker, report.epoch, now);
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
            ends.push_back({end.task, end.run, end.how});
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
               && m_configuration.standing() != configuration_standing::Outdated
               && m_configuration.isConfirmed() && m_jobsKnown && !isLeaving()
               && suspendAwareNow() - m_store.lastAnswerAt() < StoreSilentAtMost;
    }

    // --- Planned stop.

    bool isLeaving() const { return m_stop.has_value(); }

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

    void drain()
    {
        m_stop.emplace(suspendAwareNow(), m_loop.overdue());
        m_log.noteAlways("drain_started", {{"owned", m_book ? m_book->ownedUnfinished() : 0},
                                           {"late_ms", millisecondsIn(m_loop.lateness())}});
        m_callers.announceClose();
        m_internal.announceClose();
        if (m_book)
            pingAll(); // the others take the jobs over at once
        drainOn();
    }

    void drainOn()
    {
        const bool heirs = m_book && !m_directory.entries().empty();
        const stop_needs needs{heirs && m_book->ownedUnfinished() > 0, m_callers.inFlight() > 0,
                               !m_callers.drained() || !m_internal.drained()};
        const auto step = m_stop->look(needs, m_loop.lateness(), suspendAwareNow());
        if (step != m_stopStep)
            carryOut(step);
        if (step != stop_step::End)
            m_loop.after(StopLookEvery, [this] { drainOn(); });
    }

    void carryOut(stop_step step)
    {
        m_stopStep = step;
        const auto callers = m_callers.activity();
        m_log.noteAlways("stop_step", {{"step", nameOf(step)},
                                       {"owned", m_book ? m_book->ownedUnfinished() : 0},
                                       {"callers_idle", callers.idle},
                                       {"callers_reading", callers.reading},
                                       {"callers_answering", callers.answering},
                                       {"callers_writing", callers.writing},
                                       {"late_ms", millisecondsIn(m_loop.lateness())}});
        switch (step) {
        case stop_step::HandOver:
            break;
        case stop_step::Finish:
            m_callers.drain();
            // Other processes repeat what they asked for; callers would wait for it to end.
            m_internal.drain();
            m_internal.answerAll(refusal(502, "leaving"));
            break;
        case stop_step::GiveUp:
            m_callers.answerAll(m_requests.counted(504, "outcome_unknown"));
            break;
        case stop_step::End:
            m_loop.stop();
            break;
        }
    }

    job_entry_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    net::http_caller m_caller;
    row_store m_store;
    configuration_follower m_configuration;
    table_follower m_entriesTable;
    table_follower m_jobsTable;
    time_point m_startedAt;
    entry_directory m_directory;
    entry_row m_row;
    owner_id m_self;
    job_view m_view;
    worker_pool m_pool;
    std::optional<job_book> m_book;
    lease_watcher m_leases;
    std::set<std::string> m_adopting;
    write_waits m_waits;
    bool m_jobsKnown = false;
    bool m_pumping = false;
    std::optional<planned_stop> m_stop;
    stop_step m_stopStep = stop_step::HandOver; // that was carried out
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
