#include "app/worker_calls.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"
#include "platform/worker_wire.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds CallTimeout{1000};
constexpr milliseconds StartAllowance{200}; // a worker starts a task within a few ms
constexpr milliseconds SampleInterval{500}; // the worker's measurements cover half a second
constexpr milliseconds SlowedLogInterval{3000};

} // namespace

worker_calls::worker_calls(const worker_calls_dependencies &dependencies, hooks callbacks)
    : m_address(dependencies.address)
    , m_client(dependencies.client)
    , m_leaseKeeper(dependencies.leaseKeeper)
    , m_workerPresence(dependencies.workerPresence)
    , m_workerClock(dependencies.workerClock)
    , m_workerLiveness(dependencies.workerLiveness)
    , m_runTable(dependencies.runTable)
    , m_throttleController(dependencies.throttleController)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_hooks(std::move(callbacks))
{ }

void worker_calls::execute(const start_run &start)
{
    // The time must be read here and not earlier: if the process was suspended after reading it,
    // the task could be started under an expired lease while it runs elsewhere. If the process is
    // suspended after this line, the deadline in the call prevents the start.
    const auto now = suspendAwareNow();
    const auto limit = m_hooks.holdLimit(now);
    if (now >= std::min(limit, start.callDeadline))
        return;
    const auto until = std::min<time_point>(limit, start.callDeadline + StartAllowance);
    const auto deadline = m_workerClock.millisecondsAt(until);
    m_workerLiveness.noteHold(until);
    m_workerClock.noteDeadline(deadline);
    m_runTable.startCalled(start.task, start.run, deadline);
    m_client.call(m_address,
                  platform_wire::makeStartRequest(m_workerPresence.id(), start, deadline,
                                                  lease().fence()),
                  CallTimeout,
                  [this, task = start.task, run = start.run](const call_result &result) {
                      handleStartResult(task, run, result);
                  });
}

void worker_calls::handleStartResult(const task_id &task, int run, const call_result &result)
{
    const auto answer = platform_wire::parseStartResult(result);
    if (answer != start_answer::Started) {
        const auto *response = std::get_if<http_response>(&result);
        m_metrics.count("starts_not_confirmed_total",
                        answer == start_answer::Refused ? "refused" : "unanswered");
        m_log.writeEvent("start_not_confirmed", {{"task", toText(task)},
                                                 {"run", run},
                                                 {"status", response ? response->status : 0},
                                                 {"answer", response ? response->body : "none"}});
    }
    m_runTable.startAnswered(task, run, answer, suspendAwareNow());
    m_hooks.tableChanged();
}

void worker_calls::execute(const stop_run &stop)
{
    m_client.call(m_address,
                  platform_wire::makeStopRequest(m_workerPresence.id(), stop, lease().fence()),
                  CallTimeout, [this](const call_result &result) {
                      if (!std::holds_alternative<http_response>(result))
                          m_metrics.count("stops_not_confirmed_total", "unanswered");
                  });
}

void worker_calls::adjustSpeeds(time_point now)
{
    const auto serving = m_runTable.servingSamples();
    const auto bestEffort = m_runTable.bestEffortRuns();
    if (now >= m_nextSampleAt) {
        m_nextSampleAt = now + SampleInterval;
        m_hooks.samplesTaken(m_throttleController.takeSamples(serving, bestEffort));
        const auto excesses = m_throttleController.spendSlack(serving, bestEffort, now);
        countLostTimes();
        logSlowedRuns(excesses, bestEffort, now);
    }
    const auto changes = m_throttleController.decideSpeeds(serving, bestEffort, now);
    for (const auto &change : changes) {
        m_metrics.count("paces_total", change.percent < 100 ? "slowed" : "full");
        m_client.call(m_address,
                      platform_wire::makeSpeedRequest(m_workerPresence.id(), change.task,
                                                      change.run, change.percent, lease().fence()),
                      CallTimeout, [this, change](const call_result &result) {
                          const auto *answer = std::get_if<http_response>(&result);
                          if (answer != nullptr && answer->status == 200)
                              m_throttleController.noteConfirmed(change);
                          else if (answer == nullptr)
                              m_throttleController.noteUnanswered(change, suspendAwareNow());
                      });
    }
}

void worker_calls::countLostTimes()
{
    for (const auto &[reason, lost] : m_throttleController.takeLostTimes())
        m_metrics.count("slowed_run_seconds_total", nameOf(reason),
                        std::chrono::duration<double>(lost).count());
}

void worker_calls::logSlowedRuns(const std::vector<headroom_excess> &excesses,
                                 const std::vector<best_effort_run> &bestEffort, time_point now)
{
    if (now < m_nextSlowedLogAt)
        return;
    int slowed = 0;
    const best_effort_run *slowest = nullptr;
    for (const auto &run : bestEffort) {
        const int percent = m_throttleController.slackPercent(run.task, run.run);
        slowed += percent < 100 ? 1 : 0;
        if (percent < 100
            && (slowest == nullptr
                || percent < m_throttleController.slackPercent(slowest->task, slowest->run)))
            slowest = &run;
    }
    if (slowest == nullptr)
        return;
    m_nextSlowedLogAt = now + SlowedLogInterval;
    double excess = 0;
    for (const auto &serving : excesses)
        excess = std::max(excess, serving.excess);
    m_log.writeEvent("run_slowed",
                     {{"why", nameOf(slowing_reason::Slack)},
                      {"runs", slowed},
                      {"of", bestEffort.size()},
                      {"serving", excesses.size()},
                      {"excess_percent", static_cast<std::int64_t>(100 * excess)},
                      {"task", toText(slowest->task)},
                      {"image", slowest->image},
                      {"percent", m_throttleController.slackPercent(slowest->task, slowest->run)},
                      {"slack_left_ms",
                       m_throttleController.slackLeft(slowest->task, slowest->run).count()}});
}

} // namespace zinniabarrow
