// Sections: settings of the components | on HTTP threads | on the actor's thread: events, actions
// of the request flow, membership, callbacks of the request flow

#include "app/request_actor.h"

#include <algorithm>
#include <charconv>

#include "app/header_names.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/json_member.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 32768;
constexpr milliseconds MaintenanceInterval{100}; // membership ticks and digests without news
// A digest with news waits this long, to include other news that arrives meanwhile.
constexpr milliseconds DigestDelay{10};
constexpr milliseconds RingFullPause{10};
constexpr milliseconds PublishInterval{500};
constexpr std::uint64_t RouterSeedStream = 7;

request::membership_settings membershipSettings(const config::entry_settings &settings,
                                                const process_identity &self)
{
    request::membership_settings out;
    out.entryId = self.id;
    out.incarnation = self.incarnation;
    out.minHeartbeatPeriod = std::max<milliseconds>(
            settings.announceTimeout / out.missedHeartbeatLimit, milliseconds(100));
    return out;
}

request::router_settings routerSettings(const config::entry_settings &settings)
{
    request::router_settings out;
    out.zone = settings.zone;
    out.region = settings.region;
    out.spillAboveLoad = settings.routing.spillThreshold;
    return out;
}

request::routing_policy routingPolicy(config::routing_policy policy)
{
    switch (policy) {
    case config::routing_policy::RoundRobin:
        return request::round_robin{};
    case config::routing_policy::LeastKnownLoad:
        return request::least_known_load{};
    case config::routing_policy::TwoChoices:
        break;
    }
    return request::two_choices{};
}

request::retry_budget_settings budgetSettings(const config::retry_settings &settings)
{
    request::retry_budget_settings out;
    out.retriesPerRequest = settings.budgetShare;
    out.minRetriesPerSecond = settings.minPerSecond;
    return out;
}

milliseconds remainingTime(const http_request &request, milliseconds defaultTime)
{
    const auto text = request.header(DeadlineHeader);
    if (text.empty())
        return defaultTime;
    std::int64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size() || value < 0)
        throw error(error_kind::BadRequest,
                    std::string(DeadlineHeader) + ": must be a whole number of milliseconds");
    return milliseconds(value);
}

} // namespace

void waiting_request::push(call_step step)
{
    const std::lock_guard lock(m_mutex);
    m_steps.push_back(std::move(step));
    m_stepAdded.notify_one();
}

call_step waiting_request::waitForStep()
{
    std::unique_lock lock(m_mutex);
    m_stepAdded.wait(lock, [this] { return !m_steps.empty(); });
    auto step = std::move(m_steps.front());
    m_steps.pop_front();
    return step;
}

request_actor::request_actor(actor_runtime &system, const config::entry_settings &settings,
                             const process_identity &self, platform_executor &claimsPlatform,
                             rpc_sender &sender, metrics &counters, const logger &log,
                             std::function<void(members_snapshot)> onMembersChanged,
                             std::function<Json::Value()> generationReport)
    : m_settings(settings)
    , m_self(self)
    , m_claimsPlatform(claimsPlatform)
    , m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_forwarder(settings.maxAnswerBytes)
    , m_onMembersChanged(std::move(onMembersChanged))
    , m_generationReport(std::move(generationReport))
    , m_membership(membershipSettings(settings, self))
    , m_router(routerSettings(settings), routingPolicy(settings.routing.policy),
               random_generator(self.incarnation, RouterSeedStream))
    , m_flow(
              self.fullId(), {}, [this](error_kind kind) { return consumeRetryBudget(kind); },
              [this](const std::string &id) { return isEntryAlive(id); })
{
    for (const auto &peer : settings.peers)
        m_peers.push_back({config::toText(peer), {}, 0, {}});
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); },
            tick_schedule{[this] { return nextTick(); }, [this] { tick(); }});
    m_actor->start();
}

request_actor::~request_actor() = default;

// --- On HTTP threads ----------------------------------------------------------------------------

http_response request_actor::serve(const http_request &request)
{
    const auto now = monotonic_clock::now();
    const auto target = splitTarget(request.target);
    auto waitingRequest = std::make_shared<waiting_request>(request);
    delivery::request_arrived arrived;
    arrived.id = m_self.fullId() + "-" + std::to_string(m_nextRequest++);
    arrived.service = target.service;
    arrived.method = request.method;
    arrived.path = target.pathAndQuery;
    arrived.team = request.header(TeamHeader);
    arrived.idempotencyKey = request.header(KeyHeader);
    arrived.bodyHash = stableHash(request.body);
    arrived.deadline = now + remainingTime(request, m_settings.defaultRequestDeadline);
    const std::string id = arrived.id;
    if (!m_actor->post(request_arrival{std::move(arrived), waitingRequest})) {
        m_metrics.count("refusals_total", "ring_full");
        return refusalAnswer(error_kind::Overloaded);
    }
    http_response lastAnswer;
    while (true) {
        const auto step = waitingRequest->waitForStep();
        if (const auto *answer = std::get_if<answer_step>(&step)) {
            m_metrics.observeMilliseconds("request_ms", std::chrono::duration<double, std::milli>(
                                                                monotonic_clock::now() - now)
                                                                .count());
            return finalAnswer(*answer, lastAnswer);
        }
        lastAnswer = forwardAndReport(*waitingRequest, id, std::get<forward_step>(step));
    }
}

http_response request_actor::forwardAndReport(const waiting_request &waitingRequest,
                                              const std::string &id, const forward_step &step)
{
    auto forwarded = m_forwarder.send(waitingRequest.request(), id, step.attempt, step.upstream,
                                      step.deadline, m_receiverThreads);
    if (forwarded.answer.stream) {
        auto head = forwarded.answer; // only the head; the body follows through the stream
        reportStreamedAnswer(id, step.attempt, std::move(forwarded));
        return head;
    }
    auto answer = std::move(forwarded.answer);
    reportEnd(id, step.attempt, std::move(forwarded));
    return answer;
}

// The start of the answer is reported first, then its end, by the thread that ends the stream.
void request_actor::reportStreamedAnswer(const std::string &id, std::uint32_t attempt,
                                         forwarded_attempt startedAttempt)
{
    if (!m_actor->post(delivery::answer_started{id, attempt, startedAttempt.answer.status}))
        m_metrics.count("ring_full_total", "answer_begun");
    const auto stream = std::move(startedAttempt.answer.stream);
    stream->observeEnd([this, id, attempt, startedAttempt = std::move(startedAttempt)](
                               body_end end, duration /*waited*/) {
        if (end)
            m_metrics.count("streams_cut_total", nameOf(*end));
        reportEnd(id, attempt, finishStreamedAttempt(startedAttempt, end));
    });
}

void request_actor::reportEnd(const std::string &id, std::uint32_t attempt,
                              forwarded_attempt forwarded)
{
    attempt_result attemptResult{{id, attempt, std::move(forwarded.outcome)},
                                 std::move(forwarded.routingResult)};
    // The ring holds more events than all requests in flight can post. If it were full
    // nevertheless, the request would end at its deadline.
    if (!m_actor->post(std::move(attemptResult)))
        m_metrics.count("ring_full_total", "attempt_ended");
}

http_response request_actor::finalAnswer(const answer_step &step,
                                         const http_response &lastAnswer) const
{
    if (const auto *refusal = std::get_if<delivery::refuse_request>(&step.answer))
        return refusalAnswer(refusal->kind, refusal->executionState, refusal->retryAfter);
    http_response answer;
    if (const auto *replay = std::get_if<delivery::replay_answer>(&step.answer)) {
        answer.status = replay->stored.status;
        for (const auto &[name, value] : replay->stored.headers)
            answer.headers[name] = value;
        answer.body = replay->stored.body.value_or("");
        answer.headers[ReplayedHeader] = "yes";
    } else {
        answer = lastAnswer;
        std::erase_if(answer.headers,
                      [](const auto &field) { return isReservedHeader(field.first); });
    }
    answer.headers[ExecutedHeader] = std::string(nameOf(executed::Yes));
    return answer;
}

Json::Value request_actor::announce(const Json::Value &parameters)
{
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(announce_received{parameters, reply});
    });
}

Json::Value request_actor::digest(const Json::Value &parameters)
{
    const auto message = request::digestFromJson(arrayMember(parameters, "digest"));
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(digest_received{message, reply});
    });
}

Json::Value request_actor::status()
{
    return postAndAwaitReply(
            [&](const reply_promise &reply) { return m_actor->post(status_requested{reply}); });
}

void request_actor::drain()
{
    while (!m_actor->post(delivery::flow_drain_started{}))
        std::this_thread::sleep_for(RingFullPause);
}

void request_actor::stop()
{
    m_receiverThreads.stop();
    m_actor->stop();
}

// --- On the actor's thread ----------------------------------------------------------------------

void request_actor::handle(event &newEvent)
{
    m_now = monotonic_clock::now();
    std::visit([this](auto &each) { on(each, m_now); }, newEvent);
}

void request_actor::on(request_arrival &newEvent, time_point now)
{
    const auto &service = newEvent.event.service;
    auto budget = m_retryBudgets.find(service);
    if (budget == m_retryBudgets.end() && m_router.upstreamCount(service) > 0)
        budget = m_retryBudgets.try_emplace(service, budgetSettings(m_settings.retry), now).first;
    if (budget != m_retryBudgets.end())
        budget->second.requestStarted(now);
    m_waitingRequests[newEvent.event.id] = newEvent.waitingRequest;
    m_serviceByRequest[newEvent.event.id] = service;
    feed(newEvent.event, now);
}

void request_actor::on(delivery::answer_started &newEvent, time_point now)
{
    feed(newEvent, now);
}

void request_actor::on(attempt_result &newEvent, time_point now)
{
    m_router.attemptEnded(newEvent.routing, now);
    const auto service = m_serviceByRequest.find(newEvent.event.id);
    m_retryService = service == m_serviceByRequest.end() ? std::string() : service->second;
    feed(newEvent.event, now);
}

void request_actor::on(delivery::claims_committed &newEvent, time_point now)
{
    feed(newEvent, now);
}

void request_actor::on(delivery::claims_read &newEvent, time_point now)
{
    feed(newEvent, now);
}

void request_actor::on(announce_received &newEvent, time_point now)
{
    m_nextMaintenanceAt = std::min(m_nextMaintenanceAt, now + DigestDelay);
    try {
        const bool isFullAnnouncement = newEvent.parameters.isMember("whole");
        const auto outcome =
                isFullAnnouncement
                        ? m_membership.handleMessage(
                                request::announcementFromJson(newEvent.parameters["whole"]), now)
                        : m_membership.handleMessage(
                                request::heartbeatFromJson(newEvent.parameters["beat"]), now);
        applyMembershipChanges(outcome.changes, now);
        newEvent.reply->set_value(toJson(outcome.reply));
    } catch (const error &) {
        m_metrics.count("announcements_refused_total", "bad_request");
        newEvent.reply->set_exception(std::current_exception());
    }
}

void request_actor::on(digest_received &newEvent, time_point now)
{
    m_nextMaintenanceAt = std::min(m_nextMaintenanceAt, now + DigestDelay);
    const auto outcome = m_membership.handleMessage(newEvent.message, now);
    applyMembershipChanges(outcome.changes, now);
    for (auto &peer : m_peers) {
        if (peer.id == newEvent.message.senderId) {
            peer.incarnation = std::max(peer.incarnation, newEvent.message.incarnation);
            peer.lastHeardAt = now;
        }
    }
    Json::Value reply(Json::objectValue);
    if (outcome.ack)
        reply["ack"] = toJson(*outcome.ack);
    reply["entry"] = m_self.id;
    reply["incarnation"] = Json::UInt64(m_self.incarnation);
    newEvent.reply->set_value(reply);
}

void request_actor::on(digest_answered &newEvent, time_point now)
{
    m_nextMaintenanceAt = std::min(m_nextMaintenanceAt, now + DigestDelay);
    const auto peer = std::find_if(m_peers.begin(), m_peers.end(), [&](const peer_entry &each) {
        return each.address == newEvent.peer;
    });
    try {
        if (!newEvent.ack) {
            m_metrics.count("digests_failed_total", "no_answer");
            return;
        }
        peer->id = stringMember(*newEvent.ack, "entry");
        peer->incarnation = countMember(*newEvent.ack, "incarnation");
        peer->lastHeardAt = now;
        if (newEvent.ack->isMember("ack")) {
            auto ack = request::digestAckFromJson((*newEvent.ack)["ack"]);
            // Membership tracks digests by the address that they were sent to.
            ack.senderId = newEvent.peer;
            m_membership.handleMessage(ack);
        }
    } catch (const error &) {
        m_metrics.count("digests_refused_total", "bad_request");
    }
}

void request_actor::on(status_requested &newEvent, time_point /*now*/)
{
    Json::Value status(Json::objectValue);
    status["entry"] = m_self.id;
    status["incarnation"] = Json::UInt64(m_self.incarnation);
    status["in_flight"] = Json::UInt64(m_flow.inFlight());
    status["draining"] = m_flow.isDraining();
    status["peers"] = Json::Value(Json::arrayValue);
    for (const auto &peer : m_peers)
        status["peers"].append(peer.address);
    status["refusals"] = Json::Value(Json::objectValue);
    for (const auto &[reason, count] : m_metrics.countsByReason("refusals_total"))
        status["refusals"][reason] = count;
    status["upstreams"] = Json::Value(Json::arrayValue);
    for (const auto &upstream : m_membership.routableUpstreams())
        status["upstreams"].append(toJson(upstream));
    newEvent.reply->set_value(status);
}

void request_actor::on(delivery::flow_drain_started &newEvent, time_point now)
{
    feed(newEvent, now);
}

// The request flow's deadlines are kept to the microsecond; maintenance and publishing wait until
// they are due.
time_point request_actor::nextTick() const
{
    return std::min({m_flow.nextWake(), m_nextMaintenanceAt, m_nextPublishAt});
}

void request_actor::tick()
{
    const auto now = monotonic_clock::now();
    m_now = now;
    if (m_flow.nextWake() <= now)
        feed(delivery::flow_tick{}, now);
    if (now >= m_nextMaintenanceAt)
        runMaintenance(now);
    if (now >= m_nextPublishAt)
        publishMembers(now);
}

void request_actor::runMaintenance(time_point now)
{
    m_nextMaintenanceAt = now + MaintenanceInterval;
    applyMembershipChanges(m_membership.tick(now), now);
    sendDigests(now);
}

void request_actor::feed(const delivery::flow_event &newEvent, time_point now)
{
    for (const auto &action : m_flow.handle(newEvent, now))
        std::visit([&](const auto &each) { perform(each, now); }, action);
}

void request_actor::perform(const delivery::choose_upstream &action, time_point now)
{
    const std::set<std::string> excluded(action.excluded.begin(), action.excluded.end());
    const auto decision = m_router.choose(action.service, excluded, now);
    if (const auto *kind = std::get_if<error_kind>(&decision)) {
        feed(delivery::no_upstream_available{action.id, *kind}, now);
        return;
    }
    const auto &chosen = std::get<request::route>(decision);
    m_routeByRequest[action.id] = chosen;
    feed(delivery::upstream_chosen{action.id, chosen.agentId}, now);
}

void request_actor::perform(const delivery::forward_request &action, time_point now)
{
    const auto &route = m_routeByRequest[action.id];
    m_router.attemptStarted(route, now);
    m_waitingRequests.at(action.id)->push(forward_step{action.attempt, route, action.deadline});
}

void request_actor::perform(const delivery::cancel_attempt &action, time_point /*now*/)
{
    Json::Value parameters(Json::objectValue);
    parameters["id"] = action.id;
    parameters["attempt"] = action.attempt;
    m_sender.call(m_routeByRequest[action.id].address, "cancel", parameters,
                  [](const std::optional<Json::Value> &) {});
}

void request_actor::perform(const delivery::answer_caller &action, time_point /*now*/)
{
    if (const auto *refusal = std::get_if<delivery::refuse_request>(&action.answer))
        m_metrics.count("refusals_total", nameOf(refusal->kind));
    else if (const auto *passedAnswer = std::get_if<delivery::pass_answer>(&action.answer);
             passedAnswer != nullptr && passedAnswer->isStreaming)
        m_metrics.count("answers_total", "streamed");
    else
        m_metrics.count("answers_total", "whole");
    m_waitingRequests.at(action.id)->push(answer_step{action.answer});
    m_waitingRequests.erase(action.id);
    m_serviceByRequest.erase(action.id);
    m_routeByRequest.erase(action.id);
}

void request_actor::perform(const delivery::commit_claims &action, time_point /*now*/)
{
    const bool queued = m_claimsPlatform.enqueue([this, action](platform_client &platform) {
        m_actor->post(delivery::claims_committed{action.transaction.operationId,
                                                 platform.commit(action.transaction)});
    });
    if (!queued)
        m_actor->post(delivery::claims_committed{action.transaction.operationId,
                                                 {write_outcome::Refused, 0, {}}});
}

void request_actor::perform(const delivery::read_claims &action, time_point /*now*/)
{
    readClaims(action.readId, action.keys, {});
}

void request_actor::perform(const delivery::scan_claims &action, time_point /*now*/)
{
    readClaims(action.readId, {}, {action.prefix});
}

void request_actor::readClaims(const std::string &readId, std::vector<std::string> keys,
                               std::vector<std::string> prefixes)
{
    const bool queued =
            m_claimsPlatform.enqueue([this, readId, keys = std::move(keys),
                                      prefixes = std::move(prefixes)](platform_client &platform) {
                const auto reading = platform.read(keys, prefixes);
                delivery::claims_read read{readId, reading.has_value(), {}};
                if (reading)
                    read.rows = reading->rows;
                m_actor->post(std::move(read));
            });
    if (!queued)
        m_actor->post(delivery::claims_read{readId, false, {}});
}

void request_actor::perform(const delivery::increment_counter &action, time_point /*now*/)
{
    m_metrics.count("flow_" + std::string(nameOf(action.counter)) + "_total",
                    action.kind ? nameOf(*action.kind) : "all", static_cast<double>(action.amount));
}

void request_actor::perform(const delivery::flow_drained &action, time_point /*now*/)
{
    if (action.recordsLost > 0)
        m_metrics.count("claim_records_lost_total", "drain",
                        static_cast<double>(action.recordsLost));
    m_isDrained = true;
}

void request_actor::applyMembershipChanges(const std::vector<request::membership_change> &changes,
                                           time_point now)
{
    for (const auto &change : changes) {
        m_router.apply(change, now);
        Json::Value fields(Json::objectValue);
        if (const auto *joined = std::get_if<request::upstream_joined>(&change)) {
            fields["agent"] = joined->upstream.agentId;
            m_log.info("upstream_joined", fields);
        } else if (const auto *left = std::get_if<request::upstream_left>(&change)) {
            fields["agent"] = left->agentId;
            fields["reason"] = std::string(nameOf(left->reason));
            m_log.info("upstream_left", fields);
        }
    }
    if (!changes.empty())
        m_nextPublishAt = std::min(m_nextPublishAt, now);
}

void request_actor::sendDigests(time_point now)
{
    for (const auto &peer : m_peers) {
        const auto digest = m_membership.digestFor(peer.address, now);
        if (!digest)
            continue;
        const auto address = peer.address;
        Json::Value digestParameters(Json::objectValue);
        digestParameters["digest"] = toJson(*digest);
        digestParameters["config"] = m_generationReport();
        const bool queued =
                m_sender.call(address, "digest", digestParameters,
                              [this, address](std::optional<Json::Value> ack) {
                                  m_actor->post(digest_answered{address, std::move(ack)});
                              });
        if (!queued)
            m_metrics.count("digests_failed_total", "ring_full");
    }
}

void request_actor::publishMembers(time_point now)
{
    m_nextPublishAt = now + PublishInterval;
    members_snapshot snapshot;
    snapshot.agents = m_membership.knownUpstreams();
    snapshot.liveEntries.push_back(m_self.id);
    for (const auto &peer : m_peers) {
        if (!peer.id.empty())
            snapshot.entryAddresses[peer.id] = peer.address;
        if (!peer.id.empty() && now - peer.lastHeardAt < m_settings.announceTimeout * 2)
            snapshot.liveEntries.push_back(peer.id);
    }
    m_onMembersChanged(std::move(snapshot));
}

bool request_actor::consumeRetryBudget(error_kind kind)
{
    const auto budget = m_retryBudgets.find(m_retryService);
    if (budget == m_retryBudgets.end())
        return false;
    request::failed_attempt failedAttempt;
    failedAttempt.kind = kind;
    // The request flow checks the request's deadline and number of attempts itself.
    failedAttempt.deadline = Never;
    const auto verdict = budget->second.requestRetry(failedAttempt, m_now);
    if (const auto *denied = std::get_if<request::give_up>(&verdict)) {
        m_metrics.count("retries_denied_total", nameOf(denied->denialReason));
        return false;
    }
    m_metrics.count("retries_total", nameOf(kind));
    return true;
}

bool request_actor::isEntryAlive(const std::string &entryFullId) const
{
    if (entryFullId == m_self.fullId())
        return true;
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const peer_entry &peer) {
        return process_identity{peer.id, peer.incarnation}.fullId() == entryFullId
               && m_now - peer.lastHeardAt < m_settings.announceTimeout * 2;
    });
}

} // namespace zinniabarrow
