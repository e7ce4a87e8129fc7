// Tests of http_listener: large, slow and endless requests, and requests that arrive while the
// server shuts down.
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "keep_alive_caller.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::keep_alive_caller;
using zinniabarrow::tests::request_outcome;
using zinniabarrow::tests::section;

namespace {

struct post_result
{
    std::optional<int> status;            // of the answer; nullopt: no answer
    std::optional<std::size_t> bodyBytes; // that the handler got; nullopt: it was not called
};

post_result post(std::size_t bytes)
{
    net::event_loop loop;
    post_result result;
    net::listener_limits limits;
    limits.maxRequestBytes = 100'000;
    net::http_listener listener(loop, {"127.0.0.1", 0}, limits,
                                [&](const http_request &request, const net::responder &respond) {
                                    result.bodyBytes = request.body.size();
                                    respond({200, {}, ""});
                                });
    net::http_client client(loop);
    http_request request;
    request.method = "POST";
    request.body.assign(bytes, 'x');
    client.call(toText(listener.address()), std::move(request), seconds(30),
                [&](const call_result &answer) {
                    if (const auto *response = std::get_if<http_response>(&answer))
                        result.status = response->status;
                    loop.stop();
                });
    loop.run([](const std::exception &) {});
    return result;
}

// A server that starts to drain while its callers are in different states.
class draining_server
{
public:
    explicit draining_server(const net::listener_limits &limits = {})
        : m_listener(m_loop, {"127.0.0.1", 0}, limits,
                     [this](const http_request &request, net::responder respond) {
                         if (request.target == "/throw")
                             throw std::runtime_error("planted");
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
    } // responders of the pending requests for /slow

    // Runs `then` as one callback once `condition` holds, so that the server reads nothing in
    // between.
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

    // Returns true once the server has drained, false after 20 s.
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

// Called before the next shutdown() of a socket, with which the server ends a connection.
std::function<void()> &beforeNextShutdown()
{
    static std::function<void()> planted;
    return planted;
}

// Lets the process open no more files until it is destroyed.
class full_file_table
{
public:
    full_file_table()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int nextFree = dup(STDIN_FILENO);
        close(nextFree);
        rlimit limit = m_before;
        limit.rlim_cur = static_cast<rlim_t>(nextFree);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~full_file_table() { setrlimit(RLIMIT_NOFILE, &m_before); }
    full_file_table(const full_file_table &) = delete;
    full_file_table &operator=(const full_file_table &) = delete;

private:
    rlimit m_before{};
};

} // namespace

// Replaces the function of the C library in this program, to plant events between the server's last
// look into a socket and the end of the connection.
extern "C" int shutdown(int socket, int how) noexcept
{
    if (const auto planted = std::exchange(beforeNextShutdown(), nullptr))
        planted();
    return static_cast<int>(syscall(SYS_shutdown, socket, how));
}

// A caller sends a body above the limit, and its first bytes arrive together with the head. Guards
// against closing the connection without an answer, and against accepting a body of any size.
Test(http_listener, large_requests)
{
    section("a body up to the limit is accepted", [] {
        check(post(0).bodyBytes == 0);
        check(post(1).bodyBytes == 1);
        check(post(100'000).bodyBytes == 100'000);
        check(post(100'000).status == 200);
    });
    section("a body above the limit is answered with 413", [] {
        const auto tooLarge = post(100'001);
        check(!tooLarge.bodyBytes);
        check(tooLarge.status == 413);
    });
}

// Guards against closing a connection without an answer when the server drains: the request had
// arrived before the server decided that nothing was pending, but it was not read or not processed
// yet.
Test(http_listener, requests_that_arrived_before_the_drain)
{
    section("a request that is unread in the socket of an idle connection is answered", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        server.runWhenIdle(1, [&] {
            caller.send("POST", "/quick", "body");
            server.listener().drain();
        });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("a request on a connection that is not accepted yet is answered", [] {
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
    section("a request that arrives shortly after its connection was accepted is answered", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        server.runWhenIdle(1, [&] {
            server.listener().drain();
            server.runWhen([] { return true; }, [&] { caller.send("POST", "/quick", "body"); });
        });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 200);
    });
    section("a request whose head is read in part is answered when the rest arrives", [] {
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
    section("a request behind a keep-alive answer that is still being sent is answered", [] {
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
    // The parser has taken the request line, so the buffer is empty as if nothing had arrived.
    section("a request of which only the request line was read is answered", [] {
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
    section("a request whose handler answers later is answered", [] {
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

// Guards against a request that gets no answer and leaves no trace in the daemon's log: it was sent
// after the server's last look into the socket, and before its caller could see the end of the
// connection. No server can answer it, but it must be counted.
Test(http_listener, requests_between_the_last_look_and_the_close)
{
    for (const bool wasUsed : {false, true}) {
        draining_server server;
        keep_alive_caller caller(server.address());
        keep_alive_caller other(server.address());
        if (wasUsed)
            caller.send("GET", "/quick");
        server.runWhen([&] { return !wasUsed || !caller.isOpen(); },
                       [&] {
                           check(!wasUsed || caller.readAnswer() == 200);
                           server.runWhenIdle(2, [&] {
                               beforeNextShutdown() = [&] {
                                   check(caller.isOpen());
                                   caller.send("POST", "/quick", "body");
                               };
                               server.listener().drain();
                           });
                       });
        check(server.runUntilDrained());
        check(caller.requestOutcome() == request_outcome::Closed);
        check(server.listener().totals().closedUnread == 1);
        check(server.listener().totals().accepted == 2);
    }
}

// Guards against connections that stay open although the server no longer reads from them: callers
// would wait for answers until their deadlines.
Test(http_listener, drain_closes_connections)
{
    section("idle connections are closed and new ones refused", [] {
        draining_server server;
        const auto address = server.address();
        keep_alive_caller unused(address);
        keep_alive_caller served(address);
        served.send("GET", "/quick");
        server.runWhen([&] { return !served.isOpen(); }, // its answer has arrived
                       [&] {
                           check(served.readAnswer() == 200);
                           server.runWhenIdle(2, [&] { server.listener().drain(); });
                       });
        check(server.runUntilDrained());
        check(!unused.isOpen());
        check(!served.isOpen());
        check(!keep_alive_caller(address).isOpen());
    });
    section("a connection whose answer is being sent is closed after it", [] {
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
    section("a request that is answered by answerAll() gets one answer", [] {
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
        check(caller.requestOutcome() == request_outcome::Closed);
    });
}

// Guards against closing a connection without an answer at the end of its idle time, although its
// request has begun to arrive or waits unread in the socket.
Test(http_listener, requests_at_the_end_of_the_idle_time)
{
    net::listener_limits limits;
    limits.maxIdleTime = milliseconds(1000);
    const auto afterIdleTime = limits.maxIdleTime + milliseconds(100);
    section("a request is answered whose rest arrives after the idle time", [&] {
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
    section("requests are answered that arrive while the server is blocked", [&] {
        draining_server server(limits);
        std::vector<std::unique_ptr<keep_alive_caller>> callers;
        constexpr int Callers = 200; // more than the loop reads from the kernel in one turn
        for (int each = 0; each < Callers; ++each)
            callers.push_back(std::make_unique<keep_alive_caller>(server.address()));
        server.runWhenIdle(Callers, [&] {
            std::this_thread::sleep_for(afterIdleTime);
            for (const auto &each : callers)
                each->send("POST", "/quick", "body");
            server.runAfter(afterIdleTime, [&] { server.listener().drain(); });
        });
        check(server.runUntilDrained());
        int unanswered = 0;
        for (const auto &each : callers)
            unanswered += each->requestOutcome() != request_outcome::Answered ? 1 : 0;
        check(unanswered == 0);
    });
    section("a caller that sends nothing, or only a part, is disconnected", [&] {
        limits.readTimeout = milliseconds(200);
        draining_server server(limits);
        keep_alive_caller unused(server.address());
        keep_alive_caller partial(server.address());
        partial.sendText("POST /quick HTTP/1.1\r\nContent-Le");
        server.runWhen([&] { return !unused.isOpen() && !partial.isOpen(); },
                       [&] { server.listener().drain(); });
        check(server.runUntilDrained());
    });
}

// Guards against a connection that is closed without an answer, and a request that counts as open
// for ever, because a callback threw before it had answered the request.
Test(http_listener, requests_whose_callback_throws)
{
    section("the handler throws", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("GET", "/throw");
        server.runWhen([&] { return !caller.isOpen(); }, [&] { server.listener().drain(); });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 500);
        check(server.listener().inFlight() == 0);
    });
    section("a later callback throws, and its responder is lost", [] {
        draining_server server;
        keep_alive_caller caller(server.address());
        caller.send("GET", "/slow");
        server.runWhen([&] { return server.openResponders().size() == 1; },
                       [&] {
                           server.runWhen([&] { return !caller.isOpen(); },
                                          [&] { server.listener().drain(); });
                           const auto respond = std::move(server.openResponders()[0]);
                           server.openResponders().clear();
                           throw std::runtime_error("planted");
                       });
        check(server.runUntilDrained());
        check(caller.readAnswer() == 500);
        check(server.listener().inFlight() == 0);
    });
}

// Guards against a server that takes all processor time, or resets the connections that wait to be
// accepted, because the process can open no more files.
Test(http_listener, connections_while_the_file_table_is_full)
{
    section("a server waits before it tries again, and answers once there is room", [] {
        draining_server server;
        std::optional<keep_alive_caller> caller;
        std::optional<full_file_table> fullTable;
        time_point fullSince;
        server.runWhenIdle(0, [&] {
            caller.emplace(server.address());
            caller->send("POST", "/quick", "body");
            fullTable.emplace();
            fullSince = monotonic_clock::now();
            server.runAfter(milliseconds(300), [&] {
                constexpr milliseconds ShortestPause{10};
                const auto longestPlausible = (monotonic_clock::now() - fullSince) / ShortestPause;
                const auto retries = server.listener().totals().acceptRetries;
                check(retries > 0);
                check(retries <= static_cast<std::size_t>(longestPlausible));
                fullTable.reset();
                server.runWhen([&] { return !caller->isOpen(); },
                               [&] { server.listener().drain(); });
            });
        });
        check(server.runUntilDrained());
        check(caller->readAnswer() == 200);
    });
    section("a server that drains answers those who wait once there is room", [] {
        draining_server server;
        std::vector<std::unique_ptr<keep_alive_caller>> callers;
        std::optional<full_file_table> fullTable;
        server.runWhenIdle(0, [&] {
            for (int each = 0; each < 3; ++each) {
                callers.push_back(std::make_unique<keep_alive_caller>(server.address()));
                callers.back()->send("POST", "/quick", "body");
            }
            fullTable.emplace();
            server.listener().drain();
            server.runAfter(milliseconds(100), [&] { fullTable.reset(); });
        });
        check(server.runUntilDrained());
        for (const auto &caller : callers)
            check(caller->readAnswer() == 200);
    });
}

namespace {

// A request whose body comes in chunks, of which only the lines between them are large.
const std::string ChunkedHead = "POST /quick HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &part, std::size_t count)
{
    std::string text;
    for (std::size_t each = 0; each < count; ++each)
        text += part;
    return text;
}

// The status with which the server answers the bytes, or nullopt if it closes the connection
// without an answer.
std::optional<int> answerTo(const std::string &text, const net::listener_limits &limits = {})
{
    draining_server server(limits);
    keep_alive_caller caller(server.address());
    caller.sendText(text);
    server.runWhen([&] { return !caller.isOpen(); }, [&] { server.listener().drain(); });
    check(server.runUntilDrained());
    return caller.readAnswer();
}

} // namespace

// Guards against memory without a bound for one request: what comes beside the body counts as its
// head, wherever it comes.
Test(http_listener, bytes_beside_the_body)
{
    const std::string field = "X-Trailer: " + std::string(87, 'x') + "\r\n"; // 100 bytes
    section("trailers are taken up to the limit of a head", [&] {
        check(answerTo(ChunkedHead + "0\r\n" + repeated(field, 160) + "\r\n") == 200);
        check(answerTo(ChunkedHead + "0\r\n" + repeated(field, 200) + "\r\n") == 431);
    });
    section("trailers without an end are refused",
            [&] { check(answerTo(ChunkedHead + "0\r\n" + repeated(field, 200)) == 431); });
    section("a chunk's extension without an end is refused", [] {
        check(answerTo(ChunkedHead + "1;x=" + std::string(20'000, 'x')) == 431);
        check(answerTo(ChunkedHead + "1;x=" + std::string(10'000, 'x') + "\r\nx\r\n0\r\n\r\n")
              == 200);
    });
    section("a size without an end is refused",
            [] { check(answerTo(ChunkedHead + std::string(20'000, '0')) == 431); });
    section("extensions of many chunks count together", [] {
        const auto chunk = "1;x=" + std::string(96, 'x') + "\r\nx\r\n";
        check(answerTo(ChunkedHead + repeated(chunk, 100) + "0\r\n\r\n") == 200);
        check(answerTo(ChunkedHead + repeated(chunk, 250) + "0\r\n\r\n") == 431);
    });
    section("small chunks are no reason to refuse a body", [] {
        check(answerTo(ChunkedHead + repeated("1\r\nx\r\n", 20'000) + "0\r\n\r\n") == 200);
    });
    section("a head of short fields is closed at its limit, wherever a read ends", [] {
        const std::string shortField = "a: bcd\r\n"; // reads are of a multiple of its bytes
        const std::string begin = "GET /quick HTTP/1.1\r\nX-Fill: ";
        const auto fill =
                std::string(shortField.size() * 5 - begin.size() % shortField.size() - 2, 'x')
                + "\r\n";
        check((begin + fill).size() % shortField.size() == 0);
        check(answerTo(begin + fill + repeated(shortField, 1000) + "\r\n") == 200);
        check(!answerTo(begin + fill + repeated(shortField, 4000)));
    });
}

namespace {

// A caller that has sent all of a body but its last byte.
std::unique_ptr<keep_alive_caller> holdBody(const std::string &address, std::size_t bodyBytes,
                                            bool isChunked)
{
    auto caller = std::make_unique<keep_alive_caller>(address);
    const auto head = isChunked ? fmt::format("{}{:x}\r\n", ChunkedHead, bodyBytes)
                                : fmt::format("POST /quick HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
                                              bodyBytes);
    caller->sendText(head + std::string(bodyBytes - 1, 'x'));
    return caller;
}

void finishBody(keep_alive_caller &caller, bool isChunked)
{
    caller.sendText(isChunked ? "x\r\n0\r\n\r\n" : "x");
}

} // namespace

// Guards against a process that runs out of memory by many requests, each of which is within its
// limits: all that are being read share one limit, and the one that holds the most pays.
Test(http_listener, requests_that_share_the_memory)
{
    net::listener_limits limits;
    limits.maxRequestBytes = 100'000;
    limits.maxHeldBytes = 400'000;
    limits.connectionLimit = 20;
    for (const bool isChunked : {false, true}) {
        section(isChunked ? "in chunks" : "with a length", [&] {
            draining_server server(limits);
            const auto address = server.address();
            // Together they are within the limit, whatever room a buffer takes beyond its bytes.
            auto largest = holdBody(address, 90'000, isChunked);
            std::vector<std::unique_ptr<keep_alive_caller>> others;
            for (const std::size_t bytes : {1000, 10'000, 20'000})
                others.push_back(holdBody(address, bytes, isChunked));
            std::vector<std::unique_ptr<keep_alive_caller>> crowd;
            const auto addToCrowd = [&] {
                constexpr std::size_t CrowdBytes = 80'000;
                for (int each = 0; each < 10; ++each)
                    crowd.push_back(holdBody(address, CrowdBytes, isChunked));
            };
            const auto finishOthers = [&] {
                for (auto &each : others)
                    finishBody(*each, isChunked);
            };
            const auto areOthersAnswered = [&] {
                return std::none_of(others.begin(), others.end(),
                                    [](const auto &each) { return each->isOpen(); });
            };
            server.runWhen([&] { return server.listener().activity().reading == 4; },
                           [&] {
                               check(server.listener().totals().overMemory == 0);
                               check(largest->isOpen());
                               addToCrowd();
                               server.runWhen(
                                       [&] { return server.listener().totals().overMemory > 5; },
                                       [&] {
                                           finishOthers();
                                           server.runWhen(areOthersAnswered,
                                                          [&] { server.listener().drain(); });
                                       });
                           });
            require(server.runUntilDrained());
            section("the requests that hold the least are served", [&] {
                for (auto &each : others)
                    check(each->readAnswer() == 200);
            });
            section("one that holds the most is refused as not handled", [&] {
                check(largest->readAnswer() == 503);
                check(largest->answerText().find("\r\nRetry-After: ") != std::string::npos);
                check(largest->answerText().find("\r\nConnection: close\r\n") != std::string::npos);
            });
        });
    }
    section("a single request of the largest size is served", [&] {
        limits.maxHeldBytes = 300'000;
        check(answerTo("POST /quick HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
                               + std::string(100'000, 'x'),
                       limits)
              == 200);
        check(answerTo(ChunkedHead + "186a0\r\n" + std::string(100'000, 'x') + "\r\n0\r\n\r\n",
                       limits)
              == 200);
    });
}

// Guards against a count of held bytes that only rises: the server would refuse all requests for
// good.
Test(http_listener, memory_of_requests_that_have_ended)
{
    net::listener_limits limits;
    limits.maxHeldBytes = 400'000;
    draining_server server(limits);
    const auto address = server.address();
    constexpr int Rounds = 20;
    std::vector<std::unique_ptr<keep_alive_caller>> callers;
    std::function<void()> nextRound = [&] {
        if (callers.size() == 3 * Rounds)
            return server.listener().drain();
        callers.push_back(holdBody(address, 100'000, false)); // is finished
        callers.push_back(holdBody(address, 100'000, true));  // goes away
        callers.push_back(std::make_unique<keep_alive_caller>(address));
        callers.back()->sendText(ChunkedHead + std::string(20'000, '0')); // is refused
        server.runWhen([&] { return server.listener().activity().reading == 2; },
                       [&] {
                           finishBody(*callers[callers.size() - 3], false);
                           callers[callers.size() - 2].reset();
                           server.runWhen([&] { return server.listener().activity().reading == 0; },
                                          nextRound);
                       });
    };
    server.runWhen([] { return true; }, nextRound);
    check(server.runUntilDrained());
    check(server.listener().totals().overMemory == 0);
    for (std::size_t each = 0; each < callers.size(); each += 3) {
        check(callers[each]->readAnswer() == 200);
        check(callers[each + 2]->readAnswer() == 431);
    }
}

// Guards against a caller that keeps its connection by a byte now and then: a whole request has one
// deadline, whichever part of it is slow.
Test(http_listener, requests_that_arrive_slowly)
{
    net::listener_limits limits;
    limits.readTimeout = milliseconds(500);
    for (const std::string begin : {"GET /quick HTTP/1.1\r\nX-Slow: ",
                                    "POST /quick HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"}) {
        section(begin, [&] {
            draining_server server(limits);
            keep_alive_caller caller(server.address());
            caller.sendText(begin);
            std::function<void()> sendNextByte = [&] {
                if (!caller.isOpen())
                    return server.listener().drain();
                caller.sendText("x");
                server.runAfter(milliseconds(50), sendNextByte);
            };
            server.runWhen([] { return true; }, sendNextByte);
            check(server.runUntilDrained());
            check(!caller.readAnswer());
        });
    }
}

// Guards against a server that turns every new caller away because others hold all connections with
// requests that do not end.
Test(http_listener, connections_held_by_slow_requests)
{
    net::listener_limits limits;
    limits.connectionLimit = 3;
    draining_server server(limits);
    keep_alive_caller idle(server.address());
    keep_alive_caller slowest(server.address());
    slowest.sendText("GET /quick HTTP/1.1\r\nX-Slow: ");
    std::unique_ptr<keep_alive_caller> slow;
    std::optional<keep_alive_caller> tooEarly;
    std::optional<keep_alive_caller> caller;
    server.runWhen([&] { return server.listener().activity().reading == 1; },
                   [&] {
                       slow = holdBody(server.address(), 1000, false);
                       tooEarly.emplace(server.address());
                       server.runWhen([&] { return !tooEarly->isOpen(); },
                                      [&] {
                                          check(slowest.isOpen());
                                          server.runAfter(milliseconds(1500), [&] {
                                              caller.emplace(server.address());
                                              caller->send("GET", "/quick");
                                              server.runWhen([&] { return !caller->isOpen(); },
                                                             [&] { server.listener().drain(); });
                                          });
                                      });
                   });
    check(server.runUntilDrained());
    check(caller->readAnswer() == 200);
    check(slowest.requestOutcome() == request_outcome::Closed);
    check(server.listener().totals().madeRoom == 1);
    check(server.listener().totals().overLimit == 1);
}

// Guards against memory that a caller takes behind a request which is not answered yet: bytes that
// have arrived and are not read count as the process's.
Test(http_listener, bytes_behind_a_request)
{
    net::listener_limits limits;
    limits.receiveBufferBytes = 16 * 1024;
    draining_server server(limits);
    keep_alive_caller caller(server.address());
    caller.send("GET", "/slow");
    std::size_t arrivedBytes = 0;
    server.runWhen([&] { return server.openResponders().size() == 1; },
                   [&] {
                       arrivedBytes = caller.fillConnection();
                       server.openResponders()[0]({200, {{"Connection", "close"}}, ""});
                       server.listener().drain();
                   });
    check(server.runUntilDrained());
    check(arrivedBytes > 0);
    check(arrivedBytes <= 2 * static_cast<std::size_t>(limits.receiveBufferBytes));
}
