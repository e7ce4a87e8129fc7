#include "app/job_agent.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "app/job_tables.h"
#include "app/lease_keeper.h"
#include "app/outage_probe.h"
#include "app/process.h"
#include "app/report_sender.h"
#include "app/shutdown_driver.h"
#include "app/store_client.h"
#include "app/suspension_meter.h"
#include "app/table_follower.h"
#include "app/traffic_meter.h"
#include "app/worker_calls.h"
#include "app/worker_clock.h"
#include "app/worker_presence.h"
#include "base/errors.h"
#include "jobs/message_limits.h"
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

constexpr milliseconds PollWait{1000};        // the worker answers a poll earlier if a run ends
constexpr milliseconds ServingPollWait{250};  // workers measure latencies over 0.5 s
constexpr milliseconds ProofPollWait{250};    // while a listing will free a run's capacity
constexpr milliseconds ExpiringPollWait{100}; // while the holds end soon
constexpr milliseconds HoldEndsSoon{2000};    // longer than any poll
constexpr milliseconds PollTimeout{700}; // in addition to the wait; a worker answers in a few ms
constexpr milliseconds PollRetryDelay{150};
// While ends of runs are not acknowledged, the worker answers each poll at once.
constexpr milliseconds UnacknowledgedPollDelay{40};
// An agent that wakes after a suspension renews its lease within this time, if it reaches the
// store.
constexpr milliseconds RenewalAfterWake{250};
constexpr milliseconds ReportInterval{1000};
constexpr milliseconds ActionInterval{100};
// Lets one answer of the store contain many cancellations; they have to take effect within 3 s.
constexpr milliseconds CancelsBatchDelay{1000};
// The rows of the entries change only when an entry starts, and the store answers at once then.
constexpr milliseconds EntriesPollWait{3000};
constexpr milliseconds SuspensionLogThreshold{100};
constexpr milliseconds LogFlushInterval{100};
constexpr milliseconds TrafficLogInterval{10'000};
constexpr milliseconds FinishLimit{300}; // the final write of the lease takes about 15 ms
// Time limit for telling the entries, and writing to the lease row, that the runs of a leaving
// worker have ended.
constexpr milliseconds HandOverLimit{5000};
constexpr shutdown_poll_intervals ShutdownIntervals{milliseconds(150), milliseconds(10)};
constexpr shutdown_limits ShutdownLimits{HandOverLimit, FinishLimit, HandOverLimit + FinishLimit,
                                         milliseconds(5700)};

// The agent daemon: connects its parts to each other and to the event loop, and polls the worker.
class agent_process
{
public:
    explicit agent_process(job_agent_settings settings)
        : m_settings(std::move(settings))
        , m_loop([this] { m_shutdown.begin(); })
        , m_log("agent", m_settings.id)
        , m_client(m_loop, clientLimits(), m_traffic.observer(traffic_kind::Worker))
        , m_store(
                  m_loop, m_client, m_settings.storeAddress,
                  [this] { return m_reportSender.relayAddresses(); }, m_metrics, m_log)
        , m_entriesFollower(m_loop, m_store, m_log, {EntriesTable, {""}, {}, EntriesPollWait},
                            [this](const auto &rows) { m_reportSender.updateEntries(rows); })
        , m_cancelsFollower(
                  m_loop, m_store, m_log, {CancelsTable, jobPartitions(), CancelsBatchDelay},
                  [this](const auto &rows) { applyCancels(rows); },
                  [this] { m_areCancelsRead = true; })
        , m_runTable(tableSettings(m_settings))
        , m_shutdown(m_loop, ShutdownIntervals, ShutdownLimits, shutdownHooks())
        , m_leaseKeeper(m_loop, m_store, m_log, m_settings.id, m_settings.longestSuspension,
                        leaseCallbacks())
        , m_reportSender(reportSenderDependencies(),
                         [this] { return m_runTable.acceptsStarts(readiness()); })
        , m_workerCalls(workerCallsDependencies(),
                        {[this] { executeDueActions(); },
                         [this](auto samples) { m_reportSender.addSamples(std::move(samples)); },
                         [this](time_point now) { return currentHoldLimit(now); }})
        , m_outageProbe(
                  m_client, m_store, [this] { return m_reportSender.relayAddresses(); }, m_log)
        , m_internalListener(
                  m_loop, m_settings.internalAddress, internalLimits(),
                  [this](http_request request, responder respond) {
                      serveInternal(std::move(request), std::move(respond));
                  },
                  m_traffic.observer(traffic_kind::Other))
        , m_workerListener(
                  m_loop, m_settings.announcementsAddress, {},
                  [this](const http_request &request, const responder &respond) {
                      serveWorker(request, respond);
                  },
                  m_traffic.observer(traffic_kind::Worker))
    { }

    void run()
    {
        m_log.writeAlways("started", {{"internal", toText(m_settings.internalAddress)}});
        m_loop.runEvery(LogFlushInterval, [this] { m_log.flush(); });
        m_loop.runEvery(TrafficLogInterval, [this] {
            m_traffic.writeTo(m_log);
            m_store.meter().writeTo(m_log);
        });
        m_loop.runEvery(ActionInterval, [this] { executeDueActions(); });
        m_loop.runEvery(ReportInterval, [this] { m_reportSender.sendPeriodicReports(); });
        m_loop.runEvery(LeaseRenewInterval,
                        [this] { m_leaseKeeper.renew(m_workerLiveness.heldUntilIfSilent()); });
        m_loop.runEvery(OutageProbeInterval, [this] { m_outageProbe.probe(); });
        m_entriesFollower.start();
        m_cancelsFollower.start();
        m_leaseKeeper.acquire("process_start");
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

    // All tasks of a job's step are started at the same time, and each new connection costs the
    // worker time, so many idle connections are kept.
    static net::client_limits clientLimits()
    {
        net::client_limits limits;
        limits.maxIdlePerPeer = 16;
        limits.answerBytesLimit = MaxPollAnswerBytes;
        return limits;
    }

    static run_table_settings tableSettings(const job_agent_settings &settings)
    {
        run_table_settings result;
        result.stopTimeout = settings.stopTimeout;
        return result;
    }

    static net::listener_limits internalLimits()
    {
        net::listener_limits limits;
        limits.maxRequestBytes = MaxOrderCallBytes;
        return limits;
    }

    report_sender_dependencies reportSenderDependencies()
    {
        return {m_settings,           m_client,  m_leaseKeeper, m_workerPresence, m_runTable,
                m_throttleController, m_metrics, m_log};
    }

    worker_calls_dependencies workerCallsDependencies()
    {
        return {m_settings.workerAddress,
                m_client,
                m_leaseKeeper,
                m_workerPresence,
                m_workerClock,
                m_workerLiveness,
                m_runTable,
                m_throttleController,
                m_metrics,
                m_log};
    }

    // --- The lease.

    lease_keeper::callbacks leaseCallbacks()
    {
        return {[this] { m_runTable.setEpoch(0); },
                [this](const epoch_settled &epoch) { handleEpochSettled(epoch); },
                [this] { handleFenceAcquired(); }};
    }

    void handleFenceAcquired()
    {
        m_stopsStrayRuns = false;
        const auto now = suspendAwareNow();
        if (const auto until = lease().earlierCallsHoldUntil(now))
            m_workerLiveness.noteEarlierCallsHold(
                    std::min<time_point>(*until, now + m_settings.longestHold));
        pollWorker();
    }

    void handleEpochSettled(const epoch_settled &settled)
    {
        m_runTable.setEpoch(settled.epoch);
        m_hasStoppedForLease = false;
        m_runTable.setAgentIncarnation(lease().fence());
        const auto now = suspendAwareNow();
        if (settled.isNew) {
            m_reportSender.startEpochAnnouncement(now);
            if (lease().isSettled())
                m_workerLiveness.noteNewEpoch(now);
        } else {
            m_runTable.noteNewIncarnation(now);
        }
        logHold(now);
        m_reportSender.sendReports();
    }

    // Until when the worker may continue runs by itself, and until when the lease lets it.
    void logHold(time_point now)
    {
        const auto heldUntil = m_workerLiveness.heldUntil();
        m_log.writeEvent("epoch_hold",
                         {{"epoch", m_runTable.epoch()},
                          {"held_ms", heldUntil ? millisecondsIn(*heldUntil - now) : 0},
                          {"lease_ms", millisecondsIn(lease().validUntil() - now)}});
    }

    // No run of any earlier epoch is left: tasks that were placed here may be placed elsewhere.
    void noteAllRunsEnded(const std::string &nextIncarnation)
    {
        m_runTable.clearRuns();
        m_workerLiveness.clearHold();
        m_earlierCallsUntilMs = 0;
        m_leaseKeeper.forgetEarlierCallsHold();
        m_leaseKeeper.noteAllRunsEnded(nextIncarnation);
    }

    const worker_lease &lease() const { return m_leaseKeeper.lease(); }

    // Until when calls that are sent now may let the worker's runs continue.
    time_point currentHoldLimit(time_point now) const
    {
        return holdLimit(lease().validUntil(), m_settings.longestSuspension,
                         m_outageProbe.isStoreAwayForEntries(now));
    }

    // --- Polling the worker.

    void pollWorker()
    {
        if (m_isPolling || !(lease().holdsFence() || m_stopsStrayRuns))
            return;
        m_isPolling = true;
        noteSuspension();
        const auto now = suspendAwareNow();
        const bool isConfirmed = reachesConfirmedIncarnation(now);
        std::optional<std::int64_t> deadline;
        if (isConfirmed && m_workerClock.isKnown() && now < currentHoldLimit(now)) {
            const auto holdUntil = std::min<time_point>(currentHoldLimit(now), now + HoldDuration);
            deadline = m_workerClock.millisecondsAt(holdUntil);
            m_workerLiveness.noteHold(holdUntil);
            m_workerClock.noteDeadline(*deadline);
        }
        const auto acknowledged = isConfirmed ? m_runTable.acknowledgedThrough() : 0;
        // While the worker's clock or incarnation is unknown, the poll returns at once.
        const bool mayWait = isConfirmed && m_workerClock.isKnown();
        const auto wait = mayWait ? millisecondsIn(maxPollWait(now)) : 0;
        auto request = platform_wire::makeHoldRequest(m_workerPresence.id(), deadline,
                                                      lease().fence(), acknowledged, wait);
        if (m_workerPresence.id().empty())
            request.headers.clear();
        m_lastPollDeadlineMs = deadline;
        m_lastPollAcknowledged = acknowledged;
        const auto timeLimit = milliseconds(wait) + PollTimeout;
        net::large_call_options options{{timeLimit, timeLimit, timeLimit}, MaxPollAnswerBytes};
        if (isConfirmed && m_keepsConnections)
            options.openedBefore = m_workerLiveness.answeredAt();
        m_client.call(m_settings.workerAddress, std::move(request), std::move(options),
                      [this, fence = lease().fence(), now](const call_result &result) {
                          m_isPolling = false;
                          handlePollResult(result, fence, now);
                      });
    }

    // Whether the next poll certainly reaches the incarnation that answered the last one: it goes
    // on a connection that was open then. Otherwise another one may take it, whose clock and
    // numbering of ends have started anew. By a deadline on the earlier clock it would hold its
    // runs for longer than the lease, and by an acknowledgement forget ends that it has not listed.
    // A worker that does not answer isn't given deadlines anyway: each call that may have reached
    // it would postpone the time at which all its runs have certainly ended.
    bool reachesConfirmedIncarnation(time_point now)
    {
        if (!lease().holdsFence())
            return false;
        if (!m_keepsConnections)
            return m_workerLiveness.isIncarnationConfirmed(now);
        return m_workerLiveness.isResponsive(now)
               && m_client.hasIdleConnection(m_settings.workerAddress,
                                             m_workerLiveness.answeredAt());
    }

    // A lease that is renewed at the last moment saves the runs only if the next hold call comes
    // before the end of the earlier lease.
    milliseconds maxPollWait(time_point now) const
    {
        if (currentHoldLimit(now) - now < HoldEndsSoon)
            return ExpiringPollWait;
        if (m_runTable.awaitsListing())
            return ProofPollWait;
        return m_runTable.servingSamples().empty() ? PollWait : ServingPollWait;
    }

    // The worker's clock stood meanwhile, as the worker is on the same machine. A worker that does
    // not answer can't tell, and its runs would count as ended while they go on.
    void noteSuspension()
    {
        const auto length = m_suspensionMeter.observe(net::suspendedTime());
        if (length == duration(0))
            return;
        m_workerClock.noteSuspension(length);
        m_workerLiveness.noteSuspension(length);
        if (length >= SuspensionLogThreshold)
            m_log.writeEvent("machine_was_suspended", {{"ms", millisecondsIn(length)}});
    }

    void handlePollResult(const call_result &result, std::int64_t fence, time_point sentAt)
    {
        noteSuspension();
        const auto now = suspendAwareNow();
        const auto holdAnswer = platform_wire::parseHoldResult(result);
        const bool isOfThisFence = lease().holdsFence() && fence == lease().fence();
        // The answer to a poll with an earlier fence isn't used, but its failure is a sign.
        if (!isOfThisFence && !holdAnswer)
            m_workerLiveness.notePoll(false, now);
        if (!lease().holdsFence() && m_stopsStrayRuns)
            return stopStrayRuns(holdAnswer, sentAt, now);
        if (!lease().holdsFence())
            return; // polling resumes when the fence is acquired
        if (!isOfThisFence)
            return pollWorker(); // the poll was sent with an earlier fence
        logAnswering(holdAnswer.has_value(), result);
        if (holdAnswer)
            m_keepsConnections = holdAnswer->keepsConnection;
        const bool isAnsweringAgain = holdAnswer && m_workerLiveness.heldUntilIfSilent();
        m_workerLiveness.notePoll(holdAnswer.has_value(), now);
        // While the worker was silent, the lease was renewed only up to the end of its last hold.
        if (isAnsweringAgain)
            m_leaseKeeper.renew();
        if (!holdAnswer) {
            if (platform_wire::isOtherIncarnation(result)) {
                m_workerPresence.handleOtherIncarnation();
                return handleIncarnationEnd("other_life");
            }
            const auto *failure = std::get_if<call_failure>(&result);
            if (failure != nullptr && m_workerPresence.handlePollFailure(*failure))
                handleDepartureConfirmed();
            checkSilence(now);
            return m_loop.runAfter(PollRetryDelay, [this] { pollWorker(); });
        }
        const auto pollOutcome =
                m_workerPresence.handlePollAnswer(holdAnswer->workerStartMs, sentAt);
        if (pollOutcome == worker_presence::poll_result::NewIncarnation) {
            logPollOfNewIncarnation(*holdAnswer);
            return handleIncarnationEnd("born_anew");
        }
        if (pollOutcome == worker_presence::poll_result::DepartureRefuted)
            handleDepartureRefuted();
        m_workerClock.setReading(holdAnswer->listing.clockMs, now);
        if (const auto heldUntil = m_workerClock.latestDeadline())
            m_workerLiveness.noteHold(*heldUntil);
        m_runTable.applyListing(holdAnswer->listing, now);
        noteFenceSeen(fence, holdAnswer->listing.clockMs, now);
        noteEarlierCallsHold(holdAnswer->listing.clockMs, now);
        const bool hasNewEnds = m_runTable.newEndCount() != m_reportedEndCount;
        settleEpoch(now);
        executeDueActions();
        m_workerCalls.adjustSpeeds(now);
        const bool hasUnacknowledgedEnds = !holdAnswer->listing.ended.empty();
        if (hasUnacknowledgedEnds && !hasNewEnds)
            m_loop.runAfter(UnacknowledgedPollDelay, [this] { pollWorker(); });
        else
            pollWorker();
    }

    // What a poll that was meant for the earlier incarnation did to the new one: a deadline on the
    // earlier clock lets runs continue for long, and an acknowledgement drops ends.
    void logPollOfNewIncarnation(const platform_wire::hold_result &answer)
    {
        m_log.writeEvent("worker_polled_anew", {{"worker", m_workerPresence.id()},
                                                {"clock_ms", answer.listing.clockMs},
                                                {"deadline_ms", m_lastPollDeadlineMs.value_or(0)},
                                                {"acknowledged", m_lastPollAcknowledged},
                                                {"runs", answer.listing.running.size()}});
    }

    // The agent seeks its next fence, perhaps for long if it is cut off from the store. Until the
    // worker has seen that fence, calls addressed to its earlier incarnation may start runs, and
    // only this agent can learn of them: their tasks are started elsewhere once the lease
    // has expired. The worker still takes calls with the fence before.
    void stopStrayRuns(const std::optional<platform_wire::hold_result> &answer, time_point sentAt,
                       time_point now)
    {
        if (answer && !m_workerPresence.isEarlierIncarnation(answer->workerStartMs)) {
            const auto outcome = m_workerPresence.handlePollAnswer(answer->workerStartMs, sentAt);
            if (outcome == worker_presence::poll_result::NewIncarnation)
                m_runTable.noteWorkerRestarted();
            stopRunsOfUnknownEpoch(answer->listing, now);
        }
        m_loop.runAfter(PollRetryDelay, [this] { pollWorker(); });
    }

    // Runs of the incarnation that the lease names go on: it wasn't a restart after all.
    void stopRunsOfUnknownEpoch(const run_listing &listing, time_point now)
    {
        if (lease().workerIncarnation() == m_workerPresence.incarnationName())
            return;
        m_runTable.applyListing(listing, now);
        m_runTable.stopAll(now);
        executeDueActions();
    }

    // The worker has answered a call with this fence, and refuses calls with an earlier one from
    // now on.
    void noteFenceSeen(std::int64_t fence, std::int64_t clockMs, time_point now)
    {
        if (std::exchange(m_fenceSeen, fence) == fence)
            return;
        const bool isNewIncarnation =
                lease().workerIncarnation() != m_workerPresence.incarnationName();
        if (!isNewIncarnation || !lease().hadIncarnation())
            return;
        if (!takesEarlierCalls()) {
            m_workerLiveness.noteReplaced(now);
            m_leaseKeeper.forgetEarlierCallsHold();
            return;
        }
        m_workerLiveness.noteNewIncarnation(now);
        m_earlierCallsUntilMs = clockMs + m_settings.longestHold.count();
        m_leaseKeeper.noteEarlierCallsHold(m_workerLiveness.earlierCallsHoldUntil());
        // The epoch waits until the runs that such calls started have ended, and its row with it.
        if (m_runTable.mayHaveRuns(now))
            m_leaseKeeper.renew();
    }

    // The worker has the id that the incarnation before had, as far as is known.
    bool takesEarlierCalls() const
    {
        const auto &id = m_workerPresence.id();
        const bool isAnother =
                !id.empty() && !lease().workerId().empty() && id != lease().workerId();
        return m_workerPresence.mayTakeEarlierCalls() && !isAnother;
    }

    // By each reading of the worker's clock, which stands while its machine is suspended.
    void noteEarlierCallsHold(std::int64_t clockMs, time_point now)
    {
        if (clockMs >= m_earlierCallsUntilMs)
            return;
        const auto until = now + milliseconds(m_earlierCallsUntilMs - clockMs);
        m_workerLiveness.noteEarlierCallsHold(until);
        m_leaseKeeper.noteEarlierCallsHold(until);
    }

    // Logs once when polls begin to fail and once when they are answered again.
    void logAnswering(bool isAnswered, const call_result &result)
    {
        if (isAnswered == m_workerLiveness.lastPollAnswered())
            return;
        if (isAnswered)
            return m_log.writeEvent("worker_answers", {{"worker", m_workerPresence.id()}});
        const auto *failure = std::get_if<call_failure>(&result);
        m_log.writeEvent("worker_unanswering", {{"worker", m_workerPresence.id()},
                                                {"why", failure ? nameOf(*failure) : "refused"},
                                                {"runs", m_runTable.activeRunCount()}});
    }

    // After a new fence was acquired: if the worker's incarnation is the one in the lease row, its
    // runs are kept. If it is another one, or a watcher has ended the epoch, all runs are stopped
    // before the new epoch begins.
    void settleEpoch(time_point now)
    {
        if (!m_workerPresence.isIncarnationKnown())
            return;
        m_leaseKeeper.noteWorkerId(m_workerPresence.id());
        if (m_leaseKeeper.observeWorker(m_workerPresence.incarnationName(),
                                        m_runTable.mayHaveRuns(now)))
            m_runTable.stopAll(now);
    }

    void handleIncarnationEnd(const char *reason)
    {
        m_log.writeEvent("worker_life_ended", {{"why", reason}, {"worker", m_workerPresence.id()}});
        m_metrics.count("worker_lives_ended_total", reason);
        m_runTable.noteWorkerRestarted();
        m_workerClock.reset();
        m_earlierCallsUntilMs = 0;
        if (m_workerPresence.mayTakeEarlierCalls()) {
            m_workerLiveness.noteNewIncarnation(suspendAwareNow());
        } else {
            m_workerLiveness.noteReplaced(suspendAwareNow());
            m_leaseKeeper.forgetEarlierCallsHold();
        }
        m_stopsStrayRuns = true;
        m_leaseKeeper.acquire(reason);
        m_loop.runAfter(PollRetryDelay, [this] { pollWorker(); });
    }

    // A worker that gets no calls ends all its runs when its last hold expires. Once that has
    // certainly happened, the runs count as ended.
    void checkSilence(time_point now)
    {
        if (!m_workerLiveness.hasNothingRunning(now)
            || (lease().isSettled() && m_runTable.activeRunCount() == 0))
            return;
        m_log.writeEvent("worker_silent", {{"runs", m_runTable.activeRunCount()}});
        m_metrics.count("worker_lives_ended_total", "silent");
        noteAllRunsEnded(m_workerPresence.incarnationName());
    }

    // --- The worker's announcements.

    void serveWorker(const http_request &request, const responder &respond)
    {
        if (const auto departedId = platform_wire::parseDeparture(request)) {
            respond({200, {}, ""});
            if (m_workerPresence.handleDeparture(*departedId, suspendAwareNow()))
                m_log.writeEvent("worker_departed", {{"worker", m_workerPresence.id()}});
            return;
        }
        const auto announcement = platform_wire::parseAnnouncement(request);
        if (!announcement)
            return respond({400, {}, R"({"error":"bad_request"})"});
        respond({200, {}, ""});
        if (announcement->service == m_settings.service)
            handleAnnouncement(*announcement);
    }

    void handleAnnouncement(const worker_announcement &announcement)
    {
        switch (m_workerPresence.handleAnnouncement(announcement)) {
        case worker_presence::change::None:
            break;
        case worker_presence::change::NewIncarnation:
            handleIncarnationEnd("announced_anew");
            break;
        case worker_presence::change::ReadinessChanged:
            m_log.writeEvent("worker_announced",
                             {{"worker", announcement.id},
                              {"leaving", announcement.isDraining ? "yes" : "no"}});
            m_reportSender.sendReports();
            break;
        }
    }

    void handleDepartureRefuted()
    {
        m_log.writeEvent("worker_stayed", {{"worker", m_workerPresence.id()}});
        m_reportSender.sendReports();
    }

    void handleDepartureConfirmed()
    {
        // The state of the lease is logged because it decides whether the end of the epoch can be
        // written at once.
        m_log.writeEvent("worker_gone",
                         {{"worker", m_workerPresence.id()},
                          {"runs", m_runTable.activeRunCount()},
                          {"lease_write_out", lease().isWritePending() ? "yes" : "no"},
                          {"lease", lease().holdsFence() ? "held" : "sought"}});
        m_workerClock.reset();
        // Polling goes on, because it may be the only way to notice a new incarnation of the
        // worker.
        noteAllRunsEnded("");
    }

    start_readiness readiness() const
    {
        const auto now = suspendAwareNow();
        const bool holdsLease = m_areCancelsRead && !m_runTable.mayHaveUnlistedRuns(now)
                                && lease().isSettled() && leaseCoversHold(now);
        return readinessOf({m_workerPresence.isPresent(), m_workerPresence.isLeaving(), holdsLease,
                            m_reportSender.isZoneEvacuated(now)},
                           m_workerLiveness, now);
    }

    // Runs that start now end with the lease. A run on a worker that calls to its earlier
    // incarnation hold for longer would go on beside the one that an entry starts elsewhere when
    // the lease has expired.
    bool leaseCoversHold(time_point now) const
    {
        return now < currentHoldLimit(now) && m_workerClock.isKnown()
               && m_workerLiveness.earlierCallsHoldUntil() <= lease().validUntil();
    }

    // --- Orders from entries.

    void serveInternal(http_request request, responder respond)
    {
        const auto path = request.path();
        if (path == "/metrics")
            return respond({200, {{"Content-Type", "text/plain"}}, metricsText()});
        if (path.starts_with(StoreRelayPath) && m_shutdown.hasGivenUp())
            return respond({503, {}, ""}); // 503: the call was not executed
        if (path.starts_with(StoreRelayPath))
            return m_store.relay(std::move(request), std::move(respond));
        if (path != "/v1/orders")
            return respond({404, {}, R"({"error":"unknown_path"})"});
        try {
            respond({200, {}, acceptOrders(orderBatchFrom(request.body))});
        } catch (const error &problem) {
            m_log.writeEvent("call_unreadable", {{"path", path}, {"why", problem.what()}});
            return respond({400, {}, R"({"error":"bad_request"})"});
        }
        executeDueActions();
    }

    std::string acceptOrders(const order_batch &batch)
    {
        const auto now = suspendAwareNow();
        m_reportSender.noteReportRequest(batch.owner);
        m_runTable.setWorkerState(m_workerPresence.lastAnnouncement().capacity, readiness());
        std::vector<order_answer> answers;
        for (const auto &order : batch.orders) {
            answers.push_back(m_runTable.handleOrder(order, batch.owner, now));
            const auto &answer = answers.back();
            m_metrics.count("orders_total", nameOf(answer.outcome));
            if (answer.outcome != order_outcome::Accepted) {
                m_log.writeEvent("order_refused", {{"task", toText(order.task)},
                                                   {"run", order.run},
                                                   {"outcome", nameOf(answer.outcome)}});
            }
        }
        return toText(answers);
    }

    // Executes the run table's due actions, and reports if there are new ends of runs.
    void executeDueActions()
    {
        noteSuspension();
        const auto now = suspendAwareNow();
        // Nothing is started on a worker that does not answer: each such call would postpone the
        // time at which all its runs have certainly ended. After a poll that failed, another
        // incarnation may take the call, which this agent would start again elsewhere.
        const bool canStart = leaseCoversHold(now) && m_workerLiveness.isIncarnationConfirmed(now);
        stopRunsThatOutlastTheLease(now);
        for (const auto &action : m_runTable.takeDueActions(now, canStart))
            std::visit([this](const auto &typedAction) { m_workerCalls.execute(typedAction); },
                       action);
        if (std::exchange(m_reportedEndCount, m_runTable.newEndCount()) != m_runTable.newEndCount())
            m_reportSender.sendEnds();
        // Entries place nothing here until a report says that all runs are claimed and that the
        // lease lets them start.
        const bool canTakeRuns = m_runTable.allRunsClaimed() && leaseCoversHold(now);
        if (!std::exchange(m_couldTakeRuns, canTakeRuns) && canTakeRuns)
            m_reportSender.sendReports();
    }

    // The worker's own hold ends with the lease, unless its machine was suspended meanwhile: its
    // clock stood then, and the store's did not.
    void stopRunsThatOutlastTheLease(time_point now)
    {
        const auto latestDeadline = m_workerClock.latestDeadline();
        if (!latestDeadline || m_runTable.activeRunCount() == 0)
            return;
        const auto heldUntil = std::max(*latestDeadline, m_workerLiveness.earlierCallsHoldUntil());
        if (!needsStopBeforeExpiry(heldUntil, lease().validUntil(), m_settings.stopTimeout, now)) {
            m_outlastsLeaseSince = Never;
            return;
        }
        m_outlastsLeaseSince = std::min(m_outlastsLeaseSince, now);
        const bool mayBeRenewed = now < lease().validUntil();
        if (mayBeRenewed && now - m_outlastsLeaseSince < RenewalAfterWake)
            return;
        if (!std::exchange(m_hasStoppedForLease, true)) {
            m_log.writeEvent("runs_outlast_lease",
                             {{"runs", m_runTable.activeRunCount()},
                              {"held_ms", millisecondsIn(heldUntil - now)},
                              {"lease_ms", millisecondsIn(lease().validUntil() - now)}});
        }
        m_runTable.stopAll(now);
    }

    // --- Cancelled jobs, read from the store.

    void applyCancels(const std::vector<row> &rows)
    {
        const auto now = suspendAwareNow();
        for (const auto &changedRow : rows) {
            if (changedRow.removed)
                continue; // the job ended long ago
            const int runs = m_runTable.cancelJob(changedRow.name.key, now);
            if (runs > 0)
                m_log.writeEvent("job_cancelled", {{"job", changedRow.name.key}, {"runs", runs}});
        }
        executeDueActions();
    }

    // --- Graceful shutdown.

    shutdown_driver::hooks shutdownHooks()
    {
        return {[this] { beginShutdown(); }, [this] { return remainingWork(); },
                [this](shutdown_step step) { executeStep(step); }};
    }

    // Logs what the end of the process cuts off, and how late its event loop was.
    void logStopped()
    {
        logConnections("internal", m_internalListener);
        logConnections("workers", m_workerListener);
        m_log.writeAlways("stopped",
                          {{"epoch", m_runTable.epoch()},
                           {"runs", m_runTable.activeRunCount()},
                           {"worker", m_workerPresence.isPresent() ? "present" : "absent"},
                           {"lease_write_out", lease().isWritePending() ? "yes" : "no"},
                           {"late_ms", millisecondsIn(m_loop.lateness())}});
    }

    void logConnections(const char *listenerName, const net::http_listener &listener)
    {
        const auto open = listener.activity();
        const auto &totals = listener.totals();
        m_log.writeAlways("connections_at_end", {{"listener", listenerName},
                                                 {"accepted", totals.accepted},
                                                 {"over_limit", totals.overLimit},
                                                 {"closed_unread", totals.closedUnread},
                                                 {"idle", open.idle},
                                                 {"unread", open.unread},
                                                 {"reading", open.reading},
                                                 {"answering", open.answering},
                                                 {"writing", open.writing}});
    }

    void beginShutdown()
    {
        m_log.writeAlways("drain_started",
                          {{"runs", m_runTable.activeRunCount()},
                           {"worker", m_workerPresence.isLeaving() ? "leaving" : "staying"},
                           {"stays", hasToStay() ? "yes" : "no"}});
        m_internalListener.announceClose();
        m_workerListener.announceClose();
    }

    remaining_work remainingWork()
    {
        if (m_shutdown.step() == shutdown_step::Finish)
            sendFinalRenewal();
        const bool hasOpenConnections =
                !m_internalListener.isDrained() || !m_workerListener.isDrained();
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
            // Relayed calls to the store are still unanswered. 502: they may have been executed.
            m_internalListener.answerAll({502, {}, ""});
            break;
        case shutdown_step::HandOver:
        case shutdown_step::End:
            break;
        }
    }

    // Renews the lease one last time, only up to the end of the worker's last hold. If the agent
    // never comes back, its worker's tasks can then start elsewhere as soon as possible. If it
    // does, its next incarnation renews the lease again.
    void sendFinalRenewal()
    {
        const auto grantedUntil = m_workerLiveness.heldUntil();
        if (grantedUntil && !lease().isWritePending() && !std::exchange(m_isFinalRenewalSent, true))
            m_leaseKeeper.renew(grantedUntil);
    }

    // Normally an agent can exit at once, because its next incarnation goes on with the active
    // runs. But when the worker leaves, the agent's instance ends with it. No other process would
    // then learn that all runs there have ended, and the tasks that were placed there would have to
    // wait until the lease expires. So the agent stays until the entries know, or the lease row
    // says so.
    bool hasToStay() const
    {
        return m_workerPresence.isGoingAway() || lease().hasUnwrittenEnd()
               || m_reportSender.isEpochAnnouncementOpen(suspendAwareNow())
               || m_runTable.hasEndsOfGoneWorker();
    }

    job_agent_settings m_settings;
    net::event_loop m_loop;
    event_log m_log;
    metrics m_metrics;
    traffic_meter m_traffic;
    net::http_client m_client;
    store_client m_store;
    table_follower m_entriesFollower;
    table_follower m_cancelsFollower;
    run_table m_runTable;
    throttle_controller m_throttleController;

    worker_presence m_workerPresence;
    worker_clock m_workerClock;
    suspension_meter m_suspensionMeter;
    // Until the cancellations are read, nothing is started: a delayed order could start a task of
    // a cancelled job.
    bool m_areCancelsRead = false;
    time_point m_outlastsLeaseSince = Never; // see stopRunsThatOutlastTheLease()
    bool m_hasStoppedForLease = false;       // logged once an epoch
    bool m_couldTakeRuns = false;            // when the table's due actions were last executed
    shutdown_driver m_shutdown;
    bool m_isFinalRenewalSent = false; // see sendFinalRenewal()

    lease_keeper m_leaseKeeper;
    report_sender m_reportSender;
    worker_liveness m_workerLiveness{suspendAwareNow(), m_settings.longestHold};
    worker_calls m_workerCalls;
    outage_probe m_outageProbe;

    std::size_t m_reportedEndCount = 0; // value of m_runTable.newEndCount() at the last report

    bool m_isPolling = false;
    bool m_stopsStrayRuns = false;          // see stopStrayRuns()
    std::int64_t m_fenceSeen = 0;           // the last one that the worker has answered
    std::int64_t m_earlierCallsUntilMs = 0; // worker's clock; see noteEarlierCallsHold(); 0: none
    // Worker's clock: until when the last poll lets runs continue; none: it extends nothing.
    std::optional<std::int64_t> m_lastPollDeadlineMs;
    std::int64_t m_lastPollAcknowledged = 0;
    bool m_keepsConnections = false; // the worker did not close the last poll's after its answer

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
