#include "net/http_listener.h"

#include <algorithm>
#include <exception>
#include <list>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/errors.h"
#include "net/event_loop_impl.h"
#include "net/socket_peek.h"

namespace zinniabarrow::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

class connection;

} // namespace

struct http_listener::shared_state
{
    shared_state(event_loop &eventLoop, const listener_limits &listenerLimits,
                 handler requestHandler, exchange_observer exchangeObserver)
        : loop(eventLoop)
        , limits(listenerLimits)
        , serve(std::move(requestHandler))
        , observer(std::move(exchangeObserver))
        , acceptor(eventLoop.internals().io)
    { }

    event_loop &loop;
    listener_limits limits;
    handler serve;
    exchange_observer observer;
    tcp::acceptor acceptor;
    std::list<connection *> connections;
    std::size_t inFlight = 0;
    std::size_t heldBytes = 0; // of all connections
    listener_totals totals;
    bool isClosing = false;  // each connection closes after its next answer
    bool isDraining = false; // idle connections close as well, and no more are accepted
};

namespace {

// Large, so that a burst of connections does not overflow it: a caller whose SYN is dropped sends
// it again only after a second.
constexpr int ListenBacklog = 1024;
// Time for the first request of a connection that was accepted last during a drain: a few round
// trips.
constexpr milliseconds FirstRequestTimeout{100};

// Time until the next try when no connection can be accepted, e.g. because the process has too many
// open files. Without a pause, the tries would take all processor time.
constexpr milliseconds AcceptRetryDelay{20};

// A request that has been arriving for this long gives way to another connection.
constexpr milliseconds MinSlowTime{1000};

// HTTP statuses of refused requests; none of these was handled.
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusUnavailable = 503;
constexpr const char *RetryAfterSeconds = "1";

constexpr std::size_t MinReadBytes = 512;
// Of the line before a chunk: 16 digits and two line ends.
constexpr std::size_t MaxChunkLineBytes = 20;

// What the fields of a head take beyond their text, for each field.
constexpr std::size_t FieldOverheadBytes = 128;

// Refuses the requests that hold the most until all connections are within maxHeldBytes.
void refuseLargest(http_listener::shared_state &state);

enum class connection_phase { Idle, Reading, Answering, Writing, Ended };

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<http_listener::shared_state> state)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
        , m_readTimer(m_stream.get_executor())
    {
        m_position = m_state->connections.insert(m_state->connections.end(), this);
    }
    ~connection() { end(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    connection_phase phase() const
    {
        return m_phase == connection_phase::Idle && hasPartialHead() ? connection_phase::Reading
                                                                     : m_phase;
    }
    std::size_t heldBytes() const { return m_heldBytes; }
    time_point requestBeganAt() const { return m_requestBeganAt; }
    bool hasUnreadBytes() { return peek(m_stream.socket()) == socket_peek::Bytes; }

    void readNextRequest()
    {
        m_phase = connection_phase::Idle;
        m_target.clear();
        m_receivedBytes = 0;
        m_headBytes = 0;
        m_headLines = 0;
        m_isOverdue = false;
        m_parser.emplace();
        m_parser->body_limit(m_state->limits.maxRequestBytes);
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.maxHeadBytes));
        m_stream.expires_never();
        startReadTimer(m_state->limits.maxIdleTime, &connection::handleIdleTimeout);
        if (m_buffer.size() > 0)
            parseBuffer();
        else
            readSome();
        // An answer that was being sent when the drain began may have announced keep-alive.
        if (m_state->isDraining)
            drain();
    }

    void drain()
    {
        if (m_phase != connection_phase::Idle || hasPartialHead())
            return;
        if (m_requestNumber > 0)
            return endIfIdle();
        // Its first request may still be in transit.
        startReadTimer(FirstRequestTimeout, &connection::endIfIdle);
    }

    // Bytes may already have been read from the socket by a read whose callback has not run yet,
    // and only the result of the read shows it. A cancelled read has consumed no bytes.
    void endIfIdle()
    {
        beast::error_code ignored; // a broken connection has no pending read
        if (m_phase == connection_phase::Idle)
            m_stream.socket().cancel(ignored);
    }

    // Answers a request that is not read to its end, gives up its memory, and closes the connection
    // after the answer.
    void refuse(http_response answer)
    {
        m_readTimer.cancel();
        m_keepAlive = false;
        m_phase = connection_phase::Writing;
        m_parser.reset();
        if (!m_isReadPending)
            return writeRefusal(std::move(answer));
        // The pending read uses the buffer until its callback runs.
        m_refusal = std::move(answer);
        countHeldBytes();
        beast::error_code ignored; // of a broken connection, the callback runs as well
        m_stream.socket().cancel(ignored);
    }

    void answerCurrentRequest(const http_response &answer)
    {
        handleAnswer(m_requestNumber, answer);
    }

    void end()
    {
        if (m_phase == connection_phase::Ended)
            return;
        if (m_phase == connection_phase::Answering)
            --m_state->inFlight; // its responder was destroyed
        m_phase = connection_phase::Ended;
        m_readTimer.cancel();
        m_state->connections.erase(m_position);
        countHeldBytes();
        beast::error_code ignored; // the peer may have closed first; nothing is left to send
        // Bytes that arrive later than this were sent on a connection that had ended.
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_state->totals.closedUnread += hasUnreadBytes() ? 1 : 0;
        m_stream.socket().close(ignored);
    }

private:
    // The answer to one request, held by its responder. An exception that destroys the responder
    // would leave the connection to be closed without an answer.
    class pending_answer
    {
    public:
        pending_answer(std::shared_ptr<connection> owner, std::uint64_t requestNumber)
            : m_connection(std::move(owner))
            , m_requestNumber(requestNumber)
        { }
        ~pending_answer()
        {
            if (std::uncaught_exceptions() > 0)
                m_connection->handleException(m_requestNumber);
        }
        pending_answer(const pending_answer &) = delete;
        pending_answer &operator=(const pending_answer &) = delete;

        void give(http_response answer)
        {
            m_connection->handleAnswer(m_requestNumber, std::move(answer));
        }

    private:
        std::shared_ptr<connection> m_connection;
        std::uint64_t m_requestNumber;
    };

    // At the end of the idle time, a request that has begun, or whose bytes wait in the socket, is
    // still served.
    void handleIdleTimeout()
    {
        startReadTimer(m_state->limits.readTimeout, &connection::end);
        endIfIdle();
    }

    // Its rest may have arrived while the loop was held up.
    void handleRequestTimeout()
    {
        if (std::exchange(m_isOverdue, true) || !hasUnreadBytes())
            return end();
        startReadTimer(m_state->limits.readTimeout, &connection::handleRequestTimeout);
    }

    // Used instead of the stream's own timeout, which closes the socket whatever has arrived
    // meanwhile.
    void startReadTimer(milliseconds time, void (connection::*then)())
    {
        m_readTimer.expires_after(time);
        m_readTimer.async_wait([weak = weak_from_this(), then](const beast::error_code &failure) {
            const auto self = weak.lock();
            // The request may have become complete at the same moment.
            if (!failure && self && self->isWaitingForRequest())
                (*self.*then)();
        });
    }

    bool isWaitingForRequest() const
    {
        return m_phase == connection_phase::Idle || m_phase == connection_phase::Reading;
    }

    // A partial head stays in the buffer, except for a complete request line, which the parser has
    // already taken.
    bool hasPartialHead() const { return m_buffer.size() > 0 || m_parser->got_some(); }

    // Reads on with what is missing of the current request. Beast's own functions would collect a
    // line without an end, or trailers without an end, in the buffer: they return only with a whole
    // part of the message.
    void readSome()
    {
        m_isReadPending = true;
        m_stream.async_read_some(
                m_buffer.prepare(readBytes()),
                [self = shared_from_this()](const beast::error_code &failure, std::size_t bytes) {
                    self->m_isReadPending = false;
                    self->m_buffer.commit(bytes);
                    self->handleRead(failure);
                });
    }

    // Not more than is missing of a body, so that the next request stays in the socket.
    std::size_t readBytes() const
    {
        if (m_parser->is_header_done()) {
            const auto missing = m_parser->content_length_remaining();
            if (missing)
                return std::min<std::size_t>(*missing, MaxReadBytes);
        }
        return std::clamp(m_buffer.capacity() - m_buffer.size(), MinReadBytes, MaxReadBytes);
    }

    void handleRead(const beast::error_code &failure)
    {
        if (m_phase == connection_phase::Ended)
            return;
        if (m_refusal)
            return writeRefusal(std::move(*m_refusal));
        if (failure == asio::error::operation_aborted)
            return handleReadCancelled();
        if (failure)
            return end(); // closed by the peer
        parseBuffer();
    }

    void parseBuffer()
    {
        const bool isFirstPart = !m_parser->got_some();
        const bool hadHead = m_parser->is_header_done();
        beast::error_code failure;
        while (m_buffer.size() > 0 && !m_parser->is_done() && !failure) {
            const bool isHead = !m_parser->is_header_done();
            const auto unparsed = m_buffer.data();
            const auto parsedBytes = m_parser->put(unparsed, failure);
            if (isHead)
                countHead({static_cast<const char *>(unparsed.data()), parsedBytes});
            m_receivedBytes += parsedBytes;
            m_buffer.consume(parsedBytes);
        }
        if (failure && failure != http::error::need_more)
            return handleMalformed(failure);
        if (isHeadTooLarge())
            return end();
        if (areChunkLinesTooLarge())
            return refuse({StatusHeadTooLarge, {}, R"({"error":"request_head_too_large"})"});
        if (m_parser->is_done())
            return handleRequest();
        if (isFirstPart) {
            m_requestBeganAt = monotonic_clock::now();
            startReadTimer(m_state->limits.readTimeout, &connection::handleRequestTimeout);
        }
        if (!hadHead && m_parser->is_header_done())
            beginBody();
        countHeldBytes();
        refuseLargest(*m_state);
        if (m_phase != connection_phase::Writing) // it was not the largest itself
            readSome();
    }

    void countHead(std::string_view parsed)
    {
        m_headBytes += parsed.size();
        m_headLines += static_cast<std::size_t>(std::count(parsed.begin(), parsed.end(), '\n'));
    }

    // Memory for the whole body is allocated once the head gives its size.
    void countHeldBytes()
    {
        auto bytes = m_phase == connection_phase::Ended ? 0 : m_buffer.capacity();
        if (m_parser && m_phase != connection_phase::Ended)
            bytes += m_headBytes + m_headLines * FieldOverheadBytes
                     + m_parser->get().body().capacity();
        m_state->heldBytes += bytes - m_heldBytes;
        m_heldBytes = bytes;
    }

    // The parser itself counts a head only from its last whole field on, if a read ended there.
    bool isHeadTooLarge() const
    {
        const auto unparsedBytes = m_parser->is_header_done() ? 0 : m_buffer.size();
        return m_headBytes + unparsedBytes > m_state->limits.maxHeadBytes;
    }

    // What is left unparsed behind a head is the begin of a line between two chunks, or trailers.
    // Such lines may also be many: what they have beyond digits and line ends counts as well.
    bool areChunkLinesTooLarge() const
    {
        if (!m_parser->is_header_done())
            return false;
        const auto unparsedBytes = m_parser->is_done() ? 0 : m_buffer.size();
        const auto bodyBytes = m_parser->get().body().size();
        const auto lineBytes = m_receivedBytes - m_headBytes - bodyBytes + unparsedBytes;
        return lineBytes > m_state->limits.maxHeadBytes + MaxChunkLineBytes * bodyBytes;
    }

    void beginBody()
    {
        m_phase = connection_phase::Reading;
        reserveBodyBuffer(m_buffer, *m_parser);
    }

    void handleReadCancelled()
    {
        if (!hasPartialHead() && peek(m_stream.socket()) != socket_peek::Bytes)
            return end();
        readSome();
    }

    void handleMalformed(const beast::error_code &failure)
    {
        if (failure != http::error::body_limit)
            return end();
        refuse({StatusBodyTooLarge, {}, R"({"error":"request_too_large"})"});
    }

    void writeRefusal(http_response answer)
    {
        m_buffer = {};
        countHeldBytes();
        write(std::move(answer));
    }

    void handleRequest()
    {
        m_readTimer.cancel();
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        m_target = request.target;
        for (const auto &field : message)
            request.headers[std::string(field.name_string())] = std::string(field.value());
        request.body = std::move(message.body());
        m_parser.reset();
        shrinkLargeBuffer(m_buffer);
        countHeldBytes();
        ++m_state->inFlight;
        m_phase = connection_phase::Answering;
        auto pending = std::make_shared<pending_answer>(shared_from_this(), ++m_requestNumber);
        m_state->serve(std::move(request), [pending = std::move(pending)](http_response answer) {
            pending->give(std::move(answer));
        });
    }

    // Ignores all but the first answer to the current request.
    void handleAnswer(std::uint64_t requestNumber, http_response answer)
    {
        if (requestNumber != m_requestNumber || m_phase != connection_phase::Answering)
            return;
        --m_state->inFlight;
        write(std::move(answer));
    }

    // Posted to the loop, because the exception is on its way through the caller.
    void handleException(std::uint64_t requestNumber)
    {
        if (requestNumber != m_requestNumber || m_phase != connection_phase::Answering)
            return;
        m_state->loop.post([self = shared_from_this(), requestNumber] {
            self->handleAnswer(requestNumber, {500, {}, R"({"error":"internal"})"});
        });
    }

    void write(http_response answer)
    {
        m_phase = connection_phase::Writing;
        m_answer.emplace();
        m_answer->version(11);
        m_answer->result(static_cast<unsigned>(answer.status));
        for (const auto &[name, value] : answer.headers)
            m_answer->set(name, value);
        if (!answer.body.empty() && answer.headers.find("Content-Type") == answer.headers.end())
            m_answer->set(http::field::content_type, "application/json");
        m_answer->body() = std::move(answer.body);
        const bool shouldKeepOpen = m_keepAlive && !m_state->isClosing;
        m_answer->keep_alive(shouldKeepOpen);
        m_answer->prepare_payload();
        m_stream.expires_after(m_state->limits.writeTimeout);
        auto self = shared_from_this();
        http::async_write(
                m_stream, *m_answer,
                [self, shouldKeepOpen](const beast::error_code &failure, std::size_t bytes) {
                    if (self->m_state->observer)
                        self->m_state->observer({self->m_target, bytes, self->m_receivedBytes});
                    self->handleWritten(failure, shouldKeepOpen);
                });
    }

    void handleWritten(const beast::error_code &failure, bool shouldKeepOpen)
    {
        m_answer.reset();
        if (failure)
            return end();
        if (!shouldKeepOpen)
            return end();
        readNextRequest();
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<http_listener::shared_state> m_state;
    asio::steady_timer m_readTimer; // limits idle time and reading, until the request is complete
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<http::response<http::string_body>> m_answer;
    std::list<connection *>::iterator m_position; // in shared_state::connections
    connection_phase m_phase = connection_phase::Idle;
    std::uint64_t m_requestNumber = 0; // number of the current request on this connection
    bool m_keepAlive = true;
    bool m_isReadPending = false;
    bool m_isOverdue = false;               // readTimeout has passed once for the current request
    time_point m_requestBeganAt{};          // first bytes of the current request
    std::optional<http_response> m_refusal; // to be written when the pending read has ended
    std::string m_target;                   // of the current request
    std::size_t m_receivedBytes = 0;        // of the current request, as far as it is parsed
    std::size_t m_headBytes = 0;            // those of its head
    std::size_t m_headLines = 0;            // of its head
    std::size_t m_heldBytes = 0;            // counted in shared_state::heldBytes
};

connection *largestRequestInReading(const http_listener::shared_state &state)
{
    connection *largest = nullptr;
    for (auto *each : state.connections) {
        if (each->phase() == connection_phase::Reading
            && (largest == nullptr || each->heldBytes() > largest->heldBytes()))
            largest = each;
    }
    return largest;
}

void refuseLargest(http_listener::shared_state &state)
{
    while (state.heldBytes > state.limits.maxHeldBytes) {
        auto *largest = largestRequestInReading(state);
        if (largest == nullptr)
            return;
        ++state.totals.overMemory;
        largest->refuse({StatusUnavailable,
                         {{"Retry-After", RetryAfterSeconds}},
                         R"({"error":"too_many_large_requests"})"});
    }
}

// Closes the connection whose request has been arriving for the longest time.
bool closeSlowest(http_listener::shared_state &state)
{
    connection *slowest = nullptr;
    for (auto *each : state.connections) {
        if (each->phase() == connection_phase::Reading
            && (slowest == nullptr || each->requestBeganAt() < slowest->requestBeganAt()))
            slowest = each;
    }
    if (slowest == nullptr || monotonic_clock::now() - slowest->requestBeganAt() < MinSlowTime)
        return false;
    ++state.totals.madeRoom;
    slowest->end();
    return true;
}

void startConnection(tcp::socket socket, const std::shared_ptr<http_listener::shared_state> &state)
{
    ++state->totals.accepted;
    if (state->connections.size() >= state->limits.connectionLimit && !closeSlowest(*state)) {
        ++state->totals.overLimit;
        return;
    }
    beast::error_code ignored; // failure only makes answers slower
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<connection>(std::move(socket), state)->readNextRequest();
}

bool isOutOfResources(const beast::error_code &failure)
{
    return failure == asio::error::no_descriptors || failure == asio::error::no_memory
           || failure == asio::error::no_buffer_space
           || failure == beast::errc::too_many_files_open_in_system;
}

void acceptNext(const std::shared_ptr<http_listener::shared_state> &state);

void acceptLater(const std::shared_ptr<http_listener::shared_state> &state)
{
    ++state->totals.acceptRetries;
    state->loop.runAfter(AcceptRetryDelay, [state] { acceptNext(state); });
}

// Accepts the established connections that still wait; later ones are refused.
void acceptRemaining(const std::shared_ptr<http_listener::shared_state> &state)
{
    beast::error_code failure;
    state->acceptor.non_blocking(true, failure);
    do {
        auto socket = state->acceptor.accept(failure);
        if (!failure)
            startConnection(std::move(socket), state);
    } while (!failure || failure == asio::error::connection_aborted);
    if (isOutOfResources(failure))
        return acceptLater(state);
    state->acceptor.close(failure);
}

void acceptNext(const std::shared_ptr<http_listener::shared_state> &state)
{
    if (!state->acceptor.is_open())
        return;
    if (state->isDraining)
        return acceptRemaining(state);
    state->acceptor.async_accept([state](const beast::error_code &failure, tcp::socket socket) {
        if (isOutOfResources(failure))
            return acceptLater(state);
        if (!failure)
            startConnection(std::move(socket), state);
        acceptNext(state);
    });
}

} // namespace

http_listener::http_listener(event_loop &loop, const socket_address &address,
                             const listener_limits &limits, handler serve,
                             exchange_observer observer)
    : m_state(std::make_shared<shared_state>(loop, limits, std::move(serve), std::move(observer)))
{
    try {
        const tcp::endpoint listenEndpoint(asio::ip::make_address(address.address),
                                           static_cast<unsigned short>(address.port));
        m_state->acceptor.open(listenEndpoint.protocol());
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        if (limits.receiveBufferBytes > 0) // connections inherit it
            m_state->acceptor.set_option(
                    tcp::acceptor::receive_buffer_size(limits.receiveBufferBytes));
        m_state->acceptor.bind(listenEndpoint);
        m_state->acceptor.listen(ListenBacklog);
    } catch (const boost::system::system_error &problem) {
        throw error(error_kind::BadSettings,
                    "cannot listen at " + toText(address) + ": " + problem.what());
    }
    acceptNext(m_state);
}

http_listener::~http_listener()
{
    beast::error_code ignored; // no failure of closing a listening socket matters
    m_state->acceptor.close(ignored);
}

void http_listener::announceClose()
{
    m_state->isClosing = true;
}

void http_listener::drain()
{
    m_state->isClosing = true;
    m_state->isDraining = true;
    beast::error_code ignored; // a broken socket has no pending accept
    m_state->acceptor.cancel(ignored);
    for (auto *openConnection : m_state->connections)
        openConnection->drain();
}

bool http_listener::isDrained() const
{
    return m_state->isDraining && !m_state->acceptor.is_open() && m_state->connections.empty();
}

void http_listener::answerAll(const http_response &answer)
{
    for (auto *openConnection : m_state->connections)
        openConnection->answerCurrentRequest(answer);
}

std::size_t http_listener::inFlight() const
{
    return m_state->inFlight;
}

listener_activity http_listener::activity() const
{
    listener_activity counts;
    for (auto *openConnection : m_state->connections) {
        switch (openConnection->phase()) {
        case connection_phase::Idle:
            ++counts.idle;
            counts.unread += openConnection->hasUnreadBytes() ? 1 : 0;
            break;
        case connection_phase::Reading:
            ++counts.reading;
            break;
        case connection_phase::Answering:
            ++counts.answering;
            break;
        case connection_phase::Writing:
            ++counts.writing;
            break;
        case connection_phase::Ended:
            break;
        }
    }
    return counts;
}

const listener_totals &http_listener::totals() const
{
    return m_state->totals;
}

socket_address http_listener::address() const
{
    const auto listenEndpoint = m_state->acceptor.local_endpoint();
    return {listenEndpoint.address().to_string(), listenEndpoint.port()};
}

} // namespace zinniabarrow::net
