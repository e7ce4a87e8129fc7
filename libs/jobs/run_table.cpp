#include "jobs/run_table.h"

#include <algorithm>
#include <utility>

#include "jobs/lease.h"
#include "jobs/message_limits.h"
#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

namespace {

task_size reservedSizeOf(const run_requirements &requirements)
{
    return jobs::reservedSize(requirements.size, requirements.isBestEffort);
}

double coresOf(std::int64_t millicores)
{
    return static_cast<double>(millicores) / 1000;
}

} // namespace

run_table::run_table(const run_table_settings &settings)
    : m_settings(settings)
{ }

void run_table::setWorkerState(const task_size &capacity, start_readiness readiness)
{
    m_capacity = capacity;
    m_readiness = readiness;
}

void run_table::setEpoch(std::int64_t epoch)
{
    m_epoch = epoch;
}

void run_table::setAgentIncarnation(std::int64_t incarnation)
{
    m_agentIncarnation = incarnation;
}

void run_table::noteNewIncarnation(time_point now)
{
    m_unlistedRunsEndBy = now + durationOnSlowClock(m_settings.stopTimeout) + m_settings.stopMargin;
}

void run_table::clearRuns()
{
    std::erase_if(m_runs, [](const auto &entry) { return entry.second.phase != run_phase::Ended; });
    // The worker's next incarnation numbers its ends anew. If it were sent a number of an earlier
    // incarnation, it would forget ends that are not acknowledged yet.
    for (auto &[key, tracked] : m_runs)
        tracked.end.sequence = 0;
    m_highestEndSequence = 0;
    m_epoch = 0;
    m_unlistedRunsEndBy = {};
    m_mayHaveTerminating = false;
}

void run_table::noteWorkerRestarted()
{
    const bool mayBeTerminating = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        const auto &run = entry.second;
        return run.phase == run_phase::Stopping
               || (run.phase == run_phase::Starting && run.openStartCalls > 0);
    });
    clearRuns();
    m_mayHaveTerminating = mayBeTerminating;
}

void run_table::tracked_run::setOwner(const std::string &entry)
{
    owner = entry;
    reportsEndToAll = false;
}

// From now on the worker's list of ends says how it ends.
void run_table::tracked_run::noteStarted()
{
    lastStartEffectMs = 0;
    unlistedSinceMs = 0;
}

bool run_table::tracked_run::reportsEndOnlyTo(const std::string &entry) const
{
    return owner == entry && !reportsEndToAll;
}

bool run_table::tracked_run::reportsEndTo(const std::string &entry) const
{
    return owner.empty() || reportsEndToAll || owner == entry;
}

order_answer run_table::handleOrder(const run_order &order, const std::string &owner,
                                    time_point now)
{
    return order.kind == order_kind::Start ? start(order, owner, now) : stop(order, owner, now);
}

order_answer run_table::start(const run_order &order, const std::string &owner, time_point now)
{
    const run_key key{order.task, order.run};
    const auto answer = [&](order_outcome outcome) {
        return order_answer{order.task, order.run, outcome};
    };
    if (m_epoch == 0)
        return answer(order_outcome::NotReady);
    const auto known = m_runs.find(key);
    if (known != m_runs.end()) {
        if (known->second.phase == run_phase::Ended && !known->second.reportsEndOnlyTo(owner))
            ++m_newEndCount; // this owner has not received it
        known->second.isClaimed = true;
        known->second.setOwner(owner);
        known->second.requirements = order.requirements;
        known->second.wantsStartReport = order.wantsStartReport;
        known->second.startDeadline =
                std::max(known->second.startDeadline, startDeadline(order, now));
        return answer(order_outcome::Accepted);
    }
    // An order of an earlier epoch comes from an owner that was paused or unreachable. Its task may
    // run elsewhere by now, so that a start here would run it twice.
    if (order.epoch != m_epoch) {
        rememberRefusal(key, now);
        return answer(order_outcome::WrongEpoch);
    }
    // Any refusal for good would let the task be placed elsewhere.
    if (mayBeUnlisted(order, now))
        return answer(order_outcome::NotReady);
    if (isRefused(key) || isCancelled(order.task.job) || hasNewerRun(key))
        return answer(order_outcome::Superseded);
    if (m_readiness == start_readiness::Unavailable) {
        rememberRefusal(key, now);
        return answer(order_outcome::Draining);
    }
    if (m_readiness == start_readiness::RetryLater || mayHaveUnlistedRuns(now))
        return answer(order_outcome::NotReady);
    // An earlier incarnation of this agent may have reported that the run never starts, so that its
    // task may run elsewhere by now. This incarnation doesn't know of that report, and an order can
    // be in transit for seconds. Such a run never starts here, so its task need not wait until all
    // runs are claimed.
    if (order.agentIncarnation != 0 && order.agentIncarnation != m_agentIncarnation) {
        rememberRefusal(key, now);
        return answer(order_outcome::WrongAgentIncarnation);
    }
    // Free capacity is unknown until all runs are claimed. A run that was placed in this
    // incarnation and isn't in the table has not started, so its task need not wait here; without
    // the incarnation that isn't certain.
    const bool isCapacityKnown = allRunsClaimed();
    if (!isCapacityKnown && order.agentIncarnation == 0)
        return answer(order_outcome::NotReady);
    // No refusal is remembered: an order for the same run that arrives in time starts it.
    if (startDeadline(order, now) <= now)
        return answer(order_outcome::DeadlineExceeded);
    if (!isCapacityKnown || !hasRoom(order) || isAtStepLimit(order)) {
        rememberRefusal(key, now);
        return answer(order_outcome::NoRoom);
    }
    auto &tracked = m_runs[key];
    tracked.requirements = order.requirements;
    tracked.isClaimed = true;
    tracked.setOwner(owner);
    tracked.payload = order.payload;
    tracked.checkpoint = order.checkpoint;
    tracked.wantsStartReport = order.wantsStartReport;
    tracked.startDeadline = startDeadline(order, now);
    return answer(order_outcome::Accepted);
}

// A stop order doesn't say in which incarnation its run was placed.
bool run_table::mayBeUnlisted(const run_order &order, time_point now) const
{
    const bool isPlacedInThisIncarnation =
            order.agentIncarnation != 0 && order.agentIncarnation == m_agentIncarnation;
    return mayHaveUnlistedRuns(now) && !isPlacedInThisIncarnation;
}

time_point run_table::startDeadline(const run_order &order, time_point now) const
{
    const auto latest = now + m_settings.maxStartDelay;
    if (order.startDeadlineMs == 0)
        return latest;
    return std::min<time_point>(latest, time_point(milliseconds(order.startDeadlineMs)));
}

order_answer run_table::stop(const run_order &order, const std::string &owner, time_point now)
{
    const run_key key{order.task, order.run};
    const auto answer = [&](order_outcome outcome) {
        return order_answer{order.task, order.run, outcome, order_kind::Stop};
    };
    const auto known = m_runs.find(key);
    if (m_epoch == 0)
        return answer(order_outcome::NotReady);
    if (known == m_runs.end()) {
        rememberRefusal(key, now);
        return answer(mayBeUnlisted(order, now) ? order_outcome::NotReady
                                                : order_outcome::Superseded);
    }
    auto &tracked = known->second;
    tracked.setOwner(owner);
    // A stop doesn't give the run's size. The run stays unclaimed, so that nothing is started
    // beside it until it has ended. Otherwise a run that an earlier incarnation of the agent
    // started would count as using no capacity.
    stopRun(key, tracked, now);
    return answer(order_outcome::Accepted);
}

int run_table::cancelJob(const std::string &job, time_point now)
{
    m_cancelledJobs[job] = now + m_settings.cancelRetention;
    int stopped = 0;
    const task_id firstTask{job, 0, 0, 0};
    for (auto at = m_runs.lower_bound({firstTask, 0}); at != m_runs.end(); ++at) {
        auto &[key, tracked] = *at;
        if (key.first.job != job)
            break;
        stopped += stopRun(key, tracked, now) ? 1 : 0;
    }
    return stopped;
}

void run_table::startCalled(const task_id &task, int run, std::int64_t deadlineMs)
{
    const auto known = m_runs.find({task, run});
    if (known == m_runs.end())
        return;
    known->second.lastStartEffectMs = std::max(known->second.lastStartEffectMs, deadlineMs);
    known->second.unlistedSinceMs = 0;
    ++known->second.openStartCalls;
}

void run_table::startAnswered(const task_id &task, int run, start_answer answer, time_point now)
{
    const auto known = m_runs.find({task, run});
    if (known == m_runs.end())
        return;
    auto &tracked = known->second;
    if (answer == start_answer::Started)
        tracked.noteStarted(); // also if it is being stopped: its end will be listed
    if (answer == start_answer::Refused || answer == start_answer::NotExecuted)
        tracked.openStartCalls = std::max(0, tracked.openStartCalls - 1);
    // No call of a run that is being stopped was executed, and no further one will be sent.
    if (tracked.phase == run_phase::Stopping && tracked.lastStartEffectMs > 0
        && tracked.openStartCalls == 0)
        markNeverStarted(known->first, tracked);
    if (tracked.phase != run_phase::Starting)
        return;
    if (answer == start_answer::Started) {
        tracked.phase = run_phase::Running;
        tracked.startedAt = now;
    }
    // Another, unanswered call may have started the run, or may still do so. Only the worker's
    // list, read after the deadlines of the calls, proves that it never ran.
    if (answer == start_answer::Refused) {
        tracked.retryAt = Never;
        if (tracked.openStartCalls == 0)
            markNeverStarted(known->first, tracked);
    }
    if (answer == start_answer::NotExecuted)
        tracked.retryAt = now + m_settings.startRetryInterval;
}

void run_table::applyListing(const run_listing &listing, time_point now)
{
    if (std::exchange(m_mayHaveTerminating, false))
        noteNewIncarnation(now);
    for (const auto &listed : listing.running) {
        const run_key key{listed.task, listed.run};
        const auto known = m_runs.find(key);
        if (known == m_runs.end() && isRefused(key)) {
            m_strayRuns.insert(key);
            m_mayHaveTerminating = true; // it is stopped now
            continue;
        }
        auto &tracked = m_runs[key];
        if (known == m_runs.end())
            tracked.claimDeadline = now + m_settings.claimTimeout;
        if (tracked.phase == run_phase::Starting)
            tracked.phase = run_phase::Running;
        if (!tracked.startedAt)
            tracked.startedAt = now;
        tracked.noteStarted();
        if (listed.checkpoint.size() <= MaxCheckpointBytes)
            tracked.checkpoint = listed.checkpoint;
        tracked.measured = listed.measured;
        if (isCancelled(key.first.job))
            stopRun(key, tracked, now);
    }
    const auto previousHighest = m_highestEndSequence;
    for (const auto &end : listing.ended)
        applyEnd(end, previousHighest, now);
    for (auto &[key, tracked] : m_runs) {
        if (isProvedNeverStarted(tracked, listing.clockMs))
            markNeverStarted(key, tracked);
    }
}

// A run that was started is listed as active, is terminating, or is listed as ended. Only while it
// terminates is it in neither list: for stopTimeout at most, whether a call stopped it, another
// member of its gang ended, or its hold expired. So a run was never started if a list read after
// the last start call's deadline lacks it, and a list read stopTimeout later does as well.
bool run_table::isProvedNeverStarted(tracked_run &tracked, std::int64_t clockMs) const
{
    const bool mayHaveStarted =
            tracked.phase == run_phase::Starting || tracked.phase == run_phase::Stopping;
    if (!mayHaveStarted || tracked.lastStartEffectMs == 0 || clockMs <= tracked.lastStartEffectMs)
        return false;
    if (tracked.unlistedSinceMs == 0)
        tracked.unlistedSinceMs = clockMs;
    return clockMs - tracked.unlistedSinceMs
           >= (m_settings.stopTimeout + m_settings.stopMargin).count();
}

void run_table::markNeverStarted(const run_key &key, tracked_run &tracked)
{
    tracked.phase = run_phase::Ended;
    tracked.end = {0, key.first, key.second, end_kind::NeverStarted, ""};
    ++m_newEndCount;
}

// Ends the retries. If a call may still take effect, the worker's list decides later whether the
// run started.
void run_table::abandonStart(const run_key &key, tracked_run &tracked)
{
    tracked.retryAt = Never;
    if (tracked.openStartCalls == 0)
        markNeverStarted(key, tracked);
}

void run_table::stopAll(time_point now)
{
    for (auto &[key, tracked] : m_runs)
        stopRun(key, tracked, now);
}

// A run that the worker was never called for is never in either of its lists. If it were set to
// Stopping, it would count as active for ever, and the next epoch, which begins once no run is
// active, would never begin.
bool run_table::stopRun(const run_key &key, tracked_run &tracked, time_point now)
{
    if (tracked.phase == run_phase::Ended || tracked.phase == run_phase::Stopping)
        return false;
    if (tracked.phase == run_phase::Starting && tracked.openStartCalls == 0) {
        markNeverStarted(key, tracked);
        return true;
    }
    tracked.phase = run_phase::Stopping;
    tracked.retryAt = now;
    return true;
}

void run_table::noteOwnerSilent(const std::string &owner)
{
    for (auto &[key, tracked] : m_runs) {
        if (tracked.owner == owner)
            tracked.reportsEndToAll = true;
    }
}

void run_table::applyEnd(const run_end &end, std::int64_t previousHighest, time_point now)
{
    const run_key key{end.task, end.run};
    m_highestEndSequence = std::max(m_highestEndSequence, end.sequence);
    const auto known = m_runs.find(key);
    // This end was acknowledged before; the worker forgets it at the next poll. An end with a
    // higher sequence number than any in earlier listings is new, even if its run was refused.
    if (known == m_runs.end() && isRefused(key) && end.sequence <= previousHighest)
        return;
    auto &tracked = m_runs[key];
    if (tracked.phase != run_phase::Ended)
        ++m_newEndCount;
    // Of a run that an earlier incarnation of this agent started it isn't known when it failed.
    if (known != m_runs.end() && tracked.phase != run_phase::Ended)
        countFailures(tracked, end, now);
    tracked.phase = run_phase::Ended;
    tracked.end = end;
    if (end.checkpoint.size() > MaxCheckpointBytes)
        tracked.end.checkpoint.clear(); // the owner keeps the one before
    rememberRefusal(key, now);
}

void run_table::countFailures(const tracked_run &tracked, const run_end &end, time_point now)
{
    const bool hasServed = tracked.requirements.isLongRunning && tracked.startedAt
                           && now - *tracked.startedAt >= MinServingTime;
    if (end.endKind == end_kind::Done || hasServed)
        m_failures.recordSuccess();
    else if (end.endKind == end_kind::Failed)
        m_failures.recordFailure(end.task.job, now);
}

bool run_table::acknowledgeEnd(const run_end_id &end, time_point now)
{
    const auto known = m_runs.find({end.task, end.run});
    if (known == m_runs.end() || known->second.phase != run_phase::Ended
        || known->second.end.endKind != end.endKind)
        return false;
    rememberRefusal(known->first, now);
    m_runs.erase(known);
    return true;
}

bool run_table::noteNotOwned(const run_end_id &end, const std::string &owner)
{
    const auto known = m_runs.find({end.task, end.run});
    if (known == m_runs.end() || known->second.owner != owner)
        return false;
    return !std::exchange(known->second.reportsEndToAll, true);
}

std::vector<run_action> run_table::takeDueActions(time_point now, bool mayStart)
{
    std::vector<run_action> actions;
    // Stray runs are stopped each time they are listed. They are not added to m_runs: a run that
    // has ended meanwhile would count as active there for ever.
    for (const auto &[task, run] : std::exchange(m_strayRuns, {}))
        actions.emplace_back(stop_run{task, run});
    for (auto &[key, tracked] : m_runs) {
        if (!tracked.isClaimed && tracked.phase == run_phase::Running
            && now >= tracked.claimDeadline) {
            tracked.phase = run_phase::Stopping;
            tracked.retryAt = now;
        }
        if (tracked.retryAt > now)
            continue;
        if (tracked.phase == run_phase::Starting && now >= tracked.startDeadline)
            abandonStart(key, tracked);
        else if (tracked.phase == run_phase::Starting && mayStart) {
            tracked.retryAt = now + m_settings.startRetryInterval;
            actions.emplace_back(start_run{key.first, key.second, tracked.payload,
                                           tracked.checkpoint, tracked.startDeadline});
        }
        if (tracked.phase == run_phase::Stopping) {
            tracked.retryAt = now + m_settings.stopRetryInterval;
            actions.emplace_back(stop_run{key.first, key.second});
        }
    }
    std::erase_if(m_refusals, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    std::erase_if(m_cancelledJobs, [&](const auto &entry) { return entry.second <= now; });
    return actions;
}

std::int64_t run_table::acknowledgedThrough() const
{
    auto lowest = m_highestEndSequence + 1;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase == run_phase::Ended && tracked.end.sequence > 0)
            lowest = std::min(lowest, tracked.end.sequence);
    }
    return lowest - 1;
}

task_size run_table::used() const
{
    task_size sum;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase != run_phase::Ended)
            sum += reservedSizeOf(tracked.requirements);
    }
    return sum;
}

task_size run_table::usedByLongRunning() const
{
    task_size sum;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase != run_phase::Ended && tracked.requirements.isLongRunning)
            sum += reservedSizeOf(tracked.requirements);
    }
    return sum;
}

std::int64_t run_table::bestEffortMillicores() const
{
    std::int64_t sum = 0;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase != run_phase::Ended && tracked.requirements.isBestEffort)
            sum += tracked.requirements.size.millicores;
    }
    return sum;
}

bool run_table::allRunsClaimed() const
{
    return std::all_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        return entry.second.isClaimed || entry.second.phase == run_phase::Ended;
    });
}

bool run_table::acceptsStarts(start_readiness readiness) const
{
    return readiness == start_readiness::Ready && allRunsClaimed();
}

std::size_t run_table::activeRunCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [](const auto &entry) {
                return entry.second.phase != run_phase::Ended;
            }));
}

bool run_table::mayHaveRuns(time_point now) const
{
    return activeRunCount() > 0 || m_mayHaveTerminating || mayHaveUnlistedRuns(now);
}

bool run_table::awaitsListing() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        const auto &run = entry.second;
        return run.phase != run_phase::Ended && run.unlistedSinceMs > 0;
    });
}

bool run_table::hasEndsOfGoneWorker() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
        const auto &run = entry.second;
        // clearRuns() sets the sequence numbers of a gone worker's ends to 0.
        return run.phase == run_phase::Ended && run.end.sequence == 0
               && run.end.endKind != end_kind::NeverStarted;
    });
}

std::vector<serving_sample> run_table::servingSamples() const
{
    std::vector<serving_sample> samples;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase == run_phase::Running && tracked.requirements.latencyTargetMs > 0)
            samples.push_back({key.first, key.second, tracked.requirements.image, tracked.measured,
                               tracked.requirements.latencyTargetMs});
    }
    return samples;
}

std::vector<best_effort_run> run_table::bestEffortRuns() const
{
    std::vector<best_effort_run> runs;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase != run_phase::Running || !tracked.requirements.isBestEffort)
            continue;
        const auto requestedCores = coresOf(tracked.requirements.size.millicores);
        runs.push_back({key.first, key.second, tracked.requirements.image,
                        coresOf(tracked.measured), requestedCores, tracked.requirements.slackMs,
                        tracked.claimDeadline != time_point{}});
    }
    return runs;
}

bool run_table::setSlack(const run_slack &slack, const std::string &owner)
{
    const auto known = m_runs.find({slack.task, slack.run});
    if (known == m_runs.end() || known->second.phase == run_phase::Ended
        || known->second.owner != owner)
        return false;
    known->second.requirements.slackMs = slack.slackMs;
    return true;
}

bool run_table::hasEndsFor(const std::string &owner) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &entry) {
        return entry.second.phase == run_phase::Ended && entry.second.reportsEndTo(owner);
    });
}

std::vector<run_end> run_table::endsFor(const std::string &owner) const
{
    std::vector<run_end> ends;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase == run_phase::Ended && tracked.reportsEndTo(owner))
            ends.push_back(tracked.end);
    }
    return ends;
}

std::vector<run_progress> run_table::progressFor(const std::string &owner) const
{
    std::vector<run_progress> progress;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.phase == run_phase::Running && tracked.owner == owner
            && !tracked.checkpoint.empty())
            progress.push_back({key.first, key.second, tracked.checkpoint});
    }
    return progress;
}

std::vector<started_run> run_table::startsFor(const std::string &owner) const
{
    std::vector<started_run> runs;
    for (const auto &[key, tracked] : m_runs) {
        if (tracked.wantsStartReport && tracked.phase == run_phase::Running
            && tracked.owner == owner)
            runs.push_back({key.first, key.second});
    }
    return runs;
}

void run_table::noteStartsReported(const std::vector<started_run> &runs, const std::string &owner)
{
    for (const auto &run : runs) {
        const auto known = m_runs.find({run.task, run.run});
        if (known != m_runs.end() && known->second.owner == owner)
            known->second.wantsStartReport = false;
    }
}

void run_table::rememberRefusal(const run_key &key, time_point now)
{
    auto &taskRefusal = m_refusals[key.first];
    taskRefusal.upToRun = std::max(taskRefusal.upToRun, key.second);
    taskRefusal.expiresAt = now + m_settings.refusalRetention;
}

bool run_table::isRefused(const run_key &key) const
{
    const auto found = m_refusals.find(key.first);
    return found != m_refusals.end() && found->second.upToRun >= key.second;
}

bool run_table::hasNewerRun(const run_key &key) const
{
    const auto next = m_runs.upper_bound(key);
    return next != m_runs.end() && next->first.first == key.first;
}

bool run_table::isCancelled(const std::string &job) const
{
    return m_cancelledJobs.contains(job);
}

bool run_table::hasRoom(const run_order &order) const
{
    auto sum = used();
    sum += reservedSizeOf(order.requirements);
    return sum.fitsInto(m_capacity);
}

bool run_table::isAtStepLimit(const run_order &order) const
{
    const auto limit = order.requirements.maxPerWorker;
    if (limit == 0)
        return false;
    auto firstTask = order.task;
    firstTask.index = 0;
    int runs = 0;
    for (auto at = m_runs.lower_bound({firstTask, 0}); at != m_runs.end(); ++at) {
        const auto &task = at->first.first;
        if (task.job != order.task.job || task.occurrence != order.task.occurrence
            || task.step != order.task.step)
            break;
        runs += at->second.phase != run_phase::Ended ? 1 : 0;
    }
    return runs >= limit;
}

} // namespace zinniabarrow::jobs
