// HTTP for the daemons: request and response structs, a threaded server with a hard connection
// limit, and a client pool that reports how far a failed call got. cpp-httplib is included in
// http.cpp and http_connection.cpp only.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/answer_check.h"
#include "base/time.h"
#include "runtime/body_stream.h"
#include "runtime/receiver_threads.h"

namespace zinniabarrow {

// Orders header names without regard to case.
struct header_less
{
    bool operator()(const std::string &left, const std::string &right) const;
};

// Names are case-insensitive; of a repeated header the last value is kept.
using http_headers = std::map<std::string, std::string, header_less>;

struct http_request
{
    std::string method = "GET";
    std::string target = "/"; // path with query, not decoded
    http_headers headers;
    std::string body;

    std::string path() const;                          // target without the query
    std::string header(const std::string &name) const; // empty when absent
    std::string query(const std::string &name) const;  // empty when absent; not percent-decoded
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    // Set while the body still arrives; null: the body is in `body`.
    std::shared_ptr<body_reader> stream = nullptr;
    std::optional<std::uint64_t> streamBytes = {}; // Content-Length of the stream; nullopt: chunked
    std::size_t requestBytes = 0; // set by http_pool: size of the request sent, head included

    std::string header(const std::string &name) const;
};

// Sizes in bytes for metrics of the traffic between processes, HTTP heads included, TCP/IP headers
// not. They are computed from the parsed messages, on the assumption of status 200 and of JSON
// answers: the request that a server received, the answer that it sends, and the answer that a
// client received.
std::size_t receivedBytes(const http_request &request);
std::size_t sentBytes(const http_response &answer);
std::size_t receivedBytes(const http_response &answer);

struct socket_address
{
    std::string address = "127.0.0.1"; // numeric IP address
    int port = 0;                      // 0: any free port (servers only)
};

// Parses "ip:port". Throws error BadSettings.
socket_address parseAddress(const std::string &text);
std::string toText(const socket_address &address);

// Returns true if a TCP connection to `peer` can be opened within the timeout. Blocks.
bool canConnect(const socket_address &peer, milliseconds timeout);

struct http_server_limits
{
    std::size_t connectionLimit = 128;         // connections at once; each has its own thread
    std::size_t maxRequestBytes = 1024 * 1024; // bytes; a larger request body is answered with 413
    seconds keepAliveTimeout{5};               // an idle connection is closed after this time
    std::size_t connectionLimitPerAddress = 0; // connections per client address; 0: no limit
    milliseconds readTimeout{10'000};          // from the first byte of a request to its last one
    milliseconds writeTimeout{30'000};         // time for the client to read the whole answer
};

// Reasons for which the server refuses or closes a connection on its own.
enum class connection_event {
    NoFreeThread,            // refused: all threads are in use
    AddressLimitReached,     // refused: the client address has reached connectionLimitPerAddress
    RefusalQueueFull,        // closed without an answer: too many refusals are queued
    RequestTimedOut,         // closed: the request did not arrive in time
    AnswerWriteTimedOut,     // closed: the client did not read its answer in time
    StalledConnectionClosed, // closed: it stalled while a new connection needed a thread
};
std::string_view nameOf(connection_event event);
std::span<const connection_event> connectionEvents();

// HTTP/1.1 server. Each admitted connection occupies a thread from its start to its end.
// Connections beyond the limits are answered with a refusal, or closed if too many are being
// refused.
class http_server
{
public:
    // Called on the server's threads, for several requests at once. An exception becomes an answer
    // of its error kind, or of Internal.
    using handler = std::function<http_response(const http_request &)>;

    using observer = std::function<void(connection_event)>; // called on the server's threads

    http_server(socket_address address, http_server_limits limits, handler serve,
                observer onEvent = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Binds the address and starts the server's threads. Throws error BadSettings when the address
    // is in use.
    void start();
    // Stops accepting connections and answers all requests that have arrived by then, including
    // those on connections that are not accepted yet. Returns when every connection is closed.
    void stop();
    void announceClose(bool closing); // true: answers carry "Connection: close" from now on
    socket_address address() const;   // after start(), with the port that was bound
    // Requests whose handler runs, or whose streamed body is not sent to its last byte.
    std::size_t inFlight() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// How far a call got that returned no complete answer.
enum class call_failure {
    NotConnected,      // no connection in time; nothing was sent
    ConnectionRefused, // no process listens there; nothing was sent
    IncompleteAnswer,  // sent, but no answer that answer_check accepts as complete
    TimedOut,          // sent, but the deadline passed
    TooLarge,          // the answer exceeds its size limit
};
std::string_view nameOf(call_failure failure);
// False: the peer has certainly not received the request.
bool mayHaveArrived(call_failure failure);

using call_result = std::variant<http_response, call_failure>;

// Bytes. callStreaming() returns a larger body as a stream.
constexpr std::size_t MaxBufferedAnswerBytes = 64 * 1024;

// A header and the value that the answer must have in it. Prevents an answer to an earlier request
// on the same connection from being forwarded.
struct answer_echo
{
    std::string header; // empty: no echo expected
    std::string value;
};

struct http_pool_limits
{
    std::size_t maxIdleConnections = 64; // kept for reuse, per pool
    // Must stay below the server's keepAliveTimeout, so that the server does not close an idle
    // connection just as a request is sent on it.
    milliseconds maxIdleTime{2500};
    milliseconds connectTimeout{500};
    // Bytes of an answer's body, whether buffered or streamed.
    std::size_t answerBytesLimit = 8 * 1024 * 1024;
};

// Pool of connections to one peer. Each call has a connection to itself; a connection whose call
// failed is dropped. Thread-safe; calls block.
class http_pool
{
public:
    explicit http_pool(socket_address peer, http_pool_limits limits = {});
    ~http_pool();
    http_pool(const http_pool &) = delete;
    http_pool &operator=(const http_pool &) = delete;

    // Returns the complete answer, buffered.
    call_result call(const http_request &request, time_point deadline);
    // Like call() for answers up to MaxBufferedAnswerBytes; for a larger one it returns the head
    // and a stream. The answer is received on one of `threads`, which must be destroyed before the
    // pool.
    call_result callStreaming(http_request request, time_point deadline, answer_echo echo,
                              receiver_threads &threads);

private:
    struct connection;
    struct answer_receiver;
    std::optional<error_kind> receive(const http_request &request, time_point deadline,
                                      answer_receiver &receiver);
    std::unique_ptr<connection> takeConnection();
    static bool hasNoUnreadBytes(const connection &pooledConnection);
    void returnConnection(std::unique_ptr<connection> pooledConnection);

    socket_address m_peer;
    http_pool_limits m_limits;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle;
};

// One http_pool per peer, created at first use. Thread-safe.
class http_pools
{
public:
    explicit http_pools(http_pool_limits limits = {});
    http_pool &poolFor(const std::string &address); // "ip:port"

private:
    http_pool_limits m_limits;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<http_pool>> m_pools;
};

} // namespace zinniabarrow
