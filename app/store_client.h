// Client of the platform's store, used for all of a process's store calls. Retries a write until
// its outcome is known, and relays calls through another process when the store does not answer
// this machine.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/store_meter.h"
#include "base/event_log.h"
#include "jobs/rows.h"
#include "net/http_client.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// A process relays calls under this path to the store for other processes.
constexpr const char *StoreRelayPath = "/v1/store";

class store_client
{
public:
    using commit_outcome = std::variant<jobs::committed, jobs::conflicting>;
    using commit_callback = std::function<void(commit_outcome)>;
    using read_callback = std::function<void(std::optional<jobs::row_page>)>;
    using feed_callback = std::function<void(std::optional<jobs::feed_page>)>;
    // Called when an answer begins to arrive; `bytes` is the declared length of its body, 0: none.
    using answer_begun_callback = std::function<void(std::uint64_t bytes)>;
    using relay_provider = std::function<std::vector<std::string>()>;

    // `relays` returns the internal addresses of processes that may be able to reach the store.
    store_client(net::event_loop &loop, net::http_client &client, std::string address,
                 relay_provider relays, metrics &counters, event_log &log);

    // Retries the identical write until it is known to have taken effect or to have failed its
    // condition. If the write took effect but its answer was lost, the result is `conflicting` and
    // contains the row as this process wrote it.
    void commit(jobs::row_transaction transaction, commit_callback done);
    // The same for a write with a deadline: the next try is sent when one was not answered for
    // OverlapDelay. A store that is back after a silent outage gets it sooner than by commit(),
    // which waits until the last try into the silence has timed out.
    void commitOverlapping(jobs::row_transaction transaction, commit_callback done);
    // Reads the rows of a partition with keys in [`from`, `to`); an empty bound is open. Tries
    // twice. The result is empty if the store answered neither try.
    void read(const std::string &table, const std::string &partition, const std::string &from,
              const std::string &to, read_callback done);
    // Reads all rows of a partition, page by page.
    void readAll(const std::string &table, const std::string &partition, read_callback done);
    // Long poll for changes of a table after version `after`; the store holds the answer for up to
    // `wait`, for less through a relay. An answer that is too large is reported as lost history
    // (historyExpired), so that the whole table is read again page by page.
    void pollFeed(const std::string &table, std::int64_t after, milliseconds wait,
                  answer_begun_callback onAnswerBegun, feed_callback done);

    // Relays another process's call. It goes directly to the store, never through a further relay.
    void relay(http_request request, std::function<void(http_response)> respond);

    store_meter &meter() { return m_meter; } // of all calls, by purpose and outcome

    // False once calls have failed for more than 500 ms.
    bool isReachable() const { return m_isReachable; }
    time_point lastAnswerAt() const { return m_lastAnswerAt; }
    // When calls were answered again after isReachable() was false for the last time; min: never.
    time_point regainedAt() const { return m_regainedAt; }

private:
    // A request to the store and what it is for.
    struct store_request
    {
        store_purpose purpose = store_purpose::Other;
        http_request request;
    };

    void send(store_request call, duration extraTimeout, answer_begun_callback onAnswerBegun,
              net::http_client::call_callback done);
    void sendTo(const std::string &peer, bool isDirect, store_request call, duration callTimeout,
                answer_begun_callback onAnswerBegun, net::http_client::call_callback done);
    // A write that is tried until its outcome is known. Only the latest try causes the next one.
    struct repeated_write
    {
        jobs::row_transaction transaction;
        commit_callback done; // empty once called
        bool mayOverlap = false;
        duration backoff{}; // before the next try
        int tries = 0;
    };
    void sendTry(const std::shared_ptr<repeated_write> &write);
    void repeatAfter(duration delay, const std::shared_ptr<repeated_write> &write);
    void handleTry(const std::shared_ptr<repeated_write> &write, int number,
                   const call_result &result);
    void readNextPage(std::string table, std::string partition, std::string from,
                      std::shared_ptr<jobs::row_page> collected, read_callback done);
    void recordAnswer(bool isDirect, const call_result &result, duration answerTime);
    bool sendsDirectly() const; // the next call goes to the store itself, not through a relay
    duration timeout() const;

    net::event_loop &m_loop;
    net::http_client &m_client;
    std::string m_address;
    relay_provider m_relays;
    metrics &m_metrics;
    event_log &m_log;
    store_meter m_meter;
    double m_averageAnswerMs = 12;   // moving average of answer times, in ms
    time_point m_avoidDirectUntil{}; // until then calls go through a relay, if there is one
    std::size_t m_nextRelay = 0;
    bool m_isReachable = true;
    time_point m_lastAnswerAt{};
    time_point m_regainedAt = time_point::min();
};

} // namespace zinniabarrow
