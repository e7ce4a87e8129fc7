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

    rpc_server &methods() { return m_methods; }

    // The answer when the request's path is one of the four; else nothing.
    std::optional<http_response> serve(const http_request &request) const;

private:
    metrics &m_metrics;
    std::function<bool()> m_ready;
    rpc_server m_methods;
};

} // namespace zinniabarrow
