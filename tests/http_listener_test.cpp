// The server on the event loop: what becomes of large requests, and of those that come as it ends.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "keep_alive_caller.h"
#include "net/event_loop.h"
#include "net/http_caller.h"
#include "net/http_listener.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::keep_alive_caller;
using zinniabarrow::tests::request_outcome;
using zinniabarrow::tests::section;

namespace {

struct post_result
{
    std::optional<int> status;       // of the answer; none: there was none
    std::optional<std::size_t> body; // bytes that the server was given; none: it never was asked
};

post_result post(std::size_t bytes)
{
    net::event_loop loop;
    post_result result;
    net::listener_limits limits;
    limits.maxRequestBytes = 100'000;
    net::http_listener listener(loop, {"127.0.0.1", 0}, limits,
                                [&](const http_request &request, const net::responder &respond) {
                                    result.body = request.body.size();
                                    respond({200, {}, ""});
                                });
    net::http_caller caller(loop);
    http_request request;
    request.method = "POST";
    request.body.assign(bytes, 'x');
    caller.call(toText(listener.address()), std::move(request), seconds(30),
                [&](const call_result &answer) {
                    if (const auto *response = std::get_if<http_response>(&answer))
                        result.status = response->status;
                    loop.stop();
                });
    loop.run([](const std::exception &) {});
    return result;
}

// A server that is told to drain while its callers are at different points.
class draining_server
{
public:
    explicit draining_server(const net::listener_limits &limits = {})
        : m_listener(m_loop, {"127.0.0.1", 0}, limits,
                     [this](const http_request &request, net::responder respond) {
                         if (request.target == "/slow")
                             m_openResponders.push_back(std::move(respond));
                         else
                             respond({200, {}, "done"});
                     })
    { }

    std::string address() const { return toText(m_listener.address()); }
    net::http_listener &listener() { return m_listener; }
    std::vector<net::responder> &openResponders()
    {
        return m_openResponders;
    } // of requests for /slow

    // Runs `then` as one callback, as soon as `condition` holds: nothing is read in between.
    using predicate = std::function<bool()>;
    void runWhen(predicate condition, std::function<void()> then)
    {
        m_loop.runAfter(milliseconds(1),
                        [this, condition = std::move(condition), then = std::move(then)]() mutable {
                            if (condition())
                                return then();
                            runWhen(std::move(condition), std::move(then));
                        });
    }
    void runAfter(duration delay, std::function<void()> then)
    {
        m_loop.runAfter(delay, std::move(then));
    }
    void runWhenIdle(std::size_t connections, std::function<void()> then)
    {
        runWhen([this, connections] { return m_listener.activity().idle == connections; },
                std::move(then));
    }

    // True when it has drained; false when it does not for long.
    bool runUntilDrained()
    {
        bool drained = false;
        runWhen([this] { return m_listener.isDrained(); },
                [&] {
                    drained = true;
                    m_loop.stop();
                });
        m_loop.runAfter(seconds(20), [this] { m_loop.stop(); });
        m_loop.run([](const std::exception &) {});
        return drained;
    }

private:
    net::event_loop m_loop;
    std::vector<net::responder> m_openResponders;
    net::http_listener m_listener;
};

} // namespace

// A caller sends a body that is larger than the limit, and its first bytes come together with the
// head. Either the caller was cut off without a word, or the server took whatever came.
Test(http_listener, large_requests)
{
    section("up to the limit it is taken whole", [] {
        check(post(0).body == 0);
        check(post(1).body == 1);
        check(post(100'000).body == 100'000);
        check(post(100'000).status == 200);
    });
    section("beyond, it is refused and the caller told so", [] {
        const auto seen = post(100'001);
        check(!seen.body);
        check(seen.status == 413);
    });
}

// A caller's connection is closed without an answer. What was asked when the process judged that
// nothing is open had arrived before, and wasn't read or wasn't worked through.
Test(http_listener, requests_that_came_before_it_drains)
{
    section("on an idle connection, in its socket", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        server.runWhenIdle(1, [&] {
            caller.send("POST", "/quick", "body");
            server.listener().drain();
        });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("on a connection that waits to be accepted", [] {
        draining_server server;
        std::optional<keep_alive_caller> caller;
        server.runWhenIdle(0, [&] {
            caller.emplace(server.address());
            caller->send("POST", "/quick", "body");
            server.listener().drain();
        });
        check(server.runUntilDrained());
        check(caller->readAnswer() == 200);
    });
    section("on a connection that was just accepted, a moment later", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        server.runWhenIdle(1, [&] {
            server.listener().drain();
            server.runWhen([] { return true; }, [&] { caller.send("POST", "/quick", "body"); });
        });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("in part, and the rest comes later", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        server.runWhenIdle(1, [&] {
            caller.sendText("POST /quick HTTP/1.1\r\nContent-Le");
            server.listener().drain();
            server.runWhen([&] { return server.listener().activity().reading == 1; },
                           [&] { caller.sendText("ngth: 4\r\n\r\nbody"); });
        });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("after an answer that promised to keep the connection and isn't out yet", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("POST", "/slow");
        server.runWhen([&] { return server.openResponders().size() == 1; },
                       [&] {
                           caller.send("POST", "/quick", "body");
                           server.openResponders()[0]({200, {}, "done"});
                           server.listener().drain();
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
        check(caller.readAnswer() == 200);
    });
    // The parser had taken the line, and its buffer was empty as if nothing had come.
    section("with its request line alone read", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.sendText("GET /quick HTTP/1.1\r\n");
        server.runWhen([&] { return server.listener().activity().reading == 1; },
                       [&] {
                           server.listener().drain();
                           server.runWhen([] { return true; },
                                          [&] { caller.sendText("Content-Length: 0\r\n\r\n"); });
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("and whose answer takes its time", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("POST", "/slow");
        server.runWhen([&] { return server.openResponders().size() == 1; },
                       [&] {
                           server.listener().drain();
                           server.runWhen([&] { return !server.listener().isDrained(); },
                                          [&] {
                                              server.openResponders()[0]({200, {}, "done"});
                                          });
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
}

// Callers wait for their whole time on a connection that nobody reads any more.
Test(http_listener, drained)
{
    section("idle connections end, and new ones are refused", [] {
        draining_server server;
        const auto address = server.address();
        keep_alive_caller unused(address);
        keep_alive_caller served(address);
        served.send("GET", "/quick");
        server.runWhen([&] { return !served.isOpen(); }, // its answer has come
                       [&] {
                           check(served.readAnswer() == 200);
                           server.runWhenIdle(2, [&] { server.listener().drain(); });
                       });
        check(server.runUntilDrained());
        check(!unused.isOpen());
        check(!served.isOpen());
        check(!keep_alive_caller(address).isOpen());
    });
    section("one whose answer was on its way out ends as well", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("POST", "/slow");
        server.runWhen([&] { return server.openResponders().size() == 1; },
                       [&] {
                           server.openResponders()[0]({200, {}, "done"});
                           server.listener().drain();
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("a request that is given up gets one answer", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("POST", "/slow");
        server.runWhen([&] { return server.openResponders().size() == 1; },
                       [&] {
                           server.listener().drain();
                           server.listener().answerAll({504, {}, ""});
                           server.openResponders()[0]({200, {}, "too late"});
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 504);
        check(caller.requestOutcome() == request_outcome::ClosedWithoutAnswer);
    });
}

// A caller's connection is closed without an answer, at the end of the time for which it may be
// idle: its request had begun to come before, or the server was behind and had not read it.
Test(http_listener, requests_at_the_end_of_the_idle_time)
{
    net::listener_limits limits;
    limits.maxIdleTime = milliseconds(1000);
    const auto afterIdleTime = limits.maxIdleTime + milliseconds(100);
    section("the rest of one comes after it", [&] {
        for (const std::string part : {"POST /quick HTTP/1.1\r\nContent-Le",
                                       "POST /quick HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo"}) {
            const std::string whole = "POST /quick HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
            draining_server server(limits);
            keep_alive_caller caller(server.address());
            caller.sendText(part);
            server.runWhen([&] { return server.listener().activity().reading == 1; },
                           [&] {
                               server.runAfter(afterIdleTime, [&] {
                                   caller.sendText(whole.substr(part.size()));
                                   server.runWhen([&] { return !caller.isOpen(); },
                                                  [&] { server.listener().drain(); });
                               });
                           });
            check(server.runUntilDrained());
            check(caller.readAnswer() == 200);
        }
    });
    section("it came while the server stood still", [&] {
        draining_server server(limits);
        std::vector<std::unique_ptr<keep_alive_caller>> callers;
        constexpr int Callers = 200; // more than the loop takes from the system at once
        for (int each = 0; each < Callers; ++each)
            callers.push_back(std::make_unique<keep_alive_caller>(server.address()));
        server.runWhenIdle(Callers, [&] {
            std::this_thread::sleep_for(afterIdleTime);
            for (const auto &each : callers)
                each->send("POST", "/quick", "body");
            server.runAfter(afterIdleTime, [&] { server.listener().drain(); });
        });
        check(server.runUntilDrained());
        int cutOff = 0;
        for (const auto &each : callers)
            cutOff += each->requestOutcome() == request_outcome::ClosedWithoutAnswer ? 1 : 0;
        check(cutOff == 0);
    });
    section("a caller that sends nothing, or no more, is closed", [&] {
        limits.readTimeout = milliseconds(200);
        draining_server server(limits);
        keep_alive_caller unused(server.address());
        keep_alive_caller half(server.address());
        half.sendText("POST /quick HTTP/1.1\r\nContent-Le");
        server.runWhen([&] { return !unused.isOpen() && !half.isOpen(); },
                       [&] { server.listener().drain(); });
        check(server.runUntilDrained());
    });
}
