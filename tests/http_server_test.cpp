// The HTTP server against callers that stall: each holds a thread for a bounded time.
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "keep_alive_caller.h"
#include "runtime/http.h"
#include "section.h"
#include "stalled_callers.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr milliseconds SoonEnough{30'000}; // a bound on waits for conditions, not a measurement
constexpr std::size_t LargeAnswer = 32 * 1024 * 1024; // more than the kernel takes from the server

// A server that counts its events.
class watched_server
{
public:
    explicit watched_server(http_server_limits limits)
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
        const auto giveUpAt = monotonic_clock::now() + SoonEnough;
        while (count(event) < times && monotonic_clock::now() < giveUpAt)
            std::this_thread::sleep_for(milliseconds(10));
        return count(event) >= times;
    }
    bool answers()
    {
        http_pool pool(parseAddress(address()));
        const auto result =
                pool.call({"POST", "/hold", {}, "seat"}, monotonic_clock::now() + SoonEnough);
        const auto *response = std::get_if<http_response>(&result);
        return response != nullptr && response->status == 200 && response->body == "whole seat";
    }

private:
    std::mutex m_mutex;
    std::map<connection_event, unsigned> m_events;
    http_server m_server;
};

// A server whose thread that reports an event goes on only when it is let go: it is behind.
class server_behind
{
public:
    server_behind(http_server_limits limits, connection_event heldAt)
        : m_heldAt(heldAt)
        , m_server(
                  {"127.0.0.1", 0}, limits, [](const http_request &) { return http_response{}; },
                  [this](connection_event event) { hold(event); })
    {
        m_server.start();
    }
    ~server_behind() { letGo(); }

    std::string address() const { return toText(m_server.address()); }
    bool waitUntilHeld()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, SoonEnough, [this] { return m_held; });
    }
    // Stops it on a thread of its own.
    void beginStop()
    {
        m_stopping.emplace([this] { m_server.stop(); });
        std::this_thread::sleep_for(milliseconds(200)); // it has begun to, or nearly always has
    }
    void endStop()
    {
        letGo();
        m_stopping->join();
    }

private:
    void hold(connection_event event)
    {
        std::unique_lock lock(m_mutex);
        if (event != m_heldAt)
            return;
        m_held = true;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_letGo; });
    }
    void letGo()
    {
        const std::lock_guard lock(m_mutex);
        m_letGo = true;
        m_changed.notify_all();
    }

    const connection_event m_heldAt;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_held = false;
    bool m_letGo = false;
    http_server m_server;
    std::optional<std::thread> m_stopping;
};

http_server_limits fewThreads()
{
    http_server_limits limits;
    limits.connections = 4;
    limits.readWithin = milliseconds(400);
    limits.writeWithin = milliseconds(400);
    return limits;
}

} // namespace

// A caller that drips its request a byte at a time is closed at the deadline of the whole request.
// A time limit that starts anew with every byte would never end it: its thread would be gone.
Test(http_server, dripping_request)
{
    watched_server server(fewThreads());
    stalled_callers callers(server.address());
    require(callers.open("127.0.0.1", "GET /seats HTTP/1.1\r\nX-Slow: "));
    unsigned sent = 0;
    while (callers.stalling() > 0 && sent < 600) {
        callers.send("x");
        ++sent;
        std::this_thread::sleep_for(milliseconds(50));
    }
    check(callers.stalling() == 0);
    check(server.waitFor(connection_event::RequestTooSlow, 1));
    check(server.answers());
}

// A caller that stops in the middle of its body is told that its request did not run.
Test(http_server, half_a_body)
{
    watched_server server(fewThreads());
    stalled_callers callers(server.address());
    require(callers.open("127.0.0.1", "POST /hold HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"));
    const auto answer = callers.readToEnd();
    check(answer.find("Zb-Executed: no") != std::string::npos);
    check(server.waitFor(connection_event::RequestTooSlow, 1));
    check(server.answers());
}

// Callers that never read their answers hold every thread until the answers' deadline, and no
// longer.
Test(http_server, answers_not_taken)
{
    watched_server server(fewThreads());
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 4; ++caller)
        require(callers.open("127.0.0.1", "GET /large HTTP/1.1\r\n\r\n"));
    check(server.waitFor(connection_event::AnswerNotTaken, 4));
    check(server.answers());
}

// Every thread waits for a caller that stalls; deadlines are far away. A new caller is answered all
// the same: the one that stalled longest gives way.
Test(http_server, stalled_callers_give_way)
{
    auto limits = fewThreads();
    limits.readWithin = limits.writeWithin = seconds(3600);
    watched_server server(limits);
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 4; ++caller)
        require(callers.open("127.0.0.1", "GET /seats HTT"));
    const auto giveUpAt = monotonic_clock::now() + SoonEnough;
    bool answered = false;
    while (!answered && monotonic_clock::now() < giveUpAt)
        answered = server.answers(); // refused as overloaded until they have stalled long enough
    check(answered);
    check(server.count(connection_event::MadeRoom) >= 1);
}

// One address holds as many connections as it may; one more is refused with a time to come back,
// another address is served.
Test(http_server, address_share)
{
    auto limits = fewThreads();
    limits.perAddress = 2;
    limits.readWithin = seconds(3600);
    watched_server server(limits);
    stalled_callers callers(server.address());
    for (unsigned caller = 0; caller < 2; ++caller) {
        require(callers.open("127.0.0.9", ""));
        // Accepted connections are taken by threads in any order: of three at once any may be the
        // one too many.
        require(callers.exchange("GET /seats HTTP/1.1\r\n\r\n", "whole "));
        require(callers.send("GET /seats HTT"));
    }
    section("one more of the same address", [&] {
        require(callers.open("127.0.0.9", "GET /seats HTTP/1.1\r\n\r\n"));
        const auto answer = callers.readToEnd();
        check(answer.find("503") != std::string::npos);
        check(answer.find("Retry-After: 1") != std::string::npos);
        check(answer.find("Zb-Executed: no") != std::string::npos);
        check(server.count(connection_event::AddressShare) == 1);
    });
    section("another address", [&] { check(server.answers()); });
}

// Callers beyond their address's share leave no thread to others until a thread has looked at them.
Test(http_server, address_share_before_threads)
{
    auto limits = fewThreads();
    limits.connections = 2;
    limits.perAddress = 1;
    limits.readWithin = seconds(3600);
    watched_server server(limits);
    stalled_callers callers(server.address());
    for (const auto *address : {"127.0.0.9", "127.0.0.10"}) {
        require(callers.open(address, ""));
        require(callers.exchange("GET /seats HTTP/1.1\r\n\r\n", "whole "));
        require(callers.send("GET /seats HTT"));
    }
    section("with all threads in use, one more of the same address is refused for its share", [&] {
        require(callers.open("127.0.0.9", "GET /seats HTTP/1.1\r\n\r\n"));
        check(callers.readToEnd().find("503") != std::string::npos);
        check(server.count(connection_event::AddressShare) == 1);
        check(server.count(connection_event::AllInUse) == 0);
        check(server.count(connection_event::MadeRoom) == 0);
    });
}

// A caller's connection is closed without an answer. Its request had reached the server before it
// stopped, and the thread that was to take it was behind.
Test(http_server, requests_that_came_before_it_stopped)
{
    section("on connections that wait to be accepted", [] {
        auto limits = fewThreads();
        limits.connections = 1;
        server_behind server(limits, connection_event::AllInUse);
        kept_caller first(server.address());
        require(first.send("GET", "/seats"));
        require(first.readAnswer() == 200);
        kept_caller second(server.address()); // the thread that accepts is held by it
        require(server.waitUntilHeld());
        kept_caller third(server.address());
        require(third.send("GET", "/seats"));
        server.beginStop();
        server.endStop();
        check(third.fate() == request_fate::Answered);
    });
    section("in the socket of a connection", [] {
        auto limits = fewThreads();
        limits.perAddress = 1;
        server_behind server(limits, connection_event::AddressShare);
        kept_caller first(server.address());
        require(first.send("GET", "/seats"));
        require(first.readAnswer() == 200);
        kept_caller second(server.address());
        require(second.send("GET", "/seats"));
        require(server.waitUntilHeld());
        server.beginStop();
        server.endStop();
        check(second.fate() == request_fate::Answered);
    });
}
