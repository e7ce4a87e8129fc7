// The one client of the platform's store: repeats a write until its outcome is known, and goes by
// way of another process when the store turns this machine away.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "jobs/rows.h"
#include "net/http_caller.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The path under which a process passes calls on to the store for another.
constexpr const char *StoreRelayPath = "/v1/store";

class store_client
{
public:
    using commit_outcome = std::variant<jobs::committed, jobs::conflicting>;
    using commit_callback = std::function<void(commit_outcome)>;
    using read_callback = std::function<void(std::optional<jobs::row_page>)>;
    using feed_callback = std::function<void(std::optional<jobs::feed_page>)>;
    using answer_begun_callback =
            std::function<void(std::uint64_t bytes)>; // of its body, where declared
    using relay_provider = std::function<std::vector<std::string>()>;

    // `relays` names the internal addresses of processes that may reach the store.
    store_client(net::event_loop &loop, net::http_caller &caller, std::string address,
                 relay_provider relays, metrics &counters, event_log &log);

    // Repeats the very same write until it is known to have taken effect or to be void. An answer
    // that was lost shows as `conflicting` with the writer's own row.
    void commit(jobs::row_transaction transaction, commit_callback done);
    // None: nobody could be asked; the caller asks again.
    void read(const std::string &table, const std::string &part, const std::string &from,
              const std::string &to, read_callback done);
    // All rows of a part, page after page.
    void readAll(const std::string &table, const std::string &part, read_callback done);
    // An answer that is too large to be taken asks for everything anew, page by page.
    void pollFeed(const std::string &table, std::int64_t after, milliseconds wait,
                  answer_begun_callback onAnswerBegun, feed_callback done);

    // Passes a call of another process on; never further than to the store itself.
    void relay(http_request request, std::function<void(http_response)> respond);

    bool isReachable() const { return m_isReachable; }
    time_point lastAnswerAt() const { return m_lastAnswerAt; }

private:
    void send(http_request request, duration extraTimeout, answer_begun_callback onAnswerBegun,
              net::http_caller::call_done done);
    void sendTo(const std::string &peer, bool isDirect, http_request request, duration callTimeout,
                answer_begun_callback onAnswerBegun, net::http_caller::call_done done);
    void tryCommit(std::shared_ptr<jobs::row_transaction> transaction, duration backoff,
                   commit_callback done);
    void readNextPage(std::string table, std::string part, std::string from,
                      std::shared_ptr<jobs::row_page> collected, read_callback done);
    void recordAnswer(bool isDirect, const call_result &result, duration answerTime);
    duration timeout() const;

    net::event_loop &m_loop;
    net::http_caller &m_caller;
    std::string m_address;
    relay_provider m_relays;
    metrics &m_metrics;
    event_log &m_log;
    double m_averageAnswerMs = 12;   // answer time, moving average
    time_point m_avoidDirectUntil{}; // the store itself is not asked before
    std::size_t m_nextRelay = 0;
    bool m_isReachable = true;
    time_point m_lastAnswerAt{};
};

} // namespace zinniabarrow
