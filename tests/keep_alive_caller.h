// A client with one open keep-alive connection; the test decides when it sends and when it reads.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "base/names.h"
#include "runtime/http.h"

namespace zinniabarrow::tests {

// The outcome of a request. The server may have closed the connection before it was sent.
enum class request_outcome {
    Answered,
    Closed,  // the server ended the connection in order, without a complete answer
    Reset,   // the connection was reset: the server had closed it before it read all bytes
    TimedOut // the connection is still open
};

inline constexpr name_table<request_outcome, 4> RequestOutcomeNames{{
        {request_outcome::Answered, "answered"},
        {request_outcome::Closed, "closed"},
        {request_outcome::Reset, "reset"},
        {request_outcome::TimedOut, "timed_out"},
}};

class keep_alive_caller
{
public:
    // Connects immediately; isOpen() is false when the connection was refused.
    explicit keep_alive_caller(const std::string &server)
        : m_server(server)
        , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = parseAddress(server);
        sockaddr_in serverAddress{};
        serverAddress.sin_family = AF_INET;
        serverAddress.sin_port = htons(static_cast<std::uint16_t>(address.port));
        inet_pton(AF_INET, address.address.c_str(), &serverAddress.sin_addr);
        m_isConnected = connect(m_socket, reinterpret_cast<const sockaddr *>(&serverAddress),
                                sizeof serverAddress)
                        == 0;
    }
    ~keep_alive_caller() { close(m_socket); }
    keep_alive_caller(const keep_alive_caller &) = delete;
    keep_alive_caller &operator=(const keep_alive_caller &) = delete;

    // Returns true if the server has neither closed the connection nor announced that it will, and
    // no unread bytes are waiting.
    bool isOpen() const
    {
        char byte = 0;
        return m_isConnected && !m_isCloseAnnounced
               && recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    // Waits; returns false as soon as isOpen() is false.
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
    // Returns true if the server closed the connection after reading everything that had arrived.
    // If unread bytes were left, the connection would be reset instead.
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

    // Sends until nothing more is taken; returns the bytes of it that the server's machine has
    // acknowledged.
    std::size_t fillConnection()
    {
        const std::string part(16 * 1024, 'x');
        std::size_t sentBytes = 0;
        constexpr int PauseMs = 200;
        pollfd pollEntry{m_socket, POLLOUT, 0};
        while (poll(&pollEntry, 1, PauseMs) == 1) {
            const auto sent =
                    ::send(m_socket, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0)
                break;
            sentBytes += static_cast<std::size_t>(sent);
        }
        int unacknowledgedBytes = 0;
        ioctl(m_socket, SIOCOUTQ, &unacknowledgedBytes);
        return sentBytes - static_cast<std::size_t>(unacknowledgedBytes);
    }

    // Reads the next answer; returns its status, or nullopt if it does not arrive completely by
    // `giveUpAt`.
    std::optional<int> readAnswer(time_point giveUpAt)
    {
        while (answerBytes() == 0) {
            m_outcome = readSome(giveUpAt);
            if (m_outcome != request_outcome::Answered) {
                m_answer = std::exchange(m_unparsed, {});
                return std::nullopt;
            }
        }
        m_outcome = request_outcome::Answered;
        m_answer = m_unparsed.substr(0, answerBytes());
        m_unparsed.erase(0, m_answer.size());
        m_isCloseAnnounced = m_answer.find("\r\nConnection: close\r\n") != std::string::npos;
        constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
        return std::stoi(m_answer.substr(StatusAt, 3));
    }
    std::optional<int> readAnswer() { return readAnswer(monotonic_clock::now() + AnswerTimeout); }
    // How the last readAnswer() ended.
    request_outcome outcome() const { return m_outcome; }
    // Text of the last answer, as far as it arrived.
    const std::string &answerText() const { return m_answer; }
    // The last time at which the connection was seen open, during readAnswer() or staysOpenFor().
    time_point lastSeenOpenAt() const { return m_lastSeenOpenAt; }

    // Reads the next answer and returns how its request ended.
    request_outcome requestOutcome()
    {
        readAnswer();
        return m_outcome;
    }

private:
    // Bytes of the first unparsed answer; 0 while it is incomplete.
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

    // Waits for bytes and adds them to the unparsed ones: Answered. Otherwise tells why there are
    // none.
    request_outcome readSome(time_point giveUpAt)
    {
        char buffer[4096];
        pollfd pollEntry{m_socket, POLLIN, 0};
        for (auto now = monotonic_clock::now();
             poll(&pollEntry, 1, static_cast<int>(PollInterval.count())) == 0;
             now = monotonic_clock::now()) {
            m_lastSeenOpenAt = now;
            if (now > giveUpAt)
                return request_outcome::TimedOut;
        }
        const auto receivedBytes = recv(m_socket, buffer, sizeof buffer, 0);
        if (receivedBytes < 0)
            return request_outcome::Reset;
        if (receivedBytes == 0)
            return request_outcome::Closed;
        m_unparsed.append(buffer, static_cast<std::size_t>(receivedBytes));
        return request_outcome::Answered;
    }

    static constexpr milliseconds PollInterval{5};
    static constexpr milliseconds AnswerTimeout{20'000};

    std::string m_server;
    int m_socket;
    bool m_isConnected = false;
    bool m_isCloseAnnounced = false; // the last answer had "Connection: close"
    std::string m_unparsed;          // bytes after the answers that were returned
    std::string m_answer;
    request_outcome m_outcome = request_outcome::Answered; // of the last readAnswer()
    time_point m_lastSeenOpenAt{};
};

} // namespace zinniabarrow::tests
