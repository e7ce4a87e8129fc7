#include "standins/store_server.h"

#include <utility>

#include "app/job_tables.h"
#include "base/json.h"
#include "jobs/lease.h"
#include "platform/store_wire.h"
#include "standins/job_worker.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds FeedPollInterval{50};
constexpr int FeedPolls = 20; // of a request of the feed that waits for a change
// A connection whose answer got lost stays open without data for this long.
constexpr milliseconds LostConnectionTime{5000};
// A silent store holds many connections.
constexpr std::size_t ConnectionLimit = 4000;

net::listener_limits storeLimits()
{
    net::listener_limits limits;
    limits.connectionLimit = ConnectionLimit;
    limits.maxRequestBytes = 4 * 1024 * 1024;
    return limits;
}

} // namespace

store_server::store_server(net::event_loop &loop, const socket_address &address,
                           run_history &history)
    : m_loop(loop)
    , m_history(history)
    , m_listener(loop, address, storeLimits(), [this](http_request request, net::responder reply) {
        accept(std::move(request), std::move(reply));
    })
{ }

void store_server::loseWriteAnswers(int writeCount)
{
    m_writeAnswersToLose = writeCount;
}

void store_server::setUnavailable(bool isUnavailable)
{
    m_isUnavailable = isUnavailable;
}

void store_server::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    if (isSilent)
        return;
    for (auto &call : std::exchange(m_heldCalls, {}))
        serve(call.request, std::move(call.reply), 0);
}

void store_server::setDelay(milliseconds delay)
{
    m_delay = delay;
}

void store_server::loseAnswers(int interval)
{
    m_lostAnswerInterval = interval;
    m_answerCount = 0;
}

void store_server::atLeaseWrite(const std::string &lease, milliseconds answerDelay,
                                std::function<void()> onWrite)
{
    m_triggerLease = lease;
    m_triggeredDelay = answerDelay;
    m_onTrigger = std::move(onWrite);
}

void store_server::accept(http_request request, net::responder reply)
{
    if (m_isSilent) {
        m_heldCalls.push_back({std::move(request), std::move(reply)});
        return;
    }
    if (m_delay == milliseconds(0))
        return serve(request, std::move(reply), FeedPolls);
    m_loop.runAfter(m_delay, [this, request = std::move(request), reply = std::move(reply)] {
        serve(request, reply, FeedPolls);
    });
}

// Holds a request of the feed until there is a change, for `retriesLeft` polls at most.
void store_server::serve(const http_request &request, net::responder reply, int retriesLeft)
{
    const bool shouldWait =
            request.path() == "/-/rows-feed" && retriesLeft > 0 && !m_rows.hasChangesFor(request);
    if (!shouldWait)
        return finish(request, std::move(reply));
    m_loop.runAfter(FeedPollInterval, [this, request, reply, retriesLeft] {
        serve(request, reply, retriesLeft - 1);
    });
}

void store_server::finish(const http_request &request, net::responder reply)
{
    if (m_isUnavailable)
        return reply({503, {}, ""});
    auto answer = m_rows.serve(request, standinClockMs());
    const auto lease = leaseWrittenBy(request);
    if (request.path() == "/-/rows-tx" && answer.status == 200)
        recordWrites(request, lease);
    if (lease && lease->key == m_triggerLease) {
        m_triggerLease.clear();
        m_delayedLease = lease->key;
        m_delayedUntil = net::suspendAwareNow() + m_triggeredDelay;
        m_onTrigger();
    }
    const bool isWrite = request.path() == "/-/rows-tx" && answer.status == 200;
    if (isWrite && m_writeAnswersToLose > 0) {
        --m_writeAnswersToLose;
        return; // the connection ends with the last copy of the responder
    }
    if (m_lostAnswerInterval > 0 && ++m_answerCount % m_lostAnswerInterval == 0) {
        m_loop.runAfter(LostConnectionTime, [reply = std::move(reply)] {});
        return;
    }
    const auto now = net::suspendAwareNow();
    if (lease && lease->key == m_delayedLease && now < m_delayedUntil) {
        m_loop.runAfter(m_delayedUntil - now,
                        [reply = std::move(reply), answer = std::move(answer)] { reply(answer); });
        return;
    }
    reply(std::move(answer));
}

void store_server::recordWrites(const http_request &request,
                                const std::optional<written_lease> &lease)
{
    if (lease)
        m_history.recordLease(lease->key, lease->epoch);
    const auto body = parseJson(request.body);
    for (const auto &row : body["set-keys"]) {
        if (row["table"].asString() == CancelsTable)
            m_history.recordCancel(row["key"].asString());
    }
}

std::optional<store_server::written_lease> store_server::leaseWrittenBy(const http_request &request)
{
    if (request.path() != "/-/rows-tx")
        return std::nullopt;
    Json::Value rows(Json::objectValue);
    rows["rows"] = parseJson(request.body)["set-keys"];
    rows["more-pages"] = false;
    rows["ver"] = 0;
    const auto page = platform_wire::parseRowsResult(http_response{200, {}, compactJson(rows)});
    if (!page || page->rows.empty() || page->rows.front().name.table != LeasesTable)
        return std::nullopt;
    const auto &lease = page->rows.front();
    return written_lease{lease.name.key, jobs::leaseFrom(lease.value).epoch};
}

} // namespace zinniabarrow::standins
