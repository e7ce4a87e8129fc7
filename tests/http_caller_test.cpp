// How far a call on the event loop got that brings no answer.
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "net/event_loop.h"
#include "net/http_caller.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

// A port of this machine that takes no more connections than its queue holds, and answers none.
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
        for (const auto caller : m_callers)
            close(caller);
        close(m_socket);
    }
    full_port(const full_port &) = delete;
    full_port &operator=(const full_port &) = delete;

    // Beyond these the machine leaves connects without a word.
    void fill()
    {
        constexpr int Callers = 8;
        require(listen(m_socket, 0) == 0);
        for (int index = 0; index < Callers; ++index) {
            m_callers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(connect(m_callers.back(),
                                      reinterpret_cast<const sockaddr *>(&m_address),
                                      sizeof m_address));
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)); }

private:
    int m_socket = -1;
    sockaddr_in m_address{};
    std::vector<int> m_callers;
};

std::optional<call_failure> failureOfCall(const std::string &address)
{
    net::event_loop loop;
    net::http_caller caller(loop);
    std::optional<call_failure> failure;
    caller.call(address, {"GET", "/", {}, ""}, seconds(5), [&](const call_result &result) {
        if (const auto *failed = std::get_if<call_failure>(&result))
            failure = *failed;
        loop.stop();
    });
    loop.run([](const std::exception &) {});
    return failure;
}

} // namespace

// A worker that could not be reached in time is taken for one that has ended.
Test(http_caller, who_is_not_there_and_who_is_not_reached)
{
    full_port port;
    section("nobody listens",
            [&] { check(failureOfCall(port.address()) == call_failure::ConnectionRefused); });
    section("somebody listens, and the connection is not made in time", [&] {
        port.fill();
        check(failureOfCall(port.address()) == call_failure::NotConnected);
    });
    section("neither has seen the request", [] {
        check(!mayHaveArrived(call_failure::ConnectionRefused));
        check(!mayHaveArrived(call_failure::NotConnected));
        check(mayHaveArrived(call_failure::IncompleteAnswer));
        check(mayHaveArrived(call_failure::TimedOut));
        check(mayHaveArrived(call_failure::TooLarge));
    });
}
