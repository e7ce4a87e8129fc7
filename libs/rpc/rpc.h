// JSON-RPC 2.0 between the system's processes. libjsonrpccpp does the protocol and is confined to
// rpc.cpp, which is compiled as C++14 because its headers use dynamic exception specifications.
// This header therefore stays within C++14 and knows no transport: the caller brings one.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include <json/json.h>

namespace zinniabarrow {

// A call that brought no result. `code` is a JSON-RPC code, or RpcRefused when the called method
// threw: `kind` then names the error kind.
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

constexpr int RpcRefused = -31000;  // the method itself refused
constexpr int RpcNoAnswer = -32003; // nothing came back: the call may have run

// Methods by name. Fill it first, then call `handle` from any thread.
class rpc_server
{
public:
    using method = std::function<Json::Value(const Json::Value &parameters)>;

    rpc_server();
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    void bind(const std::string &name, method body);

    // The answer's text for a request's text; broken requests get a JSON-RPC error.
    std::string handle(const std::string &request) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// A method's body throws this to refuse with an error kind by name.
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

// Sends a request's text and returns the answer's text, or throws std::runtime_error.
using rpc_transport = std::function<std::string(const std::string &request)>;

// Calls `name` over `transport`. Throws rpc_failure.
Json::Value rpcCall(const rpc_transport &transport, const std::string &name,
                    const Json::Value &parameters);

} // namespace zinniabarrow
