#include "net/http_client.h"

#include <list>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/event_loop_impl.h"
#include "net/socket_peek.h"

namespace zinniabarrow::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

std::chrono::steady_clock::time_point steadyTime(time_point at)
{
    return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

struct pooled_connection
{
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idleSince{};
    time_point openedAt{};
};

} // namespace

struct http_client::shared_state
{
    shared_state(event_loop &eventLoop, const client_limits &clientLimits,
                 exchange_observer exchangeObserver)
        : loop(eventLoop)
        , limits(clientLimits)
        , observer(std::move(exchangeObserver))
    { }

    event_loop &loop;
    client_limits limits;
    exchange_observer observer;
    std::map<std::string, std::list<std::unique_ptr<pooled_connection>>> idle;

    // The one that became idle last, of those opened before `openedBefore`. Drops the later ones
    // that can't be used.
    std::unique_ptr<pooled_connection> takeConnection(const std::string &peer,
                                                      time_point openedBefore)
    {
        const auto found = findConnection(peer, openedBefore);
        auto &pool = idle[peer];
        if (found == pool.end())
            return nullptr;
        auto taken = std::move(*found);
        pool.erase(found);
        return taken;
    }

    std::list<std::unique_ptr<pooled_connection>>::iterator findConnection(const std::string &peer,
                                                                           time_point openedBefore)
    {
        auto &pool = idle[peer];
        for (auto at = pool.end(); at != pool.begin();) {
            --at;
            if (!isUsable(**at))
                at = pool.erase(at);
            else if ((*at)->openedAt < openedBefore)
                return at;
        }
        return pool.end();
    }

    // An idle connection with unread bytes or a closed peer is not reused: the bytes would be taken
    // for the answer to the next request.
    bool isUsable(pooled_connection &connection) const
    {
        return suspendAwareNow() - connection.idleSince < limits.maxIdleTime
               && peek(connection.stream.socket()) == socket_peek::Nothing;
    }

    void returnConnection(const std::string &peer,
                          std::unique_ptr<pooled_connection> pooledConnection)
    {
        auto &pool = idle[peer];
        if (pool.size() >= limits.maxIdlePerPeer)
            return;
        shrinkLargeBuffer(pooledConnection->buffer);
        pooledConnection->idleSince = suspendAwareNow();
        pooledConnection->stream.expires_never();
        pool.push_back(std::move(pooledConnection));
    }
};

namespace {

class pending_call : public std::enable_shared_from_this<pending_call>
{
public:
    pending_call(std::shared_ptr<http_client::shared_state> state, std::string peer,
                 const http_request &request, large_call_options options,
                 http_client::call_callback done)
        : m_state(std::move(state))
        , m_peer(std::move(peer))
        , m_options(std::move(options))
        , m_deadline(m_options.timeLimits, monotonic_clock::now())
        , m_callback(std::move(done))
    {
        m_request.version(11);
        m_request.method_string(request.method);
        m_request.target(request.target);
        for (const auto &[name, value] : request.headers)
            m_request.set(name, value);
        if (m_request.find(http::field::host) == m_request.end())
            m_request.set(http::field::host, m_peer);
        if (!request.body.empty() && m_request.find(http::field::content_type) == m_request.end())
            m_request.set(http::field::content_type, "application/json");
        m_request.body() = request.body;
        m_request.keep_alive(true);
        m_request.prepare_payload();
    }

    void start()
    {
        m_connection = m_state->takeConnection(m_peer, m_options.openedBefore);
        if (m_connection)
            return send();
        if (m_options.openedBefore != Never)
            return finish(call_failure::NotConnected);
        connect();
    }

private:
    void connect()
    {
        m_connection = std::make_unique<pooled_connection>(
                pooled_connection{beast::tcp_stream(m_state->loop.internals().io), {}, {}, {}});
        socket_address address;
        try {
            address = parseAddress(m_peer);
        } catch (const std::exception &) {
            return finish(call_failure::NotConnected);
        }
        beast::error_code badAddress;
        const auto ip = asio::ip::make_address(address.address, badAddress);
        if (badAddress)
            return finish(call_failure::NotConnected);
        const auto connectDeadline =
                std::min(m_deadline.currentDeadline(),
                         monotonic_clock::now() + m_state->limits.connectTimeout);
        m_connection->stream.expires_at(steadyTime(connectDeadline));
        auto self = shared_from_this();
        m_connection->stream.async_connect(
                tcp::endpoint(ip, static_cast<unsigned short>(address.port)),
                [self](const beast::error_code &failure) { self->handleConnected(failure); });
    }

    void handleConnected(const beast::error_code &failure)
    {
        if (failure == asio::error::connection_refused)
            return finish(call_failure::ConnectionRefused);
        if (failure)
            return finish(call_failure::NotConnected);
        m_connection->openedAt = suspendAwareNow();
        beast::error_code ignored; // failure only makes requests slower
        m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        send();
    }

    void send()
    {
        m_connection->stream.expires_at(steadyTime(m_deadline.currentDeadline()));
        auto self = shared_from_this();
        http::async_write(m_connection->stream, m_request,
                          [self](const beast::error_code &failure, std::size_t bytes) {
                              self->m_sentBytes += bytes;
                              self->handleSent(failure);
                          });
    }

    void handleSent(const beast::error_code &failure)
    {
        if (failure)
            return finish(failureOf(failure));
        m_parser.emplace();
        m_parser->body_limit(m_options.answerBytesLimit);
        receive();
    }

    void receive()
    {
        m_connection->stream.expires_at(steadyTime(m_deadline.currentDeadline()));
        auto self = shared_from_this();
        http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
                              [self](const beast::error_code &problem, std::size_t bytes) {
                                  self->m_receivedBytes += bytes;
                                  self->handlePart(problem);
                              });
    }

    void handlePart(const beast::error_code &failure)
    {
        if (failure)
            return finish(failureOf(failure));
        m_deadline.extendAfterPart(monotonic_clock::now());
        if (m_parser->is_header_done() && !std::exchange(m_isHeadReceived, true)) {
            reserveBodyBuffer(m_connection->buffer, *m_parser);
            m_options.onHead(m_parser->content_length().value_or(0));
        }
        if (m_parser->is_done())
            return finishWithAnswer();
        receive();
    }

    void finishWithAnswer()
    {
        auto message = m_parser->release();
        http_response answer;
        answer.status = static_cast<int>(message.result_int());
        for (const auto &field : message)
            answer.headers[std::string(field.name_string())] = std::string(field.value());
        answer.body = std::move(message.body());
        if (message.keep_alive())
            m_state->returnConnection(m_peer, std::move(m_connection));
        finish(std::move(answer));
    }

    static call_failure failureOf(const beast::error_code &failure)
    {
        if (failure == beast::error::timeout)
            return call_failure::TimedOut;
        if (failure == http::error::body_limit)
            return call_failure::TooLarge;
        return call_failure::IncompleteAnswer;
    }

    void notifyObserver() const
    {
        const auto target = m_request.target();
        if (m_state->observer && m_sentBytes > 0)
            m_state->observer({{target.data(), target.size()}, m_sentBytes, m_receivedBytes});
    }

    void finish(call_result result)
    {
        m_connection.reset();
        notifyObserver();
        // Connections can stop working without a reset. The other idle connections to this peer may
        // be affected too, and each of them would cost a call its whole deadline.
        const auto *failure = std::get_if<call_failure>(&result);
        if (failure != nullptr && mayHaveArrived(*failure))
            m_state->idle.erase(m_peer);
        // Posted to the loop instead of called from call(), so that the code that called it has
        // updated its own state by then.
        m_state->loop.post([done = std::move(m_callback), result = std::move(result)]() mutable {
            done(std::move(result));
        });
    }

    std::shared_ptr<http_client::shared_state> m_state;
    std::string m_peer;
    large_call_options m_options;
    answer_deadline m_deadline;
    bool m_isHeadReceived = false;
    std::size_t m_sentBytes = 0;
    std::size_t m_receivedBytes = 0;
    http_client::call_callback m_callback;
    std::unique_ptr<pooled_connection> m_connection;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
};

} // namespace

http_client::http_client(event_loop &loop, const client_limits &limits, exchange_observer observer)
    : m_state(std::make_shared<shared_state>(loop, limits, std::move(observer)))
{ }

http_client::~http_client() = default;

bool http_client::hasIdleConnection(const std::string &peer, time_point openedBefore)
{
    return m_state->findConnection(peer, openedBefore) != m_state->idle[peer].end();
}

void http_client::closeIdle(const std::string &peer)
{
    m_state->idle.erase(peer);
}

void http_client::call(const std::string &peer, http_request request, duration timeLimit,
                       call_callback done)
{
    call(peer, std::move(request),
         large_call_options{{timeLimit, timeLimit, timeLimit}, m_state->limits.answerBytesLimit},
         std::move(done));
}

void http_client::call(const std::string &peer, http_request request, large_call_options options,
                       call_callback done)
{
    std::make_shared<pending_call>(m_state, peer, request, std::move(options), std::move(done))
            ->start();
}

} // namespace zinniabarrow::net
