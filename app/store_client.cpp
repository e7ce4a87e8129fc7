#include "app/store_client.h"

#include <algorithm>
#include <utility>

#include "platform/store_wire.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

// An answer is late when it takes this many times the usual: answers vary by a factor of two at
// rest, and a slow store raises the usual time with each late answer.
constexpr double LateFactor = 8;
constexpr milliseconds ShortestTimeout{150};
constexpr milliseconds LongestTimeout{1500};
// After a failure the store itself is left alone for this long where another way exists.
constexpr milliseconds AvoidDirect{400};
constexpr milliseconds FirstPause{40}; // before a write is repeated; doubles
constexpr milliseconds LongestPause{500};
constexpr milliseconds RelayExtra{150}; // for the hop
// Between two parts of an answer; a link that is lost for longer has lost the answer.
constexpr milliseconds LongestStall{1500};
// For the rest of an answer once it has begun. What takes longer has left the store's history.
constexpr milliseconds WholeAnswer{20'000};
// One row of 60,000 routes, or the changes of some 20 s on the largest fleet.
constexpr std::size_t LargestAnswer = 16 * 1024 * 1024;

void nobodyAsks(std::uint64_t /*bytes*/) { }

bool turnedAway(const call_result &result)
{
    const auto *answer = std::get_if<http_response>(&result);
    return answer == nullptr || answer->status == 503 || answer->status == 429
           || answer->status == 502;
}

std::string_view wordFor(const call_result &result)
{
    if (const auto *answer = std::get_if<http_response>(&result))
        return answer->status == 429 ? "turned_away_429" : "turned_away_503";
    return nameOf(std::get<call_failure>(result));
}

} // namespace

row_store::row_store(net::event_loop &loop, net::http_caller &caller, std::string address,
                     relay_list relays, metrics &numbers, event_log &log)
    : m_loop(loop)
    , m_caller(caller)
    , m_address(std::move(address))
    , m_relays(std::move(relays))
    , m_metrics(numbers)
    , m_log(log)
    , m_lastAnswerAt(net::suspendAwareNow())
{ }

duration row_store::timeout() const
{
    const auto late = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double, std::milli>(m_usualMs * LateFactor));
    return std::clamp(late, ShortestTimeout, LongestTimeout);
}

void row_store::noteAnswer(bool direct, const call_result &result, duration took)
{
    const bool failed = turnedAway(result);
    if (failed)
        m_metrics.count("store_failures_total", wordFor(result));
    const auto now = net::suspendAwareNow();
    if (direct && failed)
        m_directFrom = now + AvoidDirect;
    if (failed) {
        // A store that is slow rather than silent is given more time with each late answer.
        m_usualMs =
                std::min(m_usualMs * 1.5, static_cast<double>(LongestTimeout.count()) / LateFactor);
        if (m_reachable && now - m_lastAnswerAt > milliseconds(500)) {
            m_reachable = false;
            m_log.note("store_lost", {{"reason", wordFor(result)}});
        }
        return;
    }
    const auto tookMs = std::chrono::duration<double, std::milli>(took).count();
    m_usualMs += 0.1 * (tookMs - m_usualMs);
    m_lastAnswerAt = now;
    if (!m_reachable) {
        m_reachable = true;
        m_log.note("store_regained", {{"way", direct ? "direct" : "relayed"}});
    }
}

void row_store::sendTo(const std::string &peer, bool direct, http_request request, duration within,
                       answer_begun begun, net::http_caller::call_done done)
{
    const auto sentAt = net::suspendAwareNow();
    const bool waits = within > timeout() + RelayExtra; // a feed's answer time says nothing
    // Until the answer begins: how long the rest takes is a matter of its size and of the link.
    auto took = std::make_shared<duration>(milliseconds(5));
    net::large_call how{{within, LongestStall, within + WholeAnswer}, LargestAnswer};
    how.begun = [sentAt, waits, took, begun = std::move(begun)](std::uint64_t bytes) {
        if (!waits)
            *took = net::suspendAwareNow() - sentAt;
        begun(bytes);
    };
    m_caller.call(peer, std::move(request), std::move(how),
                  [this, direct, took, done = std::move(done)](call_result result) {
                      noteAnswer(direct, result, *took);
                      done(std::move(result));
                  });
}

// One try, by the way that seems to work.
void row_store::send(http_request request, duration extra, answer_begun begun,
                     net::http_caller::call_done done)
{
    const auto relays = m_relays();
    const bool direct = relays.empty() || net::suspendAwareNow() >= m_directFrom;
    if (direct)
        return sendTo(m_address, true, std::move(request), timeout() + extra, std::move(begun),
                      std::move(done));
    const auto &peer = relays[m_nextRelay++ % relays.size()];
    m_metrics.count("store_calls_relayed_total", "sent");
    request.target = StoreRelayPath + request.target;
    sendTo(peer, false, std::move(request), timeout() + extra + RelayExtra, std::move(begun),
           std::move(done));
}

void row_store::commit(row_transaction transaction, commit_done done)
{
    tryCommit(std::make_shared<row_transaction>(std::move(transaction)), FirstPause,
              std::move(done));
}

void row_store::tryCommit(std::shared_ptr<row_transaction> transaction, duration pause,
                          commit_done done)
{
    send(platform_wire::commitRequest(*transaction), {}, nobodyAsks,
         [this, transaction, pause, done = std::move(done)](const call_result &result) mutable {
             const auto written = platform_wire::commitResult(result);
             if (const auto *yes = std::get_if<committed>(&written))
                 return done(*yes);
             if (const auto *no = std::get_if<conflicting>(&written))
                 return done(*no);
             m_metrics.count("store_writes_repeated_total", wordFor(result));
             const auto next = std::min<duration>(pause * 2, LongestPause);
             m_loop.after(pause, [this, transaction, next, done = std::move(done)]() mutable {
                 tryCommit(transaction, next, std::move(done));
             });
         });
}

void row_store::read(const std::string &table, const std::string &part, const std::string &from,
                     const std::string &to, read_done done)
{
    const auto request = platform_wire::rowsRequest(table, part, from, to);
    send(request, {}, nobodyAsks,
         [this, request, done = std::move(done)](const call_result &result) {
             if (auto page = platform_wire::rowsResult(result))
                 return done(std::move(page));
             // Once more, by the other way where there is one.
             send(request, {}, nobodyAsks,
                  [done](const call_result &second) { done(platform_wire::rowsResult(second)); });
         });
}

void row_store::readAll(const std::string &table, const std::string &part, read_done done)
{
    readPages(table, part, "", std::make_shared<row_page>(), std::move(done));
}

void row_store::readPages(std::string table, std::string part, std::string from,
                          std::shared_ptr<row_page> sofar, read_done done)
{
    read(table, part, from, "",
         [this, table, part, sofar, done = std::move(done)](std::optional<row_page> page) {
             if (!page)
                 return done(std::nullopt);
             if (sofar->version == 0)
                 sofar->version = page->version;
             for (auto &one : page->rows)
                 sofar->rows.push_back(std::move(one));
             if (!page->hasMore || sofar->rows.empty())
                 return done(std::move(*sofar));
             // The first key after the last one that was read.
             readPages(table, part, sofar->rows.back().name.key + std::string(1, '\x01'), sofar,
                       done);
         });
}

void row_store::feed(const std::string &table, std::int64_t after, milliseconds wait,
                     answer_begun begun, feed_done done)
{
    send(platform_wire::feedRequest(table, after, wait.count()), wait, std::move(begun),
         [done = std::move(done)](const call_result &result) {
             const auto *failure = std::get_if<call_failure>(&result);
             if (failure != nullptr && *failure == call_failure::TooLarge)
                 return done(feed_page{{}, 0, true});
             done(platform_wire::feedResult(result));
         });
}

void row_store::relay(http_request request, std::function<void(http_response)> respond)
{
    request.target = request.target.substr(std::string(StoreRelayPath).size());
    request.headers.clear();
    m_metrics.count("store_calls_relayed_total", "carried");
    // As long as any caller waits: a feed holds its answer for up to a second.
    sendTo(m_address, true, std::move(request), LongestTimeout + milliseconds(1000), nobodyAsks,
           [respond = std::move(respond)](call_result result) {
               if (auto *answer = std::get_if<http_response>(&result)) {
                   answer->headers.clear();
                   return respond(std::move(*answer));
               }
               // 503 says that nothing was done, 502 that it may have been.
               const bool sent = mayHaveArrived(std::get<call_failure>(result));
               respond({sent ? 502 : 503, {}, ""});
           });
}

} // namespace zinniabarrow
