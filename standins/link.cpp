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
#include <utility>

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

socket_address addressOf(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

socket_address boundAddressOf(int handle)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    return addressOf(address);
}

int newSocket()
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (handle < 0)
        throw std::runtime_error("link: cannot create a socket");
    const int enabled = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return handle;
}

void resetAndClose(int handle)
{
    const linger lingerNow{1, 0}; // close() then sends a reset
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &lingerNow, sizeof lingerNow);
    close(handle);
}

bool holdsRequests(link_state state)
{
    return state == link_state::Blackholed || state == link_state::RequestsHeld;
}

bool holdsAnswers(link_state state)
{
    return state == link_state::Blackholed || state == link_state::AnswersHeld;
}

// Whether the other end has closed the connection. Discards what it has sent.
bool isClosedByPeer(int handle)
{
    std::array<char, ChunkBytes> chunk;
    while (true) {
        const auto receivedBytes = recv(handle, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (receivedBytes <= 0)
            return receivedBytes == 0 || errno != EAGAIN;
    }
}

} // namespace

link::link(socket_address listen, socket_address target, caller_lookup lookup)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_lookup(std::move(lookup))
{
    openListener();
    m_relayThread = std::thread([this] { run(); });
}

link::~link()
{
    m_isStopping = true;
    m_relayThread.join();
    closeListener();
    for (auto &relayed : m_connections) {
        reset(relayed, reset_reach::BothEnds);
        closeConnection(relayed);
    }
}

void link::setState(link_state state, milliseconds delay)
{
    runOnRelayThread([this, state, delay] { applyState({state, delay}); });
}

void link::setStateOf(const std::string &caller, link_state state, milliseconds delay)
{
    runOnRelayThread([this, caller, state, delay] {
        m_conditionsOfCallers[caller] = {state, delay};
    });
}

void link::resetConnections(reset_reach reach)
{
    runOnRelayThread([this, reach] {
        for (auto &relayed : m_connections)
            reset(relayed, reach);
    });
}

void link::resetConnectionsOf(const std::string &caller, reset_reach reach)
{
    runOnRelayThread([this, caller, reach] {
        for (auto &relayed : m_connections) {
            if (relayed.callerName == caller)
                reset(relayed, reach);
        }
    });
}

void link::runOnRelayThread(std::function<void()> change)
{
    std::packaged_task<void()> task(std::move(change));
    auto done = task.get_future();
    {
        const std::lock_guard lock(m_changesMutex);
        m_changes.push_back(std::move(task));
    }
    done.get();
}

void link::run()
{
    while (!m_isStopping) {
        applyChanges();
        waitForInput();
        acceptConnections();
        for (auto &relayed : m_connections)
            advance(relayed);
        removeEndedConnections();
    }
}

void link::applyChanges()
{
    std::vector<std::packaged_task<void()>> changes;
    {
        const std::lock_guard lock(m_changesMutex);
        changes.swap(m_changes);
    }
    for (auto &change : changes) {
        change();
        for (auto &relayed : m_connections)
            advance(relayed);
        removeEndedConnections();
    }
}

void link::applyState(const link_condition &condition)
{
    m_condition = condition;
    if (condition.state == link_state::Cut && !m_lookup)
        closeListener();
    else if (m_listener < 0)
        openListener();
}

void link::openListener()
{
    m_listener = newSocket();
    const auto boundAddress = socketAddressOf(m_listen);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&boundAddress), sizeof boundAddress)
                != 0
        || listen(m_listener, ListenBacklog) != 0)
        throw std::runtime_error("link: cannot listen on " + toText(m_listen));
    if (m_listen.port == 0)
        m_listen = boundAddressOf(m_listener);
}

void link::closeListener()
{
    if (m_listener >= 0)
        close(m_listener);
    m_listener = -1;
}

const link::link_condition &link::conditionOf(const connection &relayed) const
{
    const auto own = m_conditionsOfCallers.find(relayed.callerName);
    return own == m_conditionsOfCallers.end() ? m_condition : own->second;
}

void link::waitForInput()
{
    std::vector<pollfd> descriptors;
    if (m_listener >= 0)
        descriptors.push_back({m_listener, POLLIN, 0});
    for (const auto &relayed : m_connections) {
        if (relayed.state != connection_state::Relayed)
            continue;
        const auto state = conditionOf(relayed).state;
        const auto awaitsInput = [](const relay_buffer &buffer) {
            return !buffer.isSourceClosed && !buffer.isEndDiscarded && buffer.unsentBytes.empty();
        };
        if (awaitsInput(relayed.requests) && !holdsRequests(state))
            descriptors.push_back({relayed.caller, POLLIN, 0});
        if (awaitsInput(relayed.answers) && !holdsAnswers(state))
            descriptors.push_back({relayed.target, POLLIN, 0});
    }
    poll(descriptors.data(), descriptors.size(), PollTimeoutMs);
}

void link::acceptConnections()
{
    while (m_listener >= 0) {
        sockaddr_in callerEnd{};
        socklen_t size = sizeof callerEnd;
        connection accepted;
        accepted.caller = accept4(m_listener, reinterpret_cast<sockaddr *>(&callerEnd), &size,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted.caller < 0)
            return;
        if (m_lookup)
            accepted.callerName = m_lookup(addressOf(callerEnd), m_listen);
        m_connections.push_back(std::move(accepted));
    }
}

void link::advance(connection &relayed)
{
    const auto &condition = conditionOf(relayed);
    if (relayed.state == connection_state::HalfOpen) {
        if (isClosedByPeer(relayed.caller >= 0 ? relayed.caller : relayed.target))
            relayed.state = connection_state::Closed;
        return;
    }
    if (condition.state == link_state::Cut)
        return reset(relayed, reset_reach::BothEnds);
    if (relayed.state == connection_state::Accepted && !holdsRequests(condition.state))
        connectToTarget(relayed);
    if (relayed.state == connection_state::Relayed)
        relayBothWays(relayed, condition);
}

// The caller's connection is accepted before the target's is made, so it is reset when the target
// refuses. Reads and writes of a connection that isn't made yet have no effect.
void link::connectToTarget(connection &accepted) const
{
    accepted.target = newSocket();
    const auto targetAddress = socketAddressOf(m_target);
    const bool isRefused =
            connect(accepted.target, reinterpret_cast<const sockaddr *>(&targetAddress),
                    sizeof targetAddress)
                    != 0
            && errno != EINPROGRESS;
    accepted.state = isRefused ? connection_state::Broken : connection_state::Relayed;
}

void link::relayBothWays(connection &relayed, const link_condition &condition)
{
    const auto state = condition.state;
    bool isBroken = false;
    if (!holdsRequests(state))
        isBroken = !relayOneWay(relayed.requests, relayed.caller, relayed.target, false,
                                condition.delay);
    if (!holdsAnswers(state) && !isBroken)
        isBroken = !relayOneWay(relayed.answers, relayed.target, relayed.caller,
                                state == link_state::AnswersDropped, condition.delay);
    if (isBroken)
        relayed.state = connection_state::Broken;
    else if (relayed.requests.isCloseForwarded && relayed.answers.isCloseForwarded)
        relayed.state = connection_state::Closed;
}

bool link::relayOneWay(relay_buffer &buffer, int from, int to, bool shouldDiscard,
                       milliseconds delay)
{
    std::array<char, ChunkBytes> chunk;
    if (buffer.unsentBytes.empty() && !buffer.isSourceClosed) {
        const auto receivedBytes = recv(from, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (receivedBytes > 0) {
            if (!shouldDiscard)
                buffer.unsentBytes.assign(chunk.data(), static_cast<std::size_t>(receivedBytes));
            buffer.dueAt = monotonic_clock::now() + delay;
        } else if (receivedBytes == 0 || errno != EAGAIN) {
            if (receivedBytes < 0 && !shouldDiscard)
                return false;
            // The end of the stream is discarded like the data.
            buffer.isSourceClosed = !shouldDiscard;
            buffer.isEndDiscarded = shouldDiscard;
        }
    }
    if (!buffer.unsentBytes.empty() && buffer.dueAt <= monotonic_clock::now()) {
        const auto sentBytes = send(to, buffer.unsentBytes.data(), buffer.unsentBytes.size(),
                                    MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sentBytes > 0)
            buffer.unsentBytes.erase(0, static_cast<std::size_t>(sentBytes));
        else if (errno != EAGAIN)
            return false;
    }
    if (buffer.isSourceClosed && buffer.unsentBytes.empty() && !buffer.isCloseForwarded) {
        shutdown(to, SHUT_WR);
        buffer.isCloseForwarded = true;
    }
    return true;
}

void link::reset(connection &relayed, reset_reach reach)
{
    if (reach == reset_reach::BothEnds) {
        relayed.state = connection_state::Broken;
        return;
    }
    if (relayed.state != connection_state::Relayed)
        return;
    auto &reached = reach == reset_reach::Caller ? relayed.caller : relayed.target;
    resetAndClose(std::exchange(reached, -1));
    relayed.state = connection_state::HalfOpen;
}

void link::closeConnection(const connection &relayed)
{
    for (const int end : {relayed.caller, relayed.target}) {
        if (end < 0)
            continue;
        if (relayed.state == connection_state::Broken)
            resetAndClose(end);
        else
            close(end);
    }
}

void link::removeEndedConnections()
{
    std::erase_if(m_connections, [](const connection &relayed) {
        const bool hasEnded = relayed.state == connection_state::Closed
                              || relayed.state == connection_state::Broken;
        if (hasEnded)
            closeConnection(relayed);
        return hasEnded;
    });
}

} // namespace zinniabarrow::standins
