#include "app/store_client.h"

#include <algorithm>
#include <utility>

#include "platform/store_wire.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

// A call times out after this many times the average answer time. Answer times of an idle store
// vary by a factor of two, and each late answer of a slow store raises the average.
constexpr double TimeoutFactor = 8;
constexpr milliseconds MinTimeout{150};
constexpr milliseconds MaxTimeout{1500};
// After a failed direct call, calls go through a relay for this long, if there is one.
constexpr milliseconds DirectBackoff{400};
constexpr milliseconds OverlapDelay{500};  // longer than a slow store takes to answer
constexpr milliseconds InitialBackoff{40}; // before a write is retried; doubles with each retry
constexpr milliseconds MaxBackoff{500};
constexpr milliseconds MaxRelayedWait{1000}; // of a feed's answer, so that a relay can leave soon
constexpr milliseconds RelayAllowance{150};  // added to the timeout for the additional hop
// Longest pause while an answer arrives. After a longer loss of the link the rest of the answer
// will not come.
constexpr milliseconds MaxStall{1500};
// Longest time for the rest of an answer once it has begun. After a longer time its changes are no
// longer in the store's history.
constexpr milliseconds MaxTransferTime{20'000};
// Enough for one row with 60,000 routes, or for the changes of about 20 s in the largest fleet.
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;

void ignoreAnswerBegun(std::uint64_t /*bytes*/) { }

// No answer, or one that says that the store did not execute the call, or that a relay got no
// answer.
bool isStoreFailure(const call_result &result)
{
    const auto *answer = std::get_if<http_response>(&result);
    return answer == nullptr || answer->status == 503 || answer->status == 429
           || answer->status == 502;
}

std::string_view failureName(const call_result &result)
{
    if (const auto *answer = std::get_if<http_response>(&result))
        return answer->status == 429 ? "turned_away_429" : "turned_away_503";
    return nameOf(std::get<call_failure>(result));
}

} // namespace

store_client::store_client(net::event_loop &loop, net::http_client &client, std::string address,
                           relay_provider relays, metrics &counters, event_log &log)
    : m_loop(loop)
    , m_client(client)
    , m_address(std::move(address))
    , m_relays(std::move(relays))
    , m_metrics(counters)
    , m_log(log)
    , m_lastAnswerAt(net::suspendAwareNow())
{ }

duration store_client::timeout() const
{
    const auto adaptiveTimeout = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(m_averageAnswerMs * TimeoutFactor));
    return std::clamp(adaptiveTimeout, MinTimeout, MaxTimeout);
}

void store_client::recordAnswer(bool isDirect, const call_result &result, duration answerTime)
{
    const bool hasFailed = isStoreFailure(result);
    if (hasFailed)
        m_metrics.count("store_failures_total", failureName(result));
    const auto now = net::suspendAwareNow();
    if (isDirect && hasFailed)
        m_avoidDirectUntil = now + DirectBackoff;
    if (hasFailed) {
        // Gives a slow store more time with each failure, up to MaxTimeout.
        m_averageAnswerMs = std::min(m_averageAnswerMs * 1.5,
                                     static_cast<double>(MaxTimeout.count()) / TimeoutFactor);
        if (m_isReachable && now - m_lastAnswerAt > milliseconds(500)) {
            m_isReachable = false;
            m_log.writeEvent("store_lost", {{"reason", failureName(result)}});
        }
        return;
    }
    const auto answerMs = std::chrono::duration<double, std::milli>(answerTime).count();
    m_averageAnswerMs += 0.1 * (answerMs - m_averageAnswerMs);
    m_lastAnswerAt = now;
    if (!m_isReachable) {
        m_isReachable = true;
        m_regainedAt = now;
        m_log.writeEvent("store_regained", {{"way", isDirect ? "direct" : "relayed"}});
    }
}

void store_client::sendTo(const std::string &peer, bool isDirect, store_request call,
                          duration callTimeout, answer_begun_callback onAnswerBegun,
                          net::http_client::call_callback done)
{
    const auto sentAt = net::suspendAwareNow();
    // The answer time of a long poll tells nothing about the store's speed.
    const bool isLongPoll = callTimeout > timeout() + RelayAllowance;
    // Time until the answer begins. The time for the rest depends on its size and on the link.
    auto answerTime = std::make_shared<duration>(milliseconds(5));
    net::large_call_options limits{{callTimeout, MaxStall, callTimeout + MaxTransferTime},
                                   MaxAnswerBytes};
    limits.onHead = [sentAt, isLongPoll, answerTime,
                     onAnswerBegun = std::move(onAnswerBegun)](std::uint64_t bytes) {
        if (!isLongPoll)
            *answerTime = net::suspendAwareNow() - sentAt;
        onAnswerBegun(bytes);
    };
    const auto sentBytes = call.request.target.size() + call.request.body.size();
    m_client.call(peer, std::move(call.request), std::move(limits),
                  [this, isDirect, answerTime, sentBytes, purpose = call.purpose,
                   done = std::move(done)](call_result result) {
                      const auto *answer = std::get_if<http_response>(&result);
                      m_meter.record(purpose, storeOutcomeOf(result), sentBytes,
                                     answer == nullptr ? 0 : answer->body.size());
                      recordAnswer(isDirect, result, *answerTime);
                      done(std::move(result));
                  });
}

bool store_client::sendsDirectly() const
{
    return net::suspendAwareNow() >= m_avoidDirectUntil || m_relays().empty();
}

// One try, directly or through a relay, whichever is expected to work.
void store_client::send(store_request call, duration extraTimeout,
                        answer_begun_callback onAnswerBegun, net::http_client::call_callback done)
{
    if (sendsDirectly())
        return sendTo(m_address, true, std::move(call), timeout() + extraTimeout,
                      std::move(onAnswerBegun), std::move(done));
    const auto relays = m_relays();
    const auto &peer = relays[m_nextRelay++ % relays.size()];
    m_metrics.count("store_calls_relayed_total", "sent");
    call.request.target = StoreRelayPath + call.request.target;
    sendTo(peer, false, std::move(call), timeout() + extraTimeout + RelayAllowance,
           std::move(onAnswerBegun), std::move(done));
}

void store_client::commit(row_transaction transaction, commit_callback done)
{
    sendTry(std::make_shared<repeated_write>(
            repeated_write{std::move(transaction), std::move(done), false, InitialBackoff}));
}

void store_client::commitOverlapping(row_transaction transaction, commit_callback done)
{
    sendTry(std::make_shared<repeated_write>(
            repeated_write{std::move(transaction), std::move(done), true, InitialBackoff}));
}

void store_client::sendTry(const std::shared_ptr<repeated_write> &write)
{
    const int number = ++write->tries;
    send({purposeOf(write->transaction), platform_wire::makeCommitRequest(write->transaction)}, {},
         ignoreAnswerBegun,
         [this, write, number](const call_result &result) { handleTry(write, number, result); });
    if (write->mayOverlap)
        repeatAfter(OverlapDelay, write);
}

// Does nothing if the outcome is known or a later try was sent by then.
void store_client::repeatAfter(duration delay, const std::shared_ptr<repeated_write> &write)
{
    m_loop.runAfter(delay, [this, write, number = write->tries] {
        if (write->done && write->tries == number)
            sendTry(write);
    });
}

void store_client::handleTry(const std::shared_ptr<repeated_write> &write, int number,
                             const call_result &result)
{
    if (!write->done)
        return;
    const auto parsed = platform_wire::parseCommitResult(result);
    if (const auto *success = std::get_if<committed>(&parsed))
        return std::exchange(write->done, {})(*success);
    if (const auto *conflict = std::get_if<conflicting>(&parsed))
        return std::exchange(write->done, {})(*conflict);
    m_metrics.count("store_writes_repeated_total", failureName(result));
    if (number != write->tries)
        return;
    repeatAfter(write->backoff, write);
    write->backoff = std::min<duration>(write->backoff * 2, MaxBackoff);
}

void store_client::read(const std::string &table, const std::string &partition,
                        const std::string &from, const std::string &to, read_callback done)
{
    const store_request request{purposeOfRead(table),
                                platform_wire::makeRowsRequest(table, partition, from, to)};
    send(request, {}, ignoreAnswerBegun,
         [this, request, done = std::move(done)](const call_result &result) {
             if (auto page = platform_wire::parseRowsResult(result))
                 return done(std::move(page));
             // Second try; it goes through a relay if the direct call failed and there is one.
             send(request, {}, ignoreAnswerBegun, [done](const call_result &retryResult) {
                 done(platform_wire::parseRowsResult(retryResult));
             });
         });
}

void store_client::readAll(const std::string &table, const std::string &partition,
                           read_callback done)
{
    readNextPage(table, partition, "", std::make_shared<row_page>(), std::move(done));
}

void store_client::readNextPage(std::string table, std::string partition, std::string from,
                                std::shared_ptr<row_page> collected, read_callback done)
{
    read(table, partition, from, "",
         [this, table, partition, collected, done = std::move(done)](std::optional<row_page> page) {
             if (!page)
                 return done(std::nullopt);
             if (collected->version == 0)
                 collected->version = page->version;
             for (auto &pageRow : page->rows)
                 collected->rows.push_back(std::move(pageRow));
             if (!page->hasMore || collected->rows.empty())
                 return done(std::move(*collected));
             // Continues with the first key after the last one that was read.
             readNextPage(table, partition,
                          collected->rows.back().name.key + std::string(1, '\x01'), collected,
                          done);
         });
}

void store_client::pollFeed(const std::string &table, std::int64_t after, milliseconds wait,
                            answer_begun_callback onAnswerBegun, feed_callback done)
{
    const auto limitedWait = sendsDirectly() ? wait : std::min(wait, MaxRelayedWait);
    send({purposeOfRead(table), platform_wire::makeFeedRequest(table, after, limitedWait.count())},
         limitedWait, std::move(onAnswerBegun),
         [done = std::move(done)](const call_result &result) {
             const auto *failure = std::get_if<call_failure>(&result);
             if (failure != nullptr && *failure == call_failure::TooLarge)
                 return done(feed_page{{}, 0, true});
             auto page = platform_wire::parseFeedResult(result);
             const auto *answer = std::get_if<http_response>(&result);
             // The same call would bring the same page: the table is read anew, row by row.
             if (!page && answer != nullptr && answer->status == 200)
                 page = feed_page{{}, 0, true};
             done(std::move(page));
         });
}

void store_client::relay(http_request request, std::function<void(http_response)> respond)
{
    request.target = request.target.substr(std::string(StoreRelayPath).size());
    request.headers.clear();
    m_metrics.count("store_calls_relayed_total", "carried");
    sendTo(m_address, true, {store_purpose::Relay, std::move(request)}, MaxTimeout + MaxRelayedWait,
           ignoreAnswerBegun, [respond = std::move(respond)](call_result result) {
               if (auto *answer = std::get_if<http_response>(&result)) {
                   answer->headers.clear();
                   return respond(std::move(*answer));
               }
               // 503: the call was not executed. 502: it may have been.
               const bool mayHaveExecuted = mayHaveArrived(std::get<call_failure>(result));
               respond({mayHaveExecuted ? 502 : 503, {}, ""});
           });
}

} // namespace zinniabarrow
