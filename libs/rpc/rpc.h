// JSON-RPC 2.0 between zinniabarrow's processes. libjsonrpccpp implements the protocol and is used
// in rpc.cpp only, which is compiled as C++14 because the library's headers use dynamic exception
// specifications. This header therefore stays within C++14. It contains no transport: rpcCall() is
// given one, and the process that has an rpc_server passes requests to its handle().
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include <json/json.h>

namespace zinniabarrow {

// Thrown by rpcCall() when a call returns no result. `code` is RpcRefused if the called method
// threw; `kind` then is the kind of its rpc_refusal, or "internal" for any other exception.
// Otherwise `code` is RpcNoAnswer, or a code of JSON-RPC or of libjsonrpccpp, such as for an
// unknown method or an invalid answer.
class rpc_failure : public std::runtime_error
{
public:
    rpc_failure(int code, std::string kind, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
        , m_kind(std::move(kind))
    { }
    int code() const noexcept { return m_code; }
    const std::string &kind() const noexcept { return m_kind; } // empty unless RpcRefused

private:
    int m_code;
    std::string m_kind;
};

constexpr int RpcRefused = -31000;  // the method threw an exception
constexpr int RpcNoAnswer = -32003; // the transport threw: the call may have been executed

// Dispatches calls to methods by name. Bind all methods first; handle() is then thread-safe.
class rpc_server
{
public:
    using method = std::function<Json::Value(const Json::Value &parameters)>;

    rpc_server();
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    void bind(const std::string &name, method body);

    // Returns the answer to the request, both as JSON text. An invalid request is answered with a
    // JSON-RPC error. If the method throws a std::exception, the answer is an error with
    // RpcRefused.
    std::string handle(const std::string &request) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// Thrown by a method to refuse the call with this kind, the name of an error_kind (base/errors.h).
class rpc_refusal : public std::runtime_error
{
public:
    rpc_refusal(std::string kind, const std::string &message)
        : std::runtime_error(message)
        , m_kind(std::move(kind))
    { }
    const std::string &kind() const noexcept { return m_kind; }

private:
    std::string m_kind;
};

// Sends the request text and returns the answer text. Throws std::runtime_error if no answer came
// or the request could not be sent; rpcCall() reports both as RpcNoAnswer.
using rpc_transport = std::function<std::string(const std::string &request)>;

// Calls the method `name` over `transport`. Throws rpc_failure.
Json::Value rpcCall(const rpc_transport &transport, const std::string &name,
                    const Json::Value &parameters);

} // namespace zinniabarrow
