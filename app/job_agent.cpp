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

constexpr milliseconds PollWait{1000};       // the worker answers a look earlier when a run ends
constexpr milliseconds ServingPollWait{250}; // latencies are measured over half a second
constexpr milliseconds PollTimeout{700};     // beyond the wait; a worker answers within a few ms
constexpr milliseconds PollRetryDelay{150};
constexpr milliseconds UnacknowledgedPollDelay{
        40}; // while ends are not acknowledged: a look returns at once
constexpr milliseconds ReportInterval{1000};
constexpr milliseconds ActionInterval{100};
constexpr milliseconds StopMargin{150}; // beyond the time that the worker needs for a stop
constexpr milliseconds CancelsBatchDelay{
        1000}; // joins cancels into one answer; they hold within 3 s
constexpr milliseconds LogFlushInterval{100};
constexpr milliseconds FinishLimit{300}; // the last write takes some 15 ms
constexpr milliseconds HandOverLimit{5000};
constexpr shutdown_poll_intervals ShutdownIntervals{milliseconds(150), milliseconds(10)};
constexpr shutdown_limits ShutdownLimits{HandOverLimit, FinishLimit, HandOverLimit + FinishLimit,
                                         milliseconds(5700)};

class agent_process
{
public:
    explicit agent_process(job_agent_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { m_shutdown.begin(); })
        , m_log("agent", m_settings.id)
        , m_caller(m_loop, callerLimits())
        , m_store(
                  m_loop, m_caller, m_settings.storeAddress,
                  [this] { return m_reportSender.relayAddresses(); }, m_metrics, m_log)
        , m_entriesFollower(m_loop, m_store, m_log, {EntriesTable},
                            [this](const auto &rows) { m_reportSender.updateEntries(rows); })
        , m_cancelsFollower(
                  m_loop, m_store, m_log, {CancelsTable, jobParts(), CancelsBatchDelay},
                  [this](const auto &rows) { applyCancels(rows); },
                  [this] { m_areCancelsRead = true; })
        , m_shutdown(m_loop, ShutdownIntervals, ShutdownLimits, shutdownHooks())
        , m_leaseKeeper(m_loop, m_store, m_log, m_settings.id, leaseCallbacks())
        , m_reportSender(reportSenderDependencies(),
                         [this] { return readiness() == start_readiness::Ready; })
        , m_workerCalls(workerCallsDependencies(),
                        {[this] { executeDueActions(); },
                         [this](auto samples) { m_reportSender.addSamples(std::move(samples)); }})
        , m_internalListener(m_loop, m_settings.internalAddress, {},
                             [this](http_request request, responder respond) {
                                 serveInternal(std::move(request), std::move(respond));
                             })
        , m_workerListener(m_loop, m_settings.announcementsAddress, {},
                           [this](const http_request &request, const responder &respond) {
                               serveWorker(request, respond);
                           })
    { }

    void run()
    {
        m_log.noteAlways("started", {{"internal", toText(m_settings.internalAddress)}});
        m_loop.every(LogFlushInterval, [this] { m_log.flush(); });
        m_loop.every(ActionInterval, [this] { executeDueActions(); });
        m_loop.every(ReportInterval, [this] { m_reportSender.sendPeriodicReports(); });
        m_loop.every(LeaseRenewInterval,
                     [this] { m_leaseKeeper.renew(m_silence.heldUntilIfSilent()); });
        m_entriesFollower.start();
        m_cancelsFollower.start();
        m_leaseKeeper.acquire("process_start");
        m_loop.run([this](const std::exception &problem) {
            m_metrics.count("callbacks_failed_total", "exception");
            m_log.note("callback_failed", {{"why", problem.what()}});
        });
        m_log.noteAlways("stopped", {{"epoch", m_runTable.epoch()},
                                     {"runs", m_runTable.activeRunCount()},
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

    report_sender_dependencies reportSenderDependencies()
    {
        return {m_settings, m_caller, m_leaseKeeper, m_worker,
                m_runTable, m_pacer,  m_metrics,     m_log};
    }

    worker_calls_dependencies workerCallsDependencies()
    {
        return {m_settings.workerAddress,
                m_caller,
                m_leaseKeeper,
                m_worker,
                m_workerClock,
                m_silence,
                m_runTable,
                m_pacer,
                m_metrics,
                m_log};
    }

    // --- The lease.

    lease_keeper::callbacks leaseCallbacks()
    {
        return {[this] { m_runTable.setEpoch(0); },
                [this](const epoch_settled &epoch) { handleEpochSettled(epoch); },
                [this] { pollWorker(); }};
    }

    void handleEpochSettled(const epoch_settled &settled)
    {
        m_runTable.setEpoch(settled.epoch);
        m_runTable.setAgentIncarnation(lease().fence());
        const auto now = suspendAwareNow();
        if (settled.isNew) {
            m_reportSender.startEpochAnnouncement(now);
            if (lease().isSettled())
                m_silence.noteNewEpoch(now);
        } else {
            // A run that an earlier life of this agent told to stop is in neither list until it
            // has ended, and takes room all the while.
            m_startsAllowedFrom = now + m_settings.stopTimeout + StopMargin;
        }
        m_reportSender.sendReports();
    }

    // Nothing of any earlier epoch runs any more: what was placed here may go elsewhere.
    void noteAllRunsEnded(const std::string &nextIncarnation)
    {
        m_runTable.clearRuns();
        m_silence.clearHold();
        m_leaseKeeper.noteAllRunsEnded(nextIncarnation);
    }

    const worker_lease &lease() const { return m_leaseKeeper.lease(); }

    // --- Looking at the worker.

    void pollWorker()
    {
        if (!lease().holdsFence() || m_isPolling)
            return;
        m_isPolling = true;
        const auto now = suspendAwareNow();
        std::optional<std::int64_t> deadline;
        // A worker that answers nothing is only looked at: each call that may have reached it would
        // put off the time from which all that it runs has ended for certain.
        if (m_workerClock.isKnown() && now < lease().validUntil() && m_silence.isResponsive(now)) {
            const auto until = std::min<time_point>(lease().validUntil(), now + HoldDuration);
            deadline = m_workerClock.millisecondsAt(until);
            m_silence.noteHold(until);
        }
        // Without a clock to count from, the first look only reads it.
        const auto maxWait = m_runTable.servingSamples().empty() ? PollWait : ServingPollWait;
        const auto wait = m_workerClock.isKnown() ? millisecondsIn(maxWait) : 0;
        auto request = platform_wire::holdRequest(m_worker.id(), deadline, lease().fence(),
                                                  m_runTable.acknowledgedThrough(), wait);
        if (m_worker.id().empty())
            request.headers.clear();
        m_caller.call(m_settings.workerAddress, std::move(request),
                      milliseconds(wait) + PollTimeout,
                      [this, fence = lease().fence(), now](const call_result &result) {
                          m_isPolling = false;
                          handlePollResult(result, fence, now);
                      });
    }

    void handlePollResult(const call_result &result, std::int64_t fence, time_point sentAt)
    {
        if (!lease().holdsFence())
            return; // looks again once it does
        if (fence != lease().fence())
            return pollWorker(); // asked before the present fence was taken
        const auto now = suspendAwareNow();
        const auto holdAnswer = platform_wire::holdResult(result);
        logAnswering(holdAnswer.has_value(), result);
        const bool isAnsweringAgain = holdAnswer && m_silence.heldUntilIfSilent();
        m_silence.notePoll(holdAnswer.has_value(), now);
        if (isAnsweringAgain)
            m_leaseKeeper.renew(); // the last renewals were for what had been held
        if (!holdAnswer) {
            if (platform_wire::isOtherLife(result))
                return handleIncarnationEnd("other_life");
            const auto *failure = std::get_if<call_failure>(&result);
            if (failure != nullptr && m_worker.confirmsDeparture(*failure))
                handleDepartureConfirmed();
            checkSilence(now);
            return m_loop.after(PollRetryDelay, [this] { pollWorker(); });
        }
        const auto pollOutcome = m_worker.handleAnswer(holdAnswer->bornMs, sentAt);
        if (pollOutcome == worker_presence::poll_result::NewIncarnation)
            return handleIncarnationEnd("born_anew");
        if (pollOutcome == worker_presence::poll_result::DepartureRefuted)
            handleDepartureRefuted();
        m_workerClock.setReading(holdAnswer->listing.clockMs, now);
        m_runTable.applyListing(holdAnswer->listing, now);
        const bool hasNewEnds = m_runTable.newEndCount() != m_endsReported;
        settleEpoch(now);
        executeDueActions();
        m_workerCalls.adjustSpeeds(now);
        const bool hasUnacknowledgedEnds = !holdAnswer->listing.ended.empty();
        if (hasUnacknowledgedEnds && !hasNewEnds)
            m_loop.after(UnacknowledgedPollDelay, [this] { pollWorker(); });
        else
            pollWorker();
    }

    // One line when looks begin to fail and one when they are answered again.
    void logAnswering(bool isAnswered, const call_result &result)
    {
        if (isAnswered == m_silence.lastPollAnswered())
            return;
        if (isAnswered)
            return m_log.note("worker_answers", {{"worker", m_worker.id()}});
        const auto *failure = std::get_if<call_failure>(&result);
        m_log.note("worker_unanswering", {{"worker", m_worker.id()},
                                          {"why", failure ? nameOf(*failure) : "refused"},
                                          {"runs", m_runTable.activeRunCount()}});
    }

    // With a new fence: the same life as the lease's row tells keeps its runs; in another one, or
    // after a watcher ended the epoch, all that runs is stopped before the new epoch begins.
    void settleEpoch(time_point now)
    {
        if (!m_worker.isIncarnationKnown())
            return;
        if (m_leaseKeeper.observeWorker(m_worker.incarnationName(), m_runTable.activeRunCount()))
            m_runTable.stopAll(now);
    }

    void handleIncarnationEnd(const char *reason)
    {
        m_log.note("worker_life_ended", {{"why", reason}, {"worker", m_worker.id()}});
        m_metrics.count("worker_lives_ended_total", reason);
        m_runTable.clearRuns();
        m_workerClock.reset();
        m_silence.noteNewIncarnation(suspendAwareNow());
        m_leaseKeeper.acquire(reason);
    }

    // A worker that answers nothing ends all it runs when the last lease that it was given is over.
    void checkSilence(time_point now)
    {
        if (!m_silence.hasNothingRunning(now)
            || (lease().isSettled() && m_runTable.activeRunCount() == 0))
            return;
        m_log.note("worker_silent", {{"runs", m_runTable.activeRunCount()}});
        m_metrics.count("worker_lives_ended_total", "silent");
        noteAllRunsEnded(m_worker.incarnationName());
    }

    // --- The worker's announcements.

    void serveWorker(const http_request &request, const responder &respond)
    {
        if (const auto departedId = platform_wire::departureFrom(request)) {
            respond({200, {}, ""});
            if (m_worker.handleDeparture(*departedId, suspendAwareNow()))
                m_log.note("worker_departed", {{"worker", m_worker.id()}});
            return;
        }
        const auto announcement = platform_wire::announcementFrom(request);
        // What can't be read names no worker to use, and the answer tells its sender so.
        if (!announcement)
            return respond({400, {}, R"({"error":"bad_request"})"});
        respond({200, {}, ""});
        if (announcement->service == m_settings.service)
            handleAnnouncement(*announcement);
    }

    void handleAnnouncement(const worker_announcement &announcement)
    {
        switch (m_worker.handleAnnouncement(announcement)) {
        case worker_presence::change::None:
            break;
        case worker_presence::change::NewIncarnation:
            handleIncarnationEnd("announced_anew");
            break;
        case worker_presence::change::ReadinessChanged:
            m_log.note("worker_announced", {{"worker", announcement.id},
                                            {"leaving", announcement.leaving ? "yes" : "no"}});
            m_reportSender.sendReports();
            break;
        }
    }

    void handleDepartureRefuted()
    {
        m_log.note("worker_stayed", {{"worker", m_worker.id()}});
        m_reportSender.sendReports();
    }

    void handleDepartureConfirmed()
    {
        // What is known of the lease tells whether the end of the epoch can be written at once.
        m_log.note("worker_gone", {{"worker", m_worker.id()},
                                   {"runs", m_runTable.activeRunCount()},
                                   {"lease_write_out", lease().isWritePending() ? "yes" : "no"},
                                   {"lease", lease().holdsFence() ? "held" : "sought"}});
        m_workerClock.reset();
        noteAllRunsEnded(
                ""); // and looks go on: a worker that lives anew may tell so in no other way
    }

    start_readiness readiness() const
    {
        const auto now = suspendAwareNow();
        const bool holdsLease = m_areCancelsRead && now >= m_startsAllowedFrom
                                && lease().isSettled() && m_workerClock.isKnown()
                                && now < lease().validUntil();
        return readinessOf({m_worker.isPresent(), m_worker.isLeaving(), holdsLease,
                            m_reportSender.isZoneEvacuated(now)},
                           m_silence, now);
    }

    // --- Orders of entries.

    void serveInternal(http_request request, responder respond)
    {
        const auto path = request.path();
        if (path == "/metrics")
            return respond({200, {{"Content-Type", "text/plain"}}, m_metrics.text()});
        if (path.starts_with(StoreRelayPath) && m_shutdown.hasGivenUp())
            return respond({503, {}, ""}); // nothing was done
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (path != "/v1/orders")
            return respond({404, {}, R"({"error":"unknown_path"})"});
        try {
            respond({200, {}, acceptOrders(orderBatchFrom(request.body))});
        } catch (const error &problem) {
            m_log.note("call_unreadable", {{"path", path}, {"why", problem.what()}});
            return respond({400, {}, R"({"error":"bad_request"})"});
        }
        executeDueActions();
    }

    std::string acceptOrders(const order_batch &batch)
    {
        const auto now = suspendAwareNow();
        m_runTable.setWorker(m_worker.lastAnnouncement().capacity, readiness());
        std::vector<order_answer> answers;
        for (const auto &order : batch.orders) {
            answers.push_back(m_runTable.handleOrder(order, batch.owner, now));
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
    void executeDueActions()
    {
        const auto now = suspendAwareNow();
        // A worker that answers nothing is not told to start anything: each such call would put off
        // the time from which all that it runs has ended for certain.
        const bool canStart = now < lease().validUntil() && m_workerClock.isKnown()
                              && m_silence.isResponsive(now);
        for (const auto &action : m_runTable.takeDueActions(now, canStart))
            std::visit([this](const auto &one) { m_workerCalls.execute(one); }, action);
        if (std::exchange(m_endsReported, m_runTable.newEndCount()) != m_runTable.newEndCount())
            m_reportSender.sendReports();
    }

    // --- Cancelled jobs, as the store has them.

    void applyCancels(const std::vector<row> &rows)
    {
        const auto now = suspendAwareNow();
        for (const auto &one : rows) {
            if (one.removed)
                continue; // the job is over for long
            const int runs = m_runTable.cancelJob(one.name.key, now);
            if (runs > 0)
                m_log.note("job_cancelled", {{"job", one.name.key}, {"runs", runs}});
        }
        executeDueActions();
    }

    // --- Planned stop.

    shutdown_driver::hooks shutdownHooks()
    {
        return {[this] { beginShutdown(); }, [this] { return remainingWork(); },
                [this](shutdown_step step) { executeStep(step); }};
    }

    void beginShutdown()
    {
        m_log.noteAlways("drain_started", {{"runs", m_runTable.activeRunCount()},
                                           {"worker", m_worker.isLeaving() ? "leaving" : "staying"},
                                           {"stays", hasToStay() ? "yes" : "no"}});
        m_internalListener.announceClose();
        m_workerListener.announceClose();
    }

    remaining_work remainingWork()
    {
        if (m_shutdown.step() == shutdown_step::Finish)
            sendFinalRenewal();
        const bool hasOpenConnections =
                !m_internalListener.drained() || !m_workerListener.drained();
        const bool hasPendingWrite = lease().isWritePending() && !m_shutdown.hasGivenUp();
        return {hasToStay(), false, hasOpenConnections || hasPendingWrite};
    }

    void executeStep(shutdown_step step)
    {
        switch (step) {
        case shutdown_step::Finish:
            sendFinalRenewal();
            m_internalListener.drain();
            m_workerListener.drain();
            break;
        case shutdown_step::GiveUp:
            // Calls of the store that are relayed: they may have been carried out.
            m_internalListener.answerAll({502, {}, ""});
            break;
        case shutdown_step::HandOver:
        case shutdown_step::End:
            break;
        }
    }

    // The row tells the end of what is held: an agent that never comes back keeps its worker's
    // tasks from starting elsewhere for no longer. Its next life renews the lease.
    void sendFinalRenewal()
    {
        const auto grantedUntil = m_silence.heldUntil();
        if (grantedUntil && !lease().isWritePending() && !std::exchange(m_isFinalRenewalSent, true))
            m_leaseKeeper.renew(grantedUntil);
    }

    // The next life of an agent goes on with what runs. But a worker that leaves takes its agent's
    // instance with it: nobody else will ever know that all that ran there has ended, and what was
    // placed there would wait for the end of the lease.
    bool hasToStay() const
    {
        return m_worker.isGoingAway() || lease().hasUnwrittenEnd()
               || m_reportSender.isEpochAnnouncementOpen(suspendAwareNow())
               || m_runTable.hasEndsOfGoneWorker();
    }

    job_agent_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    net::http_caller m_caller;
    store_client m_store;
    table_follower m_entriesFollower;
    table_follower m_cancelsFollower;
    run_table m_runTable;
    throttle_controller m_pacer;

    worker_presence m_worker;
    worker_clock m_workerClock;
    bool m_areCancelsRead = false; // an order that was held up may be of a job that was cancelled
    shutdown_driver m_shutdown;
    bool m_isFinalRenewalSent = false; // the last renewal was sent

    lease_keeper m_leaseKeeper;
    report_sender m_reportSender;
    worker_liveness m_silence{suspendAwareNow()};
    worker_calls m_workerCalls;

    std::size_t m_endsReported = 0; // of `m_table.endsSeen()`

    time_point m_startsAllowedFrom{}; // nothing is started before
    bool m_isPolling = false;

    net::http_listener m_internalListener;
    net::http_listener m_workerListener;
};

} // namespace

int runJobAgent(const job_agent_settings &settings)
{
    agent_process process(settings);
    process.run();
    return ExitDone;
}

} // namespace zinniabarrow
