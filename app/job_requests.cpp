#include "app/job_requests.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "app/job_tables.h"
#include "base/errors.h"
#include "jobs/message_limits.h"
#include "jobs/messages.h"
#include "jobs/retry_delay.h"
#include "platform/caller_wire.h"

namespace zinniabarrow {

using namespace jobs;
using net::responder;
using net::suspendAwareNow;

namespace {

constexpr milliseconds PeerTimeout{350};                // of a call to another entry
constexpr const char *ForwardedHeader = "Zb-Passed-On"; // the entry that forwarded the request
// When this many entries could not take a request, the others are probably in the same state.
constexpr std::size_t MaxForwardAttempts = 3;
// A second placer has most probably not died at the same moment as the first.
constexpr std::size_t MaxPlacerAttempts = 2;
constexpr milliseconds AnswerTimeout{2600}; // below the callers' usual timeout of 3 s

// Whether the call was certainly not executed: it was not sent, or the other process says so by
// 503.
bool wasNotExecuted(const call_result &result)
{
    if (const auto *answer = std::get_if<http_response>(&result))
        return answer->status == 503;
    return !mayHaveArrived(std::get<call_failure>(result));
}

double millisecondsSince(time_point submittedAt)
{
    return std::chrono::duration<double, std::milli>(suspendAwareNow() - submittedAt).count();
}

// Whether the job's row contains this write, also if the answer to a first try was lost.
bool wasWritten(const store_client::commit_outcome &outcome, const std::string &write)
{
    if (std::holds_alternative<committed>(outcome))
        return true;
    const auto &rows = std::get<conflicting>(outcome).rows;
    return !rows.empty() && recordFrom(rows.front().value).writeId == write;
}

} // namespace

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

http_response makeRefusal(int status, const char *reason, seconds retryAfter)
{
    http_response answer{status, {}, std::string(R"({"error":")") + reason + "\"}"};
    if (status == 429 || status == 503)
        answer.headers["Retry-After"] = std::to_string(retryAfter.count());
    return answer;
}

job_requests::job_requests(std::string self, const job_requests_dependencies &dependencies,
                           hooks callbacks)
    : m_self(std::move(self))
    , m_loop(dependencies.loop)
    , m_client(dependencies.client)
    , m_store(dependencies.store)
    , m_configuration(dependencies.configuration)
    , m_directory(dependencies.directory)
    , m_view(dependencies.view)
    , m_jobController(dependencies.jobController)
    , m_writeCallbacks(dependencies.writeCallbacks)
    , m_shutdownPlan(dependencies.shutdownPlan)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_hooks(std::move(callbacks))
{ }

bool job_requests::isLeaving() const
{
    return m_shutdownPlan.has_value();
}

bool job_requests::hasGivenUp() const
{
    return m_shutdownPlan && m_shutdownPlan->hasGivenUp();
}

void job_requests::serve(http_request request, responder respond)
{
    const auto *queues = m_configuration.queues();
    if (queues == nullptr)
        return respond(countedRefusal(503, "no_configuration"));
    const auto currentFreshness = m_configuration.freshness();
    if (currentFreshness == configuration_freshness::Outdated)
        return respond(countedRefusal(503, "configuration_outdated"));
    const auto target = queues->find(request.header("Host"), request.path());
    if (!target && currentFreshness == configuration_freshness::PossiblyOutdated)
        return respond(countedRefusal(503, "queue_perhaps_newer"));
    if (!target)
        return respond(countedRefusal(404, "unknown_queue"));
    if (!m_jobController || !m_hooks.areJobsKnown())
        return respond(countedRefusal(503, "starting"));
    if (hasGivenUp())
        return answerImmediately(request, target->job, respond);
    const auto &policy = target->route->policy;
    if (target->job.empty() && request.method == "GET") {
        const auto waiting = m_view.countWaiting(policy.queue);
        return respond({200, {}, platform_wire::makeWaitingBody(waiting)});
    }
    if (target->job.empty())
        return respond(countedRefusal(400, "no_job_id"));
    if (request.method == "POST")
        return submit(target->job, policy, std::move(request), std::move(respond));
    if (request.method == "GET")
        return answerState(target->job, std::move(respond));
    if (request.method == "DELETE")
        return cancel(target->job, std::move(respond));
    respond(countedRefusal(405, "unknown_method"));
}

http_response job_requests::countedRefusal(int status, const char *reason, seconds retryAfter)
{
    m_metrics.count("refusals_total", reason);
    return makeRefusal(status, reason, retryAfter);
}

http_response job_requests::storeUnreachableRefusal()
{
    return countedRefusal(503, "store_unreachable",
                          suggestedRetryDelay(suspendAwareNow() - m_store.lastAnswerAt()));
}

void job_requests::submit(const std::string &id, const queue_policy &policy, http_request request,
                          responder respond)
{
    const auto *known = m_view.find(id);
    if (known != nullptr)
        return respond({200, {}, platform_wire::makeStateBody(known->summary.state)});
    // Submitted before, and its row is being written: the job can't be refused any more.
    if (m_jobController->owns(id))
        return accept(id, {}, policy, std::move(respond));
    if (isLeaving())
        return forwardToOtherEntry(std::move(request), std::move(respond));
    // The store is unreachable, so the job is refused at once, before a write is tried.
    if (!m_store.isReachable())
        return respond(logRefusal(id, storeUnreachableRefusal()));
    job_spec spec;
    try {
        spec = platform_wire::parseJobSpec(request.body);
    } catch (const error &problem) {
        m_log.writeEvent("job_refused", {{"job", id}, {"why", problem.what()}});
        return respond(countedRefusal(400, "bad_request"));
    }
    handOver(placersOf(id, spec, policy), id, spec, policy, std::move(respond));
}

// The entries to which the job is handed, in the order in which they are tried; empty: none.
std::vector<std::string> job_requests::placersOf(const std::string &id, const job_spec &spec,
                                                 const queue_policy &policy) const
{
    const auto now = suspendAwareNow();
    if (spec.hasLongRunningStep()) {
        auto placer = m_directory.placerOf(policy.service, now);
        return placer == m_self ? std::vector<std::string>{} : std::vector{std::move(placer)};
    }
    if (m_directory.isPlacer(now))
        return {};
    auto placers = m_directory.placersFor(id, now);
    if (placers.size() > MaxPlacerAttempts)
        placers.resize(MaxPlacerAttempts);
    return placers;
}

void job_requests::accept(const std::string &id, const job_spec &spec, const queue_policy &policy,
                          responder respond)
{
    auto answer = withTimeout(AnswerTimeout, std::move(respond));
    const auto token = m_writeCallbacks.add([this, answer,
                                             submittedAt = suspendAwareNow()](bool /*isStored*/) {
        // If it was not stored by this entry, another entry has stored the job already.
        m_metrics.observeMilliseconds("acceptance_milliseconds", millisecondsSince(submittedAt));
        answer({200, {}, ""});
    });
    if (m_jobController->owns(id))
        m_jobController->notifyWhenStored(id, token);
    else {
        m_log.writeEvent("job_submitted", {{"job", id}, {"queue", policy.queue}});
        m_jobController->submit(id, spec, policy, wallClockMs(), suspendAwareNow(), token);
    }
    m_hooks.onActionsReady();
}

// Jobs with long-running tasks are handed to one entry, which places all such tasks. If several
// entries placed them at the same time, they would choose the same free capacity, some of their
// orders would be refused, and each job would be scattered over many workers. An entry that is no
// placer hands all jobs over. Without a placer that takes the job, this entry accepts it.
void job_requests::handOver(std::vector<std::string> placers, const std::string &id,
                            const job_spec &spec, const queue_policy &policy, responder respond)
{
    const auto *next = placers.empty() ? nullptr : m_directory.find(placers.front());
    if (next == nullptr)
        return accept(id, spec, policy, std::move(respond));
    const auto placer = placers.front();
    placers.erase(placers.begin());
    http_request request;
    request.method = "POST";
    request.target = "/v1/jobs/" + id;
    request.body = toText(forwarded_job{newRecord(spec, policy, wallClockMs()), spec.payload});
    m_client.call(next->row.internalAddress, std::move(request), PeerTimeout,
                  [this, placer, placers = std::move(placers), id, spec, policy,
                   respond = std::move(respond)](const call_result &result) {
                      const auto *answer = std::get_if<http_response>(&result);
                      const bool isTaken = answer != nullptr && answer->status == 200;
                      m_log.writeEvent(
                              "job_handed_over",
                              {{"job", id}, {"to", placer}, {"taken", isTaken ? "yes" : "no"}});
                      if (isTaken)
                          return respond({200, {}, ""});
                      // This is safe even if the placer may have accepted the job: a job's row is
                      // created only once, and the second entry to try finds the existing row.
                      m_metrics.count("jobs_not_handed_over_total", "placer_silent");
                      handOver(placers, id, spec, policy, respond);
                  });
}

void job_requests::acceptHandedOver(const std::string &id, const std::string &body,
                                    responder respond)
{
    if (m_view.find(id) != nullptr)
        return respond({200, {}, ""});
    if (!m_hooks.areJobsKnown() || isLeaving() || !m_store.isReachable())
        return respond(makeRefusal(503, "not_now"));
    const auto job = forwardedJobFrom(body);
    accept(id, specOf(job), job.record.policy, std::move(respond));
}

http_response job_requests::logRefusal(const std::string &id, http_response answer)
{
    m_log.writeEvent("job_refused", {{"job", id}, {"status", answer.status}, {"why", answer.body}});
    return answer;
}

// Returns a responder that passes on the first answer only. If there is none within `timeout`, the
// outcome is unknown and 504 is sent.
responder job_requests::withTimeout(milliseconds timeout, responder respond)
{
    auto pendingResponder = std::make_shared<responder>(std::move(respond));
    const auto answer = [pendingResponder](http_response response) {
        if (*pendingResponder)
            std::exchange(*pendingResponder, nullptr)(std::move(response));
    };
    m_loop.runAfter(timeout, [this, answer, pendingResponder] {
        if (*pendingResponder)
            answer(countedRefusal(504, "outcome_unknown"));
    });
    return answer;
}

// A leaving entry accepts no new jobs. It forwards the unchanged request to an entry that stays.
void job_requests::forwardToOtherEntry(http_request request, responder respond)
{
    // A forwarded request is not forwarded again: two leaving entries that do not know of each
    // other's shutdown would send it back and forth.
    if (!request.header(ForwardedHeader).empty())
        return refuseAsLeaving(request, respond);
    request.headers[ForwardedHeader] = m_self;
    auto candidates = m_directory.placersFor(request.path(), suspendAwareNow());
    if (candidates.size() > MaxForwardAttempts)
        candidates.resize(MaxForwardAttempts);
    tryForward(std::move(candidates), std::move(request), std::move(respond));
}

// Sends the request to the first candidate. Goes on to the next one only if the request was
// certainly not executed.
void job_requests::tryForward(std::vector<std::string> candidates, http_request request,
                              responder respond)
{
    const auto timeout =
            std::min<duration>(AnswerTimeout, m_shutdownPlan->answerDeadline() - suspendAwareNow());
    const auto *next = candidates.empty() ? nullptr : m_directory.find(candidates.front());
    // No candidate is left, or not enough time to wait for its answer.
    if (next == nullptr || timeout < PeerTimeout)
        return refuseAsLeaving(request, respond);
    m_metrics.count("requests_passed_on_total", "leaving");
    m_log.writeEvent("request_passed_on", {{"path", request.path()}, {"to", candidates.front()}});
    candidates.erase(candidates.begin());
    auto copy = request;
    m_client.call(next->row.callersAddress, std::move(copy), timeout,
                  [this, candidates = std::move(candidates), request = std::move(request),
                   respond = std::move(respond)](call_result result) mutable {
                      if (wasNotExecuted(result))
                          return tryForward(std::move(candidates), std::move(request),
                                            std::move(respond));
                      auto *answer = std::get_if<http_response>(&result);
                      if (answer == nullptr)
                          return respond(countedRefusal(504, "outcome_unknown"));
                      answer->headers.erase("Connection");
                      answer->headers.erase("Content-Length");
                      respond(std::move(*answer));
                  });
}

// Answers from what this entry knows, when the shutdown leaves no time to wait for anything.
void job_requests::answerImmediately(const http_request &request, const std::string &id,
                                     const responder &respond)
{
    const auto *known = m_view.find(id);
    if (known != nullptr && request.method != "DELETE")
        return respond({200, {}, platform_wire::makeStateBody(known->summary.state)});
    if (m_jobController->owns(id))
        return respond(countedRefusal(504, "outcome_unknown"));
    refuseAsLeaving(request, respond);
}

void job_requests::refuseAsLeaving(const http_request &request, const responder &respond)
{
    m_log.writeEvent("request_refused", {{"path", request.path()}, {"why", "leaving"}});
    respond(countedRefusal(503, "leaving"));
}

void job_requests::answerState(const std::string &id, responder respond)
{
    if (m_jobController->owns(id))
        return respond({200, {}, platform_wire::makeStateBody(m_jobController->storedState(id))});
    const auto *known = m_view.find(id);
    if (known != nullptr && isFinal(known->summary.state))
        return respond({200, {}, platform_wire::makeStateBody(known->summary.state)});
    const auto *owner = known == nullptr ? nullptr : m_directory.find(known->summary.owner.entry);
    if (owner == nullptr || !m_directory.isAlive(known->summary.owner.entry, suspendAwareNow()))
        return answerStoredState(id, std::move(respond));
    http_request request;
    request.target = "/v1/jobs/" + id;
    m_client.call(owner->row.internalAddress, std::move(request), PeerTimeout,
                  [this, id, respond](call_result result) {
                      auto *answer = std::get_if<http_response>(&result);
                      if (answer != nullptr && answer->status == 200)
                          return respond({200, {}, std::move(answer->body)});
                      answerStoredState(id, respond);
                  });
}

void job_requests::answerStoredState(const std::string &id, responder respond)
{
    readJob(id, [this, id, respond](const std::optional<row_page> &page) {
        if (page && page->rows.empty() && !m_jobController->owns(id))
            return respond({410, {}, R"({"error":"unknown_job"})"});
        const auto *known = m_view.find(id);
        if (known != nullptr)
            return respond({200, {}, platform_wire::makeStateBody(known->summary.state)});
        // The store did not answer, so the job may exist.
        respond(storeUnreachableRefusal());
    });
}

void job_requests::readJob(const std::string &id, store_client::read_callback done)
{
    m_store.read(JobsTable, partitionOfJob(id), id, id + "\x01",
                 [this, done = std::move(done)](const std::optional<row_page> &page) {
                     if (page)
                         m_hooks.handleRows(page->rows);
                     done(page);
                 });
}

void job_requests::cancel(const std::string &id, responder respond)
{
    auto answer = withTimeout(AnswerTimeout, std::move(respond));
    if (m_jobController->owns(id))
        return cancelOwned(id, answer);
    const auto *known = m_view.find(id);
    const auto *owner = known == nullptr ? nullptr : m_directory.find(known->summary.owner.entry);
    if (owner == nullptr || !m_directory.isAlive(known->summary.owner.entry, suspendAwareNow()))
        return cancelInStore(id, answer, earlier_cancel::None);
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + id;
    m_client.call(owner->row.internalAddress, std::move(request), PeerTimeout,
                  [this, id, answer](const call_result &result) {
                      const auto *response = std::get_if<http_response>(&result);
                      if (response != nullptr && response->status == 200)
                          return answer({200, {}, ""});
                      const bool isRefused = wasNotExecuted(result)
                                             || (response != nullptr && response->status == 404);
                      cancelInStore(id, answer,
                                    isRefused ? earlier_cancel::None : earlier_cancel::Unknown);
                  });
}

void job_requests::cancelOwned(const std::string &id, const responder &respond)
{
    const auto token = m_writeCallbacks.add([this, id, respond](bool isStored) {
        if (isStored)
            return respond({200, {}, ""});
        cancelInStore(id, respond, earlier_cancel::Unknown);
    });
    m_jobController->cancel(id, token);
    m_hooks.onActionsReady();
}

// Used when the owner can't be asked. Marks the job as cancelled in its row, where the owner, or
// the entry that takes over, reads it.
void job_requests::cancelInStore(const std::string &id, const responder &respond,
                                 earlier_cancel earlier)
{
    readJob(id, [this, id, respond, earlier](const std::optional<row_page> &page) {
        if (!page) {
            return respond(earlier == earlier_cancel::None
                                   ? storeUnreachableRefusal()
                                   : countedRefusal(504, "outcome_unknown"));
        }
        if (page->rows.empty())
            return respond({410, {}, R"({"error":"unknown_job"})"});
        const auto &storedRow = page->rows.front();
        job_record record;
        try {
            record = recordFrom(storedRow.value);
        } catch (const error &problem) {
            m_log.writeEvent("job_not_cancelled", {{"job", id}, {"why", problem.what()}});
            return respond(earlier == earlier_cancel::None
                                   ? countedRefusal(503, "job_row_unreadable")
                                   : countedRefusal(504, "outcome_unknown"));
        }
        if (isFinal(record.state()))
            return respond({200, {}, ""});
        record.cancelled = true;
        record.writeId = m_self + ":cancel:" + std::to_string(m_nextCancel++);
        m_store.commit({{{storedRow.name, storedRow.version}},
                        {{storedRow.name, toTextWithin(record, MaxRowBytes), 0, false},
                         {summaryRowName(id), toText(summaryOf(record)), 0, false},
                         newCancelRow(id)},
                        {}},
                       [this, id, respond,
                        write = record.writeId](const store_client::commit_outcome &outcome) {
                           if (wasWritten(outcome, write))
                               return respond({200, {}, ""});
                           cancelInStore(id, respond, earlier_cancel::Unknown);
                       });
    });
}

void job_requests::serveOwnedJob(const http_request &request, const std::string &id,
                                 responder respond)
{
    if (request.method == "POST")
        return acceptHandedOver(id, request.body, std::move(respond));
    if (!m_jobController->owns(id))
        return respond(makeRefusal(404, "not_owned"));
    if (request.method == "DELETE")
        return cancelOwned(id, respond);
    respond({200, {}, platform_wire::makeStateBody(m_jobController->storedState(id))});
}

} // namespace zinniabarrow
