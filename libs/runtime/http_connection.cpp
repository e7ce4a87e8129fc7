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

// How long a connection may stall before its thread may be given to a new connection. Idle is
// longer than the time for which our own clients reuse a connection
// (http_pool_limits::maxIdleTime).
std::optional<milliseconds> gracePeriodOf(connection_phase phase)
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
    return std::nullopt; // its request may be executing: only its own deadline ends it
}

// Whether bytes wait that the connection's thread has not read yet. A connection that is closed
// then gets no answer to a request that has arrived.
bool hasUnreadBytes(socket_t socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Whether the client, and not the connection's own thread, is to continue.
bool awaitsClient(socket_t socket, connection_phase phase)
{
    return phase == connection_phase::Writing || !hasUnreadBytes(socket);
}

void readAddress(const sockaddr_storage &from, std::string &ip, int &port)
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

bool connection_table::isBelowAddressLimit(const std::string &address, std::size_t maxPerAddress)
{
    const std::lock_guard lock(m_mutex);
    const auto countOfAddress = m_countByAddress.find(address);
    return maxPerAddress == 0 || countOfAddress == m_countByAddress.end()
           || countOfAddress->second < maxPerAddress;
}

void connection_table::add(socket_t socket, const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    ++m_countByAddress[address];
    m_tracked[socket] = {address, connection_phase::Idle, monotonic_clock::now(), false};
}

void connection_table::remove(socket_t socket)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tracked.find(socket);
    const auto countOfAddress = m_countByAddress.find(found->second.address);
    if (--countOfAddress->second == 0)
        m_countByAddress.erase(countOfAddress);
    m_tracked.erase(found);
}

void connection_table::setPhase(socket_t socket, connection_phase phase)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tracked.find(socket);
    if (found == m_tracked.end())
        return; // a refused connection is not in the table
    found->second.phase = phase;
    found->second.phaseSince = monotonic_clock::now();
}

bool connection_table::closeLongestStalled(time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto longestStalled = m_tracked.end();
    for (auto each = m_tracked.begin(); each != m_tracked.end(); ++each) {
        const auto gracePeriod = gracePeriodOf(each->second.phase);
        if (!gracePeriod || each->second.isClosing || each->second.phaseSince + *gracePeriod > now)
            continue;
        // After a suspension of the process, its threads may not have noticed what arrived.
        if (!awaitsClient(each->first, each->second.phase))
            continue;
        if (longestStalled == m_tracked.end()
            || each->second.phaseSince < longestStalled->second.phaseSince)
            longestStalled = each;
    }
    if (longestStalled == m_tracked.end())
        return false;
    longestStalled->second.isClosing = true;
    shutdown(longestStalled->first, SHUT_RDWR); // wakes the thread that serves it
    return true;
}

connection_stream::connection_stream(socket_t socket, connection_table &connectionTable,
                                     const http_server_limits &limits)
    : m_socket(socket)
    , m_connectionTable(connectionTable)
    , m_limits(limits)
{ }

void connection_stream::markServing()
{
    setPhase(connection_phase::Serving);
}

void connection_stream::setPhase(connection_phase phase)
{
    m_phase = phase;
    m_connectionTable.setPhase(m_socket, phase);
}

bool connection_stream::waitForSocket(short events, time_point deadline) const
{
    pollfd pollEntry{m_socket, events, 0};
    while (true) {
        const auto remainingMs = std::max<milliseconds::rep>(
                std::chrono::ceil<milliseconds>(deadline - monotonic_clock::now()).count(), 0);
        const int readyCount = poll(&pollEntry, 1, static_cast<int>(remainingMs));
        if (readyCount >= 0 || errno != EINTR)
            return readyCount > 0;
    }
}

bool connection_stream::is_readable() const
{
    return m_bufferBegin < m_bufferEnd || waitForSocket(POLLIN, m_readDeadline);
}

bool connection_stream::is_writable() const
{
    const bool isFirstWrite = m_phase != connection_phase::Writing;
    return waitForSocket(POLLOUT, isFirstWrite ? monotonic_clock::now() + m_limits.writeTimeout
                                               : m_writeDeadline);
}

ssize_t connection_stream::fillBuffer()
{
    if (!waitForSocket(POLLIN, m_readDeadline) || monotonic_clock::now() >= m_readDeadline) {
        m_hasRequestTimedOut = true;
        return -1;
    }
    const auto receivedBytes = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_bufferBegin = 0;
    m_bufferEnd = receivedBytes > 0 ? static_cast<std::size_t>(receivedBytes) : 0;
    return receivedBytes;
}

ssize_t connection_stream::read(char *into, size_t size)
{
    if (m_bufferBegin == m_bufferEnd) {
        const auto receivedBytes = fillBuffer();
        if (receivedBytes <= 0)
            return receivedBytes;
    }
    const auto copiedBytes = std::min(size, m_bufferEnd - m_bufferBegin);
    std::memcpy(into, m_buffer.data() + m_bufferBegin, copiedBytes);
    m_bufferBegin += copiedBytes;
    return static_cast<ssize_t>(copiedBytes);
}

ssize_t connection_stream::write(const char *from, size_t size)
{
    if (m_phase != connection_phase::Writing)
        m_writeDeadline = monotonic_clock::now() + m_limits.writeTimeout;
    setPhase(connection_phase::Writing);
    if (!waitForSocket(POLLOUT, m_writeDeadline) || monotonic_clock::now() >= m_writeDeadline) {
        m_hasWriteTimedOut = true;
        return -1;
    }
    return send(m_socket, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void connection_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&from), &size) == 0)
        readAddress(from, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&from), &size) == 0)
        readAddress(from, ip, port);
}

} // namespace zinniabarrow
