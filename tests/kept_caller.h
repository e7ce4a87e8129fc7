// A caller that keeps one connection open, sends when it is told to and reads when it is told to.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include "runtime/http.h"

namespace zinniabarrow::tests {

// What became of a request; the process may have closed the connection before it was sent.
enum class request_fate { Answered, CutOff };

class kept_caller
{
public:
    // Connects at once; isOpen() is false when it was refused.
    explicit kept_caller(const std::string &server)
        : m_server(server)
        , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = parseAddress(server);
        sockaddr_in there{};
        there.sin_family = AF_INET;
        there.sin_port = htons(static_cast<std::uint16_t>(address.port));
        inet_pton(AF_INET, address.address.c_str(), &there.sin_addr);
        m_connected =
                connect(m_socket, reinterpret_cast<const sockaddr *>(&there), sizeof there) == 0;
    }
    ~kept_caller() { close(m_socket); }
    kept_caller(const kept_caller &) = delete;
    kept_caller &operator=(const kept_caller &) = delete;

    // The process has not closed the connection, and no bytes wait here.
    bool isOpen() const
    {
        char byte = 0;
        return m_connected && recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    bool send(const std::string &method, const std::string &path, const std::string &body = "")
    {
        const auto host = m_server.substr(0, m_server.find(':'));
        const std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host
                                 + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                 + body;
        return sendText(text);
    }
    bool sendText(const std::string &text)
    {
        return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(text.size());
    }

    // The status of the next answer, if it comes whole.
    std::optional<int> readAnswer()
    {
        while (answerBytes() == 0) {
            const auto more = readSome();
            if (more.empty())
                return std::nullopt;
            m_read += more;
        }
        constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
        const int status = std::stoi(m_read.substr(StatusAt, 3));
        m_read.erase(0, answerBytes());
        return status;
    }

    request_fate fate() { return readAnswer() ? request_fate::Answered : request_fate::CutOff; }

private:
    // Of the first answer that was read; 0 while it isn't whole.
    std::size_t answerBytes() const
    {
        constexpr std::string_view HeadEnd = "\r\n\r\n";
        const auto headEnds = m_read.find(HeadEnd);
        if (headEnds == std::string::npos)
            return 0;
        constexpr std::string_view Field = "Content-Length: ";
        const auto field = m_read.find(Field);
        const bool hasBody = field < headEnds;
        const auto length = hasBody ? std::stoul(m_read.substr(field + Field.size())) : 0;
        const auto bytes = headEnds + HeadEnd.size() + length;
        return m_read.size() >= bytes ? bytes : 0;
    }

    // Empty: the connection is over, or nothing came for long.
    std::string readSome()
    {
        constexpr int PatienceMs = 20'000;
        char piece[4096];
        pollfd waiting{m_socket, POLLIN, 0};
        if (poll(&waiting, 1, PatienceMs) != 1)
            return {};
        const auto got = recv(m_socket, piece, sizeof piece, 0);
        return got <= 0 ? std::string{} : std::string(piece, static_cast<std::size_t>(got));
    }

    std::string m_server;
    int m_socket;
    bool m_connected = false;
    std::string m_read; // beyond the answers that were taken
};

} // namespace zinniabarrow::tests
