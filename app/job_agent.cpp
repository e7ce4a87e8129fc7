#include "app/job_agent.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "app/job_tables.h"
#include "app/lease_keeper.h"
#include "app/process.h"
#include "app/report_sender.h"
#include "app/shutdown_driver.h"
#include "app/store_client.h"
#include "app/table_follower.h"
#include "app/worker_calls.h"
#include "app/worker_clock.h"
#include "app/worker_presence.h"
#include "base/errors.h"
#include "jobs/run_table.h"
#include "jobs/throttle_controller.h"
#include "jobs/worker_liveness.h"
#include "net/http_listener.h"
#include "platform/worker_wire.h"

namespace zinniabarrow {

using namespace jobs;
using net::responder;
using net::suspendAwareNow;
using platform_wire::worker_announcement;

namespace {

constexpr milliseconds LookWait{1000};       // the worker answers a look earlier when a run ends
constexpr milliseconds LookWaitServing{250}; // latencies are measured over half a second
constexpr milliseconds LookTimeout{700};     // beyond the wait; a worker answers within a few ms
constexpr milliseconds LookRetry{150};
constexpr milliseconds LookAgain{40}; // while ends are not acknowledged: a look returns at once
constexpr milliseconds ReportEvery{1000};
constexpr milliseconds DueEvery{100};
constexpr milliseconds StopMargin{150};    // beyond the time that the worker needs for a stop
constexpr milliseconds CancelsPause{1000}; // joins cancels into one answer; they hold within 3 s
constexpr milliseconds LogFlushEvery{100};
constexpr milliseconds GoWithin{300}; // the last write takes some 15 ms
constexpr milliseconds LeaveWithin{5000};
constexpr stop_pauses StopPauses{milliseconds(150), milliseconds(10)};
constexpr stop_times StopTimes{LeaveWithin, GoWithin, LeaveWithin + GoWithin, milliseconds(5700)};

class agent_process
{
public:
    explicit agent_process(job_agent_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { m_stop.begin(); })
        , m_log("agent", m_settings.id)
        , m_caller(m_loop, callerLimits())
        , m_store(
                  m_loop, m_caller, m_settings.store, [this] { return m_reports.relays(); },
                  m_metrics, m_log)
        , m_entriesTable(m_loop, m_store, m_log, {EntriesTable},
                         [this](const auto &rows) { m_reports.takeEntries(rows); })
        , m_cancelsTable(
                  m_loop, m_store, m_log, {CancelsTable, jobParts(), CancelsPause},
                  [this](const auto &rows) { takeCancels(rows); }, [this] { m_cancelsRead = true; })
        , m_stop(m_loop, StopPauses, StopTimes, stopHooks())
        , m_keeper(m_loop, m_store, m_log, m_settings.id, leaseListeners())
        , m_reports(reportsParts(), [this] { return readiness() == start_readiness::Ready; })
        , m_calls(callsParts(),
                  {[this] { act(); }, [this](auto samples) { m_reports.add(std::move(samples)); }})
        , m_internal(m_loop, m_settings.internal, {},
                     [this](http_request request, responder respond) {
                         serveInternal(std::move(request), std::move(respond));
                     })
        , m_workers(m_loop, m_settings.workers, {},
                    [this](const http_request &request, const responder &respond) {
                        serveWorker(request, respond);
                    })
    { }

    void run()
    {
        m_log.noteAlways("started", {{"internal", toText(m_settings.internal)}});
        m_loop.every(LogFlushEvery, [this] { m_log.flush(); });
        m_loop.every(DueEvery, [this] { act(); });
        m_loop.every(ReportEvery, [this] { m_reports.reportRegularly(); });
        m_loop.every(LeaseRenewInterval, [this] { m_keeper.renew(m_silence.heldUntilIfSilent()); });
        m_entriesTable.start();
        m_cancelsTable.start();
        m_keeper.seek("process_start");
        m_loop.run([this](const std::exception &problem) {
            m_metrics.count("callbacks_failed_total", "exception");
            m_log.note("callback_failed", {{"why", problem.what()}});
        });
        m_log.noteAlways("stopped", {{"epoch", m_table.epoch()},
                                     {"runs", m_table.activeRunCount()},
                                     {"worker", m_worker.isPresent() ? "present" : "absent"},
                                     {"lease_write_out", lease().isWritePending() ? "yes" : "no"}});
        m_log.flush();
    }

private:
    // A step's starts go out together, and each new connection to a worker costs it time.
    static net::caller_limits callerLimits()
    {
        net::caller_limits limits;
        limits.idlePerPeer = 16;
        return limits;
    }

    entry_reports_parts reportsParts()
    {
        return {m_settings, m_caller, m_keeper, m_worker, m_table, m_pacer, m_metrics, m_log};
    }

    worker_calls_parts callsParts()
    {
        return {m_settings.worker, m_caller, m_keeper, m_worker,  m_clock,
                m_silence,         m_table,  m_pacer,  m_metrics, m_log};
    }

    // --- The lease.

    lease_keeper::listeners leaseListeners()
    {
        return {[this] { m_table.setEpoch(0); },
                [this](const epoch_settled &epoch) { epochSettled(epoch); }, [this] { look(); }};
    }

    void epochSettled(const epoch_settled &settled)
    {
        m_table.setEpoch(settled.epoch);
        m_table.setAgentIncarnation(lease().fence());
        const auto now = suspendAwareNow();
        if (settled.isNew) {
            m_reports.epochBegun(now);
            if (lease().isSettled())
                m_silence.noteNewEpoch(now);
        } else {
            // A run that an earlier life of this agent told to stop is in neither list until it
            // has ended, and takes room all the while.
            m_startFrom = now + m_settings.stopWithin + StopMargin;
        }
        m_reports.reportAll();
    }

    // Nothing of any earlier epoch runs any more: what was placed here may go elsewhere.
    void allEnded(const std::string &nextLife)
    {
        m_table.clearRuns();
        m_silence.clearHold();
        m_keeper.allEnded(nextLife);
    }

    const worker_lease &lease() const { return m_keeper.lease(); }

    // --- Looking at the worker.

    void look()
    {
        if (!lease().holdsFence() || m_looking)
            return;
        m_looking = true;
        const auto now = suspendAwareNow();
        std::optional<std::int64_t> deadline;
        // A worker that answers nothing is only looked at: each call that may have reached it would
        // put off the time from which all that it runs has ended for certain.
        if (m_clock.isKnown() && now < lease().validUntil() && m_silence.isResponsive(now)) {
            const auto until = std::min<time_point>(lease().validUntil(), now + HoldDuration);
            deadline = m_clock.at(until);
            m_silence.noteHold(until);
        }
        // Without a clock to count from, the first look only reads it.
        const auto longest = m_table.servingSamples().empty() ? LookWait : LookWaitServing;
        const auto wait = m_clock.isKnown() ? millisecondsIn(longest) : 0;
        auto request = platform_wire::holdRequest(m_worker.id(), deadline, lease().fence(),
                                                  m_table.acknowledgedThrough(), wait);
        if (m_worker.id().empty())
            request.headers.clear();
        m_caller.call(m_settings.worker, std::move(request), milliseconds(wait) + LookTimeout,
                      [this, fence = lease().fence(), now](const call_result &result) {
                          m_looking = false;
                          looked(result, fence, now);
                      });
    }

    void looked(const call_result &result, std::int64_t fence, time_point sentAt)
    {
        if (!lease().holdsFence())
            return; // looks again once it does
        if (fence != lease().fence())
            return look(); // asked before the present fence was taken
        const auto now = suspendAwareNow();
        const auto seen = platform_wire::holdResult(result);
        noteAnswering(seen.has_value(), result);
        const bool heardAgain = seen && m_silence.heldUntilIfSilent();
        m_silence.notePoll(seen.has_value(), now);
        if (heardAgain)
            m_keeper.renew(); // the last renewals were for what had been held
        if (!seen) {
            if (platform_wire::isOtherLife(result))
                return lifeEnded("other_life");
            const auto *failure = std::get_if<call_failure>(&result);
            if (failure != nullptr && m_worker.isGoneBy(*failure))
                departureConfirmed();
            judgeSilence(now);
            return m_loop.after(LookRetry, [this] { look(); });
        }
        const auto life = m_worker.answered(seen->bornMs, sentAt);
        if (life == worker_presence::look::OtherLife)
            return lifeEnded("born_anew");
        if (life == worker_presence::look::Stayed)
            stayed();
        m_clock.read(seen->listing.clockMs, now);
        m_table.applyListing(seen->listing, now);
        const bool news = m_table.newEndCount() != m_endsTold;
        settleEpoch(now);
        act();
        m_calls.pace(now);
        const bool unacknowledged = !seen->listing.ended.empty();
        if (unacknowledged && !news)
            m_loop.after(LookAgain, [this] { look(); });
        else
            look();
    }

    // One line when looks begin to fail and one when they are answered again.
    void noteAnswering(bool answered, const call_result &result)
    {
        if (answered == m_silence.lastPollAnswered())
            return;
        if (answered)
            return m_log.note("worker_answers", {{"worker", m_worker.id()}});
        const auto *failure = std::get_if<call_failure>(&result);
        m_log.note("worker_unanswering", {{"worker", m_worker.id()},
                                          {"why", failure ? nameOf(*failure) : "refused"},
                                          {"runs", m_table.activeRunCount()}});
    }

    // With a new fence: the same life as the lease's row tells keeps its runs; in another one, or
    // after a watcher ended the epoch, all that runs is stopped before the new epoch begins.
    void settleEpoch(time_point now)
    {
        if (!m_worker.isBorn())
            return;
        if (m_keeper.seen(m_worker.lifeName(), m_table.activeRunCount()))
            m_table.stopAll(now);
    }

    void lifeEnded(const char *why)
    {
        m_log.note("worker_life_ended", {{"why", why}, {"worker", m_worker.id()}});
        m_metrics.count("worker_lives_ended_total", why);
        m_table.clearRuns();
        m_clock.forget();
        m_silence.noteNewIncarnation(suspendAwareNow());
        m_keeper.seek(why);
    }

    // A worker that answers nothing ends all it runs when the last lease that it was given is over.
    void judgeSilence(time_point now)
    {
        if (!m_silence.hasNothingRunning(now)
            || (lease().isSettled() && m_table.activeRunCount() == 0))
            return;
        m_log.note("worker_silent", {{"runs", m_table.activeRunCount()}});
        m_metrics.count("worker_lives_ended_total", "silent");
        allEnded(m_worker.lifeName());
    }

    // --- The worker's announcements.

    void serveWorker(const http_request &request, const responder &respond)
    {
        if (const auto left = platform_wire::departureFrom(request)) {
            respond({200, {}, ""});
            if (m_worker.departed(*left, suspendAwareNow()))
                m_log.note("worker_departed", {{"worker", m_worker.id()}});
            return;
        }
        const auto told = platform_wire::announcementFrom(request);
        // What can't be read names no worker to use, and the answer tells its sender so.
        if (!told)
            return respond({400, {}, R"({"error":"bad_request"})"});
        respond({200, {}, ""});
        if (told->service == m_settings.service)
            announced(*told);
    }

    void announced(const worker_announcement &told)
    {
        switch (m_worker.announced(told)) {
        case worker_presence::news::None:
            break;
        case worker_presence::news::OtherLife:
            lifeEnded("announced_anew");
            break;
        case worker_presence::news::Readiness:
            m_log.note("worker_announced",
                       {{"worker", told.id}, {"leaving", told.leaving ? "yes" : "no"}});
            m_reports.reportAll();
            break;
        }
    }

    void stayed()
    {
        m_log.note("worker_stayed", {{"worker", m_worker.id()}});
        m_reports.reportAll();
    }

    void departureConfirmed()
    {
        // What is known of the lease tells whether the end of the epoch can be written at once.
        m_log.note("worker_gone", {{"worker", m_worker.id()},
                                   {"runs", m_table.activeRunCount()},
                                   {"lease_write_out", lease().isWritePending() ? "yes" : "no"},
                                   {"lease", lease().holdsFence() ? "held" : "sought"}});
        m_clock.forget();
        allEnded(""); // and looks go on: a worker that lives anew may tell so in no other way
    }

    start_readiness readiness() const
    {
        const auto now = suspendAwareNow();
        const bool leased = m_cancelsRead && now >= m_startFrom && lease().isSettled()
                            && m_clock.isKnown() && now < lease().validUntil();
        return readinessOf({m_worker.isPresent(), m_worker.isLeaving(), leased,
                            m_reports.isZoneEvacuated(now)},
                           m_silence, now);
    }

    // --- Orders of entries.

    void serveInternal(http_request request, responder respond)
    {
        const auto path = request.path();
        if (path == "/metrics")
            return respond({200, {{"Content-Type", "text/plain"}}, m_metrics.text()});
        if (path.starts_with(StoreRelayPath) && m_stop.hasGivenUp())
            return respond({503, {}, ""}); // nothing was done
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (path != "/v1/orders")
            return respond({404, {}, R"({"error":"unknown_path"})"});
        try {
            respond({200, {}, takeOrders(orderBatchFrom(request.body))});
        } catch (const error &problem) {
            m_log.note("call_unreadable", {{"path", path}, {"why", problem.what()}});
            return respond({400, {}, R"({"error":"bad_request"})"});
        }
        act();
    }

    std::string takeOrders(const order_batch &batch)
    {
        const auto now = suspendAwareNow();
        m_table.setWorker(m_worker.told().capacity, readiness());
        std::vector<order_answer> answers;
        for (const auto &order : batch.orders) {
            answers.push_back(m_table.handleOrder(order, batch.owner, now));
            const auto &answer = answers.back();
            m_metrics.count("orders_total", nameOf(answer.outcome));
            if (answer.outcome != order_outcome::Accepted) {
                m_log.note("order_refused", {{"task", toText(order.task)},
                                             {"run", order.run},
                                             {"outcome", nameOf(answer.outcome)}});
            }
        }
        return toText(answers);
    }

    // Carries out what is due, and tells ends that are news.
    void act()
    {
        const auto now = suspendAwareNow();
        // A worker that answers nothing is not told to start anything: each such call would put off
        // the time from which all that it runs has ended for certain.
        const bool mayStart =
                now < lease().validUntil() && m_clock.isKnown() && m_silence.isResponsive(now);
        for (const auto &action : m_table.takeDueActions(now, mayStart))
            std::visit([this](const auto &one) { m_calls.carryOut(one); }, action);
        if (std::exchange(m_endsTold, m_table.newEndCount()) != m_table.newEndCount())
            m_reports.reportAll();
    }

    // --- Cancelled jobs, as the store has them.

    void takeCancels(const std::vector<row> &rows)
    {
        const auto now = suspendAwareNow();
        for (const auto &one : rows) {
            if (one.removed)
                continue; // the job is over for long
            const int runs = m_table.cancelJob(one.name.key, now);
            if (runs > 0)
                m_log.note("job_cancelled", {{"job", one.name.key}, {"runs", runs}});
        }
        act();
    }

    // --- Planned stop.

    stop_walk::hooks stopHooks()
    {
        return {[this] { leave(); }, [this] { return stopNeeds(); },
                [this](stop_step step) { carryOut(step); }};
    }

    void leave()
    {
        m_log.noteAlways("drain_started", {{"runs", m_table.activeRunCount()},
                                           {"worker", m_worker.isLeaving() ? "leaving" : "staying"},
                                           {"stays", hasToStay() ? "yes" : "no"}});
        m_internal.announceClose();
        m_workers.announceClose();
    }

    stop_needs stopNeeds()
    {
        if (m_stop.step() == stop_step::Finish)
            giveBack();
        const bool open = !m_internal.drained() || !m_workers.drained();
        const bool writes = lease().isWritePending() && !m_stop.hasGivenUp();
        return {hasToStay(), false, open || writes};
    }

    void carryOut(stop_step step)
    {
        switch (step) {
        case stop_step::Finish:
            giveBack();
            m_internal.drain();
            m_workers.drain();
            break;
        case stop_step::GiveUp:
            // Calls of the store that are relayed: they may have been carried out.
            m_internal.answerAll({502, {}, ""});
            break;
        case stop_step::HandOver:
        case stop_step::End:
            break;
        }
    }

    // The row tells the end of what is held: an agent that never comes back keeps its worker's
    // tasks from starting elsewhere for no longer. Its next life renews the lease.
    void giveBack()
    {
        const auto held = m_silence.heldUntil();
        if (held && !lease().isWritePending() && !std::exchange(m_gaveBack, true))
            m_keeper.renew(held);
    }

    // The next life of an agent goes on with what runs. But a worker that leaves takes its agent's
    // instance with it: nobody else will ever know that all that ran there has ended, and what was
    // placed there would wait for the end of the lease.
    bool hasToStay() const
    {
        return m_worker.goesAway() || lease().hasUnwrittenEnd()
               || m_reports.entriesWaitForEpoch(suspendAwareNow()) || m_table.hasEndsOfGoneWorker();
    }

    job_agent_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    net::http_caller m_caller;
    row_store m_store;
    table_follower m_entriesTable;
    table_follower m_cancelsTable;
    run_table m_table;
    throttle_controller m_pacer;

    worker_presence m_worker;
    worker_clock m_clock;
    bool m_cancelsRead = false; // an order that was held up may be of a job that was cancelled
    stop_walk m_stop;
    bool m_gaveBack = false; // the last renewal was sent

    lease_keeper m_keeper;
    entry_reports m_reports;
    worker_liveness m_silence{suspendAwareNow()};
    worker_calls m_calls;

    std::size_t m_endsTold = 0; // of `m_table.endsSeen()`

    time_point m_startFrom{}; // nothing is started before
    bool m_looking = false;

    net::http_listener m_internal;
    net::http_listener m_workers;
};

} // namespace

int runJobAgent(const job_agent_settings &settings)
{
    agent_process process(settings);
    process.run();
    return ExitDone;
}

} // namespace zinniabarrow
