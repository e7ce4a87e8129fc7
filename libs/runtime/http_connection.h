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
class connection_book
{
public:
    // False: the caller's address holds `perAddress` connections already; 0 sets no bound.
    bool hasShare(const std::string &address, std::size_t perAddress);
    void open(socket_t socket, const std::string &address);
    void close(socket_t socket); // before the socket is closed: its number is used again
    void enter(socket_t socket, connection_phase phase); // also on progress in the same phase

    // Ends the connection that has kept its thread waiting for longest; false when none has for
    // long enough. A caller that stalls would otherwise keep others out for its whole deadline.
    bool makeRoom(time_point now);

private:
    struct held
    {
        std::string address;
        connection_phase phase = connection_phase::Idle;
        time_point since{};  // of the phase
        bool ending = false; // shut down to make room
    };

    std::mutex m_mutex;
    std::map<socket_t, held> m_held;
    std::map<std::string, std::size_t> m_perAddress;
};

// A connection's bytes under deadlines. cpp-httplib's own stream restarts its time limit with every
// byte: a caller that drips one byte each few seconds would hold a thread for hours.
class connection_stream : public httplib::Stream
{
public:
    connection_stream(socket_t socket, connection_book &book, const http_server_limits &limits);

    // True when a request begins before the deadline; asks `closing` now and then.
    template <typename Closing>
    bool waitForRequest(time_point deadline, Closing closing);
    void serving(); // the request is whole, the handler runs
    bool requestTooSlow() const { return m_requestTooSlow; }
    bool answerNotTaken() const { return m_answerNotTaken; }

    bool is_readable() const override;                                      // NOLINT
    bool is_writable() const override;                                      // NOLINT
    ssize_t read(char *into, size_t size) override;                         //
    ssize_t write(const char *from, size_t size) override;                  //
    void get_remote_ip_and_port(std::string &ip, int &port) const override; // NOLINT
    void get_local_ip_and_port(std::string &ip, int &port) const override;  // NOLINT
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t BufferBytes = 4096; // heads are read byte by byte

    bool waitFor(short events, time_point deadline) const;
    void enter(connection_phase phase);
    ssize_t fill();

    const socket_t m_socket;
    connection_book &m_book;
    const http_server_limits &m_limits;
    connection_phase m_phase = connection_phase::Idle;
    time_point m_readUntil{};
    time_point m_writeUntil{};
    bool m_requestTooSlow = false;
    bool m_answerNotTaken = false;
    std::array<char, BufferBytes> m_buffer;
    std::size_t m_from = 0; // unread bytes of the buffer: from here
    std::size_t m_to = 0;   // to here
};

template <typename Closing>
bool connection_stream::waitForRequest(time_point deadline, Closing closing)
{
    // How soon a planned stop ends an idle connection. Each look wakes a thread: at 20 ms the idle
    // connections of an entry took more processor time than all of its duties.
    constexpr milliseconds LookEvery{250};
    enter(connection_phase::Idle);
    while (m_from == m_to && !closing()) {
        const auto now = monotonic_clock::now();
        if (now >= deadline)
            break;
        if (waitFor(POLLIN, std::min<time_point>(deadline, now + LookEvery)))
            break;
    }
    // What has come is read, whatever this thread was late for.
    if (m_from == m_to && !waitFor(POLLIN, monotonic_clock::now()))
        return false;
    enter(connection_phase::Reading);
    m_readUntil = monotonic_clock::now() + m_limits.readWithin;
    return true;
}

} // namespace zinniabarrow
