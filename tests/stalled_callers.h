// Clients that open connections, send a part of a request and then stall.
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

    // Opens one more connection from the loopback address `from` and sends `part` of a request.
    // Returns false when the connection failed.
    bool open(const std::string &from, const std::string &part)
    {
        const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int bufferBytes = 4096; // small, so that an unread answer stays in the server
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        const auto localAddress = toSocketAddress(from, 0);
        const auto serverAddress = toSocketAddress(m_server.address, m_server.port);
        const bool connected =
                bind(handle, reinterpret_cast<const sockaddr *>(&localAddress), sizeof localAddress)
                        == 0
                && connect(handle, reinterpret_cast<const sockaddr *>(&serverAddress),
                           sizeof serverAddress)
                           == 0;
        if (connected)
            m_open.push_back(handle);
        else
            close(handle);
        return connected && send(part);
    }

    // Sends more on the newest connection; returns false when it is closed.
    bool send(const std::string &part)
    {
        return ::send(m_open.back(), part.data(), part.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(part.size());
    }

    // Sends a complete request on the newest connection and reads its answer, which ends with
    // `answerEnd`. After that the server is certain to count this connection, in whichever order it
    // admits new ones. Returns false when there is no answer.
    bool exchange(const std::string &request, const std::string &answerEnd)
    {
        if (!send(request))
            return false;
        std::string text;
        while (!text.ends_with(answerEnd)) {
            if (!receive(text))
                return false;
        }
        return true;
    }

    // Removes the connections that the server has closed; returns how many remain.
    std::size_t countStillOpen()
    {
        std::erase_if(m_open, [](int each) {
            char byte = 0;
            const bool isClosed = recv(each, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
                                  || (errno != EAGAIN && errno != EWOULDBLOCK);
            if (isClosed)
                close(each);
            return isClosed;
        });
        return m_open.size();
    }

    // Reads the newest connection until it is closed.
    std::string readToEnd()
    {
        std::string text;
        while (receive(text)) { }
        return text;
    }

private:
    // Appends the next bytes of the newest connection; returns false when it is closed or nothing
    // arrives in time.
    bool receive(std::string &text)
    {
        char buffer[4096];
        pollfd pollEntry{m_open.back(), POLLIN, 0};
        constexpr int ReadTimeoutMs = 10'000;
        if (poll(&pollEntry, 1, ReadTimeoutMs) != 1)
            return false;
        const auto receivedBytes = recv(m_open.back(), buffer, sizeof buffer, 0);
        if (receivedBytes <= 0)
            return false;
        text.append(buffer, static_cast<std::size_t>(receivedBytes));
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
