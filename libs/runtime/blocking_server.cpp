#include "runtime/blocking_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/time.h"

namespace zinniabarrow {

namespace {

// True when `link` has what `events` ask for, or has failed, which the next read or write shows.
bool waitFor(socket_t link, short events, milliseconds atMost)
{
    const auto giveUpAt = monotonic_clock::now() + atMost;
    while (true) {
        pollfd waiting{link, events, 0};
        const auto left = millisecondsUntil(giveUpAt, monotonic_clock::now());
        const int ready = poll(&waiting, 1, static_cast<int>(left));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

void nameEnd(const sockaddr_storage &end, socklen_t size, std::string &address, int &port)
{
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> service{};
    if (getnameinfo(reinterpret_cast<const sockaddr *>(&end), size, host.data(), host.size(),
                    service.data(), service.size(), NI_NUMERICHOST | NI_NUMERICSERV)
        != 0)
        return;
    address = host.data();
    port = std::atoi(service.data());
}

struct link_limits
{
    milliseconds readAtMost;
    milliseconds writeAtMost;
};

// One connection as httplib reads and writes it; its names are httplib's.
// NOLINTBEGIN(readability-identifier-naming)
class link_stream : public httplib::Stream
{
public:
    link_stream(socket_t link, link_limits limits)
        : m_link(link)
        , m_limits(limits)
    { }

    // A request may have come together with the one before.
    bool hasRequest(milliseconds within) const
    {
        return m_next < m_end || waitFor(m_link, POLLIN, within);
    }

    bool is_readable() const override
    {
        return m_next < m_end || waitFor(m_link, POLLIN, m_limits.readAtMost);
    }
    bool is_writable() const override { return waitFor(m_link, POLLOUT, m_limits.writeAtMost); }

    ssize_t read(char *to, std::size_t size) override
    {
        if (m_next == m_end) {
            if (!is_readable())
                return -1;
            const auto got = receive();
            if (got <= 0)
                return got;
            m_next = 0;
            m_end = static_cast<std::size_t>(got);
        }
        const auto taken = std::min(size, m_end - m_next);
        std::memcpy(to, m_buffer.data() + m_next, taken);
        m_next += taken;
        return static_cast<ssize_t>(taken);
    }

    ssize_t write(const char *from, std::size_t size) override
    {
        if (!is_writable())
            return -1;
        ssize_t sent = 0;
        do {
            sent = send(m_link, from, size, MSG_NOSIGNAL);
        } while (sent < 0 && errno == EINTR);
        return sent;
    }

    void get_remote_ip_and_port(std::string &address, int &port) const override
    {
        sockaddr_storage end{};
        socklen_t size = sizeof end;
        if (getpeername(m_link, reinterpret_cast<sockaddr *>(&end), &size) == 0)
            nameEnd(end, size, address, port);
    }
    void get_local_ip_and_port(std::string &address, int &port) const override
    {
        sockaddr_storage end{};
        socklen_t size = sizeof end;
        if (getsockname(m_link, reinterpret_cast<sockaddr *>(&end), &size) == 0)
            nameEnd(end, size, address, port);
    }
    socket_t socket() const override { return m_link; }

private:
    ssize_t receive()
    {
        ssize_t got = 0;
        do {
            got = recv(m_link, m_buffer.data(), m_buffer.size(), 0);
        } while (got < 0 && errno == EINTR);
        return got;
    }

    socket_t m_link;
    link_limits m_limits;
    std::array<char, 4096> m_buffer{};
    std::size_t m_next = 0; // what was received and not yet read
    std::size_t m_end = 0;
};
// NOLINTEND(readability-identifier-naming)

milliseconds limitOf(time_t whole, time_t microsecondsMore)
{
    return std::chrono::duration_cast<milliseconds>(seconds(whole)
                                                    + microseconds(microsecondsMore));
}

} // namespace

bool blocking_server::process_and_close_socket(socket_t link)
{
    link_stream stream(link, {limitOf(read_timeout_sec_, read_timeout_usec_),
                              limitOf(write_timeout_sec_, write_timeout_usec_)});
    const seconds keepAlive(keep_alive_timeout_sec_);
    bool isServed = true;
    bool isClosed = false;
    // A stopping server still waits here: a request that is on its way is served, not cut off.
    for (auto left = keep_alive_max_count_; left > 0 && isServed && !isClosed; --left) {
        if (svr_sock_ == INVALID_SOCKET || !stream.hasRequest(keepAlive))
            break;
        isServed = process_request(stream, left == 1, isClosed, nullptr);
    }
    shutdown(link, SHUT_RDWR);
    close(link);
    return isServed;
}

} // namespace zinniabarrow
