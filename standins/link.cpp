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

constexpr int PollTimeoutMs = 5;
constexpr int ListenBacklog = 256;
constexpr std::size_t ChunkBytes = 65'536;

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
        throw std::runtime_error("link: cannot create a socket");
    const int enabled = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return handle;
}

} // namespace

link::link(socket_address listen, socket_address target)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
{
    openListener();
    m_relayThread = std::thread([this] { run(); });
}

link::~link()
{
    m_isStopping = true;
    m_relayThread.join();
    closeListener();
    for (const auto &relayed : m_connections)
        closeConnection(relayed, true);
}

void link::setState(link_state state, milliseconds delay)
{
    m_delayMs = delay.count();
    m_requestedState = state;
    while (m_appliedState != state)
        std::this_thread::yield();
}

void link::run()
{
    while (!m_isStopping) {
        const auto state = m_requestedState.load();
        if (state != m_appliedState)
            applyState(state);
        waitForInput(state);
        if (state == link_state::Blackholed || state == link_state::Cut)
            continue;
        acceptConnection();
        for (auto &relayed : m_connections)
            relayBothWays(relayed, state);
        removeBrokenConnections();
    }
}

void link::applyState(link_state state)
{
    if (state == link_state::Cut) {
        closeListener();
        for (const auto &relayed : m_connections)
            closeConnection(relayed, true);
        m_connections.clear();
    } else if (m_listener < 0) {
        openListener();
    }
    m_appliedState = state;
}

void link::openListener()
{
    m_listener = newSocket(SOCK_NONBLOCK);
    const auto boundAddress = socketAddressOf(m_listen);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&boundAddress), sizeof boundAddress)
                != 0
        || listen(m_listener, ListenBacklog) != 0)
        throw std::runtime_error("link: cannot listen on " + toText(m_listen));
}

void link::closeListener()
{
    if (m_listener >= 0)
        close(m_listener);
    m_listener = -1;
}

// The caller's connection is accepted before the target's is made, so it is reset when the target
// refuses.
void link::acceptConnection()
{
    const int caller = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0)
        return;
    connection accepted;
    accepted.caller = caller;
    accepted.target = newSocket(0);
    const auto targetAddress = socketAddressOf(m_target);
    if (connect(accepted.target, reinterpret_cast<const sockaddr *>(&targetAddress),
                sizeof targetAddress)
        != 0) {
        closeConnection(accepted, true);
        return;
    }
    ++m_acceptedConnections;
    m_connections.push_back(std::move(accepted));
}

void link::waitForInput(link_state state)
{
    std::vector<pollfd> descriptors;
    if (state != link_state::Blackholed && state != link_state::Cut) {
        descriptors.push_back({m_listener, POLLIN, 0});
        for (const auto &relayed : m_connections) {
            if (!relayed.requests.isSourceClosed && relayed.requests.unsentBytes.empty())
                descriptors.push_back({relayed.caller, POLLIN, 0});
            if (!relayed.answers.isSourceClosed && relayed.answers.unsentBytes.empty())
                descriptors.push_back({relayed.target, POLLIN, 0});
        }
    }
    poll(descriptors.data(), descriptors.size(), PollTimeoutMs);
}

void link::relayBothWays(connection &relayed, link_state state)
{
    relayOneWay(relayed.requests, relayed.caller, relayed.target, false, relayed.isBroken);
    relayOneWay(relayed.answers, relayed.target, relayed.caller,
                state == link_state::AnswersDropped, relayed.isBroken);
    if (relayed.requests.isCloseForwarded && relayed.answers.isCloseForwarded)
        relayed.isBroken = true;
}

void link::relayOneWay(relay_buffer &buffer, int from, int to, bool shouldDiscard,
                       bool &isConnectionBroken)
{
    std::array<char, ChunkBytes> chunk;
    if (buffer.unsentBytes.empty() && !buffer.isSourceClosed) {
        const auto receivedBytes = recv(from, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (receivedBytes > 0) {
            if (!shouldDiscard)
                buffer.unsentBytes.assign(chunk.data(), static_cast<std::size_t>(receivedBytes));
            buffer.dueAt = monotonic_clock::now() + milliseconds(m_delayMs);
        } else if (receivedBytes == 0) {
            buffer.isSourceClosed = !shouldDiscard; // end of stream is discarded like the data
        } else if (errno != EAGAIN) {
            isConnectionBroken = !shouldDiscard;
        }
    }
    if (!buffer.unsentBytes.empty() && buffer.dueAt <= monotonic_clock::now()) {
        const auto sentBytes = send(to, buffer.unsentBytes.data(), buffer.unsentBytes.size(),
                                    MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sentBytes > 0)
            buffer.unsentBytes.erase(0, static_cast<std::size_t>(sentBytes));
        else if (errno != EAGAIN)
            isConnectionBroken = true;
    }
    if (buffer.isSourceClosed && buffer.unsentBytes.empty() && !buffer.isCloseForwarded) {
        shutdown(to, SHUT_WR);
        buffer.isCloseForwarded = true;
    }
}

void link::closeConnection(const connection &relayed, bool reset) const
{
    const linger lingerNow{1, 0}; // close() then sends a reset
    for (const int side : {relayed.caller, relayed.target}) {
        if (reset)
            setsockopt(side, SOL_SOCKET, SO_LINGER, &lingerNow, sizeof lingerNow);
        close(side);
    }
}

void link::removeBrokenConnections()
{
    std::erase_if(m_connections, [this](const connection &relayed) {
        if (relayed.isBroken)
            closeConnection(relayed, false);
        return relayed.isBroken;
    });
}

} // namespace zinniabarrow::standins
