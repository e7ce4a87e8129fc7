// The HTTP side of a process that others of the system call: /rpc, /metrics, /healthz, /readyz.
#pragma once

#include <functional>
#include <optional>

#include "rpc/rpc.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class rpc_endpoint
{
public:
    rpc_endpoint(metrics &counters, std::function<bool()> ready);

    // A body that throws error answers with its kind, not as an internal error.
    void bind(const std::string &name, rpc_server::method body);

    // The answer when the request's path is one of the four; else nothing.
    std::optional<http_response> serve(const http_request &request) const;

private:
    http_response answerCall(const http_request &request) const;

    metrics &m_metrics;
    std::function<bool()> m_isReady;
    rpc_server m_methods;
};

} // namespace zinniabarrow
