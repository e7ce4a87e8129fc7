// Tests of store_client and table_follower with rows that are large for the network link.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "app/store_client.h"
#include "app/table_follower.h"
#include "base/event_log.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "runtime/metrics.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

// How the simulated store sends the answer of a feed.
struct slow_link
{
    milliseconds initialDelay{0}; // from the request to the first byte
    int partCount = 1;            // of the answer, all of the same size
    milliseconds betweenParts{0};
    std::size_t valueBytes = 0; // length of the row's value, in base64
};

// A store with one row, which it sends in answer to each feed request. Serves one connection after
// another, as the follower opens them.
class slow_store
{
public:
    explicit slow_store(const slow_link &link)
        : m_link(link)
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        require(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        require(::listen(m_listener, 16) == 0);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serveAll(); });
    }

    ~slow_store()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    slow_store(const slow_store &) = delete;
    slow_store &operator=(const slow_store &) = delete;

    std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }
    int begunFeeds() const { return m_begunFeeds; }

private:
    void serveAll()
    {
        for (;;) {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            while (serveOne(connection))
                continue;
            ::close(connection);
        }
    }

    bool serveOne(int connection)
    {
        std::string request;
        char byte = 0;
        while (!request.ends_with("\r\n\r\n")) {
            if (::recv(connection, &byte, 1, 0) != 1)
                return false;
            request += byte;
        }
        if (!request.starts_with("GET /-/rows-feed"))
            return send(connection, head(EmptyTable.size()) + EmptyTable);
        ++m_begunFeeds;
        std::this_thread::sleep_for(m_link.initialDelay);
        return sendSlowly(connection, feedBody());
    }

    std::string feedBody() const
    {
        return R"({"rows":[{"table":"op","part":"","key":"config","value":")"
               + std::string(m_link.valueBytes, 'A') + R"(","ver":2}],"ver":2,"now-ms":1})";
    }

    bool sendSlowly(int connection, const std::string &body) const
    {
        const auto answer = head(body.size()) + body;
        const auto size = answer.size() / static_cast<std::size_t>(m_link.partCount) + 1;
        for (std::size_t from = 0; from < answer.size(); from += size) {
            if (from > 0)
                std::this_thread::sleep_for(m_link.betweenParts);
            if (!send(connection, answer.substr(from, size)))
                return false;
        }
        return true;
    }

    static std::string head(std::size_t bytes)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", bytes);
    }

    static bool send(int connection, const std::string &bytes)
    {
        for (std::size_t from = 0; from < bytes.size();) {
            const auto sent =
                    ::send(connection, bytes.data() + from, bytes.size() - from, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            from += static_cast<std::size_t>(sent);
        }
        return true;
    }

    inline static const std::string EmptyTable = R"({"rows":[],"more-pages":false,"ver":1})";

    slow_link m_link;
    int m_listener;
    int m_port = 0;
    std::atomic<int> m_begunFeeds{0};
    std::thread m_thread;
};

struct follow_result
{
    std::size_t bytes = 0; // size of the row that was received; 0: none
    int feeds = 0;         // number of feeds that the store had begun to answer until then
};

// Follows the table until its row was received, or until the store has begun to answer more than
// `maxFeeds` feeds.
follow_result follow(const slow_link &link, int maxFeeds)
{
    slow_store store(link);
    net::event_loop loop;
    net::http_client httpClient(loop);
    metrics counters;
    event_log log("entry", "e");
    store_client client(
            loop, httpClient, store.address(), [] { return std::vector<std::string>{}; }, counters,
            log);
    follow_result result;
    table_follower follower(loop, client, log, {"op"}, [&](const std::vector<jobs::row> &rows) {
        if (rows.empty())
            return;
        result.bytes = rows.back().value.size();
        result.feeds = store.begunFeeds();
        loop.stop();
    });
    follower.start();
    loop.runEvery(milliseconds(10), [&] {
        if (store.begunFeeds() > maxFeeds)
            loop.stop();
    });
    loop.run([](const std::exception &) {});
    // Once the row was received, the follower has sent the next feed request.
    if (result.bytes == 0)
        result.feeds = store.begunFeeds();
    return result;
}

} // namespace

// Guards against an entry on a slow link that keeps using an old configuration. A version with many
// routes is written, and the long poll begins to answer late in its wait. If the answer had to
// arrive within the rest of the call's timeout, it would be cut off, requested again from its first
// byte, and cut off again as long as the link is slow.
Test(large_rows, slowly_arriving_answer_is_read_once)
{
    section("the answer begins late in the wait", [] {
        const auto received = follow({milliseconds(900), 12, milliseconds(60), 350'000}, 1);
        check(received.bytes == 262'500);
        check(received.feeds == 1);
    });
    section("the answer takes longer than an answer of usual size may take", [] {
        const auto received = follow({milliseconds(0), 40, milliseconds(50), 1'260'000}, 1);
        check(received.bytes == 945'000);
        check(received.feeds == 1);
    });
}

// Guards against a configuration that is larger than the largest answer that store_client accepts:
// each read would be refused, and the entry would never get a new version.
Test(large_rows, a_configuration_of_20000_routes_is_taken)
{
    const auto received = follow({milliseconds(0), 1, milliseconds(0), 5'080'000}, 1);
    check(received.bytes == 3'810'000);
    check(received.feeds == 1);
}
