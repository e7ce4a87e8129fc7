#include "net.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t MaxMessageBytes = 32 * 1024 * 1024;
constexpr milliseconds RelayPollInterval{100}; // between two looks whether the link is cut

sockaddr_in socketAddress(const endpoint &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int listenAt(endpoint &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto name = socketAddress(address);
    if (bind(listener, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0
        || listen(listener, 256) != 0)
        throw std::runtime_error("cannot listen at " + toText(address));
    socklen_t size = sizeof name;
    getsockname(listener, reinterpret_cast<sockaddr *>(&name), &size);
    address.port = ntohs(name.sin_port);
    return listener;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool writeAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto written = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

bool isReadable(int socket, milliseconds wait)
{
    pollfd waiting{socket, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(wait.count())) > 0;
}

// Appends what has arrived; false: the connection ended, or nothing came before the deadline.
bool readSome(int socket, std::string &buffer, std::optional<steady_clock::time_point> deadline)
{
    if (deadline) {
        const auto left = std::chrono::duration_cast<milliseconds>(*deadline - steady_clock::now());
        if (left.count() <= 0 || !isReadable(socket, left))
            return false;
    }
    char part[65536];
    const auto count = recv(socket, part, sizeof part, 0);
    if (count <= 0 || buffer.size() > MaxMessageBytes)
        return false;
    buffer.append(part, static_cast<std::size_t>(count));
    return true;
}

void parseHead(const std::string &head, http_message &message)
{
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string word;
    first >> word;
    if (word.starts_with("HTTP/")) {
        first >> message.status;
    } else {
        message.method = word;
        first >> message.target;
    }
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return std::tolower(letter); });
        const auto from = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r ");
        message.headers[name] =
                from == std::string::npos || end < from ? "" : line.substr(from, end - from + 1);
    }
}

// Reads one message; what follows it stays in the buffer.
std::optional<http_message> readMessage(int socket, std::string &buffer,
                                        std::optional<steady_clock::time_point> deadline)
{
    const std::string headEnd = "\r\n\r\n";
    while (buffer.find(headEnd) == std::string::npos) {
        if (!readSome(socket, buffer, deadline))
            return std::nullopt;
    }
    const auto headSize = buffer.find(headEnd) + headEnd.size();
    http_message message;
    parseHead(buffer.substr(0, headSize), message);
    const auto length = message.headers.find("content-length");
    const std::size_t bodySize = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < headSize + bodySize) {
        if (!readSome(socket, buffer, deadline))
            return std::nullopt;
    }
    message.body = buffer.substr(headSize, bodySize);
    buffer.erase(0, headSize + bodySize);
    return message;
}

std::string toBytes(const http_message &message)
{
    std::ostringstream text;
    if (message.status != 0)
        text << "HTTP/1.1 " << message.status << " X\r\n";
    else
        text << message.method << ' ' << message.target << " HTTP/1.1\r\n";
    for (const auto &[name, value] : message.headers)
        text << name << ": " << value << "\r\n";
    text << "Content-Type: application/json\r\nContent-Length: " << message.body.size()
         << "\r\n\r\n"
         << message.body;
    return text.str();
}

int connectTo(const endpoint &peer)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto name = socketAddress(peer);
    if (connect(connection, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0) {
        close(connection);
        return -1;
    }
    setNoDelay(connection);
    return connection;
}

// The inode of the socket that is connected from one local port to another, as /proc/net/tcp lists
// it; empty: none.
std::string inodeOfConnection(int fromPort, int toPort)
{
    const auto portOf = [](const std::string &address) {
        const auto colon = address.find(':');
        return colon == std::string::npos ? 0 : std::stoi(address.substr(colon + 1), nullptr, 16);
    };
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        words >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user
                >> timeout >> inode;
        if (portOf(local) == fromPort && portOf(remote) == toPort)
            return inode;
    }
    return {};
}

bool ownsSocket(int process, const std::string &inode)
{
    std::error_code ignored; // the process may have ended
    const auto folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto &entry : std::filesystem::directory_iterator(folder, ignored)) {
        if (std::filesystem::read_symlink(entry.path(), ignored) == "socket:[" + inode + "]")
            return true;
    }
    return false;
}

} // namespace

std::string toText(const endpoint &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

http_server::http_server(const endpoint &address, http_handler handler)
    : m_address(address)
    , m_handler(std::move(handler))
{
    open();
}

void http_server::open()
{
    const std::lock_guard lock(m_mutex);
    m_listener = listenAt(m_address);
    std::thread([this, listener = m_listener] { accept(listener); }).detach();
}

void http_server::close()
{
    const std::lock_guard lock(m_mutex);
    shutdown(m_listener, SHUT_RDWR); // ends accept(), which closes it
    m_listener = -1;
    for (const int connection : m_connections)
        shutdown(connection, SHUT_RDWR);
}

void http_server::accept(int listener)
{
    while (true) {
        const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (m_listener != listener) {
            if (connection >= 0)
                ::close(connection);
            ::close(listener);
            return;
        }
        if (connection < 0)
            continue;
        setNoDelay(connection);
        m_connections.insert(connection);
        std::thread([this, connection] { serve(connection); }).detach();
    }
}

void http_server::serve(int socket)
{
    std::string buffer;
    while (const auto request = readMessage(socket, buffer, std::nullopt)) {
        const auto answer = m_handler(*request);
        if (!answer || !writeAll(socket, toBytes(*answer)))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(socket);
    ::close(socket);
}

std::optional<http_message> call(const endpoint &peer, const http_message &request,
                                 milliseconds timeout)
{
    const int connection = connectTo(peer);
    if (connection < 0)
        return std::nullopt;
    std::string buffer;
    std::optional<http_message> answer;
    if (writeAll(connection, toBytes(request)))
        answer = readMessage(connection, buffer, steady_clock::now() + timeout);
    close(connection);
    return answer;
}

link::link(const endpoint &listen, const endpoint &target)
    : m_listen(listen)
    , m_target(target)
    , m_listener(listenAt(m_listen))
{
    std::thread([this] { accept(); }).detach();
}

void link::cut(int process)
{
    m_cutProcess = process;
    m_isCut = true;
}

void link::heal()
{
    m_isCut = false;
}

bool link::isCutFor(int process) const
{
    return m_isCut && (m_cutProcess == 0 || m_cutProcess == process);
}

void link::accept()
{
    while (true) {
        sockaddr_in caller{};
        socklen_t size = sizeof caller;
        const int near =
                ::accept4(m_listener, reinterpret_cast<sockaddr *>(&caller), &size, SOCK_CLOEXEC);
        if (near < 0)
            continue;
        setNoDelay(near);
        std::thread([this, near, port = ntohs(caller.sin_port)] {
            // Only while a process is cut off it matters whose connection this is. Connections that
            // were made before are told apart when the cut begins, see relay().
            const int far = connectTo(m_target);
            if (far < 0) {
                close(near);
                return;
            }
            const auto ownerOf = [this, port] {
                const int process = m_cutProcess;
                if (process == 0)
                    return -1;
                return ownsSocket(process, inodeOfConnection(port, m_listen.port)) ? process : -1;
            };
            std::atomic<bool> isOpen{true};
            const auto pump = [&](int from, int to) {
                std::string bytes;
                bool wasCut = false;
                int owner = -1;
                while (isOpen) {
                    const bool isCut = m_isCut;
                    if (isCut && !wasCut)
                        owner = ownerOf();
                    wasCut = isCut;
                    if (isCut && isCutFor(owner)) {
                        std::this_thread::sleep_for(RelayPollInterval);
                        continue;
                    }
                    if (!isReadable(from, RelayPollInterval))
                        continue;
                    if (m_isCut && !wasCut)
                        continue;
                    if (!readSome(from, bytes, std::nullopt) || !writeAll(to, bytes))
                        break;
                    bytes.clear();
                }
                isOpen = false;
            };
            std::thread back([&] { pump(far, near); });
            pump(near, far);
            back.join();
            close(near);
            close(far);
        }).detach();
    }
}

} // namespace review
