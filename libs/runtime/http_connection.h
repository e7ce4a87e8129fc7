// The server's side of one connection: what it waits for, until when, and which one gives way when
// all threads are in use. Part of http.cpp: nothing else includes this.
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
    Idle,    // no byte of a request has come
    Reading, // a request is coming
    Serving, // the handler has it
    Writing, // the answer is going out
};

// All connections that have a thread, or were given one, by socket.
class connection_table
{
public:
    // False: the caller's address holds `perAddress` connections already; 0 sets no bound.
    bool isBelowAddressLimit(const std::string &address, std::size_t perAddress);
    void add(socket_t socket, const std::string &address);
    void remove(socket_t socket); // before the socket is closed: its number is used again
    void setPhase(socket_t socket, connection_phase phase); // also on progress in the same phase

    // Ends the connection that has kept its thread waiting for longest; false when none has for
    // long enough. A caller that stalls would otherwise keep others out for its whole deadline.
    bool closeLongestStalled(time_point now);

private:
    struct tracked_connection
    {
        std::string address;
        connection_phase phase = connection_phase::Idle;
        time_point phaseSince{}; // of the phase
        bool isClosing = false;  // shut down to make room
    };

    std::mutex m_mutex;
    std::map<socket_t, tracked_connection> m_tracked;
    std::map<std::string, std::size_t> m_countByAddress;
};

// A connection's bytes under deadlines. cpp-httplib's own stream restarts its time limit with every
// byte: a caller that drips one byte each few seconds would hold a thread for hours.
class connection_stream : public httplib::Stream
{
public:
    connection_stream(socket_t socket, connection_table &book, const http_server_limits &limits);

    // True when a request begins before the deadline; asks `closing` now and then.
    template <typename Closing>
    bool waitForRequest(time_point deadline, Closing closing);
    void markServing(); // the request is whole, the handler runs
    bool hasRequestTimedOut() const { return m_hasRequestTimedOut; }
    bool hasWriteTimedOut() const { return m_hasWriteTimedOut; }

    bool is_readable() const override;                                      // NOLINT
    bool is_writable() const override;                                      // NOLINT
    ssize_t read(char *into, size_t size) override;                         //
    ssize_t write(const char *from, size_t size) override;                  //
    void get_remote_ip_and_port(std::string &ip, int &port) const override; // NOLINT
    void get_local_ip_and_port(std::string &ip, int &port) const override;  // NOLINT
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t BufferBytes = 4096; // heads are read byte by byte

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
    std::size_t m_bufferBegin = 0; // unread bytes of the buffer: from here
    std::size_t m_bufferEnd = 0;   // to here
};

template <typename Closing>
bool connection_stream::waitForRequest(time_point deadline, Closing closing)
{
    // How soon a planned stop ends an idle connection. Each look wakes a thread: at 20 ms the idle
    // connections of an entry took more processor time than all of its duties.
    constexpr milliseconds CloseCheckInterval{250};
    setPhase(connection_phase::Idle);
    while (m_bufferBegin == m_bufferEnd && !closing()) {
        const auto now = monotonic_clock::now();
        if (now >= deadline)
            break;
        if (waitForSocket(POLLIN, std::min<time_point>(deadline, now + CloseCheckInterval)))
            break;
    }
    // What has come is read, whatever this thread was late for.
    if (m_bufferBegin == m_bufferEnd && !waitForSocket(POLLIN, monotonic_clock::now()))
        return false;
    setPhase(connection_phase::Reading);
    m_readDeadline = monotonic_clock::now() + m_limits.readTimeout;
    return true;
}

} // namespace zinniabarrow
