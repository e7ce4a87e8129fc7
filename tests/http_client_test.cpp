// Tests how http_client classifies calls that fail to connect, and which connections it uses.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

// A local port whose accept queue can be filled; it never answers.
class full_port
{
public:
    full_port()
    {
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        auto *address = reinterpret_cast<sockaddr *>(&m_address);
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof m_address;
        require(bind(m_socket, address, length) == 0);
        require(getsockname(m_socket, address, &length) == 0);
    }
    ~full_port()
    {
        for (const auto connection : m_connections)
            close(connection);
        close(m_socket);
    }
    full_port(const full_port &) = delete;
    full_port &operator=(const full_port &) = delete;

    // Fills the accept queue; the kernel drops further connection attempts silently.
    void fill()
    {
        constexpr int Connections = 8;
        require(listen(m_socket, 0) == 0);
        for (int index = 0; index < Connections; ++index) {
            m_connections.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(connect(m_connections.back(),
                                      reinterpret_cast<const sockaddr *>(&m_address),
                                      sizeof m_address));
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)); }

private:
    int m_socket = -1;
    sockaddr_in m_address{};
    std::vector<int> m_connections;
};

std::optional<call_failure> failureOfCall(const std::string &address)
{
    net::event_loop loop;
    net::http_client client(loop);
    std::optional<call_failure> failure;
    client.call(address, {"GET", "/", {}, ""}, seconds(5), [&](const call_result &result) {
        if (const auto *failed = std::get_if<call_failure>(&result))
            failure = *failed;
        loop.stop();
    });
    loop.run([](const std::exception &) {});
    return failure;
}

} // namespace

// Guards against taking a worker that could not be reached in time for one that has ended: only a
// refused connection shows that no process listens there.
Test(http_client, refused_and_unreachable_peers)
{
    full_port port;
    section("no process listens: the connection is refused",
            [&] { check(failureOfCall(port.address()) == call_failure::ConnectionRefused); });
    section("a process listens, but the connect times out", [&] {
        port.fill();
        check(failureOfCall(port.address()) == call_failure::NotConnected);
    });
    section("only these two failures prove that the request did not arrive", [] {
        check(!mayHaveArrived(call_failure::ConnectionRefused));
        check(!mayHaveArrived(call_failure::NotConnected));
        check(mayHaveArrived(call_failure::IncompleteAnswer));
        check(mayHaveArrived(call_failure::TimedOut));
        check(mayHaveArrived(call_failure::TooLarge));
    });
}

namespace {

// A server that ends and is started again at the same address, and its caller. The steps of a test
// run on one event loop, one after the other.
class restarting_server
{
public:
    using step = std::function<void(std::function<void()> next)>;

    restarting_server()
    {
        start({"127.0.0.1", 0});
        m_address = m_listener->address();
    }

    net::http_client &client() { return m_client; }
    std::string peer() const { return toText(m_address); }
    int requests() const { return m_requests; } // that this incarnation was given

    step call(const time_point &openedBefore, std::function<void(const call_result &)> inspect)
    {
        return [this, &openedBefore, inspect = std::move(inspect)](std::function<void()> next) {
            constexpr seconds TimeLimit{5};
            net::large_call_options options{{TimeLimit, TimeLimit, TimeLimit}, 1000};
            options.openedBefore = openedBefore;
            m_client.call(peer(), {"GET", "/", {}, ""}, std::move(options),
                          [inspect, next = std::move(next)](const call_result &result) {
                              inspect(result);
                              next();
                          });
        };
    }

    step restart()
    {
        return [this](std::function<void()> next) {
            m_listener->drain();
            startOnceDrained(std::move(next));
        };
    }

    void run(const std::vector<step> &steps)
    {
        m_loop.runAfter(milliseconds(0), [&] { runFrom(steps, 0); });
        m_loop.run([this](const std::exception &) { m_loop.stop(); });
    }

private:
    void start(const socket_address &address)
    {
        m_requests = 0;
        m_listener.reset();
        m_listener = std::make_unique<net::http_listener>(
                m_loop, address, net::listener_limits{},
                [this](const http_request &, const net::responder &respond) {
                    ++m_requests;
                    respond({200, {}, ""});
                });
    }

    void startOnceDrained(std::function<void()> next)
    {
        m_loop.runAfter(milliseconds(1), [this, next = std::move(next)]() mutable {
            if (!m_listener->isDrained())
                return startOnceDrained(std::move(next));
            start(m_address);
            next();
        });
    }

    void runFrom(const std::vector<step> &steps, std::size_t index)
    {
        if (index == steps.size())
            return m_loop.stop();
        steps[index]([this, &steps, index] { runFrom(steps, index + 1); });
    }

    net::event_loop m_loop;
    net::http_client m_client{m_loop};
    int m_requests = 0;
    socket_address m_address;
    std::unique_ptr<net::http_listener> m_listener;
};

bool isAnswer(const call_result &result)
{
    return std::holds_alternative<http_response>(result);
}

bool isNotConnected(const call_result &result)
{
    const auto *failure = std::get_if<call_failure>(&result);
    return failure != nullptr && *failure == call_failure::NotConnected;
}

} // namespace

// Guards against a call that another process takes than the one it was meant for: that one ended,
// and the next one listens at the same address.
Test(http_client, calls_on_connections_opened_before)
{
    restarting_server server;
    const time_point anyTime = Never;
    time_point answeredAt{};
    int steps = 0;
    server.run({
            server.call(anyTime,
                        [&](const call_result &result) {
                            check(isAnswer(result));
                            answeredAt = net::suspendAwareNow();
                            check(server.client().hasIdleConnection(server.peer(), answeredAt));
                            ++steps;
                        }),
            server.call(answeredAt,
                        [&](const call_result &result) {
                            section("the connection of an answered call is used again", [&] {
                                check(isAnswer(result));
                                check(server.requests() == 2);
                            });
                            ++steps;
                        }),
            server.restart(),
            server.call(answeredAt,
                        [&](const call_result &result) {
                            section("the next process is not called instead", [&] {
                                check(isNotConnected(result));
                                check(server.requests() == 0);
                            });
                            ++steps;
                        }),
            server.call(anyTime, [&](const call_result &result) { check(isAnswer(result)); }),
            server.call(answeredAt,
                        [&](const call_result &result) {
                            section("nor on a connection that other calls have opened to it", [&] {
                                check(server.client().hasIdleConnection(server.peer(), Never));
                                check(isNotConnected(result));
                                check(server.requests() == 1);
                            });
                            ++steps;
                        }),
    });
    check(steps == 4);
}
