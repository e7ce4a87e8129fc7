// HTTP as the daemons use it: plain requests and responses, a server with a hard bound on
// connections, and a client pool that says how far a failed call got. cpp-httplib stays in
// http.cpp and http_connection.cpp.
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

struct header_less
{
    bool operator()(const std::string &left, const std::string &right) const;
};

// Names compare without case; a repeated header keeps its last value.
using http_headers = std::map<std::string, std::string, header_less>;

struct http_request
{
    std::string method = "GET";
    std::string target = "/"; // path with query, as on the wire
    http_headers headers;
    std::string body;

    std::string path() const;                          // target without query
    std::string header(const std::string &name) const; // empty when absent
    std::string query(const std::string &name) const;  // empty when absent; not decoded
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
    std::shared_ptr<body_reader> stream = nullptr; // the body while it arrives; null: in `body`
    std::optional<std::uint64_t> streamBytes = {}; // its declared length; none: chunked
    std::size_t requestBytes = 0; // by http_pool: of the whole request, its head included

    std::string header(const std::string &name) const;
};

// Bytes on the wire, heads included, TCP/IP not, of calls that are answered 200: of a request that
// a server took in, of the JSON answer that it gives, and of an answer that a client took in.
std::size_t receivedBytes(const http_request &request);
std::size_t sentBytes(const http_response &answer);
std::size_t receivedBytes(const http_response &answer);

struct socket_address
{
    std::string address = "127.0.0.1"; // IP number
    int port = 0;                      // 0: any free port, for servers
};

// Reads "ip:port"; throws error BadSettings.
socket_address parseAddress(const std::string &text);
std::string toText(const socket_address &address);

// Does something accept connections there?
bool canConnect(const socket_address &peer, milliseconds timeout);

struct http_server_limits
{
    std::size_t connectionLimit = 128;         // threads, one for each connection
    std::size_t maxRequestBytes = 1024 * 1024; // a larger request body is answered 413
    seconds keepAliveTimeout{5};               // an idle connection is closed after this
    std::size_t maxPerAddress = 0;             // connections of one caller's address; 0: no bound
    milliseconds readTimeout{10'000};          // a request is whole this long after its first byte
    milliseconds writeTimeout{30'000};         // an answer is taken whole within this
};

// Connections that the server refused or ended by itself.
enum class connection_event {
    NoFreeThread,            // refused: every thread has a connection
    AddressLimitReached,     // refused: the caller's address holds as many as it may
    RefusalQueueFull,        // closed without an answer: too many wait to be refused
    RequestTimedOut,         // ended: the request was not whole in time
    AnswerWriteTimedOut,     // ended: the caller did not read its answer in time
    StalledConnectionClosed, // ended: it stalled while others waited for a thread
};
std::string_view nameOf(connection_event event);
std::span<const connection_event> connectionEvents();

class http_server
{
public:
    using handler = std::function<http_response(const http_request &)>;

    using observer = std::function<void(connection_event)>; // on the server's threads

    http_server(socket_address address, http_server_limits limits, handler serve,
                observer onEvent = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Binds and serves on threads of its own. Throws error BadSettings when the address is taken.
    void start();
    // Stops accepting, answers what has come by then, also on connections that wait to be accepted;
    // returns when every connection is closed.
    void stop();
    void announceClose(bool closing); // answers carry "Connection: close" from now on
    socket_address address() const;
    std::size_t inFlight() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// How far a call got that brought no whole answer.
enum class call_failure {
    NotConnected,      // nothing was sent
    ConnectionRefused, // the same: nobody listens there any more
    IncompleteAnswer,  // sent, and no answer came that answer_check could prove whole
    TimedOut,          // sent, and the deadline passed
    TooLarge,          // the answer exceeds the bound
};
std::string_view nameOf(call_failure failure);
// False: the other side knows nothing of the request.
bool mayHaveArrived(call_failure failure);

using call_result = std::variant<http_response, call_failure>;

// An answer with a larger body is streamed by http_pool::open.
constexpr std::size_t MaxBufferedAnswerBytes = 64 * 1024;

// The header that the answer has to echo, so that one of an earlier request is never passed on.
struct answer_echo
{
    std::string header; // empty: no echo is asked for
    std::string value;
};

struct http_pool_limits
{
    std::size_t maxIdleConnections = 64; // kept for reuse
    milliseconds maxIdleTime{2500};      // below the servers' keep-alive, see http.cpp
    milliseconds connectTimeout{500};
    std::size_t answerBytesLimit = 8 * 1024 * 1024; // body of an answer, held whole or streamed
};

// Connections to one peer. Each call has a connection of its own; one in doubt is dropped.
class http_pool
{
public:
    explicit http_pool(socket_address peer, http_pool_limits limits = {});
    ~http_pool();
    http_pool(const http_pool &) = delete;
    http_pool &operator=(const http_pool &) = delete;

    // The whole answer.
    call_result call(const http_request &request, time_point deadline);
    // The same up to WholeAnswerBytes; of a larger answer the head and a stream. The answer comes
    // in on a thread of `threads`, which must not outlive the pool.
    call_result callStreaming(http_request request, time_point deadline, answer_echo echo,
                              receiver_threads &threads);

private:
    struct connection;
    struct answer_receiver;
    std::optional<error_kind> receive(const http_request &request, time_point deadline,
                                      answer_receiver &into);
    std::unique_ptr<connection> takeConnection();
    static bool hasNoUnreadBytes(const connection &link);
    void returnConnection(std::unique_ptr<connection> link);

    socket_address m_peer;
    http_pool_limits m_limits;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle;
};

// One pool for each peer, made at first use.
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
