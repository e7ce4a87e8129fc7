// A caller that keeps one connection open, sends when it is told to and reads when it is told to.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "runtime/http.h"

namespace zinniabarrow::tests {

// What became of a request; the process may have closed the connection before it was sent.
enum class request_outcome { Answered, ClosedWithoutAnswer };

class keep_alive_caller
{
public:
    // Connects at once; isOpen() is false when it was refused.
    explicit keep_alive_caller(const std::string &server)
        : m_server(server)
        , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = parseAddress(server);
        sockaddr_in there{};
        there.sin_family = AF_INET;
        there.sin_port = htons(static_cast<std::uint16_t>(address.port));
        inet_pton(AF_INET, address.address.c_str(), &there.sin_addr);
        m_isConnected =
                connect(m_socket, reinterpret_cast<const sockaddr *>(&there), sizeof there) == 0;
    }
    ~keep_alive_caller() { close(m_socket); }
    keep_alive_caller(const keep_alive_caller &) = delete;
    keep_alive_caller &operator=(const keep_alive_caller &) = delete;

    // The process has not closed the connection nor said that it will, and no bytes wait here.
    bool isOpen() const
    {
        char byte = 0;
        return m_isConnected && !m_isCloseAnnounced
               && recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    bool staysOpenFor(milliseconds span)
    {
        const auto end = monotonic_clock::now() + span;
        for (auto now = monotonic_clock::now(); isOpen(); now = monotonic_clock::now()) {
            m_lastSeenOpenAt = now;
            if (now >= end)
                return true;
            std::this_thread::sleep_for(PollInterval);
        }
        return false;
    }
    // The process closed it and had read all that had arrived: it is reset otherwise.
    bool isClosedInOrder() const
    {
        char byte = 0;
        return recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    bool send(const std::string &method, const std::string &path, const std::string &body = "")
    {
        return sendText(requestText(method, path, body));
    }
    std::string requestText(const std::string &method, const std::string &path,
                            const std::string &body) const
    {
        const auto host = m_server.substr(0, m_server.find(':'));
        return method + " " + path + " HTTP/1.1\r\nHost: " + host
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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
            if (more.empty()) {
                m_answer = std::exchange(m_unparsed, {});
                return std::nullopt;
            }
            m_unparsed += more;
        }
        m_answer = m_unparsed.substr(0, answerBytes());
        m_unparsed.erase(0, m_answer.size());
        m_isCloseAnnounced = m_answer.find("\r\nConnection: close\r\n") != std::string::npos;
        constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
        return std::stoi(m_answer.substr(StatusAt, 3));
    }
    const std::string &answerText() const { return m_answer; } // the last one, as far as it came
    // The last moment, in a wait for an answer or staysOpenFor(), at which it was not over.
    time_point lastSeenOpenAt() const { return m_lastSeenOpenAt; }

    request_outcome requestOutcome()
    {
        return readAnswer() ? request_outcome::Answered : request_outcome::ClosedWithoutAnswer;
    }

private:
    // Of the first answer that was read; 0 while it isn't whole.
    std::size_t answerBytes() const
    {
        constexpr std::string_view HeadEnd = "\r\n\r\n";
        const auto headEnds = m_unparsed.find(HeadEnd);
        if (headEnds == std::string::npos)
            return 0;
        constexpr std::string_view Field = "Content-Length: ";
        const auto field = m_unparsed.find(Field);
        const bool hasBody = field < headEnds;
        const auto length = hasBody ? std::stoul(m_unparsed.substr(field + Field.size())) : 0;
        const auto bytes = headEnds + HeadEnd.size() + length;
        return m_unparsed.size() >= bytes ? bytes : 0;
    }

    // Empty: the connection is over, or nothing came for long.
    std::string readSome()
    {
        constexpr milliseconds ReadTimeout{20'000};
        char piece[4096];
        pollfd waiting{m_socket, POLLIN, 0};
        const auto giveUpAt = monotonic_clock::now() + ReadTimeout;
        for (auto now = monotonic_clock::now();
             poll(&waiting, 1, static_cast<int>(PollInterval.count())) == 0;
             now = monotonic_clock::now()) {
            m_lastSeenOpenAt = now;
            if (now > giveUpAt)
                return {};
        }
        const auto got = recv(m_socket, piece, sizeof piece, 0);
        return got <= 0 ? std::string{} : std::string(piece, static_cast<std::size_t>(got));
    }

    static constexpr milliseconds PollInterval{5};

    std::string m_server;
    int m_socket;
    bool m_isConnected = false;
    bool m_isCloseAnnounced = false; // by the last answer
    std::string m_unparsed;          // beyond the answers that were taken
    std::string m_answer;
    time_point m_lastSeenOpenAt{};
};

} // namespace zinniabarrow::tests
