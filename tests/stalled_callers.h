// Callers that open connections, send a part of a request and then do nothing more.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "runtime/http.h"

namespace zinniabarrow::tests {

class stalled_callers
{
public:
    explicit stalled_callers(const std::string &server)
        : m_server(parseAddress(server))
    { }
    ~stalled_callers()
    {
        for (const int each : m_open)
            close(each);
    }
    stalled_callers(const stalled_callers &) = delete;
    stalled_callers &operator=(const stalled_callers &) = delete;

    // One more, from that loopback address; false when it was refused on the spot.
    bool open(const std::string &from, const std::string &part)
    {
        const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int small = 4096; // so that an answer that is not read stays with the server
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        const auto own = toSocketAddress(from, 0);
        const auto there = toSocketAddress(m_server.address, m_server.port);
        const bool connected =
                bind(handle, reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0
                && connect(handle, reinterpret_cast<const sockaddr *>(&there), sizeof there) == 0;
        if (connected)
            m_open.push_back(handle);
        else
            close(handle);
        return connected && send(part);
    }

    // Sends more on the newest one; false when its connection is over.
    bool send(const std::string &part)
    {
        return ::send(m_open.back(), part.data(), part.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(part.size());
    }

    // Sends a whole request on the newest one and takes its answer: the server holds the connection
    // from then on, whichever of several its threads took first. False: there is no answer.
    bool exchange(const std::string &request, const std::string &lastOfAnswer)
    {
        if (!send(request))
            return false;
        std::string text;
        while (!text.ends_with(lastOfAnswer)) {
            if (!receive(text))
                return false;
        }
        return true;
    }

    // Takes away those that the server has closed; returns how many stall on.
    std::size_t countStillOpen()
    {
        std::erase_if(m_open, [](int each) {
            char byte = 0;
            const bool over = recv(each, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
                              || (errno != EAGAIN && errno != EWOULDBLOCK);
            if (over)
                close(each);
            return over;
        });
        return m_open.size();
    }

    // What came on the newest one until its end.
    std::string readToEnd()
    {
        std::string text;
        while (receive(text)) { }
        return text;
    }

private:
    // Takes what comes next on the newest one; false when that is its end, or nothing comes.
    bool receive(std::string &text)
    {
        char piece[4096];
        pollfd waiting{m_open.back(), POLLIN, 0};
        constexpr int ReadTimeoutMs = 10'000;
        if (poll(&waiting, 1, ReadTimeoutMs) != 1)
            return false;
        const auto got = recv(m_open.back(), piece, sizeof piece, 0);
        if (got <= 0)
            return false;
        text.append(piece, static_cast<std::size_t>(got));
        return true;
    }

    static sockaddr_in toSocketAddress(const std::string &address, int port)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, address.c_str(), &out.sin_addr);
        return out;
    }

    socket_address m_server;
    std::vector<int> m_open;
};

} // namespace zinniabarrow::tests
