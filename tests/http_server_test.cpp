// Tests of http_server: clients that stall may occupy its threads for a limited time only, and a
// stop answers the requests that have arrived.
#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "keep_alive_caller.h"
#include "runtime/http.h"
#include "runtime/http_connection.h"
#include "section.h"
#include "stalled_callers.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr milliseconds WaitLimit{30'000};             // upper limit of waits; no test measures it
constexpr std::size_t LargeAnswer = 32 * 1024 * 1024; // more than the kernel buffers for the server

// A server that counts its connection events.
class counting_server
{
public:
    explicit counting_server(http_server_limits limits)
        : m_server(
                {"127.0.0.1", 0}, limits,
                [](const http_request &request) {
                    http_response response;
                    response.body = request.path() == "/large" ? std::string(LargeAnswer, 'x')
                                                               : "whole " + request.body;
                    return response;
                },
                [this](connection_event event) {
                    const std::lock_guard lock(m_mutex);
                    ++m_events[event];
                })
    {
        m_server.start();
    }

    std::string address() const { return toText(m_server.address()); }
    unsigned count(connection_event event)
    {
        const std::lock_guard lock(m_mutex);
        return m_events[event];
    }
    bool waitFor(connection_event event, unsigned times)
    {
        const auto giveUpAt = monotonic_clock::now() + WaitLimit;
        while (count(event) < times && monotonic_clock::now() < giveUpAt)
            std::this_thread::sleep_for(milliseconds(10));
        return count(event) >= times;
    }
    bool isAnswering()
    {
        http_pool pool(parseAddress(address()));
        const auto result =
                pool.call({"POST", "/hold", {}, "seat"}, monotonic_clock::now() + WaitLimit);
        const auto *response = std::get_if<http_response>(&result);
        return response != nullptr && response->status == 200 && response->body == "whole seat";
    }

private:
    std::mutex m_mutex;
    std::map<connection_event, unsigned> m_events;
    http_server m_server;
};

// A server that blocks its thread at a given connection event until release(). Connections and
// requests that arrive meanwhile wait unaccepted or unread.
class blocked_server
{
public:
    blocked_server(http_server_limits limits, connection_event blockingEvent)
        : m_blockingEvent(blockingEvent)
        , m_server(
                  {"127.0.0.1", 0}, limits, [](const http_request &) { return http_response{}; },
                  [this](connection_event event) { blockAt(event); })
    {
        m_server.start();
    }
    ~blocked_server() { release(); }

    std::string address() const { return toText(m_server.address()); }
    bool waitUntilBlocked()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, WaitLimit, [this] { return m_isBlocked; });
    }
    // Begins to stop the server, on another thread.
    void beginStop()
    {
        m_stopping.emplace([this] { m_server.stop(); });
        std::this_thread::sleep_for(milliseconds(200)); // by then the stop has almost always begun
    }
    void endStop()
    {
        release();
        m_stopping->join();
    }

private:
    void blockAt(connection_event event)
    {
        std::unique_lock lock(m_mutex);
        if (event != m_blockingEvent)
            return;
        m_isBlocked = true;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_isReleased; });
    }
    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_isReleased = true;
        m_changed.notify_all();
    }

    const connection_event m_blockingEvent;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isBlocked = false;
    bool m_isReleased = false;
    http_server m_server;
    std::optional<std::thread> m_stopping;
};

http_server_limits fewThreads()
{
    http_server_limits limits;
    limits.connectionLimit = 4;
    limits.readTimeout = milliseconds(400);
    limits.writeTimeout = milliseconds(400);
    return limits;
}

} // namespace

// A client sends its request one byte at a time. It must be disconnected at the deadline of the
// whole request; a timeout that restarts with every byte would let it hold its thread forever.
Test(http_server, request_byte_by_byte)
{
    counting_server server(fewThreads());
    stalled_callers callers(server.address());
    require(callers.open("127.0.0.1", "GET /seats HTTP/1.1\r\nX-Slow: "));
    unsigned sent = 0;
    while (callers.countStillOpen() > 0 && sent < 600) {
        callers.send("x");
        ++sent;
        std::this_thread::sleep_for(milliseconds(50));
    }
    check(callers.countStillOpen() == 0);
    check(server.waitFor(connection_event::RequestTimedOut, 1));
    check(server.isAnswering());
}

// A client that stops in the middle of its body must be told that its request was not executed.
Test(http_server, incomplete_body)
{
    counting_server server(fewThreads());
    stalled_callers callers(server.address());
    require(callers.open("127.0.0.1", "POST /hold HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"));
    const auto answer = callers.readToEnd();
    check(answer.find("Zb-Executed: no") != std::string::npos);
    check(server.waitFor(connection_event::RequestTimedOut, 1));
    check(server.isAnswering());
}

// Clients that never read their answers may hold all threads until the write deadline only.
Test(http_server, unread_answers)
{
    counting_server server(fewThreads());
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 4; ++caller)
        require(callers.open("127.0.0.1", "GET /large HTTP/1.1\r\n\r\n"));
    check(server.waitFor(connection_event::AnswerWriteTimedOut, 4));
    check(server.isAnswering());
}

// All threads are held by stalled clients whose deadlines are far away. A new client must be served
// nevertheless: the connection that has stalled the longest is closed.
Test(http_server, stalled_connections_are_closed_for_new_ones)
{
    auto limits = fewThreads();
    limits.readTimeout = limits.writeTimeout = seconds(3600);
    counting_server server(limits);
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 4; ++caller)
        require(callers.open("127.0.0.1", "GET /seats HTT"));
    const auto giveUpAt = monotonic_clock::now() + WaitLimit;
    bool answered = false;
    while (!answered && monotonic_clock::now() < giveUpAt)
        answered = server.isAnswering(); // refused as overloaded until the grace period has passed
    check(answered);
    check(server.count(connection_event::StalledConnectionClosed) >= 1);
}

// One address has as many connections as allowed. Another connection from it must be refused with a
// Retry-After, and another address must be served.
Test(http_server, address_limit)
{
    auto limits = fewThreads();
    limits.connectionLimitPerAddress = 2;
    limits.readTimeout = seconds(3600);
    counting_server server(limits);
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 2; ++caller) {
        require(callers.open("127.0.0.9", ""));
        // Threads take accepted connections in any order: without this exchange, any of the three
        // could be the one that is refused.
        require(callers.exchange("GET /seats HTTP/1.1\r\n\r\n", "whole "));
        require(callers.send("GET /seats HTT"));
    }
    section("one more connection from the same address is refused", [&] {
        require(callers.open("127.0.0.9", "GET /seats HTTP/1.1\r\n\r\n"));
        const auto answer = callers.readToEnd();
        check(answer.find("503") != std::string::npos);
        check(answer.find("Retry-After: 1") != std::string::npos);
        check(answer.find("Zb-Executed: no") != std::string::npos);
        check(server.count(connection_event::AddressLimitReached) == 1);
    });
    section("a connection from another address is served", [&] { check(server.isAnswering()); });
}

// Guards against counting a connection against the thread limit before the limit of its address is
// checked: connections beyond their address's limit would take threads from other clients.
Test(http_server, address_limit_before_thread_limit)
{
    auto limits = fewThreads();
    limits.connectionLimit = 2;
    limits.connectionLimitPerAddress = 1;
    limits.readTimeout = seconds(3600);
    counting_server server(limits);
    stalled_callers callers(server.address());
    for (const auto *address : {"127.0.0.9", "127.0.0.10"}) {
        require(callers.open(address, ""));
        require(callers.exchange("GET /seats HTTP/1.1\r\n\r\n", "whole "));
        require(callers.send("GET /seats HTT"));
    }
    section("with all threads in use, one more is refused for the address limit", [&] {
        require(callers.open("127.0.0.9", "GET /seats HTTP/1.1\r\n\r\n"));
        check(callers.readToEnd().find("503") != std::string::npos);
        check(server.count(connection_event::AddressLimitReached) == 1);
        check(server.count(connection_event::NoFreeThread) == 0);
        check(server.count(connection_event::StalledConnectionClosed) == 0);
    });
}

// Guards against closing a connection without an answer when the request has reached the server
// before the stop, but no thread has accepted or read it yet.
Test(http_server, requests_that_arrived_before_the_stop)
{
    section("a request on a connection that is not accepted yet is answered", [] {
        auto limits = fewThreads();
        limits.connectionLimit = 1;
        blocked_server server(limits, connection_event::NoFreeThread);
        keep_alive_caller first(server.address());
        require(first.send("GET", "/seats"));
        require(first.readAnswer() == 200);
        keep_alive_caller second(server.address()); // its refusal blocks the accepting thread
        require(server.waitUntilBlocked());
        keep_alive_caller third(server.address());
        require(third.send("GET", "/seats"));
        server.beginStop();
        server.endStop();
        check(third.requestOutcome() == request_outcome::Answered);
    });
    section("a request that is unread in the socket is answered", [] {
        auto limits = fewThreads();
        limits.connectionLimitPerAddress = 1;
        blocked_server server(limits, connection_event::AddressLimitReached);
        keep_alive_caller first(server.address());
        require(first.send("GET", "/seats"));
        require(first.readAnswer() == 200);
        keep_alive_caller second(server.address());
        require(second.send("GET", "/seats"));
        require(server.waitUntilBlocked());
        server.beginStop();
        server.endStop();
        check(second.requestOutcome() == request_outcome::Answered);
    });
}

// Guards against closing a connection without an answer, to free its thread, although its request
// has arrived: the process was suspended, and the connection's thread has not read it yet.
Test(http_server, stalled_connections_with_unread_bytes)
{
    constexpr milliseconds Stalled{10'000}; // longer than any grace period
    for (const auto phase : {connection_phase::Idle, connection_phase::Reading}) {
        std::array<int, 2> sockets{};
        require(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
        const int server = sockets[0];
        const int client = sockets[1];
        connection_table connections;
        connections.add(server, "127.0.0.9");
        connections.setPhase(server, phase);
        section("a connection with unread bytes is kept", [&] {
            require(write(client, "GET", 3) == 3);
            check(!connections.closeLongestStalled(monotonic_clock::now() + Stalled));
        });
        section("it is closed once they are read and nothing more arrives", [&] {
            std::array<char, 3> bytes{};
            require(read(server, bytes.data(), bytes.size()) == 3);
            check(connections.closeLongestStalled(monotonic_clock::now() + Stalled));
        });
        close(server);
        close(client);
    }
}
