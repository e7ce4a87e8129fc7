#include "standins/link.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniabarrow::standins {

namespace {

constexpr int PollMilliseconds = 5;
constexpr int Backlog = 256;
constexpr std::size_t PieceBytes = 65'536;

sockaddr_in socketAddressOf(const socket_address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.address.c_str(), &out.sin_addr);
    return out;
}

int newSocket(int flags)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (handle < 0)
        throw std::runtime_error("link: no socket");
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return handle;
}

} // namespace

link::link(socket_address listen, socket_address target)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
{
    openListener();
    m_relay = std::thread([this] { run(); });
}

link::~link()
{
    m_stopping = true;
    m_relay.join();
    closeListener();
    for (const auto &each : m_connections)
        closeConnection(each, true);
}

void link::set(link_state state, milliseconds delay)
{
    m_delay = delay.count();
    m_wanted = state;
    while (m_applied != state)
        std::this_thread::yield();
}

void link::run()
{
    while (!m_stopping) {
        const auto state = m_wanted.load();
        if (state != m_applied)
            apply(state);
        waitForSomething(state);
        if (state == link_state::Silent || state == link_state::Cut)
            continue;
        acceptOne();
        for (auto &each : m_connections)
            move(each, state);
        dropBroken();
    }
}

void link::apply(link_state state)
{
    if (state == link_state::Cut) {
        closeListener();
        for (const auto &each : m_connections)
            closeConnection(each, true);
        m_connections.clear();
    } else if (m_listener < 0) {
        openListener();
    }
    m_applied = state;
}

void link::openListener()
{
    m_listener = newSocket(SOCK_NONBLOCK);
    const auto where = socketAddressOf(m_listen);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0
        || listen(m_listener, Backlog) != 0)
        throw std::runtime_error("link: cannot listen on " + toText(m_listen));
}

void link::closeListener()
{
    if (m_listener >= 0)
        close(m_listener);
    m_listener = -1;
}

// A target that refuses is shown to the caller as a reset, the nearest that a relay can do.
void link::acceptOne()
{
    const int caller = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0)
        return;
    connection made;
    made.caller = caller;
    made.target = newSocket(0);
    const auto where = socketAddressOf(m_target);
    if (connect(made.target, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        closeConnection(made, true);
        return;
    }
    ++m_accepted;
    m_connections.push_back(std::move(made));
}

void link::waitForSomething(link_state state)
{
    std::vector<pollfd> watched;
    if (state != link_state::Silent && state != link_state::Cut) {
        watched.push_back({m_listener, POLLIN, 0});
        for (const auto &each : m_connections) {
            if (!each.requests.ended && each.requests.waiting.empty())
                watched.push_back({each.caller, POLLIN, 0});
            if (!each.answers.ended && each.answers.waiting.empty())
                watched.push_back({each.target, POLLIN, 0});
        }
    }
    poll(watched.data(), watched.size(), PollMilliseconds);
}

void link::move(connection &each, link_state state)
{
    movePipe(each.requests, each.caller, each.target, false, each.broken);
    movePipe(each.answers, each.target, each.caller, state == link_state::AnswersLost, each.broken);
    if (each.requests.closed && each.answers.closed)
        each.broken = true;
}

void link::movePipe(pipe &through, int from, int to, bool lost, bool &broken)
{
    std::array<char, PieceBytes> piece;
    if (through.waiting.empty() && !through.ended) {
        const auto got = recv(from, piece.data(), piece.size(), MSG_DONTWAIT);
        if (got > 0) {
            if (!lost)
                through.waiting.assign(piece.data(), static_cast<std::size_t>(got));
            through.dueAt = monotonic_clock::now() + milliseconds(m_delay);
        } else if (got == 0) {
            through.ended = !lost; // the end of a lost answer is lost too
        } else if (errno != EAGAIN) {
            broken = !lost;
        }
    }
    if (!through.waiting.empty() && through.dueAt <= monotonic_clock::now()) {
        const auto sent = send(to, through.waiting.data(), through.waiting.size(),
                               MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0)
            through.waiting.erase(0, static_cast<std::size_t>(sent));
        else if (errno != EAGAIN)
            broken = true;
    }
    if (through.ended && through.waiting.empty() && !through.closed) {
        shutdown(to, SHUT_WR);
        through.closed = true;
    }
}

void link::closeConnection(const connection &each, bool reset) const
{
    const linger now{1, 0};
    for (const int side : {each.caller, each.target}) {
        if (reset)
            setsockopt(side, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(side);
    }
}

void link::dropBroken()
{
    std::erase_if(m_connections, [this](const connection &each) {
        if (each.broken)
            closeConnection(each, false);
        return each.broken;
    });
}

} // namespace zinniabarrow::standins
