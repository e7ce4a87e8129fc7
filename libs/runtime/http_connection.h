// The connections of http_server: their phases and deadlines, and which one is closed when all
// threads are in use. Internal to http_server; included by http.cpp and http_connection.cpp only.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include <httplib.h>
#include <poll.h>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow {

enum class connection_phase {
    Idle,    // no byte of the next request has arrived
    Reading, // a request has arrived in part
    Serving, // the handler runs
    Writing, // the answer is being sent
};

// The admitted connections by socket: each is served by a thread or queued for one that was
// reserved for it. Thread-safe; the server (http.cpp) and the connection_streams call it.
class connection_table
{
public:
    // Returns whether `address` has fewer than `maxPerAddress` connections; 0: no limit.
    bool isBelowAddressLimit(const std::string &address, std::size_t maxPerAddress);
    void add(socket_t socket, const std::string &address);
    void remove(socket_t socket); // call before closing the socket: its number is reused
    void setPhase(socket_t socket, connection_phase phase); // call it also on progress in a phase

    // Closes the connection that has stalled the longest, to free its thread. Returns false when
    // none has exceeded the grace period of its phase (gracePeriodOf() in http_connection.cpp). A
    // connection in phase Serving is never closed here, since its request may be executing, nor one
    // with bytes that its thread has not read yet. Without this function, a stalled client would
    // hold its thread until its deadline.
    bool closeLongestStalled(time_point now);

private:
    struct tracked_connection
    {
        std::string address;
        connection_phase phase = connection_phase::Idle;
        time_point phaseSince{}; // start of the phase, or its last progress
        bool isClosing = false;  // already shut down to free its thread
    };

    std::mutex m_mutex;
    std::map<socket_t, tracked_connection> m_tracked;
    std::map<std::string, std::size_t> m_countByAddress;
};

// Reads and writes one connection under deadlines. cpp-httplib's own stream restarts its timeout
// with every byte, so that a client that sends one byte every few seconds would hold a thread for
// hours.
class connection_stream : public httplib::Stream
{
public:
    connection_stream(socket_t socket, connection_table &connectionTable,
                      const http_server_limits &limits);

    // Waits until bytes of the next request arrive, `deadline` passes or `isStopping` returns true;
    // `isStopping` is called once per CloseCheckInterval. Returns whether bytes can be read, also
    // after the deadline or at a stop: bytes that have arrived are still read. If so, the phase
    // becomes Reading and the time limit for reading the request starts.
    template <typename Predicate>
    bool waitForRequest(time_point deadline, Predicate isStopping);
    void markServing(); // call when the request is complete and its handler starts
    bool hasRequestTimedOut() const { return m_hasRequestTimedOut; }
    bool hasWriteTimedOut() const { return m_hasWriteTimedOut; }

    bool is_readable() const override; // NOLINT
    bool is_writable() const override; // NOLINT
    // Both return the number of bytes, or -1 at an error or when the deadline has passed. read()
    // returns 0 when the peer has closed.
    ssize_t read(char *into, size_t size) override;
    ssize_t write(const char *from, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override; // NOLINT
    void get_local_ip_and_port(std::string &ip, int &port) const override;  // NOLINT
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t BufferBytes = 4096; // httplib reads heads byte by byte

    bool waitForSocket(short events, time_point deadline) const;
    void setPhase(connection_phase phase);
    ssize_t fillBuffer();

    const socket_t m_socket;
    connection_table &m_connectionTable;
    const http_server_limits &m_limits;
    connection_phase m_phase = connection_phase::Idle;
    time_point m_readDeadline{};
    time_point m_writeDeadline{};
    bool m_hasRequestTimedOut = false;
    bool m_hasWriteTimedOut = false;
    std::array<char, BufferBytes> m_buffer;
    std::size_t m_bufferBegin = 0; // unread bytes: from here
    std::size_t m_bufferEnd = 0;   // up to here
};

template <typename Predicate>
bool connection_stream::waitForRequest(time_point deadline, Predicate isStopping)
{
    // The longest delay before an idle connection notices that the server stops. Every check wakes
    // a thread: at 20 ms, the idle connections of an entry used more CPU time than all of its
    // actors.
    constexpr milliseconds CloseCheckInterval{250};
    setPhase(connection_phase::Idle);
    while (m_bufferBegin == m_bufferEnd && !isStopping()) {
        const auto now = monotonic_clock::now();
        if (now >= deadline)
            break;
        if (waitForSocket(POLLIN, std::min<time_point>(deadline, now + CloseCheckInterval)))
            break;
    }
    // Bytes that have already arrived are read even if this thread woke up after the deadline.
    if (m_bufferBegin == m_bufferEnd && !waitForSocket(POLLIN, monotonic_clock::now()))
        return false;
    setPhase(connection_phase::Reading);
    m_readDeadline = monotonic_clock::now() + m_limits.readTimeout;
    return true;
}

} // namespace zinniabarrow
