// HTTP endpoint for other processes of the system: /rpc, /metrics, /healthz, /readyz.
#pragma once

#include <functional>
#include <optional>

#include "rpc/rpc.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// Entries and agents pass requests for these paths to it. Call bind() before serve(), which is
// thread-safe.
class rpc_endpoint
{
public:
    // `ready` decides the answer of /readyz; called on the server's threads.
    rpc_endpoint(metrics &counters, std::function<bool()> ready);

    // An `error` that the method throws is answered with its own kind, not as an internal error.
    void bind(const std::string &name, rpc_server::method body);

    // Answers the four paths above; returns nothing for any other path.
    std::optional<http_response> serve(const http_request &request) const;

private:
    http_response answerCall(const http_request &request) const;

    metrics &m_metrics;
    std::function<bool()> m_isReady;
    rpc_server m_methods;
};

} // namespace zinniabarrow
