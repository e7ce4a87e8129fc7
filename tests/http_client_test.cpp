// Tests how http_client classifies calls that fail to connect.
#include <optional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "net/event_loop.h"
#include "net/http_client.h"
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
