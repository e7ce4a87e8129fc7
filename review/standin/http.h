// A small HTTP/1.1 server and client with blocking sockets and one thread per connection, for the
// stand-ins of the review. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
            .count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct response
{
    int status = 200;
    std::string body;
    std::string extraHeaders = {}; // complete lines
};

inline std::string lower(std::string text)
{
    for (auto &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string urlDecode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// Reads one HTTP message: the head into `head` and the body, by its Content-Length.
class message_reader
{
public:
    explicit message_reader(int socket)
        : m_socket(socket)
    { }

    bool read(std::string &head, std::string &body, std::int64_t deadlineMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadlineMs))
                return false;
        }
        head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t length = 0;
        const auto at = lower(head).find("\r\ncontent-length:");
        if (at != std::string::npos)
            length = std::stoul(head.substr(at + 17));
        while (m_buffer.size() < length) {
            if (!more(deadlineMs))
                return false;
        }
        body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

private:
    bool more(std::int64_t deadlineMs)
    {
        const auto left = deadlineMs - steadyMs();
        pollfd ready{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0)
            return false;
        char part[65536];
        const auto got = ::recv(m_socket, part, sizeof part, 0);
        if (got <= 0)
            return false;
        m_buffer.append(part, static_cast<std::size_t>(got));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto part = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (part <= 0)
            return false;
        sent += static_cast<std::size_t>(part);
    }
    return true;
}

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }
};

// A handler that returns nothing leaves the request without an answer: the connection stays open
// and silent.
using handler = std::function<std::optional<response>(const request &)>;

class server
{
public:
    server(const address &at, handler serve)
        : m_serve(std::move(serve))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto native = at.native();
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
            || ::listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen at " + at.text());
        m_thread = std::thread([this] { acceptAll(); });
    }
    ~server()
    {
        *m_open = false;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }
    server(const server &) = delete;
    server &operator=(const server &) = delete;

private:
    void acceptAll()
    {
        while (*m_open) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([socket, serve = m_serve, open = m_open] {
                serveAll(socket, serve, open);
            }).detach();
        }
    }

    static void serveAll(int socket, const handler &serve,
                         const std::shared_ptr<std::atomic<bool>> &open)
    {
        message_reader reader(socket);
        std::string head;
        std::string body;
        while (*open) {
            pollfd ready{socket, POLLIN, 0};
            const int polled = ::poll(&ready, 1, 200);
            if (polled == 0)
                continue;
            if (polled < 0 || !reader.read(head, body, steadyMs() + 10'000))
                break;
            const auto answer = serve(parse(head, std::move(body)));
            if (!answer)
                continue; // silent from now on, until the peer closes
            const auto text = "HTTP/1.1 " + std::to_string(answer->status)
                              + " X\r\nContent-Type: application/json\r\n" + answer->extraHeaders
                              + "Content-Length: " + std::to_string(answer->body.size())
                              + "\r\n\r\n" + answer->body;
            if (!*open || !sendAll(socket, text))
                break;
        }
        ::close(socket);
    }

    static request parse(const std::string &head, std::string body)
    {
        request result;
        const auto firstLine = head.substr(0, head.find("\r\n"));
        const auto space = firstLine.find(' ');
        result.method = firstLine.substr(0, space);
        auto target = firstLine.substr(space + 1, firstLine.rfind(' ') - space - 1);
        const auto mark = target.find('?');
        result.path = target.substr(0, mark);
        if (mark != std::string::npos) {
            auto rest = target.substr(mark + 1);
            while (!rest.empty()) {
                const auto end = rest.find('&');
                const auto pair = rest.substr(0, end);
                const auto equals = pair.find('=');
                result.query[pair.substr(0, equals)] =
                        equals == std::string::npos ? "" : urlDecode(pair.substr(equals + 1));
                rest = end == std::string::npos ? "" : rest.substr(end + 1);
            }
        }
        std::size_t at = head.find("\r\n") + 2;
        while (at < head.size()) {
            const auto end = head.find("\r\n", at);
            const auto line = head.substr(at, end - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.headers[lower(line.substr(0, colon))] = value;
            }
            at = end + 2;
        }
        result.body = std::move(body);
        return result;
    }

    handler m_serve;
    int m_listener;
    std::shared_ptr<std::atomic<bool>> m_open = std::make_shared<std::atomic<bool>>(true);
    std::thread m_thread;
};

// One call on a connection of its own; nothing: no answer in time, or the connection broke.
inline std::optional<response> call(const address &to, const std::string &method,
                                    const std::string &target, const std::string &host,
                                    const std::string &body, std::int64_t timeoutMs,
                                    const std::string &extraHeaders = "")
{
    const auto deadline = steadyMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto native = to.native();
    timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::optional<response> result;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0) {
        const auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host
                          + "\r\nContent-Type: application/json\r\nDeadline-Ms: "
                          + std::to_string(timeoutMs) + "\r\n" + extraHeaders
                          + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string head;
        std::string answerBody;
        message_reader reader(socket);
        if (sendAll(socket, text) && reader.read(head, answerBody, deadline))
            result = response{std::stoi(head.substr(9, 3)), answerBody, {}};
    }
    ::close(socket);
    return result;
}

} // namespace review
