#include "runtime/http_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace zinniabarrow {

namespace {

// How long a connection may keep its thread waiting before it gives way to a new one. Idle is above
// the time for which our own clients reuse a connection (http_pool_limits::idleAtMost).
std::optional<milliseconds> graceOf(connection_phase phase)
{
    switch (phase) {
    case connection_phase::Idle:
        return milliseconds(3000);
    case connection_phase::Reading:
        return milliseconds(1000);
    case connection_phase::Writing:
        return milliseconds(5000);
    case connection_phase::Serving:
        break;
    }
    return std::nullopt; // its request may run: only its own deadline ends it
}

void addressIn(const sockaddr_storage &from, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (from.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(from);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else if (from.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(from);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

} // namespace

bool connection_book::hasShare(const std::string &address, std::size_t perAddress)
{
    const std::lock_guard lock(m_mutex);
    const auto counted = m_perAddress.find(address);
    return perAddress == 0 || counted == m_perAddress.end() || counted->second < perAddress;
}

void connection_book::open(socket_t socket, const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    ++m_perAddress[address];
    m_held[socket] = {address, connection_phase::Idle, monotonic_clock::now(), false};
}

void connection_book::close(socket_t socket)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_held.find(socket);
    const auto counted = m_perAddress.find(found->second.address);
    if (--counted->second == 0)
        m_perAddress.erase(counted);
    m_held.erase(found);
}

void connection_book::enter(socket_t socket, connection_phase phase)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_held.find(socket);
    if (found == m_held.end())
        return; // one that is only refused has no place in the book
    found->second.phase = phase;
    found->second.since = monotonic_clock::now();
}

bool connection_book::makeRoom(time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto longest = m_held.end();
    for (auto each = m_held.begin(); each != m_held.end(); ++each) {
        const auto grace = graceOf(each->second.phase);
        if (!grace || each->second.ending || each->second.since + *grace > now)
            continue;
        if (longest == m_held.end() || each->second.since < longest->second.since)
            longest = each;
    }
    if (longest == m_held.end())
        return false;
    longest->second.ending = true;
    shutdown(longest->first, SHUT_RDWR); // wakes its thread
    return true;
}

connection_stream::connection_stream(socket_t socket, connection_book &book,
                                     const http_server_limits &limits)
    : m_socket(socket)
    , m_book(book)
    , m_limits(limits)
{ }

void connection_stream::serving()
{
    enter(connection_phase::Serving);
}

void connection_stream::enter(connection_phase phase)
{
    m_phase = phase;
    m_book.enter(m_socket, phase);
}

bool connection_stream::waitFor(short events, time_point deadline) const
{
    pollfd waiting{m_socket, events, 0};
    while (true) {
        const auto left = std::max<milliseconds::rep>(
                std::chrono::ceil<milliseconds>(deadline - monotonic_clock::now()).count(), 0);
        const int ready = poll(&waiting, 1, static_cast<int>(left));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

bool connection_stream::is_readable() const
{
    return m_from < m_to || waitFor(POLLIN, m_readUntil);
}

bool connection_stream::is_writable() const
{
    const bool first = m_phase != connection_phase::Writing;
    return waitFor(POLLOUT, first ? monotonic_clock::now() + m_limits.writeWithin : m_writeUntil);
}

ssize_t connection_stream::fill()
{
    if (!waitFor(POLLIN, m_readUntil) || monotonic_clock::now() >= m_readUntil) {
        m_requestTooSlow = true;
        return -1;
    }
    const auto got = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_from = 0;
    m_to = got > 0 ? static_cast<std::size_t>(got) : 0;
    return got;
}

ssize_t connection_stream::read(char *into, size_t size)
{
    if (m_from == m_to) {
        const auto got = fill();
        if (got <= 0)
            return got;
    }
    const auto taken = std::min(size, m_to - m_from);
    std::memcpy(into, m_buffer.data() + m_from, taken);
    m_from += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t connection_stream::write(const char *from, size_t size)
{
    if (m_phase != connection_phase::Writing)
        m_writeUntil = monotonic_clock::now() + m_limits.writeWithin;
    enter(connection_phase::Writing);
    if (!waitFor(POLLOUT, m_writeUntil) || monotonic_clock::now() >= m_writeUntil) {
        m_answerNotTaken = true;
        return -1;
    }
    return send(m_socket, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void connection_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&from), &size) == 0)
        addressIn(from, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&from), &size) == 0)
        addressIn(from, ip, port);
}

} // namespace zinniabarrow
