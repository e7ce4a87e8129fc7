#include "runtime/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include <httplib.h>

#include "base/errors.h"
#include "base/names.h"
#include "runtime/http_connection.h"
#include "runtime/refusal.h"

namespace zinniabarrow {

namespace {

// httplib's default of 5 would lose SYNs in bursts of connections.
constexpr int ListenBacklog = 1024;
// The kernel's automatic buffer size would grow to several MiB per connection, and would hold a
// large answer that its caller does not read. 256 KiB carry 40 MB/s at a round trip time of 3 ms.
constexpr int SocketBufferBytes = 256 * 1024;
constexpr std::size_t RefusalThreads = 8;
constexpr std::size_t MaxPendingRefusals = 64;
constexpr milliseconds RefusalTimeout{250}; // for reading a request that will be refused
constexpr std::size_t RequestsPerConnection = 1U << 30U;
// How often at most a stopping server checks that no connection waits to be accepted, before it
// closes the listening socket anyway. Not a time span, which would pass without a check while the
// process is suspended.
constexpr int MaxAcceptChecks = 1000;
constexpr milliseconds AcceptCheckInterval{1};

constexpr name_table<call_failure, 5> CallFailureNames{{
        {call_failure::NotConnected, "not_connected"},
        {call_failure::ConnectionRefused, "refused"},
        {call_failure::IncompleteAnswer, "cut"},
        {call_failure::TimedOut, "late"},
        {call_failure::TooLarge, "too_large"},
}};

constexpr name_table<connection_event, 6> ConnectionEventNames{{
        {connection_event::NoFreeThread, "all_in_use"},
        {connection_event::AddressLimitReached, "address_share"},
        {connection_event::RefusalQueueFull, "refusals_full"},
        {connection_event::RequestTimedOut, "request_too_slow"},
        {connection_event::AnswerWriteTimedOut, "answer_not_taken"},
        {connection_event::StalledConnectionClosed, "made_room"},
}};

// What the current thread does with its connection: hand it over to the thread that will serve or
// refuse it, serve it, answer it with a refusal, or close it.
enum class connection_handling { Admit, Serve, Refuse, Drop };
thread_local connection_handling currentHandling = connection_handling::Serve;
thread_local connection_stream *currentStream = nullptr;

// Runs each connection on a thread of a bounded pool. A connection beyond the limit takes over the
// thread of a stalled one, or goes to a few threads that only send refusals; otherwise it would
// wait unanswered in a queue.
class bounded_task_queue : public httplib::TaskQueue
{
public:
    bounded_task_queue(std::size_t threadCount, connection_table &connectionTable,
                       http_server::observer onEvent)
        : m_connectionLimit(threadCount)
        , m_connectionTable(connectionTable)
        , m_onEvent(std::move(onEvent))
        , m_servingThreads(threadCount)
        , m_refusalThreads(RefusalThreads)
    { }

    // Called on the accepting thread, which checks the address limit first. If connections were
    // counted before that check, those beyond their address's limit would take all threads from
    // other clients until a thread had checked them.
    void enqueue(std::function<void()> connection) override
    {
        runWith(connection_handling::Admit, connection);
    }

    // Returns false when all threads are in use and no connection can be closed as stalled.
    bool reserveThread()
    {
        if (m_busyThreads.load() >= m_connectionLimit) {
            if (!m_connectionTable.closeLongestStalled(monotonic_clock::now())) {
                m_onEvent(connection_event::NoFreeThread);
                return false;
            }
            m_onEvent(connection_event::StalledConnectionClosed);
        }
        ++m_busyThreads;
        return true;
    }

    // Runs the connection on a thread reserved by reserveThread().
    void serve(std::function<void()> connection)
    {
        m_servingThreads.enqueue([this, connection = std::move(connection)] {
            connection();
            --m_busyThreads;
        });
    }

    // Stalled callers hold a refusal thread too, for a short time. Connections beyond a short queue
    // are closed at once: a well-behaved caller must not wait for its refusal behind all of them.
    void refuse(std::function<void()> connection)
    {
        if (m_pendingRefusals.load() >= MaxPendingRefusals) {
            m_onEvent(connection_event::RefusalQueueFull);
            runWith(connection_handling::Drop, connection);
            return;
        }
        ++m_pendingRefusals;
        m_refusalThreads.enqueue([this, connection = std::move(connection)] {
            runWith(connection_handling::Refuse, connection);
            --m_pendingRefusals;
        });
    }

    void shutdown() override
    {
        m_servingThreads.shutdown();
        m_refusalThreads.shutdown();
    }

private:
    static void runWith(connection_handling handling, const std::function<void()> &connection)
    {
        currentHandling = handling;
        connection();
        currentHandling = connection_handling::Serve;
    }

    const std::size_t m_connectionLimit;
    connection_table &m_connectionTable;
    http_server::observer m_onEvent;
    std::atomic<std::size_t> m_busyThreads{0};
    std::atomic<std::size_t> m_pendingRefusals{0}; // connections queued for a refusal
    httplib::ThreadPool m_servingThreads;
    httplib::ThreadPool m_refusalThreads;
};

// cpp-httplib's server with deadlines and limits on its connections.
class bounded_server : public httplib::Server
{
public:
    bounded_server(const http_server_limits &limits, http_server::observer onEvent)
        : m_limits(limits)
        , m_refusalLimits(limits)
        , m_onEvent(std::move(onEvent))
    {
        m_refusalLimits.readTimeout = RefusalTimeout;
        m_refusalLimits.writeTimeout = RefusalTimeout;
        new_task_queue = [this] {
            m_queue =
                    new bounded_task_queue(m_limits.connectionLimit, m_connectionTable, m_onEvent);
            return m_queue; // httplib deletes it when it stops
        };
    }

private:
    bool process_and_close_socket(socket_t socket) override // NOLINT(readability-identifier-naming)
    {
        if (currentHandling == connection_handling::Admit)
            return admit(socket);
        if (currentHandling == connection_handling::Serve) {
            connection_stream stream(socket, m_connectionTable, m_limits);
            serveRequests(stream);
            m_connectionTable.remove(socket);
        } else if (currentHandling == connection_handling::Refuse) {
            connection_stream stream(socket, m_connectionTable, m_refusalLimits);
            serveRequest(stream, monotonic_clock::now() + RefusalTimeout, true);
        }
        shutdown(socket, SHUT_RDWR);
        close(socket);
        return true;
    }

    bool admit(socket_t socket)
    {
        const auto run = [this, socket] { process_and_close_socket(socket); };
        std::string address;
        int port = 0;
        connection_stream(socket, m_connectionTable, m_limits)
                .get_remote_ip_and_port(address, port);
        if (!m_connectionTable.isBelowAddressLimit(address, m_limits.connectionLimitPerAddress)) {
            m_onEvent(connection_event::AddressLimitReached);
            m_queue->refuse(run);
        } else if (!m_queue->reserveThread()) {
            m_queue->refuse(run);
        } else {
            m_connectionTable.add(socket, address);
            m_queue->serve(run);
        }
        return true;
    }

    void serveRequests(connection_stream &stream)
    {
        while (serveRequest(stream, monotonic_clock::now() + m_limits.keepAliveTimeout, false)) { }
        if (stream.hasRequestTimedOut())
            m_onEvent(connection_event::RequestTimedOut);
        if (stream.hasWriteTimedOut())
            m_onEvent(connection_event::AnswerWriteTimedOut);
    }

    // Returns false when the connection is to be closed.
    bool serveRequest(connection_stream &stream, time_point deadline, bool isLastRequest)
    {
        const auto isStopping = [this] { return svr_sock_ == INVALID_SOCKET; };
        if (!stream.waitForRequest(deadline, isStopping))
            return false;
        bool closed = false;
        currentStream = &stream;
        const bool isComplete = process_request(stream, isLastRequest, closed, nullptr);
        currentStream = nullptr;
        return isComplete && !closed;
    }

    const http_server_limits &m_limits;
    http_server_limits m_refusalLimits;
    http_server::observer m_onEvent;
    connection_table m_connectionTable;
    bounded_task_queue *m_queue = nullptr;
};

// Given these request headers, httplib would extract ranges from the answer and compress it. The
// upstream has already applied them, so the caller would get another body than the upstream's.
void disableRangesAndCompression(httplib::Request &request)
{
    request.ranges.clear();
    request.headers.erase("Accept-Encoding");
}

void setBufferSize(socket_t socket, int option)
{
    setsockopt(socket, SOL_SOCKET, option, &SocketBufferBytes, sizeof SocketBufferBytes);
}

http_request toRequest(const httplib::Request &from)
{
    http_request request;
    request.method = from.method;
    request.target = from.target;
    for (const auto &[name, value] : from.headers)
        request.headers[name] = value;
    request.body = from.body;
    return request;
}

bool isFramingHeader(const std::string &name)
{
    static const char *const framing[] = {"Content-Length", "Transfer-Encoding", "Connection",
                                          "Keep-Alive",     "Content-Type",      "Host"};
    return std::any_of(std::begin(framing), std::end(framing),
                       [&](const char *each) { return strcasecmp(name.c_str(), each) == 0; });
}

// Called by httplib for each part of the body. Returning false closes the connection without the
// declared length or the last chunk, so that the caller sees an error instead of a short success.
bool sendPart(body_reader &stream, httplib::DataSink &sink, bool chunked)
{
    const auto part = stream.takePart();
    if (!part.empty())
        return sink.write(part.data(), part.size());
    if (!chunked || stream.end())
        return false;
    sink.done();
    return true;
}

// `inFlightGuard` lives until the body has been sent.
void streamResponse(httplib::Response &to, const http_response &from, const std::string &type,
                    const std::shared_ptr<void> &inFlightGuard)
{
    const auto stream = from.stream;
    if (from.streamBytes) {
        to.set_content_provider(
                *from.streamBytes, type,
                [stream, inFlightGuard](std::size_t, std::size_t, httplib::DataSink &sink) {
                    return sendPart(*stream, sink, false);
                });
        return;
    }
    to.set_chunked_content_provider(type,
                                    [stream, inFlightGuard](std::size_t, httplib::DataSink &sink) {
                                        return sendPart(*stream, sink, true);
                                    });
}

void fillResponse(httplib::Response &to, const http_response &from,
                  const std::shared_ptr<void> &inFlightGuard = nullptr)
{
    to.status = from.status;
    for (const auto &[name, value] : from.headers) {
        if (!isFramingHeader(name))
            to.set_header(name, value);
    }
    std::string type = from.header("Content-Type");
    if (type.empty())
        type = "application/json";
    if (from.stream)
        streamResponse(to, from, type, inFlightGuard);
    else
        to.set_content(from.body, type);
}

} // namespace

std::string_view nameOf(connection_event event)
{
    return nameOf(ConnectionEventNames, event);
}

std::string_view nameOf(call_failure failure)
{
    return nameOf(CallFailureNames, failure);
}

bool mayHaveArrived(call_failure failure)
{
    return failure != call_failure::NotConnected && failure != call_failure::ConnectionRefused;
}

std::span<const connection_event> connectionEvents()
{
    using enum connection_event;
    static constexpr std::array All{NoFreeThread,    AddressLimitReached, RefusalQueueFull,
                                    RequestTimedOut, AnswerWriteTimedOut, StalledConnectionClosed};
    return All;
}

bool header_less::operator()(const std::string &left, const std::string &right) const
{
    return strcasecmp(left.c_str(), right.c_str()) < 0;
}

std::string http_request::path() const
{
    return target.substr(0, target.find('?'));
}

std::string http_request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string http_request::query(const std::string &name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    const std::string namePrefix = name + "=";
    std::size_t begin = mark + 1;
    while (begin < target.size()) {
        const auto end = std::min(target.find('&', begin), target.size());
        if (target.compare(begin, namePrefix.size(), namePrefix) == 0)
            return target.substr(begin + namePrefix.size(), end - begin - namePrefix.size());
        begin = end + 1;
    }
    return {};
}

namespace {

constexpr std::size_t LineEndBytes = 2; // CR LF
constexpr std::size_t HeaderOverheadBytes = std::string_view(": ").size() + LineEndBytes;
constexpr std::string_view Version = "HTTP/1.1";
constexpr std::string_view StatusLine = "HTTP/1.1 200 OK\r\n";

template <typename Headers>
std::size_t headerBytes(const Headers &headers)
{
    std::size_t bytes = LineEndBytes; // the empty line after the headers
    for (const auto &[name, value] : headers) {
        // httplib adds the addresses of the connection as headers; they were never on the wire.
        if (name.starts_with("REMOTE_") || name.starts_with("LOCAL_"))
            continue;
        bytes += name.size() + value.size() + HeaderOverheadBytes;
    }
    return bytes;
}

std::size_t requestLineBytes(const std::string &method, const std::string &target)
{
    return method.size() + 1 + target.size() + 1 + Version.size() + LineEndBytes;
}

} // namespace

std::size_t receivedBytes(const http_request &request)
{
    return requestLineBytes(request.method, request.target) + headerBytes(request.headers)
           + request.body.size();
}

// Counts the headers that httplib adds to an answer on a keep-alive connection.
std::size_t sentBytes(const http_response &answer)
{
    http_headers headers = answer.headers;
    headers["Content-Length"] = std::to_string(answer.body.size());
    headers["Content-Type"] = "application/json";
    headers["Keep-Alive"] =
            "timeout=" + std::to_string(http_server_limits().keepAliveTimeout.count())
            + ", max=" + std::to_string(RequestsPerConnection);
    return StatusLine.size() + headerBytes(headers) + answer.body.size();
}

std::size_t receivedBytes(const http_response &answer)
{
    return StatusLine.size() + headerBytes(answer.headers) + answer.body.size();
}

std::string http_response::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

socket_address parseAddress(const std::string &text)
{
    constexpr int LastPort = 65535;
    const auto colon = text.rfind(':');
    socket_address address;
    if (colon == std::string::npos || colon == 0)
        throw error(error_kind::BadSettings, "'" + text + "' is not an address: use ip:port");
    address.address = text.substr(0, colon);
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(begin, end, address.port);
    if (read.ec != std::errc() || read.ptr != end || address.port < 0 || address.port > LastPort)
        throw error(error_kind::BadSettings, "'" + text + "' needs a port from 0 to 65535");
    return address;
}

std::string toText(const socket_address &address)
{
    return address.address + ":" + std::to_string(address.port);
}

bool canConnect(const socket_address &peer, milliseconds timeout)
{
    const int socketHandle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socketHandle < 0)
        return false;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(peer.port));
    bool connected = false;
    if (inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr) == 1) {
        const auto *serverAddress = reinterpret_cast<const sockaddr *>(&address);
        connected = connect(socketHandle, serverAddress, sizeof address) == 0;
        pollfd pollEntry{socketHandle, POLLOUT, 0};
        if (!connected && errno == EINPROGRESS
            && poll(&pollEntry, 1, static_cast<int>(timeout.count())) == 1) {
            int problem = 0;
            socklen_t size = sizeof problem;
            connected = getsockopt(socketHandle, SOL_SOCKET, SO_ERROR, &problem, &size) == 0
                        && problem == 0;
        }
    }
    close(socketHandle);
    return connected;
}

struct http_server::impl
{
    impl(socket_address serverAddress, http_server_limits serverLimits, handler requestHandler,
         observer onEvent)
        : address(std::move(serverAddress))
        , limits(serverLimits)
        , serve(std::move(requestHandler))
        , server(
                  limits, onEvent ? std::move(onEvent) : [](connection_event) {})
    { }

    socket_address address;
    const http_server_limits limits;
    const handler serve;
    bounded_server server;
    std::thread acceptor;
    std::atomic<std::size_t> inFlight{0};
    std::atomic<bool> isClosing{false};
    socket_t listener = INVALID_SOCKET;

    void answer(const httplib::Request &from, httplib::Response &to)
    {
        if (currentStream != nullptr)
            currentStream->markServing();
        if (currentHandling == connection_handling::Refuse) {
            fillResponse(to, refusalAnswer(error_kind::Overloaded));
            to.set_header("Connection", "close");
            return;
        }
        // Counted until the last byte of a streamed body: a shutdown waits for it.
        ++inFlight;
        const std::shared_ptr<void> inFlightGuard(nullptr, [this](void *) { --inFlight; });
        try {
            fillResponse(to, serve(toRequest(from)), inFlightGuard);
        } catch (const error &problem) {
            fillResponse(to, refusalAnswer(problem.kind()));
        } catch (const std::exception &) {
            fillResponse(to, refusalAnswer(error_kind::Internal));
        }
        if (isClosing)
            to.set_header("Connection", "close");
    }

    // Closing the listening socket would reset established connections that are not accepted yet.
    void waitUntilAllAccepted() const
    {
        for (int checks = 0; checks < MaxAcceptChecks; ++checks) {
            pollfd pollEntry{listener, POLLIN, 0};
            if (poll(&pollEntry, 1, 0) != 1)
                return;
            std::this_thread::sleep_for(AcceptCheckInterval);
        }
    }

    void configure()
    {
        const auto handleAny = [this](const httplib::Request &from, httplib::Response &to) {
            answer(from, to);
            disableRangesAndCompression(
                    const_cast<httplib::Request &>(from)); // httplib created it as non-const
        };
        server.Get(".*", handleAny).Post(".*", handleAny).Put(".*", handleAny);
        server.Patch(".*", handleAny).Delete(".*", handleAny).Options(".*", handleAny);
        server.set_error_handler([](const httplib::Request &, httplib::Response &to) {
            // Adds the reason when httplib has refused the request itself: a malformed request
            // line, or a body over the limit.
            if (!to.body.empty() || to.has_header(ErrorHeader))
                return;
            const bool tooLarge = to.status == 413;
            auto answer =
                    refusalAnswer(tooLarge ? error_kind::RequestTooLarge : error_kind::BadRequest);
            answer.status = to.status;
            fillResponse(to, answer);
        });
        server.set_payload_max_length(limits.maxRequestBytes);
        server.set_keep_alive_max_count(RequestsPerConnection); // sent in the Keep-Alive header
        server.set_keep_alive_timeout(limits.keepAliveTimeout.count()); // likewise
        server.set_tcp_nodelay(true);
        server.set_socket_options([this](socket_t socket) {
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            setBufferSize(socket, SO_SNDBUF); // inherited by accepted connections
            listener = socket;
        });
    }
};

http_server::http_server(socket_address address, http_server_limits limits, handler serve,
                         observer onEvent)
    : m_impl(std::make_unique<impl>(std::move(address), limits, std::move(serve),
                                    std::move(onEvent)))
{
    m_impl->configure();
}

http_server::~http_server()
{
    stop();
}

void http_server::start()
{
    auto &address = m_impl->address;
    bool isBound = true;
    if (address.port == 0) {
        address.port = m_impl->server.bind_to_any_port(address.address);
        isBound = address.port > 0;
    } else {
        isBound = m_impl->server.bind_to_port(address.address, address.port);
    }
    if (!isBound)
        throw error(error_kind::BadSettings,
                    "cannot listen on " + toText(address) + ": choose a free address");
    ::listen(m_impl->listener, ListenBacklog);
    m_impl->acceptor = std::thread([this] { m_impl->server.listen_after_bind(); });
    while (!m_impl->server.is_running())
        std::this_thread::yield();
}

void http_server::stop()
{
    if (!m_impl->acceptor.joinable())
        return;
    m_impl->isClosing = true;
    m_impl->waitUntilAllAccepted();
    m_impl->server.stop();
    m_impl->acceptor.join();
}

void http_server::announceClose(bool closing)
{
    m_impl->isClosing = closing;
}

socket_address http_server::address() const
{
    return m_impl->address;
}

std::size_t http_server::inFlight() const
{
    return m_impl->inFlight;
}

struct http_pool::connection
{
    explicit connection(const socket_address &peer)
        : client(peer.address, peer.port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_decompress(false);
        client.set_url_encode(false);
        client.set_follow_location(false);
        client.set_socket_options([](socket_t socket) { setBufferSize(socket, SO_RCVBUF); });
    }

    httplib::ClientImpl client;
    time_point lastUsedAt;
};

http_pool::http_pool(socket_address peer, http_pool_limits limits)
    : m_peer(std::move(peer))
    , m_limits(limits)
{ }

http_pool::~http_pool() = default;

std::unique_ptr<http_pool::connection> http_pool::takeConnection()
{
    const auto now = monotonic_clock::now();
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        auto candidate = std::move(m_idle.back());
        m_idle.pop_back();
        // The server may close a connection that has been idle for its keep-alive time just as the
        // request is sent, which would leave the outcome unknown needlessly.
        if (now - candidate->lastUsedAt < m_limits.maxIdleTime && hasNoUnreadBytes(*candidate))
            return candidate;
    }
    return std::make_unique<connection>(m_peer);
}

// Bytes beyond the declared length of the last answer would be read as the next answer, and a
// caller would get another caller's data. This check also detects a closed connection.
bool http_pool::hasNoUnreadBytes(const connection &pooledConnection)
{
    pollfd pollEntry{pooledConnection.client.socket(), POLLIN, 0};
    return poll(&pollEntry, 1, 0) == 0;
}

void http_pool::returnConnection(std::unique_ptr<connection> pooledConnection)
{
    pooledConnection->lastUsedAt = monotonic_clock::now();
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_limits.maxIdleConnections)
        m_idle.push_back(std::move(pooledConnection));
}

namespace {

httplib::Request toHttplibRequest(const http_request &request)
{
    httplib::Request out;
    out.method = request.method;
    out.path = request.target;
    for (const auto &[name, value] : request.headers) {
        if (!isFramingHeader(name) || strcasecmp(name.c_str(), "Content-Type") == 0)
            out.headers.emplace(name, value);
    }
    out.body = request.body;
    return out;
}

body_framing framingOf(const httplib::Response &from, std::uint64_t &declaredBytes)
{
    const auto lengths = from.get_header_value_count("Content-Length");
    const auto encodings = from.get_header_value_count("Transfer-Encoding");
    if (lengths + encodings > 1)
        return body_framing::Conflicting;
    if (encodings == 1) {
        const auto encoding = from.get_header_value("Transfer-Encoding");
        return strcasecmp(encoding.c_str(), "chunked") == 0 ? body_framing::Chunked
                                                            : body_framing::UntilClose;
    }
    if (lengths == 0)
        return body_framing::UntilClose;
    const auto text = from.get_header_value("Content-Length");
    const auto read = std::from_chars(text.data(), text.data() + text.size(), declaredBytes);
    const bool isNumber = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isNumber ? body_framing::Length : body_framing::Conflicting;
}

answer_head headOf(const httplib::Response &from, const std::string &echoHeader)
{
    answer_head head;
    head.status = from.status;
    if (!echoHeader.empty())
        head.requestId = from.get_header_value(echoHeader);
    head.framing = framingOf(from, head.declaredBytes);
    constexpr std::size_t Separators = 4; // ": " and the end of the line
    for (const auto &[name, value] : from.headers)
        head.headBytes += name.size() + value.size() + Separators;
    return head;
}

call_failure failureOf(error_kind kind)
{
    switch (kind) {
    case error_kind::UpstreamUnreachable:
        return call_failure::NotConnected;
    case error_kind::AnswerLate:
        return call_failure::TimedOut;
    case error_kind::AnswerTooLarge:
        return call_failure::TooLarge;
    default:
        return call_failure::IncompleteAnswer;
    }
}

} // namespace

// Receives one answer from httplib: answer_check checks it, the sink gets the body.
struct http_pool::answer_receiver
{
    using body_sink = std::function<std::optional<error_kind>(const char *, std::size_t)>;

    answer_receiver(const http_request &request, answer_echo echo, const http_pool_limits &limits,
                    body_sink bodyTarget)
        : echoHeader(std::move(echo.header))
        , check(std::move(echo.value), request.method,
                {answer_limits{}.maxHeadBytes, limits.answerBytesLimit})
        , bodySink(std::move(bodyTarget))
    { }

    bool handleHead(const httplib::Response &from)
    {
        const auto head = headOf(from, echoHeader);
        response.status = from.status;
        for (const auto &[name, value] : from.headers)
            response.headers[name] = value;
        if (head.framing == body_framing::Length)
            response.streamBytes = head.declaredBytes;
        isHeadReceived = true;
        failure = check.checkHead(head);
        return !failure;
    }

    bool handleBody(const char *data, std::size_t size)
    {
        failure = check.checkBody(size);
        if (!failure)
            failure = bodySink(data, size);
        return !failure;
    }

    // Returns why the answer can't be used, or nullopt if it is complete.
    std::optional<error_kind> end(bool received, httplib::Error problem, time_point deadline)
    {
        if (failure)
            return failure;
        if (received)
            return check.checkEnd(true);
        if (problem == httplib::Error::Connection)
            return error_kind::UpstreamUnreachable;
        if (problem == httplib::Error::Read && monotonic_clock::now() >= deadline)
            return error_kind::AnswerLate;
        return check.checkEnd(false).value_or(error_kind::AnswerIncomplete);
    }

    std::string echoHeader;
    answer_check check;
    body_sink bodySink;
    http_response response; // status and headers, once received
    bool isHeadReceived = false;
    body_ring *ring = nullptr; // of a streamed answer; its reader may interrupt the receiving
    std::optional<error_kind> failure;
};

std::optional<error_kind> http_pool::receive(const http_request &request, time_point deadline,
                                             answer_receiver &receiver)
{
    const auto now = monotonic_clock::now();
    if (deadline <= now)
        return error_kind::UpstreamUnreachable;
    const auto remaining = std::chrono::duration_cast<microseconds>(deadline - now);
    auto pooledConnection = takeConnection();
    pooledConnection->client.set_connection_timeout(
            std::min<microseconds>(remaining, m_limits.connectTimeout));
    pooledConnection->client.set_read_timeout(remaining);
    pooledConnection->client.set_write_timeout(remaining);
    auto out = toHttplibRequest(request);
    out.response_handler = [&](const httplib::Response &head) { return receiver.handleHead(head); };
    out.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return receiver.handleBody(data, size);
    };
    httplib::Response in;
    auto problem = httplib::Error::Success;
    if (receiver.ring != nullptr
        && !receiver.ring->attachReceiver([&] { pooledConnection->client.stop(); }))
        return error_kind::UpstreamUnreachable; // the caller has stopped waiting: nothing was sent
    const bool received = pooledConnection->client.send(out, in, problem);
    // httplib reports the head of an answer without a body only here.
    if (received && !receiver.isHeadReceived)
        receiver.handleHead(in);
    auto end = receiver.end(received, problem, deadline);
    if (receiver.ring != nullptr)
        receiver.ring->detachReceiver(); // must not interrupt the next call
    // A connection whose answer was incomplete is not returned to the pool, but closed.
    receiver.response.requestBytes =
            requestLineBytes(out.method, out.path) + headerBytes(out.headers) + out.body.size();
    if (!end && strcasecmp(receiver.response.header("Connection").c_str(), "close") != 0)
        returnConnection(std::move(pooledConnection));
    return end;
}

call_result http_pool::call(const http_request &request, time_point deadline)
{
    std::string body;
    answer_receiver receiver(request, {}, m_limits,
                             [&](const char *data, std::size_t size) -> std::optional<error_kind> {
                                 // httplib's read timeout restarts with every byte, so an answer
                                 // that arrives slowly needs this check.
                                 if (monotonic_clock::now() > deadline)
                                     return error_kind::AnswerLate;
                                 body.append(data, size);
                                 return std::nullopt;
                             });
    if (const auto failed = receive(request, deadline, receiver))
        return failureOf(*failed);
    receiver.response.streamBytes.reset();
    receiver.response.body = std::move(body);
    return std::move(receiver.response);
}

call_result http_pool::callStreaming(http_request request, time_point deadline, answer_echo echo,
                                     receiver_threads &threads)
{
    if (deadline <= monotonic_clock::now())
        return call_failure::NotConnected;
    const auto ring = std::make_shared<body_ring>(deadline);
    const auto head = std::make_shared<http_response>(); // written before the first byte
    threads.run([this, ring, head, deadline, request = std::move(request),
                 echo = std::move(echo)]() mutable {
        answer_receiver receiver(request, std::move(echo), m_limits, nullptr);
        receiver.ring = ring.get();
        bool isHeadCopied = false;
        receiver.bodySink = [&](const char *data, std::size_t size) {
            if (!std::exchange(isHeadCopied, true)) {
                *head = receiver.response;
                ring->setDeclaredLength(receiver.response.streamBytes);
            }
            return ring->push(data, size);
        };
        const auto end = receive(request, deadline, receiver);
        if (!isHeadCopied)
            *head = std::move(receiver.response);
        ring->finish(end);
    });
    const auto reader = std::make_shared<body_reader>(ring);
    const bool ended = ring->waitForEndOrBytes(MaxBufferedAnswerBytes);
    if (ended && ring->end())
        return failureOf(*ring->end());
    auto response = *head;
    if (!ended) {
        response.stream = reader;
        return response;
    }
    response.streamBytes.reset();
    for (auto part = ring->takePart(); !part.empty(); part = ring->takePart())
        response.body += part;
    return response;
}

http_pools::http_pools(http_pool_limits limits)
    : m_limits(limits)
{ }

http_pool &http_pools::poolFor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &pool = m_pools[address];
    if (!pool)
        pool = std::make_unique<http_pool>(parseAddress(address), m_limits);
    return *pool;
}

} // namespace zinniabarrow
